"""Handling of callers' requests at any instance, through the store."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any, Protocol

import msgspec

from apricotlead.coordination.cell.acceptance import (
    check_row_size,
    check_submission,
)
from apricotlead.coordination.cell.admission import check_admission
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.coordination.cell.settings import DEFAULT_ROW_BYTES
from apricotlead.protocol.cell_config import QueueConfig
from apricotlead.protocol.cell_jobs import (
    JobProgress,
    JobReport,
    JobState,
    JobSubmission,
    StoredJob,
)
from apricotlead.protocol.cell_peers import SchedulerStatus
from apricotlead.protocol.decoding import DECODE_ERRORS
from apricotlead.protocol.errors import (
    JobWithdrawn,
    KeyRefused,
    NoSuchJob,
    NotFound,
    OutcomeUnknown,
    Overloaded,
    StaleView,
    StoreUnreachable,
    TooLarge,
)
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun, Outcome
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    Row,
    StoreFailed,
)
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.transport.answer_log import (
    AnswerLog,
    Question,
    StoreTries,
)
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_job_store import JobStore
from apricotlead.transport.store_health import StoreHealth
from apricotlead.transport.store_relay import StoreRelay

# Reserved of a caller's wait for the response to reach it.
_ANSWER_MARGIN_S = 0.15
_RETRY_AFTER_S = 1.0
_DEFAULT_MAX_BODY_BYTES = 262144
_NO_ORGANISATION = ''
_LOG_DIGITS = 3


class SchedulerContact(Protocol):
    """What the request handler needs from the path to the scheduler."""

    def status(self) -> SchedulerStatus | None:
        """Return the scheduler's latest status, ``None`` if it is too old."""

    def announce(self, row: Row) -> None:
        """Send the scheduler a row that was just stored."""


