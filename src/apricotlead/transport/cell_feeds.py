"""Listeners that pass changes of the store's tables to the scheduler."""

from collections.abc import Callable

from apricotlead.coordination.cell.scheduler import CellScheduler
from apricotlead.protocol.table import Row
from apricotlead.transport.boot_clock import boot_now


class JobsListener:
    """Receives changes of the jobs table."""

    __slots__ = ('_apply_row', '_scheduler')

    def __init__(
        self,
        scheduler: CellScheduler,
        apply_row: Callable[[Row], None],
    ) -> None:
        """Pass each row to ``apply_row``."""
        self._scheduler = scheduler
        self._apply_row = apply_row

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        """Apply all rows; rows no longer present belonged to final jobs."""
        for row in rows:
            self._apply_row(row)

    def on_change(self, row: Row, read_s: float) -> None:
        """Apply a changed row."""
        self._apply_row(row)

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        """Synchronise with the store's clock."""
        self._scheduler.clock.note(store_ms, boot_now())


class RegistryListener:
    """Receives changes of the worker registrations."""

    __slots__ = ('_apply_row', '_prefix', '_scheduler')

    def __init__(
        self,
        scheduler: CellScheduler,
        apply_row: Callable[[Row], None],
        prefix: str,
    ) -> None:
        """Pass rows to ``apply_row``; all keys begin with ``prefix``."""
        self._scheduler = scheduler
        self._apply_row = apply_row
        self._prefix = prefix

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        """Apply all rows, and mark workers that are no longer listed."""
        for row in rows:
            self._apply_row(row)
        listed_ids = {each.key.removeprefix(self._prefix) for each in rows}
        self._scheduler.registrations.keep_only(listed_ids)

    def on_change(self, row: Row, read_s: float) -> None:
        """Apply a changed row."""
        self._apply_row(row)

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        """Do nothing: no decision depends on how old registrations are."""
