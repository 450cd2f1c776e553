"""Keeps the calls of one session within its part of a fleet-wide budget."""

from apricotlead.coordination.limit_account import NEVER_S


class CallPacer:
    """A token bucket whose rate is given at each call.

    At most what ``burst_s`` seconds bring is kept for later, but at least 1
    row, so that a small part of a budget is still usable.
    """

    __slots__ = ('_burst_s', '_counted_s', '_tokens')

    def __init__(self, burst_s: float) -> None:
        """Begin with one row."""
        self._burst_s = burst_s
        self._tokens = 1.0
        self._counted_s = NEVER_S

    def allowed(self, rate_per_s: float, now: float) -> int:
        """Return how many rows may be called for now."""
        if self._counted_s != NEVER_S:
            self._tokens += (now - self._counted_s) * rate_per_s
        self._counted_s = now
        self._tokens = min(self._tokens, max(1.0, rate_per_s * self._burst_s))
        return int(self._tokens)

    def spend(self, rows: int) -> None:
        """Count rows that were called for."""
        self._tokens -= rows
