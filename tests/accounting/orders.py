"""Generates events of orders: sent, lost, late, refused, executed."""

from functools import partial

from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_workers import (
    OrderReply,
    Refusal,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from apricotlead.state.cell_jobs import StepState
from tests.accounting.state import LIMIT, AccountingState

_REFUSALS = (Refusal.UNHEALTHY, Refusal.MALFORMED, Refusal.NOT_SENT)


class OrderEvents(AccountingState):
    """Sends orders to machines and checks the runs that they start."""

    def send_one(self) -> None:
        """Send a start that is journaled."""
        if self.unsent_starts:
            start = self.rng.choice(self.unsent_starts)
            if not self._send(start, is_lossless=False):
                self.unsent_starts.remove(start)

    def _send(self, start: PlannedStart, *, is_lossless: bool) -> bool:
        """Send a start; return whether it must be sent again."""
        order = self.scheduler.starts.start_order(start, self.now)
        if order is None:
            return False
        chance = 0.0 if is_lossless else self.rng.random()
        reply = self._start_reply(start.worker.entry, order, chance)
        answered = partial(self._start_answered, start, reply, self.now)
        if 0.5 < chance < 0.7:
            self._call_later(answered)
            return False
        return self.scheduler.starts.start_answered(
            start, reply, self.now, self.now
        )

    def _start_reply(
        self,
        entry: WorkerEntry,
        order: StartOrder,
        chance: float,
    ) -> OrderReply:
        worker_id = entry.worker_id
        machine = self._reachable_machine(worker_id)
        if machine is None or chance > 0.9:
            if machine is not None and self.rng.random() < 0.5:
                self._call_later(
                    partial(self._execute_late, entry, order, self.term),
                    outlives_term=True,
                )
            return OrderReply(Refusal.UNANSWERED)
        if chance > 0.8:
            return OrderReply(self.rng.choice(_REFUSALS))
        reply = self._execute(worker_id, order)
        return OrderReply(Refusal.UNANSWERED) if chance > 0.7 else reply

    def _start_answered(
        self,
        start: PlannedStart,
        reply: OrderReply,
        sent_s: float,
    ) -> None:
        answered = self.scheduler.starts.start_answered
        if answered(start, reply, sent_s, self.now):
            self.unsent_starts.append(start)

    def _execute(self, worker_id: str, order: object) -> OrderReply:
        machine = self._live_machine(worker_id)
        if machine is None:
            return OrderReply(Refusal.NOT_SENT)
        self.trace_event(f'{worker_id} receives {order}')
        machine.pass_time(self.now)
        if isinstance(order, StopOrder):
            return machine.stop(order, self.now)
        is_repeated = (order.task, order.run) in machine.runs
        reply = machine.start(order, self.now)
        if reply.refusal is None:
            self.run_count += 1
            self.accepted_runs.add((order.task, order.run))
            self._check_start(order.task, is_repeated=is_repeated)
        return reply

    def _execute_late(
        self,
        entry: WorkerEntry,
        order: StartOrder,
        term: int,
    ) -> None:
        """Execute a start late, unless no scheduler could know of its run.

        After a restart under the same id, a worker has seen neither an epoch
        nor a run. It would accept a start of an earlier term, and a repeated
        start whose run the previous process has had.
        """
        machine = self._live_machine(entry.worker_id)
        if machine is None:
            return
        is_known = term != self.term or (
            (order.task, order.run) in self.accepted_runs
        )
        if machine.entry.born_ms == entry.born_ms or not is_known:
            self._execute(entry.worker_id, order)

    def _check_start(self, task: str, *, is_repeated: bool) -> None:
        """Check that a started task neither runs elsewhere nor is done.

        The steps that it follows must be done, too. A repeated order for a
        run that is already there starts nothing, so it cannot exceed a limit.
        """
        ordered_count = 0
        was_done = False
        for other in self.machines:
            other.pass_time(self.now)
            ordered_count += sum(
                name == task and not state.is_stray
                for (name, _), state in other.runs.items()
            )
            was_done = was_done or task in other.acked_done_tasks
        if ordered_count > 1:
            self.fail([f'{task} runs twice'])
        known = self.scheduler.tracker.task(task)
        if known is None:
            return
        step = known.step
        if was_done and not step.spec.long_running:
            self.fail([f'{task} starts after it was done'])
        for index in step.spec.after:
            if not step.job.steps_by_key[step.occurrence, index].is_done:
                self.fail([f'{task} starts before the step that it follows'])
        if not is_repeated:
            self._check_quota(step)

    def _check_quota(self, step: StepState) -> None:
        """Check an organisation's limit, which one task may exceed."""
        organisation = step.job.stored.organisation
        running = [
            self.scheduler.tracker.task(name)
            for machine in self.machines
            for (name, _), state in machine.runs.items()
            if not state.is_stray
        ]
        used_millis = sum(
            task.step.demand().cpu_millis
            for task in running
            if task and task.step.job.stored.organisation == organisation
        )
        if used_millis > LIMIT.cpu_millis + step.demand().cpu_millis:
            self.fail([f'{organisation} runs {used_millis}, over its limit'])

    def send_stops(self) -> None:
        """Send the stops that are due; lose or delay some of the replies."""
        for entry, order in self.scheduler.starts.stops_due(self.now):
            self._send_stop(entry, order, is_lossless=False)

    def _send_stop(
        self,
        entry: WorkerEntry,
        order: StopOrder,
        *,
        is_lossless: bool,
    ) -> None:
        worker_id = entry.worker_id
        chance = 0.0 if is_lossless else self.rng.random()
        if self._reachable_machine(worker_id) is None or chance > 0.9:
            return
        if chance > 0.8:
            late = partial(self._execute, worker_id, order)
            self._call_later(late, outlives_term=True)
            return
        reply = self._execute(worker_id, order)
        if reply.refusal is not None or chance > 0.6:
            return
        acked = partial(self._stop_acked, worker_id, order)
        if chance > 0.4:
            self._call_later(acked)
        else:
            acked()

    def _stop_acked(self, worker_id: str, order: StopOrder) -> None:
        self.scheduler.tracker.stop_acked(
            worker_id, order.task, order.run, self.now
        )
