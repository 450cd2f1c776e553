"""Detection of steps that could run but do not, with the state that blocks them.

Pattern: a service that is half idle while accepted work makes no progress.
Nothing fails in this case, so no other log line shows it. What could run is
defined in :mod:`.runnable`. Besides, tasks that have been placed and do not
begin are reported: nothing is left that they could wait for.

Pattern: thousands of waiting steps. Each check looks at all of them, as a step
that only some checks look at is reported late or never.
"""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping
from typing import Any

from msgspec import Struct

from apricotlead.coordination.cell.advice_cache import AdviceCache, StepAdvice
from apricotlead.coordination.cell.placement import (
    can_execute,
    fitting_task_count,
    is_eligible,
)
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.coordination.cell.runnable import (
    Need,
    ServiceRoom,
    WorkerRoom,
    idle_units,
)
from apricotlead.protocol.resources import Resources
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.state.cell_jobs import JobRun, StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.wait_times import WaitReason

# Placing a step takes one advice answer and one write; longer is a fault.
STALLED_AFTER_S = 3.0
# Time between two log lines about the same step.
_REPORT_INTERVAL_S = 5.0
_MAX_REPORTS_PER_CHECK = 5
_MAX_TASKS_PER_REPORT = 4
_NOTHING = Resources()


class StallSummary(Struct, frozen=True):
    """How much work could run and does not, as of the latest check.

    ``runnable``: steps that could run. ``stalled``: those of them that have
    waited for too long. ``new``: those that had not at the check before.
    ``oldest_s``: the longest time for which any of them could have run.
    """

    runnable: int = 0
    stalled: int = 0
    new: int = 0
    oldest_s: float = 0.0


class _CellView:
    """The capacity and the use of a cell at one check.

    What an organisation uses is counted on the workers. The tracker's sum is
    not used: if it counted runs that are gone, their organisation's steps
    would wait, and count as held by the limit.
    """

    __slots__ = ('_usage_by_organisation', 'rooms_by_service')

    def __init__(self, workers: Collection[WorkerState]) -> None:
        """Count the free capacity of workers that are up, and all runs.

        This includes workers that the scheduler does not use for now: if it
        were wrong about them, nothing else would show it.
        """
        self._usage_by_organisation: dict[str, Resources] = {}
        workers_by_service: defaultdict[str, list[WorkerState]]
        workers_by_service = defaultdict(list)
        for worker in workers:
            self._count_runs(worker)
            if _is_up(worker):
                workers_by_service[worker.entry.service].append(worker)
        self.rooms_by_service = {
            service: _service_room(usable)
            for service, usable in workers_by_service.items()
        }

    def usage(self, organisation: str) -> Resources:
        """Return the resources of the runs of an organisation."""
        return self._usage_by_organisation.get(organisation, _NOTHING)

    def _count_runs(self, worker: WorkerState) -> None:
        for task in worker.tasks_by_name.values():
            if task.phase is TaskPhase.RUNNING:
                organisation = task.step.job.stored.organisation
                self._usage_by_organisation[organisation] = (
                    self.usage(organisation) + task.step.demand()
                )


