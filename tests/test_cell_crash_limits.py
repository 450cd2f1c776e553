"""Tests of the limits on a queue whose jobs crash the workers that start them.

Pattern: all jobs of one queue crash workers, beside a queue that does not and
keeps most of the cell busy.
"""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.admission import check_admission
from apricotlead.coordination.cell.crash_limits import (
    CrashLimits,
    held_s_by_queue,
)
from apricotlead.protocol.cell_config import AdvicePolicy, QueueConfig
from apricotlead.protocol.cell_jobs import JobState, JobSubmission, StepSpec
from apricotlead.protocol.cell_peers import Backlog
from apricotlead.state.cell_jobs import StepState
from apricotlead.state.wait_times import WaitReason
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job
from tests.faulty.shape import CellShape
from tests.test_cell_crashing_tasks import LONG_WORK, LOOKUPS, DeadlyDay

BUSY_WORK = msgspec.structs.replace(LONG_WORK, per_s=2.2)
ALL_DEADLY = msgspec.structs.replace(LOOKUPS, deadly_share=1.0)
_SEEDS = (1, 2, 3)
_LATE_SEEDS = (12, 18, 21)
_WORKERS = 16
_LEAST_DOWN_S = 3.0
QUEUE = QueueConfig('lookups', 'host', '/lookups/', 'transcripts')


class TestDeadlyQueue(TestCase):
    """The whole cell was down again and again, with all other work in it."""

    def most_down(self, day: DeadlyDay) -> int:
        """Return how many workers were down at a time during the traffic."""
        ends_s = day.cell.traffic_end_s
        crashes_s = [at_s for at_s, _ in day.cell.crashes if at_s < ends_s]
        return max(
            sum(0 <= at_s - other_s < _LEAST_DOWN_S for other_s in crashes_s)
            for at_s in crashes_s
        )

    def test_most_workers_stay_up(self) -> None:
        shape = CellShape((BUSY_WORK, ALL_DEADLY), workers=_WORKERS)
        for seed in _SEEDS:
            day = DeadlyDay(shape, seed)
            self.assertLessEqual(self.most_down(day), _WORKERS * 0.6, seed)
            self.assertEqual([], day.budget.tasks_over_budget(), seed)
            self.assertEqual([], day.budget.innocent_jobs_failed(), seed)


class TestTrialsWithAdvice(TestCase):
    """A suspect asks for advice only about the worker that is kept for it.

    Most workers may not run it, and the kept one changes, so that it waited from
    its crash to the end of the day, in an idle cell (LOST).
    """

    def assert_progress(self, *seeds: int) -> None:
        deadly = msgspec.structs.replace(
            ALL_DEADLY,
            advice=AdvicePolicy(66, 0.94, 2000),
            permitted_share=0.45,
        )
        for seed in seeds:
            day = DeadlyDay(CellShape((BUSY_WORK, deadly), _WORKERS), seed)
            violations = list(day.progress.violations_by_name.values())
            self.assertEqual([], violations, seed)

    def test_suspects_are_tried_in_time(self) -> None:
        self.assert_progress(*_SEEDS)

    # Guards against the same near the end of the day, when many trials of
    # a queue are left and crashed workers are not back yet.
    def test_last_suspects_are_tried_in_time(self) -> None:
        self.assert_progress(*_LATE_SEEDS)


