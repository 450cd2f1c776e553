"""Which workers the waiting tasks of a step go to.

Pattern: tasks of very unlike sizes and urgency, on workers of unlike speed.
Tasks of a step with little slack go to the fastest workers with room, the
others leave those free. Among equals a task goes to the worker that it fills
best, so that whole workers stay free for gangs. A gang gets all its workers
at once or none.
"""

from collections.abc import Iterable

from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState


class Room:
    """The room left on one worker during one round of placement."""

    __slots__ = ('accelerators', 'cpu', 'memory', 'pace', 'worker')

    def __init__(self, worker: WorkerState) -> None:
        """Begin with what the worker has free."""
        free = worker.free
        self.worker = worker
        # Workers whose speeds differ by less count as equal.
        self.pace = round(worker.speed.slowness * _PACE_STEPS)
        self.cpu = free.cpu_millis
        self.memory = free.memory_mb
        self.accelerators = free.accelerators

    def fits(self, demand: Resources) -> bool:
        """Tell whether a demand fits."""
        return (
            demand.cpu_millis <= self.cpu
            and demand.memory_mb <= self.memory
            and demand.accelerators <= self.accelerators
        )

    def take(self, demand: Resources, sign: int = 1) -> None:
        """Take a demand, or give it back with ``sign`` -1."""
        self.cpu -= sign * demand.cpu_millis
        self.memory -= sign * demand.memory_mb
        self.accelerators -= sign * demand.accelerators


_PACE_STEPS = 5
# A worker this much slower than estimated is used last by all.
_VERY_SLOW = 2.0
Choice = tuple[TaskState, Room]


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


def may_run_here(step: StepState, worker: WorkerState) -> bool:
    """Tell whether a worker meets what a step requires of it."""
    label = step.spec.required_label
    return worker.entry.service == step.job.stored.service and (
        not label or label in worker.entry.labels
    )


def choose(
    step: StepState,
    tasks: list[TaskState],
    rooms: Iterable[Room],
    *,
    is_urgent: bool = False,
) -> list[Choice]:
    """Choose rooms for as many tasks as fit, and take them.

    For a gang that does not fit whole, nothing is taken. The tasks of a
    urgent step go to fast workers first, those of others to slower ones.
    """
    candidates = [room for room in rooms if may_run_here(step, room.worker)]
    if step.spec.same_rack:
        choices = _choose_in_one_rack(step, tasks, candidates, is_urgent)
        if choices:
            return choices
    return _choose_from(step, tasks, candidates, is_urgent)


def _choose_in_one_rack(
    step: StepState,
    tasks: list[TaskState],
    candidates: list[Room],
    is_urgent: bool,
) -> list[Choice]:
    rooms_by_rack: dict[str, list[Room]] = {}
    for room in candidates:
        rack = room.worker.entry.rack
        rooms_by_rack.setdefault(rack, []).append(room)
    for rooms in rooms_by_rack.values():
        choices = _choose_from(step, tasks, rooms, is_urgent)
        if len(choices) == len(tasks):
            return choices
        _give_back(step, choices)
    return []


def _choose_from(
    step: StepState,
    tasks: list[TaskState],
    candidates: list[Room],
    is_urgent: bool,
) -> list[Choice]:
    demand = step.demand()
    counts = _counts_by_worker(step)
    choices: list[Choice] = []
    for task in tasks:
        best = _best_room(task, candidates, counts, is_urgent)
        if best is None:
            if step.spec.gang:
                _give_back(step, choices)
                return []
            continue
        best.take(demand)
        worker_id = best.worker.worker_id
        counts[worker_id] = counts.get(worker_id, 0) + 1
        choices.append((task, best))
    return choices


def _best_room(
    task: TaskState,
    candidates: list[Room],
    counts: dict[str, int],
    is_urgent: bool,
) -> Room | None:
    spec = task.step.spec
    demand = task.step.demand()
    best: Room | None = None
    best_key: tuple[bool, bool, bool, int, int] | None = None
    for room in candidates:
        if not room.fits(demand) or _is_full(spec, room, counts):
            continue
        key = _room_key(task, room, is_urgent)
        if best_key is None or key < best_key:
            best, best_key = room, key
    return best


def _is_full(spec: StepSpec, room: Room, counts: dict[str, int]) -> bool:
    most = spec.max_per_worker
    return bool(most) and counts.get(room.worker.worker_id, 0) >= most


def _room_key(
    task: TaskState,
    room: Room,
    is_urgent: bool,
) -> tuple[bool, bool, bool, int, int]:
    worker = room.worker
    rack = task.step.spec.data_rack
    return (
        worker.worker_id in task.avoided_workers,
        room.pace > _VERY_SLOW * _PACE_STEPS,
        bool(rack) and worker.entry.rack != rack,
        room.pace if is_urgent else -room.pace,
        room.cpu,
    )


def _counts_by_worker(step: StepState) -> dict[str, int]:
    counts: dict[str, int] = {}
    if not step.spec.max_per_worker:
        return counts
    for task in step.tasks:
        if task.is_placed:
            counts[task.worker_id] = counts.get(task.worker_id, 0) + 1
    return counts


def _give_back(step: StepState, choices: list[Choice]) -> None:
    for _, room in choices:
        room.take(step.demand(), sign=-1)
