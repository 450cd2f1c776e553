"""What a scheduler learned of speeds and estimates, kept for the next term."""

import msgspec

from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.protocol.table import Put, Row
from apricotlead.state.estimate_errors import EstimateError
from apricotlead.state.worker_speed import WorkerSpeed

STATISTICS_PREFIX = 'workers/cell/'
SPEEDS_KEY = f'{STATISTICS_PREFIX}speeds'
ESTIMATES_KEY = f'{STATISTICS_PREFIX}estimates'
# A successor that misses this much learns it again from a few runs.
_WRITE_EVERY_S = 5.0
_Speeds = dict[str, tuple[float, int]]
_Estimates = dict[str, tuple[float, float, int]]


class SpeedRows:
    """Reads and writes the rows of workers' speeds and queues' estimates."""

    __slots__ = ('_tracker', '_put_s')

    def __init__(self, tracker: RunTracker, now: float) -> None:
        """Begin a term at ``now``."""
        self._tracker = tracker
        self._put_s = now

    def load(self, row: Row) -> None:
        """Take over what a former scheduler learned, if it can be read."""
        try:
            self._take(row)
        except msgspec.ValidationError as error:
            self._tracker.note('row unreadable', key=row.key, why=str(error))

    def due(self, now: float) -> tuple[Put, ...]:
        """Return the rows when it is time to write them again."""
        if now - self._put_s < _WRITE_EVERY_S:
            return ()
        self._put_s = now
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

    def _take(self, row: Row) -> None:
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
