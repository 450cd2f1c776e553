"""Simulates workers that follow the platform's contract, under faults.

They report the end of a run until it is acknowledged, refuse old runs and old
epochs, kill all runs when the lease expires by their own clock, and start the
work of a gang once all its members have started.
"""

from collections import defaultdict
from collections.abc import Callable
from itertools import count, pairwise

import msgspec
from msgspec import Struct

from apricotlead.protocol.cell_workers import (
    EndedTask,
    EndKind,
    HoldOrder,
    HoldReport,
    OrderReply,
    Refusal,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from apricotlead.protocol.resources import Resources
from tests.faulty.timeline import Timeline

_MS_PER_S = 1000.0
# A longer lease is shortened to this, on the worker's own clock.
_MAX_HOLD_MS = 10000.0
_STOP_DURATION_S = 0.6
_GANG_TIMEOUT_S = 3.0
# A smaller capacity counts this long after the change: the platform's bound
# for contact, and one heartbeat.
_CAPACITY_NOTICE_S = 4.5


class TaskProfile(Struct, frozen=True):
    """Holds the actual demand and duration of a task, and its gang's size."""

    name: str
    step: str
    organisation: str
    demand: Resources
    work_s: float
    # The number of gang members that start together, 0 outside a gang.
    gang_size: int = 0
    # The run crashes its worker after this time; never by default.
    crashes_after_s: float = float('inf')
    # So many runs of the gang end ``failed`` in all members at once.
    failing_runs: int = 0

    @property
    def job_id(self) -> str:
        """Return the job of the task."""
        return self.name.partition('.')[0]


class Run(Struct, eq=False):
    """A run of a task on a worker; times are in seconds."""

    profile: TaskProfile
    number: int
    began_s: float
    ends_s: float = float('inf')
    stop_due_s: float = float('inf')
    record: 'RunRecord | None' = None

    @property
    def crash_s(self) -> float:
        """Return when the run crashes its worker."""
        return self.began_s + self.profile.crashes_after_s


class RunRecord(Struct, eq=False):
    """What became of a run; times are in seconds.

    ``is_noted``: the worker took the end as acknowledged. ``is_void``: its
    lease lapsed before that, so the end never counts as acknowledged.
    """

    worker_id: str
    born_s: float
    profile: TaskProfile
    number: int
    began_s: float
    # When the order that started it was sent.
    sent_s: float
    ended_s: float = float('inf')
    kind: EndKind | None = None
    is_noted: bool = False
    is_void: bool = False


class Gangs:
    """Tracks the members of gang runs across all workers."""

    def __init__(self) -> None:
        """Create a registry without gangs."""
        self._members: dict[tuple[str, int], list[tuple[FaultyWorker, Run]]]
        self._members = {}
        # The runs of each step that ended ``failed`` by their own fault.
        self._failed_runs_by_step: defaultdict[str, set[int]]
        self._failed_runs_by_step = defaultdict(set)

    def join(self, worker: 'FaultyWorker', run: Run, now: float) -> None:
        """Add a member; the work starts when the last one joins."""
        key = (run.profile.step, run.number)
        members = self._members.setdefault(key, [])
        members.append((worker, run))
        if len(members) == run.profile.gang_size:
            for _, member in members:
                member.ends_s = now + run.profile.work_s

    def is_complete(self, run: Run) -> bool:
        """Return whether all members of the run's gang have joined."""
        key = (run.profile.step, run.number)
        return len(self._members.get(key, ())) == run.profile.gang_size

    def leave(self, run: Run, kind: EndKind) -> None:
        """Remove a member and end all others of its gang."""
        key = (run.profile.step, run.number)
        others = self._members.pop(key, ())
        how = kind if kind is EndKind.DONE else EndKind.BROKEN
        if self.is_failing(run) and kind is EndKind.FAILED:
            # The members fail at the same moment, each by its own fault.
            how = EndKind.FAILED
            self._failed_runs_by_step[run.profile.step].add(run.number)
        for worker, member in others:
            if member is not run:
                worker.finish(member.profile.name, how)

    def is_failing(self, run: Run) -> bool:
        """Return whether a run ends ``failed`` by its own fault."""
        failed_runs = self._failed_runs_by_step[run.profile.step]
        return len(failed_runs) < run.profile.failing_runs


class FaultyWorker:
    """Simulates one worker process.

    A restart creates another object, perhaps under the same worker id.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        timeline: Timeline,
        gangs: Gangs,
        profile_of: Callable[[str], TaskProfile],
        clock_rate: float = 1.0,
    ) -> None:
        """Create a worker whose clock runs ``clock_rate`` times as fast."""
        self.entry = entry
        self.runs_by_task: dict[str, Run] = {}
        self.is_disconnected = False
        self.has_ended = False
        self.fails_all_tasks = False
        # Whether callers see at once that the process has ended.
        self.closes_connections = False
        # The starts of this process: when, and of which task.
        self.starts: list[tuple[float, str]] = []
        # The capacities of this process, each with when it began.
        self.capacity_changes = [(timeline.now, entry.capacity)]
        # The starts that brought it over its capacity for too long already.
        self.starts_over: list[tuple[float, str]] = []
        self._timeline = timeline
        self._gangs = gangs
        self._profile_of = profile_of
        self._clock_rate = clock_rate
        self._born_s = timeline.now
        # Until when the registration of this process is not seen.
        self.registers_from_s = timeline.now
        # Whether an acknowledgement also applies to ends that come after it.
        self.acks_later_ends = False
        # The connection that this process answers holds on.
        self.connection = 0
        self.records: list[RunRecord] = []
        self._deadline_ms = 0.0
        self._epoch = 0
        self._acked_through = 0
        self._numbers = count(1)
        self._ended: list[EndedTask] = []
        self._records_by_number: dict[int, RunRecord] = {}
        # The highest run number of each task that was stopped or has ended.
        self._last_run_by_task: dict[str, int] = {}

    @property
    def clock_ms(self) -> float:
        """Return the worker's own clock, whole milliseconds since its start."""
        lived_s = self._timeline.now - self._born_s
        return float(int(lived_s * self._clock_rate * _MS_PER_S))

    @property
    def used(self) -> Resources:
        """Return the resources that the runs use."""
        return sum(
            (run.profile.demand for run in self.runs_by_task.values()),
            Resources(),
        )

    @property
    def is_usable(self) -> bool:
        """Return whether the worker can be given tasks and will run them."""
        is_there = not (self.is_disconnected or self.has_ended)
        return is_there and not (self.entry.draining or self.fails_all_tasks)

    def start(
        self,
        order: StartOrder,
        *,
        has_ticket: bool,
        sent_s: float,
    ) -> OrderReply:
        """Execute a start order, which was sent at ``sent_s``, or refuse it."""
        if order.epoch < self._epoch:
            return self._refused(Refusal.FENCED)
        self._epoch = order.epoch
        self._extend_lease(order.deadline_ms)
        present = self.runs_by_task.get(order.task)
        if present is not None and present.number == order.run:
            return self._accepted()
        if order.run <= self._last_run_by_task.get(order.task, 0):
            return self._refused(Refusal.OLD_RUN)
        if order.deadline_ms <= self.clock_ms:
            return self._refused(Refusal.LATE)
        if not has_ticket:
            return self._refused(Refusal.BAD_TICKET)
        self._begin(self._profile_of(order.task), order.run, sent_s)
        return self._accepted()

    def stop(self, order: StopOrder) -> OrderReply:
        """Execute a stop order or refuse it."""
        if order.epoch < self._epoch:
            return self._refused(Refusal.FENCED)
        self._epoch = order.epoch
        run = self.runs_by_task.get(order.task)
        if run is not None and run.number <= order.run:
            run.stop_due_s = min(
                run.stop_due_s, self._timeline.now + _STOP_DURATION_S
            )
        self._record_last_run(order.task, order.run)
        return self._accepted()

    def accept_hold(self, order: HoldOrder) -> OrderReply:
        """Extend the lease and drop the acknowledged ends."""
        if order.epoch < self._epoch:
            return self._refused(Refusal.FENCED)
        self._epoch = order.epoch
        if order.deadline_ms is not None:
            self._extend_lease(order.deadline_ms)
        self._drop_ends(order.acked_through)
        if self.acks_later_ends:
            acked_through = max(self._acked_through, order.acked_through)
            self._acked_through = acked_through
        return self._accepted()

    @property
    def has_unacked_ends(self) -> bool:
        """Return whether any end is not acknowledged yet."""
        return bool(self._ended)

    def report(self) -> HoldReport:
        """Return the running and the ended runs.

        An end that comes after its acknowledgement is listed once.
        """
        running = tuple(
            RunningTask(name, run.number, '', self._percent(run))
            for name, run in self.runs_by_task.items()
        )
        report = _with_known(
            HoldReport(
                self.clock_ms,
                running,
                tuple(self._ended),
                self.entry.born_ms,
            ),
            connection=self.connection,
        )
        self._drop_ends(self._acked_through)
        return report

    def crashing_task(self) -> str:
        """Return the task that crashes this process now, if there is one."""
        for run in self.runs_by_task.values():
            if run.crash_s <= self._timeline.now:
                return run.profile.name
        return ''

    def change_capacity(self, capacity: Resources) -> None:
        """Change the capacity that the next registration gives."""
        self.capacity_changes.append((self._timeline.now, capacity))
        self.entry = msgspec.structs.replace(self.entry, capacity=capacity)

    def advance(self) -> None:
        """End the runs whose lease, stop or work is due by now."""
        if self._deadline_ms <= self.clock_ms:
            self._lapse()
        for run in tuple(self.runs_by_task.values()):
            kind = self._end_kind(run)
            if kind is not None:
                self.finish(run.profile.name, kind)

    def finish(self, name: str, kind: EndKind) -> None:
        """End a run, and with it all other members of its gang."""
        run = self.runs_by_task.pop(name, None)
        if run is None:
            return
        number = next(self._numbers)
        self._ended.append(EndedTask(number, name, run.number, kind))
        self._records_by_number[number] = run.record
        run.record.ended_s = self._timeline.now
        run.record.kind = kind
        self._record_last_run(name, run.number)
        if run.profile.gang_size:
            self._gangs.leave(run, kind)

    def terminate(self) -> None:
        """End this process; its runs end without being reported."""
        self.has_ended = True
        for name in tuple(self.runs_by_task):
            self.finish(name, EndKind.LAPSED)
        self._ended.clear()

    def drain(self, left_s: float) -> None:
        """Mark the registration as draining."""
        self.entry = msgspec.structs.replace(
            self.entry,
            draining=True,
            drain_left_ms=left_s * _MS_PER_S,
        )

    def _lapse(self) -> None:
        """End all runs; ends that are not acknowledged by now never count."""
        lived_s = self._deadline_ms / self._clock_rate / _MS_PER_S
        for run in tuple(self.runs_by_task.values()):
            self.finish(run.profile.name, EndKind.LAPSED)
            if run.record.kind is EndKind.LAPSED:
                run.record.ended_s = self._born_s + lived_s
        for ended in self._ended:
            self._records_by_number[ended.number].is_void = True

    def _extend_lease(self, deadline_ms: float) -> None:
        """Extend the lease, which never becomes shorter."""
        deadline_ms = min(deadline_ms, self.clock_ms + _MAX_HOLD_MS)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def _drop_ends(self, acked_through: int) -> None:
        """Forget the ends up to ``acked_through``."""
        kept: list[EndedTask] = []
        for ended in self._ended:
            if ended.number > acked_through:
                kept.append(ended)
            else:
                self._records_by_number[ended.number].is_noted = True
        self._ended = kept

    def _begin(self, profile: TaskProfile, number: int, sent_s: float) -> None:
        now = self._timeline.now
        run = Run(profile, number, now)
        run.record = RunRecord(
            self.entry.worker_id, self._born_s, profile, number, now, sent_s
        )
        self.records.append(run.record)
        self.runs_by_task[profile.name] = run
        self.starts.append((now, profile.name))
        if not self.used.fits_in(self._largest_recent_capacity()):
            self.starts_over.append((now, profile.name))
        if profile.gang_size:
            self._gangs.join(self, run, now)
        else:
            run.ends_s = now + profile.work_s

    def _largest_recent_capacity(self) -> Resources:
        """Return the largest capacity of the time that a change is allowed."""
        since_s = self._timeline.now - _CAPACITY_NOTICE_S
        recent = [
            capacity
            for (_, capacity), (ends_s, _) in pairwise(self.capacity_changes)
            if ends_s > since_s
        ]
        recent.append(self.entry.capacity)
        return max(recent, key=lambda capacity: capacity.cpu_millis)

    def _end_kind(self, run: Run) -> EndKind | None:
        now = self._timeline.now
        if run.stop_due_s <= now:
            return EndKind.STOPPED
        if run.ends_s <= now:
            fails = self.fails_all_tasks or self._gangs.is_failing(run)
            return EndKind.FAILED if fails else EndKind.DONE
        return EndKind.ALONE if self._is_alone(run) else None

    def _is_alone(self, run: Run) -> bool:
        if not run.profile.gang_size or self._gangs.is_complete(run):
            return False
        return self._timeline.now - run.began_s > _GANG_TIMEOUT_S

    def _percent(self, run: Run) -> float:
        duration_s = run.profile.work_s
        left_s = run.ends_s - self._timeline.now
        return max(0, min(99, 100 * (1 - left_s / duration_s)))

    def _record_last_run(self, task: str, run: int) -> None:
        known = self._last_run_by_task.get(task, 0)
        self._last_run_by_task[task] = max(known, run)

    def _accepted(self) -> OrderReply:
        return self._reply(None)

    def _refused(self, refusal: Refusal) -> OrderReply:
        return self._reply(refusal)

    def _reply(self, refusal: Refusal | None) -> OrderReply:
        reply = OrderReply(refusal, self.clock_ms)
        return _with_known(reply, born_ms=self.entry.born_ms)


def _with_known(answer: Struct, **values: object) -> Struct:
    """Set the fields that the class of ``answer`` has; ignore the others."""
    known = {
        name: given
        for name, given in values.items()
        if name in answer.__struct_fields__
    }
    return msgspec.structs.replace(answer, **known)
