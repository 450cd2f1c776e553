"""Detection of steps that could run but do not, with the state that blocks them.

Pattern: a service that is half idle while accepted work makes no progress.
Nothing fails in this case, so no other log line shows it. A step counts as
stalled if none of its tasks has run for a while although it is ready and would
fit on workers that advice does not rule out, or if its tasks have been placed
and do not start.
"""

from collections import Counter
from collections.abc import Container, Iterable
from typing import Any

from apricotlead.coordination.cell.advice_cache import AdviceCache, StepAdvice
from apricotlead.coordination.cell.placement import (
    fitting_task_count,
    is_eligible,
)
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.cell_workers import WorkerState

# Placing a step takes one advice answer and one write; longer is a fault.
STALLED_AFTER_S = 3.0
# Time between two log lines about the same step.
_REPORT_INTERVAL_S = 5.0
_MAX_REPORTS_PER_CHECK = 5
# Bounds the cost of a check; the next checks look at the other steps.
_MAX_STEPS_PER_CHECK = 40
_MAX_TASKS_PER_REPORT = 4


class StalledSteps:
    """Finds stalled steps of services of which more than half is free."""

    __slots__ = (
        '_advice',
        '_next_index',
        '_reported_s_by_step',
        '_since_s_by_step',
        '_tracker',
    )

    def __init__(self, tracker: RunTracker, advice: AdviceCache) -> None:
        """Report each stalled step as a note in ``tracker``."""
        self._tracker = tracker
        self._advice = advice
        # Index of the idle step that the next check starts with.
        self._next_index = 0
        self._since_s_by_step: dict[str, float] = {}
        self._reported_s_by_step: dict[str, float] = {}

    def check(self, now: float) -> None:
        """Report the steps that have been stalled for too long."""
        workers = [
            worker
            for worker in self._tracker.workers_by_id.values()
            if worker.takes_work(now)
        ]
        services = _half_free_services(workers)
        steps = self._idle_steps(services) if services else []
        self._forget_all_except(steps)
        report_count = 0
        for step in self._next_steps(steps):
            if not self._could_run(step, workers):
                self._since_s_by_step.pop(step.name, None)
                continue
            since_s = self._since_s_by_step.setdefault(step.name, now)
            is_due = self._is_due(step.name, since_s, now)
            if is_due and report_count < _MAX_REPORTS_PER_CHECK:
                report_count += 1
                self._report(step, workers, since_s, now)

    def _idle_steps(self, services: Container[str]) -> list[StepState]:
        """Return the ready steps of which no task is running."""
        return [
            step
            for job in self._tracker.jobs_by_id.values()
            if job.stored.service in services
            for step in job.steps_by_key.values()
            if _is_idle(step)
        ]

    def _forget_all_except(self, steps: Iterable[StepState]) -> None:
        names = {step.name for step in steps}
        for name in self._since_s_by_step.keys() - names:
            self._since_s_by_step.pop(name)
            self._reported_s_by_step.pop(name, None)

    def _next_steps(self, steps: list[StepState]) -> list[StepState]:
        """Return the steps of this check, continuing after the last one."""
        start = self._next_index if self._next_index < len(steps) else 0
        self._next_index = start + _MAX_STEPS_PER_CHECK
        return steps[start : self._next_index]

    def _could_run(
        self,
        step: StepState,
        workers: Iterable[WorkerState],
    ) -> bool:
        waiting = step.waiting_count
        if not waiting or (step.spec.gang and waiting < len(step.tasks)):
            # The step does not wait for capacity.
            return True
        advice = self._known_advice(step)
        needed = len(step.tasks) if step.spec.gang else 1
        fitting_count = sum(
            _fitting_count(step, worker)
            for worker in workers
            if is_eligible(step, worker)
            and not (advice and worker.worker_id in advice.ineligible_ids)
        )
        return fitting_count >= needed

    def _known_advice(self, step: StepState) -> StepAdvice | None:
        return self._advice.steps_by_name.get(step.name)

    def _is_due(self, name: str, since_s: float, now: float) -> bool:
        reported_s = self._reported_s_by_step.get(name, float('-inf'))
        has_lasted = now - since_s >= STALLED_AFTER_S
        return has_lasted and now - reported_s >= _REPORT_INTERVAL_S

    def _report(
        self,
        step: StepState,
        workers: Iterable[WorkerState],
        since_s: float,
        now: float,
    ) -> None:
        """Log everything that could block a step."""
        self._reported_s_by_step[step.name] = now
        advice = self._known_advice(step)
        worker_counts: Counter[str] = Counter(
            _describe_worker(step, worker, advice, now)
            for worker in self._tracker.workers_by_id.values()
        )
        chosen = [task for task in step.tasks if task.is_placed]
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


def _is_idle(step: StepState) -> bool:
    """Return whether a step is ready and none of its tasks is running."""
    if step.ready_s is None or step.is_done or step.job.state.is_final:
        return False
    return not any(task.phase is TaskPhase.RUNNING for task in step.tasks)


def _half_free_services(workers: Iterable[WorkerState]) -> set[str]:
    free_minus_used_cpu: Counter[str] = Counter()
    for worker in workers:
        total_cpu = worker.entry.capacity.cpu_millis
        free_minus_used_cpu[worker.entry.service] += (
            total_cpu - 2 * worker.used.cpu_millis
        )
    return {service for service, cpu in free_minus_used_cpu.items() if cpu > 0}


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
        return 'other service or label'
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
