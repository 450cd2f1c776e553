"""Enforces each team's limit on running units across the fleet."""

from collections.abc import Iterable
from typing import Any

from msgspec import Struct, ValidationError, convert
from msgspec import to_builtins as builtins_of
from msgspec.structs import replace

from apricotlead.coordination.call_pacer import CallPacer
from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.limit_account import (
    NEVER_S,
    Account,
    AllotmentSettings,
)
from apricotlead.coordination.limit_plan import PlanContext, plan_row
from apricotlead.coordination.limit_row import (
    LimitRow,
    limit_key,
    usable_units,
    without_journals,
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
_SWEEP = 'sweep'
# Epoch of the session that opened a journal; adopters have a higher one.
_OWN_EPOCH = 1
# Units that are idle for this many read rounds are returned.
_IDLE_ROUNDS = 10


class _TeamState(Struct):
    """The last known row of one team, and this session's accounts."""

    team: str
    row: LimitRow = LimitRow()
    row_version: int = -1
    accounts: dict[str, Account] = {}
    observed_wants: dict[str, tuple[str, float]] = {}
    stale_wants: frozenset[str] = frozenset()
    read_s: float = NEVER_S
    min_read_interval_s: float = 0.0
    write: tuple[Token, LimitRow] | None = None
    read_requested: bool = False


class Allotments(Component):
    """Escrow of each team's limit: every journal works within its allotment.

    All allotments of a team are stored in the row ``limit/{team}``. They grow
    only by compare-and-set on that row, and the local accounts follow its
    content. Nothing is taken while the session lease is invalid, while the
    allotments exceed the limit, or while a lowered limit has not been written
    to the row yet.
    """

    name = 'allotments'
    __slots__ = (
        '_closed_ids',
        '_config_view',
        '_epochs_by_journal',
        '_last_number',
        '_read',
        '_read_pacer',
        '_removed_ids',
        '_rng',
        '_settings',
        '_states_by_team',
        '_sweep_due_s',
        '_sweep_token',
        '_swept_ids',
        '_view',
        '_write_pacer',
    )

    def __init__(
        self,
        settings: AllotmentSettings,
        view: SessionView,
        config_view: ConfigView,
        rng: RandomSource,
    ) -> None:
        """Start without journals."""
        self._settings = settings
        self._view = view
        self._config_view = config_view
        self._rng = rng
        self._last_number = 0
        self._states_by_team: dict[str, _TeamState] = {}
        self._closed_ids: set[str] = set()
        self._epochs_by_journal: dict[str, int] = {}
        self._read: tuple[Token, float] | None = None
        self._read_pacer = CallPacer(settings.burst_s)
        self._write_pacer = CallPacer(settings.burst_s)
        self._sweep_due_s = NEVER_S
        self._sweep_token: Token | None = None
        self._swept_ids: tuple[str, ...] = ()
        self._removed_ids: frozenset[str] = frozenset()

    @classmethod
    def from_config(
        cls,
        settings: AllotmentSettings,
        view: SessionView,
        config_view: ConfigView,
        rng: RandomSource,
    ) -> 'Allotments':
        """Build the allotments of the session in ``view``."""
        return cls(settings, view, config_view, rng)

    # Direct calls of the dispatcher and of lookups.

    def try_take(
        self,
        team: str,
        journal_id: str,
        amount: int,
        now: float,
    ) -> bool:
        """Take ``amount`` units, all or none; return whether they were taken.

        The empty team has no limit. A refused take is recorded as demand, so
        that a later try can succeed.
        """
        if not team:
            return True
        if journal_id in self._closed_ids:
            return False
        team_state = self._get_team_state(team)
        account = self._get_account(team_state, journal_id)
        if self._may_take(team_state, account, journal_id, amount, now):
            account.take(amount)
            return True
        account.record_refusal(amount, now)
        return False

    def usable_until_s(self, team: str) -> float:
        """Return when a lookup under a unit must have ended.

        An adopter counts the tasks of a journal, but no lookups, so they must
        end with the session lease. The empty team has no limit.
        """
        return self._view.lease_end_s if team else float('inf')

    def release_units(
        self,
        team: str,
        journal_id: str,
        amount: int,
        now: float,
    ) -> None:
        """Release units counted by :meth:`try_take` or :meth:`restore`."""
        team_state = self._states_by_team.get(team)
        account = team_state and team_state.accounts.get(journal_id)
        if account:
            account.release_units(amount)

    def restore(self, team: str, journal_id: str, in_use: int) -> None:
        """Set the units in use of an adopted journal after its replay."""
        if team:
            account = self._get_account(self._get_team_state(team), journal_id)
            account.in_use = in_use
            account.peak = max(account.peak, in_use)

    # Signals.

    @handles(JournalOpened)
    def on_opened(self, opened: JournalOpened, now: float) -> Iterable[Signal]:
        """Open accounts for the journal and read the rows it may be in."""
        self._epochs_by_journal[opened.journal_id] = opened.epoch
        self._closed_ids.discard(opened.journal_id)
        for team in self._config_view.config.teams_by_name:
            self._track_team(team)
        return ()

    @handles(JournalClosed)
    def on_closed(self, closed: JournalClosed, now: float) -> Iterable[Signal]:
        """Return the allotment of a journal that has no units in use.

        An allotment that cannot be returned now is removed by a later sweep.
        """
        # An idle account of one team keeps the journal's epoch until its
        # return is written. An account of another team whose units are in
        # use goes to the adopter; reopened here, it would look idle and its
        # units would be returned.
        self._closed_ids.add(closed.journal_id)
        valid = self._view.is_valid(now)
        for team_state in self._states_by_team.values():
            self._close_account(team_state, closed.journal_id, valid)
        if not self._has_accounts(closed.journal_id):
            self._epochs_by_journal.pop(closed.journal_id, None)
        return ()

    @handles(SessionLost)
    def on_lost(self, lost: SessionLost, now: float) -> Iterable[Signal]:
        """Drop all journals; their adopters own the allotments now."""
        self._states_by_team.clear()
        self._epochs_by_journal.clear()
        self._read = None
        return ()

    @handles(ConfigApplied)
    def on_config(self, applied: ConfigApplied, now: float) -> Iterable[Signal]:
        """Track teams that are new in the configuration."""
        for team in applied.config.teams_by_name:
            if team not in self._states_by_team:
                self._track_team(team)
        return ()

    @handles(Tick)
    def on_tick(self, tick: Tick, now: float) -> Iterable[Signal]:
        """Read the rows that are due, and sweep removed journals."""
        if self._read and now - self._read[1] >= self._settings.read_timeout_s:
            self._read = None
        if self._read or not self._view.is_valid(now):
            return
        due = self._due_teams(now)
        if due:
            yield self._start_read(due, now)
        yield from self._sweep_journals(now)

    @handles(StoreReplied)
    def on_store_reply(
        self,
        replied: StoreReplied,
        now: float,
    ) -> Iterable[Signal]:
        """Apply rows that were read, or the outcome of a write."""
        if replied.token.purpose == _WRITE:
            return self._handle_write_reply(replied, now)
        if replied.token == self._sweep_token:
            return self._handle_journal_rows(replied.reply)
        if self._read is None or replied.token != self._read[0]:
            return ()
        self._read = None
        if not isinstance(replied.reply, Rows):
            return (Count('allotments.read_failed'),)
        return self._handle_rows(replied.reply, now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return limit, allotted units, usage and wants by team."""
        return {
            team_state.team: {
                'limit': team_state.row.limit,
                'allotted': team_state.row.allotted(),
                'in_use_by_journal': {
                    journal_id: account.in_use
                    for journal_id, account in team_state.accounts.items()
                },
                'wants': len(team_state.row.wants),
            }
            for team_state in self._states_by_team.values()
        }

    # Local accounts.

    def _get_team_state(self, team: str) -> _TeamState:
        team_state = self._states_by_team.get(team)
        if team_state is None:
            team_state = _TeamState(team)
            self._states_by_team[team] = team_state
        return team_state

    def _track_team(self, team: str) -> None:
        """Request a read of the row, and open accounts for own journals."""
        team_state = self._get_team_state(team)
        team_state.read_requested = True
        for journal_id in self._epochs_by_journal:
            if self._is_own_journal(journal_id) and self._is_journal_open(
                journal_id
            ):
                self._get_account(team_state, journal_id)

    def _is_journal_open(self, journal_id: str) -> bool:
        return (
            journal_id in self._epochs_by_journal
            and journal_id not in self._closed_ids
        )

    def _is_own_journal(self, journal_id: str) -> bool:
        return self._epochs_by_journal.get(journal_id) == _OWN_EPOCH

    def _get_account(self, team_state: _TeamState, journal_id: str) -> Account:
        account = team_state.accounts.get(journal_id)
        if account is None:
            own = self._is_own_journal(journal_id)
            account = Account(self._settings, is_own=own)
            team_state.accounts[journal_id] = account
            self._recompute_caps(team_state)
        return account

    def _close_account(
        self, team_state: _TeamState, journal_id: str, valid: bool
    ) -> None:
        account = team_state.accounts.get(journal_id)
        if account is None:
            return
        if account.in_use or not valid:
            # The allotment stays in the row for the adopter of the journal.
            team_state.accounts.pop(journal_id)
        else:
            account.closing = True

    def _has_accounts(self, journal_id: str) -> bool:
        return any(
            journal_id in team_state.accounts
            for team_state in self._states_by_team.values()
        )

    def _may_take(
        self,
        team_state: _TeamState,
        account: Account,
        journal_id: str,
        amount: int,
        now: float,
    ) -> bool:
        if not self._is_usable(team_state, account, journal_id, now):
            return False
        return account.can_take(amount, team_state.row.limit, now)

    def _is_usable(
        self,
        team_state: _TeamState,
        account: Account,
        journal_id: str,
        now: float,
    ) -> bool:
        return (
            self._view.is_valid(now)
            and journal_id in self._epochs_by_journal
            and not account.closing
            and not self._is_overcommitted(team_state)
        )

    def _is_overcommitted(self, team_state: _TeamState) -> bool:
        if team_state.row.free() < 0:
            return True
        return self._known_limit(team_state) < team_state.row.limit

    def _known_limit(self, team_state: _TeamState) -> int:
        """Return the limit of the newer of the row and the config view."""
        team = self._config_view.team(team_state.team)
        if (
            team is None
            or self._config_view.version <= team_state.row.config_version
        ):
            return team_state.row.limit
        return team.limit

    # Reading.

    def _due_teams(self, now: float) -> list[_TeamState]:
        """Return the teams to read: unmet demand first, then oldest read."""
        rate_per_s = self._session_rate_per_s(self._settings.read_budget_per_s)
        allowed = self._read_pacer.allowed(rate_per_s, now)
        due = [
            team_state
            for team_state in self._states_by_team.values()
            if allowed and self._is_due(team_state, now)
        ]
        due.sort(
            key=lambda team_state: (
                not self._has_unmet_demand(team_state, now),
                team_state.read_s,
            )
        )
        return due[:allowed]

    def _session_rate_per_s(self, budget_per_s: float) -> float:
        return budget_per_s / max(1, len(self._view.live_ids()))

    def _has_unmet_demand(self, team_state: _TeamState, now: float) -> bool:
        return any(
            account.has_unmet_demand(team_state.row.limit, now)
            for account in team_state.accounts.values()
        )

    def _is_due(self, team_state: _TeamState, now: float) -> bool:
        age_s = now - team_state.read_s
        if (
            team_state.write is not None
            or age_s < team_state.min_read_interval_s
        ):
            return False
        if self._needs_update(team_state, now):
            return True
        holds = any(
            team_state.row.units_of(journal_id)
            for journal_id in team_state.accounts
        )
        if holds and age_s >= self._held_read_interval_s(team_state):
            return True
        return age_s >= self._settings.sweep_s

    def _needs_update(self, team_state: _TeamState, now: float) -> bool:
        if team_state.read_requested or self._limit_changed(team_state):
            return bool(self._epochs_by_journal)
        closing = any(
            account.closing for account in team_state.accounts.values()
        )
        lacking = self._lacks_standing_units(team_state)
        return closing or lacking or self._has_unmet_demand(team_state, now)

    def _lacks_standing_units(self, team_state: _TeamState) -> bool:
        """Tell whether a standing allotment is short while units are free."""
        if team_state.row.wants or team_state.row.free() <= 0:
            return False
        sessions = len(self._view.live_ids())
        return any(
            team_state.row.units_of(journal_id)
            < account.standing_units(team_state.row.limit, sessions)
            for journal_id, account in team_state.accounts.items()
        )

    def _limit_changed(self, team_state: _TeamState) -> bool:
        return self._known_limit(team_state) != team_state.row.limit

    def _held_read_interval_s(self, team_state: _TeamState) -> float:
        """Return the read interval of a row that needs no change."""
        in_use = any(account.in_use for account in team_state.accounts.values())
        settings = self._settings
        shortest_s = settings.cycle_s if in_use else settings.idle_cycle_s
        return max(shortest_s, self._full_read_s())

    def _full_read_s(self) -> float:
        """Return the time to read all rows once within the budget."""
        rate_per_s = self._session_rate_per_s(self._settings.read_budget_per_s)
        return len(self._states_by_team) / rate_per_s

    def _idle_s(self) -> float:
        """Return the time after which unused units are returned."""
        settings = self._settings
        rounds_s = _IDLE_ROUNDS * self._full_read_s()
        return min(settings.longest_idle_s, max(settings.idle_s, rounds_s))

    def _start_read(self, due: list[_TeamState], now: float) -> Signal:
        self._read_pacer.spend(len(due))
        for team_state in due:
            team_state.read_s = now
            team_state.min_read_interval_s = (
                self._settings.cycle_s
                * self._rng.uniform(
                    1,
                    1 + self._settings.jitter,
                )
            )
        token = self._next_token(_READ)
        self._read = (token, now)
        keys = tuple(limit_key(read.team) for read in due)
        return ReadRows(token, keys)

    def _next_token(self, purpose: str) -> Token:
        self._last_number += 1
        return Token(self.name, purpose, self._last_number)

    def _handle_rows(self, rows: Rows, now: float) -> Iterable[Signal]:
        rows_by_key = {row.key: row for row in rows.rows}
        for team_state in tuple(self._states_by_team.values()):
            row = rows_by_key.get(limit_key(team_state.team))
            if row is None:
                continue
            try:
                self._apply_row(team_state, row, now)
            except ValidationError:
                yield Count('allotments.undecodable')
                continue
            team_state.read_requested = False
            yield from self._write_if_needed(team_state, now)
            self._drop_closed(team_state)

    def _apply_row(self, team_state: _TeamState, row: Row, now: float) -> None:
        if row.version < team_state.row_version:
            # Read before the last write of this session.
            return
        value = (
            LimitRow() if row.value is None else convert(row.value, LimitRow)
        )
        team_state.row = value
        team_state.row_version = row.version
        for journal_id in value.allotments:
            if self._is_journal_open(journal_id):
                self._get_account(team_state, journal_id)
        self._update_wants(team_state, now)
        self._recompute_caps(team_state)

    def _update_wants(self, team_state: _TeamState, now: float) -> None:
        seen: dict[str, tuple[str, float]] = {}
        for journal_id, want in team_state.row.wants.items():
            before = team_state.observed_wants.get(journal_id)
            fresh = before is None or before[0] != want.op_id
            seen[journal_id] = (want.op_id, now) if fresh else before
        team_state.observed_wants = seen
        team_state.stale_wants = frozenset(
            wanting_id
            for wanting_id, (_, seen_s) in seen.items()
            if now - seen_s > self._settings.want_ttl_s
        )

    def _recompute_caps(self, team_state: _TeamState) -> None:
        for journal_id, account in team_state.accounts.items():
            account.cap = self._usable_cap(team_state, journal_id)

    def _usable_cap(self, team_state: _TeamState, journal_id: str) -> int:
        share = team_state.row.allotments.get(journal_id)
        epoch = self._epochs_by_journal.get(journal_id)
        if share is None or share.epoch != epoch:
            # Not claimed yet, or claimed by another owner of the journal.
            return 0
        return usable_units(team_state.row, journal_id, team_state.stale_wants)

    # Allotments of journals that no longer exist.

    def _sweep_journals(self, now: float) -> Iterable[Signal]:
        """Check periodically which journals of other sessions still exist.

        The allotment of a closed journal stays in the row if its owner died
        or lost its lease before it wrote the return.
        """
        if now < self._sweep_due_s:
            return
        first = self._sweep_due_s == NEVER_S
        sweep_s = self._settings.sweep_s
        self._sweep_due_s = now + self._rng.uniform(sweep_s / 2, sweep_s)
        foreign = self._foreign_journals()
        if foreign and not first:
            self._swept_ids = tuple(sorted(foreign))
            self._sweep_token = self._next_token(_SWEEP)
            keys = tuple(f'journal/{each}' for each in self._swept_ids)
            yield ReadRows(self._sweep_token, keys)

    def _foreign_journals(self) -> set[str]:
        journal_ids: set[str] = set()
        for team_state in self._states_by_team.values():
            journal_ids.update(team_state.row.allotments)
        return journal_ids.difference(self._epochs_by_journal)

    def _handle_journal_rows(self, reply: Any) -> Iterable[Signal]:
        self._sweep_token = None
        if isinstance(reply, Rows):
            # Journal ids are never reused, so a deleted row stays deleted.
            present = {row.key for row in reply.rows if row.version}
            self._removed_ids = frozenset(
                each
                for each in self._swept_ids
                if f'journal/{each}' not in present
            )
        for team_state in self._states_by_team.values():
            if not self._removed_ids.isdisjoint(team_state.row.allotments):
                team_state.read_requested = True
        return ()

    # Writing.

    def _write_if_needed(
        self, team_state: _TeamState, now: float
    ) -> Iterable[Signal]:
        if team_state.write is not None or not self._view.is_valid(now):
            return
        rate_per_s = self._session_rate_per_s(self._settings.write_budget_per_s)
        if not self._write_pacer.allowed(rate_per_s, now):
            return
        token = self._next_token(_WRITE)
        op_id = self._op_id(token)
        planned = self._plan_row(team_state, op_id, now)
        if planned == team_state.row:
            return
        self._write_pacer.spend(1)
        team_state.write = (token, planned)
        for journal_id, account in team_state.accounts.items():
            account.pending = planned.units_of(journal_id)
        key = limit_key(team_state.team)
        yield Transact(
            token,
            Transaction(
                op_id,
                key,
                (Check(key, team_state.row_version),),
                (Put(key, builtins_of(planned)),),
            ),
        )

    def _op_id(self, token: Token) -> str:
        session_id = self._view.session_id
        return f'limit-{session_id}-{token.number}'

    def _handle_write_reply(
        self,
        replied: StoreReplied,
        now: float,
    ) -> Iterable[Signal]:
        team_state = self._state_of_write(replied.token)
        if team_state is None:
            return
        _, planned = team_state.write
        team_state.write = None
        for account in team_state.accounts.values():
            account.pending = None
        key = limit_key(team_state.team)
        reply = replied.reply
        if isinstance(reply, Committed):
            row = Row(key, reply.versions[key], builtins_of(planned))
            self._apply_row(team_state, row, now)
        elif isinstance(reply, CheckFailed):
            self._apply_row(team_state, reply.row(key), now)
            # The reply contains the current row, which saves a read.
            yield from self._write_if_needed(team_state, now)
        self._drop_closed(team_state)

    def _state_of_write(self, token: Token) -> _TeamState | None:
        for team_state in self._states_by_team.values():
            if team_state.write is not None and team_state.write[0] == token:
                return team_state
        return None

    def _drop_closed(self, team_state: _TeamState) -> None:
        for journal_id, account in tuple(team_state.accounts.items()):
            returned = not team_state.row.units_of(journal_id)
            if account.closing and returned and team_state.write is None:
                team_state.accounts.pop(journal_id)
                if not self._has_accounts(journal_id):
                    self._epochs_by_journal.pop(journal_id, None)

    def _plan_row(
        self, team_state: _TeamState, op_id: str, now: float
    ) -> LimitRow:
        """Return the row to write, planned from the last known row."""
        context = PlanContext(
            self._settings,
            len(self._view.live_ids()),
            self._idle_s(),
            team_state.stale_wants,
            op_id,
            now,
        )
        return plan_row(
            without_journals(
                self._with_known_limit(team_state), self._removed_ids
            ),
            team_state.accounts,
            self._epochs_by_journal,
            context,
        )

    def _with_known_limit(self, team_state: _TeamState) -> LimitRow:
        if not self._limit_changed(team_state):
            return team_state.row
        return replace(
            team_state.row,
            limit=self._known_limit(team_state),
            config_version=self._config_view.version,
        )
