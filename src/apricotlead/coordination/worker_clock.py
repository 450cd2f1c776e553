"""What a worker's clock must show by now, from its answers."""

from collections.abc import Container

from msgspec import Struct


class _Bound(Struct, frozen=True):
    """The worker's clock showed at least ``clock_s`` at ``at_s`` (own)."""

    clock_s: float
    at_s: float


class WorkerClock:
    """Lower bounds of a worker's clock, one for each boot of it.

    An answer shows a clock that was true when it was sent, so the clock shows
    at least that when the answer comes in. From then on it runs at least at
    ``1 - max_drift`` of the own clock.
    """

    __slots__ = ('_bounds_by_boot', '_slowest_rate')

    def __init__(self, max_drift: float) -> None:
        """Begin without a known boot."""
        self._slowest_rate = 1 - max_drift
        self._bounds_by_boot: dict[str, _Bound] = {}

    def observe(self, boot_id: str, clock_s: float, now: float) -> None:
        """Learn that the clock shows at least ``clock_s`` at ``now``."""
        known = self._bounds_by_boot.get(boot_id)
        if known is None or clock_s > self._extrapolate(known, now):
            self._bounds_by_boot[boot_id] = _Bound(clock_s, now)

    def lower_bound_s(self, boot_id: str, now: float) -> float:
        """Return the least that the clock of a known boot shows."""
        return self._extrapolate(self._bounds_by_boot[boot_id], now)

    def reached_by_s(self, boot_id: str, clock_s: float) -> float:
        """Return when (own clock) that boot certainly shows ``clock_s``."""
        bound = self._bounds_by_boot[boot_id]
        return bound.at_s + (clock_s - bound.clock_s) / self._slowest_rate

    def keep_only(self, boot_ids: Container[str]) -> None:
        """Forget the other boots."""
        for boot_id in tuple(self._bounds_by_boot):
            if boot_id not in boot_ids:
                self._bounds_by_boot.pop(boot_id)

    def _extrapolate(self, bound: _Bound, now: float) -> float:
        return bound.clock_s + (now - bound.at_s) * self._slowest_rate
