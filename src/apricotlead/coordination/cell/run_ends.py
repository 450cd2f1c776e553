"""What the ends that workers list bring about."""

from apricotlead.coordination.cell.job_summary import run_core_s
from apricotlead.coordination.cell.run_book import RunBook
from apricotlead.protocol.cell_jobs import JobState
from apricotlead.protocol.cell_workers import EndedTask, EndKind
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState

_MS_PER_S = 1000.0


class RunEnds:
    """Applies ends to the jobs and runs of a book."""

    __slots__ = ('_book',)

    def __init__(self, book: RunBook) -> None:
        """Change ``book``."""
        self._book = book

    def apply(self, worker: WorkerState, ended: EndedTask, now: float) -> None:
        """Apply an end that a worker lists."""
        worker.drop_stray(ended.task, ended.run)
        worker.runs_to_stop.pop((ended.task, ended.run), None)
        task = worker.tasks_by_name.get(ended.task)
        if task is None or task.run != ended.run:
            self._apply_former(worker, ended, now)
            return
        task.step.job.has_started = True
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        self._account(worker, task, ended.kind, now)
        if task.phase is TaskPhase.DONE:
            self._book.release_done(worker, task)
        elif _is_final(task, ended.kind):
            self._done(worker, task, now)
        else:
            self._undone(worker, task, ended.kind, now)

    def _apply_former(
        self,
        worker: WorkerState,
        ended: EndedTask,
        now: float,
    ) -> None:
        """Apply the end of a run that another one has replaced.

        Work that is done counts, however late that is heard; what runs of it
        elsewhere is stopped.
        """
        self._book.note(
            'old end',
            task=ended.task,
            run=ended.run,
            worker=worker.worker_id,
            how=str(ended.kind),
        )
        task = self._book.task(ended.task)
        if task is None or ended.kind is not EndKind.DONE:
            return
        step = task.step
        if step.job.state.is_final or step.spec.long_running:
            return
        # The end of one member stands for its whole gang.
        for member in step.tasks if step.spec.gang else [task]:
            self._done_elsewhere(member)
        self._step_done(step, now)

    def _done_elsewhere(self, task: TaskState) -> None:
        """Call a task done whose present run, if any, is not needed."""
        if task.phase is TaskPhase.DONE:
            return
        if task.is_placed:
            worker = self._book.workers_by_id.get(task.worker_id)
            if worker is not None:
                worker.runs_to_stop[task.name, task.run] = None
        self._mark_done(task)

    def _mark_done(self, task: TaskState) -> None:
        """Call a task done; its run counts as long as its worker has it."""
        if task.phase is TaskPhase.DONE:
            return
        if task.is_placed and not self._book.is_held(task):
            self._book.use(task, added=False)
        self._book.set_phase(task, TaskPhase.DONE)

    def _account(
        self,
        worker: WorkerState,
        task: TaskState,
        kind: EndKind,
        now: float,
    ) -> None:
        """Leave a line, and keep what the one at the job's end tells."""
        step = task.step
        taken_s = now - task.started_s
        self._book.note(
            'run ended',
            task=task.name,
            run=task.run,
            worker=worker.worker_id,
            how=str(kind),
            after_s=round(taken_s, 2),
            estimate_s=round(step.spec.estimated_ms / _MS_PER_S, 2),
        )
        if kind is EndKind.DONE:
            step.longest_run_s = max(step.longest_run_s, taken_s)
        else:
            core_s = run_core_s(step.spec.demand.cpu_millis, taken_s)
            step.lost_core_s_by_kind[str(kind)] += core_s

    def _done(self, worker: WorkerState, task: TaskState, now: float) -> None:
        worker.consecutive_failures = 0
        step = task.step
        if task.is_start_known and not task.checkpoint:
            self._learn(worker, task, now - task.started_s)
        # The end of one member stands for its whole gang.
        members = step.tasks if step.spec.gang else [task]
        worker.release(task)
        for member in members:
            if member.run == task.run:
                self._mark_done(member)
        self._step_done(step, now)

    def _step_done(self, step: StepState, now: float) -> None:
        """Finish the job or open its next steps, if this one is done."""
        job = step.job
        if job.is_complete():
            self._book.finish(job, JobState.COMPLETED, now)
        elif step.is_done:
            self._book.open_steps(job, now)

    def _learn(
        self,
        worker: WorkerState,
        task: TaskState,
        taken_s: float,
    ) -> None:
        """Learn from a whole run how long such work takes, and here."""
        step = task.step
        estimate_s = step.spec.estimated_ms / _MS_PER_S
        if not step.done_count:
            self._book.estimate_errors.observe(
                step.job.stored.queue,
                taken_s / worker.speed.slowness,
                estimate_s,
            )
        # The slowest worker decides how long a gang takes.
        if not step.spec.gang:
            step.longest_full_run_s = max(step.longest_full_run_s, taken_s)
            worker.speed.observe(taken_s, estimate_s)

    def _undone(
        self,
        worker: WorkerState,
        task: TaskState,
        kind: EndKind,
        now: float,
    ) -> None:
        step = task.step
        if kind is EndKind.FAILED:
            worker.consecutive_failures += 1
            task.avoided_workers.add(worker.worker_id)
            task.failures += 1
            step.gang_failures += 1
        elif kind is EndKind.DONE:
            worker.consecutive_failures = 0
        self._book.unplace(task, now)
        attempts = step.gang_failures if step.spec.gang else task.failures
        is_bounded = not step.spec.long_running
        if is_bounded and attempts >= step.job.stored.max_attempts:
            self._book.finish(step.job, JobState.FAILED, now)


def _is_final(task: TaskState, kind: EndKind) -> bool:
    """Tell whether a task need not run again after an end."""
    return kind is EndKind.DONE and not task.step.spec.long_running
