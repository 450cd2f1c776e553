"""Generates events of runs: ends of all kinds, broken gangs, strays."""

from functools import partial

from apricotlead.protocol.cell_workers import (
    EndKind,
)
from tests.accounting.machine import Machine
from tests.accounting.workers import WorkerEvents

_ALONE_S = 3.0


class EndEvents(WorkerEvents):
    """Ends runs and adds stray runs."""

    def end_one(self) -> None:
        """End a random run, done or failed; a gang is done only as a whole."""
        runs = [
            (machine, task, run)
            for machine in self.machines
            for task, run in machine.runs
        ]
        if runs:
            machine, task, run = self.rng.choice(runs)
            kind = EndKind.DONE
            if self.rng.random() < 0.3:
                kind = EndKind.FAILED
            self._end(machine, task, run, kind)

    def _end(
        self, machine: Machine, task: str, run: int, kind: EndKind
    ) -> None:
        known = self.scheduler.tracker.task(task)
        machine.pass_time(self.now)
        if (task, run) not in machine.runs:
            return
        is_gang = known is not None and known.step.spec.gang
        if not is_gang or kind is not EndKind.DONE:
            machine.end(task, run, kind)
            return
        names = [member.name for member in known.step.tasks]
        holders = [self._holder(name, run) for name in names]
        if None not in holders:
            # All members of a gang are done together.
            for name, holder in zip(names, holders, strict=True):
                holder.end(name, run, EndKind.DONE)

    def _holder(self, task: str, run: int) -> Machine | None:
        for machine in self.machines:
            machine.pass_time(self.now)
            if (task, run) in machine.runs:
                return machine
        return None

    def _break_gangs(self) -> None:
        """End the remaining members of gangs that have lost a member."""
        for machine in tuple(self.machines):
            ends = machine.new_ends
            machine.new_ends = []
            for task, run, kind in ends:
                if kind is not EndKind.DONE:
                    self._break_gang(task, run)
        self._end_alone()

    def _break_gang(self, task: str, run: int) -> None:
        known = self.scheduler.tracker.task(task)
        if known is None or not known.step.spec.gang:
            return
        for member in known.step.tasks:
            holder = self._holder(member.name, run)
            if holder is not None:
                delay_s = self.rng.choice((0, 0.4))
                ends_s = self.now + delay_s
                end = partial(self._break, holder, member.name, run)
                self.delayed_calls.append((ends_s, end))

    def _break(self, machine: Machine, task: str, run: int) -> None:
        if (task, run) in machine.runs:
            machine.end(task, run, EndKind.BROKEN)

    def _end_alone(self) -> None:
        for machine in self.machines:
            for (task, run), state in tuple(machine.runs.items()):
                is_old = self.now - state.began_s > _ALONE_S
                if is_old and self._is_alone(task, run):
                    machine.end(task, run, EndKind.ALONE)

    def _is_alone(self, task: str, run: int) -> bool:
        known = self.scheduler.tracker.task(task)
        if known is None or not known.step.spec.gang:
            return False
        names = [member.name for member in known.step.tasks]
        return any(self._holder(name, run) is None for name in names)

    def add_stray(self) -> None:
        """Add an old run of a task, or a run of an unknown job."""
        machine = self._any_machine()
        tasks = [
            task
            for job in self.scheduler.tracker.jobs_by_id.values()
            for task in job.tasks()
            if task.run > 1
        ]
        if tasks and self.rng.random() < 0.7:
            task = self.rng.choice(tasks)
            holder = self._live_machine(task.worker_id) or machine
            run = self.rng.randint(1, task.run - 1)
            holder.add_stray(task.name, run, self.now)
        elif machine is not None:
            machine.add_stray('ffffffffffffffff.0.0.0', 1, self.now)
