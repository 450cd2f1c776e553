"""The committed records of one owned journal, grouped by job."""

from collections.abc import Iterable

from msgspec import Struct
from msgspec.json import Decoder, Encoder

from apricotlead.protocol.jobs import (
    AttemptAssigned,
    AttemptFinished,
    JobEnded,
    JournalRecord,
)

_ENCODER = Encoder()
_DECODER = Decoder(list[JournalRecord])


class _JobRecords(Struct):
    records: list[JournalRecord]
    open_attempts: int = 0
    is_ended: bool = False


class JournalLog:
    """Records by job, in the order in which they were committed.

    Keeps the contents of a snapshot: all records of the unfinished jobs, and
    of the ``ended_jobs_kept`` jobs that ended last, so that their status can
    still be read. A job has ended when its ``JobEnded`` is durable and each
    assigned attempt has an ``AttemptFinished``.
    """

    __slots__ = ('_ended_jobs_kept', '_jobs_by_id', 'added_count')

    def __init__(self, ended_jobs_kept: int) -> None:
        """Start empty."""
        self._ended_jobs_kept = ended_jobs_kept
        self._jobs_by_id: dict[str, _JobRecords] = {}
        self.added_count = 0

    def add(self, records: Iterable[JournalRecord]) -> None:
        """Add committed records."""
        for record in records:
            self.added_count += 1
            self._add_record(record)

    def records(self) -> tuple[JournalRecord, ...]:
        """Return the retained records; those of each job are in order."""
        self._evict_ended()
        return tuple(
            record
            for job in self._jobs_by_id.values()
            for record in job.records
        )

    def has_open_jobs(self) -> bool:
        """Return whether any job has not ended; scans all jobs."""
        return not all(map(_has_ended, self._jobs_by_id.values()))

    def _add_record(self, record: JournalRecord) -> None:
        job_id = _job_of(record)
        job = self._jobs_by_id.setdefault(job_id, _JobRecords([]))
        job.records.append(record)
        if isinstance(record, AttemptAssigned):
            job.open_attempts += 1
        elif isinstance(record, AttemptFinished):
            job.open_attempts -= 1
        elif isinstance(record, JobEnded):
            job.is_ended = True
            # Keep ended jobs in the order in which they ended.
            self._jobs_by_id[job_id] = self._jobs_by_id.pop(job_id)

    def _evict_ended(self) -> None:
        ended_ids = [
            job_id
            for job_id, job in self._jobs_by_id.items()
            if _has_ended(job)
        ]
        surplus = max(len(ended_ids) - self._ended_jobs_kept, 0)
        for job_id in ended_ids[:surplus]:
            self._jobs_by_id.pop(job_id)


def encode_snapshot(records: Iterable[JournalRecord]) -> bytes:
    """Return the content of a snapshot object."""
    return _ENCODER.encode(tuple(records))


def decode_snapshot(content: bytes) -> list[JournalRecord]:
    """Return the records of a snapshot object."""
    return _DECODER.decode(content)


def _has_ended(job: _JobRecords) -> bool:
    return job.is_ended and job.open_attempts <= 0


def _job_of(record: JournalRecord) -> str:
    if isinstance(record, AttemptFinished):
        # Attempt ids are {job_id}.{task}.{epoch}-{n}.
        return record.attempt_id.rsplit('.', 2)[0]
    return record.job_id
