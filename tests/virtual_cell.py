"""Simulates a cell in virtual time, without a network or processes.

Jobs arrive, the real scheduler places them, and model workers run them for
random durations. A :class:`Shape` defines sizes, rates and errors of the
estimates.
"""

from collections import Counter, defaultdict
from random import Random

import msgspec
from msgspec import Struct

from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.protocol.cell_config import (
    CellConfig,
    OrganisationConfig,
    QueueConfig,
)
from apricotlead.protocol.cell_jobs import (
    JobProgress,
    JobSubmission,
    StepSpec,
    StoredJob,
)
from apricotlead.protocol.cell_workers import EndKind, HoldReport, RunningTask
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_workers import WorkerState
from tests.cell_rig import CellRig, ModelWorker

_TICK_S = 0.1
_TICKS_PER_HOLD = 5
_MS_PER_S = 1000.0
_LATE_SHARE = 0.2
_MAX_LATE_RATIO = 3.0
_MEMORY_MB_PER_CORE = 1024


class Kind(Struct, frozen=True):
    """Describes the jobs of one queue: ``tasks`` tasks of ``cores`` each.

    Durations are drawn around ``mean_s``. Callers estimate ``bias`` times the
    duration, with a log-normal error of standard deviation ``spread``.
    ``load`` is the share of all processors that the jobs keep in use.
    """

    name: str
    load: float
    mean_s: float
    cores: int = 1
    tasks: int = 1
    gang: bool = False
    priority: int = 0
    stretch: float = 2.0
    aim_s: float = 1.0
    bias: float = 1.0
    spread: float = 0.2

    def rate(self, cell_cores: int) -> float:
        """Return the jobs per second in a cell of ``cell_cores`` processors."""
        return self.load * cell_cores / (self.mean_s * self.cores * self.tasks)


class Shape(Struct, frozen=True):
    """Describes a cell and its traffic.

    ``workers`` holds tuples of (count, cores, slowness).
    """

    name: str
    workers: tuple[tuple[int, int, float], ...]
    kinds: tuple[Kind, ...]
    weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    # The traffic of each organisation, relative to the others.
    demands: tuple[float, ...] = (1.0, 1.0, 1.0)
    duration_s: float = 30.0
    seed: int = 1

    @property
    def cores(self) -> int:
        """Return the number of processors of all workers."""
        return sum(count * cores for count, cores, _ in self.workers)


class _VirtualWorker(ModelWorker):
    """A worker whose runs last as long as drawn for their job."""

    def __init__(self, worker_id: str, cores: int, slowness: float) -> None:
        super().__init__(
            worker_id,
            capacity=Resources(
                cores * 1000,
                cores * _MEMORY_MB_PER_CORE * 4,
                0,
            ),
        )
        self.slowness = slowness
        # Runs outside gangs: the start in seconds, and the core-seconds used.
        self.run_core_times: list[tuple[float, float]] = []
        self.ends_s: list[float] = []
        # The start and end of each run in seconds.
        self.spans_s_by_task: dict[str, tuple[float, float]] = {}

    def report(self, now: float, acked_through: int = 0) -> HoldReport:
        """Return the report, with the progress of the runs in percent."""
        listed = super().report(now, acked_through)
        running = tuple(
            RunningTask(each.task, each.run, '', self._percent(each.task, now))
            for each in listed.running
        )
        return msgspec.structs.replace(listed, running=running)

    def _percent(self, task: str, now: float) -> float:
        began_s, ends_s = self.spans_s_by_task.get(task, (now, now + 1))
        return max(0, min(99, 100 * (now - began_s) / (ends_s - began_s)))


class _Arrival(Struct):
    """A submitted job and its outcome."""

    job_id: str
    kind: Kind
    organisation: str
    at_s: float
    work_s: float
    ended_s: float = float('inf')
    state: str = ''

    @property
    def share(self) -> float:
        """Return the share of its value that the job earned.

        A late job earns a part of it; a failed or very late one earns none.
        """
        if self.state != 'completed':
            return 0
        objective_s = self.kind.stretch * self.work_s + self.kind.aim_s
        ratio = (self.ended_s - self.at_s) / objective_s
        if ratio <= 1:
            return 1
        return _LATE_SHARE if ratio <= _MAX_LATE_RATIO else 0


