"""What one round of placement shares between its steps."""

from collections.abc import Iterable

from apricotlead.coordination.cell.advice_cache import AdviceCall
from apricotlead.coordination.cell.placement import Choice, Room
from apricotlead.coordination.cell.room_claims import (
    FreeRoom,
    ServiceLoad,
    SoonRoom,
)
from apricotlead.coordination.cell.run_times import likely_s
from apricotlead.state.cell_jobs import StepState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.estimate_errors import EstimateErrors


class PlacementRound:
    """The room that is left, what is claimed of it, and the advice to ask for.

    ``soon`` is room that may be claimed by steps in their order, ``free`` by
    those that find nothing left of it.
    """

    __slots__ = (
        '_best_rooms',
        '_errors',
        'absent',
        'askers',
        'calls',
        'free',
        'load',
        'now',
        'rooms',
        'rooms_by_worker',
        'soon',
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
        self.soon = SoonRoom(self.rooms, absent)
        self.free = FreeRoom(self.rooms_by_worker)
        self.load = ServiceLoad(self.rooms)

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

    def take(self, choice: Choice) -> None:
        """Note that a task was placed."""
        task, room = choice
        cpu_millis = task.step.demand().cpu_millis
        self.load.take(room.worker.entry.service, cpu_millis)
        self.soon.take(room.worker.worker_id, cpu_millis)
