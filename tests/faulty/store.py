"""The rows of the cell's store."""

from apricotlead.coordination.cell.journal import PROGRESS_PREFIX
from apricotlead.protocol.table import Row, Transaction


class ModelStore:
    """Applies whole transactions, in the order of its calls."""

    def __init__(self) -> None:
        """Begin empty."""
        self.rows_by_key: dict[str, Row] = {}
        self.version = 0

    def row(self, key: str) -> Row:
        """Return a row, with version 0 where there is none."""
        return self.rows_by_key.get(key, Row(key))

    def rows(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows of a part."""
        return tuple(
            row
            for key, row in sorted(self.rows_by_key.items())
            if key.startswith(prefix)
        )

    def progress(self, job_id: str) -> Row | None:
        """Return what the journal tells of a job."""
        return self.rows_by_key.get(f'{PROGRESS_PREFIX}{job_id}')

    def put(self, key: str, value: object) -> Row:
        """Write one row without a condition."""
        self.version += 1
        row = Row(key, self.version, value)
        self.rows_by_key[key] = row
        return row

    def write(self, transaction: Transaction) -> None:
        """Carry out a transaction whose checks hold."""
        for check in transaction.checks:
            assert self.row(check.key).version == check.version
        self.version += 1
        for put in transaction.puts:
            row = Row(put.key, self.version, put.value)
            self.rows_by_key[put.key] = row
        for key in transaction.deletes:
            self.rows_by_key.pop(key, None)
