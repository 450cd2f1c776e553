"""The daemon of an entry instance of a cell on the users' platform."""

import os
import random
import sys
from functools import partial
from time import time
from typing import Any

from apricotlead.cell_settings import CellEntrySettings, CellSettingsError
from apricotlead.coordination.cell.election import (
    OWNER_KEY,
    OwnerRow,
    read_owner,
    takeover,
    takeover_delay_s,
)
from apricotlead.coordination.cell.scheduler import CellScheduler
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
from apricotlead.protocol.cell_peers import AdviceQuestion, SchedulerStatus
from apricotlead.protocol.cell_workers import AdviceAnswer
from apricotlead.protocol.table import Committed, Row, StoreFailed
from apricotlead.state.cell_view import CellView
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_desk import CellDesk, StoreHealth
from apricotlead.transport.cell_log import CellLog
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.cell_peers import PeerApplication, PeerClient
from apricotlead.transport.cell_scheduling import (
    RELEASED,
    CellLinks,
    SchedulingTerm,
)
from apricotlead.transport.http_pool import HttpPool
from apricotlead.transport.serving import (
    HttpServer,
    StopRequest,
    on_hangup,
    pause,
    run_in_background,
)
from apricotlead.transport.table_follower import TableFollower

SETTINGS_VARIABLE = 'APRICOTLEAD_CONFIG'

_IDLE_CONNECTIONS = 16
_ELECTION_RETRY_S = 0.15
_STATUS_FRESH_S = 1.5
# The balancer probes once a second and takes two misses.
_DRAIN_NOTICE_S = 2.3
_DRAIN_POLL_S = 0.05
_STOP_MARGIN_S = 0.7
_SETTINGS_EXIT = 2


