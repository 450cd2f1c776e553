"""Load pattern: a zone of workers that is cut off while work goes on."""

from testtools import TestCase

from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_workers import OrderReply, Refusal
from apricotlead.state.cell_workers import WorkerState
from tests.cell_rig import CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
LATER = '00000000000000bb'


class TestWorkerInDoubt(TestCase):
    """A start without an answer shows a cut long before held calls do.

    Until those timed out, a third of all lookups went to workers behind the
    cut and stayed there for the length of their lease.
    """

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'), ModelWorker('w2'))
        self.start = self.planned(JOB)
        self.cut = self.rig.workers_by_id[self.start.worker.worker_id]
        self.cut.is_reachable = False

    @property
    def state(self) -> WorkerState:
        """Return what the scheduler knows of the worker that is cut off."""
        return self.start.worker

    def planned(self, job_id: str) -> PlannedStart:
        self.rig.submit(job_id, stored_job())
        self.rig.scheduler.plan(self.rig.now, [])
        return self.rig.journal()[0]

    def miss(self) -> bool:
        """Give up waiting for an answer; tell whether to send it again."""
        sent_s = self.rig.now
        self.rig.now += 0.2
        return self.rig.scheduler.starts.start_answered(
            self.start,
            OrderReply(Refusal.UNANSWERED),
            sent_s,
            self.rig.now,
        )

    def holder(self, job_id: str) -> str:
        return self.rig.scheduler.book.task(f'{job_id}.0.0.0').worker_id

    def test_later_work_goes_elsewhere(self) -> None:
        self.miss()
        for number in range(4):
            job_id = str(number).zfill(len(JOB))
            self.planned(job_id)
            self.assertNotEqual(self.state.worker_id, self.holder(job_id))

    def test_start_that_was_planned_before_goes_elsewhere(self) -> None:
        """It was never sent, so it can move at once."""
        while True:
            later = self.planned(LATER)
            if later.worker is self.state:
                break
            self.rig.scheduler.book.unplace(later.task, self.rig.now)
        self.miss()
        order = self.rig.scheduler.starts.start_order(later, self.rig.now)
        self.assertIsNone(order)
        self.assertFalse(later.task.is_placed)

    def test_start_without_an_answer_is_sent_again(self) -> None:
        """A worker that only lost one answer is back with the next."""
        self.assertTrue(self.miss())
        starts = self.rig.scheduler.starts
        self.assertIsNotNone(starts.start_order(self.start, self.rig.now))
        self.assertTrue(self.state.is_suspected)
        self.rig.now += 0.1
        reply = OrderReply(None, self.rig.now * 1000)
        starts.start_answered(self.start, reply, self.rig.now, self.rig.now)
        self.assertFalse(self.state.is_suspected)

    def test_held_call_that_is_answered_ends_the_doubt(self) -> None:
        self.miss()
        self.cut.is_reachable = True
        self.rig.now += 0.1
        self.rig.hold_all()
        self.assertTrue(self.state.takes_work(self.rig.now))

    def test_doubt_frees_no_run(self) -> None:
        """The worker may run it until its lease is over."""
        self.miss()
        self.rig.pass_time(3)
        self.assertEqual(self.state.worker_id, self.holder(JOB))


class TestLostAnswers(TestCase):
    """Pattern: workers that lose some answers.

    An end in a lost answer of a held call was heard two seconds late, when the
    next one ended.
    """

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(ModelWorker('w1'))

    def wait_ms(self) -> float:
        hold = self.rig.scheduler.workers.hold_order('w1', self.rig.now)
        return hold[1].wait_ms

    def miss(self) -> None:
        self.rig.now += 0.5
        self.rig.scheduler.workers.hold_refused(
            'w1',
            OrderReply(Refusal.UNANSWERED),
            self.rig.now,
        )

    def test_call_after_a_lost_answer_waits_for_nothing(self) -> None:
        self.assertGreater(self.wait_ms(), 1000)
        self.miss()
        self.assertEqual(0, self.wait_ms())

    def test_calls_stay_short_while_answers_are_lost(self) -> None:
        self.miss()
        self.rig.now += 0.1
        self.rig.hold_all()
        self.assertLess(self.wait_ms(), 500)
        self.rig.pass_time(10)
        self.assertGreater(self.wait_ms(), 1000)
