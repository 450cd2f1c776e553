"""Tests what crashes of workers count for a gang."""

from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.state.cell_jobs import StepState
from tests.cell_rig import SMALL
from tests.test_cell_crash_attribution import GUILTY_ID, CrashCase


class TestCrashesOfOneRun(CrashCase):
    """A gang of which each member crashes its worker in the same run."""

    def setUp(self) -> None:
        super().setUp()
        spec = StepSpec(3, SMALL, gang=True, max_per_worker=1)
        self.submit(GUILTY_ID, spec)
        self.start(GUILTY_ID)

    @property
    def step(self) -> StepState:
        return self.task(GUILTY_ID).step

    def crash_all(self, *known_order: int) -> None:
        """End the workers of all members; it is known in this order."""
        worker_ids = [task.worker_id for task in self.step.tasks]
        for worker_id in worker_ids:
            self.lose_contact(worker_id)
        for index in known_order:
            if not self.step.job.state.is_final:
                self.come_back(worker_ids[index])

    def test_crashes_do_not_add_up(self) -> None:
        """Guards against giving a gang up that had one unlucky run."""
        self.crash_all(0, 1, 2)
        self.assertFalse(self.step.job.state.is_final)
        totals = [task.crashes.total for task in self.step.tasks]
        self.assertEqual([1, 1, 1], totals)

    def test_members_that_are_being_stopped(self) -> None:
        """Only the first crash that was known counted as certain.

        The others' members were being stopped by then, with their gang.
        """
        self.crash_all(0, 1, 2)
        counts = [task.crashes.crashes for task in self.step.tasks]
        self.assertEqual([1, 1, 1], counts)

    def test_second_run_ends_the_job(self) -> None:
        """A gang took workers down a third time, by the order of the news."""
        self.crash_all(0, 1, 2)
        self.start(GUILTY_ID)
        self.crash_all(2, 1, 0)
        self.assertTrue(self.step.job.state.is_final)

    def test_start_that_was_not_confirmed(self) -> None:
        """A member that may not have begun counts as doubtful, as before."""
        self.step.tasks[1].is_confirmed = False
        self.crash_all(0, 1, 2)
        history = self.step.tasks[1].crashes
        self.assertEqual((0, 1), (history.crashes, history.doubtful_crashes))

    def test_next_run_that_was_not_confirmed(self) -> None:
        """Guards against taking the former run's confirmation for this one."""
        self.crash_all(0, 1, 2)
        self.rig.now += 2
        self.rig.hold_all()
        self.rig.scheduler.plan(self.rig.now, [])
        self.assertEqual(3, len(self.rig.journal()))
        confirmed = [task.is_confirmed for task in self.step.tasks]
        self.assertEqual([False, False, False], confirmed)
