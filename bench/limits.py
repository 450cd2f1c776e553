"""Use of team limits while work is waiting, in simulated time.

``python -m bench.limits --sessions 4 --teams 2 --limit 12``. Dispatchers and
allotments of several sessions share one table in one process. Every request
for capacity is granted at once, so only the limits delay work. Prints the
share of the limits in use during the second half of the submissions, the
time from the last submission to the last end and that of an ideal single
queue without gangs, the waits of gangs and batch tasks, and the rows read
and written per second.
"""

import json
import random
import sys
from collections import Counter
from collections.abc import Iterable
from heapq import heappop, heappush
from statistics import mean
from typing import Any

import fire
from tests.table_fake import TableFake

from apricotlead.coordination.allotments import Allotments, AllotmentSettings
from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.dispatcher import Dispatcher, DispatchSettings
from apricotlead.coordination.scheduler import Scheduler
from apricotlead.coordination.store_settlement import StoreSettlement
from apricotlead.protocol.config import CellConfig, PutTeam, Team
from apricotlead.protocol.jobs import JobAccepted, Submission, TaskSpec
from apricotlead.protocol.peers import CapacityGranted, Grant, ReserveCapacity
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    AttemptEnded,
    ConfigApplied,
    Effect,
    JournalOpened,
    ReadRows,
    Signal,
    StoreReplied,
    TaskQueued,
    TasksPlaced,
    Tick,
    Transact,
)
from apricotlead.state.config_view import ConfigView, replay_change
from apricotlead.state.job_table import JobTable
from apricotlead.state.session_view import PeerSession, SessionView
from apricotlead.state.usage_table import UsageTable

STEP_S = 0.02
DEMAND = Resources(1000, 1000)
RUN_S = (0.1, 0.3, 1.0, 3.0)
MAX_TASKS = 4
GANG_FRACTION = 0.2
MAX_DURATION_S = 300.0
LEASE_S = 4.0
_FIRST_EPOCH = 1


class _FakeDesk(Component):
    """Stands in for the reservation desk, ``JobLifecycle`` and the workers.

    Grants every request, ends the tasks after their ``run_s``, and records
    the waits in seconds.
    """

    name = 'desk'

    def __init__(self, table: JobTable) -> None:
        self._table = table
        self._ends: list[tuple[float, str, str]] = []
        self.submitted_s: dict[str, float] = {}
        self.waits_by_kind: dict[str, list[float]] = {'gang': [], 'batch': []}
        self.last_end_s = 0.0

    def running(self, team: str) -> int:
        """Return the number of running tasks of a team."""
        return sum(end[2] == team for end in self._ends)

    @handles(ReserveCapacity)
    def grant(self, request: ReserveCapacity, now: float) -> Iterable[Signal]:
        """Grant all demands at once."""
        grants = tuple(
            Grant(demand.attempt_id, 'w', '127.0.0.1:0', 1, 'boot', now + 2)
            for demand in request.demands
        )
        yield CapacityGranted(request.request_id, request.home_session, grants)

    @handles(TasksPlaced)
    def start(self, placed: TasksPlaced, now: float) -> Iterable[Signal]:
        """Run the tasks for the ``run_s`` of their specification."""
        job = self._table.jobs_by_id[placed.job_id]
        for task, grant in zip(placed.tasks, placed.grants, strict=True):
            run_s = job.tasks[task].spec.run_s
            heappush(self._ends, (now + run_s, grant.attempt_id, job.team))
            wait_s = now - self.submitted_s[placed.job_id]
            self.waits_by_kind[job.submission.kind].append(wait_s)
        return ()

    @handles(Tick)
    def end(self, tick: Tick, now: float) -> Iterable[Signal]:
        """End the tasks that are due."""
        while self._ends and self._ends[0][0] <= now:
            _, attempt_id, _ = heappop(self._ends)
            self.last_end_s = now
            journal_id = attempt_id.split('.', 1)[0]
            yield AttemptEnded(journal_id, attempt_id, 'succeeded')


class _Instance:
    """One session whose requests for capacity are all granted."""

    def __init__(self, number: int, count: int) -> None:
        rng = random.Random(number)
        self.view = SessionView(f's{number}', 'dc')
        self.view.peers_by_id = {
            f's{peer}': PeerSession(f's{peer}', '127.0.0.1:0', 'dc')
            for peer in range(count)
            if peer != number
        }
        self.journal_id = f'j-{number}'
        self.table = JobTable()
        self.table.open_journal(self.journal_id, 1)
        self.config_view = ConfigView()
        self.allotments = Allotments(
            AllotmentSettings(),
            self.view,
            self.config_view,
            rng,
        )
        dispatcher = Dispatcher(
            DispatchSettings(),
            self.table,
            self.view,
            self.config_view,
            UsageTable(),
            self.allotments,
            rng,
        )
        self.desk = _FakeDesk(self.table)
        self.scheduler = Scheduler(
            (dispatcher, self.allotments, self.desk),
            StoreSettlement(),
        )
        self.calls: list[Effect] = []
        self._jobs = 0

    def initialize(self, config: CellConfig, now: float) -> None:
        """Open the journal and load the configuration with the limits."""
        self.config_view.load(config)
        self.view.lease_end_s = now + LEASE_S
        self.deliver(JournalOpened(self.journal_id, 1), now)
        self.deliver(ConfigApplied(config), now)

    def submit(self, team: str, submission: Submission, now: float) -> None:
        """Queue a job."""
        self._jobs += 1
        job_id = f'{self.journal_id}.{self._jobs}'
        self.desk.submitted_s[job_id] = now
        self.table.replay(JobAccepted(job_id, team, submission))
        tasks = tuple(range(len(submission.tasks)))
        self.deliver(TaskQueued(self.journal_id, job_id, tasks), now)

    def deliver(self, signal: Signal, now: float) -> None:
        """Deliver a signal and queue the store calls that it causes."""
        effects = self.scheduler.deliver(signal, now)
        self.calls.extend(
            effect
            for effect in effects
            if isinstance(effect, (ReadRows, Transact))
        )

    def settle(self, table: TableFake, now: float) -> None:
        """Answer the queued store calls."""
        calls = self.calls
        self.calls = []
        for call in calls:
            reply = table.carry_out(call)
            self.deliver(StoreReplied(call.token, reply), now)


