"""A simulated worker that restarts under its id and takes late calls.

Each life counts its ends from 1, has a clock of its own, which starts at its
birth, and has seen no epoch. A life takes every call that reaches it, whichever
life the call was meant for, as calls carry only the id.
"""

import msgspec

from apricotlead.protocol.cell_workers import (
    EndedTask,
    EndKind,
    HoldOrder,
    HoldReport,
    OrderReply,
    Refusal,
    StartOrder,
)
from tests.cell_rig import CellRig, ModelWorker

# The longest lease that a worker accepts, on its own clock.
LONGEST_HOLD_MS = 10000
# A new life has shown this much of its clock at least when it listens.
_BOOT_S = 0.1


class RestartingWorker(ModelWorker):
    """A worker with lives; ``applies_acks_later`` tells the second reading.

    An acknowledgement removes the ends that exist when it arrives. By the second
    reading it also removes later ends with such numbers.
    """

    def __init__(self, worker_id: str, now: float = 0.0) -> None:
        """Begin the first life at ``now``."""
        super().__init__(worker_id)
        self.applies_acks_later = False
        self.connection = 0
        self.lives = 0
        self.restart(now)

    def restart(self, now: float) -> None:
        """Begin another life under the same id and address."""
        self.lives += 1
        self.connection += 1
        self.born_s = now
        self.entry = msgspec.structs.replace(
            self.entry, born_ms=1000 + now * 1000
        )
        self.running_by_task.clear()
        self.epoch = 0
        self.deadline_ms = 0.0
        self.ended = []
        self.end_count = 0
        self.acked_through = 0
        # Ends that were removed, with the life that had them.
        self.removed_ends: list[EndedTask] = []

    def clock_ms(self, now: float) -> float:
        """Return the clock of this life."""
        return float(int((now - self.born_s + _BOOT_S) * 1000))

    def lease_end_s(self) -> float:
        """Return when the lease of this life ends."""
        return self.born_s - _BOOT_S + self.deadline_ms / 1000

    def answer_start(self, order: StartOrder, now: float) -> OrderReply:
        """Carry out a start, or refuse it for its epoch."""
        if order.epoch < self.epoch:
            return OrderReply(Refusal.FENCED, self.clock_ms(now))
        self.epoch = order.epoch
        self._extend(order.deadline_ms, now)
        self.start(order)
        return OrderReply(None, self.clock_ms(now))

    def answer_hold(
        self, order: HoldOrder, now: float
    ) -> HoldReport | OrderReply:
        """Carry out a hold, or refuse it for its epoch."""
        if order.epoch < self.epoch:
            return OrderReply(Refusal.FENCED, self.clock_ms(now))
        self.epoch = order.epoch
        if order.deadline_ms is not None:
            self._extend(order.deadline_ms, now)
        if self.applies_acks_later:
            self.acked_through = max(self.acked_through, order.acked_through)
        self._remove_through(order.acked_through)
        return msgspec.structs.replace(
            self.report(now),
            clock_ms=self.clock_ms(now),
            born_ms=self.entry.born_ms,
            connection=self.connection,
        )

    def end(self, task: str, kind: EndKind = EndKind.DONE) -> None:
        """End a run."""
        run = self.running_by_task.pop(task)
        self.end_count += 1
        self.ended.append(EndedTask(self.end_count, task, run, kind))
        self._remove_through(self.acked_through)

    def _extend(self, deadline_ms: float, now: float) -> None:
        longest_ms = self.clock_ms(now) + LONGEST_HOLD_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def _remove_through(self, number: int) -> None:
        removed = [end for end in self.ended if end.number <= number]
        self.removed_ends.extend(removed)
        self.ended = [end for end in self.ended if end.number > number]


class RestartRig(CellRig):
    """A cell in which holds may fail, and are bound to connections."""

    def hold(self, worker_id: str) -> None:
        """Send a hold; a worker behind a cut does not get it."""
        planned = self.scheduler.workers.hold_order(worker_id, self.now)
        if planned is not None:
            self.deliver_hold(worker_id, planned[1])

    def deliver_hold(self, worker_id: str, order: HoldOrder) -> None:
        """Let the present life of a worker take a hold, and apply its answer."""
        worker = self.workers_by_id[worker_id]
        answer = OrderReply(Refusal.UNANSWERED)
        if order.connection not in {None, getattr(worker, 'connection', None)}:
            answer = OrderReply(Refusal.CONNECTION_GONE)
        elif worker.is_reachable:
            answer = worker.answer_hold(order, self.now)
        workers = self.scheduler.workers
        if isinstance(answer, HoldReport):
            workers.hold_answered(worker_id, answer, self.now, self.now, order)
        else:
            workers.hold_refused(worker_id, answer, self.now, order)