class StalledSteps:
    """Finds the steps that could run and have not for too long."""

    __slots__ = (
        '_advice',
        '_began_s',
        '_limits_by_organisation',
        '_reported_s_by_step',
        '_since_s_by_unit',
        '_tracker',
        'stalled_names',
        'summary',
    )

    def __init__(
        self, tracker: RunTracker, advice: AdviceCache, began_s: float
    ) -> None:
        """Report each stalled step as a note in ``tracker``.

        ``began_s`` is when the scheduler's term began.
        """
        self._tracker = tracker
        self._advice = advice
        self._began_s = began_s
        self._limits_by_organisation: dict[str, Resources] = {}
        # Since when each unit of work could have run.
        self._since_s_by_unit: dict[str, float] = {}
        # The steps that have been stalled for too long, as of the latest check.
        self.stalled_names: set[str] = set()
        self._reported_s_by_step: dict[str, float] = {}
        self.summary = StallSummary()

    def set_view(self, view: CellConfigView) -> None:
        """Apply the limits of a new configuration."""
        for organisation in view.config.organisations:
            self._limits_by_organisation[organisation.name] = organisation.limit

    def check(self, now: float) -> None:
        """Report the steps that have been stalled for too long."""
        cell = _CellView(self._tracker.workers_by_id.values())
        former_since_s = self._since_s_by_unit
        self._since_s_by_unit = {}
        since_s_by_step: dict[str, float] = {}
        for job in self._tracker.jobs_by_id.values():
            for step_name, units in self._runnable_units_of(job, cell):
                since_s = {
                    unit: former_since_s.get(unit, now) for unit in units
                }
                self._since_s_by_unit.update(since_s)
                since_s_by_step[step_name] = min(since_s.values())
        self._summarise(since_s_by_step, now)
        for name in self._due_names(since_s_by_step, now):
            self._reported_s_by_step[name] = now
            self._report(self._step(name), cell, since_s_by_step[name], now)

    def _runnable_units_of(
        self, job: JobRun, cell: _CellView
    ) -> list[tuple[str, list[str]]]:
        """Return the steps of a job that could run, each with its units.

        The job is a unit of all of them if nothing of it runs.
        """
        if job.state.is_final:
            return []
        units_by_step = [
            (step.name, units)
            for step in job.steps_by_key.values()
            if _is_open(step) and (units := self._runnable_units(step, cell))
        ]
        if units_by_step and not _is_running(job):
            for _, units_of_step in units_by_step:
                units_of_step.append(job.job_id)
        return units_by_step

    def _runnable_units(self, step: StepState, cell: _CellView) -> list[str]:
        """Return the units of a step that could run, of which nothing runs."""
        room = cell.rooms_by_service.get(step.job.stored.service)
        if room is None or not room.has_spare(step.spec):
            return []
        placed = _placed_tasks(step)
        running_names = _names(placed, is_running=True)
        chosen_names = _names(placed, is_running=False)
        units = idle_units(step.name, step.spec, running_names)
        if chosen_names and not step.spec.long_running:
            return units
        if units and self._may_start(step, room, cell):
            return units
        return [unit for unit in units if unit in chosen_names]

    def _may_start(
        self, step: StepState, room: ServiceRoom, cell: _CellView
    ) -> bool:
        """Return whether limit, advice and room leave no reason to wait."""
        organisation = step.job.stored.organisation
        need = Need.from_spec(step.spec)
        limit = self._limit(organisation)
        if not need.is_within_limit(cell.usage(organisation), limit):
            return False
        return room.fits(need, self._ruled_out_ids(step), _held_counts(step))

    def _limit(self, organisation: str) -> Resources:
        return self._limits_by_organisation.get(organisation, _NOTHING)

    def _ruled_out_ids(self, step: StepState) -> set[str]:
        advice = self._known_advice(step)
        return set() if advice is None else advice.ineligible_ids

    def _summarise(
        self, since_s_by_step: Mapping[str, float], now: float
    ) -> None:
        stalled_names = {
            name
            for name, since_s in since_s_by_step.items()
            if now - since_s >= STALLED_AFTER_S
        }
        new_count = len(stalled_names - self.stalled_names)
        self.stalled_names = stalled_names
        oldest_s = now - min(since_s_by_step.values(), default=now)
        self.summary = StallSummary(
            len(since_s_by_step),
            len(stalled_names),
            new_count,
            round(oldest_s, 2),
        )

    def _due_names(
        self, since_s_by_step: Mapping[str, float], now: float
    ) -> list[str]:
        """Return the stalled steps to report now.

        Steps that have not been reported yet come first, so that none is left
        out while others are reported again.
        """
        self._reported_s_by_step = {
            name: reported_s
            for name, reported_s in self._reported_s_by_step.items()
            if name in since_s_by_step
        }
        never = float('-inf')
        due = sorted(
            (
                self._reported_s_by_step.get(name, never),
                since_s_by_step[name],
                name,
            )
            for name in self.stalled_names
        )
        return [
            name
            for reported_s, _, name in due[:_MAX_REPORTS_PER_CHECK]
            if now - reported_s >= _REPORT_INTERVAL_S
        ]

    def _step(self, name: str) -> StepState:
        job_id, occurrence, index = name.split('.')
        job = self._tracker.jobs_by_id[job_id]
        return job.steps_by_key[int(occurrence), int(index)]

    def _known_advice(self, step: StepState) -> StepAdvice | None:
        return self._advice.steps_by_name.get(step.name)

    def _report(
        self,
        step: StepState,
        cell: _CellView,
        since_s: float,
        now: float,
    ) -> None:
        """Log everything that could block a step."""
        advice = self._known_advice(step)
        worker_counts: Counter[str] = Counter(
            _describe_worker(step, worker, advice, now)
            for worker in self._tracker.workers_by_id.values()
        )
        chosen = [
            task
            for task in _placed_tasks(step)
            if task.phase is not TaskPhase.RUNNING
        ]
        organisation = step.job.stored.organisation
        self._tracker.note(
            'step stalled',
            step=step.name,
            job=step.job.job_id,
            queue=step.job.stored.queue,
            organisation=organisation,
            stalled_s=round(now - since_s, 2),
            waits_for=str(step.waits.reason),
            tasks=len(step.tasks),
            is_gang=step.spec.gang,
            phases=Counter(task.phase.value for task in step.tasks),
            workers=worker_counts,
            open_calls=advice.open_calls if advice else 0,
            asked_age_s=round(now - advice.asked_s, 2) if advice else None,
            organisation_cpu_millis=self._tracker.usage(
                organisation
            ).cpu_millis,
            chosen=[
                self._describe_task(task, now)
                for task in chosen[:_MAX_TASKS_PER_REPORT]
            ],
            idle_tasks=[
                task.name
                for task in step.tasks
                if task.name in self._since_s_by_unit
            ][:_MAX_TASKS_PER_REPORT],
            running_cpu_millis=cell.usage(organisation).cpu_millis,
            limit_cpu_millis=self._limit(organisation).cpu_millis,
            ready_age_s=round(now - (step.ready_s or now), 2),
            waited_s=_rounded(step.waits.seconds(now)),
            is_from_former_term=step.job.accepted_s < self._began_s,
            **_count_advice(advice),
        )

    def _describe_task(self, task: TaskState, now: float) -> dict[str, Any]:
        worker = self._tracker.workers_by_id.get(task.worker_id)
        fields = {
            'task': task.name,
            'run': task.run,
            'phase': task.phase.value,
            'worker': task.worker_id,
            'is_worker_known': worker is not None,
        }
        if worker is not None:
            run = (task.name, task.run)
            fields['is_stop_pending'] = run in worker.runs_to_stop
            fields['contact_age_s'] = round(
                now - worker.lease.last_contact_s, 2
            )
        return fields


