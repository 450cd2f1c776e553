"""Rows that keep learned worker speeds and estimate errors across terms."""

from typing import Annotated, Any

import msgspec

from apricotlead.coordination.cell.row_sizes import (
    divide_entries,
    max_value_bytes,
)
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.protocol.table import Put, Row
from apricotlead.state.estimate_errors import EstimateError
from apricotlead.state.worker_speed import WorkerSpeed

STATISTICS_PREFIX = 'workers/cell/'
SPEEDS_KEY = f'{STATISTICS_PREFIX}speeds'
ESTIMATES_KEY = f'{STATISTICS_PREFIX}estimates'
# Precedes the number of each row but the first of a statistic.
_NUMBER_MARK = '~'
# All rows share a transaction with the journal's jobs.
_MAX_ROWS = 8
# A successor relearns what was lost since the last write from a few runs.
_WRITE_INTERVAL_S = 5.0
# The slowness, the number of runs, and the start time of the incarnation.
_Speeds = dict[
    str, Annotated[list[float], msgspec.Meta(min_length=2, max_length=3)]
]
_Estimates = dict[str, tuple[float, float, int]]


class SpeedRows:
    """Reads and writes the rows of worker speeds and queues' estimate errors."""

    __slots__ = ('_keys', '_last_write_s', '_row_bytes', '_tracker')

    def __init__(self, tracker: RunTracker, now: float, row_bytes: int) -> None:
        """Begin a term at ``now``; a row takes ``row_bytes``."""
        self._tracker = tracker
        self._last_write_s = now
        self._row_bytes = row_bytes
        # The rows that the store holds.
        self._keys: set[str] = set()

    def load(self, row: Row) -> None:
        """Load a row of a previous term; log it if it cannot be decoded."""
        self._keys.add(row.key)
        try:
            self._apply_row(row)
        except msgspec.ValidationError as error:
            self._tracker.note('row unreadable', key=row.key, why=str(error))

    def stop(self) -> None:
        """Write no more rows in this term."""
        self._last_write_s = float('inf')

    def due(self, now: float) -> tuple[Put, ...]:
        """Return the rows to write, empty until the write interval is over."""
        if now - self._last_write_s < _WRITE_INTERVAL_S:
            return ()
        self._last_write_s = now
        speeds = {
            worker.worker_id: (
                round(worker.speed.slowness, 2),
                worker.speed.count,
                worker.entry.born_ms,
            )
            for worker in self._tracker.workers_by_id.values()
            if worker.speed.count
        }
        estimates = {
            queue: (round(error.mean, 3), round(error.variance, 3), error.count)
            for queue, error in self._tracker.estimate_errors.by_queue.items()
        }
        puts = [
            *self._puts(SPEEDS_KEY, speeds),
            *self._puts(ESTIMATES_KEY, estimates),
        ]
        # Rows that are not needed any more would keep old values.
        written = {put.key for put in puts}
        puts.extend(Put(key, {}) for key in sorted(self._keys - written))
        self._keys |= written
        return tuple(puts)

    def _puts(self, key: str, learned: dict[str, Any]) -> list[Put]:
        """Return the rows of a statistic, each within the limit of a row.

        What would need more rows than a write has room for is left out.
        """
        chunks = divide_entries(learned, max_value_bytes(self._row_bytes))
        most = _MAX_ROWS // 2
        return [
            Put(f'{key}{_NUMBER_MARK}{number}' if number else key, chunk)
            for number, chunk in enumerate(chunks[:most])
        ]

    def _apply_row(self, row: Row) -> None:
        statistic = row.key.partition(_NUMBER_MARK)[0]
        if statistic == SPEEDS_KEY:
            speeds = msgspec.convert(row.value, _Speeds)
            for worker_id, known in speeds.items():
                self._apply_speed(worker_id, *known)
        elif statistic == ESTIMATES_KEY:
            estimates = msgspec.convert(row.value, _Estimates)
            for queue, learned in estimates.items():
                error = EstimateError(*learned)
                self._tracker.estimate_errors.by_queue[queue] = error

    def _apply_speed(
        self, worker_id: str, slowness: float, count: float, born_ms: float = 0
    ) -> None:
        """Apply what was learned of a worker, unless it has restarted since."""
        worker = self._tracker.workers_by_id.get(worker_id)
        if worker is None or worker.entry.born_ms != born_ms:
            return
        if slowness > 0:
            worker.speed = WorkerSpeed(slowness, int(count))
