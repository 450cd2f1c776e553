"""The workers from which one placement round chooses those for trials.

Pattern: hundreds of suspects in a large cell. The workers are grouped once for
each service and label, and a step looks only at those that are not kept yet, the
idle ones first.

Pattern: queues of which most workers may not run a step. A worker that was kept
before it was known whether it may run the step mostly turned out to be useless,
so the workers for which the step has a valid ticket come first, then those that
may run it, and those that advice has ruled out are left to other steps.
"""

from collections.abc import Collection, Iterable

from apricotlead.coordination.cell.advice_cache import AdviceCache
from apricotlead.coordination.cell.placement import (
    can_execute,
    fitting_task_count,
    is_idle,
)
from apricotlead.state.cell_jobs import StepState, TaskPhase
from apricotlead.state.cell_workers import TRIAL_S, WorkerState

# A task with more crashes is next given up, so that nothing may crash beside it.
MOST_CRASHES_BESIDE = 3
_PoolKey = tuple[str, str]


class _Pool:
    """The workers of one service with one label."""

    __slots__ = ('busy_by_id', 'idle_by_id', 'survivors_by_id', 'trial_count')

    def __init__(self, trial_count: int) -> None:
        """Start without workers that may be kept."""
        self.idle_by_id: dict[str, WorkerState] = {}
        self.busy_by_id: dict[str, WorkerState] = {}
        self.survivors_by_id: dict[str, WorkerState] = {}
        # Workers that a trial has taken down count until they are replaced.
        self.trial_count = trial_count

    def add(self, worker: WorkerState) -> None:
        """Add a worker that may be kept."""
        group = self.idle_by_id if is_idle(worker) else self.busy_by_id
        group[worker.worker_id] = worker

    @property
    def worker_count(self) -> int:
        """Return the number of workers, those in trials included."""
        return self.trial_count + len(self.idle_by_id) + len(self.busy_by_id)


