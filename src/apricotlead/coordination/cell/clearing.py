"""Room that is cleared for more urgent steps by stopping others.

Pattern: a cell that is full of patient batch tasks when a gang comes that
only few workers may run. Waiting until these are free by chance takes longer
than the gang's whole objective. Runs of less urgent queues that save their
work go on elsewhere at little cost, so some are stopped, where their jobs have
time for it.
"""

from heapq import heapify, heappop, heappush

from msgspec import Struct

from apricotlead.coordination.cell.order import chain_s, slack_s
from apricotlead.coordination.cell.placement import Room
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.estimate_errors import EstimateErrors

# What a run that is stopped loses until it works again: the stop, its end on
# the way, a wait for room, and the restore; in seconds.
_DETOUR_S = 2.0
# The work that is waited for has to be this many times as long.
_LEAST_GAIN = 1.5
# A run is stopped for others no more often than this.
_MOST_STOPS = 2
# Stops that have cleared nothing after this long are given up, in seconds.
_CLEAR_S = 1.5


class Cleared(Struct):
    """The rooms in which a step is to find its places, and what gives way."""

    rooms: list[Room]
    victims: list[TaskState]


class _Clearance(Struct, frozen=True):
    """Rooms of workers that are cleared for a step until a time."""

    worker_ids: frozenset[str]
    until_s: float


class RoomClearing:
    """Chooses runs to stop, and keeps what they leave for their step."""

    __slots__ = ('_clearances_by_step', '_errors')

    def __init__(self, errors: EstimateErrors) -> None:
        """Judge jobs by the errors of their queues."""
        self._errors = errors
        self._clearances_by_step: dict[str, _Clearance] = {}

    def is_under_way(self, step: StepState, now: float) -> bool:
        """Tell whether runs were stopped for a step a moment ago."""
        clearance = self._clearances_by_step.get(step.name)
        return clearance is not None and clearance.until_s > now

    def cleared_rooms(self, step: StepState, rooms: list[Room]) -> list[Room]:
        """Return those of some rooms that are being cleared for a step."""
        clearance = self._clearances_by_step[step.name]
        return [
            room
            for room in rooms
            if room.worker.worker_id in clearance.worker_ids
        ]

    def clear(
        self,
        step: StepState,
        rooms: list[Room],
        now: float,
    ) -> Cleared | None:
        """Return how a step finds places for all its waiting tasks.

        ``None`` where stopping is not worth it or not enough.
        """
        factor = self._errors.factor(step.job.stored.queue)
        rest_s = chain_s(step.job, pending_only=True) * factor
        if rest_s < _LEAST_GAIN * _DETOUR_S:
            return None
        offers = [
            _RoomOffer(room, step, self._victims(room, step, now))
            for room in rooms
        ]
        cleared = _choose(offers, step.waiting_count)
        if cleared is not None:
            self._note(step, cleared.rooms, now)
        return cleared

    def _note(self, step: StepState, rooms: list[Room], now: float) -> None:
        self._clearances_by_step = {
            name: clearance
            for name, clearance in self._clearances_by_step.items()
            if clearance.until_s > now
        }
        self._clearances_by_step[step.name] = _Clearance(
            frozenset(room.worker.worker_id for room in rooms),
            now + _CLEAR_S,
        )

    def _victims(
        self,
        room: Room,
        step: StepState,
        now: float,
    ) -> list[TaskState]:
        """Return the runs in a room that may give way, patient ones first."""
        victims = [
            task
            for task in room.worker.tasks_by_name.values()
            if _may_give_way(task, step)
            and slack_s(task.step.job, now, self._errors) > _DETOUR_S
        ]
        victims.sort(
            key=lambda task: -slack_s(task.step.job, now, self._errors),
        )
        return victims


class _RoomOffer:
    """The next place that a room has for a step, and what it costs.

    ``cost`` is the processors of the runs that have to be stopped for it.
    """

    __slots__ = ('_demand', '_free', '_left', 'cost', 'room', 'victims')

    def __init__(
        self,
        room: Room,
        step: StepState,
        victims: list[TaskState],
    ) -> None:
        self.room = room
        self._demand = step.demand()
        self._free = Resources(room.cpu, room.memory, room.accelerators)
        self._left = victims
        self.victims: list[TaskState] = []
        self.cost = 0

    def find_next(self) -> bool:
        """Find the next place, and tell whether there is one."""
        self._free = self._free - self._demand
        self.victims = []
        while not _is_whole(self._free):
            if not self._left:
                return False
            victim = self._left.pop(0)
            self.victims.append(victim)
            self._free = self._free + victim.step.demand()
        self.cost = sum(
            victim.step.demand().cpu_millis for victim in self.victims
        )
        return True


def _choose(offers: list[_RoomOffer], count: int) -> Cleared | None:
    """Return the cheapest ``count`` places, ``None`` without as many."""
    heap = [
        (offer.cost, number)
        for number, offer in enumerate(offers)
        if offer.find_next()
    ]
    heapify(heap)
    cleared = Cleared([], [])
    for _ in range(count):
        if not heap:
            return None
        _, number = heappop(heap)
        offer = offers[number]
        cleared.victims.extend(offer.victims)
        if offer.room not in cleared.rooms:
            cleared.rooms.append(offer.room)
        if offer.find_next():
            heappush(heap, (offer.cost, number))
    return cleared


def _is_whole(free: Resources) -> bool:
    return min(free.cpu_millis, free.memory_mb, free.accelerators) >= 0


def _may_give_way(task: TaskState, step: StepState) -> bool:
    """Tell whether a run may be stopped for a step by what it is."""
    other = task.step
    if task.phase is not TaskPhase.RUNNING or task.stop_count >= _MOST_STOPS:
        return False
    if other.spec.gang or other.spec.long_running:
        return False
    is_patient = other.job.stored.priority > step.job.stored.priority
    return is_patient and other.spec.checkpoints
