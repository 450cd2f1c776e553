"""Structured logging that never blocks the event loop.

Lines go through eliot into a bounded queue; a green thread writes them to a
file descriptor in non-blocking mode. Each kind of line has its own rate limit,
and dropped lines are counted and reported.
"""

import os
from collections import Counter, deque
from typing import Any

import eliot
import eventlet
from msgspec.json import Encoder

# Applies to each kind of line. Covers the decisions of the busiest second;
# beyond that, lines repeat each other.
_MAX_LINES_PER_S = 300
_MAX_QUEUED_LINES = 4000
_FLUSH_S = 0.1
# A write to a pipe of at most this size is atomic (PIPE_BUF).
_MAX_WRITE_BYTES = 4096
_ROUNDS_PER_S = 10
_ROUNDS_PER_REPORT = 50

_encoder = Encoder()


class CellLog:
    """Writes the log lines of one process."""

    __slots__ = (
        '_counts',
        '_descriptor',
        '_dropped',
        '_fields',
        '_lines',
        '_unwritten',
    )

    def __init__(self, fields: dict[str, Any], descriptor: int) -> None:
        """Add ``fields``, which name the instance, to each line.

        Lines are written to ``descriptor``; writes to it must not block.
        """
        self._fields = fields
        self._lines: deque[bytes] = deque()
        self._counts: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._descriptor = descriptor
        self._unwritten = b''
        eliot.add_destinations(self._enqueue)

    def close(self) -> None:
        """Accept no more lines."""
        eliot.remove_destination(self._enqueue)

    def start(self) -> None:
        """Start writing lines in the background."""
        eventlet.spawn_n(self._run)

    def log(self, kind: str, **fields: Any) -> None:
        """Log a decision or event, unless its kind exceeds its rate limit."""
        self._counts[kind] += 1
        if self._counts[kind] > _MAX_LINES_PER_S:
            self._dropped[kind] += 1
            return
        eliot.log_message(message_type=kind, **fields)

    def flush(self) -> None:
        """Write whole queued lines until a write would block."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                # The reader is slow; the queue keeps the lines.
                return
            self._unwritten = self._unwritten[written:]

    def _next_chunk(self) -> bytes:
        """Dequeue lines for one write; an oversized line is written alone."""
        chunk = [self._lines.popleft()]
        size = len(chunk[0])
        while self._lines and size + len(self._lines[0]) <= _MAX_WRITE_BYTES:
            chunk.append(self._lines.popleft())
            size += len(chunk[-1])
        return b''.join(chunk)

    def _enqueue(self, message: dict[str, Any]) -> None:
        message.pop('task_uuid', None)
        message.pop('task_level', None)
        message.update(self._fields)
        if len(self._lines) >= _MAX_QUEUED_LINES:
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
