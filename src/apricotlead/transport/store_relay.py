"""Store access for callers' requests, directly or through a peer.

Pattern: the store refuses single instances, or only they are cut off from it.
Without a relay, their callers would have to find another instance themselves.
"""

from functools import partial
from itertools import count
from typing import Any, Protocol

import eventlet

from apricotlead.protocol.cell_peers import RelayedCall
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    Row,
    Rows,
    StoreFailed,
    Transaction,
)
from apricotlead.transport.answer_log import DIRECT, StoreTries
from apricotlead.transport.backoff import Backoff
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.hedged_read import ExtraTries, HedgedRead
from apricotlead.transport.peer_choice import PeerChoice
from apricotlead.transport.read_paths import ReadPaths, busy_relay_begins_s
from apricotlead.transport.store_health import StoreHealth

_MIN_CALL_TIMEOUT_S = 0.1
# Half of that, since a relayed call and a direct one share the time.
_MIN_SHARE_S = 0.05
_MAX_CALL_TIMEOUT_S = 1.0
_RETRY_S = 0.05
# A peer that takes longer presumably cannot reach the store either.
_RELAY_TIMEOUT_S = 0.6
# Network round trip to an instance, which deducts it from the time of the calling one.
_HOP_S = 0.05
# In an outage of the store each write would otherwise go to all instances.
_MAX_PEERS = 8
# The share of the expected answer time that a read takes while the store is
# lost, so that it ends before an extra try would begin.
_LOST_READ_SHARE = 0.8


class Peers(Protocol):
    """What the relay needs from the other instances."""

    def addresses(self) -> list[str]:
        """Return peers in contact, the preferred one first."""

    def relay(
        self,
        address: str,
        call: RelayedCall,
        timeout_s: float,
    ) -> Any:
        """Make a call through a peer; ``None`` without an answer."""


