"""The driver of the elected scheduler: calls, feeds and the journal."""

from collections.abc import Callable
from time import time
from typing import Any

import eventlet
from eventlet import GreenPool
from eventlet.greenthread import GreenThread
from msgspec import Struct

from apricotlead.coordination.cell.advice_book import AdviceCall
from apricotlead.coordination.cell.election import (
    OWNER_KEY,
    OwnerRow,
    owner_transaction,
    read_owner,
)
from apricotlead.coordination.cell.journal import JOBS_PREFIX, PROGRESS_PREFIX
from apricotlead.coordination.cell.scheduler import CellScheduler, PlannedStart
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.protocol.cell_peers import AdviceQuestion, SchedulerStatus
from apricotlead.protocol.cell_workers import (
    AdviceAnswer,
    HoldReport,
    OrderReply,
    Refusal,
    WorkerEntry,
)
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    Row,
    StoreFailed,
    Transaction,
)
from apricotlead.state.cell_view import CellView
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.table_follower import TableFollower
from apricotlead.transport.wake_up import WakeUp

_TICK_S = 0.2
_IDLE_PLAN_S = 0.1
# Merges the ends of a few milliseconds into one round.
_ROUND_PAUSE_S = 0.01
_STORE_RETRY_S = 0.05
_ADVICE_SLACK_S = 0.5
_PEER_FRESH_S = 2.0
_LOAD_TRIES = 40
RELEASED = 'released'
# Only a takeover in the store makes an epoch, so a worker's word is enough.
_LATER_EPOCH = 'a worker has seen a later epoch'


class CellLinks(Struct, frozen=True):
    """What the driver calls: the adapter's clients and the process's parts.

    ``store`` has ``transact``, ``scan_rows``, ``read_row`` and ``changes``;
    ``workers`` has ``start``, ``stop``, ``hold`` and ``advise``.
    ``decode_worker`` reads a registration. ``ask_peer`` passes a question to
    another instance.
    """

    store: Any
    workers: Any
    workers_prefix: str
    decode_worker: Callable[[Row], WorkerEntry | None]
    ask_peer: Callable[[str, AdviceQuestion], AdviceAnswer | None]
    log: Callable[..., Any]
    metrics: Any


