"""The own session is valid only while nobody can have adopted it."""

from random import Random

import msgspec
from testtools import TestCase

from apricotlead.coordination.sessions import SessionKeeper, SessionSettings
from apricotlead.protocol.rows import read_session, session_key
from apricotlead.protocol.signals import (
    PeerLapsed,
    PeersChanged,
    SessionLost,
    SessionOpened,
    Shutdown,
    Tick,
    Transact,
)
from apricotlead.state.session_view import SessionView
from tests.fakes import FakeInstance, FakeStore


def make_session(store, seed):
    """Return an instance with a session keeper."""
    view = SessionView('', 'a')
    keeper = SessionKeeper.from_config(
        SessionSettings(),
        view,
        Random(seed),
        f'entry-{seed}',
        f'127.0.0.1:{seed}',
    )
    return FakeInstance(store, view, keeper)


class TestOwnSession(TestCase):
    """Guards against acting on a lease that is over, and losing one early."""

    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.instance = make_session(self.store, 1)
        self.view = self.instance.view
        self.instance.deliver(Tick(), 0)
        self.first_id = self.view.session_id

    def state(self):
        """Return the state in the own row."""
        return read_session(self.store.row(session_key(self.first_id))).state

    def adopt(self):
        """Mark the own row adopted, as a peer does."""
        key = session_key(self.first_id)
        row = self.store.row(key)
        value = {**row.value, 'state': 'adopted'}
        self.store.rows_by_key[key] = msgspec.structs.replace(
            row,
            value=value,
            version=row.version + 100,
            op_id='peer',
        )

    def test_lease_counts_from_the_sending(self):
        """A slow answer does not lengthen the lease."""
        self.instance.held_types = (Transact,)
        self.instance.deliver(Tick(), 1)
        self.instance.release(3)
        self.assertTrue(self.view.is_valid(4.9))
        self.assertFalse(self.view.is_valid(5))

    def test_outage_ends_the_lease_but_not_the_session(self):
        """The session goes on when the store returns unchanged."""
        self.store.is_down = True
        self.instance.run(0, 60)
        self.assertFalse(self.view.is_valid(60))
        self.store.is_down = False
        self.instance.run(60, 61)
        self.assertTrue(self.view.is_valid(61))
        self.assertEqual([], self.instance.recorder.take(SessionLost))
        self.assertEqual(self.first_id, self.view.session_id)

    def test_adopted_while_paused(self):
        """After a pause the row tells; a fresh session is opened."""
        self.adopt()
        self.instance.run(60, 61)
        self.assertEqual(
            [SessionLost(self.first_id)],
            self.instance.recorder.take(SessionLost),
        )
        self.assertNotEqual(self.first_id, self.view.session_id)
        self.assertTrue(self.view.is_valid(61))
        opened = self.instance.recorder.take(SessionOpened)
        self.assertEqual(self.view.session_id, opened[-1].session_id)

    def test_planned_stop_marks_the_row_and_goes_on_renewing(self):
        """The lease must last until everything has been handed over."""
        self.instance.deliver(Shutdown(), 1)
        self.assertEqual('leaving', self.state())
        self.instance.run(1, 20)
        self.assertTrue(self.view.is_valid(20))

    def test_stop_of_an_adopted_session_opens_no_other(self):
        """A process that leaves takes no new work."""
        self.instance.deliver(Shutdown(), 1)
        self.adopt()
        self.instance.run(1, 20)
        self.assertFalse(self.view.is_valid(20))
        self.assertEqual(1, len(self.store.keys('session/')))


class TestPeers(TestCase):
    """Guards against peers that are missed, or adopted while they live."""

    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.one = make_session(self.store, 1)
        self.two = make_session(self.store, 2)
        self.view = self.one.view
        self.run_both(0, 2)
        self.other_id = self.two.view.session_id

    def run_both(self, begin_s, end_s):
        """Let time pass for both."""
        for number in range(round(begin_s * 10), round(end_s * 10)):
            self.two.deliver(Tick(), number / 10)
            self.one.deliver(Tick(), number / 10)

    def test_dead_peer_is_marked_before_it_is_reported(self):
        """From the report on, it cannot renew."""
        self.assertIn(self.other_id, self.view.peers_by_id)
        self.one.run(2, 12)
        row = self.store.row(session_key(self.other_id))
        self.assertEqual('adopted', read_session(row).state)
        self.assertEqual(
            [PeerLapsed(self.other_id, row.version)],
            self.one.recorder.take(PeerLapsed),
        )
        self.assertEqual({}, self.view.peers_by_id)

    def test_outage_causes_no_adoption_when_it_ends(self):
        """The time of failed reads does not count."""
        self.store.is_down = True
        self.run_both(2, 30)
        self.store.is_down = False
        self.run_both(30, 40)
        self.assertEqual([], self.one.recorder.take(PeerLapsed))
        self.assertIn(self.other_id, self.view.peers_by_id)

    def test_invalid_lease_marks_nobody(self):
        """A session whose own lease is over judges nobody."""
        self.one.held_types = (Transact,)
        self.one.run(2, 30)
        checked_keys = {
            check.key
            for effect in self.one.held_effects
            for check in effect.transaction.checks
        }
        self.assertEqual({session_key(self.view.session_id)}, checked_keys)
        self.assertEqual({}, self.view.peers_by_id)

    def test_leaving_peer_is_reported_as_holding_its_rows(self):
        """It is no peer for new work, and releases by itself."""
        self.one.recorder.take(PeersChanged)
        self.two.deliver(Shutdown(), 2)
        self.run_both(2, 4)
        self.assertEqual(
            [PeerLapsed(self.other_id, 0)],
            self.one.recorder.take(PeerLapsed),
        )
        self.assertEqual(1, len(self.one.recorder.take(PeersChanged)))

    def test_adopted_row_is_deleted_in_the_end(self):
        """Rows of past sessions do not pile up."""
        self.one.run(2, 3700, step_s=0.5)
        self.assertEqual(
            [session_key(self.view.session_id)],
            self.store.keys('session/'),
        )