class TrialWorkers:
    """The workers that are kept, and those that may be, in one round."""

    __slots__ = ('_advice', '_now', '_pools_by_key', '_workers', 'kept_by_id')

    def __init__(
        self,
        workers: Collection[WorkerState],
        kept_by_id: dict[str, WorkerState],
        advice: AdviceCache,
        now: float,
    ) -> None:
        """Choose among ``workers``, which accept work.

        ``kept_by_id`` are those that execute a trial, or were lost with one.
        """
        self.kept_by_id = kept_by_id
        self._workers = workers
        self._advice = advice
        self._now = now
        self._pools_by_key: dict[_PoolKey, _Pool] = {}

    def trial_count(self, step: StepState) -> int:
        """Return how many of the workers of a step are kept for trials."""
        return self._pool(step).trial_count

    def has_others(self, step: StepState) -> bool:
        """Return whether a worker in a trial will become idle for a step.

        One with long-running work does not, and one that advice has ruled out
        is of no use.
        """
        ruled_out = self._ruled_out(step)
        return any(
            worker.worker_id not in ruled_out
            and worker.idle_capacity == worker.entry.capacity
            and can_execute(step, worker)
            for worker in self.kept_by_id.values()
        )

    def worker_count(self, step: StepState) -> int:
        """Return how many workers a step has, those in trials included."""
        return self._pool(step).worker_count

    def keep(self, worker: WorkerState, step: StepState) -> None:
        """Keep a worker for the trial of a step."""
        worker.apart_for = step.apart_for
        self.kept_by_id[worker.worker_id] = worker
        for pool in self._pools_by_key.values():
            is_idle = pool.idle_by_id.pop(worker.worker_id, None) is not None
            is_busy = pool.busy_by_id.pop(worker.worker_id, None) is not None
            pool.trial_count += is_idle or is_busy
            pool.survivors_by_id.pop(worker.worker_id, None)

    def has_ticket(self, step: StepState) -> bool:
        """Return whether a step could begin at once on an idle worker."""
        if step.job.stored.advice is None:
            return True
        if step.name not in self._advice.steps_by_name:
            return False
        idle_by_id = self._pool(step).idle_by_id
        return any(
            worker_id in idle_by_id
            for worker_id in self._advice.ticketed_workers(step.name, self._now)
        )

    def idle_worker(self, step: StepState) -> WorkerState | None:
        """Return the best idle worker for the trial of a step."""
        return self._best(step, self._pool(step).idle_by_id.values())

    def worker_in_trial(self, step: StepState) -> WorkerState | None:
        """Return a worker with room beside trials that have begun well."""
        ruled_out = self._ruled_out(step)
        return min(
            (
                worker
                for worker in self._pool(step).survivors_by_id.values()
                if worker.worker_id not in ruled_out
                and is_permitted(step, worker, self._advice)
                and fitting_task_count(
                    step, worker.entry.capacity - worker.used
                )
            ),
            key=lambda worker: -worker.used.cpu_millis,
            default=None,
        )

    def worker_to_drain(self, step: StepState) -> WorkerState | None:
        """Return the worker that is to become idle for the trial of a step."""
        return self._best(step, self._pool(step).busy_by_id.values())

    def worker_to_share(self, step: StepState) -> WorkerState | None:
        """Return the worker with room and the fewest runs to lose."""
        ruled_out = self._ruled_out(step)
        return min(
            (
                worker
                for worker in self._pool(step).busy_by_id.values()
                if worker.worker_id not in ruled_out
                and all(
                    task.crashes.total <= MOST_CRASHES_BESIDE
                    for task in worker.tasks_by_name.values()
                )
                and fitting_task_count(
                    step, worker.entry.capacity - worker.used
                )
            ),
            key=lambda worker: (
                len(worker.tasks_by_name),
                worker.used.cpu_millis,
            ),
            default=None,
        )

    def _best(
        self, step: StepState, workers: Iterable[WorkerState]
    ) -> WorkerState | None:
        """Return the best worker for a step: with a ticket, or permitted."""
        ruled_out = self._ruled_out(step)
        ticketed: Collection[str] = ()
        if step.name in self._advice.steps_by_name:
            ticketed = self._advice.ticketed_workers(step.name, self._now)
        return min(
            (
                worker
                for worker in workers
                if worker.worker_id not in ruled_out
                and fitting_task_count(step, worker.idle_capacity)
            ),
            key=lambda worker: (
                worker.worker_id not in ticketed,
                not is_permitted(step, worker, self._advice),
                worker.apart_for != step.apart_for,
                worker.used.cpu_millis,
            ),
            default=None,
        )

    def _ruled_out(self, step: StepState) -> Collection[str]:
        advice = self._advice.steps_by_name.get(step.name)
        return advice.ineligible_ids if advice else ()

    def _pool(self, step: StepState) -> _Pool:
        key = (step.job.stored.service, step.spec.required_label)
        pool = self._pools_by_key.get(key)
        if pool is None:
            pool = self._new_pool(step)
            self._pools_by_key[key] = pool
        return pool

    def _new_pool(self, step: StepState) -> _Pool:
        kept = [
            worker
            for worker in self.kept_by_id.values()
            if can_execute(step, worker)
        ]
        pool = _Pool(len(kept))
        for worker in self._workers:
            if not can_execute(step, worker):
                continue
            if worker.worker_id not in self.kept_by_id:
                pool.add(worker)
            elif _has_begun_well(worker, self._now):
                pool.survivors_by_id[worker.worker_id] = worker
        return pool


def is_permitted(
    step: StepState, worker: WorkerState, advice: AdviceCache
) -> bool:
    """Return whether it is known that a worker may run a step."""
    if step.job.stored.advice is None:
        return True
    known = advice.steps_by_name.get(step.name)
    return bool(known and worker.worker_id in known.tickets_by_worker)


def _has_begun_well(worker: WorkerState, now: float) -> bool:
    """Return whether all runs of a worker have lived through their start.

    If it crashes under another run that begins there, that run is to blame.
    """
    if worker.is_contact_lost or worker.strays_by_run:
        return False
    return all(
        task.phase is TaskPhase.RUNNING
        and now - task.started_s > TRIAL_S
        and task.crashes.total <= MOST_CRASHES_BESIDE
        for task in worker.tasks_by_name.values()
    )
