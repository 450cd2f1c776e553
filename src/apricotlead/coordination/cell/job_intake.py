"""Intake of jobs from the store's rows, and removal of final jobs."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

import msgspec

from apricotlead.coordination.cell.admission import LoadMeter, measure_backlog
from apricotlead.coordination.cell.advice_cache import AdviceCache
from apricotlead.coordination.cell.job_rows import (
    CANCEL_MARK,
    FinalJob,
    FinalJobCleaner,
    MarkCleaner,
)
from apricotlead.coordination.cell.journal import JournalBatch
from apricotlead.coordination.cell.order import WeightMeter
from apricotlead.coordination.cell.progress_rows import (
    RowsByPart,
    group_rows,
    progress_key,
)
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.store_clock import StoreClock
from apricotlead.protocol.cell_jobs import JobProgress, JobState, StoredJob
from apricotlead.protocol.cell_peers import Backlog
from apricotlead.protocol.table import Row
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.state.cell_jobs import JobRun

_MS_PER_S = 1000.0
ProgressByPart = Mapping[int, JobProgress]
NO_PROGRESS: ProgressByPart = MappingProxyType({})
# Errors on decoding a row written by another program or version.
_DECODE_ERRORS = (msgspec.ValidationError, KeyError, ValueError)


class JobIntake:
    """Loads jobs from the store and drops them once they are final."""

    __slots__ = (
        '_advice',
        '_clock',
        '_load_meter',
        '_settings',
        '_tracker',
        '_weight_meter',
        'lone_cancels',
        'refusals',
        'rows',
        'view',
    )

    def __init__(
        self,
        settings: CellSettings,
        tracker: RunTracker,
        advice: AdviceCache,
        clock: StoreClock,
        view: CellConfigView,
    ) -> None:
        """Create an intake without jobs."""
        self._settings = settings
        self._tracker = tracker
        self._advice = advice
        self._clock = clock
        self._weight_meter = WeightMeter()
        self._load_meter = LoadMeter(0)
        self.rows = FinalJobCleaner()
        self.refusals = MarkCleaner.for_refusals()
        # Cancels of jobs that are not known, and that late writes must not add.
        self.lone_cancels = MarkCleaner.for_cancels(settings.keep_final_s)
        self.view = view

    def load(
        self,
        job_rows: tuple[Row, ...],
        progress_rows: tuple[Row, ...],
        now: float,
    ) -> None:
        """Load all stored jobs, once, before any worker is added."""
        self._load_jobs(job_rows, progress_rows, now)
        # Cancelling a job stops its runs, so load all runs first.
        for cancel in job_rows:
            if CANCEL_MARK in cancel.key:
                self.apply_job_row(cancel, now)
        for job in tuple(self._tracker.jobs_by_id.values()):
            self._tracker.update_ready_steps(job, now)
            if job.is_complete():
                self._tracker.finish(job, JobState.COMPLETED, now)

    def apply_job_row(self, row: Row, now: float) -> None:
        """Apply a row of the jobs table: a job or a cancellation."""
        job_id, mark, _ = row.key.rpartition('/')[2].partition(CANCEL_MARK)
        if row.version == 0 or row.value is None:
            return
        if mark:
            self._cancel(job_id, row.version, now)
            return
        try:
            self._apply_stored_job(job_id, row, now)
        except _DECODE_ERRORS as error:
            self._log_unreadable(row, error)

    def _apply_stored_job(
        self,
        job_id: str,
        row: Row,
        now: float,
        progress_by_part: ProgressByPart = NO_PROGRESS,
    ) -> None:
        stored = msgspec.convert(row.value, StoredJob)
        if stored.is_refused:
            self.refusals.add(job_id, row.version, now)
            return
        self.refusals.drop(job_id)
        if stored.state.is_final:
            record = JobProgress([], stored.state, stored.ended_ms)
            self._track_final_job(job_id, stored, row.version, record, now)
        elif self._is_new(job_id):
            self._add(job_id, stored, row.version, progress_by_part, now)

    def _log_unreadable(self, row: Row, error: Exception | str) -> None:
        """Log a skipped row; an error would end this and every later term."""
        self._tracker.note('row unreadable', key=row.key, why=str(error))

    def open_due_occurrences(self, unix_ms: float, now: float) -> None:
        """Open the occurrences that are due by the wall clock."""
        for job in self._tracker.jobs_by_id.values():
            if job.next_occurrence >= job.occurrence_count:
                continue
            submission = job.stored.submission
            due_ms = submission.first_due_ms
            due_ms += job.next_occurrence * submission.interval_ms
            if due_ms <= unix_ms and not job.state.is_final:
                job.open_occurrence(now - (unix_ms - due_ms) / _MS_PER_S)
                self._tracker.update_ready_steps(job, now)

    def has_service(self, service: str) -> bool:
        """Tell whether the configuration or an accepted job has a service."""
        return self.view.names_service(service) or any(
            job.stored.service == service
            for job in self._tracker.jobs_by_id.values()
        )

    def pending_by_queue(self) -> dict[str, int]:
        """Return the number of jobs per queue that have not started."""
        counts: dict[str, int] = {}
        for job in self._tracker.jobs_by_id.values():
            if not job.has_started and not job.state.is_final:
                queue = job.stored.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def backlog(self, now: float) -> Backlog:
        """Return an estimate of how long the waiting work takes."""
        return measure_backlog(
            self._tracker, self._weight_meter, self._load_meter, now
        )

    def record_final_jobs(self, batch: JournalBatch, now: float) -> None:
        """Record jobs whose final states a write has made durable."""
        for job in batch.final_jobs:
            record = JobProgress([], job.state, batch.owner.renewed_ms)
            self._expire_parts(job.job_id, job.progress_parts.further_numbers)
            self._track_final_job(
                job.job_id,
                job.stored,
                job.row_version,
                record,
                now,
            )
            self._drop_if_finished(job)

    def drop_finished(self) -> None:
        """Drop final jobs that have no placed runs left."""
        for job in tuple(self._tracker.jobs_by_id.values()):
            if job.job_id in self.rows.finals_by_id:
                self._drop_if_finished(job)

    def _is_new(self, job_id: str) -> bool:
        """Tell whether a row that is not final belongs to an unknown job.

        A read that started before the job's final row was written may return
        after it.
        """
        return not (
            job_id in self._tracker.jobs_by_id
            or job_id in self.rows.finals_by_id
        )

    def _expire_parts(self, job_id: str, numbers: Iterable[int]) -> None:
        """Let the further rows of a job's progress be deleted."""
        self.rows.expired_keys.extend(
            progress_key(job_id, number) for number in numbers if number
        )

    def _load_jobs(
        self, job_rows: Iterable[Row], progress_rows: Iterable[Row], now: float
    ) -> None:
        rows_by_id, unreadable = group_rows(progress_rows)
        for unknown in unreadable:
            self._log_unreadable(unknown, 'it names no part of a job')
        for row in job_rows:
            if CANCEL_MARK not in row.key:
                progress = rows_by_id.pop(row.key.rpartition('/')[2], {})
                self._load_job(row, progress, now)
        # Their jobs were deleted, and the former term ended before they were.
        for job_id, left_over in rows_by_id.items():
            self._expire_parts(job_id, left_over)

    def _load_job(self, row: Row, progress: RowsByPart, now: float) -> None:
        """Load a stored job; skip and log it if it cannot be decoded."""
        job_id = row.key.rpartition('/')[2]
        try:
            self._restore_job(job_id, row, progress, now)
        except _DECODE_ERRORS as error:
            # Its running tasks are unknown, so it must not start any.
            self._tracker.jobs_by_id.pop(job_id, None)
            self._log_unreadable(row, error)

    def _restore_job(
        self,
        job_id: str,
        row: Row,
        progress: RowsByPart,
        now: float,
    ) -> None:
        main = progress.get(0)
        record = None
        if main is not None:
            record = msgspec.convert(main.value, JobProgress)
        if record is not None and record.state.is_final:
            stored = msgspec.convert(row.value, StoredJob)
            self._expire_parts(job_id, progress)
            self._track_final_job(job_id, stored, row.version, record, now)
            return
        progress_by_part = {
            number: msgspec.convert(part.value, JobProgress)
            for number, part in progress.items()
        }
        self._apply_stored_job(job_id, row, now, progress_by_part)

    def _add(
        self,
        job_id: str,
        stored: StoredJob,
        row_version: int,
        progress_by_part: ProgressByPart,
        now: float,
    ) -> None:
        age_s = (
            max(0, self._clock.read_ms(now) - stored.accepted_ms) / _MS_PER_S
        )
        job = JobRun(job_id, stored, now - age_s, row_version, now)
        organisation = self.view.organisations_by_name.get(stored.organisation)
        if organisation is not None:
            job.is_within_weight = self._weight_meter.admit(
                organisation.name,
                organisation.weight,
                job.accepted_s,
            )
        if job.is_within_weight:
            self._load_meter.note(job.step_specs, job.accepted_s)
        self._tracker.jobs_by_id[job_id] = job
        self._tracker.note(
            'job taken',
            job=job_id,
            queue=stored.queue,
            organisation=stored.organisation,
            age_s=round(age_s, 3),
            is_within_weight=job.is_within_weight,
        )
        if not stored.submission.occurrences:
            job.open_occurrence()
        if progress_by_part:
            offset_s = self._clock.read_ms(now) / _MS_PER_S - now
            job.restore(progress_by_part, now, offset_s)
            self._tracker.track_restored_runs(job)
        self._tracker.update_ready_steps(job, now)
        if self.rows.is_cancelled(job_id):
            # Its cancel was announced before the job was.
            self.lone_cancels.drop(job_id)
            self._tracker.finish(job, JobState.CANCELLED, now)

    def _cancel(self, job_id: str, row_version: int, now: float) -> None:
        self.rows.note_cancel(job_id)
        job = self._tracker.jobs_by_id.get(job_id)
        if job is not None:
            self._tracker.finish(job, JobState.CANCELLED, now)
        elif job_id not in self.rows.finals_by_id:
            self.lone_cancels.add(job_id, row_version, now)

    def _track_final_job(
        self,
        job_id: str,
        stored: StoredJob,
        row_version: int,
        record: JobProgress,
        now: float,
    ) -> None:
        age_s = (self._clock.read_ms(now) - record.ended_ms) / _MS_PER_S
        self.rows.add(
            FinalJob(
                job_id,
                stored,
                row_version,
                record.state,
                record.ended_ms,
                now + self._settings.keep_final_s - age_s,
                is_compacted=stored.state.is_final,
            ),
        )

    def _drop_if_finished(self, job: JobRun) -> None:
        if not any(task.is_placed for task in job.tasks()):
            self._tracker.jobs_by_id.pop(job.job_id, None)
        for step in job.steps_by_key.values():
            self._advice.forget(step.name)
