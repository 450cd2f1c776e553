"""Load pattern: the store refuses one instance and serves the others."""

from typing import Any

from testtools import TestCase

from apricotlead.protocol.cell_peers import RelayedCall
from apricotlead.protocol.table import (
    Check,
    CheckFailed,
    Committed,
    Put,
    Row,
    Rows,
    StoreFailed,
    Transaction,
)
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.store_health import StoreHealth
from apricotlead.transport.store_relay import StoreRelay

KEY = 'jobs/1/a'
WRITE = Transaction('', KEY, (Check(KEY, 0),), (Put(KEY, 1),))
STORED = Committed({KEY: 4})
REFUSED = StoreFailed(applied=False)
UNKNOWN = StoreFailed(applied=None)


class ScriptedEndpoint:
    """A store or a peer that gives scripted answers and counts calls."""

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)
        self.calls = 0

    def transact(self, transaction: Transaction, timeout_s: float) -> Any:
        return self._next()

    def read_row(self, key: str, timeout_s: float) -> Any:
        return self._next()

    def addresses(self) -> list[str]:
        return ['peer'] if self.answers else []

    def relay(self, address: str, call: RelayedCall, timeout_s: float) -> Any:
        return self._next()

    def _next(self) -> Any:
        self.calls += 1
        return self.answers.pop(0)


class TestStoreRelay(TestCase):
    """Callers are served through a peer, with correct outcomes."""

    def relay(
        self, store: ScriptedEndpoint, peers: ScriptedEndpoint
    ) -> StoreRelay:
        self.health = StoreHealth()
        return StoreRelay(store, self.health, peers, CellMetrics())

    def test_peer_is_not_asked_while_the_store_answers(self) -> None:
        peers = ScriptedEndpoint(STORED)
        relay = self.relay(ScriptedEndpoint(STORED), peers)
        self.assertEqual(STORED, relay.transact(WRITE, 3))
        self.assertEqual(0, peers.calls)

    def test_peer_writes_what_the_store_refuses_here(self) -> None:
        store = ScriptedEndpoint(REFUSED, REFUSED)
        relay = self.relay(store, ScriptedEndpoint(STORED, STORED))
        self.assertEqual(STORED, relay.transact(WRITE, 3))
        self.assertEqual(STORED, relay.transact(WRITE, 3))
        # The second write goes to the peer without another direct attempt.
        self.assertEqual(1, store.calls)

    def test_write_that_took_effect_here_is_found_by_the_peer(self) -> None:
        known = CheckFailed((Row(KEY, 4, 1),))
        relay = self.relay(ScriptedEndpoint(UNKNOWN), ScriptedEndpoint(known))
        self.assertEqual(known, relay.transact(WRITE, 3))

    def test_refusal_by_both_is_a_refusal(self) -> None:
        relay = self.relay(ScriptedEndpoint(REFUSED), ScriptedEndpoint(REFUSED))
        self.assertIs(False, relay.transact(WRITE, 3).applied)

    def test_missing_answer_on_either_path_is_not_a_refusal(self) -> None:
        """The write may take effect seconds later."""
        for here, there in ((UNKNOWN, REFUSED), (REFUSED, None)):
            relay = self.relay(ScriptedEndpoint(here), ScriptedEndpoint(there))
            self.assertIsNone(relay.transact(WRITE, 3).applied)

    def test_rows_are_read_through_a_peer(self) -> None:
        row = Row(KEY, 4, 1)
        relay = self.relay(
            ScriptedEndpoint(REFUSED), ScriptedEndpoint(STORED, Rows((row,)))
        )
        relay.transact(WRITE, 3)
        self.assertEqual(row, relay.read(KEY, boot_now() + 3))

    # Guards against a peer of another version that answers another question.
    def test_answer_of_a_peer_that_does_not_fit(self) -> None:
        row = Row(KEY, 4, 1)
        store = ScriptedEndpoint(REFUSED, Rows((row,)))
        relay = self.relay(store, ScriptedEndpoint(Rows(()), STORED))
        self.assertIsNone(relay.transact(WRITE, 3).applied)
        self.assertEqual(row, relay.read(KEY, boot_now() + 3))

    def test_peer_without_the_store_says_so_at_once(self) -> None:
        store = ScriptedEndpoint(REFUSED)
        relay = self.relay(store, ScriptedEndpoint())
        relay.transact(WRITE, 3)
        self.assertIs(False, relay.serve(RelayedCall(WRITE)).applied)
        self.assertEqual(1, store.calls)
