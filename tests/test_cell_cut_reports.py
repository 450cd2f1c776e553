"""Reports and pages that are cut short do not say what is missing."""

from collections import Counter

from testtools import TestCase

from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import EndKind
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
TASKS = 8
LAST_INDEX = TASKS - 1


class TestCutReports(TestCase):
    """A worker lists a limited number of ends at a time, oldest first.

    Runs that had ended beyond the limit were in neither list, counted as
    vanished, and began again although they were done (TWICE).
    """

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1')
        self.worker.ends_per_report = 3
        self.rig = CellRig(self.worker)
        self.rig.submit(JOB, stored_job(StepSpec(TASKS, SMALL)))
        self.rig.round()
        self.rig.hold('w1')

    def end_all(self) -> None:
        for task in tuple(self.worker.running_by_task):
            self.worker.end(task)

    def assert_each_ran_once(self) -> None:
        """Run until the job is complete, and count the starts."""
        self.rig.pass_time(5)
        self.assertEqual('completed', self.rig.state(JOB))
        starts = Counter(order.task for order in self.worker.started)
        self.assertEqual({1}, set(starts.values()))
        self.assertEqual(TASKS, len(starts))

    def test_ends_that_cannot_be_acknowledged_yet(self) -> None:
        """The store is down, so that nothing is journaled or acknowledged."""
        self.end_all()
        for _ in range(3):
            self.rig.now += 0.5
            self.rig.hold('w1')
        self.assert_each_ran_once()

    def test_first_report_to_a_successor(self) -> None:
        self.end_all()
        self.rig.take_over()
        self.assert_each_ran_once()

    def test_stop_that_arrives_after_the_end(self) -> None:
        tracker = self.rig.scheduler.tracker
        last = f'{JOB}.0.0.{LAST_INDEX}'
        tracker.stop(tracker.task(last))
        self.end_all()
        tracker.stop_acked('w1', last, 1, self.rig.now)
        self.rig.now += 0.5
        self.rig.hold('w1')
        self.assert_each_ran_once()

    def test_run_that_is_missing_from_a_full_report(self) -> None:
        """It starts again, also after reports that were cut."""
        lost = f'{JOB}.0.0.0'
        self.worker.running_by_task.pop(lost)
        self.end_all()
        self.rig.pass_time(5)
        starts = Counter(order.task for order in self.worker.started)
        self.assertEqual(2, starts.pop(lost))
        self.assertEqual({1}, set(starts.values()))

    def test_restored_run_that_is_missing_from_a_full_report(self) -> None:
        lost = f'{JOB}.0.0.0'
        self.worker.running_by_task.pop(lost)
        self.end_all()
        self.rig.take_over()
        self.rig.pass_time(5)
        starts = Counter(order.task for order in self.worker.started)
        self.assertEqual(2, starts[lost])

    def test_stray_run_that_has_ended(self) -> None:
        """The list of running tasks is never cut, so its room is free."""
        self.worker.running_by_task['00000000000000bb.0.0.0'] = 1
        self.rig.hold('w1')
        self.worker.running_by_task.pop('00000000000000bb.0.0.0')
        for task in tuple(self.worker.running_by_task)[:5]:
            self.worker.end(task, EndKind.FAILED)
        self.rig.hold('w1')
        state = self.rig.scheduler.tracker.workers_by_id['w1']
        self.assertEqual({}, state.strays_by_run)
