"""``make demo``: serves three workloads while an entry instance is killed."""

import sys
import time

from demo.oracle import (
    collect_runs,
    double_runs,
    overcommitted,
    repeated_runs,
)
from demo.processes import Cell, Node
from demo.stenora import Stenora, key_of, wait_until


def print_line(text: str) -> None:
    """Print one line and flush it."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def main() -> int:
    """Run the demo; return 0 if no invariant broke and no job was refused."""
    with Cell() as cell:
        stenora = Stenora(cell).start()
        stenora.configure()
        print_line(
            'A platform, 3 executors, 3 workers and 3 entry instances run.'
        )
        _serve_lookups(stenora)
        job_ids = _submit_jobs(stenora)
        _kill_one(stenora)
        return _report(stenora, job_ids)


def _serve_lookups(stenora: Stenora) -> None:
    wait_until(
        lambda: (
            stenora.look_up('in re', 'courts', key_of('courts')).status == 200
        ),
    )
    begun_s = time.monotonic()
    answers = [stenora.look_up(f'phrase {number}') for number in range(50)]
    took_s = time.monotonic() - begun_s
    took_ms = round(took_s * 1000 / len(answers), 1)
    served = sum(answer.status == 200 for answer in answers)
    print_line(f'Lookups: {served} of 50 answered, {took_ms} ms each.')


def _submit_jobs(stenora: Stenora) -> list[str]:
    answers = [stenora.submit('notaries', tasks=4, run_s=1.0) for _ in range(5)]
    answers.append(stenora.submit('courts', tasks=6, run_s=1.0, kind='gang'))
    answers.append(
        stenora.submit('notaries', run_s=1.0, idempotent=False),
    )
    job_ids = [answer.body['job_id'] for answer in answers]
    print_line(f'Jobs: {len(job_ids)} accepted, among them a gang of 6 tasks.')
    return job_ids


def _kill_one(stenora: Stenora) -> None:
    time.sleep(0.5)
    victim = stenora.entries[0]
    successor = stenora.replace_entry(victim, Node.kill)
    print_line(f'{victim} was killed; {successor} was started.')


def _report(stenora: Stenora, job_ids: list[str]) -> int:
    begun_s = time.monotonic()
    states_by_id = stenora.wait_for_ends(job_ids)
    waited_s = round(time.monotonic() - begun_s, 1)
    for job_id, state in states_by_id.items():
        print_line(f'  {job_id}: {state}')
    runs = collect_runs(stenora.cell, stenora.workers)
    violations = [
        *double_runs(runs),
        *repeated_runs(runs, stenora.non_idempotent_ids),
        *overcommitted(stenora.cell, stenora.workers),
    ]
    print_line(f'All ended {waited_s} s after the kill; faults: {violations}.')
    return int(bool(violations) or 'refused' in states_by_id.values())


if __name__ == '__main__':
    sys.exit(main())
