"""Generates events of workers: holds, partitions, restarts, drains."""

from collections.abc import Callable
from functools import partial

from apricotlead.protocol.cell_workers import (
    OrderReply,
    Refusal,
    WorkerEntry,
)
from tests.accounting.machine import Machine
from tests.accounting.orders import OrderEvents


class WorkerEvents(OrderEvents):
    """Starts, disconnects, restarts and removes machines, and holds them."""

    def add_machine(self) -> None:
        """Start a machine and register it."""
        self.machine_count += 1
        name = f'w{self.machine_count}'
        self.machines.append(Machine(name, self.now, self.rng))
        self._register(self.machines[-1])

    def _register(self, machine: Machine) -> None:
        self.workers_by_id[machine.entry.worker_id] = machine
        self.scheduler.workers.update_worker(machine.entry, self.now)

    def hold_one(self) -> None:
        """Send a hold call to a worker; its reply may be lost or late."""
        names = sorted(self.scheduler.tracker.workers_by_id)
        if names:
            self._hold(self.rng.choice(names), is_lossless=False)

    def _hold(self, worker_id: str, *, is_lossless: bool) -> None:
        planned = self.scheduler.workers.hold_order(worker_id, self.now)
        if planned is None or worker_id in self.held_worker_ids:
            return
        machine = self._reachable_machine(worker_id)
        report = None
        if machine is not None:
            machine.pass_time(self.now)
            report = machine.hold(planned[1], planned[0].born_ms, self.now)
        chance = 0.0 if is_lossless else self.rng.random()
        if report is None or chance > 0.9:
            self._fail_hold(worker_id)
            return
        answered = partial(
            self.scheduler.workers.hold_answered, worker_id, report, self.now
        )
        if chance > 0.7:
            self.held_worker_ids.add(worker_id)
            self._call_later(partial(self._complete_hold, worker_id, answered))
        else:
            answered(self.now)

    def _fail_hold(self, worker_id: str) -> None:
        refusal = Refusal.UNANSWERED
        if self._live_machine(worker_id) is None and self.rng.random() < 0.5:
            # Another worker has taken over its address.
            refusal = Refusal.OTHER_LIFE
        self.scheduler.workers.hold_refused(
            worker_id, OrderReply(refusal), self.now
        )

    def _complete_hold(
        self,
        worker_id: str,
        answered: Callable[[float], None],
    ) -> None:
        self.held_worker_ids.discard(worker_id)
        answered(self.now)

    def disconnect_one(self) -> None:
        """Make a random machine unreachable."""
        machine = self._any_machine()
        if machine is not None:
            worker_id = machine.entry.worker_id
            self.trace_event(f'{worker_id} is disconnected')
            machine.is_reachable = False

    def reconnect_one(self) -> None:
        """Make an unreachable machine reachable again."""
        unreachable = [each for each in self.machines if not each.is_reachable]
        if unreachable:
            self.rng.choice(unreachable).is_reachable = True

    def crash_one(self) -> None:
        """Crash a machine and start another one, possibly under its id."""
        machine = self._any_machine()
        if machine is None:
            return
        self._remove(machine)
        worker_id = machine.entry.worker_id
        self.trace_event(f'{worker_id} crashes')
        if self.rng.random() < 0.5:
            reborn = Machine(worker_id, self.now, self.rng)
            self.machines.append(reborn)
            old_entry = machine.entry
            late = partial(self._register_late, old_entry)
            self._call_later(late, outlives_term=True)
        else:
            self.add_machine()
            expiry = partial(self._expire_registration, worker_id)
            self._call_later(expiry, outlives_term=True)

    def _register_late(self, entry: WorkerEntry) -> None:
        self.scheduler.workers.update_worker(entry, self.now)

    def _remove(self, machine: Machine) -> None:
        machine.is_alive = False
        machine.is_reachable = False
        machine.runs.clear()
        machine.ended.clear()
        self.machines.remove(machine)

    def drain_one(self) -> None:
        """Drain a machine; it leaves 2.5 s later, and another one starts."""
        machine = self._any_machine()
        if machine is None or machine.entry.draining:
            return
        machine.drain()
        self._register(machine)
        self.add_machine()
        self.delayed_calls.append(
            (self.now + 2.5, partial(self._leave, machine))
        )

    def _leave(self, machine: Machine) -> None:
        if machine.is_alive:
            self._remove(machine)
            self._expire_registration(machine.entry.worker_id)

    def expire_one(self) -> None:
        """Expire the registration of an unreachable machine."""
        unreachable = [each for each in self.machines if not each.is_reachable]
        if unreachable:
            self._expire_registration(
                self.rng.choice(unreachable).entry.worker_id
            )

    def _expire_registration(self, worker_id: str) -> None:
        if self.workers_by_id.pop(worker_id, None) is not None:
            self.scheduler.workers.mark_unlisted(worker_id)

    def register_one(self) -> None:
        """Register a reachable machine again."""
        machine = self._any_machine()
        if machine is not None and machine.is_reachable:
            self._register(machine)
