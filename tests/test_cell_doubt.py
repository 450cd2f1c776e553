"""Load pattern: a zone of workers is partitioned while work continues."""

from testtools import TestCase

from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_workers import OrderReply, Refusal
from apricotlead.state.cell_workers import WorkerState
from tests.cell_rig import CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
LATER = '00000000000000bb'


class TestUnresponsiveWorker(TestCase):
    """An unanswered start reveals a partition long before a hold times out.

    Until the holds timed out, a third of all lookups were sent to unreachable
    workers and were stuck there until the leases expired.
    """

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'), ModelWorker('w2'))
        self.start = self.planned(JOB)
        self.isolated = self.rig.workers_by_id[self.start.worker.worker_id]
        self.isolated.is_reachable = False

    @property
    def state(self) -> WorkerState:
        """Return the scheduler's state of the isolated worker."""
        return self.start.worker

    def planned(self, job_id: str) -> PlannedStart:
        self.rig.submit(job_id, stored_job())
        self.rig.scheduler.plan(self.rig.now, [])
        return self.rig.journal()[0]

    def lose_answer(self) -> bool:
        """Time out the start; tell whether to send it again."""
        sent_s = self.rig.now
        self.rig.now += 0.2
        return self.rig.scheduler.starts.start_answered(
            self.start,
            OrderReply(Refusal.UNANSWERED),
            sent_s,
            self.rig.now,
        )

    def worker_id_of(self, job_id: str) -> str:
        return self.rig.scheduler.tracker.task(f'{job_id}.0.0.0').worker_id

    def test_later_work_goes_elsewhere(self) -> None:
        self.lose_answer()
        for number in range(4):
            job_id = str(number).zfill(len(JOB))
            self.planned(job_id)
            self.assertNotEqual(self.state.worker_id, self.worker_id_of(job_id))

    def test_unsent_start_goes_elsewhere(self) -> None:
        """It was never sent, so its task can be requeued at once."""
        while True:
            later = self.planned(LATER)
            if later.worker is self.state:
                break
            self.rig.scheduler.tracker.requeue(later.task, self.rig.now)
        self.lose_answer()
        order = self.rig.scheduler.starts.start_order(later, self.rig.now)
        self.assertIsNone(order)
        self.assertFalse(later.task.is_placed)

    def test_start_without_a_reply_is_retried(self) -> None:
        """The next answer makes a worker that lost one available again."""
        self.assertTrue(self.lose_answer())
        starts = self.rig.scheduler.starts
        self.assertIsNotNone(starts.start_order(self.start, self.rig.now))
        self.assertTrue(self.state.is_suspected)
        self.rig.now += 0.1
        reply = OrderReply(None, self.rig.now * 1000)
        starts.start_answered(self.start, reply, self.rig.now, self.rig.now)
        self.assertFalse(self.state.is_suspected)

    def test_answered_hold_makes_the_worker_available(self) -> None:
        self.lose_answer()
        self.isolated.is_reachable = True
        self.rig.now += 0.1
        self.rig.hold_all()
        self.assertTrue(self.state.takes_work(self.rig.now))

    def test_unresponsive_worker_keeps_its_run(self) -> None:
        """The worker may execute it until its lease expires."""
        self.lose_answer()
        self.rig.pass_time(3)
        self.assertEqual(self.state.worker_id, self.worker_id_of(JOB))


class TestLostAnswers(TestCase):
    """Pattern: workers that lose some answers.

    An end in a lost answer to a hold was reported two seconds late, in the
    answer to the next hold.
    """

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'))

    def wait_ms(self) -> float:
        hold = self.rig.scheduler.workers.hold_order('w1', self.rig.now)
        return hold[1].wait_ms

    def lose_answer(self) -> None:
        self.rig.now += 0.5
        self.rig.scheduler.workers.hold_refused(
            'w1',
            OrderReply(Refusal.UNANSWERED),
            self.rig.now,
        )

    def test_hold_after_a_lost_answer_does_not_wait(self) -> None:
        self.assertGreater(self.wait_ms(), 1000)
        self.lose_answer()
        self.assertEqual(0, self.wait_ms())

    def test_holds_stay_short_while_answers_are_lost(self) -> None:
        self.lose_answer()
        self.rig.now += 0.1
        self.rig.hold_all()
        self.assertLess(self.wait_ms(), 500)
        self.rig.pass_time(10)
        self.assertGreater(self.wait_ms(), 1000)
