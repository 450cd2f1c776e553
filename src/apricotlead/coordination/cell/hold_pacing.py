"""How soon after an end the next call to a worker has to leave.

Pattern: many short runs, each of whose ends is answered by one call. Where
no run on a worker is urgent and the cell has room, the next call is put off
a little, so that it brings several ends at once.
"""

from apricotlead.coordination.cell.order import slack_s
from apricotlead.coordination.cell.run_book import RunBook
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.estimate_errors import EstimateErrors

# With less room than this free, an end that shows late keeps work waiting.
_FREE_SHARE = 0.15
# A run with less time to spare than this is urgent.
_SPARE_S = 1.0


def may_delay_hold(
    worker: WorkerState,
    now: float,
    errors: EstimateErrors,
) -> bool:
    """Tell whether the runs on a worker allow to see ends a little later.

    Not to be done in a cell that :func:`is_crowded`.
    """
    steps = {
        task.step.name: task.step for task in worker.tasks_by_name.values()
    }
    return all(
        step.spec.long_running or slack_s(step, now, errors) > _SPARE_S
        for step in steps.values()
    )


def is_crowded(book: RunBook, now: float) -> bool:
    """Tell whether work waits for the room that an end gives free."""
    used = 0
    whole = 0
    for worker in book.workers_by_id.values():
        if worker.takes_work(now):
            used += worker.used.cpu_millis
            whole += worker.entry.capacity.cpu_millis
    return used > whole * (1 - _FREE_SHARE)
