"""Table service rows of sessions, journals and workers."""

from collections.abc import Iterable
from typing import Literal

import msgspec

from apricotlead.protocol.table import Put, Row

SESSION_PREFIX = 'session/'
JOURNAL_PREFIX = 'journal/'
WORKER_PREFIX = 'worker/'
_SEGMENT_NUMBER_FORMAT = '010d'
NO_OWNER = ''

SessionState = Literal['live', 'leaving', 'adopted']


class SessionRow(msgspec.Struct, frozen=True):
    """A session, which is alive while ``counter`` increases.

    ``address`` is the ``IP:port`` of its peer link. ``ttl_s`` is the length
    of its lease, so that observers need not share its settings.
    """

    instance_id: str
    address: str
    datacentre: str
    ttl_s: float
    counter: int = 0
    state: SessionState = 'live'


class JournalRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A journal's owner and the start of its records.

    ``snapshot`` is the object key of the records before ``first_segment``,
    empty if there is none. ``owner`` is empty after the journal was released
    for handover; ``former_owner`` is then the session that released it.
    """

    owner: str
    epoch: int
    snapshot: str = ''
    first_segment: int = 0
    former_owner: str = ''


class WorkerRow(msgspec.Struct, frozen=True):
    """The owner of a worker's capacity; ``owner`` is empty if released."""

    owner: str
    epoch: int


def session_key(session_id: str) -> str:
    """Return the key of a session row."""
    return f'{SESSION_PREFIX}{session_id}'


def journal_key(journal_id: str) -> str:
    """Return the key of a journal row."""
    return f'{JOURNAL_PREFIX}{journal_id}'


def worker_key(worker_id: str) -> str:
    """Return the key of a worker row."""
    return f'{WORKER_PREFIX}{worker_id}'


def segment_prefix(journal_id: str) -> str:
    """Return the prefix of the keys of a journal's segments."""
    return f'segment/{journal_id}/'


def segment_key(journal_id: str, number: int) -> str:
    """Return the key of a segment; keys sort by ``number``."""
    return segment_prefix(journal_id) + format(number, _SEGMENT_NUMBER_FORMAT)


def snapshot_key(journal_id: str, epoch: int, first_segment: int) -> str:
    """Return the object key of a snapshot of all records before a segment.

    The epoch prevents a former owner from overwriting its successor's objects.
    """
    return f'journal/{journal_id}/{epoch}-{first_segment}'


def segment_number(key: str) -> int:
    """Return the segment number in a segment's key."""
    return int(key.rpartition('/')[2])


def request_row_key(request_key: str) -> str:
    """Return the key of a request row from ``team/request_id``."""
    return f'request/{request_key}'


def id_of(row: Row) -> str:
    """Return the id in the row's key, which follows the first slash."""
    return row.key.partition('/')[2]


def put_struct(key: str, struct: msgspec.Struct) -> Put:
    """Return a put of ``struct`` as JSON builtins."""
    return Put(key, msgspec.to_builtins(struct))


def put_structs(key: str, structs: Iterable[msgspec.Struct]) -> Put:
    """Return a put of a list of structs as JSON builtins."""
    return Put(key, msgspec.to_builtins(list(structs)))


def read_session(row: Row) -> SessionRow:
    """Decode the value of a session row."""
    return msgspec.convert(row.value, SessionRow)


def read_journal(row: Row) -> JournalRow:
    """Decode the value of a journal row."""
    return msgspec.convert(row.value, JournalRow)


def read_worker(row: Row) -> WorkerRow:
    """Decode the value of a worker row; an absent row has no owner."""
    if row.value is None:
        return WorkerRow(NO_OWNER, 0)
    return msgspec.convert(row.value, WorkerRow)
