"""Claims of the scheduler's term, and the counts that a new term reports."""

from typing import Any

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.election import OWNER_KEY, takeover
from apricotlead.coordination.cell.job_rows import job_key
from apricotlead.coordination.cell.settings import CellSettings, ElectionTimes
from apricotlead.protocol.cell_peers import SchedulerStatus
from apricotlead.protocol.table import (
    Committed,
    Row,
    Rows,
    StoreFailed,
    Transaction,
)
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.transport.cell_candidate import CellCandidate, OwnIdentity
from apricotlead.transport.cell_links import CellLinks
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.serving import pause, run_in_background
from tests.cell_rig import cell_config, stored_job
from tests.fakes import UncalledWorkers

_LIST_S = 0.3
_JOB = msgspec.to_builtins(stored_job())


class LossyStore:
    """Stores the owner row; the answer to the first write is lost."""

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


class SlowStore(LossyStore):
    """Holds one job and lists it slowly."""

    def scan_rows(self, prefix: str) -> Rows:
        pause(_LIST_S)
        job = Row(job_key('00000000000000aa'), 1, _JOB)
        rows = (job,) if job.key.startswith(prefix) else ()
        return Rows(rows, 1, 100)


class LoadingScheduler:
    """A scheduler that is still loading the jobs."""

    def watch(self, *call: object) -> SchedulerStatus:
        pause(0.05)
        return SchedulerStatus(1, is_active=True)


def _run_candidate(
    store: LossyStore,
    peers: LoadingScheduler | None = None,
) -> CellCandidate:
    """Start an instance that follows the scheduler or claims the term."""
    links = CellLinks(
        store,
        UncalledWorkers(),
        'registry//',
        lambda row: None,
        lambda address, question: None,
        lambda kind, **fields: None,
        CellMetrics(),
    )
    own = OwnIdentity('i1', 'peer1', 1)
    candidate = CellCandidate(links, peers, own, CellSettings())
    candidate.set_view(CellConfigView(cell_config(), 0))
    run_in_background(candidate.run)
    return candidate


class TestPendingCounts(TestCase):
    """Callers were told that no jobs wait while a new term loaded them."""

    def test_term_reports_no_counts_before_all_jobs_are_loaded(self) -> None:
        candidate = _run_candidate(SlowStore())
        counts: list[dict[str, int]] = []
        for _ in range(100):
            pause(0.02)
            status = candidate.status()
            if status is not None:
                counts.append(status.pending_by_queue)
        candidate.stop()
        pause(0.2)
        self.assertEqual({'lookups': 1}, counts[0])

    def test_follower_uses_no_counts_of_a_loading_term(self) -> None:
        store = LossyStore()
        _, claim = takeover(store.row, 'i2', 'peer2', 100, ElectionTimes())
        store.transact(claim)
        candidate = _run_candidate(store, LoadingScheduler())
        pause(0.3)
        status = candidate.status()
        candidate.stop()
        pause(0.2)
        self.assertIsNone(status)


class TestLostClaim(TestCase):
    """A claim whose answer was lost starts the term that it wrote."""

    def test_one_claim_is_enough(self) -> None:
        store = LossyStore()
        candidate = _run_candidate(store)
        pause(0.8)
        candidate.stop()
        pause(0.2)
        self.assertEqual(1, store.row.value['epoch'])
