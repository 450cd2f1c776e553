"""What the runs of a crashed worker show about the cause of the crash.

A task that crashes its worker is among the runs that the worker had at that
moment. All of them are lost, and most of them are innocent. What tells them
apart is how long each had been executing: a run that began long before is less
likely to be the cause than one that had only just begun.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Any

from msgspec import Struct

from apricotlead.state.cell_jobs import TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState

# A run that had been executing for less than this may be suspected at once.
YOUNG_S = 0.2
# A task that crashes its worker at its start is the last to begin there. The
# runs that began this long before the latest confirmed one are not suspected.
_YOUNGER_BY_S = 0.05
# The longest pause between two calls to a worker that has just come back.
_MAX_DATING_ERROR_S = 0.35
_MAX_RUNS_PER_NOTE = 8


class Evidence(StrEnum):
    """What shows that the runs of a worker have ended.

    ``OTHER_LIFE``: another incarnation answered at its address. ``REBORN``: it
    registered, or answered, with a later start time. ``GONE``: it is no longer
    registered and its lease has expired, so it may only have been cut off.
    """

    OTHER_LIFE = 'other life'
    REBORN = 'reborn'
    GONE = 'gone'

    @property
    def is_proof(self) -> bool:
        """Return whether the worker's process has certainly ended."""
        return self is not Evidence.GONE


class LostRun(Struct, frozen=True):
    """A run that was lost with its worker.

    ``age_s`` is how long it had been executing when the worker was lost, as far
    as this term knows. Without ``is_confirmed`` the worker never confirmed the
    run, so it may not have begun. ``is_young`` if it had only just begun, and
    not much earlier than any other run there.
    """

    task: TaskState
    run: int
    age_s: float
    is_confirmed: bool
    is_young: bool


def lost_runs(worker: WorkerState) -> list[LostRun]:
    """Return the runs that were lost with a worker, youngest first."""
    tasks = [
        task
        for task in worker.tasks_by_name.values()
        if task.is_placed and not _is_unsent(task, worker)
    ]
    lost_s = _crash_s(tasks, worker)
    ages_s = [_age_s(task, lost_s) for task in tasks]
    confirmed_ages_s = [
        age_s
        for age_s, task in zip(ages_s, tasks, strict=True)
        if _is_confirmed(task)
    ]
    limit_s = YOUNG_S + _dating_error_s(worker)
    if confirmed_ages_s:
        limit_s = min(limit_s, min(confirmed_ages_s) + _YOUNGER_BY_S)
    runs = [
        LostRun(
            task, task.run, age_s, _is_confirmed(task), is_young=age_s < limit_s
        )
        for age_s, task in zip(ages_s, tasks, strict=True)
    ]
    return sorted(runs, key=lambda lost: (lost.age_s, lost.task.name))


def unseen_runs(tasks: Iterable[TaskState]) -> list[LostRun]:
    """Return runs that were lost while there was no scheduler."""
    tasks = list(tasks)
    latest_s = max((task.placed_s for task in tasks), default=0)
    return [
        LostRun(
            task,
            task.run,
            latest_s - task.placed_s,
            is_confirmed=False,
            is_young=latest_s - task.placed_s < YOUNG_S,
        )
        for task in tasks
    ]


def crash_fields(
    worker: WorkerState,
    evidence: Evidence,
    runs: Iterable[LostRun],
    now: float,
) -> dict[str, Any]:
    """Return the fields of the log line about a crash."""
    runs = list(runs)
    return {
        'worker': worker.worker_id,
        'evidence': str(evidence),
        'silent_s': round(now - worker.lease.last_contact_s, 3),
        'down_s': round(now - worker.lost_s, 3),
        'run_count': len(runs),
        'young_count': sum(each.is_young for each in runs),
        'youngest': [
            {
                'task': each.task.name,
                'run': each.run,
                'age_s': round(each.age_s, 3),
                'is_confirmed': each.is_confirmed,
            }
            for each in runs[:_MAX_RUNS_PER_NOTE]
        ],
    }


def _is_unsent(task: TaskState, worker: WorkerState) -> bool:
    """Return whether no order for a run can have reached the worker."""
    if task.phase is TaskPhase.PLANNED:
        return True
    # The first call had failed by then.
    is_later = task.started_s > worker.lost_s and worker.is_contact_lost
    return task.is_start_known and is_later and not _is_confirmed(task)


def _is_confirmed(task: TaskState) -> bool:
    return task.is_confirmed or task.first_progress is not None


def _crash_s(tasks: Iterable[TaskState], worker: WorkerState) -> float:
    """Return when a worker crashed, as far as this term knows.

    A worker that has never answered in this term crashed before it, or at its
    beginning. A task that crashes its worker is the last to begin there, so the
    crash is dated by the latest run.
    """
    if worker.lease.has_ever_answered:
        return worker.lost_s
    return max((task.placed_s for task in tasks), default=worker.lost_s)


def _dating_error_s(worker: WorkerState) -> float:
    """Return how long a worker may have been down when its loss was seen.

    Between two calls to a worker nothing shows that its process has ended. A
    connection that ends under a call shows it at once.
    """
    if not worker.is_loss_between_calls:
        return 0
    return min(_MAX_DATING_ERROR_S, worker.lost_s - worker.lease.last_contact_s)


def _age_s(task: TaskState, lost_s: float) -> float:
    """Return how long a run had been executing, at most."""
    began_s = task.started_s if task.is_start_known else task.placed_s
    return max(0, lost_s - began_s)
