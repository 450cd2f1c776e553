"""Worker tracking: registrations, holds, leases and expired leases."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from apricotlead.coordination.cell.advice_cache import AdviceCache
from apricotlead.coordination.cell.crash_attribution import CrashAttribution
from apricotlead.coordination.cell.crash_evidence import Evidence
from apricotlead.coordination.cell.election import OwnerRow
from apricotlead.coordination.cell.evacuation import runs_to_evacuate
from apricotlead.coordination.cell.lease_records import LeaseRecords
from apricotlead.coordination.cell.reconciliation import reconcile
from apricotlead.coordination.cell.run_ends import RunEndHandler
from apricotlead.coordination.cell.run_tracker import RunTracker
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
from apricotlead.state.cell_workers import TRIAL_S, WorkerState

_MS_PER_S = 1000.0
# A worker may restart this often in one term before its lives share a fence.
_FENCES_PER_EPOCH = 1000
# A worker gets no new runs for a while after this many failures in a row.
_FAILURES_TO_PAUSE = 3
_FAILING_PAUSE_S = 4.0


class WorkerWatch:
    """Tracks which workers are alive and until when their runs may continue."""

    __slots__ = (
        '_advice',
        '_answering_id_by_address',
        '_clock',
        '_crashes',
        '_ends',
        '_former_renewed_s',
        '_leases',
        '_lives_by_id',
        '_lossy_until_s',
        '_settings',
        '_tracker',
        'epoch',
        'renewed_s',
    )

    def __init__(
        self,
        settings: CellSettings,
        tracker: RunTracker,
        advice: AdviceCache,
        clock: StoreClock,
        epoch: int,
        former: OwnerRow | None,
        now: float,
    ) -> None:
        """Begin the term of ``epoch``.

        ``former`` is the owner row of the previous term, if there was one.
        """
        self._settings = settings
        self._tracker = tracker
        self._advice = advice
        self._clock = clock
        self._ends = RunEndHandler(tracker)
        self._crashes = CrashAttribution(tracker)
        self._leases = LeaseRecords(settings, clock, former, now)
        self._lossy_until_s = now
        # When the previous scheduler last wrote, so that all runs that it
        # placed are older.
        self._former_renewed_s: float | None = None
        if former is not None:
            self._former_renewed_s = clock.to_local_s(former.renewed_ms, now)
        # The worker that was the last to answer at each address.
        self._answering_id_by_address: dict[str, str] = {}
        # How many restarts of each worker this term has seen.
        self._lives_by_id: Counter[str] = Counter()
        self.epoch = epoch
        # When the last confirmed write of the owner row was prepared.
        self.renewed_s = now

    def update_worker(self, entry: WorkerEntry, now: float) -> bool:
        """Apply a registration; tell whether the worker is new."""
        worker = self._tracker.workers_by_id.get(entry.worker_id)
        if worker is not None and not worker.entry.address:
            # So far only its restored runs were known.
            worker.update_entry(entry, now)
            self._bound_restored_runs(worker)
            return True
        if worker is not None and _is_from_earlier_incarnation(
            worker, entry.born_ms
        ):
            return False
        if worker is not None and entry.born_ms > worker.entry.born_ms:
            self._note_restart(worker, entry.born_ms, 'registration', None)
            self._replace_worker(worker, entry, now)
            return True
        if worker is None:
            self._add(entry, now)
            return True
        if entry.draining and not worker.entry.draining:
            self._tracker.note(
                'worker draining',
                worker=entry.worker_id,
                left_ms=entry.drain_left_ms,
            )
        if not entry.born_ms:
            # An entry without a start time does not tell one life from another.
            entry = msgspec.structs.replace(entry, born_ms=worker.entry.born_ms)
        worker.update_entry(entry, now)
        return False

    def restore_unregistered(self, now: float) -> None:
        """Keep restored runs whose workers are not registered.

        Such a worker may still execute them until its lease expires.
        """
        for worker_id in tuple(self._tracker.restored_by_worker):
            entry = WorkerEntry(worker_id, '', '', '', Resources())
            worker = WorkerState(entry, self._leases.new_lease(worker_id, now))
            worker.fence = self._fence(worker_id)
            worker.is_listed = False
            self._tracker.workers_by_id[worker_id] = worker
            self._tracker.restore_placements(worker)
            self._bound_restored_runs(worker)

    def mark_unlisted(self, worker_id: str) -> None:
        """Record that a worker is no longer registered."""
        worker = self._tracker.workers_by_id.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            self._tracker.note('worker unlisted', worker=worker_id)

    def hold_order(
        self,
        worker_id: str,
        now: float,
    ) -> tuple[WorkerEntry, HoldOrder] | None:
        """Return the next hold for a worker, ``None`` if it is gone.

        A hold is a long-poll call that extends the lease and acknowledges
        ends. A worker that has restarted under its id would apply both to other
        runs than they are meant for. They are sent only on the connection on
        which this incarnation has answered; until it has, and after a failed
        call, the next hold only asks for the lists.
        """
        worker = self._tracker.workers_by_id.get(worker_id)
        if worker is None or not worker.entry.address:
            return None
        lease = worker.lease
        is_silent = (
            now - lease.last_contact_s > self._settings.leases.lease_s / 2
        )
        if not (worker.is_proven and lease.has_contact) or is_silent:
            return worker.entry, HoldOrder(worker.fence, 0, 0)
        deadline_ms = None
        if worker.may_grant_lease:
            deadline_ms = lease.deadline(now, self.renewed_s)
            if worker.connection is None:
                lease.note_grant_sent(now)
        order = HoldOrder(
            worker.fence,
            worker.acked_through,
            int(self._wait_s(worker, now) * _MS_PER_S),
            deadline_ms,
            worker.connection,
        )
        return worker.entry, order

    def _wait_s(self, worker: WorkerState, now: float) -> float:
        """Return how long a worker may delay its answer to a hold."""
        holds = self._settings.holds
        has_unacked = worker.reported_through > worker.acked_through
        # The lost answer may have reported an end.
        is_answer_lost = worker.unanswered_s > worker.lease.last_contact_s
        if has_unacked or is_answer_lost or not worker.may_grant_lease:
            return 0
        if worker.apart_for is not None:
            # Whether the suspect lives is to be known soon.
            return min(TRIAL_S, holds.lossy_wait_s)
        if now < self._lossy_until_s:
            return holds.lossy_wait_s
        return holds.wait_s

    def has_contact(self, worker_id: str) -> bool:
        """Tell whether a worker's lists were received in this term."""
        worker = self._tracker.workers_by_id.get(worker_id)
        return worker is not None and worker.lease.has_contact

    def waits_for_grant(self, worker_id: str) -> bool:
        """Tell whether a worker may get no lease before the next write."""
        worker = self._tracker.workers_by_id.get(worker_id)
        return worker is not None and not worker.may_grant_lease

    def hold_answered(
        self,
        worker_id: str,
        report: HoldReport,
        sent_s: float,
        now: float,
        order: HoldOrder | None = None,
    ) -> None:
        """Apply the lists of running and ended runs in a worker's answer.

        ``order`` is what it answers, by default the latest one.
        """
        worker = self._tracker.workers_by_id.get(worker_id)
        if worker is None or _is_from_earlier_incarnation(
            worker, report.born_ms
        ):
            return
        self._detect_lost_answers(worker, now)
        if report.born_ms > worker.entry.born_ms:
            self._note_restart(worker, report.born_ms, 'hold', order)
            self._handle_restart(worker, report, now)
            return
        if _is_for_former(worker, order):
            # The lists may be older than a late call to the former life.
            self._apply_ends(worker, report, now)
            return
        worker.lease.record_answer(report.clock_ms, sent_s, now)
        worker.note_answer(report.connection)
        worker.forget_lapsed_runs()
        self._end_former_at_address(worker, now)
        self._apply_ends(worker, report, now)
        reconcile(self._tracker, worker, report, sent_s, now)
        worker.lease.has_contact = True
        if report.has_all_ends and not worker.is_reconciled:
            worker.is_reconciled = True
            self._requeue_unlisted_restored(worker, report, now)
        self._pause_failing(worker, now)

    def hold_refused(
        self,
        worker_id: str,
        reply: OrderReply,
        now: float,
        order: HoldOrder | None = None,
        sent_s: float | None = None,
    ) -> None:
        """Handle a hold that was refused or got no answer.

        ``order`` is the hold, by default the latest one, which was sent at
        ``sent_s``, by default now. The failure of a hold of a former
        incarnation says nothing about the present one.
        """
        worker = self._tracker.workers_by_id.get(worker_id)
        if worker is None or _is_for_former(worker, order):
            return
        if reply.refusal is Refusal.CONNECTION_GONE:
            # Nothing was sent, so nothing is known about the worker.
            worker.forget_connection()
            return
        is_refused = reply.refusal is Refusal.NO_LISTENER
        worker.note_failed_call(
            now,
            is_prompt=reply.is_broken or is_refused,
            is_refused=is_refused,
        )
        if reply.refusal is Refusal.OTHER_LIFE:
            self._tracker.note('worker life over', worker=worker_id)
            self._forget(worker, Evidence.OTHER_LIFE, now)
        elif reply.refusal is Refusal.UNANSWERED:
            worker.unanswered_s = now
        elif reply.refusal is Refusal.NO_LISTENER:
            self._note_no_listener(worker, sent_s, now)

    def _note_no_listener(
        self, worker: WorkerState, sent_s: float | None, now: float
    ) -> None:
        worker.refused_s = now if sent_s is None else sent_s
        if not worker.is_suspected:
            self._crashes.worker_down(worker)
        # Until it answers again, nothing is sent there.
        worker.suspected_s = now

    def tick(self, now: float) -> None:
        """Free runs of expired leases, and stop runs on draining workers."""
        for worker in tuple(self._tracker.workers_by_id.values()):
            self._check_worker(worker, now)
            for task in runs_to_evacuate(worker, now, self._settings.stop_s):
                self._tracker.note(
                    'run leaves',
                    task=task.name,
                    run=task.run,
                    worker=worker.worker_id,
                    progress=task.progress,
                    left_s=round(worker.drain_ends_s - now, 2),
                )
                self._tracker.stop(task)

    def next_owner(self, owner: OwnerRow, now: float) -> OwnerRow:
        """Return the owner row for the next write."""
        return msgspec.structs.replace(
            owner,
            sequence=owner.sequence + 1,
            renewed_ms=self._clock.read_ms(now),
        )

    def load_leases(self, rows: Iterable[Row]) -> None:
        """Load the lease rows, which were read after the takeover."""
        for key in self._leases.load(rows):
            self._tracker.note(
                'row unreadable', key=key, why='no lease records'
            )

    def lease_puts(self, now: float) -> tuple[Put, ...]:
        """Return the lease rows to include in the next write."""
        return self._leases.make_rows(self._tracker.workers_by_id, now)

    def leases_written(self) -> None:
        """Allow grants to workers recorded as in contact by a durable write."""
        self._leases.written(self._tracker.workers_by_id)

    def leases_refused(self) -> None:
        """Write the lease rows of the latest write again."""
        self._leases.refused()

    def wants_grant(self, now: float) -> bool:
        """Tell whether a worker in contact needs a write to get its grant."""
        return any(
            self._leases.wants_grant(worker, now)
            for worker in self._tracker.workers_by_id.values()
        )

    def is_current_fence(self, worker_id: str, fence: int) -> bool:
        """Tell whether a worker that refuses ``fence`` has seen a later term.

        A call to its former incarnation may arrive after the first call to
        the present one, which refuses it.
        """
        return fence >= self._fence(worker_id)

    def _fence(self, worker_id: str) -> int:
        """Return the fencing number for calls to a worker's present life.

        It is higher than those of its former lives. Once a life has answered
        a call, it refuses the calls that were meant for them.
        """
        lives = min(self._lives_by_id[worker_id], _FENCES_PER_EPOCH - 1)
        return self.epoch * _FENCES_PER_EPOCH + lives

    def _detect_lost_answers(self, worker: WorkerState, now: float) -> None:
        """Switch to short holds for a while if answers were lost.

        A worker that answers soon after a call without an answer is reachable,
        so the answer was lost.
        """
        lost_s = now - worker.unanswered_s
        if lost_s < self._settings.leases.silent_s:
            worker.unanswered_s = float('-inf')
            self._lossy_until_s = now + self._settings.holds.lossy_s

    def _add(self, entry: WorkerEntry, now: float) -> None:
        worker = WorkerState(
            entry, self._leases.new_lease(entry.worker_id, now)
        )
        worker.fence = self._fence(entry.worker_id)
        worker.update_entry(entry, now)
        worker.may_grant_lease = self._leases.may_grant(entry.worker_id)
        self._tracker.workers_by_id[entry.worker_id] = worker
        self._tracker.restore_placements(worker)
        self._bound_restored_runs(worker)
        self._tracker.note('worker added', worker=entry.worker_id)

    def _bound_restored_runs(self, worker: WorkerState) -> None:
        """Note how long the restored runs of a worker may last.

        The previous scheduler sent no start later than a while after it placed
        the run, so an old run does not outlast the lease of its worker,
        whichever incarnation took it. Runs with a start that it recorded as
        unanswered may last longer.
        """
        times = self._settings.leases
        lease = worker.lease
        born_ms = worker.entry.born_ms
        for task in worker.tasks_by_name.values():
            sent_s = task.placed_s + times.start_within_s
            until_s = sent_s + times.misdirected_s
            task.may_outlast_lease = until_s > lease.latest_expiry_s
            if task.may_outlast_lease and 0 < task.born_ms < born_ms:
                # The registered incarnation is not the one it was meant for.
                lease.note_grant_sent(sent_s)

    def _replace_worker(
        self,
        former: WorkerState,
        entry: WorkerEntry,
        now: float,
    ) -> None:
        """Replace a worker that restarted under the same id.

        The new incarnation has no state of the old one. Orders contain only
        the id, so it may have accepted starts that were sent to the old one.
        """
        self._leases.forget(entry.worker_id)
        self._advice.forget_worker(entry.worker_id)
        self._lives_by_id[entry.worker_id] += 1
        guilty = self._crashes.worker_ended(former, Evidence.REBORN, now)
        open_runs = self._tracker.detach_open_runs(former, now)
        self._tracker.forget_worker(former, now)
        self._add(entry, now)
        worker = self._tracker.workers_by_id[entry.worker_id]
        worker.lease.inherit(former.lease, now)
        self._tracker.stop_after_restart(open_runs, worker)
        self._crashes.give_up(guilty, now)

    def _requeue_unlisted_restored(
        self,
        worker: WorkerState,
        report: HoldReport,
        now: float,
    ) -> None:
        """Requeue restored runs that are not in the worker's first full report.

        The worker has seen this epoch, so it refuses late starts of previous
        terms. Starts of this term may still arrive, so their runs are kept.
        """
        listed = {(each.task, each.run) for each in report.running}
        missing = [
            task
            for task in worker.tasks_by_name.values()
            if task.is_placed
            and not task.is_start_known
            and (task.name, task.run) not in listed
        ]
        born_s = now - report.clock_ms / _MS_PER_S
        if self._former_renewed_s is not None and (
            born_s > self._former_renewed_s
        ):
            # The runs were placed before it started.
            self._crashes.restarted_between_terms(worker, missing, now)
        for lost in missing:
            self._tracker.requeue(lost, now)

    def _handle_restart(
        self,
        worker: WorkerState,
        report: HoldReport,
        now: float,
    ) -> None:
        entry = msgspec.structs.replace(worker.entry, born_ms=report.born_ms)
        self._replace_worker(worker, entry, now)
        # Its capacity and labels may be others than those of the former life,
        # so it gets no work before it has registered.
        self._tracker.workers_by_id[entry.worker_id].is_listed = False
        # These ends may be listed only once, as the call that the new life
        # answers may have acknowledged them.
        worker = self._tracker.workers_by_id[entry.worker_id]
        self._apply_ends(worker, report, now)

    def _note_restart(
        self,
        worker: WorkerState,
        born_ms: float,
        seen_by: str,
        order: HoldOrder | None,
    ) -> None:
        """Log a restart, and what a call to the former incarnation carried.

        The new incarnation may have applied the acknowledgement and deadline.
        """
        self._tracker.note(
            'worker reborn',
            worker=worker.worker_id,
            seen_by=seen_by,
            born_ms=born_ms,
            former_born_ms=worker.entry.born_ms,
            former_acked_through=worker.acked_through,
            call_acked_through=order.acked_through if order else None,
            call_deadline_ms=order.deadline_ms if order else None,
        )

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
            self._tracker.note('worker paused', worker=worker.worker_id)

    def _end_former_at_address(self, worker: WorkerState, now: float) -> None:
        """Forget the worker that another one has replaced at its address.

        Only one process can listen there, and ``worker`` has answered.
        """
        address = worker.entry.address
        former_id = self._answering_id_by_address.get(address)
        self._answering_id_by_address[address] = worker.worker_id
        if former_id is None or former_id == worker.worker_id:
            return
        former = self._tracker.workers_by_id.get(former_id)
        if former is not None and former.entry.address == address:
            self._forget(former, Evidence.OTHER_LIFE, now)

    def _forget(
        self, worker: WorkerState, evidence: Evidence, now: float
    ) -> None:
        """Forget a worker that has ended; give up the jobs that crashed it."""
        # A later incarnation may return under the same id.
        self._lives_by_id[worker.worker_id] += 1
        guilty = self._crashes.worker_ended(worker, evidence, now)
        address = worker.entry.address
        if self._answering_id_by_address.get(address) == worker.worker_id:
            self._answering_id_by_address.pop(address)
        self._tracker.forget_worker(worker, now)
        self._crashes.give_up(guilty, now)

    def _check_worker(self, worker: WorkerState, now: float) -> None:
        lease = worker.lease
        if now <= lease.latest_expiry_s or lease.is_usable(now):
            return
        if not worker.is_listed and now > worker.runs_until_s:
            self._tracker.note('worker gone', worker=worker.worker_id)
            self._forget(worker, Evidence.GONE, now)
            return
        lease.has_contact = False
        worker.is_reconciled = False
        for task in tuple(worker.tasks_by_name.values()):
            if now <= worker.run_until_s(task):
                continue
            self._tracker.note(
                'run lapsed',
                task=task.name,
                run=task.run,
                worker=worker.worker_id,
                late_start=task.unanswered_start_s is not None,
                after_lease_s=round(now - lease.latest_expiry_s, 2),
            )
            if task.is_placed:
                worker.note_lapsed_run(task)
            self._tracker.release_done(worker, task)
            self._tracker.requeue(task, now)


def _is_from_earlier_incarnation(worker: WorkerState, born_ms: float) -> bool:
    """Tell whether a late message is from an earlier incarnation."""
    return 0 < born_ms < worker.entry.born_ms


def _is_for_former(worker: WorkerState, order: HoldOrder | None) -> bool:
    """Tell whether a hold was meant for a former incarnation."""
    return order is not None and order.epoch < worker.fence
