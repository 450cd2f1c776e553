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
    forget_s: float
    is_tidied: bool = False


class JobRowKeeper:
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
            if not final.is_tidied or final.forget_s <= now:
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
            if final.forget_s <= now:
                self.finals_by_id.pop(final.job_id, None)
                self.expired_keys.append(f'{PROGRESS_PREFIX}{final.job_id}')
            else:
                final.is_tidied = True
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
            if final.forget_s <= now:
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
