"""Tests the scheduler's accounting of runs, resources and limits."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.job_rows import cancel_key
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.protocol.cell_jobs import JobProgress, StepRecord, StepSpec
from apricotlead.protocol.cell_workers import EndedTask, EndKind
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Row
from apricotlead.state.cell_workers import WorkerState
from tests.accounting.rig import AccountingRig
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

JOB_ID = '00000000000000aa'
TASK_NAME = f'{JOB_ID}.0.0.0'


class TestStops(TestCase):
    """Two runs of a task on one worker must be stopped independently."""

    def test_report_of_an_older_run_keeps_a_pending_stop(self) -> None:
        """A lost stop left the newer run STOPPING and its step unplaced."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB_ID, stored_job())
        rig.scheduler.plan(rig.now, [])
        task = rig.scheduler.tracker.task(TASK_NAME)
        rig.scheduler.tracker.requeue(task, rig.now)
        rig.scheduler.plan(rig.now, [])
        rig.journal()
        rig.scheduler.tracker.stop(task)
        rig.workers_by_id['w1'].running_by_task[TASK_NAME] = 1
        rig.hold('w1')
        stops = rig.scheduler.starts.stops_due(rig.now)
        self.assertEqual({1, 2}, {stop.run for _, stop in stops})


class TestUsage(TestCase):
    """An organisation's usage is the sum of its placed tasks' demands."""

    def test_gang_member_that_was_freed_is_not_freed_again(self) -> None:
        """Freeing it twice makes usage negative and defeats the limit."""
        full_limit = Resources(9000, 1024, 0)
        rig = CellRig(ModelWorker('w1'), ModelWorker('w2'))
        rig.submit(JOB_ID, stored_job(StepSpec(2, full_limit, gang=True)))
        rig.round()
        task = rig.scheduler.tracker.task(TASK_NAME)
        other = rig.scheduler.tracker.task(f'{JOB_ID}.0.0.1')
        rig.scheduler.tracker.requeue(other, rig.now)
        rig.workers_by_id[task.worker_id].end(TASK_NAME)
        rig.hold(task.worker_id)
        self.assertEqual(Resources(), rig.scheduler.tracker.usage('clerks'))

    def test_run_of_a_task_that_is_done_counts_until_it_ends(self) -> None:
        """A run that is being stopped still uses its resources (QUOTA)."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB_ID, stored_job(StepSpec(2, SMALL)))
        rig.round()
        worker = rig.workers_by_id['w1']
        end = EndedTask(1, TASK_NAME, 0, EndKind.DONE)
        report = msgspec.structs.replace(worker.report(rig.now), ended=(end,))
        answered = rig.scheduler.workers.hold_answered
        answered('w1', report, rig.now, rig.now)
        usage = rig.scheduler.tracker.usage('clerks')
        self.assertEqual(SMALL + SMALL, usage)
        worker.end(TASK_NAME, EndKind.STOPPED)
        worker.ended[0] = msgspec.structs.replace(worker.ended[0], number=2)
        rig.hold('w1')
        self.assertEqual(SMALL, rig.scheduler.tracker.usage('clerks'))

    def test_run_of_a_done_task_counts_until_its_stop(self) -> None:
        """The run may start after a report that does not contain it."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB_ID, stored_job(StepSpec(2, SMALL)))
        rig.round()
        worker = rig.workers_by_id['w1']
        worker.running_by_task.pop(TASK_NAME)
        end = EndedTask(1, TASK_NAME, 0, EndKind.DONE)
        report = msgspec.structs.replace(worker.report(rig.now), ended=(end,))
        answered = rig.scheduler.workers.hold_answered
        answered('w1', report, rig.now, rig.now)
        self.assertEqual(SMALL + SMALL, rig.scheduler.tracker.usage('clerks'))
        rig.scheduler.tracker.stop_acked('w1', TASK_NAME, 1, rig.now)
        rig.now += 0.1
        rig.hold('w1')
        self.assertEqual(SMALL, rig.scheduler.tracker.usage('clerks'))

    def test_run_of_a_done_task_counts_until_its_lease_is_over(self) -> None:
        """An unreachable worker keeps the run until the lease expires."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB_ID, stored_job(StepSpec(2, SMALL)))
        rig.round()
        worker = rig.workers_by_id['w1']
        end = EndedTask(1, TASK_NAME, 0, EndKind.DONE)
        report = msgspec.structs.replace(worker.report(rig.now), ended=(end,))
        answered = rig.scheduler.workers.hold_answered
        answered('w1', report, rig.now, rig.now)
        worker.is_reachable = False
        rig.pass_time(14)
        self.assertEqual(Resources(), rig.scheduler.tracker.usage('clerks'))


class TestLongRunningTasks(TestCase):
    """A long-running task starts again when it ends, unless cancelled."""

    def test_end_after_the_cancel_starts_nothing(self) -> None:
        """The step was placed again, and its resources were never freed."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB_ID, stored_job(StepSpec(1, SMALL, long_running=True)))
        rig.round()
        row = Row(cancel_key(JOB_ID), 1, 1)
        rig.scheduler.jobs.apply_job_row(row, rig.now)
        rig.workers_by_id['w1'].end(TASK_NAME)
        rig.hold('w1')
        rig.pass_time(1)
        self.assertEqual({}, rig.scheduler.tracker.ready_steps_by_name)
        state = rig.scheduler.tracker.workers_by_id['w1']
        self.assertEqual(Resources(), state.used)


