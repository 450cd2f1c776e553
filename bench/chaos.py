"""Injects seeded faults into a cell of processes and checks its invariants.

``python -m bench.chaos --seed 1 --seconds 20 --faults kill,pause,store``.
The same seed gives the same order of faults; their timing still depends on
the machine.
"""

import json
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import repeat
from typing import Any

import fire
from demo.oracle import (
    collect_runs,
    double_runs,
    overcommitted,
    peak_running,
    repeated_runs,
)
from demo.processes import Cell, Node, call
from demo.stenora import TEAMS, Stenora

FAULT_GAP_S = (1.5, 4.0)
PAUSE_S = (1.0, 9.0)
STORE_FAULT_S = (1.0, 6.0)
SETTLE_S = 90.0

Fault = Callable[['Chaos'], str]

_faults_by_name: dict[str, Fault] = {}


def fault(injector: Fault) -> Fault:
    """Register a fault under the name of its function."""
    _faults_by_name[injector.__name__] = injector
    return injector


class Chaos:
    """Submits jobs and injects faults for a given time."""

    def __init__(self, stenora: Stenora, rng: random.Random) -> None:
        """Start without active faults."""
        self.stenora = stenora
        self.rng = rng
        self.statuses: Counter[int | str] = Counter()
        self._pending_ends: list[tuple[float, Callable[[], Any]]] = []

    def run(self, seconds: float, names: list[str]) -> None:
        """Submit jobs and inject one of the named faults at random intervals.

        All faults that are still active at the end are ended.
        """
        ends_s = time.monotonic() + seconds
        next_fault_s = time.monotonic() + 1
        while time.monotonic() < ends_s:
            self._submit()
            time.sleep(0.1)
            self._end_due()
            if names and time.monotonic() > next_fault_s:
                name = self.rng.choice(names)
                detail = _faults_by_name[name](self)
                _print_line(f'{name}: {detail}')
                next_fault_s = time.monotonic() + self.rng.uniform(*FAULT_GAP_S)
        self._end(self._pending_ends)

    def schedule_end(
        self, span: tuple[float, float], end: Callable[[], Any]
    ) -> None:
        """Schedule the end of a fault after a random time within ``span``."""
        self._pending_ends.append(
            (time.monotonic() + self.rng.uniform(*span), end)
        )

    def set_faults(self, name: str, **switches: Any) -> None:
        """Set the fault switches of a stand-in."""
        node = self.stenora.cell.node(name)
        call(node.address, '/admin/faults', switches)

    def _submit(self) -> None:
        rng = self.rng
        try:
            answer = self.stenora.submit(
                rng.choice(TEAMS),
                tasks=rng.randint(1, 4),
                run_s=rng.choice((0.1, 0.3, 1.0, 3.0)),
                kind='gang' if rng.random() < 0.2 else 'batch',
                idempotent=rng.random() < 0.7,
            )
        except Exception as error:
            self.statuses[type(error).__name__] += 1
            return
        self.statuses[answer.status] += 1

    def _end_due(self) -> None:
        now = time.monotonic()
        self._end(
            [pending for pending in self._pending_ends if pending[0] <= now]
        )

    def _end(self, due: list[tuple[float, Callable[[], Any]]]) -> None:
        for pending in tuple(due):
            self._pending_ends.remove(pending)
            pending[1]()


@fault
def kill(chaos: Chaos) -> str:
    """Kill an entry instance and start another."""
    victim = chaos.rng.choice(chaos.stenora.entries)
    successor = chaos.stenora.replace_entry(victim, Node.kill)
    return f'{victim}, now {successor}'


@fault
def stop(chaos: Chaos) -> str:
    """Stop an entry instance gracefully and start another."""
    victim = chaos.rng.choice(chaos.stenora.entries)
    successor = chaos.stenora.replace_entry(victim, Node.terminate)
    return f'{victim}, now {successor}'


@fault
def pause(chaos: Chaos) -> str:
    """Freeze an entry instance for a while."""
    stenora = chaos.stenora
    if len(stenora.entries) < 3:
        return 'nobody'
    victim = chaos.rng.choice(stenora.entries)
    stenora.entries.remove(victim)
    stenora.cell.node(victim).pause()
    chaos.schedule_end(PAUSE_S, lambda: _resume(stenora, victim))
    return victim


