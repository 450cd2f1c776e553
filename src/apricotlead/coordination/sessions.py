"""Opens and renews the own session and observes the sessions of peers."""

from collections.abc import Iterable
from typing import Any, Self

from msgspec import Struct, structs

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.rendezvous import rank_of
from apricotlead.coordination.session_observer import (
    ObservedSession,
    SessionObserver,
)
from apricotlead.coordination.store_calls import StoreCalls, random_id
from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.rows import (
    SESSION_PREFIX,
    SessionRow,
    put_struct,
    read_session,
    session_key,
)
from apricotlead.protocol.signals import (
    Count,
    LogEvent,
    PeerLapsed,
    PeersChanged,
    SessionLost,
    SessionOpened,
    Shutdown,
    Signal,
    StoreReplied,
    Tick,
    Token,
)
from apricotlead.protocol.table import (
    Check,
    CheckFailed,
    Committed,
    Rows,
    StoreReply,
)
from apricotlead.state.session_view import PeerSession, SessionView

_NEVER = float('-inf')


class SessionSettings(Struct, frozen=True):
    """Times in seconds; ``max_drift`` bounds the drift between any two clocks.

    A scan without a reply fails after ``scan_timeout_s``. ``mark_step_s`` is
    the delay per rank before a session marks a lapsed row, so that usually
    only one session writes. An adopted row is deleted after
    ``forget_after_s``.
    """

    session_ttl_s: float = 4.0
    max_drift: float = 0.02
    renewals_per_ttl: int = 4
    scan_interval_s: float = 1.0
    scan_timeout_s: float = 2.0
    retry_s: float = 0.2
    mark_step_s: float = 0.5
    forget_after_s: float = 3600.0


class _Renewal(Struct, frozen=True):
    session_id: str
    sent_s: float
    row: SessionRow


class _Scan(Struct, frozen=True):
    sent_s: float


class _Mark(Struct, frozen=True):
    session_id: str


class _Deletion(Struct, frozen=True):
    session_id: str


