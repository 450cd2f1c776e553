"""What one round of placement shares between its steps."""

from collections.abc import Iterable

from apricotlead.coordination.cell.advice_book import AdviceCall
from apricotlead.coordination.cell.placement import Room
from apricotlead.state.cell_workers import WorkerState

# The part of all room that becomes free while a ticket is valid.
_SOON_FREE = 0.6


class PlacementRound:
    """The room that is left, and the advice to ask for."""

    __slots__ = (
        '_askable_cpu',
        '_best_rooms',
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
        absent: Iterable[WorkerState] = (),
    ) -> None:
        """Begin with the room that the workers have now.

        ``absent`` are workers that may soon take work again.
        """
        self.rooms = [Room(worker) for worker in workers]
        self.absent = absent
        self.rooms_by_worker = {
            room.worker.worker_id: room for room in self.rooms
        }
        self._best_rooms: list[Room] = []
        self.askers = askers
        self.now = now
        self.calls: list[AdviceCall] = []
        free = sum(max(0, room.cpu) for room in self.rooms)
        whole = sum(worker.entry.capacity.cpu_millis for worker in workers)
        self._askable_cpu = free + whole * _SOON_FREE

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

    def may_ask(self, cpu_millis: int) -> bool:
        """Tell whether a step may get room while its tickets are valid."""
        is_near = self._askable_cpu > 0
        self._askable_cpu -= cpu_millis
        return is_near
