"""The definition of work that could run.

Pattern: accepted work that waits in a half-idle cell. The watch for stalled
steps (:mod:`.stalled_steps`) feeds it the scheduler's view, and the rule of the
simulated cell (``tests/faulty/progress_rule.py``) the state of the simulated
workers, so both judge alike.

The unit is a step, or one task of a long-running step. A job of which nothing
runs is a unit, too, that could run while any of its steps could: its steps may
take turns in that, and the job still stands. A unit of which nothing runs could
run if

- the steps that its step depends on are done, and it is not,
- less than half of the processors of its service are in use; a long-running
  task could run however full the service is,
- its organisation uses less than half of each resource that its limit names,
  and the limit leaves room for all but one of the tasks that start together,
- the workers that may run it have room for the tasks that start together: one,
  or all members of a gang.
"""

from collections.abc import Collection, Iterable, Mapping, Set
from types import MappingProxyType

from msgspec import Struct
from msgspec.structs import astuple

from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.resources import Resources

_NONE_EXCLUDED: Set[str] = frozenset()
_NOTHING_HELD: Mapping[str, int] = MappingProxyType({})


class Need(Struct, frozen=True):
    """What the tasks that start together need; all are alike."""

    demand: Resources
    task_count: int
    required_label: str = ''
    max_per_worker: int = 0

    @classmethod
    def from_spec(cls, spec: StepSpec) -> 'Need':
        """Return what a step needs to have a task, or its gang, running."""
        demand = spec.demand
        if spec.fills:
            demand = Resources(0, demand.memory_mb, demand.accelerators)
        return cls(
            demand,
            spec.task_count if spec.gang else 1,
            spec.required_label,
            spec.max_per_worker,
        )

    def is_within_limit(self, usage: Resources, limit: Resources) -> bool:
        """Return whether the limit leaves an organisation no reason to wait.

        The platform allows one task beyond a limit, no more. A limit of 0 is
        none.
        """
        return all(
            not most
            or (2 * used < most and used + (self.task_count - 1) * each <= most)
            for each, used, most in zip(
                astuple(self.demand),
                astuple(usage),
                astuple(limit),
                strict=True,
            )
        )


class WorkerRoom(Struct, frozen=True):
    """The capacity that is free on a worker that is up."""

    worker_id: str
    free: Resources
    labels: Collection[str] = ()


class ServiceRoom:
    """The free capacity of the workers of one service that are up.

    Pattern: thousands of waiting steps in a cell of hundreds of workers. A
    search looks at workers with enough free processors only, those with most
    first, and ends once the need is met.
    """

    __slots__ = ('_largest', '_rooms', '_worker_ids', 'is_half_free')

    def __init__(
        self, rooms: Iterable[WorkerRoom], used_cpu: int, total_cpu: int
    ) -> None:
        """Start with the free capacity of each worker.

        ``used_cpu`` of the service's ``total_cpu`` are in use.
        """
        self.is_half_free = 2 * used_cpu < total_cpu
        self._rooms = sorted(
            rooms, key=lambda room: room.free.cpu_millis, reverse=True
        )
        self._worker_ids = {room.worker_id for room in self._rooms}
        frees = [astuple(room.free) for room in self._rooms]
        # The most of each resource that is free on any worker.
        self._largest = Resources(*map(max, zip(*frees, strict=True)))

    def has_spare(self, spec: StepSpec) -> bool:
        """Return whether the service is idle enough for a step to run."""
        return self.is_half_free or spec.long_running

    def fits(
        self,
        need: Need,
        excluded_ids: Set[str] = _NONE_EXCLUDED,
        held_counts: Mapping[str, int] = _NOTHING_HELD,
    ) -> bool:
        """Return whether workers that may run a step have room for it.

        ``excluded_ids`` are workers that may not run it, and ``held_counts``
        its tasks by worker, which count towards ``max_per_worker``.
        """
        if not need.demand.fits_in(self._largest):
            return False
        if excluded_ids >= self._worker_ids:
            return False
        missing = need.task_count
        for room in self._rooms:
            if room.free.cpu_millis < need.demand.cpu_millis:
                break
            if room.worker_id not in excluded_ids:
                held_count = held_counts.get(room.worker_id, 0)
                missing -= _slot_count(need, room, missing, held_count)
                if missing <= 0:
                    return True
        return False


def idle_units(
    step: str, spec: StepSpec, running_tasks: Collection[str]
) -> list[str]:
    """Return the units of a step of which nothing runs.

    ``running_tasks`` are the names of its tasks that run. The step must not be
    done or wait for another. A long-running task is never done.
    """
    if not spec.long_running:
        return [] if running_tasks else [step]
    names = (f'{step}.{number}' for number in range(spec.task_count))
    return [name for name in names if name not in running_tasks]


def _slot_count(
    need: Need, room: WorkerRoom, most: int, held_count: int
) -> int:
    """Return how many tasks fit on a worker, up to ``most``."""
    demand, free = need.demand, room.free
    if not demand.fits_in(free):
        return 0
    label = need.required_label
    if label and label not in room.labels:
        return 0
    if need.max_per_worker:
        most = min(most, need.max_per_worker - held_count)
    if most <= 1:
        return max(0, most)
    if demand.cpu_millis:
        most = min(most, free.cpu_millis // demand.cpu_millis)
    if demand.memory_mb:
        most = min(most, free.memory_mb // demand.memory_mb)
    if demand.accelerators:
        most = min(most, free.accelerators // demand.accelerators)
    return most
