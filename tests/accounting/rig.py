"""Plays random schedules of all events that a cell scheduler handles."""

from functools import partial

from apricotlead.coordination.cell.job_rows import cancel_key
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import (
    EndKind,
)
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Row
from tests.accounting.checks import (
    find_errors,
    placed_runs,
    tasks_over_max_per_worker,
    unfinished,
)
from tests.accounting.ends import EndEvents
from tests.accounting.state import LIMIT
from tests.cell_rig import stored_job

_MACHINES = 6
# The number of the long-running job; its tasks leave capacity for the largest
# gang.
_LONG_RUNNING_JOB = 3
_JOB_ID = '016x'
_ORGANISATIONS = ('clerks', 'judges')
_SMALL = Resources(300, 256, 0)
_SETTLE_STEP_S = 0.2
_SETTLE_RUN_S = 0.7
# Long enough for leases to expire, pauses to end and runs to repeat.
_SETTLE_TIMEOUT_S = 60.0


class AccountingRig(EndEvents):
    """Plays a random schedule and checks the run tracker after each event."""

    def __init__(self, seed: int) -> None:
        """Create a cell with ``_MACHINES`` machines and no jobs."""
        super().__init__(seed)
        for _ in range(_MACHINES):
            self.add_machine()

    def run_schedule(self, event_count: int) -> None:
        """Run random events, then let all work finish."""
        events = (
            (self.submit_one, 6),
            (self.cancel_one, 1),
            (self.deliver_stale_row, 1),
            (self.plan, 14),
            (self.begin_write, 10),
            (self.end_write, 12),
            (self.send_one, 20),
            (self.send_stops, 10),
            (self.hold_one, 30),
            (self.end_one, 12),
            (self.hand_over, 0.7),
            (self.disconnect_one, 1),
            (self.reconnect_one, 1.5),
            (self.crash_one, 0.6),
            (self.drain_one, 0.3),
            (self.expire_one, 0.4),
            (self.register_one, 2),
            (self.add_stray, 1.5),
            (self.wait, 14),
            (self.wait_beyond_lease, 0.3),
        )
        runs = [run for run, _ in events]
        weights = [weight for _, weight in events]
        for _ in range(event_count):
            run = self.rng.choices(runs, weights)[0]
            self.trace_event(run.__name__)
            run()
            self.check()
        self.settle()

    def check(self) -> None:
        """Check the run tracker against a recount."""
        notes = self.scheduler.tracker.notes
        self.scheduler.tracker.notes = []
        for kind, fields in notes:
            if kind != 'cell state':
                self.trace_event(f'{kind} {fields}')
        written = [
            put.key.rpartition('/')[2]
            for put in (
                self.pending_write[0].transaction.puts
                if self.pending_write
                else ()
            )
        ]
        found = find_errors(
            self.scheduler.tracker,
            written,
            self.live_runs(),
            LIMIT,
        )
        if found:
            self.fail(found)

    def submit_one(self) -> None:
        """Submit a random job of one to three steps."""
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
        if self.job_count == _LONG_RUNNING_JOB:
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
        """Cancel a random job."""
        if self.job_count:
            number = self.rng.randint(1, self.job_count)
            self._cancel(format(number, _JOB_ID))

    def _cancel(self, job_id: str) -> None:
        key = cancel_key(job_id)
        self.version += 1
        row = Row(key, self.version, 1)
        self.rows_by_key[key] = row
        self.scheduler.jobs.apply_job_row(row, self.now)

    def deliver_stale_row(self) -> None:
        """Deliver an outdated read of a job's row."""
        if self.submitted_rows:
            row = self.rng.choice(self.submitted_rows)
            self.scheduler.jobs.apply_job_row(row, self.now)

    def plan(self) -> None:
        """Run a placement round and check ``max_per_worker``."""
        before = placed_runs(self.scheduler.tracker)
        self.scheduler.plan(self.now, [])
        found = tasks_over_max_per_worker(self.scheduler.tracker, before)
        if found:
            self.fail(found)

    def begin_write(self) -> None:
        """Start a journal write, unless one is pending."""
        if self.pending_write is None:
            self.pending_write = self.scheduler.take_batch(self.now)

    def end_write(self) -> None:
        """Commit the pending journal write and collect its starts."""
        if self.pending_write is None:
            return
        batch, starts = self.pending_write
        self.pending_write = None
        self.write(batch.transaction)
        self.scheduler.committed(batch, self.version, self.store_ms, self.now)
        self.unsent_starts.extend(starts)

    def hand_over(self) -> None:
        """Start another term, possibly during a journal write.

        The pending write may still take effect, and so may unsent starts.
        """
        self.trace_event(f'term {self.term} ends')
        if self.pending_write is not None and self.rng.random() < 0.5:
            self.write(self.pending_write[0].transaction)
        for start in self.unsent_starts:
            order = self.scheduler.starts.start_order(start, self.now)
            if order is not None and self.rng.random() < 0.5:
                entry = start.worker.entry
                self._call_later(
                    partial(self._execute_late, entry, order, self.term),
                    outlives_term=True,
                )
        self.begin_term()

    def wait(self) -> None:
        """Advance the time by at most half a second."""
        self._advance_time(self.rng.uniform(0.01, 0.5))

    def wait_beyond_lease(self) -> None:
        """Advance the time beyond a lease without any calls."""
        for _ in range(20):
            self._advance_time(self.rng.uniform(0.2, 0.6))

    def _advance_time(self, duration_s: float) -> None:
        self.now += duration_s
        due = [each for each in self.delayed_calls if each[0] <= self.now]
        self.delayed_calls = [
            each for each in self.delayed_calls if each[0] > self.now
        ]
        self.rng.shuffle(due)
        for _, run in due:
            run()
            self.check()
        for machine in self.machines:
            machine.pass_time(self.now)
        self._break_gangs()
        self.scheduler.tick(self.now)

    def settle(self) -> None:
        """Make all machines reachable and let all work end.

        Fails if any work or any run but long-running tasks is left.
        """
        self.trace_event('settle')
        self.end_write()
        for machine in self.machines:
            machine.is_reachable = True
            self._register(machine)
        ends_s = self.now + _SETTLE_TIMEOUT_S
        while self.now < ends_s and self._has_unfinished_work():
            self._settle_step()
            self.check()
        if self._has_unfinished_work():
            self.fail(self._unfinished_work())

    def _settle_step(self) -> None:
        self._advance_time(_SETTLE_STEP_S)
        for machine in self.machines:
            for (task, run), state in tuple(machine.runs.items()):
                known = self.scheduler.tracker.task(task)
                is_long_running = (
                    known is not None and known.step.spec.long_running
                )
                if (
                    not is_long_running
                    and self.now - state.began_s > _SETTLE_RUN_S
                ):
                    self._end(machine, task, run, EndKind.DONE)
        for worker_id in sorted(self.scheduler.tracker.workers_by_id):
            self._hold(worker_id, is_lossless=True)
        self.plan()
        self.begin_write()
        self.end_write()
        for entry, order in self.scheduler.starts.stops_due(self.now):
            self._send_stop(entry, order, is_lossless=True)
        self.unsent_starts = [
            start
            for start in self.unsent_starts
            if self._send(start, is_lossless=True)
        ]

    def _has_unfinished_work(self) -> bool:
        return bool(self._unfinished_work())

    def _unfinished_work(self) -> list[str]:
        running = {
            (machine.entry.worker_id, task, run)
            for machine in self.machines
            for task, run in machine.runs
        }
        return unfinished(self.scheduler.tracker, running)
