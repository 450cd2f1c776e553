"""Tests for fencing, heartbeats and loss of owned workers."""

from msgspec import structs
from testtools import TestCase

from apricotlead.protocol.peers import (
    CapacityGranted,
    CapacityRefused,
    ReleaseGrants,
    RelieveWorker,
)
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    CallWorker,
    SessionLost,
    WorkerClaimed,
    WorkerReplied,
)
from apricotlead.protocol.workers import (
    Accepted,
    AttemptReport,
    CallFailed,
    Heartbeat,
    HeartbeatReply,
    ThrottleTask,
    WorkerRefused,
)
from tests.capacity_rig import HOME, CapacityRig, messages_of

CAPACITY = Resources(4000, 4000)
NO_CAPACITY = Resources()
IDLE_REPLY = HeartbeatReply(1, 'boot', CAPACITY)
FAILED_CALL = CallFailed(sent=True)


def reply_with_attempts(*attempts):
    """Build a reply with attempts given as (id, demand, usage)."""
    reports = tuple(
        AttemptReport(attempt_id, 'running', 'journal', demand, used)
        for attempt_id, demand, used in attempts
    )
    total = sum((used for _, _, used in attempts), NO_CAPACITY)
    return HeartbeatReply(1, 'boot', CAPACITY, reports, used=total)


def calls_of(effects, kind):
    """Return the requests of one kind among the effects."""
    calls = [sent for sent in effects if isinstance(sent, CallWorker)]
    return [call for call in calls if isinstance(call.request, kind)]


