"""Estimates the store's monotonic clock between its answers."""

_MS_PER_S = 1000.0


class StoreClock:
    """A lower bound of the store's clock; local times are in seconds."""

    __slots__ = ('_base_ms', '_base_s')

    def __init__(self, now: float, store_ms: float) -> None:
        """Start from ``store_ms``, a lower bound of the store's clock now."""
        self._base_s = now
        self._base_ms = store_ms

    def read_ms(self, now: float) -> float:
        """Return the earliest time that the store's clock may show now."""
        return self._base_ms + (now - self._base_s) * _MS_PER_S

    def note(self, store_ms: float, now: float) -> None:
        """Raise the estimate if an answer of the store is ahead of it."""
        if store_ms > self.read_ms(now):
            self._base_s = now
            self._base_ms = store_ms

    def to_store_ms(self, local_s: float, now: float) -> float:
        """Convert a local time to store time, in whole milliseconds."""
        return round(self.read_ms(now) + (local_s - now) * _MS_PER_S)

    def to_local_s(self, store_ms: float, now: float) -> float:
        """Convert a store time to local time."""
        return now + (store_ms - self.read_ms(now)) / _MS_PER_S
