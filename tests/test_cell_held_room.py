"""Tests that work that cannot proceed does not block work that can."""

from collections.abc import Iterable

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.order import order_key
from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import (
    AdviceAnswer,
    EndKind,
    OrderReply,
    Refusal,
)
from apricotlead.protocol.resources import Resources
from tests.cell_rig import CAPACITY, SMALL, CellRig, ModelWorker, stored_job

LATER = 'f' * 16
FIRST = 'a' * 16
WHOLE = Resources(16000, 1024)
POLICY = AdvicePolicy(100, 1, 2000)
ASKERS = ('peer1', 'peer2', 'peer3')


def job_id(number: int) -> str:
    return format(number, '016x')


def make_workers(count: int) -> tuple[ModelWorker, ...]:
    return tuple(ModelWorker(f'w{each}') for each in range(count))


def answer_all(rig: CellRig, good: Iterable[str]) -> list[str]:
    """Plan, answer all advice calls alike; return the steps of the calls."""
    asked_s = rig.now
    calls = rig.scheduler.plan(rig.now, list(ASKERS))
    rig.pass_time(0.5)
    answer = AdviceAnswer(dict.fromkeys(good, 'ticket'), 2000)
    for call in calls:
        rig.scheduler.advice.answered(call, answer, asked_s, rig.now)
    return [each.step for each in calls]


