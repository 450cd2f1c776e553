"""Decides which submissions, status requests and lookups are accepted."""

from collections.abc import Callable, Iterable
from math import isfinite
from typing import Any, Protocol

from msgspec import Struct

from apricotlead.coordination.component import Component, handles
from apricotlead.protocol.config import Queue
from apricotlead.protocol.errors import (
    ApricotleadError,
    BadInput,
    Draining,
    KeyRefused,
    NeverFits,
    NotFound,
    Overloaded,
    StaleView,
    TryLater,
)
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.jobs import Submission, TaskSpec
from apricotlead.protocol.outcomes import NotRun
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    AdmitJob,
    Answer,
    AskStatus,
    Count,
    FindJob,
    Shutdown,
    Signal,
    SubmitJob,
)
from apricotlead.state.config_view import ConfigView

PendingTasks = Callable[[str], int]


class WorkerDirectory(Protocol):
    """The part of ``CellDirectory`` that admission reads."""

    workers_by_id: dict[str, Instance]

    def can_hold(self, demand: Resources) -> bool:
        """Tell whether any single worker is as large as ``demand``."""

    def total_capacity(self) -> Resources:
        """Return the summed capacity of all workers."""


class AdmissionSettings(Struct, frozen=True):
    """Retry delays in seconds, and bounds of one submission."""

    retry_after_s: float = 1.0
    draining_retry_after_s: float = 0.0
    max_tasks: int = 10_000
    max_request_id: int = 200


