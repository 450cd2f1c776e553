"""Load pattern: wide steps in a cell of many workers."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.placement import WorkerHeadroom, assign_tasks
from apricotlead.coordination.cell.scheduler import CellScheduler
from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import AdviceAnswer
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import JobRun, StepState
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
OTHER_JOB = '00000000000000bb'


class CountedHeadroom(WorkerHeadroom):
    """Counts how often any headroom is compared with a demand."""

    comparisons = 0

    def fits(self, demand: Resources) -> bool:
        CountedHeadroom.comparisons += 1
        return super().fits(demand)


def make_step(count: int, demand: Resources, **changes: object) -> StepState:
    job = JobRun(JOB, stored_job(StepSpec(count, demand, **changes)), 0, 1)
    return job.open_occurrence()[0]


class TestWideSteps(TestCase):
    """The cost of a step is linear in its tasks plus the workers.

    It must not grow with their product.
    """

    def setUp(self) -> None:
        super().setUp()
        CountedHeadroom.comparisons = 0
        workers = [ModelWorker(f'w{number}') for number in range(60)]
        self.rig = CellRig(*workers)
        self.headrooms = [
            CountedHeadroom(worker)
            for worker in self.rig.scheduler.tracker.workers_by_id.values()
        ]

    def test_step_that_fits(self) -> None:
        step = make_step(100, SMALL)
        assignments = assign_tasks(step, step.tasks, self.headrooms)
        self.assertEqual(100, len(assignments))
        self.assertLessEqual(CountedHeadroom.comparisons, 60 + 100)

    def test_step_that_does_not_fit(self) -> None:
        """Guards against comparing every task with every worker."""
        step = make_step(100, Resources(99000, 1024, 0))
        self.assertEqual([], assign_tasks(step, step.tasks, self.headrooms))
        self.assertLessEqual(CountedHeadroom.comparisons, 60)

    def test_gang_that_does_not_fit_releases_capacity(self) -> None:
        step = make_step(1000, SMALL, gang=True)
        free_cpu_before = [headroom.cpu for headroom in self.headrooms]
        self.assertEqual([], assign_tasks(step, step.tasks, self.headrooms))
        self.assertEqual(
            free_cpu_before, [headroom.cpu for headroom in self.headrooms]
        )

    def test_avoided_worker_is_used_last(self) -> None:
        step = make_step(3, Resources(16000, 1024, 0))
        headrooms = self.headrooms[:3]
        step.tasks[0].avoided_workers.update(('w0', 'w1'))
        step.tasks[2].avoided_workers.update(('w0', 'w1', 'w2'))
        chosen = [
            headroom.worker.worker_id
            for _, headroom in assign_tasks(step, step.tasks, headrooms)
        ]
        self.assertEqual('w2', chosen[0])
        self.assertEqual({'w0', 'w1', 'w2'}, set(chosen))

    def test_max_tasks_per_worker(self) -> None:
        step = make_step(10, SMALL, max_per_worker=2)
        assignments = assign_tasks(step, step.tasks, self.headrooms[:3])
        self.assertEqual(6, len(assignments))


class TestAdviceRequests(TestCase):
    """Advice is requested only for tasks that are not placed yet."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = CellRig(*(ModelWorker(f'w{each}') for each in range(4)))
        policy = AdvicePolicy(10, 0.1, 2000)
        self.rig.submit(JOB, stored_job(StepSpec(2, SMALL), advice=policy))

    @property
    def scheduler(self) -> CellScheduler:
        return self.rig.scheduler

    def test_placed_step_makes_no_more_calls(self) -> None:
        call = self.scheduler.plan(self.rig.now, ['peer'])[0]
        answer = AdviceAnswer({'w0': 'ticket'}, 2000)
        self.scheduler.advice.answered(call, answer, self.rig.now, self.rig.now)
        self.assertEqual([], self.scheduler.plan(self.rig.now, ['peer']))
        self.assertEqual({}, self.scheduler.tracker.ready_steps_by_name)

    def test_eligible_workers_without_capacity_are_not_asked_about(
        self,
    ) -> None:
        """Guards against gangs that never fit occupying the askers."""
        spec = StepSpec(4, Resources(16000, 1024, 0), gang=True)
        policy = AdvicePolicy(800, 7, 2000)
        rig = CellRig(*(ModelWorker(f'w{each}') for each in range(6)))
        rig.submit(JOB, stored_job(spec, advice=policy))
        call = rig.scheduler.plan(rig.now, ['peer'])[0]
        good = AdviceAnswer({'w0': 'a', 'w1': 'b', 'w2': 'c'}, 2000)
        rig.scheduler.advice.answered(call, good, rig.now, rig.now)
        for _ in range(20):
            rig.pass_time(0.5)
            self.assertEqual([], rig.scheduler.plan(rig.now, ['peer']))

    def test_capacity_is_held_for_a_gang_while_tickets_are_renewed(
        self,
    ) -> None:
        """Guards against losing the capacity to others before the answer.

        The new tickets then expired unused as well.
        """
        whole = Resources(16000, 1024, 0)
        policy = AdvicePolicy(800, 7, 2000)
        rig = CellRig(*(ModelWorker(f'w{each}') for each in range(3)))
        gang = stored_job(StepSpec(2, whole, gang=True), advice=policy)
        rig.submit(JOB, gang)
        call = rig.scheduler.plan(rig.now, ['peer'])[0]
        good = AdviceAnswer({'w0': 'a', 'w1': 'b'}, 0)
        rig.scheduler.advice.answered(call, good, rig.now, rig.now)
        rig.now += 1
        rig.hold_all()
        renewal = rig.scheduler.plan(rig.now, ['peer'])[0]
        self.assertEqual({'w0', 'w1'}, set(renewal.worker_ids))
        rig.submit(OTHER_JOB, stored_job(StepSpec(3, whole), priority=1))
        rig.round()
        started = [len(each.started) for each in rig.workers_by_id.values()]
        self.assertEqual([0, 0, 1], started)

    def test_gang_with_expired_tickets_asks_again_once_it_fits(self) -> None:
        """Guards against a gang that is blocked by its own reservation.

        Gangs waited for seconds in a cell that was two fifths idle
        (trapwerk-sched-grown, quiet-1), one until the end of the day (LOST,
        trouble-2).
        """
        whole = Resources(16000, 1024, 0)
        policy = AdvicePolicy(800, 7, 2000)
        rig = CellRig(*(ModelWorker(f'w{each}') for each in range(3)))
        spec = StepSpec(2, whole, estimated_ms=5000, gang=True)
        gang = stored_job(spec, advice=policy, accepted_ms=rig.store_ms)
        rig.submit(JOB, gang)
        call = rig.scheduler.plan(rig.now, ['peer'])[0]
        good = AdviceAnswer({'w0': 'a', 'w1': 'b'}, 0)
        rig.scheduler.advice.answered(call, good, rig.now, rig.now)
        for _ in range(4):
            rig.now += 0.5
            rig.hold_all()
            renewal = rig.scheduler.plan(rig.now, ['peer'])
            if renewal:
                break
        self.assertEqual({'w0', 'w1'}, set(renewal[0].worker_ids))

    def test_tickets_of_a_gang_are_renewed_together(self) -> None:
        """Guards against renewing a few tickets while others expire.

        A gang of 14 tasks made 13 calls about one to four workers each and
        never held all its tickets at once (trapwerk-sched-grown, scale-1,
        LOST 1f327abc45213311).
        """
        whole = Resources(16000, 1024, 0)
        policy = AdvicePolicy(400, 6, 1500)
        rig = CellRig(*(ModelWorker(f'w{each}') for each in range(6)))
        spec = StepSpec(4, whole, estimated_ms=5000, gang=True)
        gang = stored_job(spec, advice=policy, accepted_ms=rig.store_ms)
        rig.submit(JOB, gang)
        call = rig.scheduler.plan(rig.now, ['peer'])[0]
        names = ('w0', 'w1', 'w2', 'w3')
        for name in names:
            # The tickets expire one after another.
            expiring_answer = AdviceAnswer(
                {name: 'old'}, 1000 + 200 * int(name[1])
            )
            call_for_worker = msgspec.structs.replace(call, worker_ids=(name,))
            rig.scheduler.advice.answered(
                call_for_worker, expiring_answer, rig.now, rig.now
            )
        rig.now += 1.1
        rig.hold_all()
        renewal = rig.scheduler.plan(rig.now, ['peer'])[0]
        self.assertEqual(set(names), set(renewal.worker_ids))
        rig.now += renewal.due_s
        answer = AdviceAnswer(dict.fromkeys(renewal.worker_ids, 'new'), 1500)
        rig.scheduler.advice.answered(renewal, answer, rig.now, rig.now)
        rig.round()
        started = [len(each.started) for each in rig.workers_by_id.values()]
        self.assertEqual(4, sum(started))

    def test_step_without_eligible_workers_asks_again(self) -> None:
        call = self.scheduler.plan(self.rig.now, ['peer'])[0]
        missing = None
        self.scheduler.advice.answered(
            call, missing, self.rig.now, self.rig.now
        )
        self.rig.now += 1
        self.assertEqual(1, len(self.scheduler.plan(self.rig.now, ['peer'])))
