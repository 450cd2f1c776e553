"""Reservation of workers for gangs that do not fit yet.

Pattern: gangs in a full cell. Capacity that becomes free is used at once by
steps that need less, so a wide gang never finds enough at one time. The first
gangs in order therefore reserve some of their workers: steps that precede them
use these workers last, and steps that follow use them only for work that ends
before the gang can start (backfilling). The number of reserved workers is
bounded because they are partly idle. Nothing is reserved while more than half
of the gang's service is free: other steps that need the reserved workers would
wait next to idle capacity for as long as the runs on those workers last.

Other waiting gangs record the demand of one of their tasks on the workers that
they may use, so that smaller tasks prefer capacity that no such task fits in.
"""

from collections.abc import Iterable

from apricotlead.coordination.cell.placement import (
    WorkerHeadroom,
    fitting_task_count,
)
from apricotlead.coordination.cell.run_times import remaining_s
from apricotlead.state.cell_jobs import StepState

# No further gang reserves workers once more than this fraction is reserved.
_MAX_RESERVED_SHARE = 0.125


class GangReservations:
    """Reserves workers for gangs, afresh in each placement round."""

    __slots__ = (
        '_gang_task_cpu_by_worker',
        '_max_reserved_count',
        '_reserved_worker_ids',
    )

    def __init__(self) -> None:
        """Start without reservations."""
        self._reserved_worker_ids: set[str] = set()
        self._max_reserved_count = 0.0
        self._gang_task_cpu_by_worker: dict[str, int] = {}

    def begin(self, headrooms: Iterable[WorkerHeadroom]) -> None:
        """Start a round; apply the previous round's reservations and demand."""
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
        """Record the demand of one gang task on the workers that may run it."""
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
        """Reserve as many workers as a gang needs once they are idle.

        ``headrooms`` are those of workers that may run the step. A gang that
        would not fit even on these workers when idle reserves none.
        """
        if len(self._reserved_worker_ids) > self._max_reserved_count:
            return
        needed = len(step.tasks)
        reserved: list[WorkerHeadroom] = []
        for headroom in sorted(headrooms, key=_reservation_order):
            if needed <= 0:
                break
            count = fitting_task_count(step, headroom.worker.idle_capacity)
            if count and not headroom.is_reserved:
                needed -= count
                reserved.append(headroom)
        if needed > 0:
            return
        starts_in_s = max(_free_in_s(step, each, now) for each in reserved)
        for chosen in reserved:
            self._reserved_worker_ids.add(chosen.worker.worker_id)
            chosen.max_backfill_s = starts_in_s


def _free_in_s(step: StepState, headroom: WorkerHeadroom, now: float) -> float:
    """Return the time until as many tasks fit as on the idle worker."""
    worker = headroom.worker
    count = fitting_task_count(step, worker.idle_capacity)
    free = worker.entry.capacity - worker.used
    free_in_s = 0.0
    remaining_times = sorted(
        (remaining_s(task, worker.speed.slowness, now), task.name)
        for task in worker.tasks_by_name.values()
        if not task.step.spec.long_running
    )
    for task_remaining_s, name in remaining_times:
        if fitting_task_count(step, free) >= count:
            break
        free_in_s = task_remaining_s
        free = free + worker.tasks_by_name[name].step.demand()
    return free_in_s


def _reservation_order(headroom: WorkerHeadroom) -> tuple[bool, int]:
    """Return a sort key: reserved before, then most free CPU, first."""
    return not headroom.was_reserved, -headroom.cpu
