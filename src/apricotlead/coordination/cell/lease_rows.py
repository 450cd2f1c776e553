"""The rows that tell a successor of the workers' leases.

The records of some workers share a row, so that no row outgrows the store and
a change of one worker rewrites little. They are written beside the journal, on
the owner's condition, so a successor that has claimed the owner row reads the
last word of its predecessor.

Only a record that calls a worker out of contact binds: the worker is granted
nothing until a later record that calls it in contact is durable. All others may
be old, or missing; a successor then waits longer.
"""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from apricotlead.protocol.table import Put, Row

LEASES_PREFIX = 'leases/cell/'
# Some 10 kB in a row of at most 64.
_WORKERS_A_ROW = 400
# The journal's write has to hold them beside its jobs.
MAX_ROWS_PER_WRITE = 8


# When the lease of each worker is surely over, on the store's clock; 0 stands
# for a worker that grants may still reach.
ExpiryByWorker = dict[str, float]


class LeaseRows:
    """Divides the workers over rows, and tells which rows are due."""

    __slots__ = ('_made_s_by_row', '_row_by_worker', '_workers_by_row')

    def __init__(self) -> None:
        """Begin without workers."""
        self._row_by_worker: dict[str, int] = {}
        self._workers_by_row: dict[int, set[str]] = {}
        self._made_s_by_row: defaultdict[int, float] = defaultdict(float)

    def load(
        self,
        rows: Iterable[Row],
    ) -> tuple[ExpiryByWorker, list[str]]:
        """Take over the rows of former terms.

        Returns what they tell, and the keys of rows that cannot be read; the
        workers in these count as missing.
        """
        known: ExpiryByWorker = {}
        unreadable: list[str] = []
        for row in sorted(rows, key=lambda each: each.version):
            try:
                number, records = _read(row)
            except (msgspec.ValidationError, ValueError):
                unreadable.append(row.key)
                continue
            self._workers_by_row.setdefault(number, set())
            for worker_id in records:
                self._assign(worker_id, number)
            known.update(records)
        return known, unreadable

    def sync(self, worker_ids: Iterable[str]) -> set[str]:
        """Give each worker of the cell a row; return those that left it."""
        present = set(worker_ids)
        gone = self._row_by_worker.keys() - present
        for worker_id in gone:
            self._remove(worker_id)
        for worker_id in sorted(present - self._row_by_worker.keys()):
            self._assign(worker_id, self._roomy_row())
        return gone

    def due(self, worker_ids: Iterable[str]) -> list[int]:
        """Return the rows of some workers, those written longest ago first."""
        numbers = {self._row_by_worker[worker_id] for worker_id in worker_ids}
        oldest_first = sorted(numbers, key=self._made_s_by_row.__getitem__)
        return oldest_first[:MAX_ROWS_PER_WRITE]

    def workers_of(self, number: int) -> list[str]:
        """Return the workers that share a row."""
        return sorted(self._workers_by_row[number])

    def make(
        self,
        number: int,
        records: ExpiryByWorker,
        now: float,
    ) -> Put:
        """Return a row with the records of its workers."""
        self._made_s_by_row[number] = now
        key = f'{LEASES_PREFIX}{number}'
        return Put(key, records)

    def _roomy_row(self) -> int:
        for number, workers in self._workers_by_row.items():
            if len(workers) < _WORKERS_A_ROW:
                return number
        return max(self._workers_by_row, default=-1) + 1

    def _assign(self, worker_id: str, number: int) -> None:
        self._remove(worker_id)
        self._row_by_worker[worker_id] = number
        self._workers_by_row.setdefault(number, set()).add(worker_id)

    def _remove(self, worker_id: str) -> None:
        number = self._row_by_worker.pop(worker_id, None)
        if number is not None:
            self._workers_by_row[number].discard(worker_id)


def _read(row: Row) -> tuple[int, ExpiryByWorker]:
    number = int(row.key.removeprefix(LEASES_PREFIX))
    return number, msgspec.convert(row.value, ExpiryByWorker)
