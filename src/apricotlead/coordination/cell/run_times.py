"""How long runs take, as far as that can be told."""

from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.estimate_errors import EstimateErrors

_MS_PER_S = 1000.0
_WHOLE_PERCENT = 100.0
# Progress is reported too coarsely to tell a pace before this.
_LEAST_PERCENT = 5.0
# One run in six takes longer than this many standard deviations tell.
_LIKELY_DEVIATIONS = 1.0


def likely_duration_s(step: StepState, errors: EstimateErrors) -> float:
    """Return how long a run of a step very likely takes at most."""
    if step.spec.long_running:
        return float('inf')
    estimate_s = step.spec.estimated_ms / _MS_PER_S
    queue = step.job.stored.queue
    return estimate_s * errors.factor(queue, _LIKELY_DEVIATIONS)


def remaining_s(task: TaskState, slowness: float, now: float) -> float:
    """Return how much longer a placed run takes, by its pace or estimate."""
    if task.phase in {TaskPhase.STOPPING, TaskPhase.DONE}:
        return 0
    elapsed_s = now - task.started_s
    if task.progress >= _LEAST_PERCENT and not task.first_progress:
        rest = _WHOLE_PERCENT - task.progress
        return elapsed_s * rest / task.progress
    estimate_s = task.step.spec.estimated_ms / _MS_PER_S
    return max(0, estimate_s * slowness - elapsed_s)
