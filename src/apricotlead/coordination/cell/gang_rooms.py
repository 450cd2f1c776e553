"""Workers that are kept for gangs until these fit.

Pattern: gangs in a full cell. Each piece of room that becomes free is taken
at once by a step that needs less, so a wide gang never finds enough at one
time. The first gangs in order therefore keep some of their workers: steps
that come before use them last, and those that come later only for work that
ends before the gang can begin (backfilling). What is kept at a time is
bounded, since it stands idle in part, and nothing is kept while half of the
gang's service is free: steps that need the kept workers would wait beside them
for as long as their runs last.

The other gangs that wait mark on their workers what one of their tasks needs,
so that smaller tasks go where they leave such places whole.
"""

from collections.abc import Iterable

from apricotlead.coordination.cell.placement import Room, places_in
from apricotlead.coordination.cell.run_times import rest_s
from apricotlead.state.cell_jobs import StepState

# The part of all workers that gangs may keep, beyond those of the first one.
_KEPT_SHARE = 0.125


class GangRooms:
    """Keeps workers for gangs, anew in each round of placement."""

    __slots__ = ('_kept_worker_ids', '_most_count', '_wanted_cpu_by_worker')

    def __init__(self) -> None:
        """Begin with nothing kept."""
        self._kept_worker_ids: set[str] = set()
        self._most_count = 0.0
        self._wanted_cpu_by_worker: dict[str, int] = {}

    def begin(self, rooms: Iterable[Room]) -> None:
        """Begin a round; mark what the round before it kept and wanted."""
        count = 0
        for room in rooms:
            worker_id = room.worker.worker_id
            room.is_kept = worker_id in self._kept_worker_ids
            room.wanted_cpu = self._wanted_cpu_by_worker.get(worker_id, 0)
            count += 1
        self._kept_worker_ids = set()
        self._wanted_cpu_by_worker = {}
        self._most_count = count * _KEPT_SHARE

    def mark_wanted(self, step: StepState, rooms: Iterable[Room]) -> None:
        """Mark what one task of a gang needs on the workers that may run it."""
        cpu_millis = step.demand().cpu_millis
        for room in rooms:
            worker_id = room.worker.worker_id
            self._wanted_cpu_by_worker.setdefault(worker_id, cpu_millis)

    def keep(
        self,
        step: StepState,
        rooms: Iterable[Room],
        now: float,
    ) -> None:
        """Keep as many of a gang's rooms as it needs when they are free.

        ``rooms`` are those of workers that may run the step. A gang that they
        cannot hold, whatever ends, keeps none.
        """
        if len(self._kept_worker_ids) > self._most_count:
            return
        needed = len(step.tasks)
        kept: list[Room] = []
        for room in sorted(rooms, key=_soonest_free):
            if needed <= 0:
                break
            count = places_in(step, room.worker.idle_capacity)
            if count and not room.is_reserved:
                needed -= count
                kept.append(room)
        if needed > 0:
            return
        begins_in_s = max(_free_in_s(step, each, now) for each in kept)
        for keeping in kept:
            self._kept_worker_ids.add(keeping.worker.worker_id)
            keeping.open_for_s = begins_in_s


def _free_in_s(step: StepState, room: Room, now: float) -> float:
    """Return when a worker has the places that it has when it is idle."""
    worker = room.worker
    count = places_in(step, worker.idle_capacity)
    free = worker.entry.capacity - worker.used
    in_s = 0.0
    rests = sorted(
        (rest_s(task, worker.speed.slowness, now), task.name)
        for task in worker.tasks_by_name.values()
        if not task.step.spec.long_running
    )
    for task_rest_s, name in rests:
        if places_in(step, free) >= count:
            break
        in_s = task_rest_s
        free = free + worker.tasks_by_name[name].step.demand()
    return in_s


def _soonest_free(room: Room) -> tuple[bool, int]:
    """Return a sort key: workers kept before, then those with most room."""
    return not room.is_kept, -room.cpu
