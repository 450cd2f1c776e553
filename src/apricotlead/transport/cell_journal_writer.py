"""Sequential writes of a term's journal."""

from functools import partial

import eventlet

from apricotlead.coordination.cell.election import (
    OWNER_KEY,
    OwnerRow,
    is_cut_off,
    owner_transaction,
    read_owner,
)
from apricotlead.coordination.cell.journal import (
    JournalBatch,
    Renewal,
    divide_batch,
)
from apricotlead.coordination.cell.settings import ElectionTimes
from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.table import (
    Committed,
    StoreFailed,
    Transaction,
)
from apricotlead.state.answer_time import AdaptiveTimeout
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_links import CellLinks, TermState
from apricotlead.transport.hedging import MIN_HEDGE_DELAY_S, hedged

# Pause between retries of a call that the store refuses.
STORE_RETRY_S = 0.05
# A store that is 60 times slower than usual takes 0.3 s for a write.
_MAX_WRITE_TIMEOUT_S = 1.5


class JournalWriter:
    """Makes changes durable, and detects when the store accepts none."""

    __slots__ = (
        '_is_blocked',
        '_is_turned_away',
        '_links',
        '_state',
        '_times',
        '_unanswered_s',
        '_write_timeout',
    )

    def __init__(
        self,
        links: CellLinks,
        state: TermState,
        times: ElectionTimes,
        takeover_s: float,
    ) -> None:
        """Start a term whose first write took ``takeover_s`` seconds."""
        self._links = links
        self._state = state
        self._times = times
        # When the first write was sent since the store last answered one.
        self._unanswered_s: float | None = None
        self._is_blocked = False
        # Whether the last write was refused, or its connection broke.
        self._is_turned_away = False
        self._write_timeout = AdaptiveTimeout(
            MIN_HEDGE_DELAY_S, _MAX_WRITE_TIMEOUT_S
        )
        self._write_timeout.answered(takeover_s)

    def is_cut_off(self) -> bool:
        """Return whether the store has accepted no write for too long."""
        if self._unanswered_s is None:
            return False
        return is_cut_off(
            self._times,
            boot_now() - self._unanswered_s,
            is_turned_away=self._is_turned_away,
        )

    def write(self) -> list[PlannedStart]:
        """Write all changes; return the starts that may be sent afterwards.

        The write is retried until it is durable or the term ends. One that the
        store refuses for good is divided, and goes on without the row at fault.
        """
        batch, starts = self._state.scheduler.take_batch(boot_now())
        self._write_batch(batch)
        return [] if self._state.ended_why else starts

    def renew(self) -> None:
        """Renew the term, and retry until that is durable or the term ends."""
        renewal = self._state.scheduler.renewal(boot_now())
        committed = self._commit_until_known(renewal)
        if isinstance(committed, Committed):
            self._state.scheduler.renewed(
                renewal,
                committed.versions[OWNER_KEY],
                committed.store_ms,
                boot_now(),
            )

    def write_release(self) -> None:
        """Release the owner row by a last write, so that another takes over."""
        released = self._state.scheduler.releasing_owner(boot_now())
        self._links.store.transact(
            owner_transaction(released, self._state.scheduler.owner_version),
        )

    def _write_batch(self, batch: JournalBatch) -> None:
        """Write a batch, and its parts one by one if the store refuses it."""
        if self._try_batch(batch) is None:
            return
        parts = divide_batch(batch)
        if not parts:
            self._write_alone(batch)
        for part in parts:
            if not self._state.ended_why:
                self._write_batch(
                    self._state.scheduler.reissue(part, boot_now())
                )

    def _write_alone(self, batch: JournalBatch) -> None:
        """Repeat a refused write, and leave it out if only it is refused.

        A renewal shows that the store takes other writes.
        """
        self.renew()
        if self._state.ended_why:
            return
        scheduler = self._state.scheduler
        refused = self._try_batch(scheduler.reissue(batch, boot_now()))
        if refused is not None:
            scheduler.leave_out(batch, refused.reason, boot_now())

    def _try_batch(self, batch: JournalBatch) -> StoreFailed | None:
        """Write a batch; return the failure if it is refused for good."""
        answer = self._commit_until_known(batch)
        if isinstance(answer, StoreFailed):
            return answer
        if answer is not None:
            self._state.scheduler.committed(
                batch,
                answer.versions[OWNER_KEY],
                answer.store_ms,
                boot_now(),
            )
            self._state.journaled.send()
        return None

    def _commit_until_known(
        self, renewal: Renewal
    ) -> Committed | StoreFailed | None:
        """Write until it is durable, ``None`` if the term ends before.

        Returns the failure of a write that the store refuses for good. A write
        of the owner row alone is repeated, as the term depends on it.
        """
        is_divisible = len(renewal.transaction.puts) > 1
        while not self._state.ended_why:
            answer = self._commit(renewal.transaction, renewal.owner)
            if isinstance(answer, Committed):
                return answer
            if answer is not None and answer.is_permanent and is_divisible:
                return answer
            eventlet.sleep(STORE_RETRY_S)
        return None

    def _commit(
        self,
        transaction: Transaction,
        owner: OwnerRow,
    ) -> Committed | StoreFailed | None:
        """Write once; return ``None`` if the term has ended."""
        sent_s = boot_now()
        self._unanswered_s = self._unanswered_s or sent_s
        hedge_after_s = self._write_timeout.timeout_s
        answer = hedged(
            partial(
                self._links.store.transact, transaction, _MAX_WRITE_TIMEOUT_S
            ),
            hedge_after_s,
            lambda reply: isinstance(reply, StoreFailed),
        )
        took_s = boot_now() - sent_s
        if isinstance(answer, StoreFailed):
            self._is_turned_away = took_s < hedge_after_s
            self._log_blocked(answer)
            return answer
        self._write_timeout.answered(took_s)
        self._unanswered_s = None
        self._is_turned_away = False
        self._log_resumed()
        if isinstance(answer, Committed):
            return answer
        row = answer.row(OWNER_KEY)
        current = read_owner(row)
        if current is not None and _is_same_write(current, owner):
            # An earlier attempt took effect and its answer was lost.
            return Committed({OWNER_KEY: row.version})
        self._state.end('another instance has taken over')
        return None

    def _log_blocked(self, failure: StoreFailed) -> None:
        if not self._is_blocked:
            self._is_blocked = True
            self._log_state('journal blocked', failure.reason)

    def _log_resumed(self) -> None:
        if self._is_blocked:
            self._is_blocked = False
            self._log_state('journal resumed', '')

    def _log_state(self, kind: str, why: str) -> None:
        age_s = boot_now() - self._state.scheduler.workers.renewed_s
        self._links.log(kind, why=why, renewed_age_s=round(age_s, 2))


def _is_same_write(current: OwnerRow, owner: OwnerRow) -> bool:
    return (current.epoch, current.sequence, current.instance_id) == (
        owner.epoch,
        owner.sequence,
        owner.instance_id,
    )
