"""Tests what the ends of a gang's members count for."""

from itertools import product
from random import Random

import msgspec
from msgspec import Struct
from testtools import TestCase

from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.protocol.cell_jobs import (
    CrashRecord,
    JobProgress,
    StepSpec,
    TaskRecord,
)
from apricotlead.protocol.cell_workers import EndKind
from apricotlead.state.cell_jobs import StepState, TaskState
from apricotlead.state.cell_workers import WorkerState
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
MAX_ATTEMPTS = 3
# A worker takes all members, or only one of them.
TOGETHER = StepSpec(3, SMALL, gang=True)
APART = StepSpec(3, SMALL, gang=True, max_per_worker=1)


class FormerStepRecord(Struct, array_like=True):
    """The record of a step before the latest failed run was stored."""

    occurrence: int
    step: int
    tasks: list[TaskRecord]
    gang_failures: int = 0
    crashes: tuple[CrashRecord, ...] = ()


class GangCase(TestCase):
    """A cell of five workers with one job, which is a gang."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(5)))

    def submit(self, spec: StepSpec) -> None:
        stored = stored_job(spec, max_attempts=MAX_ATTEMPTS)
        self.rig.submit(JOB, stored)
        self.rig.round()

    @property
    def step(self) -> StepState:
        job = self.rig.scheduler.tracker.jobs_by_id[JOB]
        return job.steps_by_key[0, 0]

    def task(self, index: int) -> TaskState:
        return self.step.tasks[index]

    def worker_of(self, index: int) -> ModelWorker:
        return self.rig.workers_by_id[self.task(index).worker_id]

    def end(self, index: int, kind: EndKind = EndKind.FAILED) -> ModelWorker:
        """End the run of a member; nothing reports it yet."""
        worker = self.worker_of(index)
        worker.end(self.task(index).name, kind)
        return worker

    def end_all(self, *kinds: EndKind) -> None:
        """End the members in order, with a report after each of them."""
        for index, kind in enumerate(kinds):
            worker = self.end(index, kind)
            self.rig.hold(worker.entry.worker_id)

    def fail_together(self) -> None:
        """End all members as failed, and report it at once."""
        for task in self.step.tasks:
            self.end(task.index)
        self.rig.hold_all()

    def restart(self) -> None:
        """Pass time until the next run has started."""
        for _ in range(20):
            self.rig.pass_time(0.5)
            if all(task.is_placed for task in self.step.tasks):
                return
        self.fail('the gang was not started again')

    def starts(self, index: int = 0) -> list[int]:
        """Return the numbers of a member's runs that a worker has started."""
        name = f'{JOB}.0.0.{index}'
        return [
            order.run
            for worker in self.rig.workers_by_id.values()
            for order in worker.started
            if order.task == name
        ]


def _ends_of_a_run(failed: int) -> list[EndKind]:
    """Return how the members end if one of them fails."""
    return [
        EndKind.FAILED if index == failed else EndKind.BROKEN
        for index in range(3)
    ]


