"""Checks that each task runs once, and that each job completes (TWICE, LOST).

Runs are counted on the model workers, not in the scheduler. An end counts as
taken note of once its worker has forgotten it on an acknowledgement, unless
the worker's lease lapsed between the two.
"""

from collections import defaultdict
from collections.abc import Iterator
from itertools import combinations
from operator import attrgetter

from msgspec import convert

from apricotlead.protocol.cell_jobs import JobProgress, JobState, StepSpec
from apricotlead.protocol.cell_workers import EndKind
from tests.faulty.cell import FaultyCell
from tests.faulty.shape import MAX_ATTEMPTS
from tests.faulty.workers import RunRecord


class OnceRule:
    """Evaluates a cell after its simulation."""

    def __init__(self, cell: FaultyCell) -> None:
        """Collect the runs of each task in the order of their starts."""
        self._cell = cell
        self._runs_by_task: defaultdict[str, list[RunRecord]]
        self._runs_by_task = defaultdict(list)
        for process in cell.processes:
            for run in process.records:
                self._runs_by_task[run.profile.name].append(run)
        for runs in self._runs_by_task.values():
            runs.sort(key=attrgetter('began_s'))

    def violations(self) -> list[str]:
        """Return all violations, as texts for the failure message."""
        return [
            *self.runs_at_once(),
            *self.starts_after_done(),
            *self.jobs_failed_early(),
            *self.jobs_given_up(),
            *self.jobs_not_completed(),
        ]

    def runs_at_once(self) -> list[str]:
        """Return the pairs of runs of one task that executed at once."""
        return [
            f'at once: {_describe(earlier)}; {_describe(later)}'
            for earlier, later in self._pairs()
            if later.began_s < earlier.ended_s
        ]

    def starts_after_done(self) -> list[str]:
        """Return the starts after an end ``done`` that was taken note of."""
        return [
            f'after done: {_describe(earlier)}; {_describe(later)}'
            for earlier, later in self._pairs()
            if self._is_final(earlier) and later.began_s >= earlier.ended_s
        ]

    def jobs_failed_early(self) -> list[str]:
        """Return the failed jobs none of whose tasks used up its attempts.

        A run of a gang counts once, however many of its members failed. Jobs
        that were given up for crashes are not included.
        """
        return [
            f'failed early: {job_id}, {self._most_failures(job_id)} failed runs'
            for job_id in self._failed_without_cause()
            if not self._why(job_id)
        ]

    def jobs_given_up(self) -> list[str]:
        """Return the jobs given up for crashes, as no task crashes a worker."""
        return [
            f'given up: {self._why(job_id)}'
            for job_id in self._failed_without_cause()
            if self._why(job_id)
        ]

    def jobs_not_completed(self) -> list[str]:
        """Return the jobs that have not ended and were not cancelled.

        Jobs with long-running steps do not end.
        """
        return [
            f'not completed: {job_id}'
            for job_id in self._cell.open_jobs()
            if not any(spec.long_running for spec in self._steps(job_id))
        ]

    def _pairs(self) -> Iterator[tuple[RunRecord, RunRecord]]:
        """Return the pairs of runs of each task, the earlier one first."""
        for runs in self._runs_by_task.values():
            yield from combinations(runs, 2)

    def _is_final(self, run: RunRecord) -> bool:
        """Return whether a run ended ``done``, and that was taken note of."""
        job_id, _, index, _ = run.profile.name.split('.')
        is_long_running = self._steps(job_id)[int(index)].long_running
        is_done = run.kind is EndKind.DONE and not is_long_running
        return is_done and run.is_noted and not run.is_void

    def _most_failures(self, job_id: str) -> int:
        """Return the number of failed runs of the job's worst task."""
        failed_runs_by_name: defaultdict[str, set[object]] = defaultdict(set)
        for name, runs in self._runs_by_task.items():
            if name.partition('.')[0] != job_id:
                continue
            for run in runs:
                if run.kind is EndKind.FAILED:
                    is_gang = run.profile.gang_size
                    subject = run.profile.step if is_gang else name
                    failed_runs_by_name[subject].add(run.number)
        return max(map(len, failed_runs_by_name.values()), default=0)

    def _failed_without_cause(self) -> list[str]:
        return [
            job_id
            for job_id in self._cell.jobs_by_id
            if self._cell.state(job_id) is JobState.FAILED
            and self._most_failures(job_id) < MAX_ATTEMPTS
        ]

    def _why(self, job_id: str) -> str:
        """Return the reason that callers get for a failed job."""
        row = self._cell.store.progress(job_id)
        return convert(row.value, JobProgress).why

    def _steps(self, job_id: str) -> tuple[StepSpec, ...]:
        return self._cell.jobs_by_id[job_id].submission.steps


def _describe(run: RunRecord) -> str:
    kind = 'running' if run.kind is None else str(run.kind)
    words = [
        run.profile.name,
        f'run {run.number}',
        f'on {run.worker_id} born {run.born_s:.2f}',
        f'from {run.began_s:.2f}',
        f'until {run.ended_s:.2f}',
        kind,
    ]
    if run.sent_s < run.began_s:
        words.append(f'sent {run.sent_s:.2f}')
    if run.sent_s < run.born_s:
        words.append('to a former life')
    return ' '.join(words)
