"""The rule that work which could run does run, judged from outside.

A job breaks it when for three seconds nothing of it runs while a task's turn
has come, there is room for it twice over on workers that may run it, its
organisation uses less than half of its limit, and less than half of the
service's room is in use. What the scheduler believes does not count.
"""

from msgspec import Struct

from apricotlead.protocol.resources import Resources
from tests.faulty.cell import FaultyCell
from tests.faulty.timeline import Process
from tests.faulty.workers import FaultyWorker

_LASTS_S = 3.0
_LOOKS_EACH_S = 0.1


class Breach(Struct):
    """A job that could run and did not."""

    job_id: str
    since_s: float
    at_s: float
    why: str


class ProgressRule:
    """Looks at a cell from the moment when it has been calm for a while."""

    def __init__(self, cell: FaultyCell, begins_s: float) -> None:
        """Judge ``cell`` from ``begins_s`` on."""
        self._cell = cell
        self._begins_s = begins_s
        self._since_s_by_job: dict[str, float] = {}
        self.breaches_by_job: dict[str, Breach] = {}
        # The longest time for which any job could run and did not.
        self.longest_s = 0.0

    def watch(self) -> Process:
        """Look again and again."""
        yield max(0.0, self._begins_s - self._cell.now)
        while True:
            self._look()
            yield _LOOKS_EACH_S

    def _look(self) -> None:
        now = self._cell.now
        could_run = set()
        if self._is_half_free():
            running = {
                name.partition('.')[0]
                for worker in self._cell.live_workers
                for name in worker.runs_by_task
            }
            could_run = {
                job_id
                for job_id in self._cell.open_jobs()
                if job_id not in running and self._could_run(job_id)
            }
        for job_id in tuple(self._since_s_by_job):
            if job_id not in could_run:
                self._since_s_by_job.pop(job_id)
        for waiting_id in could_run:
            since_s = self._since_s_by_job.setdefault(waiting_id, now)
            self.longest_s = max(self.longest_s, now - since_s)
            if now - since_s >= _LASTS_S:
                self.breaches_by_job[waiting_id] = Breach(
                    waiting_id,
                    since_s,
                    now,
                    self._describe(waiting_id),
                )

    def _is_half_free(self) -> bool:
        live = self._cell.live_workers
        used = sum(worker.used.cpu_millis for worker in live)
        whole = sum(worker.entry.capacity.cpu_millis for worker in live)
        return used * 2 < whole

    def _could_run(self, job_id: str) -> bool:
        stored = self._cell.jobs_by_id[job_id]
        job = self._cell.scheduler.book.jobs_by_id.get(job_id)
        for index, spec in enumerate(stored.submission.steps):
            step = None if job is None else job.steps_by_key[0, index]
            if step is not None and step.is_done:
                continue
            needed = spec.task_count if spec.gang else 1
            places = sum(
                self._places(worker, spec.demand, spec.max_per_worker)
                for worker in self._cell.live_workers
                if worker.is_sound
                and self._cell.is_good(
                    f'{job_id}.0.{index}',
                    worker.entry.worker_id,
                )
            )
            return places >= 2 * needed and self._is_within_limit(
                stored.organisation,
            )
        return False

    def _is_within_limit(self, organisation: str) -> bool:
        limit = self._cell.shape.limit
        used = sum(
            (
                run.truth.demand
                for worker in self._cell.live_workers
                for run in worker.runs_by_task.values()
                if run.truth.organisation == organisation
            ),
            Resources(),
        )
        return not limit.cpu_millis or used.cpu_millis * 2 < limit.cpu_millis

    def _places(
        self,
        worker: FaultyWorker,
        demand: Resources,
        most: int,
    ) -> int:
        whole, used = worker.entry.capacity, worker.used
        count = min(
            (whole.cpu_millis - used.cpu_millis) // demand.cpu_millis,
            (whole.memory_mb - used.memory_mb) // demand.memory_mb,
        )
        return min(count, most) if most else count

    def _describe(self, job_id: str) -> str:
        """Return what the scheduler believes of a job, for the report."""
        job = self._cell.scheduler.book.jobs_by_id.get(job_id)
        if job is None:
            return 'unknown to the scheduler'
        told = []
        for step in job.steps_by_key.values():
            if step.is_done:
                continue
            phases = [task.phase.value for task in step.tasks]
            counts = {phase: phases.count(phase) for phase in phases}
            told.append((step.name, counts, step.waits.reason))
        return str(told)
