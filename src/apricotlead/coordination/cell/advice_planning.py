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
    Room,
    choose,
    may_run_here,
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

    def rooms(self, step: StepState, planning: PlacementRound) -> list[Room]:
        """Return the rooms of the workers that a step may use now."""
        if step.job.stored.advice is None:
            return planning.rooms
        ticketed = self._advice.ticketed_workers(step.name, planning.now)
        return planning.rooms_of(ticketed)

    def eligible_rooms(
        self,
        step: StepState,
        planning: PlacementRound,
    ) -> list[Room]:
        """Return the rooms of workers that may run a step, full or not.

        A valid ticket is not required.
        """
        if step.job.stored.advice is None:
            return [
                room
                for room in planning.rooms
                if may_run_here(step, room.worker)
            ]
        advice = self._advice.advice(step.name)
        return planning.rooms_of(advice.eligible_workers())

    def ask(
        self,
        step: StepState,
        tasks: list[TaskState],
        planning: PlacementRound,
    ) -> WaitReason:
        """Plan calls for tasks without a place, where an answer may help.

        Capacity that the answer is certain to allow is reserved until it
        arrives. Returns what the tasks wait for.
        """
        reason = self._claim_room(step, len(tasks), planning)
        if step.job.stored.advice is None:
            return WaitReason.ROOM
        if reason is not None:
            return reason
        advice = self._advice.advice(step.name)
        if advice.is_asking:
            self._reserve_for_answer(step, tasks, planning)
            return WaitReason.ADVICE
        if not self._advice.may_ask(step.name, planning.now):
            return WaitReason.ASKER
        return self._ask_about_rooms(step, tasks, planning)

    def _claim_room(
        self,
        step: StepState,
        task_count: int,
        planning: PlacementRound,
    ) -> WaitReason | None:
        """Claim capacity that justifies a call for these tasks.

        Returns why none could be claimed, or ``None`` on success.
        """
        workers = self._possible_workers(step, planning)
        reason = planning.soon.claim(step, task_count, workers)
        policy = step.job.stored.advice
        if reason is not WaitReason.TURN or policy is None:
            return reason
        # Without a call, the claim would only block other steps.
        if not self._advice.has_asker(policy, planning.askers, planning.now):
            return reason
        workers = self._possible_workers(step, planning)
        lasts_s = planning.lasts_s(step)
        return planning.free.claim(step, task_count, workers, lasts_s)

    def _possible_workers(
        self,
        step: StepState,
        planning: PlacementRound,
    ) -> Iterator[WorkerState]:
        """Return the workers that are not known to be ineligible."""
        ineligible: Collection[str] = ()
        if step.job.stored.advice is not None:
            ineligible = self._advice.advice(step.name).ineligible_ids
        present = (room.worker for room in planning.best_rooms())
        for worker in chain(present, planning.absent):
            if worker.worker_id not in ineligible:
                if may_run_here(step, worker):
                    yield worker

    def _reserve_for_answer(
        self,
        step: StepState,
        tasks: list[TaskState],
        planning: PlacementRound,
    ) -> None:
        """Reserve capacity on workers that the pending answer will allow."""
        if self._advice.advice(step.name).all_had_tickets:
            usable = self._advice.usable_after_answer(step.name, planning.now)
            rooms = planning.rooms_of(dict.fromkeys(usable))
            choose(step, tasks, rooms, lasts_s=planning.lasts_s(step))

    def _ask_about_rooms(
        self,
        step: StepState,
        tasks: list[TaskState],
        planning: PlacementRound,
    ) -> WaitReason:
        """Ask about eligible workers with capacity, then unknown workers.

        The capacity that was chosen is released if no call can be made.
        """
        advice = self._advice.advice(step.name)
        choices = choose(
            step,
            tasks,
            planning.rooms_of(advice.eligible_workers()),
            lasts_s=planning.lasts_s(step),
        )
        worker_ids = list(
            dict.fromkeys(room.worker.worker_id for _, room in choices),
        )
        if len(choices) < len(tasks):
            count = len(tasks) - len(choices)
            worker_ids.extend(self._unknown_workers(step, count, planning))
        elif step.spec.gang:
            worker_ids.extend(self._spare_workers(step, worker_ids, planning))
        if not worker_ids:
            return WaitReason.ROOM
        calls = self._advice.plan_calls(
            step.name,
            worker_ids,
            step.job.stored.advice,
            planning.askers,
            planning.now,
        )
        if calls:
            planning.calls.extend(calls)
            return WaitReason.ADVICE
        for _, room in choices:
            room.take(step.demand(), sign=-1)
        return WaitReason.ASKER

    def _spare_workers(
        self,
        step: StepState,
        worker_ids: list[str],
        planning: PlacementRound,
    ) -> list[str]:
        """Return further eligible workers with capacity for a gang.

        Other steps may take the capacity of a chosen worker before the answer
        arrives.
        """
        advice = self._advice.advice(step.name)
        fitting = [
            room.worker.worker_id
            for room in planning.rooms_of(advice.eligible_workers())
            if room.fits(step.demand()) and not room.is_reserved
        ]
        spare = [each for each in fitting if each not in worker_ids]
        return spare[: len(worker_ids) // _CHOSEN_WORKERS_PER_SPARE + 1]

    def _unknown_workers(
        self,
        step: StepState,
        task_count: int,
        planning: PlacementRound,
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
            room
            for room in planning.best_rooms()
            if may_run_here(step, room.worker)
            and not advice.has_answer_for(room.worker.worker_id)
        )
        likely: list[str] = []
        full: list[str] = []
        for room in unknown:
            if room.fits(demand):
                likely.append(room.worker.worker_id)
            elif demand.fits_in(room.worker.entry.capacity):
                full.append(room.worker.worker_id)
            if len(likely) >= max_count:
                break
        absent = (
            worker.worker_id
            for worker in planning.absent
            if may_run_here(step, worker)
            and not advice.has_answer_for(worker.worker_id)
            and demand.fits_in(worker.entry.capacity)
        )
        return [*likely, *full, *absent][:max_count]