class _Fleet:
    """Sessions that share a table; submits jobs to random sessions."""

    def __init__(self, seed: int, sessions: int, teams: int, limit: int):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.limit = limit
        self.work_s_by_team: Counter[str] = Counter()
        self.usage_samples: list[float] = []
        self.table = TableFake()
        self.teams = [f'team-{number}' for number in range(teams)]
        config = CellConfig()
        for team in self.teams:
            change = PutTeam(Team(team, 'org', limit=limit))
            config = replay_change(config, change)
        self.instances = [
            _Instance(number, sessions) for number in range(sessions)
        ]
        for instance in self.instances:
            instance.initialize(config, self.now)

    def step(self) -> None:
        """Advance the time of all sessions by one step."""
        self.now += STEP_S
        for instance in self.instances:
            instance.settle(self.table, self.now)
            instance.view.lease_end_s = self.now + LEASE_S
            instance.deliver(Tick(), self.now)

    def submit(self, gangs: bool) -> None:
        """Submit a job of 1 to ``MAX_TASKS`` tasks for a random team."""
        rng = self.rng
        spec = TaskSpec(DEMAND, rng.choice(RUN_S))
        tasks = (spec,) * rng.randint(1, MAX_TASKS)
        kind = 'gang' if gangs and rng.random() < GANG_FRACTION else 'batch'
        team = rng.choice(self.teams)
        self.work_s_by_team[team] += spec.run_s * len(tasks)
        submission = Submission('queue', tasks, kind)
        rng.choice(self.instances).submit(team, submission, self.now)

    def is_busy(self) -> bool:
        """Return whether a task is waiting or running."""
        return any(
            instance.scheduler.dump(self.now)['dispatcher']['pending_tasks']
            or any(instance.desk.running(team) for team in self.teams)
            for instance in self.instances
        )

    def usage_share(self) -> float:
        """Return the share of the sum of all limits that is in use."""
        running = sum(
            instance.desk.running(team)
            for instance in self.instances
            for team in self.teams
        )
        return running / (self.limit * len(self.teams))

    def waits(self, kind: str) -> list[float]:
        """Return the sorted waits of the tasks of a kind, in seconds."""
        return sorted(
            wait
            for instance in self.instances
            for wait in instance.desk.waits_by_kind[kind]
        )


def measure(
    seed: int,
    sessions: int,
    teams: int,
    limit: int,
    seconds: float,
    jobs_per_s: float,
    gangs: bool,
) -> dict[str, Any]:
    """Run one seed and return its figures."""
    fleet = _Fleet(seed, sessions, teams, limit)
    submitted = 0
    while fleet.now < seconds:
        while submitted < fleet.now * jobs_per_s:
            submitted += 1
            fleet.submit(gangs)
        fleet.step()
        if fleet.now > seconds / 2:
            fleet.usage_samples.append(fleet.usage_share())
    reads, writes = fleet.table.reads, fleet.table.writes
    while fleet.is_busy() and fleet.now < MAX_DURATION_S:
        fleet.step()
    max_work_s = max(fleet.work_s_by_team.values())
    one_queue_s = max(0.0, max_work_s / limit - seconds)
    last_s = max(instance.desk.last_end_s for instance in fleet.instances)
    return {
        'seed': seed,
        'in_use': round(mean(fleet.usage_samples), 3),
        'ends_after_s': round(last_s - seconds, 2),
        'one_queue_s': round(one_queue_s, 2),
        'unfinished': fleet.is_busy(),
        'gang_wait_s': _quantiles(fleet.waits('gang')),
        'batch_wait_s': _quantiles(fleet.waits('batch')),
        'reads_per_s': round(reads / seconds, 1),
        'writes_per_s': round(writes / seconds, 1),
    }


def _quantiles(waits: list[float]) -> list[float]:
    """Return the median, the 95th percentile and the maximum."""
    if not waits:
        return []
    last = len(waits) - 1
    return [
        round(waits[round(last * quantile)], 2) for quantile in (0.5, 0.95, 1)
    ]


def main(
    seeds: int = 3,
    sessions: int = 4,
    teams: int = 2,
    limit: int = 12,
    seconds: float = 30.0,
    jobs_per_s: float = 13.0,
    gangs: bool = True,
) -> None:
    """Print one JSON line for each seed."""
    for seed in range(1, seeds + 1):
        figures = measure(
            seed,
            sessions,
            teams,
            limit,
            seconds,
            jobs_per_s,
            gangs,
        )
        sys.stdout.write(f'{json.dumps(figures)}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(main)
