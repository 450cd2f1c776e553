"""Batches of the scheduler's journal, and the actions that depend on them.

A run is sent to its worker only after it is durable in the journal, and an
end is acknowledged only after its effect is durable. Writes are sequential,
and each one expects the owner row of the previous one, so a write that the
store executes late fails.
"""

from itertools import islice

import msgspec
from msgspec import Struct

from apricotlead.coordination.cell.election import OwnerRow, owner_transaction
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.protocol.cell_jobs import JobProgress
from apricotlead.protocol.table import Put, Transaction
from apricotlead.state.cell_jobs import JobRun, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState

PROGRESS_PREFIX = 'progress/cell/'
# The platform allows 100 entries in a transaction: the owner row takes two, and
# the rows of leases, speeds and expired jobs take up to 18.
_MAX_JOBS_PER_WRITE = 76
_MS_PER_S = 1000.0


class Renewal(Struct):
    """A write that renews the term, made at ``made_s`` in local seconds."""

    transaction: Transaction
    owner: OwnerRow
    made_s: float


class JournalBatch(Renewal):
    """A write of the journal.

    Once it is durable, the runs in ``planned`` may be sent, and the ends in
    ``acks`` may be acknowledged to the incarnation of the worker that reported
    them.
    """

    planned: list[tuple[TaskState, int]]
    acks: list[tuple[WorkerState, int]]
    final_jobs: list[JobRun]


def take_batch(
    tracker: RunTracker,
    owner: OwnerRow,
    owner_version: int,
    now: float,
    expired_keys: tuple[str, ...],
    extra_puts: tuple[Put, ...],
    max_tasks: int,
) -> JournalBatch:
    """Return the next write: the oldest changes, within the size limit.

    ``expired_keys`` are the rows of finished jobs that may be deleted. The jobs
    of a write have ``max_tasks`` together, unless the first one has more.
    """
    puts = list(extra_puts)
    planned: list[tuple[TaskState, int]] = []
    final_jobs: list[JobRun] = []
    for job_id in _next_jobs(tracker, max_tasks):
        tracker.dirty_job_ids.pop(job_id)
        job = tracker.jobs_by_id.get(job_id)
        if job is None:
            continue
        if job.state.is_final:
            final_jobs.append(job)
        else:
            planned.extend(_planned(job))
        puts.append(_progress_put(job, owner.renewed_ms, now))
    return JournalBatch(
        owner_transaction(owner, owner_version, tuple(puts), expired_keys),
        owner,
        now,
        planned,
        _acks(tracker),
        final_jobs,
    )


def _next_jobs(tracker: RunTracker, max_tasks: int) -> list[str]:
    """Return the jobs that changed first, within the limits of a write."""
    job_ids: list[str] = []
    task_count = 0
    for job_id in islice(tracker.dirty_job_ids, _MAX_JOBS_PER_WRITE):
        job = tracker.jobs_by_id.get(job_id)
        if job is not None:
            task_count += job.task_count
        if job_ids and task_count > max_tasks:
            break
        job_ids.append(job_id)
    return job_ids


def _progress_put(job: JobRun, store_ms: float, now: float) -> Put:
    record = job.progress(store_ms / _MS_PER_S - now)
    if job.state.is_final:
        record = JobProgress([], job.state, store_ms, why=job.why_failed)
    return Put(f'{PROGRESS_PREFIX}{job.job_id}', msgspec.to_builtins(record))


def _planned(job: JobRun) -> list[tuple[TaskState, int]]:
    return [
        (task, task.run)
        for task in job.tasks()
        if task.phase is TaskPhase.PLANNED
    ]


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
