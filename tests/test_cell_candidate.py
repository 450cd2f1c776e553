"""Claims of the scheduler's term, and the counts that a new term reports."""

from typing import Any

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.election import OWNER_KEY, takeover
from apricotlead.coordination.cell.job_rows import job_key
from apricotlead.coordination.cell.settings import CellSettings, ElectionTimes
from apricotlead.protocol.cell_peers import (
    FollowerCall,
    RelayedCall,
    SchedulerStatus,
)
from apricotlead.protocol.table import (
    Committed,
    Row,
    Rows,
    StoreFailed,
    Transaction,
)
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_candidate import CellCandidate, OwnIdentity
from apricotlead.transport.cell_links import CellLinks
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.serving import pause, run_in_background
from tests.cell_rig import cell_config, stored_job
from tests.fakes import UncalledWorkers

_LIST_S = 0.3
# Long enough for a follower to get several statuses.
_FOLLOW_S = 0.2
_JOB = msgspec.to_builtins(stored_job())


class LossyStore:
    """Stores the owner row; the answer to the first write is lost."""

    def __init__(self) -> None:
        self.row = Row(OWNER_KEY)
        self.writes = 0

    def read_row(self, key: str) -> Rows:
        rows = (self.row,) if key == OWNER_KEY and self.row.version else ()
        return Rows(rows, 1, 100)

    def received_s(self) -> float:
        return boot_now()

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


class OwnedStore(LossyStore):
    """Holds the owner row of a scheduler at ``peer2`` until it is down."""

    def __init__(self) -> None:
        super().__init__()
        self.is_down = False
        _, claim = takeover(self.row, 'i2', 'peer2', 100, ElectionTimes())
        self.transact(claim)

    def read_row(self, key: str) -> Any:
        return (
            StoreFailed(applied=False)
            if self.is_down
            else Rows((self.row,), 1, 100)
        )


class ScriptedPeers:
    """A scheduler that names other followers, and peers that relay calls."""

    def __init__(self, *named: str) -> None:
        self.named = named
        self.is_lost = False
        self.asked: list[bool] = []
        self.failing: set[str] = set()

    def watch(
        self,
        address: str,
        call: FollowerCall,
        timeout_s: float,
    ) -> SchedulerStatus | None:
        pause(0.02)
        if self.is_lost:
            return None
        self.asked.append(call.asks_peers)
        peers = self.named if call.asks_peers else ()
        return SchedulerStatus(1, is_active=True, peers=peers)

    def relay(self, address: str, call: RelayedCall, timeout_s: float) -> Any:
        if address in self.failing:
            return None
        return Rows((), 1, 100)


