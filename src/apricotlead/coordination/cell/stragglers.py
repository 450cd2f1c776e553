"""Runs that are better begun again elsewhere.

Pattern: workers that turn slow or stand still while they look healthy. A run
is stopped when the rest of it would take much longer than a fresh run on an
ordinary worker, which goes on from its checkpoint where it has one.

Pattern: callers whose estimates are far off. A run that takes several times
its estimate proves nothing where such estimates are usual, so the bound follows
the errors seen in the queue. All members of a gang go at the pace of the
slowest worker: a gang is stopped only for a worker that other runs, too, have
shown to be slow.
"""

from apricotlead.state.cell_jobs import TaskPhase, TaskState
from apricotlead.state.estimate_errors import EstimateErrors
from apricotlead.state.worker_speed import WorkerSpeed

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
# One estimate in six is off by more standard deviations than this.
_LIKELY_DEVIATIONS = 1.0


def is_straggler(
    task: TaskState,
    speed: WorkerSpeed,
    errors: EstimateErrors,
    now: float,
) -> bool:
    """Tell whether a running task should begin again on another worker.

    ``speed`` is that of its worker; the task's ``progress`` was read at
    ``now``.
    """
    spec = task.step.spec
    estimate_s = spec.estimated_ms / _MS_PER_S
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
    rest_s = _rest_s(task, elapsed_s)
    if spec.gang:
        fresh_s = (elapsed_s + rest_s) / speed.slowness
    elif _is_estimate_trusted(task):
        fresh_s = _fresh_s(task, errors)
    else:
        return False
    return rest_s > _GAIN * fresh_s + _RESTART_S


def _is_estimate_trusted(task: TaskState) -> bool:
    """Tell whether a slow pace is the worker's fault.

    A like task that is done shows how long they take. Without one, the same
    slow pace on a second worker shows that the caller's estimate is too low.
    """
    step = task.step
    return (
        bool(step.longest_full_run_s)
        or len(step.slow_worker_ids) < _SLOW_WORKERS
    )


def _rest_s(task: TaskState, elapsed_s: float) -> float:
    """Return how long the rest takes at the pace so far."""
    is_whole = task.run == 1 and task.is_start_known
    base = 0.0 if is_whole else task.first_progress
    if base is None or task.progress - base < _LEAST_PERCENT:
        # Nothing is known of its pace yet; being stuck is judged by time.
        return 0
    rest = _WHOLE_PERCENT - task.progress
    return elapsed_s * rest / (task.progress - base)


def _fresh_s(task: TaskState, errors: EstimateErrors) -> float:
    """Return how long a fresh run should take at most."""
    step = task.step
    estimate_s = step.spec.estimated_ms / _MS_PER_S
    queue = step.job.stored.queue
    likely_s = estimate_s * errors.factor(queue, _LIKELY_DEVIATIONS)
    whole_s = step.longest_full_run_s or likely_s
    left = 1.0
    if step.spec.checkpoints and task.checkpoint:
        left -= task.progress / _WHOLE_PERCENT
    return max(estimate_s, whole_s) * left
