"""Tests that runnable work runs, in cells as large as the largest fleets."""

import msgspec
from testtools import TestCase

from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.resources import Resources
from tests.faulty.cell import FaultyCell
from tests.faulty.faults import (
    RESTART_AND_LOSS,
    draw_closing,
    draw_faults,
    inject,
    inject_closing,
)
from tests.faulty.progress_rule import ProgressRule
from tests.faulty.shape import CellShape, JobKind, Spread

# From this long after the end of traffic on, the rule must hold.
_SETTLE_S = 14.0
_CHECK_DURATION_S = 10.0
# Of most shapes one; a seed takes 2 to 5 s, of the sixth shape up to 11 s.
_SEEDS = (7, 1, 2, 3, 6)
# Gang members that a lost worker had refused were kept until its lease ended.
_REFUSED_MEMBERS_SEEDS = (4,)
# Runs whose starts had no answers were kept on workers that did not exist any
# more.
_LATE_START_SEEDS = (1002, 1085)

DIAGNOSES = JobKind(
    'diagnoses',
    1.1,
    Spread(20, 0.8, 120),
    Spread(18000, 0.4, 30000),
    Spread(36000, 0.5, 73000),
    (1.5, 8.5),
    priority=1,
    gang=True,
    permitted_share=0.25,
    advice=AdvicePolicy(430, 6.2, 1500),
)
REPORTS = JobKind(
    'reports',
    1.8,
    Spread(25, 0.8, 150),
    Spread(6900, 0.45, 21000),
    Spread(26000, 0.6, 77000),
    (1, 5.8),
    priority=2,
    stretch=4,
    aim_s=3,
    apart_share=0.12,
    permitted_share=0.45,
    advice=AdvicePolicy(120, 1.8, 1500),
)
LABELS = JobKind(
    'labels',
    8,
    Spread(3.2, 0.8, 19),
    Spread(9900, 0.45, 30000),
    Spread(20000, 0.6, 61000),
    (0.2, 1.4),
    stretch=1.5,
    aim_s=0.3,
    gang_share=0.3,
    permitted_share=0.7,
    advice=AdvicePolicy(9, 0.13, 1500),
)
# Runs on after the traffic, with nearly half of the cell in use.
LASTING = JobKind(
    'lasting',
    0.8,
    (5, 60),
    (2000, 20000),
    (4000, 50000),
    (2, 9),
    is_long_running=True,
)
LASTING_GANGS = msgspec.structs.replace(
    LASTING,
    name='lasting gangs',
    gang=True,
    per_s=0.1,
)
# Gangs that fit twice, but barely, into the workers that may run them.
WIDE_DIAGNOSES = msgspec.structs.replace(
    DIAGNOSES,
    name='wide diagnoses',
    per_s=0.8,
    tasks=Spread(50, 0.5, 88),
    memory_mb=Spread(60000, 0.5, 120000),
)
GROWN = CellShape(
    (DIAGNOSES, REPORTS, LABELS),
    workers=176,
    racks=15,
    capacity=Resources(64000, 262144),
    askers=32,
    organisations=20,
    duration_s=16.0,
)


def _multiplied(shape: CellShape, factor: float) -> CellShape:
    """Return a shape with ``factor`` times the traffic."""
    kinds = tuple(
        msgspec.structs.replace(kind, per_s=kind.per_s * factor)
        for kind in shape.kinds
    )
    return msgspec.structs.replace(shape, kinds=kinds)


SHAPES = (
    GROWN,
    msgspec.structs.replace(GROWN, askers=4),
    msgspec.structs.replace(GROWN, limit=Resources(600000, 3000000)),
    msgspec.structs.replace(
        GROWN, kinds=(WIDE_DIAGNOSES, LABELS, LASTING, LASTING_GANGS)
    ),
    _multiplied(GROWN, 2.5),
    msgspec.structs.replace(
        GROWN,
        kinds=(DIAGNOSES, REPORTS, WIDE_DIAGNOSES, LASTING),
        askers=6,
        organisations=4,
    ),
    msgspec.structs.replace(
        GROWN,
        kinds=(WIDE_DIAGNOSES, REPORTS, LABELS, LASTING_GANGS),
        limit=Resources(2000000, 8000000),
        later_limit=Resources(700000, 2800000),
        organisations=5,
    ),
)


def run_seed(
    seed: int,
    closing: str = '',
    settle_s: float = _SETTLE_S,
) -> ProgressRule:
    """Simulate a seed with the shape and the closing fault chosen by it."""
    cell = FaultyCell(SHAPES[seed % len(SHAPES)], seed)
    for name in draw_faults(seed):
        cell.timeline.spawn(inject(cell, name))
    closing = closing or draw_closing(seed)
    cell.timeline.spawn(inject_closing(cell, closing))
    rule = ProgressRule(cell, cell.traffic_end_s + settle_s)
    cell.timeline.spawn(rule.watch())
    cell.timeline.run_until(cell.traffic_end_s + settle_s + _CHECK_DURATION_S)
    return rule


class TestProgressOfLargeCells(TestCase):
    """Accepted work that fits must not wait for ever in a large cell (LOST)."""

    def assert_progress(self, seed: int, closing: str = '') -> None:
        rule = run_seed(seed, closing)
        self.assertEqual([], list(rule.violations_by_name.values()), seed)

    def test_seeds(self) -> None:
        for seed in _SEEDS:
            self.assert_progress(seed)

    def test_lost_workers_with_unanswered_starts(self) -> None:
        """Guards against a wait for starts that nothing can take (LOST)."""
        for seed in _LATE_START_SEEDS:
            self.assert_progress(seed)

    def test_workers_that_restart_and_are_lost(self) -> None:
        """Guards against keeping starts that never reached such a worker."""
        for seed in _REFUSED_MEMBERS_SEEDS:
            self.assert_progress(seed, RESTART_AND_LOSS)
