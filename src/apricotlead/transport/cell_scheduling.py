"""One term of the elected scheduler: its calls, feeds and journal."""

from collections.abc import Mapping
from time import time
from types import MappingProxyType
from typing import Any

import eventlet
from eventlet.greenthread import GreenThread

from apricotlead.coordination.cell.election import should_yield
from apricotlead.coordination.cell.job_rows import JOB_PREFIXES
from apricotlead.coordination.cell.scheduler import CELL_STATE, CellScheduler
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.protocol.table import Row
from apricotlead.state.answer_time import AdaptiveTimeout
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_feeds import JobsListener, RegistryListener
from apricotlead.transport.cell_follower_calls import FollowerCalls
from apricotlead.transport.cell_holds import WorkerHolds
from apricotlead.transport.cell_journal_writer import JournalWriter
from apricotlead.transport.cell_links import RELEASED, CellLinks, TermState
from apricotlead.transport.cell_orders import OrderSender
from apricotlead.transport.cell_row_upkeep import RowUpkeep
from apricotlead.transport.hedged_reader import HedgedReader
from apricotlead.transport.table_follower import TableFollower
from apricotlead.transport.term_loading import LoadedTables, TermLoader
from apricotlead.transport.wake_up import WakeUp

_TICK_S = 0.2
_MAX_IDLE_S = 0.1
# Batches the changes of a few milliseconds into one round.
_ROUND_PAUSE_S = 0.01
# A full table read that takes longer than this, and longer than the takeover
# write times the factor, may have lost a packet and is hedged.
_MIN_READ_HEDGE_S = 0.25
_HEDGE_DELAY_FACTOR = 10
# Scans of a large table share a link; more of them would slow each other down.
_MAX_SCANS = 2
# Most jobs are announced; this batches the feed reads for all others.
_JOBS_PAUSE_S = 0.2
# Batches the workers' heartbeats into one feed read.
_REGISTRY_PAUSE_S = 0.25
# The fields of the summary that are exported as gauges.
_FIELDS_BY_GAUGE = MappingProxyType(
    {
        'cell_runnable_steps': 'runnable_steps',
        'cell_stalled_steps': 'stalled_steps',
        'cell_oldest_runnable_seconds': 'oldest_runnable_s',
    }
)


