"""Adopts the journals of sessions that lapsed or left."""

from collections.abc import Container, Iterable, Sequence

from msgspec import Struct, convert, structs

from apricotlead.coordination.journal_writer import OwnedJournal
from apricotlead.coordination.lapsed_sessions import LapsedSessions
from apricotlead.coordination.rendezvous import rank_of
from apricotlead.coordination.store_calls import StoreCalls
from apricotlead.protocol.jobs import JournalRecord
from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.rows import (
    JOURNAL_PREFIX,
    NO_OWNER,
    JournalRow,
    id_of,
    journal_key,
    put_struct,
    read_journal,
    segment_number,
    segment_prefix,
    session_key,
)
from apricotlead.protocol.signals import (
    GetObject,
    ObjectReplied,
    PeerLapsed,
    Signal,
    Token,
)
from apricotlead.protocol.table import (
    Check,
    CheckFailed,
    Committed,
    Row,
    Rows,
    StoreReply,
)
from apricotlead.state.journal_log import decode_snapshot
from apricotlead.state.session_view import SessionView

_NEVER = float('-inf')


class AdoptionSettings(Struct, frozen=True):
    """Times in seconds.

    All journal rows are read every ``sweep_interval_s`` (times a random factor
    of 0.5 to 1.5). For ``urgent_s`` after a session lapsed or began to leave,
    the ``urgent_ranks`` sessions that rank first for it read them every
    ``urgent_interval_s``; each further rank starts ``rank_step_s`` later. A
    lapsed session is remembered for ``remember_s``; after that only the check
    of a claim shows its state.
    """

    sweep_interval_s: float = 20.0
    urgent_interval_s: float = 0.5
    urgent_s: float = 15.0
    urgent_ranks: int = 3
    rank_step_s: float = 1.5
    read_timeout_s: float = 5.0
    retry_s: float = 0.3
    max_adoptions: int = 8
    remember_s: float = 7200.0


class AdoptedJournal(Struct, frozen=True):
    """An adopted journal with its records in commit order.

    ``stale_keys`` are the segments that the snapshot has replaced.
    """

    journal: OwnedJournal
    records: tuple[JournalRecord, ...]
    stale_keys: tuple[str, ...]


class Sweeping(Struct, frozen=True):
    """All journal rows are being read."""


class Claiming(Struct, frozen=True):
    """A journal row is being claimed."""

    session_id: str
    journal_id: str
    row: JournalRow
    former_id: str


class ReadingSnapshot(Struct, frozen=True):
    """The snapshot of a claimed journal is being read."""

    session_id: str
    journal: OwnedJournal


class ReadingSegments(Struct, frozen=True):
    """The segments of a claimed journal are being read."""

    session_id: str
    journal: OwnedJournal
    snapshot: tuple[JournalRecord, ...]


class _Retry(Struct, frozen=True):
    due_s: float
    reading: ReadingSnapshot | ReadingSegments


