"""Daemon helpers on eventlet: an HTTP server, signals and waiting."""

import signal
from collections.abc import Callable, Iterable
from functools import partial
from select import select
from typing import Any

import eventlet
from eventlet import GreenPile, GreenPool, wsgi
from eventlet.event import Event

from apricotlead.protocol.addresses import split_address

ACCEPT_FAILED = 'accept failed'
AT_LIMIT = 'connection limit reached'
_MAX_ACCEPT_POLLS = 1000
# Connections that may wait while the loop is busy. The system drops further ones
# silently, and their callers try again only after a second. It may lower this.
_MAX_WAITING_CONNECTIONS = 4096
# Exhausted file descriptors are freed as connections end.
_ACCEPT_RETRY_S = 0.05


class _ResilientListener:
    """A listening socket whose failed accepts do not stop its server.

    eventlet's server stops, and closes the socket, when an accept fails, for
    example because a connection was reset before it was accepted or the file
    descriptors are exhausted. The process would keep running and refuse all
    callers.
    """

    __slots__ = ('_address', '_is_at_limit', '_log', '_socket', '_workers')

    def __init__(
        self, listener: Any, workers: GreenPool, log: Callable[..., Any]
    ) -> None:
        """Accept from ``listener``; ``workers`` serve the connections."""
        self._socket = listener
        self._address = '{}:{}'.format(*listener.getsockname())
        self._workers = workers
        self._is_at_limit = False
        self._log = log

    def __getattr__(self, name: str) -> Any:
        """Delegate everything except ``accept``."""
        return getattr(self._socket, name)

    def accept(self) -> Any:
        """Return the next connection; raise only if the socket is closed."""
        self._log_limit()
        while True:
            try:
                return self._socket.accept()
            except OSError as error:
                if self._socket.fileno() < 0:
                    raise
                self._log(ACCEPT_FAILED, why=str(error))
            eventlet.sleep(_ACCEPT_RETRY_S)

    def _log_limit(self) -> None:
        """Log when the next connection will wait until another one ends."""
        was_at_limit = self._is_at_limit
        self._is_at_limit = self._workers.free() <= 0
        if self._is_at_limit and not was_at_limit:
            self._log(AT_LIMIT, address=self._address, most=self._workers.size)


class HttpServer:
    """Serves a WSGI application in the background until it is stopped."""

    __slots__ = ('_listener',)

    def __init__(
        self,
        address: str,
        application: Any,
        max_connections: int,
        log: Callable[..., Any],
    ) -> None:
        """Listen on ``address`` (``IP:port``, port 0 for any free one).

        ``log(kind, **fields)`` logs failed accepts, and that the limit of
        ``max_connections`` is reached.
        """
        listener = eventlet.listen(
            split_address(address), backlog=_MAX_WAITING_CONNECTIONS
        )
        workers = GreenPool(max_connections)
        self._listener = _ResilientListener(listener, workers, log)
        eventlet.spawn_n(
            wsgi.server,
            self._listener,
            application,
            custom_pool=workers,
            log_output=False,
            debug=False,
        )

    @property
    def address(self) -> str:
        """Return the bound ``IP:port``."""
        return '{}:{}'.format(*self._listener.getsockname())

    def stop(self) -> None:
        """Accept no more connections; open ones continue to be served.

        New connections are refused, which tells their callers that nothing
        ran. The server's own stop mechanism is not used, since it would also
        close accepted connections whose request was not read yet.
        """
        # A connection that is not yet accepted when the listener closes is
        # reset, and its caller cannot know whether anything ran.
        for _ in range(_MAX_ACCEPT_POLLS):
            if not self._has_waiting_connection():
                break
            eventlet.sleep(0)
        self._listener.close()

    def _has_waiting_connection(self) -> bool:
        readable, _, _ = select([self._listener.fileno()], [], [], 0)
        return bool(readable)


class StopRequest:
    """Catches SIGTERM and SIGINT once created."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Replace the handlers of both signals."""
        self._event = Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, partial(_request_stop, self._event))

    def wait(self) -> None:
        """Wait for one of the signals."""
        self._event.wait()


def on_hangup(call: Callable[[], Any]) -> None:
    """Run a call on the loop at each SIGHUP instead of terminating."""
    signal.signal(signal.SIGHUP, partial(_schedule, call))


def pause(duration_s: float) -> None:
    """Suspend this green thread while others run."""
    eventlet.sleep(duration_s)


def run_in_background(call: Callable[[], Any]) -> None:
    """Run a call in a green thread of its own."""
    eventlet.spawn_n(call)


def run_together(calls: Iterable[Callable[[], Any]]) -> list[Any]:
    """Run calls concurrently; return their results in order."""
    pile = GreenPile()
    for call in calls:
        pile.spawn(call)
    return list(pile)


def _request_stop(stop: Event, number: int, frame: Any) -> None:
    # A signal handler must not switch green threads; the hub wakes the waiter.
    if not stop.ready():
        eventlet.hubs.get_hub().schedule_call_global(0, stop.send)


def _schedule(call: Callable[[], Any], number: int, frame: Any) -> None:
    # A signal handler must not switch green threads; the hub runs the call.
    eventlet.hubs.get_hub().schedule_call_global(0, call)
