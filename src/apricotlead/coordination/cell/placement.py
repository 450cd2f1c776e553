"""Assignment of a step's waiting tasks to workers.

Pattern: tasks of very different sizes and urgency on workers of different
speeds. Tasks of a step with little slack go to the fastest workers that have
capacity; other tasks prefer slower workers. Small tasks avoid capacity that a
task of a waiting gang fits in, and then the workers that a gang waits for, if
other workers fit as well. Ties are broken by best fit, which leaves whole
workers free for gangs. A gang gets all its workers at once or none.
"""

from collections.abc import Iterable
from heapq import heapify, heappop, heappush
from math import inf

from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState


class WorkerHeadroom:
    """The capacity left on one worker during one placement round."""

    __slots__ = (
        'accelerators',
        'cpu',
        'gang_task_cpu',
        'max_backfill_s',
        'memory',
        'slowness_level',
        'was_reserved',
        'worker',
    )

    def __init__(self, worker: WorkerState) -> None:
        """Start from the worker's free capacity."""
        capacity, used = worker.entry.capacity, worker.used
        self.worker = worker
        # Whether a gang reserved this worker in the previous round.
        self.was_reserved = False
        # Longest run that may be backfilled before a reserving gang starts.
        self.max_backfill_s = inf
        # CPU millis of one task of a gang that waits for this worker, or 0.
        self.gang_task_cpu = 0
        # Rounded, so that workers of similar speed rank as equal.
        self.slowness_level = round(
            worker.speed.slowness * _LEVELS_PER_SLOWNESS
        )
        self.cpu = capacity.cpu_millis - used.cpu_millis
        self.memory = capacity.memory_mb - used.memory_mb
        self.accelerators = capacity.accelerators - used.accelerators

    @property
    def is_reserved(self) -> bool:
        """Return whether a gang has reserved this worker in this round."""
        return self.max_backfill_s < inf

    def fits(self, demand: Resources) -> bool:
        """Return whether a demand fits."""
        return (
            demand.cpu_millis <= self.cpu
            and demand.memory_mb <= self.memory
            and demand.accelerators <= self.accelerators
        )

    def displaces_gang_task(self, demand: Resources) -> bool:
        """Return whether fewer tasks of the waiting gang fit after a demand."""
        if not self.gang_task_cpu or demand.cpu_millis >= self.gang_task_cpu:
            return False
        left = self.cpu - demand.cpu_millis
        return left // self.gang_task_cpu < self.cpu // self.gang_task_cpu

    def take(self, demand: Resources, sign: int = 1) -> None:
        """Subtract a demand, or add it back with ``sign`` -1."""
        self.cpu -= sign * demand.cpu_millis
        self.memory -= sign * demand.memory_mb
        self.accelerators -= sign * demand.accelerators


# What workers are kept apart for that execute a trial.
IN_TRIAL = 'in trial'
_LEVELS_PER_SLOWNESS = 5
# Urgent tasks use workers with a higher slowness (run time relative to the
# estimate) only after all others.
_SLOW_THRESHOLD = 1.2
# All tasks use workers with a higher slowness last.
_VERY_SLOW_THRESHOLD = 2.0
Assignment = tuple[TaskState, WorkerHeadroom]
# Sort key (lowest is best), index among the candidates, headroom.
_RankedHeadroom = tuple[tuple[int, ...], int, WorkerHeadroom]


def waiting_tasks(step: StepState, now: float) -> list[TaskState]:
    """Return the tasks that may be placed now; for a gang, all or none.

    Of a step with suspects only these are placed, and no other task until they
    have been cleared: tasks of a step run the same program.
    """
    tasks = [
        task
        for task in step.tasks
        if task.phase is TaskPhase.WAITING and task.not_before_s <= now
    ]
    if step.spec.gang and len(tasks) < len(step.tasks):
        return []
    if not step.has_suspects or step.spec.gang:
        return tasks
    if has_trial(step):
        return []
    return [task for task in tasks if task.crashes.is_suspect]


