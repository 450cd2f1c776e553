"""In-memory state of the cell's jobs in the elected scheduler."""

from collections import Counter
from collections.abc import Mapping
from enum import Enum

from apricotlead.protocol.cell_jobs import (
    JobProgress,
    JobState,
    StepRecord,
    StepSpec,
    StoredJob,
    TaskRecord,
)
from apricotlead.protocol.resources import Resources
from apricotlead.state.crash_history import CrashHistory
from apricotlead.state.progress_parts import ProgressPart, ProgressParts
from apricotlead.state.wait_times import WaitTimes

# A task is named ``{job_id}.{occurrence}.{step}.{index}``.
_TASK_NAME_NUMBERS = 3
_MS_PER_S = 1000.0


class TaskPhase(Enum):
    """The phase of a task.

    ``PLANNED``: placed on a worker, not yet in the journal. ``SENT``:
    journaled, but not yet confirmed as running by the worker. ``STOPPING``: a
    stop was ordered, and the resources are still in use.
    """

    WAITING = 'waiting'
    PLANNED = 'planned'
    SENT = 'sent'
    RUNNING = 'running'
    STOPPING = 'stopping'
    DONE = 'done'


PLACED_PHASES = frozenset(
    (
        TaskPhase.PLANNED,
        TaskPhase.SENT,
        TaskPhase.RUNNING,
        TaskPhase.STOPPING,
    ),
)


class TaskState:
    """The state of a task; times are in seconds of the local clock."""

    __slots__ = (
        'avoided_workers',
        'born_ms',
        'checkpoint',
        'crashes',
        'failures',
        'first_progress',
        'index',
        'is_confirmed',
        'is_start_known',
        'load',
        'may_outlast_lease',
        'name',
        'not_before_s',
        'percent',
        'phase',
        'placed_s',
        'progress',
        'progress_s',
        'run',
        'started_s',
        'step',
        'ticket',
        'unanswered_start_s',
        'worker_id',
    )

    def __init__(self, step: 'StepState', index: int) -> None:
        """Start in the phase ``WAITING``."""
        self.step = step
        self.index = index
        self.name = f'{step.name}.{index}'
        self.phase = TaskPhase.WAITING
        self.run = 0
        self.worker_id = ''
        # The start time of the worker's incarnation that the run is meant for.
        self.born_ms = 0.0
        self.failures = 0
        self.checkpoint = ''
        self.ticket = ''
        # When the run was placed, maybe by a former scheduler.
        self.placed_s = 0.0
        self.started_s = 0.0
        # Whether the run began during this scheduler's term.
        self.is_start_known = False
        # Whether the worker's present incarnation has confirmed the run, also if
        # it is being stopped.
        self.is_confirmed = False
        # When the latest start of this run without an answer was given up,
        # maybe by a former scheduler; ``None`` if all were answered.
        self.unanswered_start_s: float | None = None
        # Whether a later incarnation of the worker may have taken the run, with
        # a lease on its own clock.
        self.may_outlast_lease = False
        # None until a worker reports the run; a resumed run starts above 0.
        self.first_progress: float | None = None
        self.progress = 0.0
        self.progress_s = 0.0
        self.load = 0.0
        self.percent = 100
        self.not_before_s = 0.0
        self.avoided_workers: set[str] = set()
        self.crashes = CrashHistory()

    @property
    def is_placed(self) -> bool:
        """Return whether the task may occupy resources on a worker."""
        return self.phase in PLACED_PHASES

    def record(self, store_offset_s: float) -> TaskRecord:
        """Return the record for the progress row.

        ``store_offset_s`` is the store's clock minus the local one.
        """
        placed_ms = 0
        if self.is_placed:
            placed_ms = round((self.placed_s + store_offset_s) * _MS_PER_S)
        unanswered_ms = 0
        if self.is_placed and self.unanswered_start_s is not None:
            unanswered_s = self.unanswered_start_s + store_offset_s
            unanswered_ms = round(unanswered_s * _MS_PER_S)
        is_waiting = self.phase is TaskPhase.WAITING
        return TaskRecord(
            self.phase is TaskPhase.DONE,
            self.run,
            self.worker_id if self.is_placed else '',
            self.failures,
            self.checkpoint if is_waiting else '',
            placed_ms,
            self.born_ms if self.is_placed else 0,
            unanswered_ms,
        )

    def restore(
        self, stored: TaskRecord, now: float, store_offset_s: float
    ) -> None:
        """Restore the state that a former scheduler recorded."""
        self.run = stored.run
        self.placed_s = now
        if stored.placed_ms:
            self.placed_s = stored.placed_ms / _MS_PER_S - store_offset_s
        self.started_s = now
        self.progress_s = now
        self.failures = stored.failures
        self.checkpoint = stored.checkpoint
        self.worker_id = stored.worker_id
        self.born_ms = stored.born_ms
        self.unanswered_start_s = None
        if stored.unanswered_ms:
            unanswered_s = stored.unanswered_ms / _MS_PER_S
            self.unanswered_start_s = unanswered_s - store_offset_s
        self.phase = TaskPhase.WAITING
        if stored.is_done:
            self.phase = TaskPhase.DONE
        elif stored.worker_id:
            self.phase = TaskPhase.SENT


