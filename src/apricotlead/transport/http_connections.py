"""The connections of a pool to one address, and which of them work."""

import select
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import eventlet
from eventlet.semaphore import Semaphore

from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.http_messages import ResponseReader

_READ_BYTES = 65536


class Connection:
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


class HostConnections:
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
        self.idle_by_number: dict[int, Connection] = {}
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

    def take_idle(self, number: int | None) -> Connection | None:
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

    def add(self, connection: Connection) -> None:
        """Count a new connection as open; it is in use."""
        self.open_numbers.add(connection.number)

    def discard(self, connection: Connection) -> None:
        """Close a connection that is not idle."""
        self.open_numbers.discard(connection.number)
        close_socket(connection.socket)

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
        self, connection: Connection, overdue_s: float | None
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
        self, connection: Connection, silence_timer: eventlet.Timeout | None
    ) -> None:
        """Record that a part of an answer has come.

        Start the timer again that limits the silence of a large answer.
        """
        self.awaited_by_number.pop(connection.number, None)
        if silence_timer is not None:
            self.received_s = boot_now()
            silence_timer.cancel()
            silence_timer.start()

    def note_failure(self, connection: Connection, sent_s: float) -> None:
        """Close the kept connections that a failed call makes suspect.

        A call on a new connection says nothing about kept ones.
        """
        if connection.is_kept:
            self.discard_suspects(sent_s)

    def end_call(
        self, connection: Connection, may_reuse: bool, max_idle: int
    ) -> bool:
        """Keep a connection for later calls or close it; return whether kept."""
        self.awaited_by_number.pop(connection.number, None)
        is_idle = may_reuse and self.return_idle(connection, max_idle)
        if not is_idle:
            self.discard(connection)
        return is_idle

    def return_idle(self, connection: Connection, max_idle: int) -> bool:
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


def close_socket(connection: Any) -> None:
    """Close a socket that may be broken."""
    # Errors while closing a broken connection carry no information.
    with suppress(OSError):
        connection.close()
