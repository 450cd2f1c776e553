"""Tests which tasks a crash of their worker is counted and held against."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.placement import is_idle
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.cell_jobs import (
    CrashRecord,
    JobProgress,
    JobState,
    StepSpec,
)
from apricotlead.protocol.cell_workers import (
    AdviceAnswer,
    EndKind,
    OrderReply,
    Refusal,
)
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import TaskState
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

GUILTY_ID = '00000000000000aa'
OTHER_ID = '00000000000000bb'
WHOLE = Resources(14000, 16384, 0)
_BROKEN = OrderReply(Refusal.UNANSWERED, is_broken=True)
_REFUSED = OrderReply(Refusal.NO_LISTENER)
_OTHER_LIFE = OrderReply(Refusal.OTHER_LIFE)


class CrashCase(TestCase):
    """A cell of four workers; the job ``GUILTY_ID`` crashes them."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(4)))
        self._restarts = 0

    def submit(self, job_id: str, *steps: StepSpec, **changes: object) -> None:
        self.rig.submit(job_id, stored_job(*steps, **changes))

    def task(self, job_id: str, index: int = 0) -> TaskState:
        return self.rig.scheduler.tracker.task(f'{job_id}.0.0.{index}')

    def lose_contact(self, worker_id: str, age_s: float = 0.01) -> None:
        """End a worker's process ``age_s`` from now; its calls fail."""
        self.rig.now += age_s
        workers = self.rig.scheduler.workers
        workers.hold_refused(worker_id, _BROKEN, self.rig.now)
        workers.hold_refused(worker_id, _REFUSED, self.rig.now)
        self.rig.workers_by_id[worker_id].is_reachable = False

    def come_back(self, worker_id: str) -> None:
        """Let another process answer at a lost worker's address."""
        self.rig.now += 3.3
        former = self.rig.workers_by_id.pop(worker_id)
        workers = self.rig.scheduler.workers
        workers.hold_refused(worker_id, _OTHER_LIFE, self.rig.now)
        self._restarts += 1
        worker = ModelWorker(
            f'{worker_id}-{self._restarts}', address=former.entry.address
        )
        self.rig.workers_by_id[worker.entry.worker_id] = worker
        workers.update_worker(worker.entry, self.rig.now)
        for _ in range(3):
            self.rig.hold_all()
            self.rig.journal()

    def crash(self, worker_id: str, age_s: float = 0.01) -> None:
        self.lose_contact(worker_id, age_s)
        self.come_back(worker_id)

    def start(self, job_id: str, index: int = 0) -> str:
        """Plan until a task runs; return its worker."""
        for _ in range(8):
            self.rig.round()
            if self.task(job_id, index).is_placed:
                break
            self.rig.now += 0.2
            self.rig.hold_all()
        return self.task(job_id, index).worker_id

    def break_gang_elsewhere(self, worker_id: str) -> None:
        """End the members of a gang on the workers that did not crash."""
        others = set(self.rig.workers_by_id) - {worker_id}
        for other_id in others:
            worker = self.rig.workers_by_id[other_id]
            for task in tuple(worker.running_by_task):
                worker.end(task, EndKind.BROKEN)

    def notes(self, kind: str) -> list[dict]:
        return [
            fields
            for name, fields in self.rig.scheduler.tracker.notes
            if name == kind
        ]


