"""The jobs in this session's journals, rebuilt by replaying records."""

from collections import Counter
from collections.abc import Iterable, Iterator
from functools import singledispatchmethod
from typing import Literal

from apricotlead.protocol.jobs import (
    AttemptAssigned,
    AttemptFinished,
    CancelRequested,
    JobAccepted,
    JobEnded,
    JobState,
    JobStatus,
    JournalRecord,
    Submission,
    TaskSpec,
    TaskStatus,
)
from apricotlead.protocol.peers import TeamLoad
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.workers import AttemptTraits

TaskOutcome = Literal['done', 'refused', 'may_have_run']

_ZERO = Resources()


def journal_of_job(job_id: str) -> str:
    """Return the journal id: the part of the job id before the last dot."""
    return job_id.rpartition('.')[0]


def journal_of_attempt(attempt_id: str) -> str:
    """Return the journal id in ``{journal}.{job}.{task}.{epoch}-{n}``."""
    return attempt_id.rsplit('.', 3)[0]


class Attempt:
    """One durable assignment and its end (``None`` while it is live)."""

    __slots__ = ('assigned', 'finished', 'journal_id')

    def __init__(self, assigned: AttemptAssigned) -> None:
        """Start as assigned."""
        self.assigned = assigned
        self.finished: AttemptFinished | None = None
        self.journal_id = journal_of_job(assigned.job_id)


class TaskEntry:
    """One task: its attempts in order, the live one, and its outcome.

    ``counted_attempts`` is the number of attempts that may have run without
    success; they count towards the limit on attempts. ``unstarted_attempts`` is
    the number of attempts that are known not to have run, since the last one
    that may have.
    ``stops`` is the number of attempts that were stopped to make room for
    other work, or together with their gang.
    """

    __slots__ = (
        'attempts',
        'counted_attempts',
        'live_attempt',
        'outcome',
        'spec',
        'stops',
        'unstarted_attempts',
    )

    def __init__(self, spec: TaskSpec) -> None:
        """Start as queued."""
        self.spec = spec
        self.attempts: list[Attempt] = []
        self.live_attempt: Attempt | None = None
        self.outcome: TaskOutcome | None = None
        self.counted_attempts = 0
        self.unstarted_attempts = 0
        self.stops = 0

    def needs_attempt(self) -> bool:
        """Return whether the task needs a new attempt."""
        return self.live_attempt is None and self.outcome is None

    def failed_workers(self) -> tuple[str, ...]:
        """Return the workers on which an attempt failed.

        Stopped attempts are left out, since a stop does not implicate the
        worker, and so are successful ones of a gang whose round has failed.
        """
        return tuple(
            attempt.assigned.worker_id
            for attempt in self.attempts
            if attempt.finished is not None
            and attempt.finished.ran is not False
            and attempt.finished.state not in {'stopped', 'succeeded'}
        )


