"""Limits retries to a fraction of the requests."""

from msgspec import Struct


class RetryBudgetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Each request adds ``ratio`` retries, up to ``most`` in total."""

    ratio: float = 0.1
    most: float = 20.0


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    Without it, retries would multiply the load just when executors fail.
    Source: retry budgets of service meshes.
    """

    __slots__ = ('_max_tokens', '_ratio', '_tokens')

    def __init__(self, ratio: float, most: float) -> None:
        """Start full, so that the first failures can be retried."""
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
        """Add the share of a retry that one request earns."""
        self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def try_retry(self) -> bool:
        """Spend one retry, or return ``False`` when none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
