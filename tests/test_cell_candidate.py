"""Claims of the scheduler's term when the store loses answers."""

from typing import Any

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.election import OWNER_KEY
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.protocol.table import (
    Committed,
    Row,
    Rows,
    StoreFailed,
    Transaction,
)
from apricotlead.state.cell_view import CellView
from apricotlead.transport.cell_candidate import CellCandidate, OwnIdentity
from apricotlead.transport.cell_links import CellLinks
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.serving import pause, run_in_background
from tests.cell_rig import cell_config


class LossyStore:
    """Carries out the first write without an answer; keeps the owner row."""

    def __init__(self) -> None:
        self.row = Row(OWNER_KEY)
        self.writes = 0

    def read_row(self, key: str) -> Rows:
        rows = (self.row,) if key == OWNER_KEY and self.row.version else ()
        return Rows(rows, 1, 100)

    def scan_rows(self, prefix: str) -> Rows:
        return Rows((), 1, 100)

    def changes(self, table: str, after: int, wait_s: float) -> Any:
        pause(wait_s)
        return StoreFailed(applied=None)

    def transact(self, transaction: Transaction, timeout_s: float = 1) -> Any:
        self.writes += 1
        version = self.row.version + 1
        value = msgspec.to_builtins(transaction.puts[0].value)
        self.row = Row(OWNER_KEY, version, value)
        if self.writes == 1:
            return StoreFailed(applied=None)
        return Committed({OWNER_KEY: version}, 100)


class TestLostClaim(TestCase):
    """A claim whose answer was lost begins the term that it wrote."""

    def test_one_claim_is_enough(self) -> None:
        store = LossyStore()
        links = CellLinks(
            store,
            None,
            'registry//',
            lambda row: None,
            lambda address, question: None,
            lambda kind, **fields: None,
            CellMetrics(),
        )
        own = OwnIdentity('i1', 'peer1', 1)
        candidate = CellCandidate(links, None, own, CellSettings())
        candidate.set_view(CellView(cell_config(), 0))
        run_in_background(candidate.run)
        pause(0.8)
        candidate.stop()
        pause(0.2)
        self.assertEqual(1, store.row.value['epoch'])
