"""Checks how often tasks that crash their workers are started.

Crashes and starts are counted on the model workers, not in the scheduler.
"""

from bisect import bisect_right
from collections import Counter, defaultdict

from apricotlead.protocol.cell_jobs import JobState
from tests.faulty.cell import FaultyCell

_CRASHES_BEFORE_BUDGET = 3
_STARTS_BEYOND = 3
_CRASHES_TO_GIVE_UP = 2


class BudgetRule:
    """Evaluates a cell after its simulation."""

    def __init__(self, cell: FaultyCell) -> None:
        """Collect the crashes and starts of each task."""
        self._cell = cell
        self.crashes_s_by_task: defaultdict[str, list[float]]
        self.crashes_s_by_task = defaultdict(list)
        for at_s, task in cell.crashes:
            self.crashes_s_by_task[task].append(at_s)
        self.starts_s_by_task: defaultdict[str, list[float]]
        self.starts_s_by_task = defaultdict(list)
        for worker in cell.processes:
            for began_s, started in worker.starts:
                self.starts_s_by_task[started].append(began_s)

    def tasks_over_budget(self) -> list[str]:
        """Return the tasks started three times more after three crashes."""
        over: list[str] = []
        for task, crashes_s in self.crashes_s_by_task.items():
            if len(crashes_s) < _CRASHES_BEFORE_BUDGET:
                continue
            third_s = crashes_s[_CRASHES_BEFORE_BUDGET - 1]
            starts_s = sorted(self.starts_s_by_task[task])
            later_count = len(starts_s) - bisect_right(starts_s, third_s)
            if later_count >= _STARTS_BEYOND:
                over.append(task)
        return over

    def innocent_jobs_failed(self) -> list[str]:
        """Return the failed jobs without a task that crashed its workers."""
        deadly_jobs = {
            task.partition('.')[0] for task in self._cell.deadly_tasks
        }
        return [
            job_id
            for job_id in self._cell.jobs_by_id
            if job_id not in deadly_jobs
            and self._cell.state(job_id) is JobState.FAILED
        ]

    def jobs_given_up_early(self) -> list[str]:
        """Return the failed jobs under none of whose tasks two workers crashed."""
        counts = Counter(task for _, task in self._cell.lost_runs)
        allowed = {
            task.partition('.')[0]
            for task, count in counts.items()
            if count >= _CRASHES_TO_GIVE_UP
        }
        return [
            job_id
            for job_id in self._cell.jobs_by_id
            if self._cell.state(job_id) is JobState.FAILED
            and job_id not in allowed
        ]
