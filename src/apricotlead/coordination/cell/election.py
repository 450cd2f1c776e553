"""Election of the cell's scheduler by compare-and-set on one owner row.

It is always safe for an instance to take over: a compare-and-set raises the
epoch in the owner row, workers refuse lower epochs, and each journal
transaction expects the owner row as this epoch last wrote it. The rules here
on when to take over affect availability only.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Any

import msgspec
from msgspec import Struct

from apricotlead.coordination.cell.settings import ElectionTimes
from apricotlead.protocol.cell_peers import SchedulerStatus
from apricotlead.protocol.table import Check, Put, Row, Transaction

OWNER_KEY = 'owner/cell/scheduler'
_MS_PER_S = 1000.0
# The silence timeout reaches its bound long before. A larger exponent would
# overflow a float.
_MAX_SHORT_TERMS = 16


class OwnerRow(Struct, frozen=True, omit_defaults=True):
    """The owner row; all times are on the store's clock.

    ``sequence`` grows with each write of an epoch, and ``taken_ms`` is when
    the epoch began. ``renewed_ms`` is when this row was written; the end of
    granted leases is computed from it, except for those with rows of their
    own.
    ``is_released`` asks a successor to take over. ``largest_cores`` is the
    number of cores of the largest candidate, and ``cores`` that of the owner; 0
    while it is not known.
    ``short_terms`` counts consecutive short terms that ended by silence.
    ``patience_ms`` is the silence that the scheduler asks its followers to
    tolerate, from its own recent delays; 0 while these are not known.
    """

    epoch: int
    instance_id: str
    peer_address: str
    sequence: int = 0
    taken_ms: float = 0
    renewed_ms: float = 0
    is_released: bool = False
    largest_cores: float = 0
    short_terms: int = 0
    patience_ms: float = 0
    cores: float = 0


class Loss(Enum):
    """How a follower has lost its scheduler.

    ``BROKEN``: the connection was refused or reset, as when the process has
    exited. ``SILENT``: no answer in time. ``CUT_OFF``: it reports that it
    cannot write to the store. ``RELEASED``: it has released its term.
    ``IDLE``: its instance answers but does not hold the term.
    """

    NONE = 'none'
    BROKEN = 'broken'
    SILENT = 'silent'
    CUT_OFF = 'cut_off'
    RELEASED = 'released'
    IDLE = 'idle'

    @classmethod
    def of(cls, status: SchedulerStatus | None, *, is_silent: bool) -> 'Loss':
        """Return the loss that a status, or a missing one, indicates."""
        if status is None:
            return cls.SILENT if is_silent else cls.BROKEN
        if status.is_released:
            return cls.RELEASED
        return cls.CUT_OFF if status.store_lost else cls.NONE


def should_take_over(
    times: ElectionTimes,
    loss: Loss,
    lost: OwnerRow,
    row: Row,
    store_ms: float,
    cores: float = 0,
) -> bool:
    """Tell whether a follower with ``cores`` that lost ``lost`` should succeed it.

    ``row`` is the owner row, read after the loss, at ``store_ms``. Silence
    may come from a network partition between the two instances. A scheduler
    that has written recently is therefore kept; otherwise the two would take
    over from each other in turn. Only a much larger instance succeeds it: a
    scheduler that is too small for its cell answers late as well, and cannot
    see larger instances whose calls it does not answer.
    """
    owner = read_owner(row)
    if owner is None or owner.is_released:
        return True
    if owner.epoch != lost.epoch:
        return False
    if loss is Loss.SILENT:
        age_ms = store_ms - max(owner.renewed_ms, owner.taken_ms)
        is_dead = age_ms > silence_timeout_s(times, owner) * _MS_PER_S
        return is_dead or _is_too_small(times, owner, store_ms, cores)
    if loss is Loss.IDLE:
        return store_ms - owner.taken_ms > times.store_lost_s * _MS_PER_S
    return True


def silence_timeout_s(times: ElectionTimes, owner: OwnerRow) -> float:
    """Return how old a silent scheduler's last write must be to replace it.

    Pattern: instances that are small for their cell. A slow scheduler falls
    silent, and its successor is even slower while it loads, so that each
    replacement would make the next one more likely.
    """
    asked_s = owner.patience_ms / _MS_PER_S
    timeout_s = max(times.silent_owner_s, asked_s) * 2**owner.short_terms
    return min(times.most_silent_owner_s, timeout_s)


def is_cut_off(
    times: ElectionTimes,
    blocked_s: float,
    *,
    is_turned_away: bool,
) -> bool:
    """Tell whether a scheduler should ask its followers to take over.

    No write has succeeded for ``blocked_s`` seconds. ``is_turned_away`` tells
    that the last write was refused or its connection broke. A slow store
    delays answers but refuses nothing, so the limit is longer without it.
    """
    bound_s = times.turned_away_s if is_turned_away else times.store_lost_s
    return blocked_s > bound_s


def takeover_delay_s(
    times: ElectionTimes,
    owner: OwnerRow | None,
    cores: float,
    age_s: float,
    jitter: float,
    read_s: float = 0,
    rank: int | None = None,
) -> float:
    """Return how long an instance waits for better candidates to take over.

    ``rank`` is its rank among the deputies of the lost scheduler, ``None`` if
    it is not one. Deputies take over in the order of their ranks. Otherwise
    large instances come first, since the scheduler's work grows with the
    cell, then those that started recently, since a rolling restart stops the
    others next. ``cores`` and ``age_s`` are those of the instance, ``jitter``
    is a random number from 0 to 1. ``read_s`` is how long the store took for a
    read: if it is slow, smaller delays would not order the candidates.
    """
    known = 0.0 if owner is None else owner.largest_cores
    largest = known or max(cores, times.unknown_cores)
    shortfall = max(0, 1 - cores / largest)
    age = min(1, age_s / times.old_instance_s)
    stagger_s = max(times.stagger_s, read_s)
    if rank is not None:
        return max(times.deputy_delay_s, read_s) * rank
    return times.small_delay_s * shortfall + stagger_s * (jitter + 2 * age)


def rank_deputies(
    times: ElectionTimes,
    candidates: Iterable[tuple[str, float, float]],
) -> dict[str, int]:
    """Return the ranks of a scheduler's deputies by address; 0 is the best.

    ``candidates`` are the address, cores and age in seconds of each follower
    in contact. Large instances come first, then those that started last,
    since a rolling restart stops the others next.
    """
    ordered = sorted(
        candidates,
        key=lambda each: (-each[1], min(each[2], times.old_instance_s)),
    )
    addresses = [address for address, _, _ in ordered[: times.deputies]]
    return {address: rank for rank, address in enumerate(addresses)}


def should_yield(times: ElectionTimes, cores: float, largest: float) -> bool:
    """Tell whether a scheduler should hand over to a larger instance."""
    return largest > cores * times.yield_ratio


def _is_too_small(
    times: ElectionTimes, owner: OwnerRow, store_ms: float, cores: float
) -> bool:
    """Tell whether an owner of some time should have yielded to ``cores``."""
    is_settled = store_ms - owner.taken_ms > times.settled_s * _MS_PER_S
    is_known = owner.cores > 0
    return is_known and is_settled and should_yield(times, owner.cores, cores)


def read_owner(row: Row) -> OwnerRow | None:
    """Return the owner, ``None`` if there has never been one."""
    if row.version == 0 or row.value is None:
        return None
    return msgspec.convert(row.value, OwnerRow)


def takeover(
    row: Row,
    instance_id: str,
    peer_address: str,
    store_ms: float,
    times: ElectionTimes,
    loss: Loss = Loss.NONE,
    cores: float = 0,
) -> tuple[OwnerRow, Transaction]:
    """Return the new owner row and the transaction that writes it.

    ``loss`` is how the instance lost the scheduler that it succeeds. It has
    ``cores``, 0 if that is not known.
    """
    former = read_owner(row)
    if former is None:
        former = OwnerRow(0, '', '', renewed_ms=store_ms)
    # Grants may follow this write at once. The former scheduler's rows of
    # single leases remain valid, and its latest grants end before the new ones.
    owner = msgspec.structs.replace(
        former,
        epoch=former.epoch + 1,
        instance_id=instance_id,
        peer_address=peer_address,
        sequence=0,
        taken_ms=store_ms,
        renewed_ms=store_ms,
        is_released=False,
        patience_ms=0,
        short_terms=_short_terms(times, former, loss, store_ms),
        cores=cores,
    )
    return owner, owner_transaction(owner, row.version)


def _short_terms(
    times: ElectionTimes,
    former: OwnerRow,
    loss: Loss,
    store_ms: float,
) -> int:
    lasted_s = (store_ms - former.taken_ms) / _MS_PER_S
    if lasted_s > times.short_term_s:
        return 1 if loss is Loss.SILENT else 0
    short_terms = former.short_terms + (loss is Loss.SILENT)
    return min(_MAX_SHORT_TERMS, short_terms)


def owner_transaction(
    owner: OwnerRow,
    version: int,
    puts: tuple[Put, ...] = (),
    deletes: tuple[str, ...] = (),
) -> Transaction:
    """Return a transaction that only the current owner can commit."""
    builtins: Any = msgspec.to_builtins(owner)
    return Transaction(
        '',
        OWNER_KEY,
        (Check(OWNER_KEY, version),),
        (Put(OWNER_KEY, builtins), *puts),
        deletes,
    )
