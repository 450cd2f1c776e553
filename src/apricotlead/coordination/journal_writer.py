"""Writes one owned journal: batches, compaction, handover and retirement."""

from collections import deque
from collections.abc import Iterable
from typing import Any

from msgspec import Struct, structs

from apricotlead.coordination.store_calls import StoreCalls
from apricotlead.protocol.jobs import JournalRecord
from apricotlead.protocol.rows import (
    NO_OWNER,
    JournalRow,
    journal_key,
    put_struct,
    put_structs,
    request_row_key,
    segment_key,
    snapshot_key,
)
from apricotlead.protocol.signals import (
    AppendRecords,
    Count,
    DeleteObject,
    JournalClosed,
    ObjectReplied,
    PutObject,
    RecordsCommitted,
    RecordsRejected,
    Signal,
)
from apricotlead.protocol.table import (
    Check,
    CheckFailed,
    Committed,
    Put,
    StoreFailed,
    StoreReply,
)
from apricotlead.state.journal_log import JournalLog, encode_snapshot


class WriterSettings(Struct, frozen=True):
    """Limits of one journal.

    Records that wait for a batch longer than ``refuse_after_s`` are refused.
    A batch holds at most ``records_per_batch`` records (or one larger append)
    and deletes at most ``deletes_per_batch`` old segments. A snapshot is
    written after ``compact_after_records`` records, or as many as the last
    snapshot held if that is more, which bounds its cost per record. An adopted
    journal whose jobs have all ended is deleted after ``retire_after_s``
    without a record, by writes that delete at most ``deletes_per_retirement``
    segments each; until then the status of its jobs can be read.
    """

    refuse_after_s: float = 1.0
    retry_after_s: float = 0.2
    records_per_batch: int = 1000
    max_waiting_records: int = 20_000
    deletes_per_batch: int = 20
    compact_after_records: int = 5000
    ended_jobs_kept: int = 2000
    retire_after_s: float = 172_800.0
    deletes_per_retirement: int = 200


class OwnedJournal(Struct):
    """A journal row as last written by this session, and its next segment."""

    journal_id: str
    row: JournalRow
    version: int
    next_segment: int = 0


class PendingAppend(Struct, frozen=True):
    """An append and its time of arrival."""

    append: AppendRecords
    since_s: float


class Appending(Struct, frozen=True):
    """A batch in flight."""

    writer: 'JournalWriter'
    batch: tuple[PendingAppend, ...]
    deleted_keys: tuple[str, ...]
    sent_s: float


class Snapshotting(Struct, frozen=True):
    """A snapshot being written; it replaces segments before first_segment."""

    writer: 'JournalWriter'
    key: str
    first_segment: int
    record_count: int


class Compacting(Struct, frozen=True):
    """The journal row is being updated to refer to a written snapshot."""

    writer: 'JournalWriter'
    row: JournalRow
    sent_s: float


class Retiring(Struct, frozen=True):
    """Segments, and finally the row, of a retired journal are being deleted."""

    writer: 'JournalWriter'
    deleted_keys: tuple[str, ...]
    sent_s: float


class DeletingSnapshot(Struct, frozen=True):
    """A replaced snapshot is being deleted; the result is ignored."""


class HandingOver(Struct, frozen=True):
    """The journal row is being released to have no owner."""

    writer: 'JournalWriter'
    sent_s: float


