"""Reconstructs the history of each job from the logs of a cell's instances."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
from msgspec import Struct

# A job that ends after its objective earns this share of its worth, up to
# CUTOFF_FACTOR times the objective; after that it earns nothing.
LATE_SHARE = 0.2
CUTOFF_FACTOR = 3.0
# Lower bound of divisors, avoids division by zero.
_EPSILON = 0.001
# If the age of a job exceeds the time for which its last scheduler knew it by
# more than this, a scheduler of an earlier term had taken the job before.
_SINGLE_TERM_TOLERANCE_S = 0.2
Record = dict[str, Any]
_decoder = msgspec.json.Decoder(dict[str, Any])


class JobHistory(Struct):
    """The logged history of one job; times are log timestamps in seconds."""

    job_id: str
    queue: str = ''
    organisation: str = ''
    data_centre: str = ''
    first_sent_s: float = float('inf')
    refusals: int = 0
    is_stored: bool = False
    is_cancelled: bool = False
    taken: Record | None = None
    ended: Record | None = None
    # Placement time of each unfinished run; intervals of the ended runs.
    placed_s_by_run: dict[tuple[str, int], float] = {}
    run_intervals_s: list[tuple[float, float]] = []

    @property
    def ended_s(self) -> float:
        """Return the timestamp of the job's end."""
        return self.ended['timestamp']

    @property
    def outcome(self) -> str:
        """Return the outcome of the job as its caller sees it."""
        if self.ended is None:
            return 'unfinished' if self.is_stored else 'refused'
        if self.is_cancelled or self.ended['state'] == 'cancelled':
            return 'cancelled'
        age_s = self.ended_s - self.first_sent_s
        ratio = age_s / max(_EPSILON, self.objective_s)
        if ratio <= 1:
            return 'in time'
        return 'late' if ratio <= CUTOFF_FACTOR else 'worthless'

    @property
    def objective_s(self) -> float:
        """Return the objective, corrected by the observed run times.

        The log line has the objective based on the estimate; the error of the
        estimate is added, multiplied by the stretch of the job.
        """
        ended = self.ended or {}
        reported_s = ended.get('objective_s', 0)
        estimate_error_s = self.work_s - ended.get('estimate_s', 0)
        return reported_s + ended.get('stretch', 0) * estimate_error_s

    @property
    def work_s(self) -> float:
        """Return its critical path; the estimate if no run was observed."""
        ended = self.ended or {}
        return ended.get('work_s') or ended.get('estimate_s', 0)

    @property
    def cores(self) -> float:
        """Return the mean number of cores that it uses."""
        ended = self.ended or {}
        estimate_s = max(_EPSILON, ended.get('estimate_s', 0))
        return ended.get('core_s', 0) / estimate_s

    @property
    def share(self) -> float:
        """Return the share of the job's worth that it earned."""
        return {'in time': 1.0, 'late': LATE_SHARE}.get(self.outcome, 0)

    @property
    def running_s(self) -> float:
        """Return for how long at least one run of the job was placed."""
        running_s = 0.0
        covered_until_s = float('-inf')
        for began_s, ended_s in sorted(self.run_intervals_s):
            running_s += max(0, ended_s - max(began_s, covered_until_s))
            covered_until_s = max(covered_until_s, ended_s)
        return running_s

    def delays_s_by_cause(self) -> Counter[str]:
        """Return the seconds that each cause delayed the job.

        A job that did not end has its outcome as the only cause.
        """
        ended = self.ended
        if ended is None:
            return Counter({self.outcome: 1})
        delays_s = Counter(
            {
                f'wait {cause}': wait_s
                for cause, wait_s in ended['waits'].items()
            }
        )
        for loss_kind, core_s in ended['lost'].items():
            delays_s[f'run {loss_kind}'] = core_s / max(_EPSILON, self.cores)
        accepted_s = self.ended_s - ended['age_s']
        delays_s['accepting'] = max(0, accepted_s - self.first_sent_s)
        overrun_s = self.running_s - ended['estimate_s']
        delays_s['long runs'] = max(0, overrun_s)
        idle_s = self.ended_s - self.first_sent_s - self.running_s
        is_single_term = (
            ended['age_s'] - ended['known_s'] < _SINGLE_TERM_TOLERANCE_S
        )
        name = 'on the way' if is_single_term else 'wait in former terms'
        waited_s = sum(ended['waits'].values()) + delays_s['accepting']
        delays_s[name] = max(0, idle_s - waited_s)
        return delays_s

    def reason(self) -> str:
        """Return the cause of the longest delay, or ``failed``."""
        if self.ended is not None and self.ended['state'] == 'failed':
            return 'failed'
        delays_s_by_cause = self.delays_s_by_cause()
        return max(delays_s_by_cause, key=delays_s_by_cause.__getitem__)


