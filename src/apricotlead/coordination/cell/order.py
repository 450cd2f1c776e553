"""The order in which waiting steps are placed.

Pattern: more work than capacity. Jobs that would end after their cutoff, when
the result is of no use to the caller, come last, and jobs of an organisation
beyond its weight (in jobs per second) come after those within it. Then the
priority of the queue decides: high-priority jobs have little time, so the
delay falls on jobs that have more. Within a priority, jobs that can no longer
meet their objective come after those that can, and the oldest comes first.

Pattern: callers whose estimates are far off. The cutoff of a job depends on
its real duration, so a job counts as too late only if that is very likely
given the estimate errors seen in its queue.
"""

from collections.abc import Collection, Iterator, Sequence

from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.state.cell_jobs import JobRun, StepState
from apricotlead.state.estimate_errors import EstimateErrors

_MS_PER_S = 1000.0
# The cutoff of a job: its result is of no use to the caller later than this
# many times its objective after it was due.
CUTOFF_FACTOR = 3.0
# One job in ten exceeds its estimate by more standard deviations than this.
CUTOFF_DEVIATIONS = 1.3


class WeightMeter:
    """Decides which jobs are within the weight of their organisation.

    Keeps a token bucket per organisation, filled at ``weight`` jobs per
    second, with a capacity of ``burst_s`` seconds of that rate.
    """

    __slots__ = (
        '_buckets_by_organisation',
        '_burst_s',
        '_weights_by_organisation',
    )

    def __init__(self, burst_s: float = 2.0) -> None:
        """Start with full buckets."""
        self._burst_s = burst_s
        self._buckets_by_organisation: dict[str, tuple[float, float]] = {}
        self._weights_by_organisation: dict[str, float] = {}

    def admit(self, organisation: str, weight: float, now: float) -> bool:
        """Take a token for a job accepted now; return whether one was left."""
        self._weights_by_organisation[organisation] = weight
        bucket_size = max(1, weight * self._burst_s)
        tokens, since_s = self._buckets_by_organisation.get(
            organisation,
            (bucket_size, now),
        )
        tokens = min(bucket_size, tokens + max(0, now - since_s) * weight)
        is_within = tokens >= 1
        left = tokens - 1 if is_within else tokens
        self._buckets_by_organisation[organisation] = (left, now)
        return is_within

    def over_weight(self, now: float) -> Iterator[str]:
        """Return the organisations that have no token left."""
        for name, (tokens, since_s) in self._buckets_by_organisation.items():
            weight = self._weights_by_organisation[name]
            if tokens + max(0, now - since_s) * weight < 1:
                yield name


def critical_path_s(job: JobRun, occurrence: int | None = None) -> float:
    """Return the critical path of a job by its estimates, in seconds.

    If ``occurrence`` is given, its finished steps count as zero. The result is
    cached on the job for each set of finished steps.
    """
    done: frozenset[int] = frozenset()
    if occurrence is not None:
        done = frozenset(
            index
            for index in range(len(job.step_specs))
            if job.steps_by_key[occurrence, index].is_done
        )
    cached_s = job.critical_path_s_by_done.get(done)
    if cached_s is None:
        cached_s = submitted_critical_path_s(job.step_specs, done)
        job.critical_path_s_by_done[done] = cached_s
    return cached_s


def submitted_critical_path_s(
    steps: Sequence[StepSpec],
    done: Collection[int] = (),
) -> float:
    """Return the critical path of the estimates of steps, in seconds.

    Steps whose indexes are in ``done`` count as zero.
    """
    critical_paths_s: list[float] = []
    for index, spec in enumerate(steps):
        predecessors_s = [critical_paths_s[other] for other in spec.after]
        own_s = 0 if index in done else spec.estimated_ms / _MS_PER_S
        critical_paths_s.append(own_s + max(predecessors_s, default=0))
    return max(critical_paths_s, default=0)


def objective_of(stretch: float, work_s: float, aim_ms: float) -> float:
    """Return the time within which a job has its full value, in seconds.

    ``work_s`` is its critical path.
    """
    return stretch * work_s + aim_ms / _MS_PER_S


def objective_s(job: JobRun, factor: float = 1.0) -> float:
    """Return the objective of an accepted job, in seconds.

    Its critical path is taken as ``factor`` times the estimate.
    """
    stored = job.stored
    return objective_of(
        stored.stretch, critical_path_s(job) * factor, stored.aim_ms
    )


def order_key(
    step: StepState,
    now: float,
    errors: EstimateErrors,
) -> tuple[bool, bool, int, bool, float]:
    """Return the sort key of a waiting step; the lowest is placed first."""
    return (
        misses_cutoff(step, now, errors),
        _exceeds_weight(step),
        step.job.stored.priority,
        _is_late(step, now, errors),
        step.job.due_s(step.occurrence),
    )


def misses_cutoff(
    step: StepState,
    now: float,
    errors: EstimateErrors,
) -> bool:
    """Return whether a step's job very likely ends after its cutoff.

    The estimate errors count on both sides: a longer job has a later cutoff.
    """
    if step.spec.long_running:
        return False
    job = step.job
    factor = errors.factor(job.stored.queue, CUTOFF_DEVIATIONS)
    cutoff_s = CUTOFF_FACTOR * objective_s(job, factor)
    ends_s = now + critical_path_s(job, step.occurrence) * factor
    return ends_s > job.due_s(step.occurrence) + cutoff_s


def slack_s(step: StepState, now: float, errors: EstimateErrors) -> float:
    """Return how long a step's job can wait and likely meet its objective."""
    job = step.job
    factor = errors.factor(job.stored.queue)
    remaining_s = critical_path_s(job, step.occurrence) * factor
    due_s = job.due_s(step.occurrence)
    return due_s + objective_s(job, factor) - now - remaining_s


def is_urgent(step: StepState, now: float, errors: EstimateErrors) -> bool:
    """Return whether a step's job has less slack than remaining work."""
    factor = errors.factor(step.job.stored.queue)
    remaining_s = critical_path_s(step.job, step.occurrence) * factor
    return slack_s(step, now, errors) < remaining_s


def _exceeds_weight(step: StepState) -> bool:
    """Return whether a step's job exceeds its organisation's weight."""
    return not step.job.is_within_weight


def _is_late(step: StepState, now: float, errors: EstimateErrors) -> bool:
    """Return whether a step's job can probably not meet its objective."""
    is_long_running = step.spec.long_running
    return not is_long_running and slack_s(step, now, errors) < 0
