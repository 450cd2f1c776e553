"""Random schedules of everything that a scheduler of runs may meet."""

import random
from collections.abc import Callable
from functools import partial

import msgspec

from apricotlead.coordination.cell.job_rows import cancel_key
from apricotlead.coordination.cell.journal import JournalBatch
from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_config import OrganisationConfig
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import (
    EndKind,
    OrderReply,
    Refusal,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Row
from apricotlead.state.cell_jobs import StepState
from tests.accounting_checks import crowded, faults, placed_runs, unfinished
from tests.accounting_machine import Machine
from tests.cell_rig import CellRig, stored_job

LIMIT = Resources(9000, 0, 0)
_MACHINES = 6
# The job whose tasks last; they leave room for the largest gang.
_LASTING_JOB = 3
_JOB_ID = '016x'
_ORGANISATIONS = ('clerks', 'judges')
_SMALL = Resources(300, 256, 0)
_CALM_STEP_S = 0.2
_CALM_WORK_S = 0.7
# Leases, pauses and the repeats of runs are over by then.
_CALM_S = 60.0
_ALONE_S = 3.0
# Events that a failure shows.
_TRACED = 400
_REFUSALS = (Refusal.UNHEALTHY, Refusal.MALFORMED, Refusal.NOT_SENT)


class AccountingRig(CellRig):
    """Plays a random schedule and checks the books after each event."""

    def __init__(self, seed: int) -> None:
        """Begin with some machines and no jobs."""
        self.rng = random.Random(seed)
        self.machines: list[Machine] = []
        self.term = 0
        self.under_way: tuple[JournalBatch, list[PlannedStart]] | None = None
        self.sending: list[PlannedStart] = []
        # Answers and carried out orders that come later: when, and what.
        self.later: list[tuple[float, Callable[[], None]]] = []
        self.held_worker_ids: set[str] = set()
        self.job_count = 0
        self.taken_runs: set[tuple[str, int]] = set()
        self.submitted_rows: list[Row] = []
        self.machine_count = 0
        self.trace: list[str] = []
        self.run_count = 0
        super().__init__()
        for _ in range(_MACHINES):
            self.add_machine()

    def take_over(self) -> None:
        """Begin the first term without machines."""
        self.config = msgspec.structs.replace(
            self.config,
            organisations=tuple(
                OrganisationConfig(name, ('key',), 100.0, LIMIT)
                for name in _ORGANISATIONS
            ),
        )
        self.begin_term()

    def begin_term(self) -> None:
        """Begin a term; what was under way in the former one is lost."""
        self.term += 1
        self.under_way = None
        self.sending = []
        self.held_worker_ids = set()
        super().begin_term()

    def play(self, event_count: int) -> None:
        """Carry out random events, then let all calm down."""
        events = (
            (self.submit_one, 6),
            (self.cancel_one, 1),
            (self.read_again, 1),
            (self.plan, 14),
            (self.begin_write, 10),
            (self.end_write, 12),
            (self.send_one, 20),
            (self.send_stops, 10),
            (self.hold_one, 30),
            (self.end_one, 12),
            (self.hand_over, 0.7),
            (self.silence_one, 1),
            (self.heal_one, 1.5),
            (self.replace_one, 0.6),
            (self.drain_one, 0.3),
            (self.unlist_one, 0.4),
            (self.register_one, 2),
            (self.add_stray, 1.5),
            (self.wait, 14),
            (self.wait_long, 0.3),
        )
        runs = [run for run, _ in events]
        weights = [weight for _, weight in events]
        for _ in range(event_count):
            run = self.rng.choices(runs, weights)[0]
            self.note(run.__name__)
            run()
            self.check()
        self.calm()

    def note(self, text: str) -> None:
        """Remember an event for a failure."""
        self.trace.append(f'{self.now:.2f} {text}')

    def check(self) -> None:
        """Compare the books with what they count."""
        notes = self.scheduler.book.notes
        self.scheduler.book.notes = []
        for kind, fields in notes:
            if kind != 'cell state':
                self.note(f'{kind} {fields}')
        written = [
            put.key.rpartition('/')[2]
            for put in (
                self.under_way[0].transaction.puts if self.under_way else ()
            )
        ]
        found = faults(
            self.scheduler.book,
            written,
            self.live_runs(),
            LIMIT,
        )
        if found:
            self.fail(found)

    def fail(self, found: list[str]) -> None:
        """Stop with what is wrong and what came before."""
        raise AssertionError('\n'.join((*self.trace[-_TRACED:], *found)))

    def live_runs(self) -> list[tuple[str, str, int]]:
        """Return all that runs, or has an end that is not acknowledged."""
        found: list[tuple[str, str, int]] = []
        for machine in self.machines:
            name = machine.entry.worker_id
            found.extend((name, task, run) for task, run in machine.runs)
            found.extend((name, end.task, end.run) for end in machine.ended)
        return found

    # Jobs.

    def submit_one(self) -> None:
        """Submit a job of one to three steps."""
        self.job_count += 1
        count = self.rng.choice((1, 1, 2, 3))
        steps = tuple(self._step(index) for index in range(count))
        organisation = self.rng.choice(_ORGANISATIONS)
        job = stored_job(*steps, organisation=organisation)
        row = self.submit(format(self.job_count, _JOB_ID), job)
        self.submitted_rows.append(row)

    def _step(self, index: int) -> StepSpec:
        rng = self.rng
        after = (index - 1,) if index and rng.random() < 0.7 else ()
        if self.job_count == _LASTING_JOB:
            return StepSpec(1, _SMALL, long_running=True)
        is_gang = rng.random() < 0.4
        return StepSpec(
            rng.choice((2, 3, 4)) if is_gang else rng.choice((1, 2, 5)),
            Resources(rng.choice((500, 1000, 2000)), 512, 0),
            estimated_ms=rng.choice((0, 500, 3000)),
            after=after,
            checkpoints=rng.random() < 0.3,
            gang=is_gang,
            max_per_worker=rng.choice((0, 0, 1, 2)),
        )

    def cancel_one(self) -> None:
        """Cancel a job."""
        if self.job_count:
            number = self.rng.randint(1, self.job_count)
            self._cancel(format(number, _JOB_ID))

    def _cancel(self, job_id: str) -> None:
        key = cancel_key(job_id)
        self.version += 1
        row = Row(key, self.version, 1)
        self.rows_by_key[key] = row
        self.scheduler.jobs.job_row(row, self.now)

    def read_again(self) -> None:
        """Let a read of a job's row that began long ago arrive."""
        if self.submitted_rows:
            row = self.rng.choice(self.submitted_rows)
            self.scheduler.jobs.job_row(row, self.now)

    # Decisions and the journal.

    def plan(self) -> None:
        """Place what waits."""
        before = placed_runs(self.scheduler.book)
        self.scheduler.plan(self.now, [])
        found = crowded(self.scheduler.book, before)
        if found:
            self.fail(found)

    def begin_write(self) -> None:
        """Begin a write of the journal, unless one is under way."""
        if self.under_way is None:
            self.under_way = self.scheduler.take_batch(self.now)

    def end_write(self) -> None:
        """Let the write under way become durable."""
        if self.under_way is None:
            return
        batch, starts = self.under_way
        self.under_way = None
        self.write(batch.transaction)
        self.scheduler.committed(batch, self.version, self.store_ms, self.now)
        self.sending.extend(starts)

    def hand_over(self) -> None:
        """Begin another term, perhaps in the middle of a write."""
        self.note(f'term {self.term} ends')
        if self.under_way is not None and self.rng.random() < 0.5:
            self.write(self.under_way[0].transaction)
        for start in self.sending:
            order = self.scheduler.starts.start_order(start, self.now)
            if order is not None and self.rng.random() < 0.5:
                entry = start.worker.entry
                self._later(
                    partial(self._carry_out_late, entry, order, self.term)
                )
        self.begin_term()

    def _carry_out_late(
        self,
        entry: WorkerEntry,
        order: StartOrder,
        term: int,
    ) -> None:
        """Carry out a start late, unless no scheduler could know of it.

        A later life under the id has seen neither an epoch nor a run, so it
        would take a start of a former term, and a repeat of one whose run the
        former life has had.
        """
        machine = self._alive(entry.worker_id)
        if machine is None:
            return
        is_known = term != self.term or (
            (order.task, order.run) in self.taken_runs
        )
        if machine.entry.born_ms == entry.born_ms or not is_known:
            self._carry_out(entry.worker_id, order)

    # Orders.

    def send_one(self) -> None:
        """Send a start that the journal holds."""
        if self.sending:
            start = self.rng.choice(self.sending)
            if not self._send(start, is_calm=False):
                self.sending.remove(start)

    def _send(self, start: PlannedStart, *, is_calm: bool) -> bool:
        """Send a start; tell whether it is sent again."""
        order = self.scheduler.starts.start_order(start, self.now)
        if order is None:
            return False
        chance = 0.0 if is_calm else self.rng.random()
        reply = self._start_reply(start.worker.entry, order, chance)
        answered = partial(self._start_answered, start, reply, self.now)
        if 0.5 < chance < 0.7:
            self._later(answered)
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
        machine = self._reachable(worker_id)
        if machine is None or chance > 0.9:
            if machine is not None and self.rng.random() < 0.5:
                self._later(
                    partial(self._carry_out_late, entry, order, self.term)
                )
            return OrderReply(Refusal.UNANSWERED)
        if chance > 0.8:
            return OrderReply(self.rng.choice(_REFUSALS))
        reply = self._carry_out(worker_id, order)
        return OrderReply(Refusal.UNANSWERED) if chance > 0.7 else reply

    def _start_answered(
        self,
        start: PlannedStart,
        reply: OrderReply,
        sent_s: float,
    ) -> None:
        answered = self.scheduler.starts.start_answered
        if answered(start, reply, sent_s, self.now):
            self.sending.append(start)

    def _carry_out(self, worker_id: str, order: object) -> OrderReply:
        machine = self._alive(worker_id)
        if machine is None:
            return OrderReply(Refusal.NOT_SENT)
        self.note(f'{worker_id} gets {order}')
        machine.pass_time(self.now)
        if isinstance(order, StopOrder):
            return machine.stop(order, self.now)
        reply = machine.start(order, self.now)
        if reply.refusal is None:
            self.run_count += 1
            self.taken_runs.add((order.task, order.run))
            self._check_start(order.task)
        return reply

    def _check_start(self, task: str) -> None:
        """Check that a task neither runs elsewhere nor was done."""
        genuine = 0
        was_done = False
        for other in self.machines:
            other.pass_time(self.now)
            genuine += sum(
                name == task and not state.is_stray
                for (name, _), state in other.runs.items()
            )
            was_done = was_done or task in other.noted_done_tasks
        if genuine > 1:
            self.fail([f'{task} runs twice'])
        known = self.scheduler.book.task(task)
        if known is None:
            return
        step = known.step
        if was_done and not step.spec.long_running:
            self.fail([f'{task} starts after it was done'])
        for index in step.spec.after:
            if not step.job.steps_by_key[step.occurrence, index].is_done:
                self.fail([f'{task} starts before the step that it follows'])
        self._check_quota(step)

    def _check_quota(self, step: StepState) -> None:
        """Check an organisation's limit; a task more is allowed."""
        organisation = step.job.stored.organisation
        running = [
            self.scheduler.book.task(name)
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
        """Send the stops that are due; some answers are lost or late."""
        for entry, order in self.scheduler.starts.stops_due(self.now):
            self._send_stop(entry, order, is_calm=False)

    def _send_stop(
        self,
        entry: WorkerEntry,
        order: StopOrder,
        *,
        is_calm: bool,
    ) -> None:
        worker_id = entry.worker_id
        chance = 0.0 if is_calm else self.rng.random()
        if self._reachable(worker_id) is None or chance > 0.9:
            return
        if chance > 0.8:
            self._later(partial(self._carry_out, worker_id, order))
            return
        reply = self._carry_out(worker_id, order)
        if reply.refusal is not None or chance > 0.6:
            return
        acked = partial(self._stop_acked, worker_id, order)
        if chance > 0.4:
            self._later(acked)
        else:
            acked()

    def _stop_acked(self, worker_id: str, order: StopOrder) -> None:
        self.scheduler.book.stop_acked(
            worker_id, order.task, order.run, self.now
        )

    # Workers.

    def add_machine(self) -> None:
        """Let a machine start and register."""
        self.machine_count += 1
        name = f'w{self.machine_count}'
        self.machines.append(Machine(name, self.now, self.rng))
        self._register(self.machines[-1])

    def _register(self, machine: Machine) -> None:
        self.workers_by_id[machine.entry.worker_id] = machine
        self.scheduler.workers.update_worker(machine.entry, self.now)

    def hold_one(self) -> None:
        """Call a worker; its answer may be lost or late."""
        names = sorted(self.scheduler.book.workers_by_id)
        if names:
            self._hold(self.rng.choice(names), is_calm=False)

    def _hold(self, worker_id: str, *, is_calm: bool) -> None:
        planned = self.scheduler.workers.hold_order(worker_id, self.now)
        if planned is None or worker_id in self.held_worker_ids:
            return
        machine = self._reachable(worker_id)
        report = None
        if machine is not None:
            machine.pass_time(self.now)
            report = machine.hold(planned[1], planned[0].born_ms, self.now)
        chance = 0.0 if is_calm else self.rng.random()
        if report is None or chance > 0.9:
            self._miss_hold(worker_id)
            return
        answered = partial(
            self.scheduler.workers.hold_answered, worker_id, report, self.now
        )
        if chance > 0.7:
            self.held_worker_ids.add(worker_id)
            self._later(partial(self._held, worker_id, answered))
        else:
            answered(self.now)

    def _miss_hold(self, worker_id: str) -> None:
        refusal = Refusal.UNANSWERED
        if self._alive(worker_id) is None and self.rng.random() < 0.5:
            # Another worker has its address.
            refusal = Refusal.OTHER_LIFE
        self.scheduler.workers.hold_refused(
            worker_id, OrderReply(refusal), self.now
        )

    def _held(
        self,
        worker_id: str,
        answered: Callable[[float], None],
    ) -> None:
        self.held_worker_ids.discard(worker_id)
        answered(self.now)

    def silence_one(self) -> None:
        """Cut a machine off."""
        machine = self._any_machine()
        if machine is not None:
            worker_id = machine.entry.worker_id
            self.note(f'{worker_id} is cut off')
            machine.is_reachable = False

    def heal_one(self) -> None:
        """Let a machine be reached again."""
        away = [each for each in self.machines if not each.is_reachable]
        if away:
            self.rng.choice(away).is_reachable = True

    def replace_one(self) -> None:
        """Let a machine crash; another one starts, perhaps under its id."""
        machine = self._any_machine()
        if machine is None:
            return
        self._remove(machine)
        worker_id = machine.entry.worker_id
        self.note(f'{worker_id} crashes')
        if self.rng.random() < 0.5:
            reborn = Machine(worker_id, self.now, self.rng)
            self.machines.append(reborn)
            former = machine.entry
            self._later(partial(self._register_late, former))
        else:
            self.add_machine()
            self._later(partial(self._unlist, worker_id))

    def _register_late(self, entry: WorkerEntry) -> None:
        self.scheduler.workers.update_worker(entry, self.now)

    def _remove(self, machine: Machine) -> None:
        machine.is_alive = False
        machine.is_reachable = False
        machine.runs.clear()
        machine.ended.clear()
        self.machines.remove(machine)

    def drain_one(self) -> None:
        """Let a machine drain, and leave two seconds later."""
        machine = self._any_machine()
        if machine is None or machine.entry.draining:
            return
        machine.drain()
        self._register(machine)
        self.add_machine()
        self.later.append((self.now + 2.5, partial(self._leave, machine)))

    def _leave(self, machine: Machine) -> None:
        if machine.is_alive:
            self._remove(machine)
            self._unlist(machine.entry.worker_id)

    def unlist_one(self) -> None:
        """Let the registration of a silent machine expire."""
        away = [each for each in self.machines if not each.is_reachable]
        if away:
            self._unlist(self.rng.choice(away).entry.worker_id)

    def _unlist(self, worker_id: str) -> None:
        if self.workers_by_id.pop(worker_id, None) is not None:
            self.scheduler.workers.drop_worker(worker_id)

    def register_one(self) -> None:
        """Let a machine that can be reached register again."""
        machine = self._any_machine()
        if machine is not None and machine.is_reachable:
            self._register(machine)

    def _any_machine(self) -> Machine | None:
        return self.rng.choice(self.machines) if self.machines else None

    def _alive(self, worker_id: str) -> Machine | None:
        return next(
            (
                each
                for each in self.machines
                if each.entry.worker_id == worker_id
            ),
            None,
        )

    def _reachable(self, worker_id: str) -> Machine | None:
        machine = self._alive(worker_id)
        return machine if machine and machine.is_reachable else None

    # Runs.

    def end_one(self) -> None:
        """End a run, or all of a gang that is at work."""
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
        known = self.scheduler.book.task(task)
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
            # The members end together.
            for name, holder in zip(names, holders, strict=True):
                holder.end(name, run, EndKind.DONE)

    def _holder(self, task: str, run: int) -> Machine | None:
        for machine in self.machines:
            machine.pass_time(self.now)
            if (task, run) in machine.runs:
                return machine
        return None

    def _break_gangs(self) -> None:
        """End the members that a gang's other members left behind."""
        for machine in tuple(self.machines):
            ends = machine.fresh_ends
            machine.fresh_ends = []
            for task, run, kind in ends:
                if kind is not EndKind.DONE:
                    self._break_gang(task, run)
        self._end_alone()

    def _break_gang(self, task: str, run: int) -> None:
        known = self.scheduler.book.task(task)
        if known is None or not known.step.spec.gang:
            return
        for member in known.step.tasks:
            holder = self._holder(member.name, run)
            if holder is not None:
                delay_s = self.rng.choice((0, 0.4))
                ends_s = self.now + delay_s
                end = partial(self._break, holder, member.name, run)
                self.later.append((ends_s, end))

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
        known = self.scheduler.book.task(task)
        if known is None or not known.step.spec.gang:
            return False
        names = [member.name for member in known.step.tasks]
        return any(self._holder(name, run) is None for name in names)

    def add_stray(self) -> None:
        """Let something run that this term does not know, or an old run."""
        machine = self._any_machine()
        tasks = [
            task
            for job in self.scheduler.book.jobs_by_id.values()
            for task in job.tasks()
            if task.run > 1
        ]
        if tasks and self.rng.random() < 0.7:
            task = self.rng.choice(tasks)
            holder = self._alive(task.worker_id) or machine
            run = self.rng.randint(1, task.run - 1)
            holder.add_stray(task.name, run, self.now)
        elif machine is not None:
            machine.add_stray('ffffffffffffffff.0.0.0', 1, self.now)

    # Time.

    def wait(self) -> None:
        """Let a little time pass."""
        self._pass(self.rng.uniform(0.01, 0.5))

    def wait_long(self) -> None:
        """Let more time pass than a lease lasts, without calls."""
        for _ in range(20):
            self._pass(self.rng.uniform(0.2, 0.6))

    def _pass(self, duration_s: float) -> None:
        self.now += duration_s
        due = [each for each in self.later if each[0] <= self.now]
        self.later = [each for each in self.later if each[0] > self.now]
        self.rng.shuffle(due)
        for _, run in due:
            run()
            self.check()
        for machine in self.machines:
            machine.pass_time(self.now)
        self._break_gangs()
        self.scheduler.tick(self.now)

    def _later(self, run: Callable[[], object]) -> None:
        """Have something happen later; answers are lost with the term."""
        term = self.term
        is_order = getattr(run, 'func', None) in {
            self._carry_out,
            self._carry_out_late,
            self._register_late,
            self._unlist,
        }
        at_s = self.now + self.rng.uniform(0.05, 1.5)

        def happen() -> None:
            if is_order or term == self.term:
                run()

        self.later.append((at_s, happen))

    # The end.

    def calm(self) -> None:
        """Let all be reached and all work end; then nothing may be left."""
        self.note('calm')
        self.end_write()
        for machine in self.machines:
            machine.is_reachable = True
            self._register(machine)
        ends_s = self.now + _CALM_S
        while self.now < ends_s and self._has_work():
            self._calm_step()
            self.check()
        if self._has_work():
            self.fail(self._left())

    def _calm_step(self) -> None:
        self._pass(_CALM_STEP_S)
        for machine in self.machines:
            for (task, run), state in tuple(machine.runs.items()):
                known = self.scheduler.book.task(task)
                lasts = known is not None and known.step.spec.long_running
                if not lasts and self.now - state.began_s > _CALM_WORK_S:
                    self._end(machine, task, run, EndKind.DONE)
        for worker_id in sorted(self.scheduler.book.workers_by_id):
            self._hold(worker_id, is_calm=True)
        self.plan()
        self.begin_write()
        self.end_write()
        for entry, order in self.scheduler.starts.stops_due(self.now):
            self._send_stop(entry, order, is_calm=True)
        self.sending = [
            start for start in self.sending if self._send(start, is_calm=True)
        ]

    def _has_work(self) -> bool:
        return bool(self._left())

    def _left(self) -> list[str]:
        running = {
            (machine.entry.worker_id, task, run)
            for machine in self.machines
            for task, run in machine.runs
        }
        return unfinished(self.scheduler.book, running)
