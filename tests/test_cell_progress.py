"""Work that could run does run, after any order of faults."""

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

LATER = 'ffffffffffffffff'
# So long after the end of traffic the rule holds.
_FINISH_S = 14.0
_JUDGED_S = 14.0

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


# Seeds that broke the rule, by the cause.
_FOUND_SEEDS = (
    # Gangs that could not run had used up what others may ask advice about.
    *(14, 30, 124, 160),
    # A gang that memory does not let fit kept workers for itself.
    *(123, 147),
    # A gang kept a worker, most of it free, for as long as its runs lasted.
    *(40, 108),
)
_FRESH_SEEDS = tuple(range(1001, 1009))


def run_seed(seed: int) -> ProgressRule:
    """Play a seed's day."""
    return run_shape(SHAPES[seed % len(SHAPES)], seed)


def run_shape(shape: CellShape, seed: int) -> ProgressRule:
    """Play a seed's day in a cell of a shape."""
    cell = FaultyCell(shape, seed)
    for name in draw_faults(seed):
        cell.timeline.spawn(inject(cell, name))
    rule = ProgressRule(cell, cell.traffic_end_s + _FINISH_S)
    cell.timeline.spawn(rule.watch())
    cell.timeline.run_until(cell.traffic_end_s + _FINISH_S + _JUDGED_S)
    return rule


class TestProgress(TestCase):
    """Accepted work that fits stood still until the end of the day (LOST)."""

    def assert_progress(self, seed: int) -> None:
        rule = run_seed(seed)
        self.assertEqual([], list(rule.violations_by_name.values()), seed)

    def test_seeds_that_broke_the_rule(self) -> None:
        for seed in _FOUND_SEEDS:
            self.assert_progress(seed)

    def test_further_seeds(self) -> None:
        for seed in _FRESH_SEEDS:
            self.assert_progress(seed)


class TestStepsThatCannotRun(TestCase):
    """Gangs that cannot run kept all others from asking for advice.

    A cell that stood idle placed nothing for twenty seconds.
    """

    def test_others_ask_in_their_turn(self) -> None:
        rig = CellRig(*(ModelWorker(f'w{each}') for each in range(4)))
        whole = Resources(16000, 1024)
        gang = StepSpec(3, whole, estimated_ms=5000, gang=True)
        for number in range(4):
            job_id = format(number, '016x')
            rig.submit(job_id, self.restricted(rig, gang))
        for _ in range(8):
            self.answer_all(rig, 'w0')
        rig.submit(LATER, self.restricted(rig, StepSpec(1, SMALL)))
        asked = []
        for _ in range(4):
            asked.extend(self.answer_all(rig, 'w1'))
        self.assertIn(f'{LATER}.0.0', asked)

    def restricted(self, rig: CellRig, spec: StepSpec) -> StoredJob:
        return stored_job(
            spec,
            advice=AdvicePolicy(100, 1, 2000),
            accepted_ms=rig.store_ms,
        )

    def answer_all(self, rig: CellRig, permitted_id: str) -> list[str]:
        """Answer all calls of a round, with one worker that may run a step."""
        asked_s = rig.now
        calls = rig.scheduler.plan(rig.now, ['peer1', 'peer2', 'peer3'])
        rig.pass_time(0.5)
        answer = AdviceAnswer({permitted_id: 'ticket'}, 2000)
        for call in calls:
            rig.scheduler.advice.answered(call, answer, asked_s, rig.now)
        return [each.step for each in calls]
