"""Adaptive response timeouts that detect a lost response early."""

# The timeout is this multiple of the longest recent response time.
_TIMEOUT_FACTOR = 4.0
# Each shorter response scales the longest recent response time by this.
_DECAY = 0.7
# Each timeout multiplies the next one by this.
_GROWTH = 1.6


class AdaptiveTimeout:
    """A timeout in seconds that adapts to recent response times.

    It grows with each missing response, since the service may have become
    slow, and shrinks again as responses arrive.
    """

    __slots__ = ('_longest_s', '_max_s', '_min_s')

    def __init__(self, min_s: float, max_s: float) -> None:
        """Start at ``min_s``; the timeout never exceeds ``max_s``."""
        self._min_s = min_s
        self._max_s = max_s
        self._longest_s = 0.0

    @property
    def timeout_s(self) -> float:
        """Return how long to wait for the next response."""
        scaled_s = self._longest_s * _TIMEOUT_FACTOR
        return min(self._max_s, max(self._min_s, scaled_s))

    def answered(self, took_s: float) -> None:
        """Record a response that took ``took_s``."""
        self._longest_s = max(took_s, self._longest_s * _DECAY)

    def missed(self) -> None:
        """Record that no response came within the timeout."""
        self._longest_s = self.timeout_s * _GROWTH / _TIMEOUT_FACTOR
