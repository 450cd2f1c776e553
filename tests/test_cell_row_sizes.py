"""Tests of the sizes of rows: no write is larger than the store takes.

Pattern: a job with so many tasks that the progress of all of them exceeds a
row. See ``docs/incidents/oversized-rows.md``.
"""

from string import ascii_lowercase

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from apricotlead.coordination.cell.acceptance import check_row_size
from apricotlead.coordination.cell.job_rows import job_key
from apricotlead.coordination.cell.lease_rows import LEASES_PREFIX
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.coordination.cell.run_tracker import MAX_CHECKPOINT_LENGTH
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.speed_rows import SPEEDS_KEY
from apricotlead.protocol.cell_jobs import JobProgress, StepSpec
from apricotlead.protocol.cell_workers import EndedTask, EndKind
from apricotlead.protocol.errors import BadInput
from apricotlead.protocol.resources import Resources
from apricotlead.state.worker_speed import WorkerSpeed
from tests.cell_rig import CellRig, ModelWorker, stored_job

ROW_BYTES = 65536
_MAX_TRANSACTION_BYTES = 1000000
_MAX_ENTRIES = 100
JOB = '00000000000000aa'
SMALL_JOB = '00000000000000bb'
MAIN_KEY = f'{PROGRESS_PREFIX}{JOB}'
_TINY = Resources(1, 1)
_ROOMY = Resources(10**6, 10**6)
# Three rows of 65,536 bytes in base64.
_WIDE = 1400
# The longest key that the platform allows.
_MAX_ID_LENGTH = 200


class LimitedRig(CellRig):
    """A cell whose store takes no larger rows and writes than the platform's."""

    def __init__(self, *workers: ModelWorker, row_bytes: int = ROW_BYTES):
        """Limit the base64 text of each value to ``row_bytes``."""
        self.row_bytes = row_bytes
        self.written: list[str] = []
        super().__init__(*workers, settings=CellSettings(row_bytes=row_bytes))

    def write(self, transaction: object) -> None:
        """Check the limits, and apply a transaction."""
        sizes_by_key = {
            put.key: len(msgspec.json.encode(put.value)) * 4 / 3
            for put in transaction.puts
        }
        assert max(sizes_by_key.values()) <= self.row_bytes, sizes_by_key
        assert sum(sizes_by_key.values()) <= _MAX_TRANSACTION_BYTES
        entries = (
            transaction.checks,
            transaction.puts,
            transaction.deletes,
        )
        assert sum(map(len, entries)) <= _MAX_ENTRIES
        self.written = list(sizes_by_key)
        super().write(transaction)

    def progress_keys(self, job_id: str = JOB) -> list[str]:
        """Return the keys of a job's progress rows."""
        return [row.key for row in self.rows(f'{PROGRESS_PREFIX}{job_id}')]

    def runs(self) -> dict[str, tuple[int, str]]:
        """Return the run and the worker of each placed task."""
        return {
            task.name: (task.run, task.worker_id)
            for job in self.scheduler.tracker.jobs_by_id.values()
            for task in job.tasks()
            if task.is_placed
        }

    def journal_all(self) -> None:
        """Write the journal until nothing has changed."""
        while self.scheduler.tracker.dirty_job_ids:
            self.journal()


def roomy_worker(worker_id: str = 'i-7f3a91c200') -> ModelWorker:
    """Return a worker with room for all tasks of the tests."""
    return ModelWorker(worker_id, capacity=_ROOMY, born_ms=1733558400000)


def stop_runs(worker: ModelWorker, most: int, checkpoint: str) -> None:
    """End some runs of a worker as stopped, each with a checkpoint."""
    for name in tuple(worker.running_by_task)[:most]:
        run = worker.running_by_task.pop(name)
        number = len(worker.ended) + 1
        worker.ended.append(
            EndedTask(number, name, run, EndKind.STOPPED, checkpoint)
        )


def _task_name(number: int) -> str:
    return f'{JOB}.0.0.{number}'