class CellRequestHandler:
    """Handles callers' requests.

    A job is accepted once its row is in the store, so any instance can report
    its state, and a repeated submission of the same id finds the row.
    """

    __slots__ = (
        '_answers',
        '_jobs',
        '_log',
        '_max_view_age_s',
        '_metrics',
        '_row_bytes',
        '_scheduler',
        '_store',
        'health',
        'is_stopping',
        'open_count',
        'view',
    )

    def __init__(
        self,
        store: StoreRelay,
        health: StoreHealth,
        scheduler: SchedulerContact,
        max_view_age_s: float,
        log: Callable[..., Any],
        metrics: Any,
        row_bytes: int = DEFAULT_ROW_BYTES,
    ) -> None:
        """Serve requests from ``store``, whose rows have up to ``row_bytes``.

        Keys are accepted for ``max_view_age_s`` seconds after the
        configuration was last confirmed.
        """
        self._store = store
        self._jobs = JobStore(store, scheduler)
        self._scheduler = scheduler
        self._max_view_age_s = max_view_age_s
        self._row_bytes = row_bytes
        self._log = log
        self._metrics = metrics
        self._answers = AnswerLog(log, metrics)
        self.health = health
        self.view: CellConfigView | None = None
        self.is_stopping = False
        self.open_count = 0

    @property
    def max_body_bytes(self) -> int:
        """Return the maximum size of a request body."""
        if self.view is None:
            return _DEFAULT_MAX_BODY_BYTES
        return self.view.config.max_body_bytes

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as open while it runs, and record its duration."""
        self.open_count += 1
        began_s = boot_now()
        try:
            yield
        finally:
            self.open_count -= 1
            self._metrics.time('cell_request', boot_now() - began_s)

    def is_ready(self) -> bool:
        """Return whether this instance should get new connections."""
        return (
            not self.is_stopping
            and self._fresh_view() is not None
            and not self.health.is_lost()
        )

    def authorise(
        self,
        host: str,
        path: str,
        key: str,
    ) -> tuple[QueueConfig, str]:
        """Return the queue of a path and the organisation of a key.

        Raises :class:`StaleView`, :class:`NotFound` or :class:`KeyRefused`.
        """
        view = self._fresh_view()
        if view is None:
            self._metrics.count('cell_view_stale')
            self._log(
                'configuration too old', path=path, age_s=self._view_age_s()
            )
            raise StaleView('This instance has no recent configuration.')
        queue = view.match_queue(host.partition(':')[0], path)
        if queue is None:
            raise NotFound(f'There is no queue at {path!r}.')
        organisation = view.organisations_by_key.get(key)
        if organisation is not None:
            return queue, organisation.name
        if queue.is_open:
            return queue, _NO_ORGANISATION
        raise KeyRefused('The key is not known.')

    def submit(
        self,
        queue: QueueConfig,
        organisation: str,
        job_id: str,
        submission: JobSubmission,
        wait_s: float,
    ) -> Outcome:
        """Store a job; a repeated submission of an accepted id succeeds."""
        check_submission(submission)
        stored = StoredJob(
            queue.name,
            queue.service,
            organisation,
            self.health.store_ms(),
            queue.priority,
            queue.max_attempts,
            queue.stretch,
            queue.aim_ms,
            queue.advice,
            submission,
        )
        check_row_size(stored, self._row_bytes)
        ends_s = boot_now() + wait_s - _ANSWER_MARGIN_S
        if self._store.is_lost():
            return self._refuse(job_id, 'the store does not answer')
        rejection = self._reject_if_too_late(
            queue,
            organisation,
            job_id,
            submission,
            ends_s,
        )
        if rejection is not None:
            return rejection
        began_s = boot_now()
        answer = self._jobs.write(job_id, stored, ends_s)
        return self._report_submission(
            job_id, queue, answer, boot_now() - began_s
        )

    def status(
        self,
        queue: QueueConfig,
        job_id: str,
        wait_s: float,
    ) -> Outcome:
        """Return the :class:`JobReport` of a job."""
        question = Question('state', queue.name, job_id, wait_s)
        return self._answers.watch(question, partial(self._status, question))

    def cancel(
        self,
        queue: QueueConfig,
        job_id: str,
        wait_s: float,
    ) -> Outcome:
        """Request a job's cancellation; done once the request is stored."""
        question = Question('cancel', queue.name, job_id, wait_s)
        return self._answers.watch(question, partial(self._cancel, question))

    def pending(self, queue: QueueConfig) -> Outcome:
        """Return the number of a queue's jobs that have not started."""
        status = self._scheduler.status()
        if status is None:
            error = StoreUnreachable('No recent count is known here.')
            return NotRun(error, _RETRY_AFTER_S)
        return Done(status.pending_by_queue.get(queue.name, 0))

    def _status(self, question: Question, tries: StoreTries) -> Outcome:
        job_id = question.job_id
        ends_s = boot_now() + question.wait_s - _ANSWER_MARGIN_S
        key = f'{PROGRESS_PREFIX}{job_id}'
        progress = self._store.read(key, ends_s, tries)
        if isinstance(progress, StoreFailed):
            return _store_unreachable(progress)
        if progress is None:
            job = self._read_job(job_id, ends_s, tries)
            if isinstance(job, StoredJob):
                return Done(JobReport(job.state))
            return job
        try:
            record = msgspec.convert(progress.value, JobProgress)
        except DECODE_ERRORS as error:
            self._log('row unreadable', key=key, why=str(error))
            return self._status_without_progress(job_id, ends_s, tries)
        return Done(JobReport(record.state, record.why))

    def _status_without_progress(
        self,
        job_id: str,
        ends_s: float,
        tries: StoreTries,
    ) -> Outcome:
        """Return the state of a job whose progress cannot be read.

        It has started, so it exists, and runs unless its own row says more.
        """
        job = self._jobs.read(job_id, ends_s, tries)
        if isinstance(job, StoredJob):
            is_final = job.state.is_final
            return Done(JobReport(job.state if is_final else JobState.RUNNING))
        return _store_unreachable(
            job or StoreFailed(None, reason='the progress row is unreadable')
        )

    def _cancel(self, question: Question, tries: StoreTries) -> Outcome:
        job_id = question.job_id
        ends_s = boot_now() + question.wait_s - _ANSWER_MARGIN_S
        job = self._jobs.read(job_id, ends_s, tries)
        if isinstance(job, StoreFailed):
            return _store_unreachable(job)
        if job is not None and job.state.is_final:
            return Done()
        # A write of a job that does not exist may still be on its way, so its
        # cancel is stored as well before it is confirmed.
        answer = self._jobs.cancel(job_id, ends_s, tries)
        self._log(
            'cancel',
            job=job_id,
            queue=question.queue,
            outcome=_outcome_label(answer),
            is_known=job is not None,
        )
        if isinstance(answer, StoreFailed):
            return _store_unreachable(answer)
        if job is None:
            self._metrics.count('cell_cancel_unknown')
            return _no_such_job(job_id)
        return Done()

    def _view_age_s(self) -> float | None:
        """Return the age of the configuration, ``None`` if there is none."""
        if self.view is None:
            return None
        return round(boot_now() - self.view.read_s, _LOG_DIGITS)

    def _fresh_view(self) -> CellConfigView | None:
        view = self.view
        if view is None or boot_now() - view.read_s > self._max_view_age_s:
            return None
        return view

    def _reject_if_too_late(
        self,
        queue: QueueConfig,
        organisation: str,
        job_id: str,
        submission: JobSubmission,
        ends_s: float,
    ) -> NotRun | None:
        """Reject a job that would end too late to be useful.

        An earlier submission of the same id may have been accepted, or its
        write may still take effect. So the rejection is stored as the job's
        row, which detects the first case and prevents the second: a job that
        was reported as rejected must never run.
        """
        status = self._scheduler.status()
        if status is None:
            return None
        rejection = check_admission(
            submission, queue, organisation, status.backlog
        )
        if rejection is None:
            return None
        refusal = StoredJob(
            queue.name,
            queue.service,
            organisation,
            self.health.store_ms(),
            is_refused=True,
        )
        if not isinstance(
            self._jobs.write(job_id, refusal, ends_s),
            Committed,
        ):
            return None
        self._metrics.count('cell_submit_hopeless')
        self._log(
            'job refused',
            job=job_id,
            queue=queue.name,
            organisation=organisation,
            why='too much work waits',
            wait_s=rejection.wait_s,
            useful_s=rejection.useful_s,
            scheduler_epoch=status.epoch,
        )
        return NotRun(
            Overloaded(f'The work that waits takes {rejection.wait_s} s.'),
            rejection.retry_after_s,
        )

    def _read_job(
        self,
        job_id: str,
        ends_s: float,
        tries: StoreTries,
    ) -> StoredJob | NotRun:
        job = self._jobs.read(job_id, ends_s, tries)
        if isinstance(job, StoreFailed):
            return _store_unreachable(job)
        if job is None:
            return _no_such_job(job_id)
        return job

    def _report_submission(
        self,
        job_id: str,
        queue: QueueConfig,
        answer: Committed | CheckFailed | StoreFailed,
        took_s: float,
    ) -> Outcome:
        self._metrics.count(f'cell_submit_{_outcome_label(answer)}')
        self._log(
            'job submitted',
            job=job_id,
            queue=queue.name,
            outcome=_outcome_label(answer),
            took_s=round(took_s, 3),
            config_version=self.view.version if self.view else 0,
        )
        if self._jobs.is_withdrawn(job_id, answer):
            self._log('job refused', job=job_id, why='it was cancelled before')
            return NotRun(JobWithdrawn(f'The job {job_id} was cancelled.'))
        if not isinstance(answer, StoreFailed):
            # A failed check means that the id was accepted before.
            return Done()
        if answer.is_permanent:
            error = TooLarge(f'The store refuses the job: {answer.reason}.')
            return NotRun(error)
        if answer.applied is None:
            return MayHaveRun(
                OutcomeUnknown('The store did not answer in time.'),
            )
        return self._refuse(job_id, answer.reason)

    def _refuse(self, job_id: str, why: str) -> NotRun:
        self._log('job refused', job=job_id, why=why)
        return NotRun(
            StoreUnreachable(f'The job was not accepted: {why}.'),
            _RETRY_AFTER_S,
        )


def _no_such_job(job_id: str) -> NotRun:
    return NotRun(NoSuchJob(f'There is no job {job_id}.'))


def _store_unreachable(failure: StoreFailed) -> NotRun:
    return NotRun(
        StoreUnreachable(f'The store does not answer: {failure.reason}.'),
        _RETRY_AFTER_S,
    )


def _outcome_label(answer: Committed | CheckFailed | StoreFailed) -> str:
    if isinstance(answer, Committed):
        return 'stored'
    if isinstance(answer, CheckFailed):
        return 'known'
    return 'unknown' if answer.applied is None else 'not_stored'
