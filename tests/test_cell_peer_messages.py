"""Messages between entry instances of the same and of other versions."""

from typing import Any

import msgspec
from msgspec import Struct
from testtools import TestCase

from apricotlead.protocol.cell_peers import (
    FollowerCall,
    RelayedCall,
    SchedulerStatus,
)
from apricotlead.protocol.table import Rows
from apricotlead.transport.cell_peers import PeerClient
from apricotlead.transport.http_pool import Answered, HttpCall

PEERS = tuple(f'10.{zone}.0.17:7420' for zone in range(1, 4))


class RecordingPool:
    """Answers each call with the same body, and records the calls."""

    def __init__(self, body: Any) -> None:
        self.body = msgspec.json.encode(body)
        self.calls: list[HttpCall] = []

    def call(self, request: HttpCall) -> Answered:
        self.calls.append(request)
        return Answered(200, self.body, {})


class FormerStatus(Struct, frozen=True, omit_defaults=True):
    """The status before it named other followers."""

    epoch: int = 0
    is_active: bool = False


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


class TestVersions(TestCase):
    """Instances of two versions understand each other during an update."""

    # Guards against followers that lose a scheduler of another version.
    def test_statuses_of_two_versions(self) -> None:
        status = SchedulerStatus(3, is_active=True, peers=PEERS)
        former = msgspec.json.decode(
            msgspec.json.encode(status), type=FormerStatus
        )
        self.assertEqual(FormerStatus(3, is_active=True), former)
        client = PeerClient(RecordingPool(FormerStatus(3, is_active=True)))
        watched = client.watch('peer', FollowerCall('own', 1), 1)
        self.assertEqual(SchedulerStatus(3, is_active=True), watched)

    # Guards against a status that grows with the number of instances; it is
    # sent to each of 300 about once a second, on links of 10 Mbit/s.
    def test_size_of_the_named_peers(self) -> None:
        status = SchedulerStatus(3, is_active=True)
        named = SchedulerStatus(3, is_active=True, peers=PEERS)
        plain_bytes = len(msgspec.json.encode(status))
        self.assertLessEqual(len(msgspec.json.encode(named)) - plain_bytes, 70)
        call = FollowerCall('own', 1)
        asking = FollowerCall('own', 1, asks_peers=True)
        self.assertLessEqual(
            len(msgspec.json.encode(asking)) - len(msgspec.json.encode(call)),
            20,
        )
