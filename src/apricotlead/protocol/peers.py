"""Messages between entry instances. Links may lose and reorder them."""

from typing import Literal

from msgspec import Struct

from apricotlead.protocol.config import LoggedChange
from apricotlead.protocol.errors import ErrorReport
from apricotlead.protocol.jobs import JobStatus, Priority
from apricotlead.protocol.resources import Resources


class TaskDemand(Struct, frozen=True):
    """One wanted attempt."""

    attempt_id: str
    demand: Resources


class ReserveCapacity(Struct, frozen=True, tag='reserve'):
    """Asks a worker owner for room; may be parked up to ``park_s``.

    A gang gets all or nothing, unless ``partial`` tells that other owners are
    asked for the rest. No room is given on ``avoid_workers``, on which earlier
    attempts of these tasks failed; the home drops them when it finds no other.
    """

    request_id: str
    home_session: str
    team: str
    priority: Priority
    demands: tuple[TaskDemand, ...]
    gang: bool = False
    park_s: float = 0.0
    partial: bool = False
    avoid_workers: tuple[str, ...] = ()


class Grant(Struct, frozen=True):
    """Room for one attempt on one worker.

    ``not_after_s`` is on the worker's clock of boot ``boot_id``.
    """

    attempt_id: str
    worker_id: str
    address: str
    worker_epoch: int
    boot_id: str
    not_after_s: float


class CapacityGranted(Struct, frozen=True, tag='granted'):
    """Room for some of the wanted attempts; more may follow."""

    request_id: str
    owner_session: str
    grants: tuple[Grant, ...]


class CapacityRefused(Struct, frozen=True, tag='refused'):
    """No room for these attempts; nothing is held for them."""

    request_id: str
    owner_session: str
    attempt_ids: tuple[str, ...]


class ReleaseGrants(Struct, frozen=True, tag='release'):
    """These attempts have ended or will never start.

    ``failed_ids`` and ``succeeded_ids`` are those of them that ran to such an
    end; the owner quarantines workers by them.
    """

    attempt_ids: tuple[str, ...]
    failed_ids: tuple[str, ...] = ()
    succeeded_ids: tuple[str, ...] = ()


class RelieveWorker(Struct, frozen=True, tag='relieve'):
    """Asks the home to stop an attempt and queue its task again.

    ``memory``: the worker's memory is used beyond its capacity, and of its
    attempts this one uses most beyond its demand. ``preemption``: urgent work
    or a team below its share waits for the room. Sessions without the journal
    ignore it.
    """

    worker_id: str
    journal_id: str
    attempt_id: str
    reason: Literal['memory', 'preemption'] = 'memory'


class TeamLoad(Struct, frozen=True, omit_defaults=True):
    """What a team has running and waiting at one session."""

    running: Resources = Resources()
    waiting: Resources = Resources()


class SessionLoad(Struct, frozen=True, omit_defaults=True):
    """One session's entry in the gossip; ``serial`` grows."""

    session_id: str
    serial: int
    datacentre: str = ''
    free: Resources = Resources()
    capacity: Resources = Resources()
    largest_free: Resources = Resources()
    loads_by_team: dict[str, TeamLoad] = {}


class GossipEcho(Struct, frozen=True):
    """The latest ``sent_s`` that the sender has from the receiver.

    It bounds the transit time on the receiver's own clock: the message that
    carries it was sent after ``sent_s``.
    """

    session_id: str
    sent_s: float


class Gossip(Struct, frozen=True, tag='gossip', omit_defaults=True):
    """Freshest known loads, and how recent the sender's config is.

    ``config_age_s`` is the time since the sender (or its own source) sent the
    read that proved ``config_version`` current. ``sent_s`` is on the sender's
    monotonic clock.
    """

    sender: str
    loads: tuple[SessionLoad, ...] = ()
    config_version: int = 0
    config_age_s: float = 1e9
    changes: tuple[LoggedChange, ...] = ()
    sent_s: float = 0.0
    echo: GossipEcho | None = None


class AskJob(Struct, frozen=True, tag='ask_job'):
    """Asks the home of a job for its status, or to cancel it."""

    ask_id: str
    sender: str
    job_id: str
    team: str
    cancel: bool = False


class JobAnswer(Struct, frozen=True, tag='job_answer'):
    """The home's answer; one of ``status`` and ``error`` is set.

    ``owner`` is the session that answers, so that the next question about
    the same journal goes to it alone.
    """

    ask_id: str
    status: JobStatus | None = None
    error: ErrorReport | None = None
    owner: str = ''
    retry_after_s: float | None = None


PeerMessage = (
    ReserveCapacity
    | CapacityGranted
    | CapacityRefused
    | ReleaseGrants
    | RelieveWorker
    | Gossip
    | AskJob
    | JobAnswer
)


class Envelope(Struct, frozen=True):
    """A peer message with the session that sent it."""

    sender: str
    message: PeerMessage
