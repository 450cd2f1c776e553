"""Capacity, attempts, grants and free resources of owned workers."""

from collections.abc import Iterator
from itertools import chain

from msgspec import Struct, field

from apricotlead.protocol.jobs import ENDED_ATTEMPT_STATES
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.workers import AttemptReport, HeartbeatReply
from apricotlead.state.free_index import FreeIndex
from apricotlead.state.preemptible import Preemptible, list_preemptible

_ZERO = Resources()


class OutstandingGrant(Struct, frozen=True):
    """A grant of ``demand``, valid until ``not_after_s`` on the worker's clock."""

    demand: Resources
    not_after_s: float
    boot_id: str


class OwnedWorker(Struct):
    """One owned worker; only the ledger changes it.

    ``clock_s`` is the worker's clock in the latest reply, which arrived at
    ``replied_at_s`` on the local clock. ``charges_by_id`` maps each running
    attempt of that reply to the resources it occupies, and
    ``preemptible_by_id`` holds those that may be stopped for other work.
    ``blocks`` are the reasons why the worker gets no new grants. ``boot_id``
    is empty before the first reply.
    """

    worker_id: str
    epoch: int
    address: str = ''
    boot_id: str = ''
    clock_s: float = 0.0
    replied_at_s: float = 0.0
    capacity: Resources = _ZERO
    free: Resources = _ZERO
    charges_by_id: dict[str, Resources] = field(default_factory=dict)
    grants_by_id: dict[str, OutstandingGrant] = field(default_factory=dict)
    blocks: frozenset[str] = frozenset()
    preemptible_by_id: dict[str, Preemptible] = field(default_factory=dict)

    def is_open(self) -> bool:
        """Return whether the worker may get new grants."""
        return bool(self.boot_id) and not self.blocks

    def in_use(self) -> Resources:
        """Return the total of running attempts and outstanding grants.

        An attempt that is both reported and granted counts once.
        """
        listed = self.charges_by_id
        unlisted_grants = (
            grant.demand
            for attempt_id, grant in self.grants_by_id.items()
            if attempt_id not in listed
        )
        return sum(chain(listed.values(), unlisted_grants), _ZERO)


