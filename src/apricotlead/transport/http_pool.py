"""An HTTP connection pool shared by green threads."""

from collections import OrderedDict
from functools import partial
from itertools import count
from typing import Any, Protocol

import eventlet
from eventlet.green import socket
from httptools import HttpParserError
from msgspec import Struct

from apricotlead.protocol.addresses import InvalidAddress, split_address
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.http_connections import (
    Connection,
    HostConnections,
    close_socket,
)
from apricotlead.transport.http_messages import (
    InvalidHeader,
    ResponseReader,
    encode_request,
)

DATACENTRE_HEADER = 'X-Apricotlead-Datacentre'

# A service that answers with one of these has not carried out the request.
REFUSED_STATUSES = frozenset((429, 503))
# The share of a call's timeout that connecting may take. It keeps an overall
# timeout and a call that was never sent distinguishable.
_CONNECT_FRACTION = 0.75
# Beyond this many hosts, the connections of the least recently used host are
# closed.
_MAX_HOSTS = 4096
# An executor accepts 64 connections from all entry instances together,
# including idle ones.
_IDLE_PER_HOST = 4
_RETRY_HEADER = 'retry-after'
_MAX_RETRY_AFTER_S = 600.0
_LOG_DIGITS = 3


class HttpCall(Struct, frozen=True):
    """A request; ``address`` is ``IP:port``, ``timeout_s`` covers all of it.

    ``path`` is percent-encoded by the caller. Where the connections of a host
    are limited, the call first waits up to ``queue_s`` for one of them.

    With ``limits_silence`` each part of the answer may take ``timeout_s``. A large
    answer over a small link takes longer than one that was lost, and would only
    take longer still if it were asked for again.

    An answer that takes longer than ``overdue_s``, if given, may be lost, and
    with it all kept connections: later calls then use none that have not answered
    since.

    With ``connection`` the call is sent on the open connection of that number
    or not at all. A connection ends with the process at its other end, so such
    a call reaches no later process at the same address.
    """

    method: str
    address: str
    path: str
    body: bytes = b''
    headers: dict[str, str] = {}
    timeout_s: float = 2.0
    queue_s: float = 1.0
    overdue_s: float | None = None
    limits_silence: bool = False
    connection: int | None = None


class NeverSent(Struct, frozen=True):
    """No byte of the request was sent, so it was not carried out.

    With ``is_refused`` nothing listened at the address. With
    ``is_connection_gone`` the connection that the call names has ended.
    """

    reason: str
    is_refused: bool = False
    is_connection_gone: bool = False


class Answered(Struct, frozen=True):
    """A complete answer; names in ``headers`` are in lower case.

    ``connection`` is the number of the connection that it came on, ``None`` if
    that was not kept open. A pool uses each number once.
    """

    status: int
    body: bytes
    headers: dict[str, str]
    connection: int | None = None


class NoAnswer(Struct, frozen=True):
    """The request may have been carried out.

    With ``is_broken`` the connection ended instead of an answer.
    """

    reason: str
    is_broken: bool = False


HttpResult = NeverSent | Answered | NoAnswer


def retry_after_s(answer: Answered, default_s: float) -> float:
    """Return how long to wait before a retry.

    ``default_s`` if the header is absent, malformed or out of range.
    """
    try:
        delay_s = float(answer.headers.get(_RETRY_HEADER, default_s))
    except ValueError:
        return default_s
    return delay_s if 0 <= delay_s <= _MAX_RETRY_AFTER_S else default_s


class HttpCaller(Protocol):
    """What the clients need of :class:`HttpPool`."""

    def call(self, request: HttpCall) -> HttpResult:
        """Send a request and wait for its answer."""

    def received_s(self, address: str) -> float:
        """Return when a part of a large answer of a host came last."""


