"""Who is the scheduler of the cell, and for how long that may be believed.

Any instance may take over at any time: a compare-and-set raises the epoch of
the one owner row, workers refuse lower epochs, and each journal transaction
expects the owner row as this epoch wrote it last. When to take over is thus a
question of availability alone.
"""

from typing import Any

import msgspec
from msgspec import Struct

from apricotlead.protocol.table import Check, Put, Row, Transaction

OWNER_KEY = 'owner/cell/scheduler'


class OwnerRow(Struct, frozen=True, omit_defaults=True):
    """The owner row.

    ``sequence`` grows with each write of an epoch. ``renewed_ms`` is the
    store's clock, as estimated when the write left. ``silent_workers`` had
    not answered for a while. ``is_released`` invites a successor.
    """

    epoch: int
    instance_id: str
    peer_address: str
    sequence: int = 0
    renewed_ms: float = 0
    silent_workers: tuple[str, ...] = ()
    is_released: bool = False


def read_owner(row: Row) -> OwnerRow | None:
    """Return the owner, ``None`` where there was never one."""
    if row.version == 0 or row.value is None:
        return None
    return msgspec.convert(row.value, OwnerRow)


def takeover(
    row: Row,
    instance_id: str,
    peer_address: str,
    store_ms: float,
) -> tuple[OwnerRow, Transaction]:
    """Return the new owner row and the transaction that writes it."""
    former = read_owner(row)
    owner = OwnerRow(
        1 if former is None else former.epoch + 1,
        instance_id,
        peer_address,
        renewed_ms=store_ms,
    )
    return owner, owner_transaction(owner, row.version)


def owner_transaction(
    owner: OwnerRow,
    version: int,
    puts: tuple[Put, ...] = (),
    deletes: tuple[str, ...] = (),
) -> Transaction:
    """Return a transaction that only the present owner can commit."""
    builtins: Any = msgspec.to_builtins(owner)
    return Transaction(
        '',
        OWNER_KEY,
        (Check(OWNER_KEY, version),),
        (Put(OWNER_KEY, builtins), *puts),
        deletes,
    )
