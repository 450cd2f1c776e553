"""Checks that runnable work does run, independently of the scheduler's state.

A job violates the rule if none of its tasks runs for three seconds although

- all steps that one of its steps depends on are done,
- workers that may run that step have room for it twice over,
- its organisation uses less than half of its limit, and
- less than half of the workers' processors are in use.

Room, limits and running tasks are counted on the model workers. Only whether
a step is done comes from the scheduler. Each long-running task is checked like
a job of its own, whether or not other tasks of its job run.
"""

from collections.abc import Iterator

from msgspec import Struct

from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.resources import Resources
from tests.faulty.cell import FaultyCell
from tests.faulty.timeline import Process
from tests.faulty.workers import FaultyWorker

_MAX_IDLE_S = 3.0
_CHECK_INTERVAL_S = 0.1


class Violation(Struct):
    """A job or long-running task that could run and did not."""

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
        # By job id, or by the name of a long-running task.
        self.violations_by_name: dict[str, Violation] = {}
        # The longest time for which any job could run and did not, in seconds.
        self.longest_idle_s = 0.0

    def watch(self) -> Process:
        """Check the cell at regular intervals."""
        yield max(0.0, self._active_from_s - self._cell.now)
        while True:
            self._check()
            yield _CHECK_INTERVAL_S

    def _check(self) -> None:
        now = self._cell.now
        runnable_names = (
            set(self._idle_names()) if self._is_half_free() else set()
        )
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

    def _idle_names(self) -> Iterator[str]:
        """Return the jobs and long-running tasks that could run and do not."""
        running = {
            name
            for worker in self._cell.live_workers
            for name in worker.runs_by_task
        }
        busy_ids = {name.partition('.')[0] for name in running}
        for job_id in self._cell.open_jobs():
            idle_names = self._long_running_tasks(job_id) - running
            if not idle_names and job_id not in busy_ids:
                idle_names = {job_id}
            if idle_names and self._is_runnable(job_id):
                yield from idle_names

    def _long_running_tasks(self, job_id: str) -> set[str]:
        steps = self._cell.jobs_by_id[job_id].submission.steps
        return {
            f'{job_id}.0.{index}.{number}'
            for index, spec in enumerate(steps)
            if spec.long_running
            for number in range(spec.task_count)
        }

    def _is_half_free(self) -> bool:
        live = self._cell.live_workers
        used = sum(worker.used.cpu_millis for worker in live)
        total = sum(worker.entry.capacity.cpu_millis for worker in live)
        return used * 2 < total

    def _is_runnable(self, job_id: str) -> bool:
        """Return whether there is room for a step that waits for no other."""
        stored = self._cell.jobs_by_id[job_id]
        done = self._done_steps(job_id)
        return self._is_within_limit(stored.organisation) and any(
            self._has_room(f'{job_id}.0.{index}', spec)
            and self._may_exceed(stored.organisation, spec)
            for index, spec in enumerate(stored.submission.steps)
            if index not in done and done.issuperset(spec.after)
        )

    def _done_steps(self, job_id: str) -> set[int]:
        job = self._cell.scheduler.tracker.jobs_by_id.get(job_id)
        steps = () if job is None else job.steps_by_key.values()
        return {step.index for step in steps if step.is_done}

    def _has_room(self, step: str, spec: StepSpec) -> bool:
        """Return whether there is room for a gang twice or for two tasks.

        Only usable workers count that may run the step.
        """
        slot_count = 0
        for worker in self._cell.live_workers:
            entry = worker.entry
            may_run = not spec.required_label or (
                spec.required_label in entry.labels
            )
            is_permitted = self._cell.is_permitted(step, entry.worker_id)
            if worker.is_usable and may_run and is_permitted:
                most = spec.max_per_worker
                slot_count += self._slot_count(worker, spec.demand, most)
        needed = 2 * (spec.task_count if spec.gang else 1)
        return slot_count >= needed

    def _is_within_limit(self, organisation: str) -> bool:
        """Return whether an organisation uses less than half of its limit."""
        limit = self._cell.limit
        used = self._used_by(organisation)
        return not limit.cpu_millis or used.cpu_millis * 2 < limit.cpu_millis

    def _may_exceed(self, organisation: str, spec: StepSpec) -> bool:
        """Return whether all members of a gang but one fit under the limit.

        The platform allows one task beyond an organisation's limit, no more.
        """
        limit = self._cell.limit
        if not spec.gang or not limit.cpu_millis:
            return True
        total = self._used_by(organisation)
        for _ in range(spec.task_count - 1):
            total = total + spec.demand
        return total.fits_in(limit)

    def _used_by(self, organisation: str) -> Resources:
        return sum(
            (
                run.profile.demand
                for worker in self._cell.live_workers
                for run in worker.runs_by_task.values()
                if run.profile.organisation == organisation
            ),
            Resources(),
        )

    def _slot_count(
        self,
        worker: FaultyWorker,
        demand: Resources,
        most: int,
    ) -> int:
        total, used = worker.entry.capacity, worker.used
        count = min(
            (total.cpu_millis - used.cpu_millis) // demand.cpu_millis,
            (total.memory_mb - used.memory_mb) // demand.memory_mb,
        )
        return min(count, most) if most else count

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
