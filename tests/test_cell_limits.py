"""Limits of organisations, age limits of keys, and logs of decisions."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.job_rows import cancel_key
from apricotlead.platform.configuration import decode_config
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import EndKind, OrderReply, Refusal
from apricotlead.protocol.errors import KeyRefused, StaleView
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Row
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.state.cell_jobs import TaskPhase
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.cell_request_handler import CellRequestHandler
from apricotlead.transport.store_health import StoreHealth
from tests.cell_rig import SMALL, CellRig, ModelWorker, cell_config, stored_job
from tests.test_platform_adapter import CONFIG

JOB = '00000000000000aa'
OTHER = '00000000000000ab'
LATER = '00000000000000ac'
TASK = f'{JOB}.0.0.0'
TWO_CORES = Resources(2000, 0, 0)


class TestLimits(TestCase):
    """The running tasks of an organisation stay within its limit."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1')
        self.rig = CellRig(self.worker, limit=TWO_CORES)

    def started(self) -> int:
        return len(self.worker.started)

    def test_tasks_beyond_the_limit_wait(self) -> None:
        self.rig.submit(JOB, stored_job(StepSpec(5, SMALL)))
        self.rig.round()
        self.assertEqual(2, self.started())
        self.worker.end(TASK)
        self.rig.hold_all()
        self.rig.round()
        self.assertEqual(3, self.started())

    def test_gang_of_two_tasks_beyond_the_limit_does_not_begin(self) -> None:
        self.rig.submit(JOB, stored_job(StepSpec(4, SMALL, gang=True)))
        self.rig.round()
        self.assertEqual(0, self.started())

    def test_gang_of_a_task_beyond_the_limit_begins_below_half_of_it(
        self,
    ) -> None:
        """It waited forever in an idle cell (LOST)."""
        self.rig.submit(OTHER, stored_job(StepSpec(1, SMALL)))
        self.rig.round()
        self.rig.hold_all()
        self.rig.submit(JOB, stored_job(StepSpec(2, SMALL, gang=True)))
        self.rig.round()
        self.assertEqual(1, self.started())
        self.worker.end(f'{OTHER}.0.0.0')
        self.rig.submit(LATER, stored_job(StepSpec(3, SMALL, gang=True)))
        self.rig.hold_all()
        self.rig.scheduler.jobs.apply_job_row(Row(cancel_key(JOB), 9, 1), 1)
        self.rig.round()
        self.assertEqual(4, self.started())

    def test_start_that_may_arrive_after_a_larger_one(self) -> None:
        """It would exceed the limit by more than its own size (QUOTA)."""
        self.rig.submit(OTHER, stored_job(StepSpec(1, Resources(500, 0))))
        self.rig.round()
        task = self.rig.scheduler.tracker.task(f'{OTHER}.0.0.0')
        task.phase = TaskPhase.SENT
        self.rig.submit(JOB, stored_job(StepSpec(1, Resources(2500, 0))))
        self.rig.round()
        self.assertEqual(1, self.started())
        self.rig.hold_all()
        self.rig.round()
        self.assertEqual(2, self.started())

    def test_stray_run_that_is_being_stopped(self) -> None:
        """It runs beside what is accounted, until the worker stops it."""
        self.worker.running_by_task[f'{OTHER}.0.0.0'] = 1
        self.rig.hold_all()
        self.rig.submit(JOB, stored_job(StepSpec(1, Resources(2500, 0))))
        self.rig.round()
        self.assertEqual(0, self.started())
        self.worker.end(f'{OTHER}.0.0.0')
        self.rig.hold_all()
        self.rig.round()
        self.assertEqual(1, self.started())

    def test_runs_of_a_former_term_count(self) -> None:
        self.rig.submit(JOB, stored_job(StepSpec(2, SMALL)))
        self.rig.round()
        self.rig.take_over()
        self.rig.submit(OTHER, stored_job(StepSpec(1, SMALL)))
        self.rig.round()
        self.assertEqual(2, self.started())

    def test_lowered_limit_applies_to_new_starts(self) -> None:
        self.rig.submit(JOB, stored_job(StepSpec(1, SMALL)))
        self.rig.round()
        lowered = cell_config(Resources(1000, 0, 0))
        self.rig.scheduler.set_view(CellConfigView(lowered, self.rig.now))
        self.rig.submit(OTHER, stored_job(StepSpec(1, SMALL)))
        self.rig.round()
        self.assertEqual(1, self.started())

    def test_run_that_is_being_stopped_counts(self) -> None:
        self.rig.submit(JOB, stored_job(StepSpec(2, SMALL)))
        self.rig.round()
        self.rig.scheduler.jobs.apply_job_row(Row(cancel_key(JOB), 9, 1), 1)
        self.rig.submit(OTHER, stored_job(StepSpec(1, SMALL)))
        self.rig.round()
        self.assertEqual(2, self.started())


