"""What the scheduler counts of runs, room and limits, whatever happens."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.job_rows import cancel_key
from apricotlead.coordination.cell.journal import PROGRESS_PREFIX
from apricotlead.protocol.cell_jobs import JobProgress, StepRecord, StepSpec
from apricotlead.protocol.cell_workers import EndedTask, EndKind
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Row
from apricotlead.state.cell_workers import WorkerState
from tests.accounting.rig import AccountingRig
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
TASK = f'{JOB}.0.0.0'


class TestStops(TestCase):
    """Two runs of a task on one worker are stopped independently."""

    def test_older_run_that_is_listed_leaves_a_pending_stop(self) -> None:
        """The newer run stayed STOPPING, and its step was never placed."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB, stored_job())
        rig.scheduler.plan(rig.now, [])
        task = rig.scheduler.book.task(TASK)
        rig.scheduler.book.unplace(task, rig.now)
        rig.scheduler.plan(rig.now, [])
        rig.journal()
        rig.scheduler.book.stop(task)
        rig.workers_by_id['w1'].running_by_task[TASK] = 1
        rig.hold('w1')
        stops = rig.scheduler.starts.stops_due(rig.now)
        self.assertEqual({1, 2}, {stop.run for _, stop in stops})


class TestUsage(TestCase):
    """An organisation's usage is what its placed tasks demand."""

    def test_gang_member_that_was_freed_is_not_freed_again(self) -> None:
        """Usage below zero lets an organisation exceed its limit."""
        whole = Resources(9000, 1024, 0)
        rig = CellRig(ModelWorker('w1'), ModelWorker('w2'))
        rig.submit(JOB, stored_job(StepSpec(2, whole, gang=True)))
        rig.round()
        task = rig.scheduler.book.task(TASK)
        other = rig.scheduler.book.task(f'{JOB}.0.0.1')
        rig.scheduler.book.unplace(other, rig.now)
        rig.workers_by_id[task.worker_id].end(TASK)
        rig.hold(task.worker_id)
        self.assertEqual(Resources(), rig.scheduler.book.usage('clerks'))

    def test_run_of_a_task_that_is_done_counts_until_it_ends(self) -> None:
        """What is being stopped runs still (QUOTA)."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB, stored_job(StepSpec(2, SMALL)))
        rig.round()
        worker = rig.workers_by_id['w1']
        end = EndedTask(1, TASK, 0, EndKind.DONE)
        report = msgspec.structs.replace(worker.report(rig.now), ended=(end,))
        answered = rig.scheduler.workers.hold_answered
        answered('w1', report, rig.now, rig.now)
        usage = rig.scheduler.book.usage('clerks')
        self.assertEqual(SMALL + SMALL, usage)
        worker.end(TASK, EndKind.STOPPED)
        worker.ended[0] = msgspec.structs.replace(worker.ended[0], number=2)
        rig.hold('w1')
        self.assertEqual(SMALL, rig.scheduler.book.usage('clerks'))

    def test_run_of_a_done_task_counts_until_its_stop(self) -> None:
        """It may begin after the list that does not show it was made."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB, stored_job(StepSpec(2, SMALL)))
        rig.round()
        worker = rig.workers_by_id['w1']
        worker.running_by_task.pop(TASK)
        end = EndedTask(1, TASK, 0, EndKind.DONE)
        report = msgspec.structs.replace(worker.report(rig.now), ended=(end,))
        answered = rig.scheduler.workers.hold_answered
        answered('w1', report, rig.now, rig.now)
        self.assertEqual(SMALL + SMALL, rig.scheduler.book.usage('clerks'))
        rig.scheduler.book.stop_acked('w1', TASK, 1, rig.now)
        rig.now += 0.1
        rig.hold('w1')
        self.assertEqual(SMALL, rig.scheduler.book.usage('clerks'))

    def test_run_of_a_done_task_counts_until_its_lease_is_over(self) -> None:
        """Its worker may stay silent for long."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB, stored_job(StepSpec(2, SMALL)))
        rig.round()
        worker = rig.workers_by_id['w1']
        end = EndedTask(1, TASK, 0, EndKind.DONE)
        report = msgspec.structs.replace(worker.report(rig.now), ended=(end,))
        answered = rig.scheduler.workers.hold_answered
        answered('w1', report, rig.now, rig.now)
        worker.is_reachable = False
        rig.pass_time(14)
        self.assertEqual(Resources(), rig.scheduler.book.usage('clerks'))


class TestLastingTasks(TestCase):
    """A task that lasts begins again when it ends, while its job lives."""

    def test_end_after_the_cancel_starts_nothing(self) -> None:
        """The step was placed again, and its room never came free."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB, stored_job(StepSpec(1, SMALL, long_running=True)))
        rig.round()
        row = Row(cancel_key(JOB), 1, 1)
        rig.scheduler.jobs.job_row(row, rig.now)
        rig.workers_by_id['w1'].end(TASK)
        rig.hold('w1')
        rig.pass_time(1)
        self.assertEqual({}, rig.scheduler.book.ready_steps_by_name)
        state = rig.scheduler.book.workers_by_id['w1']
        self.assertEqual(Resources(), state.used)


