"""The store's steady clock, as estimated between its answers."""

_MS_PER_S = 1000.0


class StoreClock:
    """Never ahead of the store's clock; local times are in seconds."""

    __slots__ = ('_base_ms', '_base_s')

    def __init__(self, now: float, store_ms: float) -> None:
        """Begin with the store's clock now, at the earliest."""
        self._base_s = now
        self._base_ms = store_ms

    def read_ms(self, now: float) -> float:
        """Return the least that the store's clock reads now."""
        return self._base_ms + (now - self._base_s) * _MS_PER_S

    def note(self, store_ms: float, now: float) -> None:
        """Correct the estimate by an answer of the store."""
        if store_ms > self.read_ms(now):
            self._base_s = now
            self._base_ms = store_ms

    def to_store_ms(self, local_s: float, now: float) -> float:
        """Return the store's time at a local time, in whole milliseconds."""
        return round(self.read_ms(now) + (local_s - now) * _MS_PER_S)

    def to_local_s(self, store_ms: float, now: float) -> float:
        """Return the local time at a time of the store."""
        return now + (store_ms - self.read_ms(now)) / _MS_PER_S
