"""Kept connections that go silent: no reset, and no answer any more.

A stateful device between two machines that forgets idle connections does that.
New connections work all the while.
"""

import random
from typing import Any

import eventlet
from eventlet import GreenPile
from testtools import TestCase

from apricotlead.cell_entry import config_follower
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.platform.store import PlatformStore
from apricotlead.protocol.cell_jobs import JobReport, JobState
from apricotlead.protocol.cell_peers import RelayedCall
from apricotlead.protocol.outcomes import Done
from apricotlead.protocol.table import StoreFailed
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_peers import PeerApplication, PeerClient
from apricotlead.transport.http_pool import HttpPool
from tests.virtual_clock import virtual_clock
from tests.virtual_network import StoreHost, VirtualNetwork, wsgi_host
from tests.virtual_store import (
    JOB_KEY,
    PROGRESS_KEY,
    QUEUED,
    RUNNING,
    VirtualInstance,
)

STORE_ADDRESS = '10.0.0.1:80'
# As an instance keeps.
IDLE_STORE_CONNECTIONS = 16
IDLE_PEER_CONNECTIONS = 4
WAIT_S = 3.0
SHORT_WAIT_S = 0.85
# How long keys are accepted without a confirmed configuration.
VIEW_BOUND_S = 4.5
CONFIG_KEY = 'op//config'
JOB_IDS = [str(number).zfill(16) for number in range(40)]


class NetworkPeers:
    """Other instances, reached through the network."""

    def __init__(self, addresses: list[str]) -> None:
        """Know the instances at ``addresses``."""
        self._addresses = addresses
        self._client = PeerClient(HttpPool(idle_per_host=IDLE_PEER_CONNECTIONS))

    def addresses(self) -> list[str]:
        """Return the instances, the preferred one first."""
        return self._addresses

    def relay(self, address: str, call: RelayedCall, timeout_s: float) -> Any:
        """Make a call through an instance."""
        return self._client.relay(address, call, timeout_s)


class NetworkedInstance(VirtualInstance):
    """An instance with connections to the store and to its peers."""

    def __init__(
        self, network: VirtualNetwork, address: str, peer_addresses: list[str]
    ) -> None:
        """Serve peers at ``address``, and ask those at ``peer_addresses``."""
        self.store = PlatformStore(
            HttpPool(idle_per_host=IDLE_STORE_CONNECTIONS), STORE_ADDRESS
        )
        self.peers = NetworkPeers(peer_addresses)
        super().__init__(self.store, self.peers)
        network.hosts_by_address[address] = wsgi_host(
            PeerApplication(
                lambda call: None,
                lambda row: False,
                self.relay.serve,
                lambda question: None,
                lambda kind, **fields: None,
            )
        )

    def open_connections(self) -> None:
        """Open as many connections as the instance keeps."""
        pile = GreenPile()
        for _ in range(IDLE_STORE_CONNECTIONS):
            pile.spawn(self.store.read_row, JOB_KEY)
        call = RelayedCall(key=JOB_KEY)
        for address in self.peers.addresses():
            for _ in range(IDLE_PEER_CONNECTIONS):
                pile.spawn(self.peers.relay, address, call, 0.5)
        list(pile)


