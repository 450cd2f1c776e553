"""Load pattern: gangs in a cell that other steps fill."""

from testtools import TestCase

from apricotlead.coordination.cell.gang_reservations import GangReservations
from apricotlead.coordination.cell.placement import WorkerHeadroom, assign_tasks
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import JobRun
from tests.cell_rig import CellRig, ModelWorker, stored_job

BATCH = '00000000000000aa'
GANG = '00000000000000bb'
LATER = '00000000000000cc'
LOOKUP = '00000000000000dd'
HALF = Resources(8000, 1024, 0)
WHOLE = Resources(16000, 1024, 0)


class TestGangInAFullCell(TestCase):
    """Capacity that becomes free accumulates for the gang."""

    def setUp(self) -> None:
        super().setUp()
        self.workers = [ModelWorker(f'w{number}') for number in range(4)]
        self.rig = CellRig(*self.workers)
        self.submit(BATCH, 8, HALF, priority=2)
        self.rig.round()
        self.submit(GANG, 2, WHOLE, priority=1, gang=True)
        self.submit(LATER, 40, HALF, priority=2)

    def submit(
        self,
        job_id: str,
        count: int,
        demand: Resources,
        *,
        priority: int,
        **changes: object,
    ) -> None:
        spec = StepSpec(count, demand, estimated_ms=9000, **changes)
        job = stored_job(
            spec,
            priority=priority,
            accepted_ms=self.rig.store_ms,
        )
        self.rig.submit(job_id, job)

    def end_one_on_each_worker(self) -> None:
        for worker in self.workers:
            worker.end(next(iter(worker.running_by_task)))
        self.rig.hold_all()
        self.rig.round()

    def started(self, job_id: str) -> int:
        return sum(
            order.task.startswith(job_id)
            for worker in self.workers
            for order in worker.started
        )

    def test_gang_starts_when_its_workers_are_free(self) -> None:
        """Guards against giving half-free workers to the batch job at once."""
        self.end_one_on_each_worker()
        self.assertEqual((0, 2), (self.started(GANG), self.started(LATER)))
        self.end_one_on_each_worker()
        self.assertEqual(2, self.started(GANG))

    def test_preceding_steps_use_reserved_workers_last(self) -> None:
        self.rig.round()
        self.submit(LOOKUP, 2, HALF, priority=0)
        self.end_one_on_each_worker()
        self.end_one_on_each_worker()
        self.assertEqual((2, 2), (self.started(LOOKUP), self.started(GANG)))


class TestReservationLimit(TestCase):
    """Reserved workers are partly idle, so their number is limited."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(16)))
        for number in range(10, 20):
            spec = StepSpec(2, WHOLE, gang=True)
            self.rig.submit(f'00000000000000{number}', stored_job(spec))
        workers = self.rig.scheduler.tracker.workers_by_id.values()
        self.headrooms = [WorkerHeadroom(worker) for worker in workers]
        self.steps = self.rig.scheduler.tracker.ready_steps_by_name.values()

    def reserved_count(self) -> int:
        return sum(headroom.is_reserved for headroom in self.headrooms)

    def test_fraction_of_the_workers(self) -> None:
        reservations = GangReservations()
        reservations.begin(self.headrooms)
        for step in self.steps:
            reservations.reserve(step, self.headrooms, self.rig.now)
        self.assertEqual(4, self.reserved_count())

    def test_gang_that_never_fits_reserves_nothing(self) -> None:
        reservations = GangReservations()
        reservations.begin(self.headrooms)
        reservations.reserve(
            next(iter(self.steps)), self.headrooms[:1], self.rig.now
        )
        self.assertEqual(0, self.reserved_count())

    def test_workers_stay_reserved_in_the_next_round(self) -> None:
        reservations = GangReservations()
        reservations.begin(self.headrooms)
        reservations.reserve(
            next(iter(self.steps)), self.headrooms, self.rig.now
        )
        next_headrooms = [
            WorkerHeadroom(headroom.worker)
            for headroom in reversed(self.headrooms)
        ]
        reservations.begin(next_headrooms)
        reservations.reserve(
            next(iter(self.steps)), next_headrooms, self.rig.now
        )
        first_worker_ids, second_worker_ids = (
            {
                headroom.worker.worker_id
                for headroom in headrooms
                if headroom.is_reserved
            }
            for headrooms in (self.headrooms, next_headrooms)
        )
        self.assertEqual(first_worker_ids, second_worker_ids)


class TwoWorkersCase(TestCase):
    """A cell of two workers."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(2)))

    def submit(self, job_id: str, spec: StepSpec, priority: int) -> None:
        job = stored_job(
            spec,
            priority=priority,
            accepted_ms=self.rig.store_ms,
        )
        self.rig.submit(job_id, job)

    def started(self, job_id: str) -> int:
        return sum(
            order.task.startswith(job_id)
            for worker in self.rig.workers_by_id.values()
            for order in worker.started
        )


