"""WSGI applications for the platform's callers and readiness probe."""

import json
from collections.abc import Callable, Iterable
from math import ceil
from typing import Any

import msgspec
from msgspec import Struct

from apricotlead.protocol.cell_jobs import JobReport, JobSubmission, StepSpec
from apricotlead.protocol.decoding import DECODE_ERRORS
from apricotlead.protocol.errors import (
    ApricotleadError,
    BadInput,
    KeyRefused,
    NoSuchJob,
    NotFound,
    Overloaded,
)
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun, Outcome
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.value_types import Amount, Number

_MS_PER_S = 1000
_DEFAULT_WAIT_MS = 3000
# The default applies to longer waits.
_MAX_WAIT_MS = 600000
_JOB_ID_LENGTH = 16
_HEX_DIGITS = frozenset('0123456789abcdef')
_READY_PATH = '/api/ready'
_STATUS_LINES = {
    200: '200 OK',
    400: '400 Bad Request',
    401: '401 Unauthorized',
    404: '404 Not Found',
    405: '405 Method Not Allowed',
    410: '410 Gone',
    413: '413 Content Too Large',
    429: '429 Too Many Requests',
    503: '503 Service Unavailable',
    504: '504 Gateway Timeout',
}


class _StepBody(Struct, rename='pascal'):
    count: Amount
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0
    estimated_ms: Number = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    # The rack that stores the step's input data.
    affinity: str = ''
    max_per_server: Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: Number = 0
    fills: bool = False
    may_miss: Amount | None = None


class _JobBody(Struct, rename='pascal'):
    # Passed to the workers unchanged; the scheduler does not interpret it.
    spec: str
    steps: tuple[_StepBody, ...]
    # Counts all occurrences, including the first one.
    repeats: Amount = 0
    first_ms: Number = 0
    interval_ms: Number = 0


_job_decoder = msgspec.json.Decoder(_JobBody)


class Call(Struct, frozen=True):
    """A caller's request; the body is not read yet.

    ``read_body`` takes the maximum length in bytes. ``wait_s`` is how long
    the caller waits for the answer.
    """

    method: str
    host: str
    path: str
    key: str
    wait_s: float
    read_body: Callable[[int], bytes]


class Response(Struct, frozen=True):
    """An HTTP status, a body of JSON builtins and the retry delay."""

    status: int
    body: Any = None
    retry_after_s: float | None = None


