"""Reads of the store that one lost answer does not delay."""

from collections.abc import Callable
from functools import partial

from apricotlead.protocol.table import Changes, Rows, StoreFailed
from apricotlead.transport.hedging import MIN_HEDGE_DELAY_S, hedged
from apricotlead.transport.table_follower import TableReader

_Answer = Rows | Changes | StoreFailed


class HedgedReader:
    """Repeats the reads of a small table that are not answered at once.

    A lost answer would otherwise take the whole timeout of a call. Calls that
    wait for changes are not repeated: they are late when there are none.
    """

    __slots__ = ('_reader',)

    def __init__(self, reader: TableReader) -> None:
        """Read through ``reader``."""
        self._reader = reader

    def scan_rows(self, prefix: str) -> Rows | StoreFailed:
        """Read all rows with a key prefix."""
        return _hedge(partial(self._reader.scan_rows, prefix))

    def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> Changes | StoreFailed:
        """Wait up to ``wait_s`` seconds for changes after a version."""
        call = partial(self._reader.changes, table, after, wait_s)
        return call() if wait_s else _hedge(call)


def _hedge(call: Callable[[], _Answer]) -> _Answer:
    return hedged(
        call,
        MIN_HEDGE_DELAY_S,
        lambda answer: isinstance(answer, StoreFailed),
    )
