"""The order in which waiting steps are given room.

Pattern: more work than room. Jobs that end too late to be of any use wait
behind all others, and jobs of an organisation beyond its weight (in jobs a
second) behind those within theirs. Then a queue's priority comes first: its
jobs have little time, so that the delay falls on the jobs with much of it.
Jobs that can no longer meet their objective wait behind those of the same
priority that can; the oldest goes first.

Pattern: callers whose estimates are far off. How long a job is of use depends
on how long it really is, so it counts as too late only when the errors seen in
its queue make that very likely.
"""

from collections.abc import Collection, Iterator, Sequence

from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.state.cell_jobs import JobRun, StepState
from apricotlead.state.estimate_errors import EstimateErrors

_MS_PER_S = 1000.0
# A job is of no use to its caller after this many times its objective.
WORTHLESS_AFTER = 3.0
# A tenth of all jobs are longer than by this many standard deviations.
WORTHLESS_DEVIATIONS = 1.3


class WeightMeter:
    """Tells which jobs lie within their organisation's weight.

    A token bucket for each organisation: ``weight`` jobs a second, with a
    burst of ``burst_s`` seconds of them.
    """

    __slots__ = (
        '_buckets_by_organisation',
        '_burst_s',
        '_weights_by_organisation',
    )

    def __init__(self, burst_s: float = 2.0) -> None:
        """Begin with full buckets."""
        self._burst_s = burst_s
        self._buckets_by_organisation: dict[str, tuple[float, float]] = {}
        self._weights_by_organisation: dict[str, float] = {}

    def admit(self, organisation: str, weight: float, now: float) -> bool:
        """Take a token for a job accepted now; tell whether there was one."""
        self._weights_by_organisation[organisation] = weight
        full = max(1, weight * self._burst_s)
        tokens, since_s = self._buckets_by_organisation.get(
            organisation,
            (full, now),
        )
        tokens = min(full, tokens + max(0, now - since_s) * weight)
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


def chain_s(job: JobRun, occurrence: int | None = None) -> float:
    """Return the longest chain of estimated work of a job, in seconds.

    With ``occurrence`` steps of it that are done count nothing. The result is
    kept with the job for each set of steps that are done.
    """
    done: frozenset[int] = frozenset()
    if occurrence is not None:
        done = frozenset(
            index
            for index in range(len(job.step_specs))
            if job.steps_by_key[occurrence, index].is_done
        )
    known_s = job.critical_path_s_by_done.get(done)
    if known_s is None:
        known_s = submitted_chain_s(job.step_specs, done)
        job.critical_path_s_by_done[done] = known_s
    return known_s


def submitted_chain_s(
    steps: Sequence[StepSpec],
    done: Collection[int] = (),
) -> float:
    """Return the longest chain of estimated work, in seconds.

    Steps whose numbers are in ``done`` count nothing.
    """
    chains: list[float] = []
    for index, spec in enumerate(steps):
        earlier = [chains[other] for other in spec.after]
        own_s = 0 if index in done else spec.estimated_ms / _MS_PER_S
        chains.append(own_s + max(earlier, default=0))
    return max(chains, default=0)


def objective_of(stretch: float, work_s: float, aim_ms: float) -> float:
    """Return the time in which a job earns its whole worth, in seconds.

    ``work_s`` is its longest chain of work.
    """
    return stretch * work_s + aim_ms / _MS_PER_S


def objective_s(job: JobRun, factor: float = 1.0) -> float:
    """Return the objective of an accepted job, in seconds.

    Its work is taken as ``factor`` times the estimate.
    """
    stored = job.stored
    return objective_of(stored.stretch, chain_s(job) * factor, stored.aim_ms)


def order_key(
    step: StepState,
    now: float,
    errors: EstimateErrors,
) -> tuple[bool, bool, int, bool, float]:
    """Return the sort key of a waiting step; the least goes first."""
    return (
        is_worthless(step, now, errors),
        _is_surplus(step),
        step.job.stored.priority,
        _is_late(step, now, errors),
        step.job.due_s(step.occurrence),
    )


def is_worthless(
    step: StepState,
    now: float,
    errors: EstimateErrors,
) -> bool:
    """Tell whether a step's job very likely ends too late to be of any use.

    A job that is longer than its estimate is of use for longer.
    """
    if step.spec.long_running:
        return False
    job = step.job
    factor = errors.factor(job.stored.queue, WORTHLESS_DEVIATIONS)
    most_s = WORTHLESS_AFTER * objective_s(job, factor)
    ends_s = now + chain_s(job, step.occurrence) * factor
    return ends_s > job.due_s(step.occurrence) + most_s


def slack_s(step: StepState, now: float, errors: EstimateErrors) -> float:
    """Return the time that a step's job can lose and likely be in time."""
    job = step.job
    factor = errors.factor(job.stored.queue)
    rest_s = chain_s(job, step.occurrence) * factor
    due_s = job.due_s(step.occurrence)
    return due_s + objective_s(job, factor) - now - rest_s


def is_urgent(step: StepState, now: float, errors: EstimateErrors) -> bool:
    """Tell whether a step has less slack than its own work takes."""
    factor = errors.factor(step.job.stored.queue)
    rest_s = chain_s(step.job, step.occurrence) * factor
    return slack_s(step, now, errors) < rest_s


def _is_surplus(step: StepState) -> bool:
    """Tell whether a step's job lies beyond its organisation's weight."""
    return not step.job.is_within_weight


def _is_late(step: StepState, now: float, errors: EstimateErrors) -> bool:
    """Tell whether a step's job can hardly meet its objective any more."""
    lasts = step.spec.long_running
    return not lasts and slack_s(step, now, errors) < 0
