"""Structured log lines to standard output that never block the loop.

Lines go through eliot into a bounded queue; a green thread writes them to a
descriptor in non-blocking mode. Each kind of line has its own rate bound, and
what is dropped is counted and reported.
"""

import os
from collections import Counter, deque
from typing import Any

import eliot
import eventlet
from msgspec.json import Encoder

# Enough for the decisions of the busiest second measured; more is repetition.
_LINES_PER_S = 300
_QUEUE_LINES = 4000
_FLUSH_S = 0.1
# A write of at most this much to a pipe is never split (PIPE_BUF).
_CHUNK_BYTES = 4096
_ROUNDS_PER_S = 10
_ROUNDS_PER_REPORT = 50

_encoder = Encoder()


class CellLog:
    """Writes log lines of one process."""

    __slots__ = ('_counts', '_dropped', '_fd', '_fields', '_lines', '_rest')

    def __init__(self, fields: dict[str, Any], descriptor: int) -> None:
        """Add ``fields`` (the instance) to each line.

        ``descriptor`` is where lines go; writes to it must not block.
        """
        self._fields = fields
        self._lines: deque[bytes] = deque()
        self._counts: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._fd = descriptor
        self._rest = b''
        eliot.add_destinations(self._take)

    def close(self) -> None:
        """Take no more lines."""
        eliot.remove_destination(self._take)

    def start(self) -> None:
        """Write in the background from now on."""
        eventlet.spawn_n(self._run)

    def log(self, kind: str, **fields: Any) -> None:
        """Log one decision or event, unless its kind is over its rate."""
        self._counts[kind] += 1
        if self._counts[kind] > _LINES_PER_S:
            self._dropped[kind] += 1
            return
        eliot.log_message(message_type=kind, **fields)

    def flush(self) -> None:
        """Write what fits without waiting, in whole lines."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_chunk()
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                # The reader is slow; the queue keeps the lines.
                return
            self._rest = self._rest[written:]

    def _next_chunk(self) -> bytes:
        """Take lines for one write; a longer line goes alone."""
        chunk = [self._lines.popleft()]
        size = len(chunk[0])
        while self._lines and size + len(self._lines[0]) <= _CHUNK_BYTES:
            chunk.append(self._lines.popleft())
            size += len(chunk[-1])
        return b''.join(chunk)

    def _take(self, message: dict[str, Any]) -> None:
        message.pop('task_uuid', None)
        message.pop('task_level', None)
        message.update(self._fields)
        if len(self._lines) >= _QUEUE_LINES:
            self._dropped['queue full'] += 1
            return
        self._lines.append(b''.join((_encoder.encode(message), b'\n')))

    def _run(self) -> None:
        rounds = 0
        while True:
            eventlet.sleep(_FLUSH_S)
            rounds += 1
            if rounds % _ROUNDS_PER_S == 0:
                self._counts.clear()
            if rounds % _ROUNDS_PER_REPORT == 0 and self._dropped:
                dropped = dict(self._dropped)
                self._dropped.clear()
                eliot.log_message(message_type='lines dropped', kinds=dropped)
            self.flush()
