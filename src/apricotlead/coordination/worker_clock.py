"""Lower bounds of a worker's clock, derived from its replies."""

from msgspec import Struct


class _Bound(Struct, frozen=True):
    """The worker's clock showed at least ``clock_s`` at local time ``at_s``."""

    clock_s: float
    at_s: float


class WorkerClock:
    """Lower bounds of a worker's clock, one per boot.

    A reply carries the worker's clock at the time of sending, so the clock
    shows at least that value when the reply arrives. From then on it runs at
    no less than ``1 - max_drift`` times the rate of the local clock.
    """

    __slots__ = ('_bounds_by_boot', '_slowest_rate')

    def __init__(self, max_drift: float) -> None:
        """Start without a known boot."""
        self._slowest_rate = 1 - max_drift
        self._bounds_by_boot: dict[str, _Bound] = {}

    def observe(self, boot_id: str, clock_s: float, now: float) -> None:
        """Record that the clock shows at least ``clock_s`` at ``now``."""
        known = self._bounds_by_boot.get(boot_id)
        if known is None or clock_s > self._extrapolate(known, now):
            self._bounds_by_boot[boot_id] = _Bound(clock_s, now)

    def lower_bound_s(self, boot_id: str, now: float) -> float:
        """Return the lower bound of the clock of a known boot."""
        return self._extrapolate(self._bounds_by_boot[boot_id], now)

    def reached_by_s(self, boot_id: str, clock_s: float) -> float:
        """Return the local time by which that boot's clock shows ``clock_s``.

        The boot must be known.
        """
        bound = self._bounds_by_boot[boot_id]
        return bound.at_s + (clock_s - bound.clock_s) / self._slowest_rate

    def _extrapolate(self, bound: _Bound, now: float) -> float:
        return bound.clock_s + (now - bound.at_s) * self._slowest_rate