class CallerApplication:
    """Translates callers' HTTP requests into request handler calls.

    ``request_handler`` is a
    :class:`apricotlead.transport.cell_request_handler.CellRequestHandler`.
    """

    __slots__ = ('_request_handler',)

    def __init__(self, request_handler: Any) -> None:
        """Serve ``request_handler``."""
        self._request_handler = request_handler

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one request (WSGI)."""
        with self._request_handler.track_request():
            response = self._respond(environ)
        body = (
            b'' if response.body is None else json.dumps(response.body).encode()
        )
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ]
        if response.retry_after_s is not None:
            headers.append(('Retry-After', str(ceil(response.retry_after_s))))
        if self._request_handler.is_stopping:
            headers.append(('Connection', 'close'))
        status_line = _STATUS_LINES.get(
            response.status, f'{response.status} Answer'
        )
        start_response(status_line, headers)
        return (body,)

    def _respond(self, environ: dict[str, Any]) -> Response:
        call = _decode_call(environ)
        try:
            return self._dispatch(call)
        except ApricotleadError as error:
            return _error_response(error, None)

    def _dispatch(self, call: Call) -> Response:
        queue, organisation = self._request_handler.authorise(
            call.host,
            call.path,
            call.key,
        )
        job_id = call.path.removeprefix(queue.path_prefix)
        if call.method == 'GET' and not job_id:
            return _pending_response(self._request_handler.pending(queue))
        if len(job_id) != _JOB_ID_LENGTH or not _HEX_DIGITS.issuperset(job_id):
            # An unread body would make the connection unusable.
            call.read_body(self._request_handler.max_body_bytes)
            if call.method == 'POST':
                raise BadInput('The job id must be 16 hexadecimal digits.')
            return Response(410)
        if call.method == 'POST':
            body = call.read_body(self._request_handler.max_body_bytes)
            outcome = self._request_handler.submit(
                queue,
                organisation,
                job_id,
                decode_submission(body),
                call.wait_s,
            )
            return _outcome_response(outcome)
        if call.method == 'GET':
            outcome = self._request_handler.status(queue, job_id, call.wait_s)
            return _outcome_response(outcome, _render_report)
        if call.method == 'DELETE':
            outcome = self._request_handler.cancel(queue, job_id, call.wait_s)
            return _outcome_response(outcome)
        return Response(405)


class ReadyApplication:
    """Answers the platform's readiness probe."""

    __slots__ = ('_request_handler',)

    def __init__(self, request_handler: Any) -> None:
        """Report the readiness of ``request_handler``."""
        self._request_handler = request_handler

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer 200 if ready, else 503 (WSGI)."""
        is_probe_path = environ['PATH_INFO'] == _READY_PATH
        status = 404
        if is_probe_path:
            status = 200 if self._request_handler.is_ready() else 503
        start_response(_STATUS_LINES[status], [('Content-Length', '0')])
        return ()


def decode_submission(body: bytes) -> JobSubmission:
    """Decode a submitted job; raise :class:`BadInput` with the reason."""
    try:
        decoded = _job_decoder.decode(body)
    except DECODE_ERRORS as error:
        raise BadInput(f'The body is not a job: {error}.') from error
    return JobSubmission(
        decoded.spec,
        tuple(_decode_step(step) for step in decoded.steps),
        decoded.repeats,
        decoded.first_ms,
        decoded.interval_ms,
    )


def _decode_step(step: _StepBody) -> StepSpec:
    return StepSpec(
        step.count,
        Resources(step.cpu, step.mem_mb, step.gpu),
        step.estimated_ms,
        step.after,
        step.checkpoints,
        step.gang,
        step.same_rack,
        step.required_label,
        step.affinity,
        step.max_per_server,
        step.speculative,
        step.long_running,
        step.image,
        step.target_ms,
        step.fills,
        step.may_miss,
    )


def _wait_ms(environ: dict[str, Any]) -> float:
    """Return how long the caller waits, the default if absent or invalid."""
    try:
        wait_ms = float(environ.get('HTTP_X_DEADLINE_MS') or _DEFAULT_WAIT_MS)
    except ValueError:
        return _DEFAULT_WAIT_MS
    return wait_ms if 0 <= wait_ms <= _MAX_WAIT_MS else _DEFAULT_WAIT_MS


def _body_length(environ: dict[str, Any]) -> int:
    try:
        length = int(environ.get('CONTENT_LENGTH') or 0)
    except ValueError as error:
        raise BadInput('The Content-Length is not a number.') from error
    if length < 0:
        raise BadInput('The Content-Length is negative.')
    return length


def _decode_call(environ: dict[str, Any]) -> Call:
    stream = environ['wsgi.input']

    def read_body(max_bytes: int) -> bytes:
        length = _body_length(environ)
        if length > max_bytes:
            raise BadInput(f'The body is longer than {max_bytes} bytes.')
        # A chunked body has no length.
        body = stream.read(length or max_bytes + 1)
        if len(body) > max_bytes:
            raise BadInput(f'The body is longer than {max_bytes} bytes.')
        return body

    return Call(
        environ['REQUEST_METHOD'],
        environ.get('HTTP_HOST', ''),
        environ['PATH_INFO'],
        environ.get('HTTP_API_KEY', ''),
        _wait_ms(environ) / _MS_PER_S,
        read_body,
    )


def _pending_response(outcome: Outcome) -> Response:
    return _outcome_response(outcome, lambda count: {'Pending': count})


def _render_report(report: JobReport) -> dict[str, str]:
    """Return the body for a job's state, with the reason of a failure."""
    body = {'State': str(report.state)}
    if report.why:
        body['Error'] = report.why
    return body


def _outcome_response(
    outcome: Outcome,
    render: Callable[[Any], Any] | None = None,
) -> Response:
    match outcome:
        case Done(answer):
            return Response(200, {} if render is None else render(answer))
        case NotRun(error, retry_after_s):
            return _error_response(error, retry_after_s)
        case MayHaveRun(error):
            return Response(504, {'Error': str(error)})


def _error_response(
    error: ApricotleadError,
    retry_after_s: float | None,
) -> Response:
    status = 503
    if isinstance(error, BadInput):
        status = 400
    elif isinstance(error, KeyRefused):
        status = 401
    elif isinstance(error, NotFound):
        status = 410 if isinstance(error, NoSuchJob) else 404
    elif isinstance(error, Overloaded):
        status = 429
    return Response(status, {'Error': str(error)}, retry_after_s)
