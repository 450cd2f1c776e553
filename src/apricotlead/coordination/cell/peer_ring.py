"""The choice of the instances that serve as peers of each instance."""

from bisect import bisect
from collections.abc import Iterable

from apricotlead.coordination.rendezvous import score

# Orders the ring by a hash: instances that follow one another in the order of
# their addresses are in one zone, and are cut off together.
_RING_KEY = 'peers'
# Two instances that are cut off with the one that asks leave one. Each further
# one adds some 20 bytes to a status.
PEERS_PER_FOLLOWER = 3


class PeerRing:
    """Instances in a ring; the peers of each are those that follow it.

    So each instance is the first peer of exactly one other, and one that joins
    or leaves changes the peers of those just before it only.
    """

    __slots__ = ('_places', 'members')

    def __init__(self, members: Iterable[str] = ()) -> None:
        """Arrange the instances at these addresses."""
        self.members = list(members)
        self._places = sorted(map(_place, self.members))

    def after(self, address: str, count: int | None = None) -> tuple[str, ...]:
        """Return the members after an address, all or the first ``count``.

        The address need not be a member, and is not among the result.
        """
        start = bisect(self._places, _place(address))
        around = (*self._places[start:], *self._places[:start])
        others = [member for _, member in around if member != address]
        return tuple(others[:count])


def _place(address: str) -> tuple[bytes, str]:
    return score(_RING_KEY, address), address
