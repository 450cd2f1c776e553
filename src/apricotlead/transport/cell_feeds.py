"""What the scheduler hears from the store's tables."""

from collections.abc import Callable

from apricotlead.coordination.cell.scheduler import CellScheduler
from apricotlead.protocol.table import Row
from apricotlead.transport.boot_clock import boot_now


class JobsListener:
    """Listens to the table of jobs."""

    __slots__ = ('_scheduler', '_take')

    def __init__(
        self,
        scheduler: CellScheduler,
        take: Callable[[Row], None],
    ) -> None:
        """Pass each row to ``take``."""
        self._scheduler = scheduler
        self._take = take

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        """Take all rows; those that are gone were final."""
        for row in rows:
            self._take(row)

    def on_change(self, row: Row, read_s: float) -> None:
        """Take a changed row."""
        self._take(row)

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        """Take the store's clock."""
        self._scheduler.clock.note(store_ms, boot_now())


class RegistryListener:
    """Listens to the registrations of workers."""

    __slots__ = ('_prefix', '_scheduler', '_take')

    def __init__(
        self,
        scheduler: CellScheduler,
        take: Callable[[Row], None],
        prefix: str,
    ) -> None:
        """Pass each row, whose key begins with ``prefix``, to ``take``."""
        self._scheduler = scheduler
        self._take = take
        self._prefix = prefix

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        """Take all rows, and note which workers are no longer listed."""
        for row in rows:
            self._take(row)
        listed_ids = {each.key.removeprefix(self._prefix) for each in rows}
        known_ids = set(self._scheduler.tracker.workers_by_id)
        for worker_id in known_ids - listed_ids:
            self._scheduler.workers.mark_unlisted(worker_id)

    def on_change(self, row: Row, read_s: float) -> None:
        """Take a changed row."""
        self._take(row)

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        """Registrations are beliefs; no decision waits for their age."""
