"""Workers that are kept apart for tasks that may crash them.

Pattern: a few tasks that crash every worker that starts them. Beside other
work, each such start destroys that work too, and all that was lost beside it
waits with it. The suspects of a step therefore run on a worker that has no
other run, and nothing is placed beside them until they have outlived the age at
which they crashed before.

Only a few workers are kept for such trials while the cell is busy, and only one
for suspects that are likely to take it down. Suspects that find none in time
share the worker with the fewest runs, where nothing more is placed, as far as
the limit on such workers allows. In a quiet service (:mod:`.quiet_services`) all idle
workers are kept. A gang is not kept apart, as it may need more workers than are
ever idle at a time; while a suspect of it runs, nothing more is placed on that
worker.

Innocent suspects, lost beside such a task, would each take a worker of their own
for as long as they had run before. So that workers are left for others, they
join a worker in trial whose runs have lived for a moment, unless their queue is
one whose starts crash workers.
"""

from collections.abc import Collection
from itertools import chain
from math import inf

from msgspec import Struct

from apricotlead.coordination.cell.advice_cache import AdviceCache
from apricotlead.coordination.cell.capacity_claims import ServiceLoad
from apricotlead.coordination.cell.crash_limits import CrashLimits
from apricotlead.coordination.cell.first_trials import FirstTrials
from apricotlead.coordination.cell.placement import (
    IN_TRIAL,
    WorkerHeadroom,
    has_trial,
    is_idle,
)
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.coordination.cell.trial_workers import (
    MOST_CRASHES_BESIDE,
    TrialWorkers,
    is_permitted,
)
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import TRIAL_S, WorkerState

# A suspect that has run for longer than before its crashes by this factor has
# been cleared.
_TRIAL_AGE_FACTOR = 1.5
# A service's workers that are kept for trials at a time, while it is busy, or
# half idle, or half idle for steps that have waited for long.
_MAX_BUSY_SHARE = 0.125
_MAX_IDLE_SHARE = 0.25
_MAX_WAITED_SHARE = 0.375
# A suspect waits for a worker of its own for at most this long while the
# service is busy, or half idle.
_MAX_BUSY_WAIT_S = 8.0
_MAX_IDLE_WAIT_S = 1.5


class _Trial(Struct):
    """A step that waits for a trial, and what its service allows."""

    step: StepState
    is_half_free: bool
    is_half_idle: bool
    is_quiet: bool
    # Whether it would take down what it runs beside.
    is_dangerous: bool
    # Whether a worker in a trial will become idle for the step.
    has_others: bool
    waited_s: float

    @property
    def has_waited(self) -> bool:
        """Return whether it has waited for long enough."""
        is_free = self.is_half_idle or self.is_quiet
        if is_free and not (self.is_dangerous and self.has_others):
            return self.waited_s > _MAX_IDLE_WAIT_S
        return self.waited_s > _MAX_BUSY_WAIT_S

    @property
    def may_share(self) -> bool:
        """Return whether it may run beside other work."""
        waits_for_others = (
            self.is_dangerous and self.has_others and self.is_quiet
        )
        return self.has_waited and not waits_for_others

    @property
    def may_drain(self) -> bool:
        """Return whether a worker in use may be kept until it is idle."""
        return not (self.is_quiet and self.has_others)

    def max_workers(self, worker_count: int) -> float:
        """Return how many of the workers may be kept at a time."""
        if self.is_quiet:
            return inf
        if self.is_half_idle and self.has_waited:
            share = _MAX_WAITED_SHARE if self.is_dangerous else 1
            return max(1, worker_count * share)
        if self.is_half_free:
            return max(1, worker_count * _MAX_IDLE_SHARE)
        if _is_likely_guilty(self.step):
            return 1
        return max(1, worker_count * _MAX_BUSY_SHARE)


