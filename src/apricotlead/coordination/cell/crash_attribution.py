"""Which tasks are suspected of crashing their workers, and which given up.

All runs of a crashed worker are counted. The runs that had only just begun are
suspected. Older ones are suspected after a second crash without such a run to
blame, or a third in any case. A suspect next runs apart from other work
(:mod:`.isolation`). A task is given up only when workers crash under it and
little else is left to blame:

- at the second certain crash soon after its start at which no other job had a
  run that had only just begun;
- at its third, also if some are doubtful, if it was tried alone on its worker
  and at two of them nothing else was to blame; at its fourth, if it was tried;
- when it may have crashed ``_MOST_CRASHES`` workers, two of them for certain.

A run that had been executing for long clears its task, so that the crashes under
a service do not add up over its life.

A worker that was only silent has not crashed: its runs count as doubtful, and
only once something shows that its process has ended.
"""

from collections.abc import Collection, Iterable

from apricotlead.coordination.cell.crash_evidence import (
    Evidence,
    LostRun,
    crash_fields,
    lost_runs,
    unseen_runs,
)
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.protocol.cell_jobs import JobState
from apricotlead.state.cell_jobs import JobRun, TaskState
from apricotlead.state.cell_workers import TRIAL_S, WorkerState
from apricotlead.state.crash_history import CrashHistory

# No task is given up at fewer crashes: one may have happened by chance.
_FEWEST_CRASHES = 2
_CRASHES_TRIED = 3
# Certain and doubtful ones. Some starts may have escaped every scheduler.
_MOST_CRASHES = 5
# A run that had been executing for longer is not what crashed its worker; it
# clears the task of earlier crashes.
_CHANCE_AGE_S = 60.0
# Suspects are tried with growing pauses, as each trial may cost a worker.
_FIRST_PAUSE_S = 0.1
_PAUSE_FACTOR = 4.0
_LONGEST_PAUSE_S = 1.6


class CrashAttribution:
    """Counts crashes for the tasks that a worker had when it ended."""

    __slots__ = ('_tracker',)

    def __init__(self, tracker: RunTracker) -> None:
        """Apply crashes to the jobs of ``tracker``."""
        self._tracker = tracker

    def worker_ended(
        self, worker: WorkerState, evidence: Evidence, now: float
    ) -> list[JobRun]:
        """Count a crash for the runs of a worker; return the jobs to give up.

        To be called while the worker still holds its runs. The end of a
        draining worker is no crash.
        """
        if worker.entry.draining:
            return []
        runs = _uncounted(lost_runs(worker))
        self._tracker.note(
            'worker crashed', **crash_fields(worker, evidence, runs, now)
        )
        if evidence.is_proof:
            _note_steps(runs)
        tried_alone = _tried_alone(runs)
        blamed_job = _blamed_job(runs) if worker.is_loss_dated else None
        for lost in runs:
            self._count(
                lost,
                evidence,
                is_sole=lost.task.step.job is blamed_job,
                is_alone=lost.task in tried_alone,
            )
        for task, run in worker.lapsed_runs(self._tracker.task):
            lapsed = LostRun(task, run, 0, is_confirmed=False, is_young=False)
            self._count(lapsed, evidence)
        self._suspect(runs, evidence, now)
        return _guilty_jobs(runs, tried_alone)

    def worker_down(self, worker: WorkerState) -> None:
        """Note which steps seem to have taken a worker down.

        Nothing else is decided until the end of its process is proved.
        """
        if not worker.entry.draining:
            _note_steps(_uncounted(lost_runs(worker)))

    def restarted_between_terms(
        self, worker: WorkerState, tasks: Iterable[TaskState], now: float
    ) -> None:
        """Count a doubtful crash for the tasks of a worker that restarted.

        It did so while there was no scheduler, which had started them there
        before; whether the worker ever began them is not known.
        """
        runs = _uncounted(unseen_runs(tasks))
        if not runs or worker.entry.draining:
            return
        self._tracker.note(
            'worker crashed',
            **crash_fields(worker, Evidence.REBORN, runs, now),
        )
        for lost in runs:
            self._count(lost, Evidence.REBORN)
        self._suspect(runs, Evidence.REBORN, now)

    def give_up(self, jobs: Iterable[JobRun], now: float) -> None:
        """End jobs as failed, with the reason for callers and the log."""
        for job in jobs:
            if job.state.is_final:
                continue
            worst = max(job.tasks(), key=lambda task: task.crashes.crashes)
            count = worst.crashes.crashes
            job.why_failed = (
                f'task {worst.name} was given up: workers crashed {count}'
                ' times while they executed it; correct the task and submit it'
                ' as a new job'
            )
            self._tracker.note(
                'task given up',
                task=worst.name,
                job=job.job_id,
                queue=job.stored.queue,
                crashes=count,
                doubtful_crashes=worst.crashes.doubtful_crashes,
                runs=worst.run,
            )
            self._tracker.finish(job, JobState.FAILED, now)

    def _count(
        self,
        lost: LostRun,
        evidence: Evidence,
        *,
        is_sole: bool = False,
        is_alone: bool = False,
    ) -> None:
        history = lost.task.crashes
        if lost.run <= history.counted_run:
            return
        history.counted_run = lost.run
        self._tracker.mark_dirty(lost.task.step.job)
        if lost.age_s > _CHANCE_AGE_S:
            history.clear()
            self._tracker.clear_suspect(lost.task)
            return
        if not (evidence.is_proof and lost.is_confirmed):
            history.doubtful_crashes += 1
            return
        history.crashes += 1
        history.longest_age_s = max(history.longest_age_s, lost.age_s)
        if is_sole and lost.age_s < TRIAL_S:
            history.sole_crashes += 1
        elif is_alone:
            history.alone_crashes += 1

    def _suspect(
        self, runs: list[LostRun], evidence: Evidence, now: float
    ) -> None:
        """Mark the tasks that are to run apart from other work."""
        is_explained = any(lost.is_young for lost in runs)
        most = _CRASHES_TRIED if is_explained else _FEWEST_CRASHES
        for lost in runs:
            history = lost.task.crashes
            is_likely = evidence.is_proof and lost.is_young
            is_repeated = history.crashes and history.total >= most
            if not (is_likely or is_repeated):
                continue
            self._tracker.suspect(lost.task)
            lost.task.not_before_s = now + _pause_s(history.crashes)
            self._tracker.note(
                'task suspected',
                task=lost.task.name,
                run=lost.run,
                crashes=history.crashes,
                doubtful_crashes=history.doubtful_crashes,
                age_s=round(lost.age_s, 3),
            )


