"""Keys of job rows, and cleanup of the rows of final jobs.

Jobs are spread over partitions of their table, since the store serialises the
transactions of a partition: when the store is slow, a single partition would
delay all submissions.
"""

from collections.abc import Callable
from typing import Self
from zlib import crc32

import msgspec
from msgspec import Struct

from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.protocol.cell_jobs import JobState, StoredJob
from apricotlead.protocol.table import Check, Put, Row, Transaction

JOBS_TABLE = 'jobs'
_PARTITION_COUNT = 16
JOB_PREFIXES = tuple(
    f'{JOBS_TABLE}/{number}/' for number in range(_PARTITION_COUNT)
)
# Sorts after the hexadecimal digits of job ids.
CANCEL_MARK = '~'
# The platform allows 100 entries in a transaction; a job needs up to three.
_MAX_JOBS_PER_WRITE = 30
# A write may still take effect seconds after its call timed out.
_REFUSAL_RETENTION_S = 20.0


def job_key(job_id: str) -> str:
    """Return the key of a job's row."""
    number = crc32(job_id.encode()) % _PARTITION_COUNT
    return JOB_PREFIXES[number] + job_id


def cancel_key(job_id: str) -> str:
    """Return the key of the row that requests a job's cancellation."""
    return f'{job_key(job_id)}{CANCEL_MARK}cancel'


class FinalJob(Struct):
    """A final job whose rows are still in the store.

    ``delete_s`` is the local time at which the rows are deleted.
    """

    job_id: str
    stored: StoredJob
    version: int
    state: JobState
    ended_ms: float
    delete_s: float
    is_compacted: bool = False


class FinalJobCleaner:
    """Compacts the rows of final jobs, and deletes them after a retention time."""

    __slots__ = ('_cancelled_job_ids', 'expired_keys', 'finals_by_id')

    def __init__(self) -> None:
        """Create a cleaner without final jobs."""
        self.finals_by_id: dict[str, FinalJob] = {}
        self.expired_keys: list[str] = []
        self._cancelled_job_ids: set[str] = set()

    def note_cancel(self, job_id: str) -> None:
        """Record that a job has a cancellation row."""
        self._cancelled_job_ids.add(job_id)

    def is_cancelled(self, job_id: str) -> bool:
        """Tell whether a job has a cancellation row."""
        return job_id in self._cancelled_job_ids

    def drop_cancel(self, job_id: str) -> None:
        """Record that a cancellation row was deleted."""
        self._cancelled_job_ids.discard(job_id)

    def add(self, final: FinalJob) -> None:
        """Add a final job, unless it was added before."""
        self.finals_by_id.setdefault(final.job_id, final)

    def due(self, now: float) -> list[tuple[Transaction, list[FinalJob]]]:
        """Return the writes that are due, at most one per partition."""
        by_partition: dict[str, list[FinalJob]] = {}
        for final in self.finals_by_id.values():
            if not final.is_compacted or final.delete_s <= now:
                partition = job_key(final.job_id).rpartition('/')[0]
                jobs = by_partition.setdefault(partition, [])
                if len(jobs) < _MAX_JOBS_PER_WRITE:
                    jobs.append(final)
        return [
            (self._transaction(jobs, now), jobs)
            for jobs in by_partition.values()
        ]

    def written(
        self,
        finals: list[FinalJob],
        version: int,
        now: float,
    ) -> None:
        """Apply a committed write of :meth:`due`."""
        for final in finals:
            self._cancelled_job_ids.discard(final.job_id)
            if final.delete_s <= now:
                self.finals_by_id.pop(final.job_id, None)
                self.expired_keys.append(f'{PROGRESS_PREFIX}{final.job_id}')
            else:
                final.is_compacted = True
                final.version = version

    def conflicted(self, finals: list[FinalJob], rows: tuple[Row, ...]) -> None:
        """Update row versions from a write that failed its checks."""
        versions_by_key = {row.key: row.version for row in rows}
        for final in finals:
            key = job_key(final.job_id)
            final.version = versions_by_key.get(key, final.version)

    def take_expired(self, max_count: int) -> tuple[str, ...]:
        """Remove and return keys of progress rows whose jobs were deleted."""
        taken = tuple(self.expired_keys[:max_count])
        self.expired_keys = self.expired_keys[max_count:]
        return taken

    def _transaction(self, finals: list[FinalJob], now: float) -> Transaction:
        checks: list[Check] = []
        puts: list[Put] = []
        deletes: list[str] = []
        for final in finals:
            key = job_key(final.job_id)
            checks.append(Check(key, final.version))
            if final.job_id in self._cancelled_job_ids:
                deletes.append(cancel_key(final.job_id))
            if final.delete_s <= now:
                deletes.append(key)
            else:
                puts.append(Put(key, _compact_row(final)))
        return Transaction(
            '',
            checks[0].key,
            tuple(checks),
            tuple(puts),
            tuple(deletes),
        )


