"""A term loads what is stored, however small the link of its instance is."""

import math
import random

import eventlet
import msgspec
from eventlet.event import Event
from testtools import TestCase

from apricotlead.cell_settings import CellEntrySettings
from apricotlead.coordination.cell.job_rows import JOB_PREFIXES, job_key
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.coordination.cell.settings import ElectionTimes
from apricotlead.platform.store import PlatformStore
from apricotlead.protocol.cell_jobs import (
    JobProgress,
    JobState,
    JobSubmission,
    StepSpec,
    StoredJob,
)
from apricotlead.protocol.cell_peers import FollowerCall
from apricotlead.protocol.cell_workers import (
    HoldOrder,
    HoldReport,
    OrderReply,
    Refusal,
    WorkerEntry,
)
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Rows, StoreFailed
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_holds import WorkerHolds
from apricotlead.transport.cell_journal_writer import JournalWriter
from apricotlead.transport.cell_links import RELEASED, CellLinks, TermState
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.cell_scheduling import SchedulingTerm
from apricotlead.transport.hedged_reader import HedgedReader
from apricotlead.transport.http_pool import HttpPool
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job
from tests.fakes import UncalledWorkers
from tests.virtual_clock import virtual_clock
from tests.virtual_network import StoreHost, VirtualLink, VirtualNetwork

STORE_ADDRESS = '10.0.0.1:80'
PREFIX = 'registry//'
# The smallest link of the grown deployments, and a large one.
BYTES_PER_MBIT = 125000
SMALL_LINK_BYTES_PER_S = 5 * BYTES_PER_MBIT
LARGE_LINK_BYTES_PER_S = 100 * BYTES_PER_MBIT
# That of their smaller copies.
LEAST_LINK_BYTES_PER_S = 2 * BYTES_PER_MBIT
# As at the end of the traffic of a grown deployment.
FINAL_JOBS = 3000
OPEN_JOBS = 300
PARTS = len(JOB_PREFIXES)
# As after the loss of many workers.
CHANGED_JOBS = 80
TASKS_OF_A_WIDE_JOB = 100
WORKERS = 176
# Of some runs and some ends that nobody has acknowledged.
LIST_BYTES = 4096
PAYLOAD = 'x' * 1200
# Within this time after a power-off, callers are to be served again.
RECOVERY_S = 15.0
# Work that could run must not wait longer.
MAX_IDLE_S = 3.0
# Links over which packets wait longer count as choked.
MAX_READ_S = 0.5
STORE_LOST_S = ElectionTimes().store_lost_s


def stored_rows() -> dict[str, object]:
    """Return the rows of a cell's jobs."""
    values_by_key: dict[str, object] = {}
    for number in range(FINAL_JOBS + OPEN_JOBS):
        job_id = str(number).zfill(16)
        is_final = number < FINAL_JOBS
        stored = StoredJob('lookups', 'transcripts', 'clerks', 5.0)
        progress = JobProgress([], JobState.COMPLETED, 5.0)
        if is_final:
            stored = msgspec.structs.replace(
                stored, state=JobState.COMPLETED, ended_ms=5.0
            )
        else:
            steps = (StepSpec(20, Resources(18000, 36000), 5000.0),)
            stored = msgspec.structs.replace(
                stored, submission=JobSubmission(PAYLOAD, steps)
            )
        values_by_key[job_key(job_id)] = msgspec.to_builtins(stored)
        if is_final:
            values_by_key[f'{PROGRESS_PREFIX}{job_id}'] = msgspec.to_builtins(
                progress
            )
    return values_by_key


def entry_settings(bytes_per_s: float) -> CellEntrySettings:
    """Return the settings of an instance with a link of some rate."""
    return CellEntrySettings(
        instance_id='i1',
        data_centre='a',
        callers_address=STORE_ADDRESS,
        ready_address=STORE_ADDRESS,
        peer_address=STORE_ADDRESS,
        store_address=STORE_ADDRESS,
        link_mbps=bytes_per_s / BYTES_PER_MBIT,
    )