class CapacityLedger:
    """Capacity, attempts, grants and free resources of owned workers.

    Only the worker monitor claims, drops, blocks and reconciles workers, and
    only the reservation component grants and releases. All others read.
    """

    __slots__ = (
        '_free_total',
        '_indexes_by_fraction',
        '_worker_ids_by_attempt_id',
        'total_capacity',
        'workers_by_id',
    )

    def __init__(self) -> None:
        """Start without workers."""
        self.workers_by_id: dict[str, OwnedWorker] = {}
        self.total_capacity = _ZERO
        self._free_total = _ZERO
        self._worker_ids_by_attempt_id: dict[str, str] = {}
        self._indexes_by_fraction: dict[float, FreeIndex] = {0: FreeIndex()}

    def claim(self, worker_id: str, epoch: int) -> None:
        """Start owning a worker; it takes grants after its first reply.

        Grants of an earlier epoch are dropped: the first heartbeat of the new
        epoch fences off their starts.
        """
        self.drop(worker_id)
        self.workers_by_id[worker_id] = OwnedWorker(worker_id, epoch)

    def drop(self, worker_id: str) -> None:
        """Stop owning a worker and drop its grants."""
        worker = self.workers_by_id.pop(worker_id, None)
        if worker is None:
            return
        self._remove_from_indexes(worker)
        self.total_capacity -= worker.capacity
        for attempt_id in (*worker.charges_by_id, *worker.grants_by_id):
            self._worker_ids_by_attempt_id.pop(attempt_id, None)

    def apply_reply(
        self,
        worker_id: str,
        reply: HeartbeatReply,
        address: str,
        now: float,
    ) -> bool:
        """Reconcile a worker with its latest reply.

        Returns whether free capacity grew. The caller passes replies in the
        order of their heartbeats, only those of the epoch under which the
        worker is owned, and with the full list of attempts.
        """
        worker = self.workers_by_id[worker_id]
        before = worker.free if worker.boot_id else _ZERO
        self._remove_from_indexes(worker)
        self.total_capacity += reply.capacity - worker.capacity
        worker.address = address
        worker.boot_id = reply.boot_id
        worker.clock_s = reply.clock_s
        worker.replied_at_s = now
        worker.capacity = reply.capacity
        attempts = reply.attempts or ()
        self._replace_attempts(worker, attempts)
        worker.preemptible_by_id = list_preemptible(
            worker.preemptible_by_id,
            attempts,
            now,
        )
        self._recompute_free(worker)
        return worker.is_open() and not worker.free.fits_in(before)

    def block(self, worker_id: str, reason: str) -> None:
        """Stop new grants on the worker until ``reason`` is removed."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None or reason in worker.blocks:
            return
        self._remove_from_indexes(worker)
        worker.blocks |= {reason}

    def unblock(self, worker_id: str, reason: str) -> bool:
        """Remove ``reason``; return whether the worker takes grants again."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None or reason not in worker.blocks:
            return False
        worker.blocks -= {reason}
        self._add_to_indexes(worker)
        return worker.is_open()

    def grant(
        self,
        worker_id: str,
        attempt_id: str,
        demand: Resources,
        not_after_s: float,
    ) -> None:
        """Reserve ``demand`` on an open worker.

        The caller has checked that it fits.
        """
        worker = self.workers_by_id[worker_id]
        self._remove_from_indexes(worker)
        worker.grants_by_id[attempt_id] = OutstandingGrant(
            demand,
            not_after_s,
            worker.boot_id,
        )
        self._worker_ids_by_attempt_id[attempt_id] = worker_id
        worker.free -= demand
        self._add_to_indexes(worker)

    def release(self, attempt_id: str) -> bool:
        """End a grant; return whether this freed capacity.

        An attempt in the latest reply keeps its resources until a reply no
        longer contains it, because a former home session of the attempt
        can be wrong about its end.
        """
        worker = self.worker_of(attempt_id)
        if worker is None:
            return False
        grant = worker.grants_by_id.pop(attempt_id, None)
        if attempt_id in worker.charges_by_id:
            return False
        self._worker_ids_by_attempt_id.pop(attempt_id)
        self._remove_from_indexes(worker)
        worker.free += grant.demand
        self._add_to_indexes(worker)
        return worker.is_open()

    def worker_of(self, attempt_id: str) -> OwnedWorker | None:
        """Return the owned worker with resources reserved for the attempt."""
        worker_id = self._worker_ids_by_attempt_id.get(attempt_id, '')
        return self.workers_by_id.get(worker_id)

    def free_of(self, worker_id: str) -> Resources:
        """Return the free resources, zero if the worker takes no grants."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None or not worker.is_open():
            return _ZERO
        return worker.free

    def total_free(self) -> Resources:
        """Return the total free resources of all workers that take grants."""
        return self._free_total

    def largest_free(self) -> Resources:
        """Return the maximum of each resource that is free on any worker.

        The three maxima can come from different workers, so a demand that
        exceeds them fits nowhere here, but one within them need not fit.
        """
        return self._indexes_by_fraction[0].largest()

    def index(self, reserved_fraction: float) -> FreeIndex:
        """Return the index of resources that are free beyond a reserved part.

        Only one index for a fraction above zero is maintained; it is rebuilt
        when the preset in force changes the fraction.
        """
        index = self._indexes_by_fraction.get(reserved_fraction)
        if index is None:
            index = self._build_index(reserved_fraction)
        return index

    def open_workers(self) -> Iterator[OwnedWorker]:
        """Yield the workers that may get new grants."""
        return (
            worker for worker in self.workers_by_id.values() if worker.is_open()
        )

    def _replace_attempts(
        self,
        worker: OwnedWorker,
        reports: tuple[AttemptReport, ...],
    ) -> None:
        for gone_id in (*worker.charges_by_id, *worker.grants_by_id):
            self._worker_ids_by_attempt_id.pop(gone_id, None)
        ended_ids = {
            report.attempt_id
            for report in reports
            if report.state in ENDED_ATTEMPT_STATES
        }
        worker.charges_by_id = {
            report.attempt_id: _charged_resources(report)
            for report in reports
            if report.attempt_id not in ended_ids
        }
        worker.grants_by_id = {
            attempt_id: grant
            for attempt_id, grant in worker.grants_by_id.items()
            if attempt_id not in ended_ids and _can_start(grant, worker)
        }
        for held_id in (*worker.charges_by_id, *worker.grants_by_id):
            self._worker_ids_by_attempt_id[held_id] = worker.worker_id

    def _recompute_free(self, worker: OwnedWorker) -> None:
        worker.free = worker.capacity - worker.in_use()
        self._add_to_indexes(worker)

    def _add_to_indexes(self, worker: OwnedWorker) -> None:
        if not worker.is_open():
            return
        self._free_total += _clamp_to_zero(worker.free)
        for fraction, index in self._indexes_by_fraction.items():
            _index_worker(index, worker, fraction)

    def _remove_from_indexes(self, worker: OwnedWorker) -> None:
        if not worker.is_open():
            return
        self._free_total -= _clamp_to_zero(worker.free)
        for index in self._indexes_by_fraction.values():
            index.remove(worker.worker_id)

    def _build_index(self, fraction: float) -> FreeIndex:
        index = FreeIndex()
        for worker in self.open_workers():
            _index_worker(index, worker, fraction)
        full = self._indexes_by_fraction[0]
        self._indexes_by_fraction = {0: full, fraction: index}
        return index


def _index_worker(
    index: FreeIndex, worker: OwnedWorker, fraction: float
) -> None:
    free = worker.free
    if fraction:
        free -= reserved_resources(worker.capacity, fraction)
    accelerated = worker.capacity.accelerators > 0
    index.put(worker.worker_id, free, accelerated)


def reserved_resources(capacity: Resources, fraction: float) -> Resources:
    """Return the resources that a preset reserves on a worker, rounded down."""
    return Resources(
        int(capacity.cpu_millis * fraction),
        int(capacity.memory_mb * fraction),
        int(capacity.accelerators * fraction),
    )


def _charged_resources(report: AttemptReport) -> Resources:
    """Return the demand, with the memory in use where that is more.

    Memory cannot be throttled, so other attempts cannot get it.
    """
    demand = report.demand
    if report.used.memory_mb <= demand.memory_mb:
        return demand
    return Resources(
        demand.cpu_millis,
        report.used.memory_mb,
        demand.accelerators,
    )


def _can_start(grant: OutstandingGrant, worker: OwnedWorker) -> bool:
    """Return whether the worker would still accept the grant's start."""
    same_boot = grant.boot_id == worker.boot_id
    return same_boot and worker.clock_s <= grant.not_after_s


def _clamp_to_zero(free: Resources) -> Resources:
    if free.cpu_millis >= 0 and free.memory_mb >= 0 and free.accelerators >= 0:
        return free
    return Resources(
        max(free.cpu_millis, 0),
        max(free.memory_mb, 0),
        max(free.accelerators, 0),
    )
