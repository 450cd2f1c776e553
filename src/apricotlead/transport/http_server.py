"""The HTTP interface for callers and operators, as a WSGI application."""

from collections.abc import Callable, Iterable
from functools import partial
from hmac import compare_digest
from math import ceil
from traceback import format_exception
from typing import Any

import msgspec
from msgspec import Struct

from apricotlead.protocol.config import ChangeRequest
from apricotlead.protocol.decoding import DECODE_ERRORS
from apricotlead.protocol.errors import (
    ApricotleadError,
    BadInput,
    Draining,
    KeyRefused,
    LimitReached,
    NotFound,
    OutcomeUnknown,
    Overloaded,
    TryLater,
    VersionConflict,
)
from apricotlead.protocol.executors import ExecutorAnswered
from apricotlead.protocol.jobs import Submission
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun, Outcome
from apricotlead.protocol.signals import AskStatus, ChangeConfig, SubmitJob
from apricotlead.state.config_view import hash_key

KEY_HEADER = 'HTTP_X_APRICOTLEAD_KEY'
OPERATOR_HEADER = 'HTTP_X_APRICOTLEAD_OPERATOR_KEY'
QUEUE_HEADER = 'HTTP_X_APRICOTLEAD_QUEUE'
IDEMPOTENT_HEADER = 'HTTP_X_APRICOTLEAD_IDEMPOTENT'
DEADLINE_HEADER = 'HTTP_X_APRICOTLEAD_DEADLINE_MS'
MAX_BODY_BYTES = 8 * 1024 * 1024

_MS_PER_S = 1000
_JSON = 'application/json'
_STATUS_LINES = {
    200: '200 OK',
    202: '202 Accepted',
    400: '400 Bad Request',
    403: '403 Forbidden',
    404: '404 Not Found',
    409: '409 Conflict',
    413: '413 Content Too Large',
    429: '429 Too Many Requests',
    500: '500 Internal Server Error',
    502: '502 Bad Gateway',
    503: '503 Service Unavailable',
}
_STATUSES_BY_ERROR: tuple[tuple[type[ApricotleadError], int], ...] = (
    (BadInput, 400),
    (KeyRefused, 403),
    (NotFound, 404),
    (VersionConflict, 409),
    (LimitReached, 429),
    (Overloaded, 429),
    (TryLater, 503),
)


