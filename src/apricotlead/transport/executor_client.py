"""Sends service requests to executors over HTTP."""

from uuid import uuid4

from apricotlead.coordination.lookups import ReadClock, SendTo
from apricotlead.protocol.executors import (
    ExecutorAnswered,
    ExecutorClock,
    ExecutorRefused,
    ExecutorResult,
    ExecutorResultUnknown,
)
from apricotlead.transport.http_pool import (
    Answered,
    HttpCall,
    HttpCaller,
    NeverSent,
    retry_after_s,
)

_BOOT_HEADER = 'X-Apricotlead-Boot'
_CLOCK_HEADER = 'x-apricotlead-clock-ms'
_NOT_AFTER_HEADER = 'X-Apricotlead-Not-After-Ms'
_REQUEST_HEADER = 'X-Apricotlead-Request'
_DEADLINE_HEADER = 'X-Apricotlead-Deadline-Ms'
_LENGTH_HEADER = 'x-apricotlead-length'
_OUTSTANDING_HEADER = 'x-apricotlead-outstanding'
_LEAVING_HEADER = 'x-apricotlead-leaving'
_OUTCOME_HEADER = 'x-apricotlead-outcome'
_NOT_RUN = 'not-run'
_MAY_HAVE_RUN = 'may-have-run'
_MS_PER_S = 1000
_DEFAULT_RETRY_AFTER_S = 0.1
# Longer numbers exceed 64 bits.
_MAX_DIGITS = 18


class ExecutorClient:
    """Sends each request once, with a unique identifier.

    An answer is accepted only if it carries the identifier of this request
    and its body has the length that the executor stated, so late or truncated
    answers are never passed on.
    """

    __slots__ = ('_pool',)

    def __init__(self, pool: HttpCaller) -> None:
        """Send through ``pool``."""
        self._pool = pool

    def send(self, step: SendTo, body: bytes) -> ExecutorResult:
        """Send ``body`` to the executor that ``step`` names."""
        request_id = uuid4().hex
        headers = {
            _REQUEST_HEADER: request_id,
            _DEADLINE_HEADER: str(int(step.deadline_s * _MS_PER_S)),
        }
        if step.not_after is not None:
            headers[_BOOT_HEADER] = step.not_after.boot_id
            headers[_NOT_AFTER_HEADER] = str(step.not_after.clock_ms)
        answer = self._pool.call(
            HttpCall(
                'POST',
                step.executor.address,
                '/v1/run',
                body,
                headers,
                step.timeout_s,
            ),
        )
        if isinstance(answer, NeverSent):
            return ExecutorRefused(reachable=False)
        if not isinstance(answer, Answered):
            return ExecutorResultUnknown(answer.reason, answer.is_broken)
        return decode_result(answer, request_id)

    def read_clock(self, step: ReadClock) -> ExecutorResult:
        """Read an executor's clock, without running anything."""
        answer = self._pool.call(
            HttpCall(
                'GET',
                step.executor.address,
                '/v1/clock',
                timeout_s=step.timeout_s,
            ),
        )
        if not isinstance(answer, Answered):
            return ExecutorRefused(reachable=False)
        return ExecutorAnswered(
            answer.status,
            answer.body,
            clock=_clock(answer),
        )


def decode_result(answer: Answered, request_id: str) -> ExecutorResult:
    """Return the result of a request; ``request_id`` must be in the answer."""
    headers = answer.headers
    if headers.get(_REQUEST_HEADER.lower()) != request_id:
        return ExecutorResultUnknown('the answer belongs to another request')
    leaving = _LEAVING_HEADER in headers
    outcome = headers.get(_OUTCOME_HEADER)
    if outcome == _NOT_RUN:
        return ExecutorRefused(
            retry_after_s=retry_after_s(answer, _DEFAULT_RETRY_AFTER_S),
            leaving=leaving,
            clock=_clock(answer),
        )
    if outcome == _MAY_HAVE_RUN:
        return ExecutorResultUnknown('the executor did not finish in time')
    if headers.get(_LENGTH_HEADER) != str(len(answer.body)):
        return ExecutorResultUnknown('the answer is not whole')
    return ExecutorAnswered(
        answer.status,
        answer.body,
        headers.get('content-type', 'application/octet-stream'),
        _outstanding_count(headers.get(_OUTSTANDING_HEADER, '')),
        leaving,
        _clock(answer),
    )


def _outstanding_count(text: str) -> int:
    """Return the number in a header, 0 if it is absent or malformed."""
    return int(text) if _is_count(text) else 0


def _clock(answer: Answered) -> ExecutorClock | None:
    boot_id = answer.headers.get(_BOOT_HEADER.lower())
    clock_ms = answer.headers.get(_CLOCK_HEADER, '')
    if boot_id is None or not _is_count(clock_ms):
        return None
    return ExecutorClock(boot_id, int(clock_ms))


def _is_count(text: str) -> bool:
    is_number = text.isascii() and text.isdecimal()
    return is_number and len(text) <= _MAX_DIGITS
