"""The life of runs: placing, ends, stops, and what workers report.

A run takes room on its worker from the moment it is chosen until the worker
lists its end, shows that it is not there, or has certainly lost its lease.
"""

from typing import Any

from apricotlead.coordination.cell.job_summary import (
    job_summary,
    run_core_s,
)
from apricotlead.protocol.cell_jobs import JobState
from apricotlead.protocol.cell_workers import (
    EndedTask,
    EndKind,
)
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import JobRun, StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.estimate_errors import EstimateErrors

_MS_PER_S = 1000.0


class RunBook:
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

    def touch(self, job: JobRun) -> None:
        """Mark a job as changed since it was journaled."""
        self.dirty_job_ids[job.job_id] = None

    def usage(self, organisation: str) -> Resources:
        """Return what an organisation may have running."""
        return self.usage_by_organisation.get(organisation, Resources())

    def task(self, name: str) -> TaskState | None:
        """Return a task of a known job by its name."""
        job = self.jobs_by_id.get(name.partition('.')[0])
        return None if job is None else job.task(name)

    def open_steps(self, job: JobRun, now: float) -> None:
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
        self._use(task, added=True)
        self._set_phase(task, TaskPhase.PLANNED)

    def unplace(self, task: TaskState, now: float) -> None:
        """Let a task wait again; its run is certainly not running."""
        if not task.is_placed:
            return
        worker = self.workers_by_id.get(task.worker_id)
        if worker is not None:
            worker.release(task)
            worker.stops_by_task.pop(task.name, None)
        self._use(task, added=False)
        self._set_phase(task, TaskPhase.WAITING)
        task.worker_id = ''
        self.open_steps(task.step.job, now)
        if task.step.spec.gang:
            self.stop(task)

    def note_restored(self, job: JobRun) -> None:
        """Remember the runs that a former scheduler had placed."""
        for task in job.tasks():
            if task.is_placed:
                tasks = self.restored_by_worker.setdefault(task.worker_id, [])
                tasks.append(task)

    def restore_places(self, worker: WorkerState) -> None:
        """Count the runs that a former scheduler had placed on a worker."""
        for task in self.restored_by_worker.pop(worker.worker_id, ()):
            worker.place(task)
            self._use(task, added=True)

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
            worker.stops_by_task[task.name] = task.run
        self._set_phase(task, TaskPhase.STOPPING)

    def sent(self, task: TaskState) -> None:
        """Note that the journal holds a planned run."""
        if task.phase is TaskPhase.PLANNED:
            self._set_phase(task, TaskPhase.SENT, is_change=False)

    def running(self, task: TaskState, now: float) -> None:
        """Note that a worker has begun a run."""
        if task.phase is TaskPhase.SENT:
            task.started_s = now
            task.progress_s = now
            task.step.job.has_started = True
            self._set_phase(task, TaskPhase.RUNNING, is_change=False)

    def finish(self, job: JobRun, state: JobState, now: float) -> None:
        """Give a job its final state and stop what is left of it."""
        if job.state.is_final:
            return
        job.state = state
        self.touch(job)
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

    def end(self, worker: WorkerState, ended: EndedTask, now: float) -> None:
        """Apply an end that a worker lists."""
        worker.drop_stray(ended.task)
        if worker.stops_by_task.get(ended.task, ended.run + 1) <= ended.run:
            worker.stops_by_task.pop(ended.task)
        task = worker.tasks_by_name.get(ended.task)
        if task is None or task.run != ended.run:
            self._end_former(worker, ended, now)
            return
        task.step.job.has_started = True
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        self.note(
            'run ended',
            task=task.name,
            run=task.run,
            worker=worker.worker_id,
            how=str(ended.kind),
            after_s=round(now - task.started_s, 2),
            estimate_s=round(task.step.spec.estimated_ms / 1000, 2),
        )
        self._account(task, ended.kind, now)
        if task.phase is TaskPhase.DONE:
            worker.release(task)
        elif ended.kind is EndKind.DONE:
            self._done(worker, task, now)
        else:
            self._ended_undone(worker, task, ended.kind, now)

    def _end_former(
        self,
        worker: WorkerState,
        ended: EndedTask,
        now: float,
    ) -> None:
        """Apply the end of a run that another one has replaced.

        Work that is done counts, however late that is heard; what runs of it
        elsewhere is stopped.
        """
        self.note(
            'old end',
            task=ended.task,
            run=ended.run,
            worker=worker.worker_id,
            how=str(ended.kind),
        )
        task = self.task(ended.task)
        if task is None or ended.kind is not EndKind.DONE:
            return
        job = task.step.job
        if job.state.is_final or task.step.spec.long_running:
            return
        # The end of one member stands for its whole gang.
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            self._done_elsewhere(member)
        self._step_done(task.step, now)

    def _done_elsewhere(self, task: TaskState) -> None:
        """Call a task done whose present run, if any, is not needed."""
        if task.phase is TaskPhase.DONE:
            return
        if task.is_placed:
            worker = self.workers_by_id.get(task.worker_id)
            if worker is not None:
                worker.stops_by_task[task.name] = task.run
            self._use(task, added=False)
        self._set_phase(task, TaskPhase.DONE)

    def _account(self, task: TaskState, kind: EndKind, now: float) -> None:
        """Keep what the line at the job's end tells of a run."""
        step = task.step
        taken_s = now - task.started_s
        if kind is EndKind.DONE:
            step.longest_run_s = max(step.longest_run_s, taken_s)
        else:
            core_s = run_core_s(step.spec.demand.cpu_millis, taken_s)
            step.lost_core_s_by_kind[str(kind)] += core_s

    def stop_acked(
        self, worker_id: str, name: str, run: int, now: float
    ) -> None:
        """Note that a worker took a stop: the run will never begin there."""
        self.stop_acked_s_by_run[worker_id, name, run] = now
        worker = self.workers_by_id.get(worker_id)
        if worker is not None and worker.stops_by_task.get(name) == run:
            worker.stops_by_task.pop(name)

    def forget_worker(self, worker: WorkerState, now: float) -> None:
        """Free the runs of a worker's life that is certainly over."""
        self.workers_by_id.pop(worker.worker_id, None)
        for task in tuple(worker.tasks_by_name.values()):
            worker.release(task)
            if task.is_placed:
                self.note(
                    'run lost',
                    task=task.name,
                    run=task.run,
                    worker=worker.worker_id,
                )
                self.unplace(task, now)

    def _use(self, task: TaskState, *, added: bool) -> None:
        organisation = task.step.job.stored.organisation
        usage = self.usage(organisation)
        demand = task.step.demand()
        usage = usage + demand if added else usage - demand
        self.usage_by_organisation[organisation] = usage

    def _set_phase(
        self,
        task: TaskState,
        phase: TaskPhase,
        *,
        is_change: bool = True,
    ) -> None:
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
            self.touch(step.job)

    def _done(self, worker: WorkerState, task: TaskState, now: float) -> None:
        worker.failures_in_row = 0
        step = task.step
        if task.is_start_known and not task.checkpoint:
            self._learn(worker, task, now - task.started_s)
        # The end of one member stands for its whole gang.
        members = step.tasks if step.spec.gang else [task]
        worker.release(task)
        for member in members:
            if member.phase is not TaskPhase.DONE and member.run == task.run:
                self._use(member, added=False)
                self._set_phase(member, TaskPhase.DONE)
        if step.spec.long_running:
            self._restart(task)
        self._step_done(step, now)

    def _step_done(self, step: StepState, now: float) -> None:
        """Finish the job or open its next steps, if this one is done."""
        job = step.job
        if job.is_complete():
            self.finish(job, JobState.COMPLETED, now)
        elif step.is_done:
            self.open_steps(job, now)

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
            self.estimate_errors.observe(
                step.job.stored.queue,
                taken_s / worker.speed.slowness,
                estimate_s,
            )
        # The slowest worker decides how long a gang takes.
        if not step.spec.gang:
            step.longest_done_s = max(step.longest_done_s, taken_s)
            worker.speed.observe(taken_s, estimate_s)

    def _restart(self, task: TaskState) -> None:
        """Let a task that lasts wait again after it ended as done."""
        step = task.step
        step.done_count -= 1
        task.phase = TaskPhase.WAITING
        task.worker_id = ''
        step.waiting_count += 1
        self.ready_steps_by_name[step.name] = step

    def _ended_undone(
        self,
        worker: WorkerState,
        task: TaskState,
        kind: EndKind,
        now: float,
    ) -> None:
        step = task.step
        if kind is EndKind.FAILED:
            worker.failures_in_row += 1
            task.avoided_workers.add(worker.worker_id)
            task.failures += 1
            step.gang_failures += 1
        self.unplace(task, now)
        attempts = step.gang_failures if step.spec.gang else task.failures
        is_bounded = not step.spec.long_running
        if is_bounded and attempts >= step.job.stored.max_attempts:
            self.finish(step.job, JobState.FAILED, now)
