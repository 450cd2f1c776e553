"""Recounts the scheduler's run tracker and compares it with its counters."""

from collections import Counter
from collections.abc import Iterable, Iterator
from functools import reduce
from operator import add

from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import JobRun, StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState


def find_errors(
    tracker: RunTracker,
    journaled_job_ids: Iterable[str],
    live_runs: Iterable[tuple[str, str, int]],
    limit: Resources,
) -> list[str]:
    """Return the inconsistencies of a run tracker.

    ``journaled_job_ids`` are the jobs of the pending journal write.
    ``live_runs`` holds the worker, task and run number of each run that is
    running, or whose end is not acknowledged yet.
    """
    written = {*journaled_job_ids, *tracker.dirty_job_ids}
    live = set(live_runs)
    found = list(_usage_errors(tracker, limit))
    found.extend(_ready_errors(tracker))
    for worker in tracker.workers_by_id.values():
        found.extend(_worker_errors(worker))
    for job in tracker.jobs_by_id.values():
        for step in job.steps_by_key.values():
            found.extend(_step_errors(step))
        for task in job.tasks():
            if task.is_placed and not _is_restored(tracker, task):
                found.extend(_task_errors(tracker, task, written, live))
    return found


def placed_runs(tracker: RunTracker) -> set[tuple[str, int]]:
    """Return the task names and run numbers placed on workers."""
    return {
        (task.name, task.run)
        for worker in tracker.workers_by_id.values()
        for task in worker.tasks_by_name.values()
    }


def tasks_over_max_per_worker(
    tracker: RunTracker, before: set[tuple[str, int]]
) -> list[str]:
    """Return the tasks that a round placed beyond ``max_per_worker``.

    ``before`` holds the placed runs before the round.
    """
    found: list[str] = []
    for worker in tracker.workers_by_id.values():
        names = list(worker.tasks_by_name)
        names.extend(name for name, _ in worker.strays_by_run)
        counts = Counter(name.rpartition('.')[0] for name in names)
        for task in worker.tasks_by_name.values():
            most = task.step.spec.max_per_worker
            is_new = (task.name, task.run) not in before
            if most and is_new and counts[task.step.name] > most:
                found.append(f'{task.name} exceeds max_per_worker')
    return found


def unfinished(
    tracker: RunTracker,
    running: set[tuple[str, str, int]],
) -> list[str]:
    """Return all work that is left, except long-running tasks that run.

    ``running`` holds the worker, task and run number of each running run.
    """
    found: list[str] = []
    long_running_keys: set[tuple[str, str, int]] = set()
    jobs = tracker.jobs_by_id.values()
    tasks = [task for job in jobs for task in job.tasks()]
    for task in tasks:
        key = (task.worker_id, task.name, task.run)
        if task.step.spec.long_running and key in running:
            long_running_keys.add(key)
        elif task.phase is not TaskPhase.DONE:
            found.append(f'{task.name} is {task.phase}')
    found.extend(
        f'{job.job_id} is final and not dropped'
        for job in jobs
        if job.state.is_final
    )
    found.extend(f'{key} runs' for key in running - long_running_keys)
    found.extend(_leftover_tasks(tracker, long_running_keys))
    return found


def _leftover_tasks(
    tracker: RunTracker,
    long_running_keys: set[tuple[str, str, int]],
) -> Iterator[str]:
    counts = Counter(key[0] for key in long_running_keys)
    for worker in tracker.workers_by_id.values():
        if len(worker.tasks_by_name) > counts[worker.worker_id]:
            yield f'{worker.worker_id} still holds tasks that are done'
        if worker.strays_by_run or worker.runs_to_stop:
            yield f'{worker.worker_id} still has stray runs or pending stops'


def _total(demands: Iterable[Resources]) -> Resources:
    return reduce(add, demands, Resources())


def _worker_errors(worker: WorkerState) -> Iterator[str]:
    tasks = worker.tasks_by_name.values()
    used = _total(
        [
            *(task.step.demand() for task in tasks),
            *worker.strays_by_run.values(),
        ],
    )
    if used != worker.used:
        yield f'{worker.worker_id} uses {worker.used}, recounted {used}'