class TestFailedRuns(GangCase):
    """A failed run of a gang uses up one attempt, not one for each member."""

    def test_members_fail_in_one_report(self) -> None:
        """A gang with three attempts was shown as failed after its first run."""
        self.submit(TOGETHER)
        self.fail_together()
        self.assertEqual(1, self.step.gang_failures)
        self.restart()
        self.assertEqual([1, 2], self.starts())

    def test_members_fail_in_several_reports(self) -> None:
        """Each report of the same run counted as a further failure."""
        self.submit(TOGETHER)
        self.end_all(EndKind.FAILED, EndKind.FAILED, EndKind.FAILED)
        self.assertEqual(1, self.step.gang_failures)

    def test_members_fail_on_several_workers(self) -> None:
        """Each worker that reported the same run counted as a failure."""
        self.submit(APART)
        self.end_all(EndKind.FAILED, EndKind.FAILED, EndKind.FAILED)
        self.assertEqual(1, self.step.gang_failures)

    def test_order_of_ends(self) -> None:
        """A run counted twice, or not at all, by the order of its ends."""
        kinds = (EndKind.FAILED, EndKind.BROKEN, EndKind.STOPPED)
        for order in product(kinds, repeat=3):
            self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(5)))
            self.submit(APART)
            self.end_all(*order)
            expected = int(EndKind.FAILED in order)
            self.assertEqual(expected, self.step.gang_failures, order)

    def test_runs_without_a_failed_member(self) -> None:
        """A run that only broke or was stopped uses up no attempt."""
        self.submit(APART)
        self.end_all(EndKind.BROKEN, EndKind.STOPPED, EndKind.ALONE)
        self.assertEqual(0, self.step.gang_failures)

    def test_gang_is_given_up_after_its_attempts(self) -> None:
        """No run may start after as many failed ones (BUDGET), and no fewer."""
        self.submit(TOGETHER)
        for _ in range(MAX_ATTEMPTS - 1):
            self.fail_together()
            self.restart()
        self.fail_together()
        self.rig.pass_time(10)
        self.assertEqual('failed', self.rig.state(JOB))
        self.assertEqual([1, 2, 3], self.starts())

    def test_other_members_fail_each_time(self) -> None:
        """A gang of which another member fails each time was not given up."""
        self.submit(APART)
        for index in range(MAX_ATTEMPTS):
            self.end_all(*_ends_of_a_run(index))
            if index < MAX_ATTEMPTS - 1:
                self.restart()
        self.rig.pass_time(10)
        self.assertEqual('failed', self.rig.state(JOB))
        self.assertEqual([1, 2, 3], self.starts())


class TestHandover(GangCase):
    """A successor reads ends of a run that has been counted before."""

    def test_members_end_after_the_handover(self) -> None:
        """Members that were being stopped counted the same run again."""
        self.submit(APART)
        self.end_all(EndKind.FAILED)
        self.rig.journal()
        self.rig.take_over()
        self.end(1)
        self.end(2)
        self.rig.hold_all()
        self.assertEqual(1, self.step.gang_failures)

    def test_ends_are_read_again(self) -> None:
        """The former scheduler has stored the ends and not acknowledged them."""
        self.submit(TOGETHER)
        self.fail_together()
        self.rig.journal()
        self.rig.take_over()
        self.assertEqual(1, self.step.gang_failures)

    def test_ends_that_were_not_stored(self) -> None:
        """The former scheduler was lost before it had stored the ends."""
        self.submit(TOGETHER)
        self.fail_together()
        self.rig.take_over()
        self.assertEqual(1, self.step.gang_failures)

    def test_next_run_counts(self) -> None:
        """A successor has to count the runs that follow."""
        self.submit(TOGETHER)
        self.fail_together()
        self.restart()
        self.rig.take_over()
        self.fail_together()
        self.assertEqual(2, self.step.gang_failures)


