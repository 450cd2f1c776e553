"""The jobs of the journals that this session owns, by replay of records."""

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

_NOTHING = Resources()


def journal_of_job(job_id: str) -> str:
    """Return the journal id: the part of the job id before the last dot."""
    return job_id.rpartition('.')[0]


def journal_of_attempt(attempt_id: str) -> str:
    """Return the journal id in ``{journal}.{job}.{task}.{epoch}-{n}``."""
    return attempt_id.rsplit('.', 3)[0]


class Attempt:
    """One durable assignment, and how it ended (``None`` while it lives)."""

    __slots__ = ('assigned', 'finished', 'journal_id')

    def __init__(self, assigned: AttemptAssigned) -> None:
        """Begin as assigned."""
        self.assigned = assigned
        self.finished: AttemptFinished | None = None
        self.journal_id = journal_of_job(assigned.job_id)


class TaskEntry:
    """One task: its attempts in order, the living one, and its outcome.

    ``counted_attempts`` counts the attempts that may have run and count against the
    bound on attempts; ``unstarted_attempts`` counts those that are proven not to have run
    since the last one that did; ``stops`` counts those that were stopped for
    the sake of other work, or with their gang.
    """

    __slots__ = (
        'attempts',
        'live_attempt',
        'unstarted_attempts',
        'outcome',
        'spec',
        'counted_attempts',
        'stops',
    )

    def __init__(self, spec: TaskSpec) -> None:
        """Begin as queued."""
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
        """Return the workers on which an attempt ran without success.

        A stop says nothing about the worker.
        """
        return tuple(
            attempt.assigned.worker_id
            for attempt in self.attempts
            if attempt.finished is not None
            and attempt.finished.ran is not False
            and attempt.finished.state != 'stopped'
        )


