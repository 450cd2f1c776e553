"""Makes job records durable and adopts journals of other sessions."""

from collections.abc import Iterable
from typing import Any, Self

from msgspec import Struct, field

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.journal_adoption import (
    AdoptedJournal,
    AdoptionSettings,
    Claiming,
    JournalAdoptions,
    ReadingSegments,
    ReadingSnapshot,
    Sweeping,
)
from apricotlead.coordination.journal_writer import (
    Appending,
    Compacting,
    HandingOver,
    JournalWriter,
    OwnedJournal,
    Retiring,
    Snapshotting,
    WriterSettings,
)
from apricotlead.coordination.store_calls import StoreCalls
from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.rows import JournalRow, journal_key, put_struct
from apricotlead.protocol.signals import (
    AppendRecords,
    JournalOpened,
    ObjectReplied,
    PeerLapsed,
    RecordsRejected,
    RecordsWaiting,
    SessionLost,
    SessionOpened,
    Shutdown,
    Signal,
    StoreReplied,
    Tick,
)
from apricotlead.protocol.table import (
    Check,
    Committed,
    StoreFailed,
    StoreReply,
)
from apricotlead.state.journal_log import JournalLog
from apricotlead.state.session_view import SessionView

_NEVER = float('-inf')


class JournalSettings(Struct, frozen=True):
    """Rate limits of the batches; times in seconds.

    All sessions together make about ``batches_per_s`` appends per second. The
    interval between two batches of this session is at least
    ``min_batch_interval_s`` and grows with the latency of the store, up to
    ``max_batch_interval_s``. After an idle period a session may write up to
    ``saved_batches`` without that interval, unless the store is slow, so that
    a job becomes durable and is assigned without delay. Adopted journals that
    are no longer needed are looked for every ``retire_interval_s``.
    """

    batches_per_s: float = 200.0
    min_batch_interval_s: float = 0.02
    max_batch_interval_s: float = 0.5
    saved_batches: int = 2
    retry_s: float = 0.2
    retire_interval_s: float = 60.0
    writer: WriterSettings = field(default_factory=WriterSettings)
    adoption: AdoptionSettings = field(default_factory=AdoptionSettings)


class _Opening(Struct, frozen=True):
    session_id: str
    row: JournalRow


