"""One round of placement over all waiting steps."""

from collections import Counter

from apricotlead.coordination.cell.advice_book import AdviceBook, AdviceCall
from apricotlead.coordination.cell.advice_planning import AdvicePlanner
from apricotlead.coordination.cell.gang_rooms import GangRooms
from apricotlead.coordination.cell.order import (
    is_urgent,
    is_worthless,
    order_key,
)
from apricotlead.coordination.cell.placement import (
    Choice,
    choose,
    waiting_tasks,
)
from apricotlead.coordination.cell.placement_round import PlacementRound
from apricotlead.coordination.cell.run_book import RunBook
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.state.cell_jobs import StepState, TaskState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.wait_times import WaitReason

_NO_LIMIT = Resources()
# Steps that wait for these reasons cost a round little.
_CHEAP_REASONS = frozenset(
    (WaitReason.GANG_STOPPING, WaitReason.ORGANISATION_LIMIT)
)
# Gangs that wait for these reasons keep workers until they fit.
_KEEPING_REASONS = frozenset((WaitReason.NO_CAPACITY, WaitReason.EARLIER_STEPS))
# Steps of a service that could not be placed in a round, before its others are
# left. While half of it is free all are tried: those in front may never fit.
_MOST_BLOCKED_STEPS = 60


class Planner:
    """Gives waiting tasks to workers, within limits and advice."""

    __slots__ = (
        '_advice',
        '_asking',
        '_book',
        '_gangs',
        '_limits_by_organisation',
    )

    def __init__(self, book: RunBook, advice: AdviceBook) -> None:
        """Begin without limits."""
        self._book = book
        self._advice = advice
        self._asking = AdvicePlanner(advice)
        self._gangs = GangRooms()
        self._limits_by_organisation: dict[str, Resources] = {}

    def set_view(self, view: CellConfigView) -> None:
        """Take over the limits of a new configuration."""
        for organisation in view.config.organisations:
            self._limits_by_organisation[organisation.name] = organisation.limit

    def plan(self, now: float, askers: list[str]) -> list[AdviceCall]:
        """Choose workers for waiting tasks; return the advice to ask for."""
        if not self._book.ready_steps_by_name:
            return []
        planning = self._begin_round(now, askers)
        self._gangs.begin(planning.rooms)
        blocked: Counter[str] = Counter()
        steps = sorted(
            self._book.ready_steps_by_name.values(),
            key=lambda step: order_key(step, now, self._book.estimate_errors),
        )
        for step in steps:
            reason: WaitReason | None = WaitReason.ROUND_ENDED
            service = step.job.stored.service
            is_tried = blocked[service] <= _MOST_BLOCKED_STEPS
            if is_tried or planning.load.is_half_free(service):
                before = step.waiting_count
                reason = self._place_waiting(step, planning)
                is_blocked = step.waiting_count == before
                blocked[service] += is_blocked and reason not in _CHEAP_REASONS
            step.waits.note(reason, now)
        return planning.calls

    def _begin_round(self, now: float, askers: list[str]) -> PlacementRound:
        usable: list[WorkerState] = []
        absent: list[WorkerState] = []
        for worker in self._book.workers_by_id.values():
            if worker.takes_work(now):
                usable.append(worker)
            elif worker.is_listed and not worker.entry.draining:
                absent.append(worker)
        errors = self._book.estimate_errors
        return PlacementRound(usable, askers, now, errors, absent)

    def _place_waiting(
        self,
        step: StepState,
        planning: PlacementRound,
    ) -> WaitReason | None:
        """Place what fits; return what the rest waits for."""
        waiting = waiting_tasks(step, planning.now)
        if not waiting:
            return WaitReason.GANG_STOPPING
        tasks = self._within_limit(step, waiting)
        if not tasks:
            return WaitReason.ORGANISATION_LIMIT
        return self._place_step(step, tasks, planning)

    def _place_step(
        self,
        step: StepState,
        tasks: list[TaskState],
        planning: PlacementRound,
    ) -> WaitReason | None:
        """Place what fits and ask about the rest."""
        choices = choose(
            step,
            tasks,
            self._asking.rooms(step, planning),
            lasts_s=planning.lasts_s(step),
            is_urgent=is_urgent(
                step,
                planning.now,
                self._book.estimate_errors,
            ),
        )
        for choice in choices:
            self._place(choice, planning)
        if len(choices) == len(tasks):
            return (
                None
                if not step.waiting_count
                else WaitReason.ORGANISATION_LIMIT
            )
        reason = self._asking.ask(step, tasks[len(choices) :], planning)
        if step.spec.gang:
            self._spare_rooms(step, planning, reason)
        return reason

    def _spare_rooms(
        self,
        step: StepState,
        planning: PlacementRound,
        reason: WaitReason,
    ) -> None:
        """Have others spare workers for a gang that has time left."""
        errors = self._book.estimate_errors
        is_hopeless = is_worthless(step, planning.now, errors)
        if is_hopeless or not step.job.is_within_weight:
            return
        rooms = self._asking.good_rooms(step, planning)
        self._gangs.mark_wanted(step, rooms)
        is_busy = not planning.load.is_half_free(step.job.stored.service)
        if reason in _KEEPING_REASONS and is_busy:
            self._gangs.keep(step, rooms, planning.now)

    def _within_limit(
        self,
        step: StepState,
        tasks: list[TaskState],
    ) -> list[TaskState]:
        organisation = step.job.stored.organisation
        limit = self._limits_by_organisation.get(organisation, _NO_LIMIT)
        usage = self._book.usage(organisation)
        demand = step.demand()
        count = _how_many(demand.cpu_millis, usage.cpu_millis, limit.cpu_millis)
        count = min(
            count,
            _how_many(demand.memory_mb, usage.memory_mb, limit.memory_mb),
            _how_many(
                demand.accelerators,
                usage.accelerators,
                limit.accelerators,
            ),
        )
        if step.spec.gang and count < len(tasks):
            return []
        return tasks[: int(min(count, len(tasks)))]

    def _place(self, choice: Choice, planning: PlacementRound) -> None:
        planning.take(choice)
        now = planning.now
        task, room = choice
        worker_id = room.worker.worker_id
        ticket = ''
        if task.step.job.stored.advice is not None:
            ticket = self._advice.ticket(task.step.name, worker_id, now) or ''
        self._book.place(task, room.worker, now, ticket)
        self._book.note(
            'run placed',
            task=task.name,
            run=task.run,
            worker=worker_id,
            free_cpu=room.cpu,
            waited_s=round(now - (task.step.ready_s or now), 3),
            contact_age_s=round(now - room.worker.lease.last_contact_s, 3),
        )


def _how_many(demand: int, used: int, limit: int) -> float:
    """Return how many such tasks a limit still allows; 0 is no limit."""
    if not limit or not demand:
        return float('inf')
    return max(0, (limit - used) // demand)
