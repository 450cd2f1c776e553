"""The workers of the cell as the elected scheduler sees them."""

from collections import deque
from collections.abc import Container

from apricotlead.protocol.cell_workers import EndedTask, WorkerEntry
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import TaskState
from apricotlead.state.worker_lease import WorkerLease
from apricotlead.state.worker_speed import WorkerSpeed

_MS_PER_S = 1000.0


class WorkerState:
    """One life of a worker; times are local seconds."""

    __slots__ = (
        '_unacked_ends',
        'acked_through',
        'suspected_s',
        'drain_ends_s',
        'entry',
        'consecutive_failures',
        'idle_capacity',
        'may_grant_lease',
        'is_listed',
        'lease',
        'not_before_s',
        'placed_count',
        'reported_through',
        'runs_to_stop',
        'speed',
        'strays_by_run',
        'tasks_by_name',
        'unanswered_s',
        'used',
    )

    def __init__(self, entry: WorkerEntry, lease: WorkerLease) -> None:
        """Start without tasks, as registered."""
        self.entry = entry
        self.lease = lease
        self.is_listed = True
        # Grants need a journal write that no longer calls the worker silent.
        self.may_grant_lease = False
        self.tasks_by_name: dict[str, TaskState] = {}
        # Grows with each run placed here.
        self.placed_count = 0
        self.used = Resources()
        # What is free without its runs, but for those of lasting tasks.
        self.idle_capacity = entry.capacity
        # Tasks and runs that the worker must not have or keep, oldest first.
        self.runs_to_stop: dict[tuple[str, int], None] = {}
        self.strays_by_run: dict[tuple[str, int], Resources] = {}
        self.speed = WorkerSpeed()
        self.acked_through = 0
        self.reported_through = 0
        # The numbers and jobs of the ends between the two, oldest first.
        self._unacked_ends: deque[tuple[int, str]] = deque()
        self.not_before_s = 0.0
        # When an order that was left without an answer was given up waiting
        # for; the worker is in doubt until it answers anything later.
        self.suspected_s = float('-inf')
        # When a call was last left without an answer, until one is answered.
        self.unanswered_s = float('-inf')
        self.consecutive_failures = 0
        self.drain_ends_s: float | None = None

    @property
    def worker_id(self) -> str:
        """Return the id of this life."""
        return self.entry.worker_id

    def update_entry(self, entry: WorkerEntry, now: float) -> None:
        """Take over a registration; a drain notice never grows longer."""
        grown = entry.capacity - self.entry.capacity
        self.idle_capacity = self.idle_capacity + grown
        self.entry = entry
        self.is_listed = True
        if not entry.draining:
            return
        ends_s = now + entry.drain_left_ms / _MS_PER_S
        known_s = self.drain_ends_s
        self.drain_ends_s = ends_s if known_s is None else min(known_s, ends_s)

    def takes_work(self, now: float) -> bool:
        """Return whether a task may be started here now."""
        return self.is_eligible(now) and not self.is_suspected

    def is_eligible(self, now: float) -> bool:
        """Return whether a start that was sent here may be sent again."""
        if self.entry.draining or self.not_before_s > now:
            return False
        return (
            self.is_listed
            and self.may_grant_lease
            and self.lease.is_usable(now)
        )

    @property
    def is_suspected(self) -> bool:
        """Return whether nothing was heard since an order had no answer.

        Pattern: a cut between the scheduler and a zone of workers. Until held
        calls time out, work sent there would be stuck until its lease ends.
        """
        return self.suspected_s > self.lease.last_contact_s

    def place(self, task: TaskState) -> None:
        """Take room for a task."""
        self.tasks_by_name[task.name] = task
        self.placed_count += 1
        self.used = self.used + task.step.demand()
        if task.step.spec.long_running:
            self.idle_capacity = self.idle_capacity - task.step.demand()

    def release(self, task: TaskState) -> None:
        """Give back the room of a task; repeating it changes nothing."""
        if self.tasks_by_name.pop(task.name, None) is None:
            return
        self.used = self.used - task.step.demand()
        if task.step.spec.long_running:
            self.idle_capacity = self.idle_capacity + task.step.demand()

    def record_end(self, ended: EndedTask) -> None:
        """Note an end whose effect the journal may not hold yet."""
        self.reported_through = ended.number
        job_id = ended.task.partition('.')[0]
        self._unacked_ends.append((ended.number, job_id))

    def durable_through(self, dirty_job_ids: Container[str]) -> int:
        """Return up to which end no job has changes left to be journaled."""
        for number, job_id in self._unacked_ends:
            if job_id in dirty_job_ids:
                return number - 1
        return self.reported_through

    def acknowledge_through(self, through: int) -> None:
        """Note that ends up to ``through`` may be acknowledged."""
        self.acked_through = max(self.acked_through, through)
        ends = self._unacked_ends
        while ends and ends[0][0] <= self.acked_through:
            ends.popleft()

    def add_stray(self, name: str, run: int, demand: Resources) -> None:
        """Count the room of a run that must not be here, once."""
        if (name, run) not in self.strays_by_run:
            self.strays_by_run[name, run] = demand
            self.used = self.used + demand

    def drop_stray(self, name: str, run: int) -> None:
        """Give back the room of a stray run that is gone."""
        demand = self.strays_by_run.pop((name, run), None)
        if demand is not None:
            self.used = self.used - demand
