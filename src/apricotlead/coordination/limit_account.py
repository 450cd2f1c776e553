"""Usage and demand of one journal for the units of one team."""

from msgspec import Struct, field

NEVER_S = float('-inf')


class AllotmentSettings(Struct, frozen=True):
    """Times in seconds; budgets in rows per second for the whole fleet.

    ``cycle_s`` is the minimum time between two reads, and between two writes,
    of one team's row by one session; a row with only idle units is read every
    ``idle_cycle_s``. Each session uses an equal share of the budgets and
    accumulates at most ``burst_s`` of it. Units are returned after ``idle_s``
    to ``longest_idle_s``, depending on how often rows can be read. A refused
    take counts as demand for ``demand_ttl_s``. A waiting gang blocks smaller
    takes for at most ``patience_s``, then admits them for as long. Without
    demand, all sessions together keep at most the limit divided by
    ``standing_divisor``, each an equal whole number of units.
    """

    cycle_s: float = 0.1
    idle_cycle_s: float = 1.0
    jitter: float = 0.2
    burst_s: float = 0.2
    read_timeout_s: float = 2.0
    idle_s: float = 0.5
    longest_idle_s: float = 5.0
    demand_ttl_s: float = 2.0
    want_refresh_s: float = 3.0
    want_ttl_s: float = 10.0
    patience_s: float = 30.0
    sweep_s: float = 60.0
    chunk_divisor: int = 4
    standing_divisor: int = 4
    read_budget_per_s: float = 300.0
    write_budget_per_s: float = 200.0


class _GangDemand(Struct):
    """The largest recently refused take of more than one unit."""

    amount: int = 0
    since_s: float = NEVER_S
    last_s: float = NEVER_S


class Account(Struct):
    """One journal's units of one team; times on the local clock.

    ``cap`` is how many units may be in use according to the row; ``pending``
    bounds it while a write that may return units is in flight. ``peak`` is
    the maximum in use since ``window_s``. ``reserve`` is how many units the
    next request adds to the need. ``is_own`` tells that this session opened
    the journal, and so keeps a standing allotment for it.
    """

    settings: AllotmentSettings
    in_use: int = 0
    cap: int = 0
    pending: int | None = None
    peak: int = 0
    window_s: float = NEVER_S
    reserve: int = 0
    closing: bool = False
    is_own: bool = False
    single_refused_s: float = NEVER_S
    gang: _GangDemand = field(default_factory=_GangDemand)
    want_sent_s: float = NEVER_S

    def usable(self) -> int:
        """Return how many units may be in use now."""
        if self.pending is None:
            return self.cap
        return min(self.cap, self.pending)

    def standing_units(self, limit: int, sessions: int) -> int:
        """Return the standing allotment, which is kept without demand."""
        if self.closing or not self.is_own:
            return 0
        return limit // (self.settings.standing_divisor * max(1, sessions))

    def can_take(self, amount: int, limit: int, now: float) -> bool:
        """Tell whether ``amount`` more units may be taken.

        Smaller takes leave the units of a waiting gang free. Otherwise they
        would take each released unit, and the gang would never have all its
        units at once.
        """
        gang_units = 0
        if amount < self.gang.amount <= limit and self._is_gang_turn(now):
            gang_units = self.gang.amount
        return self.in_use + amount + gang_units <= self.usable()

    def take(self, amount: int) -> None:
        """Count units as in use and clear the demand for them."""
        self.in_use += amount
        self.peak = max(self.peak, self.in_use)
        if amount >= self.gang.amount:
            self.gang = _GangDemand()
        if amount == 1:
            self.single_refused_s = NEVER_S

    def release_units(self, amount: int) -> None:
        """Count units as idle."""
        self.in_use = max(0, self.in_use - amount)

    def record_refusal(self, amount: int, now: float) -> None:
        """Record a refused take as demand."""
        if amount == 1:
            self.single_refused_s = now
            return
        expired = now - self.gang.last_s > self.settings.demand_ttl_s
        if expired or amount > self.gang.amount:
            self.gang = _GangDemand(amount, now, now)
        elif amount == self.gang.amount:
            self.gang.last_s = now

    def demanded_units(self, limit: int, now: float) -> int:
        """Return how many more units are needed at once, 0 without demand.

        A gang that exceeds the limit together with what its journal has in
        use waits for those units, and has no demand until then.
        """
        if self.closing:
            return 0
        fits = self.in_use + self.gang.amount <= limit
        if self.gang.amount and fits and self._is_gang_turn(now):
            return self.gang.amount
        return int(now - self.single_refused_s <= self.settings.demand_ttl_s)

    def has_unmet_demand(self, limit: int, now: float) -> bool:
        """Tell whether demand exceeds the usable units."""
        demand = self.demanded_units(limit, now)
        return demand > 0 and self.in_use + demand > self.usable()

    def idle_units(
        self,
        units: int,
        limit: int,
        window_s: float,
        now: float,
    ) -> int:
        """Return how many of ``units`` were unused for ``window_s``."""
        if self.closing:
            return units
        if now - self.window_s < window_s:
            return 0
        needed = max(self.peak, self.in_use)
        first_window = self.window_s == NEVER_S
        self.peak = self.in_use
        self.window_s = now
        if first_window or self.demanded_units(limit, now):
            return 0
        self.reserve = 0
        return max(0, units - needed)

    def _is_gang_turn(self, now: float) -> bool:
        if now - self.gang.last_s > self.settings.demand_ttl_s:
            return False
        patience_s = self.settings.patience_s
        waited_s = now - self.gang.since_s
        return waited_s % (2 * patience_s) < patience_s