class StepState:
    """The state of one step of one occurrence of a job."""

    __slots__ = (
        'apart_for',
        'done_count',
        'gang_failed_run',
        'gang_failed_worker_ids',
        'gang_failures',
        'has_crashed',
        'has_lived',
        'index',
        'is_suspected',
        'job',
        'longest_full_run_s',
        'longest_run_s',
        'lost_core_s_by_kind',
        'may_share_trial',
        'name',
        'occurrence',
        'ready_s',
        'slow_worker_ids',
        'spec',
        'tasks',
        'waiting_count',
        'waits',
    )

    def __init__(self, job: 'JobRun', occurrence: int, index: int) -> None:
        """Start with all tasks waiting."""
        self.job = job
        self.occurrence = occurrence
        self.index = index
        self.spec: StepSpec = job.step_specs[index]
        self.name = f'{job.job_id}.{occurrence}.{index}'
        self.tasks = [
            TaskState(self, number) for number in range(self.spec.task_count)
        ]
        self.done_count = 0
        self.waiting_count = len(self.tasks)
        # Runs of a gang in which a member has failed, and the latest of them.
        self.gang_failures = 0
        self.gang_failed_run = 0
        # The workers that reported a failed member of that run to this term.
        self.gang_failed_worker_ids: set[str] = set()
        # Longest run observed from start to end, 0 before the first.
        self.longest_full_run_s = 0.0
        # The same including resumed runs and gangs; logged when the job ends.
        self.longest_run_s = 0.0
        self.lost_core_s_by_kind: Counter[str] = Counter()
        # Whether any of its tasks ever was; a cheap check for most steps.
        self.is_suspected = False
        # Whether a run of it seems to have crashed its worker, and whether one
        # has lived for a moment.
        self.has_crashed = False
        self.has_lived = False
        # Whether its suspects need not wait for an idle worker any longer.
        self.may_share_trial = False
        # The workers kept apart that alone may run it, by their name.
        self.apart_for: str | None = None
        # Workers on which a run was replaced because it was slow.
        self.slow_worker_ids: set[str] = set()
        self.ready_s: float | None = None
        self.waits = WaitTimes()

    @property
    def has_suspects(self) -> bool:
        """Return whether a task that is not done is suspected of crashes."""
        return self.is_suspected and any(
            task.crashes.is_suspect and task.phase is not TaskPhase.DONE
            for task in self.tasks
        )

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return self.done_count == len(self.tasks)

    def demand(self) -> Resources:
        """Return the resources that one task occupies on a worker."""
        requested = self.spec.demand
        if self.spec.fills:
            return Resources(0, requested.memory_mb, requested.accelerators)
        return requested

    def count_gang_failure(self, run: int, worker_id: str) -> bool:
        """Count a failed run of the gang, once for all of its members.

        Returns whether it is the first failed member of that run on the worker.

        Former versions counted by member and did not store the run, so their
        rows may contain more failures than runs, and this run already.
        """
        if run > self.gang_failed_run:
            self.gang_failed_run = run
            self.gang_failures = min(self.gang_failures + 1, run)
            self.gang_failed_worker_ids.clear()
        is_first = worker_id not in self.gang_failed_worker_ids
        self.gang_failed_worker_ids.add(worker_id)
        return is_first

    def recount(self) -> None:
        """Recompute the counts of phases after a task has changed."""
        phases = [task.phase for task in self.tasks]
        self.done_count = phases.count(TaskPhase.DONE)
        self.waiting_count = phases.count(TaskPhase.WAITING)

    def record(
        self, store_offset_s: float, first: int = 0, end: int | None = None
    ) -> StepRecord:
        """Return the record of the tasks from ``first`` to before ``end``."""
        tasks = self.tasks[first:end]
        return StepRecord(
            self.occurrence,
            self.index,
            [task.record(store_offset_s) for task in tasks],
            self.gang_failures,
            tuple(
                task.crashes.record(task.index)
                for task in tasks
                if task.crashes.total
            ),
            self.gang_failed_run,
            first,
        )

    def restore(
        self, record: StepRecord, now: float, store_offset_s: float
    ) -> None:
        """Restore the state that a former scheduler recorded.

        It may hold a part of the tasks. Raises :class:`ValueError` for the
        record of another step.
        """
        end = record.first_task + len(record.tasks)
        if min(record.first_task, len(self.tasks) - end) < 0:
            raise ValueError(
                f'step {self.name} has no tasks {record.first_task} to {end}',
            )
        self.gang_failures = max(self.gang_failures, record.gang_failures)
        self.gang_failed_run = max(self.gang_failed_run, record.gang_failed_run)
        for task, stored_task in zip(
            self.tasks[record.first_task : end], record.tasks, strict=True
        ):
            task.restore(stored_task, now, store_offset_s)
        for crashes in record.crashes:
            if not 0 <= crashes.index < len(self.tasks):
                raise ValueError(
                    f'step {self.name} has no task {crashes.index}',
                )
            self.tasks[crashes.index].crashes.restore(crashes)
            self.is_suspected |= crashes.is_suspect
        self.recount()


