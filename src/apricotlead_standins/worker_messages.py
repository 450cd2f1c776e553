"""Messages of a worker's five routes."""

from typing import Any

from msgspec import Struct


class Resources(Struct, frozen=True, omit_defaults=True):
    """CPU in thousandths of a core, memory in MiB, number of devices."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        """Return the element-wise sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def maximum(self, other: 'Resources') -> 'Resources':
        """Return the element-wise maximum."""
        return Resources(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits_in(self, capacity: 'Resources') -> bool:
        """Return whether no resource exceeds ``capacity``."""
        return self.maximum(capacity) == capacity


class TaskSpec(Struct, frozen=True, omit_defaults=True):
    """A task to run; ``run_s`` is its default duration in seconds."""

    demand: Resources
    run_s: float = 0.0
    command: str = ''


class AttemptReport(Struct, frozen=True, omit_defaults=True):
    """The state and resource use of an attempt on the worker."""

    attempt_id: str
    state: str
    journal_id: str = ''
    demand: Resources = Resources()
    used: Resources = Resources()
    message: str = ''
    output: str = ''
    traits: dict[str, Any] | None = None


class Heartbeat(Struct, frozen=True, tag='heartbeat', omit_defaults=True):
    """Fences older owners, and asks for changes since a known listing."""

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
    """All attempts, or ``None`` if the owner knows this version."""

    clock_s: float
    boot_id: str
    capacity: Resources
    attempts: tuple[AttemptReport, ...] | None = ()
    version: int = 0
    used: Resources = Resources()


class StartTask(Struct, frozen=True, tag='start'):
    """Starts an attempt; idempotent by ``attempt_id``."""

    attempt_id: str
    worker_epoch: int
    boot_id: str
    not_after_s: float
    journal_id: str
    journal_epoch: int
    lease_s: float
    task: TaskSpec
    traits: dict[str, Any] | None = None


class RenewLeases(Struct, frozen=True, tag='leases', omit_defaults=True):
    """Extends leases, and acknowledges ended attempts."""

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
    """The state of each requested attempt that is not running."""

    clock_s: float
    boot_id: str
    attempts: tuple[AttemptReport, ...] = ()


class StopTasks(Struct, frozen=True, tag='stop'):
    """Stops attempts, after a checkpoint if requested."""

    journal_id: str
    journal_epoch: int
    attempt_ids: tuple[str, ...]
    checkpoint: bool = True


class ThrottleTask(Struct, frozen=True, tag='throttle'):
    """Caps the CPU use of an attempt."""

    attempt_id: str
    worker_epoch: int
    cpu_millis: int


class Accepted(Struct, frozen=True, tag='accepted'):
    """The worker accepted the request."""

    clock_s: float
    boot_id: str


class WorkerRefused(Struct, frozen=True, tag='refused'):
    """The worker refused the request, which had no effect."""

    reason: str
    epoch: int = 0
    clock_s: float = 0.0
    boot_id: str = ''


WorkerRequest = Heartbeat | StartTask | RenewLeases | StopTasks | ThrottleTask
