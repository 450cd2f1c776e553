"""Keeps each team's running units within its limit across the fleet."""

from collections.abc import Iterable
from typing import Any

from msgspec import Struct, ValidationError, convert, field
from msgspec import to_builtins as builtins_of
from msgspec.structs import replace

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.limit_row import (
    LimitRow,
    Share,
    Want,
    fair_units,
    limit_key,
    other_wants,
    units_to_return,
    units_to_take,
    usable_units,
)
from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.signals import (
    ConfigApplied,
    Count,
    JournalClosed,
    JournalOpened,
    ReadRows,
    SessionLost,
    Signal,
    StoreReplied,
    Tick,
    Token,
    Transact,
)
from apricotlead.protocol.table import (
    Check,
    CheckFailed,
    Committed,
    Put,
    Row,
    Rows,
    Transaction,
)
from apricotlead.state.config_view import ConfigView
from apricotlead.state.session_view import SessionView

_READ = 'read'
_WRITE = 'write'
_NEVER = float('-inf')


class AllotmentSettings(Struct, frozen=True):
    """Times in seconds; budgets in rows a second for the whole fleet.

    ``cycle_s`` is the least time between two reads, and between two writes,
    of one team's row by one session. A refused take counts as demand for
    ``demand_ttl_s``. A gang holds back others for at most ``patience_s``,
    then rests for as long.
    """

    cycle_s: float = 1.0
    jitter: float = 0.2
    read_timeout_s: float = 2.0
    idle_s: float = 5.0
    demand_ttl_s: float = 2.0
    want_refresh_s: float = 3.0
    want_ttl_s: float = 10.0
    patience_s: float = 30.0
    sweep_s: float = 60.0
    chunk_divisor: int = 4
    read_budget_per_s: float = 300.0
    write_budget_per_s: float = 200.0


class _Demand(Struct):
    """The largest refused take; times on the own clock."""

    amount: int = 0
    since_s: float = _NEVER
    last_s: float = _NEVER


class _Account(Struct):
    """One journal's units of one team.

    ``cap`` is what may be in use by the row; ``pending`` bounds it while a
    write is in flight that gives units up. ``peak`` is the most in use since
    ``window_s``.
    """

    in_use: int = 0
    cap: int = 0
    pending: int | None = None
    peak: int = 0
    window_s: float = _NEVER
    growth: int = 0
    closing: bool = False
    demand: _Demand = field(default_factory=_Demand)

    def usable(self) -> int:
        """Return how many units may be in use now."""
        if self.pending is None:
            return self.cap
        return min(self.cap, self.pending)


class _TeamBook(Struct):
    """What is known of one team's row, and the own journals' accounts."""

    team: str
    row: LimitRow = LimitRow()
    row_version: int = -1
    accounts: dict[str, _Account] = {}
    seen_wants: dict[str, tuple[str, float]] = {}
    stale_wants: frozenset[str] = frozenset()
    refreshed_s: dict[str, float] = {}
    read_s: float = _NEVER
    gap_s: float = 0.0
    write: tuple[Token, LimitRow] | None = None
    sweep: bool = False


