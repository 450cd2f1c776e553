"""The elected scheduler of a cell, with its state of all jobs and workers.

It does no input or output: messages and times are passed in as arguments, and
orders are returned as values. It is driven by
:mod:`apricotlead.transport.cell_scheduling`.
"""

from collections import Counter, defaultdict

import msgspec

from apricotlead.coordination.cell.advice_cache import AdviceCache, AdviceCall
from apricotlead.coordination.cell.election import (
    OwnerRow,
    owner_transaction,
)
from apricotlead.coordination.cell.job_intake import JobIntake
from apricotlead.coordination.cell.journal import (
    JournalBatch,
    Renewal,
    WriteLimits,
    reissue_batch,
    take_batch,
)
from apricotlead.coordination.cell.planner import Planner
from apricotlead.coordination.cell.progress_rows import ProgressWrite
from apricotlead.coordination.cell.registrations import Registrations
from apricotlead.coordination.cell.row_sizes import least_row_bytes
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.speed_rows import SpeedRows
from apricotlead.coordination.cell.stalled_steps import StalledSteps
from apricotlead.coordination.cell.starts import PlannedStart, StartTracker
from apricotlead.coordination.cell.store_clock import StoreClock
from apricotlead.coordination.cell.worker_watch import WorkerWatch
from apricotlead.protocol.cell_jobs import JobState
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.state.cell_jobs import JobRun

# The kind of the event that summarises the cell.
CELL_STATE = 'cell state'
_MAX_EXPIRED_PER_WRITE = 8
_MS_PER_S = 1000.0
_SUMMARY_INTERVAL_S = 1.0


