"""The lifecycle of jobs, from acceptance to their reported end."""

from collections.abc import Callable, Iterable, Iterator
from heapq import heapify, heappop, heappush
from typing import Any, ClassVar, Literal

from msgspec import Struct

from apricotlead.coordination.component import (
    Component,
    handles,
    route_to_session,
)
from apricotlead.coordination.owner_questions import (
    OwnerQuestions,
    QuestionSettings,
)
from apricotlead.protocol.errors import (
    AttemptsUsedUp,
    ErrorReport,
    NotFound,
    OutcomeUnknown,
    StoreUnreachable,
)
from apricotlead.protocol.jobs import (
    AttemptAssigned,
    AttemptFinished,
    CancelRequested,
    JobAccepted,
    JobEnded,
    JobState,
    JobStatus,
    JournalRecord,
)
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun, Outcome
from apricotlead.protocol.peers import (
    AskJob,
    Grant,
    JobAnswer,
    RelieveWorker,
)
from apricotlead.protocol.signals import (
    AdmitJob,
    Answer,
    AppendRecords,
    AttemptAdopted,
    AttemptEnded,
    AttemptForgotten,
    AttemptStarting,
    Count,
    FindJob,
    JournalClosed,
    JournalOpened,
    RecordsCommitted,
    RecordsRejected,
    Signal,
    StopAttempts,
    TaskQueued,
    TasksPlaced,
    TasksWithdrawn,
    Tick,
    Token,
)
from apricotlead.state.job_table import JobEntry, JobTable, journal_of_job
from apricotlead.state.session_view import SessionView

Purpose = Literal['admit', 'assign', 'finish', 'end', 'cancel']
# ``queued``: the dispatcher has the task; ``assigning``: its assignment is
# being written; ``delayed``: it is queued again after a delay.
Phase = Literal['queued', 'assigning', 'delayed']

# An adopted journal has a higher epoch; new jobs are only written to the
# session's own journal.
_FIRST_EPOCH = 1
_MAX_DOUBLINGS = 10
# Covers the endings of the last seconds of a journal, at one session's rate.
_MAX_REPEATED_ACKNOWLEDGEMENTS = 2000
# The number that a snapshot of a journal keeps by default.
_ENDED_JOBS_KEPT = 2000
# Dropping costs O(jobs kept), so it waits for at least this many surplus jobs.
_MIN_DROPPED_JOBS = 200


class JobLifecycleSettings(Struct, frozen=True):
    """Times in seconds.

    A task whose attempt never ran is queued again after ``first_requeue_s``,
    doubled with each further miss up to ``longest_requeue_s``.
    """

    first_requeue_s: float = 0.05
    longest_requeue_s: float = 2.0
    no_journal_retry_s: float = 1.0
    questions: QuestionSettings = QuestionSettings()


class _Caller(Struct, frozen=True):
    """Who waits for an answer: a ticket of this process, or a peer."""

    ticket: int | None = None
    ask_id: str = ''
    sender: str = ''


class _Append(Struct, frozen=True):
    """Records that are being written to the store, and their purpose."""

    purpose: Purpose
    journal_id: str
    job_id: str
    records: tuple[JournalRecord, ...]
    caller: _Caller | None = None
    request_key: str = ''


class _Requeue(Struct, frozen=True):
    """Tasks to queue when their delay is over."""

    journal_id: str
    job_id: str
    tasks: tuple[int, ...]


class _Activity:
    """The operations in progress for a job that has not ended.

    ``cancellers`` is ``None`` unless a cancellation is being written; it then
    holds the callers to answer.
    """

    __slots__ = ('cancellers', 'is_ending', 'phases_by_task')

    def __init__(self) -> None:
        self.phases_by_task: dict[int, Phase] = {}
        self.cancellers: list[_Caller] | None = None
        self.is_ending = False

    def may_place(self, tasks: Iterable[int]) -> bool:
        if self.is_ending or self.cancellers is not None:
            return False
        return all(self.phases_by_task.get(task) == 'queued' for task in tasks)

    def is_assigning(self) -> bool:
        return 'assigning' in self.phases_by_task.values()

    def enter(self, phase: Phase, tasks: Iterable[int]) -> None:
        for task in tasks:
            self.phases_by_task[task] = phase

    def leave(self, tasks: Iterable[int]) -> None:
        for task in tasks:
            self.phases_by_task.pop(task, None)

    def remove_waiting(self) -> tuple[int, ...]:
        """Remove all waiting tasks; return those the dispatcher has."""
        queued = tuple(
            task
            for task, phase in self.phases_by_task.items()
            if phase == 'queued'
        )
        self.phases_by_task = {
            task: phase
            for task, phase in self.phases_by_task.items()
            if phase == 'assigning'
        }
        return queued


