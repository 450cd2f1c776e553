"""Updates the configuration view and commits operators' changes."""

from collections import deque
from collections.abc import Iterable
from typing import Any

from msgspec import Struct, ValidationError

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.config_log import (
    HEAD_KEY,
    SNAPSHOT_KEY,
    HeadRead,
    commit_transaction,
    decode_head,
    decode_logged,
    decode_snapshot,
    log_key,
    rows_by_key,
)
from apricotlead.coordination.placement import policy_names
from apricotlead.protocol.config import (
    CellConfig,
    ChangeRequest,
    ConfigChange,
    LoggedChange,
    PutPreset,
)
from apricotlead.protocol.errors import (
    ApricotleadError,
    BadInput,
    OutcomeUnknown,
    Overloaded,
    StoreUnreachable,
    VersionConflict,
)
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun, Outcome
from apricotlead.protocol.peers import Gossip
from apricotlead.protocol.signals import (
    Answer,
    ChangeConfig,
    ConfigApplied,
    Count,
    LogEvent,
    PeersChanged,
    ReadRows,
    SendToPeer,
    Signal,
    StoreReplied,
    Tick,
    Token,
    Transact,
)
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    Row,
    Rows,
    StoreFailed,
)
from apricotlead.state.config_view import ConfigView, apply_change
from apricotlead.state.session_view import SessionView

_HEAD = 'head'
_LOG = 'log'
_SNAPSHOT = 'snapshot'
_COMMIT = 'commit'


class ConfigKeeperSettings(Struct, frozen=True):
    """Times in seconds.

    ``answer_wait_s`` is how long a caller waits at most for the outcome of
    its change. ``snapshot_every`` counts changes, ``log_rows_per_read`` rows.
    """

    poll_s: float = 1.0
    read_timeout_s: float = 2.0
    reread_s: float = 0.5
    answer_wait_s: float = 5.0
    retry_after_s: float = 1.0
    max_waiting: int = 64
    snapshot_every: int = 256
    log_rows_per_read: int = 64
    kept_changes: int = 64
    resend_after_age_s: float = 2.0
    max_drift: float = 0.02


class _Read(Struct, frozen=True):
    token: Token
    sent_s: float


class _PendingChange(Struct, frozen=True):
    ticket: int
    request: ChangeRequest
    arrived_s: float


class _Commit(Struct):
    token: Token
    op_id: str
    pending: _PendingChange
    logged: LoggedChange
    sent_s: float
    answered: bool = False