class TestKeys(TestCase):
    """A key is valid only if the configuration was confirmed recently."""

    def request_handler(self, age_s: float) -> CellRequestHandler:
        health = StoreHealth()
        request_handler = CellRequestHandler(
            None,
            health,
            None,
            4.5,
            lambda kind, **fields: None,
            CellMetrics(),
        )
        config = decode_config(Row('k', 1, CONFIG))
        request_handler.view = CellConfigView(config, boot_now() - age_s)
        return request_handler

    def test_recently_confirmed_key_is_accepted(self) -> None:
        request_handler = self.request_handler(4)
        queue, name = request_handler.authorise(
            'a.example', '/lookups/x', 'key'
        )
        self.assertEqual(('lookups', 'clerks'), (queue.name, name))

    def test_key_that_may_have_been_revoked_is_refused(self) -> None:
        request_handler = self.request_handler(4.6)
        call = ('a.example', '/lookups/x', 'key')
        self.assertRaises(StaleView, request_handler.authorise, *call)
        self.assertFalse(request_handler.is_ready())

    def test_unknown_key(self) -> None:
        call = ('a.example', '/lookups/x', 'other')
        self.assertRaises(KeyRefused, self.request_handler(0).authorise, *call)


class TestDecisionsAreLogged(TestCase):
    """Each decision on a job is logged with the job's id."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1')
        self.rig = CellRig(self.worker)
        self.rig.submit(JOB, stored_job(StepSpec(1, SMALL, 1000)))

    def kinds(self) -> list[str]:
        """Return the kinds of the log entries that name the job, in order."""
        return [
            kind
            for kind, fields in self.rig.scheduler.tracker.notes
            if JOB in (fields.get('job'), fields.get('task', '')[: len(JOB)])
        ]

    def test_completed_job(self) -> None:
        self.rig.round()
        self.worker.end(TASK)
        self.rig.hold_all()
        self.rig.round()
        self.assertEqual(
            ['job taken', 'run placed', 'run ended', 'job ended'],
            self.kinds(),
        )

    def test_failed_run(self) -> None:
        self.rig.round()
        self.worker.end(TASK, EndKind.FAILED)
        self.rig.hold_all()
        self.rig.round()
        self.assertEqual(['run ended', 'run placed'], self.kinds()[-2:])

    def test_refused_start(self) -> None:
        self.rig.scheduler.plan(self.rig.now, [])
        start = self.rig.journal()[0]
        reply = OrderReply(Refusal.UNHEALTHY)
        now = self.rig.now
        self.rig.scheduler.starts.start_answered(start, reply, now, now)
        self.assertEqual('start refused', self.kinds()[-1])

    def test_lapsed_run(self) -> None:
        self.rig.round()
        self.worker.is_reachable = False
        # Holds that were sent without an answer may still have reached the
        # worker and extended its lease.
        self.rig.pass_time(12)
        self.assertIn('run lapsed', self.kinds())

    def test_run_on_a_worker_that_leaves(self) -> None:
        self.rig.round()
        leaving = msgspec.structs.replace(
            self.worker.entry,
            draining=True,
            drain_left_ms=400,
        )
        self.rig.scheduler.workers.update_worker(leaving, self.rig.now)
        self.rig.scheduler.tick(self.rig.now)
        self.assertEqual('run leaves', self.kinds()[-1])

    def test_cancelled_job(self) -> None:
        self.rig.scheduler.jobs.apply_job_row(Row(cancel_key(JOB), 9, 1), 1)
        self.assertEqual('job ended', self.kinds()[-1])