class TestWideJobs(TestCase):
    """A job's progress is divided among rows that the store takes."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = roomy_worker()
        self.rig = LimitedRig(self.worker)

    def start(self, task_count: int = _WIDE) -> None:
        """Start a wide job, and a small one beside it."""
        self.rig.submit(JOB, stored_job(StepSpec(task_count, _TINY)))
        self.rig.submit(SMALL_JOB, stored_job(StepSpec(1, _TINY)))
        self.rig.round()

    def end_all(self) -> None:
        for task in tuple(self.worker.running_by_task):
            self.worker.end(task)
        self.rig.pass_time(3)

    def test_wide_job_is_written(self) -> None:
        """Guards against a write that is refused and repeated for ever (LOST)."""
        self.start()
        self.assertEqual(_WIDE + 1, len(self.worker.started))
        self.end_all()
        self.assertEqual('completed', self.rig.state(JOB))
        self.assertEqual('completed', self.rig.state(SMALL_JOB))

    def test_successor_restores_all_runs(self) -> None:
        """Guards against tasks of further rows that start again (TWICE)."""
        self.start()
        runs = self.rig.runs()
        self.rig.begin_term()
        self.assertEqual(runs, self.rig.runs())
        self.rig.take_over()
        self.rig.pass_time(1)
        self.assertEqual(_WIDE + 1, len(self.worker.started))

    def test_one_end_changes_one_row(self) -> None:
        """Guards against writes of the whole job for each end."""
        self.start()
        # The main row changes once, as the job has begun.
        for number in (0, _WIDE - 1):
            self.worker.end(_task_name(number))
            self.rig.hold_all()
            self.rig.journal()
        written = [key for key in self.rig.written if JOB in key]
        self.assertEqual(1, len(written))
        self.assertNotEqual(MAIN_KEY, written[0])

    def test_further_rows_of_a_final_job_are_deleted(self) -> None:
        """Guards against rows that stay in the store for ever."""
        self.start()
        self.assertLess(1, len(self.rig.progress_keys()))
        self.end_all()
        self.rig.pass_time(2)
        self.assertEqual([MAIN_KEY], self.rig.progress_keys())

    def test_rows_that_a_former_term_left_are_deleted(self) -> None:
        """Guards against the same where a term ends before it deletes them."""
        self.start()
        further = [key for key in self.rig.progress_keys() if key != MAIN_KEY]
        left = {key: self.rig.rows_by_key[key] for key in further}
        self.end_all()
        self.rig.pass_time(2)
        for is_known in (True, False):
            if not is_known:
                self.rig.rows_by_key.pop(job_key(JOB))
                self.rig.rows_by_key.pop(MAIN_KEY)
            self.rig.rows_by_key.update(left)
            self.rig.take_over()
            self.rig.pass_time(1)
            self.assertFalse(left.keys() & self.rig.rows_by_key.keys())

    def test_row_that_names_no_part(self) -> None:
        """Guards against a term that ends at another program's row."""
        self.start()
        self.rig.write_row(f'{MAIN_KEY}~x', 1)
        runs = self.rig.runs()
        self.rig.begin_term()
        self.assertEqual(runs, self.rig.runs())

    def test_rows_over_several_writes(self) -> None:
        """Guards against runs that begin before their row is durable (TWICE).

        A term may end between any two of the writes.
        """
        for write_count in range(1, 12):
            worker = roomy_worker('w' * _MAX_ID_LENGTH)
            rig = LimitedRig(worker)
            for number in range(5):
                job_id = str(number).zfill(16)
                rig.submit(job_id, stored_job(StepSpec(1500, _TINY)))
            rig.scheduler.plan(rig.now, [])
            for _ in range(write_count):
                for start in rig.journal():
                    rig.send(start)
            sent = set(worker.running_by_task)
            rig.begin_term()
            self.assertEqual(sent, set(rig.runs()))
            rig.take_over()
            rig.pass_time(2)
            started = [order.task for order in worker.started]
            self.assertEqual(len(set(started)), len(started))
            self.assertEqual(7500, len(started))


