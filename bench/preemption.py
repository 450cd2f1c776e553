"""Waits of urgent jobs and of a second team in a cell full of long tasks.

``python -m bench.preemption``. Workers are stand-ins and all processes share
one machine, so the figures only compare variants on one machine.
"""

import json
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any

import fire
from demo.oracle import Run, collect_runs, overcommitted
from demo.processes import Cell
from demo.stenora import Stenora, wait_until

FIRST_TEAM = 'courts'
SECOND_TEAM = 'notaries'
CORES_PER_WORKER = 4
LONG_RUN_S = 30
URGENT_RUN_S = 0.2
URGENT_GAP_S = 0.3
# The part of its fair share that the second team must reach.
FAIR_SHARE_FRACTION = 0.8
_SETTLE_S = 3
_MAX_WAIT_S = 60
_MS_PER_S = 1000
_POLL_S = 0.2


def main(
    entries: int = 3,
    workers: int = 12,
    urgent: int = 40,
    seed: int = 1,
) -> None:
    """Measure each phase in a new cell; print one JSON line each."""
    for phase in (_measure_urgent, _measure_share):
        with Cell() as cell:
            stenora = Stenora(cell, seed).start(
                entries,
                workers,
                cpu_millis=CORES_PER_WORKER * 1000,
                memory_mb=32_768,
            )
            stenora.configure(limit=10_000)
            _fill(stenora)
            report = phase(stenora, urgent)
            report['overcommitted'] = overcommitted(cell, stenora.workers)
            sys.stdout.write(f'{json.dumps(report)}\n')
            sys.stdout.flush()


def _fill(stenora: Stenora) -> None:
    """Submit three times the cell's capacity for the first team; fill it."""
    slots = _slots(stenora)
    for _ in range(3 * slots // CORES_PER_WORKER):
        stenora.submit(FIRST_TEAM, tasks=CORES_PER_WORKER, run_s=LONG_RUN_S)
    wait_until(lambda: _running(stenora, FIRST_TEAM) >= slots)
    time.sleep(_SETTLE_S)


def _measure_urgent(stenora: Stenora, urgent: int) -> dict[str, Any]:
    """Submit urgent jobs one by one; report their waits."""
    submitted_s_by_job = {}
    for _ in range(urgent):
        submitted_s = time.monotonic()
        answer = stenora.submit(
            SECOND_TEAM,
            run_s=URGENT_RUN_S,
            priority='urgent',
        )
        submitted_s_by_job[answer.body['job_id']] = submitted_s
        time.sleep(URGENT_GAP_S)
    stenora.wait_for_ends(tuple(submitted_s_by_job), _MAX_WAIT_S)
    runs = _runs(stenora)
    begin_s_by_job = {run.job_id: run.begin_s for run in reversed(runs)}
    waits_s = [
        begin_s_by_job[job_id] - submitted_s
        for job_id, submitted_s in submitted_s_by_job.items()
    ]
    return {
        'phase': 'urgent',
        'waits_ms': _quantiles(waits_s),
        'over_1100_ms': sum(wait_s > 1.1 for wait_s in waits_s),
        'cut_short': _cut_short(stenora, runs),
    }


def _measure_share(stenora: Stenora, urgent: int) -> dict[str, Any]:
    """Report how long the second team waited for most of its fair share."""
    slots = _slots(stenora)
    target_count = FAIR_SHARE_FRACTION * slots / 2
    begun_s = time.monotonic()
    for _ in range(slots // CORES_PER_WORKER):
        stenora.submit(SECOND_TEAM, tasks=CORES_PER_WORKER, run_s=LONG_RUN_S)
    reached_s = _reached_at_s(
        lambda: _running(stenora, SECOND_TEAM) >= target_count
    )
    # Shows whether the shares oscillate and how much work is preempted in vain.
    time.sleep(2 * _SETTLE_S)
    return {
        'phase': 'share',
        'slots': slots,
        'seconds_to_80_percent': reached_s and round(reached_s - begun_s, 2),
        'running_later': _running(stenora, SECOND_TEAM),
        'cut_short': _cut_short(stenora, _runs(stenora)),
    }


def _reached_at_s(condition: Callable[[], bool]) -> float | None:
    try:
        wait_until(condition, _MAX_WAIT_S, _POLL_S)
    except TimeoutError:
        return None
    return time.monotonic()


def _slots(stenora: Stenora) -> int:
    return CORES_PER_WORKER * len(stenora.workers)


def _runs(stenora: Stenora) -> list[Run]:
    runs = collect_runs(stenora.cell, stenora.workers)
    return sorted(runs, key=lambda run: run.begin_s)


def _running(stenora: Stenora, team: str) -> int:
    return sum(
        run.end_s == float('inf')
        and stenora.teams_by_job.get(run.job_id) == team
        for run in _runs(stenora)
    )


def _cut_short(stenora: Stenora, runs: Sequence[Run]) -> int:
    """Return how many long runs of the first team were cut short."""
    return sum(
        run.end_s - run.begin_s < LONG_RUN_S - 1
        for run in runs
        if stenora.teams_by_job.get(run.job_id) == FIRST_TEAM
    )


def _quantiles(waits_s: Sequence[float]) -> dict[str, float]:
    ordered = sorted(wait_s * _MS_PER_S for wait_s in waits_s)
    return {
        'count': len(ordered),
        'p50': round(ordered[len(ordered) // 2], 1),
        'p99': round(ordered[int(len(ordered) * 0.99)], 1),
        'max': round(ordered[-1], 1),
    }


if __name__ == '__main__':
    fire.Fire(main)
