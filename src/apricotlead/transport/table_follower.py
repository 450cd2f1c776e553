"""Following a table of the store through its change feed."""

from collections.abc import Callable
from itertools import chain
from typing import Any, Protocol

import eventlet
from eventlet import GreenPile

from apricotlead.protocol.table import Changes, Row, Rows, StoreFailed
from apricotlead.transport.boot_clock import boot_now

_FEED_WAIT_S = 1.0
_RETRY_S = 0.15
_MAX_RETRY_S = 0.5
# The changes since older pages may no longer be in the store's history.
_MAX_PAGES_AGE_S = 5.0


class TableReader(Protocol):
    """What a follower needs from the store."""

    def scan_rows(self, prefix: str) -> Rows | StoreFailed:
        """Read all rows with a key prefix."""

    def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> Changes | StoreFailed:
        """Wait up to ``wait_s`` seconds for changes after a version."""


class TableListener(Protocol):
    """Receives a table's changes; ``read_s`` is when a read was sent."""

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        """Handle all rows; rows that are missing were deleted."""

    def on_change(self, row: Row, read_s: float) -> None:
        """Handle a changed row; version 0 means that it was deleted."""

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        """Handle that all changes up to ``read_s`` have been delivered."""


class TableFollower:
    """Reads all rows with some prefixes, then follows their changes."""

    __slots__ = (
        '_listener',
        '_log',
        '_pages_by_prefix',
        '_pages_s',
        '_pause_s',
        '_prefixes',
        '_reader',
        '_table',
        '_version',
        'is_lost',
    )

    def __init__(
        self,
        reader: TableReader,
        prefixes: tuple[str, ...],
        listener: TableListener,
        log: Callable[..., Any],
        pause_s: float = 0,
    ) -> None:
        """Follow ``prefixes`` (``table/part/``) of one table.

        ``pause_s`` is the pause between reads, which batches changes.
        """
        self._pause_s = pause_s
        self._reader = reader
        self._prefixes = prefixes
        self._table = prefixes[0].partition('/')[0]
        self._listener = listener
        self._log = log
        self._version: int | None = None
        # The answers to a read of all prefixes that is not complete.
        self._pages_by_prefix: dict[str, Rows] = {}
        self._pages_s = float('-inf')
        self.is_lost = False

    def run(self) -> None:
        """Follow until the green thread is killed."""
        pause_s = _RETRY_S
        while True:
            failure = self.step()
            if failure is None:
                pause_s = _RETRY_S
                eventlet.sleep(self._pause_s)
                continue
            eventlet.sleep(pause_s)
            pause_s = min(_MAX_RETRY_S, pause_s * 2)

    def step(self) -> StoreFailed | None:
        """Make one read; return its failure, if any."""
        read_s = boot_now()
        if self._version is None:
            answer = self._read_missing(read_s)
            read_s = self._pages_s
        else:
            # After a loss, a read without a wait confirms the state at once.
            wait_s = 0 if self.is_lost else _FEED_WAIT_S
            answer = self._reader.changes(self._table, self._version, wait_s)
        if isinstance(answer, StoreFailed):
            self._log_loss(answer)
            return answer
        if self.is_lost:
            self.is_lost = False
            self._log('feed regained', table=self._table)
        self._apply(answer, read_s)
        return None

    def read_all(self) -> Rows | StoreFailed:
        """Read all prefixes.

        This does not move the position in the change feed, since a hedged
        read may be answered twice: :meth:`follow_from` sets it from the
        answer in use.
        """
        pages = self._read(self._prefixes)
        return _first_failure(pages) or _join(pages)

    def follow_from(self, rows: Rows) -> None:
        """Continue with the changes since a read of all prefixes."""
        self._version = rows.version
        self._pages_by_prefix.clear()

    def _read_missing(self, now: float) -> Rows | StoreFailed:
        """Read the prefixes that previous steps have failed to read.

        The changes since the oldest page follow, so pages may differ in age.
        """
        if now - self._pages_s > _MAX_PAGES_AGE_S:
            self._pages_by_prefix.clear()
        if not self._pages_by_prefix:
            self._pages_s = now
        missing = tuple(
            prefix
            for prefix in self._prefixes
            if prefix not in self._pages_by_prefix
        )
        pages = self._read(missing)
        for found, page in zip(missing, pages, strict=True):
            if not isinstance(page, StoreFailed):
                self._pages_by_prefix[found] = page
        failure = _first_failure(pages)
        if failure is not None:
            return failure
        return _join([self._pages_by_prefix[each] for each in self._prefixes])

    def _read(self, prefixes: tuple[str, ...]) -> list[Rows | StoreFailed]:
        pile = GreenPile()
        for prefix in prefixes:
            pile.spawn(self._reader.scan_rows, prefix)
        return list(pile)

    def _apply(self, answer: Rows | Changes, read_s: float) -> None:
        if isinstance(answer, Rows):
            self.follow_from(answer)
            self._listener.on_snapshot(answer.rows, read_s)
        elif answer.history_lost:
            self._log('feed history lost', table=self._table)
            self._version = None
            return
        else:
            self._version = max(self._version or 0, answer.version)
            for row in answer.rows:
                if row.key.startswith(self._prefixes):
                    self._listener.on_change(row, read_s)
        self._listener.on_confirmed(read_s, answer.store_ms)

    def _log_loss(self, failure: StoreFailed) -> None:
        if not self.is_lost:
            self.is_lost = True
            self._log('feed lost', table=self._table, why=failure.reason)


def _first_failure(pages: list[Rows | StoreFailed]) -> StoreFailed | None:
    failures = (page for page in pages if isinstance(page, StoreFailed))
    return next(failures, None)


def _join(pages: list[Rows]) -> Rows:
    return Rows(
        tuple(chain.from_iterable(page.rows for page in pages)),
        min(page.version for page in pages),
        max(page.store_ms for page in pages),
    )
