"""Tests for the distribution of worker ownership over sessions."""

from random import Random

import msgspec
from testtools import TestCase

from apricotlead.coordination.worker_ownership import (
    OwnershipSettings,
    WorkerOwnership,
)
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.rows import SessionRow, WorkerRow, worker_key
from apricotlead.protocol.signals import (
    PeerLapsed,
    PeersChanged,
    ReadRows,
    SessionLost,
    Shutdown,
    Transact,
    WorkerClaimed,
    WorkerDropped,
)
from apricotlead.protocol.table import Row
from apricotlead.state.cell_directory import CellDirectory
from apricotlead.state.session_view import PeerSession, SessionView
from tests.fakes import FakeInstance, FakeStore

OWN = 'own'
PEER = 'peer'
FOREVER_S = 1e6
SETTINGS = OwnershipSettings(
    workers_per_write=10,
    min_write_interval_s=0.5,
)


def workers(count, datacentre='a'):
    """Return workers in a data centre."""
    return tuple(
        Instance(f'{datacentre}{number}', 'worker', '127.0.0.1:1', datacentre)
        for number in range(count)
    )


class OwnershipCase(TestCase):
    """A worker ownership without workers, in the only live session."""

    settings = SETTINGS

    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.view = SessionView(OWN, 'a')
        self.view.lease_end_s = FOREVER_S
        self.directory = CellDirectory()
        self.ownership = WorkerOwnership.from_config(
            self.settings,
            self.view,
            self.directory,
            Random(1),
        )
        self.instance = FakeInstance(self.store, self.view, self.ownership)
        self.recorder = self.instance.recorder

    def begin(self, *instances, peer_datacentre=''):
        """Fill the directory and report the live sessions."""
        self.directory.replace(instances)
        self.set_peer(peer_datacentre)

    def set_peer(self, datacentre, now=0):
        """Report a live peer in a data centre, or none."""
        peer = PeerSession(PEER, '127.0.0.1:1', datacentre)
        self.view.peers_by_id = {PEER: peer} if datacentre else {}
        self.instance.deliver(PeersChanged(self.view.live_ids()), now)

    def put_owner(self, worker_id, owner, state=''):
        """Store a worker row and, given a state, the row of its owner."""
        key = worker_key(worker_id)
        row = msgspec.to_builtins(WorkerRow(owner, 7))
        self.store.rows_by_key[key] = Row(key, 300, row, 'of-a-peer')
        if state:
            session = SessionRow('entry', '127.0.0.1:1', 'a', 4, state=state)
            self.store.rows_by_key[f'session/{owner}'] = Row(
                f'session/{owner}',
                400,
                msgspec.to_builtins(session),
                'of-a-peer',
            )

    def claimed_ids(self):
        """Return the workers claimed since the last call."""
        taken = self.recorder.take(WorkerClaimed)
        return sorted(signal.worker_id for signal in taken)


