"""Tests of jobs that are cancelled while their submission is under way.

Pattern: an instance is lost after it has sent the write of a job, the client
cancels the job at another instance, and the store performs the write seconds
later. See ``docs/incidents/late-job-after-cancel.md``.
"""

from contextlib import nullcontext
from io import BytesIO
from random import Random
from typing import Any

import eventlet
import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.job_rows import (
    MarkCleaner,
    cancel_key,
    job_key,
)
from apricotlead.platform.callers import CallerApplication
from apricotlead.protocol.cell_config import QueueConfig
from apricotlead.protocol.cell_jobs import StoredJob
from apricotlead.protocol.errors import JobWithdrawn, NoSuchJob
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    Row,
    Rows,
    StoreFailed,
    Transaction,
)
from apricotlead.transport.cell_row_upkeep import RowUpkeep
from tests.cell_rig import CellRig, ModelWorker, cell_config, stored_job
from tests.fakes import unlogged_links
from tests.virtual_clock import virtual_clock
from tests.virtual_store import VirtualInstance

JOB = '5c0e7a21d94b36f8'
JOB_KEY = job_key(JOB)
CANCEL_KEY = cancel_key(JOB)
_ANSWER_S = 0.01
_WAIT_S = 3.0
# The store performs a write without an answer up to this much later.
_LATEST_S = 12.0
_KEEP_S = 120.0
_SETTLE_S = 30.0


class LateStore:
    """A store that performs some writes late, and then without an answer."""

    def __init__(self) -> None:
        """Start without rows; no write is late."""
        self.rows_by_key: dict[str, Row] = {}
        self.version = 0
        # Seconds by which the next writes are late, the last one first.
        self.delays_s: list[float] = []

    def read_row(self, key: str, timeout_s: float = 1.0) -> Rows:
        """Read a row."""
        eventlet.sleep(_ANSWER_S)
        row = self.rows_by_key.get(key)
        return Rows((row,) if row else (), self.version, 1)

    def transact(
        self, transaction: Transaction, timeout_s: float = 1.0
    ) -> Committed | CheckFailed | StoreFailed:
        """Write, now or late."""
        delay_s = self.delays_s.pop() if self.delays_s else 0
        if delay_s:
            eventlet.spawn_after(delay_s, self.apply, transaction)
            eventlet.sleep(timeout_s)
            return StoreFailed(None, reason='no answer')
        eventlet.sleep(_ANSWER_S)
        return self.apply(transaction)

    def apply(self, transaction: Transaction) -> Committed | CheckFailed:
        """Apply a transaction if its checks hold."""
        found = tuple(
            self.rows_by_key.get(check.key, Row(check.key))
            for check in transaction.checks
        )
        wanted = [check.version for check in transaction.checks]
        if [row.version for row in found] != wanted:
            return CheckFailed(found)
        self.version += 1
        for put in transaction.puts:
            self.rows_by_key[put.key] = Row(put.key, self.version, put.value)
        for key in transaction.deletes:
            self.rows_by_key.pop(key, None)
        keys = [written.key for written in transaction.puts]
        return Committed(dict.fromkeys(keys, self.version))

    def is_active(self) -> bool:
        """Return whether a scheduler would start the job."""
        row = self.rows_by_key.get(JOB_KEY)
        if row is None or CANCEL_KEY in self.rows_by_key:
            return False
        return not msgspec.convert(row.value, StoredJob).is_refused


class LateCase(TestCase):
    """Instances that share a store; a client calls any of them."""

    def setUp(self) -> None:
        super().setUp()
        clock = virtual_clock()
        clock.__enter__()
        self.addCleanup(clock.__exit__, None, None, None)
        self.prepare()

    def prepare(self) -> None:
        """Start with an empty store."""
        self.store = LateStore()
        self.is_confirmed = False
        self.taker = VirtualInstance(self.store)
        self.other = VirtualInstance(self.store)

    def submit(self, instance: VirtualInstance, wait_s: float = _WAIT_S) -> Any:
        """Submit the job; return the outcome."""
        return instance.request_handler.submit(
            instance.queue,
            'clerks',
            JOB,
            stored_job().submission,
            wait_s,
        )

    def submit_in_vain(self, late_s: float) -> None:
        """Let an instance send the write of the job, and be lost."""
        self.store.delays_s = [late_s]
        lost = eventlet.spawn(self.submit, self.taker)
        eventlet.sleep(_ANSWER_S)
        lost.kill()
        self.store.delays_s = []

    def cancel(self, instance: VirtualInstance) -> Any:
        """Cancel the job; return the outcome."""
        outcome = instance.cancel(_WAIT_S)[0]
        is_absent = isinstance(outcome, NotRun) and isinstance(
            outcome.error, NoSuchJob
        )
        self.is_confirmed |= isinstance(outcome, Done) or is_absent
        return outcome

    def refuse(self) -> None:
        """Store a refusal of the job, as for one that would end too late."""
        refusal = StoredJob(
            'lookups', 'transcripts', 'clerks', 5, is_refused=True
        )
        self.other.request_handler._jobs.write(
            JOB, refusal, eventlet.hubs.get_hub().now + _WAIT_S
        )


