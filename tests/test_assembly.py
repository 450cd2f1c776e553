"""The whole scheduler runs embedded, deterministically and without sockets."""

from testtools import TestCase
from testtools.matchers import IsInstance

from apricotlead import (
    AskStatus,
    ChangeConfig,
    Done,
    Resources,
    Submission,
    SubmitJob,
    TaskSpec,
)
from apricotlead.protocol.config import ChangeRequest, PutQueue, Queue
from apricotlead.protocol.jobs import ENDED_JOB_STATES
from tests.embedded_cell import EmbeddedCell


def status_of(cell, tickets, job_id):
    """Return a job as a caller sees it."""
    ticket = next(tickets)
    return cell.ask(ticket, lambda one: AskStatus(one, job_id)).answer


def run_one_job(seed):
    """Run a job of three tasks from the submission to its end."""
    cell = EmbeddedCell(seed)
    cell.start()
    change = ChangeRequest(0, PutQueue(Queue('open')))
    cell.ask(1, lambda ticket: ChangeConfig(ticket, change))
    task = TaskSpec(Resources(1000, 512), run_s=0.5, command='echo typed')
    submission = Submission('open', (task, task, task), kind='gang')
    accepted = cell.ask(2, lambda ticket: SubmitJob(ticket, submission))
    job_id = accepted.answer.job_id
    tickets = iter(range(3, 10_000))
    cell.run_until(
        lambda: status_of(cell, tickets, job_id).state in ENDED_JOB_STATES,
    )
    return cell, accepted, status_of(cell, tickets, job_id)


class TestAssembly(TestCase):
    """Guards against components that work alone but not together."""

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
        """Guards against a component with its own clock or random source."""
        first, second = (run_one_job(seed=7)[0] for _ in range(2))
        self.assertEqual(first.effects, second.effects)