class Isolation:
    """Decides in each placement round which workers are kept apart."""

    __slots__ = (
        '_advice',
        '_apart_workers_by_id',
        '_choices_by_step',
        '_crash_limits',
        '_first_trials',
        '_tracker',
        '_waiting_since_s_by_step',
    )

    def __init__(
        self,
        tracker: RunTracker,
        advice: AdviceCache,
        crash_limits: CrashLimits,
    ) -> None:
        """Keep no worker apart."""
        self._tracker = tracker
        self._advice = advice
        self._crash_limits = crash_limits
        self._first_trials = FirstTrials(tracker, crash_limits)
        self._apart_workers_by_id: dict[str, WorkerState] = {}
        # The workers kept in this round for the steps that wait for a trial.
        self._choices_by_step: dict[str, WorkerState] = {}
        self._waiting_since_s_by_step: dict[str, float] = {}

    def update(
        self,
        headrooms: Collection[WorkerHeadroom],
        load: ServiceLoad,
        quiet: Collection[str],
        now: float,
    ) -> None:
        """Choose the workers for the trials of this round.

        ``headrooms`` are those of the workers that accept work, and ``quiet``
        the services of which all idle workers may be kept.
        """
        self._choices_by_step.clear()
        first_steps = self._first_trials.update(quiet, now)
        has_suspects = bool(self._tracker.suspects_by_name)
        if not (first_steps or has_suspects or self._apart_workers_by_id):
            self._waiting_since_s_by_step.clear()
            return
        self._clear_suspects()
        kept_by_id = self._workers_on_trial()
        for busy in kept_by_id.values():
            busy.apart_for = IN_TRIAL
        workers = TrialWorkers(
            [headroom.worker for headroom in headrooms],
            kept_by_id,
            self._advice,
            now,
        )
        untried = [*self._untried_steps(now), *first_steps]
        for step in self._in_order(untried, workers):
            service = step.job.stored.service
            trial = _Trial(
                step,
                load.is_half_free(service),
                load.is_half_idle(service),
                service in quiet,
                self._is_dangerous(step),
                workers.has_others(step),
                self._waited_s(step, now),
            )
            self._choose_worker(trial, workers)
        self._apply(kept_by_id)

    def may_begin_trial(self, step: StepState) -> bool:
        """Return whether a step may be placed, or asked about, in this round.

        While it waits until the worker kept for it is idle, or for its turn to
        get one, the answer to a call for advice would come too early.
        """
        worker = self._choices_by_step.get(step.name)
        if worker is None:
            return False
        if is_idle(worker) or step.may_share_trial:
            return True
        return not is_permitted(step, worker, self._advice)

    def end_trials(self, now: float) -> None:
        """Clear the suspects that have lived, while no step waits."""
        if self._apart_workers_by_id:
            self._first_trials.end_trials((), now)
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
        """Return the workers that execute trials, or were lost with one."""
        tasks = chain(
            self._tracker.suspects_by_name.values(), self._first_trials.tasks()
        )
        workers = (
            self._tracker.workers_by_id.get(task.worker_id)
            for task in tasks
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
        for name in tuple(self._waiting_since_s_by_step):
            if not (name in steps_by_name or name in self._first_trials.names):
                self._waiting_since_s_by_step.pop(name)
        return list(steps_by_name.values())

    def _waited_s(self, step: StepState, now: float) -> float:
        """Return how long a step has waited for a trial."""
        return now - self._waiting_since_s_by_step.setdefault(step.name, now)

    def _in_order(
        self, steps: list[StepState], workers: TrialWorkers
    ) -> list[StepState]:
        """Return innocent suspects first, then steps that may begin now."""
        return sorted(
            steps,
            key=lambda step: (
                self._is_dangerous(step),
                not workers.has_ticket(step),
            ),
        )

    def _is_dangerous(self, step: StepState) -> bool:
        """Return whether a step is likely to take its worker down."""
        is_high = self._crash_limits.is_high(step.job.stored.queue)
        return is_high or _is_likely_guilty(step)

    def _choose_worker(self, trial: _Trial, workers: TrialWorkers) -> None:
        """Keep a worker for the next trial of a step, an idle one first.

        Any other is left to become idle, or shared if the step has waited for
        too long.
        """
        step = trial.step
        step.apart_for = f'trial of {step.name}'
        chosen = self._worker_in_trial(trial, workers)
        most = trial.max_workers(workers.worker_count(step))
        is_full = workers.trial_count(step) + 1 > most
        if chosen is None and not is_full:
            chosen = workers.idle_worker(step)
        step.may_share_trial = chosen is not None and not is_idle(chosen)
        if chosen is None and not is_full:
            chosen = self._busy_worker(trial, workers)
        if chosen is not None:
            workers.keep(chosen, step)
            self._choices_by_step[step.name] = chosen

    def _worker_in_trial(
        self, trial: _Trial, workers: TrialWorkers
    ) -> WorkerState | None:
        """Return a worker in trial that a step may join.

        Its suspects must have lived through their start at a former crash.
        Others are tried alone, as not every crash can be dated.
        """
        histories = [task.crashes for task in trial.step.tasks]
        most_crashes = max(history.total for history in histories)
        if trial.is_dangerous or most_crashes > MOST_CRASHES_BESIDE:
            return None
        if any(
            each.is_suspect and each.longest_age_s < TRIAL_S
            for each in histories
        ):
            return None
        return workers.worker_in_trial(trial.step)

    def _busy_worker(
        self, trial: _Trial, workers: TrialWorkers
    ) -> WorkerState | None:
        """Return a worker in use, to be shared or to become idle."""
        if trial.may_share:
            shared = workers.worker_to_share(trial.step)
            if shared is not None:
                trial.step.may_share_trial = True
                return shared
        return workers.worker_to_drain(trial.step) if trial.may_drain else None


def _is_likely_guilty(step: StepState) -> bool:
    """Return whether nothing else was to blame for a crash under a step."""
    return any(
        task.crashes.is_suspect and task.crashes.sole_crashes
        for task in step.tasks
    )


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
