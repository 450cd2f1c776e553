"""Waiting time, packing, shares and control cost of a cell of processes.

``python -m bench.cell --seconds 20``. Workers are stand-ins and all processes
share one machine, so the figures only compare variants on one machine.
"""

import json
import os
import random
import statistics
import sys
import time
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import fire
from demo.oracle import Run, collect_runs, overcommitted
from demo.processes import Cell
from demo.stenora import Stenora, key_of, wait_until

WEIGHTS_BY_TEAM = {'courts': 2.0, 'notaries': 1.0, 'akimats': 1.0}
CORES_PER_WORKER = 16
MB_PER_WORKER = 32_768
MB_PER_TASK = 512
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_MS_PER_S = 1000


@dataclass(slots=True)
class Load:
    """The submitted jobs with their submission times, and lookup latencies."""

    submitted_s_by_job: dict[str, float] = field(default_factory=dict)
    kinds_by_job: dict[str, str] = field(default_factory=dict)
    lookups_ms: list[float] = field(default_factory=list)
    refused: int = 0

    def submit(self, stenora: Stenora, team: str, **fields: Any) -> None:
        """Submit a job and record the submission time."""
        submitted_s = time.monotonic()
        answer = stenora.submit(team, **fields)
        if answer.status != 202:
            self.refused += 1
            return
        job_id = answer.body['job_id']
        self.submitted_s_by_job[job_id] = submitted_s
        kind = fields.get('kind', 'batch')
        self.kinds_by_job[job_id] = fields.get('priority', kind)

    def look_up(self, stenora: Stenora) -> None:
        """Look up a phrase and record the latency of a successful lookup."""
        begun_s = time.monotonic()
        if stenora.look_up('in re').status == 200:
            took_s = time.monotonic() - begun_s
            self.lookups_ms.append(took_s * _MS_PER_S)


def main(
    seconds: float = 15,
    entries: int = 6,
    workers: int = 12,
    seed: int = 1,
) -> None:
    """Measure a light load, then an overloaded cell; print a JSON line each."""
    with Cell() as cell:
        stenora = Stenora(cell, seed).start(
            entries,
            workers,
            cpu_millis=CORES_PER_WORKER * 1000,
            memory_mb=MB_PER_WORKER,
        )
        stenora.configure(limit=10_000)
        _create_teams(stenora)
        for phase in (_measure_light, _measure_full):
            report = phase(stenora, seconds, random.Random(seed))
            sys.stdout.write(f'{json.dumps(report)}\n')
            sys.stdout.flush()


def _create_teams(stenora: Stenora) -> None:
    from apricotlead.state.config_view import hash_key

    for name, weight in WEIGHTS_BY_TEAM.items():
        team = {
            'name': name,
            'organisation': 'Stenora',
            'weight': weight,
            'limit': 10_000,
        }
        stenora.change('put_team', team=team)
        stenora.change('put_queue', queue={'name': name, 'team': name})
        digest = hash_key(key_of(name))
        stenora.change('grant_key', key_digest=digest, team=name)
    version = stenora.version()
    wait_until(lambda: stenora.has_version(version))


def _measure_light(
    stenora: Stenora,
    seconds: float,
    rng: random.Random,
) -> dict[str, Any]:
    load = Load()
    usage = Usage(stenora)
    ends_s = time.monotonic() + seconds
    while time.monotonic() < ends_s:
        team = rng.choice(tuple(WEIGHTS_BY_TEAM))
        kind = 'gang' if rng.random() < 0.2 else 'batch'
        load.submit(
            stenora,
            team,
            tasks=rng.randint(1, 8),
            run_s=rng.uniform(0.2, 1.5),
            kind=kind,
        )
        if rng.random() < 0.1:
            load.submit(stenora, team, priority='urgent')
        for _ in range(5):
            load.look_up(stenora)
    spent = usage.report()
    stenora.wait_for_ends(tuple(load.submitted_s_by_job), 120)
    runs = collect_runs(stenora.cell, stenora.workers)
    return {
        'phase': 'light',
        'jobs': len(load.submitted_s_by_job),
        'waits_ms': _wait_quantiles(load, runs),
        'lookups_ms': _quantiles(load.lookups_ms),
        **spent,
    }


