"""First starts of steps whose queue is limited, on workers of their own.

Pattern: nearly all jobs of a queue crash their workers, beside a queue that
does not. Each first start took down a worker with all other work on it, and
that work, suspected since, then waited for trials of its own. The first start
of such a step is a trial as well: on a worker without other runs, where nothing
is placed beside it until it has lived for a moment.

Pattern: hundreds of steps that are held back at the end of a day, one start at a
time and only while most workers are up. Nothing else needs the workers then, so
each idle one is used for a trial.
"""

from collections.abc import Container, Iterator

from apricotlead.coordination.cell.crash_limits import CrashLimits
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.state.cell_jobs import StepState, TaskState


class FirstTrials:
    """The steps that wait for their first trial, or are in it."""

    __slots__ = ('_crash_limits', '_judged_names', '_steps_by_name', '_tracker')

    def __init__(self, tracker: RunTracker, crash_limits: CrashLimits) -> None:
        """Start without steps."""
        self._tracker = tracker
        self._crash_limits = crash_limits
        self._steps_by_name: dict[str, StepState] = {}
        # Steps of which it was recorded whether they crashed their worker.
        self._judged_names: set[str] = set()

    @property
    def names(self) -> Container[str]:
        """Return the names of the steps."""
        return self._steps_by_name.keys()

    def tasks(self) -> Iterator[TaskState]:
        """Return the tasks of the steps."""
        for step in self._steps_by_name.values():
            yield from step.tasks

    def update(self, quiet: Container[str], now: float) -> list[StepState]:
        """Return the steps that wait for a trial in this round.

        ``quiet`` are the services of which nothing else needs the workers.
        """
        self.end_trials(quiet, now)
        if not self._crash_limits.is_any_high:
            return []
        waiting = [
            step
            for step in self._tracker.ready_steps_by_name.values()
            if self._needs_trial(step, quiet)
        ]
        for step in waiting:
            if step.has_crashed and step.name not in self._steps_by_name:
                self._judged_names.add(step.name)
            self._steps_by_name[step.name] = step
        return waiting

    def end_trials(self, quiet: Container[str], now: float) -> None:
        """Let the steps go on whose trials are over."""
        for step in tuple(self._steps_by_name.values()):
            self._judge(step, now)
            if not self._is_in_trial(step, quiet):
                self._end(step)

    def _needs_trial(self, step: StepState, quiet: Container[str]) -> bool:
        """Return whether a step may begin now, but only on its own worker."""
        if step.spec.gang or step.waiting_count < len(step.tasks):
            return False
        limits = self._crash_limits
        if not limits.is_limited(step):
            return False
        is_quiet = step.job.stored.service in quiet
        return is_quiet or limits.may_begin_alone(step)

    def _is_in_trial(self, step: StepState, quiet: Container[str]) -> bool:
        if any(task.is_placed for task in step.tasks):
            return self._crash_limits.is_limited(step)
        is_ready = step.name in self._tracker.ready_steps_by_name
        return is_ready and self._needs_trial(step, quiet)

    def _judge(self, step: StepState, now: float) -> None:
        """Record, once, whether a step has crashed its worker or lived.

        While that is not known it counts neither way: many trials that begin
        at once would end the limit before any of them has shown a crash.
        """
        has_lived = not (
            step.has_suspects or self._crash_limits.is_limited(step)
        )
        if step.name not in self._judged_names:
            if step.has_crashed or (has_lived and step.has_lived):
                self._judged_names.add(step.name)
                self._crash_limits.record_trial(step, now)

    def _end(self, step: StepState) -> None:
        """Let a step go on like any other, or wait like those held back."""
        self._steps_by_name.pop(step.name)
        self._judged_names.discard(step.name)
        if not step.has_suspects:
            step.apart_for = None
            step.may_share_trial = False
