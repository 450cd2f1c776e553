"""The elected scheduler of a cell: one view of all jobs and all workers.

Messages and times come in as arguments; orders go out as values. The driver
is :mod:`apricotlead.transport.cell_scheduling`.
"""

import msgspec
from msgspec import Struct

from apricotlead.coordination.cell.advice_book import AdviceBook, AdviceCall
from apricotlead.coordination.cell.election import OwnerRow
from apricotlead.coordination.cell.job_rows import (
    CANCEL_MARK,
    FinalJob,
    JobRowKeeper,
)
from apricotlead.coordination.cell.journal import (
    PROGRESS_PREFIX,
    JournalBatch,
    take_batch,
)
from apricotlead.coordination.cell.order import (
    WeightMeter,
    is_hasty,
    order_key,
)
from apricotlead.coordination.cell.placement import (
    Choice,
    Room,
    choose,
    may_run_here,
    waiting_tasks,
)
from apricotlead.coordination.cell.run_book import RunBook
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.protocol.cell_jobs import (
    JobProgress,
    JobState,
    StoredJob,
)
from apricotlead.protocol.cell_workers import (
    EndKind,
    HoldOrder,
    HoldReport,
    OrderReply,
    Refusal,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Put, Row
from apricotlead.state.cell_jobs import JobRun, StepState, TaskPhase, TaskState
from apricotlead.state.cell_view import CellView
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.worker_lease import Lapse, WorkerLease
from apricotlead.state.worker_speed import WorkerSpeed

_MS_PER_S = 1000.0
_NO_LIMIT = Resources()
# A worker that failed this many runs in a row is left alone for a while.
_FAILURES_TO_PAUSE = 3
_FAILING_PAUSE_S = 4.0
# Steps that could not be placed in a round, before the rest is left.
_MOST_BLOCKED_STEPS = 60
_MOST_EXPIRED = 8
_SUM_UP_S = 1.0
_SPEEDS_S = 5.0
SPEEDS_KEY = 'workers/cell/speeds'
# An order that a worker calls malformed is tried again after this pause.
_MALFORMED_PAUSE_S = 2.0


class PlannedStart(Struct):
    """A run whose journal entry is being written.

    ``is_unknown`` tells that a send was not answered: the worker may run it,
    or begin it seconds later, whatever it says of a repeat.
    """

    task: TaskState
    run: int
    worker: WorkerState
    deadline_ms: float
    deadline_s: float
    is_unknown: bool = False


class CellScheduler:
    """Decides for one epoch; built anew at each takeover."""

    __slots__ = (
        '_inherited',
        '_limits_by_organisation',
        '_lossy_until_s',
        '_meter',
        '_over_s_by_silent_worker',
        '_settings',
        '_stop_sent_s',
        '_speeds_put_s',
        '_store_base',
        '_summed_up_s',
        'advice',
        'book',
        'owner',
        'owner_version',
        'renewed_s',
        'rows',
        'view',
    )

    def __init__(
        self,
        settings: CellSettings,
        view: CellView,
        owner: OwnerRow,
        former: OwnerRow | None,
        now: float,
        store_ms: float,
    ) -> None:
        """Begin after the takeover that wrote ``owner``.

        ``store_ms`` is the store's clock now, at the earliest.
        """
        self._settings = settings
        self._store_base = (now, store_ms)
        self._inherited = _inherited_times(settings, former, now, store_ms)
        self._meter = WeightMeter()
        self._summed_up_s = now
        self._lossy_until_s = now
        self._speeds_put_s = now
        self._limits_by_organisation: dict[str, Resources] = {}
        self._stop_sent_s: dict[tuple[str, str, int], float] = {}
        self._over_s_by_silent_worker: dict[str, float] = {}
        if former is not None:
            for worker_id, ms in former.over_ms_by_silent_worker.items():
                over_s = now + (ms - store_ms) / _MS_PER_S
                margin_s = settings.leases.margin_s
                self._over_s_by_silent_worker[worker_id] = over_s + margin_s
        self.book = RunBook()
        self.advice = AdviceBook(settings.advice)
        self.rows = JobRowKeeper()
        self.owner = owner
        self.owner_version = 0
        self.renewed_s = now
        self.view = view
        self.set_view(view)

    def store_ms(self, now: float) -> float:
        """Return the least that the store's clock reads now."""
        base_s, base_ms = self._store_base
        return base_ms + (now - base_s) * _MS_PER_S

    def set_view(self, view: CellView) -> None:
        """Take over a new configuration."""
        self.view = view
        for organisation in view.config.organisations:
            self._limits_by_organisation[organisation.name] = organisation.limit

    def load(
        self,
        job_rows: tuple[Row, ...],
        progress_rows: tuple[Row, ...],
        now: float,
    ) -> None:
        """Take over the jobs of the store, once, before any worker."""
        records_by_id = {
            row.key.removeprefix(PROGRESS_PREFIX): msgspec.convert(
                row.value,
                JobProgress,
            )
            for row in progress_rows
        }
        for row in job_rows:
            if CANCEL_MARK not in row.key:
                self._load_job(row, records_by_id, now)
        # Cancelling stops runs, so all runs must be known first.
        for cancel in job_rows:
            if CANCEL_MARK in cancel.key:
                self.job_row(cancel, now)
        for job in tuple(self.book.jobs_by_id.values()):
            self.book.open_steps(job, now)
            if job.is_complete():
                self.book.finish(job, JobState.COMPLETED)

    def job_row(self, row: Row, now: float) -> None:
        """Take note of a row of the table of jobs."""
        job_id, mark, _ = row.key.rpartition('/')[2].partition(CANCEL_MARK)
        if row.version == 0 or row.value is None:
            return
        if mark:
            self._cancel(job_id)
            return
        stored = msgspec.convert(row.value, StoredJob)
        if stored.state.is_final:
            record = JobProgress([], stored.state, stored.ended_ms)
            self._note_final(job_id, stored, row.version, record, now)
        elif self._is_new(job_id):
            self._add(job_id, stored, row.version, now)

    def load_speeds(self, row: Row) -> None:
        """Take over what a former scheduler learned of its workers."""
        for worker_id, (slowness, count) in (row.value or {}).items():
            worker = self.book.workers_by_id.get(worker_id)
            if worker is not None:
                worker.speed = WorkerSpeed(slowness, count)

    def update_worker(self, entry: WorkerEntry, now: float) -> bool:
        """Take note of a registration; tell whether the worker is new."""
        worker = self.book.workers_by_id.get(entry.worker_id)
        if worker is not None and not worker.entry.address:
            # Only its restored runs were known so far.
            worker.entry = entry
            worker.is_listed = True
            return True
        if worker is not None and entry.born_ms > worker.entry.born_ms:
            # A later life under the same id knows nothing of the former one.
            self.book.note('worker reborn', worker=entry.worker_id)
            self.book.forget_worker(worker, now)
            worker = None
        if worker is None:
            self._free_former_lives(entry, now)
            worker = WorkerState(entry, self._new_lease(entry.worker_id, now))
            self.book.workers_by_id[entry.worker_id] = worker
            self._restore_places(worker)
            self.book.note('worker added', worker=entry.worker_id)
            return True
        if entry.draining != worker.entry.draining:
            self.book.note(
                'worker draining',
                worker=entry.worker_id,
                left_ms=entry.drain_left_ms,
            )
        worker.entry = entry
        worker.is_listed = True
        if entry.draining:
            worker.drain_ends_s = now + entry.drain_left_ms / _MS_PER_S
        return False

    def restore_missing(self, now: float) -> None:
        """Keep restored runs whose workers are not registered.

        Such a worker may still run them until its lease has ended.
        """
        for job in self.book.jobs_by_id.values():
            for task in job.tasks():
                worker_id = task.worker_id
                if task.is_placed and worker_id not in self.book.workers_by_id:
                    entry = WorkerEntry(worker_id, '', '', '', _NO_LIMIT)
                    lease = self._new_lease(worker_id, now)
                    worker = WorkerState(entry, lease)
                    worker.is_listed = False
                    self.book.workers_by_id[worker_id] = worker
                    self._restore_places(worker)

    def drop_worker(self, worker_id: str) -> None:
        """Take note that a worker is no longer registered."""
        worker = self.book.workers_by_id.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            self.book.note('worker unlisted', worker=worker_id)

    def hold_order(
        self,
        worker_id: str,
        now: float,
    ) -> tuple[WorkerEntry, HoldOrder] | None:
        """Return the next hold of a worker, ``None`` if it is gone.

        Before the worker's lists are known under this epoch, and after a
        silence, the hold extends nothing and waits for nothing.
        """
        worker = self.book.workers_by_id.get(worker_id)
        if worker is None or not worker.entry.address:
            return None
        lease = worker.lease
        epoch = self.owner.epoch
        is_silent = now - lease.contact_s > self._settings.leases.lease_s / 2
        if not lease.is_known or is_silent:
            return worker.entry, HoldOrder(epoch, worker.acked_through, 0)
        deadline_ms = None
        if worker.is_granted:
            deadline_ms = lease.deadline(now, self.renewed_s)
        has_unacked = worker.reported_through > worker.acked_through
        waits = worker.is_granted and not has_unacked
        holds = self._settings.holds
        usual_s = holds.lossy_wait_s if now < self._lossy_until_s else (
            holds.wait_s
        )
        wait_s = usual_s if waits else 0
        order = HoldOrder(
            epoch,
            worker.acked_through,
            int(wait_s * _MS_PER_S),
            deadline_ms,
        )
        return worker.entry, order

    def is_known(self, worker_id: str) -> bool:
        """Tell whether a worker's lists were read under this epoch."""
        worker = self.book.workers_by_id.get(worker_id)
        return worker is not None and worker.lease.is_known

    def hold_answered(
        self,
        worker_id: str,
        order: HoldOrder,
        report: HoldReport,
        sent_s: float,
        now: float,
    ) -> None:
        """Apply a worker's lists."""
        worker = self.book.workers_by_id.get(worker_id)
        if worker is None:
            return
        self._note_answer(worker, now)
        if report.born_ms > worker.entry.born_ms:
            self._reborn(worker, report, now)
            return
        lapse = Lapse.NO
        if order.deadline_ms is None:
            lapse = self._judge_lapse(worker, report, now)
            if lapse is Lapse.UNKNOWN:
                worker.lease.contact_s = now
                return
        worker.lease.answered(
            report.clock_ms,
            sent_s,
            now,
            order.deadline_ms,
        )
        self._apply_ends(worker, report, lapse, now)
        self.book.reconcile(worker, report, sent_s, now)
        if not worker.lease.is_known:
            worker.lease.is_known = True
            self._settle_restored(worker, now)
        self._pause_failing(worker, now)

    def hold_refused(
        self,
        worker_id: str,
        reply: OrderReply,
        now: float,
    ) -> None:
        """Take note of a hold that brought no lists."""
        worker = self.book.workers_by_id.get(worker_id)
        if worker is None:
            return
        if reply.refusal is Refusal.OTHER_LIFE:
            self.book.note('worker life over', worker=worker_id)
            self.book.forget_worker(worker, now)
        elif reply.refusal is Refusal.UNANSWERED:
            worker.unanswered_s = now

    def _note_answer(self, worker: WorkerState, now: float) -> None:
        """Tell lost answers from lost workers by an answer that follows."""
        lost_s = now - worker.unanswered_s
        if lost_s < self._settings.leases.silent_s:
            worker.unanswered_s = float('-inf')
            self._lossy_until_s = now + self._settings.holds.lossy_s

    def tick(self, now: float) -> None:
        """Act on the passing of time."""
        if now - self._summed_up_s >= _SUM_UP_S:
            self._summed_up_s = now
            self._sum_up(now)
        for worker in tuple(self.book.workers_by_id.values()):
            self._check_worker(worker, now)
        for job in tuple(self.book.jobs_by_id.values()):
            if job.job_id in self.rows.finals_by_id:
                self._drop_if_over(job)

    def open_due(self, unix_ms: float, now: float) -> None:
        """Open the occurrences that are due, by the time of day."""
        for job in self.book.jobs_by_id.values():
            if job.next_occurrence >= job.occurrence_count:
                continue
            submission = job.stored.submission
            due_ms = submission.first_due_ms
            due_ms += job.next_occurrence * submission.interval_ms
            if due_ms <= unix_ms and not job.state.is_final:
                job.open_occurrence()
                self.book.open_steps(job, now)

    def plan(self, now: float, askers: list[str]) -> list[AdviceCall]:
        """Choose workers for waiting tasks; return the advice to ask for."""
        rooms = [
            Room(worker)
            for worker in self.book.workers_by_id.values()
            if worker.takes_work(now)
        ]
        calls: list[AdviceCall] = []
        blocked = 0
        steps = sorted(
            self.book.ready_steps_by_name.values(),
            key=lambda step: order_key(step, now),
        )
        for step in steps:
            tasks = self._within_limit(step, waiting_tasks(step, now))
            if not tasks:
                continue
            allowed = self._advised(step, rooms, askers, calls, now)
            choices = choose(
                step,
                tasks,
                allowed,
                is_hasty=is_hasty(step, now),
            )
            for choice in choices:
                self._place(choice, now)
            blocked += not choices
            if blocked > _MOST_BLOCKED_STEPS:
                break
        return calls

    def take_batch(
        self,
        now: float,
    ) -> tuple[JournalBatch, list[PlannedStart]]:
        """Return the next write of the journal and the starts behind it."""
        self.owner = self._next_owner(now)
        expired = self.rows.take_expired(_MOST_EXPIRED)
        batch = take_batch(
            self.book,
            self.owner,
            self.owner_version,
            self.store_ms(now),
            expired,
            self._speeds_put(now),
        )
        starts: list[PlannedStart] = []
        for task, run in batch.planned:
            worker = self.book.workers_by_id.get(task.worker_id)
            if worker is None:
                continue
            # Taken before the write: a scheduler that is paused after the
            # write then sends a deadline that has passed.
            deadline_ms = worker.lease.deadline(now, self.renewed_s)
            if deadline_ms is None:
                self.book.unplace(task, now)
                continue
            ends_s = now + self._settings.leases.lease_s
            starts.append(PlannedStart(task, run, worker, deadline_ms, ends_s))
        return batch, starts

    def has_changes(self) -> bool:
        """Tell whether something waits to be journaled."""
        if self.book.dirty_job_ids:
            return True
        return any(
            worker.reported_through > worker.acked_through
            or (worker.lease.is_known and not worker.is_granted)
            for worker in self.book.workers_by_id.values()
        )

    def releasing_owner(self, now: float) -> OwnerRow:
        """Return the owner row that invites a successor."""
        return msgspec.structs.replace(
            self._next_owner(now),
            is_released=True,
        )

    def committed(
        self,
        batch: JournalBatch,
        version: int,
        sent_s: float,
        store_ms: float,
        now: float,
    ) -> None:
        """Take note that a write of the journal is durable."""
        self.owner_version = version
        self.renewed_s = sent_s
        self.note_store_time(store_ms, now)
        for worker_id, through in batch.acks_by_worker.items():
            worker = self.book.workers_by_id.get(worker_id)
            if worker is not None:
                worker.acked_through = max(worker.acked_through, through)
        silent = batch.owner.over_ms_by_silent_worker
        for worker in self.book.workers_by_id.values():
            worker.is_granted = worker.worker_id not in silent
        for task, run in batch.planned:
            if task.run == run:
                self.book.sent(task)
        for job in batch.final_jobs:
            record = JobProgress([], job.state, batch.owner.renewed_ms)
            self._note_final(
                job.job_id,
                job.stored,
                job.row_version,
                record,
                now,
            )
            self._drop_if_over(job)

    def note_store_time(self, store_ms: float, now: float) -> None:
        """Correct the estimate of the store's clock by an answer."""
        if store_ms > self.store_ms(now):
            self._store_base = (now, store_ms)

    def start_order(
        self,
        start: PlannedStart,
        now: float,
    ) -> StartOrder | None:
        """Return the order of a journaled start, ``None`` if it is void."""
        task = start.task
        if task.run != start.run or task.phase is not TaskPhase.SENT:
            return None
        has_time = start.deadline_s - now > self._settings.leases.lease_s / 2
        has_ticket = not task.ticket or (
            self.advice.ticket(task.step.name, task.worker_id, now) is not None
        )
        is_in_place = start.worker.takes_work(now)
        if not (has_time and has_ticket and is_in_place):
            self.book.note(
                'start dropped',
                task=task.name,
                run=task.run,
                worker=task.worker_id,
                has_time=has_time,
                has_ticket=has_ticket,
                takes_work=is_in_place,
                is_unknown=start.is_unknown,
            )
            self._give_up_start(start, now)
            return None
        return StartOrder(
            task.name,
            task.run,
            task.step.job.stored.submission.payload,
            self.owner.epoch,
            start.deadline_ms,
            self._checkpoint(task),
            task.ticket,
        )

    def start_answered(
        self,
        start: PlannedStart,
        reply: OrderReply,
        sent_s: float,
        now: float,
    ) -> bool:
        """Apply the answer to a start; tell whether to send it again."""
        task = start.task
        if task.run != start.run:
            return False
        if reply.refusal is None:
            start.worker.lease.answered(
                reply.clock_ms,
                sent_s,
                now,
                start.deadline_ms,
            )
            task.step.job.has_started = True
            task.step.job.state = _started(task.step.job.state)
            self.book.running(task, now)
            return False
        self.book.note(
            'start refused',
            task=task.name,
            run=task.run,
            worker=task.worker_id,
            why=str(reply.refusal),
            detail=reply.detail,
        )
        if task.phase is not TaskPhase.SENT:
            return False
        return self._start_refused(start, reply.refusal, now)

    def stops_due(self, now: float) -> list[tuple[WorkerEntry, StopOrder]]:
        """Return the stops to send now: new ones, and unanswered ones."""
        due: list[tuple[WorkerEntry, StopOrder]] = []
        retry_s = self._settings.holds.stop_retry_s
        for worker in self.book.workers_by_id.values():
            for name, run in worker.stops_by_task.items():
                key = (worker.worker_id, name, run)
                if now - self._stop_sent_s.get(key, float('-inf')) >= retry_s:
                    self._stop_sent_s[key] = now
                    order = StopOrder(name, run, self.owner.epoch)
                    due.append((worker.entry, order))
        return due

    def pending_by_queue(self) -> dict[str, int]:
        """Return the number of jobs of each queue that have not begun."""
        counts: dict[str, int] = {}
        for job in self.book.jobs_by_id.values():
            if not job.has_started and not job.state.is_final:
                queue = job.stored.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def _is_new(self, job_id: str) -> bool:
        """Tell whether a row that is not final names an unknown job.

        A read that began before the job's final row was written may arrive
        after it.
        """
        return not (
            job_id in self.book.jobs_by_id or job_id in self.rows.finals_by_id
        )

    def _load_job(
        self,
        row: Row,
        records_by_id: dict[str, JobProgress],
        now: float,
    ) -> None:
        job_id = row.key.rpartition('/')[2]
        record = records_by_id.get(job_id)
        if record is not None and record.state.is_final:
            stored = msgspec.convert(row.value, StoredJob)
            self._note_final(job_id, stored, row.version, record, now)
            return
        self.job_row(row, now)
        job = self.book.jobs_by_id.get(job_id)
        if job is not None and record is not None:
            job.restore(record, now)

    def _speeds_put(self, now: float) -> tuple[Put, ...]:
        """Return the row of speeds when it is time to write it again."""
        if now - self._speeds_put_s < _SPEEDS_S:
            return ()
        self._speeds_put_s = now
        speeds = {
            worker.worker_id: (
                round(worker.speed.slowness, 2),
                worker.speed.count,
            )
            for worker in self.book.workers_by_id.values()
            if worker.speed.count
        }
        return (Put(SPEEDS_KEY, speeds),)

    def _add(
        self,
        job_id: str,
        stored: StoredJob,
        row_version: int,
        now: float,
    ) -> None:
        age_s = max(0, self.store_ms(now) - stored.accepted_ms) / _MS_PER_S
        job = JobRun(job_id, stored, now - age_s, row_version)
        organisation = self.view.organisations_by_name.get(stored.organisation)
        if organisation is not None:
            job.is_within_weight = self._meter.admit(
                organisation.name,
                organisation.weight,
                job.accepted_s,
            )
        self.book.jobs_by_id[job_id] = job
        if not stored.submission.occurrences:
            job.open_occurrence()
        self.book.open_steps(job, now)

    def _new_lease(self, worker_id: str, now: float) -> WorkerLease:
        until_s, from_s = self._inherited
        over_s = self._over_s_by_silent_worker.get(worker_id)
        if over_s is not None:
            until_s, from_s = over_s, 0.0
        return WorkerLease(self._settings.leases, now, until_s, from_s)

    def _cancel(self, job_id: str) -> None:
        self.rows.note_cancel(job_id)
        job = self.book.jobs_by_id.get(job_id)
        if job is not None:
            self.book.finish(job, JobState.CANCELLED)

    def _note_final(
        self,
        job_id: str,
        stored: StoredJob,
        row_version: int,
        record: JobProgress,
        now: float,
    ) -> None:
        age_s = (self.store_ms(now) - record.ended_ms) / _MS_PER_S
        self.rows.add(
            FinalJob(
                job_id,
                stored,
                row_version,
                record.state,
                record.ended_ms,
                now + self._settings.keep_final_s - age_s,
                is_tidied=stored.state.is_final,
            ),
        )

    def _drop_if_over(self, job: JobRun) -> None:
        if not any(task.is_placed for task in job.tasks()):
            self.book.jobs_by_id.pop(job.job_id, None)
        for step in job.steps_by_key.values():
            self.advice.forget(step.name)

    def _free_former_lives(self, entry: WorkerEntry, now: float) -> None:
        """Forget workers whose address a new one has: they are over."""
        for worker in tuple(self.book.workers_by_id.values()):
            if worker.entry.address == entry.address:
                self.book.note('worker replaced', worker=worker.worker_id)
                self.book.forget_worker(worker, now)

    def _restore_places(self, worker: WorkerState) -> None:
        for job in self.book.jobs_by_id.values():
            if not job.has_started:
                continue
            for task in job.tasks():
                if task.worker_id == worker.worker_id and task.is_placed:
                    if task.name not in worker.tasks_by_name:
                        self.book.restore_place(task, worker)

    def _settle_restored(self, worker: WorkerState, now: float) -> None:
        """Free restored runs that the worker's first lists do not show.

        The worker has seen this epoch, so it refuses the former scheduler's
        starts that arrive later.
        """
        for task in tuple(worker.tasks_by_name.values()):
            if task.phase is TaskPhase.SENT:
                self.book.unplace(task, now)

    def _reborn(
        self,
        worker: WorkerState,
        report: HoldReport,
        now: float,
    ) -> None:
        entry = msgspec.structs.replace(worker.entry, born_ms=report.born_ms)
        self.update_worker(entry, now)

    def _judge_lapse(
        self,
        worker: WorkerState,
        report: HoldReport,
        now: float,
    ) -> Lapse:
        if report.running:
            # A lapse kills everything that runs.
            return Lapse.NO
        lapse = worker.lease.lapse(report.clock_ms, now)
        has_done = any(
            ended.kind is EndKind.DONE and ended.number > worker.acked_through
            for ended in report.ended
        )
        if not has_done:
            return Lapse.NO
        if lapse is not Lapse.NO:
            self.book.note(
                'lease in doubt',
                worker=worker.worker_id,
                lapse=lapse.value,
            )
        return lapse

    def _apply_ends(
        self,
        worker: WorkerState,
        report: HoldReport,
        lapse: Lapse,
        now: float,
    ) -> None:
        for ended in report.ended:
            if ended.number <= worker.reported_through:
                continue
            worker.reported_through = ended.number
            if lapse is Lapse.YES and ended.kind is EndKind.DONE:
                # An end before a lapse does not count once it lapsed.
                ended = msgspec.structs.replace(ended, kind=EndKind.LAPSED)
            self.book.end(worker, ended, now)

    def _pause_failing(self, worker: WorkerState, now: float) -> None:
        if worker.failures_in_row >= _FAILURES_TO_PAUSE:
            worker.failures_in_row = _FAILURES_TO_PAUSE - 1
            worker.not_before_s = now + _FAILING_PAUSE_S
            self.book.note('worker paused', worker=worker.worker_id)

    def _check_worker(self, worker: WorkerState, now: float) -> None:
        lease = worker.lease
        if now <= lease.surely_over_s or lease.is_usable(now):
            return
        if not worker.is_listed:
            self.book.note('worker gone', worker=worker.worker_id)
            self.book.forget_worker(worker, now)
            return
        lease.is_known = False
        for task in tuple(worker.tasks_by_name.values()):
            self.book.note(
                'run lapsed',
                task=task.name,
                run=task.run,
                worker=worker.worker_id,
            )
            self.book.unplace(task, now)

    def _sum_up(self, now: float) -> None:
        """Leave a line on the room and the queues."""
        workers = [
            worker
            for worker in self.book.workers_by_id.values()
            if worker.takes_work(now)
        ]
        waiting: dict[str, int] = {}
        for step in self.book.ready_steps_by_name.values():
            queue = step.job.stored.queue
            waiting[queue] = waiting.get(queue, 0) + step.waiting_count
        self.book.note(
            'cell state',
            usable_workers=len(workers),
            workers=len(self.book.workers_by_id),
            cpu_millis=sum(w.entry.capacity.cpu_millis for w in workers),
            cpu_used_millis=sum(w.used.cpu_millis for w in workers),
            memory_used_mb=sum(w.used.memory_mb for w in workers),
            jobs=len(self.book.jobs_by_id),
            waiting_tasks=waiting,
        )

    def _next_owner(self, now: float) -> OwnerRow:
        """Return the owner row of the next write."""
        silent: dict[str, float] = {}
        held_s: list[float] = []
        for worker in self.book.workers_by_id.values():
            lease = worker.lease
            age_s = now - lease.contact_s
            if lease.is_known and age_s <= _contact_bound_s(self._settings):
                held_s.append(lease.surely_held_until_s)
            else:
                over_s = max(lease.surely_over_s, now)
                silent[worker.worker_id] = self._store_time(over_s, now)
        return msgspec.structs.replace(
            self.owner,
            sequence=self.owner.sequence + 1,
            renewed_ms=self.store_ms(now),
            held_ms=self._store_time(min(held_s, default=now), now),
            over_ms_by_silent_worker=silent,
        )

    def _store_time(self, local_s: float, now: float) -> float:
        return round(self.store_ms(now) + (local_s - now) * _MS_PER_S)

    def _within_limit(
        self,
        step: StepState,
        tasks: list[TaskState],
    ) -> list[TaskState]:
        organisation = step.job.stored.organisation
        limit = self._limits_by_organisation.get(organisation, _NO_LIMIT)
        usage = self.book.usage(organisation)
        demand = step.demand()
        count = _how_many(demand.cpu_millis, usage.cpu_millis, limit.cpu_millis)
        count = min(
            count,
            _how_many(demand.memory_mb, usage.memory_mb, limit.memory_mb),
            _how_many(
                demand.accelerators,
                usage.accelerators,
                limit.accelerators,
            ),
        )
        if step.spec.gang and count < len(tasks):
            return []
        return tasks[: int(min(count, len(tasks)))]

    def _advised(
        self,
        step: StepState,
        rooms: list[Room],
        askers: list[str],
        calls: list[AdviceCall],
        now: float,
    ) -> list[Room]:
        policy = step.job.stored.advice
        if policy is None:
            return rooms
        demand = step.demand()
        fitting = [
            room.worker.worker_id
            for room in rooms
            if demand.fits_in(room.worker.entry.capacity)
            and may_run_here(step, room.worker)
        ]
        call = self.advice.plan_call(step.name, fitting, policy, askers, now)
        if call is not None:
            calls.append(call)
        return [
            room
            for room in rooms
            if self.advice.ticket(step.name, room.worker.worker_id, now)
            is not None
        ]

    def _place(self, choice: Choice, now: float) -> None:
        task, room = choice
        worker_id = room.worker.worker_id
        ticket = ''
        if task.step.job.stored.advice is not None:
            ticket = self.advice.ticket(task.step.name, worker_id, now) or ''
        self.book.place(task, room.worker, now, ticket)
        self.book.note(
            'run placed',
            task=task.name,
            run=task.run,
            worker=worker_id,
            free_cpu=room.cpu,
            waited_s=round(now - (task.step.ready_s or now), 3),
            contact_age_s=round(now - room.worker.lease.contact_s, 3),
        )

    def _checkpoint(self, task: TaskState) -> str:
        step = task.step
        if not step.spec.gang:
            return task.checkpoint
        # All members of a gang must resume from the same checkpoint.
        saved = (member.checkpoint for member in step.tasks)
        return next((each for each in saved if each), '')

    def _start_refused(
        self,
        start: PlannedStart,
        refusal: Refusal,
        now: float,
    ) -> bool:
        task = start.task
        worker = start.worker
        if refusal is Refusal.UNANSWERED:
            start.is_unknown = True
        is_lost = refusal in {Refusal.UNANSWERED, Refusal.NOT_SENT}
        if start.is_unknown and is_lost:
            # start_order ends the repeats when their time is over.
            return True
        if refusal is Refusal.MALFORMED:
            task.not_before_s = now + _MALFORMED_PAUSE_S
        elif refusal is Refusal.BAD_TICKET:
            self.advice.drop_ticket(task.step.name, worker.worker_id)
        elif refusal not in {Refusal.LATE, Refusal.OLD_RUN}:
            pause_s = self._settings.holds.unhealthy_pause_s
            worker.not_before_s = now + pause_s
        # A run that is called old has ended, or a stop overtook its start.
        if refusal is Refusal.OLD_RUN:
            start.is_unknown = True
        self._give_up_start(start, now)
        return False

    def _give_up_start(self, start: PlannedStart, now: float) -> None:
        """Let the task wait again, once its run certainly does not begin."""
        if start.is_unknown:
            self.book.stop(start.task)
        else:
            self.book.unplace(start.task, now)


def _started(state: JobState) -> JobState:
    return JobState.RUNNING if state is JobState.QUEUED else state


def _how_many(demand: int, used: int, limit: int) -> float:
    """Return how many such tasks a limit still allows; 0 is no limit."""
    if not limit or not demand:
        return float('inf')
    return max(0, (limit - used) // demand)


def _inherited_times(
    settings: CellSettings,
    former: OwnerRow | None,
    now: float,
    store_ms: float,
) -> tuple[float, float]:
    """Return until when a former scheduler's leases may and surely hold."""
    if former is None:
        return now, now
    times = settings.leases
    age_s = max(0, store_ms - former.renewed_ms) / _MS_PER_S
    renewed_s = now - age_s
    until_s = renewed_s + times.longest_s * times.slowest_clock
    held_s = now + (former.held_ms - store_ms) / _MS_PER_S
    return max(until_s + times.margin_s, now), held_s - times.margin_s


def _contact_bound_s(settings: CellSettings) -> float:
    """Return how old the last answer of a worker in contact may be."""
    return settings.holds.wait_s + settings.holds.answer_slack_s
