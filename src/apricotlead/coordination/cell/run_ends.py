"""Handling of the run ends that workers report."""

from apricotlead.coordination.cell.job_summary import run_core_s
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.protocol.cell_jobs import JobState
from apricotlead.protocol.cell_workers import EndedTask, EndKind
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState

_MS_PER_S = 1000.0


class RunEndHandler:
    """Applies reported ends to the jobs and runs of a tracker."""

    __slots__ = ('_tracker',)

    def __init__(self, tracker: RunTracker) -> None:
        """Apply ends to ``tracker``."""
        self._tracker = tracker

    def apply(self, worker: WorkerState, ended: EndedTask, now: float) -> None:
        """Apply an end that a worker reported."""
        worker.drop_stray(ended.task, ended.run)
        worker.runs_to_stop.pop((ended.task, ended.run), None)
        task = worker.tasks_by_name.get(ended.task)
        if task is None or task.run != ended.run:
            self._apply_superseded(worker, ended, now)
            return
        task.step.job.has_started = True
        self._tracker.save_checkpoint(task, ended.checkpoint)
        self._record_run_time(worker, task, ended.kind, now)
        if ended.kind is EndKind.DONE:
            # Also of a gang that another member's end has completed.
            worker.consecutive_failures = 0
        if task.phase is TaskPhase.DONE:
            self._tracker.release_done(worker, task)
        elif _is_final(task, ended.kind):
            self._handle_success(worker, task, now)
        else:
            self._handle_unsuccessful(worker, task, ended.kind, now)

    def _apply_superseded(
        self,
        worker: WorkerState,
        ended: EndedTask,
        now: float,
    ) -> None:
        """Apply the end of a run that a later run has replaced.

        A completion counts even if it is reported late; the later run is
        stopped.
        """
        self._tracker.note(
            'old end',
            task=ended.task,
            run=ended.run,
            worker=worker.worker_id,
            how=str(ended.kind),
        )
        task = self._tracker.task(ended.task)
        if task is None or ended.kind is not EndKind.DONE:
            return
        step = task.step
        if step.job.state.is_final or step.spec.long_running:
            return
        # A gang is done as soon as one of its members is.
        for member in step.tasks if step.spec.gang else [task]:
            self._complete_by_earlier_run(member)
        self._advance_job(step, now)

    def _complete_by_earlier_run(self, task: TaskState) -> None:
        """Mark a task as done by an earlier run; stop its current run, if any."""
        if task.phase is TaskPhase.DONE:
            return
        if task.is_placed:
            worker = self._tracker.workers_by_id.get(task.worker_id)
            if worker is not None:
                worker.runs_to_stop[task.name, task.run] = None
        self._mark_done(task)

    def _mark_done(self, task: TaskState) -> None:
        """Mark a task as done; its run is accounted while its worker has it."""
        if task.phase is TaskPhase.DONE:
            return
        if task.is_placed and not self._tracker.occupies_worker(task):
            self._tracker.adjust_usage(task, added=False)
        self._tracker.set_phase(task, TaskPhase.DONE)

    def _record_run_time(
        self,
        worker: WorkerState,
        task: TaskState,
        kind: EndKind,
        now: float,
    ) -> None:
        """Log the end of a run and update the totals of the job's summary."""
        step = task.step
        taken_s = now - task.started_s
        self._tracker.note(
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

    def _handle_success(
        self, worker: WorkerState, task: TaskState, now: float
    ) -> None:
        step = task.step
        if task.is_start_known and not task.checkpoint:
            self._update_estimates(worker, task, now - task.started_s)
        # A gang is done as soon as one of its members is.
        members = step.tasks if step.spec.gang else [task]
        worker.release(task)
        for member in members:
            if member.run == task.run:
                self._mark_done(member)
        self._advance_job(step, now)

    def _advance_job(self, step: StepState, now: float) -> None:
        """Finish the job if complete, else unblock steps if this one is done."""
        job = step.job
        if job.is_complete():
            self._tracker.finish(job, JobState.COMPLETED, now)
        elif step.is_done:
            self._tracker.update_ready_steps(job, now)

    def _update_estimates(
        self,
        worker: WorkerState,
        task: TaskState,
        taken_s: float,
    ) -> None:
        """Update the queue's estimate error and the worker's speed.

        Only for runs observed from start to end.
        """
        step = task.step
        estimate_s = step.spec.estimated_ms / _MS_PER_S
        if not step.done_count:
            self._tracker.estimate_errors.observe(
                step.job.stored.queue,
                taken_s / worker.speed.slowness,
                estimate_s,
            )
        # A gang takes as long as its slowest worker, so it says nothing about
        # this one.
        if not step.spec.gang:
            step.longest_full_run_s = max(step.longest_full_run_s, taken_s)
            worker.speed.observe(taken_s, estimate_s)

    def _handle_unsuccessful(
        self,
        worker: WorkerState,
        task: TaskState,
        kind: EndKind,
        now: float,
    ) -> None:
        step = task.step
        if kind is EndKind.FAILED:
            _count_failure(worker, task)
        self._tracker.requeue(task, now)
        attempts = step.gang_failures if step.spec.gang else task.failures
        is_bounded = not step.spec.long_running
        if is_bounded and attempts >= step.job.stored.max_attempts:
            self._tracker.finish(step.job, JobState.FAILED, now)


def _count_failure(worker: WorkerState, task: TaskState) -> None:
    """Count a failed run for its task, its gang and its worker.

    Members of a gang that fail together are one failure of their worker.
    """
    step = task.step
    # Any member of a gang fails on a failing worker, and ends the others' runs.
    for member in step.tasks if step.spec.gang else [task]:
        member.avoided_workers.add(worker.worker_id)
    task.failures += 1
    is_repeated = step.spec.gang and not step.count_gang_failure(
        task.run, worker.worker_id
    )
    if not is_repeated:
        worker.consecutive_failures += 1


def _is_final(task: TaskState, kind: EndKind) -> bool:
    """Tell whether an end completes a task."""
    return kind is EndKind.DONE and not task.step.spec.long_running
