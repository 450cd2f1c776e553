"""Summary of how a job was served, logged when it ends."""

from collections import Counter
from typing import Any

from apricotlead.coordination.cell.order import critical_path_s, objective_s
from apricotlead.state.cell_jobs import JobRun

_MS_PER_S = 1000.0


def job_summary(job: JobRun, now: float) -> dict[str, Any]:
    """Return the log fields of a finished job; times are in seconds.

    ``waits`` and ``lost`` cover only ``known_s``, the time for which the
    current term has known the job. ``waits`` is the waiting time by reason,
    summed over the steps; ``lost`` is the core-seconds of runs that did not end
    as done, by how they ended. ``work_s`` is the critical path of the runs that
    did.
    """
    waits: Counter[str] = Counter()
    lost: Counter[str] = Counter()
    for step in job.steps_by_key.values():
        waits.update(step.waits.seconds())
        lost.update(step.lost_core_s_by_kind)
    return {
        'queue': job.stored.queue,
        'organisation': job.stored.organisation,
        'age_s': round(now - job.accepted_s, 3),
        'known_s': round(now - job.known_since_s, 3),
        'objective_s': round(objective_s(job), 3),
        'stretch': job.stored.stretch,
        'estimate_s': round(critical_path_s(job), 3),
        'is_within_weight': job.is_within_weight,
        'work_s': round(_observed_critical_path_s(job), 3),
        'core_s': round(_core_s(job), 1),
        'tasks': job.stored.submission.task_count,
        'runs': sum(task.run for task in job.tasks()),
        'waits': _rounded(waits),
        'lost': _rounded(lost),
    }


def run_core_s(demand_cpu_millis: int, taken_s: float) -> float:
    """Return the core-seconds of a run."""
    return demand_cpu_millis / _MS_PER_S * taken_s


def _observed_critical_path_s(job: JobRun) -> float:
    """Return the critical path of the runs of the first occurrence."""
    critical_paths_s: list[float] = []
    for index, spec in enumerate(job.step_specs):
        step = job.steps_by_key.get((0, index))
        own_s = 0 if step is None else step.longest_run_s
        critical_paths_s.append(
            own_s
            + max(
                (critical_paths_s[predecessor] for predecessor in spec.after),
                default=0,
            )
        )
    return max(critical_paths_s, default=0)


def _core_s(job: JobRun) -> float:
    """Return the estimated work of a job in core-seconds."""
    return sum(
        run_core_s(
            step.demand.cpu_millis,
            step.task_count * step.estimated_ms / _MS_PER_S,
        )
        for step in job.step_specs
    )


def _rounded(seconds_by_name: Counter[str]) -> dict[str, float]:
    return {
        str(name): round(seconds, 2)
        for name, seconds in seconds_by_name.items()
    }
