"""Decides which advice to ask for, and reserves capacity for its answer.

Pattern: restricted steps in a busy cell. The workers that may run a step
never change, only its tickets expire. Once these workers are known, another
call is useful only while they have free capacity for the step, and only for
the workers that the step would use. Otherwise gangs that found no capacity
asked again and again, and their costly calls kept all askers busy.
"""

from collections.abc import Collection, Iterator
from itertools import chain

from apricotlead.coordination.cell.advice_cache import AdviceCache
from apricotlead.coordination.cell.placement import (
    WorkerHeadroom,
    assign_tasks,
    is_eligible,
    may_ask_about,
)
from apricotlead.coordination.cell.placement_round import PlacementRound
from apricotlead.state.cell_jobs import StepState, TaskState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.wait_times import WaitReason

# About a third of the workers asked may run the most restricted steps that
# callers describe.
_BASE_WORKERS_ASKED = 30
_WORKERS_ASKED_PER_TASK = 2
_CHOSEN_WORKERS_PER_SPARE = 3


class AdvicePlanner:
    """Plans calls for tasks that no worker with a valid ticket can hold."""

    __slots__ = ('_advice',)

    def __init__(self, advice: AdviceCache) -> None:
        """Plan calls for what ``advice`` does not hold."""
        self._advice = advice

    def headrooms(
        self, step: StepState, current_round: PlacementRound
    ) -> list[WorkerHeadroom]:
        """Return the headrooms of the workers a step may use now."""
        if step.job.stored.advice is None:
            return current_round.headrooms
        ticketed = self._advice.ticketed_workers(step.name, current_round.now)
        return current_round.headrooms_of(ticketed)

    def eligible_headrooms(
        self,
        step: StepState,
        current_round: PlacementRound,
    ) -> list[WorkerHeadroom]:
        """Return the headrooms of eligible workers, full or not.

        A valid ticket is not required.
        """
        if step.job.stored.advice is None:
            return [
                headroom
                for headroom in current_round.headrooms
                if is_eligible(step, headroom.worker)
            ]
        advice = self._advice.advice(step.name)
        return current_round.headrooms_of(advice.eligible_workers())

    def ask(
        self,
        step: StepState,
        tasks: list[TaskState],
        current_round: PlacementRound,
    ) -> WaitReason:
        """Plan calls for tasks without a place, where an answer may help.

        Capacity that the answer is certain to allow is reserved until it
        arrives. Returns what the tasks wait for.
        """
        reason = self._claim_room(step, len(tasks), current_round)
        if step.job.stored.advice is None:
            return WaitReason.NO_CAPACITY
        if reason is not None:
            return reason
        advice = self._advice.advice(step.name)
        if advice.is_asking:
            self._reserve_for_answer(step, tasks, current_round)
            return WaitReason.ADVICE_PENDING
        if not self._advice.may_ask(step.name, current_round.now):
            return WaitReason.NO_FREE_ASKER
        return self._ask_about_rooms(step, tasks, current_round)

    def _claim_room(
        self,
        step: StepState,
        task_count: int,
        current_round: PlacementRound,
    ) -> WaitReason | None:
        """Claim capacity that justifies a call for these tasks.

        Returns why none could be claimed, or ``None`` on success.
        """
        workers = self._possible_workers(step, current_round)
        reason = current_round.upcoming.claim(step, task_count, workers)
        policy = step.job.stored.advice
        if reason is not WaitReason.EARLIER_STEPS or policy is None:
            return reason
        # Without a call, the claim would only block other steps.
        if not self._advice.has_asker(
            policy, current_round.askers, current_round.now
        ):
            return reason
        workers = self._possible_workers(step, current_round)
        max_duration_s = current_round.max_duration_s(step)
        return current_round.unclaimed.claim(
            step, task_count, workers, max_duration_s
        )

    def _possible_workers(
        self,
        step: StepState,
        current_round: PlacementRound,
    ) -> Iterator[WorkerState]:
        """Return the workers that are not known to be ineligible."""
        ineligible: Collection[str] = ()
        if step.job.stored.advice is not None:
            ineligible = self._advice.advice(step.name).ineligible_ids
        present = (
            headroom.worker
            for headroom in current_round.headrooms_fastest_first()
        )
        for worker in chain(present, current_round.absent):
            if worker.worker_id not in ineligible:
                if may_ask_about(step, worker):
                    yield worker

    def _reserve_for_answer(
        self,
        step: StepState,
        tasks: list[TaskState],
        current_round: PlacementRound,
    ) -> None:
        """Reserve capacity on workers that the pending answer will allow."""
        if self._advice.advice(step.name).all_had_tickets:
            usable = self._advice.usable_after_answer(
                step.name, current_round.now
            )
            headrooms = current_round.headrooms_of(dict.fromkeys(usable))
            assign_tasks(
                step,
                tasks,
                headrooms,
                max_duration_s=current_round.max_duration_s(step),
            )

    def _ask_about_rooms(
        self,
        step: StepState,
        tasks: list[TaskState],
        current_round: PlacementRound,
    ) -> WaitReason:
        """Ask about eligible workers with capacity, then unknown workers.

        The capacity that was chosen is released if no call can be made.
        """
        advice = self._advice.advice(step.name)
        assignments = assign_tasks(
            step,
            tasks,
            current_round.headrooms_of(advice.eligible_workers()),
            max_duration_s=current_round.max_duration_s(step),
        )
        worker_ids = list(
            dict.fromkeys(
                headroom.worker.worker_id for _, headroom in assignments
            ),
        )
        if len(assignments) < len(tasks):
            count = len(tasks) - len(assignments)
            worker_ids.extend(self._unknown_workers(step, count, current_round))
        elif step.spec.gang:
            worker_ids.extend(
                self._spare_workers(step, worker_ids, current_round)
            )
        if not worker_ids:
            return WaitReason.NO_CAPACITY
        calls = self._advice.plan_calls(
            step.name,
            worker_ids,
            step.job.stored.advice,
            current_round.askers,
            current_round.now,
        )
        if calls:
            current_round.calls.extend(calls)
            return WaitReason.ADVICE_PENDING
        for _, headroom in assignments:
            headroom.take(step.demand(), sign=-1)
        return WaitReason.NO_FREE_ASKER

    def _spare_workers(
        self,
        step: StepState,
        worker_ids: list[str],
        current_round: PlacementRound,
    ) -> list[str]:
        """Return further eligible workers with capacity for a gang.

        Other steps may take the capacity of a chosen worker before the answer
        arrives.
        """
        advice = self._advice.advice(step.name)
        fitting = [
            headroom.worker.worker_id
            for headroom in current_round.headrooms_of(
                advice.eligible_workers()
            )
            if headroom.fits(step.demand()) and not headroom.is_reserved
        ]
        spare = [each for each in fitting if each not in worker_ids]
        return spare[: len(worker_ids) // _CHOSEN_WORKERS_PER_SPARE + 1]

    def _unknown_workers(
        self,
        step: StepState,
        task_count: int,
        current_round: PlacementRound,
    ) -> list[str]:
        """Return workers without advice, the most promising ones first.

        Pattern: large cells, where asking about every worker takes longer
        than the task. Workers with free capacity come first, fast ones before
        slow ones.

        Pattern: the start of a term. Few workers have reported their runs
        yet. The absent ones are included, since they report before a second
        answer could arrive.
        """
        advice = self._advice.advice(step.name)
        demand = step.demand()
        max_count = _BASE_WORKERS_ASKED + _WORKERS_ASKED_PER_TASK * task_count
        unknown = (
            headroom
            for headroom in current_round.headrooms_fastest_first()
            if may_ask_about(step, headroom.worker)
            and not advice.has_answer_for(headroom.worker.worker_id)
        )
        likely: list[str] = []
        full: list[str] = []
        for headroom in unknown:
            if headroom.fits(demand):
                likely.append(headroom.worker.worker_id)
            elif demand.fits_in(headroom.worker.entry.capacity):
                full.append(headroom.worker.worker_id)
            if len(likely) >= max_count:
                break
        absent = (
            worker.worker_id
            for worker in current_round.absent
            if may_ask_about(step, worker)
            and not advice.has_answer_for(worker.worker_id)
            and demand.fits_in(worker.entry.capacity)
        )
        return [*likely, *full, *absent][:max_count]