class JobRun:
    """The state of a job that is not final yet."""

    __slots__ = (
        'accepted_s',
        'critical_path_s_by_done',
        'due_s_by_occurrence',
        'has_started',
        'is_within_weight',
        'job_id',
        'known_since_s',
        'next_occurrence',
        'progress_parts',
        'row_version',
        'state',
        'step_specs',
        'steps_by_key',
        'stored',
        'why_failed',
    )

    def __init__(
        self,
        job_id: str,
        stored: StoredJob,
        accepted_s: float,
        row_version: int,
        known_since_s: float | None = None,
    ) -> None:
        """Start without occurrences; times are in seconds of the local clock.

        ``known_since_s`` is when this scheduler's term took over the job, by
        default when the job was accepted.

        Raises :class:`ValueError` for a final job.
        """
        if stored.submission is None:
            raise ValueError(
                f'job {job_id} is final and cannot run again',
            )
        self.job_id = job_id
        self.stored = stored
        self.step_specs = stored.submission.steps
        self.accepted_s = accepted_s
        self.known_since_s = (
            accepted_s if known_since_s is None else known_since_s
        )
        self.row_version = row_version
        self.steps_by_key: dict[tuple[int, int], StepState] = {}
        self.state = JobState.QUEUED
        self.has_started = False
        self.is_within_weight = True
        # What callers are told about a failure, beside the state.
        self.why_failed = ''
        self.next_occurrence = 0
        self.progress_parts = ProgressParts()
        # Empty for a job without occurrences.
        self.due_s_by_occurrence: dict[int, float] = {}
        # Length of the critical path that remains, by the set of done steps.
        self.critical_path_s_by_done: dict[frozenset[int], float] = {}

    @property
    def occurrence_count(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.stored.submission.occurrences)

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence is due, by default when accepted."""
        return self.due_s_by_occurrence.get(occurrence, self.accepted_s)

    def open_occurrence(self, due_s: float | None = None) -> list[StepState]:
        """Add the steps of the next occurrence and return them.

        ``due_s`` is when it is due, if not when the job was accepted.
        """
        number = self.next_occurrence
        self.next_occurrence += 1
        if due_s is not None:
            self.due_s_by_occurrence[number] = due_s
        steps = [
            StepState(self, number, index)
            for index in range(len(self.step_specs))
        ]
        for step in steps:
            self.steps_by_key[number, step.index] = step
        return steps

    @property
    def task_count(self) -> int:
        """Return the number of tasks of all opened occurrences."""
        return sum(len(step.tasks) for step in self.steps_by_key.values())

    def tasks(self) -> list[TaskState]:
        """Return the tasks of all opened occurrences."""
        return [
            task for step in self.steps_by_key.values() for task in step.tasks
        ]

    def task(self, name: str) -> TaskState | None:
        """Return the task with this name, or ``None``."""
        # Names reported by workers may come from other programs.
        parts = name.split('.')[1:]
        if len(parts) != _TASK_NAME_NUMBERS or not all(
            map(str.isdecimal, parts)
        ):
            return None
        occurrence, index, number = map(int, parts)
        step = self.steps_by_key.get((occurrence, index))
        if step is None or number >= len(step.tasks):
            return None
        return step.tasks[number]

    def is_complete(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        if self.next_occurrence < self.occurrence_count:
            return False
        return all(step.is_done for step in self.steps_by_key.values())

    def progress(
        self, part: ProgressPart, store_offset_s: float = 0.0
    ) -> JobProgress:
        """Return the row of a part of the progress.

        ``store_offset_s`` is the store's clock minus the local one.
        """
        end = self.progress_parts.end_of(part)
        records: list[StepRecord] = []
        number = 0
        for step in self.steps_by_key.values():
            task_count = len(step.tasks)
            first = max(0, part.first - number)
            last = task_count if end is None else min(task_count, end - number)
            if first < last:
                records.append(step.record(store_offset_s, first, last))
            number += task_count
        has_started = self.has_started and not part.number
        return JobProgress(records, has_started=has_started)

    def planned(self, part: ProgressPart) -> list[TaskState]:
        """Return the tasks of a part whose placement is not journaled yet."""
        tasks = self.tasks()
        end = self.progress_parts.end_of(part)
        return [
            task
            for task in tasks[part.first : end]
            if task.phase is TaskPhase.PLANNED
        ]

    def restore(
        self,
        progress_by_part: Mapping[int, JobProgress],
        now: float,
        store_offset_s: float = 0.0,
    ) -> None:
        """Restore the state that a former scheduler recorded.

        Raises :class:`KeyError` or :class:`ValueError` for the rows of another
        job.
        """
        firsts_by_number: dict[int, int] = {}
        for number, progress in sorted(progress_by_part.items()):
            for record in progress.steps:
                self._restore_step(record, now, store_offset_s)
            if progress.steps:
                firsts_by_number[number] = self._first_task(progress.steps[0])
        main = progress_by_part.get(0)
        self.has_started = main is not None and main.has_started
        self.progress_parts.restore(firsts_by_number)
        if len(progress_by_part) == 1 and main is not None:
            self._check_whole(main)

    def _restore_step(
        self, record: StepRecord, now: float, store_offset_s: float
    ) -> None:
        # The due time of a restored occurrence is not stored; use the current time.
        due_s = now if self.stored.submission.occurrences else None
        while self.next_occurrence <= record.occurrence:
            self.open_occurrence(due_s)
        step = self.steps_by_key[record.occurrence, record.step]
        step.restore(record, now, store_offset_s)

    def _first_task(self, record: StepRecord) -> int:
        """Return the number of the first task of a record within the job."""
        number = record.first_task
        for key, step in self.steps_by_key.items():
            if key == (record.occurrence, record.step):
                break
            number += len(step.tasks)
        return number

    def _check_whole(self, progress: JobProgress) -> None:
        """Raise :class:`ValueError` if the only row lacks some tasks."""
        for record in progress.steps:
            step = self.steps_by_key[record.occurrence, record.step]
            if len(record.tasks) != len(step.tasks):
                raise ValueError(
                    f'the record of step {step.name} has {len(record.tasks)} '
                    f'of {len(step.tasks)} tasks',
                )
