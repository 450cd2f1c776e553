"""Keeps small tasks from starving a gang or a large urgent task."""

from collections.abc import Iterable

from msgspec import Struct

from apricotlead.protocol.resources import Resources
from apricotlead.state.capacity_ledger import CapacityLedger, OwnedWorker

# Jobs that one review tries to hold workers for; bounds its time when many
# wait that the owned workers could never take.
_MAX_TRIED = 8


class HoldSettings(Struct, frozen=True):
    """Times in seconds.

    A job that asks again ``patience_s`` (urgent jobs: ``urgent_patience_s``)
    after it first asked gets workers held for it. It loses them after
    ``longest_hold_s``, or when it has not asked again for ``silence_s`` (the
    home of a gang asks again after about 4 s). Holds are reviewed every
    ``review_s``.
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
    has_room: bool = False


class CapacityHolds:
    """Workers that drain for the job that has waited longest.

    Only gangs and urgent jobs have holds. They are known by job id, since
    each try brings fresh request and attempt ids. All work but urgent work
    avoids the held workers, so that their room adds up. One job at a time
    has a hold, urgent ones first, and only one that the owned workers could
    take if they were idle.
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
        """Begin with nothing held."""
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
        """Note that a job asks for room; its age counts from the first time.

        Owners that are asked for parts of one gang therefore agree about
        which gang is the oldest.
        """
        waiting = self._waiting_by_job_id.get(job_id)
        if waiting is None:
            waiting = _WaitingJob(now, now, urgent, ())
            self._waiting_by_job_id[job_id] = waiting
        waiting.last_request_s = now
        waiting.has_room = False
        waiting.demands = tuple(demands)

    def record_served(self, job_id: str, is_complete: bool) -> None:
        """Note that a job got all the room that it asked for here.

        A job that is not ``is_complete`` placed here keeps its age, because it
        comes back if other owners have no room for the rest.
        """
        if job_id == self._holder:
            self._end_hold()
        if is_complete:
            self._waiting_by_job_id.pop(job_id, None)
        elif job_id in self._waiting_by_job_id:
            self._waiting_by_job_id[job_id].has_room = True

    def clear(self) -> None:
        """Forget all jobs."""
        self._waiting_by_job_id.clear()
        self._end_hold()

    def advance(self, now: float) -> bool:
        """End an overdue hold, begin a due one; tell if a hold ended.

        Costs O(waiting jobs) per review, and O(workers log workers) for each
        job that a hold is tried for.
        """
        if now < self._next_review_s:
            return False
        self._next_review_s = now + self._settings.review_s
        self._forget_silent(now)
        ended = self._end_overdue(now)
        if not self._holder:
            self._begin_hold(now)
        return ended

    def _forget_silent(self, now: float) -> None:
        oldest_s = now - self._settings.silence_s
        for job_id, waiting in tuple(self._waiting_by_job_id.items()):
            if waiting.last_request_s < oldest_s:
                self._waiting_by_job_id.pop(job_id)

    def _end_overdue(self, now: float) -> bool:
        if not self._holder:
            return False
        waiting = self._waiting_by_job_id.get(self._holder)
        if waiting is not None and self._is_useful():
            if now < self._since_s + self._settings.longest_hold_s:
                return False
            waiting.since_s = now
        self._end_hold()
        return True

    def _is_useful(self) -> bool:
        """Tell whether all held workers can still give their room."""
        workers_by_id = self._ledger.workers_by_id
        return all(
            worker_id in workers_by_id and workers_by_id[worker_id].is_open()
            for worker_id in self.worker_ids
        )

    def _end_hold(self) -> None:
        self._holder = ''
        self.worker_ids = frozenset()

    def _begin_hold(self, now: float) -> None:
        ripe = sorted(
            (not waiting.urgent, waiting.since_s, job_id)
            for job_id, waiting in self._waiting_by_job_id.items()
            if self._is_ripe(waiting)
        )
        for _, _, job_id in ripe[:_MAX_TRIED]:
            demands = self._waiting_by_job_id[job_id].demands
            worker_ids = _workers_to_drain(self._ledger, demands)
            if worker_ids:
                self._holder = job_id
                self._since_s = now
                self.worker_ids = worker_ids
                return

    def _is_ripe(self, waiting: _WaitingJob) -> bool:
        """Tell whether the job asked again after its patience had passed."""
        patience_s = self._settings.patience_s
        if waiting.urgent:
            patience_s = self._settings.urgent_patience_s
        asked_for_s = waiting.last_request_s - waiting.since_s
        return asked_for_s >= patience_s and not waiting.has_room


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
