"""Simulates a cell under faults: workers, store, jobs, scheduler terms."""

from collections.abc import Iterator
from random import Random

import msgspec

from apricotlead.coordination.cell.election import (
    OWNER_KEY,
    read_owner,
    takeover,
)
from apricotlead.coordination.cell.job_rows import JOBS_TABLE, job_key
from apricotlead.coordination.cell.lease_rows import LEASES_PREFIX
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.coordination.cell.scheduler import CellScheduler
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.speed_rows import STATISTICS_PREFIX
from apricotlead.protocol.cell_jobs import (
    JobProgress,
    JobState,
    JobSubmission,
    StepSpec,
    StoredJob,
)
from apricotlead.protocol.cell_workers import WorkerEntry
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_config_view import CellConfigView
from tests.faulty.links import AdviceService, Links
from tests.faulty.shape import (
    MAX_ATTEMPTS,
    MS_PER_S,
    SERVICE,
    CellShape,
    JobKind,
    Spread,
)
from tests.faulty.store import ModelStore
from tests.faulty.term import Environment, ModelTerm, Note
from tests.faulty.timeline import Process, Timeline
from tests.faulty.workers import FaultyWorker, Gangs, TaskProfile

_POLL_S = 0.02
_HEARTBEAT_S = 1.5
# A registration expires if no heartbeat renews it for this long.
_REGISTRATION_TTL_S = 4.5
_FIRST_JOB_S = 0.5
_MAX_CANCEL_DELAY_S = 6.0
_ESTIMATE_SPREAD = 0.2
_RESTART_S = (3.0, 3.6)


