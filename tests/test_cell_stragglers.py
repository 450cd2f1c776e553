"""Tests for workers that are slow, hang or differ in speed."""

from testtools import TestCase

from apricotlead.coordination.cell.reconciliation import reconcile
from apricotlead.coordination.cell.stragglers import is_straggler
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import (
    EndKind,
    HoldReport,
    RunningTask,
)
from apricotlead.state.cell_jobs import JobRun, TaskPhase, TaskState
from apricotlead.state.estimate_errors import EstimateErrors
from apricotlead.state.worker_speed import WorkerSpeed
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'


def running_task(
    progress: float = 0,
    progress_s: float = 0,
    **changes: object,
) -> TaskState:
    """Return a task with an estimate of 1 s that started at time 0."""
    spec = StepSpec(1, SMALL, estimated_ms=1000, **changes)
    job = JobRun(JOB, stored_job(spec), 0, 1)
    task = job.open_occurrence()[0].tasks[0]
    task.phase = TaskPhase.RUNNING
    task.run = 1
    task.is_start_known = True
    task.first_progress = 0
    task.progress = progress
    task.progress_s = progress_s
    return task


def is_replaced(
    task: TaskState,
    now: float,
    slowness: float = 1,
    errors: EstimateErrors | None = None,
) -> bool:
    """Return whether a task on a worker of known slowness is a straggler."""
    speed = WorkerSpeed(slowness, 9)
    return is_straggler(task, speed, errors or EstimateErrors(), now)


class TestStragglers(TestCase):
    """Runs on slow or stuck workers are restarted elsewhere."""

    def test_run_at_ordinary_speed_continues(self) -> None:
        task = running_task(60, 1)
        self.assertFalse(is_replaced(task, 1))

    def test_run_at_a_sixth_of_the_speed_is_replaced(self) -> None:
        task = running_task(16, 1)
        self.assertTrue(is_replaced(task, 1))

    def test_stuck_run_is_replaced(self) -> None:
        task = running_task(40, 0.5)
        self.assertTrue(is_replaced(task, 4))

    def test_estimate_that_is_too_low_replaces_nothing(self) -> None:
        """Finished tasks that took as long show that the estimate is wrong."""
        task = running_task(16, 1)
        task.step.longest_full_run_s = 6
        self.assertFalse(is_replaced(task, 1))

    def test_long_running_task_is_never_replaced(self) -> None:
        task = running_task(long_running=True)
        self.assertFalse(is_replaced(task, 100))


class TestUnreliableEstimates(TestCase):
    """Pattern: callers whose estimates are off by a factor, either way.

    Guards against stopping gangs on healthy workers: some were stopped up to
    six times, at 78 percent of their work (trapwerk-sched, trouble-3).
    """

    def setUp(self) -> None:
        super().setUp()
        self.errors = EstimateErrors()
        queue = running_task().step.job.stored.queue
        for _ in range(10):
            self.errors.observe(queue, 4, 1)
            self.errors.observe(queue, 1, 3)

    def test_gang_that_takes_six_times_its_estimate_continues(self) -> None:
        task = running_task(16, 1, gang=True)
        self.assertFalse(is_replaced(task, 1))

    def test_gang_on_a_known_slow_worker_is_replaced(self) -> None:
        task = running_task(16, 1, gang=True)
        self.assertTrue(is_replaced(task, 1, slowness=5))

    def test_nearly_done_gang_is_not_replaced(self) -> None:
        task = running_task(90, 1, gang=True)
        self.assertFalse(is_replaced(task, 1, slowness=5))

    def test_stuck_gang_is_replaced(self) -> None:
        task = running_task(40, 0.5, gang=True)
        self.assertTrue(is_replaced(task, 4))

    def test_task_of_an_unreliable_queue_continues(self) -> None:
        """Six times the estimate is usual in this queue."""
        task = running_task(16, 1)
        self.assertTrue(is_replaced(task, 1))
        self.assertFalse(is_replaced(task, 1, errors=self.errors))

    def test_errors_are_kept_for_the_next_term(self) -> None:
        rig = CellRig(ModelWorker('w1'))
        rig.scheduler.tracker.estimate_errors.observe('lookups', 5, 1)
        before = rig.scheduler.tracker.estimate_errors.factor('lookups', 1)
        rig.pass_time(6)
        rig.take_over()
        after = rig.scheduler.tracker.estimate_errors.factor('lookups', 1)
        self.assertAlmostEqual(before, after, delta=0.01)
        self.assertGreater(after, EstimateErrors().factor('lookups', 1))