@fault
def store(chaos: Chaos) -> str:
    """Make the platform unavailable or slow, or let it lose responses."""
    switches = chaos.rng.choice(
        ({'outage': True}, {'lose_fraction': 0.3}, {'delay_s': 0.5}),
    )
    chaos.set_faults('platform', **switches)
    chaos.schedule_end(STORE_FAULT_S, lambda: chaos.set_faults('platform'))
    return str(switches)


@fault
def cut(chaos: Chaos) -> str:
    """Partition a data centre from the platform and from two workers."""
    datacentre = chaos.rng.choice(('almaty-a', 'almaty-b', 'almaty-c'))
    names = ['platform', *chaos.rng.sample(chaos.stenora.workers, 2)]
    for name in names:
        chaos.set_faults(name, cut_datacentres=[datacentre])
        chaos.schedule_end(STORE_FAULT_S, partial(chaos.set_faults, name))
    joined = ', '.join(names)
    return f'{datacentre} from {joined}'


@fault
def worker(chaos: Chaos) -> str:
    """Restart or freeze a worker, or let it lose responses or fail tasks."""
    name = chaos.rng.choice(chaos.stenora.workers)
    switches = chaos.rng.choice(
        (
            {'pause_s': 4},
            {'lose_fraction': 0.5},
            {'fails_everything': True},
            {},
        ),
    )
    if not switches:
        call(chaos.stenora.cell.node(name).address, '/admin/restart', {})
        return f'{name} restarted'
    chaos.set_faults(name, **switches)
    chaos.schedule_end((0.5, 3.0), lambda: chaos.set_faults(name))
    return f'{name} {switches}'


def main(
    seed: int = 1,
    seconds: float = 20,
    faults: str = 'kill,stop,pause,store,cut,worker',
    entries: int = 4,
    workers: int = 6,
    limit: int = 12,
) -> None:
    """Run one seed; exit with 1 on a broken invariant or unfinished job."""
    names = faults.split(',') if isinstance(faults, str) else list(faults)
    rng = random.Random(seed)
    with Cell() as cell:
        stenora = Stenora(cell, seed).start(entries, workers, cpu_millis=4000)
        stenora.configure(limit)
        chaos = Chaos(stenora, rng)
        chaos.run(seconds, [name for name in names if name in _faults_by_name])
        report = _report(stenora, limit)
        report['statuses'] = {str(key): n for key, n in chaos.statuses.items()}
        _print_line(json.dumps(report))
        sys.exit(int(bool(report['faults'])))


def _report(stenora: Stenora, limit: int) -> dict[str, Any]:
    begun_s = time.monotonic()
    job_ids = tuple(stenora.teams_by_job)
    states = Counter(_final_states(stenora, job_ids))
    settled_s = round(time.monotonic() - begun_s, 1)
    runs = collect_runs(stenora.cell, stenora.workers)
    peaks = peak_running(runs, stenora.teams_by_job)
    violations = [
        *double_runs(runs),
        *repeated_runs(runs, stenora.non_idempotent_ids),
        *overcommitted(stenora.cell, stenora.workers),
        *(team for team, peak in peaks.items() if peak > limit),
        *repeat('unfinished', len(job_ids) - states.total()),
    ]
    return {
        'accepted': len(job_ids),
        'states': dict(states),
        'settled_s': settled_s,
        'runs': len(runs),
        'peaks': peaks,
        'faults': [str(violation) for violation in violations],
    }


def _final_states(stenora: Stenora, job_ids: tuple[str, ...]) -> list[str]:
    try:
        return list(stenora.wait_for_ends(job_ids, SETTLE_S).values())
    except TimeoutError:
        states = [stenora.status(job_id)['state'] for job_id in job_ids]
        return [state for state in states if state not in {'queued', 'running'}]


def _resume(stenora: Stenora, name: str) -> None:
    stenora.cell.node(name).resume()
    stenora.entries.append(name)


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(main)
