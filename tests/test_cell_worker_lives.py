"""Tests of workers that restart under their ids and take late calls."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import OrderReply, Refusal
from apricotlead.state.cell_jobs import TaskState
from apricotlead.state.worker_lease import WorkerLease
from tests.cell_rig import SMALL, ModelWorker, stored_job
from tests.restarting_worker import RestartingWorker, RestartRig

FIRST_JOB = '00000000000000aa'
JOB = '00000000000000bb'
TASK = f'{JOB}.0.0.0'


class RestartCase(TestCase):
    """A worker with an acknowledged end, and another start on its way."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = RestartingWorker('w1')
        self.rig = RestartRig(self.worker)
        self.rig.submit(FIRST_JOB, stored_job())
        self.rig.round()
        self.worker.end(f'{FIRST_JOB}.0.0.0')
        self.rig.pass_time(1)
        self.rig.hold('w1')
        self.assertEqual(1, self.worker.removed_ends[-1].number)

    @property
    def task(self) -> TaskState:
        return self.rig.scheduler.tracker.task(TASK)

    def plan(self) -> PlannedStart:
        """Journal the start of the only task without sending it."""
        self.rig.submit(JOB, stored_job())
        self.rig.scheduler.plan(self.rig.now, [])
        return self.rig.journal()[0]

    def restart(self) -> None:
        self.rig.now += 0.1
        self.worker.restart(self.rig.now)

    def restart_seen(self) -> None:
        """Restart, and let the new life answer a call that is meant for it."""
        self.restart()
        # The first finds the connection gone, the second finds the new life.
        for _ in range(3):
            self.rig.hold('w1')
        self.rig.scheduler.workers.update_worker(
            self.worker.entry, self.rig.now
        )


class TestAcknowledgementsAtARestart(RestartCase):
    """An acknowledgement removes only ends of the life that reported them."""

    def test_end_of_a_run_that_the_new_life_took_is_seen(self) -> None:
        """Its end was removed unseen, and the task ran again (TWICE)."""
        start = self.plan()
        self.restart()
        self.rig.send(start)
        self.worker.end(TASK)
        self.rig.pass_time(2)
        self.assertEqual([], self.worker.removed_ends[1:])
        self.assertEqual('completed', self.rig.state(JOB))
        self.assertEqual([1], [order.run for order in self.worker.started[1:]])

    def test_later_end_of_the_new_life_is_seen(self) -> None:
        """The same where an acknowledgement applies to later ends as well."""
        self.worker.applies_acks_later = True
        start = self.plan()
        self.restart()
        self.rig.hold('w1')
        self.rig.send(start)
        self.worker.running_by_task[TASK] = 1
        self.worker.end(TASK)
        self.assertEqual([1], [end.number for end in self.worker.ended])

    def test_hold_after_a_failed_one_acknowledges_nothing(self) -> None:
        """The worker may have restarted while it did not answer."""
        self.worker.is_reachable = False
        self.rig.hold('w1')
        _, order = self.rig.scheduler.workers.hold_order('w1', self.rig.now)
        self.assertEqual((0, None), (order.acked_through, order.deadline_ms))

    def test_ends_are_acknowledged_after_a_failed_hold(self) -> None:
        """Otherwise the worker would list them for ever."""
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        self.worker.end(TASK)
        self.worker.is_reachable = False
        self.rig.hold('w1')
        self.worker.is_reachable = True
        self.rig.pass_time(2)
        self.assertEqual([], self.worker.ended)


class TestFencesOfLives(RestartCase):
    """A life that has answered takes no more calls meant for another one."""

    def test_late_start_for_the_former_life_is_refused(self) -> None:
        """It ran beside a later run of its task (TWICE)."""
        start = self.plan()
        order = self.rig.scheduler.starts.start_order(start, self.rig.now)
        self.restart_seen()
        reply = self.worker.answer_start(order, self.rig.now)
        self.assertIs(Refusal.FENCED, reply.refusal)

    def test_late_hold_for_the_former_life_is_refused(self) -> None:
        """It removed ends of the new life, which nobody had seen (TWICE)."""
        _, late = self.rig.scheduler.workers.hold_order('w1', self.rig.now)
        self.assertEqual(1, late.acked_through)
        self.restart_seen()
        self.rig.pass_time(1)
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        self.worker.end(TASK)
        reply = self.worker.answer_hold(late, self.rig.now)
        self.assertIs(Refusal.FENCED, reply.refusal)
        self.assertEqual([TASK], [end.task for end in self.worker.ended])

    def test_each_life_has_a_fence_of_its_own(self) -> None:
        """Two restarts in a row are told apart like one."""
        fences = []
        for _ in range(3):
            _, order = self.rig.scheduler.workers.hold_order('w1', self.rig.now)
            fences.append(order.epoch)
            self.restart_seen()
        self.assertEqual(sorted(set(fences)), fences)

    def test_successor_fences_all_lives_of_the_former_term(self) -> None:
        """A late call of the former scheduler must not act any more."""
        for _ in range(3):
            self.restart_seen()
        _, former = self.rig.scheduler.workers.hold_order('w1', self.rig.now)
        self.rig.take_over()
        reply = self.worker.answer_hold(former, self.rig.now)
        self.assertIs(Refusal.FENCED, reply.refusal)

    def test_refusal_of_a_former_fence_does_not_end_the_term(self) -> None:
        """Only a later term may end this one."""
        workers = self.rig.scheduler.workers
        _, former = workers.hold_order('w1', self.rig.now)
        self.restart_seen()
        _, present = workers.hold_order('w1', self.rig.now)
        self.assertFalse(workers.is_current_fence('w1', former.epoch))
        self.assertTrue(workers.is_current_fence('w1', present.epoch))


