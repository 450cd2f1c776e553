"""What a scheduler learned of its workers' speeds, kept for the next term."""

from apricotlead.coordination.cell.run_book import RunBook
from apricotlead.protocol.table import Put, Row
from apricotlead.state.worker_speed import WorkerSpeed

SPEEDS_KEY = 'workers/cell/speeds'
# A successor that misses this much learns it again from a few runs.
_WRITE_EVERY_S = 5.0


class SpeedRows:
    """Reads and writes the one row of speeds."""

    __slots__ = ('_book', '_put_s')

    def __init__(self, book: RunBook, now: float) -> None:
        """Begin a term at ``now``."""
        self._book = book
        self._put_s = now

    def load(self, row: Row) -> None:
        """Take over what a former scheduler learned of its workers."""
        for worker_id, (slowness, count) in (row.value or {}).items():
            worker = self._book.workers_by_id.get(worker_id)
            if worker is not None:
                worker.speed = WorkerSpeed(slowness, count)

    def due(self, now: float) -> tuple[Put, ...]:
        """Return the row when it is time to write it again."""
        if now - self._put_s < _WRITE_EVERY_S:
            return ()
        self._put_s = now
        speeds = {
            worker.worker_id: (
                round(worker.speed.slowness, 2),
                worker.speed.count,
            )
            for worker in self._book.workers_by_id.values()
            if worker.speed.count
        }
        return (Put(SPEEDS_KEY, speeds),)