class CellHistory:
    """The jobs and the state lines of one cell run."""

    def __init__(self) -> None:
        """Create an empty history."""
        self.jobs_by_id: dict[str, JobHistory] = {}
        self.states: list[Record] = []
        self._data_centres_by_instance: dict[str, str] = {}

    @classmethod
    def from_lines(cls, lines: Iterable[str]) -> 'CellHistory':
        """Read the log lines of all instances, in any order."""
        history = cls()
        for record in sorted(
            _records(lines),
            key=lambda each: each['timestamp'],
        ):
            apply = _HANDLERS_BY_TYPE.get(record['message_type'])
            if apply is not None:
                apply(history, record)
        return history

    def job(self, record: Record) -> JobHistory:
        """Return the history of the job that a record names."""
        job_id = record['job']
        return self.jobs_by_id.setdefault(job_id, JobHistory(job_id))

    def apply_instance_started(self, record: Record) -> None:
        """Record the data centre of an instance."""
        instance = record['instance']
        self._data_centres_by_instance[instance] = record.get('data_centre', '')

    def apply_submission(self, record: Record) -> None:
        """Record an attempt to submit a job, accepted or refused."""
        job = self.job(record)
        job.queue = record.get('queue', job.queue)
        if record['message_type'] == 'job refused':
            job.refusals += 1
            job.organisation = record.get('organisation', job.organisation)
        elif record['outcome'] in {'stored', 'known'}:
            job.is_stored = True
        sent_s = record['timestamp'] - record.get('took_s', 0)
        if sent_s < job.first_sent_s:
            job.first_sent_s = sent_s
            job.data_centre = self._data_centres_by_instance.get(
                record['instance'],
                '',
            )

    def apply_cancel(self, record: Record) -> None:
        """Record a request to cancel the job."""
        self.job(record).is_cancelled = True

    def apply_job_taken(self, record: Record) -> None:
        """Record that a scheduler took the job over."""
        job = self.job(record)
        job.taken = record
        job.queue = record['queue']
        job.organisation = record['organisation']
        job.is_stored = True

    def apply_run_placed(self, record: Record) -> None:
        """Record the placement of a run."""
        job = self._job_of_task(record)
        run = (record['task'], record['run'])
        job.placed_s_by_run[run] = record['timestamp']

    def apply_run_ended(self, record: Record) -> None:
        """Record the end of a run, whatever its outcome."""
        job = self._job_of_task(record)
        run = (record['task'], record['run'])
        placed_s = job.placed_s_by_run.pop(run, None)
        if placed_s is not None:
            job.run_intervals_s.append((placed_s, record['timestamp']))

    def apply_job_ended(self, record: Record) -> None:
        """Record the end of a job; only the first one counts."""
        job = self.job(record)
        if job.ended is None:
            job.ended = record
            for placed_s in job.placed_s_by_run.values():
                job.run_intervals_s.append((placed_s, record['timestamp']))

    def _job_of_task(self, record: Record) -> JobHistory:
        job_id = record['task'].partition('.')[0]
        return self.jobs_by_id.setdefault(job_id, JobHistory(job_id))

    def apply_cell_state(self, record: Record) -> None:
        """Record the capacity and usage of the cell."""
        self.states.append(record)


_HANDLERS_BY_TYPE: dict[str, Callable[[CellHistory, Record], None]] = {
    'started': CellHistory.apply_instance_started,
    'job submitted': CellHistory.apply_submission,
    'job refused': CellHistory.apply_submission,
    'cancel': CellHistory.apply_cancel,
    'job taken': CellHistory.apply_job_taken,
    'job ended': CellHistory.apply_job_ended,
    'run placed': CellHistory.apply_run_placed,
    'run ended': CellHistory.apply_run_ended,
    'run lost': CellHistory.apply_run_ended,
    'run lapsed': CellHistory.apply_run_ended,
    'run not listed': CellHistory.apply_run_ended,
    'start dropped': CellHistory.apply_run_ended,
    'cell state': CellHistory.apply_cell_state,
}


def _records(lines: Iterable[str]) -> Iterator[Record]:
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            record = _decoder.decode(line[start:].strip())
        except msgspec.MsgspecError:
            continue
        if 'message_type' in record and 'timestamp' in record:
            yield record
