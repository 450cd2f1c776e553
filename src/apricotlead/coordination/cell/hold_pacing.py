"""Decides whether the next hold of a worker may be delayed.

Pattern: many short runs, each of whose ends completes one hold. Where no
run on a worker is urgent and the cell has free capacity, the next hold is
delayed a little, so that it returns several ends at once.
"""

from apricotlead.coordination.cell.order import slack_s
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.estimate_errors import EstimateErrors

# With a smaller share of capacity free, an end that is seen late delays
# waiting work.
_CROWDED_FREE_SHARE = 0.15
# A run with less slack than this is urgent.
_URGENT_SLACK_S = 1.0


def may_delay_hold(
    worker: WorkerState,
    now: float,
    errors: EstimateErrors,
) -> bool:
    """Tell whether the runs on a worker allow a delay of its next hold.

    Holds are not to be delayed at all while the cell :func:`is_crowded`.
    """
    steps = {
        task.step.name: task.step for task in worker.tasks_by_name.values()
    }
    return all(
        step.spec.long_running or slack_s(step, now, errors) > _URGENT_SLACK_S
        for step in steps.values()
    )


def is_crowded(tracker: RunTracker, now: float) -> bool:
    """Tell whether work is likely to wait for capacity that an end frees."""
    used = 0
    whole = 0
    for worker in tracker.workers_by_id.values():
        if worker.takes_work(now):
            used += worker.used.cpu_millis
            whole += worker.entry.capacity.cpu_millis
    return used > whole * (1 - _CROWDED_FREE_SHARE)