class JournalAdoptions:
    """Finds journals to adopt, claims them and reads their records.

    A claim checks the version of the journal row and, if the row names an
    owner, that this owner's session row is marked adopted or deleted. The
    store therefore rejects a claim on the journal of a session that can still
    renew.
    """

    __slots__ = (
        '_calls',
        '_lapsed',
        '_lapsed_s_by_id',
        '_retries',
        '_rng',
        '_settings',
        '_sweep_due_s',
        '_sweep_sent_s',
        '_sweep_token',
        '_view',
        'adopting_ids',
    )

    def __init__(
        self,
        settings: AdoptionSettings,
        calls: StoreCalls,
        view: SessionView,
        rng: RandomSource,
    ) -> None:
        """Start with no adoption; the first sweep is due at once."""
        self._settings = settings
        self._calls = calls
        self._lapsed = LapsedSessions()
        self._view = view
        self._rng = rng
        self._lapsed_s_by_id: dict[str, float] = {}
        self._retries: list[_Retry] = []
        self._sweep_due_s = _NEVER
        self._sweep_sent_s = _NEVER
        self._sweep_token: Token | None = None
        self.adopting_ids: set[str] = set()

    def record_lapse(self, lapsed: PeerLapsed, now: float) -> None:
        """Schedule a sweep for the session's journals, delayed by rank."""
        session_id = lapsed.session_id
        self._lapsed_s_by_id[session_id] = now
        self._lapsed.record(session_id, lapsed.row_version, now)
        delay_s = self._rank_delay_s(session_id)
        if delay_s < self._settings.urgent_ranks * self._settings.rank_step_s:
            self._sweep_due_s = min(self._sweep_due_s, now + delay_s)

    def abandon_all(self) -> None:
        """Abandon all adoptions because the own session is lost."""
        self.adopting_ids.clear()
        self._retries.clear()

    def retry_reads(self, now: float) -> Iterable[Signal]:
        """Return the reads of claimed journals that are due for a retry."""
        due = [retry for retry in self._retries if retry.due_s <= now]
        self._retries = [one for one in self._retries if one.due_s > now]
        return [self._read(retry.reading) for retry in due]

    def sweep_if_due(self, now: float) -> Iterable[Signal]:
        """Return the scan of all journal rows when it is due."""
        if self._sweep_token is None:
            if now >= self._sweep_due_s:
                yield self._sweep(now)
        elif now - self._sweep_sent_s > self._settings.read_timeout_s:
            self._calls.abandon(self._sweep_token)
            self._end_sweep(now)

    def swept(
        self,
        reply: StoreReply,
        owned_ids: Container[str],
        now: float,
    ) -> Iterable[Signal]:
        """Claim the journals that may be claimed among the rows read."""
        self._end_sweep(now)
        if not isinstance(reply, Rows):
            return
        for row in reply.rows:
            journal_id = id_of(row)
            if len(self.adopting_ids) >= self._settings.max_adoptions:
                return
            if journal_id in owned_ids or journal_id in self.adopting_ids:
                continue
            if self._may_claim(read_journal(row), now):
                yield self._claim(row)

    def claimed(
        self,
        claiming: Claiming,
        reply: StoreReply,
        now: float,
    ) -> Iterable[Signal]:
        """Read the claimed journal, or give up if the claim failed."""
        if isinstance(reply, Committed):
            journal = OwnedJournal(
                claiming.journal_id,
                claiming.row,
                reply.versions[journal_key(claiming.journal_id)],
                claiming.row.first_segment,
            )
            return (self._begin_reading(claiming.session_id, journal),)
        self.adopting_ids.discard(claiming.journal_id)
        if isinstance(reply, CheckFailed):
            row = reply.row(session_key(claiming.former_id))
            self._lapsed.apply_row(claiming.former_id, row, now)
        return ()

    def snapshot_read(
        self,
        reading: ReadingSnapshot,
        reply: ObjectReplied,
        now: float,
    ) -> Iterable[Signal]:
        """Read the segments after the snapshot."""
        if not reply.succeeded or reply.content is None:
            self._retry(reading, now)
            return ()
        following = ReadingSegments(
            reading.session_id,
            reading.journal,
            tuple(decode_snapshot(reply.content)),
        )
        return (self._read(following),)

    def segments_read(
        self,
        reading: ReadingSegments,
        reply: StoreReply,
        now: float,
    ) -> AdoptedJournal | None:
        """Return the adopted journal, ``None`` if it must be read again."""
        if isinstance(reply, Rows):
            adopted = _replay(reading, reply.rows)
            if adopted is not None:
                return adopted
        self._retry(reading, now)
        return None

    def _rank_delay_s(self, session_id: str) -> float:
        rank = rank_of(
            session_id,
            self._view.session_id,
            self._view.peers_by_id,
        )
        return rank * self._settings.rank_step_s

    def _sweep(self, now: float) -> Signal:
        scan = self._calls.scan(Sweeping(), JOURNAL_PREFIX)
        self._sweep_token = scan.token
        self._sweep_sent_s = now
        return scan

    def _end_sweep(self, now: float) -> None:
        self._sweep_token = None
        self._expire_lapses(now)
        if self._is_urgent(now):
            self._sweep_due_s = now + self._settings.urgent_interval_s
        else:
            factor = self._rng.uniform(0.5, 1.5)
            self._sweep_due_s = now + self._settings.sweep_interval_s * factor

    def _expire_lapses(self, now: float) -> None:
        expired_ids = [
            session_id
            for session_id, lapsed_s in self._lapsed_s_by_id.items()
            if now - lapsed_s > self._settings.remember_s
        ]
        for session_id in expired_ids:
            self._lapsed_s_by_id.pop(session_id)
            self._lapsed.forget(session_id)

    def _is_urgent(self, now: float) -> bool:
        settings = self._settings
        longest_delay_s = settings.urgent_ranks * settings.rank_step_s
        return any(
            now - lapsed_s < settings.urgent_s
            and self._rank_delay_s(session_id) < longest_delay_s
            for session_id, lapsed_s in self._lapsed_s_by_id.items()
        )

    def _may_claim(self, row: JournalRow, now: float) -> bool:
        if row.owner == self._view.session_id:
            return True
        if row.owner in self._view.peers_by_id:
            return False
        if not self._lapsed.may_claim_from(row.owner, now):
            return False
        former_id = row.owner or row.former_owner
        lapsed_s = self._lapsed_s_by_id.setdefault(former_id, now)
        return now >= lapsed_s + self._rank_delay_s(former_id)

    def _claim(self, row: Row) -> Signal:
        old_row = read_journal(row)
        own_id = self._view.session_id
        new_row = structs.replace(
            old_row,
            owner=own_id,
            epoch=old_row.epoch + 1,
            former_owner='',
        )
        self.adopting_ids.add(id_of(row))
        return self._calls.transact(
            Claiming(own_id, id_of(row), new_row, old_row.owner),
            (Check(row.key, row.version), *self._owner_checks(old_row.owner)),
            (put_struct(row.key, new_row),),
        )

    def _owner_checks(self, owner: str) -> tuple[Check, ...]:
        if owner in {NO_OWNER, self._view.session_id}:
            return ()
        return (self._lapsed.claim_check(owner),)

    def _begin_reading(self, session_id: str, journal: OwnedJournal) -> Signal:
        if journal.row.snapshot:
            return self._read(ReadingSnapshot(session_id, journal))
        return self._read(ReadingSegments(session_id, journal, ()))

    def _read(self, reading: ReadingSnapshot | ReadingSegments) -> Signal:
        journal = reading.journal
        if isinstance(reading, ReadingSnapshot):
            token = self._calls.token(reading)
            return GetObject(token, journal.row.snapshot)
        return self._calls.scan(reading, segment_prefix(journal.journal_id))

    def _retry(
        self,
        reading: ReadingSnapshot | ReadingSegments,
        now: float,
    ) -> None:
        due_s = now + self._settings.retry_s
        self._retries.append(_Retry(due_s, reading))


def _replay(
    reading: ReadingSegments,
    rows: Sequence[Row],
) -> AdoptedJournal | None:
    journal = reading.journal
    first = journal.row.first_segment
    rows_by_number = {segment_number(row.key): row for row in rows}
    numbers = sorted(number for number in rows_by_number if number >= first)
    if numbers != list(range(first, first + len(numbers))):
        return None
    records = list(reading.snapshot)
    for following in numbers:
        records.extend(_decode_segment(rows_by_number[following]))
    journal.next_segment = first + len(numbers)
    stale_keys = tuple(
        row.key for number, row in rows_by_number.items() if number < first
    )
    return AdoptedJournal(journal, tuple(records), stale_keys)


def _decode_segment(row: Row) -> list[JournalRecord]:
    return convert(row.value, list[JournalRecord])
