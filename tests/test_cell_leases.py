"""Tests of the lease rows across takeovers and loss of contact."""

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
    """Records are written with renewals and read after a takeover."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1')
        self.rig = CellRig(self.worker, ModelWorker('w2'))

    def expiry_ms(self, worker_id: str = 'w1') -> float:
        return self.rig.rows_by_key[ROW].value[worker_id]

    def may_grant_lease(self, worker_id: str = 'w1') -> bool:
        workers_by_id = self.rig.scheduler.tracker.workers_by_id
        return workers_by_id[worker_id].may_grant_lease

    def lose_contact(self) -> None:
        """Isolate the first worker until its lease's expiry is recorded."""
        self.worker.is_reachable = False
        self.rig.pass_time(3)
        self.assertGreater(self.expiry_ms(), self.rig.store_ms)

    def test_unchanged_records_are_not_written(self) -> None:
        self.rig.journal()
        version = self.rig.rows_by_key[ROW].version
        self.rig.pass_time(20)
        self.assertEqual(version, self.rig.rows_by_key[ROW].version)

    def test_returning_worker_is_granted_after_the_write(self) -> None:
        self.lose_contact()
        self.worker.is_reachable = True
        self.rig.hold_all()
        self.assertFalse(self.may_grant_lease())
        self.assertTrue(self.rig.scheduler.has_changes(self.rig.now))
        self.rig.journal()
        self.assertTrue(self.may_grant_lease())

    def test_silent_worker_causes_no_writes(self) -> None:
        """Writes without effect would cost store calls."""
        self.lose_contact()
        self.assertFalse(self.rig.scheduler.has_changes(self.rig.now))

    def test_successor_grants_nothing_to_a_worker_recorded_as_silent(
        self,
    ) -> None:
        """The record survives a term that wrote no records."""
        self.lose_contact()
        self.rig.begin_term()
        self.rig.begin_term()
        self.worker.is_reachable = True
        self.rig.hold_all()
        self.assertFalse(self.may_grant_lease())
        self.assertTrue(self.may_grant_lease('w2'))
        self.rig.journal()
        self.assertTrue(self.may_grant_lease())

    def test_run_of_a_silent_worker_is_freed_at_the_recorded_expiry(
        self,
    ) -> None:
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        holder = self.rig.scheduler.tracker.task(TASK).worker_id
        self.rig.workers_by_id[holder].is_reachable = False
        self.rig.pass_time(4)
        expiry_s = self.expiry_ms(holder) / 1000
        self.rig.begin_term()
        self.rig.pass_time(expiry_s - self.rig.now - 0.5)
        task = self.rig.scheduler.tracker.task(TASK)
        self.assertEqual((1, holder), (task.run, task.worker_id))
        self.rig.pass_time(2)
        self.assertEqual(2, self.rig.scheduler.tracker.task(TASK).run)

    def test_successor_without_records_waits_for_the_longest_lease(
        self,
    ) -> None:
        """Without a record, the worker's last grant is unknown."""
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        holder = self.rig.scheduler.tracker.task(TASK).worker_id
        self.rig.workers_by_id[holder].is_reachable = False
        renewed_s = self.rig.owner.renewed_ms / 1000
        self.rig.rows_by_key.pop(ROW)
        self.rig.begin_term()
        self.rig.pass_time(renewed_s + TIMES.longest_s - self.rig.now)
        task = self.rig.scheduler.tracker.task(TASK)
        self.assertEqual((1, holder), (task.run, task.worker_id))

    def test_row_that_cannot_be_read_counts_as_missing(self) -> None:
        """Otherwise this and each later term would fail on it."""
        bad_values = ('text', {'w1': 'text'}, {'w1': [1, 2, 3]}, 7)
        for value in bad_values:
            self.rig.rows_by_key[ROW] = Row(ROW, self.rig.version, value)
            self.rig.begin_term()
            self.rig.hold_all()
            self.assertFalse(self.may_grant_lease())
            self.rig.journal()
            self.assertTrue(self.may_grant_lease())


class TestRowAssignment(TestCase):
    """The number of rows stays small as workers come and go."""

    def test_slots_of_removed_workers_are_reused(self) -> None:
        rig = CellRig(*(ModelWorker(f'w{number}') for number in range(500)))
        self.assertEqual(2, len(rig.rows(LEASES_PREFIX)))
        for number in range(450):
            worker = rig.scheduler.tracker.workers_by_id[f'w{number}']
            rig.scheduler.tracker.forget_worker(worker, rig.now)
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
