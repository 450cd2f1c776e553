"""Daemon of an entry instance of a cell on the users' platform."""

import os
import random
import sys
from collections.abc import Callable
from functools import partial
from time import time
from typing import Any

from apricotlead.cell_settings import CellEntrySettings, CellSettingsError
from apricotlead.platform.callers import CallerApplication, ReadyApplication
from apricotlead.platform.configuration import (
    CONFIG_KEY,
    OPERATOR_PREFIX,
    ConfigError,
    decode_config,
)
from apricotlead.platform.store import PlatformStore
from apricotlead.platform.workers import (
    WORKERS_PREFIX,
    PlatformWorkers,
    decode_worker,
)
from apricotlead.protocol.cell_peers import AdviceQuestion
from apricotlead.protocol.cell_workers import AdviceAnswer
from apricotlead.protocol.table import Row
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_candidate import CellCandidate, OwnIdentity
from apricotlead.transport.cell_links import CellLinks
from apricotlead.transport.cell_log import CellLog
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.cell_peers import PeerApplication, PeerClient
from apricotlead.transport.cell_request_handler import CellRequestHandler
from apricotlead.transport.hedged_reader import HedgedReader
from apricotlead.transport.http_pool import HttpPool
from apricotlead.transport.relayed_row import RelayedRow
from apricotlead.transport.serving import (
    HttpServer,
    StopRequest,
    on_hangup,
    pause,
    run_in_background,
)
from apricotlead.transport.store_health import StoreHealth
from apricotlead.transport.store_relay import StoreRelay
from apricotlead.transport.table_follower import (
    TableFollower,
    TableListener,
    TableReader,
)

SETTINGS_VARIABLE = 'APRICOTLEAD_CONFIG'

# The store serves many calls of an instance at a time.
_IDLE_STORE_CONNECTIONS = 16
# All instances share the ``max_connections`` of each of them.
_IDLE_PEER_CONNECTIONS = 4
# The load balancer probes readiness once a second and removes an instance
# after two failures.
_DRAIN_NOTICE_S = 2.3
_DRAIN_POLL_S = 0.05
_STOP_MARGIN_S = 0.7
_EXIT_SETTINGS_ERROR = 2
# The share of the time for which keys are accepted without a confirmation
# after which peers are asked for the configuration. A lost long poll takes
# 1.8 s, and the repeated read after it is usually answered before 2.25 s.
_RELAYED_AGE = 0.5


