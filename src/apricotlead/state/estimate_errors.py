"""How far the estimates of a queue's callers are off."""

from math import exp, log, sqrt

# What is assumed before the first run: right on the whole, half of them
# within a quarter.
_PRIOR_COUNT = 3
_PRIOR_VARIANCE = 0.16
# Older observations fade once there are this many.
_MOST_COUNT = 60
# Ratios beyond this say nothing else.
_MOST_LOG_RATIO = 4.0


class EstimateError:
    """Mean and variance of the log of time taken over time estimated."""

    __slots__ = ('count', 'mean', 'variance')

    def __init__(
        self,
        mean: float = 0.0,
        variance: float = _PRIOR_VARIANCE,
        count: int = 0,
    ) -> None:
        """Begin with what is known."""
        self.mean = mean
        self.variance = variance
        self.count = count

    def observe(self, ratio: float) -> None:
        """Note a step whose tasks took ``ratio`` times their estimate."""
        seen = max(-_MOST_LOG_RATIO, min(_MOST_LOG_RATIO, log(ratio)))
        self.count = min(self.count + 1, _MOST_COUNT)
        weight = 1 / (self.count + _PRIOR_COUNT)
        off = seen - self.mean
        self.mean += weight * off
        self.variance += weight * (off * (seen - self.mean) - self.variance)

    def factor(self, deviations: float = 0.0) -> float:
        """Return what to multiply an estimate by.

        ``deviations`` is in standard deviations: about a sixth of all steps
        take longer than the estimate times ``factor(1)``.
        """
        return exp(self.mean + deviations * sqrt(self.variance))


class EstimateErrors:
    """The errors of all queues."""

    __slots__ = ('by_queue',)

    def __init__(self) -> None:
        """Start without observations."""
        self.by_queue: dict[str, EstimateError] = {}

    def observe(self, queue: str, taken_s: float, estimate_s: float) -> None:
        """Note how long a step of a queue took on an ordinary worker."""
        if taken_s <= 0 or estimate_s <= 0:
            return
        error = self.by_queue.setdefault(queue, EstimateError())
        error.observe(taken_s / estimate_s)

    def factor(self, queue: str, deviations: float = 0.0) -> float:
        """Return what to multiply an estimate of a queue by."""
        return self.by_queue.get(queue, _UNKNOWN).factor(deviations)


_UNKNOWN = EstimateError()
