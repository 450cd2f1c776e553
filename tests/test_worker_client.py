"""Contract tests of a worker, via the client, with fault cases."""

import eventlet
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from testtools import TestCase

from apricotlead.protocol.jobs import TaskSpec
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.workers import (
    Accepted,
    CallFailed,
    Heartbeat,
    RenewLeases,
    StartTask,
    StopTasks,
    ThrottleTask,
    WorkerRefused,
)
from apricotlead.transport.worker_client import WorkerClient
from apricotlead_standins.worker import Worker, WorkerSettings
from apricotlead_standins.worker_messages import Resources as Capacity
from tests.standin_harness import InMemory, OverHttp

DEMAND = Resources(1000, 512)
LEASE_S = 6.0


def make_worker(now):
    """Boot a worker of four cores."""
    return Worker(WorkerSettings('w', Capacity(4000, 4096, 1)), 'boot', now)


def start(run_s=60.0, command='', **changed):
    """Return a start of attempt ``a`` in epochs 1, valid until 2 s after boot."""
    fields = {
        'attempt_id': 'a',
        'worker_epoch': 1,
        'boot_id': 'boot',
        'not_after_s': 2.0,
        'journal_id': 'j',
        'journal_epoch': 1,
        'lease_s': LEASE_S,
        'task': TaskSpec(DEMAND, run_s, command),
    }
    return StartTask(**{**fields, **changed})


def renew(journal_epoch=1, **changed):
    """Return a renewal of the lease of ``a``."""
    changed.setdefault('lease_s', LEASE_S)
    return RenewLeases('j', journal_epoch, ('a',), **changed)


STOP = StopTasks('j', 1, ('a',))
ACKNOWLEDGE = renew(acknowledged_ids=('a',))

# Each case has its steps (messages, or seconds that pass), the reason for which
# the last message is refused ('' if it is accepted), and the number of runs that
# have started by then.
FENCING_CASES = {
    'older owner': ((Heartbeat('b', 2), Heartbeat('a', 1)), 'stale_epoch', 0),
    'heartbeat for another worker': (
        (Heartbeat('a', 9, worker_id='gone'), start()),
        '',
        1,
    ),
    'older grant': ((Heartbeat('b', 2), start()), 'stale_epoch', 0),
    'previous home starts': ((renew(2), start()), 'stale_epoch', 0),
    'previous home renews': ((start(), renew(2), renew()), 'stale_epoch', 1),
    'previous home stops': ((start(), renew(2), STOP), 'stale_epoch', 1),
    'previous owner throttles': (
        (start(), Heartbeat('b', 2), ThrottleTask('a', 1, 10)),
        'stale_epoch',
        1,
    ),
    'another worker is meant': (
        (Heartbeat('a', 9, worker_id='gone'),),
        'other_worker',
        0,
    ),
    'grant of another boot': ((start(boot_id='x'),), 'other_boot', 0),
    'start too late': ((2.1, start()), 'expired', 0),
    'start at the last moment': ((1.9, start()), '', 1),
    'stop overtakes start': ((STOP, start()), 'expired', 0),
    'throttle of unknown attempt': (
        (ThrottleTask('a', 1, 10),),
        'unknown_attempt',
        0,
    ),
    'duplicated start': ((start(), start()), '', 1),
    'duplicated start, late': ((start(), 3.0, start()), '', 1),
    'duplicated start, new owner': (
        (start(), Heartbeat('b', 2), start()),
        '',
        1,
    ),
    'duplicated start, new home': ((start(), renew(2), start()), '', 1),
    'duplicated start, ended': ((start(run_s=0), start()), '', 1),
    'duplicated start, forgotten': (
        (start(run_s=0), ACKNOWLEDGE, start()),
        '',
        1,
    ),
}