class TestRestartUnderTheSameId(TestCase):
    """A worker restarted under its id has a later ``born_ms``."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1', born_ms=1)
        self.rig = CellRig(self.worker)
        self.old_entry = self.worker.entry
        self.report = self.worker.report(self.rig.now)
        self.worker.entry = msgspec.structs.replace(self.old_entry, born_ms=2)
        self.rig.scheduler.workers.update_worker(
            self.worker.entry, self.rig.now
        )
        self.rig.pass_time(1)

    @property
    def state(self) -> WorkerState:
        return self.rig.scheduler.tracker.workers_by_id['w1']

    def test_late_registration_of_the_old_incarnation_frees_nothing(
        self,
    ) -> None:
        """The next report showed the later start, and its runs were freed."""
        self.rig.submit(JOB_ID, stored_job())
        self.rig.round()
        state_before = self.state
        self.rig.scheduler.workers.update_worker(self.old_entry, self.rig.now)
        report = msgspec.structs.replace(
            self.worker.report(self.rig.now), born_ms=2
        )
        self.rig.scheduler.workers.hold_answered(
            'w1', report, self.rig.now, self.rig.now
        )
        self.assertIs(state_before, self.state)
        self.assertIn(TASK_NAME, self.state.tasks_by_name)

    def test_late_report_of_the_old_incarnation_is_ignored(self) -> None:
        """Ends of the new incarnation were acknowledged before their report."""
        end = EndedTask(5, TASK_NAME, 1, EndKind.DONE)
        report = msgspec.structs.replace(self.report, ended=(end,), born_ms=1)
        self.rig.scheduler.workers.hold_answered(
            'w1', report, self.rig.now, self.rig.now
        )
        self.assertEqual(0, self.state.reported_through)

    def test_pending_acknowledgement_does_not_reach_a_new_incarnation(
        self,
    ) -> None:
        """The new incarnation dropped ends before the scheduler saw them."""
        worker = self.state
        worker.reported_through = 7
        batch, _ = self.rig.scheduler.take_batch(self.rig.now)
        later = msgspec.structs.replace(self.worker.entry, born_ms=3)
        self.rig.scheduler.workers.update_worker(later, self.rig.now)
        self.rig.scheduler.committed(
            batch, self.rig.version + 1, self.rig.store_ms, self.rig.now
        )
        self.assertEqual(0, self.state.acked_through)


class TestStartsAtARestart(TestCase):
    """A start names only the worker id, so a new incarnation may accept it."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1', born_ms=1)
        self.rig = CellRig(self.worker)
        self.rig.submit(JOB_ID, stored_job())
        self.rig.round()
        self.worker.entry = msgspec.structs.replace(
            self.worker.entry, born_ms=2
        )
        self.rig.scheduler.workers.update_worker(
            self.worker.entry, self.rig.now
        )
        self.rig.workers_by_id['w2'] = ModelWorker('w2')
        self.rig.scheduler.workers.update_worker(
            self.rig.workers_by_id['w2'].entry, self.rig.now
        )

    def stop_acked(self) -> None:
        """Acknowledge the stop as the new incarnation."""
        self.rig.scheduler.tracker.stop_acked('w1', TASK_NAME, 1, self.rig.now)

    def test_run_starts_elsewhere_after_its_stop(self) -> None:
        """The new incarnation ran the task while another worker started it."""
        self.rig.pass_time(2)
        self.assertEqual([], self.rig.workers_by_id['w2'].started)
        stops = self.rig.scheduler.starts.stops_due(self.rig.now)
        self.assertEqual([TASK_NAME], [stop.task for _, stop in stops])
        self.stop_acked()
        self.worker.end(TASK_NAME, EndKind.STOPPED)
        self.rig.pass_time(1)
        runs = [order.run for order in self.rig.workers_by_id['w2'].started]
        runs.extend(order.run for order in self.worker.started)
        self.assertEqual([1, 2], sorted(runs))

    def test_run_that_did_not_arrive_starts_again_after_its_stop(self) -> None:
        """The start may still be in transit when the first report arrives."""
        self.worker.running_by_task.clear()
        self.rig.pass_time(2)
        self.assertEqual(1, self.rig.scheduler.tracker.task(TASK_NAME).run)
        self.stop_acked()
        self.rig.pass_time(1)
        self.assertEqual(2, self.rig.scheduler.tracker.task(TASK_NAME).run)


