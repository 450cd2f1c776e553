"""The scheduler's state of jobs, workers and runs, and its transitions.

The effects of a run's end are in
:mod:`apricotlead.coordination.cell.run_ends`. A run occupies capacity on its
worker from its placement until the worker reports its end, no longer lists
it, or has certainly lost its lease.
"""

from typing import Any

from apricotlead.coordination.cell.job_summary import job_summary
from apricotlead.protocol.cell_jobs import JobState
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import JobRun, StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.estimate_errors import EstimateErrors
from apricotlead.state.queue_risk import QueueRisk
from apricotlead.state.worker_lease import LeaseTimes

# In characters. Encoded in JSON, one may take six bytes, and a row has 48 kB.
MAX_CHECKPOINT_LENGTH = 4000


class RunTracker:
    """Holds all jobs, workers and runs, and the changes to be journaled."""

    __slots__ = (
        'dirty_job_ids',
        'estimate_errors',
        'jobs_by_id',
        'notes',
        'ready_steps_by_name',
        'restored_by_worker',
        'risks_by_queue',
        'stop_acked_s_by_run',
        'suspects_by_name',
        'usage_by_organisation',
        'workers_by_id',
    )

    def __init__(self) -> None:
        """Create an empty tracker."""
        self.jobs_by_id: dict[str, JobRun] = {}
        self.workers_by_id: dict[str, WorkerState] = {}
        self.estimate_errors = EstimateErrors()
        # Runs placed in a previous term whose workers have not registered yet.
        self.restored_by_worker: dict[str, list[TaskState]] = {}
        self.ready_steps_by_name: dict[str, StepState] = {}
        self.usage_by_organisation: dict[str, Resources] = {}
        self.dirty_job_ids: dict[str, None] = {}
        # Tasks that may have crashed a worker, until they have been cleared.
        self.suspects_by_name: dict[str, TaskState] = {}
        # How likely the work of each queue is to crash workers.
        self.risks_by_queue: dict[str, QueueRisk] = {}
        self.stop_acked_s_by_run: dict[tuple[str, str, int], float] = {}
        # Events to be logged: kind and fields.
        self.notes: list[tuple[str, dict[str, Any]]] = []

    def note(self, kind: str, **fields: Any) -> None:
        """Queue an event for the log."""
        self.notes.append((kind, fields))

    def mark_dirty(self, job: JobRun) -> None:
        """Mark a job as changed since its last journal entry."""
        self.dirty_job_ids[job.job_id] = None

    def usage(self, organisation: str) -> Resources:
        """Return the resources that an organisation's runs may occupy."""
        return self.usage_by_organisation.get(organisation, Resources())

    def task(self, name: str) -> TaskState | None:
        """Return a task by name, ``None`` if it or its job is unknown."""
        job = self.jobs_by_id.get(name.partition('.')[0])
        return None if job is None else job.task(name)

    def update_ready_steps(self, job: JobRun, now: float) -> None:
        """Mark the steps of a job as ready whose dependencies are done."""
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
        """Assign the next run of a waiting task to a worker."""
        task.run += 1
        task.worker_id = worker.worker_id
        task.born_ms = worker.entry.born_ms
        task.ticket = ticket
        task.placed_s = now
        task.started_s = now
        task.is_start_known = True
        task.unanswered_start_s = None
        task.may_outlast_lease = True
        task.first_progress = None
        task.progress = 0.0
        task.progress_s = now
        task.percent = 100
        worker.place(task)
        self.adjust_usage(task, added=True)
        self.set_phase(task, TaskPhase.PLANNED)

    def requeue(self, task: TaskState, now: float) -> None:
        """Return a task to waiting; its run must certainly have ended."""
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
        """Index the placed runs of a restored job by worker, and suspects."""
        for task in job.tasks():
            if task.crashes.is_suspect:
                self.suspects_by_name[task.name] = task
            if task.is_placed:
                tasks = self.restored_by_worker.setdefault(task.worker_id, [])
                tasks.append(task)

    def suspect(self, task: TaskState) -> None:
        """Suspect a task of crashing its workers."""
        task.crashes.is_suspect = True
        task.step.is_suspected = True
        self.suspects_by_name[task.name] = task
        self.mark_dirty(task.step.job)

    def clear_suspect(self, task: TaskState) -> None:
        """Stop suspecting a task; its crashes still count."""
        self.suspects_by_name.pop(task.name, None)
        task.crashes.is_suspect = False
        task.step.is_suspected = any(
            other.crashes.is_suspect for other in task.step.tasks
        )
        task.step.apart_for = None
        task.step.may_share_trial = False
        if not task.step.job.state.is_final:
            self.mark_dirty(task.step.job)

    def restore_placements(self, worker: WorkerState) -> None:
        """Account for the runs that a previous term placed on a worker."""
        for task in self.restored_by_worker.pop(worker.worker_id, ()):
            worker.place(task)
            self.adjust_usage(task, added=True)

    def stop(self, task: TaskState) -> None:
        """Request a stop of a placed run and of all members of its gang.

        The other members of a gang cannot make progress without it.
        """
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            self._stop_run(member)

    def _stop_run(self, task: TaskState) -> None:
        if task.phase is TaskPhase.STOPPING or not task.is_placed:
            return
        worker = self.workers_by_id.get(task.worker_id)
        if worker is not None:
            worker.runs_to_stop[task.name, task.run] = None
        self.set_phase(task, TaskPhase.STOPPING)

    def mark_sent(self, task: TaskState) -> None:
        """Mark a planned run as journaled."""
        if task.phase is TaskPhase.PLANNED:
            self.set_phase(task, TaskPhase.SENT, is_change=False)

    def mark_running(self, task: TaskState, now: float) -> None:
        """Mark a run as running once its worker has confirmed it."""
        task.may_outlast_lease = False
        if task.phase is TaskPhase.SENT:
            task.started_s = now
            task.progress_s = now
            task.step.job.has_started = True
            self.set_phase(task, TaskPhase.RUNNING, is_change=False)

    def finish(self, job: JobRun, state: JobState, now: float) -> None:
        """Set the final state of a job and stop its remaining runs."""
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
        """Record an acknowledged stop: the run will never start there."""
        self.stop_acked_s_by_run[worker_id, name, run] = now
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            worker.runs_to_stop.pop((name, run), None)

    def forget_worker(self, worker: WorkerState, now: float) -> None:
        """Remove a worker whose incarnation certainly ended; free its runs."""
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
        """Tell whether a run still occupies capacity on its worker."""
        worker = self.workers_by_id.get(task.worker_id)
        return worker is not None and task.name in worker.tasks_by_name

    def release_done(self, worker: WorkerState, task: TaskState) -> None:
        """Free the resources that the last run of a done task still holds."""
        if task.phase is TaskPhase.DONE:
            worker.release(task)
            self.adjust_usage(task, added=False)
            key = (worker.worker_id, task.name, task.run)
            self.stop_acked_s_by_run.pop(key, None)

    def save_checkpoint(self, task: TaskState, checkpoint: str) -> None:
        """Keep a checkpoint that a worker reported, for the task's next run.

        One that is too long for a row is not used.
        """
        if len(checkpoint) > MAX_CHECKPOINT_LENGTH:
            self.note(
                'checkpoint too long',
                task=task.name,
                length=len(checkpoint),
                most=MAX_CHECKPOINT_LENGTH,
            )
        elif checkpoint:
            task.checkpoint = checkpoint

    def note_unanswered_start(self, task: TaskState, now: float) -> None:
        """Record that a start of a run got no answer.

        It is journaled, as a successor has to wait for such a run, too.
        """
        task.unanswered_start_s = now
        self.mark_dirty(task.step.job)

    def detach_open_runs(
        self, worker: WorkerState, now: float
    ) -> list[TaskState]:
        """Remove and return the runs that a later incarnation may have taken.

        These were sent and never listed, or were listed although a start got no
        answer, and may still begin or be at work.
        """
        times = worker.lease.times
        open_runs = [
            task
            for task in worker.tasks_by_name.values()
            if task.is_placed
            and task.phase is not TaskPhase.PLANNED
            and _may_run_late(task, times, now)
        ]
        for task in open_runs:
            worker.release(task)
        return open_runs

    def stop_after_restart(
        self, tasks: list[TaskState], worker: WorkerState
    ) -> None:
        """Stop runs on their restarted worker, which may have received them."""
        for task in tasks:
            worker.place(task)
        for moved in tasks:
            moved.may_outlast_lease = True
            moved.born_ms = worker.entry.born_ms
            # Stops sent to, or acknowledged by, the old incarnation are void.
            self.set_phase(moved, TaskPhase.SENT)
            self.stop(moved)

    def adjust_usage(self, task: TaskState, *, added: bool) -> None:
        """Add or subtract a task's demand in its organisation's usage."""
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
        """Move a task to a phase, journaled unless ``is_change`` is false."""
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
        if phase is not TaskPhase.STOPPING:
            task.is_confirmed = phase is TaskPhase.RUNNING
        if not step.waiting_count:
            self.ready_steps_by_name.pop(step.name, None)
        if is_change:
            self.mark_dirty(step.job)


def _may_run_late(task: TaskState, times: LeaseTimes, now: float) -> bool:
    sent_s = task.unanswered_start_s
    is_listed = task.first_progress is not None
    # A former scheduler may not have recorded its latest starts.
    if sent_s is None and not (is_listed and task.is_start_known):
        sent_s = task.placed_s + times.start_within_s
    return sent_s is not None and now < times.late_run_until_s(sent_s)