class SchedulingTerm:
    """One term of the scheduler in this process."""

    __slots__ = (
        '_began_s',
        '_cores',
        '_green_threads',
        '_holds',
        '_journal',
        '_links',
        '_orders',
        '_own_address',
        '_planned',
        '_reader',
        '_settings',
        '_state',
        'followers',
    )

    def __init__(
        self,
        links: CellLinks,
        settings: CellSettings,
        scheduler: CellScheduler,
        own_address: str,
        cores: float,
        takeover_s: float,
    ) -> None:
        """Prepare a term for a scheduler that has just taken over.

        ``takeover_s`` is the duration of the takeover write.
        """
        self._links = links
        self._settings = settings
        self._own_address = own_address
        hedge_delay_s = max(_MIN_READ_HEDGE_S, takeover_s * _HEDGE_DELAY_FACTOR)
        self._reader = HedgedReader(
            links.store,
            hedge_delay_s,
            _MAX_SCANS,
            links.store.received_s,
            settings.open_scans,
        )
        self._cores = cores
        self._began_s = boot_now()
        self._state = TermState(scheduler, links.log)
        self._journal = JournalWriter(
            links,
            self._state,
            settings.election,
            takeover_s,
        )
        self._holds = WorkerHolds(
            links, self._state, settings.holds, settings.open_lists
        )
        self._orders = OrderSender(links, self._state, settings, own_address)
        self._green_threads: list[GreenThread] = []
        self.followers = FollowerCalls(
            self._state,
            self._journal,
            settings.election,
        )
        # Wakes the journal after a round of placement.
        self._planned = WakeUp()

    @property
    def ended_why(self) -> str:
        """Return why the term ended, empty while it goes on."""
        return self._state.ended_why

    @property
    def has_failed(self) -> bool:
        """Return whether an error in a part has ended the term."""
        return self._state.has_failed

    @property
    def scheduler(self) -> CellScheduler:
        """Return the scheduler of the term."""
        return self._state.scheduler

    def end(self, why: str) -> None:
        """End the term."""
        self._state.end(why)
        self.followers.wake()

    def run(self) -> None:
        """Schedule until the term ends; ``ended_why`` holds the reason."""
        links = self._links
        jobs = TableFollower(
            self._reader,
            JOB_PREFIXES,
            JobsListener(self.scheduler, self.apply_row),
            links.log,
            pause_s=_JOBS_PAUSE_S,
        )
        registry = TableFollower(
            self._reader,
            (links.workers_prefix,),
            RegistryListener(
                self.scheduler,
                self.apply_registration,
                links.workers_prefix,
            ),
            links.log,
            pause_s=_REGISTRY_PAUSE_S,
        )
        loader = TermLoader(
            links,
            self._state,
            self._reader,
            self._journal,
            self._settings.election,
            self._check_size,
        )
        tables = loader.load(jobs, registry)
        if tables is None:
            self._stop_parts()
            if self.ended_why == RELEASED:
                self._release()
            return
        self._apply_tables(tables, jobs, registry)
        for run in (
            jobs.run,
            registry.run,
            self._tick,
            RowUpkeep(links, self.scheduler.jobs).run,
            self.followers.watch_store,
            self._plan,
        ):
            self._green_threads.append(
                eventlet.spawn(self._state.run_part, run)
            )
        try:
            while not self.ended_why:
                self._write_journal()
        finally:
            self._stop_parts()
        if self.ended_why == RELEASED:
            self._release()

    def set_view(self, view: CellConfigView) -> None:
        """Apply a new configuration."""
        self.scheduler.set_view(view)
        self._state.changed.set()

    def apply_announced(self, row: Row) -> bool:
        """Apply a row that an instance has just stored.

        Returns ``False`` while the term is still loading all rows, which
        include this one, and after it has ended.
        """
        if self._state.is_loaded and not self.ended_why:
            self.apply_row(row)
            return True
        return False

    def apply_row(self, row: Row) -> None:
        """Apply a row of the jobs table."""
        self.scheduler.jobs.apply_job_row(row, boot_now())
        self._state.changed.set()

    def apply_registration(self, row: Row) -> None:
        """Apply a registration, a removal, or an undecodable entry."""
        worker_id = row.key.removeprefix(self._links.workers_prefix)
        entry = self._links.decode_worker(row) if row.version else None
        if entry is None and row.version:
            self._links.log('registration unreadable', worker=worker_id)
        registrations = self.scheduler.registrations
        if registrations.apply(worker_id, entry, boot_now()):
            self._holds.watch(worker_id)

    def _release(self) -> None:
        """Hand over, through the store if no follower is in contact."""
        if not self.followers.addresses():
            self._journal.write_release()
        self.followers.release()

    def _stop_parts(self) -> None:
        self._reader.close()
        for green_thread in self._green_threads:
            green_thread.kill()
        self._holds.stop()
        self._links.workers.close_connections()
        self.followers.wake()
        self._log_events()
        # The next scheduler may be another instance; its gauges count then.
        self._links.metrics.drop_gauges()

    def _apply_tables(
        self,
        tables: LoadedTables,
        jobs: TableFollower,
        registry: TableFollower,
    ) -> None:
        jobs.follow_from(tables.jobs)
        registry.follow_from(tables.registrations)
        now = boot_now()
        self.scheduler.workers.load_leases(tables.leases.rows)
        self.scheduler.jobs.load(tables.jobs.rows, tables.progress.rows, now)
        for row in tables.registrations.rows:
            self.apply_registration(row)
        for speed_row in tables.speeds.rows:
            self.scheduler.speeds.load(speed_row)
        self.scheduler.workers.restore_unregistered(now)
        self._state.is_loaded = True
        self._links.log(
            'jobs loaded',
            epoch=self._state.epoch,
            jobs=len(self.scheduler.tracker.jobs_by_id),
            final_jobs=len(self.scheduler.jobs.rows.finals_by_id),
            workers=len(self.scheduler.tracker.workers_by_id),
        )

    def _plan(self) -> None:
        """Place waiting tasks and ask for advice, even during a write."""
        while not self.ended_why:
            now = boot_now()
            self._check_size(now)
            peers = self.followers.addresses()
            calls = self.scheduler.plan(now, [self._own_address, *peers])
            planned_s = boot_now() - now
            self._orders.ask(calls)
            self._orders.send_stops(now)
            self._planned.set()
            # Planning takes at most half of the time, however much work waits.
            eventlet.sleep(max(_ROUND_PAUSE_S, planned_s))
            self._state.changed.wait(_MAX_IDLE_S)

    def _write_journal(self) -> None:
        """Write the journal if due, and send the starts it then permits."""
        renew_s = self._settings.election.renew_s
        age_s = boot_now() - self.scheduler.workers.renewed_s
        if self.scheduler.has_changes(boot_now()) or age_s > renew_s:
            self._orders.send_starts(self._journal.write())
        self._log_events()
        eventlet.sleep(_ROUND_PAUSE_S)
        if not self.scheduler.has_changes(boot_now()):
            self._planned.wait(_MAX_IDLE_S)

    def _tick(self) -> None:
        times = self._settings.election
        wake_delay = AdaptiveTimeout(
            times.silent_owner_s, times.most_silent_owner_s
        )
        while True:
            due_s = boot_now() + _TICK_S
            eventlet.sleep(_TICK_S)
            now = boot_now()
            # A delayed wake-up shows how long the loop was blocked.
            wake_delay.answered(now - due_s)
            self.scheduler.set_patience(wake_delay.timeout_s)
            self.scheduler.tick(now)
            for worker_id in self.scheduler.registrations.apply_deferred(now):
                self._holds.watch(worker_id)
            self.scheduler.jobs.open_due_occurrences(time() * 1000, now)
            self._state.changed.set()

    def _check_size(self, now: float) -> None:
        """Record the largest core count, and hand over if it is much larger."""
        times = self._settings.election
        largest = max(self._cores, self.followers.largest_cores())
        self.scheduler.set_largest_cores(largest)
        is_settled = now - self._began_s > times.settled_s
        if is_settled and should_yield(times, self._cores, largest):
            self.end(RELEASED)

    def _log_events(self) -> None:
        notes = self.scheduler.tracker.notes
        if not notes:
            return
        self.scheduler.tracker.notes = []
        for kind, fields in notes:
            self._links.log(kind, epoch=self._state.epoch, **fields)
            self._links.metrics.count(f'cell_{kind.replace(" ", "_")}')
            if kind == CELL_STATE:
                self._set_gauges(fields)

    def _set_gauges(self, summary: Mapping[str, Any]) -> None:
        """Export the part of a summary of the cell that alerts need."""
        metrics = self._links.metrics
        for gauge, field in _FIELDS_BY_GAUGE.items():
            metrics.set_gauge(gauge, summary[field])
        metrics.set_gauge_by_reason(
            'cell_waiting_steps', summary['waiting_steps']
        )
        if summary['newly_stalled_steps']:
            metrics.count('cell_stall_began', summary['newly_stalled_steps'])
