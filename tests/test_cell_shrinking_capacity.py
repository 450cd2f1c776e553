"""Tests of workers whose capacity shrinks and grows while they run."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import EndKind, OrderReply, Refusal
from apricotlead.protocol.resources import Resources
from tests.cell_rig import CAPACITY, CellRig, ModelWorker, stored_job
from tests.faulty.shape import CellShape, JobKind
from tests.test_cell_crashing_tasks import LONG_WORK, DeadlyDay

JOB_ID = '00000000000000aa'
TASK_NAME = f'{JOB_ID}.0.0.0'
HALF = Resources(8000, 16384, 0)
QUARTER = Resources(4000, 8192, 0)
_SEEDS = tuple(range(1, 6))
LOOKUPS = JobKind('lookups', 8, (1, 3), (700, 4000), (1000, 4000), (0.5, 1.2))
FULL = CellShape((LONG_WORK, LOOKUPS), workers=8)


class ShrinkingCase(TestCase):
    """A cell of one worker, with a job of two tasks of half of it each."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'))
        self.worker = self.rig.workers_by_id['w1']

    def submit(self, task_count: int = 2) -> None:
        self.rig.submit(JOB_ID, stored_job(StepSpec(task_count, HALF)))

    def resize(self, capacity: Resources) -> None:
        self.worker.entry = msgspec.structs.replace(
            self.worker.entry, capacity=capacity
        )
        self.rig.scheduler.workers.update_worker(
            self.worker.entry, self.rig.now
        )

    def plan(self) -> list[PlannedStart]:
        """Plan and journal the runs; return the starts that may be sent."""
        self.rig.scheduler.plan(self.rig.now, [])
        return self.rig.journal()

    def phase(self) -> str:
        return self.rig.scheduler.tracker.task(TASK_NAME).phase.value


class TestStartsUnderWay(ShrinkingCase):
    """Runs that were placed before the news must not begin after it (LIMIT).

    A worker starts whatever it is told, so it was brought over its capacity.
    """

    def test_start_that_was_not_sent_is_dropped(self) -> None:
        self.submit()
        starts = self.plan()
        self.resize(HALF)
        for start in starts:
            self.rig.send(start)
        self.assertEqual(1, len(self.worker.started))

    def test_start_without_an_answer_is_not_repeated(self) -> None:
        """The first order may have been lost; then the repeat begins it."""
        self.submit(1)
        start = self.plan()[0]
        self.rig.scheduler.starts.start_order(start, self.rig.now)
        lost = OrderReply(Refusal.UNANSWERED)
        starts = self.rig.scheduler.starts
        starts.start_answered(start, lost, self.rig.now, self.rig.now)
        self.resize(QUARTER)
        self.assertIsNone(starts.start_order(start, self.rig.now))
        self.assertEqual('stopping', self.phase())

    def test_running_work_is_left_alone(self) -> None:
        self.submit()
        self.rig.round()
        self.resize(QUARTER)
        self.rig.pass_time(2)
        self.assertEqual(2, len(self.worker.running_by_task))


class TestPlacement(ShrinkingCase):
    """No run is placed until it fits again, and growth is used at once."""

    def test_nothing_is_placed_on_a_worker_that_is_over(self) -> None:
        self.submit(3)
        self.rig.round()
        self.resize(HALF)
        self.worker.end(TASK_NAME)
        self.rig.pass_time(2)
        self.assertEqual(2, len(self.worker.started))

    def test_run_that_is_being_stopped_counts(self) -> None:
        self.submit(3)
        self.rig.round()
        self.resize(HALF)
        tracker = self.rig.scheduler.tracker
        self.worker.end(f'{JOB_ID}.0.0.1')
        tracker.stop(tracker.task(TASK_NAME))
        self.rig.pass_time(2)
        self.assertEqual(2, len(self.worker.started))
        self.worker.end(TASK_NAME, EndKind.STOPPED)
        self.rig.pass_time(1)
        self.assertEqual(3, len(self.worker.started))

    def test_growth_is_used_at_once(self) -> None:
        self.resize(QUARTER)
        self.submit()
        self.rig.round()
        self.assertEqual([], self.worker.started)
        self.resize(CAPACITY)
        self.rig.round()
        self.assertEqual(2, len(self.worker.started))

    def test_successor_counts_the_smaller_capacity(self) -> None:
        self.submit(3)
        self.rig.round()
        self.resize(HALF)
        self.rig.take_over()
        self.worker.end(TASK_NAME)
        self.rig.pass_time(2)
        self.assertEqual(2, len(self.worker.started))


class TestRandomSchedules(TestCase):
    """No start brings a worker over a capacity that shrank long ago."""

    def test_capacity_shrinks_beside_other_faults(self) -> None:
        for seed in _SEEDS:
            for fault in ('orders late', 'hand-over', 'store slow'):
                day = DeadlyDay(
                    FULL, seed, ('capacity shrinks',) * 2 + (fault,)
                )
                over = [
                    each
                    for worker in day.cell.processes
                    for each in worker.starts_over
                ]
                self.assertEqual([], over, (seed, fault))