class TestLateWrites(LateCase):
    """A write that takes effect after the cancel was confirmed."""

    def test_instance_is_lost_after_the_write_was_sent(self) -> None:
        """Guards against a job that starts after its cancel (UNASKED)."""
        for late_s in (0.05, 1, 5, _LATEST_S):
            self.prepare()
            self.submit_in_vain(late_s)
            outcome = self.cancel(self.other)
            self.assertIsInstance(outcome.error, NoSuchJob)
            eventlet.sleep(_SETTLE_S)
            self.assertNotIn(JOB_KEY, self.store.rows_by_key)

    def test_submission_replaces_a_refusal(self) -> None:
        """Guards against the same where the late write expects the refusal."""
        self.refuse()
        # The first write fails its check, the second one is late.
        self.store.delays_s = [5, 0]
        lost = eventlet.spawn(self.submit, self.taker)
        eventlet.sleep(3 * _ANSWER_S)
        lost.kill()
        self.store.delays_s = []
        self.assertIsInstance(self.cancel(self.other), NotRun)
        eventlet.sleep(_SETTLE_S)
        row = self.store.rows_by_key[JOB_KEY]
        self.assertTrue(msgspec.convert(row.value, StoredJob).is_refused)

    def test_write_takes_effect_while_the_cancel_is_handled(self) -> None:
        """Guards against a cancel that is lost between its read and its write."""
        for late_s in (0.005, 0.015, 0.025, 0.035):
            self.prepare()
            self.submit_in_vain(late_s)
            self.cancel(self.other)
            eventlet.sleep(_SETTLE_S)
            self.assertFalse(self.store.is_active())

    def test_cancel_that_is_itself_late(self) -> None:
        """Guards against a confirmation before the cancel is stored."""
        self.submit_in_vain(8)
        self.store.delays_s = list(range(5, 25))
        outcome = self.cancel(self.other)
        self.assertNotIsInstance(outcome.error, NoSuchJob)
        self.store.delays_s = []
        self.assertIsInstance(self.cancel(self.other).error, NoSuchJob)
        eventlet.sleep(_SETTLE_S)
        self.assertFalse(self.store.is_active())

    def test_any_order(self) -> None:
        """Guards against any order of submissions, refusals and cancels.

        Once a cancel is confirmed, nothing starts that was sent before.
        """
        for seed in range(300):
            self.prepare()
            self.play(Random(seed))
            eventlet.sleep(_SETTLE_S)
            self.assert_kept(seed)

    def play(self, random: Random) -> None:
        """Make six calls, some of them while earlier ones are under way."""
        calls = {
            'submit': lambda: self.submit(self.taker),
            'submit elsewhere': lambda: self.submit(self.other),
            'submit in vain': lambda: self.submit_in_vain(
                random.uniform(0, _LATEST_S)
            ),
            'refuse': self.refuse,
            'cancel': lambda: self.cancel(self.other),
        }
        for name in random.choices(tuple(calls), k=6):
            calls[name]()
            self.assert_kept(name)
            eventlet.sleep(random.choice((0, 0.02, 2)))

    def assert_kept(self, label: object) -> None:
        """Check that nothing may start after a confirmed cancel."""
        self.assertFalse(self.is_confirmed and self.store.is_active(), label)


class TestSubmissionsAfterTheCancel(LateCase):
    """The id of a cancelled job cannot be used any more."""

    def test_refused_at_once(self) -> None:
        """Guards against a job that is accepted after its cancel (UNASKED)."""
        self.cancel(self.other)
        outcome = self.submit(self.taker)
        self.assertIsInstance(outcome.error, JobWithdrawn)
        self.assertIsNone(outcome.retry_after_s)
        self.assertFalse(self.store.is_active())

    def test_refused_after_a_refusal(self) -> None:
        self.refuse()
        self.cancel(self.other)
        self.assertIsInstance(self.submit(self.taker).error, JobWithdrawn)

    def test_status_line(self) -> None:
        """Guards against an answer that asks the client to come back."""
        self.cancel(self.other)
        response: list[Any] = []
        application = CallerApplication(_FixedHandler(self.submit(self.taker)))
        body = b'{"Spec": "1", "Steps": [{"Count": 1}]}'
        application(
            {
                'REQUEST_METHOD': 'POST',
                'PATH_INFO': f'/lookups/{JOB}',
                'CONTENT_LENGTH': str(len(body)),
                'wsgi.input': BytesIO(body),
            },
            lambda status, headers: response.extend((status, dict(headers))),
        )
        self.assertEqual('410 Gone', response[0])
        self.assertNotIn('Retry-After', response[1])

    def test_instance_that_repeats_the_write(self) -> None:
        """Guards against a submission under way that is accepted afterwards."""
        self.store.delays_s = [20.0]
        submitting = eventlet.spawn(self.submit, self.taker)
        eventlet.sleep(0.1)
        self.cancel(self.other)
        self.assertIsInstance(submitting.wait().error, JobWithdrawn)

    def test_repeat_of_an_accepted_job(self) -> None:
        """Guards against an accepted job that is reported as refused."""
        self.assertEqual(Done(), self.submit(self.taker))
        self.assertEqual(Done(), self.cancel(self.other))
        self.assertEqual(Done(), self.submit(self.taker))

    def test_state_is_not_shown(self) -> None:
        """Guards against a job that is shown though nobody submitted it (MIXED)."""
        self.cancel(self.other)
        outcome, _ = self.taker.status(_WAIT_S, JOB)
        self.assertIsInstance(outcome.error, NoSuchJob)

    def test_unknown_outcome_is_not_a_refusal(self) -> None:
        """Guards against a rejection of a job that may run (REFUSED)."""
        self.store.delays_s = list(range(5, 45))
        self.assertIsInstance(self.submit(self.taker), MayHaveRun)


