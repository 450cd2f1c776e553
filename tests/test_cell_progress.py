"""Tests that runnable work runs after faults in any order."""

from testtools import TestCase

from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.cell_jobs import StepSpec, StoredJob
from apricotlead.protocol.cell_workers import AdviceAnswer
from apricotlead.protocol.resources import Resources
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job
from tests.faulty.cell import FaultyCell
from tests.faulty.faults import draw_faults, inject
from tests.faulty.progress_rule import ProgressRule
from tests.faulty.shape import CellShape, JobKind

LATER_JOB_ID = 'ffffffffffffffff'
# From this long after the end of traffic on, the rule must hold.
_SETTLE_S = 14.0
_CHECK_DURATION_S = 14.0

GANGS = JobKind(
    'gangs',
    0.7,
    (2, 9),
    (2500, 7000),
    (3000, 9000),
    (2, 7),
    priority=1,
    gang=True,
    permitted_share=0.3,
    advice=AdvicePolicy(510, 7.2, 2000),
)
BATCHES = JobKind(
    'batches',
    1.2,
    (2, 16),
    (500, 2900),
    (800, 3000),
    (1, 4),
    priority=2,
    steps=2,
    permitted_share=0.45,
    stretch=4,
    aim_s=3,
    advice=AdvicePolicy(66, 0.94, 2000),
)
LOOKUPS = JobKind(
    'lookups',
    6,
    (1, 4),
    (700, 3000),
    (1000, 4000),
    (0.3, 1.5),
    permitted_share=0.7,
    stretch=1.5,
    aim_s=0.3,
    advice=AdvicePolicy(9.3, 0.13, 2000),
)
SHORT_TICKETS = JobKind(
    'short',
    0.6,
    (3, 12),
    (4000, 12000),
    (1000, 3000),
    (1, 5),
    priority=1,
    gang=True,
    permitted_share=0.5,
    advice=AdvicePolicy(300, 30, 900),
)
SPREAD_GANGS = JobKind(
    'apart',
    0.8,
    (2, 6),
    (1000, 4000),
    (2000, 9000),
    (1, 4),
    priority=2,
    gang=True,
    max_tasks_per_worker=1,
)
SHAPES = (
    CellShape((GANGS, BATCHES, LOOKUPS)),
    CellShape((GANGS, LOOKUPS, SPREAD_GANGS), workers=24),
    CellShape((SHORT_TICKETS, BATCHES, SPREAD_GANGS), workers=10),
    CellShape((GANGS, BATCHES), limit=Resources(60000, 400000), askers=2),
)


# Seeds that violated the rule, by cause.
_REGRESSION_SEEDS = (
    # Gangs that could not run had used up the advice budget of other steps.
    *(14, 30, 124, 160),
    # A gang that does not fit into memory kept workers reserved.
    *(123, 147),
    # A gang kept a mostly free worker reserved while its runs lasted.
    *(40, 108),
)
_FURTHER_SEEDS = tuple(range(1001, 1009))


def run_seed(seed: int) -> ProgressRule:
    """Simulate a seed with the shape chosen by it."""
    return run_shape(SHAPES[seed % len(SHAPES)], seed)


def run_shape(shape: CellShape, seed: int) -> ProgressRule:
    """Simulate a cell of a shape with a seed's faults; return the rule."""
    cell = FaultyCell(shape, seed)
    for name in draw_faults(seed):
        cell.timeline.spawn(inject(cell, name))
    rule = ProgressRule(cell, cell.traffic_end_s + _SETTLE_S)
    cell.timeline.spawn(rule.watch())
    cell.timeline.run_until(cell.traffic_end_s + _SETTLE_S + _CHECK_DURATION_S)
    return rule


class TestProgress(TestCase):
    """Accepted work that fits must not wait for ever (LOST).

    With some seeds it waited until the end of the simulation.
    """

    def assert_progress(self, seed: int) -> None:
        rule = run_seed(seed)
        self.assertEqual([], list(rule.violations_by_name.values()), seed)

    def test_seeds_that_broke_the_rule(self) -> None:
        for seed in _REGRESSION_SEEDS:
            self.assert_progress(seed)

    def test_further_seeds(self) -> None:
        for seed in _FURTHER_SEEDS:
            self.assert_progress(seed)


class TestAdviceTurnsBesideBlockedGangs(TestCase):
    """Gangs that cannot run must not keep other steps from advice.

    An idle cell placed nothing for 20 s, since the gangs used every call.
    """

    def test_later_job_asks_for_advice(self) -> None:
        rig = CellRig(*(ModelWorker(f'w{each}') for each in range(4)))
        full_worker = Resources(16000, 1024)
        gang = StepSpec(3, full_worker, estimated_ms=5000, gang=True)
        for number in range(4):
            job_id = format(number, '016x')
            rig.submit(job_id, self.job_with_advice(rig, gang))
        for _ in range(8):
            self.answer_all(rig, 'w0')
        rig.submit(LATER_JOB_ID, self.job_with_advice(rig, StepSpec(1, SMALL)))
        asked = []
        for _ in range(4):
            asked.extend(self.answer_all(rig, 'w1'))
        self.assertIn(f'{LATER_JOB_ID}.0.0', asked)

    def job_with_advice(self, rig: CellRig, spec: StepSpec) -> StoredJob:
        return stored_job(
            spec,
            advice=AdvicePolicy(100, 1, 2000),
            accepted_ms=rig.store_ms,
        )

    def answer_all(self, rig: CellRig, permitted_id: str) -> list[str]:
        """Answer all calls of a round; only one worker may run the steps.

        Returns the names of the steps.
        """
        asked_s = rig.now
        calls = rig.scheduler.plan(rig.now, ['peer1', 'peer2', 'peer3'])
        rig.pass_time(0.5)
        answer = AdviceAnswer({permitted_id: 'ticket'}, 2000)
        for call in calls:
            rig.scheduler.advice.answered(call, answer, asked_s, rig.now)
        return [each.step for each in calls]
