"""Analyses from the logs of a cell why its jobs lost their worth.

    python -m bench.what_binds LOG...

Reads the log lines of all instances of one run. Prints for each queue,
organisation, data centre and two-second window how many jobs ended within
their objective, and for each queue what delayed the other jobs most. Text
before the first brace of a line is skipped, so a log collector may add
prefixes.
"""

import sys
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from bench.job_stories import CellHistory, JobHistory, Record
from bench.worth_bound import BoundJob, earned_share, pool_from_states

_FIXED_WORTH = 0.3
_MAX_WORTH = 4.0
_WINDOW_S = 2.0
_MIN_IDLE_SHARE = 0.2
_MAX_REASONS = 12
# Mean times per job that are shorter are left out.
_MIN_SHOWN_S = 0.005
_EPSILON = 0.001
_NAME_WIDTH = 28
_OUTCOMES = ('in time', 'late', 'worthless', 'unfinished', 'refused')


class WorthTable:
    """The worth that the jobs of a run earned and lost.

    A job's worth is relative to the mean size of the jobs of its queue;
    cancelled jobs are left out.
    """

    def __init__(self, history: CellHistory) -> None:
        """Compute the mean job size of each queue."""
        self.jobs = [
            job
            for job in history.jobs_by_id.values()
            if job.first_sent_s < float('inf') and job.outcome != 'cancelled'
        ]
        self.started_s = min(job.first_sent_s for job in self.jobs)
        sizes_by_queue: dict[str, list[float]] = defaultdict(list)
        for job in self.jobs:
            if job.ended is not None:
                sizes_by_queue[job.queue].append(job.ended['core_s'])
        self._mean_by_queue = {
            queue: sum(sizes) / len(sizes)
            for queue, sizes in sizes_by_queue.items()
        }

    def worth(self, job: JobHistory) -> float:
        """Return the worth of a job."""
        size = 1.0
        if job.ended is not None:
            mean = self._mean_by_queue[job.queue]
            size = job.ended['core_s'] / max(_EPSILON, mean)
        worth = _FIXED_WORTH + (1 - _FIXED_WORTH) * size
        return min(_MAX_WORTH, worth)

    def lines_by(
        self,
        title: str,
        key: Callable[[JobHistory], Any],
    ) -> Iterable[str]:
        """Return a table of outcomes, grouped by a property of the jobs."""
        groups: dict[Any, list[JobHistory]] = defaultdict(list)
        for job in self.jobs:
            groups[key(job)].append(job)
        outcomes = '  '.join(_OUTCOMES)
        yield f'\n{title.ljust(_NAME_WIDTH)} jobs earned  {outcomes}'
        for name in sorted(groups):
            text = str(name).ljust(_NAME_WIDTH)
            yield f'{text} {self._outcomes(groups[name])}'

    def reasons(self) -> Iterable[str]:
        """Return the main reasons for lost worth in each queue."""
        lost_worth: dict[str, Counter[str]] = defaultdict(Counter)
        counts: Counter[tuple[str, str]] = Counter()
        total_worth: Counter[str] = Counter()
        for job in self.jobs:
            worth = self.worth(job)
            total_worth[job.queue] += worth
            if job.share < 1:
                reason = f'{job.outcome}: {job.reason()}'
                lost_worth[job.queue][reason] += worth * (1 - job.share)
                counts[job.queue, reason] += 1
        for queue, reasons in sorted(lost_worth.items()):
            yield f'\n{queue}: share of its worth lost, jobs, why'
            for reason, worth in reasons.most_common(_MAX_REASONS):
                share = _three_decimals(worth / total_worth[queue])
                count = counts[queue, reason]
                yield f'  {share} {count}  {reason}'

    def times(self) -> Iterable[str]:
        """Return the mean running time and delays of a job in each queue."""
        totals: dict[str, Counter[str]] = defaultdict(Counter)
        counts: Counter[str] = Counter()
        for job in self.jobs:
            if job.ended is not None:
                totals[job.queue].update(job.delays_s_by_cause())
                totals[job.queue]['running'] += job.running_s
                counts[job.queue] += 1
        yield '\nseconds a job'
        for queue, times in sorted(totals.items()):
            means = {
                name: seconds / counts[queue]
                for name, seconds in times.most_common()
            }
            text = ', '.join(
                f'{name} {round(mean, 2)}'
                for name, mean in means.items()
                if mean >= _MIN_SHOWN_S
            )
            yield f'  {queue}: {text}'

    def bound_lines(self, states: list[Record]) -> Iterable[str]:
        """Return the estimated share that perfect knowledge could earn.

        A job without a logged size counts as one of the jobs of its queue
        that ended.
        """
        ended_by_queue: dict[str, list[JobHistory]] = defaultdict(list)
        for job in self.jobs:
            if job.ended is not None:
                ended_by_queue[job.queue].append(job)
        numbers: Counter[str] = Counter()
        jobs: list[BoundJob] = []
        for job in self.jobs:
            representative = job
            if job.ended is None:
                peers = ended_by_queue[job.queue]
                if not peers:
                    continue
                representative = peers[numbers[job.queue] % len(peers)]
                numbers[job.queue] += 1
            bound_job = BoundJob(
                worth=self.worth(representative),
                arrival_s=job.first_sent_s - self.started_s,
                objective_s=representative.objective_s,
                work_s=representative.work_s,
                cores=representative.cores,
            )
            jobs.append(bound_job)
        yield '\nestimate: share that perfect knowledge could earn'
        for name, is_constant in (
            ('all the room', True),
            ('room as seen', False),
        ):
            pool = pool_from_states(
                states, self.started_s, is_constant=is_constant
            )
            yield f'  {name}: {_three_decimals(earned_share(jobs, pool))}'

    def _outcomes(self, jobs: list[JobHistory]) -> str:
        total_worth = sum(self.worth(job) for job in jobs)
        earned_worth = sum(self.worth(job) * job.share for job in jobs)
        counts = Counter(job.outcome for job in jobs)
        text = '  '.join(
            str(counts[outcome]).rjust(len(outcome)) for outcome in _OUTCOMES
        )
        share = _three_decimals(earned_worth / max(_EPSILON, total_worth))
        count = str(len(jobs)).rjust(4)
        return f'{count} {share}  {text}'


