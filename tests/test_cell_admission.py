"""Load patterns: overload, and an organisation beyond its weight."""

from testtools import TestCase

from apricotlead.coordination.cell.admission import LoadMeter, check_admission
from apricotlead.coordination.cell.order import (
    WeightMeter,
    misses_cutoff,
    order_key,
)
from apricotlead.protocol.cell_config import QueueConfig
from apricotlead.protocol.cell_jobs import JobSubmission, StepSpec
from apricotlead.protocol.cell_peers import Backlog
from apricotlead.state.cell_jobs import JobRun
from apricotlead.state.estimate_errors import EstimateErrors
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

LOOKUP = JobSubmission('', (StepSpec(2, SMALL, estimated_ms=800),))
QUEUE = QueueConfig(
    'lookups', 'h', '/', 's', priority=0, stretch=1.5, aim_ms=300
)


class TestRejectedJobs(TestCase):
    """A job is rejected at once only if it cannot end before its cutoff."""

    def check(self, backlog: Backlog, organisation: str = 'clerks') -> object:
        return check_admission(LOOKUP, QUEUE, organisation, backlog)

    def test_short_queue_accepts(self) -> None:
        self.assertIsNone(self.check(Backlog({0: 3.0})))

    def test_long_queue_rejects_with_a_retry_time(self) -> None:
        rejection = self.check(Backlog({0: 6.0}))
        self.assertAlmostEqual(6.0 - (4.5 - 0.8), rejection.retry_after_s)

    def test_work_of_lower_priority_does_not_count(self) -> None:
        self.assertIsNone(self.check(Backlog({2: 60.0})))

    def test_surplus_counts_only_for_surplus(self) -> None:
        backlog = Backlog({}, 60.0, ('crews',))
        self.assertIsNone(self.check(backlog))
        self.assertIsNotNone(self.check(backlog, 'crews'))

    def test_surplus_waits_for_the_capacity_that_others_leave(self) -> None:
        """The queue is short, but new work of other organisations goes first."""
        short = Backlog({0: 1.0}, 1.0, ('crews',))
        self.assertIsNone(self.check(short, 'crews'))
        full = Backlog({0: 1.0}, 1.0, ('crews',), load=0.9)
        rejection = self.check(full, 'crews')
        self.assertGreater(rejection.wait_s, 15)
        self.assertLessEqual(rejection.retry_after_s, 10)
        self.assertIsNone(self.check(full))

    def test_load_is_the_work_of_new_jobs_within_their_weight(self) -> None:
        meter = LoadMeter(0)
        for second in range(20):
            meter.note((StepSpec(4, SMALL, estimated_ms=1000),), second)
        self.assertAlmostEqual(4e6, meter.rate(20), delta=1e6)
        self.assertLess(meter.rate(40), 1e5)

    def test_long_running_job_is_accepted(self) -> None:
        long_running_submission = JobSubmission(
            '', (StepSpec(1, SMALL, long_running=True),)
        )
        self.assertIsNone(
            check_admission(
                long_running_submission, QUEUE, 'clerks', Backlog({0: 99.0})
            )
        )

    def test_backlog_is_in_seconds_of_the_whole_cell(self) -> None:
        rig = CellRig(ModelWorker('w1'))
        spec = StepSpec(48, SMALL, estimated_ms=1000)
        rig.submit('00000000000000aa', stored_job(spec))
        backlog = rig.scheduler.jobs.backlog(rig.now)
        self.assertEqual({0: 3.0}, backlog.wait_s_by_priority)


class TestOrderInAFullCell(TestCase):
    """The delay falls on the jobs that have time left."""

    def ordered_job_ids(self, *jobs: object) -> list[str]:
        rig = CellRig()
        for job_id, job in jobs:
            rig.submit(job_id, job)
        tracker = rig.scheduler.tracker
        ordered = sorted(
            tracker.ready_steps_by_name.values(),
            key=lambda step: order_key(step, rig.now, tracker.estimate_errors),
        )
        return [step.job.job_id for step in ordered]

    def job(self, age_s: float, **changes: object) -> object:
        spec = StepSpec(1, SMALL, estimated_ms=1000)
        accepted_ms = (100 - age_s) * 1000
        return stored_job(spec, accepted_ms=accepted_ms, **changes)

    def test_late_lookup_goes_before_batch_work(self) -> None:
        late = ('a', self.job(4, priority=0))
        batch = ('b', self.job(4, priority=2, stretch=9))
        self.assertEqual(['a', 'b'], self.ordered_job_ids(batch, late))

    def test_job_past_its_cutoff_goes_last(self) -> None:
        too_late = ('a', self.job(60, priority=0))
        batch = ('b', self.job(0, priority=2))
        self.assertEqual(['b', 'a'], self.ordered_job_ids(too_late, batch))

    def test_oldest_goes_first_among_equals(self) -> None:
        self.assertEqual(
            ['b', 'a'],
            self.ordered_job_ids(('a', self.job(0)), ('b', self.job(1))),
        )


class TestUnreliableEstimates(TestCase):
    """Pattern: callers whose estimates are off by a factor, either way.

    A job that takes five times its estimate is of use five times as long.
    Guards against ordering it last and rejecting it by its estimate alone
    (trapwerk-sched, trouble-3).
    """

    def setUp(self) -> None:
        super().setUp()
        self.errors = EstimateErrors()
        for _ in range(10):
            self.errors.observe('lookups', 4, 1)
            self.errors.observe('lookups', 1, 3)

    def step(self, age_s: float) -> object:
        spec = StepSpec(1, SMALL, estimated_ms=1000)
        stored = stored_job(spec, stretch=2, aim_ms=1000)
        job = JobRun('00000000000000aa', stored, 100 - age_s, 1)
        return job.open_occurrence()[0]

    def test_job_of_a_queue_with_good_estimates_misses_its_cutoff(self) -> None:
        errors = EstimateErrors()
        for _ in range(20):
            errors.observe('lookups', 1, 1)
        self.assertTrue(misses_cutoff(self.step(12), 100, errors))

    def test_job_that_may_be_much_longer_does_not_miss_its_cutoff(self) -> None:
        self.assertFalse(misses_cutoff(self.step(12), 100, self.errors))
        self.assertTrue(misses_cutoff(self.step(60), 100, self.errors))

    def test_rejection_counts_the_errors_too(self) -> None:
        backlog = Backlog({0: 6.0})
        self.assertIsNotNone(check_admission(LOOKUP, QUEUE, 'clerks', backlog))
        backlog_with_errors = Backlog(
            {0: 6.0}, longest_by_queue={'lookups': 4.0}
        )
        self.assertIsNone(
            check_admission(LOOKUP, QUEUE, 'clerks', backlog_with_errors)
        )

    def test_backlog_has_the_errors_of_each_queue(self) -> None:
        rig = CellRig(ModelWorker('w1'))
        rig.scheduler.tracker.estimate_errors = self.errors
        backlog = rig.scheduler.jobs.backlog(rig.now)
        self.assertGreater(backlog.longest_by_queue['lookups'], 3)


class TestOrganisationBeyondItsWeight(TestCase):
    """An organisation at many times its usual load delays only itself."""

    def test_jobs_beyond_the_weight_are_surplus(self) -> None:
        meter = WeightMeter(burst_s=1)
        admitted = [meter.admit('crews', 2, 0) for _ in range(4)]
        self.assertEqual([True, True, False, False], admitted)
        self.assertEqual(['crews'], list(meter.over_weight(0)))
        self.assertEqual([], list(meter.over_weight(1)))
        self.assertTrue(meter.admit('crews', 2, 1))
