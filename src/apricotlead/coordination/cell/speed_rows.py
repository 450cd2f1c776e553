"""Rows that keep learned worker speeds and estimate errors across terms."""

import msgspec

from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.protocol.table import Put, Row
from apricotlead.state.estimate_errors import EstimateError
from apricotlead.state.worker_speed import WorkerSpeed

STATISTICS_PREFIX = 'workers/cell/'
SPEEDS_KEY = f'{STATISTICS_PREFIX}speeds'
ESTIMATES_KEY = f'{STATISTICS_PREFIX}estimates'
# A successor relearns what was lost since the last write from a few runs.
_WRITE_INTERVAL_S = 5.0
_Speeds = dict[str, tuple[float, int]]
_Estimates = dict[str, tuple[float, float, int]]


class SpeedRows:
    """Reads and writes the rows of worker speeds and queues' estimate errors."""

    __slots__ = ('_last_write_s', '_tracker')

    def __init__(self, tracker: RunTracker, now: float) -> None:
        """Begin a term at ``now``."""
        self._tracker = tracker
        self._last_write_s = now

    def load(self, row: Row) -> None:
        """Load a row of a previous term; log it if it cannot be decoded."""
        try:
            self._apply_row(row)
        except msgspec.ValidationError as error:
            self._tracker.note('row unreadable', key=row.key, why=str(error))

    def due(self, now: float) -> tuple[Put, ...]:
        """Return the rows to write, empty until the write interval is over."""
        if now - self._last_write_s < _WRITE_INTERVAL_S:
            return ()
        self._last_write_s = now
        speeds = {
            worker.worker_id: (
                round(worker.speed.slowness, 2),
                worker.speed.count,
            )
            for worker in self._tracker.workers_by_id.values()
            if worker.speed.count
        }
        estimates = {
            queue: (round(error.mean, 3), round(error.variance, 3), error.count)
            for queue, error in self._tracker.estimate_errors.by_queue.items()
        }
        return (Put(SPEEDS_KEY, speeds), Put(ESTIMATES_KEY, estimates))

    def _apply_row(self, row: Row) -> None:
        if row.key == SPEEDS_KEY:
            speeds = msgspec.convert(row.value, _Speeds)
            for worker_id, (slowness, count) in speeds.items():
                worker = self._tracker.workers_by_id.get(worker_id)
                if worker is not None and slowness > 0:
                    worker.speed = WorkerSpeed(slowness, count)
        elif row.key == ESTIMATES_KEY:
            estimates = msgspec.convert(row.value, _Estimates)
            for queue, known in estimates.items():
                error = EstimateError(*known)
                self._tracker.estimate_errors.by_queue[queue] = error
