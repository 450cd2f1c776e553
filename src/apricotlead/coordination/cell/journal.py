"""Batches of the scheduler's journal, and the actions that depend on them.

A run is sent to its worker only after it is durable in the journal, and an
end is acknowledged only after its effect is durable. Writes are sequential,
and each one expects the owner row of the previous one, so a write that the
store executes late fails.
"""

from itertools import accumulate, islice

from msgspec import Struct
from msgspec.structs import replace

from apricotlead.coordination.cell.election import OwnerRow, owner_transaction
from apricotlead.coordination.cell.progress_rows import (
    ProgressWrite,
    progress_writes,
)
from apricotlead.coordination.cell.row_sizes import put_bytes
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.protocol.table import Put, Transaction
from apricotlead.state.cell_jobs import JobRun, TaskState
from apricotlead.state.cell_workers import WorkerState

# The platform allows 100 entries in a transaction: the owner row takes two, and
# the rows of leases, statistics and expired jobs take up to 24.
_MAX_ROWS_PER_WRITE = 72
# The platform allows 1 MB in a transaction; the rest is for the owner row.
_MAX_WRITE_BYTES = 950000


class WriteLimits(Struct, frozen=True):
    """Limits of a write: tasks of its jobs together, bytes of each row."""

    tasks: int
    row_bytes: int


class Renewal(Struct):
    """A write that renews the term, made at ``made_s`` in local seconds."""

    transaction: Transaction
    owner: OwnerRow
    made_s: float


class JournalBatch(Renewal):
    """A write of the journal.

    Once it is durable, the runs that its ``writes`` place may be sent, and the
    ends in ``acks`` may be acknowledged to the incarnation of the worker that
    reported them.
    """

    writes: list[ProgressWrite]
    acks: list[tuple[WorkerState, int]]
    extra_puts: tuple[Put, ...] = ()
    expired_keys: tuple[str, ...] = ()

    @property
    def planned(self) -> list[tuple[TaskState, int]]:
        """Return the runs that may begin once the write is durable."""
        return [run for write in self.writes for run in write.planned]

    @property
    def final_jobs(self) -> list[JobRun]:
        """Return the jobs whose final states the write contains."""
        return [write.job for write in self.writes if write.is_final]


def take_batch(
    tracker: RunTracker,
    owner: OwnerRow,
    owner_version: int,
    now: float,
    expired_keys: tuple[str, ...],
    extra_puts: tuple[Put, ...],
    limits: WriteLimits,
) -> JournalBatch:
    """Return the next write: the oldest changes, within the size limits.

    ``expired_keys`` are the rows of finished jobs that may be deleted. The first
    row is taken whatever its size.
    """
    room = _MAX_WRITE_BYTES - sum(map(put_bytes, extra_puts))
    writes = _take_writes(tracker, room, owner.renewed_ms, now, limits)
    puts = (*extra_puts, *(write.put for write in writes))
    return JournalBatch(
        owner_transaction(owner, owner_version, puts, expired_keys),
        owner,
        now,
        writes,
        _acks(tracker),
        extra_puts,
        expired_keys,
    )


def divide_batch(batch: JournalBatch) -> list[JournalBatch]:
    """Return smaller writes that together do the same, in their order.

    The result is empty for a write that cannot be divided. Ends are not
    acknowledged by these writes, as one of them may fail for good.
    """
    has_extras = bool(batch.extra_puts or batch.expired_keys)
    middle = 0 if has_extras else len(batch.writes) // 2
    first = replace(batch, writes=batch.writes[:middle], acks=[])
    second = replace(
        batch,
        writes=batch.writes[middle:],
        acks=[],
        extra_puts=(),
        expired_keys=(),
    )
    is_first_empty = not (has_extras or first.writes)
    if is_first_empty or not second.writes:
        return []
    return [first, second]


def reissue_batch(
    batch: JournalBatch, owner: OwnerRow, owner_version: int, now: float
) -> JournalBatch:
    """Return a write with the same rows that follows the latest write."""
    puts = (*batch.extra_puts, *(write.put for write in batch.writes))
    return replace(
        batch,
        transaction=owner_transaction(
            owner, owner_version, puts, batch.expired_keys
        ),
        owner=owner,
        made_s=now,
    )


def _take_writes(
    tracker: RunTracker,
    room_bytes: int,
    store_ms: float,
    now: float,
    limits: WriteLimits,
) -> list[ProgressWrite]:
    """Return the rows of the next write, at least one if any job has changed."""
    writes: list[ProgressWrite] = []
    for job_id in _next_jobs(tracker, limits.tasks):
        tracker.dirty_job_ids.pop(job_id)
        job = tracker.jobs_by_id.get(job_id)
        if job is None:
            continue
        due = progress_writes(job, store_ms, now, limits.row_bytes)
        fitting = _fitting(due, room_bytes, _MAX_ROWS_PER_WRITE - len(writes))
        if not writes and not fitting:
            fitting = due[:1]
        writes.extend(fitting)
        room_bytes -= sum(write.sent_bytes for write in fitting)
        if len(fitting) < len(due):
            # The other rows of the job follow in the next write.
            tracker.mark_dirty(job)
            break
    return writes


def _fitting(
    due: list[ProgressWrite], room_bytes: int, most: int
) -> list[ProgressWrite]:
    """Return the first rows, as many as fit."""
    totals = accumulate(write.sent_bytes for write in due)
    fitting_count = sum(total <= room_bytes for total in totals)
    return due[: min(fitting_count, most)]


def _next_jobs(tracker: RunTracker, max_tasks: int) -> list[str]:
    """Return the jobs that changed first, within the limits of a write."""
    job_ids: list[str] = []
    task_count = 0
    for job_id in islice(tracker.dirty_job_ids, _MAX_ROWS_PER_WRITE):
        job = tracker.jobs_by_id.get(job_id)
        if job is not None:
            task_count += job.task_count
        if job_ids and task_count > max_tasks:
            break
        job_ids.append(job_id)
    return job_ids


def _acks(tracker: RunTracker) -> list[tuple[WorkerState, int]]:
    """Return the ends whose effects are all in this write or earlier ones.

    Pattern: a slow store. Each write then leaves some changed jobs for later,
    so ends that waited for a write of all jobs would never be acknowledged.
    """
    acks: list[tuple[WorkerState, int]] = []
    for worker in tracker.workers_by_id.values():
        through = worker.durable_through(tracker.dirty_job_ids)
        if through > worker.acked_through:
            acks.append((worker, through))
    return acks
