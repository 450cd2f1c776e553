"""Contact with workers: registrations, holds, leases and lapses."""

from collections.abc import Iterable

import msgspec

from apricotlead.coordination.cell.election import OwnerRow
from apricotlead.coordination.cell.evacuation import leaving_runs
from apricotlead.coordination.cell.lease_records import LeaseRecords
from apricotlead.coordination.cell.listing import reconcile
from apricotlead.coordination.cell.run_book import RunBook
from apricotlead.coordination.cell.run_ends import RunEnds
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.store_clock import StoreClock
from apricotlead.protocol.cell_workers import (
    HoldOrder,
    HoldReport,
    OrderReply,
    Refusal,
    WorkerEntry,
)
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Put, Row
from apricotlead.state.cell_workers import WorkerState

_MS_PER_S = 1000.0
# A worker that failed this many runs in a row is left alone for a while.
_FAILURES_TO_PAUSE = 3
_FAILING_PAUSE_S = 4.0


class WorkerWatch:
    """Knows which workers live, and until when their runs may go on."""

    __slots__ = (
        '_book',
        '_clock',
        '_ends',
        '_leases',
        '_lossy_until_s',
        '_settings',
        'epoch',
        'renewed_s',
    )

    def __init__(
        self,
        settings: CellSettings,
        book: RunBook,
        clock: StoreClock,
        epoch: int,
        former: OwnerRow | None,
        now: float,
    ) -> None:
        """Begin a term of ``epoch`` after the one that wrote ``former``."""
        self._settings = settings
        self._book = book
        self._clock = clock
        self._ends = RunEnds(book)
        self._leases = LeaseRecords(settings, clock, former, now)
        self._lossy_until_s = now
        self.epoch = epoch
        # When the last confirmed write of the owner row was made.
        self.renewed_s = now

    def update_worker(self, entry: WorkerEntry, now: float) -> bool:
        """Take note of a registration; tell whether the worker is new."""
        worker = self._book.workers_by_id.get(entry.worker_id)
        if worker is not None and not worker.entry.address:
            # Only its restored runs were known so far.
            worker.update_entry(entry, now)
            return True
        if worker is not None and _is_former(worker, entry.born_ms):
            return False
        if worker is not None and entry.born_ms > worker.entry.born_ms:
            self._begin_life(worker, entry, now)
            return True
        if worker is None:
            self._add(entry, now)
            return True
        if entry.draining and not worker.entry.draining:
            self._book.note(
                'worker draining',
                worker=entry.worker_id,
                left_ms=entry.drain_left_ms,
            )
        worker.update_entry(entry, now)
        return False

    def restore_missing(self, now: float) -> None:
        """Keep restored runs whose workers are not registered.

        Such a worker may still run them until its lease has ended.
        """
        for worker_id in tuple(self._book.restored_by_worker):
            entry = WorkerEntry(worker_id, '', '', '', Resources())
            worker = WorkerState(entry, self._leases.new_lease(worker_id, now))
            worker.is_listed = False
            self._book.workers_by_id[worker_id] = worker
            self._book.restore_places(worker)

    def drop_worker(self, worker_id: str) -> None:
        """Take note that a worker is no longer registered."""
        worker = self._book.workers_by_id.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            self._book.note('worker unlisted', worker=worker_id)

    def hold_order(
        self,
        worker_id: str,
        now: float,
    ) -> tuple[WorkerEntry, HoldOrder] | None:
        """Return the next hold of a worker, ``None`` if it is gone.

        Before the worker's lists are known under this epoch, and after a
        silence, the hold extends nothing and waits for nothing.
        """
        worker = self._book.workers_by_id.get(worker_id)
        if worker is None or not worker.entry.address:
            return None
        lease = worker.lease
        epoch = self.epoch
        is_silent = (
            now - lease.last_contact_s > self._settings.leases.lease_s / 2
        )
        if not lease.has_contact or is_silent:
            return worker.entry, HoldOrder(epoch, worker.acked_through, 0)
        deadline_ms = None
        if worker.may_grant_lease:
            deadline_ms = lease.deadline(now, self.renewed_s)
        order = HoldOrder(
            epoch,
            worker.acked_through,
            int(self._wait_s(worker, now) * _MS_PER_S),
            deadline_ms,
        )
        return worker.entry, order

    def _wait_s(self, worker: WorkerState, now: float) -> float:
        """Return how long a worker may hold a call that extends its lease."""
        holds = self._settings.holds
        has_unacked = worker.reported_through > worker.acked_through
        # The answer that was lost may have told an end.
        is_missed = worker.unanswered_s > worker.lease.last_contact_s
        if has_unacked or is_missed or not worker.may_grant_lease:
            return 0
        if now < self._lossy_until_s:
            return holds.lossy_wait_s
        return holds.wait_s

    def has_contact(self, worker_id: str) -> bool:
        """Tell whether a worker's lists were read under this epoch."""
        worker = self._book.workers_by_id.get(worker_id)
        return worker is not None and worker.lease.has_contact

    def hold_answered(
        self,
        worker_id: str,
        report: HoldReport,
        sent_s: float,
        now: float,
    ) -> None:
        """Apply a worker's lists."""
        worker = self._book.workers_by_id.get(worker_id)
        if worker is None or _is_former(worker, report.born_ms):
            return
        self._note_answer(worker, now)
        if report.born_ms > worker.entry.born_ms:
            self._reborn(worker, report, now)
            return
        worker.lease.record_answer(report.clock_ms, sent_s, now)
        self._apply_ends(worker, report, now)
        reconcile(self._book, worker, report, sent_s, now)
        if not worker.lease.has_contact:
            worker.lease.has_contact = True
            self._settle_restored(worker, report, now)
        self._pause_failing(worker, now)

    def hold_refused(
        self,
        worker_id: str,
        reply: OrderReply,
        now: float,
    ) -> None:
        """Take note of a hold that brought no lists."""
        worker = self._book.workers_by_id.get(worker_id)
        if worker is None:
            return
        if reply.refusal is Refusal.OTHER_LIFE:
            self._book.note('worker life over', worker=worker_id)
            self._book.forget_worker(worker, now)
        elif reply.refusal is Refusal.UNANSWERED:
            worker.unanswered_s = now

    def tick(self, now: float) -> None:
        """Let go of runs whose workers have certainly lost their lease."""
        for worker in tuple(self._book.workers_by_id.values()):
            self._check_worker(worker, now)
            for task in leaving_runs(worker, now, self._settings.stop_s):
                self._book.note(
                    'run leaves',
                    task=task.name,
                    run=task.run,
                    worker=worker.worker_id,
                    progress=task.progress,
                    left_s=round(worker.drain_ends_s - now, 2),
                )
                self._book.stop(task)

    def next_owner(self, owner: OwnerRow, now: float) -> OwnerRow:
        """Return the owner row of the next write."""
        return msgspec.structs.replace(
            owner,
            sequence=owner.sequence + 1,
            renewed_ms=self._clock.read_ms(now),
        )

    def load_leases(self, rows: Iterable[Row]) -> None:
        """Take over the rows of leases, read after the claim."""
        for key in self._leases.load(rows):
            self._book.note('row unreadable', key=key, why='no lease records')

    def lease_puts(self, now: float) -> tuple[Put, ...]:
        """Return the rows of leases that the next write takes along."""
        return self._leases.make_rows(self._book.workers_by_id, now)

    def leases_written(self) -> None:
        """Allow grants to the workers that a durable write calls known."""
        self._leases.written(self._book.workers_by_id)

    def wants_grant(self, now: float) -> bool:
        """Tell whether a worker in contact waits for a write to be granted."""
        return any(
            self._leases.wants_grant(worker, now)
            for worker in self._book.workers_by_id.values()
        )

    def _note_answer(self, worker: WorkerState, now: float) -> None:
        """Tell lost answers from lost workers by an answer that follows."""
        lost_s = now - worker.unanswered_s
        if lost_s < self._settings.leases.silent_s:
            worker.unanswered_s = float('-inf')
            self._lossy_until_s = now + self._settings.holds.lossy_s

    def _add(self, entry: WorkerEntry, now: float) -> None:
        worker = WorkerState(
            entry, self._leases.new_lease(entry.worker_id, now)
        )
        worker.update_entry(entry, now)
        worker.may_grant_lease = self._leases.may_grant(entry.worker_id)
        self._book.workers_by_id[entry.worker_id] = worker
        self._book.restore_places(worker)
        self._book.note('worker added', worker=entry.worker_id)

    def _begin_life(
        self,
        former: WorkerState,
        entry: WorkerEntry,
        now: float,
    ) -> None:
        """Begin a later life under the same id.

        It knows nothing of the former one. Orders name the id only, so it may
        have taken starts that were meant for the former life.
        """
        self._book.note('worker reborn', worker=entry.worker_id)
        self._leases.forget(entry.worker_id)
        unproven = self._book.take_unlisted(former)
        self._book.forget_worker(former, now)
        self._add(entry, now)
        worker = self._book.workers_by_id[entry.worker_id]
        lease = worker.lease
        lease.latest_expiry_s = max(
            lease.latest_expiry_s, former.lease.latest_expiry_s
        )
        self._book.move(unproven, worker)

    def _settle_restored(
        self,
        worker: WorkerState,
        report: HoldReport,
        now: float,
    ) -> None:
        """Free restored runs that the worker's first lists do not show.

        The worker has seen this epoch, so it refuses the former scheduler's
        starts that arrive later. Starts of this epoch may still arrive.
        """
        listed = {(each.task, each.run) for each in report.running}
        for task in tuple(worker.tasks_by_name.values()):
            is_listed = (task.name, task.run) in listed
            if not is_listed and not task.is_start_known:
                self._book.unplace(task, now)

    def _reborn(
        self,
        worker: WorkerState,
        report: HoldReport,
        now: float,
    ) -> None:
        entry = msgspec.structs.replace(worker.entry, born_ms=report.born_ms)
        self.update_worker(entry, now)

    def _apply_ends(
        self,
        worker: WorkerState,
        report: HoldReport,
        now: float,
    ) -> None:
        for ended in report.ended:
            if ended.number > worker.reported_through:
                worker.record_end(ended)
                self._ends.apply(worker, ended, now)

    def _pause_failing(self, worker: WorkerState, now: float) -> None:
        if worker.consecutive_failures >= _FAILURES_TO_PAUSE:
            worker.consecutive_failures = _FAILURES_TO_PAUSE - 1
            worker.not_before_s = now + _FAILING_PAUSE_S
            self._book.note('worker paused', worker=worker.worker_id)

    def _check_worker(self, worker: WorkerState, now: float) -> None:
        lease = worker.lease
        if now <= lease.latest_expiry_s or lease.is_usable(now):
            return
        if not worker.is_listed:
            self._book.note('worker gone', worker=worker.worker_id)
            self._book.forget_worker(worker, now)
            return
        lease.has_contact = False
        for task in tuple(worker.tasks_by_name.values()):
            self._book.note(
                'run lapsed',
                task=task.name,
                run=task.run,
                worker=worker.worker_id,
            )
            self._book.release_done(worker, task)
            self._book.unplace(task, now)


def _is_former(worker: WorkerState, born_ms: float) -> bool:
    """Tell whether what arrived late is of a former life under this id."""
    return 0 < born_ms < worker.entry.born_ms
