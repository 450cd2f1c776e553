"""Choice of the paths on which a read reaches the store."""

from collections import deque
from collections.abc import Callable

from apricotlead.protocol.table import StoreFailed
from apricotlead.transport.answer_log import DIRECT
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.store_health import StoreHealth

# After that many peers the order is computed again, with failed peers last.
_PEERS_PER_ROUND = 4
# In an outage of the store each request would otherwise ask all instances.
_MAX_ROUNDS = 2
# A busy store refuses what peers ask for as well, but it may also refuse this
# instance alone, so the rest of the time is for peers.
_BUSY_SHARE = 0.6


def busy_relay_begins_s(began_s: float, ends_s: float) -> float:
    """Return when calls that a busy store refuses are also relayed.

    They belong to a request that began at ``began_s`` and ends at ``ends_s``.
    """
    return began_s + (ends_s - began_s) * _BUSY_SHARE


class ReadPaths:
    """Chooses the direct path and peers in turn for the tries of one read."""

    __slots__ = (
        '_health',
        '_is_first',
        '_peer_order',
        '_busy_relay_s',
        '_round',
        '_round_count',
        '_tried',
    )

    def __init__(
        self,
        health: StoreHealth,
        peer_order: Callable[[], list[str]],
        busy_relay_s: float,
    ) -> None:
        """Choose peers for what a busy store refuses only after ``busy_relay_s``."""
        self._health = health
        self._peer_order = peer_order
        self._busy_relay_s = busy_relay_s
        self._is_first = True
        self._round: deque[str] = deque()
        self._round_count = 0
        self._tried: set[str] = set()

    def is_exhausted(self) -> bool:
        """Return whether enough paths have been chosen to give up."""
        if self._round_count > _MAX_ROUNDS:
            return True
        return self._tried.issuperset(self._peer_order())

    def next_path(self, failure: StoreFailed | None) -> str:
        """Return the path of the next try after the latest ``failure``."""
        is_busy = (
            failure is not None
            and failure.is_busy
            and boot_now() < self._busy_relay_s
        )
        is_direct = self._is_first or is_busy
        self._is_first = False
        if is_direct and not self._health.should_relay():
            return DIRECT
        if not self._round:
            was_busy = failure is not None and failure.is_busy
            self._begin_round(skips_direct=was_busy)
        path = self._round.popleft()
        self._tried.add(path)
        return path

    def _begin_round(self, *, skips_direct: bool) -> None:
        """Choose peers, each followed by the direct path if that may help."""
        self._round_count += 1
        for address in self._peer_order()[:_PEERS_PER_ROUND]:
            self._round.extend(
                (address,) if skips_direct else (address, DIRECT)
            )
        if skips_direct or not self._round:
            self._round.append(DIRECT)
