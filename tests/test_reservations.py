"""Tests for grants, parking, holds and refusals of the reservation desk."""

from testtools import TestCase

from apricotlead.protocol.config import Preset
from apricotlead.protocol.peers import (
    CapacityGranted,
    ReleaseGrants,
)
from apricotlead.protocol.signals import PeersChanged, WorkerDropped
from tests.capacity_rig import CapacityRig

PARK_S = 0.3


def summarise(messages):
    """Return request ids and attempt counts, negative if refused."""
    return [
        (message.request_id, len(message.grants))
        if isinstance(message, CapacityGranted)
        else (message.request_id, -len(message.attempt_ids))
        for message in messages
    ]


class TestReservationDesk(TestCase):
    """Guards against capacity granted twice or to the wrong request."""

    def setUp(self):
        """Own one worker with four cores."""
        super().setUp()
        self.rig = CapacityRig()
        self.rig.own_worker('w1', cpu=4000)

    def ask(self, *arguments, **options):
        """Return the summary of the answers."""
        return summarise(self.rig.ask(*arguments, **options))

    def release(self, *attempt_ids):
        """Release grants; return the answers to other requests."""
        return summarise(self.rig.send(ReleaseGrants(attempt_ids)))

    def tick(self, seconds):
        """Let time pass; return the answers."""
        return summarise(self.rig.pass_time(seconds))

    def test_repeated_request_gets_the_same_answer(self):
        """A duplicate must not be granted twice, nor renew ended grants."""
        first = self.rig.ask('r', cpu=1000, tasks=5)
        self.assertEqual([('r', 4), ('r', -1)], summarise(first))
        self.assertEqual(first, self.rig.ask('r', cpu=1000, tasks=5))
        self.release('r.0.1-1')
        repeated_answer = self.ask('r', cpu=1000, tasks=5)
        self.assertEqual([('r', 3), ('r', -1)], repeated_answer)
        self.tick(6)
        self.assertEqual([('r', -5)], self.ask('r', cpu=1000, tasks=5))
        self.assertEqual(1000, self.rig.ledger.free_of('w1').cpu_millis)

    def test_requests_that_are_refused_at_once(self):
        """Malformed, from a lost home, or without a valid lease."""
        self.assertEqual([('a', -1)], self.ask('a', cpu=-1, park_s=1))
        self.assertEqual([], self.ask('b', home='gone'))
        self.assertEqual([('c', -1)], self.ask('c', avoid_workers=('w1',)))
        self.rig.view.lease_end_s = self.rig.now
        self.assertEqual([('d', -1)], self.ask('d', park_s=1))
        self.rig.view.lease_end_s = self.rig.now + 0.1
        self.assertEqual([('e', -1)], self.ask('e'), 'too late for a start')
        self.assertEqual(4000, self.rig.ledger.free_of('w1').cpu_millis)

    def test_not_after_is_in_the_worker_clock(self):
        """Grants end with the lease or after their maximum validity."""
        self.rig.view.lease_end_s = self.rig.now + 1
        self.assertEqual(0.98, self.rig.ask('a')[0].grants[0].not_after_s)
        self.rig.now += 0.5
        self.rig.view.lease_end_s = self.rig.now + 4
        end_s = self.rig.ask('b')[0].grants[0].not_after_s
        self.assertAlmostEqual(2.5 * 0.98, end_s)

    def test_gang_gets_all_or_nothing(self):
        """Part of a gang gets capacity only if other owners are asked too."""
        self.rig.own_worker('w2', cpu=4000)
        cases = (('a', 3, 2500, -3), ('b', 4, 2000, 4))
        for name, tasks, cpu, expected in cases:
            answer = self.ask(name, cpu, tasks=tasks, gang=True)
            self.assertEqual([(name, expected)], answer)
        self.release(*(f'b.{task}.1-1' for task in range(4)))
        answer = self.ask('c', 3000, tasks=3, gang=True, partial=True)
        self.assertEqual([('c', 2), ('c', -1)], answer)

    def test_parked_requests_are_served_in_order(self):
        """The order is urgent, gang, batch, then by lower team share."""
        self.ask('r', cpu=4000)
        self.rig.usage.shares_by_team = {'rich': 0.5, 'poor': 0.1}
        for name, options in (
            ('batch-rich', {'team': 'rich'}),
            ('batch-poor', {'team': 'poor'}),
            ('gang', {'team': 'rich', 'gang': True}),
            ('urgent', {'team': 'rich', 'priority': 'urgent'}),
        ):
            parked = self.ask(name, cpu=1300, park_s=PARK_S, **options)
            self.assertEqual([], parked)
        answers = self.release('r.0.1-1')
        self.assertEqual(
            [('urgent', 1), ('gang', 1), ('batch-poor', 1)], answers
        )
        self.assertEqual([], self.tick(PARK_S / 2))
        self.assertEqual([('batch-rich', -1)], self.tick(PARK_S))

    def test_freed_capacity_is_shared_between_teams(self):
        """One team must not get all of it before gossip reports its usage."""
        self.ask('r', cpu=4000)
        for name, team in (('a1', 'a'), ('a2', 'a'), ('b1', 'b')):
            self.ask(name, cpu=1300, park_s=PARK_S, team=team)
        answers = self.release('r.0.1-1')
        self.assertEqual([('a1', 1), ('b1', 1), ('a2', 1)], answers)

    def test_abandoned_parked_requests_get_nothing(self):
        """They were withdrawn, or their home is no longer live."""
        self.ask('r', cpu=4000)
        self.ask('a', park_s=PARK_S)
        self.ask('b', tasks=2, gang=True, park_s=PARK_S)
        self.release('a.0.1-1', 'b.1.1-1')
        self.assertEqual([], self.tick(PARK_S))
        self.ask('c', park_s=PARK_S)
        self.rig.view.peers_by_id.clear()
        self.rig.deliver(PeersChanged(()))
        self.assertEqual([], self.release('r.0.1-1'))
        self.assertEqual(4000, self.rig.ledger.free_of('w1').cpu_millis)

    def test_requests_parked_before_a_pause_are_refused(self):
        """A process that was paused for a minute has no valid lease."""
        self.ask('r', cpu=4000, tasks=2, park_s=PARK_S)
        self.rig.view.lease_end_s = self.rig.now + 4
        self.assertEqual([('r', -1)], self.tick(60))
        self.assertEqual([('s', -1)], self.ask('s', park_s=PARK_S))

    def test_reserve_is_for_gang_and_urgent_work(self):
        """Other work must leave the reserved fraction of the preset free."""
        self.rig.policies.in_force = Preset('peak', reserved_fraction=0.5)
        self.assertEqual([('a', -1)], self.ask('a', cpu=2001))
        self.assertEqual([('b', 1)], self.ask('b', cpu=2000))
        self.assertEqual([('c', -1)], self.ask('c', cpu=1))
        self.assertEqual([('d', 1)], self.ask('d', cpu=1000, gang=True))
        urgent = self.ask('e', cpu=1000, priority='urgent')
        self.assertEqual([('e', 1)], urgent)

    def request_gang_twice(self, name, **demand):
        """Request a gang that does not fit, and again after its patience."""
        self.assertIn(name, dict(self.ask(name, gang=True, **demand)))
        self.tick(2)
        self.ask(name, gang=True, at='2', **demand)
        self.tick(0.2)

    def test_small_tasks_do_not_starve_a_gang(self):
        """Freed capacity accumulates for a gang that has waited."""
        self.ask('s1', cpu=2000)
        self.ask('s2', cpu=2000)
        self.rig.own_worker('w2', cpu=1000)
        self.request_gang_twice('g', cpu=4000)
        self.release('s1.0.1-1')
        self.tick(0.2)
        self.assertEqual([('s3', -1)], self.ask('s3', cpu=2000))
        self.assertEqual([('s4', 1)], self.ask('s4', cpu=1000), 'not held')
        urgent = self.ask('u', cpu=100, priority='urgent')
        self.assertEqual([('u', 1)], urgent)
        self.release('s2.0.1-1', 'u.0.1-1')
        parked = self.ask('g', cpu=4000, gang=True, park_s=PARK_S, at='3')
        self.assertEqual([], parked)
        self.assertEqual([('g/3', 1)], self.tick(0.2))

    def test_hold_ends_when_the_gang_stops_asking(self):
        """Held workers must not idle for a gang that was abandoned."""
        self.ask('s1', cpu=3000)
        self.request_gang_twice('g', cpu=4000)
        self.assertEqual([], self.ask('s2', park_s=PARK_S))
        self.assertEqual([('s2', -1)], self.tick(1))
        self.tick(6.7)
        self.assertEqual([], self.ask('s3', park_s=PARK_S))
        self.assertEqual([('s3', 1)], self.tick(0.2))

    def test_hold_moves_when_its_worker_is_dropped(self):
        """A gang must not wait for capacity of a lost worker."""
        self.rig.own_worker('w2', cpu=4000)
        self.ask('s', cpu=3000, tasks=2)
        self.request_gang_twice('g', cpu=4000)
        self.assertEqual(['w1'], self.rig.desk.dump(0)['held_workers'])
        self.rig.deliver(WorkerDropped('w1'))
        self.tick(0.2)
        self.assertEqual(['w2'], self.rig.desk.dump(0)['held_workers'])

    def test_no_hold_for_a_gang_that_cannot_use_it(self):
        """It is too large for all owned workers, or has capacity already."""
        self.ask('s1')
        self.request_gang_twice('g', cpu=3000, tasks=2)
        self.ask('once', cpu=4000, gang=True)
        for at in '12':
            self.ask('p', cpu=1000, gang=True, partial=True, at=at)
            self.tick(2)
        self.assertEqual([('s2', 1)], self.ask('s2'))