class HttpPool:
    """Keeps connections open between calls.

    A connection is returned to the pool only after a complete answer was read
    from it. After a timeout or an error it is closed, so that a late answer is
    never taken for the answer to another request. If it was kept from an
    earlier call, idle ones that have not answered since are closed as well.
    """

    __slots__ = (
        '_headers',
        '_hosts_by_address',
        '_idle_per_host',
        '_max_hosts',
        '_max_per_host',
        '_numbers',
    )

    def __init__(
        self,
        datacentre: str = '',
        max_hosts: int = _MAX_HOSTS,
        idle_per_host: int = _IDLE_PER_HOST,
        max_per_host: int | None = None,
    ) -> None:
        """Start without connections; calls send ``datacentre`` as a header.

        ``max_per_host`` limits the open connections to a host, both idle and
        in use; further calls wait for one of them.
        """
        self._headers = {DATACENTRE_HEADER: datacentre} if datacentre else {}
        self._max_hosts = max_hosts
        self._idle_per_host = idle_per_host
        self._max_per_host = max_per_host
        self._hosts_by_address: OrderedDict[str, HostConnections] = (
            OrderedDict()
        )
        self._numbers = count(1)

    def call(self, request: HttpCall) -> HttpResult:
        """Send a request and wait for its answer; errors are returned."""
        if self._is_gone(request):
            return _connection_gone(request)
        host = self._host(request.address)
        if not host.acquire(request.queue_s):
            if host.is_gone(request.connection):
                return _connection_gone(request)
            return NeverSent(f'{request.address}: no connection is free')
        try:
            return self._call_in_time(request, host)
        finally:
            host.release()

    def received_s(self, address: str) -> float:
        """Return when a part of a large answer of a host came last.

        Large answers are those to calls with ``limits_silence``.
        """
        host = self._hosts_by_address.get(address)
        return float('-inf') if host is None else host.received_s

    def close(self) -> None:
        """Close the connections: idle ones now, those in use after their call.

        Calls that still wait for a connection are not sent. Later calls open
        new connections.
        """
        for host in self._hosts_by_address.values():
            host.close()
        self._hosts_by_address.clear()

    def _is_gone(self, request: HttpCall) -> bool:
        """Return whether a call names a connection that has ended.

        A host that is not known has no connections; it is not added for such
        a call, since that could close the connections of another one.
        """
        if request.connection is None:
            return False
        host = self._hosts_by_address.get(request.address)
        return host is None or host.is_gone(request.connection)

    def _host(self, address: str) -> HostConnections:
        host = self._hosts_by_address.get(address)
        if host is None:
            host = HostConnections(self._max_per_host)
            self._hosts_by_address[address] = host
        self._hosts_by_address.move_to_end(address)
        if len(self._hosts_by_address) > self._max_hosts:
            _, unused = self._hosts_by_address.popitem(last=False)
            unused.close()
        return host

    def _call_in_time(
        self, request: HttpCall, host: HostConnections
    ) -> HttpResult:
        timer = eventlet.Timeout(request.timeout_s)
        try:
            return self._call(request, host, timer)
        except eventlet.Timeout as timeout:
            if timeout is not timer:
                raise
            limit_s = round(request.timeout_s, _LOG_DIGITS)
            return NoAnswer(f'no connection within {limit_s} s')
        finally:
            timer.cancel()

    def _call(
        self, request: HttpCall, host: HostConnections, timer: eventlet.Timeout
    ) -> HttpResult:
        try:
            encoded = encode_request(
                request.method,
                request.address,
                request.path,
                {**self._headers, **request.headers},
                request.body,
            )
        except InvalidHeader as error:
            return NoAnswer(str(error))
        host.discard_overdue(boot_now())
        # Nothing switches green threads between the check that the connection
        # is open and the sending.
        connection = host.take_idle(request.connection)
        if connection is None:
            if request.connection is not None:
                return _unavailable(request, host)
            try:
                connection = Connection(next(self._numbers), _connect(request))
            except (OSError, InvalidAddress) as error:
                return NeverSent(
                    f'{request.address}: {error}',
                    isinstance(error, ConnectionRefusedError),
                )
            host.add(connection)
        return self._exchange(request, host, connection, encoded, timer)

    def _exchange(
        self,
        request: HttpCall,
        host: HostConnections,
        connection: Connection,
        encoded: bytes,
        timer: eventlet.Timeout,
    ) -> HttpResult:
        reader = ResponseReader()
        may_reuse = False
        silence_timer = timer if request.limits_silence else None
        sent_s = host.begin_call(connection, request.overdue_s)
        try:
            may_reuse = connection.send_and_receive(
                encoded,
                reader,
                partial(host.receive, connection, silence_timer),
            )
        except eventlet.Timeout as timeout:
            if timeout is not timer:
                raise
            host.note_failure(connection, sent_s)
            return _unanswered(request, connection, sent_s)
        except (OSError, EOFError, HttpParserError) as error:
            host.note_failure(connection, sent_s)
            return NoAnswer(
                f'{request.address}: {error!r}',
                isinstance(error, (OSError, EOFError)),
            )
        finally:
            is_idle = host.end_call(connection, may_reuse, self._idle_per_host)
        return Answered(
            reader.status,
            reader.body,
            reader.headers_by_name,
            connection.number if is_idle else None,
        )


def _unanswered(
    request: HttpCall, connection: Connection, sent_s: float
) -> NoAnswer:
    limit_s = round(request.timeout_s, _LOG_DIGITS)
    kind = connection.describe(sent_s)
    return NoAnswer(f'no answer within {limit_s} s on {kind}')


def _connection_gone(request: HttpCall) -> NeverSent:
    return NeverSent(
        f'{request.address}: connection {request.connection} has ended',
        is_connection_gone=True,
    )


def _unavailable(request: HttpCall, host: HostConnections) -> NeverSent:
    """Return why the connection that a call names was not idle."""
    if host.is_gone(request.connection):
        return _connection_gone(request)
    return NeverSent(
        f'{request.address}: connection {request.connection} is in use',
    )


def _connect(request: HttpCall) -> Any:
    """Connect; raise OSError or :class:`InvalidAddress`."""
    address = split_address(request.address)
    connection = socket.socket()
    connection.settimeout(request.timeout_s * _CONNECT_FRACTION)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        connection.connect(address)
    except BaseException:
        close_socket(connection)
        raise
    connection.settimeout(None)
    return connection