class FaultyCell:
    """Simulates a cell with its traffic; callers add the faults.

    The simulation begins at 100 s.
    """

    def __init__(
        self,
        shape: CellShape,
        seed: int,
        *,
        acks_later_ends: bool = False,
    ) -> None:
        """Start the workers, the first term and the traffic.

        With ``acks_later_ends``, workers apply the number of an
        acknowledgement also to ends that come after it.
        """
        self.shape = shape
        self.random = Random(seed)
        self.timeline = Timeline()
        self.workers_by_id: dict[str, FaultyWorker] = {}
        self.jobs_by_id: dict[str, StoredJob] = {}
        self.cancelled_ids: set[str] = set()
        self.deadly_tasks: set[str] = set()
        # When a task crashed its worker, and which; when runs were lost so.
        self.crashes: list[tuple[float, str]] = []
        self.lost_runs: list[tuple[float, str]] = []
        self.processes: list[FaultyWorker] = []
        self.store = ModelStore()
        self.links = Links(self.timeline, self.random, self.workers_by_id)
        self.advice = AdviceService(self.is_permitted)
        self.environment = Environment(
            self.timeline,
            self.links,
            self.advice,
            self.store,
            CellSettings(),
            [f'peer{number}' for number in range(shape.askers)],
            {kind.name: kind.advice for kind in shape.kinds},
        )
        # Whether workers apply an acknowledgement to later ends, too.
        self.acks_later_ends = acks_later_ends
        self.notes: list[Note] = []
        self.term: ModelTerm | None = None
        self._kinds_by_name = {kind.name: kind for kind in shape.kinds}
        self._heartbeat_s_by_worker: dict[str, float] = {}
        # The entries that were registered last.
        self._entries_by_id: dict[str, WorkerEntry] = {}
        self._profiles_by_task: dict[str, TaskProfile] = {}
        self._permissions: dict[tuple[str, str], bool] = {}
        self._seed = seed
        self._gangs = Gangs()
        self._started_workers = 0
        self.limit = shape.limit
        self.traffic_end_s = self.now + shape.duration_s
        for _ in range(shape.workers):
            self.add_worker()
        self.begin_term()
        self.timeline.spawn(self._arrivals())
        if shape.later_limit is not None:
            self.timeline.spawn(self._change_limit(shape.later_limit))
        self.timeline.spawn(self._heartbeats())

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.timeline.now

    @property
    def live_workers(self) -> list[FaultyWorker]:
        """Return the worker processes that have not ended."""
        return [
            worker
            for worker in self.workers_by_id.values()
            if not worker.has_ended
        ]

    @property
    def scheduler(self) -> CellScheduler | None:
        """Return the current scheduler, ``None`` between two terms."""
        return None if self.term is None else self.term.scheduler

    def is_permitted(self, step: str, worker_id: str) -> bool:
        """Return whether a worker may run a step.

        The answer for a step and a worker is the same throughout.
        """
        job = self.jobs_by_id[step.partition('.')[0]]
        kind = self._kinds_by_name[job.queue]
        if kind.advice is None:
            return True
        known = self._permissions.get((step, worker_id))
        if known is None:
            draw = Random(' '.join((str(self._seed), step, worker_id)))
            known = draw.random() < kind.permitted_share
            self._permissions[step, worker_id] = known
        return known

    def open_jobs(self) -> Iterator[str]:
        """Return the ids of jobs that are neither cancelled nor final."""
        for job_id in self.jobs_by_id:
            if job_id not in self.cancelled_ids and not self._is_final(job_id):
                yield job_id

    def add_worker(
        self,
        worker_id: str = '',
        address: str = '',
        unseen_s: float = 0,
    ) -> FaultyWorker:
        """Start a worker process, with a new id and address if not given.

        Its registration is seen after ``unseen_s``.
        """
        self._started_workers += 1
        worker_id = worker_id or f'w{self._started_workers}'
        rack = self._started_workers % self.shape.racks
        entry = WorkerEntry(
            worker_id,
            SERVICE,
            address or f'{worker_id}:{self._started_workers}',
            'north',
            self.shape.capacity,
            ('kind', f'rack{rack}'),
            born_ms=float(int(self.now * MS_PER_S)),
        )
        worker = FaultyWorker(
            entry,
            self.timeline,
            self._gangs,
            self._profiles_by_task.__getitem__,
            self.random.uniform(*self.shape.clock_rates),
        )
        worker.registers_from_s = self.now + unseen_s
        worker.acks_later_ends = self.acks_later_ends
        self.links.renew_connection(worker)
        self.workers_by_id[worker_id] = worker
        self.processes.append(worker)
        self.register(worker)
        self.timeline.spawn(self._run_worker(worker))
        return worker

    def restart_worker(
        self,
        worker: FaultyWorker,
        down_s: float = 0,
        unseen_s: float = 0,
    ) -> Process:
        """End a process and start another one under its id and address."""
        tasks = tuple(worker.runs_by_task)
        worker.terminate()
        self.lost_runs.extend((self.now, task) for task in tasks)
        yield down_s
        entry = worker.entry
        self.add_worker(entry.worker_id, entry.address, unseen_s)

    def register(self, worker: FaultyWorker) -> None:
        """Record a heartbeat and pass the registration to the scheduler."""
        if self.now < worker.registers_from_s:
            return
        entry = worker.entry
        self._heartbeat_s_by_worker[entry.worker_id] = self.now
        self._entries_by_id[entry.worker_id] = entry
        if self.term is not None:
            self.term.handle_registration(entry)

    def end_term(self) -> None:
        """End the scheduler; its pending write may still take effect."""
        pending_write = self.term.end()
        if pending_write is not None and self.random.random() < 0.5:
            self.store.write(pending_write)
        self.notes.extend(self.term.notes)
        self.term = None

    def begin_term(self) -> None:
        """Take ownership over as another instance and start its scheduler."""
        previous = self.store.row(OWNER_KEY)
        owner, transaction = takeover(
            previous,
            'instance',
            'peer',
            self.now * MS_PER_S,
            self.environment.settings.election,
        )
        self.store.write(transaction)
        scheduler = CellScheduler(
            self.environment.settings,
            CellConfigView(self.shape.config(self.limit), self.now),
            owner,
            read_owner(previous),
            self.now,
            self.now * MS_PER_S,
        )
        scheduler.owner_version = self.store.version
        self.term = ModelTerm(scheduler, self.environment)
        self._load(scheduler)

    def submit(self, kind: JobKind) -> str:
        """Submit a job of a kind; return its id."""
        job_id = format(len(self.jobs_by_id) + 1, '016x')
        number = self.random.randrange(self.shape.organisations)
        specs = tuple(self._spec(index, kind) for index in range(kind.steps))
        stored = StoredJob(
            kind.name,
            SERVICE,
            f'org{number}',
            self.now * MS_PER_S,
            kind.priority,
            max_attempts=MAX_ATTEMPTS,
            stretch=kind.stretch,
            aim_ms=kind.aim_s * MS_PER_S,
            advice=kind.advice,
            submission=JobSubmission('payload', specs),
        )
        self.jobs_by_id[job_id] = stored
        # Kinds without such jobs keep the random schedule of their seeds.
        is_deadly = bool(kind.deadly_share) and (
            self.random.random() < kind.deadly_share
        )
        for index, spec in enumerate(specs):
            self._draw_profiles(
                f'{job_id}.0.{index}',
                spec,
                stored.organisation,
                kind.failing_runs,
            )
        if is_deadly:
            first = f'{job_id}.0.0.0'
            self.deadly_tasks.add(first)
            self._profiles_by_task[first] = msgspec.structs.replace(
                self._profiles_by_task[first],
                crashes_after_s=kind.deadly_after_s,
            )
        row = self.store.put(job_key(job_id), msgspec.to_builtins(stored))
        if self.scheduler is not None:
            self.scheduler.jobs.apply_job_row(row, self.now)
            self.term.request_planning()
        if self.random.random() < self.shape.cancelled_share:
            self.timeline.spawn(self._cancel_later(job_id))
        return job_id

    def state(self, job_id: str) -> JobState:
        """Return the stored state of a job."""
        row = self.store.progress(job_id)
        if row is None:
            return JobState.QUEUED
        return msgspec.convert(row.value, JobProgress).state

    def _is_final(self, job_id: str) -> bool:
        return self.state(job_id).is_final

    def _run_worker(self, worker: FaultyWorker) -> Process:
        while not worker.has_ended:
            worker.advance()
            crashing_task = worker.crashing_task()
            if crashing_task:
                self.crashes.append((self.now, crashing_task))
                yield from self.crash_worker(worker)
            yield _POLL_S

    def crash_worker(self, worker: FaultyWorker) -> Process:
        """End a worker process, and start it again after some seconds."""
        tasks = tuple(worker.runs_by_task)
        worker.closes_connections = self.random.random() < 0.8
        worker.terminate()
        self.lost_runs.extend((self.now, task) for task in tasks)
        yield self.random.uniform(*_RESTART_S)
        entry = worker.entry
        if self.random.random() < 0.5:
            self.add_worker(entry.worker_id)
        else:
            self.add_worker(address=entry.address)

    def _heartbeats(self) -> Process:
        """Renew registrations and expire those without heartbeats."""
        while True:
            yield _HEARTBEAT_S
            for worker in self.live_workers:
                self.register(worker)
            silent = [
                worker_id
                for worker_id, seen_s in self._heartbeat_s_by_worker.items()
                if self.now - seen_s > _REGISTRATION_TTL_S
            ]
            for worker_id in silent:
                self._heartbeat_s_by_worker.pop(worker_id)
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
        for worker_id in self._heartbeat_s_by_worker:
            worker = self.workers_by_id[worker_id]
            entry = worker.entry
            if self.now < worker.registers_from_s:
                entry = self._entries_by_id[worker_id]
            self.term.handle_registration(entry)
        for row in store.rows(STATISTICS_PREFIX):
            scheduler.speeds.load(row)
        scheduler.workers.restore_unregistered(self.now)

    def _arrivals(self) -> Process:
        kinds = self.shape.kinds
        rates = [kind.per_s for kind in kinds]
        yield _FIRST_JOB_S
        while self.now < self.traffic_end_s:
            yield self.random.expovariate(sum(rates))
            self.submit(self.random.choices(kinds, rates)[0])

    def _change_limit(self, limit: Resources) -> Process:
        yield self.shape.duration_s / 2
        self.limit = limit
        if self.scheduler is not None:
            view = CellConfigView(self.shape.config(limit), self.now)
            self.scheduler.set_view(view)

    def _spec(self, index: int, kind: JobKind) -> StepSpec:
        draw = self.random
        return StepSpec(
            _draw_whole(draw, kind.tasks),
            Resources(
                _draw_whole(draw, kind.cpu_millis),
                _draw_whole(draw, kind.memory_mb),
            ),
            draw.uniform(*kind.work_s) * MS_PER_S,
            after=(index - 1,) if index and not kind.in_parallel else (),
            gang=kind.gang or _draws_chance(draw, kind.gang_share),
            long_running=kind.is_long_running,
            required_label=kind.label,
            same_rack=kind.same_rack,
            max_per_worker=kind.max_tasks_per_worker
            or int(_draws_chance(draw, kind.apart_share)),
        )

    def _draw_profiles(
        self,
        step: str,
        spec: StepSpec,
        organisation: str,
        failing_runs: int,
    ) -> None:
        error = self.random.lognormvariate(0, _ESTIMATE_SPREAD)
        for number in range(spec.task_count):
            profile = TaskProfile(
                f'{step}.{number}',
                step,
                organisation,
                spec.demand,
                spec.estimated_ms / MS_PER_S * error,
                spec.task_count if spec.gang else 0,
                failing_runs=failing_runs if spec.gang else 0,
            )
            self._profiles_by_task[profile.name] = profile

    def _cancel_later(self, job_id: str) -> Process:
        yield self.random.uniform(0, _MAX_CANCEL_DELAY_S)
        row = self.store.put(f'{job_key(job_id)}~cancel', {})
        self.cancelled_ids.add(job_id)
        if self.scheduler is not None:
            self.scheduler.jobs.apply_job_row(row, self.now)


def _draw_whole(random: Random, bounds: tuple[int, int] | Spread) -> int:
    if isinstance(bounds, Spread):
        return round(bounds.draw(random))
    return random.randint(*bounds)


def _draws_chance(random: Random, share: float) -> bool:
    """Draw with a probability; kinds without it keep their schedules."""
    return bool(share) and random.random() < share
