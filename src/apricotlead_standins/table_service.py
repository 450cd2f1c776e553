"""In-memory transactional table."""

from bisect import bisect_left, insort

from msgspec import Raw

from apricotlead_standins.http_messages import BadRequest
from apricotlead_standins.table_messages import (
    CheckFailed,
    Committed,
    Row,
    Rows,
    Transaction,
)

MAX_ROWS = 200


class TableService:
    """Rows by key with compare-and-set transactions.

    A row's version is the number of the commit that wrote it, so a version is
    never reused after a delete. Values are kept encoded.
    """

    __slots__ = ('_last_version', '_rows_by_key', '_sorted_keys')

    def __init__(self) -> None:
        """Create an empty table."""
        self._rows_by_key: dict[str, Row] = {}
        self._sorted_keys: list[str] = []
        self._last_version = 0

    def transact(self, transaction: Transaction) -> Committed | CheckFailed:
        """Apply all writes, or none if a check fails.

        Raises :class:`BadRequest` if a key is written twice, or if the witness
        is not both checked and written: a retry could not tell then whether
        the first try was applied.
        """
        _validate(transaction)
        current = tuple(self.row(check.key) for check in transaction.checks)
        for check, row in zip(transaction.checks, current, strict=True):
            if check.version != row.version:
                return CheckFailed(current)
        return self._apply(transaction)

    def read(self, keys: tuple[str, ...]) -> Rows:
        """Return one row per key, in the requested order."""
        return Rows(tuple(self.row(key) for key in keys))

    def scan(self, prefix: str) -> Rows:
        """Return the rows whose key starts with ``prefix``, in key order."""
        rows: list[Row] = []
        position = bisect_left(self._sorted_keys, prefix)
        for key in self._sorted_keys[position:]:
            if not key.startswith(prefix):
                break
            rows.append(self._rows_by_key[key])
        return Rows(tuple(rows))

    def row(self, key: str) -> Row:
        """Return a row, with version 0 if it does not exist."""
        return self._rows_by_key.get(key) or Row(key)

    def _apply(self, transaction: Transaction) -> Committed:
        self._last_version += 1
        version = self._last_version
        versions = dict.fromkeys(transaction.deletes, 0)
        for key in transaction.deletes:
            self._delete(key)
        for put in transaction.puts:
            versions[put.key] = version
            if put.key not in self._rows_by_key:
                insort(self._sorted_keys, put.key)
            # Copied, since the value is a slice that keeps the whole request
            # buffer alive.
            encoded = Raw(bytes(put.value))
            row = Row(put.key, version, encoded, transaction.op_id)
            self._rows_by_key[put.key] = row
        return Committed(versions)

    def _delete(self, key: str) -> None:
        if self._rows_by_key.pop(key, None) is not None:
            self._sorted_keys.pop(bisect_left(self._sorted_keys, key))


def _validate(transaction: Transaction) -> None:
    written = [put.key for put in transaction.puts]
    written.extend(transaction.deletes)
    checked = {check.key for check in transaction.checks}
    if len(written) != len(set(written)):
        raise BadRequest('a key is written twice')
    if transaction.witness not in checked.intersection(written):
        raise BadRequest('the witness must be both checked and written')
