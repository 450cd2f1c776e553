"""Submitted jobs, and the records of a journal."""

from typing import Literal

from msgspec import Struct

from apricotlead.protocol.errors import ErrorReport
from apricotlead.protocol.resources import Resources

JobKind = Literal['batch', 'gang']
Priority = Literal['urgent', 'normal']
JobState = Literal[
    'queued', 'running', 'done', 'refused', 'cancelled', 'may_have_run'
]
AttemptState = Literal[
    'running', 'succeeded', 'failed', 'stopped', 'lapsed', 'unknown'
]
ENDED_JOB_STATES = frozenset(('done', 'refused', 'cancelled', 'may_have_run'))
ENDED_ATTEMPT_STATES = frozenset(('succeeded', 'failed', 'stopped', 'lapsed'))


class TaskSpec(Struct, frozen=True, omit_defaults=True):
    """One task: its demand, expected run time in seconds, and payload."""

    demand: Resources
    run_s: float = 0.0
    command: str = ''


class Submission(Struct, frozen=True, omit_defaults=True):
    """A job as submitted by a caller.

    ``request_id`` is the caller's own identifier: a second submission by the
    same team with the same identifier returns the first job.
    """

    queue: str
    tasks: tuple[TaskSpec, ...]
    kind: JobKind = 'batch'
    priority: Priority = 'normal'
    idempotent: bool = True
    request_id: str = ''


class JobAccepted(Struct, frozen=True, tag='accepted'):
    """The job is durable; ``team`` is empty for a queue open to all teams."""

    job_id: str
    team: str
    submission: Submission


class AttemptAssigned(Struct, frozen=True, tag='assigned'):
    """The attempt may run on this worker from now on."""

    job_id: str
    task: int
    attempt_id: str
    worker_id: str
    address: str
    worker_epoch: int
    boot_id: str
    not_after_s: float


class AttemptFinished(Struct, frozen=True, tag='finished'):
    """The attempt has ended.

    ``ran`` is ``False`` if it is known that it never started, ``None`` if it
    is unknown whether it ran to completion.
    """

    attempt_id: str
    state: AttemptState
    ran: bool | None = True
    message: str = ''
    output: str = ''


class CancelRequested(Struct, frozen=True, tag='cancel'):
    """The job's owner requested its cancellation."""

    job_id: str


class JobEnded(Struct, frozen=True, tag='ended'):
    """The job reached a final state."""

    job_id: str
    state: JobState
    error: ErrorReport | None = None


JournalRecord = (
    JobAccepted | AttemptAssigned | AttemptFinished | CancelRequested | JobEnded
)


class TaskStatus(Struct, frozen=True, omit_defaults=True):
    """A task's status as sent to callers."""

    state: Literal[
        'queued', 'running', 'done', 'refused', 'cancelled', 'may_have_run'
    ]
    attempts: int = 0
    worker_id: str = ''
    output: str = ''


class JobStatus(Struct, frozen=True, omit_defaults=True):
    """A job's status as sent to callers."""

    job_id: str
    team: str
    state: JobState
    tasks: tuple[TaskStatus, ...] = ()
    error: ErrorReport | None = None
