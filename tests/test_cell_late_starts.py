"""Tests of starts without an answer that a worker carries out late.

A worker may carry such a start out 12 s after its sending, in a life that the
scheduler has not seen, and the run then lasts for a lease of that life.
See ``docs/incidents/late-start-after-restart.md``.
"""

from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_workers import (
    EndKind,
    OrderReply,
    Refusal,
    StartOrder,
)
from tests.cell_rig import stored_job
from tests.test_cell_lives_review import LeaseCase
from tests.test_cell_worker_lives import JOB, TASK

_TIMES = CellSettings().leases
# Within the time in which a call without an answer may be carried out.
_LATE_S = 8
OTHER_JOB = '00000000000000cc'
OTHER_TASK = f'{OTHER_JOB}.0.0.0'


class LateStartCase(LeaseCase):
    """A worker that runs a task by the second of two starts."""

    def lose_answer(self, start: PlannedStart) -> StartOrder:
        """Send a start that gets no answer; return the order."""
        order = self.rig.scheduler.starts.start_order(start, self.rig.now)
        self.rig.scheduler.starts.start_answered(
            start, OrderReply(Refusal.UNANSWERED), self.rig.now, self.rig.now
        )
        return order

    def start_twice(self) -> StartOrder:
        """Start the task by a repeated order; return the unanswered one."""
        start = self.plan()
        order = self.lose_answer(start)
        self.rig.send(start)
        return order

    def cut_off_new_life(self) -> None:
        """Restart the worker behind a cut, unseen."""
        self.restart()
        self.worker.is_reachable = False

    def start_late(self, order: StartOrder, sent_s: float) -> None:
        """Let the new life carry an order out after ``_LATE_S``."""
        self.rig.pass_time(sent_s + _LATE_S - self.rig.now)
        reply = self.worker.answer_start(order, self.rig.now)
        self.assertIsNone(reply.refusal)


class TestRepeatedStarts(LateStartCase):
    """The answer to a repeated start says nothing about the first one."""

    def test_run_is_listed_before_the_cut(self) -> None:
        """Guards against a second run beside that of an unseen life (TWICE)."""
        sent_s = self.rig.now
        order = self.start_twice()
        self.rig.pass_time(4)
        self.assertEqual({TASK: 1}, self.worker.running_by_task)
        self.cut_off_new_life()
        self.start_late(order, sent_s)
        self.assert_starts_after(self.worker.lease_end_s())

    def test_answer_is_lost_while_the_run_is_being_stopped(self) -> None:
        """Guards against the same where the run was to be stopped (TWICE)."""
        sent_s = self.rig.now
        start = self.plan()
        order = self.rig.scheduler.starts.start_order(start, self.rig.now)
        self.rig.scheduler.tracker.stop(self.task)
        self.rig.scheduler.starts.start_answered(
            start, OrderReply(Refusal.UNANSWERED), self.rig.now, self.rig.now
        )
        self.cut_off_new_life()
        self.start_late(order, sent_s)
        self.assert_starts_after(self.worker.lease_end_s())

    def test_registration_shows_the_new_life_near_the_end_of_its_lease(
        self,
    ) -> None:
        """Guards against a run freed at a restart while at work (TWICE)."""
        sent_s = self.rig.now
        order = self.start_twice()
        self.rig.pass_time(4)
        self.cut_off_new_life()
        self.rig.pass_time(sent_s + _TIMES.late_call_s - self.rig.now - 0.5)
        self.worker.answer_start(order, self.rig.now)
        self.rig.pass_time(5)
        self.rig.scheduler.workers.update_worker(
            self.worker.entry, self.rig.now
        )
        self.assert_starts_after(self.worker.lease_end_s())


class TestSuccessors(LateStartCase):
    """A successor waits for late starts that its predecessor recorded."""

    def test_unanswered_start_of_the_former_term(self) -> None:
        """Guards against a successor that counts only the lease (TWICE)."""
        sent_s = self.rig.now
        order = self.start_twice()
        self.rig.pass_time(4)
        self.cut_off_new_life()
        self.rig.begin_term()
        self.start_late(order, sent_s)
        self.assert_starts_after(self.worker.lease_end_s())

    def test_two_terms_later(self) -> None:
        """Guards against a record that a term without changes drops (TWICE)."""
        sent_s = self.rig.now
        order = self.start_twice()
        self.rig.pass_time(2)
        self.rig.take_over()
        self.rig.scheduler.tracker.mark_dirty(self.task.step.job)
        self.rig.journal()
        self.cut_off_new_life()
        self.rig.begin_term()
        self.start_late(order, sent_s)
        self.assert_starts_after(self.worker.lease_end_s())

    def test_record_of_an_older_build(self) -> None:
        """Guards against a row without the field that cannot be read."""
        self.rig.send(self.plan())
        key = f'progress/cell/{JOB}'
        row = self.rig.rows_by_key[key]
        task = row.value[0][0][2][0]
        self.assertEqual(0, task.pop())
        self.rig.take_over()
        self.assertEqual((1, 'w1'), (self.task.run, self.task.worker_id))