class LimitCase(TestCase):
    """A cell of 24 workers, and the steps of one queue."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(24)))
        self.tracker = self.rig.scheduler.tracker
        self.limits = CrashLimits(self.tracker)

    def step(self, number: int) -> StepState:
        job_id = format(number, '016x')
        self.rig.submit(job_id, stored_job(StepSpec(1, SMALL)))
        return self.tracker.jobs_by_id[job_id].steps_by_key[0, 0]

    def start(self, count: int, *, has_crashed: bool) -> None:
        """Start some steps, one each 0.1 s."""
        for _ in range(count):
            step = self.step(len(self.tracker.jobs_by_id))
            self.limits.note_start(step, self.rig.now)
            step.has_crashed = has_crashed
            self.rig.now += 0.1
        self.limits.begin()

    def is_held_back(self) -> bool:
        step = self.step(len(self.tracker.jobs_by_id))
        return self.limits.is_held_back(step, self.rig.now)


class TestLimits(LimitCase):
    """Steps of a queue start one by one once many of them crash workers."""

    def test_few_crashes_hold_nothing_back(self) -> None:
        self.start(12, has_crashed=False)
        self.start(4, has_crashed=True)
        self.assertFalse(self.is_held_back())

    def test_one_start_at_a_time(self) -> None:
        self.start(5, has_crashed=True)
        self.assertFalse(self.is_held_back())
        self.limits.note_start(self.step(99), self.rig.now)
        self.assertTrue(self.is_held_back())
        self.rig.now += 0.1
        self.assertFalse(self.is_held_back())

    def test_nothing_starts_while_a_third_is_down(self) -> None:
        self.start(5, has_crashed=True)
        for number in range(8):
            worker = self.tracker.workers_by_id[f'w{number}']
            worker.suspected_s = self.rig.now
        self.limits.begin()
        self.assertTrue(self.is_held_back())

    def test_limit_ends_once_starts_live(self) -> None:
        self.start(12, has_crashed=True)
        self.start(9, has_crashed=False)
        self.assertTrue(self.tracker.risks_by_queue['lookups'].is_high)
        self.start(1, has_crashed=False)
        self.assertFalse(self.tracker.risks_by_queue['lookups'].is_high)

    def test_step_that_has_lived_is_not_held_back(self) -> None:
        self.start(12, has_crashed=True)
        step = self.step(99)
        step.has_lived = True
        self.limits.note_start(self.step(98), self.rig.now)
        self.assertFalse(self.limits.is_held_back(step, self.rig.now))


class TestSilentCrashes(LimitCase):
    """A worker that ended silently is not known to be lost for a while."""

    def test_run_lives_only_if_its_worker_answers(self) -> None:
        """Guards against a limit that ends beside crashes not yet known."""
        step = self.step(99)
        self.rig.round()
        self.start(12, has_crashed=True)
        self.limits.note_start(self.step(98), self.rig.now)
        self.assertTrue(self.limits.is_held_back(step, self.rig.now))
        self.rig.now += 0.3
        self.rig.hold_all()
        self.assertFalse(self.limits.is_held_back(step, self.rig.now))


class TestFirstTrials(LimitCase):
    """A step whose queue crashes workers took the work beside it along."""

    def setUp(self) -> None:
        super().setUp()
        self.start(12, has_crashed=True)
        for job in tuple(self.tracker.jobs_by_id.values()):
            self.tracker.finish(job, JobState.FAILED, self.rig.now)
        self.other = self.step(50)
        self.other.has_lived = True
        self.rig.round()
        self.first = self.step(60)

    def test_first_start_is_apart_from_other_work(self) -> None:
        self.rig.round()
        placed_on = self.first.tasks[0].worker_id
        self.assertNotIn(placed_on, {'', self.other.tasks[0].worker_id})

    def test_other_work_runs_beside_it_once_it_has_lived(self) -> None:
        """Guards against a worker that stays apart after the trial."""
        self.rig.round()
        worker = self.tracker.workers_by_id[self.first.tasks[0].worker_id]
        self.rig.pass_time(1)
        self.assertIsNone(worker.apart_for)
        self.assertIsNone(self.first.apart_for)

    def test_trial_counts_once_its_outcome_is_known(self) -> None:
        """Guards against trials that end the limit by their mere number."""
        risk = self.tracker.risks_by_queue['lookups']
        self.rig.round()
        self.assertTrue(self.first.tasks[0].is_placed)
        share = risk.crashed_share()
        self.rig.pass_time(1)
        self.assertLess(risk.crashed_share(), share)
        self.assertEqual(1, share)

    def test_idle_workers_are_used_once_nothing_else_comes(self) -> None:
        """Guards against steps held back without end in an idle cell (LOST)."""
        for number in range(4, 14):
            self.rig.workers_by_id[f'w{number}'].is_reachable = False
            worker = self.tracker.workers_by_id[f'w{number}']
            worker.suspected_s = self.rig.now + 60
        self.rig.round()
        self.assertFalse(self.first.tasks[0].is_placed)
        self.rig.pass_time(5)
        self.assertTrue(self.first.tasks[0].is_placed)


class TestAdmission(LimitCase):
    """A job is rejected at once if the steps in front take too long."""

    def test_held_steps_count(self) -> None:
        self.start(12, has_crashed=True)
        for number in range(100, 140):
            waiting = self.step(number)
            waiting.waits.note(WaitReason.CRASHES, self.rig.now)
        held_s = held_s_by_queue(self.tracker)
        submission = JobSubmission('payload', (StepSpec(1, SMALL, 500),))
        backlog = Backlog(held_s_by_queue=held_s)
        self.assertIsNotNone(
            check_admission(submission, QUEUE, 'clerks', backlog)
        )
        self.assertIsNone(
            check_admission(submission, QUEUE, 'clerks', Backlog())
        )
