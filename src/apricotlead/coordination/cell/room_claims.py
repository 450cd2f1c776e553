"""Claims of waiting steps on room, by which they may ask for advice.

Pattern: more steps than askers. Advice is asked only for steps that may get
room while their tickets are valid, in the order of the steps. Each one claims
that room on workers that may run it, so one that cannot run there, or waits
for few workers, leaves what it cannot use to those behind it.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from math import ceil

from apricotlead.coordination.cell.placement import Room, places_in
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import StepState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.wait_times import WaitReason

# The part of all room that becomes free while a ticket is valid.
_SOON_FREE = 0.6


class SoonRoom:
    """Room that is free, or becomes free while tickets are valid."""

    __slots__ = ('_cpu_by_worker', '_left_cpu')

    def __init__(
        self,
        rooms: Iterable[Room],
        absent: Iterable[WorkerState],
    ) -> None:
        """Begin a round; ``absent`` workers may soon take work again."""
        self._cpu_by_worker = {
            worker.worker_id: _released_cpu(worker) for worker in absent
        }
        for room in rooms:
            soon_cpu = max(0, room.cpu) + _released_cpu(room.worker)
            self._cpu_by_worker[room.worker.worker_id] = soon_cpu
        self._left_cpu = sum(self._cpu_by_worker.values())

    def claim(
        self,
        step: StepState,
        task_count: int,
        workers: Iterable[WorkerState],
    ) -> WaitReason | None:
        """Claim room for tasks of a step on workers that may run it.

        Returns why there is none, ``None`` where there is some. A gang that
        the workers cannot hold even when they are idle claims nothing.
        """
        if self._left_cpu <= 0:
            return WaitReason.EARLIER_STEPS
        most_count = 0
        left = task_count
        claims: list[tuple[str, int]] = []
        for worker in workers:
            whole_count = places_in(step, worker.idle_capacity)
            claimed = min(left, whole_count, self._places(step, worker))
            claims.append((worker.worker_id, claimed))
            most_count += whole_count
            left -= claimed
            if not left:
                break
        if step.spec.gang and most_count < task_count:
            return WaitReason.NO_CAPACITY
        for worker_id, count in claims:
            self.take(worker_id, count * step.demand().cpu_millis)
        return WaitReason.EARLIER_STEPS if left == task_count else None

    def take(self, worker_id: str, cpu_millis: int) -> None:
        """Note that room of a worker was claimed or used."""
        self._cpu_by_worker[worker_id] -= cpu_millis
        self._left_cpu -= cpu_millis

    def _places(self, step: StepState, worker: WorkerState) -> int:
        """Return how many tasks find some room, the last one in part."""
        soon_cpu = max(0, self._cpu_by_worker.get(worker.worker_id, 0))
        return ceil(soon_cpu / max(1, step.demand().cpu_millis))


class FreeRoom:
    """Room that is free now, and that the steps before did not take.

    Pattern: wide tasks that wait for runs of minutes. They claim room that does
    not become free while their tickets are valid. A step for which nothing is
    left may therefore ask about what is free.
    """

    __slots__ = ('_claimed_cpu_by_worker', '_largest_cpu', '_rooms_by_worker')

    def __init__(self, rooms_by_worker: Mapping[str, Room]) -> None:
        """Begin a round without claims."""
        self._rooms_by_worker = rooms_by_worker
        self._claimed_cpu_by_worker: Counter[str] = Counter()
        self._largest_cpu = max(
            (room.cpu for room in rooms_by_worker.values()),
            default=0,
        )

    def claim(
        self,
        step: StepState,
        task_count: int,
        workers: Iterable[WorkerState],
        lasts_s: float,
    ) -> WaitReason | None:
        """Claim room for tasks that last ``lasts_s``; a gang claims all or none.

        Returns why there is none, ``None`` where there is some.
        """
        cpu_millis = step.demand().cpu_millis
        if cpu_millis > self._largest_cpu:
            return WaitReason.EARLIER_STEPS
        left = task_count
        claims: list[tuple[str, int]] = []
        for worker in workers:
            places = self._places(step, worker.worker_id, lasts_s)
            claims.append((worker.worker_id, min(left, places)))
            left -= min(left, places)
            if not left:
                break
        if left == task_count or (step.spec.gang and left):
            return WaitReason.EARLIER_STEPS
        for worker_id, count in claims:
            self._claimed_cpu_by_worker[worker_id] += count * cpu_millis
        return None

    def _places(self, step: StepState, worker_id: str, lasts_s: float) -> int:
        """Return how many tasks fit on a worker beside what is claimed."""
        room = self._rooms_by_worker.get(worker_id)
        if room is None or room.open_for_s < lasts_s:
            return 0
        cpu_millis = room.cpu - self._claimed_cpu_by_worker[worker_id]
        # Few workers of a busy cell pass this; the rest costs more.
        if cpu_millis < step.demand().cpu_millis:
            return 0
        free = Resources(cpu_millis, room.memory, room.accelerators)
        return places_in(step, free)


class ServiceLoad:
    """How much of each service's processors is free."""

    __slots__ = ('_free_cpu_by_service', '_whole_cpu_by_service')

    def __init__(self, rooms: Iterable[Room]) -> None:
        """Begin a round."""
        self._free_cpu_by_service: Counter[str] = Counter()
        self._whole_cpu_by_service: Counter[str] = Counter()
        for room in rooms:
            entry = room.worker.entry
            self._free_cpu_by_service[entry.service] += max(0, room.cpu)
            whole = entry.capacity.cpu_millis
            self._whole_cpu_by_service[entry.service] += whole

    def is_half_free(self, service: str) -> bool:
        """Tell whether more than half of a service's processors are free."""
        free = self._free_cpu_by_service[service]
        return free * 2 > self._whole_cpu_by_service[service]

    def take(self, service: str, cpu_millis: int) -> None:
        """Note that a task was placed."""
        self._free_cpu_by_service[service] -= cpu_millis


def _released_cpu(worker: WorkerState) -> int:
    return int(worker.entry.capacity.cpu_millis * _SOON_FREE)