class TestRunsThatNeedNotWait(LateStartCase):
    """A late start delays only its own task, and only while it may come.

    Otherwise work waits beside idle workers (LOST).
    """

    def lose_worker(self) -> float:
        """Lose the worker for good; return when the other task restarts."""
        self.rig.workers_by_id['w2'] = self.other
        self.rig.scheduler.workers.update_worker(self.other.entry, self.rig.now)
        self.worker.is_reachable = False
        while OTHER_TASK not in self.other.running_by_task:
            self.rig.pass_time(0.5)
            self.assertLess(self.rig.now, 250)
        return self.rig.now

    def start_other(self) -> None:
        """Start another task on the same worker, with an answer."""
        self.rig.submit(OTHER_JOB, stored_job())
        self.rig.round()
        self.assertIn(OTHER_TASK, self.worker.running_by_task)

    def test_other_run_on_the_same_worker(self) -> None:
        """Guards against a late start that delays other tasks (LOST)."""
        self.start_twice()
        self.start_other()
        self.rig.pass_time(1)
        lost_s = self.rig.now
        self.assertLess(self.lose_worker() - lost_s, _TIMES.longest_run_s)

    def test_other_run_after_a_hand_over(self) -> None:
        """Guards against a recorded lease as long as a late start (LOST)."""
        self.start_twice()
        self.start_other()
        self.rig.pass_time(1)
        lost_s = self.rig.now
        self.worker.is_reachable = False
        self.rig.pass_time(5)
        self.rig.begin_term()
        self.assertLess(self.lose_worker() - lost_s, _TIMES.longest_run_s)

    def test_task_itself(self) -> None:
        """Guards against a task that waits longer than a run may last (LOST)."""
        sent_s = self.rig.now
        self.start_twice()
        self.rig.pass_time(1)
        self.worker.is_reachable = False
        self.assert_starts_after(sent_s + _TIMES.late_call_s)
        self.assertLessEqual(self.rig.now, _TIMES.late_run_until_s(sent_s) + 1)

    def refuse_until(self, ends_s: float) -> None:
        """Let the worker's address refuse connections."""
        workers = self.rig.scheduler.workers
        while self.rig.now < ends_s:
            self.rig.pass_time(0.5)
            workers.hold_refused(
                'w1', OrderReply(Refusal.NO_LISTENER), self.rig.now
            )

    def test_worker_that_crashed_for_good(self) -> None:
        """Guards against a wait for a start that nothing can take (LOST)."""
        sent_s = self.rig.now
        self.start_twice()
        self.rig.pass_time(1)
        self.worker.is_reachable = False
        late_s = _TIMES.late_start_until_s(sent_s)
        self.refuse_until(late_s)
        self.assert_starts_after(late_s)
        self.assertLess(self.rig.now, late_s + 2)

    def test_worker_that_is_down_for_a_while(self) -> None:
        """Guards against a refusal that is older than the late start (TWICE)."""
        sent_s = self.rig.now
        order = self.start_twice()
        self.rig.pass_time(1)
        self.worker.is_reachable = False
        self.refuse_until(sent_s + _LATE_S - 1)
        self.cut_off_new_life()
        self.start_late(order, sent_s)
        self.assert_starts_after(self.worker.lease_end_s())

    def test_refusal_that_is_handled_late(self) -> None:
        """Guards against the same where the scheduler was suspended (TWICE)."""
        sent_s = self.rig.now
        order = self.start_twice()
        self.rig.pass_time(1)
        self.cut_off_new_life()
        self.start_late(order, sent_s)
        self.rig.pass_time(sent_s + _TIMES.late_call_s + 1 - self.rig.now)
        self.rig.scheduler.workers.hold_refused(
            'w1',
            OrderReply(Refusal.NO_LISTENER),
            self.rig.now,
            sent_s=sent_s + 2,
        )
        self.assert_starts_after(self.worker.lease_end_s())

    def test_next_run_of_the_task(self) -> None:
        """Guards against a late start that delays the task's next run (LOST)."""
        self.start_twice()
        self.rig.pass_time(1)
        self.worker.end(TASK, EndKind.FAILED)
        self.rig.pass_time(1)
        self.assertEqual(2, self.task.run)
        self.assertIsNone(self.task.unanswered_start_s)
