"""A day of a cell under faults: workers, store, jobs, and terms in turn."""

from collections.abc import Iterator
from random import Random

import msgspec

from apricotlead.coordination.cell.election import (
    OWNER_KEY,
    read_owner,
    takeover,
)
from apricotlead.coordination.cell.job_rows import JOBS_TABLE, job_key
from apricotlead.coordination.cell.journal import PROGRESS_PREFIX
from apricotlead.coordination.cell.lease_rows import LEASES_PREFIX
from apricotlead.coordination.cell.scheduler import CellScheduler
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.speed_rows import STATISTICS_PREFIX
from apricotlead.protocol.cell_jobs import (
    JobProgress,
    JobSubmission,
    StepSpec,
    StoredJob,
)
from apricotlead.protocol.cell_workers import WorkerEntry
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_config_view import CellConfigView
from tests.faulty.links import AdviceService, Links
from tests.faulty.shape import (
    MOST_ATTEMPTS,
    MS_PER_S,
    SERVICE,
    CellShape,
    JobKind,
)
from tests.faulty.store import ModelStore
from tests.faulty.term import ModelTerm, Note, Surroundings
from tests.faulty.timeline import Process, Timeline
from tests.faulty.workers import FaultyWorker, Gangs, TaskTruth

_POLL_S = 0.02
_HEARTBEAT_S = 1.5
# A worker that is silent for longer leaves the registry.
_REGISTERED_S = 4.5
_FIRST_JOB_S = 0.5
_CANCEL_SHARE = 0.04
_MOST_UNTIL_CANCEL_S = 6.0
_ESTIMATE_SPREAD = 0.2
_CLOCK_RATES = (0.98, 1.02)
_RACKS = 3