class TestStoredRows(GangCase):
    """Instances of the former version and of this one read the same rows."""

    def rows_of(self, step_type: type) -> list[Struct]:
        row = self.rig.rows_by_key[f'{PROGRESS_PREFIX}{JOB}']
        progress = msgspec.convert(row.value, JobProgress)
        steps = msgspec.to_builtins(progress.steps)
        return msgspec.convert(steps, list[step_type])

    def test_former_version_reads_new_rows(self) -> None:
        """A former instance that takes over must not lose the job."""
        self.submit(TOGETHER)
        self.fail_together()
        self.rig.journal()
        record = self.rows_of(FormerStepRecord)[0]
        self.assertEqual(1, record.gang_failures)
        self.assertEqual([1, 1, 1], [task.run for task in record.tasks])

    def store_former_row(self, **changes: object) -> None:
        """Replace the row by one of the former version."""
        step = msgspec.structs.replace(
            self.rows_of(FormerStepRecord)[0], **changes
        )
        key = f'{PROGRESS_PREFIX}{JOB}'
        row = self.rig.rows_by_key[key]
        progress = [[msgspec.to_builtins(step)], *row.value[1:]]
        self.rig.rows_by_key[key] = msgspec.structs.replace(row, value=progress)

    def test_rows_of_the_former_version(self) -> None:
        """A row without the latest failed run must not be lost."""
        self.submit(TOGETHER)
        self.fail_together()
        self.restart()
        self.store_former_row()
        self.rig.take_over()
        self.assertEqual(1, self.step.gang_failures)
        self.assertEqual(0, self.step.gang_failed_run)
        self.fail_together()
        self.assertEqual(2, self.step.gang_failures)

    def test_failures_that_the_former_version_counted_by_member(self) -> None:
        """The last member's end ended a job that had two attempts left."""
        self.submit(APART)
        self.end_all(EndKind.FAILED, EndKind.FAILED)
        self.rig.journal()
        self.store_former_row(gang_failures=2)
        self.rig.take_over()
        self.rig.hold(self.end(2).entry.worker_id)
        self.assertEqual(1, self.step.gang_failures)
        self.restart()

    def test_runs_that_the_former_version_counted(self) -> None:
        """Runs before the latest one must still count after the update."""
        self.submit(TOGETHER)
        self.fail_together()
        self.restart()
        self.store_former_row(gang_failures=2)
        self.rig.take_over()
        self.fail_together()
        self.assertEqual(2, self.step.gang_failures)


class TestWorkers(GangCase):
    """A failed run of a gang is one failure of each worker that reports it."""

    def worker(self, worker_id: str) -> WorkerState:
        return self.rig.scheduler.tracker.workers_by_id[worker_id]

    def failures(self, worker_id: str) -> int:
        return self.worker(worker_id).consecutive_failures

    def test_members_fail_in_one_report(self) -> None:
        """A worker was paused for 4 s after one failed run of a gang."""
        self.submit(TOGETHER)
        worker_id = self.task(0).worker_id
        self.fail_together()
        worker = self.worker(worker_id)
        self.assertTrue(worker.takes_work(self.rig.now))
        self.assertEqual(1, self.failures(worker_id))

    def test_members_fail_in_several_reports(self) -> None:
        """Reports that follow each other counted as failures in a row."""
        self.submit(TOGETHER)
        worker_id = self.task(0).worker_id
        self.end_all(EndKind.FAILED, EndKind.FAILED, EndKind.FAILED)
        self.assertEqual(1, self.failures(worker_id))

    def test_members_fail_on_several_workers(self) -> None:
        """A worker must not go uncounted because another one came first."""
        self.submit(APART)
        worker_ids = [task.worker_id for task in self.step.tasks]
        self.end_all(EndKind.FAILED, EndKind.FAILED, EndKind.FAILED)
        counts = [self.failures(worker_id) for worker_id in worker_ids]
        self.assertEqual([1, 1, 1], counts)

    def test_members_fail_after_a_handover(self) -> None:
        """A successor counted each member that was being stopped."""
        self.submit(TOGETHER)
        worker_id = self.task(0).worker_id
        self.end_all(EndKind.FAILED)
        self.rig.journal()
        self.rig.take_over()
        self.end(1)
        self.end(2)
        self.rig.hold_all()
        self.assertEqual(1, self.failures(worker_id))

    def test_successful_members(self) -> None:
        """Only the worker whose end came first had its failures forgotten."""
        self.submit(APART)
        worker_ids = [task.worker_id for task in self.step.tasks]
        for worker in map(self.worker, worker_ids):
            worker.consecutive_failures = 2
        self.end_all(EndKind.DONE, EndKind.DONE, EndKind.DONE)
        counts = [self.failures(worker_id) for worker_id in worker_ids]
        self.assertEqual([0, 0, 0], counts)

    def test_runs_that_last(self) -> None:
        """A run that lasts may end as done; its worker is no failing one."""
        self.submit(StepSpec(1, SMALL, long_running=True))
        worker_id = self.task(0).worker_id
        self.worker(worker_id).consecutive_failures = 2
        self.end_all(EndKind.DONE)
        self.assertEqual(0, self.failures(worker_id))

    def test_further_runs_count(self) -> None:
        """A worker on which one run after the other fails is paused."""
        self.rig = CellRig(ModelWorker('w0'))
        self.submit(TOGETHER)
        for _ in range(2):
            self.fail_together()
            self.restart()
        self.assertEqual(2, self.failures('w0'))
        self.fail_together()
        self.assertFalse(self.worker('w0').takes_work(self.rig.now))