class ConfigKeeper(Component):
    """Polls the head, applies the log, and commits one change at a time.

    At most one read and one commit are in flight. If the reply to a commit is
    lost, ``StoreSettlement`` determines its outcome; the caller receives
    "may have run" only if that takes longer than ``answer_wait_s``.
    """

    name = 'config_keeper'
    __slots__ = (
        '_commit',
        '_config_view',
        '_known_head',
        '_last_resend_s_by_peer',
        '_number',
        '_pending',
        '_poll_due_s',
        '_read',
        '_recent_changes',
        '_settings',
        '_view',
    )

    def __init__(
        self,
        settings: ConfigKeeperSettings,
        view: SessionView,
        config_view: ConfigView,
    ) -> None:
        """Start without a view; the first tick reads the head."""
        self._settings = settings
        self._view = view
        self._config_view = config_view
        self._number = 0
        self._poll_due_s = float('-inf')
        self._read: _Read | None = None
        self._known_head: HeadRead | None = None
        self._pending: deque[_PendingChange] = deque()
        self._commit: _Commit | None = None
        self._recent_changes: deque[LoggedChange] = deque(
            maxlen=settings.kept_changes
        )
        self._last_resend_s_by_peer: dict[str, float] = {}

    @classmethod
    def from_config(
        cls,
        settings: ConfigKeeperSettings,
        view: SessionView,
        config_view: ConfigView,
    ) -> 'ConfigKeeper':
        """Build a keeper that updates ``config_view``."""
        return cls(settings, view, config_view)

    @handles(Tick)
    def on_tick(self, tick: Tick, now: float) -> Iterable[Signal]:
        """Poll the head and answer callers whose wait has timed out."""
        yield from self._answer_timed_out(now)
        timeout_s = self._settings.read_timeout_s
        if self._read and now - self._read.sent_s >= timeout_s:
            self._read = None
        if self._read is None and now >= self._poll_due_s:
            yield self._read_head(now)

    @handles(ChangeConfig)
    def on_change(self, change: ChangeConfig, now: float) -> Iterable[Signal]:
        """Queue an operator's change."""
        if len(self._pending) >= self._settings.max_waiting:
            error = Overloaded('Too many configuration changes are waiting.')
            return (self._rejection(change.ticket, error),)
        self._pending.append(_PendingChange(change.ticket, change.request, now))
        return self._advance(now)

    @handles(Gossip)
    def on_gossip(self, gossip: Gossip, now: float) -> Iterable[Signal]:
        """Apply a peer's changes and freshness; resend what it lacks."""
        previous_version = self._config_view.version
        for logged in sorted(gossip.changes, key=_version):
            self._apply(logged)
        self._update_freshness(gossip, now)
        yield from self._applied_since(previous_version, now)
        yield from self._resend(gossip, now)

    @handles(PeersChanged)
    def on_peers(self, changed: PeersChanged, now: float) -> Iterable[Signal]:
        """Drop the resend times of sessions that have ended."""
        for session_id in self._last_resend_s_by_peer.keys() - changed.live_ids:
            self._last_resend_s_by_peer.pop(session_id)
        return ()

    @handles(StoreReplied)
    def on_store_reply(
        self,
        replied: StoreReplied,
        now: float,
    ) -> Iterable[Signal]:
        """Handle the reply to the read or the commit in flight."""
        if self._commit and replied.token == self._commit.token:
            commit = self._commit
            self._commit = None
            return self._handle_commit_reply(commit, replied.reply, now)
        if self._read and replied.token == self._read.token:
            read = self._read
            self._read = None
            return self._handle_read_reply(read, replied.reply, now)
        return ()

    def dump(self, now: float) -> dict[str, Any]:
        """Return the version, its age and the pending changes."""
        return {
            'version': self._config_view.version,
            'age_s': min(self._config_view.age(now), 1e9),
            'preset': self._config_view.config.preset_in_force,
            'waiting': len(self._pending),
            'committing': bool(self._commit),
        }

    # Reading.

    def _next_token(self, purpose: str) -> Token:
        self._number += 1
        return Token(self.name, purpose, self._number)

    def _read_rows(
        self,
        purpose: str,
        keys: tuple[str, ...],
        now: float,
    ) -> ReadRows:
        self._read = _Read(self._next_token(purpose), now)
        return ReadRows(self._read.token, keys)

    def _read_head(self, now: float) -> ReadRows:
        self._poll_due_s = now + self._settings.poll_s
        return self._read_rows(_HEAD, (HEAD_KEY,), now)

    def _handle_read_reply(
        self,
        read: _Read,
        reply: Any,
        now: float,
    ) -> Iterable[Signal]:
        if not isinstance(reply, Rows):
            yield from self._read_failed()
            return
        previous_version = self._config_view.version
        try:
            self._apply_rows(read, rows_by_key(reply.rows))
        except ValidationError as error:
            # Written by a later release; the view stays behind and goes stale.
            yield Count('config.undecodable')
            yield LogEvent(
                'config row is not understood', {'error': str(error)}
            )
            return
        if (
            read.token.purpose != _HEAD
            and self._config_view.version == previous_version
        ):
            self._schedule_reread(now)
        yield from self._answer_from_log(reply.rows)
        yield from self._applied_since(previous_version, now)
        yield from self._catch_up(now)
        yield from self._advance(now)

    def _read_failed(self) -> Iterable[Signal]:
        yield Count('config.read_failed')
        while self._pending:
            error = StoreUnreachable('The table service cannot be read.')
            yield self._rejection(self._pending.popleft().ticket, error)

    def _apply_rows(
        self,
        read: _Read,
        rows: dict[str, Row],
    ) -> None:
        if read.token.purpose == _HEAD:
            self._apply_head(rows.get(HEAD_KEY, Row(HEAD_KEY)), read.sent_s)
        elif read.token.purpose == _SNAPSHOT:
            if SNAPSHOT_KEY in rows:
                self._config_view.load(decode_snapshot(rows[SNAPSHOT_KEY]))
        else:
            self._apply_log(rows)

    def _apply_head(self, row: Row, sent_s: float) -> None:
        head = decode_head(row)
        self._known_head = HeadRead(head, row.version, sent_s)
        self._config_view.confirm_version(head.version, sent_s)

    def _apply_log(self, rows: dict[str, Row]) -> None:
        while True:
            row = rows.get(log_key(self._config_view.version + 1))
            if row is None or not self._apply(decode_logged(row)):
                return

    def _schedule_reread(self, now: float) -> None:
        """Read the head again soon, because the rows it names are missing.

        They were deleted since, and a newer head names a newer snapshot.
        """
        self._known_head = None
        self._poll_due_s = now + self._settings.reread_s

    def _catch_up(self, now: float) -> Iterable[Signal]:
        known = self._known_head
        version = self._config_view.version
        if known is None or self._read or known.head.version <= version:
            return ()
        if known.head.snapshot_version > version:
            return (self._read_rows(_SNAPSHOT, (SNAPSHOT_KEY,), now),)
        last = min(
            known.head.version,
            version + self._settings.log_rows_per_read,
        )
        keys = tuple(log_key(each) for each in range(version + 1, last + 1))
        return (self._read_rows(_LOG, keys, now),)

    # Applying.

    def _apply(self, logged: LoggedChange) -> bool:
        applied = self._config_view.apply(logged)
        if applied:
            self._recent_changes.append(logged)
        return applied

    def _applied_since(
        self, previous_version: int, now: float
    ) -> Iterable[Signal]:
        if self._config_view.version > previous_version:
            yield ConfigApplied(self._config_view.config)

    def _update_freshness(self, gossip: Gossip, now: float) -> None:
        echo = gossip.echo
        if echo is None or echo.session_id != self._view.session_id:
            return
        # The message was sent after echo.sent_s on the local clock, so a
        # delayed or replayed message confirms the view only as of then.
        if self._config_view.version >= gossip.config_version:
            age_s = gossip.config_age_s * (1 + self._settings.max_drift)
            confirmed_s = min(echo.sent_s, now) - age_s
            self._config_view.confirm_version(
                gossip.config_version, confirmed_s
            )

    def _resend(self, gossip: Gossip, now: float) -> Iterable[Signal]:
        """Send missing changes to a peer that cannot reach the store."""
        peer = self._view.peers_by_id.get(gossip.sender)
        missing = tuple(
            logged
            for logged in self._recent_changes
            if logged.version > gossip.config_version
        )
        cut_off = gossip.config_age_s >= self._settings.resend_after_age_s
        if peer is None or not missing or not cut_off or not gossip.sent_s:
            return
        last_s = self._last_resend_s_by_peer.get(gossip.sender, float('-inf'))
        if now - last_s >= self._settings.poll_s:
            self._last_resend_s_by_peer[gossip.sender] = now
            yield self._announcement(peer.session_id, peer.address, missing)

    def _announce(self, logged: LoggedChange) -> Iterable[Signal]:
        for peer in self._view.peers_by_id.values():
            yield self._announcement(peer.session_id, peer.address, (logged,))

    def _announcement(
        self,
        session_id: str,
        address: str,
        changes: tuple[LoggedChange, ...],
    ) -> SendToPeer:
        gossip = Gossip(
            sender=self._view.session_id,
            config_version=changes[-1].version,
            changes=changes,
        )
        return SendToPeer(session_id, address, gossip)

    # Committing.

    def _advance(self, now: float) -> Iterable[Signal]:
        """Reject or commit the pending changes, in order of arrival."""
        while self._pending and self._commit is None:
            pending = self._pending[0]
            if self._is_outdated(pending):
                self._pending.popleft()
                yield self._conflict(pending.ticket, self._config_view.version)
            elif self._may_commit(pending):
                self._pending.popleft()
                yield self._begin_commit(pending, now)
            else:
                yield from self._request_head(now)
                return

    def _is_outdated(self, pending: _PendingChange) -> bool:
        base_version = pending.request.base_version
        known = self._known_head
        if base_version <= self._config_view.version or known is None:
            return base_version < self._config_view.version
        # A base version above a head read after the arrival never existed.
        return (
            known.sent_s >= pending.arrived_s
            and known.head.version < base_version
        )

    def _may_commit(self, pending: _PendingChange) -> bool:
        version = self._config_view.version
        known = self._known_head
        if known is None or known.head.version != version:
            return False
        if pending.request.base_version != version:
            return False
        # A change that seems invalid may depend on one committed at another
        # instance, so it is checked against a head read after its arrival.
        return known.sent_s >= pending.arrived_s or self._is_valid(pending)

    def _is_valid(self, pending: _PendingChange) -> bool:
        try:
            _apply(self._config_view.config, pending.request.change)
        except BadInput:
            return False
        return True

    def _request_head(self, now: float) -> Iterable[Signal]:
        if self._read is None:
            yield self._read_head(now)

    def _begin_commit(self, pending: _PendingChange, now: float) -> Signal:
        change = pending.request.change
        try:
            changed = _apply(self._config_view.config, change)
        except BadInput as error:
            return Answer(pending.ticket, NotRun(error))
        token = self._next_token(_COMMIT)
        transaction = commit_transaction(
            self._op_id(token),
            self._known_head,
            changed,
            change,
            self._settings.snapshot_every,
        )
        self._commit = _Commit(
            token,
            transaction.op_id,
            pending,
            LoggedChange(changed.version, change),
            now,
        )
        return Transact(token, transaction)

    def _op_id(self, token: Token) -> str:
        session_id = self._view.session_id
        return f'config-{session_id}-{token.number}'

    def _handle_commit_reply(
        self,
        commit: _Commit,
        reply: Any,
        now: float,
    ) -> Iterable[Signal]:
        # The head may have changed since, so its row version is read again.
        self._known_head = None
        if isinstance(reply, Committed):
            yield from self._committed(commit, now)
        else:
            yield from self._answer_commit(
                commit, _failure_outcome(commit, reply)
            )
        yield from self._advance(now)

    def _committed(self, commit: _Commit, now: float) -> Iterable[Signal]:
        previous_version = self._config_view.version
        self._apply(commit.logged)
        self._config_view.confirm_version(commit.logged.version, commit.sent_s)
        yield from self._applied_since(previous_version, now)
        yield from self._announce(commit.logged)
        yield from self._answer_commit(commit, _success_outcome(commit))

    def _answer_commit(
        self,
        commit: _Commit,
        outcome: Outcome,
    ) -> Iterable[Signal]:
        if not commit.answered:
            commit.answered = True
            yield Answer(commit.pending.ticket, outcome)

    def _answer_from_log(self, rows: tuple[Row, ...]) -> Iterable[Signal]:
        """Answer a commit of unknown outcome once its log row is read."""
        commit = self._commit
        if commit is None:
            return
        for row in rows:
            if row.version and row.key == log_key(commit.logged.version):
                yield from self._answer_commit(
                    commit,
                    _outcome_by_row(commit, row, self._config_view.version),
                )

    def _answer_timed_out(self, now: float) -> Iterable[Signal]:
        oldest_s = now - self._settings.answer_wait_s
        while self._pending and self._pending[0].arrived_s <= oldest_s:
            error = StoreUnreachable('The table service did not answer.')
            yield self._rejection(self._pending.popleft().ticket, error)
        if self._commit and self._commit.pending.arrived_s <= oldest_s:
            error = OutcomeUnknown('The change may have been committed.')
            yield from self._answer_commit(self._commit, MayHaveRun(error))

    def _rejection(self, ticket: int, error: ApricotleadError) -> Answer:
        return Answer(ticket, NotRun(error, self._settings.retry_after_s))

    def _conflict(self, ticket: int, current: int) -> Answer:
        return Answer(ticket, NotRun(VersionConflict(current)))