class CellEntry:
    """An entry instance: serves callers, and schedules while elected."""

    __slots__ = (
        '_candidate',
        '_log',
        '_metrics',
        '_relay',
        '_settings',
        '_store',
        '_workers',
        'request_handler',
    )

    def __init__(self, settings: CellEntrySettings) -> None:
        """Create all components; :meth:`serve` starts them."""
        self._settings = settings
        output = sys.stdout.fileno()
        os.set_blocking(output, False)
        self._log = CellLog({'instance': settings.instance_id}, output)
        self._metrics = CellMetrics()
        self._store = PlatformStore(
            HttpPool(idle_per_host=_IDLE_STORE_CONNECTIONS),
            settings.store_address,
        )
        self._workers = PlatformWorkers.from_config(settings.advice_address)
        peers = PeerClient(HttpPool(idle_per_host=_IDLE_PEER_CONNECTIONS))
        self._candidate = CellCandidate(
            CellLinks(
                self._store,
                self._workers,
                WORKERS_PREFIX,
                decode_worker,
                peers.advise,
                self._log.log,
                self._metrics,
            ),
            peers,
            OwnIdentity(
                settings.instance_id,
                settings.peer_address,
                settings.processor,
            ),
            settings.bounded_cell,
        )
        health = StoreHealth()
        self._relay = StoreRelay(
            self._store,
            health,
            self._candidate,
            self._metrics,
        )
        self.request_handler = CellRequestHandler(
            self._relay,
            health,
            self._candidate,
            settings.view_bound_s,
            self._log.log,
            self._metrics,
            settings.bounded_cell.row_bytes,
        )

    @classmethod
    def from_config(cls, settings: CellEntrySettings) -> 'CellEntry':
        """Create an entry instance from its settings."""
        return cls(settings)

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        settings = self._settings
        stop = StopRequest()
        on_hangup(partial(self._log.log, 'reload ignored'))
        connection_limit = settings.max_connections
        servers = [
            HttpServer(address, application, connection_limit, self._log.log)
            for address, application in (
                (
                    settings.callers_address,
                    CallerApplication(self.request_handler),
                ),
                (
                    settings.ready_address,
                    ReadyApplication(self.request_handler),
                ),
                (
                    settings.peer_address,
                    PeerApplication(
                        self._candidate.answer_follower,
                        self._candidate.apply_announced,
                        self._relay.serve,
                        self._advise,
                        self._log.log,
                    ),
                ),
            )
        ]
        if settings.metrics_address:
            HttpServer(
                settings.metrics_address,
                self._metrics,
                connection_limit,
                self._log.log,
            )
        self._log.start()
        self._log.log('started', data_centre=settings.data_centre)
        follower = config_follower(
            self._store,
            _ConfigListener(self),
            self._log.log,
        )
        relayed = RelayedRow(
            CONFIG_KEY,
            self._candidate,
            settings.view_bound_s * _RELAYED_AGE,
            self._config_read_s,
            self._apply_relayed,
        )
        run_in_background(follower.run)
        run_in_background(relayed.run)
        run_in_background(self._candidate.run)
        stop.wait()
        self._stop(servers)

    def apply_config(self, row: Row, read_s: float) -> None:
        """Apply a configuration row unless its version is not newer."""
        try:
            config = decode_config(row)
        except ConfigError as error:
            self._log.log('configuration unreadable', why=str(error))
            return
        view = self.request_handler.view
        if view is not None and config.version <= view.version:
            return
        self.request_handler.view = CellConfigView(config, read_s)
        self._log.log('configuration in force', version=config.version)
        self._candidate.set_view(self.request_handler.view)

    def confirm_config(self, read_s: float, store_ms: float) -> None:
        """Record that the configuration was still current at ``read_s``."""
        self.request_handler.health.record_answer(store_ms)
        self._confirm_view(read_s)

    def _config_read_s(self) -> float:
        view = self.request_handler.view
        return float('-inf') if view is None else view.read_s

    def _apply_relayed(self, row: Row, read_s: float) -> None:
        """Apply the configuration as a peer has read it from the store.

        This says nothing about the store's health here.
        """
        self.apply_config(row, read_s)
        self._confirm_view(read_s)

    def _confirm_view(self, read_s: float) -> None:
        view = self.request_handler.view
        if view is not None:
            view.read_s = max(view.read_s, read_s)

    def _stop(self, servers: list[HttpServer]) -> None:
        """Release the scheduler role and drain requests within ``grace_s``.

        Requests are served until the load balancer has removed this instance
        and none is open, at the latest ``_STOP_MARGIN_S`` before SIGKILL.
        """
        self._log.log('stopping')
        stop_deadline_s = boot_now() + self._settings.grace_s - _STOP_MARGIN_S
        notice_end_s = boot_now() + _DRAIN_NOTICE_S
        self.request_handler.is_stopping = True
        self._candidate.stop()
        while boot_now() < stop_deadline_s:
            pause(_DRAIN_POLL_S)
            if (
                boot_now() > notice_end_s
                and not self.request_handler.open_count
            ):
                break
        for server in servers:
            server.stop()
        self._log.log('stopped', open_requests=self.request_handler.open_count)
        self._log.flush()

    def _advise(self, question: AdviceQuestion) -> AdviceAnswer | None:
        return self._workers.advise(
            question.step,
            question.worker_ids,
            question.timeout_s,
        )


class _ConfigListener:
    """Applies the configuration rows that operators write."""

    __slots__ = ('_entry',)

    def __init__(self, entry: CellEntry) -> None:
        self._entry = entry

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        for row in rows:
            self.on_change(row, read_s)

    def on_change(self, row: Row, read_s: float) -> None:
        if row.key == CONFIG_KEY and row.version:
            self._entry.apply_config(row, read_s)

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        self._entry.confirm_config(read_s, store_ms)


def config_follower(
    store: TableReader,
    listener: TableListener,
    log: Callable[..., Any],
) -> TableFollower:
    """Return a follower of the rows that operators write.

    An instance has no keys before its first answer, and refuses all callers.
    """
    return TableFollower(HedgedReader(store), (OPERATOR_PREFIX,), listener, log)


def main(environ: Any = os.environ) -> None:
    """Run an entry instance until it is stopped."""
    random.seed(time())
    try:
        settings = CellEntrySettings.from_file(
            environ.get(SETTINGS_VARIABLE, ''),
        )
    except CellSettingsError as error:
        sys.stderr.write(f'apricotlead: {error}\n')
        sys.exit(_EXIT_SETTINGS_ERROR)
    CellEntry.from_config(settings).serve()


if __name__ == '__main__':
    main()
