"""Log lines and counters for states and cancels without a timely answer."""

from collections.abc import Callable
from typing import Any

from msgspec import Struct

from apricotlead.protocol.errors import NoSuchJob
from apricotlead.protocol.outcomes import Done, NotRun, Outcome
from apricotlead.protocol.table import StoreFailed
from apricotlead.transport.boot_clock import boot_now

# An outage makes every request fail for the same reason.
_MAX_LINES_PER_S = 5
_LATE_FRACTION = 0.5
# The path of a call that was not relayed by a peer.
DIRECT = 'direct'
_LOG_DIGITS = 3


class Question(Struct, frozen=True):
    """A caller's request about a job: ``asked`` is ``state`` or ``cancel``."""

    asked: str
    queue: str
    job_id: str
    wait_s: float


class StoreTry:
    """A call to the store that was made for a request."""

    __slots__ = ('_answer', '_began_s', '_call', '_path', '_took_s')

    def __init__(self, kind: str, key: str, path: str) -> None:
        """Begin a call; ``path`` is a peer's address or DIRECT."""
        self._call = (kind, key)
        self._path = path
        self._began_s = boot_now()
        self._answer: Any = None
        self._took_s: float | None = None

    def end(self, answer: Any) -> float:
        """Record the answer; return how long the call took."""
        self._answer = answer
        self._took_s = boot_now() - self._began_s
        return self._took_s

    def fields(self) -> dict[str, Any]:
        """Return the call as fields of a log line."""
        took_s, outcome = self._took_s, _outcome(self._answer)
        if took_s is None:
            took_s, outcome = boot_now() - self._began_s, 'pending'
        kind, key = self._call
        return {
            'call': f'{kind} {_table(key)}',
            'path': self._path,
            'outcome': outcome,
            'took_s': round(took_s, _LOG_DIGITS),
        }


class StoreTries:
    """The store calls that were made for a request that began at ``began_s``."""

    __slots__ = ('_tries', 'began_s')

    def __init__(self) -> None:
        """Start without calls."""
        self.began_s = boot_now()
        self._tries: list[StoreTry] = []

    def begin(self, kind: str, key: str, path: str) -> StoreTry:
        """Add a call of a kind that begins now."""
        store_try = StoreTry(kind, key, path)
        self._tries.append(store_try)
        return store_try

    def fields(self) -> list[dict[str, Any]]:
        """Return the calls as fields of a log line."""
        return [store_try.fields() for store_try in self._tries]


class LineLimit:
    """Limits log lines to a number per second, and counts the others."""

    __slots__ = ('_began_s', '_count', '_max_per_s', '_suppressed')

    def __init__(self, max_per_s: int = _MAX_LINES_PER_S) -> None:
        """Start without lines."""
        self._max_per_s = max_per_s
        self._began_s = float('-inf')
        self._count = 0
        self._suppressed = 0

    def take(self) -> int | None:
        """Return how many lines were suppressed since the last one.

        ``None`` if this line is to be suppressed as well.
        """
        now = boot_now()
        if now - self._began_s >= 1:
            self._began_s = now
            self._count = 0
        if self._count >= self._max_per_s:
            self._suppressed += 1
            return None
        self._count += 1
        suppressed = self._suppressed
        self._suppressed = 0
        return suppressed


class AnswerLog:
    """Reports questions that are answered late, or without a state."""

    __slots__ = ('_limit', '_log', '_metrics')

    def __init__(self, log: Callable[..., Any], metrics: Any) -> None:
        """Report to ``log`` and ``metrics``."""
        self._log = log
        self._metrics = metrics
        self._limit = LineLimit()

    def watch(
        self,
        question: Question,
        answer: Callable[[StoreTries], Outcome],
    ) -> Outcome:
        """Return ``answer(tries)``; report it if it is late or no state."""
        tries = StoreTries()
        began_s = boot_now()
        try:
            outcome = answer(tries)
        except Exception as error:
            self._report(
                'unanswered', question, boot_now() - began_s, tries, repr(error)
            )
            raise
        took_s = boot_now() - began_s
        if not _is_answered(outcome):
            why = str(outcome.error)
            self._report('unanswered', question, took_s, tries, why)
        elif took_s > question.wait_s * _LATE_FRACTION:
            self._report('late', question, took_s, tries, '')
        return outcome

    def _report(
        self,
        kind: str,
        question: Question,
        took_s: float,
        tries: StoreTries,
        why: str,
    ) -> None:
        self._metrics.count(f'cell_state_{kind}')
        suppressed = self._limit.take()
        if suppressed is None:
            return
        self._log(
            f'state {kind}',
            job=question.job_id,
            queue=question.queue,
            asked=question.asked,
            why=why,
            tries=tries.fields(),
            took_s=round(took_s, _LOG_DIGITS),
            wait_s=question.wait_s,
            suppressed=suppressed,
        )


def _is_answered(outcome: Outcome) -> bool:
    if isinstance(outcome, NotRun):
        return isinstance(outcome.error, NoSuchJob)
    return isinstance(outcome, Done)


def _table(key: str) -> str:
    return key.partition('/')[0]


def _outcome(answer: Any) -> str:
    if isinstance(answer, StoreFailed):
        return answer.reason or 'failed'
    return 'answered'