class TestGivingUp(CrashCase):
    """A task is given up after two crashes with nothing else to blame."""

    def test_second_crash_ends_the_job(self) -> None:
        self.submit(GUILTY_ID)
        self.crash(self.start(GUILTY_ID))
        self.assertFalse(self.task(GUILTY_ID).step.job.state.is_final)
        self.crash(self.start(GUILTY_ID))
        self.rig.journal()
        self.assertEqual('failed', self.rig.state(GUILTY_ID))

    def test_reason_reaches_callers_and_the_log(self) -> None:
        self.submit(GUILTY_ID)
        for _ in range(2):
            self.crash(self.start(GUILTY_ID))
        self.rig.journal()
        row = self.rig.rows_by_key[f'{PROGRESS_PREFIX}{GUILTY_ID}']
        progress = msgspec.convert(row.value, JobProgress)
        self.assertIn('workers crashed', progress.why)
        given_up = self.notes('task given up')
        self.assertEqual(2, given_up[0]['crashes'])

    def test_long_running_task(self) -> None:
        """It has no limit on failures, but a crash costs all work beside it."""
        self.submit(GUILTY_ID, StepSpec(1, SMALL, long_running=True))
        for _ in range(2):
            self.crash(self.start(GUILTY_ID))
        self.rig.journal()
        self.assertEqual('failed', self.rig.state(GUILTY_ID))

    def test_gang(self) -> None:
        self.submit(GUILTY_ID, StepSpec(2, SMALL, gang=True))
        for _ in range(2):
            worker_id = self.start(GUILTY_ID)
            self.break_gang_elsewhere(worker_id)
            self.crash(worker_id)
        self.rig.journal()
        self.assertEqual('failed', self.rig.state(GUILTY_ID))


class TestHandover(CrashCase):
    """A successor must not begin to count anew."""

    def test_count_is_stored(self) -> None:
        self.submit(GUILTY_ID)
        self.crash(self.start(GUILTY_ID))
        self.rig.journal()
        self.rig.take_over()
        self.assertEqual(1, self.task(GUILTY_ID).crashes.crashes)
        self.crash(self.start(GUILTY_ID))
        self.rig.journal()
        self.assertEqual('failed', self.rig.state(GUILTY_ID))

    def test_scheduler_is_lost_between_a_start_and_its_crash(self) -> None:
        """The former scheduler had sent the start and saw nothing after it."""
        self.submit(GUILTY_ID)
        worker_id = self.start(GUILTY_ID)
        self.rig.workers_by_id[worker_id].is_reachable = False
        self.rig.take_over()
        self.come_back(worker_id)
        history = self.task(GUILTY_ID).crashes
        self.assertEqual((0, 1), (history.crashes, history.doubtful_crashes))
        self.assertTrue(history.is_suspect)

    def test_successor_suspects_only_the_latest_runs(self) -> None:
        """All work beside a crash waited for a trial of its own."""
        self.submit(OTHER_ID)
        worker_id = self.start(OTHER_ID)
        self.rig.now += 2
        self.rig.hold_all()
        self.submit(GUILTY_ID)
        self.assertEqual(worker_id, self.start(GUILTY_ID))
        self.rig.workers_by_id[worker_id].is_reachable = False
        self.rig.take_over()
        self.come_back(worker_id)
        self.assertTrue(self.task(GUILTY_ID).crashes.is_suspect)
        self.assertFalse(self.task(OTHER_ID).crashes.is_suspect)


class TestStoredCrashes(CrashCase):
    """A record that does not fit its step must not end the term."""

    def test_record_of_an_unknown_task(self) -> None:
        self.submit(GUILTY_ID)
        self.crash(self.start(GUILTY_ID))
        self.rig.journal()
        key = f'{PROGRESS_PREFIX}{GUILTY_ID}'
        row = self.rig.rows_by_key[key]
        progress = msgspec.convert(row.value, JobProgress)
        progress.steps[0].crashes = (CrashRecord(7, 1),)
        self.rig.rows_by_key[key] = msgspec.structs.replace(
            row, value=msgspec.to_builtins(progress)
        )
        self.rig.take_over()
        self.assertEqual(1, len(self.notes('row unreadable')))


