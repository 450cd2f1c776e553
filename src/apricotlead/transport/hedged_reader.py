"""Reads of the store that one lost answer does not delay."""

from collections.abc import Callable
from functools import partial

from eventlet.semaphore import Semaphore

from apricotlead.protocol.table import Changes, Rows, StoreFailed
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.hedging import (
    MAX_CALLS,
    MIN_HEDGE_DELAY_S,
    hedged,
)
from apricotlead.transport.table_follower import TableReader

_MAX_OPEN_SCANS = 32

_Answer = Rows | Changes | StoreFailed


class HedgedReader:
    """Repeats the reads of a table that are not answered at once.

    A lost answer would otherwise take the whole timeout of a call. Calls that
    wait for changes are not repeated: they are late when there are none.
    """

    __slots__ = (
        '_delay_s',
        '_is_closed',
        '_max_scans',
        '_open_scans',
        '_reader',
        '_received_s',
    )

    def __init__(
        self,
        reader: TableReader,
        delay_s: float = MIN_HEDGE_DELAY_S,
        max_scans: int = MAX_CALLS,
        received_s: Callable[[], float] | None = None,
        max_open_scans: int = _MAX_OPEN_SCANS,
    ) -> None:
        """Read through ``reader``; repeat a read first after ``delay_s``.

        ``max_scans`` limits the reads of all rows. For a large table it should
        be small, since these share a link. ``received_s()`` is when rows came
        last: while they arrive, a read is not lost but waits for its part of
        the link, and is not repeated.
        ``max_open_scans`` reads of all rows are made at a time.
        """
        self._open_scans = Semaphore(max_open_scans)
        self._is_closed = False
        self._received_s = received_s
        self._reader = reader
        self._delay_s = delay_s
        self._max_scans = max_scans

    def scan_rows(self, prefix: str) -> Rows | StoreFailed:
        """Read all rows with a key prefix."""
        scan = partial(self._reader.scan_rows, prefix)
        with self._open_scans:
            if self._is_closed:
                return StoreFailed(None, reason='the rows are not needed')
            return self._hedge(scan, self._max_scans)

    def close(self) -> None:
        """Make none of the reads that wait for their turn."""
        self._is_closed = True

    def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> Changes | StoreFailed:
        """Wait up to ``wait_s`` seconds for changes after a version."""
        call = partial(self._reader.changes, table, after, wait_s)
        if wait_s:
            return call()
        return self._hedge(call, MAX_CALLS)

    def _hedge(self, call: Callable[[], _Answer], max_calls: int) -> _Answer:
        return hedged(
            call,
            self._delay_s,
            lambda answer: isinstance(answer, StoreFailed),
            max_calls,
            self._is_link_quiet,
        )

    def _is_link_quiet(self) -> bool:
        """Return whether no rows have come for a while."""
        if self._received_s is None:
            return True
        return boot_now() - self._received_s() > self._delay_s / 2
