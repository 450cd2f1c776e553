"""Which advice is worth asking for, and room that is kept for its answer.

Pattern: restricted steps in a busy cell. The workers that may run a step
never change, only its tickets expire. Once they are known, asking again is of
use only while the step has room on them, and only about the workers that it
would use. Without that, gangs that found no room asked for ever, and the
costly calls kept all askers from the others.
"""

from collections.abc import Collection, Iterator
from itertools import chain

from apricotlead.coordination.cell.advice_book import AdviceBook
from apricotlead.coordination.cell.placement import (
    WorkerHeadroom,
    assign_tasks,
    is_eligible,
)
from apricotlead.coordination.cell.placement_round import PlacementRound
from apricotlead.state.cell_jobs import StepState, TaskState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.wait_times import WaitReason

# A third of these may run the most restricted steps that callers describe.
_ASKED_WORKERS = 30
_ASKED_FOR_EACH_TASK = 2
_CHOSEN_FOR_EACH_SPARE = 3


class AdvicePlanner:
    """Asks for advice on tasks that found no room with valid tickets."""

    __slots__ = ('_advice',)

    def __init__(self, advice: AdviceBook) -> None:
        """Ask where ``advice`` tells too little."""
        self._advice = advice

    def headrooms(
        self, step: StepState, current_round: PlacementRound
    ) -> list[WorkerHeadroom]:
        """Return the rooms that a step may use now."""
        if step.job.stored.advice is None:
            return current_round.headrooms
        ticketed = self._advice.ticketed_workers(step.name, current_round.now)
        return current_round.headrooms_of(ticketed)

    def good_rooms(
        self,
        step: StepState,
        current_round: PlacementRound,
    ) -> list[WorkerHeadroom]:
        """Return the rooms of workers that may run a step, free or not."""
        if step.job.stored.advice is None:
            return [
                headroom
                for headroom in current_round.headrooms
                if is_eligible(step, headroom.worker)
            ]
        advice = self._advice.advice(step.name)
        return current_round.headrooms_of(advice.good_workers())

    def ask(
        self,
        step: StepState,
        tasks: list[TaskState],
        current_round: PlacementRound,
    ) -> WaitReason:
        """Ask about tasks without a place, if that may bring them one.

        Room that the answer can be relied on to allow is kept until then.
        Returns what the tasks wait for.
        """
        reason = self._claim_room(step, len(tasks), current_round)
        if step.job.stored.advice is None:
            return WaitReason.ROOM
        if reason is not None:
            return reason
        advice = self._advice.advice(step.name)
        if advice.is_asking:
            self._keep_for_answer(step, tasks, current_round)
            return WaitReason.ADVICE
        if not self._advice.may_ask(step.name, current_round.now):
            return WaitReason.ASKER
        return self._ask_about_rooms(step, tasks, current_round)

    def _claim_room(
        self,
        step: StepState,
        task_count: int,
        current_round: PlacementRound,
    ) -> WaitReason | None:
        """Claim the room that tasks may be asked about for.

        Returns why there is none, ``None`` where there is some.
        """
        workers = self._possible_workers(step, current_round)
        reason = current_round.upcoming.claim(step, task_count, workers)
        policy = step.job.stored.advice
        if reason is not WaitReason.TURN or policy is None:
            return reason
        # A claim without a call would only take the room from others.
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
        """Return the workers that may run a step, for all that is known."""
        ruled_out: Collection[str] = ()
        if step.job.stored.advice is not None:
            ruled_out = self._advice.advice(step.name).bad
        present = (
            headroom.worker
            for headroom in current_round.headrooms_fastest_first()
        )
        for worker in chain(present, current_round.absent):
            if worker.worker_id not in ruled_out:
                if is_eligible(step, worker):
                    yield worker

    def _keep_for_answer(
        self,
        step: StepState,
        tasks: list[TaskState],
        current_round: PlacementRound,
    ) -> None:
        """Take the room that the answer under way surely allows to use."""
        if self._advice.advice(step.name).is_sure:
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
        """Ask about the good workers with room, and about unknown ones."""
        advice = self._advice.advice(step.name)
        assignments = assign_tasks(
            step,
            tasks,
            current_round.headrooms_of(advice.good_workers()),
            max_duration_s=current_round.max_duration_s(step),
        )
        names = list(
            dict.fromkeys(
                headroom.worker.worker_id for _, headroom in assignments
            ),
        )
        if len(assignments) < len(tasks):
            count = len(tasks) - len(assignments)
            names.extend(self._unknown_workers(step, count, current_round))
        elif step.spec.gang:
            names.extend(self._spare_workers(step, names, current_round))
        if not names:
            return WaitReason.ROOM
        calls = self._advice.plan_calls(
            step.name,
            names,
            step.job.stored.advice,
            current_round.askers,
            current_round.now,
        )
        if calls:
            current_round.calls.extend(calls)
            return WaitReason.ADVICE
        for _, headroom in assignments:
            headroom.take(step.demand(), sign=-1)
        return WaitReason.ASKER

    def _spare_workers(
        self,
        step: StepState,
        names: list[str],
        current_round: PlacementRound,
    ) -> list[str]:
        """Return further good workers with room for a gang.

        Others may take a room that it has chosen before the answer comes.
        """
        advice = self._advice.advice(step.name)
        fitting = [
            headroom.worker.worker_id
            for headroom in current_round.headrooms_of(advice.good_workers())
            if headroom.fits(step.demand()) and not headroom.is_reserved
        ]
        spare = [name for name in fitting if name not in names]
        return spare[: len(names) // _CHOSEN_FOR_EACH_SPARE + 1]

    def _unknown_workers(
        self,
        step: StepState,
        task_count: int,
        current_round: PlacementRound,
    ) -> list[str]:
        """Return workers that advice has told nothing of, likely ones first.

        Pattern: large cells, where asking about every worker takes longer
        than the task. Those with room come first, fast ones before slow ones.

        Pattern: a term that has just begun. Few workers have told their lists
        yet; the others do so before a second answer could come.
        """
        advice = self._advice.advice(step.name)
        demand = step.demand()
        most = _ASKED_WORKERS + _ASKED_FOR_EACH_TASK * task_count
        unknown = (
            headroom
            for headroom in current_round.headrooms_fastest_first()
            if is_eligible(step, headroom.worker)
            and not advice.knows(headroom.worker.worker_id)
        )
        likely: list[str] = []
        full: list[str] = []
        for headroom in unknown:
            if headroom.fits(demand):
                likely.append(headroom.worker.worker_id)
            elif demand.fits_in(headroom.worker.entry.capacity):
                full.append(headroom.worker.worker_id)
            if len(likely) >= most:
                break
        absent = (
            worker.worker_id
            for worker in current_round.absent
            if is_eligible(step, worker)
            and not advice.knows(worker.worker_id)
            and demand.fits_in(worker.entry.capacity)
        )
        return [*likely, *full, *absent][:most]
