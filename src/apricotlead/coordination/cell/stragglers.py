"""Detection of stragglers: runs that should be restarted on another worker.

Pattern: workers that become slow or hang while they look healthy. A run is
stopped if its remainder would take much longer than a new run on an ordinary
worker, which resumes from a checkpoint if there is one.

Pattern: callers whose estimates are far off. A run that takes several times
its estimate proves nothing if such errors are usual, so the threshold follows
the estimate errors seen in the queue. All members of a gang progress at the
speed of the slowest worker, so a gang is stopped only because of a worker that
other runs have also shown to be slow.
"""

from apricotlead.state.cell_jobs import TaskPhase, TaskState
from apricotlead.state.estimate_errors import EstimateErrors
from apricotlead.state.worker_speed import WorkerSpeed

_MS_PER_S = 1000.0
# Progress is reported too coarsely to estimate a run's speed before this.
_MIN_ELAPSED_S = 0.6
_MIN_PROGRESS_PERCENT = 5.0
# A new run must be faster than the rest of the current one by this factor.
_MIN_SPEEDUP = 2.5
_RESTART_COST_S = 0.5
_DISTRUST_AFTER_SLOW_WORKERS = 2
# A run is stuck if it has no progress for this plus half of its estimate.
_STUCK_S = 2.5
_FULL_PERCENT = 100.0
# One run in six exceeds its estimate by more standard deviations than this.
_LIKELY_DEVIATIONS = 1.0


def is_straggler(
    task: TaskState,
    speed: WorkerSpeed,
    errors: EstimateErrors,
    now: float,
) -> bool:
    """Return whether a running task should be restarted on another worker.

    ``speed`` is that of its worker; the task's ``progress`` was read at
    ``now``.
    """
    spec = task.step.spec
    estimate_s = spec.estimated_ms / _MS_PER_S
    if task.phase is not TaskPhase.RUNNING or spec.long_running:
        return False
    if not estimate_s or task.percent < _FULL_PERCENT:
        return False
    elapsed_s = now - task.started_s
    if elapsed_s < max(_MIN_ELAPSED_S, estimate_s / 2):
        return False
    unchanged_s = now - task.progress_s
    if unchanged_s > _STUCK_S + estimate_s / 2:
        return True
    remaining_s = _remaining_s(task, elapsed_s)
    if spec.gang:
        fresh_duration_s = (elapsed_s + remaining_s) / speed.slowness
    elif _is_estimate_trusted(task):
        fresh_duration_s = _fresh_duration_s(task, errors)
    else:
        return False
    return remaining_s > _MIN_SPEEDUP * fresh_duration_s + _RESTART_COST_S


def _is_estimate_trusted(task: TaskState) -> bool:
    """Return whether a slow run is due to its worker.

    A finished task of the step shows how long its tasks take. Without one, a
    slow run on a second worker shows that the caller's estimate is too low.
    """
    step = task.step
    return (
        bool(step.longest_full_run_s)
        or len(step.slow_worker_ids) < _DISTRUST_AFTER_SLOW_WORKERS
    )


def _remaining_s(task: TaskState, elapsed_s: float) -> float:
    """Return how long the rest of a run takes at its average speed."""
    is_start_observed = task.run == 1 and task.is_start_known
    first_percent = 0.0 if is_start_observed else task.first_progress
    if (
        first_percent is None
        or task.progress - first_percent < _MIN_PROGRESS_PERCENT
    ):
        # Its speed is unknown so far; stuck runs are detected by time alone.
        return 0
    remaining_percent = _FULL_PERCENT - task.progress
    return elapsed_s * remaining_percent / (task.progress - first_percent)


def _fresh_duration_s(task: TaskState, errors: EstimateErrors) -> float:
    """Return the likely upper bound of the duration of a new run."""
    step = task.step
    estimate_s = step.spec.estimated_ms / _MS_PER_S
    queue = step.job.stored.queue
    likely_duration_s = estimate_s * errors.factor(queue, _LIKELY_DEVIATIONS)
    full_duration_s = step.longest_full_run_s or likely_duration_s
    remaining_fraction = 1.0
    if step.spec.checkpoints and task.checkpoint:
        remaining_fraction -= task.progress / _FULL_PERCENT
    return max(estimate_s, full_duration_s) * remaining_fraction