Continuation = Callable[..., Iterable[Signal]]
_COMMITTED: dict[Purpose, Continuation] = {}
_REJECTED: dict[Purpose, Continuation] = {}


def _continuation_for(
    registry: dict[Purpose, Continuation],
    *purposes: Purpose,
) -> Callable[[Continuation], Continuation]:
    def decorate(continuation: Continuation) -> Continuation:
        for purpose in purposes:
            registry[purpose] = continuation
        return continuation

    return decorate


class JobLifecycle(Component):
    """Runs the lifecycle of the jobs whose journals this session owns.

    A record is replayed into the table once it is durable, and only then do
    its effects happen: the answer to the caller, the start message, the
    acknowledgement to the worker. An adopted journal therefore continues from
    the same state as one whose owner never changed. Each handler costs O(1)
    per affected task.
    """

    name: ClassVar[str] = 'jobs'
    __slots__ = (
        '_accepting_journal',
        '_activities_by_job',
        '_appends_by_number',
        '_delayed',
        '_ended_jobs_kept',
        '_finishing_ids',
        '_last_job',
        '_number',
        '_questions',
        '_settings',
        '_table',
        '_view',
    )

    def __init__(
        self,
        settings: JobLifecycleSettings,
        table: JobTable,
        view: SessionView,
        ended_jobs_kept: int = _ENDED_JOBS_KEPT,
    ) -> None:
        """Start without journals.

        Each journal keeps the ``ended_jobs_kept`` jobs that ended last.
        """
        self._settings = settings
        self._ended_jobs_kept = ended_jobs_kept
        self._table = table
        self._view = view
        self._questions = OwnerQuestions(settings.questions, view)
        self._accepting_journal = ''
        self._last_job = 0
        self._number = 0
        self._activities_by_job: dict[str, _Activity] = {}
        self._appends_by_number: dict[int, _Append] = {}
        self._finishing_ids: set[str] = set()
        self._delayed: list[tuple[float, int, _Append | _Requeue]] = []

    @classmethod
    def from_config(
        cls,
        settings: JobLifecycleSettings,
        table: JobTable,
        view: SessionView,
        ended_jobs_kept: int = _ENDED_JOBS_KEPT,
    ) -> 'JobLifecycle':
        """Return a job lifecycle for these settings."""
        return cls(settings, table, view, ended_jobs_kept)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the journals, and counts of jobs and open operations."""
        return {
            'journals': list(self._table.journal_ids()),
            'accepting_journal': self._accepting_journal,
            'jobs': len(self._table.jobs_by_id),
            'jobs_under_way': len(self._activities_by_job),
            'appends_in_flight': len(self._appends_by_number),
            'delayed': len(self._delayed),
            'open_questions': self._questions.open_count(),
        }

    @handles(JournalOpened)
    def open_journal(
        self,
        signal: JournalOpened,
        now: float,
    ) -> Iterable[Signal]:
        """Replay the records and continue where the previous owner stopped."""
        if self._table.owns(signal.journal_id):
            self._drop_journal(signal.journal_id)
        self._table.open_journal(signal.journal_id, signal.epoch)
        if signal.epoch <= _FIRST_EPOCH:
            self._accepting_journal = signal.journal_id
            self._last_job = _last_job_number(signal)
        for record in signal.records:
            self._table.replay(record)
        self._drop_ended(signal.journal_id)
        return (
            *self._resume(signal.journal_id),
            *_repeat_acknowledgements(signal),
        )

    @handles(JournalClosed)
    def close_journal(
        self,
        signal: JournalClosed,
        now: float,
    ) -> Iterable[Signal]:
        """Drop the journal; tell its callers that the outcome is unknown."""
        if not self._table.owns(signal.journal_id):
            return ()
        if signal.journal_id == self._accepting_journal:
            self._accepting_journal = ''
        answers = tuple(self._answer_waiting_callers(signal.journal_id))
        self._drop_journal(signal.journal_id)
        return answers

    @handles(AdmitJob)
    def admit(self, signal: AdmitJob, now: float) -> Iterable[Signal]:
        """Write the job to the journal; the answer waits for the commit."""
        if not self._accepting_journal or not self._view.is_valid(now):
            error = StoreUnreachable('This instance has no journal to write.')
            outcome = NotRun(error, self._settings.no_journal_retry_s)
            return (Answer(signal.ticket, outcome),)
        self._last_job += 1
        job_id = f'{self._accepting_journal}.{self._last_job}'
        record = JobAccepted(job_id, signal.team, signal.submission)
        request_id = signal.submission.request_id
        append = _Append(
            'admit',
            self._accepting_journal,
            job_id,
            (record,),
            _Caller(signal.ticket),
            f'{signal.team}/{request_id}' if request_id else '',
        )
        return (self._send_append(append),)

    @handles(FindJob)
    def find(self, signal: FindJob, now: float) -> Iterable[Signal]:
        """Answer for a job of an owned journal; ask peers about any other."""
        journal_id = journal_of_job(signal.job_id)
        caller = _Caller(signal.ticket)
        if not journal_id:
            return self._reply(caller, _not_found(signal.job_id))
        if self._table.owns(journal_id):
            return tuple(self._serve(caller, signal))
        return tuple(self._questions.ask(signal, now))

    @handles(AskJob)
    def answer_peer(self, signal: AskJob, now: float) -> Iterable[Signal]:
        """Answer for a job of an owned journal; ignore any other."""
        if not self._table.owns(journal_of_job(signal.job_id)):
            return ()
        caller = _Caller(ask_id=signal.ask_id, sender=signal.sender)
        return tuple(self._serve(caller, signal))

    @handles(JobAnswer)
    def forward_answer(self, signal: JobAnswer, now: float) -> Iterable[Signal]:
        """Forward a peer's answer to the caller that asked."""
        return tuple(self._questions.record_answer(signal))

    @handles(TasksPlaced)
    def record_placement(
        self,
        signal: TasksPlaced,
        now: float,
    ) -> Iterable[Signal]:
        """Write the assignments to the journal before any start is sent."""
        activity = self._activities_by_job.get(signal.job_id)
        if activity is None or not activity.may_place(signal.tasks):
            return _never_started(signal.journal_id, signal.grants)
        activity.enter('assigning', signal.tasks)
        records = tuple(
            _assignment(signal.job_id, task, grant)
            for task, grant in zip(signal.tasks, signal.grants, strict=True)
        )
        return (
            self._send_append(
                _Append('assign', signal.journal_id, signal.job_id, records),
            ),
        )

    @handles(AttemptEnded)
    def record_ending(
        self,
        signal: AttemptEnded,
        now: float,
    ) -> Iterable[Signal]:
        """Write the ending to the journal, unless it is already known."""
        attempt = self._table.attempts_by_id.get(signal.attempt_id)
        if attempt is None or attempt.finished is not None:
            return ()
        if signal.attempt_id in self._finishing_ids:
            return ()
        self._finishing_ids.add(signal.attempt_id)
        record = AttemptFinished(
            signal.attempt_id,
            signal.state,
            signal.ran,
            signal.message,
            signal.output,
        )
        job_id = attempt.assigned.job_id
        append = _Append('finish', attempt.journal_id, job_id, (record,))
        return (self._send_append(append),)

    @handles(RelieveWorker)
    def relieve(self, signal: RelieveWorker, now: float) -> Iterable[Signal]:
        """Stop the attempt if its job allows it; the task is queued again.

        A request that is repeated, late, or for a journal of another session
        changes nothing: the leases ignore a repeated stop, and an attempt
        that has ended cannot be stopped.
        """
        attempt = self._table.attempts_by_id.get(signal.attempt_id)
        if attempt is None or attempt.finished is not None:
            return ()
        request_target = (signal.journal_id, signal.worker_id)
        if request_target != (attempt.journal_id, attempt.assigned.worker_id):
            return ()
        job = self._table.jobs_by_id[attempt.assigned.job_id]
        if not _may_relieve(job, signal.reason):
            return (Count(f'relief_declined_{signal.reason}'),)
        stopped_ids = (signal.attempt_id,)
        if job.is_gang():
            stopped_ids = _live_ids(job)
        return (
            StopAttempts(job.journal_id, stopped_ids),
            Count(f'relief_{signal.reason}', len(stopped_ids)),
        )

    @handles(RecordsCommitted)
    def handle_commit(
        self, signal: RecordsCommitted, now: float
    ) -> Iterable[Signal]:
        """Replay the durable records and carry out their effects."""
        append = self._appends_by_number.pop(signal.token.number, None)
        if append is None:
            return ()
        for record in append.records:
            self._table.replay(record)
        return tuple(_COMMITTED[append.purpose](self, append, now))

    @handles(RecordsRejected)
    def handle_rejection(
        self,
        signal: RecordsRejected,
        now: float,
    ) -> Iterable[Signal]:
        """Refuse, queue again or write again what was not committed."""
        append = self._appends_by_number.pop(signal.token.number, None)
        if append is None:
            return ()
        rejected = _REJECTED[append.purpose]
        return tuple(rejected(self, append, signal, now))

    @handles(Tick)
    def act_on_time(self, signal: Tick, now: float) -> Iterable[Signal]:
        """Run the delayed operations that are due; expire open questions."""
        following = list(self._questions.repeat_due(now))
        while self._delayed and self._delayed[0][0] <= now:
            delayed = heappop(self._delayed)[2]
            if isinstance(delayed, _Append):
                following.append(self._send_append(delayed))
            else:
                following.extend(self._requeue(delayed))
        return following

    @_continuation_for(_COMMITTED, 'admit')
    def _accepted(self, append: _Append, now: float) -> Iterator[Signal]:
        job = self._table.jobs_by_id[append.job_id]
        status = self._table.status(append.job_id)
        yield from self._reply(append.caller, Done(status))
        self._activities_by_job[append.job_id] = _Activity()
        yield from self._queue(job, job.idle_tasks())

    @_continuation_for(_REJECTED, 'admit')
    def _not_accepted(
        self,
        append: _Append,
        signal: RecordsRejected,
        now: float,
    ) -> Iterator[Signal]:
        job_id = signal.existing_job_id
        if not job_id:
            yield from self._reply(append.caller, _not_durable(signal))
            return
        team = append.records[0].team
        find = FindJob(append.caller.ticket, job_id, team)
        if job_id in self._table.jobs_by_id:
            yield from self._serve(append.caller, find)
            return
        # The first submission was accepted, so the answer must not be NotRun.
        fallback = JobStatus(job_id, team, 'queued')
        yield from self._questions.ask(find, now, fallback)

    @_continuation_for(_COMMITTED, 'assign')
    def _assigned(self, append: _Append, now: float) -> Iterator[Signal]:
        job = self._table.jobs_by_id[append.job_id]
        activity = self._activities_by_job[append.job_id]
        activity.leave(record.task for record in append.records)
        if job.cancel_requested or activity.cancellers is not None:
            yield from _never_started(append.journal_id, append.records)
            return
        for record in append.records:
            yield AttemptStarting(append.journal_id, record.attempt_id)

    @_continuation_for(_REJECTED, 'assign')
    def _not_assigned(
        self,
        append: _Append,
        signal: RecordsRejected,
        now: float,
    ) -> Iterator[Signal]:
        yield from _never_started(append.journal_id, append.records)
        job = self._table.jobs_by_id[append.job_id]
        tasks = tuple(record.task for record in append.records)
        self._activities_by_job[append.job_id].leave(tasks)
        if not self._is_stopping(job):
            self._queue_after_delay(job, tasks, now + signal.retry_after_s)
        yield from self._end_if_final(job)

    @_continuation_for(_COMMITTED, 'finish')
    def _finished(self, append: _Append, now: float) -> Iterator[Signal]:
        attempt_id = append.records[0].attempt_id
        self._finishing_ids.discard(attempt_id)
        yield AttemptForgotten(append.journal_id, attempt_id)
        attempt = self._table.attempts_by_id[attempt_id]
        job = self._table.jobs_by_id[append.job_id]
        yield from self._advance(job, attempt.assigned.task, now)

    @_continuation_for(_REJECTED, 'finish', 'end')
    def _retry_append(
        self,
        append: _Append,
        signal: RecordsRejected,
        now: float,
    ) -> Iterable[Signal]:
        self._delay(append, now + signal.retry_after_s)
        return ()

    @_continuation_for(_COMMITTED, 'end')
    def _ended(self, append: _Append, now: float) -> Iterator[Signal]:
        activity = self._activities_by_job.pop(append.job_id)
        yield from self._answer_cancellers(activity, append.job_id)
        self._drop_ended(append.journal_id)

    @_continuation_for(_COMMITTED, 'cancel')
    def _cancelled(self, append: _Append, now: float) -> Iterator[Signal]:
        activity = self._activities_by_job.get(append.job_id)
        if activity is None:
            return
        yield from self._answer_cancellers(activity, append.job_id)
        job = self._table.jobs_by_id[append.job_id]
        if job.ended is not None:
            self._activities_by_job.pop(append.job_id)
            self._drop_ended(append.journal_id)
            return
        yield from _stop_all(job)
        yield from self._end_if_final(job)

    @_continuation_for(_REJECTED, 'cancel')
    def _not_cancelled(
        self,
        append: _Append,
        signal: RecordsRejected,
        now: float,
    ) -> Iterator[Signal]:
        activity = self._activities_by_job.get(append.job_id)
        if activity is None:
            return
        refusal = _not_durable(signal)
        for caller in activity.cancellers or ():
            yield from self._reply(caller, refusal)
        activity.cancellers = None
        if isinstance(append.records[-1], JobEnded):
            activity.is_ending = False
        yield from self._proceed(self._table.jobs_by_id[append.job_id])

    def _drop_ended(self, journal_id: str) -> None:
        """Keep only as many ended jobs as the journal's snapshots do."""
        surplus = self._table.ended_count(journal_id) - self._ended_jobs_kept
        if surplus >= _MIN_DROPPED_JOBS:
            self._table.drop_ended(journal_id, self._ended_jobs_kept)

    def _resume(self, journal_id: str) -> Iterator[Signal]:
        for job in tuple(self._table.jobs_of(journal_id)):
            if job.ended is None:
                self._activities_by_job[job.job_id] = _Activity()
                yield from self._resume_job(job)

    def _resume_job(self, job: JobEntry) -> Iterator[Signal]:
        for attempt in job.live_attempts():
            attempt_id = attempt.assigned.attempt_id
            yield AttemptAdopted(job.journal_id, attempt_id)
        yield from self._proceed(job)

    def _proceed(self, job: JobEntry) -> Iterator[Signal]:
        """Stop, end or queue a job, whatever state its tasks are in."""
        if job.cancel_requested or job.is_broken_gang():
            yield from _stop_all(job)
        yield from self._end_if_final(job)
        if not self._is_stopping(job):
            yield from self._queue(job, job.idle_tasks())

    def _advance(
        self,
        job: JobEntry,
        task: int,
        now: float,
    ) -> Iterator[Signal]:
        """Stop, end or queue the job after an attempt of ``task`` ended."""
        yield from self._end_if_final(job)
        if self._is_stopping(job):
            return
        if job.is_broken_gang():
            yield from _stop_all(job)
            return
        idle = (task,) if job.tasks[task].needs_attempt() else ()
        tasks = job.idle_tasks() if job.is_gang() else idle
        delay_s = self._requeue_delay_s(job, tasks)
        if delay_s > 0:
            self._queue_after_delay(job, tasks, now + delay_s)
        else:
            yield from self._queue(job, tasks)

    def _requeue_delay_s(self, job: JobEntry, tasks: tuple[int, ...]) -> float:
        unstarted_attempts = max(
            (job.tasks[task].unstarted_attempts for task in tasks), default=0
        )
        if not unstarted_attempts:
            return 0
        doublings = min(unstarted_attempts - 1, _MAX_DOUBLINGS)
        delay_s = self._settings.first_requeue_s * 2**doublings
        return min(delay_s, self._settings.longest_requeue_s)

    def _is_stopping(self, job: JobEntry) -> bool:
        activity = self._activities_by_job.get(job.job_id)
        if activity is None or activity.is_ending or job.cancel_requested:
            return True
        return activity.cancellers is not None

    def _queue(self, job: JobEntry, tasks: tuple[int, ...]) -> Iterator[Signal]:
        activity = self._activities_by_job[job.job_id]
        idle = tuple(
            task for task in tasks if task not in activity.phases_by_task
        )
        if idle:
            activity.enter('queued', idle)
            yield TaskQueued(job.journal_id, job.job_id, idle)

    def _queue_after_delay(
        self,
        job: JobEntry,
        tasks: tuple[int, ...],
        due_s: float,
    ) -> None:
        if tasks:
            activity = self._activities_by_job[job.job_id]
            activity.enter('delayed', tasks)
            self._delay(_Requeue(job.journal_id, job.job_id, tasks), due_s)

    def _requeue(self, requeue: _Requeue) -> Iterator[Signal]:
        activity = self._activities_by_job.get(requeue.job_id)
        if activity is None:
            return
        tasks = tuple(
            task
            for task in requeue.tasks
            if activity.phases_by_task.get(task) == 'delayed'
        )
        activity.leave(tasks)
        yield from self._queue(self._table.jobs_by_id[requeue.job_id], tasks)

    def _end_if_final(self, job: JobEntry) -> Iterator[Signal]:
        activity = self._activities_by_job.get(job.job_id)
        if activity is None or activity.is_ending:
            return
        state = job.final_state()
        if state is not None and not activity.is_assigning():
            activity.is_ending = True
            record = JobEnded(job.job_id, state, _reason(job, state))
            yield self._send_append(
                _Append('end', job.journal_id, job.job_id, (record,)),
            )

    def _serve(
        self,
        caller: _Caller,
        question: FindJob | AskJob,
    ) -> Iterator[Signal]:
        job = self._table.jobs_by_id.get(question.job_id)
        if job is None or job.team not in {'', question.team}:
            yield from self._reply(caller, _not_found(question.job_id))
        elif question.cancel and job.ended is None:
            yield from self._cancel(job, caller)
        else:
            status = self._table.status(job.job_id)
            yield from self._reply(caller, Done(status))

    def _cancel(self, job: JobEntry, caller: _Caller) -> Iterator[Signal]:
        activity = self._activities_by_job[job.job_id]
        if activity.cancellers is not None:
            activity.cancellers.append(caller)
            return
        if job.cancel_requested:
            status = self._table.status(job.job_id)
            yield from self._reply(caller, Done(status))
            return
        activity.cancellers = [caller]
        queued = activity.remove_waiting()
        if queued:
            yield TasksWithdrawn(job.journal_id, job.job_id, queued)
        yield self._send_append(self._cancellation(job, activity))

    def _cancellation(self, job: JobEntry, activity: _Activity) -> _Append:
        records: tuple[JournalRecord, ...] = (CancelRequested(job.job_id),)
        state = job.final_state(cancelled=True)
        if state and not activity.is_assigning() and not activity.is_ending:
            activity.is_ending = True
            records += (JobEnded(job.job_id, state, _reason(job, state)),)
        return _Append('cancel', job.journal_id, job.job_id, records)

    def _answer_cancellers(
        self,
        activity: _Activity,
        job_id: str,
    ) -> Iterator[Signal]:
        outcome = Done(self._table.status(job_id))
        for caller in activity.cancellers or ():
            yield from self._reply(caller, outcome)
        activity.cancellers = None

    def _reply(
        self,
        caller: _Caller | None,
        outcome: Outcome,
    ) -> Iterable[Signal]:
        if caller is None:
            return ()
        if caller.ticket is not None:
            return (Answer(caller.ticket, outcome),)
        answer = _peer_answer(caller.ask_id, outcome, self._view.session_id)
        return route_to_session(self._view, caller.sender, answer)

    def _send_append(self, append: _Append) -> Signal:
        self._number += 1
        self._appends_by_number[self._number] = append
        return AppendRecords(
            Token(self.name, append.purpose, self._number),
            append.journal_id,
            append.records,
            append.request_key,
            append.job_id if append.request_key else '',
        )

    def _delay(self, delayed: _Append | _Requeue, due_s: float) -> None:
        self._number += 1
        heappush(self._delayed, (due_s, self._number, delayed))

    def _answer_waiting_callers(self, journal_id: str) -> Iterator[Signal]:
        """Answer this process's callers that wait for the journal."""
        error = OutcomeUnknown('Another instance took over the journal.')
        for caller in self._waiting_callers(journal_id):
            if caller.ticket is not None:
                yield Answer(caller.ticket, MayHaveRun(error))

    def _waiting_callers(self, journal_id: str) -> Iterator[_Caller]:
        for append in self._appends_by_number.values():
            if append.journal_id == journal_id and append.caller is not None:
                yield append.caller
        for job in self._table.jobs_of(journal_id):
            activity = self._activities_by_job.get(job.job_id)
            if activity is not None and activity.cancellers:
                yield from activity.cancellers

    def _drop_journal(self, journal_id: str) -> None:
        for job in self._table.jobs_of(journal_id):
            self._activities_by_job.pop(job.job_id, None)
            for attempt in job.live_attempts():
                self._finishing_ids.discard(attempt.assigned.attempt_id)
        self._appends_by_number = {
            number: append
            for number, append in self._appends_by_number.items()
            if append.journal_id != journal_id
        }
        self._delayed = [
            entry
            for entry in self._delayed
            if entry[2].journal_id != journal_id
        ]
        heapify(self._delayed)
        self._table.close_journal(journal_id)


