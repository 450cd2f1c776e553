"""Running and waiting demand of each team across the fleet."""

from typing import NamedTuple

from apricotlead.protocol.peers import SessionLoad, TeamLoad
from apricotlead.protocol.resources import Resources

# Longer than a session takes to expire (4.08 s), so that the usage of a dead
# session counts until a peer can adopt its journals, and about three times as
# long as gossip takes to reach all of 60 sessions with a fan-out of 12.
DEFAULT_ENTRY_TTL_S = 8.0
# The serial of a dropped entry is kept this long, so that a late copy relayed
# by a peer does not restore a dead session's entry.
_DROPPED_SERIAL_TTL_S = 120.0
# Minimum interval between scans for expired entries, to keep queries cheap.
_EXPIRY_CHECK_INTERVAL_S = 0.25
_ZERO = Resources()


class _Entry(NamedTuple):
    load: SessionLoad
    received_s: float


class UsageTable:
    """The latest load of each session, with totals by team.

    An entry expires if it is not renewed for ``entry_ttl_s`` seconds. Only the
    gossip keeper changes the table.
    """

    __slots__ = (
        '_capacity',
        '_dropped_serials_by_session',
        '_entries_by_session',
        '_entry_ttl_s',
        '_next_expiry_check_s',
        '_totals_by_team',
    )

    def __init__(self, entry_ttl_s: float = DEFAULT_ENTRY_TTL_S) -> None:
        """Start without entries."""
        self._entry_ttl_s = entry_ttl_s
        self._entries_by_session: dict[str, _Entry] = {}
        self._dropped_serials_by_session: dict[str, tuple[int, float]] = {}
        self._totals_by_team: dict[str, TeamLoad] = {}
        self._capacity = _ZERO
        self._next_expiry_check_s = float('-inf')

    def record(self, load: SessionLoad, now: float) -> bool:
        """Store an entry unless a later one of its session is known.

        Returns whether it was stored.
        """
        if load.serial <= self._known_serial(load.session_id):
            return False
        self._remove(load.session_id)
        self._dropped_serials_by_session.pop(load.session_id, None)
        self._entries_by_session[load.session_id] = _Entry(load, now)
        self._capacity += load.capacity
        for team, team_load in load.loads_by_team.items():
            total = self._totals_by_team.get(team, TeamLoad())
            self._totals_by_team[team] = TeamLoad(
                total.running + team_load.running,
                total.waiting + team_load.waiting,
            )
        return True

    def forget(self, session_id: str, now: float) -> None:
        """Drop a session's entry and ignore late copies of it."""
        entry = self._entries_by_session.get(session_id)
        if entry is not None:
            self._remove(session_id)
            self._dropped_serials_by_session[session_id] = (
                entry.load.serial,
                now,
            )

    def capacity(self, now: float) -> Resources:
        """Return the total capacity of the workers owned by known sessions."""
        self._expire_entries(now)
        return self._capacity

    def share_of(self, team: str, weight: float, now: float) -> float:
        """Return the team's dominant resource share divided by its weight."""
        self._expire_entries(now)
        total = self._totals_by_team.get(team)
        if total is None:
            return 0.0
        return total.running.dominant_fraction(self._capacity) / weight

    def active_teams(self, now: float) -> tuple[str, ...]:
        """Return the teams with running or waiting demand on any session."""
        self._expire_entries(now)
        idle = TeamLoad()
        return tuple(
            team
            for team, total in self._totals_by_team.items()
            if total != idle
        )

    def waiting_teams(self, now: float) -> dict[str, Resources]:
        """Return the fleet-wide waiting demand by team."""
        self._expire_entries(now)
        return {
            team: total.waiting
            for team, total in self._totals_by_team.items()
            if total.waiting != _ZERO
        }

    def most_recent(
        self, count: int, max_age_s: float, now: float
    ) -> list[SessionLoad]:
        """Return up to ``count`` entries, most recently received first.

        Entries older than ``max_age_s`` are left out.
        """
        recent = [
            entry
            for entry in self._entries_by_session.values()
            if now - entry.received_s <= max_age_s
        ]
        recent.sort(key=_received_s, reverse=True)
        return [entry.load for entry in recent[:count]]

    def sessions_by_free(self, now: float) -> list[SessionLoad]:
        """Return the entries in descending order of free capacity share."""
        self._expire_entries(now)
        loads = [entry.load for entry in self._entries_by_session.values()]
        loads.sort(key=self._free_sort_key)
        return loads

    def ages_by_session(self, now: float) -> dict[str, float]:
        """Return the seconds since each session's entry was received."""
        return {
            session_id: now - entry.received_s
            for session_id, entry in self._entries_by_session.items()
        }

    def _free_sort_key(self, load: SessionLoad) -> tuple[float, str]:
        return (-load.free.dominant_fraction(self._capacity), load.session_id)

    def _known_serial(self, session_id: str) -> int:
        entry = self._entries_by_session.get(session_id)
        if entry is not None:
            return entry.load.serial
        return self._dropped_serials_by_session.get(session_id, (-1, 0))[0]

    def _remove(self, session_id: str) -> None:
        entry = self._entries_by_session.pop(session_id, None)
        if entry is None:
            return
        self._capacity -= entry.load.capacity
        for team, team_load in entry.load.loads_by_team.items():
            total = self._totals_by_team[team]
            self._totals_by_team[team] = TeamLoad(
                total.running - team_load.running,
                total.waiting - team_load.waiting,
            )

    def _expire_entries(self, now: float) -> None:
        if now < self._next_expiry_check_s:
            return
        self._next_expiry_check_s = now + _EXPIRY_CHECK_INTERVAL_S
        for session_id, entry in tuple(self._entries_by_session.items()):
            if now - entry.received_s > self._entry_ttl_s:
                self.forget(session_id, now)
        for session_id, (_, dropped_s) in tuple(
            self._dropped_serials_by_session.items(),
        ):
            if now - dropped_s > _DROPPED_SERIAL_TTL_S:
                self._dropped_serials_by_session.pop(session_id)


def _received_s(entry: _Entry) -> float:
    return entry.received_s
