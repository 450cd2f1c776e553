"""Orders to the cell's workers, and the workers' registrations and reports."""

from enum import StrEnum

from msgspec import Struct

from apricotlead.protocol.resources import Resources


class WorkerEntry(Struct, frozen=True):
    """A worker's registration.

    A worker that restarts under the same id has a later ``born_ms`` and no
    state of its former incarnation. ``drain_left_ms`` is the minimum time that
    a draining worker has left.
    """

    worker_id: str
    service: str
    address: str
    data_centre: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    drain_left_ms: float = 0
    born_ms: float = 0

    @property
    def rack(self) -> str:
        """Return the rack, which is the last label, after the worker's kind."""
        return self.labels[-1] if self.labels else ''


class StartOrder(Struct, frozen=True):
    """Starts ``run`` of a task; ``deadline_ms`` is on the worker's clock.

    ``epoch`` in all orders is the fencing number of the term and of the
    incarnation that the order is meant for; workers refuse lower ones than the
    highest that they have seen.
    """

    task: str
    run: int
    payload: str
    epoch: int
    deadline_ms: float
    checkpoint: str = ''
    ticket: str = ''


class StopOrder(Struct, frozen=True):
    """Stops ``run`` of a task, or refuses its start if that arrives later."""

    task: str
    run: int
    epoch: int


class PaceOrder(Struct, frozen=True):
    """Limits a task to ``percent`` of its speed."""

    task: str
    run: int
    percent: int
    epoch: int


class HoldOrder(Struct, frozen=True):
    """Long-poll call: extends the lease, acknowledges ends, awaits changes.

    Without ``deadline_ms`` the lease is not extended. With ``connection`` the
    order is sent only on that connection, which ends with the incarnation of
    the worker that answered on it.
    """

    epoch: int
    acked_through: int
    wait_ms: int
    deadline_ms: float | None = None
    connection: int | None = None


class EndKind(StrEnum):
    """How a run ended.

    ``LAPSED``: the worker's lease expired. ``BROKEN``: another member of the
    gang ended without success. ``ALONE``: the gang was incomplete for too long.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class RunningTask(Struct, frozen=True, array_like=True):
    """A running task as reported by a worker.

    ``progress`` is in percent. ``load`` is the tail latency in milliseconds
    of a task that serves requests, otherwise the processor use in thousandths
    of a core.
    """

    task: str
    run: int
    checkpoint: str = ''
    progress: float = 0
    load: float = 0


class EndedTask(Struct, frozen=True, array_like=True):
    """An ended run as reported by a worker.

    ``number`` counts up from 1 within one incarnation of the worker.
    """

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str = ''


class HoldReport(Struct, frozen=True):
    """A worker's answer to a hold order.

    A worker lists a limited number of unacknowledged ends, oldest first.
    Without ``has_all_ends`` there may be more, so a run that is in neither
    list may have ended. ``connection`` is the number of the connection that it
    came on, ``None`` if that was not kept open.
    """

    clock_ms: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    born_ms: float = 0
    has_all_ends: bool = True
    connection: int | None = None


class Refusal(StrEnum):
    """The reason why an order was not carried out.

    ``LATE``: its deadline had passed. ``OTHER_LIFE``: it reached another
    incarnation of the worker. ``NO_LISTENER``: its address refused the
    connection, as that of a crashed worker does. ``CONNECTION_GONE``: it was
    bound to a connection that has ended; nothing was sent. After ``UNANSWERED``
    it is unknown whether the order was carried out.
    """

    FENCED = 'fenced'
    OLD_RUN = 'old_run'
    LATE = 'late'
    NO_ROOM = 'no_room'
    BAD_TICKET = 'bad_ticket'
    MALFORMED = 'malformed'
    UNHEALTHY = 'unhealthy'
    OTHER_LIFE = 'other_life'
    NOT_SENT = 'not_sent'
    NO_LISTENER = 'no_listener'
    CONNECTION_GONE = 'connection_gone'
    UNANSWERED = 'unanswered'


class OrderReply(Struct, frozen=True):
    """The result of an order; ``refusal`` is ``None`` if it was accepted.

    With ``is_broken`` the connection ended instead of an answer. ``born_ms``
    is the start time of the incarnation that answered, 0 if it gave none.
    """

    refusal: Refusal | None = None
    clock_ms: float = 0
    detail: str = ''
    is_broken: bool = False
    born_ms: float = 0


class AdviceAnswer(Struct, frozen=True):
    """The workers that may run a step, with a ticket for each.

    The tickets are valid for ``valid_ms``.
    """

    tickets_by_worker: dict[str, str]
    valid_ms: float
