"""Runs that must leave a draining worker before it goes.

Pattern: workers that are taken away at short notice. A run that ends in time
stays. One that saves checkpoints works on until a stop just fits, so that
little is repeated; any other that cannot end in time begins elsewhere at
once.
"""

from apricotlead.state.cell_jobs import TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState

_MS_PER_S = 1000.0
_WHOLE_PERCENT = 100.0
# The order to stop may be sent twice.
_STOP_ORDER_S = 0.6
# Estimates and the drain notice are rough.
_SPARE_S = 0.3


def runs_to_evacuate(
    worker: WorkerState,
    now: float,
    stop_s: float,
) -> list[TaskState]:
    """Return the runs of a draining worker to stop now.

    A worker takes up to ``stop_s`` seconds for a stop.
    """
    if worker.drain_ends_s is None or not worker.entry.draining:
        return []
    left_s = worker.drain_ends_s - now
    return [
        task
        for task in worker.tasks_by_name.values()
        if task.phase is TaskPhase.RUNNING
        and _must_leave(task, worker.speed.slowness, left_s, stop_s)
    ]


def _must_leave(
    task: TaskState,
    slowness: float,
    left_s: float,
    stop_s: float,
) -> bool:
    spec = task.step.spec
    if spec.long_running:
        return True
    rest = 1 - task.progress / _WHOLE_PERCENT
    remaining_s = spec.estimated_ms / _MS_PER_S * slowness * rest
    if remaining_s + _SPARE_S < left_s:
        return False
    return not spec.checkpoints or left_s < stop_s + _STOP_ORDER_S
