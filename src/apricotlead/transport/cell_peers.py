"""Calls between the entry instances of a cell, over HTTP.

A follower keeps a call open to the scheduler: if the scheduler's process dies,
the connection is closed and the follower detects it at once. A pynng socket
would hide this, since it reconnects automatically.
"""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from msgspec.structs import replace

from apricotlead.protocol.cell_peers import (
    AdviceQuestion,
    FollowerCall,
    JobNotice,
    RelayedCall,
    SchedulerStatus,
)
from apricotlead.protocol.cell_workers import AdviceAnswer
from apricotlead.protocol.decoding import DECODE_ERRORS, VALUE_DECODE_ERRORS
from apricotlead.protocol.table import Row, StoreReply
from apricotlead.transport.http_pool import Answered, HttpCall, HttpCaller

_STATUS_PATH = '/v1/cell/scheduler'
_ADVICE_PATH = '/v1/cell/advice'
_JOB_PATH = '/v1/cell/job'
_STORE_PATH = '/v1/cell/store'
# Network round trip to an instance.
_ADVICE_ROUND_TRIP_S = 0.05
# By then the change feed usually delivers the row.
_NOTICE_TIMEOUT_S = 0.5
# A peer is told the time that is left in milliseconds.
_TIMEOUT_DIGITS = 3
# A peer answers in 50 ms, with what a healthy store takes for its call.
_OVERDUE_S = 0.2

_status_decoder = msgspec.json.Decoder(SchedulerStatus)
_follower_decoder = msgspec.json.Decoder(FollowerCall)
_question_decoder = msgspec.json.Decoder(AdviceQuestion)
_relayed_decoder = msgspec.json.Decoder(RelayedCall)
_store_decoder = msgspec.json.Decoder(StoreReply)
_notice_decoder = msgspec.json.Decoder(JobNotice)
_answer_decoder = msgspec.json.Decoder(AdviceAnswer)
_encoder = msgspec.json.Encoder()


class PeerClient:
    """Calls other entry instances."""

    __slots__ = ('_pool',)

    def __init__(self, pool: HttpCaller) -> None:
        """Call through ``pool``."""
        self._pool = pool

    def watch(
        self,
        address: str,
        call: FollowerCall,
        timeout_s: float,
    ) -> SchedulerStatus | None:
        """Wait for the scheduler's next status; ``None`` without an answer."""
        answer = self._pool.call(
            HttpCall(
                'POST',
                address,
                _STATUS_PATH,
                _encoder.encode(call),
                timeout_s=timeout_s,
                overdue_s=call.hold_s + _OVERDUE_S,
            ),
        )
        return _decode(answer, _status_decoder)

    def announce(self, address: str, row: Row) -> bool:
        """Send the scheduler a row; return whether it was accepted."""
        notice = JobNotice(row.key, row.version, row.value)
        answer = self._pool.call(
            HttpCall(
                'POST',
                address,
                _JOB_PATH,
                _encoder.encode(notice),
                timeout_s=_NOTICE_TIMEOUT_S,
                overdue_s=_OVERDUE_S,
            ),
        )
        return isinstance(answer, Answered) and answer.status == 200

    def relay(
        self,
        address: str,
        call: RelayedCall,
        timeout_s: float,
    ) -> StoreReply | None:
        """Call the store through an instance; ``None`` without an answer."""
        answer = self._pool.call(
            HttpCall(
                'POST',
                address,
                _STORE_PATH,
                _encoder.encode(_timed(call, timeout_s)),
                timeout_s=timeout_s,
                overdue_s=_OVERDUE_S,
            ),
        )
        return _decode(answer, _store_decoder)

    def advise(
        self,
        address: str,
        question: AdviceQuestion,
    ) -> AdviceAnswer | None:
        """Ask for advice through an instance; ``None`` without an answer."""
        answer = self._pool.call(
            HttpCall(
                'POST',
                address,
                _ADVICE_PATH,
                _encoder.encode(question),
                timeout_s=question.timeout_s + _ADVICE_ROUND_TRIP_S,
            ),
        )
        return _decode(answer, _answer_decoder)


class PeerApplication:
    """Answers other entry instances (WSGI).

    ``watch(call)`` waits for a status change of the scheduler that runs here
    and returns its status; ``apply_row(row)`` returns whether that scheduler
    accepted a row; ``call_store(call)`` calls the store for a peer;
    ``advise(question)`` asks for advice; ``log(kind, **fields)`` logs calls
    that cannot be decoded.
    """

    __slots__ = ('_advise', '_apply_row', '_call_store', '_log', '_watch')

    def __init__(
        self,
        watch: Callable[[FollowerCall], SchedulerStatus],
        apply_row: Callable[[Row], bool],
        call_store: Callable[[RelayedCall], StoreReply],
        advise: Callable[[AdviceQuestion], AdviceAnswer | None],
        log: Callable[..., Any],
    ) -> None:
        """Answer calls with these functions."""
        self._log = log
        self._watch = watch
        self._apply_row = apply_row
        self._call_store = call_store
        self._advise = advise

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one call."""
        try:
            body = self._answer(environ)
        except VALUE_DECODE_ERRORS as error:
            # The caller is another program, or an instance of another version.
            path = environ['PATH_INFO']
            self._log('peer call unreadable', path=path, why=str(error))
            status, body = '400 Bad Request', b''
        else:
            status = '404 Not Found' if body is None else '200 OK'
            body = body or b''
        start_response(status, [('Content-Length', str(len(body)))])
        return (body,)

    def _answer(self, environ: dict[str, Any]) -> bytes | None:
        path = environ['PATH_INFO']
        if path == _STATUS_PATH:
            watching = _follower_decoder.decode(_body(environ))
            return _encoder.encode(self._watch(watching))
        if path == _JOB_PATH:
            notice = _notice_decoder.decode(_body(environ))
            row = Row(notice.key, notice.version, notice.value)
            return b'' if self._apply_row(row) else None
        if path == _STORE_PATH:
            call = _relayed_decoder.decode(_body(environ))
            return _encoder.encode(self._call_store(call))
        if path == _ADVICE_PATH:
            question = _question_decoder.decode(_body(environ))
            answer = self._advise(question)
            return None if answer is None else _encoder.encode(answer)
        return None


def _timed(call: RelayedCall, timeout_s: float) -> RelayedCall:
    return replace(call, timeout_s=round(timeout_s, _TIMEOUT_DIGITS))


def _body(environ: dict[str, Any]) -> bytes:
    return environ['wsgi.input'].read(int(environ.get('CONTENT_LENGTH') or 0))


def _decode(answer: Any, decoder: Any) -> Any:
    if not isinstance(answer, Answered) or answer.status != 200:
        return None
    try:
        return decoder.decode(answer.body)
    except DECODE_ERRORS:
        # An instance of another version is treated as not answering.
        return None
