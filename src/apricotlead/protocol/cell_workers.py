"""Orders to the cell's workers, and what workers say of themselves."""

from enum import StrEnum

from msgspec import Struct

from apricotlead.protocol.resources import Resources


class WorkerEntry(Struct, frozen=True):
    """What a worker registers about itself.

    A worker that starts again under the same id has a later ``born_ms`` and
    knows nothing of its former life. ``drain_left_ms`` is the least time that
    a draining worker still has.
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
        """Return the rack: the last label, after the worker's kind."""
        return self.labels[-1] if self.labels else ''


class StartOrder(Struct, frozen=True):
    """Start ``run`` of a task; ``deadline_ms`` is on the worker's clock."""

    task: str
    run: int
    payload: str
    epoch: int
    deadline_ms: float
    checkpoint: str = ''
    ticket: str = ''


class StopOrder(Struct, frozen=True):
    """Stop ``run`` of a task, or refuse it if it arrives later."""

    task: str
    run: int
    epoch: int


class PaceOrder(Struct, frozen=True):
    """Let a task work at ``percent`` of its speed."""

    task: str
    run: int
    percent: int
    epoch: int


class HoldOrder(Struct, frozen=True):
    """Extend the lease, acknowledge ends, and wait for news.

    Without ``deadline_ms`` the lease is not extended.
    """

    epoch: int
    acked_through: int
    wait_ms: int
    deadline_ms: float | None = None


class EndKind(StrEnum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class RunningTask(Struct, frozen=True, array_like=True):
    """A running task as a worker lists it.

    ``progress`` is in percent. ``load`` is the tail latency in milliseconds
    of a task that serves, else the processor use in thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str = ''
    progress: float = 0
    load: float = 0


class EndedTask(Struct, frozen=True, array_like=True):
    """An ended run as a worker lists it; ``number`` grows from 1 in a life."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str = ''


class HoldReport(Struct, frozen=True):
    """A worker's answer to a hold."""

    clock_ms: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    born_ms: float = 0


class Refusal(StrEnum):
    """Why an order was not carried out."""

    FENCED = 'fenced'
    OLD_RUN = 'old_run'
    LATE = 'late'
    NO_ROOM = 'no_room'
    BAD_TICKET = 'bad_ticket'
    MALFORMED = 'malformed'
    UNHEALTHY = 'unhealthy'
    OTHER_LIFE = 'other_life'
    NOT_SENT = 'not_sent'
    UNANSWERED = 'unanswered'


class OrderReply(Struct, frozen=True):
    """The result of an order; ``refusal`` is ``None`` where it was taken."""

    refusal: Refusal | None = None
    clock_ms: float = 0
    detail: str = ''


class AdviceAnswer(Struct, frozen=True):
    """The workers that may run a step, with a ticket for each."""

    tickets_by_worker: dict[str, str]
    valid_ms: float
