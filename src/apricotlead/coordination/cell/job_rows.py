"""The keys of job rows, and the upkeep of the rows of final jobs.

Jobs are spread over parts of their table, since the store handles the
transactions of one part one after another: when the store is slow, one part
would hold up all acceptances.
"""

from zlib import crc32

import msgspec
from msgspec import Struct

from apricotlead.coordination.cell.journal import PROGRESS_PREFIX
from apricotlead.protocol.cell_jobs import JobState, StoredJob
from apricotlead.protocol.table import Check, Put, Row, Transaction

JOBS_TABLE = 'jobs'
_PART_COUNT = 16
JOB_PREFIXES = tuple(f'{JOBS_TABLE}/{number}/' for number in range(_PART_COUNT))
# Sorts after the hexadecimal digits of job ids.
CANCEL_MARK = '~'
# The platform takes 100 entries in a transaction; a job takes up to three.
_MOST_JOBS = 30
# A write may take effect some seconds after its call was given up.
_KEEP_REFUSAL_S = 20.0


def job_key(job_id: str) -> str:
    """Return the key of a job's row."""
    number = crc32(job_id.encode()) % _PART_COUNT
    return JOB_PREFIXES[number] + job_id


def cancel_key(job_id: str) -> str:
    """Return the key of the row that asks for a job to be cancelled."""
    return f'{job_key(job_id)}{CANCEL_MARK}cancel'


class FinalJob(Struct):
    """A final job whose rows are still in the store; times are local."""

    job_id: str
    stored: StoredJob
    version: int
    state: JobState
    ended_ms: float
    delete_s: float
    is_compacted: bool = False


class FinalJobCleaner:
    """Shrinks the rows of final jobs, and deletes them after a while."""

    __slots__ = ('_cancelled_job_ids', 'expired_keys', 'finals_by_id')

    def __init__(self) -> None:
        """Begin without final jobs."""
        self.finals_by_id: dict[str, FinalJob] = {}
        self.expired_keys: list[str] = []
        self._cancelled_job_ids: set[str] = set()

    def note_cancel(self, job_id: str) -> None:
        """Note that a job has a row that asks for its cancelling."""
        self._cancelled_job_ids.add(job_id)

    def add(self, final: FinalJob) -> None:
        """Take care of a final job, once."""
        self.finals_by_id.setdefault(final.job_id, final)

    def due(self, now: float) -> list[tuple[Transaction, list[FinalJob]]]:
        """Return the writes to make now, one for each part at most."""
        by_part: dict[str, list[FinalJob]] = {}
        for final in self.finals_by_id.values():
            if not final.is_compacted or final.delete_s <= now:
                part = job_key(final.job_id).rpartition('/')[0]
                jobs = by_part.setdefault(part, [])
                if len(jobs) < _MOST_JOBS:
                    jobs.append(final)
        return [
            (self._transaction(jobs, now), jobs) for jobs in by_part.values()
        ]

    def written(
        self,
        finals: list[FinalJob],
        version: int,
        now: float,
    ) -> None:
        """Note that a write of :meth:`due` took effect."""
        for final in finals:
            self._cancelled_job_ids.discard(final.job_id)
            if final.delete_s <= now:
                self.finals_by_id.pop(final.job_id, None)
                self.expired_keys.append(f'{PROGRESS_PREFIX}{final.job_id}')
            else:
                final.is_compacted = True
                final.version = version

    def conflicted(self, finals: list[FinalJob], rows: tuple[Row, ...]) -> None:
        """Note the versions that a failed write found."""
        versions_by_key = {row.key: row.version for row in rows}
        for final in finals:
            key = job_key(final.job_id)
            final.version = versions_by_key.get(key, final.version)

    def take_expired(self, most: int) -> tuple[str, ...]:
        """Return progress rows whose jobs are forgotten."""
        taken = tuple(self.expired_keys[:most])
        self.expired_keys = self.expired_keys[most:]
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
                puts.append(Put(key, _shrunk(final)))
        return Transaction(
            '',
            checks[0].key,
            tuple(checks),
            tuple(puts),
            tuple(deletes),
        )


class RefusalCleaner:
    """Deletes the rows that refusals left, after a while."""

    __slots__ = ('_versions_by_id', '_written_s_by_id')

    def __init__(self) -> None:
        """Begin without refusals."""
        self._versions_by_id: dict[str, int] = {}
        self._written_s_by_id: dict[str, float] = {}

    def add(self, job_id: str, version: int, now: float) -> None:
        """Take care of the row of a refusal."""
        self._versions_by_id[job_id] = version
        self._written_s_by_id[job_id] = now

    def drop(self, job_id: str) -> None:
        """Forget a refusal whose job was accepted after all, or is gone."""
        self._versions_by_id.pop(job_id, None)
        self._written_s_by_id.pop(job_id, None)

    def due(self, now: float) -> list[tuple[Transaction, list[str]]]:
        """Return the writes to make now, one for each part at most."""
        by_part: dict[str, list[str]] = {}
        for job_id, written_s in self._written_s_by_id.items():
            if now - written_s > _KEEP_REFUSAL_S:
                part = job_key(job_id).rpartition('/')[0]
                by_part.setdefault(part, []).append(job_id)
        return [
            (self._transaction(job_ids[:_MOST_JOBS]), job_ids[:_MOST_JOBS])
            for job_ids in by_part.values()
        ]

    def written(self, job_ids: list[str]) -> None:
        """Note that a write of :meth:`due` took effect."""
        for job_id in job_ids:
            self.drop(job_id)

    def conflicted(self, job_ids: list[str], rows: tuple[Row, ...]) -> None:
        """Leave rows alone that are no longer the refusals that were seen."""
        versions_by_key = {row.key: row.version for row in rows}
        for job_id in job_ids:
            found = versions_by_key.get(job_key(job_id))
            if found != self._versions_by_id[job_id]:
                self.drop(job_id)

    def _transaction(self, job_ids: list[str]) -> Transaction:
        keys = tuple(job_key(job_id) for job_id in job_ids)
        checks = tuple(
            Check(key, self._versions_by_id[job_id])
            for key, job_id in zip(keys, job_ids, strict=True)
        )
        return Transaction('', keys[0], checks, deletes=keys)


def _shrunk(final: FinalJob) -> object:
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
