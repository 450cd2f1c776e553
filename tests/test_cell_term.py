"""A scheduler's term: its change feeds, and failures of its components."""

from testtools import TestCase

from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.protocol.table import Row, Rows, StoreFailed
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_feeds import JobsListener, RegistryListener
from apricotlead.transport.cell_holds import WorkerHolds
from apricotlead.transport.cell_links import CellLinks, TermState
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.cell_scheduling import SchedulingTerm
from apricotlead.transport.serving import pause
from tests.cell_rig import CellRig, ModelWorker, stored_job
from tests.fakes import UncalledWorkers

PREFIX = 'registry//'
JOB = '00000000000000aa'


class EmptyStore:
    """A store without rows, whose feed of changes is broken."""

    def received_s(self) -> float:
        return boot_now()

    def scan_rows(self, prefix: str) -> Rows:
        return Rows((), 1, 1)

    def read_row(self, key: str) -> Rows:
        return Rows((), 1, 1)

    def transact(self, transaction: object, timeout_s: float) -> StoreFailed:
        return StoreFailed(applied=False)

    def changes(self, table: str, after: int, wait_s: float) -> None:
        raise TypeError('an unexpected answer')


class TestFeeds(TestCase):
    """The scheduler resynchronises after the store dropped change history."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'), ModelWorker('w2'))
        self.taken: list[Row] = []

    def test_worker_removed_in_a_gap_of_the_feed_is_unlisted(self) -> None:
        """The registry was not followed any more after such a gap."""
        feed = RegistryListener(self.rig.scheduler, self.taken.append, PREFIX)
        feed.on_snapshot((Row(f'{PREFIX}w1', 3, {}),), 0)
        workers = self.rig.scheduler.tracker.workers_by_id
        self.assertTrue(workers['w1'].is_listed)
        self.assertFalse(workers['w2'].is_listed)

    def test_jobs_of_a_snapshot_are_taken(self) -> None:
        feed = JobsListener(self.rig.scheduler, self.taken.append)
        row = self.rig.submit(JOB, stored_job())
        feed.on_snapshot((row,), 0)
        self.assertEqual([row], self.taken)


class FailingWorkers(UncalledWorkers):
    """Worker client whose holds raise an unexpected error."""

    def hold(self, *call: object) -> None:
        raise TypeError('an unexpected list')


class TestFailedHold(TestCase):
    """A term ends if the holds of one of its workers fail.

    Without holds, the worker's lease would expire unnoticed.
    """

    def test_term_ends(self) -> None:
        rig = CellRig(ModelWorker('w1'))
        links = CellLinks(
            EmptyStore(),
            FailingWorkers(),
            PREFIX,
            lambda row: None,
            lambda address, question: None,
            lambda kind, **fields: None,
            CellMetrics(),
        )
        state = TermState(rig.scheduler, links.log)
        WorkerHolds(links, state, CellSettings().holds).watch('w1')
        pause(0.05)
        self.assertIn('an unexpected list', state.ended_why)


class TestFailedComponent(TestCase):
    """A component that fails ends the term instead of stopping silently."""

    def test_term_ends(self) -> None:
        rig = CellRig()
        logged: list[str] = []
        workers = UncalledWorkers()
        links = CellLinks(
            EmptyStore(),
            workers,
            PREFIX,
            lambda row: None,
            lambda address, question: None,
            lambda kind, **fields: logged.append(kind),
            CellMetrics(),
        )
        term = SchedulingTerm(
            links,
            CellSettings(),
            rig.scheduler,
            'peer',
            1,
            0.01,
        )
        term.run()
        self.assertIn('an unexpected answer', term.ended_why)
        self.assertIn('term ended', logged)
        # They count against the workers' limit for the next scheduler.
        self.assertFalse(workers.is_connected)