def _usage_errors(tracker: RunTracker, limit: Resources) -> Iterator[str]:
    tasks_by_organisation: dict[str, list[TaskState]] = {}
    for worker in tracker.workers_by_id.values():
        for placed in worker.tasks_by_name.values():
            organisation = placed.step.job.stored.organisation
            tasks_by_organisation.setdefault(organisation, []).append(placed)
    known = tasks_by_organisation.keys() | tracker.usage_by_organisation.keys()
    for organisation in known:
        usage = tracker.usage(organisation)
        tasks = tasks_by_organisation.get(organisation, [])
        recounted = _total(task.step.demand() for task in tasks)
        if usage != recounted:
            yield f'{organisation} uses {usage}, recounted {recounted}'
        if limit.cpu_millis and usage.cpu_millis > limit.cpu_millis:
            if not _is_one_task_beyond(tasks, limit.cpu_millis):
                yield f'{organisation} uses {usage}, over its limit'


def _is_one_task_beyond(tasks: list[TaskState], limit: int) -> bool:
    """Return whether one step explains a usage beyond the limit.

    It started when less than half of the limit was used, and all its tasks
    that run but one fit.
    """
    used = sum(task.step.demand().cpu_millis for task in tasks)
    for step in {task.step.name: task.step for task in tasks}.values():
        demand = step.demand().cpu_millis
        own_count = 1
        if step.spec.gang:
            own_count = sum(task.step is step for task in tasks)
        used_before = used - own_count * demand
        if 2 * used_before < limit and used - demand <= limit:
            return True
    return False


def _step_errors(step: StepState) -> Iterator[str]:
    phases = Counter(task.phase for task in step.tasks)
    if phases[TaskPhase.WAITING] != step.waiting_count:
        yield f'{step.name} has a wrong waiting_count {step.waiting_count}'
    if phases[TaskPhase.DONE] != step.done_count:
        yield f'{step.name} has a wrong done_count {step.done_count}'


def _ready_errors(tracker: RunTracker) -> Iterator[str]:
    expected = {
        step.name: step
        for job in tracker.jobs_by_id.values()
        for step in job.steps_by_key.values()
        if _is_ready(job, step)
    }
    if expected.keys() != tracker.ready_steps_by_name.keys():
        wrong = expected.keys() ^ tracker.ready_steps_by_name.keys()
        yield f'ready_steps_by_name differs at: {sorted(wrong)}'
    for name, step in tracker.ready_steps_by_name.items():
        if expected.get(name) is not step:
            yield f'{name} is ready as a step of another job'


def _is_ready(job: JobRun, step: StepState) -> bool:
    earlier = (
        job.steps_by_key[step.occurrence, index] for index in step.spec.after
    )
    waits = any(task.phase is TaskPhase.WAITING for task in step.tasks)
    is_open = all(
        task.phase is TaskPhase.DONE
        for other in earlier
        for task in other.tasks
    )
    return waits and is_open and not job.state.is_final


def _is_restored(tracker: RunTracker, task: TaskState) -> bool:
    """Return whether a run was restored and its worker is not added yet."""
    return any(
        each is task
        for each in tracker.restored_by_worker.get(task.worker_id, ())
    )


def _task_errors(
    tracker: RunTracker,
    task: TaskState,
    written: set[str],
    live: set[tuple[str, str, int]],
) -> Iterator[str]:
    worker = tracker.workers_by_id.get(task.worker_id)
    if worker is None or worker.tasks_by_name.get(task.name) is not task:
        yield f'{task.name} is {task.phase} but not on {task.worker_id!r}'
        return
    if task.phase is TaskPhase.PLANNED and task.step.job.job_id not in written:
        yield f'{task.name} is PLANNED but not journaled'
    if task.phase is TaskPhase.STOPPING:
        key = (task.worker_id, task.name, task.run)
        has_end = (
            (task.name, task.run) in worker.runs_to_stop
            or key in tracker.stop_acked_s_by_run
            or key in live
            or not worker.lease.has_contact
        )
        if not has_end:
            yield f'{task.name} is STOPPING but nothing will end it'