class MarkCleaner:
    """Deletes rows that keep late writes of jobs out, after a retention time."""

    __slots__ = (
        '_key_of',
        '_retention_s',
        '_versions_by_id',
        '_written_s_by_id',
    )

    def __init__(
        self, key_of: Callable[[str], str], retention_s: float
    ) -> None:
        """Create a cleaner without rows; ``key_of`` a job id is the row's key."""
        self._key_of = key_of
        self._retention_s = retention_s
        self._versions_by_id: dict[str, int] = {}
        self._written_s_by_id: dict[str, float] = {}

    @classmethod
    def for_refusals(cls) -> Self:
        """Create a cleaner of the rows of refused jobs."""
        return cls(job_key, _REFUSAL_RETENTION_S)

    @classmethod
    def for_cancels(cls, retention_s: float) -> Self:
        """Create a cleaner of the cancels of jobs that do not exist."""
        return cls(cancel_key, retention_s)

    def add(self, job_id: str, version: int, now: float) -> None:
        """Add the row of a job."""
        self._versions_by_id[job_id] = version
        self._written_s_by_id[job_id] = now

    def drop(self, job_id: str) -> None:
        """Drop a row that is gone, or that a job has replaced."""
        self._versions_by_id.pop(job_id, None)
        self._written_s_by_id.pop(job_id, None)

    def due(self, now: float) -> list[tuple[Transaction, list[str]]]:
        """Return the writes that are due, at most one per partition."""
        by_partition: dict[str, list[str]] = {}
        for job_id, written_s in self._written_s_by_id.items():
            if now - written_s > self._retention_s:
                partition = job_key(job_id).rpartition('/')[0]
                by_partition.setdefault(partition, []).append(job_id)
        return [
            (
                self._transaction(job_ids[:_MAX_JOBS_PER_WRITE]),
                job_ids[:_MAX_JOBS_PER_WRITE],
            )
            for job_ids in by_partition.values()
        ]

    def written(self, job_ids: list[str]) -> None:
        """Apply a committed write of :meth:`due`."""
        for job_id in job_ids:
            self.drop(job_id)

    def conflicted(self, job_ids: list[str], rows: tuple[Row, ...]) -> None:
        """Drop rows that have changed since they were read."""
        versions_by_key = {row.key: row.version for row in rows}
        for job_id in job_ids:
            found = versions_by_key.get(self._key_of(job_id))
            # The feed may have dropped the row during the write.
            if found != self._versions_by_id.get(job_id):
                self.drop(job_id)

    def _transaction(self, job_ids: list[str]) -> Transaction:
        keys = tuple(map(self._key_of, job_ids))
        checks = tuple(
            Check(key, self._versions_by_id[job_id])
            for key, job_id in zip(keys, job_ids, strict=True)
        )
        return Transaction('', keys[0], checks, deletes=keys)


def _compact_row(final: FinalJob) -> object:
    stored = final.stored
    return msgspec.to_builtins(
        StoredJob(
            stored.queue,
            stored.service,
            stored.organisation,
            stored.accepted_ms,
            state=final.state,
            ended_ms=final.ended_ms,
        ),
    )
