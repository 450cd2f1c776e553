"""Queries to peers about jobs whose journal another session owns."""

from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator

from msgspec import Struct

from apricotlead.coordination.component import route_to_session
from apricotlead.protocol.errors import (
    ApricotleadError,
    ErrorReport,
    NotFound,
    OutcomeUnknown,
    OwnerUnreachable,
    StoreUnreachable,
)
from apricotlead.protocol.jobs import JobStatus
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun, Outcome
from apricotlead.protocol.peers import AskJob, JobAnswer
from apricotlead.protocol.signals import Answer, FindJob, Signal
from apricotlead.state.job_table import journal_of_job
from apricotlead.state.session_view import SessionView

_ERRORS_BY_KIND: dict[str, type[ApricotleadError]] = {
    error.kind: error for error in (NotFound, StoreUnreachable)
}


class QuestionSettings(Struct, frozen=True):
    """Times in seconds; only the known owner is asked for ``alone_s``.

    ``known_owners`` limits the cache of journal owners.
    """

    timeout_s: float = 2.0
    alone_s: float = 0.5
    retry_after_s: float = 1.0
    known_owners: int = 10_000


class _Question(Struct):
    find: FindJob
    # The answer to a repeated submission if no peer answers.
    fallback: JobStatus | None = None
    asked_ids: tuple[str, ...] = ()


class OwnerQuestions:
    """Asks peers about jobs, and caches which peer owns a journal.

    Each peer is asked at most once per question. A session that does not own
    the journal does not answer, because the journal may just be changing its
    owner; so an unknown job cannot be told from an unreachable owner.
    """

    __slots__ = (
        '_escalating',
        '_expiring',
        '_next_number',
        '_owners_by_journal',
        '_questions_by_id',
        '_settings',
        '_view',
    )

    def __init__(self, settings: QuestionSettings, view: SessionView) -> None:
        """Start without questions."""
        self._settings = settings
        self._view = view
        self._next_number = 0
        self._questions_by_id: dict[str, _Question] = {}
        self._owners_by_journal: OrderedDict[str, str] = OrderedDict()
        # Both waits are constant, so questions become due in order.
        self._expiring: deque[tuple[float, str]] = deque()
        self._escalating: deque[tuple[float, str]] = deque()

    def ask(
        self,
        find: FindJob,
        now: float,
        fallback: JobStatus | None = None,
    ) -> Iterator[Signal]:
        """Ask the known owner of the job's journal, otherwise all peers."""
        question = _Question(find, fallback)
        owner = self._owners_by_journal.get(journal_of_job(find.job_id))
        is_known = owner in self._view.peers_by_id
        targets = (owner,) if is_known else tuple(self._view.peers_by_id)
        if not targets:
            yield Answer(find.ticket, self._outcome_without_answer(question))
            return
        ask_id = self._next_ask_id()
        self._questions_by_id[ask_id] = question
        self._expiring.append((now + self._settings.timeout_s, ask_id))
        if is_known:
            self._escalating.append((now + self._settings.alone_s, ask_id))
        yield from self._send(ask_id, question, targets)

    def record_answer(self, answer: JobAnswer) -> Iterator[Signal]:
        """Forward the first answer; a late or duplicate one is dropped."""
        question = self._questions_by_id.pop(answer.ask_id, None)
        if question is None:
            return
        self._cache_owner(journal_of_job(question.find.job_id), answer.owner)
        yield Answer(question.find.ticket, _outcome(answer))

    def repeat_due(self, now: float) -> Iterator[Signal]:
        """Ask the other peers if the known owner has not answered in time.

        Questions that no peer has answered in time are answered here.
        """
        for escalating_id in _pop_due(self._escalating, now):
            question = self._questions_by_id.get(escalating_id)
            if question is not None:
                yield from self._ask_other_peers(escalating_id, question)
        for expired_id in _pop_due(self._expiring, now):
            expired = self._questions_by_id.pop(expired_id, None)
            if expired is not None:
                yield Answer(
                    expired.find.ticket, self._outcome_without_answer(expired)
                )

    def open_count(self) -> int:
        """Return the number of unanswered questions."""
        return len(self._questions_by_id)

    def _next_ask_id(self) -> str:
        self._next_number += 1
        session_id = self._view.session_id
        return f'{session_id}-{self._next_number}'

    def _ask_other_peers(
        self, ask_id: str, question: _Question
    ) -> Iterator[Signal]:
        journal_id = journal_of_job(question.find.job_id)
        self._owners_by_journal.pop(journal_id, None)
        others = set(self._view.peers_by_id).difference(question.asked_ids)
        yield from self._send(ask_id, question, sorted(others))

    def _send(
        self,
        ask_id: str,
        question: _Question,
        session_ids: Iterable[str],
    ) -> Iterator[Signal]:
        find = question.find
        message = AskJob(
            ask_id,
            self._view.session_id,
            find.job_id,
            find.team,
            find.cancel,
        )
        for session_id in session_ids:
            question.asked_ids += (session_id,)
            yield from route_to_session(self._view, session_id, message)

    def _cache_owner(self, journal_id: str, owner: str) -> None:
        if not owner:
            return
        self._owners_by_journal[journal_id] = owner
        self._owners_by_journal.move_to_end(journal_id)
        if len(self._owners_by_journal) > self._settings.known_owners:
            self._owners_by_journal.popitem(last=False)

    def _outcome_without_answer(self, question: _Question) -> Outcome:
        if question.fallback is not None:
            return Done(question.fallback)
        job_id = question.find.job_id
        if question.find.cancel and question.asked_ids:
            # The owner may have cancelled the job before its answer was lost.
            return MayHaveRun(
                OutcomeUnknown(f'Nobody confirmed the end of job {job_id}.'),
            )
        error = OwnerUnreachable(f'The owner of job {job_id} is silent.')
        return NotRun(error, self._settings.retry_after_s)


def error_from(report: ErrorReport) -> ApricotleadError:
    """Return the typed error that a peer reported."""
    kind = _ERRORS_BY_KIND.get(report.kind, ApricotleadError)
    return kind(report.message)


def _outcome(answer: JobAnswer) -> Outcome:
    if answer.error is not None:
        return NotRun(error_from(answer.error), answer.retry_after_s)
    return Done(answer.status)


def _pop_due(waiting: deque[tuple[float, str]], now: float) -> Iterator[str]:
    while waiting and waiting[0][0] <= now:
        yield waiting.popleft()[1]
