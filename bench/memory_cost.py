"""Memory of control state per item, as slopes between two sizes.

``python -m bench.memory_cost``. Measures the Python allocations
(``tracemalloc``) of the state of one scheduler, without the store and the
workers. Objects that the state shares with them are counted, so each slope is
an upper bound.
"""

import gc
import json
import sys
import tracemalloc
from collections.abc import Callable
from itertools import repeat
from typing import Any

import fire

from apricotlead import Resources, Submission, TaskSpec
from apricotlead.protocol.jobs import AttemptAssigned, JobAccepted
from apricotlead.protocol.peers import SessionLoad, TeamLoad
from apricotlead.protocol.workers import AttemptReport, HeartbeatReply
from apricotlead.state.capacity_ledger import CapacityLedger
from apricotlead.state.job_table import JobTable
from apricotlead.state.session_view import PeerSession, SessionView
from apricotlead.state.usage_table import UsageTable

JOURNAL = '0123456789abcdef'
CAPACITY = Resources(64_000, 262_144, 2)


def owned_workers(count: int, tasks: int = 0) -> CapacityLedger:
    """Build a ledger that owns workers with ``tasks`` listed attempts each."""
    ledger = CapacityLedger()
    for number in range(count):
        worker_id = f'worker-{number}'
        ledger.claim(worker_id, 1)
        reports = tuple(
            AttemptReport(
                f'{JOURNAL}.{number}.{task}.1-1',
                'running',
                JOURNAL,
                Resources(1000 + task, 4096),
            )
            for task in range(tasks)
        )
        reply = HeartbeatReply(1.0, f'boot-{number}', CAPACITY, reports)
        ledger.apply_reply(worker_id, reply, f'10.0.0.1:{number}', 1)
    return ledger


def listed_attempts(count: int) -> CapacityLedger:
    """Build a ledger that owns ten workers with ``count`` attempts in all."""
    return owned_workers(10, count // 10)


def jobs(count: int, tasks: int = 1) -> JobTable:
    """Build a table of accepted jobs that are waiting."""
    table = JobTable()
    table.open_journal(JOURNAL, 1)
    for number in range(count):
        spec = TaskSpec(Resources(1000, 4096), 60, f'run {number}')
        submission = Submission('queue', tuple(repeat(spec, tasks)))
        table.replay(JobAccepted(f'{JOURNAL}.{number}', 'team', submission))
    return table


def waiting_tasks(count: int) -> JobTable:
    """Build a table of ten waiting jobs with ``count`` tasks in all."""
    return jobs(10, count // 10)


def running_tasks(count: int) -> JobTable:
    """Build a table of ten jobs whose tasks are each assigned once."""
    table = waiting_tasks(count)
    for number in range(10):
        for task in range(count // 10):
            job_id = f'{JOURNAL}.{number}'
            table.replay(
                AttemptAssigned(
                    job_id,
                    task,
                    f'{job_id}.{task}.1-1',
                    f'worker-{task}',
                    f'10.0.0.1:{task}',
                    1,
                    f'boot-{task}',
                    2.5,
                ),
            )
    return table


def usage_of_sessions(count: int, teams: int = 0) -> UsageTable:
    """Build a usage table with the loads of ``count`` sessions."""
    usage = UsageTable()
    for number in range(count):
        loads = {
            f'team-{team}': TeamLoad(Resources(1000 + team), Resources(number))
            for team in range(teams)
        }
        session_id = str(number).zfill(32)
        usage.record(SessionLoad(session_id, 1, loads_by_team=loads), 1)
    return usage


def usage_of_teams(count: int) -> UsageTable:
    """Build a usage table with the loads of ``count`` teams at 60 sessions."""
    return usage_of_sessions(60, count)


def peers(count: int) -> SessionView:
    """Build a session view with ``count`` peers."""
    view = SessionView('own', 'dc')
    for number in range(count):
        session_id = str(number).zfill(32)
        address = f'10.0.0.1:{number}'
        view.peers_by_id[session_id] = PeerSession(session_id, address, 'dc')
    return view


def slope(build: Callable[[int], Any], small: int, large: int) -> int:
    """Return the bytes that each further item allocates."""
    sizes = [_allocated(build, count) for count in (small, large)]
    return round((sizes[1] - sizes[0]) / (large - small))


def _allocated(build: Callable[[int], Any], count: int) -> int:
    gc.collect()
    tracemalloc.start()
    built = build(count)
    gc.collect()
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return allocated


def main() -> None:
    """Print the slopes in bytes as one JSON line."""
    cases = (
        ('owned_worker', owned_workers, 200, 2000),
        ('listed_attempt', listed_attempts, 1000, 10_000),
        ('job_of_one_task', jobs, 1000, 10_000),
        ('waiting_task', waiting_tasks, 1000, 10_000),
        ('running_task', running_tasks, 1000, 10_000),
        ('peer_session', peers, 100, 1000),
        ('session_without_teams', usage_of_sessions, 100, 1000),
        ('team_at_60_sessions', usage_of_teams, 10, 100),
    )
    report = {
        name: slope(build, small, large) for name, build, small, large in cases
    }
    sys.stdout.write(f'{json.dumps(report)}\n')


if __name__ == '__main__':
    fire.Fire(main)
