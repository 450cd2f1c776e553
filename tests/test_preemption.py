"""Tests of preemption: which attempts are stopped, and for which work."""

from testtools import TestCase

from apricotlead.coordination.preemption import PreemptionSettings
from apricotlead.coordination.reservations import ReservationSettings
from apricotlead.protocol.config import Preset
from apricotlead.protocol.peers import (
    CapacityGranted,
    CapacityRefused,
    ReleaseGrants,
    RelieveWorker,
)
from apricotlead.protocol.workers import AttemptTraits
from tests.capacity_rig import CapacityRig

PARK_S = 0.3
URGENT = {'priority': 'urgent', 'park_s': PARK_S, 'team': 'poor'}


def stopped(messages):
    """Return the attempts that home sessions are asked to stop."""
    return [
        message.attempt_id
        for message in messages
        if isinstance(message, RelieveWorker)
    ]


def granted(messages):
    """Return the attempts that were granted capacity."""
    return [
        grant.attempt_id
        for message in messages
        if isinstance(message, CapacityGranted)
        for grant in message.grants
    ]


class TestPreemption(TestCase):
    """Checks that urgent work is not late, and that no stop is useless."""

    def setUp(self):
        """Fill a worker of four cores with tasks of two teams."""
        super().setUp()
        self.create_rig()

    def create_rig(self, **settings):
        """Fill a worker of four cores with tasks of two teams."""
        desk = ReservationSettings(preemption=PreemptionSettings(**settings))
        self.rig = CapacityRig(desk=desk)
        self.rig.own_worker('w1', cpu=4000)
        self.rig.usage.shares_by_team = {'rich': 0.6, 'fair': 0.3, 'poor': 0.0}
        for name in ('r1', 'f1', 'r2', 'r3'):
            team = 'fair' if name == 'f1' else 'rich'
            self.run_task(name, team)

    def run_task(self, name, team, **traits):
        """Run a task of one core, preemptible unless ``traits`` differ."""
        self.assertEqual(1, len(granted(self.rig.ask(name, team=team))))
        traits = {'preemptible': True, **traits}
        known = AttemptTraits(team, **traits)
        self.rig.traits_by_id[f'{name}.0.1-1'] = known
        self.rig.pass_time(1)

    def report_traits(self, *names, **traits):
        """Change the traits that heartbeats report of these tasks."""
        for name in names:
            attempt_id = f'{name}.0.1-1'
            team = self.rig.traits_by_id[attempt_id].team
            self.rig.traits_by_id[attempt_id] = AttemptTraits(team, **traits)
        self.rig.pass_time(1)

    def end(self, *names):
        """End tasks; return the messages until the next heartbeat."""
        ids = tuple(f'{name}.0.1-1' for name in names)
        return [*self.rig.send(ReleaseGrants(ids)), *self.rig.pass_time(0.2)]

    def request_repeatedly(self, team, seconds):
        """Send a team's request every 0.5 s; return all stopped attempts."""
        ids = []
        for _ in range(int(seconds * 2)):
            at = str(self.rig.now)
            ids.extend(stopped(self.rig.ask('n', team=team, at=at, park_s=0.3)))
            self.rig.pass_time(0.5)
        return ids

    def test_urgent_work_preempts_the_youngest_attempt(self):
        """Urgent work must not wait for the end of long tasks."""
        free_before = self.rig.ledger.free_of('w1')
        self.assertEqual(['r3.0.1-1'], stopped(self.rig.ask('u', **URGENT)))
        self.assertEqual(free_before, self.rig.ledger.free_of('w1'))
        self.assertEqual([], granted(self.rig.pass_time(0.5)))
        self.assertEqual(['u.0.1-1'], granted(self.end('r3')))

    def test_freed_capacity_is_reserved_for_the_request(self):
        """Other requests must not get the capacity that stops free."""
        self.rig.ask('u', cpu=2000, **URGENT)
        others = self.rig.ask('n', park_s=PARK_S)
        others += self.end('r3')
        urgent = self.rig.ask('v', priority='urgent')
        self.assertEqual([], granted([*others, *urgent]))
        self.assertEqual(['u.0.1-1'], granted(self.end('r2')))

    def test_unused_reservation_expires(self):
        """Capacity must not stay reserved if the request or stop is lost."""
        self.rig.ask('u', cpu=2000, **URGENT)
        self.end('r3')
        self.assertIsInstance(self.rig.pass_time(0.9)[0], CapacityRefused)
        self.assertEqual(1, len(granted(self.rig.ask('n'))))

    def test_repeated_request_preempts_only_once(self):
        """One request must not stop two tasks."""
        self.rig.ask('u', **URGENT)
        repeated = self.rig.ask('u', at='2', **URGENT)
        self.assertEqual([], stopped(repeated))
        self.assertEqual(['u.0.1-2'], granted(self.end('r3')))

    def test_attempts_that_are_not_preempted(self):
        """Unknown, protected and often stopped attempts must keep running."""
        names = ('r1', 'f1', 'r2', 'r3')
        self.report_traits(*names, preemptible=False)
        self.assertEqual([], stopped(self.rig.ask('u1', **URGENT)))
        self.report_traits(*names, preemptible=True, stops=3)
        self.assertEqual([], stopped(self.rig.ask('u2', **URGENT)))
        self.rig.traits_by_id.clear()
        self.rig.pass_time(1)
        self.assertEqual([], stopped(self.rig.ask('u3', **URGENT)))

    def test_requests_that_do_not_preempt(self):
        """Requests that cannot use the capacity must not cause stops."""
        for name, options in (
            ('large', URGENT | {'cpu': 5000}),
            ('elsewhere', URGENT | {'avoid_workers': ('w1',)}),
            ('gang', URGENT | {'gang': True}),
            ('unparked', URGENT | {'park_s': 0}),
            ('normal', URGENT | {'priority': 'normal'}),
        ):
            asked = self.rig.ask(name, **options)
            self.assertEqual([], stopped(asked), name)

    def test_preemption_rates(self):
        """A burst of urgent work must not empty a worker or the cell."""
        self.assertEqual(1, len(stopped(self.rig.ask('u1', **URGENT))))
        self.assertEqual([], stopped(self.rig.ask('u2', **URGENT)))
        self.create_rig(cell_burst=2, cell_rate=0)
        self.assertEqual(1, len(stopped(self.rig.ask('u1', **URGENT))))
        self.rig.pass_time(1)
        self.assertEqual([], stopped(self.rig.ask('u2', **URGENT)))
        self.create_rig(enabled=False)
        self.assertEqual([], stopped(self.rig.ask('u1', **URGENT)))

    def test_share_is_restored_after_patience(self):
        """A team must get its share, but only from teams above theirs."""
        self.assertEqual([], self.request_repeatedly('poor', 2))
        self.assertEqual(['r3.0.1-1'], self.request_repeatedly('poor', 0.5))

    def test_shares_within_the_margin_do_not_preempt(self):
        """Small differences of shares must not cause stops.

        Nor may a team that is not above its share lose attempts.
        """
        self.rig.usage.shares_by_team = {'rich': 0.35, 'poor': 0.31, 'c': 0.34}
        self.assertEqual([], self.request_repeatedly('poor', 4))
        self.rig.usage.shares_by_team = {'rich': 0.3, 'fair': 0.3, 'poor': 0.0}
        self.assertEqual([], self.request_repeatedly('poor', 4))

    def test_unknown_policy_is_logged_once(self):
        """Operators must see in the log that a policy is not in force."""
        self.rig.policies.in_force = Preset('ordinary', placement='worst_fit')
        self.rig.ask('a')
        self.rig.ask('b')
        placements = [note.fields['placement'] for note in self.rig.log_events]
        self.assertEqual(['worst_fit'], placements)