class StoreRelay:
    """Calls the store, or a peer while the store fails to answer here."""

    __slots__ = (
        '_extra_tries',
        '_health',
        '_metrics',
        '_peer_choice',
        '_peers',
        '_store',
    )

    def __init__(
        self,
        store: Any,
        health: StoreHealth,
        peers: Peers,
        metrics: Any,
    ) -> None:
        """Record the outcome of direct calls in ``health``."""
        self._store = store
        self._health = health
        self._peers = peers
        self._metrics = metrics
        self._extra_tries = ExtraTries()
        self._peer_choice = PeerChoice()

    def is_lost(self) -> bool:
        """Return whether the store is unreachable directly and via peers."""
        return self._health.is_lost() and not self._peers.addresses()

    def write(
        self,
        transaction: Transaction,
        ends_s: float,
        tries: StoreTries | None = None,
    ) -> Committed | CheckFailed | StoreFailed:
        """Retry a transaction until its outcome is known or ``ends_s``.

        Its calls are added to ``tries``.
        """
        is_outcome_unknown = False
        tries = tries or StoreTries()
        busy = Backoff()
        busy_relay_s = busy_relay_begins_s(tries.began_s, ends_s)
        for attempt_count in count(1):
            answer = self.transact(
                transaction,
                ends_s - boot_now(),
                tries,
                relays_busy=boot_now() >= busy_relay_s,
            )
            if _is_conclusive(answer):
                return answer
            is_outcome_unknown = is_outcome_unknown or answer.applied is None
            pause_s = busy.next_s() if answer.is_busy else _RETRY_S
            # A longer pause could reach to the end.
            pause_s = min(pause_s, max(_RETRY_S, (ends_s - boot_now()) / 2))
            if self._should_give_up(ends_s - pause_s, attempt_count):
                break
            eventlet.sleep(pause_s)
        if is_outcome_unknown:
            return StoreFailed(None, answer.retry_after_s, answer.reason)
        return answer

    def read(
        self,
        key: str,
        ends_s: float,
        tries: StoreTries | None = None,
    ) -> Row | StoreFailed | None:
        """Read one row, with retries until ``ends_s``; ``None`` if absent.

        The read may take ``_MIN_CALL_TIMEOUT_S`` even if ``ends_s`` is sooner.
        Its calls are added to ``tries``.
        """
        tries = tries or StoreTries()
        busy_relay_s = busy_relay_begins_s(tries.began_s, ends_s)
        paths = ReadPaths(self._health, self._peer_order, busy_relay_s)
        read = HedgedRead(
            partial(self._read_through, key, ends_s, tries),
            paths,
            max(ends_s, boot_now() + _MIN_CALL_TIMEOUT_S),
            self._health.read_delay.timeout_s,
            self._extra_tries,
        )
        # The caller may succeed at once at another instance.
        answer = read.run(
            lambda: self._health.is_lost() and paths.is_exhausted()
        )
        if isinstance(answer, StoreFailed):
            return answer
        row = answer.rows[0] if answer.rows else None
        return row if row and row.version else None

    def transact(
        self,
        transaction: Transaction,
        left_s: float,
        tries: StoreTries | None = None,
        *,
        relays_busy: bool = False,
    ) -> Committed | CheckFailed | StoreFailed:
        """Send a transaction within ``left_s`` seconds.

        It may be sent twice, so a repeat must not apply again. With
        ``relays_busy`` a peer is asked even if the store is only busy.
        """
        direct = None
        tries = tries or StoreTries()
        ends_s = boot_now() + max(left_s, _MIN_CALL_TIMEOUT_S)
        if not self._health.should_relay():
            direct = self._transact_directly(transaction, ends_s, tries)
            if not self._needs_peer(direct, relays_busy=relays_busy):
                return direct
        relayed = None
        if _has_time(ends_s):
            # The other half of the time is for the next call.
            left_s = (ends_s - boot_now()) / 2
            call = RelayedCall(transaction)
            for address in self._peer_order()[:1]:
                relayed = self._call_peer(address, call, left_s, tries)
        if relayed is not None and _is_conclusive(relayed):
            return relayed
        if direct is None:
            direct = self._transact_directly(transaction, ends_s, tries)
        return _combine_answers(direct, relayed)

    def serve(
        self,
        call: RelayedCall,
    ) -> Committed | CheckFailed | Rows | StoreFailed:
        """Make a call for a peer, unless the store is failing here too."""
        if self._health.should_relay():
            return StoreFailed(applied=False, reason='out of reach as well')
        left_s = min(
            call.timeout_s - _HOP_S if call.timeout_s else _RELAY_TIMEOUT_S,
            _MAX_CALL_TIMEOUT_S,
        )
        left_s = max(left_s, _MIN_CALL_TIMEOUT_S)
        if call.transaction is None:
            return self._read_directly(call.key, left_s, StoreTries())
        return self._transact_directly(
            call.transaction, boot_now() + left_s, StoreTries()
        )

    def _needs_peer(self, answer: Any, *, relays_busy: bool) -> bool:
        """Return whether a call failed that a peer may make."""
        if _is_conclusive(answer):
            return False
        is_relayed = relays_busy or self._health.should_relay()
        return is_relayed or not answer.is_busy

    def _peer_order(self) -> list[str]:
        return self._peer_choice.order(self._peers.addresses())

    def _read_through(
        self,
        key: str,
        ends_s: float,
        tries: StoreTries,
        path: str,
    ) -> Rows | StoreFailed:
        left_s = max(_MIN_CALL_TIMEOUT_S, ends_s - boot_now())
        if path != DIRECT:
            return self._call_peer(path, RelayedCall(key=key), left_s, tries)
        left_s = min(left_s, _MAX_CALL_TIMEOUT_S)
        if self._health.is_lost():
            expected_s = self._health.read_delay.timeout_s
            left_s = min(left_s, expected_s * _LOST_READ_SHARE)
        return self._read_directly(key, left_s, tries)

    def _read_directly(
        self,
        key: str,
        timeout_s: float,
        tries: StoreTries,
    ) -> Rows | StoreFailed:
        sent_s = boot_now()
        store_try = tries.begin('read', key, DIRECT)
        answer = self._store.read_row(key, timeout_s)
        took_s = store_try.end(answer)
        self._metrics.time('cell_store_read_direct', took_s)
        health = self._health
        if not isinstance(answer, StoreFailed):
            health.record_answer(answer.store_ms)
            health.read_delay.answered(took_s)
        elif answer.is_busy:
            health.record_busy(sent_s)
        elif took_s < timeout_s or timeout_s >= health.read_delay.timeout_s:
            # A shorter time limit says nothing about the store.
            health.record_failure(sent_s)
        return answer

    def _should_give_up(self, ends_s: float, attempt_count: int) -> bool:
        """Return whether another attempt is useless to the caller.

        If the store is lost to this instance and each peer has been asked, the
        caller may succeed at once at another instance.
        """
        peer_count = min(len(self._peers.addresses()), _MAX_PEERS)
        has_no_path = self._health.is_lost() and attempt_count >= peer_count
        return has_no_path or not _has_time(ends_s)

    def _transact_directly(
        self,
        transaction: Transaction,
        ends_s: float,
        tries: StoreTries,
    ) -> Committed | CheckFailed | StoreFailed:
        health = self._health
        sent_s = boot_now()
        adaptive_timeout_s = health.write_timeout.timeout_s
        timeout_s = min(
            adaptive_timeout_s,
            max(_MIN_CALL_TIMEOUT_S, health.lost_in_s()),
            max(_MIN_SHARE_S, ends_s - sent_s),
        )
        store_try = tries.begin('write', transaction.witness, DIRECT)
        answer = self._store.transact(transaction, timeout_s)
        took_s = store_try.end(answer)
        if _is_conclusive(answer):
            health.record_answer()
            health.write_timeout.answered(took_s)
        elif answer.is_busy:
            health.record_busy(sent_s)
        elif took_s >= adaptive_timeout_s:
            health.record_failure(sent_s)
            health.write_timeout.missed()
        elif took_s < timeout_s:
            # A shorter time limit says nothing about the store.
            health.record_failure(sent_s)
        return answer

    def _call_peer(
        self,
        address: str,
        call: RelayedCall,
        left_s: float,
        tries: StoreTries,
    ) -> Any:
        self._metrics.count('cell_store_relayed')
        if call.transaction is None:
            store_try = tries.begin('read', call.key, address)
        else:
            store_try = tries.begin('write', call.transaction.witness, address)
        timeout_s = min(_RELAY_TIMEOUT_S, max(_MIN_SHARE_S, left_s))
        answer = _check_reply(call, self._peers.relay(address, call, timeout_s))
        self._peer_choice.note(address, answer)
        took_s = store_try.end(answer)
        if call.transaction is None:
            self._metrics.time('cell_store_read_relayed', took_s)
        return answer


