"""Runs one term of the real scheduler, as the daemon runs it."""

from msgspec import Struct

from apricotlead.coordination.cell.advice_cache import AdviceCall
from apricotlead.coordination.cell.scheduler import CellScheduler
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.cell_workers import (
    HoldOrder,
    HoldReport,
    OrderReply,
    Refusal,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from apricotlead.protocol.table import Transaction
from tests.faulty.links import (
    AdviceService,
    Links,
    OrderHandler,
    is_valid_ticket,
)
from tests.faulty.shape import MS_PER_S
from tests.faulty.store import ModelStore
from tests.faulty.timeline import Process, Timeline
from tests.faulty.workers import FaultyWorker

_CALL_DELAY_S = 0.004
_POLL_S = 0.02
_TICK_S = 0.2
_IDLE_PLAN_INTERVAL_S = 0.1
_LOAD_DURATION_S = 0.1
_RESEND_DELAY_S = 0.05
HEALTHY_WRITE_S = 0.006
Note = tuple[float, str, dict[str, object]]


class Environment(Struct):
    """Holds what all terms share: time, calls, store and its write latency."""

    timeline: Timeline
    links: Links
    advice: AdviceService
    store: ModelStore
    settings: CellSettings
    askers: list[str]
    advice_by_queue: dict[str, AdvicePolicy | None]
    write_s: float = HEALTHY_WRITE_S


class ModelTerm:
    """Runs a scheduler until :meth:`end` is called."""

    def __init__(
        self,
        scheduler: CellScheduler,
        environment: Environment,
    ) -> None:
        """Start planning and journaling once the load duration has passed."""
        self.scheduler = scheduler
        self.notes: list[Note] = []
        self._environment = environment
        self._is_active = True
        self._needs_planning = False
        self._pending_write: Transaction | None = None
        for process in (self._plan, self._write_journal, self._tick):
            environment.timeline.spawn(process())

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._environment.timeline.now

    def end(self) -> Transaction | None:
        """End the term; return the pending journal write, if any."""
        self._is_active = False
        return self._pending_write

    def request_planning(self) -> None:
        """Make the planning loop run at its next poll."""
        self._needs_planning = True

    def handle_registration(self, entry: WorkerEntry) -> None:
        """Register a worker; start to hold it if the scheduler requires it."""
        if self.scheduler.workers.update_worker(entry, self.now):
            process = self._hold_worker(entry.worker_id)
            self._environment.timeline.spawn(process)

    def _tick(self) -> Process:
        while self._is_active:
            self.scheduler.tick(self.now)
            self.request_planning()
            notes = self.scheduler.tracker.notes
            self.scheduler.tracker.notes = []
            self.notes.extend((self.now, *note) for note in notes)
            yield _TICK_S

    def _plan(self) -> Process:
        yield _LOAD_DURATION_S
        idle_s = 0.0
        while self._is_active:
            if self._needs_planning or idle_s >= _IDLE_PLAN_INTERVAL_S:
                self._needs_planning = False
                idle_s = 0.0
                self._plan_once()
            idle_s += _POLL_S
            yield _POLL_S

    def _plan_once(self) -> None:
        spawn = self._environment.timeline.spawn
        for call in self.scheduler.plan(self.now, self._environment.askers):
            spawn(self._request_advice(call))
        for entry, order in self.scheduler.starts.stops_due(self.now):
            spawn(self._stop(entry, order))

    def _write_journal(self) -> Process:
        yield _LOAD_DURATION_S
        renew_s = self._environment.settings.election.renew_s
        while self._is_active:
            age_s = self.now - self.scheduler.workers.renewed_s
            if self.scheduler.has_changes(self.now) or age_s > renew_s:
                yield from self._write_once()
            yield _POLL_S

    def _write_once(self) -> Process:
        batch, starts = self.scheduler.take_batch(self.now)
        self._pending_write = batch.transaction
        yield self._environment.write_s
        if not self._is_active:
            return
        self._pending_write = None
        store = self._environment.store
        store.write(batch.transaction)
        self.scheduler.committed(
            batch,
            store.version,
            self.now * MS_PER_S,
            self.now,
        )
        for start in starts:
            self._environment.timeline.spawn(self._start(start))

    def _start(self, start: PlannedStart) -> Process:
        """Send a start until its outcome is known or its deadline passes."""
        starts = self.scheduler.starts
        timeouts_s = list(self._environment.settings.holds.start_timeouts_s)
        while self._is_active:
            order = starts.start_order(start, self.now)
            if order is None:
                break
            sent_s = self.now
            reply = self._send_start(start.worker.entry, order)
            is_missing = reply.refusal is Refusal.UNANSWERED
            yield timeouts_s[0] if is_missing else _CALL_DELAY_S
            timeouts_s = timeouts_s[1:] or timeouts_s
            if not self._should_resend(start, reply, sent_s):
                break
            yield _RESEND_DELAY_S
        self.request_planning()

    def _should_resend(
        self,
        start: PlannedStart,
        reply: OrderReply,
        sent_s: float,
    ) -> bool:
        """Process the reply to a start; return whether to send it again."""
        return self._is_active and self.scheduler.starts.start_answered(
            start,
            reply,
            sent_s,
            self.now,
        )

    def _send_start(self, entry: WorkerEntry, order: StartOrder) -> OrderReply:
        sent_s = self.now

        def handle(worker: FaultyWorker) -> OrderReply:
            has_ticket = is_valid_ticket(order.ticket, worker, self.now)
            return worker.start(order, has_ticket=has_ticket, sent_s=sent_s)

        return self._environment.links.order(entry, handle)

    def _stop(self, entry: WorkerEntry, order: StopOrder) -> Process:
        reply = self._environment.links.order(
            entry,
            lambda worker: worker.stop(order),
        )
        yield _CALL_DELAY_S
        workers = self.scheduler.workers
        # A former life may have acknowledged it.
        is_current = workers.is_current_fence(entry.worker_id, order.epoch)
        if reply.refusal is None and is_current and self._is_active:
            self.scheduler.tracker.stop_acked(
                entry.worker_id,
                order.task,
                order.run,
                self.now,
            )

    def _hold_worker(self, worker_id: str) -> Process:
        """Send hold calls to a worker until the scheduler drops it."""
        times = self._environment.settings.holds
        workers = self.scheduler.workers
        missed_count = 0
        while planned := workers.hold_order(worker_id, self.now):
            entry, order = planned
            sent_s = self.now
            answer = yield from self._hold(entry, order)
            if not self._is_active:
                break
            self.request_planning()
            if isinstance(answer, HoldReport):
                missed_count = 0
                workers.hold_answered(
                    worker_id, answer, sent_s, self.now, order
                )
                yield self._pause_after_answer_s(worker_id, order)
            else:
                self._handle_failed_hold(entry, order, answer)
                pauses = min(missed_count, times.most_pauses)
                yield max(_POLL_S, pauses * times.retry_pause_s)
                is_missed = answer is not Refusal.CONNECTION_GONE
                missed_count += is_missed

    def _pause_after_answer_s(self, worker_id: str, order: HoldOrder) -> float:
        """Return how long to wait before the next hold of a worker."""
        workers = self.scheduler.workers
        is_granted = order.deadline_ms is not None
        is_grant_due = not is_granted and workers.waits_for_grant(worker_id)
        if is_grant_due or not workers.has_contact(worker_id):
            return self._environment.settings.holds.retry_pause_s
        return _POLL_S

    def _handle_failed_hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
        refusal: Refusal,
    ) -> None:
        is_sent = refusal is not Refusal.CONNECTION_GONE
        is_broken = is_sent and self._environment.links.is_broken(entry)
        reply = OrderReply(refusal, is_broken=is_broken)
        self.scheduler.workers.hold_refused(
            entry.worker_id, reply, self.now, order
        )

    def _hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
    ) -> Process:
        """Make one hold call, a long poll; return the report or the refusal."""
        links = self._environment.links
        worker = self._reach_for_hold(entry, order)
        wait_s = order.wait_ms / MS_PER_S
        if not isinstance(worker, Refusal) and links.is_lost():
            links.renew_connection(worker)
            worker = Refusal.UNANSWERED
        if isinstance(worker, Refusal):
            if worker is Refusal.UNANSWERED:
                slack_s = self._environment.settings.holds.least_slack_s
                yield wait_s + slack_s
            return worker
        yield _CALL_DELAY_S
        refusal = worker.accept_hold(order).refusal
        if refusal is not None:
            return refusal
        ends_s = self.now + wait_s
        while self.now < ends_s and not _returns_early(worker):
            yield _POLL_S
        # The answer is made even if it is lost.
        report = worker.report()
        if worker.is_disconnected or worker.has_ended or links.is_lost():
            links.renew_connection(worker)
            return Refusal.UNANSWERED
        return report

    def _reach_for_hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
    ) -> FaultyWorker | Refusal:
        """Return the process that a hold reaches, or why it fails.

        A hold with the number of a connection reaches only the process that
        gave out that number.
        """
        links = self._environment.links
        worker = links.reach(entry)
        if not isinstance(worker, Refusal):
            is_there = order.connection in {None, worker.connection}
            return worker if is_there else Refusal.CONNECTION_GONE
        if links.is_held(worker):
            links.deliver_held(entry, _hold_handler(order))
            return Refusal.UNANSWERED
        return worker

    def _request_advice(self, call: AdviceCall) -> Process:
        asked_s = self.now
        job = self.scheduler.tracker.jobs_by_id[call.step.partition('.')[0]]
        policy = self._environment.advice_by_queue[job.stored.queue]
        plan = self._environment.advice.enqueue(call, policy, self.now)
        answer = None
        if plan is None:
            yield call.timeout_s
        else:
            yield plan.answered_s - self.now
            answer = self._environment.advice.answer(call, plan)
        yield _CALL_DELAY_S
        if self._is_active:
            self.scheduler.advice.answered(call, answer, asked_s, self.now)
            self.request_planning()


def _hold_handler(order: HoldOrder) -> OrderHandler:
    """Return what a process does with a hold that comes late."""

    def handle(worker: FaultyWorker) -> OrderReply:
        if order.connection not in {None, worker.connection}:
            return OrderReply(Refusal.UNANSWERED)
        return worker.accept_hold(order)

    return handle


def _returns_early(worker: FaultyWorker) -> bool:
    """Return whether a worker ends a long poll, or its connection ends."""
    is_broken = worker.has_ended and worker.closes_connections
    return worker.has_unacked_ends or is_broken
