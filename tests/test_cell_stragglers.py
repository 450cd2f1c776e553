"""Patterns of workers that are slow, stand still or differ in speed."""

from testtools import TestCase

from apricotlead.coordination.cell.listing import reconcile
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
    """Return a task of 1 s that began at time 0."""
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


def straggles(
    task: TaskState,
    now: float,
    slowness: float = 1,
    errors: EstimateErrors | None = None,
) -> bool:
    """Tell whether a task on a worker of known slowness is a straggler."""
    speed = WorkerSpeed(slowness, 9)
    return is_straggler(task, speed, errors or EstimateErrors(), now)


class TestStragglers(TestCase):
    """Runs on slow or stuck workers begin again elsewhere."""

    def test_run_at_an_ordinary_pace_goes_on(self) -> None:
        task = running_task(60, 1)
        self.assertFalse(straggles(task, 1))

    def test_run_at_a_sixth_of_the_pace_is_replaced(self) -> None:
        task = running_task(16, 1)
        self.assertTrue(straggles(task, 1))

    def test_stuck_run_is_replaced(self) -> None:
        task = running_task(40, 0.5)
        self.assertTrue(straggles(task, 4))

    def test_estimate_that_is_too_low_replaces_nothing(self) -> None:
        """Like tasks that took as long show that the estimate is wrong."""
        task = running_task(16, 1)
        task.step.longest_full_run_s = 6
        self.assertFalse(straggles(task, 1))

    def test_task_that_lasts_is_never_replaced(self) -> None:
        task = running_task(long_running=True)
        self.assertFalse(straggles(task, 100))


class TestUnreliableEstimates(TestCase):
    """Pattern: callers whose estimates are off by a factor, either way.

    Gangs on healthy workers were stopped up to six times in turn, at 78
    percent of their work (trapwerk-sched, trouble-3).
    """

    def setUp(self) -> None:
        super().setUp()
        self.errors = EstimateErrors()
        queue = running_task().step.job.stored.queue
        for _ in range(10):
            self.errors.observe(queue, 4, 1)
            self.errors.observe(queue, 1, 3)

    def test_gang_that_takes_six_times_its_estimate_goes_on(self) -> None:
        task = running_task(16, 1, gang=True)
        self.assertFalse(straggles(task, 1))

    def test_gang_on_a_worker_that_is_known_as_slow_is_replaced(self) -> None:
        task = running_task(16, 1, gang=True)
        self.assertTrue(straggles(task, 1, slowness=5))

    def test_gang_that_is_nearly_done_is_left_alone(self) -> None:
        task = running_task(90, 1, gang=True)
        self.assertFalse(straggles(task, 1, slowness=5))

    def test_stuck_gang_is_replaced(self) -> None:
        task = running_task(40, 0.5, gang=True)
        self.assertTrue(straggles(task, 4))

    def test_task_of_an_unreliable_queue_goes_on(self) -> None:
        """Six times the estimate is usual there."""
        task = running_task(16, 1)
        self.assertTrue(straggles(task, 1))
        self.assertFalse(straggles(task, 1, errors=self.errors))

    def test_errors_are_told_to_the_next_term(self) -> None:
        rig = CellRig(ModelWorker('w1'))
        rig.scheduler.book.estimate_errors.observe('lookups', 5, 1)
        before = rig.scheduler.book.estimate_errors.factor('lookups', 1)
        rig.pass_time(6)
        rig.take_over()
        after = rig.scheduler.book.estimate_errors.factor('lookups', 1)
        self.assertAlmostEqual(before, after, delta=0.01)
        self.assertGreater(after, EstimateErrors().factor('lookups', 1))


class TestFormerRuns(TestCase):
    """Pattern: a hand-over while runs go on.

    The successor does not know when they began. It took them for very fast,
    and their workers too.
    """

    def test_run_of_a_former_term_tells_nothing_of_its_worker(self) -> None:
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
        speed = rig.scheduler.book.workers_by_id['w1'].speed
        self.assertEqual((1, 0), (speed.slowness, speed.count))
        self.assertEqual({}, rig.scheduler.book.estimate_errors.by_queue)


class TestSpeeds(TestCase):
    """Urgent work goes to fast workers, also under a new scheduler."""

    def test_one_odd_run_changes_little(self) -> None:
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
        rig.scheduler.book.workers_by_id['w2'].speed = WorkerSpeed(0.8, 9)
        rig.pass_time(6)
        rig.take_over()
        spec = StepSpec(1, SMALL, estimated_ms=4000)
        rig.submit(JOB, stored_job(spec, stretch=1.2))
        rig.round()
        self.assertEqual([], slow.started)
        self.assertEqual(1, len(fast.started))


class TestWrongEstimates(TestCase):
    """A job whose estimate is far too low must not move on for ever."""

    def test_like_pace_on_two_workers_ends_the_moves(self) -> None:
        """One task was stopped on 13 workers in turn (inc-b8f0)."""
        rig = CellRig(*(ModelWorker(f'w{number}') for number in range(4)))
        spec = StepSpec(1, SMALL, estimated_ms=100)
        rig.submit(JOB, stored_job(spec))
        stops = 0
        for _ in range(4):
            rig.round()
            rig.hold_all()
            rig.now += 1
            stops += self.listed_at_half(rig)
        self.assertLessEqual(stops, 2)

    def listed_at_half(self, rig: CellRig) -> int:
        """List the run as half done after 1 s; tell whether it is stopped."""
        task = rig.scheduler.book.task(f'{JOB}.0.0.0')
        worker = rig.workers_by_id[task.worker_id]
        state = rig.scheduler.book.workers_by_id[task.worker_id]
        listed = RunningTask(task.name, task.run, '', 50)
        report = HoldReport(rig.now * 1000, (listed,), ())
        reconcile(rig.scheduler.book, state, report, rig.now, rig.now)
        if not rig.scheduler.starts.stops_due(rig.now):
            return 0
        worker.end(task.name, EndKind.STOPPED)
        rig.hold_all()
        return 1
