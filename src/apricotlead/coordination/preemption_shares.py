"""Decides which teams may preempt, and which may be preempted."""

from typing import Protocol

from msgspec import Struct

from apricotlead.coordination.fair_share import (
    PolicySource,
    RecentGrants,
    team_share,
    team_weight,
)
from apricotlead.protocol.resources import Resources
from apricotlead.state.capacity_ledger import CapacityLedger

# Gossip reports a stop and the start that replaces it after about this long
# (seconds): the stop, its record, the new start and the gossip period.
_GOSSIP_LAG_S = 1.5
# A team without a request for this long (seconds) is no longer waiting; home
# sessions repeat a request after at most 1.8 s.
_WAIT_EXPIRY_S = 4.0


class ShareMargins(Struct, frozen=True):
    """How far apart shares must be before attempts are stopped for them.

    ``margin`` is the fraction of the fair share by which a team must be below
    and another one above; a smaller margin makes shares oscillate.
    ``patience_s`` (seconds) is how long a team must have been below its share
    with unmet requests.
    """

    margin: float = 0.1
    patience_s: float = 2.0


class ActiveShares(Protocol):
    """The part of the usage table that preemption uses."""

    def share_of(self, team: str, weight: float, now: float) -> float:
        """Return the dominant-resource share of the cell over weight."""

    def active_teams(self, now: float) -> tuple[str, ...]:
        """Return the teams with running or waiting work in the cell."""


class _Wait(Struct):
    since_s: float
    last_unmet_s: float


class PreemptionShares:
    """Shares corrected by the stops that gossip does not report yet."""

    __slots__ = (
        '_gained',
        '_ledger',
        '_lost',
        '_margins',
        '_policies',
        '_usage',
        '_waits_by_team',
    )

    def __init__(
        self,
        margins: ShareMargins,
        ledger: CapacityLedger,
        policies: PolicySource,
        usage: ActiveShares,
    ) -> None:
        """Start without waiting teams."""
        self._margins = margins
        self._ledger = ledger
        self._policies = policies
        self._usage = usage
        self._gained = RecentGrants(_GOSSIP_LAG_S)
        self._lost = RecentGrants(_GOSSIP_LAG_S)
        self._waits_by_team: dict[str, _Wait] = {}

    def add_gain(self, team: str, demand: Resources, now: float) -> None:
        """Record capacity that a team will get."""
        self._gained.add(team, demand, now)

    def add_loss(self, team: str, demand: Resources, now: float) -> None:
        """Record capacity that a team will lose."""
        self._lost.add(team, demand, now)

    def record_unmet_demand(self, team: str, now: float) -> None:
        """Record an unmet request; ``patience_s`` counts from the first."""
        if not self.is_below(team, now):
            self._waits_by_team.pop(team, None)
            return
        wait = self._waits_by_team.get(team)
        if wait is None or now > wait.last_unmet_s + _WAIT_EXPIRY_S:
            wait = _Wait(now, now)
            self._waits_by_team[team] = wait
        wait.last_unmet_s = now

    def has_waited(self, team: str, now: float) -> bool:
        """Return whether the team has waited for ``patience_s``."""
        wait = self._waits_by_team.get(team)
        patience_s = self._margins.patience_s
        return wait is not None and now >= wait.since_s + patience_s

    def is_below(self, team: str, now: float) -> bool:
        """Return whether the team is below its fair share by the margin."""
        weight = team_weight(self._policies.config, team)
        capacity = self._ledger.total_capacity
        gained = self._gained.share(team, capacity, weight, now)
        share = self._share(team, now) + gained
        return share < self._fair_share(team, now) * (1 - self._margins.margin)

    def is_above(self, team: str, now: float) -> bool:
        """Return whether the team is above its fair share by the margin."""
        fair = self._fair_share(team, now)
        return self.share_after_stops(team, now) > fair * (
            1 + self._margins.margin
        )

    def share_after_stops(self, team: str, now: float) -> float:
        """Return the team's share minus the requested stops."""
        weight = team_weight(self._policies.config, team)
        capacity = self._ledger.total_capacity
        lost = self._lost.share(team, capacity, weight, now)
        return self._share(team, now) - lost

    def _share(self, team: str, now: float) -> float:
        return team_share(team, self._policies.config, self._usage, now)

    def _fair_share(self, team: str, now: float) -> float:
        """Return the share that each active team would get if all were equal.

        Teams that demand less leave more to others, so this is the minimum
        for a team with enough demand.
        """
        config = self._policies.config
        teams = {team, *self._usage.active_teams(now)}
        return 1 / sum(team_weight(config, name) for name in teams)