class JournalWriter:
    """The only writer of one journal while the journal row is unchanged.

    One transaction is in flight at a time. Each is conditional on the
    version of the journal row, so once another session has claimed the row,
    all fail and the journal is closed here. Records are refused only while
    they wait, or after a definite reply that their batch failed; the outcome
    of a batch in flight is awaited.
    """

    __slots__ = (
        '_calls',
        '_compact_at_count',
        '_deleted_keys',
        '_idle_since_s',
        '_in_flight_count',
        '_is_leaving',
        '_is_retiring',
        '_log',
        '_must_release',
        '_settings',
        '_snapshot',
        '_snapshot_ready',
        '_waiting',
        '_waiting_count',
        'is_closed',
        'journal',
    )

    def __init__(
        self,
        settings: WriterSettings,
        calls: StoreCalls,
        journal: OwnedJournal,
        log: JournalLog,
        deleted_keys: Iterable[str],
        now: float,
    ) -> None:
        """Start with the log of a new or adopted journal.

        ``deleted_keys`` are the segments that a snapshot has replaced.
        """
        self._settings = settings
        self._calls = calls
        self._idle_since_s = now
        self.journal = journal
        self._log = log
        self._deleted_keys = deque(deleted_keys)
        self._compact_at_count = settings.compact_after_records
        self._in_flight_count = 0
        self._is_leaving = False
        self._is_retiring = False
        self._must_release = False
        self._snapshot: Snapshotting | None = None
        self._snapshot_ready = False
        self._waiting: deque[PendingAppend] = deque()
        self._waiting_count = 0
        self.is_closed = False

    @property
    def is_finished(self) -> bool:
        """Tell whether the journal is closed and nothing is in flight."""
        return (
            self.is_closed
            and not self._must_release
            and not self._is_retiring
            and not self._in_flight_count
        )

    @property
    def is_idle(self) -> bool:
        """Tell whether there is nothing to do before the next append."""
        if self._is_leaving or self._is_retiring:
            return False
        return not (self._waiting or self._in_flight_count or self._snapshot)

    def waiting_since(self) -> float:
        """Return the arrival time of the oldest waiting append, or infinity."""
        if self._waiting:
            return self._waiting[0].since_s
        return float('inf')

    def dump(self) -> dict[str, Any]:
        """Return the journal's position as built-in types for JSON."""
        return {
            'epoch': self.journal.row.epoch,
            'next_segment': self.journal.next_segment,
            'first_segment': self.journal.row.first_segment,
            'waiting_records': self._waiting_count,
            'in_flight': self._in_flight_count,
        }

    def append(self, signal: AppendRecords, now: float) -> Iterable[Signal]:
        """Queue records, or refuse them at once."""
        is_full = (
            self._waiting_count + len(signal.records)
            > self._settings.max_waiting_records
        )
        if self.is_closed or self._is_leaving or is_full:
            return (self._make_rejection(signal),)
        self._idle_since_s = now
        self._enqueue(PendingAppend(signal, now))
        return ()

    def leave(self) -> None:
        """Accept no more records; hand over once the queue is written."""
        self._is_leaving = True

    def refuse_overdue(self, now: float) -> Iterable[Signal]:
        """Refuse records that have waited too long for a batch."""
        overdue_s = now - self._settings.refuse_after_s
        while self._waiting and self._waiting[0].since_s <= overdue_s:
            yield self._make_rejection(self._dequeue().append)

    def next_write(self, now: float) -> Iterable[Signal]:
        """Return the next transaction, if any."""
        if self._in_flight_count:
            return ()
        if self._must_release:
            return (self._release_row(now),)
        if self._is_retiring:
            return (self._delete_next_segments(now),)
        if self.is_closed:
            return ()
        return self._next_open_write(now)

    def next_snapshot(self) -> Iterable[Signal]:
        """Return the write of a snapshot object once it is due."""
        is_due = self._log.added_count >= self._compact_at_count
        if not is_due or self._snapshot or self.is_closed or self._is_leaving:
            return ()
        return (self._put_snapshot(),)

    def appended(
        self,
        batch: Appending,
        reply: StoreReply,
    ) -> Iterable[Signal]:
        """Handle the reply to a batch."""
        self._in_flight_count -= 1
        if isinstance(reply, Committed):
            return self._handle_commit(batch)
        self._deleted_keys.extendleft(reversed(batch.deleted_keys))
        if isinstance(reply, CheckFailed):
            return self._handle_failed_checks(batch, reply)
        return self._requeue(batch.batch)

    def snapshot_written(
        self,
        snapshot: Snapshotting,
        reply: ObjectReplied,
    ) -> Iterable[Signal]:
        """Schedule the update of the journal row, or a later snapshot."""
        if reply.succeeded and snapshot is self._snapshot:
            self._snapshot_ready = True
            return ()
        self._postpone_snapshot()
        return (Count('journal.snapshot_failed'),)

    def compacted(
        self,
        compacting: Compacting,
        reply: StoreReply,
    ) -> Iterable[Signal]:
        """Apply the new row; later batches delete the old segments."""
        self._in_flight_count -= 1
        if isinstance(reply, Committed):
            replaced_key = self.journal.row.snapshot
            self._apply_compaction(compacting, reply)
            return (
                Count('journal.compacted'),
                *self._delete_snapshot(replaced_key),
            )
        self._postpone_snapshot()
        if isinstance(reply, CheckFailed):
            return self.close()
        return ()

    def handed_over(self, reply: StoreReply) -> Iterable[Signal]:
        """Complete the handover; it is repeated if the store call failed."""
        self._in_flight_count -= 1
        if isinstance(reply, (Committed, CheckFailed)):
            self._must_release = False
        return ()

    def close(self) -> Iterable[Signal]:
        """Close the journal here and refuse the waiting records."""
        if self.is_closed:
            return
        self.is_closed = True
        yield JournalClosed(self.journal.journal_id)
        while self._waiting:
            yield self._make_rejection(self._dequeue().append)

    def retire_if_unused(self, now: float) -> Iterable[Signal]:
        """Close and delete the journal if it is no longer needed."""
        idle_s = now - self._idle_since_s
        if not self.is_idle or idle_s < self._settings.retire_after_s:
            return ()
        self._idle_since_s = now
        if self._log.has_open_jobs():
            return ()
        self._is_retiring = True
        self._deleted_keys.extend(
            self._segment_keys(self.journal.next_segment),
        )
        return self.close()

    def retired(
        self,
        retiring: Retiring,
        reply: StoreReply,
    ) -> Iterable[Signal]:
        """Continue until the row is deleted or claimed by another session."""
        self._in_flight_count -= 1
        row_key = self._make_row_check().key
        if isinstance(reply, StoreFailed):
            self._deleted_keys.extendleft(reversed(retiring.deleted_keys))
            return ()
        if isinstance(reply, Committed) and row_key in reply.versions:
            self.journal.version = reply.versions[row_key]
            return ()
        self._is_retiring = False
        if isinstance(reply, CheckFailed) and reply.row(row_key).version:
            return ()
        return self._delete_snapshot(self.journal.row.snapshot)

    def abandon(self) -> Iterable[Signal]:
        """Close without a handover because the own session is lost."""
        self._must_release = False
        self._is_retiring = False
        return self.close()

    def _next_open_write(self, now: float) -> Iterable[Signal]:
        if self._snapshot_ready:
            return (self._write_compaction(now),)
        if self._waiting:
            return (self._write_batch(now),)
        if self._is_leaving:
            return self._close_and_release(now)
        return ()

    def _enqueue(self, waiting: PendingAppend) -> None:
        self._waiting.append(waiting)
        self._waiting_count += len(waiting.append.records)

    def _dequeue(self) -> PendingAppend:
        waiting = self._waiting.popleft()
        self._waiting_count -= len(waiting.append.records)
        return waiting

    def _make_rejection(
        self,
        append: AppendRecords,
        existing_job_id: str = '',
    ) -> RecordsRejected:
        return RecordsRejected(
            append.token,
            append.journal_id,
            existing_job_id,
            self._settings.retry_after_s,
        )

    def _make_row_check(self) -> Check:
        return Check(journal_key(self.journal.journal_id), self.journal.version)

    def _take_batch(self) -> tuple[PendingAppend, ...]:
        batch: list[PendingAppend] = []
        request_keys: set[str] = set()
        count = 0
        while self._waiting:
            next_append = self._waiting[0].append
            count += len(next_append.records)
            if batch and count > self._settings.records_per_batch:
                break
            if next_append.request_key in request_keys:
                # In the next batch its check finds the row inserted by this
                # one.
                break
            if next_append.request_key:
                request_keys.add(next_append.request_key)
            batch.append(self._dequeue())
        return tuple(batch)

    def _write_batch(self, now: float) -> Signal:
        batch = self._take_batch()
        key = segment_key(self.journal.journal_id, self.journal.next_segment)
        job_ids_by_key = {
            request_row_key(waiting.append.request_key): waiting.append.job_id
            for waiting in batch
            if waiting.append.request_key
        }
        deleted_keys = self._take_deletions(
            self._settings.deletes_per_batch,
        )
        self._in_flight_count += 1
        return self._calls.transact(
            Appending(self, batch, deleted_keys, now),
            (
                Check(key, 0),
                self._make_row_check(),
                *(Check(request_key, 0) for request_key in job_ids_by_key),
            ),
            (
                put_structs(key, _records_of(batch)),
                *(Put(*request_row) for request_row in job_ids_by_key.items()),
            ),
            deleted_keys,
        )

    def _segment_keys(self, end: int) -> Iterable[str]:
        for number in range(self.journal.row.first_segment, end):
            yield segment_key(self.journal.journal_id, number)

    def _delete_next_segments(self, now: float) -> Signal:
        deleted_keys = self._take_deletions(
            self._settings.deletes_per_retirement,
        )
        check = self._make_row_check()
        self._in_flight_count += 1
        retiring = Retiring(self, deleted_keys, now)
        if not self._deleted_keys:
            keys = (*deleted_keys, check.key)
            return self._calls.transact(retiring, (check,), deletes=keys)
        # All jobs have ended, so an adopter may find the journal empty.
        row = structs.replace(
            self.journal.row,
            snapshot='',
            first_segment=self.journal.next_segment,
        )
        put = put_struct(check.key, row)
        return self._calls.transact(retiring, (check,), (put,), deleted_keys)

    def _take_deletions(self, limit: int) -> tuple[str, ...]:
        count = min(len(self._deleted_keys), limit)
        return tuple(self._deleted_keys.popleft() for _ in range(count))

    def _handle_commit(self, batch: Appending) -> Iterable[Signal]:
        self.journal.next_segment += 1
        for waiting in batch.batch:
            append = waiting.append
            self._log.add(append.records)
            yield RecordsCommitted(append.token, append.journal_id)

    def _handle_failed_checks(
        self,
        batch: Appending,
        reply: CheckFailed,
    ) -> Iterable[Signal]:
        row_check = self._make_row_check()
        segment = segment_key(
            self.journal.journal_id,
            self.journal.next_segment,
        )
        is_taken_over = reply.row(row_check.key).version != row_check.version
        # A different write at this batch's segment means that the local state
        # differs from the store; the journal is adopted again and replayed.
        if is_taken_over or reply.row(segment).version:
            yield from self.close()
        retried: list[PendingAppend] = []
        for waiting in batch.batch:
            append = waiting.append
            existing = reply.row(request_row_key(append.request_key))
            if append.request_key and existing.version:
                yield self._make_rejection(append, existing.value)
            else:
                retried.append(waiting)
        yield from self._requeue(tuple(retried))

    def _requeue(self, batch: tuple[PendingAppend, ...]) -> Iterable[Signal]:
        # The batch has not taken effect and never will. The appends keep their
        # time of arrival, so that the time until their refusal stays bounded.
        if self.is_closed:
            return [self._make_rejection(waiting.append) for waiting in batch]
        for waiting in reversed(batch):
            self._waiting.appendleft(waiting)
            self._waiting_count += len(waiting.append.records)
        return ()

    def _put_snapshot(self) -> Signal:
        records = self._log.records()
        journal = self.journal
        key = snapshot_key(
            journal.journal_id,
            journal.row.epoch,
            journal.next_segment,
        )
        self._snapshot = Snapshotting(
            self,
            key,
            journal.next_segment,
            len(records),
        )
        token = self._calls.token(self._snapshot)
        return PutObject(token, key, encode_snapshot(records))

    def _postpone_snapshot(self) -> None:
        self._snapshot = None
        self._snapshot_ready = False
        self._compact_at_count = (
            self._log.added_count + self._settings.compact_after_records
        )

    def _write_compaction(self, now: float) -> Signal:
        self._in_flight_count += 1
        row = structs.replace(
            self.journal.row,
            snapshot=self._snapshot.key,
            first_segment=self._snapshot.first_segment,
        )
        check = self._make_row_check()
        return self._calls.transact(
            Compacting(self, row, now),
            (check,),
            (put_struct(check.key, row),),
        )

    def _apply_compaction(
        self,
        compacting: Compacting,
        reply: Committed,
    ) -> None:
        journal = self.journal
        self._deleted_keys.extend(
            self._segment_keys(compacting.row.first_segment),
        )
        journal.row = compacting.row
        journal.version = reply.versions[journal_key(journal.journal_id)]
        self._compact_at_count = self._log.added_count + max(
            self._settings.compact_after_records,
            self._snapshot.record_count,
        )
        self._snapshot = None
        self._snapshot_ready = False

    def _delete_snapshot(self, key: str) -> Iterable[Signal]:
        # No session can still need it: a claim made while the row named this
        # object would have made the compaction fail.
        if not key:
            return ()
        token = self._calls.token(DeletingSnapshot())
        return (DeleteObject(token, key),)

    def _close_and_release(self, now: float) -> Iterable[Signal]:
        # Once released, the row can be claimed at any time.
        self._must_release = True
        yield from self.close()
        yield self._release_row(now)

    def _release_row(self, now: float) -> Signal:
        self._in_flight_count += 1
        row = self.journal.row
        released = structs.replace(
            row,
            owner=NO_OWNER,
            former_owner=row.owner,
        )
        check = self._make_row_check()
        return self._calls.transact(
            HandingOver(self, now),
            (check,),
            (put_struct(check.key, released),),
        )


def _records_of(batch: tuple[PendingAppend, ...]) -> list[JournalRecord]:
    return [record for waiting in batch for record in waiting.append.records]