class TestBackfilling(TwoWorkersCase):
    """Short work may use workers that are idle for a gang, long work not."""

    def setUp(self) -> None:
        super().setUp()
        self.submit(BATCH, StepSpec(1, WHOLE, estimated_ms=10_000), 0)
        self.rig.round()
        gang = StepSpec(2, WHOLE, estimated_ms=9000, gang=True)
        self.submit(GANG, gang, 1)

    def backfilled_count(self, estimated_ms: float) -> int:
        """Return how many tasks of a later step start before the gang."""
        spec = StepSpec(1, HALF, estimated_ms=estimated_ms)
        self.submit(LATER, spec, 2)
        self.rig.round()
        return self.started(LATER)

    def test_work_that_ends_in_time(self) -> None:
        self.assertEqual(1, self.backfilled_count(2000))

    def test_work_that_would_delay_the_gang(self) -> None:
        self.assertEqual(0, self.backfilled_count(9000))


class TestGangThatNeverFits(TwoWorkersCase):
    """Guards against a gang that reserves workers though it can never fit.

    Other steps could not use these workers until the end of the day.
    """

    def assert_later_step_starts(self, count: int) -> None:
        """Submit a later step that fills the free capacity; check it starts."""
        self.submit(LATER, StepSpec(count, HALF, estimated_ms=9000), priority=2)
        self.rig.pass_time(1)
        self.assertEqual(count, self.started(LATER))

    def test_for_lack_of_memory(self) -> None:
        demand = Resources(1000, 20000)
        spec = StepSpec(3, demand, estimated_ms=9000, gang=True)
        self.submit(GANG, spec, priority=1)
        self.assert_later_step_starts(4)

    def test_for_max_tasks_per_worker(self) -> None:
        spec = StepSpec(
            3,
            Resources(1000, 1024),
            estimated_ms=9000,
            gang=True,
            max_per_worker=1,
        )
        self.submit(GANG, spec, priority=1)
        self.assert_later_step_starts(4)

    def test_for_long_running_tasks(self) -> None:
        long_running_spec = StepSpec(
            2, Resources(6000, 1024), long_running=True
        )
        self.submit(LOOKUP, long_running_spec, priority=0)
        self.rig.round()
        spec = StepSpec(2, Resources(12000, 1024), estimated_ms=9000, gang=True)
        self.submit(GANG, spec, priority=1)
        self.assert_later_step_starts(2)


class TestCapacityForGangTasks(TestCase):
    """Pattern: small tasks that fragment the capacity of large workers.

    A fifth of the cell was idle in fragments while gangs of larger tasks waited
    (trapwerk-sched, trouble-3).
    """

    def setUp(self) -> None:
        super().setUp()
        rig = CellRig(*(ModelWorker(f'w{each}') for each in range(3)))
        workers = rig.scheduler.tracker.workers_by_id.values()
        self.headrooms = [WorkerHeadroom(worker) for worker in workers]

    def record_demand(self, cpu_millis: int, count: int = 3) -> None:
        """Record the demand of a waiting gang on the first workers."""
        spec = StepSpec(9, Resources(cpu_millis, 1024, 0), gang=True)
        job = JobRun(GANG, stored_job(spec), 0, 1)
        reservations = GangReservations()
        reservations.record_task_demand(
            job.open_occurrence()[0], self.headrooms[:count]
        )
        reservations.begin(self.headrooms)

    def chosen(self, cpu_millis: int) -> list[int]:
        """Return the headroom indexes that two small tasks are assigned to."""
        spec = StepSpec(2, Resources(cpu_millis, 1024, 0))
        step = JobRun(LATER, stored_job(spec), 0, 1).open_occurrence()[0]
        assignments = assign_tasks(step, step.tasks, self.headrooms)
        return [self.headrooms.index(headroom) for _, headroom in assignments]

    def test_small_tasks_use_the_remainder_beside_a_gang_task(self) -> None:
        self.headrooms[0].cpu = 10_000
        self.headrooms[1].cpu = 11_000
        self.record_demand(9000)
        self.assertEqual([1, 2], self.chosen(2000))

    def test_capacity_that_fits_no_gang_task_is_used_first(self) -> None:
        self.headrooms[0].cpu = 9000
        self.headrooms[1].cpu = 9000
        self.headrooms[2].cpu = 8000
        self.record_demand(9000)
        self.assertEqual([2, 2], self.chosen(4000))

    def test_workers_that_no_gang_waits_for_come_first(self) -> None:
        self.headrooms[0].cpu = 14_000
        self.record_demand(9000, count=2)
        self.assertEqual([2, 2], self.chosen(4000))

    def test_capacity_of_a_gang_task_is_the_last_resort(self) -> None:
        for headroom in self.headrooms:
            headroom.cpu = 9000
        self.record_demand(9000)
        self.assertEqual(2, len(self.chosen(4000)))

    def test_without_waiting_gangs(self) -> None:
        """The fullest worker is filled first."""
        self.headrooms[0].cpu = 9000
        self.assertEqual([0, 0], self.chosen(4000))