def _is_open(step: StepState) -> bool:
    """Return whether a step is ready and not done."""
    return step.ready_s is not None and not step.is_done


def _is_running(job: JobRun) -> bool:
    return any(
        task.phase is TaskPhase.RUNNING
        for step in job.steps_by_key.values()
        for task in _placed_tasks(step)
    )


def _placed_tasks(step: StepState) -> list[TaskState]:
    if step.waiting_count == len(step.tasks):
        # True of most waiting steps; wide ones have hundreds of tasks.
        return []
    return [task for task in step.tasks if task.is_placed]


def _names(tasks: Iterable[TaskState], *, is_running: bool) -> set[str]:
    """Return the names of the tasks that run, or of those that do not."""
    return {
        task.name
        for task in tasks
        if (task.phase is TaskPhase.RUNNING) is is_running
    }


def _is_up(worker: WorkerState) -> bool:
    """Return whether nothing is known that keeps a worker from running work."""
    is_leaving = worker.entry.draining or not worker.is_listed
    is_silent = worker.unanswered_s > worker.lease.last_contact_s
    return not (is_leaving or is_silent or worker.is_suspected)


def _service_room(workers: Collection[WorkerState]) -> ServiceRoom:
    """Return the free capacity of workers of one service that are up."""
    return ServiceRoom(
        (
            WorkerRoom(
                worker.worker_id,
                worker.entry.capacity - worker.used,
                worker.entry.labels,
            )
            for worker in workers
        ),
        sum(worker.used.cpu_millis for worker in workers),
        sum(worker.entry.capacity.cpu_millis for worker in workers),
    )


def _held_counts(step: StepState) -> Counter[str]:
    """Return how many tasks of a step with ``max_per_worker`` are where."""
    if not step.spec.max_per_worker:
        return Counter()
    return Counter(task.worker_id for task in _placed_tasks(step))


def _count_advice(advice: StepAdvice | None) -> dict[str, int]:
    """Return how many workers advice was requested for, and its outcome."""
    if advice is None:
        return {'asked_workers': 0, 'ruled_out_workers': 0}
    answered_ids = advice.ineligible_ids | advice.tickets_by_worker.keys()
    return {
        'asked_workers': len(answered_ids | advice.asked_ids),
        'ruled_out_workers': len(advice.ineligible_ids),
    }


def _rounded(seconds: Mapping[WaitReason, float]) -> dict[str, float]:
    return {str(reason): round(each, 2) for reason, each in seconds.items()}


def _fitting_count(step: StepState, worker: WorkerState) -> int:
    """Return how many tasks of a step fit on a worker now."""
    return fitting_task_count(step, worker.entry.capacity - worker.used)


def _describe_worker(
    step: StepState,
    worker: WorkerState,
    advice: StepAdvice | None,
    now: float,
) -> str:
    """Describe in a few words whether a step can use a worker."""
    if not worker.takes_work(now):
        return _describe_unusable(worker, now)
    if not is_eligible(step, worker):
        return (
            'kept for other work'
            if can_execute(step, worker)
            else 'other service or label'
        )
    availability = 'room' if _fitting_count(step, worker) else 'full'
    if step.job.stored.advice is None:
        return availability
    worker_id = worker.worker_id
    if advice is None or not advice.has_answer_for(worker_id):
        return f'{availability}, not asked about'
    if worker_id in advice.ineligible_ids:
        return 'ruled out'
    has_ticket = advice.ticket(worker_id, now) is not None
    return (
        f'{availability}, ticket'
        if has_ticket
        else f'{availability}, no ticket'
    )


def _describe_unusable(worker: WorkerState, now: float) -> str:
    if worker.entry.draining:
        return 'draining'
    if not worker.is_listed:
        return 'not registered'
    if worker.not_before_s > now:
        return 'paused'
    if not worker.lease.is_usable(now):
        return 'silent'
    return 'in doubt' if worker.is_suspected else 'not granted'