class CellSimulation:
    """Simulates a shape; the results are valid after :meth:`simulate`."""

    def __init__(self, shape: Shape) -> None:
        """Create a cell with idle workers."""
        self._shape = shape
        self._random = Random(shape.seed)
        self._workers = [
            _VirtualWorker(f'{cores}-{slowness}-{number}', cores, slowness)
            for count, cores, slowness in shape.workers
            for number in range(count)
        ]
        self._rig = CellRig(*self._workers, config=_config(shape))
        self._arrivals_by_id: dict[str, _Arrival] = {}
        self._open_by_id: dict[str, _Arrival] = {}
        self._begins_s = self._rig.now
        self._next_s_by_kind = {kind.name: 0.0 for kind in shape.kinds}
        self.arrivals: list[_Arrival] = []
        self.ends_by_kind: Counter[EndKind] = Counter()
        self.wasted_core_s = 0.0

    def simulate(self) -> 'CellSimulation':
        """Run until no job is open, for three times the duration at most."""
        ticks = 0
        duration_s = self._shape.duration_s
        passed_s = 0.0
        while passed_s < duration_s or (
            self._open_by_id and passed_s < 3 * duration_s
        ):
            ticks += 1
            self._rig.now += _TICK_S
            passed_s = self._rig.now - self._begins_s
            if passed_s < duration_s:
                self._submit_arrivals(passed_s)
            self._end_runs()
            if ticks % _TICKS_PER_HOLD == 0:
                self._rig.hold_all()
            self._rig.scheduler.tick(self._rig.now)
            self._rig.round()
            self._begin_runs()
            self._record_final_states()
        return self

    @property
    def open_count(self) -> int:
        """Return how many jobs have not ended."""
        return len(self._open_by_id)

    def mean_share_earned(self, **wanted: str) -> float:
        """Return the mean share of their value that jobs earned.

        ``kind`` and ``organisation`` restrict the jobs that count.
        """
        shares = [
            arrival.share
            for arrival in self.arrivals
            if wanted.get('kind', arrival.kind.name) == arrival.kind.name
            and wanted.get('organisation', arrival.organisation)
            == arrival.organisation
        ]
        return sum(shares) / len(shares)

    def slowest_workers_share(self, known_after: int) -> float:
        """Return the slowest workers' share of core time outside gangs.

        Only runs count that started after more than ``known_after`` runs of
        the slowest workers had ended.
        """
        slowest = max(worker.slowness for worker in self._workers)
        run_core_times = [
            (began_s, core_s, worker.slowness == slowest)
            for worker in self._workers
            for began_s, core_s in worker.run_core_times
        ]
        slow_ends_s = sorted(
            ends_s
            for worker in self._workers
            for ends_s in worker.ends_s
            if worker.slowness == slowest
        )
        if len(slow_ends_s) <= known_after:
            return 0
        known_s = slow_ends_s[known_after]
        later = [each for each in run_core_times if each[0] > known_s]
        core_s = sum(spent_s for _, spent_s, _ in later)
        slow_core_s = sum(spent_s for _, spent_s, is_slow in later if is_slow)
        return slow_core_s / core_s if core_s else 0

    def _submit_arrivals(self, passed_s: float) -> None:
        for kind in self._shape.kinds:
            rate = kind.rate(self._shape.cores)
            while self._next_s_by_kind[kind.name] <= passed_s:
                pause_s = self._random.expovariate(rate)
                self._next_s_by_kind[kind.name] += pause_s
                self._submit(kind)

    def _submit(self, kind: Kind) -> None:
        work_s = kind.mean_s * self._random.lognormvariate(0, 0.4)
        error = kind.bias * self._random.lognormvariate(0, kind.spread)
        names = [each.name for each in self._rig.config.organisations]
        organisation = self._random.choices(names, self._shape.demands)[0]
        demand = Resources(
            kind.cores * 1000,
            kind.cores * _MEMORY_MB_PER_CORE,
            0,
        )
        spec = StepSpec(
            kind.tasks,
            demand,
            work_s * error * _MS_PER_S,
            gang=kind.gang,
        )
        number = len(self.arrivals)
        arrival = _Arrival(
            format(number, '016x'),
            kind,
            organisation,
            self._rig.now,
            work_s,
        )
        self.arrivals.append(arrival)
        self._arrivals_by_id[arrival.job_id] = arrival
        self._open_by_id[arrival.job_id] = arrival
        self._rig.submit(
            arrival.job_id,
            StoredJob(
                kind.name,
                'transcripts',
                organisation,
                self._rig.store_ms,
                kind.priority,
                max_attempts=3,
                stretch=kind.stretch,
                aim_ms=kind.aim_s * _MS_PER_S,
                submission=JobSubmission('payload', (spec,)),
            ),
        )

    def _begin_runs(self) -> None:
        """Set the start and end of runs that started since the last call."""
        begun: defaultdict[str, list[tuple[_VirtualWorker, str]]]
        begun = defaultdict(list)
        for worker in self._workers:
            for task in worker.running_by_task:
                if task not in worker.spans_s_by_task:
                    begun[_job_id(task)].append((worker, task))
        for job_id, runs in begun.items():
            arrival = self._arrivals_by_id[job_id]
            slowest = max(runner.slowness for runner, _ in runs)
            for runner, begun_task in runs:
                is_gang = arrival.kind.gang
                slowness = slowest if is_gang else runner.slowness
                ends_s = self._rig.now + arrival.work_s * slowness
                span_s = (self._rig.now, ends_s)
                runner.spans_s_by_task[begun_task] = span_s

    def _end_runs(self) -> None:
        for worker in self._workers:
            worker_id = worker.entry.worker_id
            known = self._rig.scheduler.tracker.workers_by_id[worker_id]
            ended = [
                (task, kind)
                for task, span_s in worker.spans_s_by_task.items()
                if (kind := self._end_kind(known, worker, task, span_s[1]))
            ]
            for ended_task, how in ended:
                self._end_run(worker, ended_task, how)
            if ended:
                self._rig.hold(worker_id)

    def _end_kind(
        self,
        known: WorkerState,
        worker: _VirtualWorker,
        task: str,
        ends_s: float,
    ) -> EndKind | None:
        run = worker.running_by_task[task]
        if (task, run) in known.runs_to_stop:
            return EndKind.STOPPED
        return EndKind.DONE if ends_s <= self._rig.now else None

    def _end_run(
        self,
        worker: _VirtualWorker,
        task: str,
        kind: EndKind,
    ) -> None:
        began_s, _ = worker.spans_s_by_task.pop(task)
        worker.end(task, kind)
        self.ends_by_kind[kind] += 1
        job_kind = self._arrivals_by_id[_job_id(task)].kind
        core_s = (self._rig.now - began_s) * job_kind.cores
        if not job_kind.gang:
            worker.run_core_times.append((began_s, core_s))
            worker.ends_s.append(self._rig.now)
        if kind is EndKind.STOPPED:
            self.wasted_core_s += core_s

    def _record_final_states(self) -> None:
        for job_id, arrival in tuple(self._open_by_id.items()):
            row = self._rig.rows_by_key.get(f'{PROGRESS_PREFIX}{job_id}')
            if row is None:
                continue
            progress = msgspec.convert(row.value, JobProgress)
            if progress.state.is_final:
                arrival.state = str(progress.state)
                arrival.ended_s = self._rig.now
                self._open_by_id.pop(job_id)


def _job_id(task: str) -> str:
    return task.partition('.')[0]


def _config(shape: Shape) -> CellConfig:
    queues = tuple(
        QueueConfig(
            kind.name,
            'host',
            f'/{kind.name}/',
            'transcripts',
            priority=kind.priority,
            stretch=kind.stretch,
            aim_ms=kind.aim_s * _MS_PER_S,
        )
        for kind in shape.kinds
    )
    organisations = tuple(
        OrganisationConfig(f'org{number}', (f'key{number}',), weight)
        for number, weight in enumerate(shape.weights)
    )
    return CellConfig(1, queues, organisations)
