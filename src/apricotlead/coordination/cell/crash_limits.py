"""Limits on how many workers the work of one queue may take down at a time.

Pattern: one queue brings many jobs that crash every worker that starts them.
Each is only known once it has taken a worker down, so that without a limit they
take down the whole cell. Once a good part of a queue's latest starts crashed a
worker, its steps start one after another, so that it shows which of them did,
and only while most workers are up. A step of which a run has lived for a moment
is not limited.

A step that is held back starts once workers are back. New jobs of the queue are
rejected while the steps in front would keep them waiting for too long
(:mod:`.admission`).
"""

from collections import Counter

from apricotlead.coordination.cell.crash_evidence import YOUNG_S
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.state.cell_jobs import StepState, TaskPhase, TaskState
from apricotlead.state.queue_risk import QueueRisk
from apricotlead.state.wait_times import WaitReason

# A queue is limited once this share of its latest starts crashed a worker, and
# until it is lower. Holding back the others would cost callers more than fewer
# crashes do.
_LIMIT_SHARE = 0.4
_RELEASE_SHARE = 0.2
# From this share on, a first start costs all work beside it nearly for certain.
_ALONE_SHARE = 0.7
# A crash shows within this time, so that one start has to follow the other by it.
# In a large cell, one start for so many workers that may yet go down.
_START_INTERVAL_S = 0.06
_WORKERS_PER_START = 8
# The share of a service's workers that may be down before starts are held back.
_MAX_DOWN_SHARE = 0.33
# How long a crashed worker is away.
_DOWN_S = 4.0


class CrashLimits:
    """Applies the limits in the rounds of placement."""

    __slots__ = ('_down_counts', '_tracker', '_worker_counts', 'is_any_high')

    def __init__(self, tracker: RunTracker) -> None:
        """Limit the queues of which ``tracker`` knows such starts."""
        self._tracker = tracker
        self._worker_counts: Counter[str] = Counter()
        self._down_counts: Counter[str] = Counter()
        # Whether any queue is limited.
        self.is_any_high = False

    def begin(self) -> None:
        """Begin a round: find the queues to limit, and count the workers."""
        self.is_any_high = False
        for queue, risk in self._tracker.risks_by_queue.items():
            share = _RELEASE_SHARE if risk.is_high else _LIMIT_SHARE
            is_high = risk.crashed_share() >= share
            if is_high != risk.is_high:
                risk.is_high = is_high
                kind = 'queue limited' if is_high else 'queue released'
                self._tracker.note(kind, queue=queue)
            self.is_any_high |= is_high
        self._worker_counts = Counter()
        self._down_counts = Counter()
        if self.is_any_high:
            for worker in self._tracker.workers_by_id.values():
                service = worker.entry.service
                self._worker_counts[service] += 1
                self._down_counts[service] += worker.is_suspected

    def is_held_back(self, step: StepState, now: float) -> bool:
        """Return whether a step has to wait until workers are back."""
        if not self.is_limited(step):
            return False
        stored = step.job.stored
        risk = self._tracker.risks_by_queue[stored.queue]
        return not self._may_start(risk, stored.service, now)

    def is_high(self, queue: str) -> bool:
        """Return whether the first starts of a queue's steps are limited."""
        risk = self._tracker.risks_by_queue.get(queue)
        return risk is not None and risk.is_high

    def is_limited(self, step: StepState) -> bool:
        """Return whether a step belongs to such starts."""
        if not self.is_high(step.job.stored.queue):
            return False
        return not (step.has_suspects or _has_lived(step, self._tracker))

    def may_begin_alone(self, step: StepState) -> bool:
        """Return whether a step may begin, on a worker of its own."""
        stored = step.job.stored
        risk = self._tracker.risks_by_queue[stored.queue]
        is_nearly_certain = risk.crashed_share() >= _ALONE_SHARE
        return is_nearly_certain and self._left_count(stored.service) >= 1

    def record_trial(self, step: StepState, now: float) -> None:
        """Record a first start whose outcome is known."""
        self._tracker.risks_by_queue[step.job.stored.queue].note_start(
            step, now
        )

    def note_start(self, step: StepState, now: float) -> None:
        """Record that tasks of a step were placed.

        What comes of a trial is recorded once it is known.
        """
        if step.apart_for is not None:
            return
        if step.has_suspects or _has_lived(step, self._tracker):
            return
        risk = self._tracker.risks_by_queue.setdefault(
            step.job.stored.queue, QueueRisk()
        )
        risk.note_start(step, now)

    def _may_start(self, risk: QueueRisk, service: str, now: float) -> bool:
        """Return whether one more step of a limited queue may start now."""
        left = self._left_count(service)
        most = max(1, left / _WORKERS_PER_START)
        is_turn = risk.starts_since(now - _START_INTERVAL_S) < most
        return left >= 1 and is_turn

    def _left_count(self, service: str) -> float:
        """Return how many more workers of a service may go down."""
        most = _max_down(self._worker_counts[service])
        return most - self._down_counts[service]


def held_s_by_queue(tracker: RunTracker) -> dict[str, float]:
    """Return how long the steps take that are held back, by queue."""
    held_counts: Counter[tuple[str, str]] = Counter(
        (step.job.stored.queue, step.job.stored.service)
        for step in tracker.ready_steps_by_name.values()
        if step.waits.reason is WaitReason.CRASHES
    )
    held_s: dict[str, float] = {}
    for (queue, service), count in held_counts.items():
        worker_count = sum(
            worker.entry.service == service
            for worker in tracker.workers_by_id.values()
        )
        crash_count = count * tracker.risks_by_queue[queue].crashed_share()
        down_s = crash_count / _max_down(worker_count) * _DOWN_S
        held_s[queue] = round(max(down_s, count * _START_INTERVAL_S), 2)
    return held_s


def _max_down(worker_count: int) -> float:
    """Return how many workers of a service may be down."""
    return max(1, worker_count * _MAX_DOWN_SHARE)


def _has_lived(step: StepState, tracker: RunTracker) -> bool:
    """Return whether a run of a step has lived for a moment."""
    if not step.has_lived:
        step.has_lived = bool(step.done_count) or any(
            _is_old(task, tracker) for task in step.tasks
        )
    return step.has_lived


def _is_old(task: TaskState, tracker: RunTracker) -> bool:
    """Return whether the worker of a run has answered since its start."""
    if task.phase is not TaskPhase.RUNNING:
        return False
    worker = tracker.workers_by_id.get(task.worker_id)
    if worker is None:
        return False
    return worker.lease.last_contact_s - task.started_s > YOUNG_S