class TestInnocentWork(CrashCase):
    """What only ran on a crashed worker is not given up."""

    def test_older_run_is_counted_and_not_suspected(self) -> None:
        self.submit(OTHER_ID)
        self.start(OTHER_ID)
        self.rig.now += 2
        self.rig.hold_all()
        self.submit(GUILTY_ID)
        self.crash(self.start(GUILTY_ID))
        history = self.task(OTHER_ID).crashes
        self.assertEqual(1, history.crashes)
        self.assertFalse(history.is_suspect)

    def test_silence_is_no_crash(self) -> None:
        """A cut of any length, after which the same process answers."""
        self.submit(OTHER_ID)
        worker_id = self.start(OTHER_ID)
        worker = self.rig.workers_by_id[worker_id]
        worker.is_reachable = False
        self.rig.pass_time(12)
        worker.running_by_task.clear()
        worker.is_reachable = True
        self.rig.pass_time(2)
        self.assertEqual(0, self.task(OTHER_ID).crashes.total)

    def test_crash_behind_a_cut_is_doubtful(self) -> None:
        self.submit(OTHER_ID)
        worker_id = self.start(OTHER_ID)
        self.rig.workers_by_id[worker_id].is_reachable = False
        self.rig.pass_time(12)
        self.come_back(worker_id)
        history = self.task(OTHER_ID).crashes
        self.assertEqual((0, 1), (history.crashes, history.doubtful_crashes))

    def test_service_that_lives_long_between_crashes(self) -> None:
        """Guards against crashes that add up over the life of a service."""
        self.submit(OTHER_ID, StepSpec(1, SMALL, long_running=True))
        for _ in range(6):
            worker_id = self.start(OTHER_ID)
            self.rig.pass_time(70)
            self.crash(worker_id)
            self.start(OTHER_ID)
        self.assertTrue(self.task(OTHER_ID).is_placed)
        self.assertEqual(0, self.task(OTHER_ID).crashes.total)

    def test_planned_leaving_is_no_crash(self) -> None:
        self.submit(OTHER_ID)
        worker_id = self.start(OTHER_ID)
        worker = self.rig.workers_by_id[worker_id]
        worker.entry = msgspec.structs.replace(
            worker.entry, draining=True, drain_left_ms=2000
        )
        self.rig.scheduler.workers.update_worker(worker.entry, self.rig.now)
        self.crash(worker_id)
        self.assertEqual(0, self.task(OTHER_ID).crashes.total)

    def test_crash_with_two_young_jobs_blames_neither_alone(self) -> None:
        self.submit(GUILTY_ID)
        self.submit(OTHER_ID)
        worker_id = self.start(GUILTY_ID)
        self.assertEqual(worker_id, self.task(OTHER_ID).worker_id)
        self.crash(worker_id)
        self.assertEqual(0, self.task(GUILTY_ID).crashes.sole_crashes)
        self.assertTrue(self.task(OTHER_ID).crashes.is_suspect)

    def test_suspect_that_lives_is_cleared(self) -> None:
        self.submit(OTHER_ID)
        self.crash(self.start(OTHER_ID))
        self.start(OTHER_ID)
        self.rig.pass_time(2)
        self.assertFalse(self.task(OTHER_ID).crashes.is_suspect)
        self.assertEqual(1, len(self.notes('suspect cleared')))


class TestLossesBetweenCalls(CrashCase):
    """Nothing is in flight to a worker when it ends; the next call is refused.

    The run that crashed it was taken for one that had lived, as its age counted
    to that call: it was not suspected, and its step counted as harmless.
    """

    def test_run_that_ended_before_the_next_call(self) -> None:
        self.submit(GUILTY_ID)
        self.rig.hold_all()
        worker_id = self.start(GUILTY_ID)
        self.rig.now += 0.3
        workers = self.rig.scheduler.workers
        workers.hold_refused(worker_id, _REFUSED, self.rig.now)
        self.assertTrue(self.task(GUILTY_ID).step.has_crashed)
        self.come_back(worker_id)
        self.assertTrue(self.task(GUILTY_ID).crashes.is_suspect)

    def test_run_that_lived_until_its_call_was_cut(self) -> None:
        """Guards against blame for a loss that is dated exactly.

        Runs of 0.3 and 0.45 s were suspected, and their queue was limited.
        """
        self.submit(GUILTY_ID)
        self.rig.hold_all()
        worker_id = self.start(GUILTY_ID)
        self.lose_contact(worker_id, 0.45)
        self.assertFalse(self.task(GUILTY_ID).step.has_crashed)

    def test_run_of_a_former_life(self) -> None:
        """Guards against a counted run that shows at the next crash as old."""
        self.submit(GUILTY_ID)
        worker_id = self.start(GUILTY_ID)
        self.task(GUILTY_ID).crashes.counted_run = 1
        self.lose_contact(worker_id, 2)
        self.assertFalse(self.task(GUILTY_ID).step.has_lived)


