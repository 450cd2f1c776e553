"""Provides an in-memory model of the cell's store."""

from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.protocol.table import Row, Transaction


class ModelStore:
    """Applies transactions atomically, in the order of the calls."""

    def __init__(self) -> None:
        """Create an empty store at version 0."""
        self.rows_by_key: dict[str, Row] = {}
        self.version = 0

    def row(self, key: str) -> Row:
        """Return the row of a key; its version is 0 if it does not exist."""
        return self.rows_by_key.get(key, Row(key))

    def rows(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose keys start with ``prefix``, sorted by key."""
        return tuple(
            row
            for key, row in sorted(self.rows_by_key.items())
            if key.startswith(prefix)
        )

    def progress(self, job_id: str) -> Row | None:
        """Return a job's journaled progress, ``None`` if there is none."""
        return self.rows_by_key.get(f'{PROGRESS_PREFIX}{job_id}')

    def put(self, key: str, value: object) -> Row:
        """Write one row unconditionally."""
        self.version += 1
        row = Row(key, self.version, value)
        self.rows_by_key[key] = row
        return row

    def write(self, transaction: Transaction) -> None:
        """Apply a transaction; its version checks must pass."""
        for check in transaction.checks:
            assert self.row(check.key).version == check.version
        self.version += 1
        for put in transaction.puts:
            row = Row(put.key, self.version, put.value)
            self.rows_by_key[put.key] = row
        for key in transaction.deletes:
            self.rows_by_key.pop(key, None)
