"""Workers that follow the platform's contract, for cells under faults.

They keep what they said until it is acknowledged, refuse old runs and old
epochs, kill everything when a lease ends on their own clock, and run a gang
from the moment when all of its members are there.
"""

from collections.abc import Callable
from itertools import count

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
_STOP_S = 0.6
_GANG_TIMEOUT_S = 3.0


class TaskProfile(Struct, frozen=True):
    """What a task really is: its room, its time, and its gang."""

    name: str
    step: str
    organisation: str
    demand: Resources
    work_s: float
    # How many members start together, 0 for a task of its own.
    gang_size: int = 0

    @property
    def job_id(self) -> str:
        """Return the job of the task."""
        return self.name.partition('.')[0]


class Run(Struct, eq=False):
    """A run on a worker; times in seconds."""

    profile: TaskProfile
    number: int
    began_s: float
    ends_s: float = float('inf')
    stops_s: float = float('inf')


class Gangs:
    """The members of gang runs on all workers."""

    def __init__(self) -> None:
        """Begin without gangs."""
        self._members: dict[tuple[str, int], list[tuple[FaultyWorker, Run]]]
        self._members = {}

    def join(self, worker: 'FaultyWorker', run: Run, now: float) -> None:
        """Add a member; the last one begins the work of all."""
        key = (run.profile.step, run.number)
        members = self._members.setdefault(key, [])
        members.append((worker, run))
        if len(members) == run.profile.gang_size:
            for _, member in members:
                member.ends_s = now + run.profile.work_s

    def is_complete(self, run: Run) -> bool:
        """Tell whether all members are there."""
        key = (run.profile.step, run.number)
        return len(self._members.get(key, ())) == run.profile.gang_size

    def leave(self, run: Run, kind: EndKind) -> None:
        """Take a member away; the others end with it."""
        key = (run.profile.step, run.number)
        others = self._members.pop(key, ())
        how = kind if kind is EndKind.DONE else EndKind.BROKEN
        for worker, member in others:
            if member is not run:
                worker.finish(member.profile.name, how)