class JobEntry:
    """One job: its submission, its tasks, and its end.

    ``history`` has the records between acceptance and end, in order.
    ``live_count`` is the number of tasks with a live attempt, ``open_count``
    that of tasks without an outcome. ``failed_rounds`` is the number of rounds
    of a gang in which an attempt failed, the latest one if
    ``has_failed_attempt``.
    """

    __slots__ = (
        '_max_attempts',
        'accepted',
        'cancel_requested',
        'ended',
        'failed_rounds',
        'has_failed_attempt',
        'history',
        'journal_id',
        'live_count',
        'open_count',
        'outcome_counts',
        'tasks',
    )

    def __init__(self, accepted: JobAccepted, max_attempts: int) -> None:
        """Start with all tasks queued; a gang has ``max_attempts`` rounds."""
        self._max_attempts = max_attempts
        self.accepted = accepted
        self.journal_id = journal_of_job(accepted.job_id)
        self.tasks = [TaskEntry(spec) for spec in accepted.submission.tasks]
        self.cancel_requested = False
        self.ended: JobEnded | None = None
        self.history: list[JournalRecord] = []
        self.live_count = 0
        self.open_count = len(self.tasks)
        self.outcome_counts: dict[TaskOutcome, int] = {}
        self.failed_rounds = 0
        self.has_failed_attempt = False

    @property
    def job_id(self) -> str:
        """Return the job's id."""
        return self.accepted.job_id

    @property
    def team(self) -> str:
        """Return the job's team, empty for a queue open to all."""
        return self.accepted.team

    @property
    def submission(self) -> Submission:
        """Return what the caller asked to run."""
        return self.accepted.submission

    def is_gang(self) -> bool:
        """Return whether all tasks run at the same time."""
        return self.submission.kind == 'gang'

    def is_preemptible(self) -> bool:
        """Return whether attempts may be preempted by other work."""
        submission = self.submission
        is_normal = submission.priority == 'normal'
        return is_normal and submission.idempotent and not self.is_gang()

    def traits_of(self, task: int) -> AttemptTraits:
        """Return what worker owners need to know about a task's attempt."""
        stops = self.tasks[task].stops
        return AttemptTraits(self.team, self.is_preemptible(), stops)

    def idle_tasks(self) -> tuple[int, ...]:
        """Return the tasks that need an attempt.

        Those of a gang are returned only once none of its attempts is live.
        """
        if self.is_gang() and self.live_count:
            return ()
        return tuple(
            index
            for index, task in enumerate(self.tasks)
            if task.needs_attempt()
        )

    def live_attempts(self) -> Iterator[Attempt]:
        """Yield the live attempts in task order."""
        for task in self.tasks:
            if task.live_attempt is not None:
                yield task.live_attempt

    def has_outcome(self, outcome: TaskOutcome) -> bool:
        """Return whether any task has this outcome."""
        return self.outcome_counts.get(outcome, 0) > 0

    def is_broken_gang(self) -> bool:
        """Return whether a gang has live attempts although one has failed."""
        if not self.is_gang() or not self.live_count:
            return False
        done_count = self.outcome_counts.get('done', 0)
        return self.live_count + done_count < len(self.tasks)

    def final_state(self, *, cancelled: bool = False) -> JobState | None:
        """Return the state in which the job can end now, if it can.

        ``cancelled`` assumes that cancellation was requested. The tasks of a
        batch job are independent, so it ends when each of them has an outcome;
        a gang ends with the first task that cannot succeed.
        """
        if self.live_count:
            return None
        is_cancelled = cancelled or self.cancel_requested
        if self.open_count and not is_cancelled:
            return self._final_state_of_open_gang()
        if self.has_outcome('may_have_run'):
            return 'may_have_run'
        if self.open_count:
            return 'cancelled'
        return 'refused' if self.has_outcome('refused') else 'done'

    def count_failed_round(self) -> None:
        """Count the current round as failed, once for all of its attempts."""
        if not self.has_failed_attempt:
            self.has_failed_attempt = True
            self.failed_rounds += 1

    def _final_state_of_open_gang(self) -> JobState | None:
        if not self.is_gang():
            return None
        is_used_up = self.failed_rounds >= self._max_attempts
        is_refused = self.submission.idempotent and is_used_up
        if is_refused or self.has_outcome('refused'):
            return 'refused'
        # Only a non-idempotent gang keeps tasks that are done after a failed
        # round; it cannot be restarted as a whole.
        is_partial = self.has_outcome('may_have_run') or self.has_outcome(
            'done'
        )
        return 'may_have_run' if is_partial else None


class _JournalState:
    """The epoch and jobs of one journal."""

    __slots__ = ('ended_ids', 'epoch', 'jobs_by_id')

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.jobs_by_id: dict[str, JobEntry] = {}
        # Insertion order is the order in which the jobs ended.
        self.ended_ids: dict[str, None] = {}