class Allotments(Component):
    """Escrow of each team's limit: every journal works within its part.

    The parts and their sum are kept in ``limit/{team}``. All growth is by
    compare-and-set on that row; local counts follow what it says. Nothing
    is taken while the session lease is invalid, while the sum is above the
    limit, or while a newer limit has not reached the row.
    """

    name = 'allotments'
    __slots__ = (
        '_books_by_team',
        '_config_view',
        '_epochs_by_journal',
        '_number',
        '_read',
        '_rng',
        '_settings',
        '_view',
        '_write_due_s',
    )

    def __init__(
        self,
        settings: AllotmentSettings,
        view: SessionView,
        config_view: ConfigView,
        rng: RandomSource,
    ) -> None:
        """Begin without journals."""
        self._settings = settings
        self._view = view
        self._config_view = config_view
        self._rng = rng
        self._number = 0
        self._books_by_team: dict[str, _TeamBook] = {}
        self._epochs_by_journal: dict[str, int] = {}
        self._read: tuple[Token, float] | None = None
        self._write_due_s = _NEVER

    @classmethod
    def from_config(
        cls,
        settings: AllotmentSettings,
        view: SessionView,
        config_view: ConfigView,
        rng: RandomSource,
    ) -> 'Allotments':
        """Return allotments for the session in ``view``."""
        return cls(settings, view, config_view, rng)

    # Plain calls of the dispatcher and of lookups.

    def try_take(
        self,
        team: str,
        journal_id: str,
        amount: int,
        now: float,
    ) -> bool:
        """Take ``amount`` units, all or none; tell whether they were taken.

        The empty team is never limited. A refused take is remembered as
        demand, so a later try can succeed.
        """
        if not team:
            return True
        book = self._book(team)
        account = self._account(book, journal_id)
        if self._may_take(book, account, journal_id, amount, now):
            account.in_use += amount
            account.peak = max(account.peak, account.in_use)
            if amount >= account.demand.amount:
                account.demand = _Demand()
            return True
        self._note_demand(account, amount, now)
        return False

    def give_back(
        self,
        team: str,
        journal_id: str,
        amount: int,
        now: float,
    ) -> None:
        """Give back units that :meth:`try_take` or :meth:`restore` counted."""
        book = self._books_by_team.get(team)
        account = book and book.accounts.get(journal_id)
        if account:
            account.in_use = max(0, account.in_use - amount)

    def restore(self, team: str, journal_id: str, in_use: int) -> None:
        """Set the units in use of an adopted journal after its replay."""
        if team:
            account = self._account(self._book(team), journal_id)
            account.in_use = in_use
            account.peak = max(account.peak, in_use)

    # Signals.

    @handles(JournalOpened)
    def on_opened(self, opened: JournalOpened, now: float) -> Iterable[Signal]:
        """Keep accounts for the journal; look for those it brings along."""
        self._epochs_by_journal[opened.journal_id] = opened.epoch
        for team in self._config_view.config.teams_by_name:
            self._book(team).sweep = True
        return ()

    @handles(JournalClosed)
    def on_closed(self, closed: JournalClosed, now: float) -> Iterable[Signal]:
        """Return what a journal without units in use still holds."""
        for book in self._books_by_team.values():
            account = book.accounts.get(closed.journal_id)
            if account is None:
                continue
            if account.in_use or not self._view.is_valid(now):
                # The allotment goes with the journal to its adopter.
                book.accounts.pop(closed.journal_id)
            else:
                account.closing = True
        if not self._has_accounts(closed.journal_id):
            self._epochs_by_journal.pop(closed.journal_id, None)
        return ()

    @handles(SessionLost)
    def on_lost(self, lost: SessionLost, now: float) -> Iterable[Signal]:
        """Forget all journals; the adopter has their allotments."""
        self._books_by_team.clear()
        self._epochs_by_journal.clear()
        self._read = None
        return ()

    @handles(ConfigApplied)
    def on_config(self, applied: ConfigApplied, now: float) -> Iterable[Signal]:
        """Open books for new teams."""
        for team in applied.config.teams_by_name:
            if team not in self._books_by_team:
                self._book(team).sweep = True
        return ()

    @handles(Tick)
    def on_tick(self, tick: Tick, now: float) -> Iterable[Signal]:
        """Read the rows of the teams that are due."""
        if self._read and now - self._read[1] >= self._settings.read_timeout_s:
            self._read = None
        if self._read or not self._view.is_valid(now):
            return ()
        due = [
            book
            for book in self._books_by_team.values()
            if self._is_due(book, now)
        ]
        if not due:
            return ()
        return (self._read_rows(due, now),)

    @handles(StoreReplied)
    def on_store_reply(
        self,
        replied: StoreReplied,
        now: float,
    ) -> Iterable[Signal]:
        """Take rows and write what they call for, or settle a write."""
        if replied.token.purpose == _WRITE:
            return self._write_settled(replied, now)
        if self._read is None or replied.token != self._read[0]:
            return ()
        self._read = None
        if not isinstance(replied.reply, Rows):
            return (Count('allotments.read_failed'),)
        return self._rows_read(replied.reply, now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return units and wants by team."""
        return {
            book.team: {
                'limit': book.row.limit,
                'allotted': book.row.allotted(),
                'in_use_by_journal': {
                    journal_id: account.in_use
                    for journal_id, account in book.accounts.items()
                },
                'wants': len(book.row.wants),
            }
            for book in self._books_by_team.values()
        }

    # Local accounts.

    def _book(self, team: str) -> _TeamBook:
        book = self._books_by_team.get(team)
        if book is None:
            book = _TeamBook(team)
            self._books_by_team[team] = book
        return book

    def _account(self, book: _TeamBook, journal_id: str) -> _Account:
        account = book.accounts.get(journal_id)
        if account is None:
            account = _Account()
            book.accounts[journal_id] = account
            self._recompute(book)
        return account

    def _has_accounts(self, journal_id: str) -> bool:
        return any(
            journal_id in book.accounts for book in self._books_by_team.values()
        )

    def _may_take(
        self,
        book: _TeamBook,
        account: _Account,
        journal_id: str,
        amount: int,
        now: float,
    ) -> bool:
        if not self._is_open(book, account, journal_id, now):
            return False
        held_back = self._held_back(account, amount, now)
        return account.in_use + amount + held_back <= account.usable()

    def _is_open(
        self,
        book: _TeamBook,
        account: _Account,
        journal_id: str,
        now: float,
    ) -> bool:
        return (
            self._view.is_valid(now)
            and journal_id in self._epochs_by_journal
            and not account.closing
            and not self._is_over(book)
        )

    def _is_over(self, book: _TeamBook) -> bool:
        if book.row.free() < 0:
            return True
        return self._known_limit(book) < book.row.limit

    def _known_limit(self, book: _TeamBook) -> int:
        """Return the newest limit that is known, from row or view."""
        team = self._config_view.team(book.team)
        if team is None or self._config_view.version <= book.row.config_version:
            return book.row.limit
        return team.limit

    def _held_back(self, account: _Account, amount: int, now: float) -> int:
        """Return the units that a waiting gang holds back from smaller takes.

        Without this, single tasks use up each unit that comes back and a
        gang never has all of its units at once.
        """
        demand = account.demand
        if amount >= demand.amount or not self._is_wanting(account, now):
            return 0
        return demand.amount

    def _note_demand(self, account: _Account, amount: int, now: float) -> None:
        demand = account.demand
        lapsed = now - demand.last_s > self._settings.demand_ttl_s
        if lapsed or amount > demand.amount:
            account.demand = _Demand(amount, now, now)
        elif amount == demand.amount:
            demand.last_s = now

    def _is_wanting(self, account: _Account, now: float) -> bool:
        demand = account.demand
        if now - demand.last_s > self._settings.demand_ttl_s:
            return False
        if demand.amount == 1:
            return True
        waited_s = now - demand.since_s
        return (
            waited_s % (2 * self._settings.patience_s)
            < self._settings.patience_s
        )

    # Reading.

    def _is_due(self, book: _TeamBook, now: float) -> bool:
        waited_s = now - book.read_s
        if book.write is not None or waited_s < book.gap_s:
            return False
        if self._needs_cycle(book, now):
            return True
        holds = any(
            book.row.units_of(journal_id) for journal_id in book.accounts
        )
        if holds and waited_s >= self._hold_gap_s():
            return True
        return waited_s >= self._settings.sweep_s

    def _needs_cycle(self, book: _TeamBook, now: float) -> bool:
        if book.sweep or self._limit_changed(book):
            return bool(self._epochs_by_journal)
        return any(
            account.closing
            or (
                self._is_wanting(account, now)
                and account.in_use + account.demand.amount > account.usable()
            )
            for account in book.accounts.values()
        )

    def _limit_changed(self, book: _TeamBook) -> bool:
        return self._known_limit(book) != book.row.limit

    def _hold_gap_s(self) -> float:
        """Return how often a row is read in which units are only held."""
        rows = len(self._view.live_ids()) * len(self._books_by_team)
        return max(
            self._settings.cycle_s,
            rows / self._settings.read_budget_per_s,
        )

    def _read_rows(self, due: list[_TeamBook], now: float) -> Signal:
        for book in due:
            book.read_s = now
            book.gap_s = self._settings.cycle_s * self._rng.uniform(
                1,
                1 + self._settings.jitter,
            )
        token = self._next_token(_READ)
        self._read = (token, now)
        keys = tuple(limit_key(read.team) for read in due)
        return ReadRows(token, keys)

    def _next_token(self, purpose: str) -> Token:
        self._number += 1
        return Token(self.name, purpose, self._number)

    def _rows_read(self, rows: Rows, now: float) -> Iterable[Signal]:
        rows_by_key = {row.key: row for row in rows.rows}
        for book in tuple(self._books_by_team.values()):
            row = rows_by_key.get(limit_key(book.team))
            if row is None:
                continue
            try:
                self._take_row(book, row, now)
            except ValidationError:
                yield Count('allotments.undecodable')
                continue
            book.sweep = False
            yield from self._write_if_needed(book, now)

    def _take_row(self, book: _TeamBook, row: Row, now: float) -> None:
        if row.version < book.row_version:
            # An older state, read before the last own write.
            return
        value = (
            LimitRow() if row.value is None else convert(row.value, LimitRow)
        )
        book.row = value
        book.row_version = row.version
        for journal_id in value.allotments:
            if journal_id in self._epochs_by_journal:
                self._account(book, journal_id)
        self._note_wants(book, now)
        self._recompute(book)

    def _note_wants(self, book: _TeamBook, now: float) -> None:
        seen: dict[str, tuple[str, float]] = {}
        for journal_id, want in book.row.wants.items():
            before = book.seen_wants.get(journal_id)
            fresh = before is None or before[0] != want.op_id
            seen[journal_id] = (want.op_id, now) if fresh else before
        book.seen_wants = seen
        book.stale_wants = frozenset(
            wanting_id
            for wanting_id, (_, seen_s) in seen.items()
            if now - seen_s > self._settings.want_ttl_s
        )

    def _recompute(self, book: _TeamBook) -> None:
        for journal_id, account in book.accounts.items():
            account.cap = self._cap(book, journal_id)

    def _cap(self, book: _TeamBook, journal_id: str) -> int:
        share = book.row.allotments.get(journal_id)
        epoch = self._epochs_by_journal.get(journal_id)
        if share is None or share.epoch != epoch:
            # Not claimed yet, or claimed by a later owner of the journal.
            return 0
        return usable_units(book.row, journal_id, book.stale_wants)

    # Writing.

    def _write_if_needed(self, book: _TeamBook, now: float) -> Iterable[Signal]:
        if book.write is not None or now < self._write_due_s:
            return
        if not self._view.is_valid(now):
            return
        token = self._next_token(_WRITE)
        op_id = self._op_id(token)
        planned = self._plan(book, op_id, now)
        if planned == book.row:
            return
        self._write_due_s = now + (
            len(self._view.live_ids()) / self._settings.write_budget_per_s
        )
        book.write = (token, planned)
        for journal_id, account in book.accounts.items():
            account.pending = planned.units_of(journal_id)
        key = limit_key(book.team)
        yield Transact(
            token,
            Transaction(
                op_id,
                key,
                (Check(key, book.row_version),),
                (Put(key, builtins_of(planned)),),
            ),
        )

    def _op_id(self, token: Token) -> str:
        session_id = self._view.session_id
        return f'limit-{session_id}-{token.number}'

    def _write_settled(
        self,
        replied: StoreReplied,
        now: float,
    ) -> Iterable[Signal]:
        book = self._book_of_write(replied.token)
        if book is None:
            return ()
        _, planned = book.write
        book.write = None
        for account in book.accounts.values():
            account.pending = None
        key = limit_key(book.team)
        reply = replied.reply
        if isinstance(reply, Committed):
            row = Row(key, reply.versions[key], builtins_of(planned))
            self._take_row(book, row, now)
        elif isinstance(reply, CheckFailed):
            self._take_row(book, reply.row(key), now)
        self._drop_closed(book)
        return ()

    def _book_of_write(self, token: Token) -> _TeamBook | None:
        for book in self._books_by_team.values():
            if book.write is not None and book.write[0] == token:
                return book
        return None

    def _drop_closed(self, book: _TeamBook) -> None:
        for journal_id, account in tuple(book.accounts.items()):
            if account.closing and not book.row.units_of(journal_id):
                book.accounts.pop(journal_id)
                if not self._has_accounts(journal_id):
                    self._epochs_by_journal.pop(journal_id, None)

    def _plan(self, book: _TeamBook, op_id: str, now: float) -> LimitRow:
        """Return the row as this session wants it, from the known one."""
        row = self._with_known_limit(book)
        wants = {
            journal_id: want
            for journal_id, want in row.wants.items()
            if journal_id not in book.stale_wants
        }
        row = replace(row, wants=wants)
        for journal_id, account in book.accounts.items():
            epoch = self._epochs_by_journal.get(journal_id)
            share = row.allotments.get(journal_id, Share(0, 0))
            if epoch is None or share.epoch > epoch:
                continue
            row = self._with_returns(book, row, journal_id, op_id, now)
            row = self._with_growth(book, row, journal_id, op_id, now)
        return row

    def _with_known_limit(self, book: _TeamBook) -> LimitRow:
        if not self._limit_changed(book):
            return book.row
        return replace(
            book.row,
            limit=self._known_limit(book),
            config_version=self._config_view.version,
        )

    def _with_returns(
        self,
        book: _TeamBook,
        row: LimitRow,
        journal_id: str,
        op_id: str,
        now: float,
    ) -> LimitRow:
        account = book.accounts[journal_id]
        units = row.units_of(journal_id)
        returned = max(
            units_to_return(row, journal_id, account.in_use, book.stale_wants),
            self._idle_units(account, units, now),
        )
        return self._with_units(row, journal_id, units - returned, op_id)

    def _idle_units(self, account: _Account, units: int, now: float) -> int:
        """Return the units that were not needed for a whole window."""
        if account.closing:
            return units
        if now - account.window_s < self._settings.idle_s:
            return 0
        peak = account.peak
        account.peak = account.in_use
        first_window = account.window_s == _NEVER
        account.window_s = now
        if first_window or self._is_wanting(account, now):
            return 0
        account.growth = 0
        return max(0, units - max(peak, account.in_use))

    def _with_units(
        self,
        row: LimitRow,
        journal_id: str,
        units: int,
        op_id: str,
    ) -> LimitRow:
        """Set an allotment; claims it if its epoch is an older one."""
        epoch = self._epochs_by_journal[journal_id]
        share = row.allotments.get(journal_id)
        if share is not None and (share.units, share.epoch) == (units, epoch):
            return row
        allotments = dict(row.allotments)
        allotments.pop(journal_id, None)
        if units > 0:
            allotments[journal_id] = Share(units, epoch, op_id)
        if allotments == row.allotments:
            return row
        return replace(row, allotments=allotments)

    def _with_growth(
        self,
        book: _TeamBook,
        row: LimitRow,
        journal_id: str,
        op_id: str,
        now: float,
    ) -> LimitRow:
        account = book.accounts[journal_id]
        units = row.units_of(journal_id)
        need = account.in_use + account.demand.amount - units
        wanting = self._is_wanting(account, now) and not account.closing
        if not wanting or account.demand.amount == 0:
            return self._without_want(row, journal_id)
        if need <= 0:
            return self._with_served_want(book, row, journal_id, op_id, now)
        wish = self._wish(book, row, journal_id, need)
        taken = units_to_take(row, journal_id, wish, book.stale_wants)
        row = self._with_units(row, journal_id, units + taken, op_id)
        if taken:
            account.growth = min(2 * wish, row.limit)
        wanted = self._claim(book, row, journal_id) - taken - units
        if taken >= need:
            return self._with_served_want(book, row, journal_id, op_id, now)
        if wanted <= 0:
            return self._without_want(row, journal_id)
        wanted = min(wanted, wish - taken)
        return self._with_want(book, row, journal_id, wanted, op_id, now)

    def _wish(
        self,
        book: _TeamBook,
        row: LimitRow,
        journal_id: str,
        need: int,
    ) -> int:
        """Return how many units to ask for: the need, and some in reserve."""
        account = book.accounts[journal_id]
        parts = self._settings.chunk_divisor * len(self._view.live_ids())
        wish = need + max(account.growth, row.limit // parts)
        if other_wants(row, journal_id, book.stale_wants):
            claim = self._claim(book, row, journal_id)
            wish = min(wish, max(need, claim - row.units_of(journal_id)))
        return min(wish, row.limit)

    def _claim(self, book: _TeamBook, row: LimitRow, journal_id: str) -> int:
        """Return the allotment for which others have to give up units.

        It is the fair part, or what a gang needs at once. A gang that does
        not fit beside what its own journal has running waits for that first.
        """
        account = book.accounts[journal_id]
        claim = max(1, fair_units(row, journal_id, book.stale_wants))
        gang_claim = account.in_use + account.demand.amount
        if account.demand.amount > 1 and gang_claim <= row.limit:
            claim = max(claim, gang_claim)
        return claim

    def _with_want(
        self,
        book: _TeamBook,
        row: LimitRow,
        journal_id: str,
        units: int,
        op_id: str,
        now: float,
    ) -> LimitRow:
        before = row.wants.get(journal_id)
        refreshed_s = book.refreshed_s.get(journal_id, _NEVER)
        recent = now - refreshed_s < self._settings.want_refresh_s
        if before is not None and before.units == units and recent:
            return row
        book.refreshed_s[journal_id] = now
        seq = row.next_seq if before is None else before.seq
        return replace(
            row,
            wants=row.wants | {journal_id: Want(units, seq, op_id)},
            next_seq=max(row.next_seq, seq + 1),
        )

    def _with_served_want(
        self,
        book: _TeamBook,
        row: LimitRow,
        journal_id: str,
        op_id: str,
        now: float,
    ) -> LimitRow:
        """Keep the place of a gang that has its units but has not taken them.

        Without a place it would owe them to the next one at once.
        """
        if book.accounts[journal_id].demand.amount > 1:
            if journal_id in row.wants:
                return self._with_want(book, row, journal_id, 0, op_id, now)
        return self._without_want(row, journal_id)

    def _without_want(self, row: LimitRow, journal_id: str) -> LimitRow:
        if journal_id not in row.wants:
            return row
        wants = dict(row.wants)
        wants.pop(journal_id)
        return replace(row, wants=wants)
