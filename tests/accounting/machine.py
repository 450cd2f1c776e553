"""Models a worker that handles leases and runs as the protocol requires."""

import random

import msgspec

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

MACHINE_SIZE = Resources(4000, 4096, 0)
_MAX_LEASE_MS = 10000
_MAX_STOP_S = 0.9
# Clock rates of workers are drawn between this and 1.
_MIN_CLOCK_RATE = 0.98


class Run:
    """A run on a machine; no order started it if ``is_stray`` is set."""

    def __init__(self, now: float, *, is_stray: bool = False) -> None:
        """Create a run that starts now."""
        self.began_s = now
        self.stop_due_s: float | None = None
        self.is_stray = is_stray


class Machine:
    """One worker process; callers call :meth:`pass_time` before others.

    A restart under the same worker id is another machine.
    """

    def __init__(
        self,
        worker_id: str,
        born_s: float,
        rng: random.Random,
    ) -> None:
        """Create a machine without runs."""
        self.entry = WorkerEntry(
            worker_id,
            'transcripts',
            f'{worker_id}:80',
            'north',
            MACHINE_SIZE,
            ('kind', 'rack'),
            born_ms=born_s * 1000,
        )
        self.runs: dict[tuple[str, int], Run] = {}
        self.ended: list[EndedTask] = []
        self.is_reachable = True
        self.is_alive = True
        self.end_count = 0
        # The number of the end of each task that was done in this lease.
        self.done_numbers_by_task: dict[str, int] = {}
        self.acked_done_tasks: set[str] = set()
        # Runs that have ended since the gangs were last checked.
        self.new_ends: list[tuple[str, int, EndKind]] = []
        self._rng = rng
        self._born_s = born_s
        self._clock_rate = rng.uniform(_MIN_CLOCK_RATE, 1)
        self._highest_by_task: dict[str, int] = {}
        self._epoch = 0
        self._deadline_ms = 0.0

    def clock_ms(self, now: float) -> float:
        """Return the machine's own clock in milliseconds since its start."""
        return (now - self._born_s) * self._clock_rate * 1000

    def pass_time(self, now: float) -> None:
        """End the runs whose stop is due or whose lease has expired."""
        for (task, run), state in tuple(self.runs.items()):
            if state.stop_due_s is not None and state.stop_due_s <= now:
                self.end(task, run, EndKind.STOPPED)
        if self.clock_ms(now) > self._deadline_ms:
            for task, run in tuple(self.runs):
                self.end(task, run, EndKind.LAPSED)
            self.done_numbers_by_task.clear()

    def has_lease(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return self.clock_ms(now) <= self._deadline_ms

    def end(self, task: str, run: int, kind: EndKind) -> None:
        """End a run."""
        self.runs.pop((task, run))
        self._note_highest_run(task, run)
        self.end_count += 1
        self.ended.append(EndedTask(self.end_count, task, run, kind))
        self.new_ends.append((task, run, kind))
        if kind is EndKind.DONE:
            self.done_numbers_by_task[task] = self.end_count

    def add_stray(self, task: str, run: int, now: float) -> None:
        """Add a run that no order of this term started here."""
        if run > self._highest_by_task.get(task, 0) and self.has_lease(now):
            self.runs.setdefault((task, run), Run(now, is_stray=True))

    def start(self, order: StartOrder, now: float) -> OrderReply:
        """Start a run or refuse it."""
        refusal = self._start_refusal(order, now)
        if refusal is None:
            key = (order.task, order.run)
            self.runs.setdefault(key, Run(now))
        if refusal in {None, Refusal.OLD_RUN}:
            self._extend(order.deadline_ms, now)
        return OrderReply(refusal, self.clock_ms(now))

    def stop(self, order: StopOrder, now: float) -> OrderReply:
        """Stop a run after a random delay; reject it if it starts later."""
        if self._is_fenced(order.epoch):
            return OrderReply(Refusal.FENCED, self.clock_ms(now))
        state = self.runs.get((order.task, order.run))
        if state is None:
            self._note_highest_run(order.task, order.run)
        elif state.stop_due_s is None:
            state.stop_due_s = now + self._rng.uniform(0, _MAX_STOP_S)
        return OrderReply(None, self.clock_ms(now))

    def hold(
        self,
        order: HoldOrder,
        born_ms: float,
        now: float,
    ) -> HoldReport | None:
        """Extend the lease and return the report, ``None`` if fenced.

        ``born_ms`` is the start time of the process that the sender addresses.
        The call itself names only the worker id.
        """
        if self._is_fenced(order.epoch):
            return None
        self._forget_ends(order.acked_through, born_ms)
        if order.deadline_ms is not None:
            self._extend(order.deadline_ms, now)
        return HoldReport(
            self.clock_ms(now),
            tuple(RunningTask(task, run) for task, run in self.runs),
            tuple(self.ended),
            self.entry.born_ms,
        )

    def drain(self) -> None:
        """Mark the registration as draining."""
        self.entry = msgspec.structs.replace(
            self.entry, draining=True, drain_left_ms=2000
        )

    def _start_refusal(self, order: StartOrder, now: float) -> Refusal | None:
        if self._is_fenced(order.epoch):
            return Refusal.FENCED
        if self.clock_ms(now) >= order.deadline_ms:
            return Refusal.LATE
        if (order.task, order.run) in self.runs:
            return None
        if order.run <= self._highest_by_task.get(order.task, 0):
            return Refusal.OLD_RUN
        return None

    def _is_fenced(self, epoch: int) -> bool:
        is_fenced = epoch < self._epoch
        self._epoch = max(self._epoch, epoch)
        return is_fenced

    def _forget_ends(self, acked_through: int, born_ms: float) -> None:
        done = [
            end.task
            for end in self.ended
            if end.number <= acked_through
            and self.done_numbers_by_task.get(end.task) == end.number
        ]
        # A sender that does not know of a restart acknowledges ends of the
        # previous process. Ends of this one are then dropped unread, so they
        # do not count as acknowledged.
        if born_ms == self.entry.born_ms:
            self.acked_done_tasks.update(done)
        self.ended = [
            each for each in self.ended if each.number > acked_through
        ]

    def _note_highest_run(self, task: str, run: int) -> None:
        highest = self._highest_by_task.get(task, 0)
        self._highest_by_task[task] = max(highest, run)

    def _extend(self, deadline_ms: float, now: float) -> None:
        max_ms = self.clock_ms(now) + _MAX_LEASE_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, max_ms))
