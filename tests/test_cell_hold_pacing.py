"""Load pattern: many short runs, some of them urgent, on the same workers."""

from testtools import TestCase

from apricotlead.coordination.cell.hold_pacing import is_crowded, may_delay_hold
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.resources import Resources
from tests.cell_rig import CAPACITY, SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
OTHER = '00000000000000ab'
PATIENT = {'stretch': 4.0, 'aim_ms': 3000}
URGENT = {'stretch': 1.5, 'aim_ms': 250}


class TestHoldPacing(TestCase):
    """Holds are delayed only while no work waits for an end."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'))
        self.worker = self.rig.scheduler.tracker.workers_by_id['w1']

    def run_job(self, job_id: str, demand: Resources, **policy: float) -> None:
        """Submit and start a job with a single task of one second."""
        step = StepSpec(1, demand, 1000)
        accepted_ms = self.rig.store_ms
        job = stored_job(step, accepted_ms=accepted_ms, **policy)
        self.rig.submit(job_id, job)
        self.rig.round()

    def may_delay_hold(self) -> bool:
        tracker, now = self.rig.scheduler.tracker, self.rig.now
        errors = tracker.estimate_errors
        return not is_crowded(tracker, now) and may_delay_hold(
            self.worker,
            now,
            errors,
        )

    def test_hold_is_delayed_without_urgent_runs(self) -> None:
        self.run_job(JOB, SMALL, **PATIENT)
        self.assertTrue(self.may_delay_hold())

    def test_hold_is_not_delayed_beside_an_urgent_run(self) -> None:
        self.run_job(JOB, SMALL, **PATIENT)
        self.run_job(OTHER, SMALL, **URGENT)
        self.assertFalse(self.may_delay_hold())

    def test_job_becomes_urgent_as_it_grows_late(self) -> None:
        self.run_job(JOB, SMALL, **PATIENT)
        self.rig.pass_time(5.5)
        self.assertFalse(self.may_delay_hold())

    def test_hold_is_not_delayed_in_a_crowded_cell(self) -> None:
        self.run_job(JOB, CAPACITY, **PATIENT)
        self.assertFalse(self.may_delay_hold())
