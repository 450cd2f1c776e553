"""Only work that is permitted, and that fits the cell, is accepted."""

from msgspec.structs import replace
from testtools import TestCase

from apricotlead.coordination.admission import Admission, AdmissionSettings
from apricotlead.protocol.config import CellConfig, Queue, Team
from apricotlead.protocol.errors import (
    BadInput,
    Draining,
    KeyRefused,
    NeverFits,
    NotFound,
    Overloaded,
    StaleView,
    TryLater,
)
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.jobs import Submission, TaskSpec
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    AdmitJob,
    Answer,
    AskStatus,
    FindJob,
    Shutdown,
    SubmitJob,
)
from apricotlead.state.config_view import ConfigView, hash_key

FITTING = TaskSpec(Resources(1000, 1000))
ENDLESS = TaskSpec(Resources(1), float('inf'))
# Fits the largest amount of each resource, but no single worker.
TWO_SHAPES = TaskSpec(Resources(16_000, 1000, 8))
WORKER_SHAPES = {
    'cpu': Resources(16_000, 32_000),
    'accelerated': Resources(4000, 8000, 8),
}
FRESH_S = 1.0
STALE_S = 10.0


def submission(queue='keyed', task=FITTING, count=1, **fields):
    """Return a submission of identical tasks."""
    return Submission(queue, (task,) * count, **fields)


# Submission, key, time, and the expected error.
REFUSALS = (
    (submission('none'), '', FRESH_S, NotFound),
    (submission('none'), '', STALE_S, StaleView),
    (submission(), 'unknown', FRESH_S, KeyRefused),
    (submission(), 'key-b', FRESH_S, KeyRefused),
    (submission(), '', FRESH_S, KeyRefused),
    (submission(), 'key-a', STALE_S, StaleView),
    (submission(count=0), 'key-a', FRESH_S, BadInput),
    (submission(task=TaskSpec(Resources())), 'key-a', FRESH_S, BadInput),
    (submission(task=TaskSpec(Resources(-1, 5))), 'key-a', FRESH_S, BadInput),
    (submission(task=ENDLESS), 'key-a', FRESH_S, BadInput),
    (submission(task=TWO_SHAPES), 'key-a', FRESH_S, NeverFits),
    (submission(count=21, kind='gang'), 'key-a', FRESH_S, NeverFits),
    (submission(count=5, kind='gang'), 'key-a', FRESH_S, NeverFits),
    (submission('held', count=11), '', FRESH_S, BadInput),
    (submission('held', count=6), '', FRESH_S, Overloaded),
)


class TestAdmission(TestCase):
    """Guards against work that is wrongly accepted or wrongly refused."""

    def setUp(self):
        """Admit for two teams, with two shapes of workers."""
        super().setUp()
        self.view = ConfigView()
        self.load(CellConfig(version=1))
        self.workers_by_id = {
            shape: Instance(shape, 'worker', '', '', capacity=capacity)
            for shape, capacity in WORKER_SHAPES.items()
        }
        self.admission = Admission(
            AdmissionSettings(),
            self.view,
            self,
            lambda queue: 5,
        )

    def can_hold(self, demand):
        """Tell whether one worker is large enough, as the directory does."""
        return any(map(demand.fits_in, WORKER_SHAPES.values()))

    def total_capacity(self):
        """Return the sums, as the directory does."""
        return Resources(20_000, 40_000, 8)

    def load(self, config):
        """Put a configuration with the same teams and queues in force."""
        queues = (
            Queue('keyed', 'a'),
            Queue('open'),
            Queue('held', max_pending_tasks=10),
        )
        config = replace(
            config,
            teams_by_name={'a': Team('a', 'o', limit=4), 'b': Team('b', 'o')},
            queues_by_name={queue.name: queue for queue in queues},
            teams_by_key_digest={
                hash_key(f'key-{each}'): each for each in 'ab'
            },
        )
        self.view.load(config)
        self.view.confirm_version(config.version, 0)

    def submit(self, submitted, key, now):
        """Return the last signal that follows a submission."""
        return tuple(
            self.admission.on_submit(SubmitJob(7, submitted, key), now),
        )[-1]

    def test_refusals(self):
        """Each refusal has its error class, and a delay if a retry can help."""
        for submitted, key, now, kind in REFUSALS:
            answer = self.submit(submitted, key, now)
            self.assertIsInstance(answer, Answer, submitted)
            self.assertIs(kind, type(answer.outcome.error), submitted)
            retryable = issubclass(kind, TryLater)
            self.assertEqual(
                retryable,
                answer.outcome.retry_after_s is not None,
            )

    def test_accepted(self):
        """Keyed work needs a fresh view, open work also passes a stale one."""
        gang = submission(count=4, kind='gang')
        self.assertEqual(
            AdmitJob(7, 'a', gang),
            self.submit(gang, 'key-a', FRESH_S),
        )
        open_job = submission('open')
        self.assertEqual(
            AdmitJob(7, '', open_job),
            self.submit(open_job, '', STALE_S),
        )

    def test_preset_holds_batch_only(self):
        """Guards against batch work that is accepted during maintenance."""
        self.load(CellConfig(2, 'maintenance'))
        answer = self.submit(submission(), 'key-a', FRESH_S)
        self.assertIs(TryLater, type(answer.outcome.error))
        gang = self.submit(submission(kind='gang'), 'key-a', FRESH_S)
        self.assertIsInstance(gang, AdmitJob)

    def test_no_permanent_refusal_before_workers_are_known(self):
        """Guards against "never fits" before the first worker list is read."""
        self.workers_by_id = {}
        answer = self.submit(submission(), 'key-a', FRESH_S)
        self.assertIs(TryLater, type(answer.outcome.error))

    def test_lookups_status_requests_and_draining(self):
        """Guards against keys that are accepted for the wrong queue or job."""
        check = self.admission.check_lookup
        self.assertEqual('a', check('keyed', 'key-a', FRESH_S))
        self.assertEqual('', check('open', 'key-a', STALE_S))
        self.assertRaises(KeyRefused, check, 'keyed', 'key-b', FRESH_S)
        self.assertRaises(StaleView, check, 'keyed', 'key-a', STALE_S)
        asked = self.admission.on_ask(AskStatus(7, 'j.1', 'key-b'), FRESH_S)
        self.assertEqual((FindJob(7, 'j.1', 'b'),), asked)
        refused = self.admission.on_ask(AskStatus(7, 'j.1', 'key-b'), STALE_S)
        self.assertIsInstance(refused[-1].outcome.error, StaleView)
        self.admission.on_shutdown(Shutdown(), FRESH_S)
        self.assertRaises(Draining, check, 'open', '', FRESH_S)
        answer = self.submit(submission('open'), '', FRESH_S)
        self.assertIsInstance(answer.outcome.error, Draining)
