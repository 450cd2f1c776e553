"""What one term of the scheduler shares: its callees and its end."""

from collections.abc import Callable
from typing import Any

from msgspec import Struct

from apricotlead.coordination.cell.scheduler import CellScheduler
from apricotlead.protocol.cell_peers import AdviceQuestion
from apricotlead.protocol.cell_workers import AdviceAnswer, WorkerEntry
from apricotlead.protocol.table import Row
from apricotlead.transport.wake_up import Broadcast, WakeUp

# Why a term ends that is handed over.
RELEASED = 'released'
# Only a takeover in the store makes an epoch, so a worker's word is enough.
LATER_EPOCH = 'a worker has seen a later epoch'


class CellLinks(Struct, frozen=True):
    """What the driver calls: the adapter's clients and the process's parts.

    ``store`` has ``transact``, ``scan_rows``, ``read_row`` and ``changes``;
    ``workers`` has ``start``, ``stop``, ``hold`` and ``advise``.
    ``decode_worker`` reads a registration. ``ask_peer`` passes a question to
    another instance.
    """

    store: Any
    workers: Any
    workers_prefix: str
    decode_worker: Callable[[Row], WorkerEntry | None]
    ask_peer: Callable[[str, AdviceQuestion], AdviceAnswer | None]
    log: Callable[..., Any]
    metrics: Any


class TermState:
    """The scheduler of a term, and whether the term goes on.

    ``changed`` wakes the round of placement, ``journaled`` all who wait for
    a write of the journal.
    """

    __slots__ = (
        '_log',
        'changed',
        'ended_why',
        'has_failed',
        'is_loaded',
        'journaled',
        'scheduler',
    )

    def __init__(
        self,
        scheduler: CellScheduler,
        log: Callable[..., Any],
    ) -> None:
        """Begin a term that goes on."""
        self._log = log
        self.scheduler = scheduler
        self.changed = WakeUp()
        self.journaled = Broadcast()
        self.ended_why = ''
        # Whether a fault in a part has ended the term.
        self.has_failed = False
        # Whether the scheduler knows all jobs of the store.
        self.is_loaded = False

    @property
    def epoch(self) -> int:
        """Return the epoch of the term."""
        return self.scheduler.owner.epoch

    def run_part(self, run: Callable[..., Any], *arguments: Any) -> None:
        """Run a part of the term; a fault in it ends the whole term.

        Else it would end one green thread, and the rest go on without it.
        """
        try:
            run(*arguments)
        except Exception as error:
            self.has_failed = not self.ended_why
            self.end(f'a part of the term failed: {error!r}')

    def end(self, why: str) -> None:
        """End the term."""
        if not self.ended_why:
            self.ended_why = why
            self._log('term ended', why=why, epoch=self.epoch)
        self.changed.set()
