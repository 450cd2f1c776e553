"""Load pattern: a gang in a cell that patient batch work fills."""

from testtools import TestCase

from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import (
    AdviceAnswer,
    EndedTask,
    EndKind,
)
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import TaskPhase
from tests.cell_rig import CellRig, ModelWorker, stored_job

BATCH = '00000000000000aa'
GANG = '00000000000000bb'
QUARTER = Resources(4000, 1024, 0)
HALF = Resources(8000, 1024, 0)
SAVED = 'saved at the stop'


def is_of_gang(task: str) -> bool:
    """Tell whether a task is one of the gang's."""
    return task.startswith(GANG)


class _ClearingCase(TestCase):
    """Four workers that are full of batch tasks, and a gang that comes."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(4)))

    def fill(self, age_s: float = 0, **changes: object) -> None:
        """Fill all workers with tasks that save their work."""
        options = {'checkpoints': True, 'estimated_ms': 6000} | changes
        spec = StepSpec(16, QUARTER, **options)
        self.submit(BATCH, spec, age_s, priority=2, stretch=4.0)
        self.rig.round()

    def submit(
        self,
        job_id: str,
        spec: StepSpec,
        age_s: float = 0,
        **changes: object,
    ) -> None:
        accepted_ms = self.rig.store_ms - age_s * 1000
        job = stored_job(spec, accepted_ms=accepted_ms, **changes)
        self.rig.submit(job_id, job)

    def gang(self, count: int = 2, **changes: object) -> None:
        options = {'estimated_ms': 5000} | changes
        spec = StepSpec(count, HALF, gang=True, **options)
        self.submit(GANG, spec, priority=1)
        self.rig.round()

    def stopping(self) -> list[str]:
        """Return the workers of the runs that are being stopped."""
        job = self.rig.scheduler.book.jobs_by_id[BATCH]
        return [
            task.worker_id
            for task in job.tasks()
            if task.phase is TaskPhase.STOPPING
        ]

    def end_stops(self) -> None:
        """Let the workers carry the stops out, and tell."""
        stops = self.rig.scheduler.starts.stops_due(self.rig.now)
        for entry, stop in stops:
            worker = self.rig.workers_by_id[entry.worker_id]
            worker.end(stop.task, EndKind.STOPPED)
            last = worker.ended[-1]
            worker.ended[-1] = EndedTask(
                last.number,
                last.task,
                last.run,
                last.kind,
                SAVED,
            )
        self.rig.now += 0.4
        self.rig.hold_all()
        self.rig.round()

    def end_half(self, worker: ModelWorker) -> None:
        first, second, *_ = worker.running_by_task
        worker.end(first)
        worker.end(second)

    def end_gang(self, worker: ModelWorker) -> None:
        running = tuple(worker.running_by_task)
        for task in filter(is_of_gang, running):
            worker.end(task)

    def started(self, job_id: str) -> int:
        return sum(
            task.startswith(job_id)
            for worker in self.rig.workers_by_id.values()
            for task in worker.running_by_task
        )


class TestGangAmongPatientWork(_ClearingCase):
    """Runs that save their work and have time give way."""

    def test_gang_begins_once_the_stops_are_carried_out(self) -> None:
        self.fill()
        self.gang()
        self.assertEqual(4, len(self.stopping()))
        self.end_stops()
        self.assertEqual(2, self.started(GANG))

    def test_no_more_is_stopped_than_the_gang_needs(self) -> None:
        self.fill()
        self.gang()
        for _ in range(5):
            self.rig.now += 0.1
            self.rig.round()
        self.assertEqual(4, len(self.stopping()))

    def test_stopped_runs_go_on_from_what_they_saved(self) -> None:
        self.fill()
        self.gang()
        self.end_stops()
        for worker in self.rig.workers_by_id.values():
            self.end_gang(worker)
        self.rig.hold_all()
        self.rig.round()
        again = [
            order.checkpoint
            for worker in self.rig.workers_by_id.values()
            for order in worker.started
            if order.run == 2
        ]
        self.assertEqual((4, {SAVED}), (len(again), set(again)))

    def test_later_work_does_not_take_the_room(self) -> None:
        """The stops would be in vain."""
        self.fill()
        self.gang()
        spec = StepSpec(8, QUARTER, estimated_ms=6000)
        self.submit('00000000000000cc', spec, priority=2, stretch=4.0)
        self.end_stops()
        self.assertEqual(2, self.started(GANG))

    def test_more_urgent_work_does_not_take_the_room(self) -> None:
        """Each stop was followed by others, and the gang never began."""
        self.fill()
        self.gang()
        spec = StepSpec(8, QUARTER, estimated_ms=800)
        self.submit('00000000000000cc', spec, priority=0)
        self.end_stops()
        self.assertEqual(2, self.started(GANG))

    def test_room_on_several_workers_is_kept(self) -> None:
        """A whole worker would do for the gang, but each frees a part."""
        self.fill(max_per_worker=4)
        job = self.rig.scheduler.book.jobs_by_id[BATCH]
        for task in job.tasks():
            task.stop_count = 2 if task.index % 4 > 1 else 0
        self.gang()
        self.assertEqual(2, len(set(self.stopping())))
        spec = StepSpec(8, QUARTER, estimated_ms=6000)
        self.submit('00000000000000cc', spec, priority=2, stretch=4.0)
        self.end_stops()
        self.assertEqual(2, self.started(GANG))

    def test_room_that_is_free_needs_no_stops(self) -> None:
        self.fill()
        for worker in self.rig.workers_by_id.values():
            self.end_half(worker)
        self.rig.hold_all()
        self.gang()
        self.assertEqual([], self.stopping())
        self.assertEqual(2, self.started(GANG))


class TestWorkThatStays(_ClearingCase):
    """What would lose more than the gang gains is left alone."""

    def test_runs_that_save_nothing(self) -> None:
        self.fill(checkpoints=False)
        self.gang()
        self.assertEqual([], self.stopping())

    def test_runs_of_jobs_without_time(self) -> None:
        self.fill(estimated_ms=300)
        self.gang()
        self.assertEqual([], self.stopping())

    def test_runs_of_a_queue_as_urgent_as_the_gang(self) -> None:
        spec = StepSpec(16, QUARTER, checkpoints=True, estimated_ms=6000)
        self.submit(BATCH, spec, priority=1, stretch=4.0)
        self.rig.round()
        self.gang()
        self.assertEqual([], self.stopping())

    def test_short_gang_waits(self) -> None:
        """It would be done by the time that stops and restarts take."""
        self.fill()
        self.gang(estimated_ms=800)
        self.assertEqual([], self.stopping())

    def test_gang_that_would_not_fit_anyway(self) -> None:
        self.fill()
        self.gang(count=9)
        self.assertEqual([], self.stopping())

    def test_run_that_gave_way_twice(self) -> None:
        self.fill()
        job = self.rig.scheduler.book.jobs_by_id[BATCH]
        for task in job.tasks():
            task.stop_count = 2
        self.gang()
        self.assertEqual([], self.stopping())


class TestRestrictedGang(_ClearingCase):
    """Pattern: steps that few workers may run, by tickets that expire."""

    def ask(self, good: AdviceAnswer) -> None:
        call = self.rig.scheduler.plan(self.rig.now, ['peer'])[0]
        now = self.rig.now
        self.rig.scheduler.advice.answered(call, good, now, now)

    def submit_gang(self, good: AdviceAnswer) -> None:
        spec = StepSpec(2, HALF, gang=True, estimated_ms=5000)
        policy = AdvicePolicy(400, 6, 1500)
        self.submit(GANG, spec, priority=1, advice=policy)
        self.ask(good)

    def test_only_workers_that_may_run_it_are_cleared(self) -> None:
        self.fill()
        self.submit_gang(AdviceAnswer({'w1': 'a', 'w3': 'b'}, 1500))
        self.rig.round()
        self.assertEqual(4, len(self.stopping()))
        self.assertLessEqual(set(self.stopping()), {'w1', 'w3'})

    def test_tickets_are_renewed_while_the_stops_are_under_way(self) -> None:
        """Else the room would stand idle for the time of an answer."""
        self.fill()
        self.submit_gang(AdviceAnswer({'w1': 'a', 'w3': 'b'}, 300))
        self.rig.now += 0.4
        calls = self.rig.scheduler.plan(self.rig.now, ['peer'])
        self.assertEqual(4, len(self.stopping()))
        self.assertEqual(set(self.stopping()), set(calls[0].worker_ids))


class TestVictims(_ClearingCase):
    """Which runs give way follows from the time that their jobs have."""

    def test_job_that_grows_late_is_left_alone(self) -> None:
        self.fill(estimated_ms=2000, age_s=6)
        self.gang()
        self.assertEqual([], self.stopping())

    def test_progress_does_not_matter(self) -> None:
        """A run goes on from where it was."""
        self.fill()
        task = self.rig.scheduler.book.task(f'{BATCH}.0.0.0')
        task.progress = 50
        self.gang()
        self.assertEqual(4, len(self.stopping()))
