"""Findings of a review of the repairs of issue 42."""

import random
from collections import Counter
from typing import Any

import eventlet

from apricotlead.cell_entry import CONFIG_KEY
from apricotlead.coordination.cell.election import (
    OWNER_KEY,
    ElectionTimes,
    takeover,
)
from apricotlead.coordination.cell.job_rows import JOB_PREFIXES
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.stalled_steps import STALLED_AFTER_S
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_peers import RelayedCall
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Changes, Row, Rows, StoreFailed
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.state.known_peers import KnownPeers
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_candidate import CellCandidate, OwnIdentity
from apricotlead.transport.cell_links import CellLinks
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.hedged_reader import HedgedReader
from apricotlead.transport.peer_choice import PeerChoice
from apricotlead.transport.relayed_row import RelayedRow
from apricotlead.transport.table_follower import TableFollower
from tests.cell_rig import SMALL, cell_config, stored_job
from tests.fakes import UncalledWorkers
from tests.test_cell_stalled_steps import JOB, StalledStepsCase
from tests.test_state_answers import STARTED, WAIT_S, VirtualTimeCase
from tests.virtual_store import (
    BUSY,
    HANGS,
    HOP_S,
    JOB_KEY,
    VirtualInstance,
    VirtualPeers,
    VirtualStore,
    first,
)

_OWN = 'own'
_TIMEOUT_S = 0.6
_REVOKED_AFTER_S = 4.5
_CONFIG = Rows((Row(CONFIG_KEY, 1, {}),), 1, 1)
# The time limit of a call to the store.
_STORE_TIMEOUT_S = 1.0


class _KnownInstances:
    """Peers as a candidate keeps them, of which one serves calls."""

    def __init__(self, known: KnownPeers, serving: str, fail_s: float) -> None:
        self._known = known
        self._serving = serving
        self._fail_s = fail_s
        self.asked: list[str] = []

    def addresses(self) -> list[str]:
        return self._known.addresses(boot_now())

    def relay(self, address: str, call: RelayedCall, timeout_s: float) -> Any:
        self.asked.append(address)
        is_served = address == self._serving
        eventlet.sleep(HOP_S if is_served else min(self._fail_s, timeout_s))
        self._known.record_call(address, boot_now(), is_served=is_served)
        return _CONFIG if is_served else None


class TestConfigurationThroughPeers(VirtualTimeCase):
    """The configuration is read through any peer that reaches the store."""

    def _read(self, known: KnownPeers, fail_s: float) -> list[str]:
        """Check for the time that keys are accepted; return who was asked."""
        self.read_s = boot_now()
        peers = _KnownInstances(known, 'c', fail_s)
        relayed = RelayedRow(
            CONFIG_KEY, peers, 0, lambda: self.read_s, self._apply
        )
        checking = eventlet.spawn(relayed.run)
        eventlet.sleep(_REVOKED_AFTER_S)
        checking.kill()
        return peers.asked

    def _apply(self, row: Row, read_s: float) -> None:
        self.read_s = read_s

    # Guards against two peers that are asked in turn for ever, as failures are
    # forgotten before the next check.
    def test_first_two_peers_are_silent(self) -> None:
        known = KnownPeers(_OWN)
        known.learn(('a', 'b', 'c'), boot_now())
        self.assertIn('c', self._read(known, _TIMEOUT_S))

    # Guards against the same while a scheduler is followed.
    def test_peer_and_scheduler_are_silent(self) -> None:
        known = KnownPeers(_OWN)
        known.learn(('a', 'c'), boot_now())
        known.follow('scheduler', boot_now())
        self.assertIn('c', self._read(known, _TIMEOUT_S))

    # Guards against the same with peers that refuse at once.
    def test_first_two_peers_refuse(self) -> None:
        known = KnownPeers(_OWN)
        known.learn(('a', 'b', 'c'), boot_now())
        self.assertIn('c', self._read(known, HOP_S))


