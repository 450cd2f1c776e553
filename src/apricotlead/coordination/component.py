"""Base class of all components and the decorator of their handlers."""

from collections.abc import Callable, Iterable
from inspect import getmembers
from typing import Any, ClassVar

from apricotlead.protocol.signals import SendToPeer, Signal
from apricotlead.state.session_view import SessionView

Handler = Callable[[Any, Any, float], Iterable[Signal]]

_HANDLED_TYPES = 'handled_signal_types'


def handles(*signal_types: type[Signal]) -> Callable[[Handler], Handler]:
    """Register the decorated method for signals of these types.

    The method has the signature ``method(self, signal, now)`` and returns
    the resulting signals in order. ``now`` is in monotonic seconds.
    """

    def decorate(handler: Handler) -> Handler:
        setattr(handler, _HANDLED_TYPES, signal_types)
        return handler

    return decorate


class Component:
    """A part of the scheduler that maps signals to further signals.

    ``name`` identifies it in the tokens of its store and worker calls.
    """

    name: ClassVar[str] = ''
    __slots__ = ()

    @classmethod
    def handlers_by_type(cls) -> dict[type[Signal], list[Handler]]:
        """Return the decorated methods by the signal type they handle."""
        by_type: dict[type[Signal], list[Handler]] = {}
        for _, handler in getmembers(cls, callable):
            for signal_type in getattr(handler, _HANDLED_TYPES, ()):
                by_type.setdefault(signal_type, []).append(handler)
        return by_type

    def dump(self, now: float) -> dict[str, Any]:
        """Return the component's state in JSON builtins."""
        return {}


def route_to_session(
    view: SessionView,
    session_id: str,
    message: Any,
) -> tuple[Signal, ...]:
    """Deliver a peer message locally or send it to another session.

    Nothing is sent to a session that is not known to be live.
    """
    if session_id == view.session_id:
        return (message,)
    peer = view.peers_by_id.get(session_id)
    if peer is None:
        return ()
    return (SendToPeer(session_id, peer.address, message),)
