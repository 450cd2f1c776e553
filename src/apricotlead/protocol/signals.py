"""The signals that components exchange.

Peer messages of :mod:`apricotlead.protocol.peers` are signals too: the
scheduler delivers them unchanged, whether a peer or a local component sent
them. A signal that derives from :class:`Effect` leaves the scheduler and is
executed by the transport.
"""

from typing import Any

from msgspec import Struct

from apricotlead.protocol.config import CellConfig, ChangeRequest
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.jobs import AttemptState, JournalRecord, Submission
from apricotlead.protocol.outcomes import Outcome
from apricotlead.protocol.peers import PeerMessage
from apricotlead.protocol.table import StoreReply, Transaction
from apricotlead.protocol.workers import WorkerReply, WorkerRequest


class Token(Struct, frozen=True):
    """Routes a reply to its requester: component name, purpose and number."""

    component: str
    purpose: str = ''
    number: int = 0


# From the transport.


class Tick(Struct, frozen=True):
    """Periodic signal that time has passed, about every 20 ms."""


class StoreReplied(Struct, frozen=True):
    """The table service answered, or the call failed."""

    token: Token
    reply: StoreReply


class ObjectReplied(Struct, frozen=True):
    """The object store answered; ``content`` is ``None`` if absent."""

    token: Token
    succeeded: bool
    content: bytes | None = None


class WorkerReplied(Struct, frozen=True):
    """A worker answered, or the call failed."""

    token: Token
    worker_id: str
    reply: WorkerReply


class PeerReceived(Struct, frozen=True):
    """A message from another session."""

    sender: str
    message: PeerMessage


class InstancesListed(Struct, frozen=True):
    """The platform's list of instances was read."""

    instances: tuple[Instance, ...]


class SubmitJob(Struct, frozen=True):
    """A caller's submission; ``key`` is unchecked, empty if none was given."""

    ticket: int
    submission: Submission
    key: str = ''


class AskStatus(Struct, frozen=True):
    """A caller's request for a job's status or, with ``cancel``, its end."""

    ticket: int
    job_id: str
    key: str = ''
    cancel: bool = False


class ChangeConfig(Struct, frozen=True):
    """An operator's change; the operator key has been checked."""

    ticket: int
    request: ChangeRequest


class Shutdown(Struct, frozen=True):
    """Request for a graceful shutdown."""


# Between components.


class SessionOpened(Struct, frozen=True):
    """The row of this process's session is durable."""

    session_id: str


class SessionLost(Struct, frozen=True):
    """This process's session was adopted by a peer; a new one is opened."""

    session_id: str


class PeersChanged(Struct, frozen=True):
    """The set of live sessions changed."""

    live_ids: tuple[str, ...]


class PeerLapsed(Struct, frozen=True):
    """A peer's session expired or is leaving.

    ``row_version`` is set once its row is marked adopted: everything that it
    still owns may then be taken over, on condition that the session row is at
    this version (or deleted). It is 0 while the session is leaving: only what
    it has released may be taken over.
    """

    session_id: str
    row_version: int = 0


class JournalOpened(Struct, frozen=True):
    """This session owns the journal from now on."""

    journal_id: str
    epoch: int
    records: tuple[JournalRecord, ...] = ()


class JournalClosed(Struct, frozen=True):
    """This session no longer owns the journal."""

    journal_id: str


class AppendRecords(Struct, frozen=True):
    """Asks for records to be made durable, in order and atomically.

    ``request_key`` (``team/request_id``, empty if there is none) is inserted
    in the same transaction; if it exists, nothing is written.
    """

    token: Token
    journal_id: str
    records: tuple[JournalRecord, ...]
    request_key: str = ''
    job_id: str = ''


class RecordsWaiting(Struct, frozen=True):
    """Triggers journal writes once all signals queued before are handled."""


class RecordsCommitted(Struct, frozen=True):
    """The records are durable."""

    token: Token
    journal_id: str


class RecordsRejected(Struct, frozen=True):
    """The records are not durable and never will be.

    ``existing_job_id`` is set if the request key was used before.
    """

    token: Token
    journal_id: str
    existing_job_id: str = ''
    retry_after_s: float = 0.2


