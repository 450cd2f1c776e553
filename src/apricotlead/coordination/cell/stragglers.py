"""Runs that are better begun again elsewhere.

Pattern: workers that turn slow or stand still while they look healthy. A run
is stopped when the rest of it would take much longer than a fresh run on an
ordinary worker, which goes on from its checkpoint where it has one.
"""

from apricotlead.state.cell_jobs import TaskPhase, TaskState

_MS_PER_S = 1000.0
# Progress is reported too coarsely to judge a run before this.
_LEAST_ELAPSED_S = 0.6
_LEAST_PERCENT = 5.0
# A fresh run must be this much faster than the rest of the present one.
_GAIN = 2.5
_RESTART_S = 0.5
_SLOW_WORKERS = 2
# Without any progress for this long, and half the estimate, a run is stuck.
_STUCK_S = 2.5
_WHOLE_PERCENT = 100.0


def is_straggler(task: TaskState, now: float) -> bool:
    """Tell whether a running task should begin again on another worker.

    The task's ``progress`` was read at ``now``.
    """
    spec = task.step.spec
    estimate_s = _estimate_s(task)
    if task.phase is not TaskPhase.RUNNING or spec.long_running:
        return False
    if not estimate_s or task.percent < _WHOLE_PERCENT:
        return False
    elapsed_s = now - task.started_s
    if elapsed_s < max(_LEAST_ELAPSED_S, estimate_s / 2):
        return False
    unchanged_s = now - task.progress_s
    if unchanged_s > _STUCK_S + estimate_s / 2:
        return True
    if not _is_estimate_trusted(task):
        return False
    return _rest_s(task, elapsed_s) > _GAIN * _fresh_s(task) + _RESTART_S


def _is_estimate_trusted(task: TaskState) -> bool:
    """Tell whether a slow pace is the worker's fault.

    A like task that is done shows how long they take. Without one, the same
    slow pace on a second worker shows that the caller's estimate is too low.
    """
    step = task.step
    return (
        bool(step.longest_done_s) or len(step.slow_worker_ids) < _SLOW_WORKERS
    )


def _rest_s(task: TaskState, elapsed_s: float) -> float:
    """Return how long the rest takes at the pace so far."""
    base = 0.0 if task.run == 1 else task.first_progress
    if base is None or task.progress - base < _LEAST_PERCENT:
        # Nothing is known of its pace yet; being stuck is judged by time.
        return 0
    rest = _WHOLE_PERCENT - task.progress
    return elapsed_s * rest / (task.progress - base)


def _fresh_s(task: TaskState) -> float:
    """Return how long a fresh run should take."""
    spec = task.step.spec
    left = 1.0
    if spec.checkpoints and task.checkpoint:
        left -= task.progress / _WHOLE_PERCENT
    return _estimate_s(task) * left


def _estimate_s(task: TaskState) -> float:
    """Return the estimate, or what a like task has taken if that is more."""
    estimate_s = task.step.spec.estimated_ms / _MS_PER_S
    return max(estimate_s, task.step.longest_done_s)