def _version(logged: LoggedChange) -> int:
    return logged.version


def _success_outcome(commit: _Commit) -> Outcome:
    return Done({'version': commit.logged.version})


def _outcome_by_row(commit: _Commit, row: Row, current: int) -> Outcome:
    if row.op_id == commit.op_id:
        return _success_outcome(commit)
    return NotRun(VersionConflict(current))


def _failure_outcome(commit: _Commit, reply: Any) -> Outcome:
    if isinstance(reply, StoreFailed):
        error = StoreUnreachable('The table service refused the write.')
        return NotRun(error, reply.retry_after_s)
    if not isinstance(reply, CheckFailed):
        return MayHaveRun(OutcomeUnknown('The store gave no valid answer.'))
    head = decode_head(reply.row(HEAD_KEY))
    log_row = reply.row(log_key(commit.logged.version))
    if log_row.version or head.version < commit.logged.version:
        return NotRun(VersionConflict(head.version))
    # The log row that identifies the writer of this version was deleted.
    return MayHaveRun(OutcomeUnknown('The change may have been committed.'))


def _apply(config: CellConfig, change: ConfigChange) -> CellConfig:
    """Return the configuration after a valid change.

    Names of placement policies are checked here, because the state layer
    does not know them.
    """
    if isinstance(change, PutPreset):
        placement = change.preset.placement
        if placement not in policy_names():
            known = ', '.join(policy_names())
            raise BadInput(
                f'preset.placement {placement!r} is not one of {known}.',
            )
    return apply_change(config, change)
