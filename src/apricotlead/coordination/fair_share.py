"""The order in which requests and teams are served."""

from collections.abc import Iterable
from typing import Protocol

from apricotlead.protocol.config import CellConfig, Preset
from apricotlead.protocol.jobs import Priority
from apricotlead.protocol.resources import Resources

_LEAST_WEIGHT = 1e-6


class ShareSource(Protocol):
    """The part of the usage table that decides the order of teams."""

    def share_of(self, team: str, weight: float, now: float) -> float:
        """Return the dominant-resource share of the cell over weight."""


class PolicySource(Protocol):
    """The part of the configuration view that placement needs."""

    config: CellConfig

    def preset(self) -> Preset:
        """Return the preset in force."""


def service_rank(priority: Priority, gang: bool) -> int:
    """Return the place of a kind of work: urgent first, gang before batch."""
    return (0 if priority == 'urgent' else 2) + (0 if gang else 1)


def team_weight(config: CellConfig, team: str) -> float:
    """Return a team's weight; work of no known team weighs 1."""
    known = config.teams_by_name.get(team)
    return max(known.weight, _LEAST_WEIGHT) if known else 1.0


def team_share(
    team: str,
    config: CellConfig,
    usage: ShareSource,
    now: float,
) -> float:
    """Return the team's dominant-resource share over its weight."""
    return usage.share_of(team, team_weight(config, team), now)


def order_teams(
    teams: Iterable[str],
    config: CellConfig,
    usage: ShareSource,
    now: float,
) -> list[str]:
    """Return the teams, the one furthest below its share first."""
    return sorted(
        teams,
        key=lambda team: (team_share(team, config, usage, now), team),
    )


class RecentGrants:
    """What this owner granted to each team since gossip last caught up.

    Usage spreads with a delay, so without this a burst would all go to the
    team that had the lowest share when it began. Owners see about equal
    parts of the demand; the part of the own capacity that a team got
    therefore estimates its part of the cell.
    """

    __slots__ = ('_ends_s', '_granted_by_team', '_older_by_team', '_window_s')

    def __init__(self, window_s: float) -> None:
        """Remember grants for one to two windows (seconds)."""
        self._window_s = window_s
        self._ends_s = float('-inf')
        self._granted_by_team: dict[str, Resources] = {}
        self._older_by_team: dict[str, Resources] = {}

    def add(self, team: str, demand: Resources, now: float) -> None:
        """Note a grant."""
        self._roll(now)
        granted = self._granted_by_team.get(team, Resources())
        self._granted_by_team[team] = granted + demand

    def share(
        self,
        team: str,
        capacity: Resources,
        weight: float,
        now: float,
    ) -> float:
        """Return the recent dominant share of ``capacity`` over weight."""
        self._roll(now)
        nothing = Resources()
        granted = self._granted_by_team.get(team, nothing)
        granted += self._older_by_team.get(team, nothing)
        return granted.dominant_fraction(capacity) / weight

    def _roll(self, now: float) -> None:
        if now < self._ends_s:
            return
        recent = now < self._ends_s + self._window_s
        self._older_by_team = self._granted_by_team if recent else {}
        self._granted_by_team = {}
        self._ends_s = now + self._window_s
