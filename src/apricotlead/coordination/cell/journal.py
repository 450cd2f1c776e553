"""What the scheduler writes to the store, and what may follow each write.

A run is sent to its worker only after the journal holds it, and an end is
acknowledged only after the journal holds its effect. Writes follow one
another, each expecting the owner row of the one before, so a write that is
carried out late fails.
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
# The platform takes 100 entries in a transaction: the owner row takes two, the
# rows of leases, speeds and expired jobs take up to 18.
_MOST_JOBS = 76
# It takes 1 MB, and a task 40 to 70 bytes of that.
_MOST_TASKS = 8000


class JournalBatch(Struct):
    """One write of the journal, made at ``made_s`` in local seconds.

    ``planned`` are the runs that may be sent after it, ``acks`` the ends
    that may be acknowledged, each to the life of a worker that listed them.
    """

    transaction: Transaction
    owner: OwnerRow
    planned: list[tuple[TaskState, int]]
    acks: list[tuple[WorkerState, int]]
    final_jobs: list[JobRun]
    made_s: float


def take_batch(
    tracker: RunTracker,
    owner: OwnerRow,
    owner_version: int,
    now: float,
    expired_keys: tuple[str, ...],
    extra_puts: tuple[Put, ...] = (),
) -> JournalBatch:
    """Return the next write: the oldest changes, within the size allowed.

    ``expired_keys`` are the rows of final jobs that may go.
    """
    puts = list(extra_puts)
    planned: list[tuple[TaskState, int]] = []
    final_jobs: list[JobRun] = []
    for job_id in _next_jobs(tracker):
        tracker.dirty_job_ids.pop(job_id)
        job = tracker.jobs_by_id.get(job_id)
        if job is None:
            continue
        if job.state.is_final:
            final_jobs.append(job)
        else:
            planned.extend(_planned(job))
        puts.append(_progress_put(job, owner.renewed_ms))
    return JournalBatch(
        owner_transaction(owner, owner_version, tuple(puts), expired_keys),
        owner,
        planned,
        _acks(tracker),
        final_jobs,
        now,
    )


def _next_jobs(tracker: RunTracker) -> list[str]:
    """Return the jobs that changed first, as many as one write may hold."""
    job_ids: list[str] = []
    task_count = 0
    for job_id in islice(tracker.dirty_job_ids, _MOST_JOBS):
        job = tracker.jobs_by_id.get(job_id)
        if job is not None:
            task_count += job.task_count
        if job_ids and task_count > _MOST_TASKS:
            break
        job_ids.append(job_id)
    return job_ids


def _progress_put(job: JobRun, store_ms: float) -> Put:
    record = job.progress()
    if job.state.is_final:
        record = JobProgress([], job.state, store_ms)
    return Put(f'{PROGRESS_PREFIX}{job.job_id}', msgspec.to_builtins(record))


def _planned(job: JobRun) -> list[tuple[TaskState, int]]:
    return [
        (task, task.run)
        for task in job.tasks()
        if task.phase is TaskPhase.PLANNED
    ]


def _acks(tracker: RunTracker) -> list[tuple[WorkerState, int]]:
    """Return the ends of which all effects are in this write or before it.

    Pattern: a slow store. Each write then leaves some jobs over, so ends that
    waited for a write of all of them would never be acknowledged.
    """
    acks: list[tuple[WorkerState, int]] = []
    for worker in tracker.workers_by_id.values():
        through = worker.durable_through(tracker.dirty_job_ids)
        if through > worker.acked_through:
            acks.append((worker, through))
    return acks
