"""Messages between entry instances of the same and of other versions."""

from typing import Any

import msgspec
from testtools import TestCase

from apricotlead.protocol.cell_peers import RelayedCall
from apricotlead.protocol.table import Rows
from apricotlead.transport.cell_peers import PeerClient
from apricotlead.transport.http_pool import Answered, HttpCall


class RecordingPool:
    """Answers each call with the same body, and records the calls."""

    def __init__(self, body: Any) -> None:
        self.body = msgspec.json.encode(body)
        self.calls: list[HttpCall] = []

    def call(self, request: HttpCall) -> Answered:
        self.calls.append(request)
        return Answered(200, self.body, {})


class TestRelayedCalls(TestCase):
    """A peer is told how long the asking instance waits."""

    # Guards against a peer that still calls the store when nobody waits for
    # its answer any more.
    def test_timeout_is_sent_along(self) -> None:
        pool = RecordingPool(Rows((), 1, 100))
        client = PeerClient(pool)
        client.relay('peer', RelayedCall(key='jobs/0/a'), 0.45678)
        sent = msgspec.json.decode(pool.calls[0].body, type=RelayedCall)
        self.assertEqual(RelayedCall(key='jobs/0/a', timeout_s=0.457), sent)
        self.assertEqual(0.45678, pool.calls[0].timeout_s)
