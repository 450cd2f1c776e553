"""The wire form of the table service, as the platform documents it."""

from msgspec import Raw, Struct

NULL = Raw(b'null')


class Row(Struct, frozen=True, omit_defaults=True):
    """A row; ``value`` stays encoded. Version 0 means absent."""

    key: str
    version: int = 0
    value: Raw = NULL
    op_id: str = ''


class Check(Struct, frozen=True):
    """A row's expected version."""

    key: str
    version: int


class Put(Struct, frozen=True):
    """A row's new value, still encoded."""

    key: str
    value: Raw


class Transaction(Struct, frozen=True):
    """A conditional write of several rows."""

    op_id: str
    witness: str
    checks: tuple[Check, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Committed(Struct, frozen=True, tag='committed'):
    """The new versions of the written rows, by key; 0 when deleted."""

    versions: dict[str, int]


class CheckFailed(Struct, frozen=True, tag='check_failed'):
    """The current rows of all checked keys."""

    rows: tuple[Row, ...]


class Rows(Struct, frozen=True, tag='rows'):
    """Rows read."""

    rows: tuple[Row, ...]


class ReadQuery(Struct, frozen=True):
    """Keys to read."""

    keys: tuple[str, ...]


class ScanQuery(Struct, frozen=True):
    """The prefix of the keys to read."""

    prefix: str