class TestRunsOfAPreviousTerm(TestCase):
    """Pattern: a change of scheduler while tasks run.

    The new scheduler does not know when the runs started. Guards against
    taking these runs, and so their workers, for very fast.
    """

    def test_run_of_a_previous_term_is_not_counted(self) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job(StepSpec(1, SMALL, estimated_ms=4000)))
        rig.round()
        rig.pass_time(4)
        rig.take_over()
        worker.end(f'{JOB}.0.0.0')
        rig.hold_all()
        rig.round()
        self.assertEqual('completed', rig.state(JOB))
        speed = rig.scheduler.tracker.workers_by_id['w1'].speed
        self.assertEqual((1, 0), (speed.slowness, speed.count))
        self.assertEqual({}, rig.scheduler.tracker.estimate_errors.by_queue)


class TestSpeeds(TestCase):
    """Urgent work goes to fast workers, also after a scheduler change."""

    def test_single_outlier_changes_little(self) -> None:
        speed = WorkerSpeed(1.0, 20)
        speed.observe(8, 1)
        self.assertLess(speed.slowness, 1.5)

    def test_speed_converges(self) -> None:
        speed = WorkerSpeed()
        for _ in range(30):
            speed.observe(1.25, 1)
        self.assertAlmostEqual(1.25, speed.slowness, delta=0.05)

    def test_lookup_goes_to_the_fast_worker(self) -> None:
        slow, fast = ModelWorker('w1'), ModelWorker('w2')
        rig = CellRig(slow, fast)
        rig.scheduler.tracker.workers_by_id['w2'].speed = WorkerSpeed(0.8, 9)
        rig.pass_time(6)
        rig.take_over()
        spec = StepSpec(1, SMALL, estimated_ms=4000)
        rig.submit(JOB, stored_job(spec, stretch=1.2))
        rig.round()
        self.assertEqual([], slow.started)
        self.assertEqual(1, len(fast.started))


class TestWrongEstimates(TestCase):
    """A job whose estimate is far too low must not be restarted forever."""

    def test_equal_speed_on_two_workers_ends_the_restarts(self) -> None:
        """Guards against endless restarts.

        One task was stopped on 13 workers in turn (inc-b8f0).
        """
        rig = CellRig(*(ModelWorker(f'w{number}') for number in range(4)))
        spec = StepSpec(1, SMALL, estimated_ms=100)
        rig.submit(JOB, stored_job(spec))
        stops = 0
        for _ in range(4):
            rig.round()
            rig.hold_all()
            rig.now += 1
            stops += self.report_half_done(rig)
        self.assertLessEqual(stops, 2)

    def report_half_done(self, rig: CellRig) -> int:
        """Report the run as half done after 1 s; return 1 if it is stopped."""
        task = rig.scheduler.tracker.task(f'{JOB}.0.0.0')
        worker = rig.workers_by_id[task.worker_id]
        state = rig.scheduler.tracker.workers_by_id[task.worker_id]
        listed = RunningTask(task.name, task.run, '', 50)
        report = HoldReport(rig.now * 1000, (listed,), ())
        reconcile(rig.scheduler.tracker, state, report, rig.now, rig.now)
        if not rig.scheduler.starts.stops_due(rig.now):
            return 0
        worker.end(task.name, EndKind.STOPPED)
        rig.hold_all()
        return 1