# Steps, and the state of ``a`` that a final query without renewal returns.
END_STATE_CASES = {
    'runs': ((start(),), 'running'),
    'ends': ((start(run_s=3), 3.1), 'succeeded'),
    'sleeps longer than declared': (
        (start(run_s=1, command='sleep 4'), 3.0),
        'running',
    ),
    'fails': ((start(run_s=1, command='echo x; fail'), 1.1), 'failed'),
    'lease lapses': ((start(), 6.1), 'lapsed'),
    'renewed in time': ((start(), 5.0, renew(), 5.0), 'running'),
    'renewed too late': ((start(), 6.1, renew(), 0.1), 'lapsed'),
    'renewal that was delayed in transit': (
        (start(), 4.0, renew(lease_until_s=7.0), 3.1),
        'lapsed',
    ),
    'duplicated start does not renew': ((start(), 5.0, start(), 1.1), 'lapsed'),
    'ended before the lease lapses': ((start(run_s=5), 60.0), 'succeeded'),
    'writes its checkpoint': ((start(), STOP), 'running'),
    'stopped': ((start(), STOP, 0.3), 'stopped'),
    'stopped without checkpoint': (
        (start(), StopTasks('j', 1, ('a',), checkpoint=False)),
        'stopped',
    ),
    'acknowledged': ((start(run_s=1), 1.1, ACKNOWLEDGE), 'unknown'),
    'acknowledged while it runs': ((start(), ACKNOWLEDGE), 'running'),
    'throttled': (
        (start(run_s=4), ThrottleTask('a', 1, 500), 5.0),
        'running',
    ),
    'other journal': ((start(journal_id='k'),), 'unknown'),
}


class WorkerContract:
    """The guarantees that homes and owners rely on."""

    def setUp(self):
        """Boot a worker."""
        super().setUp()
        self.boot()

    def boot(self):
        """Replace the worker with a new one."""
        self.site = self.harness(make_worker)
        self.addCleanup(self.site.close)
        self.client = WorkerClient(self.site.pool)

    def call(self, message, timeout_s=5.0):
        """Send a message."""
        return self.client.call(self.site.address, message, timeout_s)

    def perform(self, steps):
        """Send messages and pass time; return the last reply."""
        for step in steps:
            if isinstance(step, float):
                self.site.pass_time(step)
            else:
                reply = self.call(step)
        return reply

    def state(self, journal_epoch=1):
        """Return the state of ``a`` without renewing its lease."""
        reply = self.call(renew(journal_epoch, lease_s=0))
        states = [each.state for each in reply.attempts]
        self.assertNotIn('running', states)
        return states[0] if states else 'running'

    def listed(self):
        """Return the attempts that the worker lists to the newest owner."""
        return self.call(Heartbeat('z', 9)).attempts

    def test_fencing(self):
        """Guards against starts that run, or do not run, by mistake."""
        for name, (steps, reason, runs) in FENCING_CASES.items():
            self.boot()
            reply = self.perform(steps)
            refusal = getattr(reply, 'reason', '')
            self.assertEqual(
                (name, reason, runs),
                (name, refusal, self.site.standin.log.started),
            )
            self.assertEqual('boot', reply.boot_id)

    def test_end_states(self):
        """Guards against attempts that outlive their lease, and lost ends."""
        for name, (steps, state) in END_STATE_CASES.items():
            self.boot()
            self.perform(steps)
            self.assertEqual((name, state), (name, self.state()))

    def test_output_is_kept_until_acknowledged(self):
        """Guards against a result that is lost with the first answer."""
        self.call(start(run_s=1, command='echo 1 2'))
        self.site.pass_time(1.1)
        self.site.set_faults(lose_answers=1)
        self.assertEqual(CallFailed(sent=True), self.call(renew()))
        report = self.call(renew()).attempts[0]
        self.assertEqual(('succeeded', '1 2'), (report.state, report.output))
        self.assertEqual(['a'], [each.attempt_id for each in self.listed()])
        self.call(ACKNOWLEDGE)
        self.assertEqual((), self.listed())

    def test_long_poll_answers_at_the_end(self):
        """Guards against an answer that is early or misses the end of a run."""
        self.call(start(run_s=0.05))
        reply = self.call(renew(wait_s=4.0))
        self.assertEqual('succeeded', reply.attempts[0].state)
        self.call(start(attempt_id='b'))
        reply = self.call(RenewLeases('j', 1, ('b',), wait_s=0.05))
        self.assertEqual((), reply.attempts)

    def test_usage_lags_and_follows_throttle(self):
        """Guards against usage data more current than real workers report."""
        self.call(start(command='use 1.5'))
        replies = [self.call(Heartbeat('z', 9))]
        for seconds in (1.1, 0.5, 1.1):
            self.site.pass_time(seconds)
            replies.append(self.call(Heartbeat('z', 9)))
            self.call(ThrottleTask('a', 9, 800))
        used = [
            (reply.used.cpu_millis, reply.attempts[0].used.cpu_millis)
            for reply in replies
        ]
        # The throttled attempt still uses more memory than its demand.
        self.assertEqual([(0, 0), (1500, 1500), (1500, 1500), (800, 800)], used)
        self.assertEqual(DEMAND, self.listed()[0].demand)

    def test_listing_is_omitted_only_while_it_is_known(self):
        """Guards against an owner that misses a change or a restart."""
        versions = []
        steps = (start(run_s=1), 1.1, ACKNOWLEDGE, start(attempt_id='b'))
        for step in steps:
            self.perform((Heartbeat('z', 1), step, Heartbeat('z', 1)))
            versions.append(self.call(Heartbeat('z', 1)).version)
            known = Heartbeat('z', 1, versions[-1], 'boot')
            self.assertIsNone(self.call(known).attempts)
        self.assertEqual(sorted(set(versions)), versions)
        earlier = Heartbeat('z', 9, versions[-2], 'boot')
        self.assertEqual(self.listed(), self.call(earlier).attempts)
        self.site.standin.restart('later', self.site.now())
        for version in range(1, versions[-1] + 1):
            other = Heartbeat('z', 9, version, 'boot')
            self.assertEqual((), self.call(other).attempts)

    def test_overcommit_is_recorded(self):
        """Guards against a stand-in that hides an overcommit."""
        for name in 'abcd':
            self.call(start(attempt_id=name))
        self.assertFalse(self.site.standin.log.overcommitted)
        self.call(start(attempt_id='e'))
        self.assertEqual(5000, self.site.standin.log.peak.cpu_millis)
        self.assertTrue(self.site.standin.log.overcommitted)

    def test_restart_loses_attempts_and_changes_boot(self):
        """Guards against grants of the previous boot that remain valid."""
        self.call(start())
        self.site.standin.restart('later', self.site.now())
        reply = self.call(Heartbeat('a', 1))
        self.assertEqual(('later', ()), (reply.boot_id, reply.attempts))
        self.assertEqual('other_boot', self.call(start()).reason)

    def test_pause_ends_leases_on_time(self):
        """Guards against a pause that extends a start's validity or a lease."""
        self.call(start(run_s=60))
        paused_s = self.site.now()
        self.site.set_faults(pause_s=0.1)
        self.call(start(attempt_id='b'))
        begun_s = self.site.standin.log.dump()['runs'][1]['begin_s']
        self.assertGreaterEqual(begun_s, paused_s + 0.1)
        self.site.set_faults()
        self.site.pass_time(7.0)
        self.assertEqual('lapsed', self.state())
        run = self.site.standin.log.dump()['runs'][0]
        self.assertLess(run['end_s'] - run['begin_s'], LEASE_S + 0.3)

    def test_failing_worker_and_dead_worker(self):
        """Guards against fault settings without effect."""
        self.site.set_faults(fails_everything=True)
        self.call(start())
        self.assertEqual('failed', self.state())
        self.site.set_faults(outage=True)
        self.assertEqual(CallFailed(sent=True), self.call(renew()))