class Admission(Component):
    """Checks keys, queues, presets and sizes before a job is accepted.

    ``pending_tasks`` returns the number of tasks of a queue that wait at
    this session; the bound of a queue applies to each session.
    """

    name = 'admission'
    __slots__ = (
        '_config_view',
        '_directory',
        '_draining',
        '_pending_tasks',
        '_settings',
    )

    def __init__(
        self,
        settings: AdmissionSettings,
        config_view: ConfigView,
        directory: WorkerDirectory,
        pending_tasks: PendingTasks,
    ) -> None:
        """Start in the admitting state."""
        self._settings = settings
        self._config_view = config_view
        self._directory = directory
        self._pending_tasks = pending_tasks
        self._draining = False

    @classmethod
    def from_config(
        cls,
        settings: AdmissionSettings,
        config_view: ConfigView,
        directory: WorkerDirectory,
        pending_tasks: PendingTasks,
    ) -> 'Admission':
        """Build from settings and the state to read."""
        return cls(settings, config_view, directory, pending_tasks)

    @handles(SubmitJob)
    def on_submit(self, submit: SubmitJob, now: float) -> Iterable[Signal]:
        """Pass a valid submission to ``JobLifecycle``, or reject it."""
        try:
            team = self._check_submission(submit, now)
        except ApricotleadError as error:
            return self._refuse(submit.ticket, error)
        return (AdmitJob(submit.ticket, team, submit.submission),)

    @handles(AskStatus)
    def on_ask(self, ask: AskStatus, now: float) -> Iterable[Signal]:
        """Pass a valid status request to ``JobLifecycle``, or reject it."""
        try:
            team = self._team_of_key(ask.key, now) if ask.key else ''
        except ApricotleadError as error:
            return self._refuse(ask.ticket, error)
        return (FindJob(ask.ticket, ask.job_id, team, ask.cancel),)

    @handles(Shutdown)
    def on_shutdown(self, shutdown: Shutdown, now: float) -> Iterable[Signal]:
        """Reject new work from now on."""
        self._draining = True
        return ()

    def check_lookup(self, queue: str, key: str, now: float) -> str:
        """Return the team that a lookup is counted for, empty for open queues.

        Raises :class:`Draining`, :class:`NotFound`, :class:`StaleView` or
        :class:`KeyRefused`.
        """
        self._check_draining()
        return self._team_of_queue(self._find_queue(queue, now), key, now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return whether new work is rejected."""
        return {'draining': self._draining}

    def _refuse(
        self,
        ticket: int,
        error: ApricotleadError,
    ) -> Iterable[Signal]:
        outcome = NotRun(error, self._retry_after_s(error))
        return (
            Count(f'admission.{error.kind}'),
            Answer(ticket, outcome),
        )

    def _retry_after_s(self, error: ApricotleadError) -> float | None:
        if isinstance(error, Draining):
            return self._settings.draining_retry_after_s
        if isinstance(error, TryLater):
            return self._settings.retry_after_s
        return None

    def _check_draining(self) -> None:
        if self._draining:
            raise Draining('This instance is being stopped.')

    def _find_queue(self, name: str, now: float) -> Queue:
        queue = self._config_view.queue(name)
        if queue is not None:
            return queue
        # A queue missing in a stale view may have been created since.
        self._check_fresh(now)
        raise NotFound(f'There is no queue {name!r}.')

    def _check_fresh(self, now: float) -> None:
        if not self._config_view.is_fresh(now):
            raise StaleView(
                'This instance cannot show that its configuration is recent.',
            )

    def _team_of_queue(self, queue: Queue, key: str, now: float) -> str:
        if not queue.team:
            return ''
        if self._team_of_key(key, now) != queue.team:
            raise KeyRefused(f'The key is not for queue {queue.name!r}.')
        return queue.team

    def _team_of_key(self, key: str, now: float) -> str:
        self._check_fresh(now)
        team = self._config_view.team_for_key(key)
        if team is None:
            raise KeyRefused('The key is not known.')
        return team

    def _check_submission(self, submit: SubmitJob, now: float) -> str:
        self._check_draining()
        submission = submit.submission
        queue = self._find_queue(submission.queue, now)
        team = self._team_of_queue(queue, submit.key, now)
        self._check_form(submission)
        self._check_fit(submission)
        self._check_limit(submission, team)
        self._check_preset(submission)
        self._check_pending(queue, len(submission.tasks))
        return team

    def _check_form(self, submission: Submission) -> None:
        count = len(submission.tasks)
        if not 0 < count <= self._settings.max_tasks:
            max_count = self._settings.max_tasks
            raise BadInput(f'tasks has {count} entries, not 1 to {max_count}.')
        if len(submission.request_id) > self._settings.max_request_id:
            max_count = self._settings.max_request_id
            raise BadInput(f'request_id has more than {max_count} characters.')
        for index, task in enumerate(submission.tasks):
            _check_task(index, task)

    def _check_fit(self, submission: Submission) -> None:
        if not self._directory.workers_by_id:
            raise TryLater('No worker is known to this instance yet.')
        demands = {task.demand for task in submission.tasks}
        for demand in demands:
            if not self._directory.can_hold(demand):
                raise NeverFits(f'No worker has room for {demand}.')
        if submission.kind == 'gang':
            self._check_gang_fit(submission)

    def _check_gang_fit(self, submission: Submission) -> None:
        total = sum((task.demand for task in submission.tasks), Resources())
        if not total.fits_in(self._directory.total_capacity()):
            raise NeverFits(f'The gang needs {total}, more than the cell has.')

    def _check_limit(self, submission: Submission, team_name: str) -> None:
        team = self._config_view.team(team_name)
        if team is None:
            return
        # A batch job needs one unit at a time, a gang all of its units at once.
        needed = len(submission.tasks) if submission.kind == 'gang' else 1
        if needed > team.limit:
            raise NeverFits(
                f'The job needs {needed} units at once; the upper limit of '
                + f'team {team.name!r} is {team.limit}.',
            )

    def _check_preset(self, submission: Submission) -> None:
        preset = self._config_view.preset()
        if submission.kind == 'batch' and not preset.admits_batch:
            raise TryLater(f'Preset {preset.name!r} admits no batch jobs.')

    def _check_pending(self, queue: Queue, count: int) -> None:
        bound = queue.max_pending_tasks
        if count > bound:
            raise BadInput(
                f'tasks has {count} entries; queue {queue.name!r} '
                + f'holds {bound}.',
            )
        if self._pending_tasks(queue.name) + count > bound:
            raise Overloaded(f'Queue {queue.name!r} is full.')


def _check_task(index: int, task: TaskSpec) -> None:
    if not task.demand.is_valid_demand():
        raise BadInput(f'tasks[{index}].demand is empty or negative.')
    if not (isfinite(task.run_s) and task.run_s >= 0):
        raise BadInput(f'tasks[{index}].run_s is {task.run_s}.')
