"""Delivers signals between components and collects the effects."""

from collections import deque
from collections.abc import Iterable, Sequence
from functools import partial
from traceback import format_exception
from typing import Any

from apricotlead.coordination.component import Component
from apricotlead.coordination.store_settlement import StoreSettlement
from apricotlead.protocol.signals import (
    Count,
    Effect,
    LogEvent,
    ObjectReplied,
    PeerReceived,
    RecordsCommitted,
    RecordsRejected,
    Signal,
    StoreReplied,
    Tick,
    WorkerReplied,
)

# Replies are delivered only to the component that made the call.
_ADDRESSED = (
    StoreReplied,
    ObjectReplied,
    WorkerReplied,
    RecordsCommitted,
    RecordsRejected,
)
# More signals than this in one delivery are treated as a cycle.
_MAX_SIGNALS_PER_DELIVERY = 1_000_000


class Scheduler:
    """All components of one entry instance, connected by a signal queue.

    It does no I/O: its inputs are signals and the time, its outputs are
    effects. A delivery runs until no component emits further signals.
    """

    __slots__ = (
        '_components',
        '_handlers_by_type',
        '_isolate_errors',
        '_settlement',
    )

    def __init__(
        self,
        components: Sequence[Component],
        settlement: StoreSettlement,
        *,
        isolate_errors: bool = False,
    ) -> None:
        """Index the handlers of all components by signal type.

        With ``isolate_errors`` an exception in a handler is logged and the
        other handlers still run. A daemon needs this: otherwise a job that
        makes a handler fail would stop each instance that adopts it.
        """
        self._isolate_errors = isolate_errors
        self._components = tuple(components)
        self._settlement = settlement
        self._handlers_by_type: dict[type[Signal], list[Any]] = {}
        for component in self._components:
            self._register(component)

    def deliver(self, signal: Signal, now: float) -> list[Effect]:
        """Deliver ``signal`` and all signals it causes; return the effects.

        ``now`` is in monotonic seconds and must not decrease.
        """
        effects: list[Effect] = []
        if isinstance(signal, Tick):
            effects.extend(self._settlement.repeat_due(now))
        queue: deque[Signal] = deque(self._settlement.incoming(signal, now))
        for _ in range(_MAX_SIGNALS_PER_DELIVERY):
            if not queue:
                return effects
            following = self._deliver_one(queue.popleft(), now)
            for produced in following:
                if isinstance(produced, Effect):
                    effects.extend(self._settlement.outgoing(produced, now))
                else:
                    queue.append(produced)
        raise RuntimeError(f'signals cycle after {signal!r}')

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state of all components in JSON builtins."""
        return {
            component.name: component.dump(now)
            for component in self._components
        }

    def _register(self, component: Component) -> None:
        for signal_type, handlers in component.handlers_by_type().items():
            bound = [partial(handler, component) for handler in handlers]
            if signal_type in _ADDRESSED:
                bound = [
                    partial(_if_addressed, component.name, handler)
                    for handler in bound
                ]
            self._handlers_by_type.setdefault(signal_type, []).extend(bound)

    def _deliver_one(self, signal: Signal, now: float) -> Iterable[Signal]:
        if isinstance(signal, PeerReceived):
            signal = signal.message
        following: list[Signal] = []
        for handler in self._handlers_by_type.get(type(signal), ()):
            try:
                following.extend(handler(signal, now))
            except Exception as error:
                if not self._isolate_errors:
                    raise
                following.extend(_report(error, signal))
        return following


def _report(error: Exception, signal: Signal) -> tuple[Effect, ...]:
    fields = {
        'signal': type(signal).__name__,
        'traceback': ''.join(format_exception(error)),
    }
    return (Count('handler.failed'), LogEvent('handler failed', fields))


def _if_addressed(
    name: str,
    handler: Any,
    signal: Any,
    now: float,
) -> Iterable[Signal]:
    if signal.token.component != name:
        return ()
    return handler(signal, now)
