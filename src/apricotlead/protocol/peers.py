"""Messages between entry instances, which links may lose and reorder."""

from typing import Literal

from msgspec import Struct

from apricotlead.protocol.config import LoggedChange
from apricotlead.protocol.errors import ErrorReport
from apricotlead.protocol.jobs import JobStatus, Priority
from apricotlead.protocol.resources import Resources


class TaskDemand(Struct, frozen=True):
    """The resources that an attempt demands."""

    attempt_id: str
    demand: Resources


class ReserveCapacity(Struct, frozen=True, tag='reserve'):
    """Asks a worker owner to reserve capacity, waiting up to ``park_s``.

    A gang gets all or nothing, unless ``partial`` is set because other owners
    are asked for the rest. Nothing is granted on ``avoid_workers``, on which
    earlier attempts of these tasks failed; the home session stops avoiding
    them if it finds no other workers.
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
    """Reserved capacity for one attempt on one worker.

    ``not_after_s`` is on the worker's clock, which is valid for ``boot_id``.
    """

    attempt_id: str
    worker_id: str
    address: str
    worker_epoch: int
    boot_id: str
    not_after_s: float


class CapacityGranted(Struct, frozen=True, tag='granted'):
    """Grants for some of the requested attempts; more may follow."""

    request_id: str
    owner_session: str
    grants: tuple[Grant, ...]


class CapacityRefused(Struct, frozen=True, tag='refused'):
    """No capacity for these attempts; nothing is reserved for them."""

    request_id: str
    owner_session: str
    attempt_ids: tuple[str, ...]


class ReleaseGrants(Struct, frozen=True, tag='release'):
    """These attempts have ended or will never start.

    ``failed_ids`` and ``succeeded_ids`` are those that ran and failed or
    succeeded; the owner uses them to quarantine workers.
    """

    attempt_ids: tuple[str, ...]
    failed_ids: tuple[str, ...] = ()
    succeeded_ids: tuple[str, ...] = ()


class RelieveWorker(Struct, frozen=True, tag='relieve'):
    """Asks the home session to stop an attempt and requeue its task.

    ``memory``: the worker's memory is overcommitted, and this attempt exceeds
    its demand the most. ``preemption``: urgent work or a team below its share
    waits for the capacity. Sessions that do not own the journal ignore it.
    """

    worker_id: str
    journal_id: str
    attempt_id: str
    reason: Literal['memory', 'preemption'] = 'memory'


class TeamLoad(Struct, frozen=True, omit_defaults=True):
    """A team's running and waiting demand at one session."""

    running: Resources = Resources()
    waiting: Resources = Resources()


class SessionLoad(Struct, frozen=True, omit_defaults=True):
    """One session's gossip entry; ``serial`` increases with each update."""

    session_id: str
    serial: int
    datacentre: str = ''
    free: Resources = Resources()
    capacity: Resources = Resources()
    largest_free: Resources = Resources()
    loads_by_team: dict[str, TeamLoad] = {}


class GossipEcho(Struct, frozen=True):
    """The latest ``sent_s`` that the sender received from the receiver.

    It bounds the transit time on the receiver's own clock: the message that
    contains it was sent after ``sent_s``.
    """

    session_id: str
    sent_s: float


class Gossip(Struct, frozen=True, tag='gossip', omit_defaults=True):
    """The most recent known loads, and the age of the sender's configuration.

    ``config_age_s`` is the time since the sender (or its own source) sent the
    read that confirmed ``config_version`` as current. ``sent_s`` is on the
    sender's monotonic clock.
    """

    sender: str
    loads: tuple[SessionLoad, ...] = ()
    config_version: int = 0
    config_age_s: float = 1e9
    changes: tuple[LoggedChange, ...] = ()
    sent_s: float = 0.0
    echo: GossipEcho | None = None


class AskJob(Struct, frozen=True, tag='ask_job'):
    """Asks a job's home session for its status, or to cancel it."""

    ask_id: str
    sender: str
    job_id: str
    team: str
    cancel: bool = False


class JobAnswer(Struct, frozen=True, tag='job_answer'):
    """The home session's answer; either ``status`` or ``error`` is set.

    ``owner`` is the session that answers, so that the next question about the
    same journal is sent only to that session.
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