class _FixedHandler:
    """A request handler with one outcome for all submissions."""

    max_body_bytes = 1000
    is_stopping = False

    def __init__(self, outcome: Any) -> None:
        self._outcome = outcome

    def track_request(self) -> Any:
        return nullcontext()

    def authorise(self, *_call: str) -> tuple[QueueConfig, str]:
        return cell_config().queues[0], 'clerks'

    def submit(self, *_call: Any) -> Any:
        return self._outcome


class TestScheduler(TestCase):
    """The scheduler learns of cancels and jobs in any order."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1')
        self.rig = CellRig(self.worker)

    def cancel(self) -> Row:
        """Store the cancel; return its row."""
        self.rig.write_row(CANCEL_KEY, 1)
        return self.rig.rows_by_key[CANCEL_KEY]

    def test_cancel_is_announced_before_the_job(self) -> None:
        """Guards against a start after the cancel was announced (UNASKED)."""
        job = Row(JOB_KEY, 1, msgspec.to_builtins(stored_job()))
        self.rig.scheduler.jobs.apply_job_row(self.cancel(), self.rig.now)
        self.rig.scheduler.jobs.apply_job_row(job, self.rig.now)
        self.rig.round()
        self.assertEqual([], self.worker.started)
        self.assertEqual('cancelled', self.rig.state(JOB))

    def test_successor_finds_both(self) -> None:
        self.rig.submit(JOB, stored_job())
        self.cancel()
        self.rig.begin_term()
        self.rig.hold_all()
        self.rig.round()
        self.assertEqual([], self.worker.started)


class TestCleaning(TestCase):
    """Cancels of jobs that never existed do not stay in the store."""

    def setUp(self) -> None:
        super().setUp()
        clock = virtual_clock()
        self.hub = clock.__enter__()
        self.addCleanup(clock.__exit__, None, None, None)
        self.rig = CellRig(ModelWorker('w1'))
        self.store = LateStore()
        self.jobs = self.rig.scheduler.jobs
        links = unlogged_links(self.store)
        upkeep = eventlet.spawn(RowUpkeep(links, self.jobs).run)
        self.addCleanup(upkeep.kill)

    def store_cancel(self) -> None:
        """Store a cancel and show it to the scheduler."""
        self.store.rows_by_key[CANCEL_KEY] = Row(CANCEL_KEY, 1, 1)
        self.jobs.apply_job_row(
            self.store.rows_by_key[CANCEL_KEY], self.hub.now
        )

    def test_deleted_after_its_time(self) -> None:
        """Guards against rows that stay for ever."""
        self.store_cancel()
        eventlet.sleep(_KEEP_S)
        self.assertIn(CANCEL_KEY, self.store.rows_by_key)
        eventlet.sleep(_SETTLE_S)
        self.assertNotIn(CANCEL_KEY, self.store.rows_by_key)
        self.assertFalse(self.jobs.rows.is_cancelled(JOB))

    def test_id_can_be_used_after_that(self) -> None:
        """Guards against a job that ends as cancelled long after the cancel."""
        self.store_cancel()
        eventlet.sleep(_KEEP_S + _SETTLE_S)
        row = Row(JOB_KEY, 9, msgspec.to_builtins(stored_job()))
        self.jobs.apply_job_row(row, self.hub.now)
        job = self.rig.scheduler.tracker.jobs_by_id[JOB]
        self.assertFalse(job.state.is_final)

    def test_row_that_has_changed(self) -> None:
        cancels = MarkCleaner.for_cancels(_KEEP_S)
        cancels.add(JOB, 7, 100)
        self.assertEqual([], cancels.due(100 + _KEEP_S))
        transaction, job_ids = cancels.due(101 + _KEEP_S)[0]
        self.assertEqual((CANCEL_KEY,), transaction.deletes)
        cancels.conflicted(job_ids, (Row(CANCEL_KEY, 8),))
        self.assertEqual([], cancels.due(101 + _KEEP_S))

    def test_cancel_of_a_known_job(self) -> None:
        """Guards against a cancel that is deleted before its job is final."""
        row = Row(JOB_KEY, 1, msgspec.to_builtins(stored_job()))
        self.jobs.apply_job_row(row, self.hub.now)
        self.store_cancel()
        due_s = self.hub.now + _KEEP_S + 1
        self.assertEqual([], self.jobs.lone_cancels.due(due_s))
