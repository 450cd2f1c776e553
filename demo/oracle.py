"""Test oracle: checks the runs that workers recorded against invariants."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from demo.processes import Cell, call


@dataclass(frozen=True, slots=True)
class Run:
    """One run of an attempt on one worker; times on the machine's clock.

    A run that has not ended has an infinite ``end_s``.
    """

    worker: str
    attempt_id: str
    begin_s: float
    end_s: float

    @property
    def task_key(self) -> str:
        """Return the job id and task number of the attempt."""
        return self.attempt_id.rpartition('.')[0]

    @property
    def job_id(self) -> str:
        """Return the job id of the attempt."""
        return self.task_key.rpartition('.')[0]


def collect_runs(cell: Cell, workers: Iterable[str]) -> list[Run]:
    """Return all runs of these workers, including those that still run."""
    runs = []
    for worker in workers:
        log = worker_log(cell, worker)
        for run in log['runs']:
            end_s = run['end_s']
            runs.append(
                Run(
                    worker,
                    run['attempt_id'],
                    run['begin_s'],
                    float('inf') if end_s is None else end_s,
                ),
            )
    return runs


def worker_log(cell: Cell, worker: str) -> dict[str, Any]:
    """Return the state of a worker stand-in, with all its runs."""
    return call(cell.node(worker).address, '/admin/state').body


def overcommitted(cell: Cell, workers: Iterable[str]) -> list[str]:
    """Return the workers that were assigned more than their capacity (I1)."""
    return [
        worker
        for worker in workers
        if worker_log(cell, worker)['overcommitted']
    ]


def double_runs(runs: Iterable[Run]) -> list[tuple[Run, Run]]:
    """Return pairs of runs of one task that overlap in time (I2)."""
    runs_by_task = defaultdict(list)
    for run in runs:
        runs_by_task[run.task_key].append(run)
    return [
        (first, second)
        for task_runs in runs_by_task.values()
        for first, second in _consecutive_pairs(task_runs)
        if second.begin_s < first.end_s
    ]


def repeated_runs(runs: Iterable[Run], job_ids: set[str]) -> list[str]:
    """Return the tasks of non-idempotent jobs that ran more than once (I7)."""
    counts: dict[str, int] = defaultdict(int)
    for run in runs:
        if run.job_id in job_ids:
            counts[run.task_key] += 1
    return [task_key for task_key, count in counts.items() if count > 1]


def peak_running(
    runs: Iterable[Run],
    teams_by_job: Mapping[str, str],
) -> dict[str, int]:
    """Return the peak number of concurrent tasks of each team (I4)."""
    changes = defaultdict(list)
    for run in runs:
        team = teams_by_job.get(run.job_id)
        if team:
            changes[team].extend(((run.begin_s, 1), (run.end_s, -1)))
    return {team: _peak(team_changes) for team, team_changes in changes.items()}


def _consecutive_pairs(runs: list[Run]) -> Iterable[tuple[Run, Run]]:
    ordered = sorted(runs, key=lambda run: run.begin_s)
    return zip(ordered, ordered[1:], strict=False)


def _peak(changes: list[tuple[float, int]]) -> int:
    running = 0
    peak = 0
    for _, change in sorted(changes):
        running += change
        peak = max(peak, running)
    return peak
