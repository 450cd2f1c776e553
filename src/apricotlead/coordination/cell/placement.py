"""Which workers the waiting tasks of a step go to.

Pattern: tasks of very unlike sizes and urgency, on workers of unlike speed.
Tasks of a step with little slack go to the fastest workers with room, the
others leave those free. Small tasks spare the places, and then the workers,
that gangs wait for, where others do as well. Among equals a task goes to the
worker that it fills best, so that whole workers stay free for gangs. A gang
gets all its workers at once or none.
"""

from collections.abc import Iterable
from heapq import heapify, heappop, heappush
from math import inf

from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState


class WorkerHeadroom:
    """The room left on one worker during one round of placement."""

    __slots__ = (
        'accelerators',
        'cpu',
        'was_reserved',
        'memory',
        'max_backfill_s',
        'slowness_level',
        'gang_task_cpu',
        'worker',
    )

    def __init__(self, worker: WorkerState) -> None:
        """Begin with what the worker has free."""
        capacity, used = worker.entry.capacity, worker.used
        self.worker = worker
        # Whether a gang waits for this worker to become free.
        self.was_reserved = False
        # Work that lasts longer than this leaves the room to a gang.
        self.max_backfill_s = inf
        # What a task of a gang that waits needs here, 0 without one.
        self.gang_task_cpu = 0
        # Workers whose speeds differ by less count as equal.
        self.slowness_level = round(
            worker.speed.slowness * _LEVELS_PER_SLOWNESS
        )
        self.cpu = capacity.cpu_millis - used.cpu_millis
        self.memory = capacity.memory_mb - used.memory_mb
        self.accelerators = capacity.accelerators - used.accelerators

    @property
    def is_reserved(self) -> bool:
        """Tell whether a gang keeps the room in this round."""
        return self.max_backfill_s < inf

    def fits(self, demand: Resources) -> bool:
        """Tell whether a demand fits."""
        return (
            demand.cpu_millis <= self.cpu
            and demand.memory_mb <= self.memory
            and demand.accelerators <= self.accelerators
        )

    def displaces_gang_task(self, demand: Resources) -> bool:
        """Tell whether a demand leaves fewer places for a gang that waits."""
        if not self.gang_task_cpu or demand.cpu_millis >= self.gang_task_cpu:
            return False
        left = self.cpu - demand.cpu_millis
        return left // self.gang_task_cpu < self.cpu // self.gang_task_cpu

    def take(self, demand: Resources, sign: int = 1) -> None:
        """Take a demand, or give it back with ``sign`` -1."""
        self.cpu -= sign * demand.cpu_millis
        self.memory -= sign * demand.memory_mb
        self.accelerators -= sign * demand.accelerators


_LEVELS_PER_SLOWNESS = 5
# An urgent task uses workers that are slower than this only after others.
_SLOW_THRESHOLD = 1.2
# A worker this much slower than estimated is used last by all.
_VERY_SLOW_THRESHOLD = 2.0
Assignment = tuple[TaskState, WorkerHeadroom]
# How good a room is, the least first; its number; the room.
_Offer = tuple[tuple[int, ...], int, WorkerHeadroom]


def waiting_tasks(step: StepState, now: float) -> list[TaskState]:
    """Return the tasks that may be placed now; for a gang all or none."""
    tasks = [
        task
        for task in step.tasks
        if task.phase is TaskPhase.WAITING and task.not_before_s <= now
    ]
    if step.spec.gang and len(tasks) < len(step.tasks):
        return []
    return tasks


def is_eligible(step: StepState, worker: WorkerState) -> bool:
    """Tell whether a worker meets what a step requires of it."""
    label = step.spec.required_label
    return worker.entry.service == step.job.stored.service and (
        not label or label in worker.entry.labels
    )


