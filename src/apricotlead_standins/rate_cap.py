"""Rate limiting of operations."""

_BURST_S = 0.25


class RateCap:
    """A token bucket: ``per_s`` operations per second on average.

    The bucket holds a quarter of a second's operations, and at least one.
    """

    __slots__ = ('_burst', '_per_s', '_refilled_s', '_tokens')

    def __init__(self, per_s: float) -> None:
        """Create a full bucket."""
        self._per_s = per_s
        self._burst = max(1.0, per_s * _BURST_S)
        self._tokens = self._burst
        self._refilled_s = float('-inf')

    def wait_s(self, now: float) -> float:
        """Return 0 if an operation is allowed, else the seconds to wait."""
        filled = self._tokens + (now - self._refilled_s) * self._per_s
        self._tokens = min(self._burst, filled)
        self._refilled_s = now
        return max(0, (1 - self._tokens) / self._per_s)

    def charge(self, amount: float) -> None:
        """Take ``amount`` tokens; the balance may become negative."""
        self._tokens -= amount
