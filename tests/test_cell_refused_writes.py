"""Tests of writes that the store refuses for good.

Pattern: one row in a write of many jobs can never be stored. Repeating the
write would stop all of them. See ``docs/incidents/refused-writes.md``.
"""

from collections.abc import Callable
from random import Random

import eventlet
import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.lease_rows import LEASES_PREFIX
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.coordination.cell.settings import ElectionTimes
from apricotlead.coordination.cell.speed_rows import STATISTICS_PREFIX
from apricotlead.platform.store import PlatformStore
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.errors import BadInput
from apricotlead.protocol.outcomes import NotRun
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    Put,
    StoreFailed,
    Transaction,
)
from apricotlead.state.worker_speed import WorkerSpeed
from apricotlead.transport.cell_journal_writer import JournalWriter
from apricotlead.transport.cell_links import TermState
from apricotlead.transport.http_pool import Answered
from tests.cell_rig import CellRig, ModelWorker, stored_job
from tests.fakes import unlogged_links
from tests.virtual_clock import VirtualHub, virtual_clock
from tests.virtual_store import VirtualInstance, VirtualPeers, VirtualStore

JOB = '00000000000000aa'
_TINY = Resources(1, 1)
_ROOMY = Resources(10**6, 10**6)
_TOO_LARGE = StoreFailed(False, reason='status 413', is_permanent=True)
_ANSWER_S = 0.004
# Longer than any term lasts whose writes are all refused.
_PATIENCE_S = 5.0
Refuses = Callable[[Put], bool]


def job_id(number: int) -> str:
    """Return the id of a job."""
    return str(number).zfill(16)


class VirtualRig(CellRig):
    """A rig in the time of a virtual clock."""

    def __init__(self, hub: VirtualHub, *workers: ModelWorker) -> None:
        """Begin the first term now."""
        self._hub = hub
        super().__init__(*workers)

    @property
    def now(self) -> float:
        """Return the time of the clock."""
        return self._hub.now

    @now.setter
    def now(self, now: float) -> None:
        """Advance the clock; it never goes back."""
        self._hub.now = max(self._hub.now, now)


class RefusingStore:
    """The store of a rig, which refuses writes with certain rows for good."""

    def __init__(self, rig: CellRig, refuses: Refuses) -> None:
        """Refuse each write with a row for which ``refuses`` is true."""
        self._rig = rig
        self.refuses = refuses
        self.refused_count = 0
        # What the next calls get instead of an answer.
        self.faults: list[StoreFailed] = []

    def transact(
        self, transaction: Transaction, timeout_s: float
    ) -> Committed | CheckFailed | StoreFailed:
        """Answer a write."""
        eventlet.sleep(_ANSWER_S)
        if self.faults:
            return self.faults.pop()
        if any(self.refuses(put) for put in transaction.puts):
            self.refused_count += 1
            return _TOO_LARGE
        check = transaction.checks[0]
        row = self._rig.rows_by_key[check.key]
        if row.version != check.version:
            return CheckFailed((row,))
        self._rig.write(transaction)
        versions = {put.key: self._rig.version for put in transaction.puts}
        return Committed(versions, self._rig.store_ms)


class RefusalCase(TestCase):
    """A term that writes its journal to a store that refuses some rows."""

    def setUp(self) -> None:
        super().setUp()
        clock = virtual_clock()
        self.hub = clock.__enter__()
        self.addCleanup(clock.__exit__, None, None, None)
        self.prepare()

    def prepare(self) -> None:
        """Begin a term of a cell without jobs."""
        self.worker = ModelWorker('i-7f3a91c200', capacity=_ROOMY)
        self.rig = VirtualRig(self.hub, self.worker)
        self.store = RefusingStore(self.rig, lambda put: False)
        self.begin()

    def begin(self) -> None:
        """Let a term begin that writes through the store."""
        self.state = TermState(self.rig.scheduler, lambda kind, **fields: None)
        links = unlogged_links(self.store)
        self.journal = JournalWriter(
            links, self.state, ElectionTimes(), takeover_s=_ANSWER_S
        )

    def submit(self, count: int, task_count: int = 2) -> None:
        """Submit jobs."""
        for number in range(count):
            step = StepSpec(task_count, _TINY)
            self.rig.submit(job_id(number), stored_job(step))

    def round(self) -> None:
        """Plan, write until nothing has changed, and send the starts."""
        self.rig.scheduler.plan(self.rig.now, [])
        ends_s = self.hub.now + _PATIENCE_S
        while self.rig.scheduler.tracker.dirty_job_ids:
            starts = self.write()
            for start in starts:
                self.rig.send(start)
            self.assertLess(self.hub.now, ends_s)

    def write(self) -> list[object]:
        """Write the journal once; fail if that does not end."""
        writing = eventlet.spawn(self.journal.write)
        with eventlet.Timeout(_PATIENCE_S):
            return writing.wait()

    def started_ids(self) -> set[str]:
        """Return the ids of the jobs that the worker has started."""
        return {order.task.partition('.')[0] for order in self.worker.started}

    def kinds(self) -> list[str]:
        """Return the kinds of the lines to be logged."""
        return [kind for kind, _ in self.rig.scheduler.tracker.notes]

    def refuse_key(self, key: str) -> None:
        self.store.refuses = lambda put: put.key.startswith(key)


