"""Exchanges usage, demand and free capacity between sessions."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from msgspec import Struct

from apricotlead.coordination.component import Component, handles
from apricotlead.protocol.peers import (
    Gossip,
    GossipEcho,
    SessionLoad,
    TeamLoad,
)
from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    PeersChanged,
    SendToPeer,
    SessionLost,
    Signal,
    Tick,
)
from apricotlead.state.config_view import ConfigView
from apricotlead.state.session_view import PeerSession, SessionView
from apricotlead.state.usage_table import UsageTable

LoadsByTeam = Callable[[], Mapping[str, TeamLoad]]
# JSON has no infinity.
_UNKNOWN_AGE_S = 1e9

OwnCapacity = Callable[[], tuple[Resources, Resources, Resources]]


class GossipSettings(Struct, frozen=True):
    """Intervals in seconds and fan-out.

    Each ``relay_rounds``-th round also relays up to ``relayed_entries``
    entries of other sessions that are not older than ``relay_age_s``, for
    sessions that have no link to their source. If all links work, sending
    the own entry to more peers keeps shares fresher for fewer bytes.
    """

    interval_s: float = 0.25
    all_peers_up_to: int = 16
    random_peers: int = 12
    relayed_entries: int = 4
    relay_rounds: int = 12
    relay_age_s: float = 2.0


class GossipKeeper(Component):
    """Sends the own and the most recent other loads; records received ones."""

    name = 'gossip_keeper'
    __slots__ = (
        '_config_view',
        '_due_s',
        '_last_sent_s_by_peer',
        '_loads_by_team',
        '_next_ids',
        '_own_capacity',
        '_rng',
        '_serial',
        '_settings',
        '_usage',
        '_view',
    )

    def __init__(
        self,
        settings: GossipSettings,
        view: SessionView,
        config_view: ConfigView,
        usage: UsageTable,
        rng: RandomSource,
        loads_by_team: LoadsByTeam,
        own_capacity: OwnCapacity,
    ) -> None:
        """Start without entries of peers.

        ``own_capacity`` returns the free, the total and the largest free
        capacity of the owned workers.
        """
        self._settings = settings
        self._view = view
        self._config_view = config_view
        self._usage = usage
        self._rng = rng
        self._loads_by_team = loads_by_team
        self._own_capacity = own_capacity
        self._serial = 0
        self._due_s = float('-inf')
        self._last_sent_s_by_peer: dict[str, float] = {}
        # Every peer is chosen once before any is chosen again, so no peer
        # waits longer than two such passes for the own load.
        self._next_ids: list[str] = []

    @classmethod
    def from_config(
        cls,
        settings: GossipSettings,
        view: SessionView,
        config_view: ConfigView,
        usage: UsageTable,
        rng: RandomSource,
        loads_by_team: LoadsByTeam,
        own_capacity: OwnCapacity,
    ) -> 'GossipKeeper':
        """Build a keeper that updates ``usage``."""
        return cls(
            settings,
            view,
            config_view,
            usage,
            rng,
            loads_by_team,
            own_capacity,
        )

    @handles(Tick)
    def on_tick(self, tick: Tick, now: float) -> Iterable[Signal]:
        """Send a round of gossip when it is due."""
        if now < self._due_s:
            return ()
        self._due_s = now + self._settings.interval_s
        return self._round(self._record_own_load(now), now)

    @handles(Gossip)
    def on_gossip(self, gossip: Gossip, now: float) -> Iterable[Signal]:
        """Record the entries that are newer than the known ones."""
        for load in gossip.loads:
            if load.session_id != self._view.session_id:
                self._usage.record(load, now)
        self._record_sender(gossip)
        return ()

    @handles(PeersChanged)
    def on_peers(self, changed: PeersChanged, now: float) -> Iterable[Signal]:
        """Drop the send times of sessions that have ended."""
        for session_id in self._last_sent_s_by_peer.keys() - changed.live_ids:
            self._last_sent_s_by_peer.pop(session_id)
        return ()

    @handles(SessionLost)
    def on_session_lost(
        self, lost: SessionLost, now: float
    ) -> Iterable[Signal]:
        """Drop the own entry of the lost session."""
        self._usage.forget(lost.session_id, now)
        return ()

    def sessions_by_free(self, now: float) -> list[SessionLoad]:
        """Return the live sessions' loads, most free capacity first."""
        live = set(self._view.live_ids())
        return [
            load
            for load in self._usage.sessions_by_free(now)
            if load.session_id in live
        ]

    def dump(self, now: float) -> dict[str, Any]:
        """Return the ages of the known entries."""
        return {
            'serial': self._serial,
            'entry_ages_s': self._usage.ages_by_session(now),
        }

    def _record_own_load(self, now: float) -> SessionLoad:
        free, capacity, largest_free = self._own_capacity()
        self._serial += 1
        own = SessionLoad(
            self._view.session_id,
            self._serial,
            self._view.datacentre,
            free,
            capacity,
            largest_free,
            dict(self._loads_by_team()),
        )
        self._usage.record(own, now)
        return own

    def _round(self, own: SessionLoad, now: float) -> Iterable[Signal]:
        loads = (own, *self._relayed(now))
        age_s = self._config_view.age(now)
        for peer in self._chosen_peers():
            gossip = Gossip(
                sender=self._view.session_id,
                loads=loads,
                config_version=self._config_view.version,
                config_age_s=min(age_s, _UNKNOWN_AGE_S),
                sent_s=now,
                echo=self._echo_for(peer),
            )
            yield SendToPeer(peer.session_id, peer.address, gossip)

    def _relayed(self, now: float) -> Iterable[SessionLoad]:
        """Return the entries of other sessions to relay in this round."""
        if self._serial % self._settings.relay_rounds:
            return ()
        count = self._settings.relayed_entries
        # One more, as the own entry may be among the most recent.
        loads = self._usage.most_recent(
            count + 1,
            self._settings.relay_age_s,
            now,
        )
        own_id = self._view.session_id
        return [load for load in loads if load.session_id != own_id][:count]

    def _chosen_peers(self) -> Iterable[PeerSession]:
        peers_by_id = self._view.peers_by_id
        if len(peers_by_id) <= self._settings.all_peers_up_to:
            return sorted(peers_by_id.values(), key=_session_id)
        chosen: dict[str, PeerSession] = {}
        count = min(self._settings.random_peers, len(peers_by_id))
        while len(chosen) < count:
            if not self._next_ids:
                self._next_ids = sorted(peers_by_id)
                self._rng.shuffle(self._next_ids)
            peer = peers_by_id.get(self._next_ids.pop())
            if peer is not None:
                chosen[peer.session_id] = peer
        return chosen.values()

    def _echo_for(self, peer: PeerSession) -> GossipEcho | None:
        last_sent_s = self._last_sent_s_by_peer.get(peer.session_id)
        if last_sent_s is None:
            return None
        return GossipEcho(peer.session_id, last_sent_s)

    def _record_sender(self, gossip: Gossip) -> None:
        if not gossip.sent_s or gossip.sender not in self._view.peers_by_id:
            return
        # A delayed message must not replace the send time of a later one.
        previous_s = self._last_sent_s_by_peer.get(gossip.sender, gossip.sent_s)
        self._last_sent_s_by_peer[gossip.sender] = max(
            previous_s, gossip.sent_s
        )


def _session_id(peer: PeerSession) -> str:
    return peer.session_id
