"""The store as callers' requests use it: directly, or through a peer.

Pattern: the store turns single instances away, or they are cut off from it
alone. Their callers would have to find another instance by themselves.
"""

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
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.store_health import StoreHealth

_LEAST_CALL_S = 0.1
_RETRY_S = 0.05
# A peer answers within this, or cannot reach the store either.
_RELAY_TIMEOUT_S = 0.6


class Peers(Protocol):
    """What the relay needs of the other instances."""

    def addresses(self) -> list[str]:
        """Return peers in contact, the best to ask first."""

    def relay(
        self,
        address: str,
        call: RelayedCall,
        timeout_s: float,
    ) -> Any:
        """Have a peer make a call; ``None`` without an answer."""


class StoreRelay:
    """Calls the store, through a peer while it does not answer here."""

    __slots__ = ('_health', '_metrics', '_peers', '_store')

    def __init__(
        self,
        store: Any,
        health: StoreHealth,
        peers: Peers,
        metrics: Any,
    ) -> None:
        """Note in ``health`` what direct calls tell."""
        self._store = store
        self._health = health
        self._peers = peers
        self._metrics = metrics

    def is_lost(self) -> bool:
        """Tell whether there is no way to the store."""
        return self._health.is_lost() and not self._peers.addresses()

    def write(
        self,
        transaction: Transaction,
        ends_s: float,
    ) -> Committed | CheckFailed | StoreFailed:
        """Send a transaction until its outcome is known or time is up."""
        is_unknown = False
        while True:
            answer = self.transact(transaction, ends_s - boot_now())
            if not isinstance(answer, StoreFailed):
                return answer
            is_unknown = is_unknown or answer.applied is None
            if self._is_given_up(ends_s):
                break
            eventlet.sleep(_RETRY_S)
        if is_unknown:
            return StoreFailed(None, answer.retry_after_s, answer.reason)
        return answer

    def read(self, key: str, ends_s: float) -> Row | StoreFailed | None:
        """Read one row, again while time allows; ``None`` where none is."""
        while True:
            answer = self.read_row(key)
            if not isinstance(answer, StoreFailed):
                return answer.rows[0] if answer.rows else None
            if self._is_given_up(ends_s):
                return answer
            eventlet.sleep(_RETRY_S)

    def transact(
        self,
        transaction: Transaction,
        left_s: float,
    ) -> Committed | CheckFailed | StoreFailed:
        """Make a transaction within ``left_s`` seconds.

        A repeat of a transaction must not apply twice.
        """
        direct = None
        if not self._health.is_failing():
            direct = self._transact_directly(transaction, left_s)
            if not isinstance(direct, StoreFailed):
                return direct
        call = RelayedCall(transaction)
        relayed = self._call_through_peer(call, left_s)
        if relayed is not None and not isinstance(relayed, StoreFailed):
            return relayed
        if direct is None:
            direct = self._transact_directly(transaction, left_s)
        return _join(direct, relayed)

    def read_row(self, key: str) -> Rows | StoreFailed:
        """Read one row; the answer is empty where there is none."""
        if self._health.is_failing():
            relayed = self._call_through_peer(
                RelayedCall(key=key), _RELAY_TIMEOUT_S
            )
            if isinstance(relayed, Rows):
                return relayed
        sent_s = boot_now()
        answer = self._store.read_row(key)
        if isinstance(answer, StoreFailed):
            self._health.record_failure(sent_s)
        else:
            self._health.record_answer(answer.store_ms)
        return answer

    def serve(
        self,
        call: RelayedCall,
    ) -> Committed | CheckFailed | Rows | StoreFailed:
        """Make a call for a peer, unless the store is out of reach here."""
        if self._health.is_failing():
            return StoreFailed(applied=False, reason='out of reach as well')
        if call.transaction is None:
            return self._store.read_row(call.key)
        return self._transact_directly(call.transaction, _RELAY_TIMEOUT_S)

    def _is_given_up(self, ends_s: float) -> bool:
        """Tell whether another try is of no use to the caller.

        Where the store is lost to this instance, the caller's next try at
        another one may succeed at once.
        """
        is_late = boot_now() + _RETRY_S + _LEAST_CALL_S > ends_s
        return is_late or self._health.is_lost()

    def _transact_directly(
        self,
        transaction: Transaction,
        left_s: float,
    ) -> Committed | CheckFailed | StoreFailed:
        health = self._health
        sent_s = boot_now()
        wanted_s = health.write_timeout.timeout_s
        bound_s = max(_LEAST_CALL_S, min(left_s, health.lost_in_s()))
        answer = self._store.transact(transaction, min(wanted_s, bound_s))
        took_s = boot_now() - sent_s
        if not isinstance(answer, StoreFailed):
            health.record_answer()
            health.write_timeout.answered(took_s)
            return answer
        health.record_failure(sent_s)
        if took_s >= wanted_s:
            health.write_timeout.missed()
        return answer

    def _call_through_peer(self, call: RelayedCall, left_s: float) -> Any:
        for address in self._peers.addresses()[:1]:
            self._metrics.count('cell_store_relayed')
            timeout_s = min(_RELAY_TIMEOUT_S, max(_LEAST_CALL_S, left_s))
            answer = self._peers.relay(address, call, timeout_s)
            return answer or StoreFailed(None, reason='no answer of a peer')
        return None


def _join(
    direct: Committed | CheckFailed | StoreFailed,
    relayed: StoreFailed | None,
) -> Committed | CheckFailed | StoreFailed:
    """Return what both ways tell: nothing was done only if both say so.

    ``relayed`` is ``None`` where no peer was asked.
    """
    is_refused = isinstance(direct, StoreFailed) and direct.applied is False
    if is_refused and relayed is not None and relayed.applied is None:
        return StoreFailed(None, direct.retry_after_s, direct.reason)
    return direct
