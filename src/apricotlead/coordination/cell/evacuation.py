"""Evacuation of runs from draining workers.

Pattern: workers that are removed at short notice. A run that ends in time
stays. A run that saves checkpoints continues until there is just enough time
to stop it, so that little work is repeated. Any other run that cannot end in
time is restarted elsewhere at once.
"""

from apricotlead.state.cell_jobs import TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState

_MS_PER_S = 1000.0
_FULL_PERCENT = 100.0
# Time to send the stop order, which may need a retry.
_STOP_ORDER_S = 0.6
# Safety margin, since estimates and the drain notice are imprecise.
_MARGIN_S = 0.3


def runs_to_evacuate(
    worker: WorkerState,
    now: float,
    stop_s: float,
) -> list[TaskState]:
    """Return the runs of a draining worker that must be stopped now.

    A worker takes up to ``stop_s`` seconds to stop a run.
    """
    if worker.drain_ends_s is None or not worker.entry.draining:
        return []
    drain_left_s = worker.drain_ends_s - now
    return [
        task
        for task in worker.tasks_by_name.values()
        if task.phase is TaskPhase.RUNNING
        and _must_evacuate(task, worker.speed.slowness, drain_left_s, stop_s)
    ]


def _must_evacuate(
    task: TaskState,
    slowness: float,
    drain_left_s: float,
    stop_s: float,
) -> bool:
    spec = task.step.spec
    if spec.long_running:
        return True
    remaining_fraction = 1 - task.progress / _FULL_PERCENT
    remaining_s = spec.estimated_ms / _MS_PER_S * slowness * remaining_fraction
    if remaining_s + _MARGIN_S < drain_left_s:
        return False
    return not spec.checkpoints or drain_left_s < stop_s + _STOP_ORDER_S