class JournalKeeper(Component):
    """Owns the new journal of this session and the journals it adopted.

    Nothing is sent, and no journal is opened for the other components, while
    the own lease is not valid.
    """

    name = 'journals'
    __slots__ = (
        '_active_by_id',
        '_adopted',
        '_adoptions',
        '_calls',
        '_closing_writers',
        '_is_leaving',
        '_is_write_requested',
        '_opening_due_s',
        '_retire_due_s',
        '_settings',
        '_store_latency_s',
        '_view',
        '_write_due_s',
        '_writers_by_id',
    )

    def __init__(
        self,
        settings: JournalSettings,
        view: SessionView,
        rng: RandomSource,
    ) -> None:
        """Start without a journal."""
        self._settings = settings
        self._view = view
        self._calls = StoreCalls(self.name, rng)
        self._adoptions = JournalAdoptions(
            settings.adoption,
            self._calls,
            view,
            rng,
        )
        self._adopted: list[AdoptedJournal] = []
        # Most adopted journals are idle; a tick visits only the others.
        self._active_by_id: dict[str, JournalWriter] = {}
        self._closing_writers: list[JournalWriter] = []
        self._is_leaving = False
        self._is_write_requested = False
        self._opening_due_s = float('inf')
        self._retire_due_s = _NEVER
        self._store_latency_s = 0.0
        self._write_due_s = _NEVER
        self._writers_by_id: dict[str, JournalWriter] = {}

    @classmethod
    def from_config(
        cls,
        settings: JournalSettings,
        view: SessionView,
        rng: RandomSource,
    ) -> Self:
        """Return the keeper of the journals of the session of ``view``."""
        return cls(settings, view, rng)

    @handles(Tick)
    def on_tick(self, signal: Tick, now: float) -> Iterable[Signal]:
        """Refuse records that waited too long; send what is due."""
        for active_writer in self._active_by_id.values():
            yield from active_writer.refuse_overdue(now)
        if not self._view.is_valid(now):
            return
        if now >= self._opening_due_s:
            yield self._create_journal()
        yield from self._open_adopted(now)
        yield from self._adoptions.retry_reads(now)
        if not self._is_leaving:
            yield from self._adoptions.sweep_if_due(now)
        for writer in self._active_by_id.values():
            yield from writer.next_snapshot()
        if now >= self._retire_due_s:
            yield from self._retire(now)
        if now >= self._write_due_s:
            yield from self._write(now)
        self._remove_inactive()

    @handles(SessionOpened)
    def on_opened(
        self,
        signal: SessionOpened,
        now: float,
    ) -> Iterable[Signal]:
        """Schedule a new journal for the next tick."""
        if not self._is_leaving:
            self._opening_due_s = now
        return ()

    @handles(SessionLost)
    def on_lost(self, signal: SessionLost, now: float) -> Iterable[Signal]:
        """Close all journals; batches in flight are still resolved."""
        self._adoptions.abandon_all()
        self._adopted.clear()
        self._opening_due_s = float('inf')
        for writer in self._writers_by_id.values():
            yield from writer.abandon()
            self._closing_writers.append(writer)
        self._writers_by_id.clear()
        self._active_by_id.clear()

    @handles(PeerLapsed)
    def on_lapsed(self, signal: PeerLapsed, now: float) -> Iterable[Signal]:
        """Look for journals of the peer."""
        self._adoptions.record_lapse(signal, now)
        return ()

    @handles(Shutdown)
    def on_shutdown(self, signal: Shutdown, now: float) -> Iterable[Signal]:
        """Hand over all journals once the waiting records are durable."""
        self._is_leaving = True
        self._opening_due_s = float('inf')
        for writer in self._writers_by_id.values():
            writer.leave()
        self._active_by_id.update(self._writers_by_id)
        return ()

    @handles(AppendRecords)
    def on_append(
        self,
        signal: AppendRecords,
        now: float,
    ) -> Iterable[Signal]:
        """Queue the records for the next batch.

        It is sent at the end of this delivery if the rate limit allows.
        """
        writer = self._writers_by_id.get(signal.journal_id)
        if writer is None:
            return (
                RecordsRejected(
                    signal.token,
                    signal.journal_id,
                    retry_after_s=self._settings.writer.retry_after_s,
                ),
            )
        self._active_by_id[signal.journal_id] = writer
        return (*writer.append(signal, now), *self._request_write(now))

    @handles(RecordsWaiting)
    def on_waiting(
        self,
        signal: RecordsWaiting,
        now: float,
    ) -> Iterable[Signal]:
        """Write the records of this delivery if the rate limit allows."""
        self._is_write_requested = False
        if not self._view.is_valid(now) or now < self._write_due_s:
            return ()
        return self._write(now)

    @handles(StoreReplied)
    def on_reply(
        self,
        signal: StoreReplied,
        now: float,
    ) -> Iterable[Signal]:
        """Continue the operation that the reply belongs to."""
        purpose = self._calls.take(signal.token)
        reply = signal.reply
        if isinstance(purpose, (Appending, Compacting, HandingOver, Retiring)):
            effects = tuple(self._handle_write_reply(purpose, reply, now))
            return (*effects, *self._request_write(now))
        if isinstance(purpose, Sweeping):
            return self._handle_sweep_reply(reply, now)
        if purpose is None or purpose.session_id != self._view.session_id:
            return ()
        if isinstance(purpose, _Opening):
            return self._handle_opening_reply(purpose, reply, now)
        if isinstance(purpose, Claiming):
            return self._adoptions.claimed(purpose, reply, now)
        return self._handle_segments(purpose, reply, now)

    @handles(ObjectReplied)
    def on_object(
        self,
        signal: ObjectReplied,
        now: float,
    ) -> Iterable[Signal]:
        """Continue after the write or the read of a snapshot."""
        purpose = self._calls.take(signal.token)
        if isinstance(purpose, Snapshotting):
            return purpose.writer.snapshot_written(purpose, signal)
        if isinstance(purpose, ReadingSnapshot):
            if purpose.session_id == self._view.session_id:
                return self._adoptions.snapshot_read(purpose, signal, now)
        return ()

    def is_drained(self) -> bool:
        """Tell whether a planned stop has handed over all journals."""
        self._remove_inactive()
        return not (
            self._writers_by_id
            or self._closing_writers
            or self._adopted
            or self._adoptions.adopting_ids
        )

    def dump(self, now: float) -> dict[str, Any]:
        """Return the owned journals."""
        return {
            'batch_interval_s': self._batch_interval_s(),
            'adopting': sorted(self._adoptions.adopting_ids),
            'owned': {
                journal_id: writer.dump()
                for journal_id, writer in self._writers_by_id.items()
            },
        }

    def _create_journal(self) -> Signal:
        self._opening_due_s = float('inf')
        session_id = self._view.session_id
        # Until it is opened, a sweep must not mistake this journal for an
        # adoption that was not completed.
        self._adoptions.adopting_ids.add(session_id)
        row = JournalRow(session_id, epoch=1)
        key = journal_key(session_id)
        return self._calls.transact(
            _Opening(session_id, row),
            (Check(key, 0),),
            (put_struct(key, row),),
        )

    def _handle_opening_reply(
        self,
        opening: _Opening,
        reply: StoreReply,
        now: float,
    ) -> Iterable[Signal]:
        journal_id = opening.session_id
        if isinstance(reply, Committed):
            version = reply.versions[journal_key(journal_id)]
            journal = OwnedJournal(journal_id, opening.row, version)
            self._adopted.append(AdoptedJournal(journal, (), ()))
            return self._open_adopted(now) if self._view.is_valid(now) else ()
        self._adoptions.adopting_ids.discard(journal_id)
        if isinstance(reply, StoreFailed) and not self._is_leaving:
            self._opening_due_s = now + self._settings.retry_s
        return ()

    def _open_adopted(self, now: float) -> Iterable[Signal]:
        adopted = tuple(self._adopted)
        self._adopted.clear()
        for one in adopted:
            yield self._open(one, now)

    def _open(self, adopted: AdoptedJournal, now: float) -> Signal:
        journal = adopted.journal
        log = JournalLog(self._settings.writer.ended_jobs_kept)
        log.add(adopted.records)
        writer = JournalWriter(
            self._settings.writer,
            self._calls,
            journal,
            log,
            adopted.stale_keys,
            now,
        )
        if self._is_leaving:
            writer.leave()
        self._writers_by_id[journal.journal_id] = writer
        self._active_by_id[journal.journal_id] = writer
        self._adoptions.adopting_ids.discard(journal.journal_id)
        return JournalOpened(
            journal.journal_id,
            journal.row.epoch,
            adopted.records,
        )

    def _handle_sweep_reply(
        self, reply: StoreReply, now: float
    ) -> Iterable[Signal]:
        may_claim = self._view.is_valid(now) and not self._is_leaving
        return self._adoptions.swept(
            reply if may_claim else StoreFailed(applied=False),
            self._writers_by_id,
            now,
        )

    def _handle_segments(
        self,
        reading: ReadingSegments,
        reply: StoreReply,
        now: float,
    ) -> Iterable[Signal]:
        adopted = self._adoptions.segments_read(reading, reply, now)
        if adopted is not None:
            self._adopted.append(adopted)
            if self._view.is_valid(now):
                return self._open_adopted(now)
        return ()

    def _handle_write_reply(
        self,
        purpose: Appending | Compacting | HandingOver | Retiring,
        reply: StoreReply,
        now: float,
    ) -> Iterable[Signal]:
        self._store_latency_s = now - purpose.sent_s
        if isinstance(reply, StoreFailed):
            self._write_due_s = now + reply.retry_after_s
        if isinstance(purpose, Appending):
            return purpose.writer.appended(purpose, reply)
        if isinstance(purpose, Compacting):
            return purpose.writer.compacted(purpose, reply)
        if isinstance(purpose, Retiring):
            return purpose.writer.retired(purpose, reply)
        return purpose.writer.handed_over(reply)

    def _batch_interval_s(self) -> float:
        latency_s = min(
            self._store_latency_s, self._settings.max_batch_interval_s
        )
        return max(self._min_interval_s(), latency_s)

    def _min_interval_s(self) -> float:
        settings = self._settings
        sessions = len(self._view.peers_by_id) + 1
        return max(
            settings.min_batch_interval_s,
            sessions / settings.batches_per_s,
        )

    def _request_write(self, now: float) -> Iterable[Signal]:
        if self._is_write_requested or now < self._write_due_s:
            return ()
        self._is_write_requested = True
        return (RecordsWaiting(),)

    def _schedule_next_write(self, now: float) -> None:
        saved_s = self._settings.saved_batches * self._min_interval_s()
        base_s = max(self._write_due_s, now - saved_s)
        self._write_due_s = base_s + self._batch_interval_s()

    def _write(self, now: float) -> Iterable[Signal]:
        # The journal with the longest waiting records comes first.
        writers = sorted(
            self._active_by_id.values(),
            key=JournalWriter.waiting_since,
        )
        for writer in writers:
            written = tuple(writer.next_write(now))
            if written:
                self._schedule_next_write(now)
                return written
        return ()

    def _retire(self, now: float) -> Iterable[Signal]:
        self._retire_due_s = now + self._settings.retire_interval_s
        for journal_id, writer in self._writers_by_id.items():
            if journal_id != self._view.session_id:
                yield from writer.retire_if_unused(now)
                self._active_by_id[journal_id] = writer

    def _remove_inactive(self) -> None:
        self._closing_writers = [
            one for one in self._closing_writers if not one.is_finished
        ]
        for journal_id, writer in tuple(self._active_by_id.items()):
            if writer.is_finished:
                self._writers_by_id.pop(journal_id)
            if writer.is_finished or writer.is_idle:
                self._active_by_id.pop(journal_id)