def _check_reply(call: RelayedCall, answer: Any) -> Any:
    """Return a peer's answer, or a failure if it does not fit the call."""
    if answer is None:
        return StoreFailed(None, reason='no answer of a peer')
    is_read = call.transaction is None
    expected = Rows if is_read else Committed | CheckFailed
    if isinstance(answer, expected | StoreFailed):
        return answer
    return StoreFailed(None, reason='another answer of a peer')


def _is_conclusive(answer: Any) -> bool:
    """Return whether another try would get the same answer."""
    return not isinstance(answer, StoreFailed) or answer.is_permanent


def _has_time(ends_s: float) -> bool:
    """Return whether a call that begins now may be answered in time."""
    return boot_now() + _MIN_CALL_TIMEOUT_S <= ends_s


def _combine_answers(
    direct: Committed | CheckFailed | StoreFailed,
    relayed: StoreFailed | None,
) -> Committed | CheckFailed | StoreFailed:
    """Combine both answers: a refusal is certain only if both refused.

    ``relayed`` is ``None`` if no peer was asked.
    """
    is_refused = isinstance(direct, StoreFailed) and direct.applied is False
    if is_refused and relayed is not None and relayed.applied is None:
        return StoreFailed(None, direct.retry_after_s, direct.reason)
    return direct
