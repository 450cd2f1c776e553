"""What one round of placement shares between its steps.

Pattern: more steps than askers. Advice is asked only for steps that may get
room while their tickets are valid, in the order of the steps. Each one claims
that room on workers that may run it, so one that cannot run there, or waits
for few workers, leaves what it cannot use to those behind it.

Pattern: wide tasks that wait for runs of minutes. They claim room that does
not become free while their tickets are valid. A step for which nothing is
left may therefore ask about room that is free now: none before it took that.
"""

from collections import Counter
from collections.abc import Iterable
from math import ceil

from apricotlead.coordination.cell.advice_book import AdviceCall
from apricotlead.coordination.cell.placement import (
    Choice,
    Room,
    places_in,
)
from apricotlead.coordination.cell.run_times import likely_s
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import StepState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.estimate_errors import EstimateErrors
from apricotlead.state.wait_times import WaitReason

# The part of all room that becomes free while a ticket is valid.
_SOON_FREE = 0.6


class PlacementRound:
    """The room that is left, and the advice to ask for."""

    __slots__ = (
        '_best_rooms',
        '_claimed_cpu_by_worker',
        '_errors',
        '_free_cpu_by_service',
        '_largest_free_cpu',
        '_soon_cpu_by_worker',
        '_soon_free_cpu',
        '_whole_cpu_by_service',
        'absent',
        'askers',
        'calls',
        'now',
        'rooms',
        'rooms_by_worker',
    )

    def __init__(
        self,
        workers: list[WorkerState],
        askers: list[str],
        now: float,
        errors: EstimateErrors,
        absent: Iterable[WorkerState] = (),
    ) -> None:
        """Begin with the room that the workers have now.

        ``absent`` are workers that may soon take work again.
        """
        self._errors = errors
        self.rooms = [Room(worker) for worker in workers]
        self.absent = absent
        self.rooms_by_worker = {
            room.worker.worker_id: room for room in self.rooms
        }
        self._best_rooms: list[Room] = []
        self.askers = askers
        self.now = now
        self.calls: list[AdviceCall] = []
        self._soon_cpu_by_worker = {
            worker_id: max(0, room.cpu) + _soon_cpu(room.worker)
            for worker_id, room in self.rooms_by_worker.items()
        }
        self._free_cpu_by_service: Counter[str] = Counter()
        self._whole_cpu_by_service: Counter[str] = Counter()
        for room in self.rooms:
            entry = room.worker.entry
            self._free_cpu_by_service[entry.service] += max(0, room.cpu)
            whole = entry.capacity.cpu_millis
            self._whole_cpu_by_service[entry.service] += whole
        # Of the room that is free now.
        self._claimed_cpu_by_worker: dict[str, int] = {}
        self._largest_free_cpu = max(
            (each.cpu for each in self.rooms), default=0
        )
        for worker in absent:
            self._soon_cpu_by_worker[worker.worker_id] = _soon_cpu(worker)
        self._soon_free_cpu = sum(self._soon_cpu_by_worker.values())

    def is_half_free(self, service: str) -> bool:
        """Tell whether more than half of a service's processors are free."""
        free = self._free_cpu_by_service[service]
        return free * 2 > self._whole_cpu_by_service[service]

    def lasts_s(self, step: StepState) -> float:
        """Return how long a run of a step very likely takes at most."""
        return likely_s(step, self._errors)

    def rooms_of(self, worker_ids: Iterable[str]) -> list[Room]:
        """Return the rooms of some workers that take work."""
        rooms = (self.rooms_by_worker.get(each) for each in worker_ids)
        return [room for room in rooms if room is not None]

    def best_rooms(self) -> list[Room]:
        """Return the rooms, fast ones first, and the roomy ones of these."""
        if not self._best_rooms:
            self._best_rooms = sorted(
                self.rooms,
                key=lambda room: (room.pace, -room.cpu),
            )
        return self._best_rooms

    def claim_soon(
        self,
        step: StepState,
        task_count: int,
        workers: Iterable[WorkerState],
    ) -> WaitReason | None:
        """Claim room that becomes free while tickets are valid.

        ``workers`` may run the step. Returns why there is none, ``None`` where
        there is some. A gang that the workers cannot hold even when they are
        idle claims nothing.
        """
        if self._soon_free_cpu <= 0:
            return WaitReason.TURN
        most_count = 0
        left = task_count
        claims: list[tuple[str, int]] = []
        for worker in workers:
            whole_count = places_in(step, worker.idle_room)
            claimed = min(left, whole_count, self._soon_places(step, worker))
            claims.append((worker.worker_id, claimed))
            most_count += whole_count
            left -= claimed
            if not left:
                break
        if step.spec.gang and most_count < task_count:
            return WaitReason.ROOM
        for worker_id, count in claims:
            self._take_soon(worker_id, count * step.demand().cpu_millis)
        return WaitReason.TURN if left == task_count else None

    def claim_free(
        self,
        step: StepState,
        task_count: int,
        workers: Iterable[WorkerState],
    ) -> WaitReason | None:
        """Claim room that is free now, for a step whose turn has not come.

        A gang claims all that it needs. Returns why there is none, ``None``
        where there is some.
        """
        cpu_millis = step.demand().cpu_millis
        if cpu_millis > self._largest_free_cpu:
            return WaitReason.TURN
        left = task_count
        claims: list[tuple[str, int]] = []
        for worker in workers:
            count = min(left, self._free_places(step, worker.worker_id))
            if count:
                claims.append((worker.worker_id, count))
                left -= count
            if not left:
                break
        if not claims or (step.spec.gang and left):
            return WaitReason.TURN
        for worker_id, claimed in claims:
            known = self._claimed_cpu_by_worker.get(worker_id, 0)
            total = known + claimed * cpu_millis
            self._claimed_cpu_by_worker[worker_id] = total
        return None

    def take(self, choice: Choice) -> None:
        """Note that a task was placed."""
        task, room = choice
        cpu_millis = task.step.demand().cpu_millis
        service = room.worker.entry.service
        self._free_cpu_by_service[service] -= cpu_millis
        self._take_soon(room.worker.worker_id, cpu_millis)

    def _free_places(self, step: StepState, worker_id: str) -> int:
        """Return how many tasks fit on a worker beside what is claimed."""
        room = self.rooms_by_worker.get(worker_id)
        if room is None or room.open_for_s < self.lasts_s(step):
            return 0
        cpu_millis = room.cpu - self._claimed_cpu_by_worker.get(worker_id, 0)
        # Few workers of a busy cell pass this; the rest costs more.
        if cpu_millis < step.demand().cpu_millis:
            return 0
        free = Resources(cpu_millis, room.memory, room.accelerators)
        return places_in(step, free)

    def _soon_places(self, step: StepState, worker: WorkerState) -> int:
        """Return how many tasks find some room soon, the last one in part."""
        soon_cpu = self._soon_cpu_by_worker.get(worker.worker_id, 0)
        return ceil(max(0, soon_cpu) / max(1, step.demand().cpu_millis))

    def _take_soon(self, worker_id: str, cpu_millis: int) -> None:
        self._soon_cpu_by_worker[worker_id] -= cpu_millis
        self._soon_free_cpu -= cpu_millis


def _soon_cpu(worker: WorkerState) -> int:
    return int(worker.entry.capacity.cpu_millis * _SOON_FREE)
