"""The own session and the live sessions of the other entry instances."""

from msgspec import Struct


class PeerSession(Struct, frozen=True):
    """A live session of another entry instance.

    ``address`` is where its peer link listens (``IP:port``).
    """

    session_id: str
    address: str
    datacentre: str


class SessionView:
    """Who this process is, until when its lease runs, and who else lives.

    ``lease_end_s`` is on the own monotonic clock; the session may grant and
    start nothing from then on. Changed by the session keeper only.
    """

    __slots__ = ('datacentre', 'lease_end_s', 'peers_by_id', 'session_id')

    def __init__(self, session_id: str, datacentre: str) -> None:
        """Start without a lease and without peers."""
        self.session_id = session_id
        self.datacentre = datacentre
        self.lease_end_s = float('-inf')
        self.peers_by_id: dict[str, PeerSession] = {}

    def is_valid(self, now: float) -> bool:
        """Return whether the own lease runs at ``now``."""
        return now < self.lease_end_s

    def live_ids(self) -> tuple[str, ...]:
        """Return the ids of all live sessions, the own one included."""
        return tuple(sorted((self.session_id, *self.peers_by_id)))
