"""Tests of tasks that crash the workers that start them, in virtual time."""

from testtools import TestCase

from apricotlead.protocol.cell_jobs import JobState
from tests.faulty.budget_rule import BudgetRule
from tests.faulty.cell import FaultyCell
from tests.faulty.faults import inject
from tests.faulty.progress_rule import ProgressRule
from tests.faulty.shape import CellShape, JobKind

_SETTLE_S = 14.0
_CHECK_DURATION_S = 14.0
_SEEDS = tuple(range(1, 5))
_CLOUDY_FAULTS = (
    'hand-over',
    'hand-overs in series',
    'no scheduler',
    'workers cut off',
    'workers crash',
    'workers leave',
    'answers lost',
    'orders late',
    'store slow',
)

LONG_WORK = JobKind(
    'transcripts',
    0.7,
    (2, 8),
    (2500, 5000),
    (3000, 9000),
    (3, 6),
    priority=1,
)
LOOKUPS = JobKind(
    'lookups',
    6,
    (1, 3),
    (700, 2000),
    (1000, 4000),
    (0.5, 1.2),
    deadly_share=0.1,
)
CALM = CellShape((LONG_WORK, LOOKUPS), workers=16)


class DeadlyDay:
    """A simulated day with tasks that crash their workers, and its rules."""

    def __init__(
        self,
        shape: CellShape,
        seed: int,
        faults: tuple[str, ...] = (),
    ) -> None:
        """Simulate until the cell has settled."""
        self.cell = FaultyCell(shape, seed)
        for name in faults:
            self.cell.timeline.spawn(inject(self.cell, name))
        self.progress = ProgressRule(
            self.cell, self.cell.traffic_end_s + _SETTLE_S
        )
        self.cell.timeline.spawn(self.progress.watch())
        self.cell.timeline.run_until(
            self.cell.traffic_end_s + _SETTLE_S + _CHECK_DURATION_S
        )
        self.budget = BudgetRule(self.cell)


class TestBudget(TestCase):
    """A task that crashes every worker must not be started without end.

    It was started again for as long as the cell ran, beside other work.
    """

    def assert_kept(self, shape: CellShape, faults: tuple[str, ...]) -> None:
        for seed in _SEEDS:
            day = DeadlyDay(shape, seed, faults)
            label = (seed, faults)
            self.assertNotEqual([], day.cell.crashes, label)
            self.assertEqual([], day.budget.tasks_over_budget(), label)
            self.assertEqual([], day.budget.innocent_jobs_failed(), label)
            self.assertEqual([], day.budget.jobs_given_up_early(), label)
            violations = list(day.progress.violations_by_name.values())
            self.assertEqual([], violations, label)

    def test_calm_day(self) -> None:
        self.assert_kept(CALM, ())

    def test_hand_overs_lose_no_count(self) -> None:
        """Guards against a budget that begins anew with each scheduler."""
        self.assert_kept(CALM, ('hand-overs in series', 'hand-over'))

    def test_deadly_jobs_end_as_failed(self) -> None:
        day = DeadlyDay(CALM, 1)
        states = {
            str(day.cell.state(task.partition('.')[0]))
            for task, crashes_s in day.budget.crashes_s_by_task.items()
            if task.partition('.')[0] not in day.cell.cancelled_ids
        }
        self.assertEqual({str(JobState.FAILED)}, states)


class TestFaultsBeside(TestCase):
    """Crashes by other causes must not be held against innocent work."""

    def test_faults_beside(self) -> None:
        for fault in _CLOUDY_FAULTS:
            TestBudget('test_calm_day').assert_kept(CALM, (fault, fault))


class TestDamage(TestCase):
    """Few workers are reached by tasks that crash them.

    Each such task took down a worker every few seconds for the whole day.
    """

    def test_crashes_per_deadly_job(self) -> None:
        for seed in _SEEDS:
            day = DeadlyDay(CALM, seed)
            counts = [
                len(each) for each in day.budget.crashes_s_by_task.values()
            ]
            self.assertLessEqual(max(counts), 3, seed)
