"""In-memory state of the cell's workers in the elected scheduler."""

from collections import deque
from collections.abc import Callable, Container

from apricotlead.protocol.cell_workers import (
    EndedTask,
    OrderReply,
    WorkerEntry,
)
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_jobs import TaskPhase, TaskState
from apricotlead.state.worker_lease import WorkerLease
from apricotlead.state.worker_speed import WorkerSpeed

_MS_PER_S = 1000.0
# A suspect that has run for this long does not crash its worker at its start.
TRIAL_S = 0.5


class WorkerState:
    """One incarnation of a worker; times are in seconds of the local clock.

    A worker that restarts under the same id is a new incarnation.
    """

    __slots__ = (
        '_failed_call_s',
        '_is_loss_prompt',
        '_is_loss_refused',
        '_lapsed_runs',
        '_unacked_ends',
        'acked_through',
        'apart_for',
        'connection',
        'consecutive_failures',
        'drain_ends_s',
        'entry',
        'fence',
        'idle_capacity',
        'is_listed',
        'is_proven',
        'is_reconciled',
        'lease',
        'may_grant_lease',
        'not_before_s',
        'placed_count',
        'refused_s',
        'reported_through',
        'runs_to_stop',
        'speed',
        'strays_by_run',
        'suspected_s',
        'tasks_by_name',
        'unanswered_s',
        'used',
    )

    def __init__(self, entry: WorkerEntry, lease: WorkerLease) -> None:
        """Start without tasks, with the registered capacity."""
        self.entry = entry
        self.lease = lease
        # The fencing number of calls to this incarnation.
        self.fence = 0
        self.is_listed = True
        # Whether this incarnation has answered since the latest failed call,
        # and the connection that it answered on.
        self.is_proven = False
        self.connection: int | None = None
        # Whether a report with all ends has shown which restored runs exist.
        self.is_reconciled = False
        # Leases are granted only while the journal does not record the worker
        # as silent.
        self.may_grant_lease = False
        self.tasks_by_name: dict[str, TaskState] = {}
        # Number of runs that were ever placed here.
        self.placed_count = 0
        self.used = Resources()
        # Capacity minus the demand of the long-running tasks placed here.
        self.idle_capacity = entry.capacity
        # (task name, run) pairs that must not run here, oldest first.
        self.runs_to_stop: dict[tuple[str, int], None] = {}
        self.strays_by_run: dict[tuple[str, int], Resources] = {}
        self.speed = WorkerSpeed()
        # What alone may be placed here; ``None`` if all other work may.
        self.apart_for: str | None = None
        self.acked_through = 0
        self.reported_through = 0
        # (number, job id) of the ends between these two, oldest first.
        self._unacked_ends: deque[tuple[int, str]] = deque()
        self.not_before_s = 0.0
        # When the latest order timed out; the worker is suspected to be
        # unreachable until it answers any later call.
        self.suspected_s = float('-inf')
        # When the latest call was sent for which nothing listened.
        self.refused_s = float('-inf')
        # When the latest call timed out; reset by an answer that follows.
        self.unanswered_s = float('-inf')
        # (task name, run) of the runs that ended with the lease while nothing
        # showed whether the worker had crashed.
        self._lapsed_runs: list[tuple[str, int]] = []
        # When the first call failed since the latest answer.
        self._failed_call_s = float('-inf')
        self._is_loss_prompt = False
        self._is_loss_refused = False
        self.consecutive_failures = 0
        self.drain_ends_s: float | None = None

    @property
    def worker_id(self) -> str:
        """Return the worker's id, which all its incarnations share."""
        return self.entry.worker_id

    def update_entry(self, entry: WorkerEntry, now: float) -> None:
        """Apply a registration; the drain deadline is never extended."""
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
        """Return whether a task may be placed or started here now."""
        return self.is_eligible(now) and not self.is_suspected

    def is_eligible(self, now: float) -> bool:
        """Return whether a start order may be sent, ignoring suspicion.

        An order that was sent before may be sent again to a suspected worker.
        """
        if self.entry.draining or self.not_before_s > now:
            return False
        return (
            self.is_listed
            and self.may_grant_lease
            and self.lease.is_usable(now)
        )

    @property
    def is_suspected(self) -> bool:
        """Return whether the worker has been silent since an order timed out.

        Pattern: a network partition between the scheduler and a zone of
        workers. Until the holds time out, work sent there would be
        stuck until its lease ends.
        """
        return self.suspected_s > self.lease.last_contact_s

    @property
    def is_contact_lost(self) -> bool:
        """Return whether a call has failed since the latest answer."""
        return self._failed_call_s > self.lease.last_contact_s

    @property
    def is_loss_dated(self) -> bool:
        """Return whether it is known when contact was lost."""
        return self.is_contact_lost and self._is_loss_prompt

    @property
    def lost_s(self) -> float:
        """Return when the worker may have ended, at the earliest.

        A connection that ends tells at once. A call that gets no answer does
        not, so the worker may have ended right after its latest answer.
        """
        if self.is_loss_dated:
            return self._failed_call_s
        return self.lease.last_contact_s

    @property
    def is_loss_between_calls(self) -> bool:
        """Return whether no call was in flight when contact was lost.

        The next call was refused, since nothing listened any more.
        """
        return self.is_loss_dated and self._is_loss_refused

    def note_failed_call(
        self, now: float, *, is_prompt: bool, is_refused: bool = False
    ) -> None:
        """Record a failed call; ``is_prompt`` if it told at once.

        ``is_refused`` if nothing listened at the worker's address.
        """
        self.forget_connection()
        if not self.is_contact_lost:
            self._failed_call_s = now
            self._is_loss_prompt = is_prompt
            self._is_loss_refused = is_refused

    def note_answer(self, connection: int | None) -> None:
        """Record that this incarnation has answered on a connection."""
        self.is_proven = True
        self.connection = connection

    def is_of_later_life(self, reply: OrderReply, sent_s: float) -> bool:
        """Return whether an answer proves that the worker has restarted."""
        if reply.born_ms > self.entry.born_ms:
            return True
        return self.lease.shows_restart(reply.clock_ms, sent_s)

    def forget_connection(self) -> None:
        """Record that the next call may reach another incarnation."""
        self.is_proven = False
        self.connection = None

    @property
    def runs_until_s(self) -> float:
        """Return when all placed runs have certainly ended, if it is silent."""
        return max(
            (self.run_until_s(task) for task in self.tasks_by_name.values()),
            default=self.lease.latest_expiry_s,
        )

    @property
    def leases_until_s(self) -> float:
        """Return when the leases of all placed runs have certainly expired.

        Starts that are carried out late are not considered: they prolong only
        the runs that they are for.
        """
        return max(
            (self._lease_until_s(task) for task in self.tasks_by_name.values()),
            default=self.lease.latest_expiry_s,
        )

    def run_until_s(self, task: TaskState) -> float:
        """Return when a run has certainly ended, if the worker is silent.

        A start without an answer may begin the run seconds later, also in an
        incarnation that has not been seen yet, and also if a repeated start
        was answered by this one. If nothing listens at the worker's address
        once such a start cannot come any more, nothing has begun by it that
        still runs.
        """
        until_s = self._lease_until_s(task)
        if task.unanswered_start_s is None:
            return until_s
        times = self.lease.times
        if self.refused_s >= times.late_start_until_s(task.unanswered_start_s):
            return until_s
        return max(until_s, times.late_run_until_s(task.unanswered_start_s))

    def note_lapsed_run(self, task: TaskState) -> None:
        """Record a run that ended with the lease of a silent worker."""
        self._lapsed_runs.append((task.name, task.run))

    def forget_lapsed_runs(self) -> None:
        """Discard the record, as the worker has answered: it lives."""
        self._lapsed_runs.clear()

    def lapsed_runs(
        self, task_of: Callable[[str], TaskState | None]
    ) -> list[tuple[TaskState, int]]:
        """Return the runs that lapsed here whose tasks are not done since."""
        runs = ((task_of(name), run) for name, run in self._lapsed_runs)
        return [
            (task, run)
            for task, run in runs
            if task is not None and task.phase is not TaskPhase.DONE
        ]

    def place(self, task: TaskState) -> None:
        """Reserve resources for a task."""
        self.tasks_by_name[task.name] = task
        self.placed_count += 1
        self.used = self.used + task.step.demand()
        if task.step.spec.long_running:
            self.idle_capacity = self.idle_capacity - task.step.demand()

    def release(self, task: TaskState) -> None:
        """Free the resources of a task; idempotent."""
        if self.tasks_by_name.pop(task.name, None) is None:
            return
        self.used = self.used - task.step.demand()
        if task.step.spec.long_running:
            self.idle_capacity = self.idle_capacity + task.step.demand()

    def _lease_until_s(self, task: TaskState) -> float:
        """Return when the lease of a run has certainly expired.

        A run that this incarnation has not confirmed may have been taken by a
        later one, which counts the lease from its own start.
        """
        lease = self.lease
        if task.may_outlast_lease:
            return max(lease.latest_expiry_s, lease.misdirected_until_s)
        return lease.latest_expiry_s

    def record_end(self, ended: EndedTask) -> None:
        """Record an end whose effect may not be in the journal yet."""
        self.reported_through = ended.number
        job_id = ended.task.partition('.')[0]
        self._unacked_ends.append((ended.number, job_id))

    def durable_through(self, dirty_job_ids: Container[str]) -> int:
        """Return the number of the last end whose effects are journaled.

        The effects of an end are not durable while its job is in
        ``dirty_job_ids``.
        """
        for number, job_id in self._unacked_ends:
            if job_id in dirty_job_ids:
                return number - 1
        return self.reported_through

    def acknowledge_through(self, through: int) -> None:
        """Allow ends up to ``through`` to be acknowledged."""
        self.acked_through = max(self.acked_through, through)
        ends = self._unacked_ends
        while ends and ends[0][0] <= self.acked_through:
            ends.popleft()

    def add_stray(self, name: str, run: int, demand: Resources) -> None:
        """Count the resources of a stray run, once.

        A stray run is one that the worker reports but should not have.
        """
        if (name, run) not in self.strays_by_run:
            self.strays_by_run[name, run] = demand
            self.used = self.used + demand

    def drop_stray(self, name: str, run: int) -> None:
        """Free the resources of a stray run that has ended."""
        demand = self.strays_by_run.pop((name, run), None)
        if demand is not None:
            self.used = self.used - demand