class TestOneRefusedRow(RefusalCase):
    """A job whose row the store refuses does not stop the others."""

    def refuse_running(self, *numbers: int) -> None:
        """Refuse the rows of jobs unless they show the final state."""
        keys = {f'{PROGRESS_PREFIX}{job_id(number)}' for number in numbers}
        self.store.refuses = lambda put: put.key in keys and put.value[0]

    def test_other_jobs_go_on(self) -> None:
        """Guards against a write that is repeated until the term ends (LOST)."""
        for refused in (0, 7, 30):
            self.prepare()
            self.submit(31)
            self.refuse_running(refused)
            self.round()
            expected = {job_id(each) for each in range(31)} - {job_id(refused)}
            self.assertEqual(expected, self.started_ids())
            self.assertEqual('', self.state.ended_why)

    def test_job_is_shown_as_failed(self) -> None:
        """Guards against a job that waits for ever, and nobody knows why (LOST)."""
        self.submit(3)
        self.refuse_running(1)
        self.round()
        self.assertEqual('failed', self.rig.state(job_id(1)))
        row = self.rig.rows_by_key[f'{PROGRESS_PREFIX}{job_id(1)}']
        self.assertIn('status 413', row.value[-1])
        self.assertIn('job set aside', self.kinds())

    def test_successor_does_not_meet_it_again(self) -> None:
        """Guards against a term that ends at the row of the term before (LOST)."""
        self.submit(3)
        self.refuse_running(1)
        self.round()
        refused_count = self.store.refused_count
        self.rig.begin_term()
        self.begin()
        self.submit(5)
        self.round()
        self.assertEqual(refused_count, self.store.refused_count)

    def test_ends_in_a_divided_write_are_acknowledged_later(self) -> None:
        """Guards against an end that is forgotten before it is durable (TWICE)."""
        self.submit(3)
        self.round()
        self.worker.end(f'{job_id(0)}.0.0.0')
        self.worker.end(f'{job_id(1)}.0.0.0')
        self.rig.hold_all()
        self.refuse_running(1)
        self.write()
        worker = next(iter(self.rig.scheduler.tracker.workers_by_id.values()))
        self.assertEqual(0, worker.acked_through)
        self.round()
        self.write()
        self.assertEqual(2, worker.acked_through)

    def test_run_of_a_refused_row_is_not_started(self) -> None:
        """Guards against a start that no row records (TWICE)."""
        self.submit(1)
        self.refuse_running(0)
        self.round()
        self.assertEqual([], self.worker.started)
        usage = self.rig.scheduler.tracker.usage('clerks')
        self.assertEqual(Resources(), usage)

    def test_any_rows(self) -> None:
        """Guards against a division that loses, repeats or reorders rows."""
        for seed in range(20):
            random = Random(seed)
            self.prepare()
            self.submit(random.randint(1, 80))
            count = len(self.rig.scheduler.tracker.jobs_by_id)
            refused = set(
                random.sample(range(count), random.randint(0, 3) % count)
            )
            self.refuse_running(*refused)
            self.round()
            expected = {job_id(each) for each in set(range(count)) - refused}
            self.assertEqual(expected, self.started_ids(), seed)
            started = [order.task for order in self.worker.started]
            self.assertEqual(len(set(started)), len(started), seed)


