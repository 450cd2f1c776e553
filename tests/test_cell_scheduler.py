"""Tests of the elected scheduler with simulated workers and store."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.job_rows import cancel_key
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import EndKind, OrderReply, Refusal
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Row
from apricotlead.state.cell_jobs import TaskState
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
TASK = f'{JOB}.0.0.0'


class TestJobLifecycle(TestCase):
    """A job is started, ends, and is not started again."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1')
        self.rig = CellRig(self.worker)

    def test_job_completes(self) -> None:
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        self.worker.end(TASK)
        self.rig.hold_all()
        self.rig.round()
        self.assertEqual('completed', self.rig.state(JOB))

    def test_start_follows_its_journal_entry(self) -> None:
        """A start sent before its journal entry could run twice after a crash."""
        self.rig.submit(JOB, stored_job())
        self.rig.scheduler.plan(self.rig.now, [])
        self.assertEqual([], self.worker.started)
        starts = self.rig.journal()
        self.assertEqual([TASK], [start.task.name for start in starts])

    def test_late_read_of_a_final_job_starts_nothing(self) -> None:
        """A read that started before the final write must not restart a job."""
        row = self.rig.submit(JOB, stored_job())
        self.rig.round()
        self.worker.end(TASK)
        self.rig.hold_all()
        self.rig.round()
        self.rig.pass_time(1)
        self.rig.scheduler.jobs.apply_job_row(row, self.rig.now)
        self.rig.round()
        self.assertEqual(1, len(self.worker.started))

    def test_end_is_acknowledged_after_the_journal(self) -> None:
        """A worker drops acknowledged ends, so they must be stored before."""
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        self.worker.end(TASK)
        self.rig.hold_all()
        order = self.rig.scheduler.workers.hold_order('w1', self.rig.now)[1]
        self.assertEqual(0, order.acked_through)
        self.rig.journal()
        order = self.rig.scheduler.workers.hold_order('w1', self.rig.now)[1]
        self.assertEqual(1, order.acked_through)

    def test_failed_job_after_all_attempts(self) -> None:
        self.rig.submit(JOB, stored_job(max_attempts=2))
        for _ in range(2):
            self.rig.round()
            self.worker.end(TASK, EndKind.FAILED)
            self.rig.hold_all()
        self.rig.round()
        self.assertEqual('failed', self.rig.state(JOB))
        self.assertEqual(2, len(self.worker.started))


class TestTakeover(TestCase):
    """A successor neither repeats nor loses a run."""

    def setUp(self) -> None:
        super().setUp()
        self.first = ModelWorker('w1')
        self.second = ModelWorker('w2')
        self.rig = CellRig(self.first, self.second)
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        self.holder = self.first if self.first.started else self.second

    def test_running_task_goes_on(self) -> None:
        self.rig.take_over()
        self.rig.pass_time(2)
        started = self.first.started + self.second.started
        self.assertEqual(1, len(started))

    def test_task_of_an_unreachable_worker_waits_for_its_lease(self) -> None:
        """The worker may execute it until its lease of the last term expires."""
        self.holder.is_reachable = False
        self.rig.take_over()
        self.rig.pass_time(5)
        self.assertEqual(1, len(self.first.started + self.second.started))
        self.rig.pass_time(6)
        self.assertEqual(2, len(self.first.started + self.second.started))

    def test_unacknowledged_end_is_taken_over(self) -> None:
        self.holder.end(TASK)
        self.rig.now += 1
        self.rig.take_over()
        self.rig.round()
        self.assertEqual('completed', self.rig.state(JOB))

    def test_end_survives_a_successor_without_contact(self) -> None:
        """Leases are kept over two takeovers in a row, as with a slow store."""
        self.holder.end(TASK)
        self.holder.is_reachable = False
        self.rig.now += 1
        self.rig.take_over()
        self.holder.is_reachable = True
        self.rig.now += 1
        self.rig.take_over()
        self.rig.round()
        self.assertEqual('completed', self.rig.state(JOB))

    def test_end_that_is_reported_after_the_lease_counts(self) -> None:
        """The task is done; another run would repeat its work."""
        self.holder.end(TASK)
        self.rig.now += 30
        self.rig.take_over()
        self.rig.pass_time(1)
        runs = [order.run for order in self.first.started + self.second.started]
        self.assertEqual([1], runs)
        self.assertEqual('completed', self.rig.state(JOB))


