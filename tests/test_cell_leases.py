"""What the rows of leases tell a successor, over hand-overs and silence."""

from testtools import TestCase

from apricotlead.coordination.cell.lease_rows import LEASES_PREFIX
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.protocol.table import Row
from tests.cell_rig import CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
TASK = f'{JOB}.0.0.0'
TIMES = CellSettings().leases
ROW = f'{LEASES_PREFIX}0'


class TestLeaseRows(TestCase):
    """Records are written with renewals and read after a claim."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1')
        self.rig = CellRig(self.worker, ModelWorker('w2'))

    def over_ms(self, worker_id: str = 'w1') -> float:
        return self.rig.rows_by_key[ROW].value[worker_id]

    def may_grant_lease(self, worker_id: str = 'w1') -> bool:
        workers_by_id = self.rig.scheduler.book.workers_by_id
        return workers_by_id[worker_id].may_grant_lease

    def fall_silent(self) -> None:
        """Let the term write that the first worker is out of contact."""
        self.worker.is_reachable = False
        self.rig.pass_time(3)
        self.assertGreater(self.over_ms(), self.rig.store_ms)

    def test_calm_writes_hold_no_records(self) -> None:
        self.rig.journal()
        version = self.rig.rows_by_key[ROW].version
        self.rig.pass_time(20)
        self.assertEqual(version, self.rig.rows_by_key[ROW].version)

    def test_worker_that_is_back_is_granted_after_the_write(self) -> None:
        self.fall_silent()
        self.worker.is_reachable = True
        self.rig.hold_all()
        self.assertFalse(self.may_grant_lease())
        self.assertTrue(self.rig.scheduler.has_changes(self.rig.now))
        self.rig.journal()
        self.assertTrue(self.may_grant_lease())

    def test_silent_worker_causes_no_writes(self) -> None:
        """Each one without effect costs a call of the store."""
        self.fall_silent()
        self.assertFalse(self.rig.scheduler.has_changes(self.rig.now))

    def test_successor_grants_nothing_to_a_worker_called_silent(self) -> None:
        """Over two takeovers, of which the first wrote no records."""
        self.fall_silent()
        self.rig.begin_term()
        self.rig.begin_term()
        self.worker.is_reachable = True
        self.rig.hold_all()
        self.assertFalse(self.may_grant_lease())
        self.assertTrue(self.may_grant_lease('w2'))
        self.rig.journal()
        self.assertTrue(self.may_grant_lease())

    def test_run_of_a_silent_worker_is_freed_when_the_record_says(self) -> None:
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        holder = self.rig.scheduler.book.task(TASK).worker_id
        self.rig.workers_by_id[holder].is_reachable = False
        self.rig.pass_time(4)
        over_s = self.over_ms(holder) / 1000
        self.rig.begin_term()
        self.rig.pass_time(over_s - self.rig.now - 0.5)
        task = self.rig.scheduler.book.task(TASK)
        self.assertEqual((1, holder), (task.run, task.worker_id))
        self.rig.pass_time(2)
        self.assertEqual(2, self.rig.scheduler.book.task(TASK).run)

    def test_without_records_a_successor_waits_for_all_grants(self) -> None:
        """Nobody knows until when the worker was granted."""
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        holder = self.rig.scheduler.book.task(TASK).worker_id
        self.rig.workers_by_id[holder].is_reachable = False
        renewed_s = self.rig.owner.renewed_ms / 1000
        self.rig.rows_by_key.pop(ROW)
        self.rig.begin_term()
        self.rig.pass_time(renewed_s + TIMES.longest_s - self.rig.now)
        task = self.rig.scheduler.book.task(TASK)
        self.assertEqual((1, holder), (task.run, task.worker_id))

    def test_row_that_cannot_be_read_counts_as_missing(self) -> None:
        """A term that failed on it would fail again each time."""
        bad_values = ('text', {'w1': 'text'}, {'w1': [1, 2, 3]}, 7)
        for value in bad_values:
            self.rig.rows_by_key[ROW] = Row(ROW, self.rig.version, value)
            self.rig.begin_term()
            self.rig.hold_all()
            self.assertFalse(self.may_grant_lease())
            self.rig.journal()
            self.assertTrue(self.may_grant_lease())


class TestDivision(TestCase):
    """Workers come and go; the rows of a cell stay few."""

    def test_room_of_workers_that_left_is_used_again(self) -> None:
        rig = CellRig(*(ModelWorker(f'w{number}') for number in range(500)))
        self.assertEqual(2, len(rig.rows(LEASES_PREFIX)))
        for number in range(450):
            worker = rig.scheduler.book.workers_by_id[f'w{number}']
            rig.scheduler.book.forget_worker(worker, rig.now)
        for number in range(600, 900):
            entry = ModelWorker(f'w{number}').entry
            rig.scheduler.workers.update_worker(entry, rig.now)
        rig.now += 1
        rig.journal()
        self.assertEqual(2, len(rig.rows(LEASES_PREFIX)))

    def test_record_is_read_as_it_was_written(self) -> None:
        rig = CellRig(ModelWorker('w1'))
        row = rig.rows_by_key[ROW]
        self.assertEqual({'w1': 0}, row.value)