class TestWorkerOwnership(OwnershipCase):
    """Guards against workers that two sessions own or none owns."""

    def test_no_claim_before_the_first_peer_list(self):
        """A starting session must not claim workers of unknown peers."""
        self.directory.replace(workers(3))
        self.instance.run(0, 5)
        self.assertEqual([], self.claimed_ids())

    def test_claims_are_bounded(self):
        """A restart of the whole cell does not overload the store."""
        self.begin(*workers(100))
        self.instance.run(0, 2)
        self.assertLessEqual(self.store.write_count, 5)
        self.instance.run(2, 10)
        self.assertEqual(100, len(self.claimed_ids()))
        self.assertEqual(10, self.store.write_count)

    def test_prefers_sessions_of_the_same_data_centre(self):
        """A remote session gets a worker only if no local one is live."""
        self.begin(*workers(4), *workers(4, 'b'), peer_datacentre='b')
        self.instance.run(0, 5)
        self.assertEqual(['a0', 'a1', 'a2', 'a3'], self.claimed_ids())
        self.set_peer('', now=5)
        self.instance.run(5, 10)
        self.assertEqual(['b0', 'b1', 'b2', 'b3'], self.claimed_ids())

    def test_claim_depends_on_the_state_of_the_owner(self):
        """Only workers without an owner or of a lapsed one can be claimed."""
        cases = (
            ('', '', None, True),
            ('x', 'adopted', 400, True),
            ('x', 'adopted', None, True),
            ('x', '', None, True),
            ('x', 'live', None, False),
            ('x', 'live', 399, False),
            ('x', 'leaving', 0, False),
        )
        for number, (owner, state, reported, expected) in enumerate(cases):
            worker = Instance(f'w{number}', 'worker', '127.0.0.1:1', 'a')
            owner_id = owner and f'{owner}{number}'
            self.put_owner(worker.instance_id, owner_id, state)
            self.begin(worker)
            if reported is not None:
                self.instance.deliver(PeerLapsed(owner_id, reported), 0)
            self.instance.run(number * 10, number * 10 + 9)
            was_claimed = bool(self.claimed_ids())
            self.assertEqual(
                (cases[number], expected), (cases[number], was_claimed)
            )

    def test_late_claim_refusal_does_not_replace_a_newer_report(self):
        """The reply to an older claim arrives after the peer was adopted."""
        self.put_owner('a0', 'x', 'live')
        self.begin(*workers(1))
        self.instance.held_types = (Transact,)
        self.instance.run(0, 1)
        self.instance.release(1)
        self.put_owner('a0', 'x', 'adopted')
        self.instance.deliver(PeerLapsed('x', 400), 1)
        self.instance.deliver(PeerLapsed('x', 0), 1)
        self.instance.run(1, 5)
        self.assertEqual(['a0'], self.claimed_ids())

    def test_no_claim_without_a_valid_lease(self):
        """A claim is not sent, and a late success is not announced."""
        self.view.lease_end_s = 2
        self.begin(*workers(1))
        self.instance.held_types = (Transact,)
        self.instance.run(0, 1)
        self.assertEqual(1, len(self.instance.held_effects))
        self.instance.release(3)
        self.instance.run(3, 5)
        self.assertEqual([], self.claimed_ids())
        self.view.lease_end_s = FOREVER_S
        self.instance.run(5, 6)
        self.assertEqual(['a0'], self.claimed_ids())

    def test_rebalancing_drops_before_it_releases(self):
        """The row is released after the drop, and keeps its epoch."""
        self.begin(*workers(1))
        self.instance.run(0, 2)
        self.directory.replace(())
        self.instance.run(2, 2.2)
        self.assertEqual(
            [WorkerDropped('a0')],
            self.recorder.take(WorkerDropped),
        )
        self.assertEqual(OWN, self.store.value(worker_key('a0'))['owner'])
        self.instance.run(2.2, 4)
        self.assertEqual(
            {'owner': '', 'epoch': 1},
            self.store.value(worker_key('a0')),
        )

    def test_planned_stop_also_releases_a_late_claim(self):
        """A claim that succeeds after the stop is released, not announced."""
        self.begin(*workers(1))
        self.instance.held_types = (Transact,)
        self.instance.run(0, 1)
        self.instance.deliver(Shutdown(), 1)
        self.assertFalse(self.ownership.is_drained())
        self.instance.release(1)
        self.instance.run(1, 3)
        self.assertEqual([], self.claimed_ids())
        self.assertEqual('', self.store.value(worker_key('a0'))['owner'])
        self.assertTrue(self.ownership.is_drained())

    def test_lost_session_drops_all_workers_and_ignores_late_replies(self):
        """A claim in flight when the session is lost adds no owned worker."""
        self.begin(*workers(11))
        self.instance.run(0, 0.3)
        self.instance.held_types = (Transact,)
        self.instance.run(0.3, 1)
        self.view.session_id = 'next'
        self.instance.deliver(SessionLost(OWN), 1)
        dropped = self.recorder.take(WorkerDropped)
        self.assertEqual(len(self.claimed_ids()), len(dropped))
        self.view.lease_end_s = 1
        self.instance.release(1)
        self.instance.run(1, 2)
        self.assertEqual({}, self.ownership.dump(2)['owned'])

    def test_reads_do_not_accumulate_in_an_outage(self):
        """One round of reads is in flight at a time."""
        self.begin(*workers(1))
        self.instance.held_types = (ReadRows,)
        self.instance.run(0, 6)
        self.assertLessEqual(len(self.instance.held_effects), 3)


class TestRebalancingInSteps(OwnershipCase):
    """Guards against a change that blocks the event loop or is lost."""

    settings = msgspec.structs.replace(SETTINGS, hashes_per_tick=2)

    def test_frequent_changes_do_not_starve_workers(self):
        """Each step is bounded, and every worker is examined eventually."""
        self.begin(*workers(30))
        self.instance.run(0, 0.5)
        self.assertLess(self.ownership.dump(0)['wanted'], 15)
        for number in range(1, 30):
            self.set_peer('b' if number % 2 else '', now=number / 10)
        self.assertEqual(30, self.ownership.dump(3)['wanted'])
        self.instance.run(3, 9)
        self.assertEqual(30, len(self.claimed_ids()))
        self.set_peer('a', now=9)
        self.instance.run(9, 15)
        self.assertTrue(0 < len(self.ownership.dump(15)['owned']) < 30)
