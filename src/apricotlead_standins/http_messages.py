"""HTTP requests and responses as values, so that logic needs no sockets."""

from collections.abc import Callable
from typing import Any, Union

from msgspec import MsgspecError, Struct
from msgspec.json import Decoder, encode

BOOT_HEADER = 'X-Apricotlead-Boot'
CLOCK_HEADER = 'X-Apricotlead-Clock-Ms'
DATACENTRE_HEADER = 'x-apricotlead-datacentre'
DEADLINE_HEADER = 'x-apricotlead-deadline-ms'
LEAVING_HEADER = 'X-Apricotlead-Leaving'
LENGTH_HEADER = 'X-Apricotlead-Length'
NOT_AFTER_HEADER = 'x-apricotlead-not-after-ms'
OUTCOME_HEADER = 'X-Apricotlead-Outcome'
OUTSTANDING_HEADER = 'X-Apricotlead-Outstanding'
REQUEST_HEADER = 'X-Apricotlead-Request'
RETRY_HEADER = 'Retry-After'

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
TOO_LARGE = 413
TOO_MANY = 429
INTERNAL = 500
UNAVAILABLE = 503
TIMED_OUT = 504


class Request(Struct, frozen=True):
    """An HTTP request; the names in ``headers`` are in lower case.

    ``path`` is percent-decoded and has no query string.
    """

    method: str
    path: str
    body: bytes = b''
    headers: dict[str, str] = {}


class Response(Struct, frozen=True):
    """An HTTP response."""

    status: int = OK
    body: bytes = b''
    headers: dict[str, str] = {}


class NoResponse(Struct, frozen=True):
    """Closes the connection without a response."""


class Parked(Struct, frozen=True):
    """A request whose response is still pending.

    ``resume(now)`` is called at ``due_s`` (monotonic seconds), or earlier when
    the state changed; it may return another :class:`Parked`.
    """

    due_s: float
    resume: Callable[[float], Union[Response, NoResponse, 'Parked']]


Result = Response | NoResponse | Parked


class BadRequest(Exception):
    """Raised for a malformed request; the message describes the error."""


def json_response(
    content: Any,
    status: int = OK,
    headers: dict[str, str] | None = None,
) -> Response:
    """Return a response whose body is ``content`` encoded as JSON."""
    return Response(status, encode(content), headers or {})


def error_response(
    status: int,
    kind: str,
    message: str,
    headers: dict[str, str] | None = None,
) -> Response:
    """Return a response that describes an error."""
    report = {'kind': kind, 'message': message}
    return json_response(report, status, headers)


def retry_headers(seconds: float) -> dict[str, str]:
    """Return the ``Retry-After`` header, in seconds.

    Fractions are kept: at 400 writes per second, rounding up to a whole second
    would delay callers far too long.
    """
    return {RETRY_HEADER: f'{seconds:.3f}'}


def decode_body(request: Request, decoder: Decoder[Any]) -> Any:
    """Decode the body; raise :class:`BadRequest` if it is invalid."""
    try:
        return decoder.decode(request.body)
    except MsgspecError as error:
        raise BadRequest(str(error)) from error
