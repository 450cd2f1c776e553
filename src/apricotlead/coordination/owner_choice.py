"""Which session to ask for room on the workers it owns."""

from collections.abc import Container

from apricotlead.protocol.peers import Gossip, SessionLoad
from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.resources import Resources
from apricotlead.state.session_view import SessionView

# The own desk is not asked again this long (seconds) after it refused, for
# demands that are at least as large.
_OWN_PAUSE_S = 0.1


class OwnerSelector:
    """Own workers first, then the better of two random peers.

    The free capacity of a peer is that of its latest gossip less what it was
    asked for since, so that a burst does not go to one peer.
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
        """Begin without knowledge of loads."""
        self._view = view
        self._rng = rng
        self._loads_by_session: dict[str, SessionLoad] = {}
        self._free_by_session: dict[str, Resources] = {}
        self._capacity = Resources()
        self._own_refusal: Resources | None = None
        self._own_refused_s = float('-inf')

    def update_loads(self, gossip: Gossip) -> None:
        """Keep the loads that are newer than the known ones."""
        for load in gossip.loads:
            known = self._loads_by_session.get(load.session_id)
            if known is None or known.serial < load.serial:
                self._loads_by_session[load.session_id] = load
                self._free_by_session[load.session_id] = load.free
        self._sum_capacity()

    def keep_only(self, live_ids: Container[str]) -> None:
        """Forget the loads of sessions that are gone."""
        for session_id in tuple(self._loads_by_session):
            if session_id not in live_ids:
                self._loads_by_session.pop(session_id)
                self._free_by_session.pop(session_id)
        self._sum_capacity()

    def cell_capacity(self) -> Resources:
        """Return the capacity of all sessions that are known."""
        return self._capacity

    def record_own_refusal(self, demand: Resources, now: float) -> None:
        """Remember that the own desk has no room for such a demand."""
        self._own_refusal = demand
        self._own_refused_s = now

    def choose(
        self,
        demand: Resources,
        tried: Container[str],
        now: float,
    ) -> str | None:
        """Return the session to ask next, ``None`` when none is left."""
        own_id = self._view.session_id
        if own_id not in tried and self._may_ask_own(demand, now):
            return own_id
        peers = [one for one in self._view.peers_by_id if one not in tried]
        fitting = [one for one in peers if self._seems_to_fit(demand, one)]
        candidates = fitting or peers
        if not candidates:
            return None
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        chosen = max(drawn, key=self._free_fraction)
        if chosen in self._free_by_session:
            self._free_by_session[chosen] -= demand
        return chosen

    def _may_ask_own(self, demand: Resources, now: float) -> bool:
        if not self._view.peers_by_id or self._own_refusal is None:
            return True
        if now >= self._own_refused_s + _OWN_PAUSE_S:
            return True
        return not self._own_refusal.fits_in(demand)

    def _seems_to_fit(self, demand: Resources, session_id: str) -> bool:
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