def _three_decimals(share: float) -> str:
    return f'{share:.3f}'


def usage_lines(states: Iterable[Record], started_s: float) -> Iterable[str]:
    """Return the share of processors in use and the waiting tasks over time."""
    yield '\nsecond: share of the processors in use, tasks that wait'
    idle_count = 0
    for state in states:
        used = state['cpu_used_millis'] / max(1, state['cpu_millis'])
        waiting = state.get('waiting_for', state['waiting_tasks'])
        is_idle = used < 1 - _MIN_IDLE_SHARE
        idle_count += is_idle and sum(state['waiting_tasks'].values()) > 0
        second = round(state['timestamp'] - started_s, 1)
        workers = state['usable_workers']
        share = round(used, 2)
        yield f'  {second} {share} of {workers} workers, {waiting}'
    yield f'{idle_count} lines with over {_MIN_IDLE_SHARE} idle while tasks wait'


def main(paths: list[str]) -> None:
    """Print all tables for the log files of one run."""
    lines = [
        line
        for path in paths
        for line in Path(path).read_text(errors='replace').splitlines()
    ]
    history = CellHistory.from_lines(lines)
    table = WorthTable(history)
    parts = (
        table.lines_by('queue', lambda job: job.queue),
        table.lines_by('organisation', lambda job: job.organisation),
        table.lines_by('data centre', lambda job: job.data_centre),
        table.lines_by(
            'from second',
            lambda job: (
                (job.first_sent_s - table.started_s) // _WINDOW_S * _WINDOW_S
            ),
        ),
        table.reasons(),
        table.times(),
        table.bound_lines(history.states),
        usage_lines(history.states, table.started_s),
    )
    for part in parts:
        for line in part:
            sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main(sys.argv[1:])
