"""A network in virtual time, whose open connections may go silent.

A silent connection neither delivers anything nor is reset; new connections
work. Use it within :func:`tests.virtual_clock.virtual_clock`.
"""

import json
import os
from base64 import b64encode
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from errno import ECONNRESET
from io import BytesIO
from typing import Any
from unittest import mock
from urllib.parse import parse_qs, urlsplit

import eventlet
from eventlet.queue import LightQueue
from eventlet.semaphore import Semaphore

from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.http_pool import HttpCall

HOP_S = 0.004
STORE_ANSWER_S = 0.004
_STORE_VERSION = 7
_MS_PER_S = 1000.0
# What a connection has under way, which others wait for in turn.
_WINDOW_BYTES = 65536
_PACKET_BYTES = 4096
# As the platform limits an answer.
_MAX_ROWS = 500
_POLL_S = 0.05
_MAX_BYTES = 1_000_000

# Answers ``method, target, body`` with a status and a body.
Host = Callable[[str, str, bytes], tuple[int, bytes]]


class VirtualLink:
    """A machine's link, on which connections take turns."""

    def __init__(self, bytes_per_s: float | None = None) -> None:
        """Carry everything at once without ``bytes_per_s``."""
        self._bytes_per_s = bytes_per_s
        self._turn = Semaphore()

    def carry(self, answer: bytes, deliver: Callable[[bytes], bool]) -> None:
        """Deliver an answer in packets, until ``deliver`` returns false."""
        if self._bytes_per_s is None:
            deliver(answer)
            return
        for window in _split(answer, _WINDOW_BYTES):
            with self._turn:
                is_wanted = all(
                    deliver(packet) for packet in self._pace(window)
                )
            if not is_wanted:
                break

    def _pace(self, window: bytes) -> Iterator[bytes]:
        """Return packets at the rate of the link."""
        for packet in _split(window, _PACKET_BYTES):
            eventlet.sleep(len(packet) / self._bytes_per_s)
            yield packet


class VirtualSocket:
    """The client's end of a connection to a host."""

    def __init__(self, network: 'VirtualNetwork', host: Host) -> None:
        """Connect to ``host``."""
        self._network = network
        self._host = host
        self._received: LightQueue = LightQueue()
        self.is_silent = False
        self.is_broken = False
        self.is_open = True

    def fileno(self) -> int:
        """Return a descriptor that is never readable."""
        return self._network.idle_descriptor

    def sendall(self, request: bytes) -> None:
        """Send a whole request."""
        if self.is_broken:
            raise ConnectionResetError(ECONNRESET, 'reset')
        eventlet.spawn_n(self._answer, request)

    def recv(self, most: int) -> bytes:
        """Wait for the next bytes."""
        return self._received.get()

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False

    def _answer(self, request: bytes) -> None:
        if self.is_silent:
            return
        head, _, body = request.partition(b'\r\n\r\n')
        method, target, _ = head.decode().split('\r\n')[0].split(' ')
        self._network.uplink.carry(request, lambda packet: self.is_open)
        eventlet.sleep(HOP_S)
        if not self.is_open:
            return
        status, content = self._host(method, target, body)
        eventlet.sleep(HOP_S)
        length = len(content)
        answer = (
            f'HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n'.encode()
            + content
        )
        self._network.link.carry(answer, self._deliver)

    def _deliver(self, packet: bytes) -> bool:
        if not self.is_silent:
            self._received.put(packet)
        return self.is_open


class VirtualNetwork:
    """Hosts by address, and the connections to them."""

    def __init__(self) -> None:
        """Start without hosts; :meth:`join` lets pools connect through it."""
        self.hosts_by_address: dict[str, Host] = {}
        self.sockets: list[VirtualSocket] = []
        self.link = VirtualLink()
        self.uplink = VirtualLink()
        # Whether new connections are silent, too.
        self.is_cut = False
        ends = os.pipe()
        self._ends = ends
        self.idle_descriptor = ends[0]

    def join(self, test: Any) -> None:
        """Connect all pools through this network until ``test`` ends."""
        test.enterContext(
            mock.patch(
                'apricotlead.transport.http_pool._connect', self._connect
            )
        )
        for end in self._ends:
            test.addCleanup(os.close, end)

    def silence(self) -> None:
        """Let all open connections go silent."""
        for connected in self.sockets:
            connected.is_silent = True

    def restart_hosts(self) -> None:
        """Let all open connections be reset once they are used."""
        for connected in self.sockets:
            connected.is_broken = True

    def _connect(self, request: HttpCall) -> VirtualSocket:
        eventlet.sleep(2 * HOP_S)
        host = self.hosts_by_address[request.address]
        connected = VirtualSocket(self, host)
        connected.is_silent = self.is_cut
        self.sockets.append(connected)
        return connected


