"""An HTTP connection pool shared by green threads."""

import select
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from itertools import count
from typing import Any, Protocol

import eventlet
from eventlet.green import socket
from eventlet.semaphore import Semaphore
from httptools import HttpParserError
from msgspec import Struct

from apricotlead.protocol.addresses import InvalidAddress, split_address
from apricotlead.transport.boot_clock import boot_now
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
_READ_BYTES = 65536
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


class _Connection:
    """An open connection; ``number`` tells it from all others of the pool.

    ``answered_s`` is when its last answer was complete, ``None`` before.
    """

    __slots__ = ('answered_s', 'number', 'socket')

    def __init__(self, number: int, connected: Any) -> None:
        """Use a connected socket."""
        self.number = number
        self.socket = connected
        self.answered_s: float | None = None

    @property
    def is_kept(self) -> bool:
        """Return whether it has answered an earlier call."""
        return self.answered_s is not None

    def describe(self, now: float) -> str:
        """Return whether it was kept from an earlier call, and for how long."""
        if self.answered_s is None:
            return 'a new connection'
        kept_s = round(now - self.answered_s, 1)
        return f'a connection kept for {kept_s} s'

    def is_readable(self) -> bool:
        """Return whether it was closed or has unread data while idle."""
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def send_and_receive(
        self,
        encoded: bytes,
        reader: ResponseReader,
        received: Callable[[], None],
    ) -> bool:
        """Send a request and read its response; return whether to reuse.

        ``received()`` is called after each part of the response.
        """
        self.socket.sendall(encoded)
        while not reader.is_complete:
            reader.feed(self.socket.recv(_READ_BYTES))
            received()
        return reader.is_reusable


