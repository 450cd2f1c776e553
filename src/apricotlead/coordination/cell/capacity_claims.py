"""Capacity claims of waiting steps, which allow them to request advice.

Pattern: more steps than askers. Advice is requested only for steps that may
get capacity while their tickets are valid, in the order of the steps. Each
step claims capacity on workers that may run it, so a step that is not eligible
for a worker, or waits for few workers, leaves the rest to the steps after it.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from math import ceil

from apricotlead.coordination.cell.placement import (
    WorkerHeadroom,
    fitting_task_count,
)
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import StepState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.wait_times import WaitReason

# Fraction of a worker's CPU that becomes free while a ticket is valid.
_RELEASED_FRACTION = 0.6


class UpcomingCapacity:
    """CPU that is free or becomes free while tickets are valid."""

    __slots__ = ('_cpu_by_worker', '_unclaimed_cpu')

    def __init__(
        self,
        headrooms: Iterable[WorkerHeadroom],
        absent: Iterable[WorkerState],
    ) -> None:
        """Start a round; ``absent`` workers may soon accept work again."""
        self._cpu_by_worker = {
            worker.worker_id: _released_cpu(worker) for worker in absent
        }
        for headroom in headrooms:
            upcoming_cpu = max(0, headroom.cpu) + _released_cpu(headroom.worker)
            self._cpu_by_worker[headroom.worker.worker_id] = upcoming_cpu
        self._unclaimed_cpu = sum(self._cpu_by_worker.values())

    def claim(
        self,
        step: StepState,
        task_count: int,
        workers: Iterable[WorkerState],
    ) -> WaitReason | None:
        """Claim CPU for tasks of a step on workers that may run it.

        Returns ``None`` if any was claimed, else the reason to wait. A gang
        that would not fit on the workers even when idle claims nothing.
        """
        if self._unclaimed_cpu <= 0:
            return WaitReason.EARLIER_STEPS
        idle_count = 0
        unplaced_count = task_count
        claims: list[tuple[str, int]] = []
        for worker in workers:
            worker_idle_count = fitting_task_count(step, worker.idle_capacity)
            claimed = min(
                unplaced_count,
                worker_idle_count,
                self._claimable_count(step, worker),
            )
            claims.append((worker.worker_id, claimed))
            idle_count += worker_idle_count
            unplaced_count -= claimed
            if not unplaced_count:
                break
        if step.spec.gang and idle_count < task_count:
            return WaitReason.NO_CAPACITY
        for worker_id, count in claims:
            self.take(worker_id, count * step.demand().cpu_millis)
        return (
            WaitReason.EARLIER_STEPS if unplaced_count == task_count else None
        )

    def take(self, worker_id: str, cpu_millis: int) -> None:
        """Record that CPU of a worker was claimed or used."""
        self._cpu_by_worker[worker_id] -= cpu_millis
        self._unclaimed_cpu -= cpu_millis

    def _claimable_count(self, step: StepState, worker: WorkerState) -> int:
        """Return how many tasks can claim CPU; the last may fit in part."""
        upcoming_cpu = max(0, self._cpu_by_worker.get(worker.worker_id, 0))
        return ceil(upcoming_cpu / max(1, step.demand().cpu_millis))


class UnclaimedCapacity:
    """Capacity that is free now and not used by preceding steps.

    Pattern: large tasks that wait for runs of several minutes. They claim
    capacity that does not become free while their tickets are valid. A step
    that finds nothing left to claim may therefore request advice for capacity
    that is free now.
    """

    __slots__ = (
        '_claimed_cpu_by_worker',
        '_headrooms_by_worker',
        '_largest_cpu',
    )

    def __init__(
        self, headrooms_by_worker: Mapping[str, WorkerHeadroom]
    ) -> None:
        """Start a round without claims."""
        self._headrooms_by_worker = headrooms_by_worker
        self._claimed_cpu_by_worker: Counter[str] = Counter()
        self._largest_cpu = max(
            (headroom.cpu for headroom in headrooms_by_worker.values()),
            default=0,
        )

    def claim(
        self,
        step: StepState,
        task_count: int,
        workers: Iterable[WorkerState],
        max_duration_s: float,
    ) -> WaitReason | None:
        """Claim capacity for tasks that take up to ``max_duration_s``.

        A gang claims capacity for all its tasks or none. Returns ``None`` if
        any was claimed, else the reason to wait.
        """
        cpu_millis = step.demand().cpu_millis
        if cpu_millis > self._largest_cpu:
            return WaitReason.EARLIER_STEPS
        unplaced_count = task_count
        claims: list[tuple[str, int]] = []
        for worker in workers:
            claimable_count = self._claimable_count(
                step, worker.worker_id, max_duration_s
            )
            claims.append(
                (worker.worker_id, min(unplaced_count, claimable_count))
            )
            unplaced_count -= min(unplaced_count, claimable_count)
            if not unplaced_count:
                break
        if unplaced_count == task_count or (step.spec.gang and unplaced_count):
            return WaitReason.EARLIER_STEPS
        for worker_id, count in claims:
            self._claimed_cpu_by_worker[worker_id] += count * cpu_millis
        return None

    def _claimable_count(
        self, step: StepState, worker_id: str, max_duration_s: float
    ) -> int:
        """Return how many tasks fit on a worker in unclaimed capacity."""
        headroom = self._headrooms_by_worker.get(worker_id)
        if headroom is None or headroom.max_backfill_s < max_duration_s:
            return 0
        cpu_millis = headroom.cpu - self._claimed_cpu_by_worker[worker_id]
        # Cheap check first: few workers of a busy cell pass it.
        if cpu_millis < step.demand().cpu_millis:
            return 0
        free = Resources(cpu_millis, headroom.memory, headroom.accelerators)
        return fitting_task_count(step, free)


class ServiceLoad:
    """The free and total CPU of each service."""

    __slots__ = (
        '_absent_cpu_by_service',
        '_free_cpu_by_service',
        '_total_cpu_by_service',
    )

    def __init__(
        self,
        headrooms: Iterable[WorkerHeadroom],
        absent: Iterable[WorkerState] = (),
    ) -> None:
        """Start a round; ``absent`` workers may soon accept work again."""
        self._absent_cpu_by_service: Counter[str] = Counter()
        for worker in absent:
            cpu_millis = worker.entry.capacity.cpu_millis
            self._absent_cpu_by_service[worker.entry.service] += cpu_millis
        self._free_cpu_by_service: Counter[str] = Counter()
        self._total_cpu_by_service: Counter[str] = Counter()
        for headroom in headrooms:
            entry = headroom.worker.entry
            self._free_cpu_by_service[entry.service] += max(0, headroom.cpu)
            total_cpu = entry.capacity.cpu_millis
            self._total_cpu_by_service[entry.service] += total_cpu

    def is_half_free(self, service: str) -> bool:
        """Return whether more than half of a service's CPU is free."""
        free = self._free_cpu_by_service[service]
        return free * 2 > self._total_cpu_by_service[service]

    def is_half_idle(self, service: str) -> bool:
        """Return whether more than half is free, absent workers included.

        When many workers have crashed, the few that are left may be idle.
        """
        total = self._total_cpu_by_service[service]
        total += self._absent_cpu_by_service[service]
        return self._free_cpu_by_service[service] * 2 > total

    def take(self, service: str, cpu_millis: int) -> None:
        """Record that a task was placed."""
        self._free_cpu_by_service[service] -= cpu_millis


def _released_cpu(worker: WorkerState) -> int:
    return int(worker.entry.capacity.cpu_millis * _RELEASED_FRACTION)
