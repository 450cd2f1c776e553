"""The clients and the state that the parts of a scheduler's term share."""

from collections.abc import Callable
from typing import Any

from msgspec import Struct

from apricotlead.coordination.cell.scheduler import CellScheduler
from apricotlead.protocol.cell_peers import AdviceQuestion
from apricotlead.protocol.cell_workers import AdviceAnswer, WorkerEntry
from apricotlead.protocol.table import Row
from apricotlead.transport.wake_up import Broadcast, WakeUp

# The reason of a term that ends by handing over.
RELEASED = 'released'
# Epochs are created only by takeovers in the store, so a single worker that
# reports a later one proves a takeover.
LATER_EPOCH = 'a worker has seen a later epoch'


class CellLinks(Struct, frozen=True):
    """The adapter's clients and the process's services that a term calls.

    ``store`` has ``transact``, ``scan_rows``, ``read_row`` and ``changes``;
    ``workers`` has ``start``, ``stop``, ``hold``, ``advise`` and
    ``close_connections``.
    ``decode_worker`` decodes a registration. ``ask_peer`` sends a question to
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
    """The scheduler of a term, and whether the term has ended.

    ``changed`` wakes the placement loop, ``journaled`` everything that waits
    for a write of the journal.
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
        """Start a term that has not ended."""
        self._log = log
        self.scheduler = scheduler
        self.changed = WakeUp()
        self.journaled = Broadcast()
        self.ended_why = ''
        # Whether an error in a part has ended the term.
        self.has_failed = False
        # Whether the scheduler has loaded all jobs from the store.
        self.is_loaded = False

    @property
    def epoch(self) -> int:
        """Return the epoch of the term."""
        return self.scheduler.owner.epoch

    def run_part(self, run: Callable[..., Any], *arguments: Any) -> None:
        """Run a part of the term; an error in it ends the whole term.

        Otherwise the error would end one green thread, and the other parts
        would continue without it.
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