class SchedulingTerm:
    """One term of office of the scheduler in this process."""

    __slots__ = (
        '_changed',
        '_green_threads',
        '_is_store_lost',
        '_links',
        '_lost_worker_ids',
        '_orders',
        '_own_address',
        '_peers_seen_s',
        '_settings',
        '_status_changed',
        '_watched_worker_ids',
        'ended_why',
        'scheduler',
    )

    def __init__(
        self,
        links: CellLinks,
        settings: CellSettings,
        scheduler: CellScheduler,
        own_address: str,
    ) -> None:
        """Prepare a term for a scheduler that has just taken over."""
        self._links = links
        self._settings = settings
        self._own_address = own_address
        self._changed = WakeUp()
        self._status_changed = WakeUp()
        self._green_threads: list[GreenThread] = []
        self._orders = GreenPool(size=2000)
        self._peers_seen_s: dict[str, float] = {}
        self._watched_worker_ids: set[str] = set()
        self._lost_worker_ids: set[str] = set()
        self._is_store_lost = False
        self.scheduler = scheduler
        self.ended_why = ''

    def run(self) -> None:
        """Schedule until the term ends; ``ended_why`` tells the reason."""
        links = self._links
        if not self._load():
            self.ended_why = self.ended_why or 'the store could not be read'
            return
        jobs = TableFollower(links.store, JOBS_PREFIX, _Jobs(self), links.log)
        registry = TableFollower(
            links.store,
            links.workers_prefix,
            _Registry(self),
            links.log,
        )
        for run in (jobs.run, registry.run, self._tick):
            self._green_threads.append(eventlet.spawn(run))
        try:
            while not self.ended_why:
                self._round()
        finally:
            for green_thread in self._green_threads:
                green_thread.kill()
            self._log_notes()
        if self.ended_why == RELEASED:
            self._write_release()

    def end(self, why: str) -> None:
        """End the term."""
        if not self.ended_why:
            self.ended_why = why
            self._links.log('term ended', why=why, epoch=self._epoch)
        self._changed.set()

    def status(self) -> SchedulerStatus:
        """Return what followers are told."""
        age_s = boot_now() - self.scheduler.renewed_s
        return SchedulerStatus(
            self._epoch,
            not self.ended_why,
            age_s > self._settings.election.store_lost_s,
            self.scheduler.pending_by_queue(),
        )

    def watch(self, peer_address: str) -> SchedulerStatus:
        """Hold a follower's call until there is news or for a while."""
        self._peers_seen_s[peer_address] = boot_now()
        ends_s = boot_now() + self._settings.election.watch_s
        while boot_now() < ends_s and not self.ended_why:
            if self.status().store_lost:
                break
            eventlet.sleep(_IDLE_PLAN_S)
        self._peers_seen_s[peer_address] = boot_now()
        return self.status()

    def set_view(self, view: CellView) -> None:
        """Take over a new configuration."""
        self.scheduler.set_view(view)
        self._changed.set()

    def take_job_row(self, row: Row) -> None:
        """Take a row of the table of jobs."""
        self.scheduler.job_row(row, boot_now())
        self._changed.set()

    def take_registration(self, row: Row) -> None:
        """Take a registration, a removal, or an entry that names nothing."""
        worker_id = row.key.removeprefix(self._links.workers_prefix)
        entry = self._links.decode_worker(row) if row.version else None
        if entry is None:
            if row.version:
                self._links.log('registration unreadable', worker=worker_id)
            self.scheduler.drop_worker(worker_id)
            return
        if self.scheduler.update_worker(entry, boot_now()):
            self._watch_worker(worker_id)

    @property
    def _epoch(self) -> int:
        return self.scheduler.owner.epoch

    def _write_release(self) -> None:
        """Invite a successor by a last write of the owner row."""
        owner = self.scheduler.owner
        released = OwnerRow(
            owner.epoch,
            owner.instance_id,
            owner.peer_address,
            owner.sequence + 1,
            self.scheduler.store_ms(boot_now()),
            owner.silent_workers,
            is_released=True,
        )
        self._links.store.transact(
            owner_transaction(released, self.scheduler.owner_version),
        )

    def _load(self) -> bool:
        """Read all jobs, progress and registrations."""
        store = self._links.store
        pages: list[tuple[Row, ...]] = []
        prefixes = (JOBS_PREFIX, PROGRESS_PREFIX, self._links.workers_prefix)
        for prefix in prefixes:
            rows = self._read_all(store, prefix)
            if rows is None:
                return False
            pages.append(rows)
        now = boot_now()
        self.scheduler.load(pages[0], pages[1], now)
        for row in pages[2]:
            self.take_registration(row)
        self.scheduler.restore_missing(now)
        self._links.log(
            'jobs loaded',
            epoch=self._epoch,
            jobs=len(self.scheduler.book.jobs_by_id),
            workers=len(self.scheduler.book.workers_by_id),
        )
        return True

    def _read_all(self, store: Any, prefix: str) -> tuple[Row, ...] | None:
        for _ in range(_LOAD_TRIES):
            if self.ended_why:
                return None
            answer = store.scan_rows(prefix)
            if not isinstance(answer, StoreFailed):
                return answer.rows
            eventlet.sleep(_STORE_RETRY_S)
        return None

    def _round(self) -> None:
        """Plan, write the journal, and send what it then allows."""
        now = boot_now()
        calls = self.scheduler.plan(now, self._askers(now))
        for call in calls:
            self._orders.spawn_n(self._ask, call)
        self._send_stops(now)
        renew_s = self._settings.election.renew_s
        if self.scheduler.has_changes() or (
            now - self.scheduler.renewed_s > renew_s
        ):
            self._write_journal()
        self._log_notes()
        eventlet.sleep(_ROUND_PAUSE_S)
        if not self.scheduler.has_changes():
            self._changed.wait(_IDLE_PLAN_S)

    def _write_journal(self) -> None:
        batch, starts = self.scheduler.take_batch(boot_now())
        while not self.ended_why:
            sent_s = boot_now()
            committed = self._commit(batch.transaction, batch.owner)
            if committed is None:
                eventlet.sleep(_STORE_RETRY_S)
                continue
            version = committed.versions[OWNER_KEY]
            now = boot_now()
            self.scheduler.committed(
                batch,
                version,
                sent_s,
                committed.store_ms,
                now,
            )
            for start in starts:
                self._orders.spawn_n(self._start, start)
            return

    def _commit(
        self,
        transaction: Transaction,
        owner: OwnerRow,
    ) -> Committed | None:
        """Write once; ``None`` where the write must be sent again."""
        answer = self._links.store.transact(transaction)
        if isinstance(answer, Committed):
            self._note_store(None)
            return answer
        if isinstance(answer, CheckFailed):
            row = answer.row(OWNER_KEY)
            current = read_owner(row)
            if current is not None and _is_same_write(current, owner):
                # An earlier send took effect and its answer was lost.
                return Committed({OWNER_KEY: row.version})
            self.end('another instance has taken over')
            return None
        self._note_store(answer)
        return None

    def _note_store(self, failure: StoreFailed | None) -> None:
        """Log when the store stops or begins to take the journal."""
        if self._is_store_lost == (failure is not None):
            return
        self._is_store_lost = failure is not None
        self._links.log(
            'journal blocked' if failure else 'journal resumed',
            why=failure.reason if failure else '',
            renewed_age_s=round(boot_now() - self.scheduler.renewed_s, 2),
        )

    def _tick(self) -> None:
        while True:
            eventlet.sleep(_TICK_S)
            now = boot_now()
            self.scheduler.tick(now)
            self.scheduler.open_due(time() * 1000, now)
            self._changed.set()

    def _watch_worker(self, worker_id: str) -> None:
        if worker_id in self._watched_worker_ids:
            return
        self._watched_worker_ids.add(worker_id)
        green_thread = eventlet.spawn(self._hold_worker, worker_id)
        self._green_threads.append(green_thread)

    def _hold_worker(self, worker_id: str) -> None:
        """Hold one worker until it is gone."""
        holds = self._settings.holds
        while not self.ended_why:
            planned = self.scheduler.hold_order(worker_id, boot_now())
            if planned is None:
                break
            entry, order = planned
            sent_s = boot_now()
            wait_s = order.wait_ms / 1000
            timeout_s = wait_s + holds.answer_slack_s
            answer = self._links.workers.hold(entry, order, timeout_s)
            now = boot_now()
            if isinstance(answer, HoldReport):
                had_unacked = order.wait_ms == 0
                self._contact_regained(worker_id)
                self.scheduler.hold_answered(
                    worker_id,
                    order,
                    answer,
                    sent_s,
                    now,
                )
                self._changed.set()
                eventlet.sleep(self._pause_s(worker_id, had_unacked))
            else:
                self._hold_failed(worker_id, answer, now)
                eventlet.sleep(holds.retry_pause_s)
        self._watched_worker_ids.discard(worker_id)

    def _pause_s(self, worker_id: str, had_unacked: bool) -> float:
        worker = self.scheduler.book.workers_by_id.get(worker_id)
        if worker is None:
            return 0
        if worker.reported_through <= worker.acked_through:
            return 0
        if had_unacked:
            return self._settings.holds.unacked_pause_s
        return _ROUND_PAUSE_S * 2

    def _contact_regained(self, worker_id: str) -> None:
        if worker_id in self._lost_worker_ids:
            self._lost_worker_ids.discard(worker_id)
            self._links.log('worker contact regained', worker=worker_id)

    def _hold_failed(
        self,
        worker_id: str,
        reply: OrderReply,
        now: float,
    ) -> None:
        if worker_id not in self._lost_worker_ids:
            self._lost_worker_ids.add(worker_id)
            self._links.log(
                'worker contact lost',
                worker=worker_id,
                why=str(reply.refusal),
                detail=reply.detail,
            )
        if reply.refusal is Refusal.FENCED:
            self.end(_LATER_EPOCH)
            return
        self.scheduler.hold_refused(worker_id, reply, now)
        if reply.refusal is Refusal.OTHER_LIFE:
            self._changed.set()

    def _send_stops(self, now: float) -> None:
        for entry, order in self.scheduler.stops_due(now):
            self._orders.spawn_n(self._stop, entry, order)

    def _stop(self, entry: WorkerEntry, order: Any) -> None:
        reply = self._links.workers.stop(entry, order)
        if reply.refusal is None:
            self.scheduler.book.stop_acked(
                entry.worker_id,
                order.task,
                order.run,
                boot_now(),
            )

    def _start(self, start: PlannedStart) -> None:
        """Send a start until its outcome is known or its time is over."""
        while not self.ended_why:
            order = self.scheduler.start_order(start, boot_now())
            if order is None:
                break
            sent_s = boot_now()
            reply = self._links.workers.start(start.worker.entry, order)
            if reply.refusal is Refusal.FENCED:
                self.end(_LATER_EPOCH)
            is_again = self.scheduler.start_answered(
                start,
                reply,
                sent_s,
                boot_now(),
            )
            if not is_again:
                break
        self._changed.set()

    def _askers(self, now: float) -> list[str]:
        peers = [
            address
            for address, seen_s in self._peers_seen_s.items()
            if address and now - seen_s < _PEER_FRESH_S
        ]
        return [self._own_address, *peers]

    def _ask(self, call: AdviceCall) -> None:
        question = AdviceQuestion(
            call.step,
            call.worker_ids,
            call.cost_s + self._settings.advice.backlog_s + _ADVICE_SLACK_S,
        )
        asked_s = boot_now()
        if call.asker == self._own_address:
            answer = self._links.workers.advise(
                question.step,
                question.worker_ids,
                question.timeout_s,
            )
        else:
            answer = self._links.ask_peer(call.asker, question)
        self._links.log(
            'advice' if answer else 'advice missing',
            step=call.step,
            asker=call.asker,
            workers=len(call.worker_ids),
            good=len(answer.tickets_by_worker) if answer else 0,
            took_s=round(boot_now() - asked_s, 3),
            expected_s=round(call.cost_s, 3),
        )
        self.scheduler.advice.answered(call, answer, boot_now())
        self._changed.set()

    def _log_notes(self) -> None:
        notes = self.scheduler.book.notes
        if not notes:
            return
        self.scheduler.book.notes = []
        for kind, fields in notes:
            self._links.log(kind, epoch=self._epoch, **fields)
            self._links.metrics.count(f'cell_{kind.replace(" ", "_")}')


class _Jobs:
    """Listens to the table of jobs."""

    __slots__ = ('_term',)

    def __init__(self, term: SchedulingTerm) -> None:
        self._term = term

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        for row in rows:
            self._term.take_job_row(row)

    def on_change(self, row: Row, read_s: float) -> None:
        self._term.take_job_row(row)

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        self._term.scheduler.note_store_time(store_ms, boot_now())


class _Registry:
    """Listens to the registrations of workers."""

    __slots__ = ('_term',)

    def __init__(self, term: SchedulingTerm) -> None:
        self._term = term

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        listed = {row.key for row in rows}
        for row in rows:
            self._term.take_registration(row)
        prefix = self._term._links.workers_prefix
        for worker_id in tuple(self._term.scheduler.book.workers_by_id):
            if f'{prefix}{worker_id}' not in listed:
                self._term.scheduler.drop_worker(worker_id)

    def on_change(self, row: Row, read_s: float) -> None:
        self._term.take_registration(row)

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        """Registrations are beliefs; no decision waits for their age."""


def _is_same_write(current: OwnerRow, owner: OwnerRow) -> bool:
    return (current.epoch, current.sequence, current.instance_id) == (
        owner.epoch,
        owner.sequence,
        owner.instance_id,
    )
