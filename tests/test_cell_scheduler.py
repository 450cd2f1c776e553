"""The elected scheduler over model workers and a model store."""

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


class TestLifeOfAJob(TestCase):
    """A job is started, ends, and stays ended."""

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
        """A start without a journal entry could run twice after a crash."""
        self.rig.submit(JOB, stored_job())
        self.rig.scheduler.plan(self.rig.now, [])
        self.assertEqual([], self.worker.started)
        starts = self.rig.journal()
        self.assertEqual([TASK], [start.task.name for start in starts])

    def test_late_read_of_a_final_job_starts_nothing(self) -> None:
        """A read that began before the final write must not revive a job."""
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
        """An end that is forgotten by its worker must be in the store."""
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
        self.near = ModelWorker('w1')
        self.far = ModelWorker('w2')
        self.rig = CellRig(self.near, self.far)
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        self.holder = self.near if self.near.started else self.far

    def test_running_task_goes_on(self) -> None:
        self.rig.take_over()
        self.rig.pass_time(2)
        started = self.near.started + self.far.started
        self.assertEqual(1, len(started))

    def test_task_of_an_unreachable_worker_waits_for_its_lease(self) -> None:
        """The worker may run on until the lease of the former term ends."""
        self.holder.is_reachable = False
        self.rig.take_over()
        self.rig.pass_time(5)
        self.assertEqual(1, len(self.near.started + self.far.started))
        self.rig.pass_time(6)
        self.assertEqual(2, len(self.near.started + self.far.started))

    def test_unacknowledged_end_is_taken_over(self) -> None:
        self.holder.end(TASK)
        self.rig.now += 1
        self.rig.take_over()
        self.rig.round()
        self.assertEqual('completed', self.rig.state(JOB))

    def test_end_survives_a_successor_that_heard_nothing(self) -> None:
        """Leases are known over two takeovers in a row, as in a slow store."""
        self.holder.end(TASK)
        self.holder.is_reachable = False
        self.rig.now += 1
        self.rig.take_over()
        self.holder.is_reachable = True
        self.rig.now += 1
        self.rig.take_over()
        self.rig.round()
        self.assertEqual('completed', self.rig.state(JOB))

    def test_end_that_is_heard_after_a_lapse_counts(self) -> None:
        """The work is done; running it again would do it twice."""
        self.holder.end(TASK)
        self.rig.now += 30
        self.rig.take_over()
        self.rig.pass_time(1)
        runs = [order.run for order in self.near.started + self.far.started]
        self.assertEqual([1], runs)
        self.assertEqual('completed', self.rig.state(JOB))


class TestLateEnds(TestCase):
    """Work that is done counts, however late that is heard.

    Pattern: a zone that is cut off for longer than a lease. Its tasks were done
    behind the cut, ran again elsewhere, and the steps after them waited for
    that (LOST, trapwerk-sched-grown, scale-1).
    """

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'), ModelWorker('w2'))

    def submit(self, *steps: StepSpec) -> None:
        """Hand in a job and have its first step's worker cut off."""
        self.rig.submit(JOB, stored_job(*steps))
        self.rig.round()
        self.cut = self.rig.workers_by_id[self.task().worker_id]
        self.cut.is_reachable = False

    def task(self, name: str = TASK) -> TaskState:
        return self.rig.scheduler.tracker.task(name)

    def other(self) -> ModelWorker:
        """Return the worker that is not cut off."""
        return next(
            worker
            for worker in self.rig.workers_by_id.values()
            if worker is not self.cut
        )

    def heal(self) -> None:
        """Let the cut off worker tell its ends, and all be acted on."""
        self.cut.is_reachable = True
        self.rig.hold_all()
        self.rig.round()
        self.rig.hold_all()

    def test_end_of_a_former_run_counts(self) -> None:
        self.submit(StepSpec(1, SMALL))
        self.cut.end(TASK)
        self.rig.pass_time(14)
        self.assertEqual(2, self.task().run)
        self.heal()
        self.assertEqual('completed', self.rig.state(JOB))

    def test_run_that_is_not_needed_is_stopped(self) -> None:
        self.submit(StepSpec(1, SMALL))
        self.cut.end(TASK)
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
        self.cut.end(TASK)
        self.rig.pass_time(14)
        self.heal()
        self.assertTrue(self.task(f'{JOB}.0.1.0').is_placed)

    def test_end_of_a_whole_gang_counts(self) -> None:
        whole = Resources(9000, 1024, 0)
        self.submit(StepSpec(2, whole, gang=True))
        for worker in self.rig.workers_by_id.values():
            worker.is_reachable = False
        self.cut.end(TASK)
        self.rig.pass_time(14)
        self.heal()
        self.assertEqual('completed', self.rig.state(JOB))

    def test_run_that_only_lapsed_is_repeated(self) -> None:
        self.submit(StepSpec(1, SMALL))
        self.cut.end(TASK, EndKind.LAPSED)
        self.rig.pass_time(14)
        self.heal()
        self.assertEqual(2, self.task().run)
        self.assertTrue(self.task().is_placed)