class JobEntry:
    """One job: what was submitted, its tasks, and its end.

    ``history`` has the records between acceptance and end, in order.
    ``live_count`` and ``open_count`` are the numbers of tasks with a living
    attempt and of tasks without an outcome.
    """

    __slots__ = (
        'accepted',
        'cancel_requested',
        'ended',
        'history',
        'journal_id',
        'live_count',
        'open_count',
        'outcome_counts',
        'tasks',
    )

    def __init__(self, accepted: JobAccepted) -> None:
        """Begin with all tasks queued."""
        self.accepted = accepted
        self.journal_id = journal_of_job(accepted.job_id)
        self.tasks = [TaskEntry(spec) for spec in accepted.submission.tasks]
        self.cancel_requested = False
        self.ended: JobEnded | None = None
        self.history: list[JournalRecord] = []
        self.live_count = 0
        self.open_count = len(self.tasks)
        self.outcome_counts: dict[TaskOutcome, int] = {}

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
        """Return whether its attempts may be stopped for other work."""
        submission = self.submission
        is_normal = submission.priority == 'normal'
        return is_normal and submission.idempotent and not self.is_gang()

    def traits_of(self, task: int) -> AttemptTraits:
        """Return what owners of workers must know of a task's attempt."""
        stops = self.tasks[task].stops
        return AttemptTraits(self.team, self.is_preemptible(), stops)

    def idle_tasks(self) -> tuple[int, ...]:
        """Return the tasks that need an attempt; a gang's only together."""
        if self.is_gang() and self.live_count:
            return ()
        return tuple(
            index
            for index, task in enumerate(self.tasks)
            if task.needs_attempt()
        )

    def live_attempts(self) -> Iterator[Attempt]:
        """Yield the living attempts in task order."""
        for task in self.tasks:
            if task.live_attempt is not None:
                yield task.live_attempt

    def has_outcome(self, outcome: TaskOutcome) -> bool:
        """Return whether a task ended like this."""
        return self.outcome_counts.get(outcome, 0) > 0

    def is_broken_gang(self) -> bool:
        """Return whether a gang has living attempts beside a failed one."""
        if not self.is_gang() or not self.live_count:
            return False
        done_count = self.outcome_counts.get('done', 0)
        return self.live_count + done_count < len(self.tasks)

    def final_state(self, *, cancelled: bool = False) -> JobState | None:
        """Return the state in which the job can end now, if it can.

        ``cancelled`` supposes that its end was requested.
        Tasks of a batch job do not depend on each other, so it ends when
        each of them has an outcome; a gang ends with the first bad one.
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

    def _final_state_of_open_gang(self) -> JobState | None:
        if not self.is_gang():
            return None
        if self.has_outcome('refused'):
            return 'refused'
        # Only a non-idempotent gang keeps tasks that are done in a round
        # that failed; it cannot start again as a whole.
        is_partial = self.has_outcome('may_have_run') or self.has_outcome(
            'done'
        )
        return 'may_have_run' if is_partial else None


class _Held:
    """What the table keeps of one journal."""

    __slots__ = ('ended_ids', 'epoch', 'jobs_by_id')

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.jobs_by_id: dict[str, JobEntry] = {}
        # Insertion order is the order of ending.
        self.ended_ids: dict[str, None] = {}


class JobTable:
    """Jobs and attempts by id, and the journals held.

    Changed by the job book only, which replays each record once it is
    durable. Replay is idempotent: a record that is already reflected, or that
    speaks of a job that a compaction left out, changes nothing. All
    operations cost O(1) per record, apart from the end of a gang's round,
    which costs O(tasks of the gang).
    """

    __slots__ = (
        '_held_by_journal',
        '_loads',
        'attempts_by_id',
        'jobs_by_id',
        'max_attempts',
    )

    def __init__(self, max_attempts: int = 4) -> None:
        """Begin empty; a task may start ``max_attempts`` times."""
        self.max_attempts = max_attempts
        self.jobs_by_id: dict[str, JobEntry] = {}
        self.attempts_by_id: dict[str, Attempt] = {}
        self._held_by_journal: dict[str, _Held] = {}
        self._loads = _Loads()

    def open_journal(self, journal_id: str, epoch: int) -> None:
        """Hold the journal with this epoch."""
        self._held_by_journal[journal_id] = _Held(epoch)

    def close_journal(self, journal_id: str) -> None:
        """Drop the journal with its jobs and attempts."""
        held = self._held_by_journal.pop(journal_id, None)
        if held is not None:
            for job in tuple(held.jobs_by_id.values()):
                self._drop(held, job)

    def holds(self, journal_id: str) -> bool:
        """Return whether this session owns the journal."""
        return journal_id in self._held_by_journal

    def epoch_of(self, journal_id: str) -> int:
        """Return the epoch of a held journal; KeyError for any other."""
        return self._held_by_journal[journal_id].epoch

    def journal_ids(self) -> tuple[str, ...]:
        """Return the journals held, oldest first."""
        return tuple(self._held_by_journal)

    def jobs_of(self, journal_id: str) -> Iterable[JobEntry]:
        """Return the jobs of a held journal in the order of acceptance."""
        return self._held_by_journal[journal_id].jobs_by_id.values()

    @singledispatchmethod
    def replay(self, record: JournalRecord) -> None:
        """Apply a durable record; records of a journal come in order."""
        raise TypeError(f'{type(record).__name__} is no journal record')

    def status(self, job_id: str) -> JobStatus | None:
        """Return the job as its callers see it, ``None`` when unknown."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return None
        tasks = tuple(_task_status(job, task) for task in job.tasks)
        error = job.ended.error if job.ended else None
        return JobStatus(job_id, job.team, _job_state(job), tasks, error)

    def loads_by_team(self) -> dict[str, TeamLoad]:
        """Return the demand that runs and waits, by team, for the gossip."""
        return self._loads.by_team()

    def waiting_tasks(self, queue: str) -> int:
        """Return how many tasks of a queue wait for a worker."""
        return self._loads.waiting_by_queue[queue]

    def ended_count(self, journal_id: str) -> int:
        """Return how many jobs of a held journal have ended."""
        return len(self._held_by_journal[journal_id].ended_ids)

    def drop_ended(self, journal_id: str, keep: int) -> None:
        """Drop the ended jobs of a journal but the ``keep`` latest."""
        held = self._held_by_journal[journal_id]
        surplus = len(held.ended_ids) - keep
        for job_id in tuple(held.ended_ids)[: max(0, surplus)]:
            self._drop(held, held.jobs_by_id[job_id])

    def compacted_records(self, journal_id: str) -> tuple[JournalRecord, ...]:
        """Return the fewest records whose replay gives the same jobs.

        It reflects the records replayed so far, so the caller must not
        remove a segment whose commit has not been replayed yet.
        """
        return tuple(
            record
            for job in self.jobs_of(journal_id)
            for record in _records_of(job)
        )

    @replay.register
    def _accept(self, record: JobAccepted) -> None:
        held = self._held_by_journal.get(journal_of_job(record.job_id))
        if held is None or record.job_id in self.jobs_by_id:
            return
        job = JobEntry(record)
        held.jobs_by_id[record.job_id] = job
        self.jobs_by_id[record.job_id] = job
        self._loads.add(job)

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
        self._loads.discount(job, task)
        _begin_attempt(job, task, attempt)
        self._loads.count(job, task)

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
            self._loads.discount(job, task)
            self._settle_task(job, task, record)
            self._loads.count(job, task)
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
        self._loads.remove(job)
        job.ended = record
        self._held_by_journal[job.journal_id].ended_ids[job.job_id] = None

    def _settle_task(
        self,
        job: JobEntry,
        task: TaskEntry,
        finished: AttemptFinished,
    ) -> None:
        task.live_attempt = None
        job.live_count -= 1
        _count_attempt(task, finished)
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
        """Open all tasks of a gang again after a round that failed.

        Tasks of a non-idempotent gang that are done stay so: the gang as a
        whole cannot start again.
        """
        if not job.is_gang() or job.live_count or not job.open_count:
            return
        if job.has_outcome('refused') or not job.submission.idempotent:
            return
        for task in job.tasks:
            if task.outcome == 'done':
                _reopen(job, task)
                self._loads.count(job, task)

    def _drop(self, held: _Held, job: JobEntry) -> None:
        if job.ended is None:
            self._loads.remove(job)
        held.jobs_by_id.pop(job.job_id)
        held.ended_ids.pop(job.job_id, None)
        self.jobs_by_id.pop(job.job_id)
        for task in job.tasks:
            for attempt in task.attempts:
                self.attempts_by_id.pop(attempt.assigned.attempt_id, None)


