"""Tests the scheduling policies on cells and traffic of different shapes.

Pattern: a new customer whose workers, kinds of jobs and estimates differ from
all others'. No policy may need settings for them; each must adapt to what it
observes.
"""

from collections.abc import Iterator

import msgspec
from testtools import TestCase

from apricotlead.protocol.cell_workers import EndKind
from tests.virtual_cell import CellSimulation, Kind, Shape

# The share of value that users require of a new deployment under faults.
_TARGET = 0.79
_SEEDS = (1, 2)
# Seeds that failed with a slow worker.
_SLOW_WORKER_SEEDS = (4, 8, 9, 10, 11)
# A policy may waste at most this share of all core time on stopped runs.
_MAX_WASTED_SHARE = 0.01
_SLOWNESS = 4.0
# A worker is known to be slow after this many of its runs have ended.
_ENDS_UNTIL_KNOWN = 4

_SHAPES = (
    Shape(
        'few small workers',
        workers=((8, 8, 1.0),),
        kinds=(
            Kind('lookups', 1 / 3, 0.3),
            Kind('batches', 1 / 3, 2, cores=2, tasks=3, priority=1),
            Kind('gangs', 1 / 3, 4, cores=4, tasks=4, gang=True, priority=2),
        ),
    ),
    Shape(
        'workers of two sizes',
        workers=((10, 16, 1.0), (5, 96, 1.0)),
        kinds=(
            Kind('lookups', 1 / 3, 1, cores=2),
            Kind('batches', 1 / 3, 3, cores=14, tasks=2, priority=1),
            Kind('gangs', 1 / 3, 6, cores=40, tasks=3, gang=True, priority=2),
        ),
    ),
    Shape(
        'one kind that leaves a quarter of each worker',
        workers=((40, 4, 1.0),),
        kinds=(Kind('lookups', 3 / 4, 1.5, cores=3),),
    ),
    Shape(
        'gangs of a quarter of the cell',
        workers=((12, 64, 1.0),),
        kinds=(
            Kind('lookups', 1 / 2, 1, cores=4),
            Kind('gangs', 1 / 2, 8, cores=30, tasks=6, gang=True, priority=1),
        ),
    ),
)


def _shapes(
    load: float,
    seeds: tuple[int, ...] = _SEEDS,
    **changes: object,
) -> Iterator[Shape]:
    """Return each shape with each seed; ``load`` scales its traffic."""
    for shape in _SHAPES:
        for seed in seeds:
            kinds = tuple(
                msgspec.structs.replace(kind, load=load * kind.load)
                for kind in shape.kinds
            )
            yield msgspec.structs.replace(
                shape,
                kinds=kinds,
                seed=seed,
                **changes,
            )


def _with_bias(shape: Shape, bias: float) -> Shape:
    """Return a shape whose last kind has biased estimates."""
    *kinds, last = shape.kinds
    wrong = msgspec.structs.replace(last, bias=bias)
    return msgspec.structs.replace(shape, kinds=(*kinds, wrong))


def _with_slow_worker(shape: Shape) -> Shape:
    """Return a shape with one worker that is slow from the start."""
    (count, cores, pace), *others = shape.workers
    workers = ((count - 1, cores, pace), *others, (1, cores, _SLOWNESS))
    return msgspec.structs.replace(shape, workers=workers)


class TestUnlikeCells(TestCase):
    """The same bounds must hold for all shapes."""

    def assert_share_earned(
        self, simulation: CellSimulation, shape: Shape
    ) -> None:
        for kind in shape.kinds:
            earned = simulation.mean_share_earned(kind=kind.name)
            message = f'{kind.name}, {shape.name}, seed {shape.seed}'
            self.assertGreaterEqual(earned, _TARGET, message)

    def assert_slow_worker_is_avoided(self, shape: Shape) -> None:
        simulation = CellSimulation(shape).simulate()
        self.assert_share_earned(simulation, shape)
        cores = shape.workers[-1][1]
        self.assertLess(
            simulation.slowest_workers_share(_ENDS_UNTIL_KNOWN),
            cores / shape.cores / 2,
            f'{shape.name}, seed {shape.seed}',
        )

    def test_enough_capacity_serves_all_kinds(self) -> None:
        for shape in _shapes(0.7):
            self.assert_share_earned(CellSimulation(shape).simulate(), shape)

    def test_wrong_estimates_throw_no_work_away(self) -> None:
        for plain in _shapes(0.5):
            for bias in (0.25, 4.0):
                shape = _with_bias(plain, bias)
                simulation = CellSimulation(shape).simulate()
                self.assert_share_earned(simulation, shape)
                available_core_s = shape.cores * shape.duration_s
                wasted_share = simulation.wasted_core_s / available_core_s
                self.assertLess(wasted_share, _MAX_WASTED_SHARE, shape.name)

    def test_a_slow_worker_costs_no_more_than_its_capacity(self) -> None:
        for plain in _shapes(0.5):
            self.assert_slow_worker_is_avoided(_with_slow_worker(plain))

    def test_a_slow_worker_in_draws_that_failed(self) -> None:
        """Gangs ran on a worker known to be slow if they fit nowhere else."""
        for plain in _shapes(0.5, _SLOW_WORKER_SEEDS):
            self.assert_slow_worker_is_avoided(_with_slow_worker(plain))

    def test_a_flood_of_one_organisation_falls_on_itself(self) -> None:
        for plain in _shapes(1.4, demands=(8.0, 1.0, 1.0)):
            # Each of the other organisations sends half of its weight.
            rate = sum(kind.rate(plain.cores) for kind in plain.kinds)
            weight = rate / 5
            shape = msgspec.structs.replace(
                plain,
                weights=(weight, weight, weight),
            )
            simulation = CellSimulation(shape).simulate()
            for organisation in ('org1', 'org2'):
                earned = simulation.mean_share_earned(organisation=organisation)
                message = f'{shape.name}, seed {shape.seed}'
                self.assertGreaterEqual(earned, _TARGET, message)

    def test_nothing_runs_twice(self) -> None:
        for shape in _shapes(1.2):
            simulation = CellSimulation(shape).simulate()
            tasks = sum(arrival.kind.tasks for arrival in simulation.arrivals)
            self.assertLessEqual(simulation.ends_by_kind[EndKind.DONE], tasks)
            self.assertEqual(0, simulation.open_count, shape.name)