class FaultyCell:
    """One day of a cell, from time 100 on; faults are spawned from outside."""

    def __init__(self, shape: CellShape, seed: int) -> None:
        """Begin a first term, and traffic."""
        self.shape = shape
        self.random = Random(seed)
        self.timeline = Timeline()
        self.workers_by_id: dict[str, FaultyWorker] = {}
        self.jobs_by_id: dict[str, StoredJob] = {}
        self.cancelled_ids: set[str] = set()
        self.store = ModelStore()
        self.links = Links(self.timeline, self.random, self.workers_by_id)
        self.advice = AdviceService(self.is_good)
        self.surroundings = Surroundings(
            self.timeline,
            self.links,
            self.advice,
            self.store,
            CellSettings(),
            [f'peer{number}' for number in range(shape.askers)],
            {kind.name: kind.advice for kind in shape.kinds},
        )
        self.notes: list[Note] = []
        self.term: ModelTerm | None = None
        self._kinds_by_name = {kind.name: kind for kind in shape.kinds}
        self._registered_s_by_worker: dict[str, float] = {}
        self._truths_by_task: dict[str, TaskTruth] = {}
        self._seed = seed
        self._gangs = Gangs()
        self._lives = 0
        self.limit = shape.limit
        self.calm_s = self.now + shape.lasts_s
        for _ in range(shape.workers):
            self.add_worker()
        self.begin_term()
        self.timeline.spawn(self._arrivals())
        if shape.later_limit is not None:
            self.timeline.spawn(self._change_limit(shape.later_limit))
        self.timeline.spawn(self._heartbeats())

    @property
    def now(self) -> float:
        """Return the time in seconds."""
        return self.timeline.now

    @property
    def live_workers(self) -> list[FaultyWorker]:
        """Return the workers that have not ended."""
        return [
            worker
            for worker in self.workers_by_id.values()
            if not worker.is_over
        ]

    @property
    def scheduler(self) -> CellScheduler | None:
        """Return the scheduler, ``None`` between two terms."""
        return None if self.term is None else self.term.scheduler

    def is_good(self, step: str, worker_id: str) -> bool:
        """Tell whether a worker may run a step; this never changes."""
        job = self.jobs_by_id[step.partition('.')[0]]
        kind = self._kinds_by_name[job.queue]
        if kind.advice is None:
            return True
        draw = Random(' '.join((str(self._seed), step, worker_id)))
        return draw.random() < kind.good

    def open_jobs(self) -> Iterator[str]:
        """Return the jobs that are owed an end."""
        for job_id in self.jobs_by_id:
            if job_id not in self.cancelled_ids and not self._is_final(job_id):
                yield job_id

    def add_worker(self, worker_id: str = '') -> None:
        """Start a worker, under the id of a former life if one is given."""
        self._lives += 1
        worker_id = worker_id or f'w{self._lives}'
        rack = self._lives % _RACKS
        entry = WorkerEntry(
            worker_id,
            SERVICE,
            f'{worker_id}:{self._lives}',
            'north',
            self.shape.capacity,
            ('kind', f'rack{rack}'),
            born_ms=float(int(self.now * MS_PER_S)),
        )
        worker = FaultyWorker(
            entry,
            self.timeline,
            self._gangs,
            self._truths_by_task.__getitem__,
            self.random.uniform(*_CLOCK_RATES),
        )
        self.workers_by_id[worker_id] = worker
        self.register(worker)
        self.timeline.spawn(self._live(worker))

    def register(self, worker: FaultyWorker) -> None:
        """Write a worker's registration."""
        self._registered_s_by_worker[worker.entry.worker_id] = self.now
        if self.term is not None:
            self.term.apply_registration(worker.entry)

    def end_term(self) -> None:
        """Lose the scheduler; a write under way may still take effect."""
        open_write = self.term.end()
        if open_write is not None and self.random.random() < 0.5:
            self.store.write(open_write)
        self.notes.extend(self.term.notes)
        self.term = None

    def begin_term(self) -> None:
        """Begin a term by another instance."""
        former = self.store.row(OWNER_KEY)
        owner, transaction = takeover(
            former,
            'instance',
            'peer',
            self.now * MS_PER_S,
            self.surroundings.settings.election,
        )
        self.store.write(transaction)
        scheduler = CellScheduler(
            self.surroundings.settings,
            CellConfigView(self.shape.config(self.limit), self.now),
            owner,
            read_owner(former),
            self.now,
            self.now * MS_PER_S,
        )
        scheduler.owner_version = self.store.version
        self.term = ModelTerm(scheduler, self.surroundings)
        self._load(scheduler)

    def submit(self, kind: JobKind) -> None:
        """Hand a job in."""
        job_id = format(len(self.jobs_by_id) + 1, '016x')
        number = self.random.randrange(self.shape.organisations)
        specs = tuple(self._spec(index, kind) for index in range(kind.steps))
        stored = StoredJob(
            kind.name,
            SERVICE,
            f'org{number}',
            self.now * MS_PER_S,
            kind.priority,
            max_attempts=MOST_ATTEMPTS,
            stretch=kind.stretch,
            aim_ms=kind.aim_s * MS_PER_S,
            advice=kind.advice,
            submission=JobSubmission('payload', specs),
        )
        self.jobs_by_id[job_id] = stored
        for index, spec in enumerate(specs):
            self._draw_truth(f'{job_id}.0.{index}', spec, stored.organisation)
        row = self.store.put(job_key(job_id), msgspec.to_builtins(stored))
        if self.scheduler is not None:
            self.scheduler.jobs.apply_job_row(row, self.now)
            self.term.notice()
        if self.random.random() < _CANCEL_SHARE:
            self.timeline.spawn(self._cancel_later(job_id))

    def _is_final(self, job_id: str) -> bool:
        row = self.store.progress(job_id)
        if row is None:
            return False
        return msgspec.convert(row.value, JobProgress).state.is_final

    def _live(self, worker: FaultyWorker) -> Process:
        while not worker.is_over:
            worker.advance()
            yield _POLL_S

    def _heartbeats(self) -> Process:
        """Keep the registry; workers that are silent for long leave it."""
        while True:
            yield _HEARTBEAT_S
            for worker in self.live_workers:
                self.register(worker)
            silent = [
                worker_id
                for worker_id, seen_s in self._registered_s_by_worker.items()
                if self.now - seen_s > _REGISTERED_S
            ]
            for worker_id in silent:
                self._registered_s_by_worker.pop(worker_id)
                if self.scheduler is not None:
                    self.scheduler.workers.mark_unlisted(worker_id)

    def _load(self, scheduler: CellScheduler) -> None:
        store = self.store
        scheduler.workers.load_leases(store.rows(LEASES_PREFIX))
        scheduler.jobs.load(
            store.rows(f'{JOBS_TABLE}/'),
            store.rows(PROGRESS_PREFIX),
            self.now,
        )
        for worker_id in self._registered_s_by_worker:
            self.term.apply_registration(self.workers_by_id[worker_id].entry)
        for row in store.rows(STATISTICS_PREFIX):
            scheduler.speeds.load(row)
        scheduler.workers.restore_unregistered(self.now)

    def _arrivals(self) -> Process:
        kinds = self.shape.kinds
        rates = [kind.per_s for kind in kinds]
        yield _FIRST_JOB_S
        while self.now < self.calm_s:
            yield self.random.expovariate(sum(rates))
            self.submit(self.random.choices(kinds, rates)[0])

    def _change_limit(self, limit: Resources) -> Process:
        yield self.shape.lasts_s / 2
        self.limit = limit
        if self.scheduler is not None:
            view = CellConfigView(self.shape.config(limit), self.now)
            self.scheduler.set_view(view)

    def _spec(self, index: int, kind: JobKind) -> StepSpec:
        draw = self.random
        return StepSpec(
            draw.randint(*kind.tasks),
            Resources(
                draw.randint(*kind.cpu_millis),
                draw.randint(*kind.memory_mb),
            ),
            draw.uniform(*kind.work_s) * MS_PER_S,
            after=(index - 1,) if index and not kind.in_parallel else (),
            gang=kind.gang,
            long_running=kind.lasting,
            required_label=kind.label,
            same_rack=kind.same_rack,
            max_per_worker=kind.most_per_worker,
        )

    def _draw_truth(
        self,
        step: str,
        spec: StepSpec,
        organisation: str,
    ) -> None:
        error = self.random.lognormvariate(0, _ESTIMATE_SPREAD)
        for number in range(spec.task_count):
            truth = TaskTruth(
                f'{step}.{number}',
                step,
                organisation,
                spec.demand,
                spec.estimated_ms / MS_PER_S * error,
                spec.task_count if spec.gang else 0,
            )
            self._truths_by_task[truth.name] = truth

    def _cancel_later(self, job_id: str) -> Process:
        yield self.random.uniform(0, _MOST_UNTIL_CANCEL_S)
        row = self.store.put(f'{job_key(job_id)}~cancel', {})
        self.cancelled_ids.add(job_id)
        if self.scheduler is not None:
            self.scheduler.jobs.apply_job_row(row, self.now)
