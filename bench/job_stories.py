"""What the logs of a cell's instances tell of each of its jobs."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
from msgspec import Struct

# A job that ends after its objective earns this share of its worth, until it
# is of no use to its caller any more.
LATE_SHARE = 0.2
CUTOFF_FACTOR = 3.0
# Keeps quotients finite.
_EPSILON = 0.001
# A job that a term took later than this was taken by another before.
_SINGLE_TERM_TOLERANCE_S = 0.2
Record = dict[str, Any]
_decoder = msgspec.json.Decoder(dict[str, Any])


class JobHistory(Struct):
    """What the lines tell of one job; times in seconds of the logs."""

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
    # When each run was placed, and from when to when those ran that are over.
    placed_s_by_run: dict[tuple[str, int], float] = {}
    run_intervals_s: list[tuple[float, float]] = []

    @property
    def ended_s(self) -> float:
        """Return when the job ended."""
        return self.ended['timestamp']

    @property
    def outcome(self) -> str:
        """Return how the job went for its caller."""
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
        """Return the objective by the runs that were seen, if any ended."""
        ended = self.ended or {}
        reported_s = ended.get('objective_s', 0)
        estimate_error_s = self.work_s - ended.get('estimate_s', 0)
        return reported_s + ended.get('stretch', 0) * estimate_error_s

    @property
    def work_s(self) -> float:
        """Return its longest chain of work, estimated without runs."""
        ended = self.ended or {}
        return ended.get('work_s') or ended.get('estimate_s', 0)

    @property
    def cores(self) -> float:
        """Return the cores that it uses on the mean of its work."""
        ended = self.ended or {}
        estimate_s = max(_EPSILON, ended.get('estimate_s', 0))
        return ended.get('core_s', 0) / estimate_s

    @property
    def share(self) -> float:
        """Return the share of its worth that the job earned."""
        return {'in time': 1.0, 'late': LATE_SHARE}.get(self.outcome, 0)

    @property
    def running_s(self) -> float:
        """Return for how long any run of the job was placed."""
        running_s = 0.0
        covered_until_s = float('-inf')
        for began_s, ended_s in sorted(self.run_intervals_s):
            running_s += max(0, ended_s - max(began_s, covered_until_s))
            covered_until_s = max(covered_until_s, ended_s)
        return running_s

    def delays_s_by_cause(self) -> Counter[str]:
        """Return where the time of the job went that it did not run."""
        ended = self.ended
        if ended is None:
            return Counter({self.outcome: 1})
        costs = Counter({f'wait {k}': s for k, s in ended['waits'].items()})
        for loss_kind, core_s in ended['lost'].items():
            costs[f'run {loss_kind}'] = core_s / max(_EPSILON, self.cores)
        taken_s = self.ended_s - ended['age_s']
        costs['accepting'] = max(0, taken_s - self.first_sent_s)
        overrun_s = self.running_s - ended['estimate_s']
        costs['long runs'] = max(0, overrun_s)
        idle_s = self.ended_s - self.first_sent_s - self.running_s
        is_single_term = (
            ended['age_s'] - ended['known_s'] < _SINGLE_TERM_TOLERANCE_S
        )
        name = 'on the way' if is_single_term else 'wait in former terms'
        waited_s = sum(ended['waits'].values()) + costs['accepting']
        costs[name] = max(0, idle_s - waited_s)
        return costs

    def reason(self) -> str:
        """Return what cost the job most of its time."""
        if self.ended is not None and self.ended['state'] == 'failed':
            return 'failed'
        delays_s_by_cause = self.delays_s_by_cause()
        return max(delays_s_by_cause, key=delays_s_by_cause.__getitem__)


class CellHistory:
    """All jobs and counts of one run."""

    def __init__(self) -> None:
        """Begin empty."""
        self.jobs_by_id: dict[str, JobHistory] = {}
        self.states: list[Record] = []
        self._data_centres_by_instance: dict[str, str] = {}

    @classmethod
    def from_lines(cls, lines: Iterable[str]) -> 'RunStories':
        """Read the lines of all instances."""
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
        """Return the job that a line names."""
        job_id = record['job']
        return self.jobs_by_id.setdefault(job_id, JobHistory(job_id))

    def apply_instance_started(self, record: Record) -> None:
        """Note where an instance runs."""
        instance = record['instance']
        self._data_centres_by_instance[instance] = record.get('data_centre', '')

    def apply_submission(self, record: Record) -> None:
        """Note a try to hand a job in."""
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
        """Note a cancel."""
        self.job(record).is_cancelled = True

    def apply_job_taken(self, record: Record) -> None:
        """Note that a scheduler took the job."""
        job = self.job(record)
        job.taken = record
        job.queue = record['queue']
        job.organisation = record['organisation']
        job.is_stored = True

    def apply_run_placed(self, record: Record) -> None:
        """Note the begin of a run."""
        job = self._job_of_task(record)
        run = (record['task'], record['run'])
        job.placed_s_by_run[run] = record['timestamp']

    def apply_run_ended(self, record: Record) -> None:
        """Note the end of a run, however it ended."""
        job = self._job_of_task(record)
        run = (record['task'], record['run'])
        placed_s = job.placed_s_by_run.pop(run, None)
        if placed_s is not None:
            job.run_intervals_s.append((placed_s, record['timestamp']))

    def apply_job_ended(self, record: Record) -> None:
        """Note the end; the first one counts."""
        job = self.job(record)
        if job.ended is None:
            job.ended = record
            for placed_s in job.placed_s_by_run.values():
                job.run_intervals_s.append((placed_s, record['timestamp']))

    def _job_of_task(self, record: Record) -> JobHistory:
        job_id = record['task'].partition('.')[0]
        return self.jobs_by_id.setdefault(job_id, JobHistory(job_id))

    def apply_cell_state(self, record: Record) -> None:
        """Note the room in use."""
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