class TestAcknowledgements(TestCase):
    """Ends whose effects are durable are acknowledged under any backlog.

    A worker lists at most 500 unacknowledged ends, so without
    acknowledgements the scheduler never learns of later ones.
    """

    def test_journal_that_falls_behind(self) -> None:
        rig = CellRig(*make_workers(2))
        rig.submit(FIRST, stored_job())
        rig.round()
        task = f'{FIRST}.0.0.0'
        worker = next(
            each
            for each in rig.workers_by_id.values()
            if task in each.running_by_task
        )
        worker.end(task)
        rig.hold(worker.entry.worker_id)
        for number in range(20):
            # More jobs change between two writes than one write can hold.
            for each in range(90):
                rig.submit(job_id(number * 90 + each), stored_job())
            for job in rig.scheduler.tracker.jobs_by_id.values():
                rig.scheduler.tracker.mark_dirty(job)
            rig.journal()
        state = rig.scheduler.tracker.workers_by_id[worker.entry.worker_id]
        self.assertEqual(1, state.acked_through)

    def test_end_that_is_not_journaled_yet(self) -> None:
        """Guards against losing the end if the term ends before the write."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(FIRST, stored_job())
        rig.round()
        for number in range(90):
            rig.submit(job_id(number), stored_job())
            job = rig.scheduler.tracker.jobs_by_id[job_id(number)]
            rig.scheduler.tracker.mark_dirty(job)
        rig.workers_by_id['w1'].end(f'{FIRST}.0.0.0')
        rig.hold('w1')
        rig.journal()
        state = rig.scheduler.tracker.workers_by_id['w1']
        self.assertEqual(0, state.acked_through)
        rig.journal()
        self.assertEqual(1, state.acked_through)


class TestWriteSize(TestCase):
    """The platform's store rejects writes of more than 1 MB.

    Such a write was retried until the term ended, and again in the next term.
    """

    def test_many_large_jobs_that_start_at_once(self) -> None:
        capacity = Resources(100000, 100000)
        worker = ModelWorker('i-0000000001', capacity=capacity)
        rig = CellRig(worker)
        wide = StepSpec(1500, Resources(1, 1))
        for number in range(30):
            rig.submit(job_id(number), stored_job(wide))
        rig.scheduler.plan(rig.now, [])
        batch, _ = rig.scheduler.take_batch(rig.now)
        encoded = [
            msgspec.json.encode(put.value) for put in batch.transaction.puts
        ]
        # Values are sent in base64.
        size = sum(len(value) for value in encoded) * 4 / 3
        self.assertLess(size, 1000000)
        self.assertLess(1, len(batch.planned))


class TestServices(TestCase):
    """Steps of a full service do not delay the steps of an idle one."""

    def test_many_steps_that_wait_for_another_service(self) -> None:
        full = [ModelWorker(f'full{each}') for each in range(4)]
        idle = ModelWorker('idle', service='captions')
        rig = CellRig(*full, idle)
        filling = StepSpec(4, WHOLE, estimated_ms=60000)
        rig.submit('e' * 16, stored_job(filling))
        rig.round()
        for number in range(70):
            rig.submit(job_id(number), stored_job(StepSpec(1, SMALL)))
        rig.submit(LATER, stored_job(service='captions', priority=1))
        rig.pass_time(1)
        self.assertEqual(1, len(idle.started))


class TestClaims(TestCase):
    """A step must not claim capacity that stays in use past its ticket."""

    def test_gangs_that_wait_for_long_runs(self) -> None:
        """Guards against four gangs claiming all capacity.

        A step that had free capacity then never requested advice.
        """
        rig = CellRig(*make_workers(20))
        spread = StepSpec(20, SMALL, estimated_ms=60000, max_per_worker=1)
        rig.submit('e' * 16, stored_job(spread))
        rig.round()
        for number in range(5):
            gang = StepSpec(8, WHOLE, estimated_ms=9000, gang=True)
            stored = stored_job(gang, accepted_ms=rig.store_ms)
            rig.submit(job_id(number), stored)
        restricted = stored_job(
            advice=POLICY,
            accepted_ms=rig.store_ms,
            priority=1,
        )
        rig.submit(LATER, restricted)
        good = tuple(rig.workers_by_id)
        asked = [step for _ in range(8) for step in answer_all(rig, good)]
        self.assertIn(f'{LATER}.0.0', asked)

    def test_wide_steps_that_wait_for_long_runs(self) -> None:
        """Guards against steps claiming remainders that their tasks do not fit.

        Long runs hold the rest of these workers.
        """
        rig = CellRig(*make_workers(10))
        spread = StepSpec(8, SMALL, estimated_ms=60000, max_per_worker=1)
        rig.submit('e' * 16, stored_job(spread))
        rig.round()
        busy = [
            worker_id
            for worker_id, worker in rig.workers_by_id.items()
            if worker.started
        ]
        large = StepSpec(8, Resources(15500, 1024), estimated_ms=9000)
        for number in range(3):
            rig.submit(job_id(number), stored_job(large, advice=POLICY))
        rig.submit(LATER, stored_job(StepSpec(1, SMALL), advice=POLICY))
        for _ in range(8):
            answer_all(rig, busy)
        started = [
            order.task
            for worker in rig.workers_by_id.values()
            for order in worker.started
        ]
        self.assertIn(f'{LATER}.0.0.0', started)


class TestReservedWorkers(TestCase):
    """Workers are not reserved for a gang that waits for long runs."""

    def test_gang_that_waits_for_long_runs(self) -> None:
        rig = CellRig(*make_workers(4))
        spread = StepSpec(
            4,
            Resources(7000, 1024),
            estimated_ms=60000,
            max_per_worker=1,
        )
        rig.submit('e' * 16, stored_job(spread))
        rig.round()
        gang = StepSpec(
            4,
            Resources(10000, 1024),
            estimated_ms=20000,
            gang=True,
        )
        rig.submit(job_id(1), stored_job(gang))
        rig.submit(LATER, stored_job(StepSpec(1, SMALL)))
        rig.pass_time(3)
        started = [
            order.task
            for worker in rig.workers_by_id.values()
            for order in worker.started
        ]
        self.assertIn(f'{LATER}.0.0.0', started)


class TestLongRunningGangs(TestCase):
    """A long-running gang is restarted however it ends."""

    def test_one_task_ends_as_done(self) -> None:
        """Guards against one end counting for all tasks of the gang.

        One of the tasks then waited again.
        """
        rig = CellRig(*make_workers(2))
        gang = StepSpec(2, SMALL, gang=True, long_running=True)
        rig.submit(FIRST, stored_job(gang))
        rig.round()
        for worker in rig.workers_by_id.values():
            for task in tuple(worker.running_by_task):
                worker.end(task, EndKind.DONE)
        rig.pass_time(2)
        runs = [
            run
            for each in rig.workers_by_id.values()
            for run in each.running_by_task.values()
        ]
        self.assertEqual([2, 2], runs)


class TestOccurrences(TestCase):
    """The lateness of an occurrence counts from its own due time."""

    def test_occurrence_is_not_too_late(self) -> None:
        """Guards against counting its lateness from the job's acceptance.

        The occurrence then waited behind all other work of its queue.
        """
        rig = CellRig(ModelWorker('w1'))
        stored = stored_job(StepSpec(1, SMALL, estimated_ms=1000))
        submission = msgspec.structs.replace(
            stored.submission,
            first_due_ms=600000,
            interval_ms=1000,
            occurrences=2,
        )
        rig.submit(FIRST, stored_job(accepted_ms=rig.store_ms))
        recurring = msgspec.structs.replace(
            stored,
            submission=submission,
            accepted_ms=rig.store_ms,
        )
        rig.submit(LATER, recurring)
        rig.now += 500
        rig.scheduler.jobs.open_due_occurrences(600000, rig.now)
        step = rig.scheduler.tracker.ready_steps_by_name[f'{LATER}.0.0']
        errors = rig.scheduler.tracker.estimate_errors
        self.assertFalse(order_key(step, rig.now, errors)[0])


class TestLoweredLimits(TestCase):
    """An organisation below half of its limit may start one more task.

    Otherwise tasks larger than the rest of the limit wait forever (LOST). The
    platform allows one task beyond the limit (QUOTA).
    """

    def started(self, limit: int, *demands: int) -> int:
        """Return how many tasks start of jobs with two tasks each."""
        rig = CellRig(ModelWorker('w1'), limit=Resources(limit, 0))
        for number, cpu_millis in enumerate(demands):
            spec = StepSpec(2, Resources(cpu_millis, 1024))
            rig.submit(job_id(number), stored_job(spec))
        rig.round()
        return len(rig.workers_by_id['w1'].started)

    def test_task_of_more_than_the_limit(self) -> None:
        self.assertEqual(1, self.started(500, 1000))

    def test_task_of_more_than_what_is_left(self) -> None:
        self.assertEqual(3, self.started(2100, 500, 1200))

    def test_nothing_more_at_half_of_the_limit(self) -> None:
        self.assertEqual(2, self.started(2000, 500, 1200))


class TestChangedAdvice(TestCase):
    """A worker that restarts under its id may have other properties.

    If it still counts as eligible, no advice is requested about others.
    """

    def test_eligible_worker_that_is_ruled_out_later(self) -> None:
        rig = CellRig(ModelWorker('w0'))
        rig.submit(FIRST, stored_job(advice=POLICY))
        call = rig.scheduler.plan(rig.now, list(ASKERS))[0]
        for good in ({'w0': 'expired'}, {}):
            answer = AdviceAnswer(good, 0)
            rig.scheduler.advice.answered(call, answer, rig.now, rig.now)
        other = ModelWorker('w1')
        rig.workers_by_id['w1'] = other
        rig.scheduler.workers.update_worker(other.entry, rig.now)
        rig.pass_time(1)
        asked = rig.scheduler.plan(rig.now, list(ASKERS))
        self.assertEqual([('w1',)], [each.worker_ids for each in asked])

    def test_worker_that_becomes_eligible_later(self) -> None:
        rig = CellRig(ModelWorker('w0'))
        rig.submit(FIRST, stored_job(advice=POLICY))
        call = rig.scheduler.plan(rig.now, list(ASKERS))[0]
        for good in ({}, {'w0': 'ticket'}):
            answer = AdviceAnswer(good, 2000)
            rig.scheduler.advice.answered(call, answer, rig.now, rig.now)
        rig.round()
        self.assertEqual(1, len(rig.workers_by_id['w0'].started))


class TestWideSteps(TestCase):
    """A gang that needs nearly all workers of the cell is placed."""

    def test_gang_that_takes_the_whole_cell(self) -> None:
        rig = CellRig(*make_workers(40))
        gang = StepSpec(40, CAPACITY, estimated_ms=4000, gang=True)
        rig.submit(FIRST, stored_job(gang, advice=POLICY))
        for _ in range(8):
            answer_all(rig, rig.workers_by_id)
        started = sum(
            len(worker.started) for worker in rig.workers_by_id.values()
        )
        self.assertEqual(40, started)


class TestStartsThatNeverReachedAWorker(TestCase):
    """A run that cannot have begun is not kept until its worker's lease ends.

    The members of a gang waited for 10 to 22 s for a worker that was lost.
    """

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w0'))
        self.rig.submit(FIRST, stored_job(StepSpec(3, SMALL, gang=True)))
        self.rig.scheduler.plan(self.rig.now, [])
        self.planned = self.rig.journal()
        self.starts = self.rig.scheduler.starts

    def phases(self) -> list[str]:
        job = self.rig.scheduler.tracker.jobs_by_id[FIRST]
        return [task.phase.value for task in job.tasks()]

    def answer(self, start: PlannedStart, refusal: Refusal) -> None:
        now = self.rig.now
        self.starts.start_answered(start, OrderReply(refusal), now, now)

    def test_members_that_are_refused_together(self) -> None:
        """Guards against keeping members whose refusals come after a stop."""
        for start in self.planned:
            self.starts.start_order(start, self.rig.now)
        for sent in self.planned:
            self.answer(sent, Refusal.NO_LISTENER)
        self.assertEqual({'waiting'}, set(self.phases()))

    def test_members_that_are_not_sent_any_more(self) -> None:
        """Guards against keeping members that were stopped before a send."""
        self.starts.start_order(self.planned[0], self.rig.now)
        self.answer(self.planned[0], Refusal.NO_LISTENER)
        for start in self.planned[1:]:
            self.assertIsNone(self.starts.start_order(start, self.rig.now))
        self.assertEqual({'waiting'}, set(self.phases()))

    def test_members_without_an_answer(self) -> None:
        """Guards against a second run while the first one may still begin."""
        for start in self.planned:
            self.starts.start_order(start, self.rig.now)
        self.answer(self.planned[0], Refusal.UNANSWERED)
        self.answer(self.planned[1], Refusal.NO_LISTENER)
        self.answer(self.planned[2], Refusal.OLD_RUN)
        self.answer(self.planned[0], Refusal.NO_LISTENER)
        self.starts.start_order(self.planned[0], self.rig.now)
        self.assertEqual(['stopping', 'waiting', 'stopping'], self.phases())
