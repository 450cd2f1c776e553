"""The order in which requests and teams are served."""

from collections.abc import Iterable
from typing import Protocol

from apricotlead.protocol.config import CellConfig, Preset
from apricotlead.protocol.jobs import Priority
from apricotlead.protocol.resources import Resources

_MIN_WEIGHT = 1e-6


class ShareSource(Protocol):
    """The part of the usage table that determines the order of teams."""

    def share_of(self, team: str, weight: float, now: float) -> float:
        """Return the dominant-resource share of the cell over weight."""


class PolicySource(Protocol):
    """The part of the configuration view that placement uses."""

    config: CellConfig

    def preset(self) -> Preset:
        """Return the preset in force."""


def service_rank(priority: Priority, gang: bool) -> int:
    """Return the rank of a kind of work: urgent first, gang before batch."""
    return (0 if priority == 'urgent' else 2) + (0 if gang else 1)


def team_weight(config: CellConfig, team: str) -> float:
    """Return a team's weight; an unknown team has weight 1."""
    known = config.teams_by_name.get(team)
    return max(known.weight, _MIN_WEIGHT) if known else 1.0


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
    """Return the teams in order of share, the lowest first."""
    return sorted(
        teams,
        key=lambda team: (team_share(team, config, usage, now), team),
    )


class RecentGrants:
    """What this owner granted to each team and gossip may not report yet.

    Usage spreads with a delay, so without this a whole burst would go to the
    team that had the lowest share when it began. Owners receive about equal
    parts of the demand; the fraction of this owner's capacity that a team got
    is therefore an estimate of its fraction of the cell.
    """

    __slots__ = (
        '_granted_by_team',
        '_older_by_team',
        '_window_end_s',
        '_window_s',
    )

    def __init__(self, window_s: float) -> None:
        """Keep grants for one to two windows of ``window_s`` seconds."""
        self._window_s = window_s
        self._window_end_s = float('-inf')
        self._granted_by_team: dict[str, Resources] = {}
        self._older_by_team: dict[str, Resources] = {}

    def add(self, team: str, demand: Resources, now: float) -> None:
        """Record a grant."""
        self._rotate_windows(now)
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
        self._rotate_windows(now)
        zero = Resources()
        granted = self._granted_by_team.get(team, zero)
        granted += self._older_by_team.get(team, zero)
        return granted.dominant_fraction(capacity) / weight

    def _rotate_windows(self, now: float) -> None:
        if now < self._window_end_s:
            return
        recent = now < self._window_end_s + self._window_s
        self._older_by_team = self._granted_by_team if recent else {}
        self._granted_by_team = {}
        self._window_end_s = now + self._window_s
