"""What a daemon needs of eventlet: a server, a stop signal, waiting."""

import signal
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import eventlet
from eventlet import GreenPile, wsgi
from eventlet.event import Event


def serve_http(address: str, application: Any, max_connections: int) -> str:
    """Serve a WSGI application in the background; return ``IP:port``.

    ``address`` is ``IP:port``, port 0 for any free one.
    """
    listener = eventlet.listen(split_address(address))
    eventlet.spawn_n(
        wsgi.server,
        listener,
        application,
        max_size=max_connections,
        log_output=False,
        debug=False,
    )
    return '{}:{}'.format(*listener.getsockname())


def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, partial(_request_stop, stop))
    stop.wait()


def pause(duration_s: float) -> None:
    """Let other green threads run for that long."""
    eventlet.sleep(duration_s)


def run_together(calls: Iterable[Callable[[], Any]]) -> list[Any]:
    """Run calls in green threads; return their results in order."""
    pile = GreenPile()
    for call in calls:
        pile.spawn(call)
    return list(pile)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def _request_stop(stop: Event, number: int, frame: Any) -> None:
    # A signal handler must not switch; the hub wakes the waiting thread.
    if not stop.ready():
        eventlet.hubs.get_hub().schedule_call_global(0, stop.send)
