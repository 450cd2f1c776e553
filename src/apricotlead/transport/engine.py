"""The event loop: delivers signals to the scheduler and performs effects."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from eventlet import GreenPool, sleep, spawn_n
from eventlet.event import Event

from apricotlead.coordination.scheduler import Scheduler
from apricotlead.protocol.errors import OutcomeUnknown, Overloaded
from apricotlead.protocol.instances import InstanceList
from apricotlead.protocol.outcomes import MayHaveRun, NotRun, Outcome
from apricotlead.protocol.peers import Envelope
from apricotlead.protocol.signals import (
    Answer,
    CallWorker,
    Count,
    DeleteObject,
    Effect,
    GetObject,
    InstancesListed,
    LogEvent,
    ObjectReplied,
    PeerReceived,
    PutObject,
    ReadRows,
    ScanRows,
    SendToPeer,
    Signal,
    StoreReplied,
    Tick,
    Transact,
    WorkerReplied,
)
from apricotlead.transport.clock import monotonic_now

TICK_S = 0.02
_LIST_INTERVAL_S = 1.0
_MAX_OPEN_TICKETS = 10_000
_MAX_GREENLETS = 4000

EffectHandler = Callable[['Engine', Any], None]

_handlers_by_effect: dict[type[Effect], EffectHandler] = {}


def performs(
    effect_type: type[Effect],
) -> Callable[[EffectHandler], EffectHandler]:
    """Register the handler that performs effects of this type."""

    def decorate(handler: EffectHandler) -> EffectHandler:
        _handlers_by_effect[effect_type] = handler
        return handler

    return decorate


class Links(Protocol):
    """The external clients that the engine uses; see ``entry.py``."""

    platform: Any
    workers: Any
    peers: Any
    metrics: Any
    log: Callable[..., None]

    def close_unused_links(self) -> None:
        """Close the links to peers that are no longer listed."""


class Engine:
    """Runs a scheduler on one eventlet loop.

    Signals are delivered on the loop's thread without switching green threads
    in between, so the scheduler needs no locks.
    """

    __slots__ = ('_next_ticket', '_pool', '_scheduler', '_tickets', 'links')

    def __init__(self, scheduler: Scheduler, links: Links) -> None:
        """Connect a scheduler with its links; :meth:`start` runs it."""
        self._scheduler = scheduler
        self._pool = GreenPool(_MAX_GREENLETS)
        self._tickets: dict[int, Event] = {}
        self._next_ticket = 0
        self.links = links

    def start(self) -> None:
        """Start ticking and polling the platform's instance list."""
        spawn_n(self._tick_forever)
        spawn_n(self._list_forever)

    def deliver(self, signal: Signal) -> None:
        """Deliver a signal and start to perform the resulting effects."""
        effects = self._scheduler.deliver(signal, monotonic_now())
        self._perform_all(effects)

    def ask(
        self,
        make_signal: Callable[[int], Signal],
        timeout_s: float,
    ) -> Outcome:
        """Deliver a caller's request and wait for its answer.

        ``make_signal`` gets the ticket that the :class:`Answer` will carry.
        The components normally answer in time; the timeout guards against a
        fault in them, and leaves the outcome unknown.
        """
        if len(self._tickets) >= _MAX_OPEN_TICKETS:
            return NotRun(Overloaded('Too many requests are open.'), 1.0)
        self._next_ticket += 1
        ticket = self._next_ticket
        event = Event()
        self._tickets[ticket] = event
        self.deliver(make_signal(ticket))
        outcome = event.wait(timeout_s)
        self._tickets.pop(ticket, None)
        if outcome is None:
            return MayHaveRun(OutcomeUnknown('No answer came in time.'))
        return outcome

    def answer(self, ticket: int, outcome: Outcome) -> None:
        """Wake the request that waits for the ticket, if it still waits."""
        event = self._tickets.pop(ticket, None)
        if event is not None:
            event.send(outcome)

    def receive(self, envelope: Envelope) -> None:
        """Deliver a message from a peer."""
        self.deliver(PeerReceived(envelope.sender, envelope.message))

    def dump(self) -> dict[str, Any]:
        """Return the state of all components and of the engine."""
        return {
            'engine': {
                'open_tickets': len(self._tickets),
                'greenlets_free': self._pool.free(),
            },
            **self._scheduler.dump(monotonic_now()),
        }

    def _perform_all(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            handler = _handlers_by_effect[type(effect)]
            if isinstance(effect, (Answer, Count, LogEvent, SendToPeer)):
                handler(self, effect)
            else:
                self._pool.spawn_n(handler, self, effect)

    def _tick_forever(self) -> None:
        while True:
            self.deliver(Tick())
            sleep(TICK_S)

    def _list_forever(self) -> None:
        unusable_count = 0
        while True:
            reply = self.links.platform.list_instances()
            if isinstance(reply, InstanceList):
                if reply.unusable_count != unusable_count:
                    unusable_count = reply.unusable_count
                    self.links.log(
                        'instance entries unusable', count=unusable_count
                    )
                self.deliver(InstancesListed(reply.instances))
            self.links.close_unused_links()
            sleep(_LIST_INTERVAL_S)


@performs(Answer)
def _answer(engine: Engine, effect: Answer) -> None:
    engine.answer(effect.ticket, effect.outcome)


@performs(Count)
def _count(engine: Engine, effect: Count) -> None:
    engine.links.metrics.incr(effect.name, effect.amount)


@performs(LogEvent)
def _log_event(engine: Engine, effect: LogEvent) -> None:
    engine.links.log(effect.message, **effect.fields)


@performs(SendToPeer)
def _send_to_peer(engine: Engine, effect: SendToPeer) -> None:
    engine.links.peers.send(effect.address, effect.message)


@performs(Transact)
def _transact(engine: Engine, effect: Transact) -> None:
    reply = engine.links.platform.transact(effect.transaction)
    engine.deliver(StoreReplied(effect.token, reply))


@performs(ReadRows)
def _read_rows(engine: Engine, effect: ReadRows) -> None:
    reply = engine.links.platform.read_rows(effect.keys)
    engine.deliver(StoreReplied(effect.token, reply))


@performs(ScanRows)
def _scan_rows(engine: Engine, effect: ScanRows) -> None:
    reply = engine.links.platform.scan_rows(effect.prefix)
    engine.deliver(StoreReplied(effect.token, reply))


@performs(PutObject)
def _put_object(engine: Engine, effect: PutObject) -> None:
    reply = engine.links.platform.put_object(effect.key, effect.content)
    engine.deliver(ObjectReplied(effect.token, reply.succeeded))


@performs(GetObject)
def _get_object(engine: Engine, effect: GetObject) -> None:
    reply = engine.links.platform.get_object(effect.key)
    engine.deliver(
        ObjectReplied(effect.token, reply.succeeded, reply.content),
    )


@performs(DeleteObject)
def _delete_object(engine: Engine, effect: DeleteObject) -> None:
    reply = engine.links.platform.delete_object(effect.key)
    engine.deliver(ObjectReplied(effect.token, reply.succeeded))


@performs(CallWorker)
def _call_worker(engine: Engine, effect: CallWorker) -> None:
    reply = engine.links.workers.call(
        effect.address,
        effect.request,
        effect.timeout_s,
    )
    engine.deliver(WorkerReplied(effect.token, effect.worker_id, reply))
