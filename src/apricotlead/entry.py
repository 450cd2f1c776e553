"""Daemon of an entry instance: connects the scheduler to the network."""

import json
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import eliot
from statsd import StatsClient

from apricotlead.assembly import Parts, assemble
from apricotlead.coordination.lookups import LookupRequest, ReadClock, SendTo
from apricotlead.protocol.addresses import split_address
from apricotlead.protocol.outcomes import Outcome
from apricotlead.protocol.peers import Envelope
from apricotlead.protocol.signals import Shutdown, Signal
from apricotlead.settings import Settings
from apricotlead.transport.clock import monotonic_now
from apricotlead.transport.engine import Engine
from apricotlead.transport.executor_client import ExecutorClient
from apricotlead.transport.http_pool import HttpPool
from apricotlead.transport.http_server import (
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    QUEUE_HEADER,
    HttpApplication,
    Request,
    lookup_wait_s,
)
from apricotlead.transport.peer_links import PeerLinks
from apricotlead.transport.platform_client import PlatformClient
from apricotlead.transport.serving import (
    HttpServer,
    StopRequest,
    pause,
    run_together,
)
from apricotlead.transport.worker_client import WorkerClient

_ANSWER_WAIT_S = 10.0
_DRAIN_POLL_S = 0.05
_LATE_REQUEST_WAIT_S = 0.5


class EntryInstance:
    """One entry instance in this process."""

    __slots__ = (
        '_engine',
        '_executors',
        '_parts',
        '_settings',
        'application',
        'log',
        'metrics',
        'peers',
        'platform',
        'workers',
    )

    def __init__(self, settings: Settings) -> None:
        """Listen for peers, create all components; :meth:`serve` starts."""
        self._settings = settings
        self.peers = PeerLinks(self._session_id, self._receive)
        self._parts: Parts = assemble(
            settings,
            Random(settings.seed),
            self.peers.listen(settings.peer_address),
            isolate_errors=True,
        )
        self.log = eliot.log_message
        self.metrics = _metrics(settings)
        pool = HttpPool(datacentre=settings.datacentre)
        self.platform = PlatformClient(pool, settings.platform_address)
        self.workers = WorkerClient(pool)
        self._executors = ExecutorClient(pool)
        self._engine = Engine(self._parts.scheduler, self)
        self.application = HttpApplication(self)

    @classmethod
    def from_config(cls, settings: Settings) -> 'EntryInstance':
        """Create an entry instance from its settings."""
        return cls(settings)

    @property
    def operator_key_digest(self) -> str:
        """Return the digest of the operators' key."""
        return self._settings.operator_key_digest

    def ask(self, make_signal: Callable[[int], Signal]) -> Outcome:
        """Pass a caller's request to the scheduler; wait for the outcome."""
        return self._engine.ask(make_signal, _ANSWER_WAIT_S)

    def ask_all(
        self,
        make_signals: list[Callable[[int], Signal]],
    ) -> list[Outcome]:
        """Pass several requests at once, so that their records share a batch.

        Returns the outcomes in the order of the requests.
        """
        return run_together(
            partial(self.ask, make_signal) for make_signal in make_signals
        )

    def look_up(self, request: Request) -> Outcome:
        """Serve a request to a latency-bound service."""
        lookup_manager = self._parts.lookups
        lookup = lookup_manager.open(
            LookupRequest(
                request.path_arguments[0],
                request.header(QUEUE_HEADER),
                request.header(KEY_HEADER),
                request.header(IDEMPOTENT_HEADER).lower() != 'no',
                lookup_wait_s(request),
            ),
            monotonic_now(),
        )
        try:
            with self.metrics.timer('lookup'):
                return self._run_lookup(lookup, request.body)
        finally:
            lookup_manager.close(lookup, monotonic_now())

    def config(self) -> Any:
        """Return the configuration that this instance applies."""
        return self._parts.config_view.config

    def dump(self) -> dict[str, Any]:
        """Return the state of this process for operators."""
        return {
            'instance_id': self._settings.instance_id,
            'draining': self.application.draining,
            'open_requests': self.application.open_count,
            'peers_dropped': self.peers.dropped_count,
            **self._engine.dump(),
        }

    def health(self) -> dict[str, Any]:
        """Return the health report for load balancers."""
        now = monotonic_now()
        return {
            'session_id': self._parts.session_view.session_id,
            'session_valid': self._parts.session_view.is_valid(now),
            'config_version': self._parts.config_view.version,
            'config_fresh': self._parts.config_view.is_fresh(now),
        }

    def close_unused_links(self) -> None:
        """Close the links to addresses of no known peer."""
        live_peers = self._parts.session_view.peers_by_id.values()
        self.peers.keep_only({peer.address for peer in live_peers})

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        stop = StopRequest()
        server = HttpServer(
            self._settings.http_address,
            self.application,
            self._settings.max_connections,
            self._log_event,
        )
        self._engine.start()
        ready = json.dumps({'address': server.address})
        sys.stdout.write(f'{ready}\n')
        sys.stdout.flush()
        stop.wait()
        self._drain(server)

    def _log_event(self, kind: str, **fields: Any) -> None:
        self.log(message_type=f'apricotlead:{kind}', **fields)

    def _session_id(self) -> str:
        return self._parts.session_view.session_id

    def _receive(self, envelope: Envelope) -> None:
        self._engine.receive(envelope)

    def _run_lookup(self, lookup: Any, body: bytes) -> Outcome:
        while True:
            step = lookup.next_step(monotonic_now())
            if isinstance(step, ReadClock):
                result = self._executors.read_clock(step)
                lookup.handle_clock_reply(result, monotonic_now())
                continue
            if not isinstance(step, SendTo):
                return step
            answer = self._executors.send(step, body)
            outcome = lookup.handle_result(answer, monotonic_now())
            if outcome is not None:
                return outcome

    def _is_busy(self) -> bool:
        return bool(self.application.open_count) or not self._parts.is_drained()

    def _drain(self, server: HttpServer) -> None:
        """Refuse new requests, hand over state and finish open requests.

        For ``drain_notice_s`` new requests get a refusal that closes their
        connection, so that the load balancer and callers with open
        connections change to other instances before the listener closes.
        """
        self.log(message_type='apricotlead:draining')
        drain_end_s = monotonic_now() + self._settings.drain_s
        self.application.draining = True
        self._engine.deliver(Shutdown())
        pause(self._settings.drain_notice_s)
        server.stop()
        # Requests on the connections accepted last may still arrive.
        pause(_LATE_REQUEST_WAIT_S)
        while monotonic_now() < drain_end_s and self._is_busy():
            pause(_DRAIN_POLL_S)
        finished = not self._is_busy()
        self.peers.close()
        self.log(message_type='apricotlead:stopped', finished=finished)


def run_entry(settings: Settings) -> None:
    """Run an entry instance in this process until it is stopped."""
    _open_log(settings.log_file)
    EntryInstance.from_config(settings).serve()


def _open_log(path: str) -> None:
    if path == '-':
        eliot.to_file(sys.stderr)
        return
    eliot.to_file(Path(path).open('a'))


def _metrics(settings: Settings) -> StatsClient:
    host, port = split_address(settings.statsd_address)
    return StatsClient(host, port, prefix='apricotlead')