class Request(Struct, frozen=True):
    """A request; ``path_arguments`` are the parts that ``*`` matched."""

    environ: dict[str, Any]
    path_arguments: tuple[str, ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header by its WSGI name, empty if absent."""
        return self.environ.get(name, '')

    def decode(self, body_type: type[Any]) -> Any:
        """Decode the JSON body; raise :class:`BadInput` if it is invalid."""
        try:
            return msgspec.json.decode(self.body, type=body_type)
        except DECODE_ERRORS as error:
            raise BadInput(f'The body is not valid: {error}.') from error


class Response(Struct, frozen=True):
    """A response; ``body`` is sent in one piece with its length."""

    status: int
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = _JSON


Route = Callable[['HttpApplication', Request], Response]

_routes: list[tuple[str, tuple[str, ...], Route]] = []


def route(method: str, path: str) -> Callable[[Route], Route]:
    """Register a handler; ``*`` in ``path`` matches one path part."""
    pattern = tuple(path.strip('/').split('/'))

    def decorate(handler: Route) -> Route:
        _routes.append((method, pattern, handler))
        return handler

    return decorate


class HttpApplication:
    """Maps HTTP to signals and outcomes to HTTP."""

    __slots__ = ('backend', 'draining', 'open_count')

    def __init__(self, backend: Any) -> None:
        """Serve ``backend``: see :class:`apricotlead.entry.EntryInstance`."""
        self.backend = backend
        self.draining = False
        self.open_count = 0

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one request (WSGI)."""
        self.open_count += 1
        try:
            response = self._respond(environ)
        finally:
            self.open_count -= 1
        self.backend.metrics.incr(f'http.{response.status}')
        headers = [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
            *response.headers,
        ]
        if self.draining:
            # Callers must not reuse a connection that is about to be closed.
            headers.append(('Connection', 'close'))
        status = _STATUS_LINES.get(response.status, f'{response.status} Answer')
        start_response(status, headers)
        return (response.body,)

    def _respond(self, environ: dict[str, Any]) -> Response:
        try:
            return self._dispatch(environ)
        except ApricotleadError as error:
            return render_outcome(NotRun(error, _retry_after(error)))
        except Exception as error:
            self.backend.log(
                message_type='apricotlead:request failed',
                path=environ['PATH_INFO'],
                traceback=''.join(format_exception(error)),
            )
            unknown = OutcomeUnknown('The request met an internal error.')
            return render_outcome(MayHaveRun(unknown))

    def _dispatch(self, environ: dict[str, Any]) -> Response:
        parts = tuple(environ['PATH_INFO'].strip('/').split('/'))
        for method, pattern, handler in _routes:
            if method == environ['REQUEST_METHOD'] and _match(pattern, parts):
                path_arguments = tuple(
                    part
                    for part, expected in zip(parts, pattern, strict=True)
                    if expected == '*'
                )
                return handler(
                    self, Request(environ, path_arguments, _body(environ))
                )
        path = environ['PATH_INFO']
        raise NotFound(f'There is no route {path!r}.')


def render_outcome(outcome: Outcome, done_status: int = 200) -> Response:
    """Turn an outcome into a response."""
    match outcome:
        case Done(answer):
            return Response(done_status, msgspec.json.encode(answer))
        case NotRun(error, retry_after_s):
            headers = [('X-Apricotlead-Outcome', 'not-run')]
            headers.extend(_retry_headers(retry_after_s))
            return _error_response(_status_of(error), error, headers)
        case MayHaveRun(error):
            headers = [('X-Apricotlead-Outcome', 'may-have-run')]
            return _error_response(502, error, headers)


def _retry_headers(retry_after_s: float | None) -> list[tuple[str, str]]:
    """Return headers with the retry delay in seconds and milliseconds.

    ``Retry-After`` has no fractions, and a second is long for a lookup.
    """
    if retry_after_s is None:
        return []
    return [
        ('Retry-After', str(ceil(retry_after_s))),
        ('X-Apricotlead-Retry-After-Ms', str(ceil(retry_after_s * _MS_PER_S))),
    ]


def _error_response(
    status: int,
    error: ApricotleadError,
    headers: list[tuple[str, str]],
) -> Response:
    body = msgspec.json.encode(error.report())
    return Response(status, body, tuple(headers))


def _retry_after(error: ApricotleadError) -> float | None:
    return 0.2 if isinstance(error, TryLater) else None


def _status_of(error: ApricotleadError) -> int:
    for error_type, status in _STATUSES_BY_ERROR:
        if isinstance(error, error_type):
            return status
    return 500


def _match(pattern: tuple[str, ...], parts: tuple[str, ...]) -> bool:
    return len(pattern) == len(parts) and all(
        expected in {'*', part}
        for expected, part in zip(pattern, parts, strict=True)
    )


def _body(environ: dict[str, Any]) -> bytes:
    if environ.get('HTTP_TRANSFER_ENCODING'):
        raise BadInput('The body has no Content-Length.')
    try:
        length = int(environ.get('CONTENT_LENGTH') or 0)
    except ValueError as error:
        raise BadInput('The Content-Length is not a number.') from error
    if not 0 <= length <= MAX_BODY_BYTES:
        raise BadInput(f'The body is longer than {MAX_BODY_BYTES} bytes.')
    body = environ['wsgi.input'].read(length)
    if len(body) != length:
        raise BadInput('The body ended before its Content-Length.')
    return body


def _check_operator(application: HttpApplication, request: Request) -> None:
    digest = hash_key(request.header(OPERATOR_HEADER))
    expected = application.backend.operator_key_digest
    if not compare_digest(digest, expected):
        raise KeyRefused('The operator key is not valid.')


def _reject_while_draining(application: HttpApplication) -> None:
    if application.draining:
        raise Draining('This entry instance is being stopped.')


class CancelBody(Struct, frozen=True, forbid_unknown_fields=True):
    """The jobs to cancel."""

    job_ids: tuple[str, ...]


@route('POST', '/v1/jobs')
def _submit(application: HttpApplication, request: Request) -> Response:
    _reject_while_draining(application)
    submission = request.decode(Submission)
    key = request.header(KEY_HEADER)
    outcome = application.backend.ask(
        lambda ticket: SubmitJob(ticket, submission, key),
    )
    return render_outcome(outcome, 202)


@route('GET', '/v1/jobs/*')
def _status(application: HttpApplication, request: Request) -> Response:
    key = request.header(KEY_HEADER)
    outcome = application.backend.ask(
        lambda ticket: AskStatus(ticket, request.path_arguments[0], key),
    )
    return render_outcome(outcome)


@route('POST', '/v1/jobs/cancel')
def _cancel(application: HttpApplication, request: Request) -> Response:
    key = request.header(KEY_HEADER)
    job_ids = request.decode(CancelBody).job_ids
    signals = [partial(_cancel_signal, job_id, key) for job_id in job_ids]
    outcomes = application.backend.ask_all(signals)
    answers = {
        job_id: _outcome_body(outcome)
        for job_id, outcome in zip(job_ids, outcomes, strict=True)
    }
    return Response(200, msgspec.json.encode(answers))


def _cancel_signal(job_id: str, key: str, ticket: int) -> AskStatus:
    return AskStatus(ticket, job_id, key, cancel=True)


def _outcome_body(outcome: Outcome) -> Any:
    match outcome:
        case Done(answer):
            return answer
        case NotRun(error) | MayHaveRun(error):
            return error.report()


@route('POST', '/v1/services/*/lookup')
def _lookup(application: HttpApplication, request: Request) -> Response:
    _reject_while_draining(application)
    outcome = application.backend.look_up(request)
    if isinstance(outcome, Done):
        answer: ExecutorAnswered = outcome.answer
        return Response(
            answer.status,
            answer.body,
            content_type=answer.content_type,
        )
    return render_outcome(outcome)


def lookup_wait_s(request: Request) -> float | None:
    """Return the wait that the caller's deadline header asks for."""
    text = request.header(DEADLINE_HEADER)
    if not text:
        return None
    try:
        wait_s = float(text) / _MS_PER_S
    except ValueError as error:
        raise BadInput(f'The deadline {text!r} is not a number.') from error
    if wait_s <= 0:
        raise BadInput('The deadline must be positive.')
    return wait_s


@route('GET', '/v1/config')
def _read_config(application: HttpApplication, request: Request) -> Response:
    _check_operator(application, request)
    return render_outcome(Done(application.backend.config()))


@route('POST', '/v1/config')
def _change_config(application: HttpApplication, request: Request) -> Response:
    _check_operator(application, request)
    change = request.decode(ChangeRequest)
    outcome = application.backend.ask(
        lambda ticket: ChangeConfig(ticket, change),
    )
    return render_outcome(outcome)


@route('GET', '/v1/state')
def _dump(application: HttpApplication, request: Request) -> Response:
    _check_operator(application, request)
    return Response(200, msgspec.json.encode(application.backend.dump()))


@route('GET', '/v1/health')
def _health(application: HttpApplication, request: Request) -> Response:
    _reject_while_draining(application)
    return render_outcome(Done(application.backend.health()))
