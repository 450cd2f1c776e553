"""Jobs of the cell: submissions and the rows stored for them."""

from enum import StrEnum

from msgspec import Struct

from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.resources import Resources


class JobState(StrEnum):
    """The job states that callers see."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Return whether the state is final."""
        return self not in {JobState.QUEUED, JobState.RUNNING}


class StepSpec(Struct, frozen=True, omit_defaults=True):
    """One step of a job: ``task_count`` identical tasks.

    ``after`` contains the indexes of earlier steps that must be done first.
    ``estimated_ms`` is the caller's rough estimate. ``data_rack`` and
    ``same_rack`` are preferences that make tasks faster, while
    ``required_label`` and ``max_per_worker`` (0: no limit) are mandatory.
    Tasks with ``fills`` use only processor time that others leave idle.
    ``may_miss`` limits how many tasks of a ``long_running`` step the scheduler
    may stop at a time.
    """

    task_count: int
    demand: Resources = Resources()
    estimated_ms: float = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: float = 0
    fills: bool = False
    may_miss: int | None = None


class JobSubmission(Struct, frozen=True, omit_defaults=True):
    """A job as submitted by a caller.

    With ``occurrences`` above 0 all steps run that many times, due every
    ``interval_ms`` starting at ``first_due_ms`` (Unix milliseconds).
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_ms: float = 0
    interval_ms: float = 0

    @property
    def task_count(self) -> int:
        """Return the number of tasks in all occurrences."""
        per_run = sum(step.task_count for step in self.steps)
        return per_run * max(1, self.occurrences)


class StoredJob(Struct, frozen=True, omit_defaults=True):
    """The row of an accepted job, written by the instance that accepted it.

    The queue's policy is stored as it was at acceptance, because the queue may
    be removed later. ``accepted_ms`` and ``ended_ms`` are on the store's
    clock. Some time after the job's end the scheduler replaces the row by one
    with the final ``state`` and without ``submission``.

    With ``is_refused`` the row is not a job: it prevents the write of an
    earlier attempt, whose answer was lost, from taking effect after the
    refusal.
    """

    queue: str
    service: str
    organisation: str
    accepted_ms: float
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    aim_ms: float = 0
    advice: AdvicePolicy | None = None
    submission: JobSubmission | None = None
    state: JobState = JobState.QUEUED
    ended_ms: float = 0
    is_refused: bool = False


class TaskRecord(Struct, array_like=True):
    """A task in a progress row; ``worker_id`` is empty while it waits.

    ``placed_ms`` is when its run was placed, on the store's clock, and
    ``born_ms`` when the incarnation of the worker that it was meant for started.
    ``unanswered_ms`` is when the latest start of the run that got no answer was
    given up, on the store's clock, and 0 if there is none.
    """

    is_done: bool = False
    run: int = 0
    worker_id: str = ''
    failures: int = 0
    checkpoint: str = ''
    placed_ms: int = 0
    born_ms: float = 0
    unanswered_ms: int = 0


class CrashRecord(Struct, array_like=True, frozen=True):
    """The crashes of workers under the task with this index of a step.

    ``counted_run`` is the latest run that was counted.
    """

    index: int
    crashes: int
    doubtful_crashes: int = 0
    sole_crashes: int = 0
    alone_crashes: int = 0
    is_suspect: bool = False
    counted_run: int = 0


class StepRecord(Struct, array_like=True):
    """Tasks of one step of one occurrence in a progress row.

    These are consecutive tasks, beginning with ``first_task``. ``crashes`` holds
    only the tasks under which workers have crashed. ``gang_failed_run`` is the
    latest run counted in ``gang_failures``; members of that run may still end.
    It is 0 in rows of older versions.
    """

    occurrence: int
    step: int
    tasks: list[TaskRecord]
    gang_failures: int = 0
    crashes: tuple[CrashRecord, ...] = ()
    gang_failed_run: int = 0
    first_task: int = 0


class JobProgress(Struct, array_like=True):
    """The progress row of a job that has started or is final.

    A job with many tasks has several such rows. Only ``steps`` is used of all but
    the main one. Of rows with the same tasks the one with the highest number
    holds.

    A final job has no ``steps``; ``ended_ms`` is on the store's clock.
    ``has_started`` is set once a worker has started one of its tasks. ``why``
    tells callers the reason of a failure, if there is more to say than that
    the attempts are used up.
    """

    steps: list[StepRecord]
    state: JobState = JobState.RUNNING
    ended_ms: float = 0
    has_started: bool = False
    why: str = ''


class JobReport(Struct, frozen=True):
    """What a caller is told about a job; ``why`` explains a failure."""

    state: JobState
    why: str = ''
