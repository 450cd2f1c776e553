"""Tests of the definition of work that could run, and that all use it."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.runnable import (
    Need,
    ServiceRoom,
    WorkerRoom,
    idle_units,
)
from apricotlead.coordination.cell.stalled_steps import STALLED_AFTER_S
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.resources import Resources
from tests.faulty.cell import FaultyCell
from tests.faulty.progress_rule import ProgressRule
from tests.faulty.shape import CellShape
from tests.test_cell_progress import BATCHES, SPREAD_GANGS
from tests.test_cell_progress_shapes import (
    IN_A_RACK,
    LONG_RUNNING,
    LONG_RUNNING_GANGS,
    PARALLEL,
)

DEMAND = Resources(2950, 3472)
FREE = Resources(6000, 8000)
# The size of the grown site, and of the gang on which its day stood still.
WORKERS = 176
GANG = StepSpec(6, DEMAND, gang=True)


def need(task_count: int = 1, **changes: object) -> Need:
    return Need.from_spec(StepSpec(task_count, DEMAND, **changes))


def room(worker_count: int, free: Resources = FREE) -> ServiceRoom:
    workers = [WorkerRoom(f'w{each}', free) for each in range(worker_count)]
    return ServiceRoom(workers, 0, 16000 * worker_count)


class TestRoom(TestCase):
    """Room for what has to start together, on workers that may run it."""

    def test_room_for_a_gang_once(self) -> None:
        """Guards against a gang that is missed as it does not fit twice."""
        self.assertTrue(room(3).fits(Need.from_spec(GANG)))
        self.assertFalse(room(2).fits(Need.from_spec(GANG)))

    def test_room_for_one_task_of_a_wide_step(self) -> None:
        """Guards against a step that is missed as not all of it fits."""
        self.assertTrue(room(1).fits(need(500)))

    def test_workers_with_room_are_ruled_out(self) -> None:
        """Guards against reports of steps that may run nowhere with room."""
        full = WorkerRoom('full', Resources(100, 100))
        open_room = WorkerRoom('open', FREE)
        service = ServiceRoom((full, open_room), 0, 1)
        self.assertFalse(service.fits(need(), {'open'}))
        self.assertTrue(service.fits(need(), {'full'}))

    def test_last_worker_of_a_grown_cell(self) -> None:
        """Guards against a search that ends before the only good worker."""
        ruled_out = {f'w{each}' for each in range(WORKERS - 1)}
        self.assertTrue(room(WORKERS).fits(need(), ruled_out))

    def test_each_resource_counts(self) -> None:
        """Guards against room that is counted by processors only."""
        for free in (Resources(6000, 3471, 1), Resources(2949, 8000, 1)):
            self.assertFalse(room(1, free).fits(need()))
        accelerated = Need(Resources(1000, 1000, 1), 1)
        self.assertFalse(room(1).fits(accelerated))
        self.assertTrue(room(1, Resources(1000, 1000, 1)).fits(accelerated))

    def test_resources_of_different_workers(self) -> None:
        """Guards against room that no single worker has."""
        rooms = (
            WorkerRoom('cpu', Resources(6000, 100)),
            WorkerRoom('memory', Resources(100, 8000)),
        )
        self.assertFalse(ServiceRoom(rooms, 0, 1).fits(need()))

    def test_label(self) -> None:
        """Guards against room that is counted on workers without a label."""
        labelled = WorkerRoom('labelled', FREE, ('ssd',))
        self.assertFalse(room(1).fits(need(required_label='ssd')))
        service = ServiceRoom((labelled,), 0, 1)
        self.assertTrue(service.fits(need(required_label='ssd')))

    def test_most_tasks_on_a_worker(self) -> None:
        """Guards against room on workers that have enough of a step."""
        spread = need(2, gang=True, max_per_worker=1)
        self.assertFalse(room(1).fits(spread))
        self.assertTrue(room(2).fits(spread))
        self.assertFalse(room(2).fits(spread, frozenset(), {'w0': 1}))

    def test_filling_tasks_need_no_processors(self) -> None:
        """Guards against filling tasks that are missed beside full ones."""
        full = Resources(0, 8000)
        self.assertTrue(room(1, full).fits(need(fills=True)))

    def test_worker_over_its_capacity(self) -> None:
        """Guards against a shrunken worker that counts as room."""
        over = Resources(-4000, -100)
        self.assertFalse(room(1, over).fits(need()))


class TestLimit(TestCase):
    """The limit of an organisation as a reason to wait."""

    def is_within(self, spec: StepSpec, used: int, most: int) -> bool:
        usage, limit = Resources(used, 0), Resources(most, 0)
        return Need.from_spec(spec).is_within_limit(usage, limit)

    def test_half_of_the_limit(self) -> None:
        """Guards against reports of organisations at half of their limit."""
        one = StepSpec(1, DEMAND)
        self.assertTrue(self.is_within(one, 9999, 20000))
        self.assertFalse(self.is_within(one, 10000, 20000))

    def test_gang_of_one_task_beyond(self) -> None:
        """Guards against a gang that is missed as its last task is beyond."""
        self.assertTrue(self.is_within(GANG, 0, 5 * 2950))
        self.assertFalse(self.is_within(GANG, 0, 5 * 2950 - 1))

    def test_each_resource_that_a_limit_names(self) -> None:
        """Guards against a limit of memory that counts as no limit."""
        one = need()
        limit = Resources(0, 20000)
        self.assertTrue(one.is_within_limit(Resources(99999, 9999), limit))
        self.assertFalse(one.is_within_limit(Resources(0, 10000), limit))

    def test_no_limit(self) -> None:
        """Guards against a limit of 0 that counts as reached."""
        self.assertTrue(self.is_within(GANG, 99999, 0))


class TestIdleUnits(TestCase):
    """What has to run: a step, or each task of a long-running one."""

    def test_step(self) -> None:
        """Guards against a step that is missed while others of its job run."""
        self.assertEqual(['s'], idle_units('s', GANG, ()))
        self.assertEqual([], idle_units('s', GANG, {'s.0'}))

    def test_long_running_tasks(self) -> None:
        """Guards against a lasting task that is missed beside the others."""
        spec = StepSpec(3, DEMAND, long_running=True)
        self.assertEqual(['s.0', 's.2'], idle_units('s', spec, {'s.1'}))

    def test_busy_service(self) -> None:
        """Guards against lasting tasks that are missed in a busy service."""
        busy = ServiceRoom((), 8000, 16000)
        self.assertFalse(busy.has_spare(GANG))
        self.assertTrue(busy.has_spare(StepSpec(1, long_running=True)))
        self.assertTrue(ServiceRoom((), 7999, 16000).has_spare(GANG))


class StoppedPlanner:
    """Places nothing, which is the fault that the watchers have to see."""

    def plan(self, now: float, askers: list[str]) -> list[object]:
        return []


class TestAgreement(TestCase):
    """The scheduler's watch and the simulation's rule judge alike.

    They had definitions of their own, so what one of them called a fault the
    other did not report.
    """

    def assert_agreement(self, shape: CellShape, seed: int) -> None:
        cell = FaultyCell(shape, seed)
        cell.timeline.run_until(cell.traffic_end_s - 2)
        cell.scheduler.planner = StoppedPlanner()
        rule = ProgressRule(cell, cell.now)
        cell.timeline.spawn(rule.watch())
        # Until all that runs has ended and both have watched what waits.
        cell.timeline.run_until(cell.now + 12 + STALLED_AFTER_S)
        expected = {
            '.'.join(name.split('.')[:3])
            for name in rule.violations_by_name
            if '.' in name
        }
        self.assertNotEqual(set(), expected, seed)
        self.assertEqual(expected, cell.scheduler.stalled.stalled_names, seed)

    def test_kinds_of_work(self) -> None:
        """Guards against definitions that differ in what has to run."""
        kinds = [
            msgspec.structs.replace(kind, advice=None, permitted_share=1.0)
            for kind in (BATCHES, PARALLEL, SPREAD_GANGS, IN_A_RACK)
        ]
        kinds.extend((LONG_RUNNING, LONG_RUNNING_GANGS))
        for seed in (1, 2, 3):
            shape = CellShape(tuple(kinds), workers=24, cancelled_share=0)
            self.assert_agreement(shape, seed)

    def test_limits(self) -> None:
        """Guards against definitions that differ in what a limit allows."""
        kinds = [
            msgspec.structs.replace(kind, advice=None, permitted_share=1.0)
            for kind in (BATCHES, SPREAD_GANGS, IN_A_RACK)
        ]
        for seed in (1, 2, 3):
            limit = Resources(9000, 30000)
            shape = CellShape(
                tuple(kinds), workers=24, limit=limit, cancelled_share=0
            )
            self.assert_agreement(shape, seed)
