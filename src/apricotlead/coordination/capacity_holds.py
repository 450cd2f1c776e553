"""Prevents small tasks from starving a gang or a large urgent task."""

from collections.abc import Iterable

from msgspec import Struct

from apricotlead.protocol.resources import Resources
from apricotlead.state.capacity_ledger import CapacityLedger, OwnedWorker

# Jobs for which one review tries to hold workers; bounds its time when many
# jobs wait that do not fit on the owned workers at all.
_MAX_JOBS_TRIED = 8


class HoldSettings(Struct, frozen=True):
    """Times in seconds.

    Workers are held for a job that repeats its request ``patience_s`` (urgent
    jobs: ``urgent_patience_s``) after its first one. The hold ends after
    ``longest_hold_s``, or when the job has made no request for ``silence_s``
    (the home of a gang repeats a request after about 4 s). Holds are reviewed
    every ``review_s``.
    """

    patience_s: float = 2.0
    urgent_patience_s: float = 0.3
    silence_s: float = 8.0
    longest_hold_s: float = 120.0
    review_s: float = 0.1


class _WaitingJob(Struct):
    since_s: float
    last_request_s: float
    urgent: bool
    demands: tuple[Resources, ...]
    is_satisfied: bool = False


class CapacityHolds:
    """Workers that are drained for the job that has waited longest.

    Only gangs and urgent jobs get a hold. They are identified by job id,
    because each try has new request and attempt ids. All work except urgent
    work avoids the held workers, so that their free capacity accumulates. One
    job at a time has a hold, urgent ones first, and only a job that would fit
    on the owned workers if these were idle.
    """

    __slots__ = (
        '_waiting_by_job_id',
        '_holder',
        '_ledger',
        '_next_review_s',
        '_settings',
        '_since_s',
        'worker_ids',
    )

    def __init__(self, settings: HoldSettings, ledger: CapacityLedger) -> None:
        """Start with nothing held."""
        self._settings = settings
        self._ledger = ledger
        self._waiting_by_job_id: dict[str, _WaitingJob] = {}
        self._holder = ''
        self._since_s = 0.0
        self._next_review_s = float('-inf')
        self.worker_ids: frozenset[str] = frozenset()

    def is_holder(self, job_id: str) -> bool:
        """Tell whether the held workers are for this job."""
        return bool(job_id) and job_id == self._holder

    def record_request(
        self,
        job_id: str,
        demands: Iterable[Resources],
        urgent: bool,
        now: float,
    ) -> None:
        """Record a request of a job; its age counts from the first one.

        Owners that are asked for parts of one gang therefore agree on which
        gang is the oldest.
        """
        waiting = self._waiting_by_job_id.get(job_id)
        if waiting is None:
            waiting = _WaitingJob(now, now, urgent, ())
            self._waiting_by_job_id[job_id] = waiting
        waiting.last_request_s = now
        waiting.is_satisfied = False
        waiting.demands = tuple(demands)

    def record_served(self, job_id: str, is_complete: bool) -> None:
        """Record that a job got all the capacity that it requested here.

        Unless the request ``is_complete``, that is for the whole job, the job
        keeps its age: it asks again if other owners lack capacity for the
        remaining tasks.
        """
        if job_id == self._holder:
            self._end_hold()
        if is_complete:
            self._waiting_by_job_id.pop(job_id, None)
        elif job_id in self._waiting_by_job_id:
            self._waiting_by_job_id[job_id].is_satisfied = True

    def clear(self) -> None:
        """Remove all jobs and end the hold."""
        self._waiting_by_job_id.clear()
        self._end_hold()

    def advance(self, now: float) -> bool:
        """End an expired hold, start a due one; tell whether a hold ended.

        Costs O(waiting jobs) per review, and O(workers log workers) for each
        job for which a hold is tried.
        """
        if now < self._next_review_s:
            return False
        self._next_review_s = now + self._settings.review_s
        self._remove_silent(now)
        ended = self._end_overdue(now)
        if not self._holder:
            self._begin_hold(now)
        return ended

    def _remove_silent(self, now: float) -> None:
        oldest_s = now - self._settings.silence_s
        for job_id, waiting in tuple(self._waiting_by_job_id.items()):
            if waiting.last_request_s < oldest_s:
                self._waiting_by_job_id.pop(job_id)

    def _end_overdue(self, now: float) -> bool:
        if not self._holder:
            return False
        waiting = self._waiting_by_job_id.get(self._holder)
        if waiting is not None and self._are_workers_usable():
            if now < self._since_s + self._settings.longest_hold_s:
                return False
            waiting.since_s = now
        self._end_hold()
        return True

    def _are_workers_usable(self) -> bool:
        """Tell whether all held workers are still owned and take grants."""
        workers_by_id = self._ledger.workers_by_id
        return all(
            worker_id in workers_by_id and workers_by_id[worker_id].is_open()
            for worker_id in self.worker_ids
        )

    def _end_hold(self) -> None:
        self._holder = ''
        self.worker_ids = frozenset()

    def _begin_hold(self, now: float) -> None:
        due = sorted(
            (not waiting.urgent, waiting.since_s, job_id)
            for job_id, waiting in self._waiting_by_job_id.items()
            if self._is_due(waiting)
        )
        for _, _, job_id in due[:_MAX_JOBS_TRIED]:
            demands = self._waiting_by_job_id[job_id].demands
            worker_ids = _workers_to_drain(self._ledger, demands)
            if worker_ids:
                self._holder = job_id
                self._since_s = now
                self.worker_ids = worker_ids
                return

    def _is_due(self, waiting: _WaitingJob) -> bool:
        """Tell whether the job, still waiting, asked again after its patience."""
        patience_s = self._settings.patience_s
        if waiting.urgent:
            patience_s = self._settings.urgent_patience_s
        waited_s = waiting.last_request_s - waiting.since_s
        return waited_s >= patience_s and not waiting.is_satisfied


def _workers_to_drain(
    ledger: CapacityLedger,
    demands: tuple[Resources, ...],
) -> frozenset[str]:
    """Return the least used workers that fit all demands when idle.

    Returns the empty set if not all demands fit.
    """
    waiting = sorted(demands, key=_demand_sort_key, reverse=True)
    chosen = []
    for worker in sorted(ledger.open_workers(), key=_used_sort_key):
        remaining = _pack(waiting, worker.capacity)
        if len(remaining) < len(waiting):
            chosen.append(worker.worker_id)
        waiting = remaining
        if not waiting:
            return frozenset(chosen)
    return frozenset()


def _pack(
    waiting: list[Resources], free_capacity: Resources
) -> list[Resources]:
    """Return the demands that do not fit into the capacity with the others."""
    remaining = []
    for demand in waiting:
        if demand.fits_in(free_capacity):
            free_capacity -= demand
        else:
            remaining.append(demand)
    return remaining


def _demand_sort_key(demand: Resources) -> tuple[int, int, int]:
    return demand.accelerators, demand.cpu_millis, demand.memory_mb


def _used_sort_key(worker: OwnedWorker) -> tuple[float, str]:
    used_fraction = (worker.capacity - worker.free).dominant_fraction(
        worker.capacity
    )
    return used_fraction, worker.worker_id
