"""Bounds retries to a fraction of the requests."""

from msgspec import Struct


class RetryBudgetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """``ratio`` retries are earned per request, up to ``most`` saved."""

    ratio: float = 0.1
    most: float = 20.0


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    Without it, retries multiply the load exactly when executors fail.
    Source: retry budgets of service meshes.
    """

    __slots__ = ('_max_tokens', '_ratio', '_tokens')

    def __init__(self, ratio: float, most: float) -> None:
        """Begin full, so that the first failures can be retried."""
        self._ratio = ratio
        self._max_tokens = most
        self._tokens = most

    @classmethod
    def from_config(cls, settings: RetryBudgetSettings) -> 'RetryBudget':
        """Build from settings."""
        return cls(settings.ratio, settings.most)

    @property
    def tokens(self) -> float:
        """Return the number of retries that could be made now."""
        return self._tokens

    def record_request(self) -> None:
        """Earn the fraction of one retry."""
        self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def try_retry(self) -> bool:
        """Spend one retry, or return ``False`` when none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