class SilentNetworkCase(TestCase):
    """A cell in virtual time whose connections go silent."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = self.enterContext(virtual_clock())
        random.seed(1)
        self.network = VirtualNetwork()
        self.network.join(self)
        self.store_host = StoreHost(
            {
                JOB_KEY: QUEUED,
                PROGRESS_KEY: RUNNING,
                CONFIG_KEY: {},
                **{f'{PROGRESS_PREFIX}{each}': RUNNING for each in JOB_IDS},
            }
        )
        self.network.hosts_by_address[STORE_ADDRESS] = self.store_host

    def start(self, count: int) -> list[NetworkedInstance]:
        """Return instances that keep connections to the store and each other."""
        addresses = [f'10.1.0.{number}:7420' for number in range(count)]
        instances = [
            NetworkedInstance(
                self.network,
                own,
                [address for address in addresses if address != own],
            )
            for own in addresses
        ]
        for instance in instances:
            instance.open_connections()
        return instances

    def assert_state(self, answer: tuple[Any, float], wait_s: float) -> None:
        outcome, took_s = answer
        self.assertEqual(Done(JobReport(JobState.RUNNING)), outcome)
        self.assertLess(took_s, wait_s)


class TestStatesOnSilentConnections(SilentNetworkCase):
    """A state is answered in time though all kept connections are silent."""

    # Guards against a question that waits for one silent connection after
    # another, while a new one would be answered at once.
    def test_one_question(self) -> None:
        for count in (1, 2, 5):
            instance = self.start(count)[0]
            self.network.silence()
            self.assert_state(instance.status(WAIT_S), WAIT_S)

    # Guards against the same for a caller with little time left.
    def test_caller_with_a_short_wait(self) -> None:
        for count in (1, 5):
            instance = self.start(count)[0]
            self.network.silence()
            self.assert_state(instance.status(SHORT_WAIT_S), SHORT_WAIT_S)

    # Guards against silent connections that stay at the bottom of a pool until
    # many states are asked for at once, as at the end of a day.
    def test_many_questions_after_a_quiet_time(self) -> None:
        for count in (1, 5):
            instance = self.start(count)[0]
            self.network.silence()
            instance.status(WAIT_S)
            eventlet.sleep(10)
            pile = GreenPile()
            for job_id in JOB_IDS:
                pile.spawn(instance.status, WAIT_S, job_id)
            for answer in pile:
                self.assert_state(answer, WAIT_S)

    # Guards against a pool that keeps all its silent connections but the one
    # that was used.
    def test_silent_connections_are_closed_together(self) -> None:
        instance = self.start(1)[0]
        self.network.silence()
        instance.status(WAIT_S)
        eventlet.sleep(WAIT_S)
        silent = [each for each in self.network.sockets if each.is_silent]
        self.assertEqual([], [each for each in silent if each.is_open])


class TestConnectionsOfAFormerProcess(SilentNetworkCase):
    """Connections to a process that was restarted are reset when used."""

    # Guards against a failed call for each connection that was kept.
    def test_one_call_fails(self) -> None:
        instance = self.start(1)[0]
        self.network.restart_hosts()
        answers = [instance.store.read_row(JOB_KEY) for _ in range(8)]
        failures = [each for each in answers if isinstance(each, StoreFailed)]
        self.assertEqual(1, len(failures))


class TestConfigurationOnSilentConnections(SilentNetworkCase):
    """The configuration is confirmed before keys are refused."""

    # Guards against instances that refuse all callers, since the reads of the
    # configuration wait for one silent connection after another.
    def test_confirmed_in_time(self) -> None:
        instance = self.start(1)[0]
        listener = ConfirmedListener()
        follower = config_follower(
            instance.store, listener, lambda kind, **fields: None
        )
        thread = eventlet.spawn(follower.run)
        eventlet.sleep(2.5)
        self.network.silence()
        eventlet.sleep(10)
        thread.kill()
        self.assertLess(listener.longest_gap_s(), VIEW_BOUND_S)


class ConfirmedListener:
    """Records when the configuration was confirmed."""

    def __init__(self) -> None:
        """Start without a confirmation."""
        self.confirmed_s: list[float] = []

    def on_snapshot(self, rows: Any, read_s: float) -> None:
        """Ignore the rows."""

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        """Record when the confirmed state was asked for, and when it came."""
        self.confirmed_s.append(read_s)
        self.confirmed_s.append(boot_now())

    def longest_gap_s(self) -> float:
        """Return how old the confirmed state grew at most."""
        reads_s = self.confirmed_s[::2]
        came_s = [*self.confirmed_s[3::2], boot_now()]
        return max(
            came - read for read, came in zip(reads_s, came_s, strict=True)
        )