class TestAnyProgress(TestCase):
    """Rows fit whatever a job's progress consists of."""

    @given(
        counts=st.lists(st.integers(1, 400), min_size=1, max_size=3),
        id_length=st.integers(1, _MAX_ID_LENGTH),
        checkpoint=st.text(max_size=300),
        row_bytes=st.sampled_from((6000, 20000, ROW_BYTES)),
        ended=st.integers(0, 400),
        is_gang=st.booleans(),
    )
    def test_restored_as_it_was(
        self,
        counts: list[int],
        id_length: int,
        checkpoint: str,
        row_bytes: int,
        ended: int,
        *,
        is_gang: bool,
    ) -> None:
        """Guards against rows that are too large, or incomplete, at any width."""
        worker = roomy_worker('w' * id_length)
        rig = LimitedRig(worker, row_bytes=row_bytes)
        steps = [StepSpec(count, _TINY, gang=is_gang) for count in counts]
        rig.submit(JOB, stored_job(*steps))
        rig.round()
        rig.journal_all()
        stop_runs(worker, ended, checkpoint)
        rig.hold_all()
        rig.journal_all()
        job = rig.scheduler.tracker.jobs_by_id[JOB]
        before = [_content(task) for task in job.tasks()]
        rig.begin_term()
        job = rig.scheduler.tracker.jobs_by_id[JOB]
        self.assertEqual(before, [_content(task) for task in job.tasks()])


def _content(task: object) -> tuple[object, ...]:
    checkpoint = '' if task.is_placed else task.checkpoint
    return task.name, task.run, task.worker_id, checkpoint, task.is_placed


class TestSplitRows(TestCase):
    """A row that grows too large is split while the job runs."""

    def test_crash_between_the_writes_of_a_split(self) -> None:
        """Guards against tasks that neither of the rows has (TWICE)."""
        worker = roomy_worker()
        rig = LimitedRig(worker, row_bytes=4000)
        rig.submit(JOB, stored_job(StepSpec(100, _TINY)))
        rig.round()
        rig.journal_all()
        before = dict(rig.rows_by_key)
        stop_runs(worker, 100, 'c' * 90)
        rig.hold_all()
        batch, _ = rig.scheduler.take_batch(rig.now)
        self.assertLess(2, len(batch.writes))
        for count in range(len(batch.writes) + 1):
            rig.rows_by_key = dict(before)
            for write in batch.writes[:count]:
                rig.write_row(write.put.key, write.put.value)
            rig.begin_term()
            tasks = rig.scheduler.tracker.jobs_by_id[JOB].tasks()
            self.assertEqual({1}, {task.run for task in tasks})
            is_any_placed = any(task.is_placed for task in tasks)
            self.assertEqual(count < len(batch.writes), is_any_placed)


class TestCheckpoints(TestCase):
    """A checkpoint may be as long as its worker likes."""

    def test_too_long_for_a_row(self) -> None:
        """Guards against a row that no division makes small enough (LOST)."""
        worker = roomy_worker()
        rig = LimitedRig(worker)
        rig.submit(JOB, stored_job(StepSpec(2, _TINY)))
        rig.round()
        name = _task_name(0)
        stop_runs(worker, 2, '\x01' * ROW_BYTES)
        rig.hold_all()
        rig.journal()
        self.assertEqual('', rig.scheduler.tracker.task(name).checkpoint)
        notes = rig.scheduler.tracker.notes
        self.assertIn('checkpoint too long', [kind for kind, _ in notes])

    def test_longest_one_that_is_kept(self) -> None:
        """Guards against a limit that still does not fit when encoded."""
        rig = LimitedRig(roomy_worker())
        rig.submit(JOB, stored_job(StepSpec(2, _TINY)))
        for task in rig.scheduler.tracker.jobs_by_id[JOB].tasks():
            rig.scheduler.tracker.save_checkpoint(
                task, '\x01' * MAX_CHECKPOINT_LENGTH
            )
            rig.scheduler.tracker.mark_dirty(task.step.job)
        rig.journal()


