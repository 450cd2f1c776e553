"""Tests that accepted work without progress in a half-idle cell is logged."""

from typing import Any

from testtools import TestCase

from apricotlead.coordination.cell.stalled_steps import STALLED_AFTER_S
from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import AdviceAnswer
from apricotlead.protocol.resources import Resources
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
WHOLE = Resources(16000, 1024)
ADVICE = AdvicePolicy(100, 1, 2000)


class StalledStepsCase(TestCase):
    """A cell of four workers."""

    def setUp(self) -> None:
        super().setUp()
        self.workers = [ModelWorker(f'w{number}') for number in range(4)]
        self.rig = CellRig(*self.workers)

    def reports(self) -> list[dict[str, Any]]:
        return [
            fields
            for kind, fields in self.rig.scheduler.tracker.notes
            if kind == 'step stalled'
        ]


class TestServices(StalledStepsCase):
    """Each service is checked separately."""

    def test_idle_service_beside_a_full_one(self) -> None:
        """Guards against no report because the whole cell is over half full."""
        idle = ModelWorker('idle', service='captions')
        self.rig = CellRig(*self.workers, idle)
        filling = StepSpec(4, WHOLE, estimated_ms=60000)
        self.rig.submit('e' * 16, stored_job(filling))
        self.rig.round()
        self.rig.submit(JOB, stored_job(service='captions', advice=ADVICE))
        self.rig.pass_time(STALLED_AFTER_S + 2)
        self.assertEqual(f'{JOB}.0.0', self.reports()[0]['step'])


class TestStalledSteps(StalledStepsCase):
    """The report shows what blocks a step."""

    def test_step_without_advice_calls(self) -> None:
        self.rig.submit(JOB, stored_job(StepSpec(2, SMALL), advice=ADVICE))
        self.rig.pass_time(STALLED_AFTER_S + 2)
        report = self.reports()[0]
        self.assertEqual(f'{JOB}.0.0', report['step'])
        self.assertEqual({'room, not asked about': 4}, report['workers'])
        self.assertGreaterEqual(report['stalled_s'], STALLED_AFTER_S)

    def test_expired_tickets_are_reported_separately(self) -> None:
        self.rig.submit(JOB, stored_job(StepSpec(2, SMALL), advice=ADVICE))
        scheduler = self.rig.scheduler
        call = scheduler.plan(self.rig.now, ['peer'])[0]
        answer = AdviceAnswer({'w0': 'ticket'}, 0)
        scheduler.advice.answered(call, answer, self.rig.now, self.rig.now)
        self.rig.pass_time(STALLED_AFTER_S + 2)
        self.assertEqual(
            {'room, no ticket': 1, 'ruled out': 3},
            self.reports()[0]['workers'],
        )

    def test_run_that_does_not_start(self) -> None:
        self.rig.submit(JOB, stored_job(StepSpec(1, SMALL)))
        self.rig.scheduler.plan(self.rig.now, [])
        start = self.rig.journal()[0]
        task = start.task
        self.rig.scheduler.tracker.stop(task)
        for _ in range(10):
            self.rig.now += 0.5
            self.rig.hold_all()
            self.rig.scheduler.tick(self.rig.now)
        chosen = self.reports()[0]['chosen'][0]
        self.assertEqual('stopping', chosen['phase'])
        self.assertTrue(chosen['is_stop_pending'])


class TestStepsThatAreNotStalled(StalledStepsCase):
    """Steps that wait for a good reason are not reported."""

    def test_step_that_runs(self) -> None:
        self.rig.submit(JOB, stored_job(StepSpec(1, SMALL)))
        self.rig.pass_time(STALLED_AFTER_S * 2)
        self.assertEqual([], self.reports())

    def test_gang_that_does_not_fit(self) -> None:
        spec = StepSpec(5, WHOLE, gang=True)
        self.rig.submit(JOB, stored_job(spec))
        self.rig.pass_time(STALLED_AFTER_S * 2)
        self.assertEqual([], self.reports())

    def test_step_in_a_busy_cell(self) -> None:
        self.rig.submit('f' * 16, stored_job(StepSpec(2, WHOLE)))
        self.rig.round()
        self.rig.submit(JOB, stored_job(StepSpec(2, SMALL), advice=ADVICE))
        self.rig.pass_time(STALLED_AFTER_S * 2)
        self.assertEqual([], self.reports())


class TestReportRate(StalledStepsCase):
    """Hundreds of stalled steps produce only a few log lines per second."""

    def test_reports_are_bounded(self) -> None:
        for number in range(300):
            job_id = format(number, '016x')
            job = stored_job(StepSpec(1, SMALL), advice=ADVICE)
            self.rig.submit(job_id, job)
        self.rig.pass_time(20)
        self.assertLessEqual(len(self.reports()), 5 * 20)
        self.assertNotEqual([], self.reports())
