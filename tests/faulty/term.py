"""One term of the real scheduler, driven as the daemon drives it."""

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
from tests.faulty.links import AdviceService, Links, is_valid_ticket
from tests.faulty.shape import MS_PER_S
from tests.faulty.store import ModelStore
from tests.faulty.timeline import Process, Timeline
from tests.faulty.workers import FaultyWorker

_WAY_S = 0.004
_POLL_S = 0.02
_TICK_S = 0.2
_IDLE_PLAN_S = 0.1
_LOAD_S = 0.1
_REPEAT_S = 0.05
HEALTHY_WRITE_S = 0.006
Note = tuple[float, str, dict[str, object]]


class Surroundings(Struct):
    """What terms share: time, calls, the store, and for how long it writes."""

    timeline: Timeline
    links: Links
    advice: AdviceService
    store: ModelStore
    settings: CellSettings
    askers: list[str]
    advice_by_queue: dict[str, AdvicePolicy | None]
    write_s: float = HEALTHY_WRITE_S


class ModelTerm:
    """Runs a scheduler until :meth:`end`."""

    def __init__(
        self,
        scheduler: CellScheduler,
        surroundings: Surroundings,
    ) -> None:
        """Begin to plan and to write after the time of loading."""
        self.scheduler = scheduler
        self.notes: list[Note] = []
        self._around = surroundings
        self._goes_on = True
        self._has_news = False
        self._open_write: Transaction | None = None
        for process in (self._plan, self._write_journal, self._tick):
            surroundings.timeline.spawn(process())

    @property
    def now(self) -> float:
        """Return the time in seconds."""
        return self._around.timeline.now

    def end(self) -> Transaction | None:
        """End the term; return the write that is under way."""
        self._goes_on = False
        return self._open_write

    def notice(self) -> None:
        """Plan again soon."""
        self._has_news = True

    def apply_registration(self, entry: WorkerEntry) -> None:
        """Hear of a worker."""
        if self.scheduler.workers.update_worker(entry, self.now):
            process = self._hold_worker(entry.worker_id)
            self._around.timeline.spawn(process)

    def _tick(self) -> Process:
        while self._goes_on:
            self.scheduler.tick(self.now)
            self.notice()
            notes = self.scheduler.tracker.notes
            self.scheduler.tracker.notes = []
            self.notes.extend((self.now, *note) for note in notes)
            yield _TICK_S

    def _plan(self) -> Process:
        yield _LOAD_S
        idle_s = 0.0
        while self._goes_on:
            if self._has_news or idle_s >= _IDLE_PLAN_S:
                self._has_news = False
                idle_s = 0.0
                self._plan_once()
            idle_s += _POLL_S
            yield _POLL_S

    def _plan_once(self) -> None:
        spawn = self._around.timeline.spawn
        for call in self.scheduler.plan(self.now, self._around.askers):
            spawn(self._ask(call))
        for entry, order in self.scheduler.starts.stops_due(self.now):
            spawn(self._stop(entry, order))

    def _write_journal(self) -> Process:
        yield _LOAD_S
        renew_s = self._around.settings.election.renew_s
        while self._goes_on:
            age_s = self.now - self.scheduler.workers.renewed_s
            if self.scheduler.has_changes(self.now) or age_s > renew_s:
                yield from self._write_once()
            yield _POLL_S

    def _write_once(self) -> Process:
        batch, starts = self.scheduler.take_batch(self.now)
        self._open_write = batch.transaction
        yield self._around.write_s
        if not self._goes_on:
            return
        self._open_write = None
        store = self._around.store
        store.write(batch.transaction)
        self.scheduler.committed(
            batch,
            store.version,
            self.now * MS_PER_S,
            self.now,
        )
        for start in starts:
            self._around.timeline.spawn(self._start(start))

    def _start(self, start: PlannedStart) -> Process:
        """Send a start until its outcome is known or its time is over."""
        starts = self.scheduler.starts
        timeouts_s = list(self._around.settings.holds.start_timeouts_s)
        while self._goes_on:
            order = starts.start_order(start, self.now)
            if order is None:
                break
            sent_s = self.now
            reply = self._send_start(start.worker.entry, order)
            is_missing = reply.refusal is Refusal.UNANSWERED
            yield timeouts_s[0] if is_missing else _WAY_S
            timeouts_s = timeouts_s[1:] or timeouts_s
            if not self._is_again(start, reply, sent_s):
                break
            yield _REPEAT_S
        self.notice()

    def _is_again(
        self,
        start: PlannedStart,
        reply: OrderReply,
        sent_s: float,
    ) -> bool:
        """Take the answer to a start; tell whether to send it again."""
        return self._goes_on and self.scheduler.starts.start_answered(
            start,
            reply,
            sent_s,
            self.now,
        )

    def _send_start(self, entry: WorkerEntry, order: StartOrder) -> OrderReply:
        def carry_out(worker: FaultyWorker) -> OrderReply:
            now = self._around.timeline.now
            has_ticket = is_valid_ticket(order.ticket, worker, now)
            return worker.start(order, has_ticket=has_ticket)

        return self._around.links.order(entry, carry_out)

    def _stop(self, entry: WorkerEntry, order: StopOrder) -> Process:
        reply = self._around.links.order(
            entry,
            lambda worker: worker.stop(order),
        )
        yield _WAY_S
        if reply.refusal is None and self._goes_on:
            self.scheduler.tracker.stop_acked(
                entry.worker_id,
                order.task,
                order.run,
                self.now,
            )

    def _hold_worker(self, worker_id: str) -> Process:
        """Hold one worker until it is gone."""
        times = self._around.settings.holds
        workers = self.scheduler.workers
        missed_count = 0
        while planned := workers.hold_order(worker_id, self.now):
            sent_s = self.now
            answer = yield from self._hold(*planned)
            if not self._goes_on:
                break
            self.notice()
            if isinstance(answer, HoldReport):
                missed_count = 0
                workers.hold_answered(worker_id, answer, sent_s, self.now)
                is_granted = planned[1].deadline_ms is not None
                yield _POLL_S if is_granted else times.retry_pause_s
            else:
                workers.hold_refused(worker_id, OrderReply(answer), self.now)
                pauses = min(missed_count, times.most_pauses)
                yield max(_POLL_S, pauses * times.retry_pause_s)
                missed_count += 1

    def _hold(
        self,
        entry: WorkerEntry,
        order: HoldOrder,
    ) -> Process:
        """Make one held call; return the lists, or why there are none."""
        links = self._around.links
        worker = links.reach(entry)
        wait_s = order.wait_ms / MS_PER_S
        if not isinstance(worker, Refusal) and links.is_lost():
            worker = Refusal.UNANSWERED
        if isinstance(worker, Refusal):
            if worker is Refusal.UNANSWERED:
                slack_s = self._around.settings.holds.least_slack_s
                yield wait_s + slack_s
            return worker
        yield _WAY_S
        refusal = worker.take_hold(order).refusal
        if refusal is not None:
            return refusal
        ends_s = self.now + wait_s
        while self.now < ends_s and not worker.has_ends:
            yield _POLL_S
        if worker.is_cut or worker.is_over or links.is_lost():
            return Refusal.UNANSWERED
        return worker.report()

    def _ask(self, call: AdviceCall) -> Process:
        asked_s = self.now
        job = self.scheduler.tracker.jobs_by_id[call.step.partition('.')[0]]
        policy = self._around.advice_by_queue[job.stored.queue]
        plan = self._around.advice.take(call, policy, self.now)
        answer = None
        if plan is None:
            yield call.timeout_s
        else:
            yield plan.answered_s - self.now
            answer = self._around.advice.answer(call, plan)
        yield _WAY_S
        if self._goes_on:
            self.scheduler.advice.answered(call, answer, asked_s, self.now)
            self.notice()