def _assignment(job_id: str, task: int, grant: Grant) -> AttemptAssigned:
    return AttemptAssigned(
        job_id,
        task,
        grant.attempt_id,
        grant.worker_id,
        grant.address,
        grant.worker_epoch,
        grant.boot_id,
        grant.not_after_s,
    )


def _never_started(
    journal_id: str,
    placements: Iterable[Grant | AttemptAssigned],
) -> tuple[Signal, ...]:
    """Return endings of attempts whose start message was never sent."""
    return tuple(
        AttemptEnded(journal_id, placement.attempt_id, 'lapsed', ran=False)
        for placement in placements
    )


def _last_job_number(signal: JournalOpened) -> int:
    """Return the highest job number in the records; 0 if there is none."""
    numbers = (
        int(record.job_id.rpartition('.')[2])
        for record in signal.records
        if isinstance(record, JobAccepted)
    )
    return max(numbers, default=0)


def _repeat_acknowledgements(signal: JournalOpened) -> Iterator[Signal]:
    """Acknowledge the latest endings, as the previous owner may not have."""
    endings = [
        record
        for record in signal.records
        if isinstance(record, AttemptFinished)
    ]
    for ending in endings[-_MAX_REPEATED_ACKNOWLEDGEMENTS:]:
        yield AttemptForgotten(signal.journal_id, ending.attempt_id)


