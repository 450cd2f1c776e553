"""No attempt counts as over while it can still run."""

from types import SimpleNamespace

from testtools import TestCase

from apricotlead.coordination.task_leases import LeaseSettings, TaskLeases
from apricotlead.protocol.signals import (
    AttemptAdopted,
    AttemptEnded,
    AttemptStarting,
    CallWorker,
    Tick,
)
from apricotlead.protocol.workers import (
    Accepted,
    CallFailed,
    LeasesReply,
    RenewLeases,
    WorkerRefused,
)
from apricotlead.state.job_table import JobTable
from tests.job_samples import (
    JOURNAL,
    accepted,
    assigned,
    of_type,
    replied,
    session_view,
)

ATTEMPT = assigned().attempt_id
LEASE_S = LeaseSettings().lease_s


class TestTaskLeases(TestCase):
    """Guards the rules for starts of unknown outcome and for silence."""

    def setUp(self):
        """Assign one attempt."""
        super().setUp()
        table = JobTable()
        self.table = table
        table.open_journal(JOURNAL, 1)
        table.replay(accepted())
        table.replay(assigned())
        self.view = session_view()
        self.directory = SimpleNamespace(workers_by_id={'w': 1})
        self.leases = TaskLeases(
            LeaseSettings(outage_s=100),
            table,
            self.view,
            self.directory,
        )

    def start(self):
        """Send the start; return the call."""
        signal = AttemptStarting(JOURNAL, ATTEMPT)
        return self.leases.start(signal, 0)[0]

    def fail_all(self, calls, now, until, sent):
        """Fail each call at once; return when the attempt ended, and calls."""
        made = []
        while now < until:
            following = list(self.leases.act_on_time(Tick(), now))
            for call in calls:
                reply = replied(call, CallFailed(sent))
                following.extend(self.leases.take_reply(reply, now))
            calls = of_type(following, CallWorker)
            made.extend(calls)
            if of_type(following, AttemptEnded):
                return now, made
            now += 0.1
        return None, made

    def test_start_that_provably_never_happened_is_not_run(self):
        """A task must not wait for a lease that never began."""
        for reply in (CallFailed(sent=False), WorkerRefused('expired')):
            following = self.leases.take_reply(replied(self.start(), reply), 1)
            self.assertIs(False, following[0].ran)

    def test_short_polls_end_with_the_long_one(self):
        """Attempts that start later must not be polled at the short period."""
        second = assigned(attempt=2)
        self.table.replay(second)
        running = LeasesReply(0, 'boot')
        polls = self.leases.take_reply(
            replied(self.start(), Accepted(0, 'boot')),
            0,
        )
        signal = AttemptStarting(JOURNAL, second.attempt_id)
        start = self.leases.start(signal, 0)[0]
        polls += self.leases.take_reply(
            replied(start, Accepted(0, 'boot')),
            0,
        )
        long, short = polls
        following = self.leases.take_reply(replied(long, running), 2)
        self.assertEqual([], following)
        joint = self.leases.take_reply(replied(short, running), 2.1)[0]
        self.assertEqual(
            ((ATTEMPT, second.attempt_id), LeaseSettings().long_poll_s),
            (joint.request.attempt_ids, joint.request.wait_s),
        )

    def test_nothing_starts_without_a_session_lease(self):
        """After a pause the journal may have another owner."""
        self.view.lease_end_s = 0
        self.assertIs(False, self.start().ran)

    def test_silent_worker_gets_no_endless_extensions(self):
        """Requests that arrive without answers must not extend forever."""
        self.leases.take_reply(replied(self.start(), Accepted(0, 'boot')), 0)
        ended_s, calls = self.fail_all([], 0.1, 60, sent=True)
        extending = [
            call
            for call in calls
            if isinstance(call.request, RenewLeases)
            and call.request.attempt_ids
        ]
        self.assertGreater(ended_s, LEASE_S * (1 + len(extending)))

    def test_adopted_attempt_outlasts_a_former_owner_that_is_cut_off(self):
        """The former owner can renew where the adopter does not reach."""
        self.leases.adopt(AttemptAdopted(JOURNAL, ATTEMPT), 0)
        ended_s, _ = self.fail_all([], 0.1, 200, sent=False)
        self.assertGreater(ended_s, 100 + LEASE_S)

    def test_owner_that_is_cut_off_lets_leases_go(self):
        """The adopter counts on the end of renewals after ``outage_s``."""
        self.view.lease_end_s = 1
        poll = self.leases.take_reply(
            replied(self.start(), Accepted(0, 'boot')),
            0,
        )
        ended_s, calls = self.fail_all(poll, 101, 130, sent=False)
        self.assertEqual((None, []), (ended_s, calls))

    def test_adopted_attempt_ends_with_a_worker_that_is_gone(self):
        """A worker that is no longer listed must not hold its tasks long."""
        self.directory.workers_by_id = {'another': 1}
        self.leases.adopt(AttemptAdopted(JOURNAL, ATTEMPT), 0)
        ended_s, _ = self.fail_all([], 0.1, 200, sent=False)
        self.assertGreater(ended_s, LEASE_S)
        self.assertLess(ended_s, 3 * LEASE_S)
