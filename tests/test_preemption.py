"""Attempts are stopped for work that may not wait, and for nothing else."""

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
    """Return the attempts that homes are asked to stop."""
    return [
        message.attempt_id
        for message in messages
        if isinstance(message, RelieveWorker)
    ]


def granted(messages):
    """Return the attempts that got room."""
    return [
        grant.attempt_id
        for message in messages
        if isinstance(message, CapacityGranted)
        for grant in message.grants
    ]


class TestPreemption(TestCase):
    """Guards against late urgent work, and against stops in vain."""

    def setUp(self):
        """Fill a worker of four cores with tasks of two teams."""
        super().setUp()
        self.begin()

    def begin(self, **settings):
        """Fill a worker of four cores with tasks of two teams."""
        desk = ReservationSettings(preemption=PreemptionSettings(**settings))
        self.rig = CapacityRig(desk=desk)
        self.rig.own_worker('w1', cpu=4000)
        self.rig.usage.shares_by_team = {'rich': 0.6, 'fair': 0.3, 'poor': 0.0}
        for name in ('r1', 'f1', 'r2', 'r3'):
            team = 'fair' if name == 'f1' else 'rich'
            self.run_task(name, team)

    def run_task(self, name, team, **traits):
        """Run a task of one core that may be stopped, unless told else."""
        self.assertEqual(1, len(granted(self.rig.ask(name, team=team))))
        traits = {'preemptible': True, **traits}
        known = AttemptTraits(team, **traits)
        self.rig.traits_by_id[f'{name}.0.1-1'] = known
        self.rig.pass_time(1)

    def know(self, *names, **traits):
        """Let heartbeats tell other traits of tasks."""
        for name in names:
            attempt_id = f'{name}.0.1-1'
            team = self.rig.traits_by_id[attempt_id].team
            self.rig.traits_by_id[attempt_id] = AttemptTraits(team, **traits)
        self.rig.pass_time(1)

    def end(self, *names):
        """Let tasks end; return what follows until the next heartbeat."""
        ids = tuple(f'{name}.0.1-1' for name in names)
        return [*self.rig.send(ReleaseGrants(ids)), *self.rig.pass_time(0.2)]

    def ask_in_vain(self, team, seconds):
        """Let a team ask every half second; return all that is stopped."""
        ids = []
        for _ in range(int(seconds * 2)):
            at = str(self.rig.now)
            ids.extend(stopped(self.rig.ask('n', team=team, at=at, park_s=0.3)))
            self.rig.pass_time(0.5)
        return ids

    def test_urgent_work_gets_the_room_of_the_youngest(self):
        """Urgent work must not wait for the end of long tasks."""
        free_before = self.rig.ledger.free_of('w1')
        self.assertEqual(['r3.0.1-1'], stopped(self.rig.ask('u', **URGENT)))
        self.assertEqual(free_before, self.rig.ledger.free_of('w1'))
        self.assertEqual([], granted(self.rig.pass_time(0.5)))
        self.assertEqual(['u.0.1-1'], granted(self.end('r3')))

    def test_room_is_kept_for_the_request(self):
        """Others must not take the room that was made."""
        self.rig.ask('u', cpu=2000, **URGENT)
        others = self.rig.ask('n', park_s=PARK_S)
        others += self.end('r3')
        urgent = self.rig.ask('v', priority='urgent')
        self.assertEqual([], granted([*others, *urgent]))
        self.assertEqual(['u.0.1-1'], granted(self.end('r2')))

    def test_kept_room_comes_free_again(self):
        """Room must not idle when the request is gone, or its stop is lost."""
        self.rig.ask('u', cpu=2000, **URGENT)
        self.end('r3')
        self.assertIsInstance(self.rig.pass_time(0.9)[0], CapacityRefused)
        self.assertEqual(1, len(granted(self.rig.ask('n'))))

    def test_home_that_asks_again_stops_no_more(self):
        """One request must not cost two tasks."""
        self.rig.ask('u', **URGENT)
        again = self.rig.ask('u', at='2', **URGENT)
        self.assertEqual([], stopped(again))
        self.assertEqual(['u.0.1-2'], granted(self.end('r3')))

    def test_who_is_never_stopped(self):
        """Unknown, protected and often stopped attempts must run on."""
        names = ('r1', 'f1', 'r2', 'r3')
        self.know(*names, preemptible=False)
        self.assertEqual([], stopped(self.rig.ask('u1', **URGENT)))
        self.know(*names, preemptible=True, stops=3)
        self.assertEqual([], stopped(self.rig.ask('u2', **URGENT)))
        self.rig.traits_by_id.clear()
        self.rig.pass_time(1)
        self.assertEqual([], stopped(self.rig.ask('u3', **URGENT)))

    def test_for_whom_nothing_is_stopped(self):
        """Stops must not be made for what cannot use them."""
        for name, options in (
            ('large', URGENT | {'cpu': 5000}),
            ('elsewhere', URGENT | {'avoid_workers': ('w1',)}),
            ('gang', URGENT | {'gang': True}),
            ('unparked', URGENT | {'park_s': 0}),
            ('normal', URGENT | {'priority': 'normal'}),
        ):
            asked = self.rig.ask(name, **options)
            self.assertEqual([], stopped(asked), name)

    def test_rates(self):
        """A burst of urgent work must not clear a worker, or the cell."""
        self.assertEqual(1, len(stopped(self.rig.ask('u1', **URGENT))))
        self.assertEqual([], stopped(self.rig.ask('u2', **URGENT)))
        self.begin(cell_burst=2, cell_rate=0)
        self.assertEqual(1, len(stopped(self.rig.ask('u1', **URGENT))))
        self.rig.pass_time(1)
        self.assertEqual([], stopped(self.rig.ask('u2', **URGENT)))
        self.begin(enabled=False)
        self.assertEqual([], stopped(self.rig.ask('u1', **URGENT)))

    def test_share_is_restored_with_patience(self):
        """A team must get its portion, but only from those above theirs."""
        self.assertEqual([], self.ask_in_vain('poor', 2))
        self.assertEqual(['r3.0.1-1'], self.ask_in_vain('poor', 0.5))

    def test_shares_that_are_close_enough(self):
        """Small differences, and teams in need, must not cause stops."""
        self.rig.usage.shares_by_team = {'rich': 0.35, 'poor': 0.31, 'c': 0.34}
        self.assertEqual([], self.ask_in_vain('poor', 4))
        self.rig.usage.shares_by_team = {'rich': 0.3, 'fair': 0.3, 'poor': 0.0}
        self.assertEqual([], self.ask_in_vain('poor', 4))

    def test_unknown_policy_is_noted_once(self):
        """Operators must hear that their policy is not in force."""
        self.rig.policies.in_force = Preset('ordinary', placement='worst_fit')
        self.rig.ask('a')
        self.rig.ask('b')
        placements = [note.fields['placement'] for note in self.rig.log_events]
        self.assertEqual(['worst_fit'], placements)