class StoreHost:
    """The store's reads, its feed without changes, and writes that succeed."""

    def __init__(self, values_by_key: dict[str, Any]) -> None:
        """Hold rows by ``table/part/name``."""
        self._values_by_key = values_by_key
        self.read_count = 0
        self.write_count = 0
        self._version = _STORE_VERSION
        self._changes: list[dict[str, Any]] = []
        self._keys_by_part: defaultdict[tuple[str, str], list[str]]
        self._keys_by_part = defaultdict(list)
        for key in sorted(values_by_key):
            table, part, _ = key.split('/', 2)
            self._keys_by_part[table, part].append(key)
        self.answer_s = STORE_ANSWER_S

    def __call__(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        """Answer a call."""
        parts = urlsplit(target)
        query_values = parse_qs(parts.query, keep_blank_values=True)
        query = {name: each[0] for name, each in query_values.items()}
        wait_s = float(query.get('WaitMs', 0)) / _MS_PER_S
        eventlet.sleep(self.answer_s)
        ends_s = boot_now() + wait_s
        while boot_now() < ends_s and not self._changes_after(query):
            eventlet.sleep(_POLL_S)
        changes = self._changes_after(query)
        answer = {'Ver': self._version, 'NowMs': 5.0, 'rows': changes}
        if parts.path == '/api/rows-get':
            self.read_count += 1
            answer |= self._page(query)
        if parts.path == '/api/rows-tx':
            self.write_count += 1
        return 200, json.dumps(answer).encode()

    def change(self, keys: Iterable[str]) -> None:
        """Write the values of rows again."""
        for key in keys:
            self._version += 1
            row = _encode_row(key, self._values_by_key[key])
            self._changes.append({**row, 'Ver': self._version})

    def _changes_after(self, query: dict[str, str]) -> list[dict[str, Any]]:
        """Return the first changes after the version that a feed asks for."""
        after = int(query.get('After', self._version))
        newer = [row for row in self._changes if row['Ver'] > after]
        return newer[:_MAX_ROWS]

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the first rows of a range, as many as one answer may have."""
        rows: list[dict[str, Any]] = []
        size = 0
        most = min(_MAX_ROWS, int(query.get('Limit', _MAX_ROWS)))
        for key in self._keys_by_part[query['Table'], query['part']]:
            if not _is_asked_for(key, query):
                continue
            row = _encode_row(key, self._values_by_key[key])
            size += len(row['Value'])
            if len(rows) >= most or size > _MAX_BYTES:
                return {'rows': rows, 'HasMore': True}
            rows.append(row)
        return {'rows': rows}


def wsgi_host(application: Any) -> Host:
    """Serve a WSGI application as a host."""

    def answer(method: str, target: str, body: bytes) -> tuple[int, bytes]:
        statuses: list[str] = []
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': target,
            'CONTENT_LENGTH': str(len(body)),
            'wsgi.input': BytesIO(body),
        }
        content = application(
            environ, lambda status, headers: statuses.append(status)
        )
        return int(statuses[0].partition(' ')[0]), b''.join(content)

    return answer


def _split(whole: bytes, size: int) -> Iterator[bytes]:
    return (whole[start : start + size] for start in range(0, len(whole), size))


def _is_asked_for(key: str, query: dict[str, str]) -> bool:
    name = key.split('/', 2)[2]
    end = query.get('To')
    return query.get('From', '') <= name and (end is None or name < end)


def _encode_row(key: str, value: Any) -> dict[str, Any]:
    table, part, name = key.split('/', 2)
    return {
        'Table': table,
        'part': part,
        'Key': name,
        'Value': b64encode(json.dumps(value).encode()).decode(),
        'Ver': _STORE_VERSION,
    }
