"""One round of placement over all waiting steps."""

from collections import Counter
from collections.abc import Collection

from apricotlead.coordination.cell.advice_cache import AdviceCache, AdviceCall
from apricotlead.coordination.cell.advice_planning import AdvicePlanner
from apricotlead.coordination.cell.crash_limits import CrashLimits
from apricotlead.coordination.cell.gang_reservations import GangReservations
from apricotlead.coordination.cell.isolation import Isolation
from apricotlead.coordination.cell.limits import OrganisationLimits
from apricotlead.coordination.cell.order import (
    is_urgent,
    misses_cutoff,
    order_key,
)
from apricotlead.coordination.cell.placement import (
    Assignment,
    assign_tasks,
    waiting_tasks,
)
from apricotlead.coordination.cell.placement_round import PlacementRound
from apricotlead.coordination.cell.quiet_services import quiet_services
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.state.cell_jobs import StepState, TaskState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.wait_times import WaitReason

# Steps that wait for these reasons were cheap to try.
_CHEAP_REASONS = frozenset(
    (
        WaitReason.GANG_STOPPING,
        WaitReason.ORGANISATION_LIMIT,
        WaitReason.TRIAL,
        WaitReason.CRASHES,
    )
)
# Gangs that wait for these reasons reserve workers until they fit.
_RESERVING_REASONS = frozenset(
    (WaitReason.NO_CAPACITY, WaitReason.EARLIER_STEPS)
)
# Once more steps of a service than this could not be placed in a round, the
# others are not tried. While more than half of the service is free all are
# tried, as the steps in front may never fit.
_MAX_BLOCKED_STEPS = 60


