"""Reading one row through a peer while the store is out of reach here."""

from collections.abc import Callable, Iterable

from apricotlead.protocol.cell_peers import RelayedCall
from apricotlead.protocol.table import Row, Rows
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.peer_choice import PeerChoice
from apricotlead.transport.serving import pause
from apricotlead.transport.store_relay import Peers

# How often the age of the row is checked, in seconds. The row is read only
# when it is old, since it may be 64 KB long.
_CHECK_S = 0.5
# A peer that takes longer presumably cannot reach the store either.
_TIMEOUT_S = 0.6
# Peers asked in a check, so that one that fails does not delay the row.
_MAX_PEERS = 2


class RelayedRow:
    """Keeps a row current through peers when it has grown old.

    Pattern: the store refuses some instances. Without the configuration
    they would refuse their callers, though peers reach the store.
    """

    __slots__ = (
        '_apply',
        '_key',
        '_max_age_s',
        '_peer_choice',
        '_peers',
        '_read_s',
    )

    def __init__(
        self,
        key: str,
        peers: Peers,
        max_age_s: float,
        read_s: Callable[[], float],
        apply: Callable[[Row, float], None],
    ) -> None:
        """Read the row when it was last confirmed over ``max_age_s`` ago.

        ``read_s()`` returns when the read that confirmed it was sent;
        ``apply(row, read_s)`` receives the row, unless it was deleted.
        """
        self._key = key
        self._peers = peers
        self._peer_choice = PeerChoice()
        self._max_age_s = max_age_s
        self._read_s = read_s
        self._apply = apply

    def run(self) -> None:
        """Check until the green thread is killed."""
        while True:
            pause(_CHECK_S)
            self.step()

    def step(self) -> None:
        """Read the row through a peer if it has grown old."""
        if boot_now() - self._read_s() < self._max_age_s:
            return
        call = RelayedCall(key=self._key)
        addresses = self._peer_choice.order(self._peers.addresses())
        for address in addresses[:_MAX_PEERS]:
            sent_s = boot_now()
            answer = self._peers.relay(address, call, _TIMEOUT_S)
            self._peer_choice.note(address, answer)
            if isinstance(answer, Rows):
                self._apply_present(answer.rows, sent_s)
                return

    def _apply_present(self, rows: Iterable[Row], sent_s: float) -> None:
        for row in rows:
            if row.version:
                self._apply(row, sent_s)
