"""Which team may have attempts stopped for it, and whose."""

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

# Gossip shows a stop and the start in its place after about this long
# (seconds): the stop, its record, the new start and the gossip period.
_LAG_S = 1.5
# A team that has asked for nothing for so long (seconds) does not wait; homes
# ask again after at most 1.8 s.
_SILENCE_S = 4.0


class ShareMargins(Struct, frozen=True):
    """When shares are far enough apart to stop attempts for them.

    ``margin`` is the part of the fair share by which a team must be below,
    and another one above; a smaller one makes shares swing. ``patience_s``
    (seconds) is how long a team must have been below and in vain.
    """

    margin: float = 0.1
    patience_s: float = 2.0


class ActiveShares(Protocol):
    """The part of the usage table that is needed."""

    def share_of(self, team: str, weight: float, now: float) -> float:
        """Return the dominant-resource share of the cell over weight."""

    def active_teams(self, now: float) -> tuple[str, ...]:
        """Return the teams that run or wait anywhere."""


class _Wait(Struct):
    since_s: float
    seen_s: float


class PreemptionShares:
    """Shares corrected by the stops that gossip does not show yet."""

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
        """Begin with nobody waiting."""
        self._margins = margins
        self._ledger = ledger
        self._policies = policies
        self._usage = usage
        self._gained = RecentGrants(_LAG_S)
        self._lost = RecentGrants(_LAG_S)
        self._waits_by_team: dict[str, _Wait] = {}

    def add_gain(self, team: str, demand: Resources, now: float) -> None:
        """Note room that a team will get."""
        self._gained.add(team, demand, now)

    def add_loss(self, team: str, demand: Resources, now: float) -> None:
        """Note room that a team will lose."""
        self._lost.add(team, demand, now)

    def record_unmet_demand(self, team: str, now: float) -> None:
        """Note that the team got no room; patience runs from the first."""
        if not self.is_below(team, now):
            self._waits_by_team.pop(team, None)
            return
        wait = self._waits_by_team.get(team)
        if wait is None or now > wait.seen_s + _SILENCE_S:
            wait = _Wait(now, now)
            self._waits_by_team[team] = wait
        wait.seen_s = now

    def has_waited(self, team: str, now: float) -> bool:
        """Tell whether the team's patience has run out."""
        wait = self._waits_by_team.get(team)
        patience_s = self._margins.patience_s
        return wait is not None and now >= wait.since_s + patience_s

    def is_below(self, team: str, now: float) -> bool:
        """Tell whether the team is clearly below its fair share."""
        weight = team_weight(self._policies.config, team)
        capacity = self._ledger.total_capacity
        gained = self._gained.share(team, capacity, weight, now)
        share = self._share(team, now) + gained
        return share < self._fair_share(team, now) * (1 - self._margins.margin)

    def is_above(self, team: str, now: float) -> bool:
        """Tell whether the team is clearly above its fair share."""
        fair = self._fair_share(team, now)
        return self.share_after_stops(team, now) > fair * (
            1 + self._margins.margin
        )

    def share_after_stops(self, team: str, now: float) -> float:
        """Return the team's share less the stops asked for."""
        weight = team_weight(self._policies.config, team)
        capacity = self._ledger.total_capacity
        lost = self._lost.share(team, capacity, weight, now)
        return self._share(team, now) - lost

    def _share(self, team: str, now: float) -> float:
        return team_share(team, self._policies.config, self._usage, now)

    def _fair_share(self, team: str, now: float) -> float:
        """Return the share at which all active teams would be equal.

        Teams that want less leave more to others, so this is the least that
        a team with enough demand can expect.
        """
        config = self._policies.config
        teams = {team, *self._usage.active_teams(now)}
        return 1 / sum(team_weight(config, name) for name in teams)