class TestTrials(CrashCase):
    """A suspect runs apart from other work until it has lived."""

    def test_nothing_is_placed_beside_a_suspect(self) -> None:
        self.submit(GUILTY_ID)
        self.crash(self.start(GUILTY_ID))
        worker_id = self.start(GUILTY_ID)
        self.submit(OTHER_ID, StepSpec(6, SMALL))
        self.rig.round()
        placed = {self.task(OTHER_ID, each).worker_id for each in range(6)}
        self.assertNotIn(worker_id, placed)

    def test_suspect_avoids_workers_in_use(self) -> None:
        self.submit(GUILTY_ID)
        self.crash(self.start(GUILTY_ID))
        self.submit(OTHER_ID, StepSpec(1, SMALL, long_running=True))
        other_worker_id = self.start(OTHER_ID)
        self.assertNotEqual(other_worker_id, self.start(GUILTY_ID))

    def test_suspect_does_not_wait_for_ever(self) -> None:
        """Every worker has long-running work, so that none becomes idle."""
        self.submit(GUILTY_ID)
        self.crash(self.start(GUILTY_ID))
        self.submit(
            OTHER_ID,
            StepSpec(4, SMALL, long_running=True, max_per_worker=1),
        )
        self.rig.round()
        self.rig.pass_time(4)
        self.assertTrue(self.task(GUILTY_ID).is_placed)

    def test_suspects_do_not_wait_for_each_other(self) -> None:
        """Guards against trials one by one where no worker becomes idle.

        The last of 12 suspects began after 13 s, with nearly all room free.
        """
        names = [f'w{each}' for each in range(12)]
        self.rig = CellRig(*(ModelWorker(name) for name in names))
        self.submit(
            OTHER_ID,
            StepSpec(12, SMALL, long_running=True, max_per_worker=1),
        )
        self.rig.round()
        self.rig.pass_time(5)
        job_ids = [format(number, '016x') for number in range(8)]
        for job_id in job_ids:
            self.submit(job_id)
            task = self.task(job_id)
            task.crashes.sole_crashes = 1
            self.rig.scheduler.tracker.suspect(task)
        for _ in range(16):
            self.rig.pass_time(0.25)
            self.rig.round()
            self.rig.hold_all()
        phases = [self.task(each).phase.value for each in job_ids]
        self.assertNotIn('waiting', phases)

    def test_suspected_gang_asks_about_all_workers(self) -> None:
        """Guards against a gang that asks for advice worker by worker.

        It asked only about the few workers that were kept for its trial, each
        call took a second, and most of them might not run it (LOST).
        """
        self.submit(
            GUILTY_ID,
            StepSpec(4, WHOLE, gang=True),
            advice=AdvicePolicy(500, 7, 2000),
        )
        task = self.task(GUILTY_ID)
        self.rig.scheduler.tracker.suspect(task)
        self.submit(
            OTHER_ID,
            StepSpec(4, SMALL, long_running=True, max_per_worker=1),
        )
        self.rig.round()
        calls = self.rig.scheduler.plan(self.rig.now, ['peer1', 'peer2'])
        self.assertEqual(4, sum(len(each.worker_ids) for each in calls))

    def test_suspect_asks_about_all_workers(self) -> None:
        """Guards against a suspect that asks for advice worker by worker.

        It asked only about the worker that was kept for it, which it mostly
        might not use (LOST).
        """
        self.submit(GUILTY_ID, advice=AdvicePolicy(60, 1, 2000))
        self.rig.scheduler.tracker.suspect(self.task(GUILTY_ID))
        calls = self.rig.scheduler.plan(self.rig.now, ['peer1', 'peer2'])
        self.assertEqual(4, sum(len(each.worker_ids) for each in calls))

    def test_suspect_uses_the_worker_that_it_has_a_ticket_for(self) -> None:
        """Guards against keeping one idle worker and asking about it again."""
        self.submit(GUILTY_ID, advice=AdvicePolicy(60, 1, 2000))
        self.rig.scheduler.tracker.suspect(self.task(GUILTY_ID))
        calls = self.rig.scheduler.plan(self.rig.now, ['peer1', 'peer2'])
        answer = AdviceAnswer({'w3': 'ticket'}, 2000)
        for call in calls:
            self.rig.scheduler.advice.answered(
                call, answer, self.rig.now, self.rig.now
            )
        self.rig.round()
        self.assertEqual('w3', self.task(GUILTY_ID).worker_id)

    def test_worker_with_a_valid_ticket_comes_first(self) -> None:
        """Guards against asking again about a permitted worker instead."""
        self.submit(GUILTY_ID, advice=AdvicePolicy(60, 1, 2000))
        task = self.task(GUILTY_ID)
        self.rig.scheduler.tracker.suspect(task)
        advice = self.rig.scheduler.advice.advice(task.step.name)
        advice.tickets_by_worker.update({'w1': 'expired', 'w3': 'valid'})
        advice.expires_s.update({'w1': 0.0, 'w3': self.rig.now + 2})
        self.rig.round()
        self.assertEqual('w3', task.worker_id)

    def test_suspect_that_may_crash_at_its_start_is_alone(self) -> None:
        """Guards against crashes that cannot be held against one suspect.

        Beside another trial, crashes that cannot be dated did not show which
        task caused them: one had five (BUDGET).
        """
        for job_id in (GUILTY_ID, OTHER_ID):
            self.submit(job_id)
            self.rig.scheduler.tracker.suspect(self.task(job_id))
        self.task(GUILTY_ID).crashes.longest_age_s = 5.0
        self.start(GUILTY_ID)
        self.rig.pass_time(1)
        self.assertNotEqual(
            self.task(GUILTY_ID).worker_id, self.task(OTHER_ID).worker_id
        )

    def test_suspects_that_live_share_a_worker(self) -> None:
        """Guards against a whole worker for each innocent suspect.

        Each kept one for as long as it had run before, beside which others
        waited in a cell that was mostly free (LOST).
        """
        for job_id in (GUILTY_ID, OTHER_ID):
            self.submit(job_id)
            task = self.task(job_id)
            task.crashes.longest_age_s = 5.0
            self.rig.scheduler.tracker.suspect(task)
            self.start(job_id)
            self.rig.pass_time(1)
        self.assertEqual(
            self.task(GUILTY_ID).worker_id, self.task(OTHER_ID).worker_id
        )

    def test_run_of_a_job_that_is_over_keeps_no_trial_waiting(self) -> None:
        """Guards against workers that are idle for two seconds after a crash."""
        self.submit(GUILTY_ID)
        worker_id = self.start(GUILTY_ID)
        worker = self.rig.scheduler.tracker.workers_by_id[worker_id]
        task = self.task(GUILTY_ID)
        self.rig.scheduler.tracker.finish(
            task.step.job, JobState.FAILED, self.rig.now
        )
        self.assertFalse(is_idle(worker))
        task.is_confirmed = False
        self.assertTrue(is_idle(worker))

    def test_gang_does_not_wait_for_ever(self) -> None:
        """A suspected gang needs more idle workers than there are."""
        self.submit(GUILTY_ID, StepSpec(4, WHOLE, gang=True))
        worker_id = self.start(GUILTY_ID)
        self.break_gang_elsewhere(worker_id)
        self.crash(worker_id)
        self.submit(
            OTHER_ID,
            StepSpec(4, SMALL, long_running=True, max_per_worker=1),
        )
        self.rig.round()
        self.rig.pass_time(3)
        self.assertTrue(self.task(GUILTY_ID).is_placed)
