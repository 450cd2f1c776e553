"""The whole scheduler runs embedded, without sockets, and repeatably."""

from random import Random

from testtools import TestCase
from testtools.matchers import IsInstance

from apricotlead import (
    ChangeConfig,
    Done,
    Resources,
    Settings,
    Submission,
    SubmitJob,
    TaskSpec,
    Tick,
    assemble,
)
from apricotlead.protocol.config import ChangeRequest, PutQueue, Queue
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.jobs import ENDED_JOB_STATES
from apricotlead.protocol.signals import (
    Answer,
    AskStatus,
    CallWorker,
    InstancesListed,
    WorkerReplied,
)
from apricotlead.transport.worker_client import WorkerClient
from apricotlead_standins.worker import Worker, WorkerSettings
from apricotlead_standins.worker_messages import Resources as StandInResources
from tests.fakes import FakeStore
from tests.standin_harness import InMemoryPool

SETTINGS = {
    'instance_id': 'entry-1',
    'datacentre': 'marka',
    'http_address': '127.0.0.1:0',
    'peer_address': '127.0.0.1:0',
    'platform_address': '127.0.0.1:9000',
    'operator_key_digest': '0' * 64,
}
CAPACITY = (4000, 8192, 0)
WORKER = Instance(
    'worker-1',
    'worker',
    'worker-1:1',
    'marka',
    capacity=Resources(*CAPACITY),
)
TICK_S = 0.02
MOST_TICKS = 1500


class EmbeddedCell:
    """One scheduler, a table and a worker, driven by hand."""

    def __init__(self, seed):
        """Begin with an empty table and an idle worker."""
        self.now = 100.0
        self.store = FakeStore()
        self.pool = InMemoryPool()
        worker_settings = WorkerSettings(
            WORKER.instance_id,
            StandInResources(*CAPACITY),
        )
        self.pool.add(
            WORKER.address,
            Worker(worker_settings, 'boot-1', self.now),
        )
        self.workers = WorkerClient(self.pool)
        settings = Settings.from_builtins(SETTINGS)
        self.parts = assemble(settings, Random(seed), '127.0.0.1:1')
        self.answers_by_ticket = {}
        self.effects = []

    def deliver(self, signal):
        """Deliver a signal, and the replies to all effects."""
        queue = [signal]
        while queue:
            for effect in self.parts.scheduler.deliver(queue.pop(0), self.now):
                self.effects.append(effect)
                queue.extend(self._carry_out(effect))

    def run_until(self, condition):
        """Tick until the condition holds; fail after a bounded time."""
        for _ in range(MOST_TICKS):
            if condition():
                return
            self.now += TICK_S
            self.deliver(Tick())
        raise AssertionError('the condition never held')

    def ask(self, ticket, make_signal):
        """Deliver a caller's request and return the outcome."""
        self.deliver(make_signal(ticket))
        self.run_until(lambda: ticket in self.answers_by_ticket)
        return self.answers_by_ticket[ticket]

    def status(self, ticket, job_id):
        """Return a job as a caller sees it."""
        return self.ask(ticket, lambda one: AskStatus(one, job_id)).answer

    def _carry_out(self, effect):
        if isinstance(effect, Answer):
            self.answers_by_ticket[effect.ticket] = effect.outcome
        if isinstance(effect, CallWorker):
            self.pool.now = self.now
            reply = self.workers.call(effect.address, effect.request, 0.01)
            return [WorkerReplied(effect.token, effect.worker_id, reply)]
        reply = self.store.carry_out(effect)
        return [] if reply is None else [reply]


def run_one_job(seed):
    """Run a job of three tasks from the submission to its end."""
    cell = EmbeddedCell(seed)
    cell.deliver(InstancesListed((WORKER,)))
    started_s = cell.now
    cell.run_until(lambda: cell.now > started_s + 1)
    change = ChangeRequest(0, PutQueue(Queue('open')))
    cell.ask(1, lambda ticket: ChangeConfig(ticket, change))
    task = TaskSpec(Resources(1000, 512), run_s=0.5, command='echo typed')
    submission = Submission('open', (task, task, task), kind='gang')
    accepted = cell.ask(2, lambda ticket: SubmitJob(ticket, submission))
    job_id = accepted.answer.job_id
    tickets = iter(range(3, MOST_TICKS))
    cell.run_until(
        lambda: cell.status(next(tickets), job_id).state in ENDED_JOB_STATES,
    )
    return cell, accepted, cell.status(next(tickets), job_id)


class TestAssembly(TestCase):
    """Guards against parts that fit one by one but not together."""

    def test_gang_job_from_submission_to_end(self):
        """The outputs of all tasks come back."""
        _, accepted, status = run_one_job(seed=1)
        self.assertThat(accepted, IsInstance(Done))
        self.assertEqual('done', status.state)
        self.assertEqual(
            ['typed', 'typed', 'typed'],
            [task.output for task in status.tasks],
        )

    def test_seed_repeats_a_run_exactly(self):
        """No component reads a clock or a random source of its own."""
        first, second = (run_one_job(seed=7)[0] for _ in range(2))
        self.assertEqual(first.effects, second.effects)
