"""This process's session and the live sessions of other entry instances."""

from msgspec import Struct


class PeerSession(Struct, frozen=True):
    """A live session of another entry instance.

    ``address`` is the ``IP:port`` on which its peer link listens.
    """

    session_id: str
    address: str
    datacentre: str


class SessionView:
    """This process's session, the end of its lease, and the live peers.

    ``lease_end_s`` is on the local monotonic clock; from then on the session
    must not grant or start anything. Only the session keeper changes the view.
    """

    __slots__ = ('datacentre', 'lease_end_s', 'peers_by_id', 'session_id')

    def __init__(self, session_id: str, datacentre: str) -> None:
        """Start without a lease and without peers."""
        self.session_id = session_id
        self.datacentre = datacentre
        self.lease_end_s = float('-inf')
        self.peers_by_id: dict[str, PeerSession] = {}

    def is_valid(self, now: float) -> bool:
        """Return whether this session's lease is valid at ``now``."""
        return now < self.lease_end_s

    def live_ids(self) -> tuple[str, ...]:
        """Return the ids of all live sessions, including this one."""
        return tuple(sorted((self.session_id, *self.peers_by_id)))
