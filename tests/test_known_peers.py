"""Which instances are asked in place of the store, and for how long."""

from testtools import TestCase

from apricotlead.coordination.cell.peer_ring import PeerRing
from apricotlead.state.known_peers import KnownPeers

ADDRESSES = [
    f'10.{zone}.0.{host}:7420' for zone in (1, 2, 3) for host in (1, 2)
]


class TestKnownPeers(TestCase):
    """Peers are remembered without a scheduler, but not for ever."""

    def setUp(self) -> None:
        super().setUp()
        self.peers = KnownPeers('own')
        self.peers.follow('scheduler', 10)
        self.peers.learn(('a', 'b'), 10)

    # Guards against calls to addresses that have long had no instance.
    def test_peers_are_forgotten(self) -> None:
        self.peers.lose_scheduler()
        self.assertEqual(['a', 'b', 'scheduler'], self.peers.addresses(19))
        self.assertEqual([], self.peers.addresses(21))

    # Guards against an instance that is turned away by the store for longer,
    # cannot find out who the next scheduler is, and forgets those that serve it.
    def test_peers_that_serve_are_not_forgotten(self) -> None:
        self.peers.lose_scheduler()
        self.peers.record_call('b', 18, is_served=True)
        self.assertEqual(['a', 'b'], self.peers.addresses(21))
        self.peers.record_call('scheduler', 21, is_served=True)
        self.assertEqual(['scheduler'], self.peers.addresses(29))

    # Guards against an answer of a scheduler of an older version, or of one
    # without other followers, that makes an instance forget those it knows.
    def test_status_without_peers(self) -> None:
        self.peers.learn((), 11)
        self.assertEqual(['a', 'scheduler', 'b'], self.peers.addresses(11))

    def test_peers_are_asked_for_again_when_old(self) -> None:
        self.assertFalse(self.peers.should_ask(11))
        self.assertTrue(self.peers.should_ask(12.5))

    # Guards against submissions that wait while nobody reaches the store:
    # they are refused at once if there is no peer.
    def test_failed_peers_are_left_out_without_a_scheduler(self) -> None:
        for address in ('a', 'b', 'scheduler'):
            self.peers.record_call(address, 12, is_served=False)
        self.assertEqual(['a', 'scheduler', 'b'], self.peers.addresses(12.1))
        self.peers.lose_scheduler()
        self.assertEqual([], self.peers.addresses(12.1))
        self.assertEqual(['a', 'b', 'scheduler'], self.peers.addresses(13))

    # Guards against an instance that asks itself.
    def test_own_address_is_no_peer(self) -> None:
        self.peers.learn(('own', 'c'), 11)
        self.assertEqual(['c', 'scheduler'], self.peers.addresses(11))


class TestPeerRing(TestCase):
    """Each instance has peers of its own."""

    # Guards against instances that all ask the same peer.
    def test_each_member_is_the_first_peer_of_one(self) -> None:
        ring = PeerRing(ADDRESSES)
        first = [ring.after(address, 1)[0] for address in ADDRESSES]
        self.assertEqual(sorted(ADDRESSES), sorted(first))

    def test_all_others_follow(self) -> None:
        ring = PeerRing(ADDRESSES)
        after = ring.after(ADDRESSES[0])
        self.assertEqual(sorted(ADDRESSES[1:]), sorted(after))
        self.assertEqual(after[:2], ring.after(ADDRESSES[0], 2))

    def test_address_that_is_no_member(self) -> None:
        self.assertEqual(6, len(PeerRing(ADDRESSES).after('10.9.0.1:7420')))
        self.assertEqual((), PeerRing().after('10.9.0.1:7420', 3))
