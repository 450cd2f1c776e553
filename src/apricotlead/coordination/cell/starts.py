"""Starts from the journal to the worker's answer."""

from msgspec import Struct

from apricotlead.coordination.cell.advice_book import AdviceBook
from apricotlead.coordination.cell.run_book import RunBook
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

# An order that a worker calls malformed is tried again after this pause.
_MALFORMED_PAUSE_S = 2.0


class PlannedStart(Struct):
    """A run whose journal entry is being written.

    ``is_unknown`` tells that a send was not answered: the worker may run it,
    or begin it seconds later, whatever it says of a repeat.
    """

    task: TaskState
    run: int
    worker: WorkerState
    deadline_ms: float
    deadline_s: float
    is_unknown: bool = False


class StartTracker:
    """Turns journaled starts into orders and applies the answers."""

    __slots__ = ('_advice', '_book', '_epoch', '_settings', '_stop_sent_s')

    def __init__(
        self,
        settings: CellSettings,
        book: RunBook,
        advice: AdviceBook,
        epoch: int,
    ) -> None:
        """Order under ``epoch``."""
        self._settings = settings
        self._book = book
        self._advice = advice
        self._epoch = epoch
        self._stop_sent_s: dict[tuple[str, str, int], float] = {}

    def prepare(
        self,
        planned: list[tuple[TaskState, int]],
        renewed_s: float,
        now: float,
    ) -> list[PlannedStart]:
        """Return the starts behind a write that is about to be made.

        Their deadlines are taken before the write: a scheduler that is paused
        after it then sends a deadline that has passed.
        """
        starts: list[PlannedStart] = []
        for task, run in planned:
            worker = self._book.workers_by_id.get(task.worker_id)
            if worker is None:
                continue
            deadline_ms = None
            if worker.may_grant_lease:
                deadline_ms = worker.lease.deadline(now, renewed_s)
            if deadline_ms is None:
                self._book.unplace(task, now)
                continue
            ends_s = now + self._settings.leases.lease_s
            starts.append(PlannedStart(task, run, worker, deadline_ms, ends_s))
        return starts

    def start_order(
        self,
        start: PlannedStart,
        now: float,
    ) -> StartOrder | None:
        """Return the order of a journaled start, ``None`` if it is void."""
        task = start.task
        if task.run != start.run or task.phase is not TaskPhase.SENT:
            return None
        has_time = start.deadline_s - now > self._settings.leases.lease_s / 2
        has_ticket = not task.ticket or (
            self._advice.ticket(task.step.name, task.worker_id, now) is not None
        )
        # A repeat also tells whether a worker in doubt is there.
        is_in_place = start.worker.takes_work(now) or (
            start.is_unknown and start.worker.is_eligible(now)
        )
        if not (has_time and has_ticket and is_in_place):
            self._book.note(
                'start dropped',
                task=task.name,
                run=task.run,
                worker=task.worker_id,
                has_time=has_time,
                has_ticket=has_ticket,
                takes_work=is_in_place,
                is_unknown=start.is_unknown,
            )
            self._give_up_start(start, now)
            return None
        return StartOrder(
            task.name,
            task.run,
            task.step.job.stored.submission.payload,
            self._epoch,
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
        """Apply the answer to a start; tell whether to send it again."""
        task = start.task
        if task.run != start.run:
            return False
        if reply.refusal is None:
            start.worker.lease.record_answer(reply.clock_ms, sent_s, now)
            self._book.running(task, now)
            return False
        self._book.note(
            'start refused',
            task=task.name,
            run=task.run,
            worker=task.worker_id,
            why=str(reply.refusal),
            detail=reply.detail,
        )
        if task.phase is not TaskPhase.SENT:
            return False
        return self._start_refused(start, reply.refusal, now)

    def stops_due(self, now: float) -> list[tuple[WorkerEntry, StopOrder]]:
        """Return the stops to send now: new ones, and unanswered ones."""
        due: list[tuple[WorkerEntry, StopOrder]] = []
        retry_s = self._settings.holds.stop_retry_s
        for worker in self._book.workers_by_id.values():
            for name, run in worker.runs_to_stop:
                key = (worker.worker_id, name, run)
                if now - self._stop_sent_s.get(key, float('-inf')) >= retry_s:
                    self._stop_sent_s[key] = now
                    order = StopOrder(name, run, self._epoch)
                    due.append((worker.entry, order))
        return due

    def _checkpoint(self, task: TaskState) -> str:
        step = task.step
        if not step.spec.gang:
            return task.checkpoint
        # All members of a gang must resume from the same checkpoint.
        saved = (member.checkpoint for member in step.tasks)
        return next((each for each in saved if each), '')

    def _start_refused(
        self,
        start: PlannedStart,
        refusal: Refusal,
        now: float,
    ) -> bool:
        task = start.task
        worker = start.worker
        if refusal is Refusal.UNANSWERED:
            start.is_unknown = True
            worker.suspected_s = now
        is_lost = refusal in {Refusal.UNANSWERED, Refusal.NOT_SENT}
        if start.is_unknown and is_lost:
            # start_order ends the repeats when their time is over.
            return True
        if refusal is Refusal.MALFORMED:
            task.not_before_s = now + _MALFORMED_PAUSE_S
        elif refusal is Refusal.BAD_TICKET:
            self._advice.drop_ticket(task.step.name, worker.worker_id)
        elif refusal not in {Refusal.LATE, Refusal.OLD_RUN}:
            pause_s = self._settings.holds.unhealthy_pause_s
            worker.not_before_s = now + pause_s
        # A run that is called old has ended, or a stop overtook its start.
        if refusal is Refusal.OLD_RUN:
            start.is_unknown = True
        self._give_up_start(start, now)
        return False

    def _give_up_start(self, start: PlannedStart, now: float) -> None:
        """Let the task wait again, once its run certainly does not begin."""
        if start.is_unknown:
            self._book.stop(start.task)
        else:
            self._book.unplace(start.task, now)