class LoadingCase(TestCase):
    """A term that loads the jobs of a grown deployment, in virtual time."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = self.enterContext(virtual_clock())
        random.seed(1)
        self.network = VirtualNetwork()
        self.network.join(self)
        self.store_host = StoreHost(stored_rows())
        self.network.hosts_by_address[STORE_ADDRESS] = self.store_host
        self.store = PlatformStore(HttpPool(idle_per_host=16), STORE_ADDRESS)
        self.kinds: list[str] = []

    def links(self) -> CellLinks:
        """Return the clients of a term."""
        return CellLinks(
            self.store,
            UncalledWorkers(),
            PREFIX,
            lambda row: None,
            lambda address, question: None,
            lambda kind, **fields: self.kinds.append(kind),
            CellMetrics(),
        )

    def begin(self, bytes_per_s: float) -> SchedulingTerm:
        """Begin a term that loads over a link."""
        self.network.link = VirtualLink(bytes_per_s)
        settings = entry_settings(bytes_per_s)
        scheduler = CellRig().scheduler
        scheduler.workers.renewed_s = boot_now()
        term = SchedulingTerm(
            self.links(),
            settings.bounded_cell,
            scheduler,
            'peer',
            1,
            0.01,
        )
        self.addCleanup(eventlet.spawn(term.run).kill)
        return term

    def wait_for(self, kind: str, most_s: float) -> float:
        """Return how long it takes until a line is logged."""
        began_s = boot_now()
        while kind not in self.kinds:
            self.assertLess(boot_now() - began_s, most_s)
            eventlet.sleep(0.05)
        return boot_now() - began_s


class TestLoading(LoadingCase):
    """A term without its jobs starts nothing, and nobody replaces it."""

    def load_s(self, bytes_per_s: float) -> float:
        """Return how long a term takes to load over a link."""
        term = self.begin(bytes_per_s)
        took_s = self.wait_for('jobs loaded', 10 * RECOVERY_S)
        term.end('the test is over')
        return took_s

    # Guards against a term whose reads share a small link, so that each takes
    # longer than its time limit, is given up, and begins anew.
    def test_small_link(self) -> None:
        for bytes_per_s in (SMALL_LINK_BYTES_PER_S, LEAST_LINK_BYTES_PER_S):
            self.kinds.clear()
            self.assertLess(self.load_s(bytes_per_s), RECOVERY_S)

    # Guards against callers' reads that wait behind all tables.
    def test_read_beside_the_load(self) -> None:
        for bytes_per_s in (SMALL_LINK_BYTES_PER_S, LEAST_LINK_BYTES_PER_S):
            self.kinds.clear()
            term = self.begin(bytes_per_s)
            eventlet.sleep(0.5)
            began_s = boot_now()
            self.assertIsInstance(self.store.read_row(job_key('0' * 16)), Rows)
            self.assertLess(boot_now() - began_s, MAX_READ_S)
            term.end('the test is over')

    # Guards against extra reads of tables whose rows arrive, which double what
    # the link has to carry.
    def test_no_page_is_read_twice(self) -> None:
        for bytes_per_s in (SMALL_LINK_BYTES_PER_S, LARGE_LINK_BYTES_PER_S):
            self.store_host.read_count = 0
            self.kinds.clear()
            self.load_s(bytes_per_s)
            pages = math.ceil((FINAL_JOBS + OPEN_JOBS) / PARTS / 500)
            least = PARTS * pages + math.ceil(FINAL_JOBS / 500)
            self.assertLess(self.store_host.read_count, least + PARTS)

    # Guards against a read that waits for ever for the rest of a page.
    def test_page_whose_rest_is_lost(self) -> None:
        self.network.link = VirtualLink(SMALL_LINK_BYTES_PER_S)
        thread = eventlet.spawn(self.store.scan_rows, PROGRESS_PREFIX)
        eventlet.sleep(0.2)
        self.network.silence()
        began_s = boot_now()
        self.assertIsInstance(thread.wait(), StoreFailed)
        self.assertLess(boot_now() - began_s, 1.1)

    # Guards against a lost answer that costs a whole time limit, since callers'
    # reads are answered meanwhile.
    def test_answer_is_lost_beside_other_reads(self) -> None:
        reader = HedgedReader(self.store, 0.25, 2, self.store.received_s)
        began_s = boot_now()
        scan = eventlet.spawn(reader.scan_rows, JOB_PREFIXES[0])
        eventlet.sleep(0.01)
        self.network.silence()
        while not scan.dead:
            self.store.read_row(job_key('0' * 16))
            eventlet.sleep(0.02)
        self.assertIsInstance(scan.wait(), Rows)
        self.assertLess(boot_now() - began_s, 0.5)

    # Guards against a change that makes the usual load slower.
    def test_large_link(self) -> None:
        self.assertLess(self.load_s(LARGE_LINK_BYTES_PER_S), 1.0)


class TestChangesOverASmallLink(LoadingCase):
    """Changes are followed, however many there are at once."""

    # Guards against a feed that is lost for the rest of a term: its answer takes
    # longer than its time limit, and is asked for four times at once.
    def test_many_changes(self) -> None:
        for bytes_per_s in (SMALL_LINK_BYTES_PER_S, LEAST_LINK_BYTES_PER_S):
            self.kinds.clear()
            term = self.begin(bytes_per_s)
            self.wait_for('jobs loaded', RECOVERY_S)
            self.store_host.change(
                job_key(str(FINAL_JOBS + number).zfill(16))
                for number in range(OPEN_JOBS)
            )
            eventlet.sleep(RECOVERY_S)
            self.assertNotIn('feed lost', self.kinds)
            term.end('the test is over')


class TestJournalOverASmallLink(LoadingCase):
    """The journal is written, however many jobs have changed at once."""

    # Guards against writes that take longer than their time limit, and are sent
    # four times at once, so that none of them is answered.
    def test_many_changed_jobs(self) -> None:
        for bytes_per_s in (SMALL_LINK_BYTES_PER_S, LEAST_LINK_BYTES_PER_S):
            self.network.uplink = VirtualLink(bytes_per_s)
            state = self.changed_state(bytes_per_s)
            journal = JournalWriter(
                self.links(), state, ElectionTimes(), takeover_s=0.01
            )
            while state.scheduler.tracker.dirty_job_ids:
                writing = eventlet.spawn(journal.write)
                self.addCleanup(writing.kill)
                eventlet.sleep(STORE_LOST_S)
                self.assertTrue(writing.dead)
            self.assertNotIn('journal blocked', self.kinds)

    def changed_state(self, bytes_per_s: float) -> TermState:
        """Return a term of whose jobs each has changed."""
        rig = CellRig(settings=entry_settings(bytes_per_s).bounded_cell)
        for number in range(CHANGED_JOBS):
            job_id = str(number).zfill(16)
            rig.submit(job_id, stored_job(StepSpec(TASKS_OF_A_WIDE_JOB, SMALL)))
        tracker = rig.scheduler.tracker
        tracker.dirty_job_ids.update(dict.fromkeys(tracker.jobs_by_id))
        return TermState(rig.scheduler, lambda kind, **fields: None)


class ListingWorkers(UncalledWorkers):
    """Workers whose first lists share a link; also late ones pass it."""

    def __init__(self, link: VirtualLink) -> None:
        """Answer over ``link``."""
        super().__init__()
        self._link = link
        self._listed_ids: set[str] = set()

    def hold(
        self, entry: WorkerEntry, order: HoldOrder, timeout_s: float
    ) -> HoldReport | OrderReply:
        """Answer with a list, and later that there is nothing new."""
        if entry.worker_id in self._listed_ids:
            eventlet.sleep(timeout_s / 2)
            return HoldReport(boot_now(), (), ())
        has_come = Event()
        eventlet.spawn_n(self._send, has_come)
        has_come.wait(timeout_s)
        if has_come.ready():
            self._listed_ids.add(entry.worker_id)
            return HoldReport(boot_now(), (), ())
        return OrderReply(Refusal.UNANSWERED)

    def _send(self, has_come: Event) -> None:
        self._link.carry(bytes(LIST_BYTES), lambda packet: True)
        has_come.send()


class TestListsOverASmallLink(LoadingCase):
    """All workers are in contact soon after a term has begun."""

    # Guards against lists that are asked for all at once, come too late for
    # their time limit, and are asked for again.
    def test_first_lists(self) -> None:
        settings = entry_settings(SMALL_LINK_BYTES_PER_S).bounded_cell
        worker_ids = [f'w{number}' for number in range(WORKERS)]
        rig = CellRig(*map(ModelWorker, worker_ids), settings=settings)
        rig.now = boot_now()
        rig.begin_term()
        links = msgspec.structs.replace(
            self.links(),
            workers=ListingWorkers(VirtualLink(SMALL_LINK_BYTES_PER_S)),
        )
        holds = WorkerHolds(
            links,
            TermState(rig.scheduler, links.log),
            settings.holds,
            settings.open_lists,
        )
        self.addCleanup(holds.stop)
        for worker_id in worker_ids:
            holds.watch(worker_id)
        eventlet.sleep(MAX_IDLE_S)
        silent = [
            each
            for each in worker_ids
            if not rig.scheduler.workers.has_contact(each)
        ]
        self.assertEqual([], silent)


class TestTermsThatDoNotLoad(LoadingCase):
    """A term that does not load in time makes way for another instance."""

    # Guards against a term that goes on for 40 reads of a store that its
    # instance does not reach, while others do.
    def test_store_is_lost_to_the_instance(self) -> None:
        self.network.is_cut = True
        term = self.begin(LARGE_LINK_BYTES_PER_S)
        self.wait_for('term ended', MAX_IDLE_S)
        self.assertTrue(term.has_failed)

    # Guards against a term that is renewed for ever after an error in its load.
    def test_answer_that_cannot_be_read(self) -> None:
        self.patch(PlatformStore, 'scan_rows', _raise)
        term = self.begin(LARGE_LINK_BYTES_PER_S)
        self.wait_for('term ended', MAX_IDLE_S)
        self.assertIn('an unexpected answer', term.ended_why)

    # Guards against work that waits for a small link while a larger instance
    # is in contact.
    def test_larger_instance_takes_over(self) -> None:
        term = self.begin(SMALL_LINK_BYTES_PER_S)
        larger = FollowerCall('larger', 4, 1, 0.2)
        for _ in range(20):
            term.followers.watch(larger)
        self.assertEqual(RELEASED, term.ended_why)
        self.assertNotIn('jobs loaded', self.kinds)
        self.assertTrue(term.followers.watch(larger).is_released)

    # Guards against reads of a term that has ended, behind which the callers of
    # its instance wait.
    def test_ended_term_reads_no_further_tables(self) -> None:
        term = self.begin(LEAST_LINK_BYTES_PER_S)
        eventlet.sleep(1)
        term.end('another instance has taken over')
        eventlet.sleep(1)
        read_count = self.store_host.read_count
        eventlet.sleep(RECOVERY_S)
        self.assertEqual(read_count, self.store_host.read_count)

    # Guards against a term that is replaced again and again while it loads,
    # since its answers to followers are late and it has written nothing.
    def test_term_is_renewed_while_it_loads(self) -> None:
        term = self.begin(LEAST_LINK_BYTES_PER_S)
        longest_s = 0.0
        while 'jobs loaded' not in self.kinds:
            eventlet.sleep(0.05)
            age_s = boot_now() - term.scheduler.workers.renewed_s
            longest_s = max(longest_s, age_s)
        times = ElectionTimes()
        self.assertLess(longest_s, times.most_silent_owner_s)
        self.assertGreater(self.store_host.write_count, 4)

    # Guards against a write after the load that expects the owner row as it was
    # before a renewal, and ends the term.
    def test_term_goes_on_after_the_load(self) -> None:
        term = self.begin(SMALL_LINK_BYTES_PER_S)
        self.wait_for('jobs loaded', RECOVERY_S)
        eventlet.sleep(2)
        self.assertEqual('', term.ended_why)

    # Guards against a slow load that shows in no log line.
    def test_slow_load_is_logged(self) -> None:
        self.begin(SMALL_LINK_BYTES_PER_S)
        self.wait_for('jobs loaded', RECOVERY_S)
        self.assertEqual(2, self.kinds.count('term loading'))


def _raise(store: PlatformStore, prefix: str) -> None:
    raise TypeError('an unexpected answer')
