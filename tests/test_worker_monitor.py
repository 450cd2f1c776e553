"""Workers are fenced, asked in turn, and left alone when they are lost."""

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
NOTHING = Resources()
IDLE = HeartbeatReply(1, 'boot', CAPACITY)
FAILED = CallFailed(sent=True)


def running(*uses):
    """Build a reply with attempts of (attempt id, demand, use)."""
    reports = tuple(
        AttemptReport(attempt_id, 'running', 'journal', demand, used)
        for attempt_id, demand, used in uses
    )
    total = sum((used for _, _, used in uses), NOTHING)
    return HeartbeatReply(1, 'boot', CAPACITY, reports, used=total)


def calls_of(effects, kind):
    """Return the requests of one kind among the effects."""
    calls = [sent for sent in effects if isinstance(sent, CallWorker)]
    return [call for call in calls if isinstance(call.request, kind)]


class TestWorkerMonitor(TestCase):
    """Guards against grants on workers that another session may own."""

    def setUp(self):
        """List one worker that nobody has claimed."""
        super().setUp()
        self.rig = CapacityRig()
        self.rig.list_worker('w', CAPACITY)

    def free(self):
        """Return what can be granted on the worker."""
        return self.rig.ledger.free_of('w')

    def claim(self, epoch=1):
        """Claim the worker; return its heartbeat call."""
        effects = self.rig.deliver(WorkerClaimed('w', epoch))
        return calls_of(effects, Heartbeat)[0]

    def answer(self, call, reply):
        """Deliver the answer to a call."""
        return self.rig.deliver(WorkerReplied(call.token, 'w', reply))

    def next_call(self, seconds=1):
        """Let a period pass; return the heartbeat call."""
        return calls_of(self.rig.tick(seconds), Heartbeat)[0]

    def test_fences_before_anything_is_granted(self):
        """No room is given before the worker has seen the epoch."""
        call = self.claim(epoch=3)
        self.assertEqual(Heartbeat('owner', 3), call.request)
        self.assertEqual(NOTHING, self.free())
        self.answer(call, IDLE)
        self.assertEqual(CAPACITY, self.free())

    def test_answers_that_do_not_count(self):
        """Replies of a former epoch, doubled or overdue change nothing."""
        former = self.claim(epoch=1)
        call = self.claim(epoch=2)
        self.answer(former, IDLE)
        self.assertEqual(NOTHING, self.free())
        self.answer(call, running(('j.0.1-1', CAPACITY, NOTHING)))
        self.answer(call, IDLE)
        self.assertEqual(NOTHING, self.free())

    def test_omitted_listing_is_that_of_the_same_boot_and_version(self):
        """Guards against occupancy that is taken from another listing."""
        unchanged = HeartbeatReply(2, 'boot', CAPACITY, None, 5)
        busy = running(('j.0.1-1', CAPACITY, NOTHING))
        self.answer(self.claim(), structs.replace(busy, version=5))
        call = self.next_call()
        self.assertEqual(Heartbeat('owner', 1, 5, 'boot'), call.request)
        self.answer(call, unchanged)
        self.assertEqual(NOTHING, self.free())
        self.answer(self.next_call(), structs.replace(IDLE, version=6))
        for changed in ({'version': 5}, {'version': 6, 'boot_id': 'later'}):
            self.answer(self.next_call(), structs.replace(IDLE, version=6))
            self.assertEqual(CAPACITY, self.free())
            wrong = structs.replace(unchanged, **changed)
            self.answer(self.next_call(), wrong)
            self.assertEqual(NOTHING, self.free())
            call = self.next_call()
            self.assertEqual(Heartbeat('owner', 1), call.request)
            self.answer(call, structs.replace(IDLE, version=6))
        self.assertEqual(Heartbeat('owner', 2), self.claim(epoch=2).request)

    def test_other_owner_has_a_higher_epoch(self):
        """A refusal ends the ownership; a late old one does not."""
        call = self.claim(epoch=2)
        self.answer(call, WorkerRefused('stale_epoch', epoch=2))
        self.assertIn('w', self.rig.ledger.workers_by_id)
        self.answer(self.next_call(), WorkerRefused('stale_epoch', epoch=3))
        self.assertNotIn('w', self.rig.ledger.workers_by_id)
        self.assertEqual([], calls_of(self.rig.tick(2), Heartbeat))

    def test_lost_session_owns_nothing(self):
        """A session that was adopted must not go on granting."""
        self.answer(self.claim(), IDLE)
        self.rig.deliver(SessionLost('owner'))
        self.assertEqual(NOTHING, self.rig.ledger.total_capacity)

    def test_unreachable_worker_gets_no_grants(self):
        """Room returns with the next answer, also without any failure."""
        self.answer(self.claim(), IDLE)
        call = self.next_call()
        self.answer(call, FAILED)
        self.assertEqual(NOTHING, self.free())
        self.answer(self.next_call(), IDLE)
        self.assertEqual(CAPACITY, self.free())
        self.next_call()
        call = self.next_call(seconds=3)
        self.assertEqual(NOTHING, self.free(), 'the answer got lost')
        self.answer(call, IDLE)
        self.assertEqual(CAPACITY, self.free())

    def test_leaving_worker_gets_no_grants(self):
        """A worker that is leaving is asked but gets no new work."""
        self.answer(self.claim(), IDLE)
        listed = self.rig.directory.workers_by_id.pop('w')
        self.rig.tick(1)
        self.assertEqual(NOTHING, self.free())
        self.rig.directory.workers_by_id['w'] = listed
        self.rig.tick(1)
        self.assertEqual(CAPACITY, self.free())

    def test_ended_attempt_hastens_the_heartbeat(self):
        """Room of an ended attempt must not wait for the next turn."""
        attempt = ('j.0.1-1', CAPACITY, NOTHING)
        self.answer(self.claim(), running(attempt))
        call = self.next_call()
        self.answer(call, running(attempt))
        self.rig.send(ReleaseGrants(('j.0.1-1',)))
        self.assertEqual(NOTHING, self.free())
        self.answer(self.next_call(seconds=0.1), IDLE)
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

    def test_throttles_where_processors_are_short(self):
        """Only those over their demand, once, and again if refused."""
        self.answer(self.claim(), IDLE)
        over = ('j.0.1-1', Resources(1000), Resources(3500))
        even = ('j.1.1-1', Resources(1000), Resources(1000))
        effects = self.answer(self.next_call(), running(over, even))
        throttle = calls_of(effects, ThrottleTask)
        expected = [ThrottleTask('j.0.1-1', 1, 1000)]
        self.assertEqual(expected, [call.request for call in throttle])
        for refusal, sent in ((Accepted(1, 'boot'), 0), (FAILED, 1)):
            self.answer(throttle[0], refusal)
            effects = self.answer(self.next_call(), running(over, even))
            self.assertEqual(sent, len(calls_of(effects, ThrottleTask)))

    def test_memory_beyond_the_worker(self):
        """The worst attempt is named to all homes, once in a while."""
        self.answer(self.claim(), IDLE)
        worst = ('j.0.1-1', Resources(1, 100), Resources(1, 3000))
        large = ('j.1.1-1', Resources(1, 3000), Resources(1, 3100))
        told = RelieveWorker('w', 'journal', 'j.0.1-1')
        for expected in ([told], []):
            effects = self.answer(self.next_call(), running(worst, large))
            self.assertEqual(expected, messages_of(effects))
        self.assertEqual([], self.rig.ask('r', cpu=1, memory=1, home='gone'))
        refused = self.rig.ask('r', cpu=1, memory=1, home=HOME)
        self.assertEqual(('r.0.1-1',), refused[0].attempt_ids)

    def test_quarantined_worker_is_probed_by_one_task(self):
        """A worker that fails all jobs gets one task after its time."""
        self.rig.own_worker('other', cpu=1)
        self.answer(self.claim(), IDLE)
        for job in 'abc':
            self.rig.ask(job, cpu=100)
            ids = (f'{job}.0.1-1',)
            self.rig.send(ReleaseGrants(ids, failed_ids=ids))
        self.assertEqual(NOTHING, self.free())
        self.answer(self.claim(epoch=2), IDLE)
        self.assertEqual(NOTHING, self.free(), 'claimed anew')
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
