"""Errors of the callers' duration estimates, by queue."""

from math import exp, log, sqrt

# Prior before the first run: unbiased estimates, half of which are off by
# less than a quarter.
_PRIOR_COUNT = 3
_PRIOR_VARIANCE = 0.16
# Beyond this many observations, older ones lose weight.
_MAX_COUNT = 60
# Log ratios are clamped to this magnitude; larger ones add nothing.
_MAX_LOG_RATIO = 4.0


class EstimateError:
    """Mean and variance of the log ratio of actual to estimated duration."""

    __slots__ = ('count', 'mean', 'variance')

    def __init__(
        self,
        mean: float = 0.0,
        variance: float = _PRIOR_VARIANCE,
        count: int = 0,
    ) -> None:
        """Start with previously learned values, by default the prior."""
        self.mean = mean
        self.variance = variance
        self.count = count

    def observe(self, ratio: float) -> None:
        """Record a step whose tasks took ``ratio`` times their estimate."""
        log_ratio = max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, log(ratio)))
        self.count = min(self.count + 1, _MAX_COUNT)
        weight = 1 / (self.count + _PRIOR_COUNT)
        deviation = log_ratio - self.mean
        self.mean += weight * deviation
        self.variance += weight * (
            deviation * (log_ratio - self.mean) - self.variance
        )

    def factor(self, deviations: float = 0.0) -> float:
        """Return the factor by which to multiply an estimate.

        ``deviations`` is in standard deviations: about a sixth of all steps
        take longer than the estimate times ``factor(1)``.
        """
        return exp(self.mean + deviations * sqrt(self.variance))


class EstimateErrors:
    """The estimate errors of all queues."""

    __slots__ = ('by_queue',)

    def __init__(self) -> None:
        """Start without observations."""
        self.by_queue: dict[str, EstimateError] = {}

    def observe(self, queue: str, taken_s: float, estimate_s: float) -> None:
        """Record how long a step took, scaled to ordinary worker speed.

        Ignored unless both durations are positive.
        """
        if taken_s <= 0 or estimate_s <= 0:
            return
        error = self.by_queue.setdefault(queue, EstimateError())
        error.observe(taken_s / estimate_s)

    def factor(self, queue: str, deviations: float = 0.0) -> float:
        """Return the factor by which to multiply an estimate of a queue."""
        return self.by_queue.get(queue, _UNKNOWN).factor(deviations)


_UNKNOWN = EstimateError()