class JobTable:
    """Jobs and attempts by id, and the journals that this session owns.

    Only ``JobLifecycle`` changes it, by replaying each record once it is
    durable. Replay is idempotent: a record that was already applied, or that
    refers to a job that was dropped by a compaction, changes nothing. All
    operations cost O(1) per record, except the end of a gang's round, which
    costs O(tasks of the gang).
    """

    __slots__ = (
        '_load_totals',
        '_states_by_journal',
        'attempts_by_id',
        'jobs_by_id',
        'max_attempts',
    )

    def __init__(self, max_attempts: int = 4) -> None:
        """Start empty; a task may have ``max_attempts`` counted attempts.

        The same limit applies to the failed rounds of a gang.
        """
        self.max_attempts = max_attempts
        self.jobs_by_id: dict[str, JobEntry] = {}
        self.attempts_by_id: dict[str, Attempt] = {}
        self._states_by_journal: dict[str, _JournalState] = {}
        self._load_totals = _LoadTotals()

    def open_journal(self, journal_id: str, epoch: int) -> None:
        """Add an empty journal that is owned with this epoch."""
        self._states_by_journal[journal_id] = _JournalState(epoch)

    def close_journal(self, journal_id: str) -> None:
        """Remove the journal with its jobs and attempts."""
        journal_state = self._states_by_journal.pop(journal_id, None)
        if journal_state is not None:
            for job in tuple(journal_state.jobs_by_id.values()):
                self._drop(journal_state, job)

    def owns(self, journal_id: str) -> bool:
        """Return whether this session owns the journal."""
        return journal_id in self._states_by_journal

    def epoch_of(self, journal_id: str) -> int:
        """Return the epoch of an owned journal.

        Raises :class:`KeyError` for any other.
        """
        return self._states_by_journal[journal_id].epoch

    def journal_ids(self) -> tuple[str, ...]:
        """Return the ids of the owned journals, oldest first."""
        return tuple(self._states_by_journal)

    def jobs_of(self, journal_id: str) -> Iterable[JobEntry]:
        """Return the jobs of an owned journal in the order of acceptance."""
        return self._states_by_journal[journal_id].jobs_by_id.values()

    @singledispatchmethod
    def replay(self, record: JournalRecord) -> None:
        """Apply a durable record; records of a journal must come in order.

        Raises :class:`TypeError` for anything that is no journal record.
        """
        raise TypeError(f'{type(record).__name__} is not a journal record')

    def status(self, job_id: str) -> JobStatus | None:
        """Return the job's status for callers, ``None`` if it is unknown."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return None
        tasks = tuple(_task_status(job, task) for task in job.tasks)
        error = job.ended.error if job.ended else None
        return JobStatus(job_id, job.team, _job_state(job), tasks, error)

    def loads_by_team(self) -> dict[str, TeamLoad]:
        """Return the running and waiting demand by team, for gossip."""
        return self._load_totals.by_team()

    def waiting_tasks(self, queue: str) -> int:
        """Return the number of tasks of a queue that wait for a worker."""
        return self._load_totals.waiting_by_queue[queue]

    def ended_count(self, journal_id: str) -> int:
        """Return the number of jobs of an owned journal that have ended."""
        return len(self._states_by_journal[journal_id].ended_ids)

    def drop_ended(self, journal_id: str, keep: int) -> None:
        """Remove the ended jobs of a journal except the ``keep`` latest."""
        journal_state = self._states_by_journal[journal_id]
        surplus = len(journal_state.ended_ids) - keep
        for job_id in tuple(journal_state.ended_ids)[: max(0, surplus)]:
            self._drop(journal_state, journal_state.jobs_by_id[job_id])

    def compacted_records(self, journal_id: str) -> tuple[JournalRecord, ...]:
        """Return the minimal records whose replay produces the same jobs.

        They cover only the records replayed so far, so the caller must not
        remove a segment whose commit has not been replayed yet.
        """
        return tuple(
            record
            for job in self.jobs_of(journal_id)
            for record in _records_of(job)
        )

    @replay.register
    def _accept(self, record: JobAccepted) -> None:
        journal_state = self._states_by_journal.get(
            journal_of_job(record.job_id)
        )
        if journal_state is None or record.job_id in self.jobs_by_id:
            return
        job = JobEntry(record, self.max_attempts)
        journal_state.jobs_by_id[record.job_id] = job
        self.jobs_by_id[record.job_id] = job
        self._load_totals.add_job(job)

    @replay.register
    def _assign(self, record: AttemptAssigned) -> None:
        job = self.jobs_by_id.get(record.job_id)
        if job is None or record.attempt_id in self.attempts_by_id:
            return
        task = job.tasks[record.task]
        attempt = Attempt(record)
        self.attempts_by_id[record.attempt_id] = attempt
        task.attempts.append(attempt)
        job.history.append(record)
        self._load_totals.remove_task(job, task)
        _begin_attempt(job, task, attempt)
        self._load_totals.add_task(job, task)

    @replay.register
    def _finish(self, record: AttemptFinished) -> None:
        attempt = self.attempts_by_id.get(record.attempt_id)
        if attempt is None or attempt.finished is not None:
            return
        job = self.jobs_by_id[attempt.assigned.job_id]
        task = job.tasks[attempt.assigned.task]
        attempt.finished = record
        job.history.append(record)
        if task.live_attempt is attempt:
            self._load_totals.remove_task(job, task)
            self._end_attempt(job, task, record)
            self._load_totals.add_task(job, task)
            self._end_gang_round(job)

    @replay.register
    def _request_cancel(self, record: CancelRequested) -> None:
        job = self.jobs_by_id.get(record.job_id)
        if job is not None and not job.cancel_requested:
            job.cancel_requested = True
            job.history.append(record)

    @replay.register
    def _end(self, record: JobEnded) -> None:
        job = self.jobs_by_id.get(record.job_id)
        if job is None or job.ended is not None:
            return
        self._load_totals.remove_job(job)
        job.ended = record
        self._states_by_journal[job.journal_id].ended_ids[job.job_id] = None

    def _end_attempt(
        self,
        job: JobEntry,
        task: TaskEntry,
        finished: AttemptFinished,
    ) -> None:
        task.live_attempt = None
        job.live_count -= 1
        _count_ended_attempt(task, finished)
        if finished.state == 'failed' and finished.ran is not False:
            job.count_failed_round()
        outcome = self._outcome(job, task, finished)
        if outcome is not None:
            task.outcome = outcome
            job.open_count -= 1
            counts = job.outcome_counts
            counts[outcome] = counts.get(outcome, 0) + 1

    def _outcome(
        self,
        job: JobEntry,
        task: TaskEntry,
        finished: AttemptFinished,
    ) -> TaskOutcome | None:
        if finished.state == 'succeeded':
            return 'done'
        if finished.ran is False:
            return None
        if not job.submission.idempotent:
            was_cancelled = job.cancel_requested and finished.state == 'stopped'
            return None if was_cancelled else 'may_have_run'
        return 'refused' if task.counted_attempts >= self.max_attempts else None

    def _end_gang_round(self, job: JobEntry) -> None:
        """Reopen all tasks of a gang after a failed round.

        Done tasks of a non-idempotent gang stay done: the gang cannot be
        restarted as a whole.
        """
        if not job.is_gang() or job.live_count or not job.open_count:
            return
        job.has_failed_attempt = False
        if job.has_outcome('refused') or not job.submission.idempotent:
            return
        for task in job.tasks:
            if task.outcome == 'done':
                _reopen_task(job, task)
                self._load_totals.add_task(job, task)

    def _drop(self, journal_state: _JournalState, job: JobEntry) -> None:
        if job.ended is None:
            self._load_totals.remove_job(job)
        journal_state.jobs_by_id.pop(job.job_id)
        journal_state.ended_ids.pop(job.job_id, None)
        self.jobs_by_id.pop(job.job_id)
        for task in job.tasks:
            for attempt in task.attempts:
                self.attempts_by_id.pop(attempt.assigned.attempt_id, None)


class _LoadTotals:
    """Totals of running and waiting demand of jobs that have not ended.

    ``waiting_by_queue`` is the number of waiting tasks by queue.
    """

    __slots__ = ('_running_by_team', '_waiting_by_team', 'waiting_by_queue')

    def __init__(self) -> None:
        self.waiting_by_queue: Counter[str] = Counter()
        self._running_by_team: dict[str, Resources] = {}
        self._waiting_by_team: dict[str, Resources] = {}

    def by_team(self) -> dict[str, TeamLoad]:
        loads = {
            team: TeamLoad(running, self._waiting_by_team[team])
            for team, running in self._running_by_team.items()
        }
        idle = TeamLoad()
        return {team: load for team, load in loads.items() if load != idle}

    def add_job(self, job: JobEntry) -> None:
        self._running_by_team.setdefault(job.team, _ZERO)
        self._waiting_by_team.setdefault(job.team, _ZERO)
        for task in job.tasks:
            self.add_task(job, task)

    def remove_job(self, job: JobEntry) -> None:
        for task in job.tasks:
            self.remove_task(job, task)

    def add_task(self, job: JobEntry, task: TaskEntry) -> None:
        """Add the demand of the task in its current state."""
        sums = self._sums_of(task)
        if sums is not None and job.ended is None:
            sums[job.team] += task.spec.demand
            self._adjust_waiting(job, task, 1)

    def remove_task(self, job: JobEntry, task: TaskEntry) -> None:
        """Subtract what ``add_task`` added; call it before the task changes."""
        sums = self._sums_of(task)
        if sums is not None and job.ended is None:
            sums[job.team] -= task.spec.demand
            self._adjust_waiting(job, task, -1)

    def _adjust_waiting(self, job: JobEntry, task: TaskEntry, by: int) -> None:
        if task.live_attempt is None:
            self.waiting_by_queue[job.submission.queue] += by

    def _sums_of(self, task: TaskEntry) -> dict[str, Resources] | None:
        if task.live_attempt is not None:
            return self._running_by_team
        return self._waiting_by_team if task.outcome is None else None


def _begin_attempt(job: JobEntry, task: TaskEntry, attempt: Attempt) -> None:
    if task.live_attempt is None:
        job.live_count += 1
    task.live_attempt = attempt


def _reopen_task(job: JobEntry, task: TaskEntry) -> None:
    job.outcome_counts['done'] -= 1
    task.outcome = None
    job.open_count += 1


def _count_ended_attempt(task: TaskEntry, finished: AttemptFinished) -> None:
    if finished.ran is False:
        task.unstarted_attempts += 1
        return
    task.unstarted_attempts = 0
    # Attempts are stopped on cancellation, with their gang, or to make room
    # for other work; that is not a failure of the task. An attempt that has
    # succeeded is repeated only because another member of its gang has not.
    if finished.state == 'stopped':
        task.stops += 1
    elif finished.state != 'succeeded':
        task.counted_attempts += 1


def _job_state(job: JobEntry) -> JobState:
    if job.ended is not None:
        return job.ended.state
    return 'running' if any(task.attempts for task in job.tasks) else 'queued'


def _task_status(job: JobEntry, task: TaskEntry) -> TaskStatus:
    last = task.attempts[-1] if task.attempts else None
    finished = last.finished if last else None
    return TaskStatus(
        _task_state(job, task),
        attempts=len(task.attempts),
        worker_id=last.assigned.worker_id if last else '',
        output=finished.output if finished else '',
    )


def _task_state(job: JobEntry, task: TaskEntry) -> str:
    if task.outcome is not None:
        return task.outcome
    if task.live_attempt is not None:
        return 'running'
    if job.ended is None:
        return 'queued'
    return 'cancelled' if job.cancel_requested else 'refused'


def _records_of(job: JobEntry) -> Iterator[JournalRecord]:
    yield job.accepted
    yield from job.history
    if job.ended is not None:
        yield job.ended
