"""Transactions on the platform's table service, and their replies.

A row has a version that increases with each write; version 0 means that the
row does not exist. Each row contains the ``op_id`` of the write that created
it, so the outcome of a write whose answer was lost can be determined by
sending it again: its checks fail if it took effect, and the row then has the
same ``op_id``.
"""

from typing import Any

from msgspec import Struct


class Row(Struct, frozen=True, omit_defaults=True):
    """A row as read; ``value`` is JSON builtins, ``None`` if absent."""

    key: str
    version: int = 0
    value: Any = None
    op_id: str = ''


class Check(Struct, frozen=True):
    """The transaction applies only if ``key`` is at ``version``."""

    key: str
    version: int


class Put(Struct, frozen=True):
    """Writes ``value`` (JSON builtins) to ``key``."""

    key: str
    value: Any


class Transaction(Struct, frozen=True):
    """An atomic set of writes: all of them apply, or none does.

    ``checks`` must contain a check that the transaction itself makes false
    (such as the version of a row it puts), so that a repeated transaction
    cannot apply twice. ``witness`` is the key of such a row.
    """

    op_id: str
    witness: str
    checks: tuple[Check, ...]
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Committed(Struct, frozen=True, tag='committed'):
    """The transaction took effect; ``versions`` has the new versions by key.

    ``store_ms`` is the store's monotonic clock, 0 if it reports none.
    """

    versions: dict[str, int]
    store_ms: float = 0


class CheckFailed(Struct, frozen=True, tag='check_failed'):
    """Nothing was written; ``rows`` has the current rows of all checked keys."""

    rows: tuple[Row, ...]

    def row(self, key: str) -> Row:
        """Return the current row of ``key`` (version 0 if absent)."""
        for row in self.rows:
            if row.key == key:
                return row
        return Row(key)


class Rows(Struct, frozen=True, tag='rows'):
    """The answer to a read or a scan, in key order for a scan.

    ``version`` is the newest version of the store as of the answer, and
    ``store_ms`` its monotonic clock; both are 0 if the store reports none.
    With ``has_more`` further pages follow.
    """

    rows: tuple[Row, ...]
    version: int = 0
    store_ms: float = 0
    has_more: bool = False


class Changes(Struct, frozen=True):
    """Rows that changed after a version, oldest first.

    A deleted row has version 0. With ``history_lost`` the reader must read
    the whole table again.
    """

    rows: tuple[Row, ...] = ()
    version: int = 0
    store_ms: float = 0
    history_lost: bool = False


class StoreFailed(Struct, frozen=True, tag='failed'):
    """The call failed.

    ``applied`` is ``False`` if the service reported so (or the call was never
    sent), ``None`` if it is unknown. ``reason`` is for logs. With ``is_busy``
    the service has more calls than it takes, which says nothing about the path
    to it. With ``is_permanent`` it refuses this call whenever it is sent, such as
    one that is too large.
    """

    applied: bool | None
    retry_after_s: float = 0.2
    reason: str = ''
    is_busy: bool = False
    is_permanent: bool = False


StoreReply = Committed | CheckFailed | Rows | StoreFailed


class ObjectReply(Struct, frozen=True):
    """The object store's answer; ``content`` is ``None`` if absent."""

    succeeded: bool
    content: bytes | None = None
