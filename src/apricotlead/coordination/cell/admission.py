"""Admission control: rejects jobs that could only end after their cutoff.

Pattern: more work than capacity for longer than callers can wait. The
scheduler publishes how long the work ahead of a new job will take. An instance
rejects a job at once if that wait alone exceeds the longest useful wait, and
tells the caller when the queue should be short enough.
"""

from collections.abc import Iterable
from math import exp

from msgspec import Struct

from apricotlead.coordination.cell.crash_limits import held_s_by_queue
from apricotlead.coordination.cell.order import (
    CUTOFF_DEVIATIONS,
    CUTOFF_FACTOR,
    WeightMeter,
    objective_of,
    submitted_critical_path_s,
)
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.protocol.cell_config import QueueConfig
from apricotlead.protocol.cell_jobs import JobSubmission, StepSpec
from apricotlead.protocol.cell_peers import Backlog

_MS_PER_S = 1000.0
# A retry sooner than this would find the same queue.
_MIN_RETRY_S = 0.5
# The load is averaged over seconds and may briefly exceed the capacity; the
# free share of the cell is taken as at least this.
_MIN_FREE_SHARE = 0.1
# Upper bound of the retry time that callers are given.
_MAX_RETRY_S = 10.0


class LoadMeter:
    """Exponential average of newly accepted work, in CPU millis * ms per s.

    Pattern: one organisation exceeds its weight while the jobs of others fill
    the cell. The current queue says little about how long its jobs wait,
    because all work that is accepted meanwhile precedes them.
    """

    __slots__ = ('_updated_s', '_window_s', '_work')

    def __init__(self, now: float, window_s: float = 4.0) -> None:
        """Start idle; ``window_s`` is the time constant of the average."""
        self._window_s = window_s
        self._updated_s = now
        self._work = 0.0

    def note(self, steps: Iterable[StepSpec], now: float) -> None:
        """Add a job within its weight, which precedes those beyond it."""
        self._work = self._decayed(now) + sum(
            step.task_count * step.demand.cpu_millis * step.estimated_ms
            for step in steps
        )
        self._updated_s = now

    def rate(self, now: float) -> float:
        """Return the accepted work per second."""
        return self._decayed(now) / self._window_s

    def _decayed(self, now: float) -> float:
        elapsed_s = max(0.0, now - self._updated_s)
        return self._work * exp(-elapsed_s / self._window_s)


class Rejection(Struct, frozen=True):
    """Why a job is rejected and when to retry, in seconds."""

    wait_s: float
    useful_s: float
    retry_after_s: float


def measure_backlog(
    tracker: RunTracker,
    meter: WeightMeter,
    load: LoadMeter,
    now: float,
) -> Backlog:
    """Return how long the waiting work takes on the available workers."""
    total_cpu_millis = sum(
        worker.entry.capacity.cpu_millis
        for worker in tracker.workers_by_id.values()
        if worker.takes_work(now)
    )
    if not total_cpu_millis:
        return Backlog()
    work_per_s = total_cpu_millis * _MS_PER_S
    work_by_priority, surplus = _waiting_work(tracker)
    return Backlog(
        {
            priority: round(work / work_per_s, 2)
            for priority, work in work_by_priority.items()
        },
        round(surplus / work_per_s, 2),
        tuple(meter.over_weight(now)),
        round(load.rate(now) / work_per_s, 2),
        {
            queue: round(error.factor(CUTOFF_DEVIATIONS), 2)
            for queue, error in tracker.estimate_errors.by_queue.items()
        },
        held_s_by_queue(tracker),
    )


def check_admission(
    submission: JobSubmission,
    queue: QueueConfig,
    organisation: str,
    backlog: Backlog,
) -> Rejection | None:
    """Return a rejection if a job cannot end in time, else ``None``."""
    is_long_running = any(step.long_running for step in submission.steps)
    if submission.occurrences or is_long_running:
        return None
    wait_s = max(
        _wait_s(queue, organisation, backlog),
        backlog.held_s_by_queue.get(queue.name, 0),
    )
    useful_s = _max_useful_wait_s(submission, queue, backlog)
    if wait_s <= useful_s:
        return None
    retry_after_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s - useful_s))
    return Rejection(round(wait_s, 2), round(useful_s, 2), retry_after_s)


def _waiting_work(tracker: RunTracker) -> tuple[dict[int, float], float]:
    """Return the waiting work by priority, and that beyond the weights."""
    work_by_priority: dict[int, float] = {}
    surplus = 0.0
    for step in tracker.ready_steps_by_name.values():
        spec = step.spec
        work = step.waiting_count * spec.demand.cpu_millis * spec.estimated_ms
        if step.job.is_within_weight:
            priority = step.job.stored.priority
            known = work_by_priority.get(priority, 0.0)
            work_by_priority[priority] = known + work
        else:
            surplus += work
    return work_by_priority, surplus


def _wait_s(
    queue: QueueConfig,
    organisation: str,
    backlog: Backlog,
) -> float:
    """Return how long the work takes that precedes a new job."""
    if organisation in backlog.over_weight:
        queued_s = sum(backlog.wait_s_by_priority.values()) + backlog.surplus_s
        return queued_s / max(_MIN_FREE_SHARE, 1 - backlog.load)
    return sum(
        work_s
        for priority, work_s in backlog.wait_s_by_priority.items()
        if priority <= queue.priority
    )


def _max_useful_wait_s(
    submission: JobSubmission,
    queue: QueueConfig,
    backlog: Backlog,
) -> float:
    """Return how long a job can wait and still end before its cutoff."""
    factor = backlog.longest_by_queue.get(queue.name, 1)
    critical_path_s = submitted_critical_path_s(submission.steps) * factor
    objective_s = objective_of(queue.stretch, critical_path_s, queue.aim_ms)
    return CUTOFF_FACTOR * objective_s - critical_path_s
