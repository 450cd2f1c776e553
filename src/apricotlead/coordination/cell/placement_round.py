"""State that the steps of one placement round share."""

from collections.abc import Iterable

from apricotlead.coordination.cell.advice_cache import AdviceCall
from apricotlead.coordination.cell.capacity_claims import (
    ServiceLoad,
    UnclaimedCapacity,
    UpcomingCapacity,
)
from apricotlead.coordination.cell.placement import Assignment, WorkerHeadroom
from apricotlead.coordination.cell.run_times import likely_duration_s
from apricotlead.state.cell_jobs import StepState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.estimate_errors import EstimateErrors


class PlacementRound:
    """Free capacity, the claims on it, and the advice calls to send.

    Steps claim ``upcoming`` capacity in their order; a step that finds none
    left may claim ``unclaimed`` capacity, which is free now.
    """

    __slots__ = (
        '_errors',
        '_headrooms_fastest_first',
        'absent',
        'askers',
        'calls',
        'headrooms',
        'headrooms_by_worker',
        'load',
        'now',
        'unclaimed',
        'upcoming',
    )

    def __init__(
        self,
        workers: list[WorkerState],
        askers: list[str],
        now: float,
        errors: EstimateErrors,
        absent: Iterable[WorkerState] = (),
    ) -> None:
        """Start from the current free capacity of the workers.

        ``absent`` are workers that may soon accept work again.
        """
        self._errors = errors
        self.headrooms = [WorkerHeadroom(worker) for worker in workers]
        self.absent = absent
        self.headrooms_by_worker = {
            headroom.worker.worker_id: headroom for headroom in self.headrooms
        }
        self._headrooms_fastest_first: list[WorkerHeadroom] = []
        self.askers = askers
        self.now = now
        self.calls: list[AdviceCall] = []
        self.upcoming = UpcomingCapacity(self.headrooms, absent)
        self.unclaimed = UnclaimedCapacity(self.headrooms_by_worker)
        self.load = ServiceLoad(self.headrooms, absent)

    def max_duration_s(self, step: StepState) -> float:
        """Return the likely upper bound of the duration of a step's runs."""
        return likely_duration_s(step, self._errors)

    def headrooms_of(self, worker_ids: Iterable[str]) -> list[WorkerHeadroom]:
        """Return the headrooms of those workers that accept work."""
        headrooms = (self.headrooms_by_worker.get(each) for each in worker_ids)
        return [headroom for headroom in headrooms if headroom is not None]

    def headrooms_fastest_first(self) -> list[WorkerHeadroom]:
        """Return the headrooms by speed, then by free CPU, highest first."""
        if not self._headrooms_fastest_first:
            self._headrooms_fastest_first = sorted(
                self.headrooms,
                key=lambda headroom: (headroom.slowness_level, -headroom.cpu),
            )
        return self._headrooms_fastest_first

    def take(self, assignment: Assignment) -> None:
        """Record that a task was placed."""
        task, headroom = assignment
        cpu_millis = task.step.demand().cpu_millis
        self.load.take(headroom.worker.entry.service, cpu_millis)
        self.upcoming.take(headroom.worker.worker_id, cpu_millis)
