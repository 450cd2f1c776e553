"""Checks that runnable work does run, independently of the scheduler's state.

A step, a task of a long-running step, or a job violates the rule if for three
seconds nothing of it runs although it could run, as defined in
:mod:`apricotlead.coordination.cell.runnable`.

Room, limits and running tasks are counted on the model workers. Only whether
a step is done comes from the scheduler.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

from msgspec import Struct

from apricotlead.coordination.cell.runnable import (
    Need,
    ServiceRoom,
    WorkerRoom,
    idle_units,
)
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.resources import Resources
from tests.faulty.cell import FaultyCell
from tests.faulty.timeline import Process

_MAX_IDLE_S = 3.0
_CHECK_INTERVAL_S = 0.1


class Violation(Struct):
    """A job, step or long-running task that could run and did not."""

    name: str
    since_s: float
    at_s: float
    why: str


class ProgressRule:
    """Checks a cell from a given time on, after traffic and faults ended."""

    def __init__(self, cell: FaultyCell, active_from_s: float) -> None:
        """Check ``cell`` from ``active_from_s`` on."""
        self._cell = cell
        self._active_from_s = active_from_s
        self._since_s_by_name: dict[str, float] = {}
        # By job id, or by the name of the step or long-running task.
        self.violations_by_name: dict[str, Violation] = {}
        # The longest time for which any work could run and did not, in seconds.
        self.longest_idle_s = 0.0

    def watch(self) -> Process:
        """Check the cell at regular intervals."""
        yield max(0.0, self._active_from_s - self._cell.now)
        while True:
            self._check()
            yield _CHECK_INTERVAL_S

    def _check(self) -> None:
        now = self._cell.now
        runnable_names = set(self._runnable_units())
        for name in tuple(self._since_s_by_name):
            if name not in runnable_names:
                self._since_s_by_name.pop(name)
        for waiting in runnable_names:
            since_s = self._since_s_by_name.setdefault(waiting, now)
            self.longest_idle_s = max(self.longest_idle_s, now - since_s)
            if now - since_s >= _MAX_IDLE_S:
                self.violations_by_name[waiting] = Violation(
                    waiting,
                    since_s,
                    now,
                    self._describe(waiting.partition('.')[0]),
                )

    def _runnable_units(self) -> Iterator[str]:
        """Return the units of work that could run and do not."""
        room = self._room()
        usage_by_organisation = self._usage_by_organisation()
        tasks_by_step = self._running_tasks_by_step()
        busy_ids = {step.partition('.')[0] for step in tasks_by_step}
        for job_id in self._cell.open_jobs():
            usage = usage_by_organisation[
                self._cell.jobs_by_id[job_id].organisation
            ]
            idle_ids = () if job_id in busy_ids else (job_id,)
            for step, spec in self._open_steps(job_id):
                running_tasks = tasks_by_step.get(step, ())
                units = idle_units(step, spec, running_tasks)
                if units and self._may_start(step, spec, usage, room):
                    yield from (*units, *idle_ids)

    def _may_start(
        self,
        step: str,
        spec: StepSpec,
        usage: Resources,
        room: ServiceRoom,
    ) -> bool:
        need = Need.from_spec(spec)
        return (
            room.has_spare(spec)
            and need.is_within_limit(usage, self._cell.limit)
            and room.fits(
                need,
                self._forbidden_workers(step),
                self._held_counts(step, spec),
            )
        )

    def _open_steps(self, job_id: str) -> Iterator[tuple[str, StepSpec]]:
        """Return the steps that are not done and wait for no other."""
        done = self._done_steps(job_id)
        steps = self._cell.jobs_by_id[job_id].submission.steps
        for index, spec in enumerate(steps):
            if index not in done and done.issuperset(spec.after):
                yield f'{job_id}.0.{index}', spec

    def _done_steps(self, job_id: str) -> set[int]:
        job = self._cell.scheduler.tracker.jobs_by_id.get(job_id)
        steps = () if job is None else job.steps_by_key.values()
        return {step.index for step in steps if step.is_done}

    def _running_tasks_by_step(self) -> defaultdict[str, set[str]]:
        tasks_by_step: defaultdict[str, set[str]] = defaultdict(set)
        for worker in self._cell.live_workers:
            for name, run in worker.runs_by_task.items():
                tasks_by_step[run.profile.step].add(name)
        return tasks_by_step

    def _held_counts(self, step: str, spec: StepSpec) -> Counter[str]:
        """Return how many tasks of a step with ``max_per_worker`` run where."""
        if not spec.max_per_worker:
            return Counter()
        return Counter(
            worker.entry.worker_id
            for worker in self._cell.live_workers
            for run in worker.runs_by_task.values()
            if run.profile.step == step
        )

    def _forbidden_workers(self, step: str) -> set[str]:
        worker_ids = (
            worker.entry.worker_id for worker in self._cell.live_workers
        )
        return {
            worker_id
            for worker_id in worker_ids
            if not self._cell.is_permitted(step, worker_id)
        }

    def _room(self) -> ServiceRoom:
        live = self._cell.live_workers
        return ServiceRoom(
            (
                WorkerRoom(
                    worker.entry.worker_id,
                    worker.entry.capacity - worker.used,
                    worker.entry.labels,
                )
                for worker in live
                if worker.is_usable
            ),
            sum(worker.used.cpu_millis for worker in live),
            sum(worker.entry.capacity.cpu_millis for worker in live),
        )

    def _usage_by_organisation(self) -> defaultdict[str, Resources]:
        usage: defaultdict[str, Resources] = defaultdict(Resources)
        for worker in self._cell.live_workers:
            for run in worker.runs_by_task.values():
                organisation = run.profile.organisation
                usage[organisation] = usage[organisation] + run.profile.demand
        return usage

    def _describe(self, job_id: str) -> str:
        """Return the scheduler's view of a job, for the failure message."""
        job = self._cell.scheduler.tracker.jobs_by_id.get(job_id)
        if job is None:
            return 'unknown to the scheduler'
        descriptions = []
        for step in job.steps_by_key.values():
            if step.is_done:
                continue
            phases = [task.phase.value for task in step.tasks]
            counts = {phase: phases.count(phase) for phase in phases}
            descriptions.append((step.name, counts, step.waits.reason))
        return str(descriptions)
