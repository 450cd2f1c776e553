"""Tests that accepted work without progress in a half-idle cell is logged."""

from typing import Any

from testtools import TestCase

from apricotlead.coordination.cell.scheduler import CELL_STATE
from apricotlead.coordination.cell.stalled_steps import STALLED_AFTER_S
from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import AdviceAnswer, EndKind
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import TaskState
from apricotlead.state.wait_times import WaitReason
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
WHOLE = Resources(16000, 1024)
# More memory than any worker has.
TOO_LARGE = Resources(100, 999_999)
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

    def reported_steps(self) -> list[str]:
        return [report['step'] for report in self.reports()]

    def wait(self, duration_s: float) -> None:
        """Let time pass while nothing is placed, as a faulty planner does."""
        ends_s = self.rig.now + duration_s
        while self.rig.now < ends_s:
            self.rig.now += 0.5
            self.rig.hold_all()
            self.rig.journal()
            self.rig.scheduler.tick(self.rig.now)

    def place_one(self, spec: StepSpec, job_id: str = JOB) -> TaskState:
        """Submit a job, place what fits, and return its first task."""
        self.rig.submit(job_id, stored_job(spec))
        self.rig.round()
        self.rig.hold_all()
        return self.rig.scheduler.tracker.task(f'{job_id}.0.0.0')

    def lose_run(self, task: TaskState) -> None:
        """End a run as lapsed, so that its task waits again."""
        worker = self.rig.workers_by_id[task.worker_id]
        worker.end(task.name, EndKind.LAPSED)
        self.rig.hold_all()


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


