"""Bounds a rate, with bursts."""


class TokenBucket:
    """Fills at ``rate`` tokens per second up to ``burst`` tokens.

    The holder may be entitled to a part of the rate and the burst only, and
    that part can change with time; one token it can always save up.
    """

    __slots__ = ('_burst', '_filled_s', '_rate', '_tokens')

    def __init__(self, rate: float, burst: float) -> None:
        """Begin full."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_s: float | None = None

    def level(self, part: float, now: float) -> float:
        """Return the tokens there are for a holder of this part."""
        elapsed_s = 0 if self._filled_s is None else now - self._filled_s
        self._filled_s = now
        filled = self._tokens + elapsed_s * self._rate * part
        self._tokens = min(filled, max(self._burst * part, 1))
        return self._tokens

    def take(self, amount: float) -> None:
        """Take tokens that the holder has seen to be there."""
        self._tokens -= amount
