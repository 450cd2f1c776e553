"""The queue of tasks that wait for capacity, in order of service."""

from collections.abc import Iterable, Iterator
from heapq import heapify, heappop, heappush
from typing import Literal

from sortedcontainers import SortedDict

from apricotlead.protocol.jobs import Priority
from apricotlead.protocol.resources import Resources
from apricotlead.state.job_table import JobEntry, TaskEntry

PendingState = Literal['ready', 'delayed', 'reserving', 'gone']
# A team and a journal; each such pair has an allotment of its own.
Lane = tuple[str, str]

RANKS = range(4)
_NORMAL = 2
_BATCH = 1


class Pending:
    """A queue entry: one batch task, or all tasks of a gang.

    ``rank`` orders by priority class, then gang before batch; ``refusals``
    counts the failed reservation rounds, ``limit_misses`` the failed attempts
    to take units of the limit; ``avoid_workers`` are the workers on which an
    attempt of any of the tasks failed.
    """

    __slots__ = (
        'avoid_workers',
        'demands',
        'is_gang',
        'job_id',
        'journal_id',
        'limit_misses',
        'priority',
        'refusals',
        'serial',
        'state',
        'tasks',
        'team',
    )

    def __init__(
        self,
        job: JobEntry,
        tasks: tuple[int, ...],
        serial: int,
    ) -> None:
        """Copy the demands of these tasks from their job."""
        entries = tuple(job.tasks[task] for task in tasks)
        self.journal_id = job.journal_id
        self.job_id = job.job_id
        self.team = job.team
        self.tasks = tasks
        self.serial = serial
        self.is_gang = job.is_gang()
        self.priority: Priority = job.submission.priority
        self.demands = tuple(entry.spec.demand for entry in entries)
        self.avoid_workers = _failed_workers(entries)
        self.refusals = 0
        self.limit_misses = 0
        self.state: PendingState = 'ready'

    @property
    def lane(self) -> Lane:
        """Return the team and the journal."""
        return (self.team, self.journal_id)

    @property
    def rank(self) -> int:
        """Return the rank of its class; 0 is served first."""
        urgency = 0 if self.priority == 'urgent' else _NORMAL
        return urgency + (0 if self.is_gang else _BATCH)

    def total_demand(self) -> Resources:
        """Return the sum of the tasks' demands."""
        return sum(self.demands, Resources())


class DispatchQueue:
    """Pending work by rank and lane, first come first served in each lane.

    Adding, withdrawing and taking cost O(log n). Refused work waits in a
    heap until its delay is over and then returns to its old position.
    """

    __slots__ = ('_delayed', '_lanes_by_rank', '_pending_by_task', '_serial')

    def __init__(self) -> None:
        """Start empty."""
        self._serial = 0
        self._lanes_by_rank: list[dict[Lane, SortedDict]] = [{} for _ in RANKS]
        self._pending_by_task: dict[tuple[str, int], Pending] = {}
        self._delayed: list[tuple[float, int, Pending]] = []

    def __len__(self) -> int:
        """Return the number of tasks that wait or are being reserved."""
        return len(self._pending_by_task)

    def add(self, job: JobEntry, tasks: tuple[int, ...]) -> None:
        """Queue each batch task as its own entry, a gang as one entry."""
        groups = (tasks,) if job.is_gang() else tuple((one,) for one in tasks)
        for group in groups:
            self._serial += 1
            pending = Pending(job, group, self._serial)
            for task in group:
                self._pending_by_task[job.job_id, task] = pending
            self._make_ready(pending)

    def find(self, job_id: str, tasks: Iterable[int]) -> Iterator[Pending]:
        """Yield the entries of these tasks, each entry once."""
        seen: set[int] = set()
        for task in tasks:
            pending = self._pending_by_task.get((job_id, task))
            if pending is not None and pending.serial not in seen:
                seen.add(pending.serial)
                yield pending

    def lanes(self, rank: int) -> Iterable[Lane]:
        """Return the lanes of a rank that have ready work."""
        return self._lanes_by_rank[rank].keys()

    def first(self, rank: int, lane: Lane) -> Pending | None:
        """Return the oldest ready work of a lane."""
        ready = self._lanes_by_rank[rank].get(lane)
        return ready.peekitem(0)[1] if ready else None

    def reserve(self, pending: Pending) -> None:
        """Remove ready work from its lane for a reservation round."""
        self._remove_from_lane(pending)
        pending.state = 'reserving'

    def delay(self, pending: Pending, due_s: float) -> None:
        """Return work of a failed round to the queue, ready at ``due_s``."""
        pending.state = 'delayed'
        heappush(self._delayed, (due_s, pending.serial, pending))

    def wake(self, now: float) -> None:
        """Make the entries ready whose delay is over."""
        while self._delayed and self._delayed[0][0] <= now:
            pending = heappop(self._delayed)[2]
            if pending.state == 'delayed':
                self._make_ready(pending)

    def remove(self, pending: Pending) -> None:
        """Remove work that was placed or withdrawn."""
        if pending.state == 'ready':
            self._remove_from_lane(pending)
        pending.state = 'gone'
        for task in pending.tasks:
            self._pending_by_task.pop((pending.job_id, task), None)

    def remove_journal(self, journal_id: str) -> None:
        """Remove all work of a journal."""
        for pending in tuple(self._pending_by_task.values()):
            if pending.journal_id == journal_id:
                self.remove(pending)
        self._delayed = [
            entry for entry in self._delayed if entry[2].state == 'delayed'
        ]
        heapify(self._delayed)

    def _make_ready(self, pending: Pending) -> None:
        pending.state = 'ready'
        lanes = self._lanes_by_rank[pending.rank]
        lanes.setdefault(pending.lane, SortedDict())[pending.serial] = pending

    def _remove_from_lane(self, pending: Pending) -> None:
        lanes = self._lanes_by_rank[pending.rank]
        ready = lanes[pending.lane]
        ready.pop(pending.serial, None)
        if not ready:
            lanes.pop(pending.lane)


def _failed_workers(entries: Iterable[TaskEntry]) -> tuple[str, ...]:
    failed = {
        worker_id for entry in entries for worker_id in entry.failed_workers()
    }
    return tuple(sorted(failed))
