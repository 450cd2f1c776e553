"""Selects the session to request capacity from."""

from collections.abc import Container

from apricotlead.protocol.peers import Gossip, SessionLoad
from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.resources import Resources
from apricotlead.state.session_view import SessionView

# After a refusal, this session's own desk is skipped this long (seconds) for
# demands at least as large as the refused one.
_OWN_RETRY_S = 0.1


class OwnerSelector:
    """Selects this session first, then the better of two random peers.

    The free capacity of a peer is that of its latest gossip minus what was
    requested from it since, so that a burst is not sent to a single peer.
    """

    __slots__ = (
        '_capacity',
        '_free_by_session',
        '_loads_by_session',
        '_own_refusal',
        '_own_refused_s',
        '_rng',
        '_view',
    )

    def __init__(self, view: SessionView, rng: RandomSource) -> None:
        """Start without any loads."""
        self._view = view
        self._rng = rng
        self._loads_by_session: dict[str, SessionLoad] = {}
        self._free_by_session: dict[str, Resources] = {}
        self._capacity = Resources()
        self._own_refusal: Resources | None = None
        self._own_refused_s = float('-inf')

    def update_loads(self, gossip: Gossip) -> None:
        """Store the loads that are newer than the known ones."""
        for load in gossip.loads:
            known = self._loads_by_session.get(load.session_id)
            if known is None or known.serial < load.serial:
                self._loads_by_session[load.session_id] = load
                self._free_by_session[load.session_id] = load.free
        self._sum_capacity()

    def keep_only(self, live_ids: Container[str]) -> None:
        """Remove the loads of sessions that have ended."""
        for session_id in tuple(self._loads_by_session):
            if session_id not in live_ids:
                self._loads_by_session.pop(session_id)
                self._free_by_session.pop(session_id)
        self._sum_capacity()

    def cell_capacity(self) -> Resources:
        """Return the total capacity of all known sessions."""
        return self._capacity

    def record_own_refusal(self, demand: Resources, now: float) -> None:
        """Record that this session's own desk refused such a demand."""
        self._own_refusal = demand
        self._own_refused_s = now

    def choose(
        self,
        demand: Resources,
        tried: Container[str],
        now: float,
    ) -> str | None:
        """Return the session to ask next, ``None`` if all were tried."""
        own_id = self._view.session_id
        if own_id not in tried and self._may_choose_own(demand, now):
            return own_id
        peers = [
            peer_id
            for peer_id in self._view.peers_by_id
            if peer_id not in tried
        ]
        fitting = [
            peer_id for peer_id in peers if self._likely_fits(demand, peer_id)
        ]
        candidates = fitting or peers
        if not candidates:
            return None
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        chosen = max(sampled, key=self._free_fraction)
        if chosen in self._free_by_session:
            self._free_by_session[chosen] -= demand
        return chosen

    def _may_choose_own(self, demand: Resources, now: float) -> bool:
        if not self._view.peers_by_id or self._own_refusal is None:
            return True
        if now >= self._own_refused_s + _OWN_RETRY_S:
            return True
        return not self._own_refusal.fits_in(demand)

    def _likely_fits(self, demand: Resources, session_id: str) -> bool:
        load = self._loads_by_session.get(session_id)
        if load is None or not demand.fits_in(load.largest_free):
            return False
        return demand.fits_in(self._free_by_session[session_id])

    def _free_fraction(self, session_id: str) -> float:
        load = self._loads_by_session.get(session_id)
        if load is None:
            return 0
        free = self._free_by_session[session_id]
        return free.dominant_fraction(load.capacity)

    def _sum_capacity(self) -> None:
        loads = self._loads_by_session.values()
        self._capacity = sum((load.capacity for load in loads), Resources())
