"""Refusing jobs that could only end too late to be of any use.

Pattern: more work than room for longer than callers can wait. The scheduler
tells how long the work that goes first will take; an instance refuses a job
at once when that alone exceeds the time after which it is worthless, and
tells the caller when the queue will be short enough.
"""

from collections.abc import Iterable
from math import exp

from msgspec import Struct

from apricotlead.coordination.cell.order import (
    CUTOFF_DEVIATIONS,
    CUTOFF_FACTOR,
    WeightMeter,
    objective_of,
    submitted_critical_path_s,
)
from apricotlead.coordination.cell.run_book import RunBook
from apricotlead.protocol.cell_config import QueueConfig
from apricotlead.protocol.cell_jobs import JobSubmission, StepSpec
from apricotlead.protocol.cell_peers import Backlog

_MS_PER_S = 1000.0
# Coming back sooner than this meets the same queue.
_LEAST_RETRY_S = 0.5
# A load that is measured over seconds leaves no less than this.
_LEAST_SHARE_LEFT = 0.1
# The time to come back is told no later than this.
_MOST_RETRY_S = 10.0


class LoadMeter:
    """The work of newly accepted jobs, in core milliseconds a second.

    Pattern: the jobs of one organisation beyond its weight, while those of
    the others fill the cell. What waits now tells little of how long they
    wait: all that is accepted meanwhile goes first.
    """

    __slots__ = ('_noted_s', '_window_s', '_work')

    def __init__(self, now: float, window_s: float = 4.0) -> None:
        """Begin idle; older work counts less, by ``window_s``."""
        self._window_s = window_s
        self._noted_s = now
        self._work = 0.0

    def note(self, steps: Iterable[StepSpec], now: float) -> None:
        """Note a job that goes before those beyond their weight."""
        self._work = self._decayed(now) + sum(
            step.task_count * step.demand.cpu_millis * step.estimated_ms
            for step in steps
        )
        self._noted_s = now

    def rate(self, now: float) -> float:
        """Return the work that was accepted, by the second."""
        return self._decayed(now) / self._window_s

    def _decayed(self, now: float) -> float:
        passed_s = max(0.0, now - self._noted_s)
        return self._work * exp(-passed_s / self._window_s)


class Rejection(Struct, frozen=True):
    """Why a job is refused and when to come back, in seconds."""

    wait_s: float
    useful_s: float
    retry_after_s: float


def measure_backlog(
    book: RunBook,
    meter: WeightMeter,
    load: LoadMeter,
    now: float,
) -> Backlog:
    """Return how long the waiting work takes with the workers in use."""
    cores = sum(
        worker.entry.capacity.cpu_millis
        for worker in book.workers_by_id.values()
        if worker.takes_work(now)
    )
    if not cores:
        return Backlog()
    per_s = cores * _MS_PER_S
    work_by_priority, surplus = _waiting_work(book)
    return Backlog(
        {
            priority: round(work / per_s, 2)
            for priority, work in work_by_priority.items()
        },
        round(surplus / per_s, 2),
        tuple(meter.over_weight(now)),
        round(load.rate(now) / per_s, 2),
        {
            queue: round(error.factor(CUTOFF_DEVIATIONS), 2)
            for queue, error in book.estimate_errors.by_queue.items()
        },
    )


def check_admission(
    submission: JobSubmission,
    queue: QueueConfig,
    organisation: str,
    backlog: Backlog,
) -> Rejection | None:
    """Tell whether a job is hopeless; ``None`` where it is to be accepted."""
    lasts = any(step.long_running for step in submission.steps)
    if submission.occurrences or lasts:
        return None
    wait_s = _wait_s(queue, organisation, backlog)
    useful_s = _useful_s(submission, queue, backlog)
    if wait_s <= useful_s:
        return None
    retry_after_s = min(_MOST_RETRY_S, max(_LEAST_RETRY_S, wait_s - useful_s))
    return Rejection(round(wait_s, 2), round(useful_s, 2), retry_after_s)


def _waiting_work(book: RunBook) -> tuple[dict[int, float], float]:
    """Return the work that waits by priority, and that beyond the weights."""
    work_by_priority: dict[int, float] = {}
    surplus = 0.0
    for step in book.ready_steps_by_name.values():
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
    """Return how long the work takes that goes before a new job."""
    if organisation in backlog.over_weight:
        before_s = sum(backlog.wait_s_by_priority.values()) + backlog.surplus_s
        return before_s / max(_LEAST_SHARE_LEFT, 1 - backlog.load)
    return sum(
        work_s
        for priority, work_s in backlog.wait_s_by_priority.items()
        if priority <= queue.priority
    )


def _useful_s(
    submission: JobSubmission,
    queue: QueueConfig,
    backlog: Backlog,
) -> float:
    """Return how long a job may well wait and still be of use."""
    factor = backlog.longest_by_queue.get(queue.name, 1)
    critical_path_s = submitted_critical_path_s(submission.steps) * factor
    aim_s = objective_of(queue.stretch, critical_path_s, queue.aim_ms)
    return CUTOFF_FACTOR * aim_s - critical_path_s
