"""Workers that are kept apart for tasks that may crash them.

Pattern: a few tasks that crash every worker that starts them. Beside other
work, each such start destroys that work too, and all that was lost beside it
waits with it. The suspects of a step therefore run on a worker that has no
other run, and nothing is placed beside them until they have outlived the age at
which they crashed before.

Only a few workers are kept for such trials while the cell is busy, and only one
for suspects that are likely to take it down. Suspects that find none in time
share the worker with the fewest runs, where nothing more is placed, so that
they do not wait for ever. A gang is not kept apart, as it may need more workers
than are ever idle at a time; while a suspect of it runs, nothing more is placed
on that worker.
"""

from collections.abc import Collection, Iterable, Mapping
from functools import partial

from apricotlead.coordination.cell.advice_cache import AdviceCache
from apricotlead.coordination.cell.capacity_claims import ServiceLoad
from apricotlead.coordination.cell.placement import (
    WorkerHeadroom,
    can_execute,
    fitting_task_count,
    has_trial,
)
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import TRIAL_S, WorkerState

# A worker that executes a suspect is kept apart from all steps.
_IN_TRIAL = 'in trial'
# A suspect that has run for longer than before its crashes by this factor has
# been cleared.
_TRIAL_AGE_FACTOR = 1.5
# A service's workers that are kept for trials at a time, while it is busy, or
# half idle.
_MAX_BUSY_SHARE = 0.125
_MAX_IDLE_SHARE = 0.25
# A suspect waits for a worker of its own for at most this long while the
# service is busy, or half idle.
_MAX_BUSY_WAIT_S = 8.0
_MAX_IDLE_WAIT_S = 1.5


class Isolation:
    """Decides in each placement round which workers are kept apart."""

    __slots__ = (
        '_advice',
        '_apart_workers_by_id',
        '_tracker',
        '_waiting_since_s_by_step',
    )

    def __init__(self, tracker: RunTracker, advice: AdviceCache) -> None:
        """Keep no worker apart."""
        self._tracker = tracker
        self._advice = advice
        self._apart_workers_by_id: dict[str, WorkerState] = {}
        self._waiting_since_s_by_step: dict[str, float] = {}

    def update(
        self,
        headrooms: Collection[WorkerHeadroom],
        load: ServiceLoad,
        now: float,
    ) -> None:
        """Choose the workers for the trials of this round.

        ``headrooms`` are those of the workers that accept work.
        """
        if not (self._tracker.suspects_by_name or self._apart_workers_by_id):
            return
        self._clear_suspects()
        kept_by_id = self._workers_on_trial()
        for busy in kept_by_id.values():
            busy.apart_for = _IN_TRIAL
        workers = [headroom.worker for headroom in headrooms]
        for step in self._untried_steps(now):
            is_half_idle = load.is_half_idle(step.job.stored.service)
            step.may_share_trial = self._has_waited(
                step, now, is_half_idle=is_half_idle
            )
            step.apart_for = f'trial of {step.name}'
            chosen = self._choose_worker(
                step, workers, kept_by_id, is_half_idle=is_half_idle
            )
            if chosen is not None:
                chosen.apart_for = step.apart_for
                kept_by_id[chosen.worker_id] = chosen
        self._apply(kept_by_id)

    def end_trials(self) -> None:
        """Clear the suspects that have lived, while no step waits."""
        if self._apart_workers_by_id:
            self._clear_suspects()
            self._apply(self._workers_on_trial())

    def _apply(self, kept_by_id: dict[str, WorkerState]) -> None:
        """Keep these workers apart, and return the others to other work."""
        for worker_id, former in self._apart_workers_by_id.items():
            if worker_id not in kept_by_id:
                former.apart_for = None
        self._apart_workers_by_id = kept_by_id

    def _clear_suspects(self) -> None:
        """Clear the suspects that have outlived their earlier crashes."""
        for task in tuple(self._tracker.suspects_by_name.values()):
            worker = self._tracker.workers_by_id.get(task.worker_id)
            if task.phase is TaskPhase.DONE or task.step.job.state.is_final:
                self._tracker.clear_suspect(task)
            elif worker is not None and _has_outlived(task, worker):
                self._tracker.note(
                    'suspect cleared',
                    task=task.name,
                    run=task.run,
                    worker=worker.worker_id,
                )
                self._tracker.clear_suspect(task)

    def _workers_on_trial(self) -> dict[str, WorkerState]:
        """Return the workers that execute suspects."""
        workers = (
            self._tracker.workers_by_id.get(task.worker_id)
            for task in self._tracker.suspects_by_name.values()
            if task.is_placed
        )
        return {
            worker.worker_id: worker for worker in workers if worker is not None
        }

    def _untried_steps(self, now: float) -> list[StepState]:
        """Return the ready steps whose suspects wait for a trial."""
        steps = (
            task.step
            for task in self._tracker.suspects_by_name.values()
            if task.phase is TaskPhase.WAITING and task.not_before_s <= now
        )
        steps_by_name = {
            step.name: step
            for step in steps
            if step.name in self._tracker.ready_steps_by_name
            and not step.spec.gang
            and not has_trial(step)
        }
        for name in self._waiting_since_s_by_step.keys() - steps_by_name:
            self._waiting_since_s_by_step.pop(name)
        return sorted(steps_by_name.values(), key=_is_likely_guilty)

    def _has_waited(
        self, step: StepState, now: float, *, is_half_idle: bool
    ) -> bool:
        """Return whether a step has waited for a trial long enough."""
        since_s = self._waiting_since_s_by_step.setdefault(step.name, now)
        limit_s = _MAX_IDLE_WAIT_S if is_half_idle else _MAX_BUSY_WAIT_S
        return now - since_s > limit_s

    def _choose_worker(
        self,
        step: StepState,
        workers: Iterable[WorkerState],
        kept_by_id: Mapping[str, WorkerState],
        *,
        is_half_idle: bool,
    ) -> WorkerState | None:
        """Choose a worker for the next trial of a step, an idle one first.

        Any other is left to become idle, or shared if the step has waited for
        too long.
        """
        own = [worker for worker in workers if can_execute(step, worker)]
        # Workers that a trial has taken down count until they are replaced.
        in_trial = sum(
            can_execute(step, worker) for worker in kept_by_id.values()
        )
        most = _max_trials(step, len(own) + in_trial, is_half_idle=is_half_idle)
        if in_trial + 1 > most:
            return None
        possible = (
            worker
            for worker in own
            if worker.worker_id not in kept_by_id
            and self._trial_count(step, worker)
        )
        order = _sharing_order if step.may_share_trial else _trial_order
        return min(possible, key=partial(order, step), default=None)

    def _trial_count(self, step: StepState, worker: WorkerState) -> int:
        """Return how many tasks of a step fit on a worker once it is idle."""
        advice = self._advice.steps_by_name.get(step.name)
        if advice and worker.worker_id in advice.ineligible_ids:
            return 0
        room = worker.idle_capacity
        if step.may_share_trial:
            room = worker.entry.capacity - worker.used
        return fitting_task_count(step, room)


