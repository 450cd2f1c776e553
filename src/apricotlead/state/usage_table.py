"""What each team has running and waiting across the fleet."""

from typing import NamedTuple

from apricotlead.protocol.peers import SessionLoad, TeamLoad
from apricotlead.protocol.resources import Resources

# Longer than a session takes to lapse (4.08 s), so that the usage of a dead
# session counts until a peer can adopt its journals, and about three times the
# time in which 60 sessions hear of each other when each sends to 12 at a time.
DEFAULT_ENTRY_TTL_S = 8.0
# A serial is remembered this long, so that a late copy relayed by a peer
# does not bring a dead session's entry back.
_SERIAL_TTL_S = 120.0
# Old entries are looked for this often, not at each question.
_CHECK_S = 0.25
_NOTHING = Resources()


class _Entry(NamedTuple):
    load: SessionLoad
    heard_s: float


class UsageTable:
    """The latest load of each session; totals by team.

    An entry counts until it has not been renewed for ``entry_ttl_s``
    seconds. Changed by the gossip keeper only.
    """

    __slots__ = (
        '_capacity',
        '_check_due_s',
        '_entries_by_session',
        '_entry_ttl_s',
        '_old_serials_by_session',
        '_totals_by_team',
    )

    def __init__(self, entry_ttl_s: float = DEFAULT_ENTRY_TTL_S) -> None:
        """Start without entries."""
        self._entry_ttl_s = entry_ttl_s
        self._entries_by_session: dict[str, _Entry] = {}
        self._old_serials_by_session: dict[str, tuple[int, float]] = {}
        self._totals_by_team: dict[str, TeamLoad] = {}
        self._capacity = _NOTHING
        self._check_due_s = float('-inf')

    def record(self, load: SessionLoad, now: float) -> bool:
        """Take an entry unless a later one of its session is known."""
        if load.serial <= self._known_serial(load.session_id):
            return False
        self._remove(load.session_id)
        self._old_serials_by_session.pop(load.session_id, None)
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
        """Drop a session's entry; late copies of it are ignored."""
        entry = self._entries_by_session.get(session_id)
        if entry is not None:
            self._remove(session_id)
            self._old_serials_by_session[session_id] = (entry.load.serial, now)

    def capacity(self, now: float) -> Resources:
        """Return the capacity of all workers owned by known sessions."""
        self._drop_old(now)
        return self._capacity

    def share_of(self, team: str, weight: float, now: float) -> float:
        """Return the team's dominant-resource share over its weight."""
        self._drop_old(now)
        total = self._totals_by_team.get(team)
        if total is None:
            return 0.0
        return total.running.dominant_fraction(self._capacity) / weight

    def active_teams(self, now: float) -> tuple[str, ...]:
        """Return the teams that run or wait anywhere."""
        self._drop_old(now)
        idle = TeamLoad()
        return tuple(
            team
            for team, total in self._totals_by_team.items()
            if total != idle
        )

    def waiting_teams(self, now: float) -> dict[str, Resources]:
        """Return the demand that waits fleet-wide, by team."""
        self._drop_old(now)
        return {
            team: total.waiting
            for team, total in self._totals_by_team.items()
            if total.waiting != _NOTHING
        }

    def most_recent(
        self, count: int, max_age_s: float, now: float
    ) -> list[SessionLoad]:
        """Return up to ``count`` entries, the most recently heard first."""
        recent = [
            entry
            for entry in self._entries_by_session.values()
            if now - entry.heard_s <= max_age_s
        ]
        recent.sort(key=_heard_s, reverse=True)
        return [entry.load for entry in recent[:count]]

    def sessions_by_free(self, now: float) -> list[SessionLoad]:
        """Return the entries, largest free share of the cell first."""
        self._drop_old(now)
        loads = [entry.load for entry in self._entries_by_session.values()]
        loads.sort(key=self._free_rank)
        return loads

    def ages_by_session(self, now: float) -> dict[str, float]:
        """Return the seconds since each entry was heard."""
        return {
            session_id: now - entry.heard_s
            for session_id, entry in self._entries_by_session.items()
        }

    def _free_rank(self, load: SessionLoad) -> tuple[float, str]:
        return (-load.free.dominant_fraction(self._capacity), load.session_id)

    def _known_serial(self, session_id: str) -> int:
        entry = self._entries_by_session.get(session_id)
        if entry is not None:
            return entry.load.serial
        return self._old_serials_by_session.get(session_id, (-1, 0))[0]

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

    def _drop_old(self, now: float) -> None:
        if now < self._check_due_s:
            return
        self._check_due_s = now + _CHECK_S
        for session_id, entry in tuple(self._entries_by_session.items()):
            if now - entry.heard_s > self._entry_ttl_s:
                self.forget(session_id, now)
        for session_id, (_, dropped_s) in tuple(
            self._old_serials_by_session.items(),
        ):
            if now - dropped_s > _SERIAL_TTL_S:
                self._old_serials_by_session.pop(session_id)


def _heard_s(entry: _Entry) -> float:
    return entry.heard_s