class Planner:
    """Assigns waiting tasks to workers within limits and advice."""

    __slots__ = (
        '_advice',
        '_advice_planner',
        '_crash_limits',
        '_isolation',
        '_limits',
        '_reservations',
        '_tracker',
    )

    def __init__(self, tracker: RunTracker, advice: AdviceCache) -> None:
        """Start without limits."""
        self._tracker = tracker
        self._advice = advice
        self._advice_planner = AdvicePlanner(advice)
        self._crash_limits = CrashLimits(tracker)
        self._isolation = Isolation(tracker, advice, self._crash_limits)
        self._reservations = GangReservations()
        self._limits = OrganisationLimits(tracker)

    def set_view(self, view: CellConfigView) -> None:
        """Apply the limits of a new configuration."""
        self._limits.set_view(view)

    def plan(self, now: float, askers: list[str]) -> list[AdviceCall]:
        """Assign waiting tasks to workers; return the advice calls to send."""
        if not self._tracker.ready_steps_by_name:
            self._isolation.end_trials(now)
            return []
        current_round = self._begin_round(now, askers)
        self._begin_trials(current_round)
        self._reservations.begin(current_round.headrooms)
        blocked: Counter[str] = Counter()
        steps = sorted(
            self._tracker.ready_steps_by_name.values(),
            key=lambda step: order_key(
                step, now, self._tracker.estimate_errors
            ),
        )
        for step in steps:
            reason: WaitReason | None = WaitReason.ROUND_ENDED
            service = step.job.stored.service
            may_try = blocked[service] <= _MAX_BLOCKED_STEPS
            if may_try or current_round.load.is_half_free(service):
                waiting_before = step.waiting_count
                reason = self._place_waiting(step, current_round)
                is_blocked = step.waiting_count == waiting_before
                blocked[service] += is_blocked and reason not in _CHEAP_REASONS
            step.waits.note(reason, now)
        return current_round.calls

    def _begin_trials(self, current_round: PlacementRound) -> None:
        """Choose the workers for steps that may crash them."""
        load, now = current_round.load, current_round.now
        self._crash_limits.begin()
        quiet: Collection[str] = ()
        if self._crash_limits.is_any_high or self._tracker.suspects_by_name:
            quiet = quiet_services(self._tracker, load, now)
        self._isolation.update(current_round.headrooms, load, quiet, now)

    def _begin_round(self, now: float, askers: list[str]) -> PlacementRound:
        usable: list[WorkerState] = []
        absent: list[WorkerState] = []
        for worker in self._tracker.workers_by_id.values():
            if worker.takes_work(now):
                usable.append(worker)
            elif worker.is_listed and not worker.entry.draining:
                absent.append(worker)
        errors = self._tracker.estimate_errors
        return PlacementRound(usable, askers, now, errors, absent)

    def _place_waiting(
        self,
        step: StepState,
        current_round: PlacementRound,
    ) -> WaitReason | None:
        """Place the tasks that fit; return what the others wait for."""
        waiting = waiting_tasks(step, current_round.now)
        if not waiting:
            return (
                WaitReason.TRIAL
                if step.has_suspects
                else WaitReason.GANG_STOPPING
            )
        reason = self._crash_reason(step, current_round.now)
        if reason is not None:
            return reason
        tasks = self._limits.within_limit(step, waiting)
        if not tasks:
            return WaitReason.ORGANISATION_LIMIT
        return self._place_step(step, tasks, current_round)

    def _crash_reason(self, step: StepState, now: float) -> WaitReason | None:
        """Return why a step that may crash its worker may not begin."""
        if step.apart_for is not None:
            if self._isolation.may_begin_trial(step):
                return None
            return WaitReason.TRIAL if step.has_suspects else WaitReason.CRASHES
        if self._crash_limits.is_held_back(step, now):
            return WaitReason.CRASHES
        return None

    def _place_step(
        self,
        step: StepState,
        tasks: list[TaskState],
        current_round: PlacementRound,
    ) -> WaitReason | None:
        """Place the tasks that fit and request advice for the others."""
        assignments = assign_tasks(
            step,
            tasks,
            self._advice_planner.headrooms(step, current_round),
            max_duration_s=current_round.max_duration_s(step),
            is_urgent=is_urgent(
                step,
                current_round.now,
                self._tracker.estimate_errors,
            ),
        )
        if assignments:
            self._crash_limits.note_start(step, current_round.now)
        for assignment in assignments:
            self._place(assignment, current_round)
        if len(assignments) == len(tasks):
            return (
                None
                if not step.waiting_count
                else WaitReason.ORGANISATION_LIMIT
            )
        reason = self._advice_planner.ask(
            step, tasks[len(assignments) :], current_round
        )
        if step.apart_for is not None and reason is WaitReason.NO_CAPACITY:
            return WaitReason.TRIAL
        if step.spec.gang:
            self._reserve_for_gang(step, current_round, reason)
        return reason

    def _reserve_for_gang(
        self,
        step: StepState,
        current_round: PlacementRound,
        reason: WaitReason,
    ) -> None:
        """Reserve workers for a gang that can still end before its cutoff."""
        errors = self._tracker.estimate_errors
        is_too_late = misses_cutoff(step, current_round.now, errors)
        if is_too_late or not step.job.is_within_weight:
            return
        headrooms = self._advice_planner.eligible_headrooms(step, current_round)
        self._reservations.record_task_demand(step, headrooms)
        is_busy = not current_round.load.is_half_free(step.job.stored.service)
        if reason in _RESERVING_REASONS and is_busy:
            self._reservations.reserve(step, headrooms, current_round.now)

    def _place(
        self, assignment: Assignment, current_round: PlacementRound
    ) -> None:
        current_round.take(assignment)
        now = current_round.now
        task, headroom = assignment
        worker_id = headroom.worker.worker_id
        ticket = ''
        if task.step.job.stored.advice is not None:
            ticket = self._advice.ticket(task.step.name, worker_id, now) or ''
        self._tracker.place(task, headroom.worker, now, ticket)
        self._tracker.note(
            'run placed',
            task=task.name,
            run=task.run,
            worker=worker_id,
            free_cpu=headroom.cpu,
            waited_s=round(now - (task.step.ready_s or now), 3),
            contact_age_s=round(now - headroom.worker.lease.last_contact_s, 3),
        )
