"""Tests for the lease of the own session and the observation of peers."""

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


def make_instance(store, seed):
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
    """Guards against using an expired lease and losing a valid one."""

    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.instance = make_instance(self.store, 1)
        self.view = self.instance.view
        self.instance.deliver(Tick(), 0)
        self.first_id = self.view.session_id

    def state(self):
        """Return the state in the own row."""
        return read_session(self.store.row(session_key(self.first_id))).state

    def mark_own_row_adopted(self):
        """Mark the own row adopted as a peer would."""
        key = session_key(self.first_id)
        row = self.store.row(key)
        value = {**row.value, 'state': 'adopted'}
        self.store.rows_by_key[key] = msgspec.structs.replace(
            row,
            value=value,
            version=row.version + 100,
            op_id='peer',
        )

    def test_lease_counts_from_the_send_time(self):
        """A slow reply does not extend the lease."""
        self.instance.held_types = (Transact,)
        self.instance.deliver(Tick(), 1)
        self.instance.release(3)
        self.assertTrue(self.view.is_valid(4.9))
        self.assertFalse(self.view.is_valid(5))

    def test_outage_ends_the_lease_but_not_the_session(self):
        """The session continues if its row is unchanged after the outage."""
        self.store.is_down = True
        self.instance.run(0, 60)
        self.assertFalse(self.view.is_valid(60))
        self.store.is_down = False
        self.instance.run(60, 61)
        self.assertTrue(self.view.is_valid(61))
        self.assertEqual([], self.instance.recorder.take(SessionLost))
        self.assertEqual(self.first_id, self.view.session_id)

    def test_session_adopted_during_a_pause_is_replaced(self):
        """The row shows the adoption, and a new session is opened."""
        self.mark_own_row_adopted()
        self.instance.run(60, 61)
        self.assertEqual(
            [SessionLost(self.first_id)],
            self.instance.recorder.take(SessionLost),
        )
        self.assertNotEqual(self.first_id, self.view.session_id)
        self.assertTrue(self.view.is_valid(61))
        opened = self.instance.recorder.take(SessionOpened)
        self.assertEqual(self.view.session_id, opened[-1].session_id)

    def test_planned_stop_marks_the_row_and_continues_to_renew(self):
        """The lease must stay valid until everything is handed over."""
        self.instance.deliver(Shutdown(), 1)
        self.assertEqual('leaving', self.state())
        self.instance.run(1, 20)
        self.assertTrue(self.view.is_valid(20))

    def test_stopping_process_opens_no_new_session(self):
        """Its session was adopted while it was leaving."""
        self.instance.deliver(Shutdown(), 1)
        self.mark_own_row_adopted()
        self.instance.run(1, 20)
        self.assertFalse(self.view.is_valid(20))
        self.assertEqual(1, len(self.store.keys('session/')))


class TestPeers(TestCase):
    """Guards against lapsed peers that are missed and live ones adopted."""

    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.first_instance = make_instance(self.store, 1)
        self.second_instance = make_instance(self.store, 2)
        self.view = self.first_instance.view
        self.run_both(0, 2)
        self.peer_id = self.second_instance.view.session_id

    def run_both(self, begin_s, end_s):
        """Let time pass for both instances."""
        for number in range(round(begin_s * 10), round(end_s * 10)):
            self.second_instance.deliver(Tick(), number / 10)
            self.first_instance.deliver(Tick(), number / 10)

    def test_dead_peer_is_marked_before_it_is_reported(self):
        """Once reported, the peer can no longer renew its session."""
        self.assertIn(self.peer_id, self.view.peers_by_id)
        self.first_instance.run(2, 12)
        row = self.store.row(session_key(self.peer_id))
        self.assertEqual('adopted', read_session(row).state)
        self.assertEqual(
            [PeerLapsed(self.peer_id, row.version)],
            self.first_instance.recorder.take(PeerLapsed),
        )
        self.assertEqual({}, self.view.peers_by_id)

    def test_end_of_an_outage_causes_no_adoption(self):
        """The time of failed reads does not count as observed."""
        self.store.is_down = True
        self.run_both(2, 30)
        self.store.is_down = False
        self.run_both(30, 40)
        self.assertEqual([], self.first_instance.recorder.take(PeerLapsed))
        self.assertIn(self.peer_id, self.view.peers_by_id)

    def test_no_peer_is_marked_without_a_valid_lease(self):
        """A session with an expired lease writes only its own row."""
        self.first_instance.held_types = (Transact,)
        self.first_instance.run(2, 30)
        checked_keys = {
            check.key
            for effect in self.first_instance.held_effects
            for check in effect.transaction.checks
        }
        self.assertEqual({session_key(self.view.session_id)}, checked_keys)
        self.assertEqual({}, self.view.peers_by_id)

    def test_leaving_peer_is_reported_as_holding_its_rows(self):
        """It gets no new work and releases its rows itself."""
        self.first_instance.recorder.take(PeersChanged)
        self.second_instance.deliver(Shutdown(), 2)
        self.run_both(2, 4)
        self.assertEqual(
            [PeerLapsed(self.peer_id, 0)],
            self.first_instance.recorder.take(PeerLapsed),
        )
        self.assertEqual(
            1, len(self.first_instance.recorder.take(PeersChanged))
        )

    def test_adopted_row_is_deleted_eventually(self):
        """Rows of past sessions do not accumulate."""
        self.first_instance.run(2, 3700, step_s=0.5)
        self.assertEqual(
            [session_key(self.view.session_id)],
            self.store.keys('session/'),
        )
