"""The platform's workers: orders, registrations and placement advice."""

from typing import Any, Self

import msgspec
from msgspec import Struct

from apricotlead.protocol.addresses import is_callable_address
from apricotlead.protocol.cell_workers import (
    AdviceAnswer,
    EndedTask,
    HoldOrder,
    HoldReport,
    OrderReply,
    PaceOrder,
    Refusal,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from apricotlead.protocol.decoding import DECODE_ERRORS
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Row
from apricotlead.protocol.value_types import Amount, Number
from apricotlead.transport.http_pool import (
    Answered,
    HttpCall,
    HttpCaller,
    HttpPool,
    HttpResult,
    NeverSent,
)

WORKERS_PREFIX = 'servers//'
# Most of the platform's names are the field names in Pascal case.
_PASCAL = 'pascal'
_ORDER_TIMEOUT_S = 0.8
# A worker lists further ends once these are acknowledged.
_MAX_ENDS_PER_REPORT = 500
# A worker accepts 64 connections and resets further ones. Former schedulers
# that lost power leave theirs open, so that each instance may have only a few:
# one for holds and some for orders, which a silent worker leaves unanswered.
_HOLD_CONNECTIONS = 1
_ORDER_CONNECTIONS = 3
# A burst of starts for one worker; beyond it, other workers are sooner free.
_START_QUEUE_S = 1.0
# Stops are repeated after about this long, so a longer wait for a connection to
# a silent worker would only pile them up.
_STOP_QUEUE_S = 0.4
# The advice service queues the calls of each instance.
_IDLE_ADVICE_CONNECTIONS = 16
_MS_PER_S = 1000
# A worker in any other state is not used.
_IS_DRAINING_BY_STATE = {'ready': False, 'draining': True}
_REFUSALS_BY_REASON = {
    'fence': Refusal.FENCED,
    'old': Refusal.OLD_RUN,
    'late': Refusal.LATE,
    'room': Refusal.NO_ROOM,
    'ticket': Refusal.BAD_TICKET,
}
_REFUSALS_BY_STATUS = {
    400: Refusal.MALFORMED,
    421: Refusal.OTHER_LIFE,
    429: Refusal.UNHEALTHY,
    503: Refusal.UNHEALTHY,
}


class ResourcesBody(Struct, rename=_PASCAL):
    """An amount of resources; ``Gpu`` counts accelerators."""

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0

    def to_resources(self) -> Resources:
        """Convert to the type of the protocol package."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class _WorkerBody(Struct, rename=_PASCAL):
    service: str
    address: str
    zone: str
    state: str
    capacity: ResourcesBody
    labels: list[str] = []
    drain_remaining_ms: Number = 0
    # Start time in Unix milliseconds; the only name in lower case.
    born: Number = msgspec.field(name='born', default=0)


class _OrderBody(Struct, rename=_PASCAL, omit_defaults=True):
    task: str
    run: int
    # The scheduler's epoch.
    fencing_token: int
    spec: str = ''
    # A time on the worker's clock in milliseconds.
    deadline_ms: int = 0
    checkpoint: str = ''
    ticket: str = ''


class _PaceBody(Struct, rename=_PASCAL):
    task: str
    run: int
    fencing_token: int
    percent: int


class _HoldBody(Struct, rename=_PASCAL, omit_defaults=True):
    fencing_token: int
    acked_through: int = msgspec.field(name='AckedThrough')
    deadline_ms: int | None = None
    wait_ms: int = 0


class _ReportBody(Struct, rename=_PASCAL):
    clock_ms: Number
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    born: Number = msgspec.field(name='born', default=0)


class _ReplyBody(Struct, rename=_PASCAL):
    clock_ms: Number = 0
    reason: str = ''
    born: Number = msgspec.field(name='born', default=0)


class _AdviceRequestBody(Struct, rename=_PASCAL):
    step: str
    workers: tuple[str, ...]


class _AdviceAnswerBody(Struct, rename=_PASCAL):
    # Pairs of worker id and ticket.
    good: list[tuple[str, str]]
    valid_ms: Number = 0


_encoder = msgspec.json.Encoder()
_reply_decoder = msgspec.json.Decoder(_ReplyBody)
_report_decoder = msgspec.json.Decoder(_ReportBody)
_advice_decoder = msgspec.json.Decoder(_AdviceAnswerBody)


def decode_worker(row: Row) -> WorkerEntry | None:
    """Decode a registration; return ``None`` if it is no usable worker.

    Other programs also write entries, with any values in them.
    """
    try:
        body = msgspec.convert(row.value, _WorkerBody)
    except msgspec.ValidationError:
        return None
    worker_id = row.key.removeprefix(WORKERS_PREFIX)
    is_known_state = body.state in _IS_DRAINING_BY_STATE
    is_usable = worker_id and is_callable_address(body.address)
    if not (is_known_state and is_usable):
        return None
    return WorkerEntry(
        worker_id=worker_id,
        service=body.service,
        address=body.address,
        data_centre=body.zone,
        capacity=body.capacity.to_resources(),
        labels=tuple(body.labels),
        draining=_IS_DRAINING_BY_STATE[body.state],
        drain_left_ms=body.drain_remaining_ms,
        born_ms=body.born,
    )


class PlatformWorkers:
    """Sends orders and requests for advice, each once without retries."""

    __slots__ = ('_advice_address', '_advice_pool', '_hold_pool', '_order_pool')

    def __init__(
        self,
        advice_pool: HttpCaller,
        advice_address: str,
        hold_pool: HttpCaller,
        order_pool: HttpCaller,
    ) -> None:
        """Send through these pools; ``advice_address`` is ``IP:port``."""
        self._advice_pool = advice_pool
        self._advice_address = advice_address
        self._hold_pool = hold_pool
        self._order_pool = order_pool

    @classmethod
    def from_config(cls, advice_address: str) -> Self:
        """Create a client within the workers' limit of connections."""
        return cls(
            HttpPool(idle_per_host=_IDLE_ADVICE_CONNECTIONS),
            advice_address,
            HttpPool(max_per_host=_HOLD_CONNECTIONS),
            HttpPool(max_per_host=_ORDER_CONNECTIONS),
        )

    def close_connections(self) -> None:
        """Close the connections to workers, which later calls open again.

        Connections that an instance keeps after its term count against the
        workers' limit for its successors.
        """
        self._hold_pool.close()
        self._order_pool.close()

    def start(
        self,
        worker: WorkerEntry,
        order: StartOrder,
        timeout_s: float = _ORDER_TIMEOUT_S,
    ) -> OrderReply:
        """Order the start of a run; repeating the order has no effect."""
        body = _OrderBody(
            order.task,
            order.run,
            order.epoch,
            order.payload,
            int(order.deadline_ms),
            order.checkpoint,
            order.ticket,
        )
        answer = _send(
            self._order_pool, worker, '/api/run-start', body, timeout_s
        )
        return _decode_reply(answer)

    def stop(self, worker: WorkerEntry, order: StopOrder) -> OrderReply:
        """Order the stop of a run, or its refusal if the start comes later."""
        body = _OrderBody(order.task, order.run, order.epoch)
        answer = _send(
            self._order_pool,
            worker,
            '/api/run-stop',
            body,
            queue_s=_STOP_QUEUE_S,
        )
        return _decode_reply(answer)

    def pace(self, worker: WorkerEntry, order: PaceOrder) -> OrderReply:
        """Limit the speed of a running task."""
        body = _PaceBody(order.task, order.run, order.epoch, order.percent)
        return _decode_reply(_send(self._order_pool, worker, '/api/pace', body))

    def hold(
        self,
        worker: WorkerEntry,
        order: HoldOrder,
        timeout_s: float,
    ) -> HoldReport | OrderReply:
        """Extend a lease and read the worker's running and ended tasks."""
        deadline_ms = order.deadline_ms
        body = _HoldBody(
            order.epoch,
            order.acked_through,
            None if deadline_ms is None else int(deadline_ms),
            order.wait_ms,
        )
        answer = _send(
            self._hold_pool,
            worker,
            '/api/hold',
            body,
            timeout_s,
            connection=order.connection,
        )
        if not isinstance(answer, Answered) or answer.status != 200:
            return _decode_reply(answer)
        try:
            report = _report_decoder.decode(answer.body)
        except DECODE_ERRORS as error:
            return OrderReply(Refusal.UNANSWERED, detail=str(error))
        return HoldReport(
            report.clock_ms,
            report.running,
            report.ended,
            report.born,
            len(report.ended) < _MAX_ENDS_PER_REPORT,
            answer.connection,
        )

    def advise(
        self,
        step: str,
        worker_ids: tuple[str, ...],
        timeout_s: float,
    ) -> AdviceAnswer | None:
        """Ask which workers may run a step; return ``None`` on failure."""
        answer = self._advice_pool.call(
            HttpCall(
                'POST',
                self._advice_address,
                '/api/advise',
                _encoder.encode(_AdviceRequestBody(step, worker_ids)),
                timeout_s=timeout_s,
            ),
        )
        if not isinstance(answer, Answered) or answer.status != 200:
            return None
        try:
            body = _advice_decoder.decode(answer.body)
        except DECODE_ERRORS:
            return None
        return AdviceAnswer(dict(body.good), body.valid_ms)


def _send(
    pool: HttpCaller,
    worker: WorkerEntry,
    path: str,
    body: Any,
    timeout_s: float = _ORDER_TIMEOUT_S,
    queue_s: float = _START_QUEUE_S,
    connection: int | None = None,
) -> HttpResult:
    return pool.call(
        HttpCall(
            'POST',
            worker.address,
            path,
            _encoder.encode(body),
            headers={
                'Content-Type': 'application/json',
                # Another incarnation of the worker refuses the order.
                'X-Expect-Instance': worker.worker_id,
            },
            timeout_s=timeout_s,
            queue_s=queue_s,
            connection=connection,
        ),
    )


def _decode_reply(answer: HttpResult) -> OrderReply:
    if isinstance(answer, NeverSent):
        return OrderReply(_classify_never_sent(answer), detail=answer.reason)
    if not isinstance(answer, Answered):
        return OrderReply(
            Refusal.UNANSWERED,
            detail=answer.reason,
            is_broken=answer.is_broken,
        )
    try:
        body = _reply_decoder.decode(answer.body or b'{}')
    except DECODE_ERRORS:
        body = _ReplyBody()
    refusal = _classify_refusal(answer.status, body.reason)
    return OrderReply(
        refusal,
        body.clock_ms,
        f'{answer.status} {body.reason}',
        born_ms=body.born,
    )


def _classify_never_sent(answer: NeverSent) -> Refusal:
    if answer.is_connection_gone:
        return Refusal.CONNECTION_GONE
    return Refusal.NO_LISTENER if answer.is_refused else Refusal.NOT_SENT


def _classify_refusal(status: int, reason: str) -> Refusal | None:
    if status == 200:
        return None
    if status == 409:
        return _REFUSALS_BY_REASON.get(reason, Refusal.MALFORMED)
    # After an unknown status the order may have been carried out.
    return _REFUSALS_BY_STATUS.get(status, Refusal.UNANSWERED)
