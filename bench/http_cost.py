"""Processor time and memory of one entry instance over real HTTP.

``python -m bench.http_cost --seconds 6``. One entry instance, a platform,
workers and one executor run as processes that communicate over loopback.
"""

import json
import sys
import time
from typing import Any

import fire
from demo.processes import OPERATOR_KEY, Cell
from demo.stenora import Stenora, wait_until

from bench.cell import Usage

JOBS = 20
TASKS_PER_JOB = 50
LOOKUPS = 300


def _measure_usage(stenora: Stenora, action: Any) -> dict[str, float]:
    usage = Usage(stenora)
    begun_s = time.monotonic()
    action()
    elapsed_s = time.monotonic() - begun_s
    report = usage.report()
    cpu_s = report['entry_cpu'] * elapsed_s
    return {'cpu_s': cpu_s, 'rss_mb': report['entry_rss_mb']}


def _look_up(stenora: Stenora) -> None:
    for _ in range(LOOKUPS):
        stenora.look_up('in re')


def _run_jobs(stenora: Stenora) -> None:
    answers = [
        stenora.submit('courts', tasks=TASKS_PER_JOB, run_s=0.2)
        for _ in range(JOBS)
    ]
    job_ids = tuple(answer.body['job_id'] for answer in answers)
    stenora.wait_for_ends(job_ids, 60)


def measure(workers: int, seconds: float) -> dict[str, float]:
    """Measure an idle cell with heartbeats, then lookups, then short tasks."""
    with Cell() as cell:
        stenora = Stenora(cell).start(
            1,
            workers,
            1,
            cpu_millis=64_000,
            memory_mb=262_144,
        )
        stenora.configure(limit=10_000)
        wait_until(lambda: _owned_worker_count(stenora) == workers)
        idle = _measure_usage(stenora, lambda: time.sleep(seconds))
        lookups = _measure_usage(stenora, lambda: _look_up(stenora))
        jobs = _measure_usage(stenora, lambda: _run_jobs(stenora))
    return {
        'workers': workers,
        'idle_cpu_share': round(idle['cpu_s'] / seconds, 4),
        'idle_rss_mb': idle['rss_mb'],
        'cpu_ms_per_lookup': round(lookups['cpu_s'] * 1000 / LOOKUPS, 3),
        'cpu_ms_per_task': round(
            jobs['cpu_s'] * 1000 / JOBS / TASKS_PER_JOB,
            3,
        ),
        'rss_mb_after_tasks': jobs['rss_mb'],
    }


def _owned_worker_count(stenora: Stenora) -> int:
    state = stenora.ask(
        stenora.entries[0],
        '/v1/state',
        X_Apricotlead_Operator_Key=OPERATOR_KEY,
    ).body
    return state['worker_monitor']['workers']


def main(seconds: float = 6) -> None:
    """Print one JSON line for each number of workers."""
    for workers in (2, 22):
        sys.stdout.write(f'{json.dumps(measure(workers, seconds))}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(main)