class CellScheduler:
    """Schedules for one term; created anew at each takeover.

    ``jobs`` handles rows of the store, ``registrations`` entries of the
    registry, ``workers`` reports of workers, and ``starts`` answers to orders. :meth:`plan` and the journal combine them.
    """

    __slots__ = (
        '_summary_logged_s',
        '_write_limits',
        'advice',
        'clock',
        'jobs',
        'owner',
        'owner_version',
        'planner',
        'registrations',
        'speeds',
        'stalled',
        'starts',
        'tracker',
        'workers',
    )

    def __init__(
        self,
        settings: CellSettings,
        view: CellConfigView,
        owner: OwnerRow,
        former: OwnerRow | None,
        now: float,
        store_ms: float,
    ) -> None:
        """Start the term whose takeover wrote ``owner``.

        ``store_ms`` is a lower bound of the store's clock now.
        """
        self.tracker = RunTracker()
        self.advice = AdviceCache(settings.advice)
        self.clock = StoreClock(now, store_ms)
        self.jobs = JobIntake(
            settings,
            self.tracker,
            self.advice,
            self.clock,
            view,
        )
        self.workers = WorkerWatch(
            settings,
            self.tracker,
            self.advice,
            self.clock,
            owner.epoch,
            former,
            now,
        )
        self.registrations = Registrations(
            self.tracker, self.jobs, self.workers
        )
        self.starts = StartTracker(
            settings,
            self.tracker,
            self.advice,
        )
        self.planner = Planner(self.tracker, self.advice)
        self.speeds = SpeedRows(self.tracker, now, settings.row_bytes)
        self.stalled = StalledSteps(self.tracker, self.advice, now)
        self.owner = owner
        self.owner_version = 0
        self._write_limits = WriteLimits(
            settings.tasks_per_write, settings.row_bytes
        )
        self._summary_logged_s = now
        self.set_view(view)

    def set_view(self, view: CellConfigView) -> None:
        """Apply a new configuration."""
        self.jobs.view = view
        self.planner.set_view(view)
        self.stalled.set_view(view)

    def tick(self, now: float) -> None:
        """Run periodic work and handle expired deadlines."""
        if now - self._summary_logged_s >= _SUMMARY_INTERVAL_S:
            self._summary_logged_s = now
            self.stalled.check(now)
            self._log_summary(now)
        self.workers.tick(now)
        self.jobs.drop_finished()

    def set_largest_cores(self, cores: float) -> None:
        """Record the cores of the largest instance for a successor."""
        self.owner = msgspec.structs.replace(self.owner, largest_cores=cores)

    def set_patience(self, patience_s: float) -> None:
        """Set the silence that followers are asked to tolerate."""
        patience_ms = round(patience_s * _MS_PER_S)
        self.owner = msgspec.structs.replace(
            self.owner,
            patience_ms=patience_ms,
        )

    def plan(self, now: float, askers: list[str]) -> list[AdviceCall]:
        """Choose workers for waiting tasks; return the advice to ask for."""
        return self.planner.plan(now, askers)

    def take_batch(
        self,
        now: float,
    ) -> tuple[JournalBatch, list[PlannedStart]]:
        """Return the next journal write and the starts that depend on it."""
        self.owner = self.workers.next_owner(self.owner, now)
        batch = take_batch(
            self.tracker,
            self.owner,
            self.owner_version,
            now,
            self.jobs.rows.take_expired(_MAX_EXPIRED_PER_WRITE),
            (*self.workers.lease_puts(now), *self.speeds.due(now)),
            self._write_limits,
        )
        renewed_s = self.workers.renewed_s
        return batch, self.starts.prepare(batch.planned, renewed_s, now)

    def reissue(self, batch: JournalBatch, now: float) -> JournalBatch:
        """Return a part of a divided write, to be written next."""
        self.owner = self.workers.next_owner(self.owner, now)
        return reissue_batch(batch, self.owner, self.owner_version, now)

    def leave_out(self, batch: JournalBatch, why: str, now: float) -> None:
        """Go on without a write that the store refuses for good.

        It contains a single row of a job, or none. The row is divided if that
        is possible. Otherwise its job fails, which takes a small row, as its
        runs can never be recorded.
        """
        self.tracker.note(
            'write refused',
            why=why,
            keys=[put.key for put in batch.transaction.puts],
        )
        if batch.extra_puts:
            self.speeds.stop()
            self.workers.leases_refused()
        for write in batch.writes:
            if write.can_be_divided:
                self._lower_row_limit(write)
            elif not write.is_final:
                self._set_aside(write.job, why, now)

    def _lower_row_limit(self, write: ProgressWrite) -> None:
        """Let a job be written in rows of half the size."""
        row_bytes = least_row_bytes(write.value_bytes // 2)
        self._write_limits = msgspec.structs.replace(
            self._write_limits,
            row_bytes=min(row_bytes, self._write_limits.row_bytes),
        )
        self.tracker.note(
            'row limit lowered',
            job=write.job.job_id,
            row_bytes=self._write_limits.row_bytes,
        )
        self.tracker.mark_dirty(write.job)

    def _set_aside(self, job: JobRun, why: str, now: float) -> None:
        job.why_failed = f'Its progress cannot be stored: {why}.'
        self.tracker.note(
            'job set aside',
            job=job.job_id,
            queue=job.stored.queue,
            organisation=job.stored.organisation,
            why=why,
        )
        self.tracker.finish(job, JobState.FAILED, now)

    def has_changes(self, now: float) -> bool:
        """Tell whether anything waits for a journal write."""
        if self.tracker.dirty_job_ids or self.workers.wants_grant(now):
            return True
        return any(
            worker.reported_through > worker.acked_through
            for worker in self.tracker.workers_by_id.values()
        )

    def renewal(self, now: float) -> Renewal:
        """Return a write that renews the term and changes nothing else."""
        self.owner = self.workers.next_owner(self.owner, now)
        return Renewal(
            owner_transaction(self.owner, self.owner_version), self.owner, now
        )

    def renewed(
        self, renewal: Renewal, version: int, store_ms: float, now: float
    ) -> None:
        """Apply a renewal that is now durable."""
        self.owner_version = version
        self.workers.renewed_s = renewal.made_s
        self.clock.note(store_ms, now)

    def releasing_owner(self, now: float) -> OwnerRow:
        """Return the owner row that releases the term to a successor."""
        owner = self.workers.next_owner(self.owner, now)
        return msgspec.structs.replace(owner, is_released=True)

    def committed(
        self,
        batch: JournalBatch,
        version: int,
        store_ms: float,
        now: float,
    ) -> None:
        """Apply the effects of a journal write that is now durable.

        Grants count from when the row was made, as a successor counts them,
        even if the write had to be repeated.
        """
        self.renewed(batch, version, store_ms, now)
        for worker, through in batch.acks:
            worker.acknowledge_through(through)
        self.workers.leases_written()
        for write in batch.writes:
            write.note_written()
        for task, run in batch.planned:
            if task.run == run:
                self.tracker.mark_sent(task)
        self.jobs.record_final_jobs(batch, now)

    def _log_summary(self, now: float) -> None:
        """Log a summary of the capacity in use and the queues."""
        workers = [
            worker
            for worker in self.tracker.workers_by_id.values()
            if worker.takes_work(now)
        ]
        waiting: Counter[str] = Counter()
        reasons: defaultdict[str, Counter[str]] = defaultdict(Counter)
        steps_by_reason: Counter[str] = Counter()
        for step in self.tracker.ready_steps_by_name.values():
            queue = step.job.stored.queue
            waiting[queue] += step.waiting_count
            reason = str(step.waits.reason or 'new')
            reasons[queue][reason] += step.waiting_count
            steps_by_reason[reason] += 1
        stalls = self.stalled.summary
        self.tracker.note(
            CELL_STATE,
            usable_workers=len(workers),
            workers=len(self.tracker.workers_by_id),
            cpu_millis=sum(w.entry.capacity.cpu_millis for w in workers),
            cpu_used_millis=sum(w.used.cpu_millis for w in workers),
            memory_used_mb=sum(w.used.memory_mb for w in workers),
            jobs=len(self.tracker.jobs_by_id),
            waiting_tasks=waiting,
            waiting_for=reasons,
            waiting_steps=steps_by_reason,
            runnable_steps=stalls.runnable,
            stalled_steps=stalls.stalled,
            newly_stalled_steps=stalls.new,
            oldest_runnable_s=stalls.oldest_s,
        )
