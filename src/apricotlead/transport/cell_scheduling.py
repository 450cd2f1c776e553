"""The driver of the elected scheduler: calls, feeds and the journal."""

from collections.abc import Callable
from functools import partial
from itertools import chain, repeat
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
    is_cut_off,
    owner_transaction,
    read_owner,
    should_yield,
)
from apricotlead.coordination.cell.hold_pacing import may_pause
from apricotlead.coordination.cell.job_rows import JOB_PREFIXES
from apricotlead.coordination.cell.journal import PROGRESS_PREFIX
from apricotlead.coordination.cell.scheduler import CellScheduler
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.coordination.cell.worker_watch import SPEEDS_KEY
from apricotlead.protocol.cell_peers import AdviceQuestion, SchedulerStatus
from apricotlead.protocol.cell_workers import (
    AdviceAnswer,
    HoldOrder,
    HoldReport,
    OrderReply,
    Refusal,
    WorkerEntry,
)
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    Row,
    Rows,
    StoreFailed,
    Transaction,
)
from apricotlead.state.answer_time import AnswerTime
from apricotlead.state.cell_view import CellView
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.serving import run_together
from apricotlead.transport.table_follower import TableFollower
from apricotlead.transport.wake_up import Broadcast, WakeUp

_TICK_S = 0.2
_IDLE_PLAN_S = 0.1
# Merges the ends of a few milliseconds into one round.
_ROUND_PAUSE_S = 0.01
_STORE_RETRY_S = 0.05
# Spaces the repeats to a worker that refuses connections.
_START_REPEAT_S = 0.05
_ADVICE_SLACK_S = 0.5
# An urgent run that is placed meanwhile ends the pause within this.
_PACE_POLL_S = 0.1
_PEER_FRESH_S = 2.0
_LOAD_TRIES = 40
# Final rows are shrunk together: one write for each part with some.
_KEEP_ROWS_S = 6.0
# Most jobs are announced; this merges the reads that bring the others.
_JOBS_PAUSE_S = 0.2
# Merges the workers' heartbeats into one read.
_REGISTRY_PAUSE_S = 0.25
# A healthy store takes 20 ms, one 60 times slower than usual 300 ms.
_LEAST_WRITE_S = 0.25
_MOST_WRITE_S = 1.5
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
        '_began_s',
        '_blocked_s',
        '_changed',
        '_cores',
        '_green_threads',
        '_journaled',
        '_is_loaded',
        '_is_turned_away',
        '_links',
        '_lost_worker_ids',
        '_orders',
        '_own_address',
        '_peers',
        '_settings',
        '_watched_worker_ids',
        '_writes',
        'ended_why',
        'scheduler',
    )

    def __init__(
        self,
        links: CellLinks,
        settings: CellSettings,
        scheduler: CellScheduler,
        own_address: str,
        cores: float,
        takeover_s: float,
    ) -> None:
        """Prepare a term for a scheduler that has just taken over.

        ``takeover_s`` is how long the store took for that write.
        """
        self._links = links
        self._settings = settings
        self._own_address = own_address
        self._cores = cores
        self._began_s = boot_now()
        self._changed = WakeUp()
        self._journaled = Broadcast()
        self._green_threads: list[GreenThread] = []
        self._orders = GreenPool(size=2000)
        # When each peer was last in contact, and its processor.
        self._peers: dict[str, tuple[float, float]] = {}
        self._watched_worker_ids: set[str] = set()
        self._lost_worker_ids: set[str] = set()
        # When the first of the writes left that brought no answer.
        self._blocked_s: float | None = None
        # Whether the last write was refused, or its connection broke.
        self._is_turned_away = False
        self._is_loaded = False
        self._writes = AnswerTime(_LEAST_WRITE_S, _MOST_WRITE_S)
        self._writes.answered(takeover_s)
        self.scheduler = scheduler
        self.ended_why = ''

    def run(self) -> None:
        """Schedule until the term ends; ``ended_why`` tells the reason."""
        links = self._links
        jobs = TableFollower(
            links.store,
            JOB_PREFIXES,
            _Jobs(self),
            links.log,
            pause_s=_JOBS_PAUSE_S,
        )
        registry = TableFollower(
            links.store,
            (links.workers_prefix,),
            _Registry(self),
            links.log,
            pause_s=_REGISTRY_PAUSE_S,
        )
        if not self._load(jobs, registry):
            self.ended_why = self.ended_why or 'the store could not be read'
            return
        for run in (jobs.run, registry.run, self._tick, self._keep_rows):
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
        return SchedulerStatus(
            self._epoch,
            not self.ended_why,
            self._is_cut_off(),
            self.scheduler.jobs.pending_by_queue(),
            self.scheduler.jobs.backlog(boot_now()),
        )

    def _is_cut_off(self) -> bool:
        """Tell whether the store has taken no write for a while."""
        if self._blocked_s is None:
            return False
        return is_cut_off(
            self._settings.election,
            boot_now() - self._blocked_s,
            is_turned_away=self._is_turned_away,
        )

    def watch(self, peer_address: str, cores: float) -> SchedulerStatus:
        """Hold a follower's call until there is news or for a while."""
        self._peers[peer_address] = (boot_now(), cores)
        ends_s = boot_now() + self._settings.election.watch_s
        while boot_now() < ends_s and not self.ended_why:
            if self.status().store_lost:
                break
            eventlet.sleep(_IDLE_PLAN_S)
        self._peers[peer_address] = (boot_now(), cores)
        return self.status()

    def set_view(self, view: CellView) -> None:
        """Take over a new configuration."""
        self.scheduler.set_view(view)
        self._changed.set()

    def take_announced(self, row: Row) -> bool:
        """Take a row that an instance has just stored.

        ``False`` while the term still reads all rows, which hold it.
        """
        if self._is_loaded and not self.ended_why:
            self.take_job_row(row)
            return True
        return False

    def take_job_row(self, row: Row) -> None:
        """Take a row of the table of jobs."""
        self.scheduler.jobs.job_row(row, boot_now())
        self._changed.set()

    def take_registration(self, row: Row) -> None:
        """Take a registration, a removal, or an entry that names nothing."""
        worker_id = row.key.removeprefix(self._links.workers_prefix)
        entry = self._links.decode_worker(row) if row.version else None
        if entry is None:
            if row.version:
                self._links.log('registration unreadable', worker=worker_id)
            self.scheduler.workers.drop_worker(worker_id)
            return
        if self.scheduler.workers.update_worker(entry, boot_now()):
            self._watch_worker(worker_id)

    @property
    def _epoch(self) -> int:
        return self.scheduler.owner.epoch

    def _write_release(self) -> None:
        """Invite a successor by a last write of the owner row."""
        released = self.scheduler.releasing_owner(boot_now())
        self._links.store.transact(
            owner_transaction(released, self.scheduler.owner_version),
        )

    def _load(self, jobs: TableFollower, registry: TableFollower) -> bool:
        """Read all jobs, progress and registrations."""
        store = self._links.store
        # One after another they take a second in a slow store.
        pages = run_together(
            partial(self._read_all, read)
            for read in (
                jobs.read_all,
                partial(store.scan_rows, PROGRESS_PREFIX),
                registry.read_all,
                partial(store.read_row, SPEEDS_KEY),
            )
        )
        if None in pages:
            return False
        now = boot_now()
        self.scheduler.jobs.load(pages[0], pages[1], now)
        for row in pages[2]:
            self.take_registration(row)
        for speeds in pages[3]:
            self.scheduler.workers.load_speeds(speeds)
        self.scheduler.workers.restore_missing(now)
        self._is_loaded = True
        self._links.log(
            'jobs loaded',
            epoch=self._epoch,
            jobs=len(self.scheduler.book.jobs_by_id),
            final_jobs=len(self.scheduler.jobs.rows.finals_by_id),
            workers=len(self.scheduler.book.workers_by_id),
        )
        return True

    def _read_all(
        self,
        read: Callable[[], Rows | StoreFailed],
    ) -> tuple[Row, ...] | None:
        for _ in range(_LOAD_TRIES):
            if self.ended_why:
                return None
            answer = read()
            if not isinstance(answer, StoreFailed):
                return answer.rows
            eventlet.sleep(_STORE_RETRY_S)
        return None

    def _keep_rows(self) -> None:
        """Shrink and delete the rows of final jobs in the background."""
        while True:
            eventlet.sleep(_KEEP_ROWS_S)
            for transaction, finals in self.scheduler.jobs.rows.due(boot_now()):
                answer = self._links.store.transact(transaction)
                if isinstance(answer, Committed):
                    version = max(answer.versions.values(), default=0)
                    self.scheduler.jobs.rows.written(
                        finals, version, boot_now()
                    )
                elif isinstance(answer, CheckFailed):
                    self.scheduler.jobs.rows.conflicted(finals, answer.rows)

    def _round(self) -> None:
        """Plan, write the journal, and send what it then allows."""
        now = boot_now()
        peers = self._fresh_peers(now)
        self._check_size(now, peers)
        calls = self.scheduler.plan(now, [self._own_address, *peers])
        for call in calls:
            self._orders.spawn_n(self._ask, call)
        self._send_stops(now)
        renew_s = self._settings.election.renew_s
        if self.scheduler.has_changes() or (
            now - self.scheduler.workers.renewed_s > renew_s
        ):
            self._write_journal()
        self._log_notes()
        eventlet.sleep(_ROUND_PAUSE_S)
        if not self.scheduler.has_changes():
            self._changed.wait(_IDLE_PLAN_S)

    def _write_journal(self) -> None:
        batch, starts = self.scheduler.take_batch(boot_now())
        while not self.ended_why:
            committed = self._commit(batch.transaction, batch.owner)
            if committed is None:
                eventlet.sleep(_STORE_RETRY_S)
                continue
            version = committed.versions[OWNER_KEY]
            now = boot_now()
            self.scheduler.committed(
                batch,
                version,
                committed.store_ms,
                now,
            )
            self._journaled.send()
            for start in starts:
                self._orders.spawn_n(self._start, start)
            return

    def _commit(
        self,
        transaction: Transaction,
        owner: OwnerRow,
    ) -> Committed | None:
        """Write once; ``None`` where the write must be sent again."""
        sent_s = boot_now()
        timeout_s = self._writes.timeout_s
        answer = self._links.store.transact(transaction, timeout_s)
        took_s = boot_now() - sent_s
        if not isinstance(answer, StoreFailed):
            self._writes.answered(took_s)
        elif took_s >= timeout_s:
            self._writes.missed()
        self._is_turned_away = took_s < timeout_s
        if isinstance(answer, Committed):
            self._note_store(None, sent_s)
            return answer
        if isinstance(answer, CheckFailed):
            row = answer.row(OWNER_KEY)
            current = read_owner(row)
            if current is not None and _is_same_write(current, owner):
                # An earlier send took effect and its answer was lost.
                self._note_store(None, sent_s)
                return Committed({OWNER_KEY: row.version})
            self.end('another instance has taken over')
            return None
        self._note_store(answer, sent_s)
        return None

    def _note_store(
        self,
        failure: StoreFailed | None,
        sent_s: float,
    ) -> None:
        """Log when the store stops or begins to take the journal."""
        was_blocked = self._blocked_s is not None
        if was_blocked == (failure is not None):
            return
        self._blocked_s = None if failure is None else sent_s
        self._links.log(
            'journal blocked' if failure else 'journal resumed',
            why=failure.reason if failure else '',
            renewed_age_s=round(
                boot_now() - self.scheduler.workers.renewed_s, 2
            ),
        )

    def _tick(self) -> None:
        while True:
            eventlet.sleep(_TICK_S)
            now = boot_now()
            self.scheduler.tick(now)
            self.scheduler.jobs.open_due(time() * 1000, now)
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
            planned = self.scheduler.workers.hold_order(worker_id, boot_now())
            if planned is None:
                break
            entry, order = planned
            sent_s = boot_now()
            wait_s = order.wait_ms / 1000
            timeout_s = wait_s + holds.answer_slack_s
            answer = self._links.workers.hold(entry, order, timeout_s)
            now = boot_now()
            if isinstance(answer, HoldReport):
                self._contact_regained(worker_id)
                self.scheduler.workers.hold_answered(
                    worker_id,
                    order,
                    answer,
                    sent_s,
                    now,
                )
                self._changed.set()
                self._wait_after(worker_id, order, answer)
            else:
                self._hold_failed(worker_id, answer, now)
                eventlet.sleep(holds.retry_pause_s)
        self._watched_worker_ids.discard(worker_id)

    def _wait_after(
        self,
        worker_id: str,
        order: HoldOrder,
        report: HoldReport,
    ) -> None:
        """Wait until the next call to a worker is of use."""
        pause_s = self._settings.holds.retry_pause_s
        self._wait_for_journal(worker_id)
        if report.ended:
            self._pace(worker_id)
        if not self.scheduler.workers.is_known(worker_id):
            eventlet.sleep(pause_s)
        elif order.deadline_ms is None:
            # The next write of the journal allows grants.
            self._journaled.wait(pause_s)

    def _wait_for_journal(self, worker_id: str) -> None:
        """Wait until a worker's ends may be acknowledged, or for a while.

        A hold that cannot acknowledge an end returns at once.
        """
        ends_s = boot_now() + self._settings.holds.unacked_pause_s
        worker = self.scheduler.book.workers_by_id.get(worker_id)
        while worker is not None and not self.ended_why:
            left_s = ends_s - boot_now()
            if worker.reported_through <= worker.acked_through or left_s <= 0:
                break
            self._journaled.wait(left_s)

    def _pace(self, worker_id: str) -> None:
        """Put the next call to a worker off, unless something is urgent."""
        ends_s = boot_now() + self._settings.holds.pace_s
        book = self.scheduler.book
        placed_count = None
        while boot_now() < ends_s and not self.ended_why:
            worker = book.workers_by_id.get(worker_id)
            if worker is None:
                break
            if placed_count != worker.placed_count:
                placed_count = worker.placed_count
                if not may_pause(book, worker, boot_now()):
                    break
            eventlet.sleep(_PACE_POLL_S)

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
        self.scheduler.workers.hold_refused(worker_id, reply, now)
        if reply.refusal is Refusal.OTHER_LIFE:
            self._changed.set()

    def _send_stops(self, now: float) -> None:
        for entry, order in self.scheduler.starts.stops_due(now):
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
        timeouts_s = self._settings.holds.start_timeouts_s
        for timeout_s in chain(timeouts_s, repeat(timeouts_s[-1])):
            order = self.scheduler.starts.start_order(start, boot_now())
            if order is None or self.ended_why:
                break
            sent_s = boot_now()
            reply = self._links.workers.start(
                start.worker.entry,
                order,
                timeout_s,
            )
            if reply.refusal is Refusal.FENCED:
                self.end(_LATER_EPOCH)
            is_again = self.scheduler.starts.start_answered(
                start,
                reply,
                sent_s,
                boot_now(),
            )
            if not is_again:
                break
            eventlet.sleep(_START_REPEAT_S)
        self._changed.set()

    def _fresh_peers(self, now: float) -> dict[str, float]:
        """Return the processors of the peers in contact, by address."""
        return {
            address: cores
            for address, (seen_s, cores) in self._peers.items()
            if address and now - seen_s < _PEER_FRESH_S
        }

    def _check_size(self, now: float, peers: dict[str, float]) -> None:
        """Note the largest instance, and hand over if it is much larger."""
        times = self._settings.election
        largest = max((self._cores, *peers.values()))
        self.scheduler.note_largest(largest)
        is_settled = now - self._began_s > times.settled_s
        if is_settled and should_yield(times, self._cores, largest):
            self.end(RELEASED)

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
        self._term.scheduler.clock.note(store_ms, boot_now())


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
