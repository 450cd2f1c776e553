"""The elected scheduler of a cell: one view of all jobs and all workers.

Messages and times come in as arguments; orders go out as values. The driver
is :mod:`apricotlead.transport.cell_scheduling`.
"""

from collections import Counter, defaultdict

import msgspec

from apricotlead.coordination.cell.advice_book import AdviceBook, AdviceCall
from apricotlead.coordination.cell.election import OwnerRow
from apricotlead.coordination.cell.job_intake import JobIntake
from apricotlead.coordination.cell.journal import JournalBatch, take_batch
from apricotlead.coordination.cell.planner import Planner
from apricotlead.coordination.cell.run_book import RunBook
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.speed_rows import SpeedRows
from apricotlead.coordination.cell.stalled_steps import StalledSteps
from apricotlead.coordination.cell.starts import PlannedStart, StartTracker
from apricotlead.coordination.cell.store_clock import StoreClock
from apricotlead.coordination.cell.worker_watch import WorkerWatch
from apricotlead.state.cell_config_view import CellConfigView

_MOST_EXPIRED = 8
_MS_PER_S = 1000.0
_SUM_UP_S = 1.0


class CellScheduler:
    """Decides for one epoch; built anew at each takeover.

    ``jobs`` takes rows of the store, ``workers`` what workers say, ``starts``
    answers to orders; :meth:`plan` and the journal join them.
    """

    __slots__ = (
        '_summed_up_s',
        'advice',
        'book',
        'clock',
        'jobs',
        'owner',
        'owner_version',
        'planner',
        'speeds',
        'stalled',
        'starts',
        'workers',
    )

    def __init__(
        self,
        settings: CellSettings,
        view: CellConfigView,
        owner: OwnerRow,
        former: OwnerRow | None,
        now: float,
        store_ms: float,
    ) -> None:
        """Begin after the takeover that wrote ``owner``.

        ``store_ms`` is the store's clock now, at the earliest.
        """
        self.book = RunBook()
        self.advice = AdviceBook(settings.advice)
        self.clock = StoreClock(now, store_ms)
        self.jobs = JobIntake(
            settings,
            self.book,
            self.advice,
            self.clock,
            view,
        )
        self.workers = WorkerWatch(
            settings,
            self.book,
            self.clock,
            owner.epoch,
            former,
            now,
        )
        self.starts = StartTracker(
            settings,
            self.book,
            self.advice,
            owner.epoch,
        )
        self.planner = Planner(self.book, self.advice)
        self.speeds = SpeedRows(self.book, now)
        self.stalled = StalledSteps(self.book, self.advice)
        self.owner = owner
        self.owner_version = 0
        self._summed_up_s = now
        self.set_view(view)

    def set_view(self, view: CellConfigView) -> None:
        """Take over a new configuration."""
        self.jobs.view = view
        self.planner.set_view(view)

    def tick(self, now: float) -> None:
        """Act on the passing of time."""
        if now - self._summed_up_s >= _SUM_UP_S:
            self._summed_up_s = now
            self._sum_up(now)
            self.stalled.check(now)
        self.workers.tick(now)
        self.jobs.drop_over()

    def note_largest(self, cores: float) -> None:
        """Note the processor of the largest instance for a successor."""
        self.owner = msgspec.structs.replace(self.owner, largest_cores=cores)

    def note_patience(self, patience_s: float) -> None:
        """Note how long a silence followers are asked to bear."""
        patience_ms = round(patience_s * _MS_PER_S)
        self.owner = msgspec.structs.replace(
            self.owner,
            patience_ms=patience_ms,
        )

    def plan(self, now: float, askers: list[str]) -> list[AdviceCall]:
        """Choose workers for waiting tasks; return the advice to ask for."""
        return self.planner.plan(now, askers)

    def take_batch(
        self,
        now: float,
    ) -> tuple[JournalBatch, list[PlannedStart]]:
        """Return the next write of the journal and the starts behind it."""
        self.owner = self.workers.next_owner(self.owner, now)
        batch = take_batch(
            self.book,
            self.owner,
            self.owner_version,
            now,
            self.jobs.rows.take_expired(_MOST_EXPIRED),
            (*self.workers.lease_puts(now), *self.speeds.due(now)),
        )
        renewed_s = self.workers.renewed_s
        return batch, self.starts.prepare(batch.planned, renewed_s, now)

    def has_changes(self, now: float) -> bool:
        """Tell whether something waits to be journaled."""
        if self.book.dirty_job_ids or self.workers.wants_grant(now):
            return True
        return any(
            worker.reported_through > worker.acked_through
            for worker in self.book.workers_by_id.values()
        )

    def releasing_owner(self, now: float) -> OwnerRow:
        """Return the owner row that invites a successor."""
        owner = self.workers.next_owner(self.owner, now)
        return msgspec.structs.replace(owner, is_released=True)

    def committed(
        self,
        batch: JournalBatch,
        version: int,
        store_ms: float,
        now: float,
    ) -> None:
        """Take note that a write of the journal is durable.

        Grants count from when the row was made, as a successor counts them,
        however often the write had to be sent.
        """
        self.owner_version = version
        self.workers.renewed_s = batch.made_s
        self.clock.note(store_ms, now)
        for worker, through in batch.acks:
            worker.acknowledge_through(through)
        self.workers.leases_written()
        for task, run in batch.planned:
            if task.run == run:
                self.book.sent(task)
        self.jobs.take_final(batch, now)

    def _sum_up(self, now: float) -> None:
        """Leave a line on the room and the queues."""
        workers = [
            worker
            for worker in self.book.workers_by_id.values()
            if worker.takes_work(now)
        ]
        waiting: Counter[str] = Counter()
        reasons: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for step in self.book.ready_steps_by_name.values():
            queue = step.job.stored.queue
            waiting[queue] += step.waiting_count
            reasons[queue][str(step.waits.reason or 'new')] += (
                step.waiting_count
            )
        self.book.note(
            'cell state',
            usable_workers=len(workers),
            workers=len(self.book.workers_by_id),
            cpu_millis=sum(w.entry.capacity.cpu_millis for w in workers),
            cpu_used_millis=sum(w.used.cpu_millis for w in workers),
            memory_used_mb=sum(w.used.memory_mb for w in workers),
            jobs=len(self.book.jobs_by_id),
            waiting_tasks=waiting,
            waiting_for=reasons,
        )