class TestOrderOfPeers(VirtualTimeCase):
    """The order of KnownPeers holds for calls that StoreRelay makes."""

    # Guards against a scheduler that is asked first by a quarter of the calls.
    def test_scheduler_is_not_asked_first(self) -> None:
        known = KnownPeers(_OWN)
        known.learn(('a', 'b', 'c'), boot_now())
        known.follow('scheduler', boot_now())
        choice = PeerChoice()
        firsts = Counter(
            choice.order(known.addresses(boot_now()))[0] for _ in range(400)
        )
        self.assertLess(firsts['scheduler'], 20, firsts)


class TestHealthAfterAnExtraTry(VirtualTimeCase):
    """A lost answer says nothing about a store that has answered since."""

    def _instance(self, *peers: str) -> VirtualInstance:
        store = VirtualStore(STARTED, first(1, HANGS))
        stores = {peer: VirtualStore(STARTED) for peer in peers}
        return VirtualInstance(store, VirtualPeers(**stores))

    # Guards against a lost try that ends after its read was answered, and
    # counts as a store that fails.
    def test_store_is_not_failing(self) -> None:
        instance = self._instance()
        instance.status(WAIT_S)
        eventlet.sleep(_STORE_TIMEOUT_S)
        self.assertFalse(instance.health.is_failing())

    # Guards against a peer that is refused after such a try.
    def test_peer_is_served(self) -> None:
        instance = self._instance()
        instance.status(WAIT_S)
        eventlet.sleep(_STORE_TIMEOUT_S)
        answer = instance.relay.serve(RelayedCall(key=JOB_KEY))
        self.assertIsInstance(answer, Rows)

    # Guards against a store that is taken for lost after one lost answer,
    # as peers answer all later reads.
    def test_store_is_not_lost(self) -> None:
        instance = self._instance('p1', 'p2')
        for _ in range(30):
            instance.status(WAIT_S)
            eventlet.sleep(0.1)
        self.assertFalse(instance.health.is_lost())


class TestRelayWithAShortLimit(VirtualTimeCase):
    """A peer's missing answer within a short limit is no failure of it."""

    # Guards against peers that are left out since one caller had no time.
    def test_peer_stays_known(self) -> None:
        candidate = CellCandidate(
            None, _SilentPeers(), OwnIdentity('i1', _OWN, 1), CellSettings()
        )
        candidate._known_peers.learn(('a',), boot_now())
        candidate.relay('a', RelayedCall(key=JOB_KEY), 0.05)
        self.assertEqual(['a'], candidate.addresses())

    # Guards against peers that are left out since the store was busy.
    def test_peer_of_a_busy_store_stays_known(self) -> None:
        candidate = CellCandidate(
            None, _BusyPeers(), OwnIdentity('i1', _OWN, 1), CellSettings()
        )
        candidate._known_peers.learn(('a',), boot_now())
        candidate.relay('a', RelayedCall(key=JOB_KEY), _TIMEOUT_S)
        self.assertEqual(['a'], candidate.addresses())


class _BusyPeers:
    """Instances that the store refuses for a moment."""

    def relay(
        self, address: str, call: RelayedCall, timeout_s: float
    ) -> StoreFailed:
        return StoreFailed(False, reason=BUSY, is_busy=True)


class _SilentPeers:
    """Instances that take calls and do not answer."""

    def relay(self, address: str, call: RelayedCall, timeout_s: float) -> None:
        eventlet.sleep(timeout_s)

    def watch(self, *call: object) -> None:
        """Give no status."""


class _OwnedStore:
    """Holds the row of a scheduler that is gone; some reads are lost."""

    def __init__(self, lost_reads: set[int]) -> None:
        self._lost_reads = lost_reads
        _, claim = takeover(Row(OWNER_KEY), 'i2', 'b', 100, ElectionTimes())
        self.row = Row(OWNER_KEY, 1, claim.puts[0].value)
        self.reads = 0
        self.claimed_s: list[float] = []

    def received_s(self) -> float:
        return boot_now()

    def read_row(self, key: str) -> Any:
        self.reads += 1
        if self.reads in self._lost_reads:
            eventlet.sleep(_STORE_TIMEOUT_S)
            return StoreFailed(applied=None)
        eventlet.sleep(HOP_S)
        return Rows((self.row,), 1, 100)

    def transact(self, *_: object) -> StoreFailed:
        self.claimed_s.append(boot_now())
        return StoreFailed(applied=False)


