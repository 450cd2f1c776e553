"""Determines the outcome of writes whose reply was lost."""

from collections.abc import Iterable

from msgspec import Struct

from apricotlead.protocol.signals import (
    Effect,
    Signal,
    StoreReplied,
    Token,
    Transact,
)
from apricotlead.protocol.table import CheckFailed, Committed, StoreFailed

_FIRST_RETRY_S = 0.1
_LONGEST_RETRY_S = 2.0
_BACKOFF = 2


class _Unsettled(Struct):
    effect: Transact
    delay_s: float = _FIRST_RETRY_S
    due_s: float | None = None
    may_have_applied: bool = False


class StoreSettlement:
    """Repeats a write of unknown outcome until its outcome is known.

    The identical transaction is repeated with the same ``op_id``. If an
    earlier copy took effect, the checks of the repeat fail and the witness
    row in the reply has the ``op_id``. Reading the rows instead is not
    enough: a copy in flight can take effect after the read. Components see
    only definite replies: committed, check failed, or not applied. The token
    of each write must be unique.
    """

    __slots__ = ('_unsettled_by_token',)

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self._unsettled_by_token: dict[Token, _Unsettled] = {}

    def outgoing(self, effect: Effect, now: float) -> Iterable[Effect]:
        """Track a write that is sent; other effects pass unchanged."""
        if isinstance(effect, Transact):
            self._unsettled_by_token[effect.token] = _Unsettled(effect)
        return (effect,)

    def incoming(self, signal: Signal, now: float) -> Iterable[Signal]:
        """Replace a write's reply by its definite outcome, or withhold it."""
        if not isinstance(signal, StoreReplied):
            return (signal,)
        unsettled = self._unsettled_by_token.get(signal.token)
        if unsettled is None:
            return (signal,)
        return self._settle(unsettled, signal, now)

    def repeat_due(self, now: float) -> Iterable[Effect]:
        """Yield the writes that are due to be repeated."""
        for unsettled in self._unsettled_by_token.values():
            if unsettled.due_s is not None and unsettled.due_s <= now:
                unsettled.due_s = None
                yield unsettled.effect

    def unsettled_count(self) -> int:
        """Return the number of writes in flight or being repeated."""
        return len(self._unsettled_by_token)

    def _settle(
        self,
        unsettled: _Unsettled,
        signal: StoreReplied,
        now: float,
    ) -> Iterable[Signal]:
        reply = signal.reply
        if isinstance(reply, StoreFailed):
            unknown = reply.applied is None or unsettled.may_have_applied
            if unknown:
                self._repeat_later(unsettled, reply, now)
                return ()
        self._unsettled_by_token.pop(signal.token)
        if isinstance(reply, CheckFailed):
            return (StoreReplied(signal.token, _resolve(unsettled, reply)),)
        return (signal,)

    def _repeat_later(
        self,
        unsettled: _Unsettled,
        reply: StoreFailed,
        now: float,
    ) -> None:
        unsettled.may_have_applied = True
        unsettled.due_s = now + max(unsettled.delay_s, reply.retry_after_s)
        unsettled.delay_s = min(
            unsettled.delay_s * _BACKOFF,
            _LONGEST_RETRY_S,
        )


def _resolve(
    unsettled: _Unsettled,
    reply: CheckFailed,
) -> CheckFailed | Committed:
    transaction = unsettled.effect.transaction
    witness = reply.row(transaction.witness)
    if witness.op_id != transaction.op_id:
        return reply
    return Committed({row.key: row.version for row in reply.rows})