class FaultyWorker:
    """One life of a worker."""

    def __init__(
        self,
        entry: WorkerEntry,
        timeline: Timeline,
        gangs: Gangs,
        profile_of: Callable[[str], TaskProfile],
        clock_rate: float = 1.0,
    ) -> None:
        """Begin without runs; its clock runs ``clock_rate`` as fast."""
        self.entry = entry
        self.runs_by_task: dict[str, Run] = {}
        self.is_disconnected = False
        self.has_ended = False
        self.fails_all_tasks = False
        self._timeline = timeline
        self._gangs = gangs
        self._profile_of = profile_of
        self._clock_rate = clock_rate
        self._born_s = timeline.now
        self._deadline_ms = 0.0
        self._epoch = 0
        self._numbers = count(1)
        self._ended: list[EndedTask] = []
        # The highest run of each task that was stopped or has ended.
        self._last_run_by_task: dict[str, int] = {}

    @property
    def clock_ms(self) -> float:
        """Return the worker's own clock."""
        lived_s = self._timeline.now - self._born_s
        return float(int(lived_s * self._clock_rate * _MS_PER_S))

    @property
    def used(self) -> Resources:
        """Return the room that the runs take."""
        return sum(
            (run.profile.demand for run in self.runs_by_task.values()),
            Resources(),
        )

    @property
    def is_usable(self) -> bool:
        """Tell whether the worker may be given work."""
        is_there = not (self.is_disconnected or self.has_ended)
        return is_there and not (self.entry.draining or self.fails_all_tasks)

    def start(self, order: StartOrder, *, has_ticket: bool) -> OrderReply:
        """Carry a start out."""
        if order.epoch < self._epoch:
            return self._refused(Refusal.FENCED)
        self._epoch = order.epoch
        self._deadline_ms = max(self._deadline_ms, order.deadline_ms)
        present = self.runs_by_task.get(order.task)
        if present is not None and present.number == order.run:
            return OrderReply(None, self.clock_ms)
        if order.run <= self._last_run_by_task.get(order.task, 0):
            return self._refused(Refusal.OLD_RUN)
        if order.deadline_ms <= self.clock_ms:
            return self._refused(Refusal.LATE)
        if not has_ticket:
            return self._refused(Refusal.BAD_TICKET)
        self._begin(self._profile_of(order.task), order.run)
        return OrderReply(None, self.clock_ms)

    def stop(self, order: StopOrder) -> OrderReply:
        """Carry a stop out."""
        if order.epoch < self._epoch:
            return self._refused(Refusal.FENCED)
        self._epoch = order.epoch
        run = self.runs_by_task.get(order.task)
        if run is not None and run.number <= order.run:
            run.stops_s = min(run.stops_s, self._timeline.now + _STOP_S)
        self._note_last(order.task, order.run)
        return OrderReply(None, self.clock_ms)

    def accept_hold(self, order: HoldOrder) -> OrderReply:
        """Extend the lease and forget what is acknowledged."""
        if order.epoch < self._epoch:
            return self._refused(Refusal.FENCED)
        self._epoch = order.epoch
        if order.deadline_ms is not None:
            self._deadline_ms = max(self._deadline_ms, order.deadline_ms)
        self._ended = [
            ended for ended in self._ended if ended.number > order.acked_through
        ]
        return OrderReply(None, self.clock_ms)

    @property
    def has_unacked_ends(self) -> bool:
        """Tell whether an end is not acknowledged yet."""
        return bool(self._ended)

    def report(self) -> HoldReport:
        """Return both lists."""
        running = tuple(
            RunningTask(name, run.number, '', self._percent(run))
            for name, run in self.runs_by_task.items()
        )
        return HoldReport(
            self.clock_ms,
            running,
            tuple(self._ended),
            self.entry.born_ms,
        )

    def advance(self) -> None:
        """End what is over by now."""
        if self.runs_by_task and self._deadline_ms <= self.clock_ms:
            for name in tuple(self.runs_by_task):
                self.finish(name, EndKind.LAPSED)
        for run in tuple(self.runs_by_task.values()):
            kind = self._end_kind(run)
            if kind is not None:
                self.finish(run.profile.name, kind)

    def finish(self, name: str, kind: EndKind) -> None:
        """End a run; its gang ends with it."""
        run = self.runs_by_task.pop(name, None)
        if run is None:
            return
        number = next(self._numbers)
        self._ended.append(EndedTask(number, name, run.number, kind))
        self._note_last(name, run.number)
        if run.profile.gang_size:
            self._gangs.leave(run, kind)

    def terminate(self) -> None:
        """End this life; what ran here ends without a word."""
        self.has_ended = True
        for name in tuple(self.runs_by_task):
            self.finish(name, EndKind.LAPSED)
        self._ended.clear()

    def drain(self, left_s: float) -> None:
        """Announce that the worker leaves."""
        self.entry = msgspec.structs.replace(
            self.entry,
            draining=True,
            drain_left_ms=left_s * _MS_PER_S,
        )

    def _begin(self, profile: TaskProfile, number: int) -> None:
        now = self._timeline.now
        run = Run(profile, number, now)
        self.runs_by_task[profile.name] = run
        if profile.gang_size:
            self._gangs.join(self, run, now)
        else:
            run.ends_s = now + profile.work_s

    def _end_kind(self, run: Run) -> EndKind | None:
        now = self._timeline.now
        if run.stops_s <= now:
            return EndKind.STOPPED
        if run.ends_s <= now:
            return EndKind.FAILED if self.fails_all_tasks else EndKind.DONE
        return EndKind.ALONE if self._is_alone(run) else None

    def _is_alone(self, run: Run) -> bool:
        if not run.profile.gang_size or self._gangs.is_complete(run):
            return False
        return self._timeline.now - run.began_s > _GANG_TIMEOUT_S

    def _percent(self, run: Run) -> float:
        whole_s = run.profile.work_s
        left_s = run.ends_s - self._timeline.now
        return max(0, min(99, 100 * (1 - left_s / whole_s)))

    def _note_last(self, task: str, run: int) -> None:
        known = self._last_run_by_task.get(task, 0)
        self._last_run_by_task[task] = max(known, run)

    def _refused(self, refusal: Refusal) -> OrderReply:
        return OrderReply(refusal, self.clock_ms)
