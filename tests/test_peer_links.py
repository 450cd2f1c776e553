"""Peer links carry envelopes and survive malformed messages."""

import zlib

import eventlet
import msgspec
import pynng
from testtools import TestCase

from apricotlead.protocol.peers import (
    AskJob,
    Envelope,
    Gossip,
    ReleaseGrants,
    SessionLoad,
    TeamLoad,
)
from apricotlead.protocol.resources import Resources
from apricotlead.transport.peer_links import (
    PeerLinks,
    decode_envelope,
    encode_envelope,
)

LOOPBACK = '127.0.0.1:0'
MAX_POLLS = 500
POLL_S = 0.01


class TestPeerLinks(TestCase):
    """Guards against a loop that stops due to one faulty or slow peer."""

    def setUp(self):
        """Listen as one instance, send as another."""
        super().setUp()
        self.received = []
        self.receiver = PeerLinks(lambda: 'receiver', self.received.append)
        self.address = self.receiver.listen(LOOPBACK)
        self.sender = PeerLinks(lambda: 'sender', self.received.append)
        self.addCleanup(self.receiver.close)
        self.addCleanup(self.sender.close)

    def wait_for(self, condition):
        """Let other green threads run until the condition holds."""
        for _ in range(MAX_POLLS):
            if condition():
                return
            eventlet.sleep(POLL_S)
        raise AssertionError('the condition never held')

    def test_messages_arrive_as_they_were_sent(self):
        """Each message carries the sender's session."""
        messages = (
            Gossip('sender', config_version=3),
            AskJob('1', 'sender', 'j.1', 'courts', cancel=True),
            ReleaseGrants(('a', 'b')),
        )
        for message in messages:
            self.sender.send(self.address, message)
        self.wait_for(lambda: len(self.received) == len(messages))
        self.assertEqual(
            [('sender', sent) for sent in messages],
            [(one.sender, one.message) for one in self.received],
        )

    def test_malformed_bytes_are_counted_and_dropped(self):
        """Later messages still arrive."""
        with pynng.Push0(dial=f'tcp://{self.address}') as socket:
            socket.send(b'not an envelope')
            self.wait_for(lambda: self.receiver.malformed_count)
        self.sender.send(self.address, ReleaseGrants(('a',)))
        self.wait_for(lambda: self.received)

    def test_send_to_an_absent_peer_does_not_block(self):
        """Messages that exceed the queue are dropped and counted."""
        for _ in range(2000):
            self.sender.send('127.0.0.1:1', ReleaseGrants(('a',)))
        self.assertNotEqual(0, self.sender.dropped_count)


class TestEnvelopes(TestCase):
    """Encoding of short and long messages."""

    def test_long_gossip_is_compressed_and_read_back(self):
        """Guards against gossip whose size grows with long team names."""
        loads = {
            f'organisation-team-{n}': TeamLoad(Resources(n)) for n in range(61)
        }
        for teams in ({}, loads):
            load = SessionLoad('s', 1, loads_by_team=teams)
            envelope = Envelope('s', Gossip('s', (load,)))
            encoded = encode_envelope(envelope)
            self.assertEqual(envelope, decode_envelope(encoded))
        plain = len(msgspec.msgpack.encode(envelope))
        self.assertLess(len(encoded), plain / 3)

    def test_damaged_messages_raise_expected_errors(self):
        """Guards against a damaged message that ends the receiving loop."""
        errors = (msgspec.MsgspecError, zlib.error)
        for received in (b'', b'x', b'\x78\x01broken', zlib.compress(b'x')):
            self.assertRaises(errors, decode_envelope, received)