class TestLateEnds(TestCase):
    """A completion counts however late it is reported.

    Pattern: a zone that is partitioned for longer than a lease. Its tasks were
    done there but ran again elsewhere, and later steps waited for the second
    runs (LOST, trapwerk-sched-grown, scale-1).
    """

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'), ModelWorker('w2'))

    def submit(self, *steps: StepSpec) -> None:
        """Submit a job and isolate the worker of its first task."""
        self.rig.submit(JOB, stored_job(*steps))
        self.rig.round()
        self.isolated = self.rig.workers_by_id[self.task().worker_id]
        self.isolated.is_reachable = False

    def task(self, name: str = TASK) -> TaskState:
        return self.rig.scheduler.tracker.task(name)

    def other(self) -> ModelWorker:
        """Return the worker that is not isolated."""
        return next(
            worker
            for worker in self.rig.workers_by_id.values()
            if worker is not self.isolated
        )

    def heal(self) -> None:
        """Reconnect the isolated worker and process the ends it reports."""
        self.isolated.is_reachable = True
        self.rig.hold_all()
        self.rig.round()
        self.rig.hold_all()

    def test_end_of_a_former_run_counts(self) -> None:
        self.submit(StepSpec(1, SMALL))
        self.isolated.end(TASK)
        self.rig.pass_time(14)
        self.assertEqual(2, self.task().run)
        self.heal()
        self.assertEqual('completed', self.rig.state(JOB))

    def test_run_that_is_not_needed_is_stopped(self) -> None:
        self.submit(StepSpec(1, SMALL))
        self.isolated.end(TASK)
        self.rig.pass_time(14)
        self.heal()
        stops = self.rig.scheduler.starts.stops_due(self.rig.now)
        self.assertEqual(
            [(self.other().entry.worker_id, TASK, 2)],
            [(entry.worker_id, stop.task, stop.run) for entry, stop in stops],
        )
        self.other().end(TASK, EndKind.STOPPED)
        self.rig.pass_time(1)
        workers = self.rig.scheduler.tracker.workers_by_id.values()
        self.assertEqual([0, 0], [each.used.cpu_millis for each in workers])
        usage = self.rig.scheduler.tracker.usage('clerks')
        self.assertEqual(0, usage.cpu_millis)

    def test_next_step_begins_at_once(self) -> None:
        self.submit(StepSpec(1, SMALL), StepSpec(1, SMALL, after=(0,)))
        self.isolated.end(TASK)
        self.rig.pass_time(14)
        self.heal()
        self.assertTrue(self.task(f'{JOB}.0.1.0').is_placed)

    def test_end_of_a_whole_gang_counts(self) -> None:
        whole = Resources(9000, 1024, 0)
        self.submit(StepSpec(2, whole, gang=True))
        for worker in self.rig.workers_by_id.values():
            worker.is_reachable = False
        self.isolated.end(TASK)
        self.rig.pass_time(14)
        self.heal()
        self.assertEqual('completed', self.rig.state(JOB))

    def test_run_that_only_lapsed_is_repeated(self) -> None:
        self.submit(StepSpec(1, SMALL))
        self.isolated.end(TASK, EndKind.LAPSED)
        self.rig.pass_time(14)
        self.heal()
        self.assertEqual(2, self.task().run)
        self.assertTrue(self.task().is_placed)