class TestWorkerMonitor(TestCase):
    """Guards against grants on workers that another session may own."""

    def setUp(self):
        """List one worker that no session has claimed."""
        super().setUp()
        self.rig = CapacityRig()
        self.rig.list_worker('w', CAPACITY)

    def free(self):
        """Return the capacity that can be granted on the worker."""
        return self.rig.ledger.free_of('w')

    def claim(self, epoch=1):
        """Claim the worker; return its heartbeat call."""
        effects = self.rig.deliver(WorkerClaimed('w', epoch))
        return calls_of(effects, Heartbeat)[0]

    def answer(self, call, reply):
        """Deliver the answer to a call."""
        return self.rig.deliver(WorkerReplied(call.token, 'w', reply))

    def next_heartbeat(self, seconds=1):
        """Let a period pass; return the heartbeat call."""
        return calls_of(self.rig.tick(seconds), Heartbeat)[0]

    def test_fences_a_worker_before_any_grant(self):
        """No capacity is available before the worker has seen the epoch."""
        call = self.claim(epoch=3)
        expected = Heartbeat('owner', 3, worker_id='w')
        self.assertEqual(expected, call.request)
        self.assertEqual(NO_CAPACITY, self.free())
        self.answer(call, IDLE_REPLY)
        self.assertEqual(CAPACITY, self.free())

    def test_ignores_replies_of_an_earlier_epoch_or_heartbeat(self):
        """Replies from an earlier epoch and duplicates have no effect."""
        earlier_call = self.claim(epoch=1)
        call = self.claim(epoch=2)
        self.answer(earlier_call, IDLE_REPLY)
        self.assertEqual(NO_CAPACITY, self.free())
        self.answer(
            call, reply_with_attempts(('j.0.1-1', CAPACITY, NO_CAPACITY))
        )
        self.answer(call, IDLE_REPLY)
        self.assertEqual(NO_CAPACITY, self.free())

    def test_omitted_listing_is_that_of_the_same_boot_and_version(self):
        """Guards against usage taken from a different listing."""
        unchanged = HeartbeatReply(2, 'boot', CAPACITY, None, 5)
        busy = reply_with_attempts(('j.0.1-1', CAPACITY, NO_CAPACITY))
        self.answer(self.claim(), structs.replace(busy, version=5))
        call = self.next_heartbeat()
        expected = Heartbeat('owner', 1, 5, 'boot', 'w')
        self.assertEqual(expected, call.request)
        self.answer(call, unchanged)
        self.assertEqual(NO_CAPACITY, self.free())
        self.answer(
            self.next_heartbeat(), structs.replace(IDLE_REPLY, version=6)
        )
        for changed in ({'version': 5}, {'version': 6, 'boot_id': 'later'}):
            self.answer(
                self.next_heartbeat(), structs.replace(IDLE_REPLY, version=6)
            )
            self.assertEqual(CAPACITY, self.free())
            wrong = structs.replace(unchanged, **changed)
            self.answer(self.next_heartbeat(), wrong)
            self.assertEqual(NO_CAPACITY, self.free())
            call = self.next_heartbeat()
            full = Heartbeat('owner', 1, worker_id='w')
            self.assertEqual(full, call.request)
            self.answer(call, structs.replace(IDLE_REPLY, version=6))
        expected = Heartbeat('owner', 2, worker_id='w')
        self.assertEqual(expected, self.claim(epoch=2).request)

    def test_refusal_with_a_higher_epoch_ends_the_ownership(self):
        """A late refusal whose epoch is not higher does not end it."""
        call = self.claim(epoch=2)
        self.answer(call, WorkerRefused('stale_epoch', epoch=2))
        self.assertIn('w', self.rig.ledger.workers_by_id)
        self.answer(
            self.next_heartbeat(), WorkerRefused('stale_epoch', epoch=3)
        )
        self.assertNotIn('w', self.rig.ledger.workers_by_id)
        self.assertEqual([], calls_of(self.rig.tick(2), Heartbeat))

    def test_lost_session_owns_no_capacity(self):
        """A session that was adopted must not continue to grant."""
        self.answer(self.claim(), IDLE_REPLY)
        self.rig.deliver(SessionLost('owner'))
        self.assertEqual(NO_CAPACITY, self.rig.ledger.total_capacity)

    def test_unreachable_worker_gets_no_grants(self):
        """A failed call or a lost reply blocks it until the next reply."""
        self.answer(self.claim(), IDLE_REPLY)
        call = self.next_heartbeat()
        self.answer(call, FAILED_CALL)
        self.assertEqual(NO_CAPACITY, self.free())
        self.answer(self.next_heartbeat(), IDLE_REPLY)
        self.assertEqual(CAPACITY, self.free())
        self.next_heartbeat()
        call = self.next_heartbeat(seconds=3)
        self.assertEqual(NO_CAPACITY, self.free(), 'the reply was lost')
        self.answer(call, IDLE_REPLY)
        self.assertEqual(CAPACITY, self.free())

    def test_leaving_worker_gets_no_grants(self):
        """A worker missing from the directory gets no new work."""
        self.answer(self.claim(), IDLE_REPLY)
        listed = self.rig.directory.workers_by_id.pop('w')
        self.rig.tick(1)
        self.assertEqual(NO_CAPACITY, self.free())
        self.rig.directory.workers_by_id['w'] = listed
        self.rig.tick(1)
        self.assertEqual(CAPACITY, self.free())

    def test_ended_attempt_triggers_an_early_heartbeat(self):
        """Its capacity must not wait for the next regular heartbeat."""
        attempt = ('j.0.1-1', CAPACITY, NO_CAPACITY)
        self.answer(self.claim(), reply_with_attempts(attempt))
        call = self.next_heartbeat()
        self.answer(call, reply_with_attempts(attempt))
        self.rig.send(ReleaseGrants(('j.0.1-1',)))
        self.assertEqual(NO_CAPACITY, self.free())
        self.answer(self.next_heartbeat(seconds=0.1), IDLE_REPLY)
        self.assertEqual(CAPACITY, self.free())

    def test_heartbeats_are_spread_again_after_a_pause(self):
        """A resumed process must not send all heartbeats in one burst."""
        for number in range(200):
            self.rig.own_worker(f'w{number}')
        counts = [len(calls_of(self.rig.tick(60), Heartbeat))]
        counts.extend(
            len(calls_of(self.rig.tick(0.02), Heartbeat)) for _ in range(20)
        )
        self.assertEqual((20, 200), (max(counts), sum(counts)))

    def test_throttles_attempts_over_their_cpu_demand(self):
        """They are throttled once, and again if the call failed."""
        self.answer(self.claim(), IDLE_REPLY)
        over_demand = ('j.0.1-1', Resources(1000), Resources(3500))
        within_demand = ('j.1.1-1', Resources(1000), Resources(1000))
        effects = self.answer(
            self.next_heartbeat(),
            reply_with_attempts(over_demand, within_demand),
        )
        throttle = calls_of(effects, ThrottleTask)
        expected = [ThrottleTask('j.0.1-1', 1, 1000)]
        self.assertEqual(expected, [call.request for call in throttle])
        for refusal, sent in ((Accepted(1, 'boot'), 0), (FAILED_CALL, 1)):
            self.answer(throttle[0], refusal)
            effects = self.answer(
                self.next_heartbeat(),
                reply_with_attempts(over_demand, within_demand),
            )
            self.assertEqual(sent, len(calls_of(effects, ThrottleTask)))

    def test_memory_overuse_names_the_worst_attempt(self):
        """It is reported to all homes, at a limited rate."""
        self.answer(self.claim(), IDLE_REPLY)
        worst_attempt = ('j.0.1-1', Resources(1, 100), Resources(1, 3000))
        large_attempt = ('j.1.1-1', Resources(1, 3000), Resources(1, 3100))
        expected_message = RelieveWorker('w', 'journal', 'j.0.1-1')
        for expected in ([expected_message], []):
            effects = self.answer(
                self.next_heartbeat(),
                reply_with_attempts(worst_attempt, large_attempt),
            )
            self.assertEqual(expected, messages_of(effects))
        self.assertEqual([], self.rig.ask('r', cpu=1, memory=1, home='gone'))
        refused = self.rig.ask('r', cpu=1, memory=1, home=HOME)
        self.assertEqual(('r.0.1-1',), refused[0].attempt_ids)

    def test_quarantined_worker_is_probed_by_one_task(self):
        """A worker that fails all jobs gets one task after its quarantine."""
        self.rig.own_worker('other', cpu=1)
        self.answer(self.claim(), IDLE_REPLY)
        for job in 'abc':
            self.rig.ask(job, cpu=100)
            ids = (f'{job}.0.1-1',)
            self.rig.send(ReleaseGrants(ids, failed_ids=ids))
        self.assertEqual(NO_CAPACITY, self.free())
        self.answer(self.claim(epoch=2), IDLE_REPLY)
        self.assertEqual(NO_CAPACITY, self.free(), 'claimed anew')
        self.rig.tick(11)
        self.assertEqual(CAPACITY, self.free())
        kinds = [
            type(self.rig.ask(name, cpu=100, gang=gang)[0])
            for name, gang in (('g', True), ('d', False), ('e', False))
        ]
        expected = [CapacityRefused, CapacityGranted, CapacityRefused]
        self.assertEqual(expected, kinds)
        self.rig.send(ReleaseGrants(('d.0.1-1',), (), ('d.0.1-1',)))
        self.assertEqual(CAPACITY, self.free())