class TestLivesUnderOneId(TestCase):
    """A worker that starts again under its id has a later birth."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1', born_ms=1)
        self.rig = CellRig(self.worker)
        self.former = self.worker.entry
        self.report = self.worker.report(self.rig.now)
        self.worker.entry = msgspec.structs.replace(self.former, born_ms=2)
        self.rig.scheduler.workers.update_worker(
            self.worker.entry, self.rig.now
        )
        self.rig.pass_time(1)

    @property
    def state(self) -> WorkerState:
        return self.rig.scheduler.book.workers_by_id['w1']

    def test_late_registration_of_the_former_life_frees_nothing(self) -> None:
        """The next hold showed the later birth, and runs there were freed."""
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        life = self.state
        self.rig.scheduler.workers.update_worker(self.former, self.rig.now)
        report = msgspec.structs.replace(
            self.worker.report(self.rig.now), born_ms=2
        )
        self.rig.scheduler.workers.hold_answered(
            'w1', report, self.rig.now, self.rig.now
        )
        self.assertIs(life, self.state)
        self.assertIn(TASK, self.state.tasks_by_name)

    def test_late_lists_of_the_former_life_count_for_nothing(self) -> None:
        """Ends of the later life were acknowledged before it listed them."""
        end = EndedTask(5, TASK, 1, EndKind.DONE)
        report = msgspec.structs.replace(self.report, ended=(end,), born_ms=1)
        self.rig.scheduler.workers.hold_answered(
            'w1', report, self.rig.now, self.rig.now
        )
        self.assertEqual(0, self.state.reported_through)

    def test_acknowledgement_under_way_stays_with_its_life(self) -> None:
        """Ends of the later life were forgotten before they were heard."""
        worker = self.state
        worker.reported_through = 7
        batch, _ = self.rig.scheduler.take_batch(self.rig.now)
        later = msgspec.structs.replace(self.worker.entry, born_ms=3)
        self.rig.scheduler.workers.update_worker(later, self.rig.now)
        self.rig.scheduler.committed(
            batch, self.rig.version + 1, self.rig.store_ms, self.rig.now
        )
        self.assertEqual(0, self.state.acked_through)


class TestStartsAtABirth(TestCase):
    """A start names a worker's id only, so the next life may take it."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1', born_ms=1)
        self.rig = CellRig(self.worker)
        self.rig.submit(JOB, stored_job())
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
        """Let the next life answer the stop."""
        self.rig.scheduler.book.stop_acked('w1', TASK, 1, self.rig.now)

    def test_run_begins_elsewhere_after_its_stop(self) -> None:
        """It ran in the next life and began elsewhere beside that."""
        self.rig.pass_time(2)
        self.assertEqual([], self.rig.workers_by_id['w2'].started)
        stops = self.rig.scheduler.starts.stops_due(self.rig.now)
        self.assertEqual([TASK], [stop.task for _, stop in stops])
        self.stop_acked()
        self.worker.end(TASK, EndKind.STOPPED)
        self.rig.pass_time(1)
        runs = [order.run for order in self.rig.workers_by_id['w2'].started]
        runs.extend(order.run for order in self.worker.started)
        self.assertEqual([1, 2], sorted(runs))

    def test_run_that_did_not_reach_it_begins_after_its_stop(self) -> None:
        """The start may still be on its way when the first lists come."""
        self.worker.running_by_task.clear()
        self.rig.pass_time(2)
        self.assertEqual(1, self.rig.scheduler.book.task(TASK).run)
        self.stop_acked()
        self.rig.pass_time(1)
        self.assertEqual(2, self.rig.scheduler.book.task(TASK).run)