class TestSmallerRows(RefusalCase):
    """A store that takes smaller rows than the settings say."""

    def test_rows_are_divided(self) -> None:
        """Guards against jobs that are given up though smaller rows would do."""
        self.store.refuses = lambda put: (
            len(msgspec.json.encode(put.value)) > 10000
        )
        self.submit(3, task_count=300)
        self.round()
        self.assertEqual(900, len(self.worker.started))
        self.assertIn('row limit lowered', self.kinds())
        self.assertNotIn('job set aside', self.kinds())


class TestOtherRows(RefusalCase):
    """Rows of statistics and leases share the write with the jobs."""

    def test_statistics(self) -> None:
        """Guards against statistics that stop the journal (LOST)."""
        for worker in self.rig.scheduler.tracker.workers_by_id.values():
            worker.speed = WorkerSpeed(2.5, 7)
        self.refuse_key(STATISTICS_PREFIX)
        self.rig.now += 6
        self.submit(3)
        self.rig.hold_all()
        self.round()
        self.assertEqual(3, len(self.started_ids()))

    def test_leases(self) -> None:
        """Guards against a lease that counts as written though it was refused."""
        self.refuse_key(LEASES_PREFIX)
        other = ModelWorker('w2')
        self.rig.workers_by_id['w2'] = other
        self.rig.scheduler.workers.update_worker(other.entry, self.rig.now)
        self.rig.hold_all()
        self.write()
        state = self.rig.scheduler.tracker.workers_by_id['w2']
        self.assertFalse(state.may_grant_lease)
        self.store.refuses = lambda put: False
        self.write()
        self.assertTrue(state.may_grant_lease)


class TestStoreThatRefusesAll(RefusalCase):
    """A store that refuses every write shows nothing about a row."""

    def test_nothing_is_given_up(self) -> None:
        """Guards against jobs that fail for a fault of the store (LOST)."""
        self.submit(3)
        self.store.refuses = lambda put: True
        self.rig.scheduler.plan(self.rig.now, [])
        writing = eventlet.spawn(self.journal.write)
        eventlet.sleep(_PATIENCE_S)
        self.assertFalse(writing.dead)
        self.store.refuses = lambda put: False
        for start in writing.wait():
            self.rig.send(start)
        self.rig.pass_time(2)
        self.assertEqual(3, len(self.started_ids()))
        self.assertNotIn('job set aside', self.kinds())

    def test_refusal_that_passes(self) -> None:
        """Guards against the same for a single refusal."""
        self.submit(1)
        self.rig.scheduler.plan(self.rig.now, [])
        self.store.faults = [_TOO_LARGE, _TOO_LARGE]
        for start in self.write():
            self.rig.send(start)
        self.assertEqual(1, len(self.started_ids()))
        self.assertNotIn('job set aside', self.kinds())


class ScriptedPool:
    """Answers each call with the same status."""

    def __init__(self, status: int) -> None:
        self._status = status

    def call(self, call: object) -> Answered:
        return Answered(self._status, b'{}', {})


class TestAdapter(TestCase):
    """The adapter tells refusals that pass from those that do not."""

    def test_statuses(self) -> None:
        """Guards against a call that is repeated though it can never succeed."""
        transaction = Transaction('', 'a/b/c', (), (Put('a/b/c', 1),))
        permanent = []
        for status in (400, 403, 413, 429, 500, 503):
            store = PlatformStore(ScriptedPool(status), '10.0.0.1:80')
            if store.transact(transaction).is_permanent:
                permanent.append(status)
        self.assertEqual([400, 403, 413], permanent)


class TestSubmissions(TestCase):
    """A job that the store refuses for good is refused to its caller, too."""

    def submit(self, peers: VirtualPeers | None = None) -> tuple[object, int]:
        """Submit a job; return the outcome and the number of calls."""
        with virtual_clock():
            store = VirtualStore({})
            store.transact = self.refuse
            self.calls = 0
            instance = VirtualInstance(store, peers)
            outcome = instance.request_handler.submit(
                instance.queue,
                'clerks',
                JOB,
                stored_job().submission,
                3.0,
            )
        return outcome, self.calls

    def refuse(self, *_call: object) -> StoreFailed:
        self.calls += 1
        return _TOO_LARGE

    def test_refused_at_once(self) -> None:
        """Guards against callers who come back for ever."""
        peers = VirtualPeers(other=VirtualStore({}))
        outcome, calls = self.submit(peers)
        self.assertIsInstance(outcome, NotRun)
        self.assertIsInstance(outcome.error, BadInput)
        self.assertIsNone(outcome.retry_after_s)
        self.assertEqual((1, []), (calls, peers.asked))
