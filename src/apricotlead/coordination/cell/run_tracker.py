"""The life of runs: placing, stops, and what is counted by the way.

What their ends bring about is in
:mod:`apricotlead.coordination.cell.run_ends`. A run takes room on its worker
from the moment it is chosen until the worker lists its end, shows that it is
not there, or has certainly lost its lease.
"""

from typing import Any

from apricotlead.coordination.cell.job_summary import job_summary
from apricotlead.protocol.cell_jobs import JobState
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import JobRun, StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.estimate_errors import EstimateErrors


class RunTracker:
    """All jobs, workers and runs; collects what must be journaled."""

    __slots__ = (
        'dirty_job_ids',
        'estimate_errors',
        'jobs_by_id',
        'notes',
        'ready_steps_by_name',
        'restored_by_worker',
        'stop_acked_s_by_run',
        'usage_by_organisation',
        'workers_by_id',
    )

    def __init__(self) -> None:
        """Begin empty."""
        self.jobs_by_id: dict[str, JobRun] = {}
        self.workers_by_id: dict[str, WorkerState] = {}
        self.estimate_errors = EstimateErrors()
        # Runs of a former term whose workers are not known yet.
        self.restored_by_worker: dict[str, list[TaskState]] = {}
        self.ready_steps_by_name: dict[str, StepState] = {}
        self.usage_by_organisation: dict[str, Resources] = {}
        self.dirty_job_ids: dict[str, None] = {}
        self.stop_acked_s_by_run: dict[tuple[str, str, int], float] = {}
        # Decisions to be logged: kind and fields.
        self.notes: list[tuple[str, dict[str, Any]]] = []

    def note(self, kind: str, **fields: Any) -> None:
        """Leave a decision to be logged."""
        self.notes.append((kind, fields))

    def mark_dirty(self, job: JobRun) -> None:
        """Mark a job as changed since it was journaled."""
        self.dirty_job_ids[job.job_id] = None

    def usage(self, organisation: str) -> Resources:
        """Return what an organisation may have running."""
        return self.usage_by_organisation.get(organisation, Resources())

    def task(self, name: str) -> TaskState | None:
        """Return a task of a known job by its name."""
        job = self.jobs_by_id.get(name.partition('.')[0])
        return None if job is None else job.task(name)

    def update_ready_steps(self, job: JobRun, now: float) -> None:
        """Make steps ready whose earlier steps are done."""
        if job.state.is_final:
            return
        for step in job.steps_by_key.values():
            earlier = (
                job.steps_by_key[step.occurrence, index]
                for index in step.spec.after
            )
            if step.is_done or not all(other.is_done for other in earlier):
                continue
            if step.ready_s is None:
                step.ready_s = now
            if step.waiting_count:
                self.ready_steps_by_name[step.name] = step

    def place(
        self,
        task: TaskState,
        worker: WorkerState,
        now: float,
        ticket: str = '',
    ) -> None:
        """Choose a worker for the next run of a waiting task."""
        task.run += 1
        task.worker_id = worker.worker_id
        task.ticket = ticket
        task.started_s = now
        task.is_start_known = True
        task.first_progress = None
        task.progress = 0.0
        task.progress_s = now
        task.percent = 100
        worker.place(task)
        self.adjust_usage(task, added=True)
        self.set_phase(task, TaskPhase.PLANNED)

    def requeue(self, task: TaskState, now: float) -> None:
        """Let a task wait again; its run is certainly not running."""
        if not task.is_placed:
            return
        worker = self.workers_by_id.get(task.worker_id)
        if worker is not None:
            worker.release(task)
            worker.runs_to_stop.pop((task.name, task.run), None)
        self.adjust_usage(task, added=False)
        self.set_phase(task, TaskPhase.WAITING)
        task.worker_id = ''
        self.update_ready_steps(task.step.job, now)
        if task.step.spec.gang:
            self.stop(task)

    def track_restored_runs(self, job: JobRun) -> None:
        """Remember the runs that a former scheduler had placed."""
        for task in job.tasks():
            if task.is_placed:
                tasks = self.restored_by_worker.setdefault(task.worker_id, [])
                tasks.append(task)

    def restore_placements(self, worker: WorkerState) -> None:
        """Count the runs that a former scheduler had placed on a worker."""
        for task in self.restored_by_worker.pop(worker.worker_id, ()):
            worker.place(task)
            self.adjust_usage(task, added=True)

    def stop(self, task: TaskState) -> None:
        """Order a placed run to be stopped, and its whole gang with it.

        Members that are left behind would wait for it in vain.
        """
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            self._stop_one(member)

    def _stop_one(self, task: TaskState) -> None:
        if task.phase is TaskPhase.STOPPING or not task.is_placed:
            return
        worker = self.workers_by_id.get(task.worker_id)
        if worker is not None:
            worker.runs_to_stop[task.name, task.run] = None
        self.set_phase(task, TaskPhase.STOPPING)

    def mark_sent(self, task: TaskState) -> None:
        """Note that the journal holds a planned run."""
        if task.phase is TaskPhase.PLANNED:
            self.set_phase(task, TaskPhase.SENT, is_change=False)

    def mark_running(self, task: TaskState, now: float) -> None:
        """Note that a worker has begun a run."""
        if task.phase is TaskPhase.SENT:
            task.started_s = now
            task.progress_s = now
            task.step.job.has_started = True
            self.set_phase(task, TaskPhase.RUNNING, is_change=False)

    def finish(self, job: JobRun, state: JobState, now: float) -> None:
        """Give a job its final state and stop what is left of it."""
        if job.state.is_final:
            return
        job.state = state
        self.mark_dirty(job)
        self.note(
            'job ended',
            job=job.job_id,
            state=str(state),
            **job_summary(job, now),
        )
        for step in job.steps_by_key.values():
            self.ready_steps_by_name.pop(step.name, None)
        for task in job.tasks():
            self.stop(task)

    def stop_acked(
        self, worker_id: str, name: str, run: int, now: float
    ) -> None:
        """Note that a worker took a stop: the run will never begin there."""
        self.stop_acked_s_by_run[worker_id, name, run] = now
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            worker.runs_to_stop.pop((name, run), None)

    def forget_worker(self, worker: WorkerState, now: float) -> None:
        """Free the runs of a worker's life that is certainly over."""
        self.workers_by_id.pop(worker.worker_id, None)
        for task in tuple(worker.tasks_by_name.values()):
            self.release_done(worker, task)
            worker.release(task)
            if task.is_placed:
                self.note(
                    'run lost',
                    task=task.name,
                    run=task.run,
                    worker=worker.worker_id,
                )
                self.requeue(task, now)

    def occupies_worker(self, task: TaskState) -> bool:
        """Tell whether a run still takes room on its worker."""
        worker = self.workers_by_id.get(task.worker_id)
        return worker is not None and task.name in worker.tasks_by_name

    def release_done(self, worker: WorkerState, task: TaskState) -> None:
        """Free what the run of a task that is done took until its end."""
        if task.phase is TaskPhase.DONE:
            worker.release(task)
            self.adjust_usage(task, added=False)
            key = (worker.worker_id, task.name, task.run)
            self.stop_acked_s_by_run.pop(key, None)

    def detach_unlisted_runs(self, worker: WorkerState) -> list[TaskState]:
        """Take runs away from a worker that were sent and never listed."""
        unlisted = [
            task
            for task in worker.tasks_by_name.values()
            if task.is_placed
            and task.phase is not TaskPhase.PLANNED
            and task.first_progress is None
        ]
        for task in unlisted:
            worker.release(task)
        return unlisted

    def stop_after_restart(
        self, tasks: list[TaskState], worker: WorkerState
    ) -> None:
        """Stop runs in the next life of their worker, which may have them."""
        for task in tasks:
            worker.place(task)
        for moved in tasks:
            # What the former life was told, or answered, counts no more.
            self.set_phase(moved, TaskPhase.SENT)
            self.stop(moved)

    def adjust_usage(self, task: TaskState, *, added: bool) -> None:
        """Count what a task takes of its organisation's limit, or frees."""
        organisation = task.step.job.stored.organisation
        usage = self.usage(organisation)
        demand = task.step.demand()
        usage = usage + demand if added else usage - demand
        self.usage_by_organisation[organisation] = usage

    def set_phase(
        self,
        task: TaskState,
        phase: TaskPhase,
        *,
        is_change: bool = True,
    ) -> None:
        """Move a task to a phase; a change is journaled."""
        step = task.step
        if task.phase is TaskPhase.STOPPING:
            key = (task.worker_id, task.name, task.run)
            self.stop_acked_s_by_run.pop(key, None)
        if task.phase is TaskPhase.WAITING:
            step.waiting_count -= 1
        if phase is TaskPhase.WAITING:
            step.waiting_count += 1
        if phase is TaskPhase.DONE:
            step.done_count += 1
        task.phase = phase
        if not step.waiting_count:
            self.ready_steps_by_name.pop(step.name, None)
        if is_change:
            self.mark_dirty(step.job)
