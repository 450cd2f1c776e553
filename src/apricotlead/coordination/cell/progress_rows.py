"""Rows of the jobs' progress: their keys, their size, and which to write.

Most jobs have one row. The progress of a job with many tasks is divided, so
that no row is larger than the store takes, and only changed rows are written.
"""

from collections import defaultdict
from collections.abc import Iterable

import msgspec
from msgspec import Struct

from apricotlead.coordination.cell.row_sizes import (
    max_value_bytes,
    sent_bytes,
)
from apricotlead.protocol.cell_jobs import JobProgress
from apricotlead.protocol.table import Put, Row
from apricotlead.state.cell_jobs import JobRun, TaskState
from apricotlead.state.progress_parts import ProgressPart

PROGRESS_PREFIX = 'progress/cell/'
# Sorts after the hexadecimal digits of job ids.
_PART_MARK = '~'
_MS_PER_S = 1000.0
# Of a smaller row, its size is not why the store refuses it.
_MIN_DIVIDED_BYTES = 8192

_encoder = msgspec.json.Encoder()
# The rows of a job by their number; 0 is the main one.
RowsByPart = dict[int, Row]


class ProgressWrite(Struct):
    """One row of a job's progress, as it is to be written.

    It holds ``task_count`` tasks in ``value_bytes``. ``digest`` identifies its
    content, and ``planned`` are the runs that may begin once it is durable. With
    ``is_final`` it holds the final state of the job.
    """

    job: JobRun
    part: ProgressPart
    put: Put
    digest: int
    value_bytes: int
    planned: list[tuple[TaskState, int]]
    is_final: bool
    task_count: int

    @property
    def can_be_divided(self) -> bool:
        """Return whether smaller rows could hold the same content."""
        is_large = self.value_bytes > _MIN_DIVIDED_BYTES
        return is_large and not self.is_final and self.task_count > 1

    @property
    def sent_bytes(self) -> int:
        """Return the size of the row in a write."""
        return sent_bytes(self.value_bytes)

    def note_written(self) -> None:
        """Record that the row is durable."""
        self.job.progress_parts.note_written(self.part, self.digest)


def progress_key(job_id: str, part_number: int = 0) -> str:
    """Return the key of a row of a job's progress; 0 is the main one."""
    key = f'{PROGRESS_PREFIX}{job_id}'
    return f'{key}{_PART_MARK}{part_number}' if part_number else key


def group_rows(rows: Iterable[Row]) -> tuple[dict[str, RowsByPart], list[Row]]:
    """Return the rows by job id, and those whose keys name no part."""
    rows_by_id: defaultdict[str, RowsByPart] = defaultdict(dict)
    unreadable: list[Row] = []
    for row in rows:
        name = row.key.removeprefix(PROGRESS_PREFIX)
        job_id, mark, number = name.partition(_PART_MARK)
        if mark and not number.isdecimal():
            unreadable.append(row)
            continue
        rows_by_id[job_id][int(number or 0)] = row
    return dict(rows_by_id), unreadable


def progress_writes(
    job: JobRun, store_ms: float, now: float, row_bytes: int
) -> list[ProgressWrite]:
    """Return the rows to write of a job that has changed, most urgent first.

    Parts that have become too large are split. Of a job with several rows only
    those are returned that differ from what the store holds.
    """
    if job.state.is_final:
        record = JobProgress([], job.state, store_ms, why=job.why_failed)
        return [_write(job, job.progress_parts.parts[0], record)]
    offset_s = store_ms / _MS_PER_S - now
    parts = job.progress_parts
    writes: dict[int, ProgressWrite] = {}
    pending = list(parts.parts)
    while pending:
        part = pending.pop()
        write = _write(job, part, job.progress(part, offset_s))
        is_large = write.value_bytes > max_value_bytes(row_bytes)
        if is_large and parts.split(part, job.task_count):
            pending.extend((part, parts.following(part)))
        else:
            writes[part.number] = write
    is_divided = len(parts.parts) > 1
    return [
        writes[part.number]
        for part in parts.in_write_order()
        if not is_divided or writes[part.number].digest != part.digest
    ]


def _write(
    job: JobRun, part: ProgressPart, record: JobProgress
) -> ProgressWrite:
    encoded = _encoder.encode(record)
    return ProgressWrite(
        job,
        part,
        Put(progress_key(job.job_id, part.number), msgspec.to_builtins(record)),
        hash(encoded),
        len(encoded),
        [(task, task.run) for task in job.planned(part)],
        record.state.is_final,
        sum(len(step.tasks) for step in record.steps),
    )
