"""Validation of submissions before they are stored."""

from apricotlead.coordination.cell.row_sizes import encoded_bytes
from apricotlead.protocol.cell_jobs import (
    JobSubmission,
    StepSpec,
    StoredJob,
)
from apricotlead.protocol.errors import BadInput, TooLarge

# All tasks of a job may be placed in one round, and be written after it.
MAX_TASKS_PER_JOB = 1500


def check_submission(submission: JobSubmission) -> None:
    """Raise :class:`BadInput` for the first invalid value of a submission."""
    if not submission.steps:
        raise BadInput('The job has no steps.')
    if submission.task_count > MAX_TASKS_PER_JOB:
        raise BadInput(
            f'The job has {submission.task_count} tasks; '
            f'the most is {MAX_TASKS_PER_JOB}.',
        )
    if submission.occurrences < 0 or (
        submission.occurrences and submission.interval_ms < 0
    ):
        raise BadInput('Occurrences and their interval must not be negative.')
    for index, step in enumerate(submission.steps):
        _check_step(index, step)


def check_row_size(stored: StoredJob, row_bytes: int) -> None:
    """Raise :class:`BadInput` if a job's row can never be stored.

    ``row_bytes`` is the most that the store takes for a row's value.
    """
    job_bytes = encoded_bytes(stored)
    if job_bytes > row_bytes:
        raise TooLarge(
            f'The job takes {job_bytes} bytes; the most is {row_bytes}.',
        )


def _check_step(index: int, step: StepSpec) -> None:
    if step.task_count < 1:
        raise BadInput(f'Step {index} has no tasks.')
    demand = step.demand
    if min(demand.cpu_millis, demand.memory_mb, demand.accelerators) < 0:
        raise BadInput(f'Step {index} asks for a negative amount.')
    if any(not 0 <= earlier < index for earlier in step.after):
        raise BadInput(f'Step {index} must come after earlier steps only.')
