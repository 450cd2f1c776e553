"""Slopes of control cost: per owned worker and per running task.

``python -m bench.control_cost``. One scheduler and its workers run in one
process on a simulated clock, so the processor time is that of the scheduler
alone. Bytes are those of calls to workers in both directions, with the usual
HTTP headers.
"""

import json
import resource
import sys
from functools import partial
from itertools import repeat

import fire
from tests.embedded_cell import EmbeddedCell

from apricotlead import ChangeConfig, Resources, Submission, SubmitJob, TaskSpec
from apricotlead.protocol.config import ChangeRequest, PutQueue, Queue

WORKER_CAPACITY = (64_000, 262_144, 0)
TASK = TaskSpec(Resources(100, 100), run_s=10_000)
TASKS_PER_JOB = 100
WARM_UP_S = 3
_KB_PER_MB = 1024


def measure(workers: int, tasks: int, seconds: float) -> dict[str, float]:
    """Measure one cell for ``seconds`` of its simulated clock."""
    cell = EmbeddedCell(1, workers, WORKER_CAPACITY)
    cell.records_effects = False
    cell.start()
    change = ChangeRequest(0, PutQueue(Queue('open')))
    cell.ask(1, lambda ticket: ChangeConfig(ticket, change))
    before_mb = _rss_mb()
    job = Submission('open', tuple(repeat(TASK, TASKS_PER_JOB)))
    for number in range(tasks // TASKS_PER_JOB):
        ticket = number + 2
        cell.ask(ticket, partial(_submit, job))
    start_cpu_s = cell.cpu_s
    cell.pass_time(WARM_UP_S)
    placing_s = cell.cpu_s - start_cpu_s
    cell.cpu_s = 0.0
    cell.bytes_by_type.clear()
    cell.counts_by_type.clear()
    cell.pass_time(seconds)
    counts = {
        kind: round(count / seconds, 2)
        for kind, count in sorted(cell.counts_by_type.items())
        if kind != 'Answer'
    }
    return {
        'workers': workers,
        'tasks': tasks,
        'cpu_share': round(cell.cpu_s / seconds, 4),
        'start_cpu_ms_per_task': round(placing_s * 1000 / max(1, tasks), 3),
        'bytes_per_worker_and_s': round(
            sum(cell.bytes_by_type.values()) / seconds / workers,
        ),
        'task_rss_mb': round(_rss_mb() - before_mb, 1),
        'per_s': counts,
    }


def _submit(job: Submission, ticket: int) -> SubmitJob:
    return SubmitJob(ticket, job)


def main(seconds: float = 10) -> None:
    """Print one JSON line for each cell size."""
    for workers, tasks in (
        (10, 0),
        (100, 0),
        (400, 0),
        (100, 1000),
        (100, 4000),
        (400, 4000),
    ):
        report = measure(workers, tasks, seconds)
        sys.stdout.write(f'{json.dumps(report)}\n')
        sys.stdout.flush()


def _rss_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / _KB_PER_MB


if __name__ == '__main__':
    fire.Fire(main)