def _note_steps(runs: Iterable[LostRun]) -> None:
    """Note the steps of the runs that had only just begun."""
    for lost in runs:
        lost.task.step.has_crashed |= lost.is_young
        lost.task.step.has_lived |= not lost.is_young


def _tried_alone(runs: list[LostRun]) -> set[TaskState]:
    """Return the suspects of a worker that had runs of one job only."""
    if len({lost.task.step.job for lost in runs}) > 1:
        return set()
    return {lost.task for lost in runs if lost.task.crashes.is_suspect}


def _guilty_jobs(
    runs: Iterable[LostRun], tried_alone: Collection[TaskState]
) -> list[JobRun]:
    jobs_by_id = {
        lost.task.step.job.job_id: lost.task.step.job
        for lost in runs
        if _is_guilty(lost.task.crashes, was_tried=lost.task in tried_alone)
    }
    return list(jobs_by_id.values())


def _uncounted(runs: Iterable[LostRun]) -> list[LostRun]:
    """Return the runs that have not been counted yet.

    What shows that a worker has restarted may be seen more than once.
    """
    return [lost for lost in runs if lost.run > lost.task.crashes.counted_run]


def _blamed_job(runs: list[LostRun]) -> JobRun | None:
    """Return the only job with young runs, or with any runs on the worker."""
    jobs = {lost.task.step.job for lost in runs if lost.is_young}
    jobs = jobs or {lost.task.step.job for lost in runs}
    return jobs.pop() if len(jobs) == 1 else None


def _is_guilty(history: CrashHistory, *, was_tried: bool) -> bool:
    """Return whether a task may not be started again.

    ``was_tried`` if it was a suspect before, and alone on its worker.
    """
    if history.sole_crashes >= _FEWEST_CRASHES:
        return True
    if was_tried and history.total >= _CRASHES_TRIED:
        is_clear = history.unexplained >= _FEWEST_CRASHES
        return is_clear or history.total > _CRASHES_TRIED
    is_used_up = history.total >= _MOST_CRASHES
    return is_used_up and history.crashes >= _FEWEST_CRASHES


def _pause_s(crashes: int) -> float:
    return min(
        _LONGEST_PAUSE_S, _FIRST_PAUSE_S * _PAUSE_FACTOR ** max(0, crashes - 1)
    )
