"""Writing the journal of a term, one write after another."""

import eventlet

from apricotlead.coordination.cell.election import (
    OWNER_KEY,
    OwnerRow,
    is_cut_off,
    owner_transaction,
    read_owner,
)
from apricotlead.coordination.cell.settings import ElectionTimes
from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    StoreFailed,
    Transaction,
)
from apricotlead.state.answer_time import AnswerTime
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_links import CellLinks, TermState

_STORE_RETRY_S = 0.05
# A healthy store takes 20 ms, one 60 times slower than usual 300 ms.
_LEAST_WRITE_S = 0.25
_MOST_WRITE_S = 1.5


class JournalWriter:
    """Makes changes durable, and tells when the store takes none."""

    __slots__ = (
        '_blocked_s',
        '_is_turned_away',
        '_links',
        '_state',
        '_times',
        '_writes',
    )

    def __init__(
        self,
        links: CellLinks,
        state: TermState,
        times: ElectionTimes,
        takeover_s: float,
    ) -> None:
        """Begin a term whose first write took ``takeover_s`` seconds."""
        self._links = links
        self._state = state
        self._times = times
        # When the first of the writes left that brought no answer.
        self._blocked_s: float | None = None
        # Whether the last write was refused, or its connection broke.
        self._is_turned_away = False
        self._writes = AnswerTime(_LEAST_WRITE_S, _MOST_WRITE_S)
        self._writes.answered(takeover_s)

    def is_cut_off(self) -> bool:
        """Tell whether the store has taken no write for a while."""
        if self._blocked_s is None:
            return False
        return is_cut_off(
            self._times,
            boot_now() - self._blocked_s,
            is_turned_away=self._is_turned_away,
        )

    def write(self) -> list[PlannedStart]:
        """Write all changes; return the starts that may then be sent.

        The write is repeated until it is durable or the term ends.
        """
        batch, starts = self._state.scheduler.take_batch(boot_now())
        while not self._state.ended_why:
            committed = self._commit(batch.transaction, batch.owner)
            if committed is None:
                eventlet.sleep(_STORE_RETRY_S)
                continue
            version = committed.versions[OWNER_KEY]
            now = boot_now()
            self._state.scheduler.committed(
                batch,
                version,
                committed.store_ms,
                now,
            )
            self._state.journaled.send()
            return starts
        return []

    def write_release(self) -> None:
        """Invite a successor by a last write of the owner row."""
        released = self._state.scheduler.releasing_owner(boot_now())
        self._links.store.transact(
            owner_transaction(released, self._state.scheduler.owner_version),
        )

    def _commit(
        self,
        transaction: Transaction,
        owner: OwnerRow,
    ) -> Committed | None:
        """Write once; ``None`` where the write must be sent again."""
        sent_s = boot_now()
        timeout_s = self._writes.timeout_s
        answer = self._links.store.transact(transaction, timeout_s)
        took_s = boot_now() - sent_s
        if not isinstance(answer, StoreFailed):
            self._writes.answered(took_s)
        elif took_s >= timeout_s:
            self._writes.missed()
        self._is_turned_away = took_s < timeout_s
        if isinstance(answer, Committed):
            self._note_store(None, sent_s)
            return answer
        if isinstance(answer, CheckFailed):
            row = answer.row(OWNER_KEY)
            current = read_owner(row)
            if current is not None and _is_same_write(current, owner):
                # An earlier send took effect and its answer was lost.
                self._note_store(None, sent_s)
                return Committed({OWNER_KEY: row.version})
            self._state.end('another instance has taken over')
            return None
        self._note_store(answer, sent_s)
        return None

    def _note_store(
        self,
        failure: StoreFailed | None,
        sent_s: float,
    ) -> None:
        """Log when the store stops or begins to take the journal."""
        was_blocked = self._blocked_s is not None
        if was_blocked == (failure is not None):
            return
        self._blocked_s = None if failure is None else sent_s
        self._links.log(
            'journal blocked' if failure else 'journal resumed',
            why=failure.reason if failure else '',
            renewed_age_s=round(
                boot_now() - self._state.scheduler.workers.renewed_s, 2
            ),
        )


def _is_same_write(current: OwnerRow, owner: OwnerRow) -> bool:
    return (current.epoch, current.sequence, current.instance_id) == (
        owner.epoch,
        owner.sequence,
        owner.instance_id,
    )
