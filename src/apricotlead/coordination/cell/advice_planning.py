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
    Room,
    choose,
    may_run_here,
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

    def rooms(self, step: StepState, planning: PlacementRound) -> list[Room]:
        """Return the rooms that a step may use now."""
        if step.job.stored.advice is None:
            return planning.rooms
        ticketed = self._advice.ticketed_workers(step.name, planning.now)
        return planning.rooms_of(ticketed)

    def good_rooms(
        self,
        step: StepState,
        planning: PlacementRound,
    ) -> list[Room]:
        """Return the rooms of workers that may run a step, free or not."""
        if step.job.stored.advice is None:
            return [
                room
                for room in planning.rooms
                if may_run_here(step, room.worker)
            ]
        advice = self._advice.advice(step.name)
        return planning.rooms_of(advice.good_workers())

    def ask(
        self,
        step: StepState,
        tasks: list[TaskState],
        planning: PlacementRound,
    ) -> WaitReason:
        """Ask about tasks without a place, if that may bring them one.

        Room that the answer can be relied on to allow is kept until then.
        Returns what the tasks wait for.
        """
        reason = self._claim_room(step, len(tasks), planning)
        if step.job.stored.advice is None:
            return WaitReason.NO_CAPACITY
        if reason is not None:
            return reason
        advice = self._advice.advice(step.name)
        if advice.is_asking:
            self._keep_for_answer(step, tasks, planning)
            return WaitReason.ADVICE_PENDING
        if not self._advice.may_ask(step.name, planning.now):
            return WaitReason.NO_FREE_ASKER
        return self._ask_about_rooms(step, tasks, planning)

    def _claim_room(
        self,
        step: StepState,
        task_count: int,
        planning: PlacementRound,
    ) -> WaitReason | None:
        """Claim the room that tasks may be asked about for.

        Returns why there is none, ``None`` where there is some.
        """
        workers = self._possible_workers(step, planning)
        reason = planning.soon.claim(step, task_count, workers)
        policy = step.job.stored.advice
        if reason is not WaitReason.EARLIER_STEPS or policy is None:
            return reason
        # A claim without a call would only take the room from others.
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
        """Return the workers that may run a step, for all that is known."""
        ruled_out: Collection[str] = ()
        if step.job.stored.advice is not None:
            ruled_out = self._advice.advice(step.name).bad
        present = (room.worker for room in planning.best_rooms())
        for worker in chain(present, planning.absent):
            if worker.worker_id not in ruled_out:
                if may_run_here(step, worker):
                    yield worker

    def _keep_for_answer(
        self,
        step: StepState,
        tasks: list[TaskState],
        planning: PlacementRound,
    ) -> None:
        """Take the room that the answer under way surely allows to use."""
        if self._advice.advice(step.name).is_sure:
            usable = self._advice.usable_after_answer(step.name, planning.now)
            rooms = planning.rooms_of(dict.fromkeys(usable))
            choose(step, tasks, rooms, lasts_s=planning.lasts_s(step))

    def _ask_about_rooms(
        self,
        step: StepState,
        tasks: list[TaskState],
        planning: PlacementRound,
    ) -> WaitReason:
        """Ask about the good workers with room, and about unknown ones."""
        advice = self._advice.advice(step.name)
        choices = choose(
            step,
            tasks,
            planning.rooms_of(advice.good_workers()),
            lasts_s=planning.lasts_s(step),
        )
        names = list(
            dict.fromkeys(room.worker.worker_id for _, room in choices),
        )
        if len(choices) < len(tasks):
            count = len(tasks) - len(choices)
            names.extend(self._unknown_workers(step, count, planning))
        elif step.spec.gang:
            names.extend(self._spare_workers(step, names, planning))
        if not names:
            return WaitReason.NO_CAPACITY
        calls = self._advice.plan_calls(
            step.name,
            names,
            step.job.stored.advice,
            planning.askers,
            planning.now,
        )
        if calls:
            planning.calls.extend(calls)
            return WaitReason.ADVICE_PENDING
        for _, room in choices:
            room.take(step.demand(), sign=-1)
        return WaitReason.NO_FREE_ASKER

    def _spare_workers(
        self,
        step: StepState,
        names: list[str],
        planning: PlacementRound,
    ) -> list[str]:
        """Return further good workers with room for a gang.

        Others may take a room that it has chosen before the answer comes.
        """
        advice = self._advice.advice(step.name)
        fitting = [
            room.worker.worker_id
            for room in planning.rooms_of(advice.good_workers())
            if room.fits(step.demand()) and not room.is_reserved
        ]
        spare = [name for name in fitting if name not in names]
        return spare[: len(names) // _CHOSEN_FOR_EACH_SPARE + 1]

    def _unknown_workers(
        self,
        step: StepState,
        task_count: int,
        planning: PlacementRound,
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
            room
            for room in planning.best_rooms()
            if may_run_here(step, room.worker)
            and not advice.knows(room.worker.worker_id)
        )
        likely: list[str] = []
        full: list[str] = []
        for room in unknown:
            if room.fits(demand):
                likely.append(room.worker.worker_id)
            elif demand.fits_in(room.worker.entry.capacity):
                full.append(room.worker.worker_id)
            if len(likely) >= most:
                break
        absent = (
            worker.worker_id
            for worker in planning.absent
            if may_run_here(step, worker)
            and not advice.knows(worker.worker_id)
            and demand.fits_in(worker.entry.capacity)
        )
        return [*likely, *full, *absent][:most]