class TestWorkerInMemory(WorkerContract, TestCase):
    """The contract tests without sockets."""

    harness = InMemory


class TestWorkerOverHttp(WorkerContract, TestCase):
    """The contract tests over loopback."""

    harness = OverHttp

    def test_unreachable_worker_is_reported_as_not_sent(self):
        """Guards against waiting for a start that was never sent."""
        reply = self.client.call('127.0.0.1:1', start())
        self.assertEqual(CallFailed(sent=False), reply)

    def test_closed_server_answers_nothing(self):
        """Guards against a dead worker that continues its requests."""
        self.call(start(lease_s=100.0))
        poll = eventlet.spawn(self.call, renew(wait_s=50.0), 20.0)
        eventlet.sleep(0.05)
        self.site.server.close()
        with eventlet.Timeout(10.0):
            self.assertEqual(CallFailed(sent=True), poll.wait())
        self.assertIsInstance(self.call(renew()), CallFailed)

    def test_waiting_renewal_is_woken(self):
        """Guards against a long poll that misses a stop or a new home."""
        cases = (
            (StopTasks('j', 1, ('a',), checkpoint=False), 'stopped'),
            (renew(2), 'stale_epoch'),
        )
        for message, seen in cases:
            self.boot()
            self.call(start(lease_s=100.0))
            poll = eventlet.spawn(self.call, renew(wait_s=50.0), 5.0)
            eventlet.sleep(0.05)
            self.assertFalse(poll.dead)
            self.call(message)
            reply = poll.wait()
            if isinstance(reply, WorkerRefused):
                self.assertEqual(seen, reply.reason)
            else:
                self.assertEqual(seen, reply.attempts[0].state)


