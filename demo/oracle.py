"""Checks what the workers of a cell really ran against the invariants."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from demo.processes import Cell, call


@dataclass(frozen=True, slots=True)
class Run:
    """One run of an attempt on one worker; times on the machine's clock."""

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
    """Return all runs of these workers; a running one has no end yet."""
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
    """Return what a worker says of the tasks that it was given."""
    return call(cell.node(worker).address, '/admin/state').body


def overcommitted(cell: Cell, workers: Iterable[str]) -> list[str]:
    """Return the workers that were given more than they have (I1)."""
    return [
        worker
        for worker in workers
        if worker_log(cell, worker)['overcommitted']
    ]


def double_runs(runs: Iterable[Run]) -> list[tuple[Run, Run]]:
    """Return pairs of runs of one task that overlap in time (I2)."""
    by_task = defaultdict(list)
    for run in runs:
        by_task[run.task_key].append(run)
    return [
        (first, second)
        for task_runs in by_task.values()
        for first, second in _neighbours(task_runs)
        if second.begin_s < first.end_s
    ]


def repeated_runs(runs: Iterable[Run], job_ids: set[str]) -> list[str]:
    """Return the tasks of non-idempotent jobs that ran twice (I7)."""
    counts: dict[str, int] = defaultdict(int)
    for run in runs:
        if run.job_id in job_ids:
            counts[run.task_key] += 1
    return [task_key for task_key, count in counts.items() if count > 1]


def peak_running(
    runs: Iterable[Run],
    teams_by_job: Mapping[str, str],
) -> dict[str, int]:
    """Return the most tasks that each team had running at once (I4)."""
    changes = defaultdict(list)
    for run in runs:
        team = teams_by_job.get(run.job_id)
        if team:
            changes[team].extend(((run.begin_s, 1), (run.end_s, -1)))
    return {team: _peak(steps) for team, steps in changes.items()}


def _neighbours(runs: list[Run]) -> Iterable[tuple[Run, Run]]:
    ordered = sorted(runs, key=lambda run: run.begin_s)
    return zip(ordered, ordered[1:], strict=False)


def _peak(steps: list[tuple[float, int]]) -> int:
    running = 0
    peak = 0
    for _, change in sorted(steps):
        running += change
        peak = max(peak, running)
    return peak