class SessionKeeper(Component):
    """Renews the own session row and keeps the session view up to date.

    ``PeersChanged`` is sent after the first successful scan, and after each
    one that shows a different set of live sessions.

    The lease counts from the send time of a renewal. In a store outage the
    lease expires by the local clock, but the session is lost only when its row
    shows that a peer adopted it. A peer's row is marked adopted before
    anything of that peer is taken over; from then on the peer cannot renew.
    """

    name = 'sessions'
    __slots__ = (
        '_calls',
        '_has_scanned',
        '_is_open',
        '_leaving',
        '_marking_ids',
        '_observer',
        '_renewal_due_s',
        '_renewing',
        '_reported_versions_by_id',
        '_rng',
        '_row',
        '_scan_due_s',
        '_scan_token',
        '_scan_sent_s',
        '_settings',
        '_version',
        '_view',
    )

    def __init__(
        self,
        settings: SessionSettings,
        view: SessionView,
        rng: RandomSource,
        row: SessionRow,
    ) -> None:
        """Start without a session; the first tick opens one."""
        self._settings = settings
        self._view = view
        self._rng = rng
        self._row = row
        self._calls = StoreCalls(self.name, rng)
        self._observer = SessionObserver(
            settings.max_drift,
            settings.scan_interval_s + settings.scan_timeout_s,
        )
        self._has_scanned = False
        self._leaving = False
        self._marking_ids: set[str] = set()
        self._reported_versions_by_id: dict[str, int] = {}
        self._scan_due_s = _NEVER
        self._scan_sent_s = _NEVER
        self._scan_token: Token | None = None
        self._reset_session()

    @classmethod
    def from_config(
        cls,
        settings: SessionSettings,
        view: SessionView,
        rng: RandomSource,
        instance_id: str,
        address: str,
    ) -> Self:
        """Return the keeper of ``view``, which gets a new session id.

        ``address`` is where the own peer link listens (``IP:port``).
        """
        row = SessionRow(
            instance_id,
            address,
            view.datacentre,
            settings.session_ttl_s,
        )
        return cls(settings, view, rng, row)

    @handles(Tick)
    def on_tick(self, signal: Tick, now: float) -> Iterable[Signal]:
        """Renew the own row and scan all session rows when due."""
        if now >= self._renewal_due_s and not self._renewing:
            yield self._renew(now)
        if self._scan_token is None:
            if now >= self._scan_due_s:
                yield self._scan(now)
        elif now - self._scan_sent_s > self._settings.scan_timeout_s:
            self._calls.abandon(self._scan_token)
            self._end_scan(now)
            self._observer.record_failure()

    @handles(Shutdown)
    def on_shutdown(self, signal: Shutdown, now: float) -> Iterable[Signal]:
        """Mark the own row as leaving; it is renewed until the process ends."""
        self._leaving = True
        self._renewal_due_s = _NEVER
        return self.on_tick(Tick(), now)

    @handles(StoreReplied)
    def on_reply(
        self,
        signal: StoreReplied,
        now: float,
    ) -> Iterable[Signal]:
        """Continue the operation that the reply belongs to."""
        purpose = self._calls.take(signal.token)
        if isinstance(purpose, _Renewal):
            return self._handle_renewal_reply(purpose, signal.reply, now)
        if isinstance(purpose, _Scan):
            return self._handle_scan_reply(purpose, signal.reply, now)
        if isinstance(purpose, _Mark):
            return self._handle_mark_reply(purpose, signal.reply)
        return ()

    def is_marked_leaving(self) -> bool:
        """Tell whether the stored row marks this session as leaving."""
        return self._row.state == 'leaving'

    def dump(self, now: float) -> dict[str, Any]:
        """Return the own lease and the peers."""
        return {
            'session_id': self._view.session_id,
            'is_open': self._is_open,
            'state': self._row.state,
            'lease_left_s': max(self._view.lease_end_s - now, -1e9),
            'peers': sorted(self._view.peers_by_id),
        }

    def _reset_session(self) -> None:
        self._view.session_id = random_id(self._rng)
        self._view.lease_end_s = _NEVER
        self._row = structs.replace(self._row, counter=0, state='live')
        self._version = 0
        self._is_open = False
        self._renewing = False
        self._renewal_due_s = _NEVER

    def _renew(self, now: float) -> Signal:
        self._renewing = True
        row = structs.replace(
            self._row,
            counter=self._row.counter + 1,
            state='leaving' if self._leaving else 'live',
        )
        key = session_key(self._view.session_id)
        return self._calls.transact(
            _Renewal(self._view.session_id, now, row),
            (Check(key, self._version),),
            (put_struct(key, row),),
        )

    def _handle_renewal_reply(
        self,
        renewal: _Renewal,
        reply: StoreReply,
        now: float,
    ) -> Iterable[Signal]:
        self._renewing = False
        settings = self._settings
        if isinstance(reply, Committed):
            self._extend_lease(renewal, reply)
            if not self._is_open:
                self._is_open = True
                return (SessionOpened(self._view.session_id),)
            return ()
        if isinstance(reply, CheckFailed):
            return self._handle_check_failure(reply, now)
        self._renewal_due_s = now + settings.retry_s
        return (Count('session.renewal_failed'),)

    def _extend_lease(self, renewal: _Renewal, reply: Committed) -> None:
        settings = self._settings
        self._row = renewal.row
        self._version = reply.versions[session_key(renewal.session_id)]
        self._view.lease_end_s = renewal.sent_s + settings.session_ttl_s
        self._renewal_due_s = (
            renewal.sent_s + settings.session_ttl_s / settings.renewals_per_ttl
        )
        if self._leaving and renewal.row.state == 'live':
            self._renewal_due_s = _NEVER

    def _handle_check_failure(
        self, reply: CheckFailed, now: float
    ) -> Iterable[Signal]:
        stored = reply.row(session_key(self._view.session_id))
        if stored.version and self._version:
            row = read_session(stored)
            if row.state != 'adopted':
                self._version = stored.version
                self._row = row
                self._renewal_due_s = now
                return ()
        return self._lose_session()

    def _lose_session(self) -> Iterable[Signal]:
        lost_id = self._view.session_id
        was_open = self._is_open
        self._reset_session()
        if self._leaving:
            self._renewal_due_s = float('inf')
        if not was_open:
            return ()
        return (
            LogEvent('session adopted by a peer', {'session_id': lost_id}),
            SessionLost(lost_id),
            PeersChanged(self._view.live_ids()),
        )

    def _scan(self, now: float) -> Signal:
        self._scan_sent_s = now
        scan = self._calls.scan(_Scan(now), SESSION_PREFIX)
        self._scan_token = scan.token
        return scan

    def _end_scan(self, now: float) -> None:
        self._scan_token = None
        self._scan_due_s = self._scan_sent_s + self._settings.scan_interval_s

    def _handle_scan_reply(
        self,
        scan: _Scan,
        reply: StoreReply,
        now: float,
    ) -> Iterable[Signal]:
        self._end_scan(now)
        if not isinstance(reply, Rows):
            self._observer.record_failure()
            return
        self._observer.observe(reply.rows, scan.sent_s, now)
        self._prune_reports()
        yield from self._update_peers()
        for observed in self._observer.sessions_by_id.values():
            if observed.session_id != self._view.session_id:
                yield from self._handle_peer(observed, now)

    def _update_peers(self) -> Iterable[Signal]:
        peers_by_id = {
            observed.session_id: PeerSession(
                observed.session_id,
                observed.row.address,
                observed.row.datacentre,
            )
            for observed in self._observer.sessions_by_id.values()
            if observed.row.state == 'live'
            and not observed.lapsed
            and observed.session_id != self._view.session_id
        }
        if self._has_scanned and peers_by_id == self._view.peers_by_id:
            return ()
        self._has_scanned = True
        self._view.peers_by_id = peers_by_id
        return (PeersChanged(self._view.live_ids()),)

    def _handle_peer(
        self,
        observed: ObservedSession,
        now: float,
    ) -> Iterable[Signal]:
        if observed.row.state == 'adopted':
            return (
                *self._report(observed.session_id, observed.version),
                *self._delete_row(observed, now),
            )
        if observed.lapsed:
            return self._mark_adopted(observed, now)
        if observed.row.state == 'leaving':
            return self._report(observed.session_id, 0)
        return ()

    def _report(self, session_id: str, version: int) -> Iterable[Signal]:
        if self._reported_versions_by_id.get(session_id) == version:
            return ()
        self._reported_versions_by_id[session_id] = version
        return (PeerLapsed(session_id, version),)

    def _prune_reports(self) -> None:
        sessions_by_id = self._observer.sessions_by_id
        self._reported_versions_by_id = {
            session_id: version
            for session_id, version in self._reported_versions_by_id.items()
            if session_id in sessions_by_id
        }

    def _mark_adopted(
        self, observed: ObservedSession, now: float
    ) -> Iterable[Signal]:
        if not self._may_write_for(observed, now, observed.row.ttl_s):
            return ()
        key = session_key(observed.session_id)
        adopted = structs.replace(observed.row, state='adopted')
        self._marking_ids.add(observed.session_id)
        return (
            self._calls.transact(
                _Mark(observed.session_id),
                (Check(key, observed.version),),
                (put_struct(key, adopted),),
            ),
        )

    def _handle_mark_reply(
        self, mark: _Mark, reply: StoreReply
    ) -> Iterable[Signal]:
        self._marking_ids.discard(mark.session_id)
        if not isinstance(reply, Committed):
            return ()
        version = reply.versions[session_key(mark.session_id)]
        return self._report(mark.session_id, version)

    def _delete_row(
        self,
        observed: ObservedSession,
        now: float,
    ) -> Iterable[Signal]:
        min_age_s = self._settings.forget_after_s
        if not self._may_write_for(observed, now, min_age_s):
            return ()
        key = session_key(observed.session_id)
        check = Check(key, observed.version)
        return (
            self._calls.transact(
                _Deletion(observed.session_id),
                (check,),
                deletes=(key,),
            ),
        )

    def _may_write_for(
        self,
        observed: ObservedSession,
        now: float,
        min_age_s: float,
    ) -> bool:
        if not self._view.is_valid(now) or self._leaving:
            return False
        if observed.session_id in self._marking_ids:
            return False
        rank = rank_of(
            observed.session_id,
            self._view.session_id,
            self._view.peers_by_id,
        )
        overdue_s = now - observed.unchanged_since_s - min_age_s
        return overdue_s >= rank * self._settings.mark_step_s
