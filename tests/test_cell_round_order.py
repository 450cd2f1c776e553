"""Tests that blocked steps do not block the steps after them in a round."""

from testtools import TestCase

from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.resources import Resources
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

LATER = 'ffffffffffffffff'
WHOLE = Resources(16000, 1024)


class TestManyBlockedSteps(TestCase):
    """Guards against a round that ends after sixty blocked steps.

    The steps after them could run but were never tried.
    """

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(4)))

    def submit_gangs(self, count: int) -> None:
        """Submit gangs that need one worker more than the cell has."""
        for number in range(count):
            gang = StepSpec(5, WHOLE, estimated_ms=9000, gang=True)
            self.rig.submit(format(number, '016x'), stored_job(gang))

    def started(self) -> int:
        return sum(
            order.task.startswith(LATER)
            for worker in self.rig.workers_by_id.values()
            for order in worker.started
        )

    def test_later_step_runs_in_an_idle_cell(self) -> None:
        self.submit_gangs(200)
        self.rig.submit(LATER, stored_job(StepSpec(1, SMALL), priority=1))
        self.rig.pass_time(1)
        self.assertEqual(1, self.started())

    def test_round_in_a_full_cell_is_bounded(self) -> None:
        """Trying hundreds of steps is too expensive in a full cell."""
        filling = StepSpec(4, Resources(12000, 1024), estimated_ms=60000)
        self.rig.submit('e' * 16, stored_job(filling))
        self.rig.round()
        self.submit_gangs(200)
        self.rig.submit(LATER, stored_job(StepSpec(1, SMALL), priority=1))
        self.rig.scheduler.plan(self.rig.now, [])
        reasons = [
            str(step.waits.reason)
            for step in self.rig.scheduler.tracker.ready_steps_by_name.values()
        ]
        self.assertGreater(reasons.count('order'), 100)