def _measure_full(
    stenora: Stenora,
    seconds: float,
    rng: random.Random,
) -> dict[str, Any]:
    load = Load()
    usage = Usage(stenora)
    cores = CORES_PER_WORKER * len(stenora.workers)
    tasks = 8
    mean_run_s = 1.0
    # Each team alone demands more than the capacity of the cell.
    jobs_per_team = int(1.2 * cores * seconds / mean_run_s / tasks)
    begun_s = time.monotonic()
    for number in range(jobs_per_team):
        for team in WEIGHTS_BY_TEAM:
            load.submit(
                stenora,
                team,
                tasks=tasks,
                run_s=rng.uniform(0.5 * mean_run_s, 1.5 * mean_run_s),
            )
        if number % 10 == 0:
            load.submit(stenora, 'courts', tasks=6, run_s=0.5, kind='gang')
            load.submit(stenora, 'notaries', run_s=0.2, priority='urgent')
        if time.monotonic() - begun_s > seconds:
            break
    submitted_s = time.monotonic() - begun_s
    time.sleep(max(0, seconds - submitted_s))
    ends_s = time.monotonic()
    runs = collect_runs(stenora.cell, stenora.workers)
    window = (begun_s + seconds / 3, ends_s)
    core_s_by_team = _core_s_by_team(stenora, runs, window)
    total = sum(core_s_by_team.values())
    return {
        'phase': 'full',
        'jobs': len(load.submitted_s_by_job),
        'refused': load.refused,
        'starts_per_s': round(
            sum(begun_s < run.begin_s for run in runs) / (ends_s - begun_s),
            1,
        ),
        'utilization': round(total / cores / (window[1] - window[0]), 3),
        'shares': {
            team: round(core_s / total, 3)
            for team, core_s in core_s_by_team.items()
        },
        'waits_ms': _wait_quantiles(load, runs),
        'overcommitted': overcommitted(stenora.cell, stenora.workers),
        **usage.report(),
    }


class Usage:
    """Processor time and memory of the entry instances."""

    def __init__(self, stenora: Stenora) -> None:
        """Start the measurement."""
        self._pids = [
            stenora.cell.node(name).process.pid for name in stenora.entries
        ]
        self._begun_s = time.monotonic()
        self._cpu_s = self._cpu()

    def report(self) -> dict[str, Any]:
        """Return the means per entry instance since the start."""
        elapsed_s = time.monotonic() - self._begun_s
        spent_s = self._cpu() - self._cpu_s
        return {
            'entry_cpu': round(spent_s / elapsed_s / len(self._pids), 3),
            'entry_rss_mb': round(statistics.mean(map(_rss_mb, self._pids)), 1),
        }

    def _cpu(self) -> float:
        return sum(map(_cpu_s, self._pids))


def _cpu_s(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    # User and system time are the 14th and 15th field of the line.
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _rss_mb(pid: int) -> float:
    status = Path(f'/proc/{pid}/status').read_text()
    line = next(line for line in status.splitlines() if 'VmRSS' in line)
    return int(line.split()[1]) / 1024


def _wait_quantiles(load: Load, runs: Iterable[Run]) -> dict[str, Any]:
    first_begin_s: dict[str, float] = {}
    for run in runs:
        previous_s = first_begin_s.get(run.job_id, run.begin_s)
        first_begin_s[run.job_id] = min(previous_s, run.begin_s)
    waits_by_kind = defaultdict(list)
    for job_id, submitted_s in load.submitted_s_by_job.items():
        begin_s = first_begin_s.get(job_id)
        if begin_s is not None:
            wait_ms = (begin_s - submitted_s) * _MS_PER_S
            waits_by_kind[load.kinds_by_job[job_id]].append(wait_ms)
    return {kind: _quantiles(waits) for kind, waits in waits_by_kind.items()}


def _core_s_by_team(
    stenora: Stenora,
    runs: Iterable[Run],
    window: tuple[float, float],
) -> dict[str, float]:
    """Return the core-seconds used by each team within the window."""
    core_s_by_team: dict[str, float] = dict.fromkeys(WEIGHTS_BY_TEAM, 0)
    for run in runs:
        team = stenora.teams_by_job.get(run.job_id)
        spent_s = min(run.end_s, window[1]) - max(run.begin_s, window[0])
        if team in core_s_by_team and spent_s > 0:
            core_s_by_team[team] += spent_s
    return core_s_by_team


def _quantiles(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    ordered = sorted(values)
    return {
        'count': len(ordered),
        'p50': round(ordered[len(ordered) // 2], 1),
        'p99': round(ordered[int(len(ordered) * 0.99)], 1),
        'max': round(ordered[-1], 1),
    }


if __name__ == '__main__':
    fire.Fire(main)