def learn_speeds(rig: CellRig) -> None:
    """Let the scheduler know the speeds of all workers."""
    for worker in rig.scheduler.tracker.workers_by_id.values():
        worker.speed = WorkerSpeed(2.5, 7)


class TestOtherRows(TestCase):
    """Rows that name all workers are divided as well."""

    def workers(self, count: int) -> list[ModelWorker]:
        return [
            ModelWorker(str(number).zfill(5).rjust(_MAX_ID_LENGTH, 'w'))
            for number in range(count)
        ]

    def test_leases_of_workers_with_long_ids(self) -> None:
        """Guards against a row of leases that is too large (LOST)."""
        rig = LimitedRig(*self.workers(500))
        self.assertLess(2, len(rig.rows(LEASES_PREFIX)))

    def test_speeds_of_many_workers(self) -> None:
        """Guards against one row for the speeds of all workers (LOST)."""
        rig = LimitedRig(*self.workers(400))
        learn_speeds(rig)
        rig.now += 6
        rig.journal()
        self.assertLess(1, len(rig.rows(SPEEDS_KEY)))
        rig.begin_term()
        workers = rig.scheduler.tracker.workers_by_id.values()
        self.assertEqual({7}, {worker.speed.count for worker in workers})

    def test_speeds_of_fewer_workers_than_before(self) -> None:
        """Guards against a row that keeps old values for ever."""
        rig = LimitedRig(*self.workers(400))
        learn_speeds(rig)
        rig.now += 6
        rig.journal()
        rig.begin_term()
        workers = rig.scheduler.tracker.workers_by_id
        for worker_id in tuple(workers)[1:]:
            workers[worker_id].speed = WorkerSpeed()
        rig.now += 6
        rig.journal()
        sizes = [len(row.value) for row in rig.rows(SPEEDS_KEY)]
        self.assertEqual(1, sum(sizes))


class TestSubmissions(TestCase):
    """A job that can never be stored is refused once and for all."""

    def test_many_steps(self) -> None:
        """Guards against a rejection with a time to come back."""
        steps = tuple(StepSpec(1, _ROOMY, 1e6) for _ in range(900))
        check_row_size(stored_job(*steps[:600]), ROW_BYTES)
        error = self.assertRaises(
            BadInput, check_row_size, stored_job(*steps), ROW_BYTES
        )
        self.assertIn('65536', str(error))

    def test_long_payload(self) -> None:
        job = stored_job(StepSpec(1))
        submission = msgspec.structs.replace(
            job.submission, payload=ascii_lowercase * 3000
        )
        job = msgspec.structs.replace(job, submission=submission)
        self.assertRaises(BadInput, check_row_size, job, ROW_BYTES)


class TestOlderRows(TestCase):
    """Rows of builds that wrote one row for each job."""

    def test_row_without_the_first_task(self) -> None:
        """Guards against a term that cannot read its predecessor's rows."""
        rig = LimitedRig(roomy_worker())
        rig.submit(JOB, stored_job(StepSpec(3, _TINY)))
        rig.round()
        value = rig.rows_by_key[MAIN_KEY].value
        self.assertEqual(0, value[0][0].pop())
        runs = rig.runs()
        rig.begin_term()
        self.assertEqual(runs, rig.runs())

    def test_row_that_lacks_tasks(self) -> None:
        """Guards against a job of which some tasks start again (TWICE)."""
        rig = LimitedRig(roomy_worker())
        rig.submit(JOB, stored_job(StepSpec(3, _TINY)))
        rig.round()
        row = rig.rows_by_key[MAIN_KEY]
        progress = msgspec.convert(row.value, JobProgress)
        progress.steps[0].tasks.pop()
        rig.write_row(MAIN_KEY, msgspec.to_builtins(progress))
        rig.begin_term()
        self.assertNotIn(JOB, rig.scheduler.tracker.jobs_by_id)
