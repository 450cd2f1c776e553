"""A server on loopback that can restart at the same port."""

import socket
from contextlib import suppress
from typing import Any, NamedTuple

import eventlet

_HEAD = 'HTTP/1.1 200 OK\r\nContent-Length: {0}\r\n{1}\r\n'
_LENGTH_HEADER = b'content-length:'
# Time for the other end to see that a connection was closed.
_CLOSE_S = 0.02


class Request(NamedTuple):
    """A request that a life of the server received on a connection."""

    life: int
    connection: int
    body: bytes


class RestartableServer:
    """Answers with its life, counted from 1, as ``born``, and records requests.

    A request for ``/held`` is answered after ``release``; after one for
    ``/last``, or with ``says_close``, the connection is closed.
    """

    def __init__(self) -> None:
        """Listen on a free port."""
        self.life = 0
        self.connections = 0
        self.requests: list[Request] = []
        self.says_close = False
        self._port = 0
        self._released = eventlet.Event()
        self._clients_by_number: dict[int, Any] = {}
        self.start()

    @property
    def address(self) -> str:
        """Return the address, which stays the same."""
        return f'127.0.0.1:{self._port}'

    def start(self) -> None:
        """Begin a life at the same port."""
        self.life += 1
        self._listener = eventlet.listen(('127.0.0.1', self._port))
        self._port = self._listener.getsockname()[1]
        self._threads = [eventlet.spawn(self._accept, self.life)]

    def stop(self) -> None:
        """End the life and its connections, as the end of a process does."""
        for thread in self._threads:
            thread.kill()
        self._listener.close()
        for number in tuple(self._clients_by_number):
            self.end_connection(number)

    def restart(self) -> None:
        """Begin a further life."""
        self.stop()
        self.start()

    def end_connection(self, number: int) -> None:
        """Close one connection."""
        client = self._clients_by_number.pop(number)
        # The other end may have closed it already.
        with suppress(OSError):
            client.shutdown(socket.SHUT_RDWR)
        client.close()
        eventlet.sleep(_CLOSE_S)

    def release(self) -> None:
        """Let held requests be answered."""
        self._released.send()

    def _accept(self, life: int) -> None:
        while True:
            client, _ = self._listener.accept()
            self.connections += 1
            number = self.connections
            self._clients_by_number[number] = client
            self._threads.append(
                eventlet.spawn(self._serve, client, life, number)
            )

    def _serve(self, client: Any, life: int, number: int) -> None:
        reader = client.makefile('rb')
        for line in iter(reader.readline, b''):
            self.requests.append(Request(life, number, _read_body(reader)))
            path = line.split()[1]
            if path == b'/held':
                self._released.wait()
            is_last = self.says_close or path == b'/last'
            body = f'{{"ClockMs":1,"born":{life}}}'
            header = 'Connection: close\r\n' if is_last else ''
            client.sendall((_HEAD.format(len(body), header) + body).encode())
            if is_last:
                self.end_connection(number)
                return


def _read_body(reader: Any) -> bytes:
    """Read the rest of a request."""
    length = 0
    for line in iter(reader.readline, b'\r\n'):
        if line.lower().startswith(_LENGTH_HEADER):
            length = int(line.split()[1])
    return reader.read(length)
