"""The configuration of an instance that the store turns away."""

from typing import Any

from testtools import TestCase

from apricotlead.protocol.cell_peers import RelayedCall
from apricotlead.protocol.table import Row, Rows, StoreFailed
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.relayed_row import RelayedRow
from apricotlead.transport.serving import pause

ROW = Row('op//config', 3, {})
_ANSWER_S = 0.05


class ScriptedPeers:
    """Peers that answer in turn, and record the calls."""

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)
        self.keys: list[str] = []

    def addresses(self) -> list[str]:
        return ['a', 'b', 'c']

    def relay(self, address: str, call: RelayedCall, timeout_s: float) -> Any:
        self.keys.append(call.key)
        pause(_ANSWER_S)
        return self.answers.pop(0)


class TestRelayedRow(TestCase):
    """The row is read through peers only when it has grown old."""

    def step(self, peers: ScriptedPeers, age_s: float) -> list[Any]:
        """Return what was applied, for a row of this age."""
        applied: list[Any] = []
        read_s = boot_now() - age_s
        relayed = RelayedRow(
            ROW.key,
            peers,
            2,
            lambda: read_s,
            lambda row, sent_s: applied.append((row, sent_s)),
        )
        relayed.step()
        return applied

    # Guards against peers that read the configuration for all instances,
    # though each reads it itself.
    def test_current_row_is_not_read(self) -> None:
        peers = ScriptedPeers()
        self.assertEqual([], self.step(peers, 1))
        self.assertEqual([], peers.keys)

    # Guards against an instance whose keys depend on a single peer.
    def test_second_peer_is_asked_when_the_first_fails(self) -> None:
        for failure in (None, StoreFailed(applied=False)):
            peers = ScriptedPeers(failure, Rows((ROW,), 3, 100))
            applied = self.step(peers, 3)
            self.assertEqual([ROW], [row for row, _ in applied])
            self.assertEqual([ROW.key, ROW.key], peers.keys)

    # Guards against keys that work for longer than they may: what was read
    # may be as old as the sending of the call.
    def test_row_is_as_old_as_the_sending(self) -> None:
        applied = self.step(ScriptedPeers(Rows((ROW,), 3, 100)), 3)
        self.assertLess(applied[0][1], boot_now() - _ANSWER_S + 0.01)

    # Guards against a log line for each read of a row that was deleted.
    def test_deleted_row_is_not_applied(self) -> None:
        deleted = Rows((Row(ROW.key),), 4, 100)
        self.assertEqual([], self.step(ScriptedPeers(deleted), 3))
