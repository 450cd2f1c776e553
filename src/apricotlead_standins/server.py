"""An eventlet WSGI server for a stand-in."""

import random
import time
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import unquote

from eventlet import GreenPool, listen, spawn, wsgi
from eventlet.event import Event
from eventlet.greenio import shutdown_safe

from apricotlead_standins.faults import FaultInjector, StandIn
from apricotlead_standins.http_messages import (
    UNAVAILABLE,
    NoResponse,
    Parked,
    Request,
    Response,
)

_REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}
_HEADER_PREFIX = 'HTTP_'
_MAX_CONNECTIONS = 1024
_BACKLOG = 512


class StandInServer:
    """Serves one stand-in, by default on a free loopback port.

    All requests run as green threads of one thread, so the stand-in never
    handles two at the same time. A parked request is resumed when it is due
    and after each other request.
    """

    __slots__ = (
        '_clock',
        '_pool',
        '_socket',
        '_state_changed',
        '_thread',
        'address',
        'injector',
    )

    def __init__(
        self,
        standin: StandIn,
        host: str = '127.0.0.1',
        port: int = 0,
        seed: int | None = None,
        max_connections: int = _MAX_CONNECTIONS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Bind the socket and start serving; ``address`` is ``IP:port``."""
        self.injector = FaultInjector(standin, random.Random(seed))
        self._clock = clock
        self._state_changed = Event()
        self._pool = GreenPool(max_connections)
        self._socket = listen((host, port), backlog=_BACKLOG)
        bound_host, bound_port = self._socket.getsockname()[:2]
        self.address = f'{bound_host}:{bound_port}'
        self._thread = spawn(
            wsgi.server,
            self._socket,
            self._serve,
            custom_pool=self._pool,
            log_output=False,
            debug=True,
        )

    def wait(self) -> None:
        """Block until the server stops."""
        self._thread.wait()

    def close(self) -> None:
        """Stop the server; requests in progress are aborted."""
        self._thread.kill()
        self._socket.close()
        for connection in tuple(self._pool.coroutines_running):
            connection.kill()

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        answer = self._answer(_read_request(environ))
        if isinstance(answer, NoResponse):
            # The WSGI server then finds a closed socket and sends nothing.
            shutdown_safe(environ['eventlet.input'].get_socket())
            answer = Response(UNAVAILABLE)
        reason = _REASONS.get(answer.status, 'Unknown')
        headers = list(answer.headers.items())
        headers.append(('Content-Length', str(len(answer.body))))
        start_response(f'{answer.status} {reason}', headers)
        return (answer.body,)

    def _answer(self, request: Request) -> Response | NoResponse:
        answer = self.injector.handle(request, self._clock())
        self._wake_parked()
        while isinstance(answer, Parked):
            self._sleep_until(answer.due_s)
            answer = answer.resume(self._clock())
        return answer

    def _wake_parked(self) -> None:
        changed = self._state_changed
        self._state_changed = Event()
        changed.send()

    def _sleep_until(self, due_s: float) -> None:
        self._state_changed.wait(timeout=max(0, due_s - self._clock()))


def _read_request(environ: dict[str, Any]) -> Request:
    headers = {
        name.removeprefix(_HEADER_PREFIX).replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith(_HEADER_PREFIX)
    }
    return Request(
        environ['REQUEST_METHOD'],
        unquote(environ['RAW_PATH_INFO'].partition('?')[0]),
        environ['wsgi.input'].read(),
        headers,
    )
