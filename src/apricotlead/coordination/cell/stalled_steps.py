"""Steps that could run and do not, and what keeps each of them.

Pattern: a service that is half empty while accepted work stands still. Nothing
fails then, so no other line tells of it. A step counts as stalled when nothing
of it has run for a while, although its turn has come and it would fit on
workers that advice does not rule out, or its tasks have been chosen and do not
begin.
"""

from collections import Counter
from collections.abc import Container, Iterable
from typing import Any

from apricotlead.coordination.cell.advice_book import AdviceBook, StepAdvice
from apricotlead.coordination.cell.placement import may_run_here, places_in
from apricotlead.coordination.cell.run_book import RunBook
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState

# Placing a step takes an answer about workers and a write; longer is a fault.
STALLED_AFTER_S = 3.0
# Spaces the lines on one step.
_TELL_EACH_S = 5.0
_MOST_TOLD = 5
# Bounds the work of a check; the others are looked at in the next ones.
_MOST_EXAMINED = 40
_MOST_TASKS_TOLD = 4


class StalledSteps:
    """Looks for stalled steps of services more than half of which is free."""

    __slots__ = (
        '_advice',
        '_book',
        '_next',
        '_since_s_by_step',
        '_told_s_by_step',
    )

    def __init__(self, book: RunBook, advice: AdviceBook) -> None:
        """Leave a note in ``book`` on each step that is found."""
        self._book = book
        self._advice = advice
        # Where the next check goes on among the steps that do not run.
        self._next = 0
        self._since_s_by_step: dict[str, float] = {}
        self._told_s_by_step: dict[str, float] = {}

    def check(self, now: float) -> None:
        """Note the steps that have been stalled for too long."""
        workers = [
            worker
            for worker in self._book.workers_by_id.values()
            if worker.takes_work(now)
        ]
        services = _half_free_services(workers)
        steps = self._idle_steps(services) if services else []
        self._forget_others(steps)
        told_count = 0
        for step in self._some(steps):
            if not self._could_run(step, workers):
                self._since_s_by_step.pop(step.name, None)
                continue
            since_s = self._since_s_by_step.setdefault(step.name, now)
            is_due = self._is_due(step.name, since_s, now)
            if is_due and told_count < _MOST_TOLD:
                told_count += 1
                self._tell(step, workers, since_s, now)

    def _idle_steps(self, services: Container[str]) -> list[StepState]:
        """Return the steps whose turn has come and of which nothing runs."""
        return [
            step
            for job in self._book.jobs_by_id.values()
            if job.stored.service in services
            for step in job.steps_by_key.values()
            if _is_idle(step)
        ]

    def _forget_others(self, steps: Iterable[StepState]) -> None:
        names = {step.name for step in steps}
        for name in self._since_s_by_step.keys() - names:
            self._since_s_by_step.pop(name)
            self._told_s_by_step.pop(name, None)

    def _some(self, steps: list[StepState]) -> list[StepState]:
        """Return as many steps as a check may look at, others each time."""
        start = self._next if self._next < len(steps) else 0
        self._next = start + _MOST_EXAMINED
        return steps[start : self._next]

    def _could_run(
        self,
        step: StepState,
        workers: Iterable[WorkerState],
    ) -> bool:
        waiting = step.waiting_count
        if not waiting or (step.spec.gang and waiting < len(step.tasks)):
            # It is not room that the step waits for.
            return True
        advice = self._known_advice(step)
        needed = len(step.tasks) if step.spec.gang else 1
        places = sum(
            _places(step, worker)
            for worker in workers
            if may_run_here(step, worker)
            and not (advice and worker.worker_id in advice.bad)
        )
        return places >= needed

    def _known_advice(self, step: StepState) -> StepAdvice | None:
        return self._advice.steps_by_name.get(step.name)

    def _is_due(self, name: str, since_s: float, now: float) -> bool:
        told_s = self._told_s_by_step.get(name, float('-inf'))
        has_lasted = now - since_s >= STALLED_AFTER_S
        return has_lasted and now - told_s >= _TELL_EACH_S

    def _tell(
        self,
        step: StepState,
        workers: Iterable[WorkerState],
        since_s: float,
        now: float,
    ) -> None:
        """Leave a line with all that could keep a step."""
        self._told_s_by_step[step.name] = now
        advice = self._known_advice(step)
        states: Counter[str] = Counter(
            _describe_worker(step, worker, advice, now)
            for worker in self._book.workers_by_id.values()
        )
        chosen = [task for task in step.tasks if task.is_placed]
        organisation = step.job.stored.organisation
        self._book.note(
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
            workers=states,
            open_calls=advice.open_calls if advice else 0,
            asked_age_s=round(now - advice.asked_s, 2) if advice else None,
            organisation_cpu_millis=self._book.usage(organisation).cpu_millis,
            chosen=[
                self._describe_task(task, now)
                for task in chosen[:_MOST_TASKS_TOLD]
            ],
        )

    def _describe_task(self, task: TaskState, now: float) -> dict[str, Any]:
        worker = self._book.workers_by_id.get(task.worker_id)
        told = {
            'task': task.name,
            'run': task.run,
            'phase': task.phase.value,
            'worker': task.worker_id,
            'is_worker_known': worker is not None,
        }
        if worker is not None:
            run = (task.name, task.run)
            told['is_stop_pending'] = run in worker.runs_to_stop
            told['contact_age_s'] = round(now - worker.lease.last_contact_s, 2)
        return told


def _is_idle(step: StepState) -> bool:
    """Tell whether a step's turn has come and nothing of it runs."""
    if step.ready_s is None or step.is_done or step.job.state.is_final:
        return False
    return not any(task.phase is TaskPhase.RUNNING for task in step.tasks)


def _half_free_services(workers: Iterable[WorkerState]) -> set[str]:
    surplus: Counter[str] = Counter()
    for worker in workers:
        whole = worker.entry.capacity.cpu_millis
        surplus[worker.entry.service] += whole - 2 * worker.used.cpu_millis
    return {service for service, cpu in surplus.items() if cpu > 0}


def _places(step: StepState, worker: WorkerState) -> int:
    """Return how many tasks of a step fit on a worker now."""
    return places_in(step, worker.entry.capacity - worker.used)


def _describe_worker(
    step: StepState,
    worker: WorkerState,
    advice: StepAdvice | None,
    now: float,
) -> str:
    """Return in a few words what a worker is to a step."""
    if not worker.takes_work(now):
        return _why_unusable(worker, now)
    if not may_run_here(step, worker):
        return 'other service or label'
    room = 'room' if _places(step, worker) else 'full'
    if step.job.stored.advice is None:
        return room
    worker_id = worker.worker_id
    if advice is None or not advice.knows(worker_id):
        return f'{room}, not asked about'
    if worker_id in advice.bad:
        return 'ruled out'
    has_ticket = advice.ticket(worker_id, now) is not None
    return f'{room}, ticket' if has_ticket else f'{room}, no ticket'


def _why_unusable(worker: WorkerState, now: float) -> str:
    if worker.entry.draining:
        return 'draining'
    if not worker.is_listed:
        return 'not registered'
    if worker.not_before_s > now:
        return 'paused'
    if not worker.lease.is_usable(now):
        return 'silent'
    return 'in doubt' if worker.is_suspected else 'not granted'
