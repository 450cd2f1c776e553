"""Reading and writing the initial row of each job."""

from typing import Any

import msgspec

from apricotlead.coordination.cell.job_rows import cancel_key, job_key
from apricotlead.protocol.cell_jobs import StoredJob
from apricotlead.protocol.decoding import DECODE_ERRORS
from apricotlead.protocol.table import (
    Check,
    CheckFailed,
    Committed,
    Put,
    Row,
    StoreFailed,
    Transaction,
)
from apricotlead.transport.answer_log import StoreTries
from apricotlead.transport.store_relay import StoreRelay


class JobStore:
    """Stores each job once; a stored refusal may be replaced by a job."""

    __slots__ = ('_scheduler', '_store')

    def __init__(self, store: StoreRelay, scheduler: Any) -> None:
        """Write to ``store``; ``scheduler.announce`` receives stored rows."""
        self._store = store
        self._scheduler = scheduler

    def read(
        self,
        job_id: str,
        ends_s: float,
        tries: StoreTries,
    ) -> StoredJob | StoreFailed | None:
        """Return a job, ``None`` if it does not exist or was refused.

        A row that is no job is a failure, since the job may exist.
        """
        row = self._store.read(job_key(job_id), ends_s, tries)
        if isinstance(row, StoreFailed) or row is None:
            return row
        try:
            job = msgspec.convert(row.value, StoredJob)
        except DECODE_ERRORS as error:
            return _unreadable(row.key, error)
        return None if job.is_refused else job

    def write(
        self,
        job_id: str,
        stored: StoredJob,
        ends_s: float,
    ) -> Committed | CheckFailed | StoreFailed:
        """Store the initial row of a job, replacing a refusal of it.

        A cancel of the job prevents it, also if the write takes effect late.
        """
        key = job_key(job_id)
        puts = (Put(key, msgspec.to_builtins(stored)),)
        no_cancel = Check(cancel_key(job_id), 0)
        checks = (Check(key, 0), no_cancel)
        transaction = Transaction('', key, checks, puts)
        answer = self._store.write(transaction, ends_s)
        try:
            refused = _refused_row(answer, key)
        except DECODE_ERRORS as error:
            return _unreadable(key, error)
        if refused is not None and not _has_cancel(answer, job_id):
            checks = (Check(key, refused.version), no_cancel)
            transaction = Transaction('', key, checks, puts)
            answer = self._store.write(transaction, ends_s)
        self.announce(transaction, answer)
        return answer

    def cancel(
        self, job_id: str, ends_s: float, tries: StoreTries
    ) -> Committed | CheckFailed | StoreFailed:
        """Store the cancel of a job, whether or not it exists.

        A failed check means that it was stored before.
        """
        key = cancel_key(job_id)
        transaction = Transaction('', key, (Check(key, 0),), (Put(key, 1),))
        answer = self._store.write(transaction, ends_s, tries)
        self.announce(transaction, answer)
        return answer

    def is_withdrawn(
        self, job_id: str, answer: Committed | CheckFailed | StoreFailed
    ) -> bool:
        """Tell whether a write failed as the job was cancelled before it."""
        if not (
            isinstance(answer, CheckFailed) and _has_cancel(answer, job_id)
        ):
            return False
        row = answer.row(job_key(job_id))
        return not row.version or _refused_row(answer, row.key) is not None

    def announce(
        self,
        transaction: Transaction,
        answer: Committed | CheckFailed | StoreFailed,
    ) -> None:
        """Send the stored rows to the scheduler."""
        if isinstance(answer, Committed):
            for put in transaction.puts:
                version = answer.versions[put.key]
                self._scheduler.announce(Row(put.key, version, put.value))


def _unreadable(key: str, error: Exception) -> StoreFailed:
    return StoreFailed(None, reason=f'the row {key} is unreadable: {error}')


def _has_cancel(answer: CheckFailed, job_id: str) -> bool:
    return answer.row(cancel_key(job_id)).version > 0


def _refused_row(
    answer: Committed | CheckFailed | StoreFailed,
    key: str,
) -> Row | None:
    """Return the row that blocked the write, if it is a refusal."""
    if not isinstance(answer, CheckFailed):
        return None
    row = answer.row(key)
    if not row.version:
        return None
    return row if msgspec.convert(row.value, StoredJob).is_refused else None