def _is_likely_guilty(step: StepState) -> bool:
    """Return whether nothing else was to blame for a crash under a step."""
    return any(
        task.crashes.is_suspect and task.crashes.sole_crashes
        for task in step.tasks
    )


def _max_trials(
    step: StepState, worker_count: int, *, is_half_idle: bool
) -> float:
    """Return how many workers may be kept for trials at a time."""
    if not is_half_idle:
        if _is_likely_guilty(step):
            return 1
        return max(1, worker_count * _MAX_BUSY_SHARE)
    if step.may_share_trial:
        return worker_count
    return max(1, worker_count * _MAX_IDLE_SHARE)


def _trial_order(
    step: StepState, worker: WorkerState
) -> tuple[bool, bool, int]:
    """Return a sort key: idle workers, those kept before, the least used."""
    return (
        bool(worker.tasks_by_name),
        worker.apart_for != step.apart_for,
        worker.used.cpu_millis,
    )


def _sharing_order(_step: StepState, worker: WorkerState) -> tuple[int, int]:
    """Return a sort key: the workers with the fewest runs to lose."""
    return len(worker.tasks_by_name), worker.used.cpu_millis


def _has_outlived(task: TaskState, worker: WorkerState) -> bool:
    """Return whether a suspect has worked for longer than before its crashes.

    The members of a gang wait until all of them are there.
    """
    members = task.step.tasks if task.step.spec.gang else [task]
    if worker.is_contact_lost or not all(
        member.phase is TaskPhase.RUNNING for member in members
    ):
        return False
    began_s = max(member.started_s for member in members)
    trial_s = max(TRIAL_S, task.crashes.longest_age_s * _TRIAL_AGE_FACTOR)
    # The worker has to have answered since.
    return worker.lease.last_contact_s - began_s > trial_s