class TestAnswersAtARestart(RestartCase):
    """An answer counts for the life that it is from."""

    def test_ends_in_the_answer_that_shows_the_new_life_count(self) -> None:
        """They were dropped, and may be listed only once (TWICE)."""
        start = self.plan()
        _, order = self.rig.scheduler.workers.hold_order('w1', self.rig.now)
        self.restart()
        self.rig.send(start)
        self.worker.end(TASK)
        # A worker whose connections outlive it; it forgets what it has listed.
        unbound = msgspec.structs.replace(
            order, connection=None, acked_through=0
        )
        self.rig.deliver_hold('w1', unbound)
        self.worker.ended.clear()
        self.rig.pass_time(2)
        self.assertEqual('completed', self.rig.state(JOB))
        self.assertEqual(2, len(self.worker.started))

    def test_failed_call_to_the_former_life_leaves_the_new_one(self) -> None:
        """A refusal at its former address ended the new life's state."""
        workers = self.rig.scheduler.workers
        _, former = workers.hold_order('w1', self.rig.now)
        self.restart_seen()
        workers.hold_refused(
            'w1', OrderReply(Refusal.OTHER_LIFE), self.rig.now, former
        )
        self.assertTrue(workers.has_contact('w1'))

    def test_lists_in_the_answer_to_a_former_call_free_nothing(self) -> None:
        """A start on its way to the former life may still be taken."""
        start = self.plan()
        order = self.rig.scheduler.starts.start_order(start, self.rig.now)
        _, former = self.rig.scheduler.workers.hold_order('w1', self.rig.now)
        former = msgspec.structs.replace(former, connection=None)
        self.restart()
        self.rig.scheduler.workers.update_worker(
            self.worker.entry, self.rig.now
        )
        self.rig.scheduler.tracker.stop_acked('w1', TASK, 1, self.rig.now)
        self.rig.now += 0.1
        self.rig.deliver_hold('w1', former)
        self.worker.answer_start(order, self.rig.now)
        self.assertEqual(1, self.task.run)
        self.assertTrue(self.task.is_placed)


class TestLeasesAtARestart(RestartCase):
    """A run lasts no longer than accounted for, whichever life took it."""

    def setUp(self) -> None:
        super().setUp()
        self.other = ModelWorker('w2')

    def add_other_worker(self) -> None:
        self.rig.workers_by_id['w2'] = self.other
        self.rig.scheduler.workers.update_worker(self.other.entry, self.rig.now)

    def assert_starts_after_the_lease(self) -> None:
        """Pass time until the task starts elsewhere."""
        self.add_other_worker()
        while not self.other.started:
            self.rig.pass_time(0.5)
            self.assertLess(self.rig.now, 200)
        self.assertGreater(self.rig.now, self.worker.lease_end_s())

    def test_start_that_the_new_life_took(self) -> None:
        """Its lease is counted on the new clock; two runs at once (TWICE)."""
        start = self.plan()
        self.restart()
        self.rig.send(start)
        self.worker.is_reachable = False
        self.assert_starts_after_the_lease()

    def test_start_whose_answer_is_lost(self) -> None:
        """The same while nothing shows that the worker has restarted."""
        start = self.plan()
        self.restart()
        self.worker.is_reachable = False
        self.rig.send(start)
        self.assert_starts_after_the_lease()

    def test_start_that_is_sent_late(self) -> None:
        """The new life counts the lease from the arrival of the start."""
        start = self.plan()
        self.restart()
        self.rig.now += 2
        self.worker.is_reachable = False
        self.rig.send(start)
        self.assert_starts_after_the_lease()

    def test_start_of_the_former_scheduler(self) -> None:
        """A successor does not know which life took it."""
        start = self.plan()
        self.restart()
        self.rig.now += 2
        self.worker.is_reachable = False
        self.rig.send(start)
        self.rig.begin_term()
        self.assert_starts_after_the_lease()

    def test_restart_seen_before_the_cut(self) -> None:
        """The new life's state inherits what its former calls granted."""
        start = self.plan()
        self.restart()
        self.rig.send(start)
        self.rig.hold('w1')
        self.rig.hold('w1')
        self.worker.is_reachable = False
        self.assert_starts_after_the_lease()

    def test_confirmed_run_lapses_with_its_lease(self) -> None:
        """Work on a worker that is cut off is not kept for longer."""
        self.rig.submit(JOB, stored_job())
        self.rig.round()
        self.rig.pass_time(1)
        granted_s = self.rig.now
        self.worker.is_reachable = False
        self.add_other_worker()
        times = CellSettings().leases
        self.rig.pass_time(times.lease_s * times.slowest_clock + 1)
        self.assertEqual([TASK], [each.task for each in self.other.started])
        self.assertLess(self.rig.now, granted_s + times.misdirected_s)