class TestAvoidedWorkers(GangCase):
    """A gang leaves a worker on which one of its members has failed."""

    def fail_member(self, index: int) -> str:
        """Let a member fail; return its worker."""
        worker_id = self.task(index).worker_id
        self.end_all(*_ends_of_a_run(index))
        return worker_id

    def test_failing_worker_gets_no_other_member(self) -> None:
        """Another member went to the failing worker, and the run failed again."""
        self.submit(APART)
        failing_id = self.fail_member(0)
        self.restart()
        worker_ids = {task.worker_id for task in self.step.tasks}
        self.assertEqual(3, len(worker_ids))
        self.assertNotIn(failing_id, worker_ids)

    def test_gang_on_a_failing_worker_is_done(self) -> None:
        """A gang with attempts left failed on one worker until none was."""
        self.submit(APART)
        failing_id = self.task(1).worker_id
        for _ in range(MAX_ATTEMPTS - 1):
            failed = [
                task.index
                for task in self.step.tasks
                if task.worker_id == failing_id
            ]
            if failed:
                self.fail_member(failed[0])
                self.restart()
        self.assertEqual(1, self.step.gang_failures)
        self.end_all(EndKind.DONE)
        self.rig.journal()
        self.assertEqual('completed', self.rig.state(JOB))

    def test_gang_that_needs_the_worker(self) -> None:
        """A gang that fits nowhere else must not wait for ever."""
        self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(3)))
        self.submit(APART)
        failing_id = self.fail_member(0)
        self.restart()
        worker_ids = {task.worker_id for task in self.step.tasks}
        self.assertIn(failing_id, worker_ids)

    def test_other_tasks_are_not_affected(self) -> None:
        """Only the task that failed avoids the worker if it is of no gang."""
        self.submit(StepSpec(3, SMALL))
        worker_id = self.task(0).worker_id
        self.end_all(EndKind.FAILED)
        avoided = [task.avoided_workers for task in self.step.tasks]
        self.assertEqual([{worker_id}, set(), set()], avoided)


class TestRandomOrders(GangCase):
    """Any order of ends, reports, writes and hand-overs counts a run once."""

    def play_run(self, random: Random) -> bool:
        """End a run in a random order; return whether a member failed."""
        kinds = [
            random.choice((EndKind.FAILED, EndKind.BROKEN, EndKind.STOPPED))
            for _ in self.step.tasks
        ]
        indexes = list(range(len(kinds)))
        random.shuffle(indexes)
        for index in indexes:
            if JOB not in self.rig.scheduler.tracker.jobs_by_id:
                break
            worker = self.end(index, kinds[index])
            if random.random() < 0.5:
                self.rig.hold(worker.entry.worker_id)
            if random.random() < 0.3:
                self.rig.journal()
            if random.random() < 0.2:
                self.rig.take_over()
        self.rig.hold_all()
        self.rig.journal()
        return EndKind.FAILED in kinds

    def test_seeds(self) -> None:
        """A run counted by its members, or again by a successor."""
        for seed in range(60):
            random = Random(seed)
            self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(5)))
            self.submit(
                StepSpec(
                    random.randint(2, 5),
                    SMALL,
                    gang=True,
                    max_per_worker=random.randint(0, 2),
                )
            )
            failed_count = 0
            while failed_count < MAX_ATTEMPTS:
                self.assertEqual('running', self.rig.state(JOB), seed)
                failed_count += self.play_run(random)
                if failed_count < MAX_ATTEMPTS:
                    self.assertEqual(
                        failed_count, self.step.gang_failures, seed
                    )
                    self.restart()
            self.assertEqual('failed', self.rig.state(JOB), seed)