def has_trial(step: StepState) -> bool:
    """Return whether a suspect of a step runs and has not been cleared yet."""
    return any(
        task.crashes.is_suspect and task.is_placed for task in step.tasks
    )


def is_eligible(step: StepState, worker: WorkerState) -> bool:
    """Return whether a worker may run a step, as far as it is kept apart."""
    if worker.apart_for != step.apart_for:
        return False
    if worker.apart_for is not None and not step.may_share_trial:
        # A trial begins once the worker is idle.
        if not is_idle(worker):
            return False
    return can_execute(step, worker)


def is_idle(worker: WorkerState) -> bool:
    """Return whether nothing runs on a worker, as far as is known.

    Unconfirmed runs of a job that is over do not count. The worker is only told
    not to begin them, and after each crash they are kept for two seconds.
    """
    return not worker.strays_by_run and all(
        map(_is_former_run, worker.tasks_by_name.values())
    )


def _is_former_run(task: TaskState) -> bool:
    is_stopping = task.phase is TaskPhase.STOPPING and not task.is_confirmed
    return is_stopping and task.step.job.state.is_final


def may_ask_about(step: StepState, worker: WorkerState) -> bool:
    """Return whether advice about a worker may be of use to a step.

    A suspect asks also about the other workers that could be kept for it, or
    are kept for one that may not run there: asking about one after another
    takes far too long where most may not run it.
    """
    if step.apart_for is None:
        may_be_kept = worker.apart_for is None
    else:
        may_be_kept = worker.apart_for != IN_TRIAL
    return may_be_kept and can_execute(step, worker)


def can_execute(step: StepState, worker: WorkerState) -> bool:
    """Return whether a worker has the service and label a step requires."""
    label = step.spec.required_label
    return worker.entry.service == step.job.stored.service and (
        not label or label in worker.entry.labels
    )


