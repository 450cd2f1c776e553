"""Capacity reserved for a request until the stopped attempts have ended."""

from collections.abc import Iterator

from msgspec import Struct

_NO_WORKERS: frozenset[str] = frozenset()


class Claim(Struct, frozen=True):
    """A worker whose capacity is reserved for one task until ``ends_s``.

    ``attempt_id`` is the attempt that the home session requested last.
    """

    worker_id: str
    attempt_id: str
    ends_s: float


def task_of(attempt_id: str) -> str:
    """Return the task of an attempt ``{job_id}.{task}.{epoch}-{n}``."""
    return attempt_id.rpartition('.')[0]


class PreemptionClaims:
    """At most one claim per worker and per task.

    Claims are keyed by task, because a home session repeats a request with a
    new attempt id. Lookups cost O(1); adding or ending a claim costs
    O(claims).
    """

    __slots__ = ('_claims_by_task', '_tasks_by_worker', '_worker_ids')

    def __init__(self) -> None:
        """Start without claims."""
        self._claims_by_task: dict[str, Claim] = {}
        self._tasks_by_worker: dict[str, str] = {}
        self._worker_ids = _NO_WORKERS

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._claims_by_task)

    @property
    def worker_ids(self) -> frozenset[str]:
        """Return the claimed workers."""
        return self._worker_ids

    def add(self, claim: Claim) -> None:
        """Reserve the capacity of a worker without a claim."""
        task = task_of(claim.attempt_id)
        self._claims_by_task[task] = claim
        self._tasks_by_worker[claim.worker_id] = task
        self._worker_ids = frozenset(self._tasks_by_worker)

    def on(self, worker_id: str) -> Claim | None:
        """Return the claim on a worker."""
        return self._claims_by_task.get(
            self._tasks_by_worker.get(worker_id, '')
        )

    def reassign(self, attempt_id: str) -> Claim | None:
        """Reassign the claim of the attempt's task to it; return the claim."""
        task = task_of(attempt_id)
        claim = self._claims_by_task.get(task)
        if claim is not None:
            claim = Claim(claim.worker_id, attempt_id, claim.ends_s)
            self._claims_by_task[task] = claim
        return claim

    def excluded_workers(self, attempt_id: str) -> frozenset[str]:
        """Return the workers whose capacity is reserved for other tasks."""
        if not self._worker_ids:
            return _NO_WORKERS
        claim = self._claims_by_task.get(task_of(attempt_id))
        if claim is None:
            return self._worker_ids
        return self._worker_ids - {claim.worker_id}

    def end(self, attempt_id: str) -> None:
        """End the claim of the attempt's task."""
        claim = self._claims_by_task.pop(task_of(attempt_id), None)
        if claim is not None:
            self._tasks_by_worker.pop(claim.worker_id)
            self._worker_ids = frozenset(self._tasks_by_worker)

    def end_overdue(self, now: float) -> Iterator[str]:
        """End claims that were not used in time; yield their workers."""
        for claim in tuple(self._claims_by_task.values()):
            if claim.ends_s <= now:
                self.end(claim.attempt_id)
                yield claim.worker_id

    def clear(self) -> None:
        """End all claims."""
        self._claims_by_task.clear()
        self._tasks_by_worker.clear()
        self._worker_ids = _NO_WORKERS
