"""Limits one session's calls to its share of a fleet-wide budget."""

from apricotlead.coordination.limit_account import NEVER_S


class CallPacer:
    """A token bucket whose rate is passed with each call.

    It holds at most the rows of ``burst_s`` seconds, but at least 1 row, so
    that a small share of a budget is still usable.
    """

    __slots__ = ('_burst_s', '_counted_s', '_tokens')

    def __init__(self, burst_s: float) -> None:
        """Start with one row."""
        self._burst_s = burst_s
        self._tokens = 1.0
        self._counted_s = NEVER_S

    def allowed(self, rate_per_s: float, now: float) -> int:
        """Return how many rows may be requested now."""
        if self._counted_s != NEVER_S:
            self._tokens += (now - self._counted_s) * rate_per_s
        self._counted_s = now
        self._tokens = min(self._tokens, max(1.0, rate_per_s * self._burst_s))
        return int(self._tokens)

    def spend(self, rows: int) -> None:
        """Deduct rows that were requested."""
        self._tokens -= rows
