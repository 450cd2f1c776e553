"""Tests what crashes of workers count for a gang, and when it is cleared."""

from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.state.cell_jobs import StepState, TaskPhase
from tests.cell_rig import SMALL
from tests.test_cell_crash_attribution import (
    GUILTY_ID,
    OTHER_ID,
    CrashCase,
)


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


class TestTrialsOfGangs(CrashCase):
    """A suspect is cleared once its gang has worked for long enough."""

    def setUp(self) -> None:
        super().setUp()
        spec = StepSpec(2, SMALL, gang=True, max_per_worker=1)
        self.submit(GUILTY_ID, spec)
        self.rig.scheduler.tracker.suspect(self.task(GUILTY_ID))
        self.rig.scheduler.plan(self.rig.now, [])
        starts = self.rig.journal()
        self.rig.send(starts[0])
        self.second = starts[1]
        # Trials are looked at while any step waits.
        self.submit(OTHER_ID, StepSpec(1, SMALL, required_label='none'))

    def pass_time(self, duration_s: float) -> None:
        for _ in range(round(duration_s / 0.1)):
            self.rig.now += 0.1
            self.rig.hold_all()
            self.rig.round()

    def test_suspect_that_waits_for_its_gang(self) -> None:
        """A member that only waited for another was cleared after 0.5 s.

        It had not worked yet, and other work was placed beside it.
        """
        self.pass_time(0.8)
        self.assertTrue(self.task(GUILTY_ID).crashes.is_suspect)
        self.rig.send(self.second)
        self.pass_time(0.4)
        self.assertTrue(self.task(GUILTY_ID).crashes.is_suspect)
        self.pass_time(0.4)
        self.assertFalse(self.task(GUILTY_ID).crashes.is_suspect)

    def test_gang_of_which_a_member_is_being_stopped(self) -> None:
        """A gang that does not work any more shows nothing."""
        self.rig.send(self.second)
        self.rig.hold_all()
        self.rig.scheduler.tracker.set_phase(
            self.task(GUILTY_ID, 1), TaskPhase.STOPPING
        )
        self.pass_time(0.8)
        self.assertTrue(self.task(GUILTY_ID).crashes.is_suspect)

    def test_task_of_no_gang(self) -> None:
        """The other tasks of its step wait until the suspect is cleared."""
        other_id = '00000000000000cc'
        self.submit(other_id, StepSpec(2, SMALL))
        self.rig.scheduler.tracker.suspect(self.task(other_id))
        self.start(other_id)
        self.pass_time(1)
        self.assertFalse(self.task(other_id).crashes.is_suspect)
        self.assertTrue(self.task(other_id, 1).is_placed)