class WorkerFuzz(RuleBasedStateMachine):
    """Messages that arrive duplicated, late and out of order.

    Owner and home take over together, so they share one epoch. Start messages
    are made in advance, and copies of any of them may arrive at any time.
    """

    numbers = strategies.integers(0, 2)
    stale = strategies.sampled_from((0, 0, 0, 1))
    delays = strategies.sampled_from((0.0, 0.0, 0.4, 1.1))
    caps = strategies.sampled_from((0.5, 9.0))

    def __init__(self):
        """Boot a worker."""
        super().__init__()
        self.site = InMemory(make_worker)
        self.client = WorkerClient(self.site.pool)
        self.booted_s = self.site.now()
        self.epoch = 0
        self.take_over()
        self.starts = [self.make_start(number) for number in range(3)]
        self.accepted = set()
        self.stopped_early = set()
        self.lease_ends_by_number = {}

    def clock_s(self):
        """Return the worker's clock."""
        return self.site.now() - self.booted_s

    def make_start(self, number):
        """Return a start that is valid for two seconds."""
        return start(
            run_s=30.0,
            attempt_id=str(number),
            worker_epoch=self.epoch,
            journal_epoch=self.epoch,
            not_after_s=self.clock_s() + 2,
            lease_s=1.0,
        )

    def call(self, message, stale=0):
        """Send a message; check that it is refused if it is stale."""
        reply = self.client.call(self.site.address, message)
        assert isinstance(reply, WorkerRefused) == bool(stale)

    @rule(number=numbers)
    def remake_start(self, number):
        """Replace a start that was never delivered by a current one."""
        if number not in self.accepted | self.stopped_early:
            self.starts[number] = self.make_start(number)

    @rule(number=numbers, late_s=delays)
    def start(self, number, late_s):
        """Deliver a copy of a start."""
        self.site.pass_time(late_s)
        message = self.starts[number]
        reply = self.client.call(self.site.address, message)
        allowed = (
            number not in self.stopped_early
            and message.worker_epoch >= self.epoch
            and self.clock_s() <= message.not_after_s
        )
        is_accepted = isinstance(reply, Accepted)
        assert is_accepted == (allowed or number in self.accepted)
        if is_accepted and number not in self.accepted:
            self.accepted.add(number)
            self.lease_ends_by_number[number] = self.clock_s() + 1

    @rule(number=numbers, late_s=delays, stale=stale, cap_s=caps)
    def renew(self, number, late_s, stale, cap_s):
        """Renew a lease."""
        self.site.pass_time(late_s)
        until_s = self.clock_s() + cap_s
        message = RenewLeases(
            'j',
            self.epoch - stale,
            (str(number),),
            lease_s=1.0,
            lease_until_s=until_s,
        )
        self.call(message, stale)
        known_s = self.lease_ends_by_number.get(number, 0)
        if not stale and self.clock_s() < known_s:
            end_s = min(self.clock_s() + 1, until_s)
            self.lease_ends_by_number[number] = max(known_s, end_s)

    @rule(stale=stale)
    def acknowledge(self, stale):
        """Acknowledge all attempts, ended or not."""
        ids = tuple(message.attempt_id for message in self.starts)
        self.call(RenewLeases('j', self.epoch - stale, (), ids), stale)

    @rule(number=numbers, stale=stale)
    def stop(self, number, stale):
        """Stop an attempt, possibly before its start arrives."""
        message = StopTasks('j', self.epoch - stale, (str(number),))
        self.call(message, stale)
        if not stale and number not in self.accepted:
            self.stopped_early.add(number)

    @rule()
    def take_over(self):
        """Take over with a higher epoch."""
        self.epoch += 1
        self.call(Heartbeat('x', self.epoch))
        self.call(RenewLeases('j', self.epoch, ()))
        self.call(Heartbeat('w', self.epoch - 1), stale=1)

    @invariant()
    def runs_are_single_and_end_with_their_lease(self):
        """Each accepted attempt ran exactly once, and no other ran."""
        runs = self.site.standin.log.dump()['runs']
        ids = [int(run['attempt_id']) for run in runs]
        assert len(ids) == len(set(ids))
        assert set(ids) == self.accepted
        for number, run in zip(ids, runs, strict=True):
            end_s = run['end_s'] or self.booted_s
            lease_end_s = self.booted_s + self.lease_ends_by_number[number]
            assert end_s <= lease_end_s + 1e-6


TestWorkerFuzz = WorkerFuzz.TestCase