class TestReadySteps(TestCase):
    """Only steps with waiting tasks are ready."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'))
        self.rig.submit(JOB_ID, stored_job())
        self.rig.round()

    def test_step_that_runs_is_not_ready_after_a_takeover(self) -> None:
        """Every placement round of the term considered it in vain."""
        self.rig.begin_term()
        self.assertEqual({}, self.rig.scheduler.tracker.ready_steps_by_name)

    def test_job_whose_progress_is_unreadable_uses_no_capacity(self) -> None:
        """Its tasks were placed, never journaled, and kept their resources."""
        key = f'{PROGRESS_PREFIX}{JOB_ID}'
        record = JobProgress([StepRecord(0, 0, [])])
        self.rig.rows_by_key[key] = Row(key, 1, msgspec.to_builtins(record))
        self.rig.workers_by_id['w1'].running_by_task.clear()
        self.rig.take_over()
        self.rig.round()
        state = self.rig.scheduler.tracker.workers_by_id['w1']
        self.assertEqual(Resources(), state.used)


class TestMaxPerWorker(TestCase):
    """All runs of a step on a worker count, stray ones included."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'))
        step = StepSpec(2, SMALL, max_per_worker=1)
        self.rig.submit(JOB_ID, stored_job(step))
        self.rig.round()
        self.tracker = self.rig.scheduler.tracker
        self.other = self.tracker.task(f'{JOB_ID}.0.0.1')

    def end_older_run(self) -> None:
        """Make the running task done by reporting the end of an older run."""
        end = EndedTask(1, TASK_NAME, 0, EndKind.DONE)
        worker = self.rig.workers_by_id['w1']
        report = msgspec.structs.replace(
            worker.report(self.rig.now), ended=(end,)
        )
        self.rig.scheduler.workers.hold_answered(
            'w1', report, self.rig.now, self.rig.now
        )

    def test_run_of_a_task_that_is_done_counts_until_it_ends(self) -> None:
        """A second task was started on the same worker (ROUTE)."""
        self.end_older_run()
        self.rig.round()
        self.assertFalse(self.other.is_placed)
        worker = self.rig.workers_by_id['w1']
        worker.end(TASK_NAME, EndKind.STOPPED)
        # The worker has already reported end number 1.
        worker.ended[0] = msgspec.structs.replace(worker.ended[0], number=2)
        self.rig.pass_time(1)
        self.assertTrue(self.other.is_placed)

    def test_stray_run_counts(self) -> None:
        """After a takeover only the worker's report shows such a run."""
        self.end_older_run()
        self.rig.journal()
        self.rig.take_over()
        self.rig.round()
        other = self.rig.scheduler.tracker.task(self.other.name)
        self.assertFalse(other.is_placed)