class TestManySteps(StalledStepsCase):
    """A grown cell: 176 workers and thousands of waiting steps."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(176)))

    def test_one_step_among_thousands(self) -> None:
        """Guards against a step that is reported late, or never.

        Each check looked at 40 steps and timed a step from the check whose turn
        it was, so this one was to be reported after more than two minutes.
        """
        for number in range(1, 3000):
            spec = StepSpec(1, TOO_LARGE)
            self.rig.submit(format(number << 16, '016x'), stored_job(spec))
        self.rig.submit(JOB, stored_job())
        self.wait(STALLED_AFTER_S + 2)
        self.assertEqual([f'{JOB}.0.0'], self.reported_steps())

    def test_each_stalled_step_is_named(self) -> None:
        """Guards against repeated reports that crowd out other steps."""
        names = []
        for number in range(60):
            job_id = format(number, '016x')
            self.rig.submit(job_id, stored_job())
            names.append(f'{job_id}.0.0')
        self.wait(STALLED_AFTER_S + 2 + 60 / 5)
        self.assertEqual(names, sorted(set(self.reported_steps())))


class TestTurn(StalledStepsCase):
    """Work counts as idle step by step; a long-running task by itself."""

    def test_long_running_task_beside_others_of_its_step(self) -> None:
        """Guards against a lasting task that is missed while others run."""
        task = self.place_one(StepSpec(3, SMALL, long_running=True))
        self.lose_run(task)
        self.wait(STALLED_AFTER_S + 2)
        report = self.reports()[0]
        self.assertEqual(f'{JOB}.0.0', report['step'])
        self.assertEqual([task.name], report['idle_tasks'])

    def test_long_running_task_in_a_busy_service(self) -> None:
        """Guards against a lasting task that is missed in a busy service."""
        task = self.place_one(StepSpec(3, SMALL, long_running=True))
        self.place_one(StepSpec(3, WHOLE, estimated_ms=60000), 'f' * 16)
        self.lose_run(task)
        self.wait(STALLED_AFTER_S + 2)
        self.assertEqual([f'{JOB}.0.0'], self.reported_steps()[:1])

    def test_step_beside_another_of_its_job(self) -> None:
        """Guards against a step that is missed while another one runs."""
        self.place_one(StepSpec(1, SMALL, estimated_ms=60000), 'f' * 16)
        steps = (StepSpec(1, SMALL, estimated_ms=60000), StepSpec(1, SMALL))
        self.rig.submit(JOB, stored_job(*steps))
        self.rig.round()
        self.rig.hold_all()
        self.lose_run(self.rig.scheduler.tracker.task(f'{JOB}.0.1.0'))
        self.wait(STALLED_AFTER_S + 2)
        self.assertEqual({f'{JOB}.0.1'}, set(self.reported_steps()))

    def test_steps_that_take_turns_in_having_room(self) -> None:
        """Guards against a job that stands while its steps could run by turns.

        Each of the steps could run for 2.5 s only, so none counts by itself.
        """
        steps = [StepSpec(1, SMALL, required_label=each) for each in 'ab']
        workers = [ModelWorker(each, labels=(each,)) for each in 'ab']
        self.rig = CellRig(*self.workers, *workers)
        self.rig.submit(JOB, stored_job(*steps))
        states = self.rig.scheduler.tracker.workers_by_id
        states['b'].used = WHOLE
        self.wait(2.5)
        states['a'].used = WHOLE
        states['b'].used = Resources()
        self.wait(2.5)
        self.assertEqual([f'{JOB}.0.1'], self.reported_steps())

    def test_chosen_task_never_begins(self) -> None:
        """Guards against a chosen task that is missed for want of room.

        Its step has further tasks, for which nothing is left on any worker.
        """
        spec = StepSpec(3, SMALL, required_label='small')
        small = ModelWorker('small', capacity=SMALL, labels=('small',))
        self.rig = CellRig(*self.workers, small)
        self.rig.submit(JOB, stored_job(spec))
        self.rig.scheduler.plan(self.rig.now, [])
        self.wait(STALLED_AFTER_S + 2)
        chosen = self.reports()[0]['chosen']
        self.assertEqual(['sent'], [each['phase'] for each in chosen])

    def test_chosen_long_running_task_never_begins(self) -> None:
        """Guards against a chosen lasting task that is missed without room."""
        spec = StepSpec(2, SMALL, required_label='small', long_running=True)
        small = ModelWorker('small', capacity=SMALL, labels=('small',))
        self.rig = CellRig(*self.workers, small)
        self.rig.submit(JOB, stored_job(spec))
        self.rig.scheduler.plan(self.rig.now, [])
        self.wait(STALLED_AFTER_S + 2)
        self.assertEqual([f'{JOB}.0.0.0'], self.reports()[0]['idle_tasks'])


class TestSuspectedWork(StalledStepsCase):
    """Work that is held back after crashes counts like any other."""

    def test_suspect_that_waits_for_a_trial(self) -> None:
        """Guards against suspects that are missed as no worker is kept."""
        self.rig.submit(JOB, stored_job())
        step = self.rig.scheduler.tracker.ready_steps_by_name[f'{JOB}.0.0']
        step.apart_for = 'trial'
        step.waits.note(WaitReason.TRIAL, self.rig.now)
        self.wait(STALLED_AFTER_S + 2)
        report = self.reports()[0]
        self.assertEqual('trial', report['waits_for'])
        self.assertEqual({'kept for other work': 4}, report['workers'])

    def test_step_beside_workers_kept_apart(self) -> None:
        """Guards against steps that are missed as trials keep all workers."""
        self.rig.submit(JOB, stored_job())
        for worker in self.rig.scheduler.tracker.workers_by_id.values():
            worker.apart_for = 'trial'
        self.wait(STALLED_AFTER_S + 2)
        self.assertEqual(
            {'kept for other work': 4}, self.reports()[0]['workers']
        )

    def test_step_that_is_held_back(self) -> None:
        """Guards against steps of a limited queue that are missed."""
        self.rig.submit(JOB, stored_job())
        step = self.rig.scheduler.tracker.ready_steps_by_name[f'{JOB}.0.0']
        step.waits.note(WaitReason.CRASHES, self.rig.now)
        self.wait(STALLED_AFTER_S + 2)
        self.assertEqual('crashes', self.reports()[0]['waits_for'])


class TestReasonsToWait(StalledStepsCase):
    """Advice and limits may leave nothing that could run."""

    def test_advice_rules_out_all_workers(self) -> None:
        """Guards against reports of steps that may run nowhere."""
        self.rig.submit(JOB, stored_job(StepSpec(2, SMALL), advice=ADVICE))
        advice = self.rig.scheduler.advice.advice(f'{JOB}.0.0')
        for worker in self.workers:
            advice.mark_ineligible(worker.entry.worker_id)
        self.wait(STALLED_AFTER_S * 2)
        self.assertEqual([], self.reports())

    def test_organisation_above_half_of_its_limit(self) -> None:
        """Guards against reports of steps that the limit holds back."""
        self.rig = CellRig(*self.workers, limit=Resources(24000, 0))
        self.place_one(StepSpec(1, WHOLE, estimated_ms=60000), 'f' * 16)
        self.rig.submit(JOB, stored_job(StepSpec(1, WHOLE)))
        self.wait(STALLED_AFTER_S * 2)
        self.assertEqual([], self.reports())

    def test_usage_of_runs_that_are_gone(self) -> None:
        """Guards against a wrong sum of usage that also hides the step."""
        self.rig = CellRig(*self.workers, limit=Resources(24000, 0))
        self.rig.submit(JOB, stored_job())
        usage = self.rig.scheduler.tracker.usage_by_organisation
        usage['clerks'] = Resources(24000, 0)
        self.wait(STALLED_AFTER_S + 2)
        report = self.reports()[0]
        self.assertEqual(24000, report['organisation_cpu_millis'])
        self.assertEqual(0, report['running_cpu_millis'])

    def test_most_tasks_on_each_worker(self) -> None:
        """Guards against reports of tasks whose workers all have enough."""
        spec = StepSpec(5, SMALL, long_running=True, max_per_worker=1)
        self.place_one(spec)
        self.wait(STALLED_AFTER_S * 2)
        self.assertEqual([], self.reports())


class TestReportFields(StalledStepsCase):
    """A report shows what the step waited for, and who loaded it."""

    def test_seconds_by_reason(self) -> None:
        """Guards against reports that show the latest reason only."""
        job = stored_job(advice=ADVICE, accepted_ms=self.rig.store_ms)
        self.rig.submit(JOB, job)
        step = self.rig.scheduler.tracker.ready_steps_by_name[f'{JOB}.0.0']
        step.waits.note(WaitReason.ADVICE_PENDING, self.rig.now)
        step.waits.note(WaitReason.EARLIER_STEPS, self.rig.now + 1)
        advice = self.rig.scheduler.advice.advice(step.name)
        advice.mark_ineligible('w0')
        advice.tickets_by_worker['w1'] = 'ticket'
        self.wait(STALLED_AFTER_S + 2)
        report = self.reports()[0]
        waited_s = report['waited_s']
        self.assertEqual(1, waited_s['advice'])
        self.assertGreaterEqual(waited_s['turn'], STALLED_AFTER_S - 1)
        self.assertEqual(2, report['asked_workers'])
        self.assertEqual(1, report['ruled_out_workers'])
        self.assertFalse(report['is_from_former_term'])

    def test_step_that_a_successor_loaded(self) -> None:
        """Guards against reports that do not tell such steps apart."""
        self.rig.submit(JOB, stored_job(accepted_ms=self.rig.store_ms))
        self.rig.now += 1
        self.rig.take_over()
        self.wait(STALLED_AFTER_S + 2)
        self.assertTrue(self.reports()[0]['is_from_former_term'])


class TestSummary(StalledStepsCase):
    """The summary of the cell counts the steps that could run."""

    def test_counts_and_age(self) -> None:
        """Guards against alerts without a number of stalled steps."""
        for number in range(20):
            self.rig.submit(format(number, '016x'), stored_job())
        self.wait(STALLED_AFTER_S + 2)
        states = [
            fields
            for kind, fields in self.rig.scheduler.tracker.notes
            if kind == CELL_STATE
        ]
        self.assertEqual(20, states[-1]['runnable_steps'])
        self.assertEqual(20, states[-1]['stalled_steps'])
        self.assertEqual({'new': 20}, states[-1]['waiting_steps'])
        self.assertGreaterEqual(
            states[-1]['oldest_runnable_s'], STALLED_AFTER_S
        )
        began = [state['newly_stalled_steps'] for state in states]
        self.assertEqual(20, sum(began))

    def test_summary_of_the_check_that_reports(self) -> None:
        """Guards against metrics that lag a second behind the report."""
        self.rig.submit(JOB, stored_job())
        while not self.reports():
            self.wait(0.5)
        stalled_counts = [
            fields['stalled_steps']
            for kind, fields in self.rig.scheduler.tracker.notes
            if kind == CELL_STATE
        ]
        self.assertEqual(1, stalled_counts[-1])
