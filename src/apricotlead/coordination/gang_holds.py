"""Keeps small tasks from starving a gang that needs room all at once."""

from collections.abc import Iterable

from msgspec import Struct

from apricotlead.protocol.resources import Resources
from apricotlead.state.capacity_ledger import CapacityLedger, OwnedWorker


class HoldSettings(Struct, frozen=True):
    """Times in seconds.

    A gang that has asked for longer than ``patience_s`` gets workers held for
    it. It loses them after ``longest_hold_s``, or when it has not asked again
    for ``silence_s`` (a home asks again after about 4 s). Holds are reviewed
    every ``review_s``.
    """

    patience_s: float = 2.0
    silence_s: float = 8.0
    longest_hold_s: float = 120.0
    review_s: float = 0.5


class _WaitingGang(Struct):
    since_s: float
    asked_s: float
    demands: tuple[Resources, ...]


class GangHolds:
    """Workers that drain for the gang that has waited longest.

    A gang is known by its job id, since each of its tries brings fresh
    request and attempt ids. Other work but urgent work avoids the held
    workers, so that their room adds up. One gang at a time has a hold, and
    only one that the owned workers could take if they were idle.
    """

    __slots__ = (
        '_gangs_by_job_id',
        '_holder',
        '_ledger',
        '_next_review_s',
        '_policy',
        '_since_s',
        'worker_ids',
    )

    def __init__(self, settings: HoldSettings, ledger: CapacityLedger) -> None:
        """Begin with nothing held."""
        self._policy = settings
        self._ledger = ledger
        self._gangs_by_job_id: dict[str, _WaitingGang] = {}
        self._holder = ''
        self._since_s = 0.0
        self._next_review_s = float('-inf')
        self.worker_ids: frozenset[str] = frozenset()

    def is_holder(self, job_id: str) -> bool:
        """Tell whether the held workers are for this job."""
        return bool(job_id) and job_id == self._holder

    def asked(
        self,
        job_id: str,
        demands: Iterable[Resources],
        now: float,
    ) -> None:
        """Note that a gang asks for room; its first request counts as its age.

        Owners that are asked for parts of one gang therefore agree about
        which gang is the oldest.
        """
        gang = self._gangs_by_job_id.get(job_id)
        if gang is None:
            gang = _WaitingGang(now, now, ())
            self._gangs_by_job_id[job_id] = gang
        gang.asked_s = now
        gang.demands = tuple(demands)

    def served(self, job_id: str) -> None:
        """Note that a gang got all its room."""
        self._gangs_by_job_id.pop(job_id, None)
        if job_id == self._holder:
            self._end_hold()

    def clear(self) -> None:
        """Forget all gangs."""
        self._gangs_by_job_id.clear()
        self._end_hold()

    def advance(self, now: float) -> bool:
        """End an overdue hold, begin a due one; tell if a hold ended.

        Costs O(waiting gangs) per review, and O(workers log workers) for each
        gang that a hold is tried for.
        """
        if now < self._next_review_s:
            return False
        self._next_review_s = now + self._policy.review_s
        self._forget_silent(now)
        ended = self._end_overdue(now)
        if not self._holder:
            self._begin_hold(now)
        return ended

    def _forget_silent(self, now: float) -> None:
        oldest_s = now - self._policy.silence_s
        for job_id, gang in tuple(self._gangs_by_job_id.items()):
            if gang.asked_s < oldest_s:
                self._gangs_by_job_id.pop(job_id)

    def _end_overdue(self, now: float) -> bool:
        if not self._holder:
            return False
        gang = self._gangs_by_job_id.get(self._holder)
        if gang is not None:
            if now < self._since_s + self._policy.longest_hold_s:
                return False
            gang.since_s = now
        self._end_hold()
        return True

    def _end_hold(self) -> None:
        self._holder = ''
        self.worker_ids = frozenset()

    def _begin_hold(self, now: float) -> None:
        ripe_s = now - self._policy.patience_s
        waiting = sorted(
            (gang.since_s, job_id)
            for job_id, gang in self._gangs_by_job_id.items()
            if gang.since_s <= ripe_s
        )
        for _, job_id in waiting:
            demands = self._gangs_by_job_id[job_id].demands
            worker_ids = _workers_to_drain(self._ledger, demands)
            if worker_ids:
                self._holder = job_id
                self._since_s = now
                self.worker_ids = worker_ids
                return


def _workers_to_drain(
    ledger: CapacityLedger,
    demands: tuple[Resources, ...],
) -> frozenset[str]:
    """Return the emptiest workers that could take all demands when idle.

    Returns the empty set where not all demands fit.
    """
    waiting = sorted(demands, key=_size, reverse=True)
    chosen = []
    for worker in sorted(ledger.open_workers(), key=_used_part):
        left = _pack(waiting, worker.capacity)
        if len(left) < len(waiting):
            chosen.append(worker.worker_id)
        waiting = left
        if not waiting:
            return frozenset(chosen)
    return frozenset()


def _pack(waiting: list[Resources], room: Resources) -> list[Resources]:
    """Return the demands that do not fit into ``room`` with the others."""
    left = []
    for demand in waiting:
        if demand.fits_in(room):
            room -= demand
        else:
            left.append(demand)
    return left


def _size(demand: Resources) -> tuple[int, int, int]:
    return demand.accelerators, demand.cpu_millis, demand.memory_mb


def _used_part(worker: OwnedWorker) -> tuple[float, str]:
    used = (worker.capacity - worker.free).dominant_fraction(worker.capacity)
    return used, worker.worker_id
