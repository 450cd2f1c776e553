"""Appends to one owned journal: batches, compaction and handover."""

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
    """Bounds of one journal.

    ``refuse_after_s`` is how long records wait for a batch before they are
    refused. A batch holds at most ``records_per_batch`` records (or one
    larger append) and deletes at most ``deletes_per_batch`` old segments.
    A snapshot is written after ``compact_after_records`` records, or as many
    as the last snapshot held if that is more, so that its cost per record
    stays bounded. An adopted journal whose jobs have all ended is deleted
    after ``retire_after_s`` without a record, by writes that delete at most
    ``deletes_per_retirement`` segments each; until then the status of its
    jobs can be read.
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
    """A journal row as this session wrote it last, and its segments."""

    journal_id: str
    row: JournalRow
    version: int
    next_segment: int = 0


class PendingAppend(Struct, frozen=True):
    """An append and when it came."""

    append: AppendRecords
    since_s: float


class Appending(Struct, frozen=True):
    """A batch in flight."""

    writer: 'JournalWriter'
    batch: tuple[PendingAppend, ...]
    deleted_keys: tuple[str, ...]
    sent_s: float


class Snapshotting(Struct, frozen=True):
    """A snapshot object being written; it replaces segments before one."""

    writer: 'JournalWriter'
    key: str
    first_segment: int
    record_count: int


class Compacting(Struct, frozen=True):
    """The journal row is moved to a written snapshot."""

    writer: 'JournalWriter'
    row: JournalRow
    sent_s: float


class Retiring(Struct, frozen=True):
    """Segments, and at last the row, of a retired journal are deleted."""

    writer: 'JournalWriter'
    deleted_keys: tuple[str, ...]
    sent_s: float


class DeletingSnapshot(Struct, frozen=True):
    """A replaced snapshot is deleted; what comes of it does not matter."""


class HandingOver(Struct, frozen=True):
    """The journal row is left without an owner."""

    writer: 'JournalWriter'
    sent_s: float


class JournalWriter:
    """The only writer of one journal while its row does not change.

    One transaction is in flight at a time. Each is conditional on the
    version of the journal row, so once another session has taken the row
    over, all fail and the journal is closed here. Records are refused only
    while they wait, or after a definite answer that their batch failed;
    those of a batch in flight wait for its settlement.
    """

    __slots__ = (
        '_active_s',
        '_calls',
        '_compact_due_count',
        '_deleted_keys',
        '_flight_count',
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
        """Begin with the log of an opened or adopted journal.

        ``deleted_keys`` are the segments that a snapshot has replaced.
        """
        self._settings = settings
        self._calls = calls
        self._active_s = now
        self.journal = journal
        self._log = log
        self._deleted_keys = deque(deleted_keys)
        self._compact_due_count = settings.compact_after_records
        self._flight_count = 0
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
        """Tell whether the journal is closed and nothing is unsettled."""
        return (
            self.is_closed
            and not self._must_release
            and not self._is_retiring
            and not self._flight_count
        )

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is to be done before the next append."""
        if self._is_leaving or self._is_retiring:
            return False
        return not (self._waiting or self._flight_count or self._snapshot)

    def waiting_since(self) -> float:
        """Return when the oldest waiting append came, else infinity."""
        if self._waiting:
            return self._waiting[0].since_s
        return float('inf')

    def dump(self) -> dict[str, Any]:
        """Return the journal's position in JSON builtins."""
        return {
            'epoch': self.journal.row.epoch,
            'next_segment': self.journal.next_segment,
            'first_segment': self.journal.row.first_segment,
            'waiting_records': self._waiting_count,
            'in_flight': self._flight_count,
        }

    def append(self, signal: AppendRecords, now: float) -> Iterable[Signal]:
        """Put records in line, or refuse them at once."""
        crowded = (
            self._waiting_count + len(signal.records)
            > self._settings.max_waiting_records
        )
        if self.is_closed or self._is_leaving or crowded:
            return (self._rejection(signal),)
        self._active_s = now
        self._enqueue(PendingAppend(signal, now))
        return ()

    def leave(self) -> None:
        """Take no more records; hand over once the waiting ones are out."""
        self._is_leaving = True

    def refuse_overdue(self, now: float) -> Iterable[Signal]:
        """Refuse records that have waited too long for a batch."""
        overdue_s = now - self._settings.refuse_after_s
        while self._waiting and self._waiting[0].since_s <= overdue_s:
            yield self._rejection(self._dequeue().append)

    def next_write(self, now: float) -> Iterable[Signal]:
        """Return the next transaction, if there is any to make."""
        if self._flight_count:
            return ()
        if self._must_release:
            return (self._handover(now),)
        if self._is_retiring:
            return (self._delete_some(now),)
        if self.is_closed:
            return ()
        return self._next_open_write(now)

    def next_snapshot(self) -> Iterable[Signal]:
        """Return the write of a snapshot object once it is due."""
        due = self._log.added_count >= self._compact_due_count
        if not due or self._snapshot or self.is_closed or self._is_leaving:
            return ()
        return (self._put_snapshot(),)

    def appended(
        self,
        batch: Appending,
        reply: StoreReply,
    ) -> Iterable[Signal]:
        """Settle a batch."""
        self._flight_count -= 1
        if isinstance(reply, Committed):
            return self._commit(batch)
        self._deleted_keys.extendleft(reversed(batch.deleted_keys))
        if isinstance(reply, CheckFailed):
            return self._resolve(batch, reply)
        return self._wait_again(batch.batch)

    def snapshot_written(
        self,
        snapshot: Snapshotting,
        reply: ObjectReplied,
    ) -> Iterable[Signal]:
        """Move the journal row next, or write the snapshot again later."""
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
        """Take over the new row; its old segments are deleted by batches."""
        self._flight_count -= 1
        if isinstance(reply, Committed):
            replaced_key = self.journal.row.snapshot
            self._take_compacted(compacting, reply)
            return (
                Count('journal.compacted'),
                *self._delete_snapshot(replaced_key),
            )
        self._postpone_snapshot()
        if isinstance(reply, CheckFailed):
            return self.close()
        return ()

    def handed_over(self, reply: StoreReply) -> Iterable[Signal]:
        """Settle the handover; it is repeated where the store refused."""
        self._flight_count -= 1
        if isinstance(reply, (Committed, CheckFailed)):
            self._must_release = False
        return ()

    def close(self) -> Iterable[Signal]:
        """Stop: the journal is lost. Waiting records are refused."""
        if self.is_closed:
            return
        self.is_closed = True
        yield JournalClosed(self.journal.journal_id)
        while self._waiting:
            yield self._rejection(self._dequeue().append)

    def retire_if_unused(self, now: float) -> Iterable[Signal]:
        """Close the journal and delete it once nobody needs it."""
        unused_s = now - self._active_s
        if not self.is_idle or unused_s < self._settings.retire_after_s:
            return ()
        self._active_s = now
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
        """Go on until the row is deleted or another session has it."""
        self._flight_count -= 1
        row_key = self._row_check().key
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
        """Stop without a handover: the own session is lost."""
        self._must_release = False
        self._is_retiring = False
        return self.close()

    def _next_open_write(self, now: float) -> Iterable[Signal]:
        if self._snapshot_ready:
            return (self._compact(now),)
        if self._waiting:
            return (self._append_batch(now),)
        if self._is_leaving:
            return self._hand_over(now)
        return ()

    def _enqueue(self, waiting: PendingAppend) -> None:
        self._waiting.append(waiting)
        self._waiting_count += len(waiting.append.records)

    def _dequeue(self) -> PendingAppend:
        waiting = self._waiting.popleft()
        self._waiting_count -= len(waiting.append.records)
        return waiting

    def _rejection(
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

    def _row_check(self) -> Check:
        return Check(journal_key(self.journal.journal_id), self.journal.version)

    def _take_batch(self) -> tuple[PendingAppend, ...]:
        batch: list[PendingAppend] = []
        request_keys: set[str] = set()
        count = 0
        while self._waiting:
            following = self._waiting[0].append
            count += len(following.records)
            if batch and count > self._settings.records_per_batch:
                break
            if following.request_key in request_keys:
                # The next batch finds the row that this one inserts.
                break
            if following.request_key:
                request_keys.add(following.request_key)
            batch.append(self._dequeue())
        return tuple(batch)

    def _append_batch(self, now: float) -> Signal:
        batch = self._take_batch()
        key = segment_key(self.journal.journal_id, self.journal.next_segment)
        job_ids_by_key = {
            request_row_key(waiting.append.request_key): waiting.append.job_id
            for waiting in batch
            if waiting.append.request_key
        }
        deleted_keys = self._take_deleted(
            self._settings.deletes_per_batch,
        )
        self._flight_count += 1
        return self._calls.transact(
            Appending(self, batch, deleted_keys, now),
            (
                Check(key, 0),
                self._row_check(),
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

    def _delete_some(self, now: float) -> Signal:
        deleted_keys = self._take_deleted(
            self._settings.deletes_per_retirement,
        )
        check = self._row_check()
        self._flight_count += 1
        retiring = Retiring(self, deleted_keys, now)
        if not self._deleted_keys:
            keys = (*deleted_keys, check.key)
            return self._calls.transact(retiring, (check,), deletes=keys)
        # All jobs are over, so the journal may be empty from here on.
        row = structs.replace(
            self.journal.row,
            snapshot='',
            first_segment=self.journal.next_segment,
        )
        put = put_struct(check.key, row)
        return self._calls.transact(retiring, (check,), (put,), deleted_keys)

    def _take_deleted(self, most: int) -> tuple[str, ...]:
        count = min(len(self._deleted_keys), most)
        return tuple(self._deleted_keys.popleft() for _ in range(count))

    def _commit(self, batch: Appending) -> Iterable[Signal]:
        self.journal.next_segment += 1
        for waiting in batch.batch:
            append = waiting.append
            self._log.add(append.records)
            yield RecordsCommitted(append.token, append.journal_id)

    def _resolve(
        self,
        batch: Appending,
        reply: CheckFailed,
    ) -> Iterable[Signal]:
        row_check = self._row_check()
        segment = segment_key(
            self.journal.journal_id,
            self.journal.next_segment,
        )
        is_deposed = reply.row(row_check.key).version != row_check.version
        # Another write in the place of this batch means that the state here
        # is not that of the store; the journal is adopted again and replayed.
        if is_deposed or reply.row(segment).version:
            yield from self.close()
        again: list[PendingAppend] = []
        for waiting in batch.batch:
            append = waiting.append
            existing = reply.row(request_row_key(append.request_key))
            if append.request_key and existing.version:
                yield self._rejection(append, existing.value)
            else:
                again.append(waiting)
        yield from self._wait_again(tuple(again))

    def _wait_again(self, batch: tuple[PendingAppend, ...]) -> Iterable[Signal]:
        # The batch definitely has not taken effect and never will. It keeps
        # its time of arrival, so that its refusal stays bounded.
        if self.is_closed:
            return [self._rejection(waiting.append) for waiting in batch]
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
        self._compact_due_count = (
            self._log.added_count + self._settings.compact_after_records
        )

    def _compact(self, now: float) -> Signal:
        self._flight_count += 1
        row = structs.replace(
            self.journal.row,
            snapshot=self._snapshot.key,
            first_segment=self._snapshot.first_segment,
        )
        check = self._row_check()
        return self._calls.transact(
            Compacting(self, row, now),
            (check,),
            (put_struct(check.key, row),),
        )

    def _take_compacted(
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
        self._compact_due_count = self._log.added_count + max(
            self._settings.compact_after_records,
            self._snapshot.record_count,
        )
        self._snapshot = None
        self._snapshot_ready = False

    def _delete_snapshot(self, key: str) -> Iterable[Signal]:
        # No session can still need it: one that claimed the journal while
        # its row named this object made the compaction fail.
        if not key:
            return ()
        token = self._calls.token(DeletingSnapshot())
        return (DeleteObject(token, key),)

    def _hand_over(self, now: float) -> Iterable[Signal]:
        # From here on the row may change at any moment.
        self._must_release = True
        yield from self.close()
        yield self._handover(now)

    def _handover(self, now: float) -> Signal:
        self._flight_count += 1
        row = self.journal.row
        released = structs.replace(
            row,
            owner=NO_OWNER,
            former_owner=row.owner,
        )
        check = self._row_check()
        return self._calls.transact(
            HandingOver(self, now),
            (check,),
            (put_struct(check.key, released),),
        )


def _records_of(batch: tuple[PendingAppend, ...]) -> list[JournalRecord]:
    return [record for waiting in batch for record in waiting.append.records]
