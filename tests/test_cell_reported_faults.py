"""Reproduces faults that operators of similar systems have reported."""

from io import BytesIO

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from apricotlead.coordination.cell.job_rows import MarkCleaner, job_key
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.platform.configuration import ConfigError, decode_config
from apricotlead.platform.workers import decode_worker
from apricotlead.protocol.cell_jobs import StepSpec, StoredJob
from apricotlead.protocol.cell_workers import RunningTask
from apricotlead.protocol.table import Row
from apricotlead.transport.cell_peers import PeerApplication
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
OTHER_JOB = '00000000000000bb'
TASK = f'{JOB}.0.0.0'
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=12,
)


class TestSilentWorkers(TestCase):
    """A worker that reports late keeps its runs."""

    def setUp(self) -> None:
        super().setUp()
        self.workers = [ModelWorker('w1'), ModelWorker('w2')]
        self.rig = CellRig(*self.workers)
        spec = StepSpec(1, SMALL, estimated_ms=8000)
        self.rig.submit(JOB, stored_job(spec))
        self.rig.round()
        self.rig.hold_all()
        self.busy = next(each for each in self.workers if each.started)

    @property
    def starts(self) -> int:
        return sum(len(worker.started) for worker in self.workers)

    @property
    def stops(self) -> list[object]:
        return self.rig.scheduler.starts.stops_due(self.rig.now)

    def test_silence_within_the_lease(self) -> None:
        self.busy.is_reachable = False
        self.rig.pass_time(4)
        self.busy.is_reachable = True
        self.rig.pass_time(0.5)
        self.assertEqual((1, []), (self.starts, self.stops))

    def test_silence_around_a_takeover(self) -> None:
        self.busy.is_reachable = False
        self.rig.pass_time(1)
        self.rig.take_over()
        self.rig.pass_time(2)
        self.busy.is_reachable = True
        self.rig.pass_time(0.5)
        self.assertEqual((1, []), (self.starts, self.stops))

    def test_report_that_is_handled_late(self) -> None:
        """The scheduler was paused between the answer and its handling."""
        listed = (RunningTask(TASK, 1, '', 40.0),)
        self.rig.scheduler.workers.hold_order(
            self.busy.entry.worker_id, self.rig.now
        )
        sent_s = self.rig.now
        report = msgspec.structs.replace(
            self.busy.report(sent_s + 0.01), running=listed
        )
        for handled_s in (sent_s + 0.02, sent_s + 9):
            self.rig.scheduler.workers.hold_answered(
                self.busy.entry.worker_id, report, sent_s, handled_s
            )
        self.assertEqual([], self.stops)


class TestHandover(TestCase):
    """A former scheduler cannot send orders without a journal write."""

    def test_former_scheduler_starts_nothing(self) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        former = rig.scheduler
        row = rig.submit(JOB, stored_job())
        rig.take_over()
        former.plan(rig.now, [])
        batch, _ = former.take_batch(rig.now)
        check = batch.transaction.checks[0]
        self.assertNotEqual(rig.rows_by_key[check.key].version, check.version)
        rig.scheduler.jobs.apply_job_row(row, rig.now)
        rig.round()
        self.assertEqual(1, len(worker.started))

    def test_orders_of_the_successor_carry_a_later_epoch(self) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job())
        rig.round()
        rig.take_over()
        rig.submit(OTHER_JOB, stored_job())
        rig.round()
        first, second = worker.started
        self.assertLess(first.epoch, second.epoch)