class TestTakeover(VirtualTimeCase):
    """One lost answer does not delay the takeover from a dead scheduler."""

    def _claim_after_s(self, lost_reads: set[int]) -> float:
        store = _OwnedStore(lost_reads)
        candidate = CellCandidate(
            CellLinks(
                store,
                UncalledWorkers(),
                'workers//',
                lambda row: None,
                lambda address, question: None,
                lambda kind, **fields: None,
                CellMetrics(),
            ),
            _SilentPeers(),
            OwnIdentity('i1', _OWN, 1),
            CellSettings(),
        )
        candidate.set_view(CellConfigView(cell_config(), boot_now()))
        began_s = boot_now()
        following = eventlet.spawn(candidate.run)
        with eventlet.Timeout(20):
            while not store.claimed_s:
                eventlet.sleep(0.01)
        following.kill()
        return store.claimed_s[0] - began_s

    # Guards against a read of the owner row that takes the time limit of a call
    # when one answer is lost.
    def test_lost_read_of_the_owner(self) -> None:
        undisturbed_s = self._claim_after_s(set())
        for lost in (1, 2, 3):
            delayed_s = self._claim_after_s({lost}) - undisturbed_s
            self.assertLess(delayed_s, 0.6, (lost, undisturbed_s))


class TestFeedOfJobs(VirtualTimeCase):
    """A table is read within the 3 s for which a step may wait."""

    # Guards against parts that are read without an extra try: in a tenth of
    # 100 trials the table took over 8 s, and 1.8 s with extra tries.
    def test_every_third_answer_is_lost(self) -> None:
        durations_s = sorted(self._read(seed) for seed in range(100))
        self.assertLess(durations_s[90], 3, durations_s[90])

    def _read(self, seed: int) -> float:
        random.seed(seed)
        listener = _Listener()
        follower = TableFollower(
            HedgedReader(_LossyTable(), 0.25, 2),
            JOB_PREFIXES,
            listener,
            lambda kind, **fields: None,
        )
        began_s = boot_now()
        following = eventlet.spawn(follower.run)
        while listener.read_s is None:
            eventlet.sleep(0.05)
        following.kill()
        return listener.read_s - began_s


class _Listener:
    """Notes when a table has been read."""

    def __init__(self) -> None:
        self.read_s: float | None = None

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        self.read_s = boot_now()

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        pass


class _LossyTable:
    """Loses every third answer, at random."""

    def scan_rows(self, prefix: str) -> Rows | StoreFailed:
        if random.random() < 1 / 3:
            eventlet.sleep(_STORE_TIMEOUT_S)
            return StoreFailed(None, reason='no answer')
        eventlet.sleep(HOP_S)
        return Rows((), 1, 1)

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        eventlet.sleep(wait_s)
        return Changes((), 1, 1)


class TestWatchOfUnusedWorkers(StalledStepsCase):
    """The rule counts executors; the watch counts what the scheduler uses."""

    def pause_workers(self, *names: str) -> None:
        for name in names:
            worker = self.rig.scheduler.tracker.workers_by_id[name]
            worker.not_before_s = float('inf')

    # Guards against a service that counts as half full since the scheduler
    # leaves most of its idle workers alone.
    def test_full_worker_beside_idle_ones_left_alone(self) -> None:
        busy = StepSpec(1, Resources(10000, 1024), estimated_ms=60000)
        self.pause_workers('w1', 'w2', 'w3')
        self.place_one(busy, 'f' * 16)
        self.rig.submit(JOB, stored_job(StepSpec(1, SMALL)))
        self.wait(STALLED_AFTER_S + 2)
        self.assertIn(f'{JOB}.0.0', self.reported_steps())

    # Guards against a step that nothing reports as no worker is used.
    def test_all_workers_left_alone(self) -> None:
        self.pause_workers('w0', 'w1', 'w2', 'w3')
        self.rig.submit(JOB, stored_job(StepSpec(1, SMALL)))
        self.wait(STALLED_AFTER_S + 2)
        self.assertIn(f'{JOB}.0.0', self.reported_steps())