class WorkerClaimed(Struct, frozen=True):
    """This session owns the worker's capacity with this epoch."""

    worker_id: str
    epoch: int


class WorkerDropped(Struct, frozen=True):
    """This session no longer owns the worker's capacity."""

    worker_id: str


class CapacityFreed(Struct, frozen=True):
    """An owned worker has more free capacity than before."""

    worker_id: str


class AdmitJob(Struct, frozen=True):
    """A validated submission; ``JobLifecycle`` makes it durable and answers."""

    ticket: int
    team: str
    submission: Submission


class FindJob(Struct, frozen=True):
    """An authorised request about a job; ``JobLifecycle`` answers."""

    ticket: int
    job_id: str
    team: str
    cancel: bool = False


class TaskQueued(Struct, frozen=True):
    """A task (or, for a gang, all tasks) of the job waits for capacity."""

    journal_id: str
    job_id: str
    tasks: tuple[int, ...]


class TasksWithdrawn(Struct, frozen=True):
    """Queued tasks of the job must not be placed any more."""

    journal_id: str
    job_id: str
    tasks: tuple[int, ...]


class TasksPlaced(Struct, frozen=True):
    """Capacity was granted; ``JobLifecycle`` records the assignment."""

    journal_id: str
    job_id: str
    tasks: tuple[int, ...]
    grants: tuple[Any, ...]


class AttemptStarting(Struct, frozen=True):
    """The assignment is durable; the start message may be sent."""

    journal_id: str
    attempt_id: str


class AttemptAdopted(Struct, frozen=True):
    """An attempt was found in an adopted journal; its lease is renewed."""

    journal_id: str
    attempt_id: str


class AttemptEnded(Struct, frozen=True):
    """The attempt has ended, as far as its home session can determine."""

    journal_id: str
    attempt_id: str
    state: AttemptState
    ran: bool | None = True
    message: str = ''
    output: str = ''


class ReleasesWaiting(Struct, frozen=True):
    """Triggers releases once all signals queued before are handled."""


class AttemptForgotten(Struct, frozen=True):
    """The end is durable; the worker may discard the attempt."""

    journal_id: str
    attempt_id: str


class StopAttempts(Struct, frozen=True):
    """The home session requests that these attempts be stopped."""

    journal_id: str
    attempt_ids: tuple[str, ...]


class ConfigApplied(Struct, frozen=True):
    """A newer configuration was applied in this process."""

    config: CellConfig


# Effects, executed by the transport.


class Effect(Struct, frozen=True):
    """A signal that the transport executes."""


class Transact(Effect, frozen=True):
    """Send the transaction to the table service."""

    token: Token
    transaction: Transaction


class ReadRows(Effect, frozen=True):
    """Read rows by key."""

    token: Token
    keys: tuple[str, ...]


class ScanRows(Effect, frozen=True):
    """Read all rows whose key starts with ``prefix``."""

    token: Token
    prefix: str


class PutObject(Effect, frozen=True):
    """Write an object."""

    token: Token
    key: str
    content: bytes


class GetObject(Effect, frozen=True):
    """Read an object."""

    token: Token
    key: str


class DeleteObject(Effect, frozen=True):
    """Delete an object; it is not an error if it does not exist."""

    token: Token
    key: str


class CallWorker(Effect, frozen=True):
    """Send a request to a worker; ``timeout_s`` bounds the wait."""

    token: Token
    worker_id: str
    address: str
    request: WorkerRequest
    timeout_s: float = 2.0


class SendToPeer(Effect, frozen=True):
    """Send a message to another session; it may be lost."""

    session_id: str
    address: str
    message: PeerMessage


class Answer(Effect, frozen=True):
    """The final answer to a caller's ticket."""

    ticket: int
    outcome: Outcome


class Count(Effect, frozen=True):
    """Add ``amount`` to the metrics counter ``name``."""

    name: str
    amount: int = 1


class LogEvent(Effect, frozen=True):
    """Write a log event with typed fields."""

    message: str
    fields: dict[str, Any] = {}


Signal = Struct
