"""Estimates of how long runs take."""

from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.estimate_errors import EstimateErrors

_MS_PER_S = 1000.0
_FULL_PERCENT = 100.0
# Progress is reported too coarsely to estimate a run's speed before this.
_MIN_PROGRESS_PERCENT = 5.0
# One run in six exceeds its estimate by more standard deviations than this.
_LIKELY_DEVIATIONS = 1.0


def likely_duration_s(step: StepState, errors: EstimateErrors) -> float:
    """Return the likely upper bound of the duration of a step's runs."""
    if step.spec.long_running:
        return float('inf')
    estimate_s = step.spec.estimated_ms / _MS_PER_S
    queue = step.job.stored.queue
    return estimate_s * errors.factor(queue, _LIKELY_DEVIATIONS)


def remaining_s(task: TaskState, slowness: float, now: float) -> float:
    """Return how much longer a placed run takes, by its speed or estimate."""
    if task.phase in {TaskPhase.STOPPING, TaskPhase.DONE}:
        return 0
    elapsed_s = now - task.started_s
    if task.progress >= _MIN_PROGRESS_PERCENT and not task.first_progress:
        remaining_percent = _FULL_PERCENT - task.progress
        return elapsed_s * remaining_percent / task.progress
    estimate_s = task.step.spec.estimated_ms / _MS_PER_S
    return max(0, estimate_s * slowness - elapsed_s)