class TestGrants(TestCase):
    """No lease outlasts what the owner row tells a successor."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'))

    def deadline_ms(self) -> float | None:
        """Return what the next hold grants."""
        hold = self.rig.scheduler.workers.hold_order('w1', self.rig.now)
        return hold[1].deadline_ms

    def test_grants_count_from_when_the_row_was_made(self) -> None:
        """A write that is sent again for 3 s becomes durable late."""
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

    def test_worker_that_the_row_calls_silent_is_granted_nothing(self) -> None:
        """Also while the write that says so is under way."""
        self.rig.now += 2.8
        self.rig.scheduler.take_batch(self.rig.now)
        self.assertIsNone(self.deadline_ms())

    def test_grants_follow_a_takeover_at_once(self) -> None:
        """In a slow store the first write of a term takes a third of a second.

        Until then no worker is of use.
        """
        self.rig.begin_term()
        self.rig.hold_all()
        self.assertIsNotNone(self.deadline_ms())


class TestFormerLives(TestCase):
    """A worker that crashed starts again, at times under another id."""

    def test_late_registration_of_a_former_life_frees_nothing(self) -> None:
        """Only the worker itself can tell that a life is over."""
        rig = CellRig(ModelWorker('w1'), ModelWorker('w2'))
        rig.submit(JOB, stored_job())
        rig.round()
        holder = rig.scheduler.tracker.task(TASK).worker_id
        entry = rig.workers_by_id[holder].entry
        former = msgspec.structs.replace(entry, worker_id='former')
        rig.scheduler.workers.update_worker(former, rig.now)
        rig.round()
        self.assertEqual(holder, rig.scheduler.tracker.task(TASK).worker_id)

    def test_life_is_over_when_another_answers_for_it(self) -> None:
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
    """A gang runs whole or not at all."""

    def test_gang_waits_for_room_for_all(self) -> None:
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

    def test_gang_of_a_start_that_is_given_up_is_stopped(self) -> None:
        """Its other members waited 3 s for it, alone.

        The answer to one start was lost, and its ticket expired before the
        repeat (stenora-ops, quiet-1 --vary --seed 605453616310).
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
    """A start whose answer was lost may run; nothing else may begin it."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'), ModelWorker('w2'))
        self.rig.submit(JOB, stored_job())
        self.rig.scheduler.plan(self.rig.now, [])
        self.start = self.rig.journal()[0]
        self.worker = self.rig.workers_by_id[self.start.worker.worker_id]
        order = self.rig.scheduler.starts.start_order(self.start, self.rig.now)
        self.worker.start(order)
        self.answer(Refusal.UNANSWERED)

    def answer(self, refusal: Refusal) -> bool:
        reply = OrderReply(refusal)
        now = self.rig.now
        return self.rig.scheduler.starts.start_answered(
            self.start, reply, now, now
        )

    def test_repeat_that_cannot_be_sent_frees_nothing(self) -> None:
        """The worker was cut off after it began the run."""
        self.worker.is_reachable = False
        self.answer(Refusal.NOT_SENT)
        self.rig.pass_time(3)
        started = [
            order
            for worker in self.rig.workers_by_id.values()
            for order in worker.started
        ]
        self.assertEqual(1, len(started))

    def test_worker_that_fell_silent_frees_nothing(self) -> None:
        """The check before a repeat must not give the task away."""
        self.worker.is_reachable = False
        self.rig.now += 4
        order = self.rig.scheduler.starts.start_order(self.start, self.rig.now)
        self.assertIsNone(order)
        self.assertTrue(self.start.task.is_placed)

    def test_refused_repeat_is_stopped_before_it_begins_again(self) -> None:
        """The first order may still be carried out, seconds later."""
        self.worker.running_by_task.clear()
        self.answer(Refusal.UNHEALTHY)
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


class TestPending(TestCase):
    """Jobs that have not begun are counted, whoever schedules."""

    def test_dropped_start_still_counts_after_a_takeover(self) -> None:
        """A journaled start that was never sent is no beginning."""
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job())
        rig.scheduler.plan(rig.now, [])
        rig.journal()
        rig.take_over()
        pending = rig.scheduler.jobs.pending_by_queue()
        self.assertEqual({'lookups': 1}, pending)

    def test_cancelled_job_of_a_former_term_frees_its_room(self) -> None:
        """A run that was journaled but not sent must not hold room."""
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job())
        rig.scheduler.plan(rig.now, [])
        rig.journal()
        rig.rows_by_key[cancel_key(JOB)] = Row(cancel_key(JOB), 1, 1)
        rig.take_over()
        state = rig.scheduler.tracker.workers_by_id['w1']
        self.assertEqual(Resources(), state.used)

    def test_begun_job_does_not_count(self) -> None:
        worker = ModelWorker('w1')
        rig = CellRig(worker)
        rig.submit(JOB, stored_job())
        rig.round()
        self.assertEqual({}, rig.scheduler.jobs.pending_by_queue())
        rig.take_over()
        self.assertEqual({}, rig.scheduler.jobs.pending_by_queue())


class TestStrayRuns(TestCase):
    """Runs of jobs that are final still take their room."""

    def test_run_of_a_forgotten_job_blocks_its_worker(self) -> None:
        """A successor does not know how much such a run takes."""
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