def _run_candidate(
    store: LossyStore,
    peers: LoadingScheduler | ScriptedPeers | None = None,
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


class TestKnownPeers(TestCase):
    """An instance that the store refuses can ask through other instances."""

    def setUp(self) -> None:
        super().setUp()
        self.store = OwnedStore()

    def follow(self, peers: ScriptedPeers) -> CellCandidate:
        """Return a follower that has got a few statuses."""
        candidate = _run_candidate(self.store, peers)
        self.addCleanup(pause, _FOLLOW_S)
        self.addCleanup(candidate.stop)
        pause(_FOLLOW_S)
        return candidate

    # Guards against a scheduler that all other instances ask at once, while
    # they know nobody else.
    def test_follower_knows_other_followers(self) -> None:
        candidate = self.follow(ScriptedPeers('peer3', 'peer4', 'peer5'))
        self.assertEqual(
            ['peer3', 'peer2', 'peer4', 'peer5'], candidate.addresses()
        )

    # Guards against states that are refused because the scheduler is lost to
    # an instance that does not reach the store either.
    def test_lost_scheduler_leaves_other_followers(self) -> None:
        peers = ScriptedPeers('peer3', 'peer4')
        candidate = self.follow(peers)
        self.lose_all(peers)
        self.assertEqual(['peer3', 'peer4', 'peer2'], candidate.addresses())

    # Guards against an instance that has nobody to ask between two terms: the
    # former scheduler's instance still relays calls.
    def test_former_scheduler_is_known_between_terms(self) -> None:
        peers = ScriptedPeers()
        candidate = self.follow(peers)
        self.lose_all(peers)
        self.assertEqual(['peer2'], candidate.addresses())

    # Guards against an instance that has nobody to ask after its restart,
    # since the scheduler named by the store does not answer.
    def test_restarted_instance_knows_the_owner(self) -> None:
        peers = ScriptedPeers()
        peers.is_lost = True
        candidate = self.follow(peers)
        self.assertEqual(['peer2'], candidate.addresses())

    # Guards against calls that a peer without the store gets again and again.
    def test_peer_that_fails_is_asked_last(self) -> None:
        peers = ScriptedPeers('peer3', 'peer4')
        peers.failing = {'peer3'}
        candidate = self.follow(peers)
        candidate.relay('peer3', RelayedCall(key='jobs/0/a'), 1)
        self.assertEqual(['peer2', 'peer4', 'peer3'], candidate.addresses())
        peers.failing = set()
        candidate.relay('peer3', RelayedCall(key='jobs/0/a'), 1)
        self.assertEqual('peer3', candidate.addresses()[0])

    # Guards against links of 10 Mbit/s that carry the same addresses several
    # times a second to 300 instances.
    def test_known_followers_are_not_asked_for_again_at_once(self) -> None:
        peers = ScriptedPeers('peer3')
        self.follow(peers)
        self.assertGreater(len(peers.asked), 3)
        self.assertEqual([True], peers.asked[:1])
        self.assertNotIn(True, peers.asked[1:])

    def lose_all(self, peers: ScriptedPeers) -> None:
        """Lose the scheduler and the store, so that no term can begin."""
        self.store.is_down = True
        peers.is_lost = True
        pause(_FOLLOW_S)


class TestNamedPeers(TestCase):
    """A scheduler names other followers to each of its followers."""

    def setUp(self) -> None:
        super().setUp()
        self.candidate = _run_candidate(LossyStore())
        self.addCleanup(pause, _FOLLOW_S)
        self.addCleanup(self.candidate.stop)
        for _ in range(100):
            if self.candidate.answer_follower(FollowerCall('', 1)).is_active:
                break
            pause(0.02)

    def status(self, number: int, *, asks_peers: bool) -> SchedulerStatus:
        call = FollowerCall(f'10.1.0.{number}:7420', 1, asks_peers=asks_peers)
        return self.candidate.answer_follower(call)

    # Guards against instances without the store that all ask the same peer.
    def test_first_peers_differ(self) -> None:
        for joining in range(31):
            self.status(joining, asks_peers=False)
        named = [
            self.status(asking, asks_peers=True).peers for asking in range(31)
        ]
        self.assertEqual(31, len({peers[0] for peers in named}))
        self.assertEqual({3}, {len(peers) for peers in named})

    def test_status_names_none_unless_asked(self) -> None:
        self.status(1, asks_peers=False)
        self.assertEqual((), self.status(2, asks_peers=False).peers)

    # Guards against a scheduler's instance that forgets its followers when
    # its term ends, and has nobody to ask until it follows the next one.
    def test_followers_are_known_after_the_term(self) -> None:
        self.status(1, asks_peers=False)
        self.assertEqual(['10.1.0.1:7420'], self.candidate.addresses())
        self.candidate.stop()
        pause(_FOLLOW_S)
        self.assertIsNone(self.candidate.status())
        self.assertEqual(['10.1.0.1:7420'], self.candidate.addresses())


class TestLostClaim(TestCase):
    """A claim whose answer was lost starts the term that it wrote."""

    def test_one_claim_is_enough(self) -> None:
        store = LossyStore()
        candidate = _run_candidate(store)
        pause(0.8)
        candidate.stop()
        pause(0.2)
        self.assertEqual(1, store.row.value['epoch'])
