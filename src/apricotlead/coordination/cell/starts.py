"""Start and stop orders, from the journal entry to the worker's reply."""

from msgspec import Struct

from apricotlead.coordination.cell.advice_cache import AdviceCache
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.protocol.cell_workers import (
    OrderReply,
    Refusal,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from apricotlead.state.cell_jobs import TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState

# After these, a start whose outcome is unknown is sent again.
_LOST_REFUSALS = frozenset(
    (Refusal.UNANSWERED, Refusal.NOT_SENT, Refusal.NO_LISTENER)
)
# After these, a start may have begun, or may still begin.
_UNCERTAIN_REFUSALS = frozenset((Refusal.UNANSWERED, Refusal.OLD_RUN))
# A start that a worker rejects as malformed is retried after this delay.
_MALFORMED_PAUSE_S = 2.0


class PlannedStart(Struct):
    """A run whose journal entry is being written.

    ``is_outcome_unknown`` is set once a send had no reply: the worker may be
    running it, or may start it seconds later, whatever it replies to a retry.
    """

    task: TaskState
    run: int
    worker: WorkerState
    deadline_ms: float
    deadline_s: float
    is_outcome_unknown: bool = False


class StartTracker:
    """Turns journaled starts into orders and applies the replies."""

    __slots__ = ('_advice', '_settings', '_stop_sent_s', '_tracker')

    def __init__(
        self,
        settings: CellSettings,
        tracker: RunTracker,
        advice: AdviceCache,
    ) -> None:
        """Create a tracker without orders."""
        self._settings = settings
        self._tracker = tracker
        self._advice = advice
        self._stop_sent_s: dict[tuple[str, str, int], float] = {}

    def prepare(
        self,
        planned: list[tuple[TaskState, int]],
        renewed_s: float,
        now: float,
    ) -> list[PlannedStart]:
        """Return the starts that depend on the journal write about to be made.

        Deadlines are computed before the write, so that a scheduler paused
        after it sends deadlines that have already expired.
        """
        starts: list[PlannedStart] = []
        for task, run in planned:
            worker = self._tracker.workers_by_id.get(task.worker_id)
            if worker is None:
                continue
            deadline_ms = None
            if worker.may_grant_lease:
                deadline_ms = worker.lease.deadline(now, renewed_s)
            if deadline_ms is None:
                self._tracker.requeue(task, now)
                continue
            ends_s = now + self._settings.leases.lease_s
            starts.append(PlannedStart(task, run, worker, deadline_ms, ends_s))
        return starts

    def start_order(
        self,
        start: PlannedStart,
        now: float,
    ) -> StartOrder | None:
        """Return the order for a journaled start, ``None`` if obsolete."""
        task = start.task
        if task.run != start.run:
            return None
        if task.phase is not TaskPhase.SENT:
            # Nothing is on its way, as this is asked only between two sends.
            self._requeue_unstarted(start, now)
            return None
        times = self._settings.leases
        planned_s = start.deadline_s - times.lease_s
        has_time = now - planned_s < times.start_within_s
        has_ticket = not task.ticket or (
            self._advice.ticket(task.step.name, task.worker_id, now) is not None
        )
        # A retry also probes a worker that did not answer the last send.
        is_worker_available = start.worker.takes_work(now) or (
            start.is_outcome_unknown and start.worker.is_eligible(now)
        )
        # The worker's capacity may have shrunk since the run was placed.
        has_room = start.worker.used.fits_in(start.worker.entry.capacity)
        if not (has_time and has_ticket and has_room and is_worker_available):
            self._tracker.note(
                'start dropped',
                task=task.name,
                run=task.run,
                worker=task.worker_id,
                has_time=has_time,
                has_ticket=has_ticket,
                has_room=has_room,
                takes_work=is_worker_available,
                is_unknown=start.is_outcome_unknown,
            )
            self._abandon_start(start, now)
            return None
        start.worker.lease.note_grant_sent(now)
        return StartOrder(
            task.name,
            task.run,
            task.step.job.stored.submission.payload,
            start.worker.fence,
            start.deadline_ms,
            self._checkpoint(task),
            task.ticket,
        )

    def start_answered(
        self,
        start: PlannedStart,
        reply: OrderReply,
        sent_s: float,
        now: float,
    ) -> bool:
        """Apply the reply to a start; tell whether to send it again."""
        task = start.task
        is_restart = start.worker.is_of_later_life(reply, sent_s)
        if is_restart:
            self._note_restart(start, reply, now)
        if task.run != start.run:
            return False
        if reply.refusal is None:
            lease = start.worker.lease
            until_s = lease.note_start_taken(
                start.deadline_ms, reply.clock_ms, now
            )
            if not is_restart:
                lease.latest_expiry_s = max(lease.latest_expiry_s, until_s)
                lease.record_answer(reply.clock_ms, sent_s, now)
                self._tracker.mark_running(task, now)
            return False
        self._tracker.note(
            'start refused',
            task=task.name,
            run=task.run,
            worker=task.worker_id,
            why=str(reply.refusal),
            detail=reply.detail,
        )
        if reply.refusal is Refusal.UNANSWERED and task.is_placed:
            self._tracker.note_unanswered_start(task, now)
        if task.phase is not TaskPhase.SENT:
            if reply.refusal not in _UNCERTAIN_REFUSALS:
                self._requeue_unstarted(start, now)
            return False
        return self._handle_refusal(start, reply.refusal, now)

    def stops_due(self, now: float) -> list[tuple[WorkerEntry, StopOrder]]:
        """Return the stops to send now: new ones and unanswered ones."""
        due: list[tuple[WorkerEntry, StopOrder]] = []
        retry_s = self._settings.holds.stop_retry_s
        for worker in self._tracker.workers_by_id.values():
            for name, run in worker.runs_to_stop:
                key = (worker.worker_id, name, run)
                if now - self._stop_sent_s.get(key, float('-inf')) >= retry_s:
                    self._stop_sent_s[key] = now
                    order = StopOrder(name, run, worker.fence)
                    due.append((worker.entry, order))
        return due

    def _note_restart(
        self, start: PlannedStart, reply: OrderReply, now: float
    ) -> None:
        """Handle an answer that shows that its worker has restarted.

        The start may run there, as a call that the new life has taken. What
        becomes of it is decided once that life has answered a hold.
        """
        start.is_outcome_unknown = True
        start.worker.forget_connection()
        start.worker.suspected_s = now
        self._tracker.note(
            'start reached another life',
            task=start.task.name,
            run=start.run,
            worker=start.worker.worker_id,
            clock_ms=reply.clock_ms,
            deadline_ms=start.deadline_ms,
            was_taken=reply.refusal is None,
        )

    def _checkpoint(self, task: TaskState) -> str:
        step = task.step
        if not step.spec.gang:
            return task.checkpoint
        # All members of a gang must resume from the same checkpoint.
        saved = (member.checkpoint for member in step.tasks)
        return next((each for each in saved if each), '')

    def _handle_refusal(
        self,
        start: PlannedStart,
        refusal: Refusal,
        now: float,
    ) -> bool:
        task = start.task
        worker = start.worker
        if refusal is Refusal.UNANSWERED:
            start.is_outcome_unknown = True
            worker.suspected_s = now
        if start.is_outcome_unknown and refusal in _LOST_REFUSALS:
            # start_order ends the retries once their deadline is near.
            return True
        if refusal is Refusal.MALFORMED:
            task.not_before_s = now + _MALFORMED_PAUSE_S
        elif refusal is Refusal.BAD_TICKET:
            self._advice.drop_ticket(task.step.name, worker.worker_id)
        elif refusal not in {Refusal.LATE, Refusal.OLD_RUN}:
            pause_s = self._settings.holds.unhealthy_pause_s
            worker.not_before_s = now + pause_s
        # A run refused as old has ended, or its stop arrived before its start.
        if refusal is Refusal.OLD_RUN:
            start.is_outcome_unknown = True
        self._abandon_start(start, now)
        return False

    def _requeue_unstarted(self, start: PlannedStart, now: float) -> None:
        """Requeue a task that was to be stopped before it could start.

        Pattern: gangs with several members on a worker that is lost. The first
        refusal stops the others. Their stops cannot be acknowledged, so they
        would wait until the lease of the worker has expired.
        """
        is_stopping = start.task.phase is TaskPhase.STOPPING
        if is_stopping and not start.is_outcome_unknown:
            self._tracker.requeue(start.task, now)

    def _abandon_start(self, start: PlannedStart, now: float) -> None:
        """Return the task to waiting, after a stop if the run may start."""
        if start.is_outcome_unknown:
            self._tracker.stop(start.task)
        else:
            self._tracker.requeue(start.task, now)
