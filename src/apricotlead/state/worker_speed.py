"""How long a worker takes for its work, compared with the estimates."""

from math import exp, log

# Estimates are off by up to this factor either way; more says nothing else.
_MOST_RATIO = 8.0
# The weight of a new observation once many have been made.
_LEAST_WEIGHT = 0.12
# Observations with which a new worker is taken as ordinary.
_PRIOR_COUNT = 2


class WorkerSpeed:
    """The mean ratio of time taken to time estimated, on a log scale."""

    __slots__ = ('_count', '_log_ratio')

    def __init__(self, slowness: float = 1.0, count: int = 0) -> None:
        """Begin with what is known; 1.0 is as fast as estimated."""
        self._log_ratio = log(slowness)
        self._count = count

    @property
    def slowness(self) -> float:
        """Return the ratio; 2.0 takes twice as long as estimated."""
        return exp(self._log_ratio)

    @property
    def count(self) -> int:
        """Return the number of observations."""
        return self._count

    def observe(self, taken_s: float, estimate_s: float) -> None:
        """Note a run that took ``taken_s``; estimates of 0 tell nothing."""
        if estimate_s <= 0 or taken_s <= 0:
            return
        ratio = min(_MOST_RATIO, max(1 / _MOST_RATIO, taken_s / estimate_s))
        self._count += 1
        weight = max(_LEAST_WEIGHT, 1 / (self._count + _PRIOR_COUNT))
        self._log_ratio += weight * (log(ratio) - self._log_ratio)
