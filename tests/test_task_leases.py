"""Tests of task leases: no attempt ends while it can still run."""

from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import HasLength

from apricotlead.coordination.task_leases import LeaseSettings, TaskLeases
from apricotlead.protocol.config import CellConfig
from apricotlead.protocol.signals import (
    AttemptAdopted,
    AttemptEnded,
    AttemptStarting,
    CallWorker,
    ConfigApplied,
    Tick,
)
from apricotlead.protocol.workers import (
    Accepted,
    AttemptReport,
    CallFailed,
    LeasesReply,
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
DRIFT = LeaseSettings().max_drift


def lease_bound(poll):
    """Return the lease end and the wait of a renewal."""
    return poll.request.lease_until_s, poll.request.wait_s


class TestTaskLeases(TestCase):
    """Checks starts of unknown outcome and workers that do not answer."""

    def setUp(self):
        """Create leases with one assigned attempt."""
        super().setUp()
        self.create_leases(LeaseSettings(outage_s=100))

    def create_leases(self, settings):
        """Create leases with these settings and one assigned attempt."""
        table = JobTable()
        self.table = table
        table.open_journal(JOURNAL, 1)
        table.replay(accepted())
        table.replay(assigned())
        self.view = session_view()
        self.directory = SimpleNamespace(workers_by_id={'w': 1})
        self.leases = TaskLeases(
            settings,
            table,
            self.view,
            self.directory,
        )

    def start(self):
        """Send the start; return the call."""
        signal = AttemptStarting(JOURNAL, ATTEMPT)
        return self.leases.start(signal, 0)[0]

    def fail_all(self, calls, now, until, sent):
        """Fail each call at once; return the time of the end, and the calls.

        The time is ``None`` if the attempt has not ended by ``until``.
        """
        sent_calls = []
        while now < until:
            following = list(self.leases.act_on_time(Tick(), now))
            for call in calls:
                reply = replied(call, CallFailed(sent))
                following.extend(self.leases.handle_reply(reply, now))
            calls = of_type(following, CallWorker)
            sent_calls.extend(calls)
            if of_type(following, AttemptEnded):
                return now, sent_calls
            now += 0.1
        return None, sent_calls

    def test_attempts_on_a_worker_declared_down_end_at_once(self):
        """Otherwise their tasks would wait for ``outage_s``."""
        self.start()
        down = CellConfig(down_versions_by_worker={'w': 1})
        ended = self.leases.end_on_down_workers(ConfigApplied(down), 1)
        self.assertEqual([('lapsed', None)], [(e.state, e.ran) for e in ended])
        adopted = self.leases.adopt(AttemptAdopted(JOURNAL, ATTEMPT), 2)
        self.assertThat(tuple(adopted), HasLength(1))
        self.leases.end_on_down_workers(ConfigApplied(CellConfig()), 3)
        adopted = self.leases.adopt(AttemptAdopted(JOURNAL, ATTEMPT), 3)
        self.assertThat(tuple(adopted), HasLength(0))

    def test_start_that_never_happened_ends_as_not_run(self):
        """A task must not wait for a lease that never began."""
        for reply in (CallFailed(sent=False), WorkerRefused('expired')):
            following = self.leases.handle_reply(
                replied(self.start(), reply), 1
            )
            self.assertIs(False, following[0].ran)

    def test_short_polls_join_the_next_long_poll(self):
        """Attempts that start later must not be short-polled forever."""
        second = assigned(attempt=2)
        self.table.replay(second)
        running = LeasesReply(0, 'boot')
        polls = self.leases.handle_reply(
            replied(self.start(), Accepted(0, 'boot')),
            0,
        )
        signal = AttemptStarting(JOURNAL, second.attempt_id)
        start = self.leases.start(signal, 0)[0]
        polls += self.leases.handle_reply(
            replied(start, Accepted(0, 'boot')),
            0,
        )
        long, short = polls
        following = self.leases.handle_reply(replied(long, running), 2)
        self.assertEqual([], following)
        combined = self.leases.handle_reply(replied(short, running), 2.1)[0]
        self.assertEqual(
            ((ATTEMPT, second.attempt_id), LeaseSettings().long_poll_s),
            (combined.request.attempt_ids, combined.request.wait_s),
        )

    def test_nothing_starts_without_a_session_lease(self):
        """After a pause the journal may have another owner."""
        self.view.lease_end_s = 0
        self.assertIs(False, self.start().ran)

    def test_attempt_is_lost_once_its_last_renewal_must_have_expired(self):
        """An early end runs a task twice; late renewals must not delay it."""
        accepted_reply = replied(self.start(), Accepted(50, 'boot'))
        calls = list(self.leases.handle_reply(accepted_reply, 0))
        ended_s, sent_calls = self.fail_all(calls, 0.1, 60, sent=True)
        extending = [call for call in sent_calls if call.request.attempt_ids]
        last_until_s = extending[-1].request.lease_until_s
        # The slowest clock within ``max_drift``.
        self.assertGreaterEqual(50 + ended_s * (1 - DRIFT), last_until_s)
        self.assertLess(ended_s, 3.5 + LEASE_S / (1 - DRIFT))

    def test_renewal_is_limited_by_the_clock_of_the_last_answer(self):
        """A renewal that arrives late must not extend the lease further."""
        accepted_reply = replied(self.start(), Accepted(50, 'boot'))
        first = self.leases.handle_reply(accepted_reply, 1)[0]
        self.assertEqual(50 + LEASE_S, first.request.lease_until_s)
        self.leases.handle_reply(replied(first, CallFailed(True)), 2)
        repeated = self.leases.act_on_time(Tick(), 2.5)[0]
        expected = 50 + 1.5 * (1 - DRIFT) + LEASE_S
        self.assertAlmostEqual(expected, repeated.request.lease_until_s)

    def test_first_renewal_after_a_start_without_answer(self):
        """Without any answer only the grant limits the worker's clock."""
        failed_start = replied(self.start(), CallFailed(True))
        poll = self.leases.handle_reply(failed_start, 1)[0]
        expected = (1 - DRIFT) + LEASE_S
        self.assertAlmostEqual(expected, poll.request.lease_until_s)

    def test_start_without_answer_may_have_arrived_at_the_deadline(self):
        """The lease may begin at ``not_after_s`` instead of at the sending."""
        self.leases.handle_reply(replied(self.start(), CallFailed(True)), 0)
        ended_s, _ = self.fail_all([], 0.1, 60, sent=False)
        self.assertGreaterEqual(ended_s * (1 - DRIFT), 2 + LEASE_S)

    def test_adopter_reads_the_clock_before_it_renews(self):
        """An adopter that does not know the clock must not extend leases."""
        self.leases.adopt(AttemptAdopted(JOURNAL, ATTEMPT), 100)
        poll = self.leases.act_on_time(Tick(), 100)[0]
        self.assertEqual((LEASE_S, 0), lease_bound(poll))
        report = AttemptReport(ATTEMPT, 'running')
        reply = LeasesReply(500, 'boot', (report,))
        following = self.leases.handle_reply(replied(poll, reply), 100)
        following += self.leases.act_on_time(Tick(), 101)
        poll = of_type(following, CallWorker)[0]
        self.assertEqual(2, poll.request.wait_s)
        self.assertGreater(poll.request.lease_until_s, 500 + LEASE_S - 0.1)

    def test_clock_of_another_boot_is_not_used(self):
        """A clock that restarted is below the values of the earlier boot."""
        accepted_reply = replied(self.start(), Accepted(9000, 'before'))
        poll = self.leases.handle_reply(accepted_reply, 0)[0]
        self.assertLessEqual(poll.request.lease_until_s, 2 + LEASE_S)

    def test_adopted_attempt_outlasts_a_partitioned_previous_owner(self):
        """The previous owner can renew on workers the adopter cannot reach."""
        self.leases.adopt(AttemptAdopted(JOURNAL, ATTEMPT), 0)
        ended_s, _ = self.fail_all([], 0.1, 200, sent=False)
        self.assertGreater(ended_s, 100 + LEASE_S)

    def test_partitioned_owner_stops_renewing(self):
        """The adopter relies on the end of renewals after ``outage_s``."""
        poll = self.leases.handle_reply(
            replied(self.start(), Accepted(0, 'boot')),
            0,
        )
        self.view.lease_end_s = -98
        ended_s, calls = self.fail_all(poll, 2, 130, sent=False)
        self.assertEqual((None, []), (ended_s, calls))

    def test_list_of_workers_is_not_authoritative_by_default(self):
        """In a partition the list is wrong and the previous owner renews."""
        self.directory.workers_by_id = {'another': 1}
        self.leases.adopt(AttemptAdopted(JOURNAL, ATTEMPT), 0)
        ended_s, _ = self.fail_all([], 0.1, 200, sent=False)
        self.assertGreater(ended_s, 100 + LEASE_S)

    def test_adopted_attempt_ends_if_its_worker_is_not_listed(self):
        """With an authoritative list, an unlisted worker must not hold tasks."""
        self.create_leases(
            LeaseSettings(outage_s=100, list_is_authoritative=True)
        )
        self.directory.workers_by_id = {'another': 1}
        self.leases.adopt(AttemptAdopted(JOURNAL, ATTEMPT), 0)
        ended_s, _ = self.fail_all([], 0.1, 200, sent=False)
        self.assertGreater(ended_s, LEASE_S)
        self.assertLess(ended_s, 3 * LEASE_S)
