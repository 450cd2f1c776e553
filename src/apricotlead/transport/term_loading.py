"""Reading all tables at the beginning of a term, over any link."""

from collections.abc import Callable
from functools import partial

import eventlet
from eventlet.event import Event
from eventlet.greenthread import GreenThread
from greenlet import GreenletExit
from msgspec import Struct

from apricotlead.coordination.cell.lease_rows import LEASES_PREFIX
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.coordination.cell.settings import ElectionTimes
from apricotlead.coordination.cell.speed_rows import STATISTICS_PREFIX
from apricotlead.protocol.table import Rows, StoreFailed
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_journal_writer import (
    STORE_RETRY_S,
    JournalWriter,
)
from apricotlead.transport.cell_links import CellLinks, TermState
from apricotlead.transport.hedged_reader import HedgedReader
from apricotlead.transport.serving import run_together
from apricotlead.transport.table_follower import TableFollower

_CHECK_S = 0.2
_LOG_INTERVAL_S = 1.0


class LoadedTables(Struct, frozen=True):
    """The rows that a term begins with."""

    jobs: Rows
    progress: Rows
    registrations: Rows
    speeds: Rows
    leases: Rows


class TermLoader:
    """Reads the tables of a term until that succeeds or the term ends.

    Nobody replaces a scheduler whose process answers, and nothing begins
    before its tables are read. So the term ends here if the store keeps
    failing, and ``check(now)`` may end it in favour of a larger instance. It is
    renewed meanwhile: over a small link its answers to followers are late, and
    one that has not written for long would be replaced, again and again.
    """

    __slots__ = (
        '_began_s',
        '_check',
        '_journal',
        '_links',
        '_reader',
        '_state',
        '_times',
    )

    def __init__(
        self,
        links: CellLinks,
        state: TermState,
        reader: HedgedReader,
        journal: JournalWriter,
        times: ElectionTimes,
        check: Callable[[float], None],
    ) -> None:
        """Read through ``reader``.

        Once a read has failed, it is repeated for ``times.store_lost_s``.
        """
        self._links = links
        self._state = state
        self._reader = reader
        self._journal = journal
        self._times = times
        self._check = check
        self._began_s = boot_now()

    def load(
        self, jobs: TableFollower, registry: TableFollower
    ) -> LoadedTables | None:
        """Return all rows, ``None`` if the term ended."""
        reading = eventlet.spawn(self._read, jobs, registry)
        is_done = Event()
        watches = [
            eventlet.spawn(self._state.run_part, watch, reading, is_done)
            for watch in (self._watch, self._renew)
        ]
        tables = None
        try:
            tables = reading.wait()
        except GreenletExit:
            # The watch has stopped it, as the term has ended.
            why = self._state.ended_why
        except Exception as error:
            why = f'its tables could not be read: {error!r}'
        else:
            why = 'the store could not be read'
        if tables is None and not self._state.ended_why:
            self._state.has_failed = True
            self._state.end(why)
        is_done.send()
        for thread in watches:
            if self._state.ended_why:
                thread.kill()
            else:
                # The next write depends on the outcome of a renewal under way.
                thread.wait()
        return None if self._state.ended_why else tables

    def _watch(self, reading: GreenThread, is_done: Event) -> None:
        """Stop reading once the term has ended; log a slow load."""
        logged_s = boot_now()
        while not self._state.ended_why:
            is_done.wait(_CHECK_S)
            if is_done.ready():
                return
            now = boot_now()
            self._check(now)
            if now - logged_s >= _LOG_INTERVAL_S:
                logged_s = now
                self._log(now)
        reading.kill()

    def _renew(self, reading: GreenThread, is_done: Event) -> None:
        """Renew the term at intervals."""
        while not self._state.ended_why:
            is_done.wait(self._times.renew_s)
            if is_done.ready():
                break
            self._journal.renew()

    def _log(self, now: float) -> None:
        age_s = now - self._began_s
        silent_s = min(age_s, now - self._links.store.received_s())
        self._links.log(
            'term loading',
            epoch=self._state.epoch,
            age_s=round(age_s, 1),
            store_silent_s=round(silent_s, 1),
        )

    def _read(
        self, jobs: TableFollower, registry: TableFollower
    ) -> LoadedTables | None:
        # Read sequentially, these take a second in a slow store.
        tables = run_together(
            partial(self._read_table, read)
            for read in (
                jobs.read_all,
                partial(self._reader.scan_rows, PROGRESS_PREFIX),
                registry.read_all,
                partial(self._reader.scan_rows, STATISTICS_PREFIX),
                partial(self._reader.scan_rows, LEASES_PREFIX),
            )
        )
        return None if None in tables else LoadedTables(*tables)

    def _read_table(
        self, read: Callable[[], Rows | StoreFailed]
    ) -> Rows | None:
        """Read until it succeeds, ``None`` if it keeps failing."""
        gives_up_s = float('inf')
        while not self._state.ended_why:
            answer = read()
            if not isinstance(answer, StoreFailed):
                return answer
            if boot_now() > gives_up_s:
                break
            gives_up_s = min(gives_up_s, boot_now() + self._times.store_lost_s)
            eventlet.sleep(STORE_RETRY_S)
        return None