class TestStartsThatShowARestart(RestartCase):
    """A clock that has gone back proves a new life at once."""

    def setUp(self) -> None:
        super().setUp()
        start = self.plan()
        self.restart()
        self.rig.send(start)
        self.state = self.rig.scheduler.tracker.workers_by_id['w1']

    def test_nothing_more_is_sent_until_the_life_is_known(self) -> None:
        """Each further start would be another run on an unknown lease."""
        self.assertFalse(self.state.takes_work(self.rig.now))

    def test_next_hold_asks_for_the_lists_only(self) -> None:
        """Its acknowledgement was meant for the former life."""
        _, order = self.rig.scheduler.workers.hold_order('w1', self.rig.now)
        self.assertEqual((0, None), (order.acked_through, order.deadline_ms))

    def test_run_is_not_taken_for_one_of_the_former_life(self) -> None:
        """It would have been started again when the restart was seen."""
        self.assertFalse(self.task.is_confirmed)
        for _ in range(3):
            self.rig.hold('w1')
        self.assertEqual((1, 'w1'), (self.task.run, self.task.worker_id))

    def test_restart_is_logged(self) -> None:
        """The log tells which life a start was meant for, and reached."""
        kinds = [kind for kind, _ in self.rig.scheduler.tracker.notes]
        self.assertIn('start reached another life', kinds)


class TestClocksOfLives(TestCase):
    """Only a clock that has gone back since the call was sent is proof."""

    def setUp(self) -> None:
        super().setUp()
        self.lease = WorkerLease(CellSettings().leases, 0)
        self.lease.record_answer(5000, 9.9, 10)

    def test_earlier_reading_of_a_later_call(self) -> None:
        self.assertTrue(self.lease.shows_restart(4999, 10.1))

    def test_answer_that_was_overtaken(self) -> None:
        """Answers on other connections may arrive in another order."""
        self.assertFalse(self.lease.shows_restart(4999, 9.8))

    def test_worker_that_stood_still(self) -> None:
        """A suspended process has a clock that is behind, but not back."""
        self.assertFalse(self.lease.shows_restart(5000, 60))

    def test_answer_without_a_clock(self) -> None:
        self.assertFalse(self.lease.shows_restart(0, 10.1))


class TestKindOfANewLife(RestartCase):
    """What was known of the former life says nothing about the next one."""

    def setUp(self) -> None:
        super().setUp()
        self.restart()
        self.rig.hold('w1')
        self.rig.hold('w1')
        self.rig.pass_time(1)

    def test_no_work_before_the_registration(self) -> None:
        """A smaller machine got starts beyond its capacity (LIMIT)."""
        self.rig.submit(JOB, stored_job())
        self.rig.pass_time(1)
        self.assertFalse(self.task.is_placed)

    def test_work_after_the_registration(self) -> None:
        """The capacity of the new life counts."""
        smaller = msgspec.structs.replace(self.worker.entry, capacity=SMALL)
        self.rig.scheduler.workers.update_worker(smaller, self.rig.now)
        self.rig.submit(JOB, stored_job(StepSpec(2, SMALL)))
        self.rig.pass_time(1)
        placed = [task.is_placed for task in self.task.step.tasks]
        self.assertEqual([True, False], placed)

    def test_entry_without_a_start_time(self) -> None:
        """Each report after it looked like a further restart."""
        unknown = msgspec.structs.replace(self.worker.entry, born_ms=0)
        workers = self.rig.scheduler.workers
        workers.update_worker(unknown, self.rig.now)
        _, before = workers.hold_order('w1', self.rig.now)
        self.rig.pass_time(1)
        _, after = workers.hold_order('w1', self.rig.now)
        self.assertEqual(before.epoch, after.epoch)


class TestAdviceAtARestart(RestartCase):
    """A ticket is valid for one life of a worker."""

    def setUp(self) -> None:
        super().setUp()
        self.advice = self.rig.scheduler.advice
        known = self.advice.advice('step')
        known.tickets_by_worker['w1'] = 'ticket'
        known.expires_s['w1'] = self.rig.now + 60
        self.advice.advice('other').mark_ineligible('w1')

    def test_ticket_of_the_former_life(self) -> None:
        """The new life refused each start that carried it."""
        self.restart_seen()
        self.assertIsNone(self.advice.ticket('step', 'w1', self.rig.now))

    def test_worker_that_was_not_eligible(self) -> None:
        """The next life may be of a kind that may run the step."""
        self.restart_seen()
        self.assertFalse(self.advice.advice('other').has_answer_for('w1'))