class TestGrants(TestCase):
    """No lease lasts longer than the owner row lets a successor assume."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'))

    def deadline_ms(self) -> float | None:
        """Return the deadline that the next hold grants."""
        hold = self.rig.scheduler.workers.hold_order('w1', self.rig.now)
        return hold[1].deadline_ms

    def test_grants_count_from_when_the_row_was_made(self) -> None:
        """A write that is retried for 3 s becomes durable late."""
        made_s = self.rig.now
        batch, _ = self.rig.scheduler.take_batch(made_s)
        for _ in range(6):
            self.rig.now += 0.5
            self.rig.hold_all()
        self.rig.scheduler.committed(
            batch,
            self.rig.version + 1,
            self.rig.store_ms,
            self.rig.now,
        )
        longest_s = CellSettings().leases.longest_s
        self.assertLessEqual(self.deadline_ms(), (made_s + longest_s) * 1000)

    def test_worker_recorded_as_silent_is_granted_nothing(self) -> None:
        """This holds as soon as that write is prepared."""
        self.rig.now += 2.8
        self.rig.scheduler.take_batch(self.rig.now)
        self.assertIsNone(self.deadline_ms())

    def test_grants_follow_a_takeover_at_once(self) -> None:
        """With a slow store, a term's first write takes a third of a second.

        Without grants, no worker could be used until then.
        """
        self.rig.begin_term()
        self.rig.hold_all()
        self.assertIsNotNone(self.deadline_ms())


class TestRestartedWorkers(TestCase):
    """A crashed worker restarts, sometimes under another id."""

    def test_late_registration_of_an_earlier_process_frees_nothing(
        self,
    ) -> None:
        """Only the worker itself can report that an earlier process ended."""
        rig = CellRig(ModelWorker('w1'), ModelWorker('w2'))
        rig.submit(JOB, stored_job())
        rig.round()
        holder = rig.scheduler.tracker.task(TASK).worker_id
        entry = rig.workers_by_id[holder].entry
        former = msgspec.structs.replace(entry, worker_id='former')
        rig.scheduler.workers.update_worker(former, rig.now)
        rig.round()
        self.assertEqual(holder, rig.scheduler.tracker.task(TASK).worker_id)

    def test_run_is_lost_when_another_incarnation_answers(self) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker, ModelWorker('w2'))
        rig.submit(JOB, stored_job())
        rig.round()
        holder = rig.scheduler.tracker.task(TASK).worker_id
        rig.scheduler.workers.hold_refused(
            holder,
            OrderReply(Refusal.OTHER_LIFE),
            rig.now,
        )
        rig.round()
        self.assertNotEqual(holder, rig.scheduler.tracker.task(TASK).worker_id)


class TestGangs(TestCase):
    """All members of a gang run, or none."""

    def test_gang_waits_for_capacity_for_all_members(self) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job(StepSpec(17, SMALL, gang=True)))
        rig.round()
        self.assertEqual([], worker.started)

    def test_rest_of_a_broken_gang_is_stopped(self) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job(StepSpec(2, SMALL, gang=True)))
        rig.round()
        worker.end(TASK, EndKind.FAILED)
        rig.hold_all()
        stops = rig.scheduler.starts.stops_due(rig.now)
        self.assertEqual([f'{JOB}.0.0.1'], [stop.task for _, stop in stops])

    def test_gang_of_an_abandoned_start_is_stopped(self) -> None:
        """The other members waited 3 s for a member that never started.

        The reply to its start was lost, and its ticket expired before the
        retry (stenora-ops, quiet-1 --vary --seed 605453616310).
        """
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job(StepSpec(2, SMALL, gang=True)))
        rig.scheduler.plan(rig.now, [])
        lost, answered = rig.journal()
        rig.send(answered)
        reply = OrderReply(Refusal.UNANSWERED)
        starts = rig.scheduler.starts
        starts.start_answered(lost, reply, rig.now, rig.now)
        lost.deadline_s = rig.now
        self.assertIsNone(starts.start_order(lost, rig.now))
        stopped = {stop.task for _, stop in starts.stops_due(rig.now)}
        self.assertEqual({f'{JOB}.0.0.0', f'{JOB}.0.0.1'}, stopped)


class TestLostAnswers(TestCase):
    """A start whose reply was lost may run, so no other run may start."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'), ModelWorker('w2'))
        self.rig.submit(JOB, stored_job())
        self.rig.scheduler.plan(self.rig.now, [])
        self.start = self.rig.journal()[0]
        self.worker = self.rig.workers_by_id[self.start.worker.worker_id]
        order = self.rig.scheduler.starts.start_order(self.start, self.rig.now)
        self.worker.start(order)
        self.refuse(Refusal.UNANSWERED)

    def refuse(self, refusal: Refusal) -> bool:
        reply = OrderReply(refusal)
        now = self.rig.now
        return self.rig.scheduler.starts.start_answered(
            self.start, reply, now, now
        )

    def test_retry_that_cannot_be_sent_frees_nothing(self) -> None:
        """The worker became unreachable after it started the run."""
        self.worker.is_reachable = False
        self.refuse(Refusal.NOT_SENT)
        self.rig.pass_time(3)
        started = [
            order
            for worker in self.rig.workers_by_id.values()
            for order in worker.started
        ]
        self.assertEqual(1, len(started))

    def test_worker_that_fell_silent_frees_nothing(self) -> None:
        """The check before a retry must not requeue the task."""
        self.worker.is_reachable = False
        self.rig.now += 4
        order = self.rig.scheduler.starts.start_order(self.start, self.rig.now)
        self.assertIsNone(order)
        self.assertTrue(self.start.task.is_placed)

    def test_refused_retry_is_stopped_before_it_starts_again(self) -> None:
        """The first order may still be executed, seconds later."""
        self.worker.running_by_task.clear()
        self.refuse(Refusal.UNHEALTHY)
        stops = self.rig.scheduler.starts.stops_due(self.rig.now)
        self.assertEqual([TASK], [order.task for _, order in stops])
        self.rig.now += 0.1
        name = self.worker.entry.worker_id
        self.rig.scheduler.tracker.stop_acked(name, TASK, 1, self.rig.now)
        self.rig.now += 0.1
        self.rig.pass_time(2)
        runs = [
            order.run
            for worker in self.rig.workers_by_id.values()
            for order in worker.started
        ]
        self.assertEqual([1, 2], sorted(runs))


