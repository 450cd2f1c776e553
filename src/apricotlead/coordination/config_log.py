"""Table rows of the configuration: head, log and snapshot.

The head holds the current version. Each log row holds one change and is never
updated. The snapshot holds a whole configuration; when it is written, the log
rows up to the previous snapshot are deleted.
"""

from collections.abc import Sequence

from msgspec import Struct, convert
from msgspec import to_builtins as builtins_of

from apricotlead.protocol.config import (
    CellConfig,
    ConfigChange,
    LoggedChange,
)
from apricotlead.protocol.table import Check, Put, Row, Transaction

HEAD_KEY = 'config/head'
SNAPSHOT_KEY = 'config/snapshot'
_VERSION_DIGITS = 10


class ConfigHead(Struct, frozen=True):
    """The head row; ``first_log_version`` is the oldest remaining log row."""

    version: int = 0
    snapshot_version: int = 0
    first_log_version: int = 1


class HeadRead(Struct, frozen=True):
    """A head with its row version and the time its read was sent."""

    head: ConfigHead
    row_version: int
    sent_s: float


def log_key(version: int) -> str:
    """Return the key of the log row of ``version``."""
    digits = str(version).zfill(_VERSION_DIGITS)
    return f'config/log/{digits}'


def decode_head(row: Row) -> ConfigHead:
    """Return the head, or the initial one if the row is absent.

    Raises ``msgspec.ValidationError`` for a row of another format.
    """
    if row.value is None:
        return ConfigHead()
    return convert(row.value, ConfigHead)


def decode_logged(row: Row) -> LoggedChange:
    """Return the change of a log row; raises as :func:`decode_head`."""
    return convert(row.value, LoggedChange)


def decode_snapshot(row: Row) -> CellConfig:
    """Return the whole configuration; raises as :func:`decode_head`."""
    return convert(row.value, CellConfig)


def commit_transaction(
    op_id: str,
    known: HeadRead,
    changed: CellConfig,
    change: ConfigChange,
    snapshot_every: int,
) -> Transaction:
    """Return the write that makes ``changed`` the current configuration.

    The witness is the log row, not the head: another session may commit the
    next version before the outcome of a lost reply is known, and would
    replace the head's ``op_id``.
    """
    version = changed.version
    logged = builtins_of(LoggedChange(version, change))
    head = ConfigHead(
        version,
        known.head.snapshot_version,
        known.head.first_log_version,
    )
    puts = [Put(log_key(version), logged)]
    deletes: Sequence[str] = ()
    if version - head.snapshot_version >= snapshot_every:
        deletes = _keys_before_snapshot(head)
        puts.append(Put(SNAPSHOT_KEY, builtins_of(changed)))
        head = ConfigHead(version, version, head.snapshot_version + 1)
    puts.append(Put(HEAD_KEY, builtins_of(head)))
    return Transaction(
        op_id,
        log_key(version),
        (Check(HEAD_KEY, known.row_version), Check(log_key(version), 0)),
        tuple(puts),
        tuple(deletes),
    )


def rows_by_key(rows: Sequence[Row]) -> dict[str, Row]:
    """Return the existing rows by key."""
    return {row.key: row for row in rows if row.version}


def _keys_before_snapshot(head: ConfigHead) -> list[str]:
    versions = range(head.first_log_version, head.snapshot_version + 1)
    return [log_key(version) for version in versions]
