"""HTTP calls that many green threads share."""

from typing import Protocol

import eventlet
from eventlet.patcher import import_patched
from msgspec import Struct

DATACENTRE_HEADER = 'X-Apricotlead-Datacentre'

# A copy of urllib3 that uses eventlet's sockets, so that the program that
# embeds this library need not patch its standard library.
_urllib3 = import_patched('urllib3')
_errors = _urllib3.exceptions

# A service that answers so has done nothing.
REFUSED_STATUSES = frozenset((429, 503))
# The part of a call's time that may go into connecting; an overall timeout
# is then never mistaken for a call that was not sent, or the reverse.
_CONNECT_FRACTION = 0.75
# Pools beyond this many hosts are closed, least recently used first.
_MAX_HOSTS = 4096
# An executor takes 64 connections from all entry instances together, and an
# idle one counts.
_FAILURES = (_errors.HTTPError, OSError, EOFError, ValueError)
_IDLE_PER_HOST = 4


class HttpCall(Struct, frozen=True):
    """A request; ``address`` is ``IP:port``, ``timeout_s`` bounds all of it.

    ``path`` is percent-encoded by the caller.
    """

    method: str
    address: str
    path: str
    body: bytes = b''
    headers: dict[str, str] = {}
    timeout_s: float = 2.0


class NeverSent(Struct, frozen=True):
    """No byte of the request left: it was not carried out."""

    reason: str


class Answered(Struct, frozen=True):
    """The whole answer; the names in ``headers`` are in lower case."""

    status: int
    body: bytes
    headers: dict[str, str]


class NoAnswer(Struct, frozen=True):
    """The request may have been carried out."""

    reason: str


HttpResult = NeverSent | Answered | NoAnswer


class HttpCaller(Protocol):
    """What the clients need of :class:`HttpPool`."""

    def call(self, request: HttpCall) -> HttpResult:
        """Send a request and wait for its answer."""


class HttpPool:
    """Keeps connections open between calls.

    A connection goes back only after a whole answer was read from it. After a
    timeout or an error it is closed, so that an answer which comes late is
    never taken for the answer to another request.
    """

    __slots__ = ('_headers', '_manager')

    def __init__(
        self,
        datacentre: str = '',
        max_hosts: int = _MAX_HOSTS,
        idle_per_host: int = _IDLE_PER_HOST,
    ) -> None:
        """Begin without connections; calls name ``datacentre`` as theirs."""
        self._headers = {DATACENTRE_HEADER: datacentre} if datacentre else {}
        self._manager = _urllib3.PoolManager(
            num_pools=max_hosts,
            maxsize=idle_per_host,
            block=False,
            retries=False,
        )

    def call(self, request: HttpCall) -> HttpResult:
        """Send a request and wait for its answer; raises nothing."""
        timer = eventlet.Timeout(request.timeout_s)
        try:
            return self._call(request)
        except eventlet.Timeout as timeout:
            if timeout is not timer:
                raise
            return NoAnswer(f'no answer within {request.timeout_s} s')
        finally:
            timer.cancel()

    def close(self) -> None:
        """Close the idle connections."""
        self._manager.clear()

    def _call(self, request: HttpCall) -> HttpResult:
        host, _, port = request.address.rpartition(':')
        if not port.isdecimal():
            return NeverSent(f'malformed address {request.address}')
        try:
            return self._exchange(request, host, int(port))
        except (
            _errors.ConnectTimeoutError,
            _errors.NewConnectionError,
            _errors.LocationValueError,
        ) as error:
            return NeverSent(str(error))
        except _FAILURES as error:
            # ValueError is a header that cannot be sent.
            return NoAnswer(str(error))

    def _exchange(self, request: HttpCall, host: str, port: int) -> Answered:
        pool = self._manager.connection_from_host(host, port)
        response = pool.urlopen(
            request.method,
            request.path,
            body=request.body,
            headers={**self._headers, **request.headers},
            redirect=False,
            retries=False,
            timeout=_urllib3.Timeout(
                connect=request.timeout_s * _CONNECT_FRACTION,
                read=request.timeout_s,
            ),
        )
        headers = {
            name.lower(): text for name, text in response.headers.items()
        }
        return Answered(response.status, response.data, headers)
