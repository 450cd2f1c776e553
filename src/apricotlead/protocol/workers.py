"""Messages between entry instances and workers.

A worker stores the highest worker epoch and, per journal, the highest journal
epoch that it has seen, and rejects lower ones. ``clock_s`` is the worker's own
monotonic clock; ``boot_id`` changes when the worker restarts.
"""

from typing import Literal

from msgspec import Struct

from apricotlead.protocol.jobs import AttemptState, TaskSpec
from apricotlead.protocol.resources import Resources


class AttemptTraits(Struct, frozen=True, omit_defaults=True):
    """Attributes of an attempt by which an owner selects preemption victims.

    ``preemptible`` is set for idempotent batch tasks of normal priority;
    ``stops`` is the number of earlier attempts of the task that were stopped.
    The worker stores the traits from the start request and reports them
    unchanged, so that they survive a change of ownership.
    """

    team: str
    preemptible: bool = False
    stops: int = 0


class AttemptReport(Struct, frozen=True, omit_defaults=True):
    """An attempt on the worker; ended ones are kept until acknowledged."""

    attempt_id: str
    state: AttemptState
    journal_id: str = ''
    demand: Resources = Resources()
    used: Resources = Resources()
    message: str = ''
    output: str = ''
    traits: AttemptTraits | None = None


class Heartbeat(Struct, frozen=True, tag='heartbeat', omit_defaults=True):
    """Fences former owners and asks for attempts; route ``/v1/heartbeat``.

    ``known_version`` is the version of the list that the owner received under
    this epoch from boot ``known_boot_id``; 0 requests the full list. A process
    that is not the worker ``worker_id`` rejects the heartbeat before it
    compares epochs: the list can still name a worker that is gone, whose
    address another one has now. An empty ``worker_id`` names no worker.
    """

    owner: str
    epoch: int
    known_version: int = 0
    known_boot_id: str = ''
    worker_id: str = ''


class HeartbeatReply(
    Struct,
    frozen=True,
    tag='heartbeat_reply',
    omit_defaults=True,
):
    """The exact list of the worker's attempts.

    ``version`` (from 1, within one boot) increases whenever ``attempts``
    changes. ``attempts`` is ``None`` if the owner knows this version of this
    boot. The reports include ``used`` only for attempts that use more than
    their demand, and neither messages nor outputs. ``used`` is the total over
    all running attempts. Usage data lags.
    """

    clock_s: float
    boot_id: str
    capacity: Resources
    attempts: tuple[AttemptReport, ...] | None = ()
    version: int = 0
    used: Resources = Resources()


class StartTask(Struct, frozen=True, tag='start'):
    """Starts an attempt; idempotent by ``attempt_id``; ``/v1/start``.

    Rejected after ``not_after_s`` on the worker's clock, for another boot, or
    for an old epoch.
    """

    attempt_id: str
    worker_epoch: int
    boot_id: str
    not_after_s: float
    journal_id: str
    journal_epoch: int
    lease_s: float
    task: TaskSpec
    traits: AttemptTraits | None = None


class RenewLeases(Struct, frozen=True, tag='leases', omit_defaults=True):
    """Extends leases by ``lease_s`` from receipt; ``/v1/leases``.

    The worker answers when one of the attempts has ended, or after ``wait_s``.
    It discards the attempts in ``acknowledged_ids``. No lease is extended past
    ``lease_until_s`` (on the worker's clock), so that a delayed request cannot
    extend a lease that its sender regards as expired. All attempts are listed,
    because the worker must not extend the lease of an attempt that the home
    session already regards as lost.
    """

    journal_id: str
    journal_epoch: int
    attempt_ids: tuple[str, ...]
    acknowledged_ids: tuple[str, ...] = ()
    lease_s: float = 10.0
    wait_s: float = 0.0
    lease_until_s: float | None = None


class LeasesReply(
    Struct,
    frozen=True,
    tag='leases_reply',
    omit_defaults=True,
):
    """The requested attempts that do not run; ``unknown`` if never seen.

    A requested attempt that is not listed runs, and its lease was extended.
    """

    clock_s: float
    boot_id: str
    attempts: tuple[AttemptReport, ...] = ()


class StopTasks(Struct, frozen=True, tag='stop'):
    """Stops attempts, after a checkpoint if requested; ``/v1/stop``."""

    journal_id: str
    journal_epoch: int
    attempt_ids: tuple[str, ...]
    checkpoint: bool = True


class ThrottleTask(Struct, frozen=True, tag='throttle'):
    """Limits an attempt's processor use; ``/v1/throttle``."""

    attempt_id: str
    worker_epoch: int
    cpu_millis: int


class Accepted(Struct, frozen=True, tag='accepted'):
    """The worker carried out the request."""

    clock_s: float
    boot_id: str


class WorkerRefused(Struct, frozen=True, tag='refused'):
    """The worker rejected the request; ``reason`` says why."""

    reason: Literal[
        'stale_epoch',
        'expired',
        'other_boot',
        'other_worker',
        'unknown_attempt',
    ]
    epoch: int = 0
    clock_s: float = 0.0
    boot_id: str = ''


class CallFailed(Struct, frozen=True, tag='call_failed'):
    """No answer; ``sent`` is ``False`` if the call was never sent."""

    sent: bool


WorkerRequest = Heartbeat | StartTask | RenewLeases | StopTasks | ThrottleTask
WorkerReply = (
    HeartbeatReply | LeasesReply | Accepted | WorkerRefused | CallFailed
)

WORKER_ROUTES = (
    (Heartbeat, '/v1/heartbeat'),
    (StartTask, '/v1/start'),
    (RenewLeases, '/v1/leases'),
    (StopTasks, '/v1/stop'),
    (ThrottleTask, '/v1/throttle'),
)
