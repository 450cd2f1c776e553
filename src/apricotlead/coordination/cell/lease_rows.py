"""Rows that record the workers' leases for the next scheduler.

Several workers share a row, which bounds both the size of a row and how much a
change of one worker rewrites. The rows are written in the journal's
transactions, on the condition that the owner row is unchanged, so a successor
that has claimed the owner row reads the final records of its predecessor.

Only a record of a worker out of contact is binding: the worker gets no grants
until a later record of it in contact is durable. Other records may be stale or
missing, in which case a successor waits longer.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable

import msgspec

from apricotlead.protocol.table import Put, Row

LEASES_PREFIX = 'leases/cell/'
_WORKERS_PER_ROW = 400
# Of the ids of a row's workers together, so that a row has up to 48 kB with
# their times.
_ID_BYTES_PER_ROW = 32000
# These rows share a transaction with the journal's jobs.
MAX_ROWS_PER_WRITE = 8


# When each worker's lease has certainly expired, in ms on the store's clock; 0
# for a worker in contact, whose lease may still be extended.
ExpiryByWorker = dict[str, float]


class LeaseRows:
    """Assigns workers to rows and selects the rows to write."""

    __slots__ = (
        '_id_bytes_by_row',
        '_row_by_worker',
        '_workers_by_row',
        '_written_s_by_row',
    )

    def __init__(self) -> None:
        """Create an empty assignment."""
        self._row_by_worker: dict[str, int] = {}
        self._workers_by_row: dict[int, set[str]] = {}
        self._id_bytes_by_row: Counter[int] = Counter()
        self._written_s_by_row: defaultdict[int, float] = defaultdict(float)

    def load(
        self,
        rows: Iterable[Row],
    ) -> tuple[ExpiryByWorker, list[str]]:
        """Load the rows of previous terms.

        Returns the records, and the keys of rows that cannot be decoded, whose
        workers count as missing.
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
        """Assign a row to each worker; return the workers that have left."""
        present = set(worker_ids)
        gone = self._row_by_worker.keys() - present
        for worker_id in gone:
            self._remove(worker_id)
        for worker_id in sorted(present - self._row_by_worker.keys()):
            self._assign(worker_id, self._row_with_space())
        return gone

    def due(self, worker_ids: Iterable[str]) -> list[int]:
        """Return the rows of these workers to write, least recent first."""
        numbers = {self._row_by_worker[worker_id] for worker_id in worker_ids}
        oldest_first = sorted(numbers, key=self._written_s_by_row.__getitem__)
        return oldest_first[:MAX_ROWS_PER_WRITE]

    def workers_of(self, number: int) -> list[str]:
        """Return the workers assigned to a row."""
        return sorted(self._workers_by_row[number])

    def make(
        self,
        number: int,
        records: ExpiryByWorker,
        now: float,
    ) -> Put:
        """Return the write of a row with the records of its workers."""
        self._written_s_by_row[number] = now
        key = f'{LEASES_PREFIX}{number}'
        return Put(key, records)

    def _row_with_space(self) -> int:
        for number, workers in self._workers_by_row.items():
            has_room = self._id_bytes_by_row[number] < _ID_BYTES_PER_ROW
            if has_room and len(workers) < _WORKERS_PER_ROW:
                return number
        return max(self._workers_by_row, default=-1) + 1

    def _assign(self, worker_id: str, number: int) -> None:
        self._remove(worker_id)
        self._row_by_worker[worker_id] = number
        self._workers_by_row.setdefault(number, set()).add(worker_id)
        self._id_bytes_by_row[number] += len(worker_id.encode())

    def _remove(self, worker_id: str) -> None:
        number = self._row_by_worker.pop(worker_id, None)
        if number is not None:
            self._workers_by_row[number].discard(worker_id)
            self._id_bytes_by_row[number] -= len(worker_id.encode())


def _read(row: Row) -> tuple[int, ExpiryByWorker]:
    number = int(row.key.removeprefix(LEASES_PREFIX))
    return number, msgspec.convert(row.value, ExpiryByWorker)