def fitting_task_count(step: StepState, free: Resources) -> int:
    """Return how many tasks of a step fit in a worker's free capacity."""
    demand = step.demand()
    counts = [step.spec.max_per_worker or step.spec.task_count]
    if demand.cpu_millis:
        counts.append(free.cpu_millis // demand.cpu_millis)
    if demand.memory_mb:
        counts.append(free.memory_mb // demand.memory_mb)
    if demand.accelerators:
        counts.append(free.accelerators // demand.accelerators)
    return max(0, min(counts))


def assign_tasks(
    step: StepState,
    tasks: list[TaskState],
    headrooms: Iterable[WorkerHeadroom],
    *,
    max_duration_s: float = inf,
    is_urgent: bool = False,
) -> list[Assignment]:
    """Assign as many tasks as fit and subtract them from the headrooms.

    Workers that gangs have reserved are used only if ``max_duration_s`` is
    short enough to backfill. A gang that does not fit completely is not
    assigned at all. Tasks of an urgent step prefer fast workers, those of
    other steps slow ones.
    """
    candidates = [
        headroom
        for headroom in headrooms
        if headroom.max_backfill_s >= max_duration_s
        and is_eligible(step, headroom.worker)
    ]
    if step.spec.same_rack:
        assignments = _assign_in_one_rack(step, tasks, candidates, is_urgent)
        if assignments:
            return assignments
    return _assign_from(step, tasks, candidates, is_urgent)


def _assign_in_one_rack(
    step: StepState,
    tasks: list[TaskState],
    candidates: list[WorkerHeadroom],
    is_urgent: bool,
) -> list[Assignment]:
    headrooms_by_rack: dict[str, list[WorkerHeadroom]] = {}
    for headroom in candidates:
        rack = headroom.worker.entry.rack
        headrooms_by_rack.setdefault(rack, []).append(headroom)
    for headrooms in headrooms_by_rack.values():
        assignments = _assign_from(step, tasks, headrooms, is_urgent)
        if len(assignments) == len(tasks):
            return assignments
        _release(step, assignments)
    return []


def _assign_from(
    step: StepState,
    tasks: list[TaskState],
    candidates: list[WorkerHeadroom],
    is_urgent: bool,
) -> list[Assignment]:
    heap = _CandidateHeap(step, candidates, is_urgent)
    assignments: list[Assignment] = []
    for task in tasks:
        best = heap.take_best(task.avoided_workers)
        if best is None:
            # All tasks of a step have the same demand, so none of them fits.
            break
        assignments.append((task, best))
    if step.spec.gang and len(assignments) < len(tasks):
        _release(step, assignments)
        return []
    return assignments


class _CandidateHeap:
    """A heap of the workers that fit the tasks of one step, best first.

    Pattern: wide steps in a large cell. Each worker is ranked once per step
    and again whenever it gets a task, rather than once per task.
    """

    __slots__ = ('_counts', '_demand', '_heap', '_is_urgent', '_spec')

    def __init__(
        self,
        step: StepState,
        candidates: list[WorkerHeadroom],
        is_urgent: bool,
    ) -> None:
        """Rank the candidates that fit one task."""
        self._spec = step.spec
        self._demand = step.demand()
        self._is_urgent = is_urgent
        self._counts = _step_counts_by_worker(step, candidates)
        self._heap: list[_RankedHeadroom] = [
            self._rank(number, headroom)
            for number, headroom in enumerate(candidates)
            if self._fits_task(headroom)
        ]
        heapify(self._heap)

    def take_best(self, avoided_workers: set[str]) -> WorkerHeadroom | None:
        """Allocate the best headroom for a task.

        Avoided workers are used only if no other fits.
        """
        skipped: list[_RankedHeadroom] = []
        while self._heap:
            ranked = heappop(self._heap)
            if ranked[2].worker.worker_id not in avoided_workers:
                break
            skipped.append(ranked)
        else:
            if not skipped:
                return None
            ranked = skipped.pop(0)
        for other in skipped:
            heappush(self._heap, other)
        _, number, headroom = ranked
        self._take(number, headroom)
        return headroom

    def _take(self, number: int, headroom: WorkerHeadroom) -> None:
        headroom.take(self._demand)
        worker_id = headroom.worker.worker_id
        self._counts[worker_id] = self._counts.get(worker_id, 0) + 1
        if self._fits_task(headroom):
            heappush(self._heap, self._rank(number, headroom))

    def _fits_task(self, headroom: WorkerHeadroom) -> bool:
        limit = self._spec.max_per_worker
        count = self._counts.get(headroom.worker.worker_id, 0)
        return headroom.fits(self._demand) and not (limit and count >= limit)

    def _rank(self, number: int, headroom: WorkerHeadroom) -> '_RankedHeadroom':
        rack = self._spec.data_rack
        is_slow = (
            headroom.slowness_level > _SLOW_THRESHOLD * _LEVELS_PER_SLOWNESS
        )
        key = (
            headroom.was_reserved,
            headroom.slowness_level
            > _VERY_SLOW_THRESHOLD * _LEVELS_PER_SLOWNESS,
            bool(rack) and headroom.worker.entry.rack != rack,
            self._is_urgent and is_slow,
            headroom.displaces_gang_task(self._demand),
            headroom.gang_task_cpu > self._demand.cpu_millis,
            headroom.slowness_level
            if self._is_urgent
            else -headroom.slowness_level,
            headroom.cpu,
        )
        return key, number, headroom


def _step_counts_by_worker(
    step: StepState,
    candidates: list[WorkerHeadroom],
) -> dict[str, int]:
    """Count a step's runs per worker, including runs it must not have."""
    if not step.spec.max_per_worker:
        return {}
    task_names = {task.name for task in step.tasks}
    counts: dict[str, int] = {}
    for headroom in candidates:
        worker = headroom.worker
        held_names = list(worker.tasks_by_name)
        held_names.extend(name for name, _ in worker.strays_by_run)
        counts[worker.worker_id] = sum(
            name in task_names for name in held_names
        )
    return counts


def _release(step: StepState, assignments: list[Assignment]) -> None:
    for _, headroom in assignments:
        headroom.take(step.demand(), sign=-1)
