"""What the logs of a cell's instances tell of each of its jobs."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
from msgspec import Struct

# A job that ends after its objective earns this share of its worth, until it
# is of no use to its caller any more.
LATE_SHARE = 0.2
_WORTHLESS_AFTER = 3.0
# Keeps quotients finite.
_TINY = 0.001
Record = dict[str, Any]
_decoder = msgspec.json.Decoder(dict[str, Any])


class JobStory(Struct):
    """What the lines tell of one job; times in seconds of the logs."""

    job_id: str
    queue: str = ''
    organisation: str = ''
    data_centre: str = ''
    first_s: float = float('inf')
    refusals: int = 0
    is_stored: bool = False
    is_cancelled: bool = False
    taken: Record | None = None
    ended: Record | None = None

    @property
    def outcome(self) -> str:
        """Return how the job went for its caller."""
        if self.ended is None:
            return 'unfinished' if self.is_stored else 'refused'
        if self.is_cancelled or self.ended['state'] == 'cancelled':
            return 'cancelled'
        age_s = self.ended['timestamp'] - self.first_s
        ratio = age_s / max(_TINY, self.objective_s)
        if ratio <= 1:
            return 'in time'
        return 'late' if ratio <= _WORTHLESS_AFTER else 'worthless'

    @property
    def objective_s(self) -> float:
        """Return the objective by the runs that were seen, if any ended."""
        ended = self.ended or {}
        told_s = ended.get('objective_s', 0)
        if not ended.get('work_s'):
            return told_s
        missed_s = ended['work_s'] - ended['estimate_s']
        return told_s + ended['stretch'] * missed_s

    @property
    def share(self) -> float:
        """Return the share of its worth that the job earned."""
        return {'in time': 1.0, 'late': LATE_SHARE}.get(self.outcome, 0)

    def costs_s(self) -> Counter[str]:
        """Return where the time of the job went."""
        ended = self.ended
        if ended is None:
            return Counter({self.outcome: 1})
        costs = Counter({f'wait {k}': s for k, s in ended['waits'].items()})
        cores = ended['core_s'] / max(_TINY, ended['estimate_s'])
        for how, core_s in ended['lost'].items():
            costs[f'run {how}'] = core_s / max(_TINY, cores)
        costs['former term'] = max(0, ended['age_s'] - ended['known_s'])
        costs['accepting'] = max(
            0,
            ended['timestamp'] - ended['age_s'] - self.first_s,
        )
        rest_s = ended['timestamp'] - self.first_s - ended['work_s']
        costs['on the way'] = max(0, rest_s - costs.total())
        return costs

    def reason(self) -> str:
        """Return what cost the job most of its time."""
        if self.ended is not None and self.ended['state'] == 'failed':
            return 'failed'
        costs_s = self.costs_s()
        return max(costs_s, key=costs_s.__getitem__)


class RunStories:
    """All jobs and counts of one run."""

    def __init__(self) -> None:
        """Begin empty."""
        self.jobs_by_id: dict[str, JobStory] = {}
        self.states: list[Record] = []
        self._data_centres_by_instance: dict[str, str] = {}

    @classmethod
    def from_lines(cls, lines: Iterable[str]) -> 'RunStories':
        """Read the lines of all instances."""
        stories = cls()
        for record in sorted(
            _records(lines),
            key=lambda each: each['timestamp'],
        ):
            take = _TAKERS_BY_KIND.get(record['message_type'])
            if take is not None:
                take(stories, record)
        return stories

    def job(self, record: Record) -> JobStory:
        """Return the job that a line names."""
        job_id = record['job']
        return self.jobs_by_id.setdefault(job_id, JobStory(job_id))

    def take_started(self, record: Record) -> None:
        """Note where an instance runs."""
        instance = record['instance']
        self._data_centres_by_instance[instance] = record.get('data_centre', '')

    def take_submitted(self, record: Record) -> None:
        """Note a try to hand a job in."""
        job = self.job(record)
        job.queue = record.get('queue', job.queue)
        if record['message_type'] == 'job refused':
            job.refusals += 1
            job.organisation = record.get('organisation', job.organisation)
        elif record['outcome'] in {'stored', 'known'}:
            job.is_stored = True
        sent_s = record['timestamp'] - record.get('took_s', 0)
        if sent_s < job.first_s:
            job.first_s = sent_s
            job.data_centre = self._data_centres_by_instance.get(
                record['instance'],
                '',
            )

    def take_cancel(self, record: Record) -> None:
        """Note a cancel."""
        self.job(record).is_cancelled = True

    def take_taken(self, record: Record) -> None:
        """Note that a scheduler took the job."""
        job = self.job(record)
        job.taken = record
        job.queue = record['queue']
        job.organisation = record['organisation']
        job.is_stored = True

    def take_ended(self, record: Record) -> None:
        """Note the end; the first one counts."""
        job = self.job(record)
        if job.ended is None:
            job.ended = record

    def take_state(self, record: Record) -> None:
        """Note the room in use."""
        self.states.append(record)


_TAKERS_BY_KIND: dict[str, Callable[[RunStories, Record], None]] = {
    'started': RunStories.take_started,
    'job submitted': RunStories.take_submitted,
    'job refused': RunStories.take_submitted,
    'cancel': RunStories.take_cancel,
    'job taken': RunStories.take_taken,
    'job ended': RunStories.take_ended,
    'cell state': RunStories.take_state,
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