def fitting_task_count(step: StepState, headroom: Resources) -> int:
    """Return how many tasks of a step fit in a worker's room."""
    demand = step.demand()
    counts = [step.spec.max_per_worker or step.spec.task_count]
    if demand.cpu_millis:
        counts.append(headroom.cpu_millis // demand.cpu_millis)
    if demand.memory_mb:
        counts.append(headroom.memory_mb // demand.memory_mb)
    if demand.accelerators:
        counts.append(headroom.accelerators // demand.accelerators)
    return max(0, min(counts))


def assign_tasks(
    step: StepState,
    tasks: list[TaskState],
    headrooms: Iterable[WorkerHeadroom],
    *,
    max_duration_s: float = inf,
    is_urgent: bool = False,
) -> list[Assignment]:
    """Choose rooms for as many tasks as fit, and take them.

    Rooms that gangs keep are left to work that ends in time, by ``max_duration_s``.
    For a gang that does not fit whole, nothing is taken. The tasks of an
    urgent step go to fast workers first, those of others to slower ones.
    """
    candidates = [
        headroom
        for headroom in headrooms
        if headroom.max_backfill_s >= max_duration_s
        and is_eligible(step, headroom.worker)
    ]
    if step.spec.same_rack:
        assignments = _choose_in_one_rack(step, tasks, candidates, is_urgent)
        if assignments:
            return assignments
    return _choose_from(step, tasks, candidates, is_urgent)


def _choose_in_one_rack(
    step: StepState,
    tasks: list[TaskState],
    candidates: list[WorkerHeadroom],
    is_urgent: bool,
) -> list[Assignment]:
    rooms_by_rack: dict[str, list[WorkerHeadroom]] = {}
    for headroom in candidates:
        rack = headroom.worker.entry.rack
        rooms_by_rack.setdefault(rack, []).append(headroom)
    for headrooms in rooms_by_rack.values():
        assignments = _choose_from(step, tasks, headrooms, is_urgent)
        if len(assignments) == len(tasks):
            return assignments
        _give_back(step, assignments)
    return []


def _choose_from(
    step: StepState,
    tasks: list[TaskState],
    candidates: list[WorkerHeadroom],
    is_urgent: bool,
) -> list[Assignment]:
    offers = _Offers(step, candidates, is_urgent)
    assignments: list[Assignment] = []
    for task in tasks:
        best = offers.take_best(task.avoided_workers)
        if best is None:
            # The tasks of a step ask for the same room.
            break
        assignments.append((task, best))
    if step.spec.gang and len(assignments) < len(tasks):
        _give_back(step, assignments)
        return []
    return assignments


class _Offers:
    """The rooms that fit the tasks of one step, the best one first.

    Pattern: wide steps in a large cell. Each room is weighed once for a step
    and again when it has taken a task, not once for each task.
    """

    __slots__ = ('_counts', '_demand', '_heap', '_is_urgent', '_spec')

    def __init__(
        self,
        step: StepState,
        candidates: list[WorkerHeadroom],
        is_urgent: bool,
    ) -> None:
        """Weigh the rooms that fit one task."""
        self._spec = step.spec
        self._demand = step.demand()
        self._is_urgent = is_urgent
        self._counts = _counts_by_worker(step, candidates)
        self._heap: list[_Offer] = [
            self._offer(number, headroom)
            for number, headroom in enumerate(candidates)
            if self._has_place(headroom)
        ]
        heapify(self._heap)

    def take_best(self, avoided_workers: set[str]) -> WorkerHeadroom | None:
        """Take a task's room; avoided workers only where no other fits."""
        passed: list[_Offer] = []
        while self._heap:
            offer = heappop(self._heap)
            if offer[2].worker.worker_id not in avoided_workers:
                break
            passed.append(offer)
        else:
            if not passed:
                return None
            offer = passed.pop(0)
        for other in passed:
            heappush(self._heap, other)
        _, number, headroom = offer
        self._take(number, headroom)
        return headroom

    def _take(self, number: int, headroom: WorkerHeadroom) -> None:
        headroom.take(self._demand)
        worker_id = headroom.worker.worker_id
        self._counts[worker_id] = self._counts.get(worker_id, 0) + 1
        if self._has_place(headroom):
            heappush(self._heap, self._offer(number, headroom))

    def _has_place(self, headroom: WorkerHeadroom) -> bool:
        most = self._spec.max_per_worker
        count = self._counts.get(headroom.worker.worker_id, 0)
        return headroom.fits(self._demand) and not (most and count >= most)

    def _offer(self, number: int, headroom: WorkerHeadroom) -> '_Offer':
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


def _counts_by_worker(
    step: StepState,
    candidates: list[WorkerHeadroom],
) -> dict[str, int]:
    """Count what workers have of a step, also runs that are not needed."""
    if not step.spec.max_per_worker:
        return {}
    names = {task.name for task in step.tasks}
    counts: dict[str, int] = {}
    for headroom in candidates:
        worker = headroom.worker
        held = list(worker.tasks_by_name)
        held.extend(name for name, _ in worker.strays_by_run)
        counts[worker.worker_id] = sum(name in names for name in held)
    return counts


def _give_back(step: StepState, assignments: list[Assignment]) -> None:
    for _, headroom in assignments:
        headroom.take(step.demand(), sign=-1)
