"""Limits on what an organisation may have running at a time.

Pattern: a limit that is lowered while accepted work waits, so that a task, or
all members of a gang but one, is more than the limit allows. While less than
half of the limit is used, such work may exceed it by one task; otherwise it
would wait forever in an idle cell.
"""

from collections.abc import Iterator

from msgspec.structs import astuple

from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState

_NO_LIMIT = Resources()


class OrganisationLimits:
    """Tells which waiting tasks may start within the limits."""

    __slots__ = ('_limits_by_organisation', '_tracker')

    def __init__(self, tracker: RunTracker) -> None:
        """Start without limits."""
        self._tracker = tracker
        self._limits_by_organisation: dict[str, Resources] = {}

    def set_view(self, view: CellConfigView) -> None:
        """Apply the limits of a new configuration."""
        for organisation in view.config.organisations:
            self._limits_by_organisation[organisation.name] = organisation.limit

    def within_limit(
        self,
        step: StepState,
        tasks: list[TaskState],
    ) -> list[TaskState]:
        """Return the tasks that may start; all or none of a gang."""
        organisation = step.job.stored.organisation
        usage = self._tracker.usage(organisation)
        limit = self._limits_by_organisation.get(organisation, _NO_LIMIT)
        count = _count_within_limit(step.demand(), usage, limit)
        needed = len(tasks) if step.spec.gang else 1
        if count >= needed:
            return tasks[: int(min(count, len(tasks)))]
        excess = _allowed_excess(step.demand(), usage, limit, needed)
        if excess is None or not self._allows_other_starts(step, excess):
            return []
        return tasks[:needed]

    def _allows_other_starts(self, step: StepState, excess: Resources) -> bool:
        """Tell whether the limit may be exceeded by this much.

        A start may bring an organisation one task of its own size beyond the
        limit. Orders overtake each other, so this has to hold for each run
        that may not have begun yet.
        """
        return all(
            excess.fits_in(demand)
            for demand in self._unconfirmed_demands(
                step.job.stored.organisation
            )
        )

    def _unconfirmed_demands(self, organisation: str) -> Iterator[Resources]:
        """Yield the demands of runs that may begin, or run unaccounted."""
        for worker in self._tracker.workers_by_id.values():
            for task in worker.tasks_by_name.values():
                is_own = task.step.job.stored.organisation == organisation
                if is_own and not _is_confirmed(task):
                    yield task.step.demand()
            if self._has_stray(worker, organisation):
                yield Resources()

    def _has_stray(self, worker: WorkerState, organisation: str) -> bool:
        """Tell whether a stray run may be of an organisation."""
        tasks = (self._tracker.task(name) for name, _ in worker.strays_by_run)
        return any(
            task is None or task.step.job.stored.organisation == organisation
            for task in tasks
        )


def _is_confirmed(task: TaskState) -> bool:
    """Tell whether a worker has confirmed that a run has begun."""
    is_listed = task.first_progress is not None
    return is_listed or task.phase is TaskPhase.RUNNING


def _count_within_limit(
    demand: Resources,
    usage: Resources,
    limit: Resources,
) -> float:
    """Return how many more tasks a limit allows."""
    return min(
        _count_of(demand.cpu_millis, usage.cpu_millis, limit.cpu_millis),
        _count_of(demand.memory_mb, usage.memory_mb, limit.memory_mb),
        _count_of(demand.accelerators, usage.accelerators, limit.accelerators),
    )


def _count_of(demand: int, used: int, limit: int) -> float:
    """Return how many more tasks fit; a limit of 0 is none."""
    if not limit or not demand:
        return float('inf')
    return max(0, (limit - used) // demand)


def _allowed_excess(
    demand: Resources,
    usage: Resources,
    limit: Resources,
    needed: int,
) -> Resources | None:
    """Return by how much ``needed`` tasks would exceed a limit.

    ``None`` if they may not, as more than one of them does not fit, or as half
    of a limit that they exceed is in use.
    """
    excess: list[int] = []
    for each, used, most in zip(
        astuple(demand), astuple(usage), astuple(limit), strict=True
    ):
        beyond = used + needed * each - most
        if not most or beyond <= 0:
            excess.append(0)
        elif 2 * used < most and beyond <= each:
            excess.append(beyond)
        else:
            return None
    return Resources(*excess)