class TestPausedScheduler(TestCase):
    """A start or a grant that expired during a pause is not sent."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1')
        self.rig = CellRig(self.worker)

    def test_journaled_start(self) -> None:
        self.rig.submit(JOB, stored_job())
        self.rig.scheduler.plan(self.rig.now, [])
        starts = self.rig.journal()
        self.rig.now += 8
        for start in starts:
            self.rig.send(start)
        self.assertEqual([], self.worker.started)

    def test_grant(self) -> None:
        """No lease is extended without a renewal after the pause."""
        self.rig.now += CellSettings().leases.longest_s
        scheduler = self.rig.scheduler
        lease = scheduler.tracker.workers_by_id['w1'].lease
        renewed_s = scheduler.workers.renewed_s
        self.assertIsNone(lease.deadline(self.rig.now, renewed_s))


class TestMalformedInput(TestCase):
    """A malformed row or message does not affect any other."""

    def notes(self, rig: CellRig) -> list[str]:
        return [kind for kind, _ in rig.scheduler.tracker.notes]

    @given(JSON)
    def test_job_row(self, value: object) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.scheduler.jobs.apply_job_row(Row(job_key(JOB), 9, value), rig.now)
        rig.submit(OTHER_JOB, stored_job())
        rig.round()
        self.assertEqual(1, len(worker.started))

    def test_job_row_without_submission(self) -> None:
        rig = CellRig(ModelWorker('w1'))
        row = Row(job_key(JOB), 9, msgspec.to_builtins(stored_job()))
        row.value.pop('submission')
        rig.scheduler.jobs.apply_job_row(row, rig.now)
        self.assertIn('row unreadable', self.notes(rig))

    @given(JSON)
    def test_progress_row(self, value: object) -> None:
        """Otherwise each term would fail to load and no other job would run."""
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job())
        key = f'{PROGRESS_PREFIX}{JOB}'
        rig.rows_by_key[key] = Row(key, 9, value)
        rig.take_over()
        rig.submit(OTHER_JOB, stored_job())
        rig.round()
        self.assertIn(
            f'{OTHER_JOB}.0.0.0', [order.task for order in worker.started]
        )

    def test_progress_of_other_steps(self) -> None:
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB, stored_job())
        key = f'{PROGRESS_PREFIX}{JOB}'
        progress = [[[0, 5, [], 0]], 'running', 0, False]
        rig.rows_by_key[key] = Row(key, 9, progress)
        rig.take_over()
        self.assertIn('row unreadable', self.notes(rig))
        self.assertNotIn(JOB, rig.scheduler.tracker.jobs_by_id)

    @given(JSON)
    def test_registration(self, value: object) -> None:
        decode_worker(Row('servers//w1', 1, value))

    @given(JSON)
    def test_configuration(self, value: object) -> None:
        try:
            decode_config(Row('op//config', 1, value))
        except ConfigError as error:
            self.assertIn('op//config', str(error))

    @given(st.binary(max_size=40) | st.just(b'[' * 100000))
    def test_call_of_a_peer(self, body: bytes) -> None:
        logged: list[str] = []
        answers: list[str] = []
        peers = PeerApplication(
            lambda call: None,
            lambda row: False,
            lambda call: None,
            lambda question: None,
            lambda kind, **fields: logged.append(kind),
        )

        def note_status(status: str, headers: object) -> None:
            answers.append(status)

        for path in ('scheduler', 'job', 'store', 'advice'):
            environ = {
                'PATH_INFO': f'/v1/cell/{path}',
                'CONTENT_LENGTH': str(len(body)),
                'wsgi.input': BytesIO(body),
            }
            peers(environ, note_status)
        self.assertEqual(4, len(answers))
        self.assertEqual(answers.count('400 Bad Request'), len(logged))
        self.assertNotIn('200 OK', answers[:2])


class TestRestartedScheduler(TestCase):
    """A successor does not use a worker that was removed."""

    def test_removed_worker(self) -> None:
        removed, stays = ModelWorker('w1'), ModelWorker('w2')
        rig = CellRig(removed, stays)
        rig.scheduler.workers.mark_unlisted('w1')
        rig.workers_by_id.pop('w1')
        rig.take_over()
        for number in range(10, 50):
            rig.submit(f'00000000000000{number}', stored_job())
        rig.round()
        self.assertEqual([], removed.started)
        self.assertEqual(16, len(stays.started))

    def test_worker_with_runs_of_a_former_term(self) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job())
        rig.round()
        rig.workers_by_id.pop('w1')
        rig.take_over()
        rig.submit(OTHER_JOB, stored_job())
        rig.round()
        self.assertEqual(1, len(worker.started))


class TestRefusals(TestCase):
    """A refused job does not run, even if its write takes effect later."""

    def refuse(self, rig: CellRig) -> Row:
        refusal = StoredJob('lookups', '', 'clerks', 0, is_refused=True)
        return rig.submit(JOB, refusal)

    def test_row_of_a_refusal_is_no_job(self) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        self.refuse(rig)
        rig.take_over()
        rig.round()
        self.assertEqual([], worker.started)

    def test_job_that_is_accepted_after_a_refusal_runs(self) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        self.refuse(rig)
        rig.submit(JOB, stored_job())
        rig.round()
        self.assertEqual(1, len(worker.started))
        self.assertEqual([], rig.scheduler.jobs.refusals.due(rig.now + 99))

    def test_rows_are_deleted_when_due(self) -> None:
        refusals = MarkCleaner.for_refusals()
        refusals.add(JOB, 7, 100)
        self.assertEqual([], refusals.due(101))
        transaction, job_ids = refusals.due(130)[0]
        self.assertEqual((job_key(JOB),), transaction.deletes)
        self.assertEqual(7, transaction.checks[0].version)
        refusals.written(job_ids)
        self.assertEqual([], refusals.due(130))

    def test_row_of_an_accepted_job_is_left_alone(self) -> None:
        refusals = MarkCleaner.for_refusals()
        refusals.add(JOB, 7, 100)
        refusals.conflicted([JOB], (Row(job_key(JOB), 8),))
        self.assertEqual([], refusals.due(130))
