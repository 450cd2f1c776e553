"""The speed of a worker, relative to the estimated durations."""

from math import exp, log

# Ratios are clamped to this factor either way; larger ones add nothing.
_MAX_RATIO = 8.0
# The weight of a new observation never falls below this.
_MIN_WEIGHT = 0.12
# Weight of the prior that a worker has ordinary speed, in observations.
_PRIOR_COUNT = 2


class WorkerSpeed:
    """Mean ratio of actual to estimated duration, on a log scale."""

    __slots__ = ('_count', '_log_ratio')

    def __init__(self, slowness: float = 1.0, count: int = 0) -> None:
        """Start with previously learned values, by default as estimated."""
        self._log_ratio = log(slowness)
        self._count = count

    @property
    def slowness(self) -> float:
        """Return the mean ratio; 2.0 means twice as long as estimated."""
        return exp(self._log_ratio)

    @property
    def count(self) -> int:
        """Return the number of observations."""
        return self._count

    def observe(self, taken_s: float, estimate_s: float) -> None:
        """Record a run that took ``taken_s``.

        Ignored unless both durations are positive.
        """
        if estimate_s <= 0 or taken_s <= 0:
            return
        ratio = min(_MAX_RATIO, max(1 / _MAX_RATIO, taken_s / estimate_s))
        self._count += 1
        weight = max(_MIN_WEIGHT, 1 / (self._count + _PRIOR_COUNT))
        self._log_ratio += weight * (log(ratio) - self._log_ratio)
