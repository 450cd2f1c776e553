"""Token bucket that limits a rate and allows bursts."""


class TokenBucket:
    """Fills at ``rate`` tokens per second up to ``burst`` tokens.

    The holder may be entitled to only a share of the rate and the burst, and
    that share can change over time; it can always accumulate one token.
    """

    __slots__ = ('_burst', '_rate', '_tokens', '_updated_s')

    def __init__(self, rate: float, burst: float) -> None:
        """Start full."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_s: float | None = None

    def level(self, share: float, now: float) -> float:
        """Return the available tokens for a holder with this share."""
        elapsed_s = 0 if self._updated_s is None else now - self._updated_s
        self._updated_s = now
        filled = self._tokens + elapsed_s * self._rate * share
        self._tokens = min(filled, max(self._burst * share, 1))
        return self._tokens

    def take(self, amount: float) -> None:
        """Take tokens; the caller has checked that they are available."""
        self._tokens -= amount
