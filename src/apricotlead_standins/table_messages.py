"""Messages of the table service, as the platform documents them."""

from msgspec import Raw, Struct

NULL = Raw(b'null')


class Row(Struct, frozen=True, omit_defaults=True):
    """A row; ``value`` stays encoded. Version 0 means no such row."""

    key: str
    version: int = 0
    value: Raw = NULL
    op_id: str = ''


class Check(Struct, frozen=True):
    """The version that a row must have."""

    key: str
    version: int


class Put(Struct, frozen=True):
    """The new value of a row, as encoded JSON."""

    key: str
    value: Raw


class Transaction(Struct, frozen=True):
    """An atomic write of several rows, if all checks hold."""

    op_id: str
    witness: str
    checks: tuple[Check, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Committed(Struct, frozen=True, tag='committed'):
    """New versions of the written rows by key; 0 for deleted rows."""

    versions: dict[str, int]


class CheckFailed(Struct, frozen=True, tag='check_failed'):
    """A version mismatch, with the current rows of all checked keys."""

    rows: tuple[Row, ...]


class Rows(Struct, frozen=True, tag='rows'):
    """The rows of a read or scan."""

    rows: tuple[Row, ...]


class ReadQuery(Struct, frozen=True):
    """A read of rows by key."""

    keys: tuple[str, ...]


class ScanQuery(Struct, frozen=True):
    """A read of all rows whose key starts with ``prefix``."""

    prefix: str