class TestPendingCount(TestCase):
    """The count of jobs that have not started survives a takeover."""

    def test_dropped_start_still_counts_after_a_takeover(self) -> None:
        """A journaled start that was never sent does not start the job."""
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job())
        rig.scheduler.plan(rig.now, [])
        rig.journal()
        rig.take_over()
        pending = rig.scheduler.jobs.pending_by_queue()
        self.assertEqual({'lookups': 1}, pending)

    def test_cancelled_job_of_a_previous_term_frees_its_capacity(self) -> None:
        """A run that was journaled but not sent must not occupy capacity."""
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job())
        rig.scheduler.plan(rig.now, [])
        rig.journal()
        rig.rows_by_key[cancel_key(JOB)] = Row(cancel_key(JOB), 1, 1)
        rig.take_over()
        state = rig.scheduler.tracker.workers_by_id['w1']
        self.assertEqual(Resources(), state.used)

    def test_started_job_is_not_pending(self) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job())
        rig.round()
        self.assertEqual({}, rig.scheduler.jobs.pending_by_queue())
        rig.take_over()
        self.assertEqual({}, rig.scheduler.jobs.pending_by_queue())


class TestStrayRuns(TestCase):
    """Runs of final jobs still occupy capacity."""

    def test_run_of_a_removed_job_blocks_its_worker(self) -> None:
        """A successor does not know the demand of such a run."""
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        worker.running_by_task['00000000000000bb.0.0.0'] = 1
        rig.take_over()
        rig.submit(JOB, stored_job())
        rig.round()
        self.assertEqual([], worker.started)
        worker.end('00000000000000bb.0.0.0', EndKind.STOPPED)
        rig.pass_time(1)
        self.assertEqual(1, len(worker.started))