class _Host:
    """The connections to one address.

    ``permits`` limits how many calls use a connection at a time, ``None``
    without a limit. A call takes an idle connection first, so the limit also
    holds for the connections that are open. ``open_numbers`` has those that
    are idle and those in use. ``awaited_by_number`` has the calls on kept
    connections whose answers may become overdue: when each was sent, and when
    its answer is overdue.
    """

    __slots__ = (
        'awaited_by_number',
        'idle_by_number',
        'is_closed',
        'open_numbers',
        'permits',
        'received_s',
    )

    def __init__(self, max_connections: int | None) -> None:
        """Start without connections."""
        self.awaited_by_number: dict[int, tuple[float, float]] = {}
        self.idle_by_number: dict[int, _Connection] = {}
        self.open_numbers: set[int] = set()
        self.is_closed = False
        # When a part of a large answer came last.
        self.received_s = float('-inf')
        self.permits = Semaphore(max_connections) if max_connections else None

    def acquire(self, wait_s: float) -> bool:
        """Wait for a permit; tell whether the call may use a connection."""
        if self.permits is None:
            return True
        if not self.permits.acquire(timeout=wait_s):
            return False
        if self.is_closed:
            self.permits.release()
        return not self.is_closed

    def release(self) -> None:
        """Return the permit."""
        if self.permits is not None:
            self.permits.release()

    def is_gone(self, number: int | None) -> bool:
        """Return whether ``number`` names a connection that has ended.

        Those in use of a closed host are closed after their call.
        """
        if number is None:
            return False
        return self.is_closed or number not in self.open_numbers

    def take_idle(self, number: int | None) -> _Connection | None:
        """Return an idle connection that is open and has no unread data.

        With ``number`` only that one, otherwise the one used last.
        """
        while self.idle_by_number:
            last = next(reversed(self.idle_by_number))
            connection = self.idle_by_number.pop(
                last if number is None else number, None
            )
            if connection is None or not connection.is_readable():
                return connection
            self.discard(connection)
        return None

    def add(self, connection: _Connection) -> None:
        """Count a new connection as open; it is in use."""
        self.open_numbers.add(connection.number)

    def discard(self, connection: _Connection) -> None:
        """Close a connection that is not idle."""
        self.open_numbers.discard(connection.number)
        _close(connection.socket)

    def discard_overdue(self, now: float) -> None:
        """Close kept connections that an overdue answer makes suspect."""
        if not self.idle_by_number:
            return
        overdue = [
            sent_s
            for sent_s, overdue_s in self.awaited_by_number.values()
            if overdue_s <= now
        ]
        if overdue:
            self.discard_suspects(max(overdue))

    def discard_suspects(self, sent_s: float) -> None:
        """Close kept connections that may have failed together with one.

        A device on the path may forget all idle connections at once, without
        a reset, so each of them would cost a call its whole time limit. Those
        that have answered since ``sent_s``, when the failed call was sent,
        work.
        """
        for number, connection in tuple(self.idle_by_number.items()):
            if connection.answered_s <= sent_s:
                self.idle_by_number.pop(number)
                self.discard(connection)

    def begin_call(
        self, connection: _Connection, overdue_s: float | None
    ) -> float:
        """Record that a call is sent on a connection; return the time."""
        sent_s = boot_now()
        if connection.is_kept and overdue_s is not None:
            self.awaited_by_number[connection.number] = (
                sent_s,
                sent_s + overdue_s,
            )
        return sent_s

    def receive(
        self,
        connection: _Connection,
        request: HttpCall,
        timer: eventlet.Timeout,
    ) -> None:
        """Record that a part of an answer has come."""
        self.awaited_by_number.pop(connection.number, None)
        if request.limits_silence:
            self.received_s = boot_now()
            timer.cancel()
            timer.start()

    def note_failure(self, connection: _Connection, sent_s: float) -> None:
        """Close the kept connections that a failed call makes suspect.

        A call on a new connection says nothing about kept ones.
        """
        if connection.is_kept:
            self.discard_suspects(sent_s)

    def end_call(
        self, connection: _Connection, may_reuse: bool, max_idle: int
    ) -> bool:
        """Keep a connection for later calls or close it; return whether kept."""
        self.awaited_by_number.pop(connection.number, None)
        is_idle = may_reuse and self.return_idle(connection, max_idle)
        if not is_idle:
            self.discard(connection)
        return is_idle

    def return_idle(self, connection: _Connection, max_idle: int) -> bool:
        """Keep a connection for later calls if there is room for it."""
        if self.is_closed or len(self.idle_by_number) >= max_idle:
            return False
        connection.answered_s = boot_now()
        self.idle_by_number[connection.number] = connection
        return True

    def close(self) -> None:
        """Close the connections: idle ones now, those in use after the call."""
        self.is_closed = True
        for connection in self.idle_by_number.values():
            self.discard(connection)
        self.idle_by_number.clear()


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
        self._hosts_by_address: OrderedDict[str, _Host] = OrderedDict()
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

    def _host(self, address: str) -> _Host:
        host = self._hosts_by_address.get(address)
        if host is None:
            host = _Host(self._max_per_host)
            self._hosts_by_address[address] = host
        self._hosts_by_address.move_to_end(address)
        if len(self._hosts_by_address) > self._max_hosts:
            _, unused = self._hosts_by_address.popitem(last=False)
            unused.close()
        return host

    def _call_in_time(self, request: HttpCall, host: _Host) -> HttpResult:
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
        self, request: HttpCall, host: _Host, timer: eventlet.Timeout
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
                connection = _Connection(next(self._numbers), _connect(request))
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
        host: _Host,
        connection: _Connection,
        encoded: bytes,
        timer: eventlet.Timeout,
    ) -> HttpResult:
        reader = ResponseReader()
        may_reuse = False
        sent_s = host.begin_call(connection, request.overdue_s)
        try:
            may_reuse = connection.send_and_receive(
                encoded,
                reader,
                partial(host.receive, connection, request, timer),
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
    request: HttpCall, connection: _Connection, sent_s: float
) -> NoAnswer:
    limit_s = round(request.timeout_s, _LOG_DIGITS)
    kind = connection.describe(sent_s)
    return NoAnswer(f'no answer within {limit_s} s on {kind}')


def _connection_gone(request: HttpCall) -> NeverSent:
    return NeverSent(
        f'{request.address}: connection {request.connection} has ended',
        is_connection_gone=True,
    )


def _unavailable(request: HttpCall, host: _Host) -> NeverSent:
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
        _close(connection)
        raise
    connection.settimeout(None)
    return connection


def _close(connection: Any) -> None:
    # Errors while closing a broken connection carry no information.
    with suppress(OSError):
        connection.close()
