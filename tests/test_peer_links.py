"""Messages between entry instances survive their encoding."""

import zlib

import msgspec
from testtools import TestCase

from apricotlead.protocol.peers import Envelope, Gossip, SessionLoad, TeamLoad
from apricotlead.protocol.resources import Resources
from apricotlead.transport.peer_links import decode_envelope, encode_envelope


class TestEnvelopes(TestCase):
    """Short and long messages."""

    def test_long_gossip_is_compressed_and_read_back(self):
        """Guards against gossip that grows with the length of team names."""
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

    def test_damaged_messages_have_a_typed_error(self):
        """Guards against a damaged message that ends the receiving loop."""
        errors = (msgspec.MsgspecError, zlib.error)
        for received in (b'', b'x', b'\x78\x01broken', zlib.compress(b'x')):
            self.assertRaises(errors, decode_envelope, received)
