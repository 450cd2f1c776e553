"""HTTP client of the workers."""

from msgspec.json import Decoder, encode

from apricotlead.protocol.decoding import DECODE_ERRORS
from apricotlead.protocol.workers import (
    WORKER_ROUTES,
    Accepted,
    CallFailed,
    Heartbeat,
    HeartbeatReply,
    LeasesReply,
    RenewLeases,
    WorkerRefused,
    WorkerReply,
    WorkerRequest,
)
from apricotlead.transport.http_pool import (
    Answered,
    HttpCall,
    HttpCaller,
    NeverSent,
)

_OK = 200
_CONFLICT = 409
_UNAVAILABLE = 503
_OUTCOME_HEADER = 'x-apricotlead-outcome'
_NOT_RUN = 'not-run'

_PATHS_BY_TYPE = dict(WORKER_ROUTES)
_REFUSAL_DECODER = Decoder(WorkerRefused)
_ACCEPTED_DECODER = Decoder(Accepted)
_DECODERS_BY_TYPE = {
    Heartbeat: Decoder(HeartbeatReply),
    RenewLeases: Decoder(LeasesReply),
}


class WorkerClient:
    """Sends requests to workers, each once."""

    __slots__ = ('_pool',)

    def __init__(self, pool: HttpCaller) -> None:
        """Send through ``pool``."""
        self._pool = pool

    def call(
        self,
        address: str,
        request: WorkerRequest,
        timeout_s: float = 2.0,
    ) -> WorkerReply:
        """Send a request to the worker at ``address`` (``IP:port``).

        ``timeout_s`` covers the whole call, so for :class:`RenewLeases` it
        must exceed ``wait_s``.
        """
        answer = self._pool.call(
            HttpCall(
                'POST',
                address,
                _PATHS_BY_TYPE[type(request)],
                encode(request),
                timeout_s=timeout_s,
            ),
        )
        if isinstance(answer, Answered):
            return _read(request, answer)
        return CallFailed(sent=not isinstance(answer, NeverSent))


def _read(request: WorkerRequest, answer: Answered) -> WorkerReply:
    decoder = _DECODERS_BY_TYPE.get(type(request), _ACCEPTED_DECODER)
    if answer.status == _CONFLICT:
        decoder = _REFUSAL_DECODER
    elif answer.status != _OK:
        return CallFailed(sent=not _proves_not_run(answer))
    try:
        reply = decoder.decode(answer.body)
    except DECODE_ERRORS:
        return CallFailed(sent=True)
    return reply if _has_amounts_in_range(reply) else CallFailed(sent=True)


def _has_amounts_in_range(reply: WorkerReply) -> bool:
    """Tell whether fractions of the amounts in a reply can be computed."""
    if not isinstance(reply, HeartbeatReply):
        return True
    return reply.capacity.is_in_range() and reply.used.is_in_range()


def _proves_not_run(answer: Answered) -> bool:
    outcome = answer.headers.get(_OUTCOME_HEADER)
    return answer.status == _UNAVAILABLE and outcome == _NOT_RUN