def _may_relieve(job: JobEntry, reason: str) -> bool:
    """Return whether attempts of the job may be stopped for this reason.

    A stopped non-idempotent attempt would end its job as ``may_have_run``,
    so it is left running. Urgent work and gangs are stopped only if memory
    cannot be freed otherwise, and a gang only as a whole.
    """
    if reason == 'preemption':
        return job.is_preemptible()
    return job.submission.idempotent


def _live_ids(job: JobEntry) -> tuple[str, ...]:
    return tuple(attempt.assigned.attempt_id for attempt in job.live_attempts())


def _stop_all(job: JobEntry) -> Iterator[Signal]:
    live = _live_ids(job)
    if live:
        yield StopAttempts(job.journal_id, live)


def _reason(job: JobEntry, state: JobState) -> ErrorReport | None:
    message = _last_message(job)
    if state == 'refused':
        return AttemptsUsedUp(f'A task failed too often. {message}').report()
    if state == 'may_have_run':
        return OutcomeUnknown(f'A task may have run. {message}').report()
    return None


def _last_message(job: JobEntry) -> str:
    """Return the message of the first refused or possibly run task.

    No task of a gang is refused if its rounds are used up; then return that of
    the first task that failed in the last round.
    """
    ended = [
        (task.outcome, task.attempts[-1].finished)
        for task in job.tasks
        if task.attempts and task.attempts[-1].finished is not None
    ]
    messages = [
        finished.message
        for outcome, finished in ended
        if outcome in {'refused', 'may_have_run'}
    ]
    messages.extend(
        finished.message for _, finished in ended if finished.state == 'failed'
    )
    return messages[0] if messages else ''


def _not_found(job_id: str) -> NotRun:
    return NotRun(NotFound(f'There is no job {job_id} for this key.'))


def _not_durable(signal: RecordsRejected) -> NotRun:
    error = StoreUnreachable('The journal did not take the record.')
    return NotRun(error, signal.retry_after_s)


def _peer_answer(ask_id: str, outcome: Outcome, owner: str) -> JobAnswer:
    if isinstance(outcome, Done):
        return JobAnswer(ask_id, outcome.answer, owner=owner)
    retry_after_s = getattr(outcome, 'retry_after_s', None)
    report = outcome.error.report()
    return JobAnswer(ask_id, None, report, owner, retry_after_s)