class TestReadySteps(TestCase):
    """Only steps with tasks that wait are ready."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'))
        self.rig.submit(JOB, stored_job())
        self.rig.round()

    def test_step_that_runs_is_not_ready_after_a_takeover(self) -> None:
        """Each round of placement of the term weighed it in vain."""
        self.rig.begin_term()
        self.assertEqual({}, self.rig.scheduler.book.ready_steps_by_name)

    def test_job_whose_progress_is_unreadable_takes_no_room(self) -> None:
        """Its tasks were placed, never journaled, and kept their room."""
        key = f'{PROGRESS_PREFIX}{JOB}'
        record = JobProgress([StepRecord(0, 0, [])])
        self.rig.rows_by_key[key] = Row(key, 1, msgspec.to_builtins(record))
        self.rig.workers_by_id['w1'].running_by_task.clear()
        self.rig.take_over()
        self.rig.round()
        state = self.rig.scheduler.book.workers_by_id['w1']
        self.assertEqual(Resources(), state.used)


class TestMaxPerWorker(TestCase):
    """Whatever still runs of a step on a worker counts there."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'))
        step = StepSpec(2, SMALL, max_per_worker=1)
        self.rig.submit(JOB, stored_job(step))
        self.rig.round()
        self.book = self.rig.scheduler.book
        self.other = self.book.task(f'{JOB}.0.0.1')

    def end_former_run(self) -> None:
        """Call the task done that runs, by the end of a former run."""
        end = EndedTask(1, TASK, 0, EndKind.DONE)
        worker = self.rig.workers_by_id['w1']
        report = msgspec.structs.replace(
            worker.report(self.rig.now), ended=(end,)
        )
        self.rig.scheduler.workers.hold_answered(
            'w1', report, self.rig.now, self.rig.now
        )

    def test_run_of_a_task_that_is_done_counts_until_it_ends(self) -> None:
        """A second task was started beside it (ROUTE)."""
        self.end_former_run()
        self.rig.round()
        self.assertFalse(self.other.is_placed)
        worker = self.rig.workers_by_id['w1']
        worker.end(TASK, EndKind.STOPPED)
        # The worker has listed its first end.
        worker.ended[0] = msgspec.structs.replace(worker.ended[0], number=2)
        self.rig.pass_time(1)
        self.assertTrue(self.other.is_placed)

    def test_stray_run_counts(self) -> None:
        """After a takeover such a run is known by the worker's list only."""
        self.end_former_run()
        self.rig.journal()
        self.rig.take_over()
        self.rig.round()
        other = self.rig.scheduler.book.task(self.other.name)
        self.assertFalse(other.is_placed)


class TestLists(TestCase):
    """A list tells of runs, not of tasks."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1')
        self.rig = CellRig(self.worker)
        self.rig.submit(JOB, stored_job())
        self.rig.scheduler.plan(self.rig.now, [])
        task = self.rig.scheduler.book.task(TASK)
        self.rig.scheduler.book.unplace(task, self.rig.now)
        self.rig.scheduler.plan(self.rig.now, [])

    def test_restored_run_is_freed_beside_an_older_run(self) -> None:
        """It stayed SENT for as long as the worker was in contact."""
        self.rig.journal()
        self.worker.running_by_task[TASK] = 1
        self.rig.begin_term()
        self.rig.hold_all()
        self.assertFalse(self.rig.scheduler.book.task(TASK).is_placed)

    def test_run_that_vanished_is_freed_beside_an_older_run(self) -> None:
        """It counted as running for as long as the older one did."""
        self.rig.send(self.rig.journal()[0])
        self.worker.running_by_task[TASK] = 1
        self.rig.now += 0.5
        self.rig.hold_all()
        self.assertFalse(self.rig.scheduler.book.task(TASK).is_placed)

    def test_room_of_an_older_run_is_freed_beside_the_newer(self) -> None:
        """It was taken until the newer run had ended, too."""
        self.worker.running_by_task[TASK] = 1
        self.rig.hold_all()
        self.rig.send(self.rig.journal()[0])
        self.rig.hold_all()
        state = self.rig.scheduler.book.workers_by_id['w1']
        self.assertEqual(SMALL, state.used)


class TestRandomSchedules(TestCase):
    """The books stay right, and nothing is parked, whatever happens."""

    def test_seeds(self) -> None:
        for seed in range(40):
            AccountingRig(seed).run_schedule(300)

    # Seeds that failed before a fault was mended, with its effect.

    def test_stop_of_an_older_run_replaces_another(self) -> None:
        """A newer run on the worker was STOPPING for ever."""
        AccountingRig(31).run_schedule(400)

    def test_gang_member_is_freed_twice(self) -> None:
        """The usage of its organisation fell below zero."""
        AccountingRig(6).run_schedule(400)

    def test_lasting_task_of_a_cancelled_job_ends(self) -> None:
        """Its step was ready again."""
        AccountingRig(63).run_schedule(300)

    def test_registration_of_a_former_life_is_late(self) -> None:
        """Runs of the present life began elsewhere beside it."""
        AccountingRig(25).run_schedule(400)

    def test_lists_of_a_former_life_are_late(self) -> None:
        """Ends of the present life were acknowledged unheard."""
        AccountingRig(633).run_schedule(300)

    def test_takeover_opens_steps_that_run(self) -> None:
        """Steps without waiting tasks were ready."""
        AccountingRig(0).run_schedule(300)

    def test_next_life_takes_a_start(self) -> None:
        """The run began elsewhere beside it."""
        AccountingRig(67).run_schedule(300)

    def test_run_of_a_done_task_is_beside_another(self) -> None:
        """It did not count against ``max_per_worker``."""
        AccountingRig(219).run_schedule(400)

    def test_older_run_is_listed_for_a_restored_one(self) -> None:
        """The restored run stayed SENT."""
        AccountingRig(2).run_schedule(400)

    def test_acknowledgement_reaches_the_next_life(self) -> None:
        """Done work ran again."""
        AccountingRig(135).run_schedule(300)

    def test_done_task_goes_on_at_the_limit(self) -> None:
        """Its run did not count against the limit."""
        AccountingRig(7).run_schedule(300)

    def test_done_task_begins_after_its_list(self) -> None:
        """Its run did not count against the limit."""
        AccountingRig(2246).run_schedule(400)