class CellEntry:
    """One entry instance: serves callers, and schedules when elected."""

    __slots__ = (
        '_links',
        '_log',
        '_metrics',
        '_peers',
        '_settings',
        '_started_s',
        '_status',
        '_status_read_s',
        '_store',
        '_term',
        '_workers',
        'desk',
    )

    def __init__(self, settings: CellEntrySettings) -> None:
        """Join all parts; :meth:`serve` begins."""
        self._settings = settings
        self._started_s = boot_now()
        output = sys.stdout.fileno()
        os.set_blocking(output, False)
        self._log = CellLog({'instance': settings.instance_id}, output)
        self._metrics = CellMetrics()
        pool = HttpPool(idle_per_host=_IDLE_CONNECTIONS)
        self._store = PlatformStore(pool, settings.store_address)
        self._workers = PlatformWorkers(pool, settings.advice_address)
        self._peers = PeerClient(pool)
        self._term: SchedulingTerm | None = None
        self._status = SchedulerStatus()
        self._status_read_s = float('-inf')
        self.desk = CellDesk(
            self._store,
            StoreHealth(),
            self._recent_status,
            settings.view_bound_s,
            self._log.log,
            self._metrics,
        )
        self._links = CellLinks(
            self._store,
            self._workers,
            WORKERS_PREFIX,
            decode_worker,
            self._peers.advise,
            self._log.log,
            self._metrics,
        )

    @classmethod
    def from_config(cls, settings: CellEntrySettings) -> 'CellEntry':
        """Build all parts from settings."""
        return cls(settings)

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        settings = self._settings
        stop = StopRequest()
        on_hangup(partial(self._log.log, 'reload ignored'))
        most = settings.max_connections
        servers = [
            HttpServer(
                settings.callers_address,
                CallerApplication(self.desk),
                most,
                self._log.log,
            ),
            HttpServer(
                settings.ready_address,
                ReadyApplication(self.desk),
                most,
                self._log.log,
            ),
            HttpServer(
                settings.peer_address,
                PeerApplication(self._watched, self._advise),
                most,
                self._log.log,
            ),
        ]
        if settings.metrics_address:
            HttpServer(
                settings.metrics_address,
                self._metrics,
                most,
                self._log.log,
            )
        self._log.start()
        self._log.log('started', data_centre=settings.data_centre)
        follower = TableFollower(
            self._store,
            (OPERATOR_PREFIX,),
            _Operator(self),
            self._log.log,
        )
        run_in_background(follower.run)
        run_in_background(self._elect)
        stop.wait()
        self._stop(servers)

    def take_config(self, row: Row, read_s: float) -> None:
        """Take a version of the configuration unless it is older."""
        try:
            config = decode_config(row)
        except ConfigError as error:
            self._log.log('configuration unreadable', why=str(error))
            return
        view = self.desk.view
        if view is not None and config.version <= view.version:
            return
        self.desk.view = CellView(config, read_s)
        self._log.log('configuration in force', version=config.version)
        if self._term is not None:
            self._term.set_view(self.desk.view)

    def confirm_config(self, read_s: float, store_ms: float) -> None:
        """Note that the configuration was in force at ``read_s`` or later."""
        view = self.desk.view
        self.desk.health.answered(store_ms)
        if view is not None:
            view.read_s = max(view.read_s, read_s)

    def _stop(self, servers: list[HttpServer]) -> None:
        """Hand over, then serve what still comes until the grace ends."""
        self._log.log('stopping')
        ends_s = boot_now() + self._settings.grace_s - _STOP_MARGIN_S
        notice_ends_s = boot_now() + _DRAIN_NOTICE_S
        self.desk.is_stopping = True
        if self._term is not None:
            self._term.end(RELEASED)
        while boot_now() < ends_s:
            pause(_DRAIN_POLL_S)
            if boot_now() > notice_ends_s and not self.desk.open_count:
                break
        for server in servers:
            server.stop()
        self._log.log('stopped', open_requests=self.desk.open_count)
        self._log.flush()

    def _recent_status(self) -> SchedulerStatus | None:
        """Return the scheduler's last word unless it is too old."""
        if self._term is not None and not self._term.ended_why:
            return self._term.status()
        if boot_now() - self._status_read_s > _STATUS_FRESH_S:
            return None
        return self._status

    def _watched(self, peer_address: str, cores: float) -> SchedulerStatus:
        term = self._term
        if term is None:
            return SchedulerStatus()
        return term.watch(peer_address, cores)

    def _advise(self, question: AdviceQuestion) -> AdviceAnswer | None:
        return self._workers.advise(
            question.step,
            question.worker_ids,
            question.timeout_s,
        )

    def _elect(self) -> None:
        """Follow the scheduler, and take over when it is gone."""
        while not self.desk.is_stopping:
            try:
                self._elect_once()
            except Exception as error:
                # A fault in one term must not end the instance.
                self._log.log('term failed', why=repr(error))
                pause(_ELECTION_RETRY_S)

    def _elect_once(self) -> None:
        read = self._store.read_row(OWNER_KEY)
        if isinstance(read, StoreFailed) or self.desk.view is None:
            pause(_ELECTION_RETRY_S)
            return
        row = read.rows[0] if read.rows else Row(OWNER_KEY)
        owner = read_owner(row)
        is_own = owner is not None and (
            owner.peer_address == self._settings.peer_address
        )
        if owner is not None and not owner.is_released and not is_own:
            if self._follow(owner):
                return
        delay_s = takeover_delay_s(
            self._settings.cell.election,
            owner,
            self._settings.processor,
            boot_now() - self._started_s,
            random.random(),
        )
        pause(delay_s)
        if not self.desk.is_stopping:
            self._take_over(row, read.store_ms)

    def _follow(self, owner: OwnerRow) -> bool:
        """Watch the scheduler; tell whether to read the owner anew.

        ``False`` where the scheduler should be replaced.
        """
        times = self._settings.cell.election
        timeout_s = times.watch_s + times.watch_slack_s
        was_active = False
        while not self.desk.is_stopping:
            status = self._peers.watch(
                owner.peer_address,
                self._settings.peer_address,
                self._settings.processor,
                timeout_s,
            )
            if status is None or status.store_lost:
                self._log.log(
                    'scheduler lost',
                    epoch=owner.epoch,
                    scheduler=owner.instance_id,
                    answered=status is not None,
                )
                return False
            if not status.is_active or status.epoch != owner.epoch:
                # It is starting its term, or has ended it.
                pause(_ELECTION_RETRY_S / 3)
                return was_active or self._is_replaced(owner)
            was_active = True
            self._status = status
            self._status_read_s = boot_now()
        return True

    def _is_replaced(self, owner: OwnerRow) -> bool:
        """Give an owner that has no term yet the time to begin one."""
        age_ms = self.desk.health.store_ms() - owner.taken_ms
        return age_ms < self._settings.cell.election.store_lost_s * 1000

    def _take_over(self, row: Row, store_ms: float) -> None:
        began_s = boot_now()
        former = read_owner(row)
        owner, transaction = takeover(
            row,
            self._settings.instance_id,
            self._settings.peer_address,
            store_ms,
        )
        answer = self._store.transact(transaction)
        if not isinstance(answer, Committed):
            return
        now = boot_now()
        scheduler = CellScheduler(
            self._settings.cell,
            self.desk.view,
            owner,
            former,
            now,
            max(store_ms, answer.store_ms),
        )
        scheduler.owner_version = answer.versions[OWNER_KEY]
        scheduler.workers.renewed_s = began_s
        self._log.log(
            'term begun',
            epoch=owner.epoch,
            former='' if former is None else former.instance_id,
            former_age_ms=round(
                store_ms - (former.renewed_ms if former else store_ms),
            ),
        )
        self._term = SchedulingTerm(
            self._links,
            self._settings.cell,
            scheduler,
            self._settings.peer_address,
            self._settings.processor,
        )
        try:
            self._term.run()
        finally:
            self._term = None


class _Operator:
    """Listens to what operators write."""

    __slots__ = ('_entry',)

    def __init__(self, entry: CellEntry) -> None:
        self._entry = entry

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        for row in rows:
            self.on_change(row, read_s)

    def on_change(self, row: Row, read_s: float) -> None:
        if row.key == CONFIG_KEY and row.version:
            self._entry.take_config(row, read_s)

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        self._entry.confirm_config(read_s, store_ms)


def main(environ: Any = os.environ) -> None:
    """Run an entry instance until it is stopped."""
    random.seed(time())
    try:
        settings = CellEntrySettings.from_file(
            environ.get(SETTINGS_VARIABLE, ''),
        )
    except CellSettingsError as error:
        sys.stderr.write(f'apricotlead: {error}\n')
        sys.exit(_SETTINGS_EXIT)
    CellEntry.from_config(settings).serve()


if __name__ == '__main__':
    main()