class TestHoldReports(TestCase):
    """Reports identify runs, not only their tasks."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1')
        self.rig = CellRig(self.worker)
        self.rig.submit(JOB_ID, stored_job())
        self.rig.scheduler.plan(self.rig.now, [])
        task = self.rig.scheduler.tracker.task(TASK_NAME)
        self.rig.scheduler.tracker.requeue(task, self.rig.now)
        self.rig.scheduler.plan(self.rig.now, [])

    def test_restored_run_is_freed_beside_an_older_run(self) -> None:
        """It stayed SENT for as long as the worker was in contact.

        The report contained an older run of the task.
        """
        self.rig.journal()
        self.worker.running_by_task[TASK_NAME] = 1
        self.rig.begin_term()
        self.rig.hold_all()
        self.assertFalse(self.rig.scheduler.tracker.task(TASK_NAME).is_placed)

    def test_unreported_run_is_freed_beside_an_older_run(self) -> None:
        """It counted as running for as long as the older run did."""
        self.rig.send(self.rig.journal()[0])
        self.worker.running_by_task[TASK_NAME] = 1
        self.rig.now += 0.5
        self.rig.hold_all()
        self.assertFalse(self.rig.scheduler.tracker.task(TASK_NAME).is_placed)

    def test_capacity_of_an_older_run_is_freed_beside_the_newer(self) -> None:
        """Its resources were freed only when the newer run ended, too."""
        self.worker.running_by_task[TASK_NAME] = 1
        self.rig.hold_all()
        self.rig.send(self.rig.journal()[0])
        self.rig.hold_all()
        state = self.rig.scheduler.tracker.workers_by_id['w1']
        self.assertEqual(SMALL, state.used)


class TestRandomSchedules(TestCase):
    """The run tracker stays consistent and all work ends in any schedule."""

    def test_seeds(self) -> None:
        for seed in range(40):
            AccountingRig(seed).run_schedule(300)

    # Seeds that failed before a fault was fixed; each test names its effect.

    def test_stop_of_an_older_run_replaces_another(self) -> None:
        """A newer run on the worker stayed STOPPING for ever."""
        AccountingRig(31).run_schedule(400)

    def test_gang_member_is_freed_twice(self) -> None:
        """The usage of its organisation became negative."""
        AccountingRig(6).run_schedule(400)

    def test_long_running_task_of_a_cancelled_job_ends(self) -> None:
        """Its step became ready again."""
        AccountingRig(63).run_schedule(300)

    def test_registration_of_an_old_incarnation_is_late(self) -> None:
        """Runs of the new incarnation were started on other workers, too."""
        AccountingRig(25).run_schedule(400)

    def test_report_of_an_old_incarnation_is_late(self) -> None:
        """Ends of the new incarnation were acknowledged before being read."""
        AccountingRig(633).run_schedule(300)

    def test_takeover_marks_running_steps_ready(self) -> None:
        """Steps without waiting tasks were marked ready."""
        AccountingRig(0).run_schedule(300)

    def test_restarted_worker_accepts_an_old_start(self) -> None:
        """The run was started on another worker, too."""
        AccountingRig(67).run_schedule(300)

    def test_run_of_a_done_task_continues_beside_another(self) -> None:
        """The run did not count against ``max_per_worker``."""
        AccountingRig(219).run_schedule(400)

    def test_older_run_is_reported_beside_a_restored_one(self) -> None:
        """The restored run stayed SENT."""
        AccountingRig(2).run_schedule(400)

    def test_acknowledgement_reaches_a_restarted_worker(self) -> None:
        """Work that was done ran again."""
        AccountingRig(135).run_schedule(300)

    def test_run_of_a_done_task_goes_on_at_the_limit(self) -> None:
        """The run did not count against the limit."""
        AccountingRig(7).run_schedule(300)

    def test_run_of_a_done_task_starts_after_the_report(self) -> None:
        """The run did not count against the limit."""
        AccountingRig(2246).run_schedule(400)