class _Loads:
    """Sums of running and waiting demand of jobs that have not ended.

    ``waiting_by_queue`` has the numbers of waiting tasks.
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

    def add(self, job: JobEntry) -> None:
        self._running_by_team.setdefault(job.team, _NOTHING)
        self._waiting_by_team.setdefault(job.team, _NOTHING)
        for task in job.tasks:
            self.count(job, task)

    def remove(self, job: JobEntry) -> None:
        for task in job.tasks:
            self.discount(job, task)

    def count(self, job: JobEntry, task: TaskEntry) -> None:
        """Add the demand of the task as it is now."""
        sums = self._sums_of(task)
        if sums is not None and job.ended is None:
            sums[job.team] += task.spec.demand
            self._count_waiting(job, task, 1)

    def discount(self, job: JobEntry, task: TaskEntry) -> None:
        """Take off what ``count`` added; call it before a change."""
        sums = self._sums_of(task)
        if sums is not None and job.ended is None:
            sums[job.team] -= task.spec.demand
            self._count_waiting(job, task, -1)

    def _count_waiting(self, job: JobEntry, task: TaskEntry, by: int) -> None:
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


def _reopen(job: JobEntry, task: TaskEntry) -> None:
    job.outcome_counts['done'] -= 1
    task.outcome = None
    job.open_count += 1


def _count_attempt(task: TaskEntry, finished: AttemptFinished) -> None:
    if finished.ran is False:
        task.unstarted_attempts += 1
        return
    task.unstarted_attempts = 0
    # Homes stop attempts for a cancellation, with their gang, or to make room
    # for other work; that is no failure of the task.
    if finished.state == 'stopped':
        task.stops += 1
    else:
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
