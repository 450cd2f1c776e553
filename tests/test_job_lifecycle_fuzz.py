"""Fuzz test of jobs, dispatch and leases against a simulated cell."""

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from apricotlead.protocol.jobs import (
    JobAccepted,
    JobEnded,
    Submission,
    TaskSpec,
)
from apricotlead.protocol.outcomes import Done, NotRun
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import AdmitJob, FindJob
from tests.job_cell import Cell

# Simulated seconds after the last fault in which each job must end.
SETTLE_S = 200
KINDS = ('batch', 'gang')
RUN_S = (0.05, 0.5, 3, 12, 25)
HOME_FAULTS = ('crash', 'pause', 'long pause', 'cut', 'isolate', 'heal')
WORKER_FAULTS = ('restart', 'down', 'up', 'cut', 'drop answers', 'join')
DEMAND = Resources(1000, 1000)


class JobLifecycleMachine(RuleBasedStateMachine):
    """Checks that no job is lost, run twice or wrongly reported as not run."""

    @initialize(seed=st.integers(0, 2**32))
    def open_cell(self, seed):
        """Create a cell with three homes and four workers."""
        self.cell = Cell(Random(seed))
        self.rng = self.cell.rng
        self.tickets = 0
        self.homes_by_ticket = {}
        self.cell.run(0.2)

    @rule(
        kind=st.sampled_from(KINDS),
        count=st.integers(1, 4),
        idempotent=st.booleans(),
        urgent=st.booleans(),
        request=st.sampled_from(('', '', '', 'r1', 'r2')),
        run_s=st.sampled_from(RUN_S),
    )
    def submit(self, kind, count, idempotent, urgent, request, run_s):
        """Submit a job to a random home."""
        self.submit_job(kind, count, idempotent, urgent, request, run_s)

    @rule(cancel=st.booleans())
    def find(self, cancel):
        """Ask a random home about an accepted job, or to cancel it."""
        accepted = sorted(self.accepted())
        if accepted:
            self.tickets += 1
            job_id = self.rng.choice(accepted)
            if cancel:
                self.cell.cancelled_ids.add(job_id)
            self.deliver(FindJob(self.tickets, job_id, 'team', cancel))

    @rule(duration=st.sampled_from((0.03, 0.1, 0.3, 1, 4)))
    def advance(self, duration):
        """Advance the simulated time."""
        self.cell.run(duration)

    @rule(rate=st.sampled_from((0, 0.05, 0.3)))
    def set_fault_rate(self, rate):
        """Set the probability that a message is lost, duplicated or delayed."""
        self.cell.fault_rate = rate

    @rule(up=st.booleans())
    def set_store(self, up):
        """Stop or start the store."""
        self.cell.store_is_up = up

    @rule(action=st.sampled_from(HOME_FAULTS))
    def disturb_home(self, action):
        """Crash, pause or partition a home, or end all these faults."""
        self.cell.disturb_home(action)

    @rule(action=st.sampled_from(WORKER_FAULTS))
    def disturb_worker(self, action):
        """Restart or stop a worker, or disturb its link to one home."""
        self.cell.disturb_worker(action)

    @rule(steps=st.integers(10, 60), rate=st.sampled_from((0, 0.1, 0.3)))
    def storm(self, steps, rate):
        """Combine faults of all kinds in a short time."""
        self.cell.fault_rate = rate
        choose = self.rng.choice
        for _ in range(steps):
            self.cell.run(choose((0.05, 0.3, 1, 3)))
            draw = self.rng.random()
            if draw < 0.1:
                self.cell.disturb_home(choose(HOME_FAULTS))
            elif draw < 0.4:
                self.cell.disturb_worker(choose(WORKER_FAULTS))
            elif draw < 0.6:
                size = self.rng.randint(1, 4)
                flags = (choose((True, False)), choose((True, False)))
                self.submit_job(choose(KINDS), size, *flags, '', choose(RUN_S))

    def teardown(self):
        """Stop all faults, then check jobs, answers and units."""
        if not hasattr(self, 'cell'):
            return
        self.cell.fault_rate = 0
        self.cell.store_is_up = True
        self.cell.heal()
        self.cell.run(SETTLE_S)
        self.check_ends()
        self.check_refusals()
        self.check_answers()
        for home in self.cell.alive():
            units = {key: used for key, used in home.limits.in_use.items()}
            for journal_id in home.table.journal_ids():
                assert not units.get(('team', journal_id)), 'unit leaked'

    def check_ends(self):
        """Check that each accepted job ended, in a state true to its tasks."""
        ends = {
            record.job_id: record.state
            for record in self.records()
            if isinstance(record, JobEnded)
        }
        for job_id, accepted in self.accepted().items():
            assert job_id in ends, f'{job_id} was lost'
            submission = accepted.submission
            for task, _ in enumerate(submission.tasks):
                finished = self.cell.finishes[f'{job_id}.{task}', 'succeeded']
                assert finished or ends[job_id] != 'done', f'{job_id} not run'
            if ends[job_id] == 'cancelled':
                assert job_id in self.cell.cancelled_ids
            if ends[job_id] == 'may_have_run':
                assert not submission.idempotent

    def check_refusals(self):
        """Check that no submission answered as not run is in a journal."""
        commands = {
            accepted.submission.tasks[0].command
            for accepted in self.accepted().values()
        }
        for ticket, submission in self.cell.submissions.items():
            for outcome in self.cell.answers[ticket]:
                if isinstance(outcome, NotRun):
                    assert submission.tasks[0].command not in commands

    def check_answers(self):
        """Check that each caller got one answer, and each request id one job."""
        jobs_by_request = {}
        for ticket, home in self.homes_by_ticket.items():
            outcomes = self.cell.answers[ticket]
            if home.is_dead and not outcomes:
                continue
            assert len(outcomes) == 1, f'ticket {ticket}: {outcomes}'
            submission = self.cell.submissions.get(ticket)
            if isinstance(outcomes[0], Done) and submission:
                key = submission.request_id or ticket
                job_id = outcomes[0].answer.job_id
                assert jobs_by_request.setdefault(key, job_id) == job_id

    def submit_job(self, kind, count, idempotent, urgent, request, run_s):
        """Submit a job whose command contains its ticket."""
        self.tickets += 1
        spec = TaskSpec(DEMAND, run_s, f'ticket-{self.tickets}')
        submission = Submission(
            'queue',
            (spec,) * count,
            kind,
            'urgent' if urgent else 'normal',
            idempotent,
            request,
        )
        self.cell.submissions[self.tickets] = submission
        self.deliver(AdmitJob(self.tickets, 'team', submission))

    def deliver(self, signal):
        """Deliver a caller's request to a random running home."""
        home = self.rng.choice(self.cell.alive())
        self.homes_by_ticket[signal.ticket] = home
        home.deliver(signal)

    def records(self):
        """Return all durable records."""
        for journal in self.cell.journals.values():
            yield from journal.records

    def accepted(self):
        """Return the accepted jobs by id."""
        return {
            record.job_id: record
            for record in self.records()
            if isinstance(record, JobAccepted)
        }


TestJobLifecycleFuzz = JobLifecycleMachine.TestCase
