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

from apricotlead.coordination.cell.placement import (
    WorkerHeadroom,
    fitting_task_count,
)
from apricotlead.coordination.cell.run_times import remaining_s
from apricotlead.state.cell_jobs import StepState

# The part of all workers that gangs may keep, beyond those of the first one.
_MAX_RESERVED_SHARE = 0.125


class GangReservations:
    """Keeps workers for gangs, anew in each round of placement."""

    __slots__ = (
        '_reserved_worker_ids',
        '_max_reserved_count',
        '_gang_task_cpu_by_worker',
    )

    def __init__(self) -> None:
        """Begin with nothing kept."""
        self._reserved_worker_ids: set[str] = set()
        self._max_reserved_count = 0.0
        self._gang_task_cpu_by_worker: dict[str, int] = {}

    def begin(self, headrooms: Iterable[WorkerHeadroom]) -> None:
        """Begin a round; mark what the round before it kept and wanted."""
        count = 0
        for headroom in headrooms:
            worker_id = headroom.worker.worker_id
            headroom.was_reserved = worker_id in self._reserved_worker_ids
            headroom.gang_task_cpu = self._gang_task_cpu_by_worker.get(
                worker_id, 0
            )
            count += 1
        self._reserved_worker_ids = set()
        self._gang_task_cpu_by_worker = {}
        self._max_reserved_count = count * _MAX_RESERVED_SHARE

    def record_task_demand(
        self, step: StepState, headrooms: Iterable[WorkerHeadroom]
    ) -> None:
        """Mark what one task of a gang needs on the workers that may run it."""
        cpu_millis = step.demand().cpu_millis
        for headroom in headrooms:
            worker_id = headroom.worker.worker_id
            self._gang_task_cpu_by_worker.setdefault(worker_id, cpu_millis)

    def reserve(
        self,
        step: StepState,
        headrooms: Iterable[WorkerHeadroom],
        now: float,
    ) -> None:
        """Keep as many of a gang's rooms as it needs when they are free.

        ``headrooms`` are those of workers that may run the step. A gang that they
        cannot hold, whatever ends, keeps none.
        """
        if len(self._reserved_worker_ids) > self._max_reserved_count:
            return
        needed = len(step.tasks)
        reserved: list[WorkerHeadroom] = []
        for headroom in sorted(headrooms, key=_soonest_free):
            if needed <= 0:
                break
            count = fitting_task_count(step, headroom.worker.idle_room)
            if count and not headroom.is_reserved:
                needed -= count
                reserved.append(headroom)
        if needed > 0:
            return
        begins_in_s = max(_free_in_s(step, each, now) for each in reserved)
        for reservation in reserved:
            self._reserved_worker_ids.add(reservation.worker.worker_id)
            reservation.max_backfill_s = begins_in_s


def _free_in_s(step: StepState, headroom: WorkerHeadroom, now: float) -> float:
    """Return when a worker has the places that it has when it is idle."""
    worker = headroom.worker
    count = fitting_task_count(step, worker.idle_room)
    free = worker.entry.capacity - worker.used
    in_s = 0.0
    rests = sorted(
        (remaining_s(task, worker.speed.slowness, now), task.name)
        for task in worker.tasks_by_name.values()
        if not task.step.spec.long_running
    )
    for task_rest_s, name in rests:
        if fitting_task_count(step, free) >= count:
            break
        in_s = task_rest_s
        free = free + worker.tasks_by_name[name].step.demand()
    return in_s


def _soonest_free(headroom: WorkerHeadroom) -> tuple[bool, int]:
    """Return a sort key: workers kept before, then those with most room."""
    return not headroom.was_reserved, -headroom.cpu
