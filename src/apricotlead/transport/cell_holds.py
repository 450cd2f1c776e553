"""One held call at each worker: it extends leases and brings ends."""

from typing import Any

import eventlet
from eventlet.greenthread import GreenThread

from apricotlead.coordination.cell.hold_pacing import is_crowded, may_delay_hold
from apricotlead.coordination.cell.settings import HoldTimes
from apricotlead.protocol.cell_workers import (
    HoldOrder,
    HoldReport,
    OrderReply,
    Refusal,
    WorkerEntry,
)
from apricotlead.state.answer_time import AdaptiveTimeout
from apricotlead.state.cell_workers import WorkerState
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_links import LATER_EPOCH, CellLinks, TermState

_MS_PER_S = 1000.0
# An urgent run that is placed meanwhile ends the pause within this.
_PACE_POLL_S = 0.1


class WorkerHolds:
    """Holds all workers of a term, each in a green thread."""

    __slots__ = (
        '_crowded_read_s',
        '_delays',
        '_green_threads',
        '_links',
        '_lost_worker_ids',
        '_state',
        '_times',
        '_was_crowded',
        '_watched_worker_ids',
    )

    def __init__(
        self,
        links: CellLinks,
        state: TermState,
        times: HoldTimes,
    ) -> None:
        """Begin without workers."""
        self._links = links
        self._state = state
        self._times = times
        self._green_threads: list[GreenThread] = []
        self._watched_worker_ids: set[str] = set()
        self._lost_worker_ids: set[str] = set()
        # How much later than they may wait answers come.
        self._delays = AdaptiveTimeout(
            times.least_slack_s, times.answer_slack_s
        )
        self._crowded_read_s = float('-inf')
        self._was_crowded = False

    def stop(self) -> None:
        """End all calls."""
        for green_thread in self._green_threads:
            green_thread.kill()

    def watch(self, worker_id: str) -> None:
        """Hold a worker from now on, unless that is done already."""
        if worker_id in self._watched_worker_ids:
            return
        self._watched_worker_ids.add(worker_id)
        self._green_threads.append(
            eventlet.spawn(self._state.run_part, self._hold_worker, worker_id),
        )

    def _hold_worker(self, worker_id: str) -> None:
        """Hold one worker until it is gone."""
        missed_count = 0
        while not self._state.ended_why:
            planned = self._state.scheduler.workers.hold_order(
                worker_id, boot_now()
            )
            if planned is None:
                break
            entry, order = planned
            sent_s = boot_now()
            answer = self._hold(entry, order)
            now = boot_now()
            if isinstance(answer, HoldReport):
                missed_count = 0
                self._contact_regained(worker_id)
                self._state.scheduler.workers.hold_answered(
                    worker_id,
                    answer,
                    sent_s,
                    now,
                )
                self._state.changed.set()
                self._wait_after(worker_id, order, answer)
            else:
                self._hold_failed(worker_id, answer, now)
                eventlet.sleep(self._retry_pause_s(answer, missed_count))
                missed_count += 1
        self._watched_worker_ids.discard(worker_id)

    def _hold(self, entry: WorkerEntry, order: HoldOrder) -> Any:
        """Make one call; tell an answer that is lost from one that waits."""
        wait_s = order.wait_ms / _MS_PER_S
        sent_s = boot_now()
        timeout_s = wait_s + self._delays.timeout_s
        answer = self._links.workers.hold(entry, order, timeout_s)
        late_s = boot_now() - sent_s - wait_s
        if isinstance(answer, HoldReport) and late_s >= 0:
            self._delays.answered(late_s)
        return answer

    def _retry_pause_s(self, reply: OrderReply, missed_count: int) -> float:
        """Return how long to wait after a call without lists."""
        if reply.refusal is Refusal.UNANSWERED:
            pauses = min(missed_count, self._times.most_pauses)
            return pauses * self._times.retry_pause_s
        return self._times.retry_pause_s

    def _wait_after(
        self,
        worker_id: str,
        order: HoldOrder,
        report: HoldReport,
    ) -> None:
        """Wait until the next call to a worker is of use."""
        pause_s = self._times.retry_pause_s
        self._wait_for_journal(worker_id)
        if report.ended:
            self._pace(worker_id)
        if not self._state.scheduler.workers.has_contact(worker_id):
            eventlet.sleep(pause_s)
        elif order.deadline_ms is None:
            # The next write of the journal allows grants.
            self._state.journaled.wait(pause_s)

    def _wait_for_journal(self, worker_id: str) -> None:
        """Wait until a worker's ends may be acknowledged, or for a while.

        A hold that cannot acknowledge an end returns at once.
        """
        ends_s = boot_now() + self._times.unacked_pause_s
        worker = self._state.scheduler.tracker.workers_by_id.get(worker_id)
        while worker is not None and not self._state.ended_why:
            left_s = ends_s - boot_now()
            if worker.reported_through <= worker.acked_through or left_s <= 0:
                break
            self._state.journaled.wait(left_s)

    def _pace(self, worker_id: str) -> None:
        """Put the next call to a worker off, unless something is urgent."""
        ends_s = boot_now() + self._times.pace_s
        tracker = self._state.scheduler.tracker
        placed_count = None
        while boot_now() < ends_s and not self._state.ended_why:
            worker = tracker.workers_by_id.get(worker_id)
            if worker is None:
                break
            is_news = placed_count != worker.placed_count
            placed_count = worker.placed_count
            if is_news and not self._may_pause(worker):
                break
            eventlet.sleep(_PACE_POLL_S)

    def _may_pause(self, worker: WorkerState) -> bool:
        """Tell whether ends are not urgent; a cell is counted now and then."""
        now = boot_now()
        if now - self._crowded_read_s > _PACE_POLL_S:
            self._crowded_read_s = now
            self._was_crowded = is_crowded(self._state.scheduler.tracker, now)
        errors = self._state.scheduler.tracker.estimate_errors
        return not self._was_crowded and may_delay_hold(worker, now, errors)

    def _contact_regained(self, worker_id: str) -> None:
        if worker_id in self._lost_worker_ids:
            self._lost_worker_ids.discard(worker_id)
            self._links.log('worker contact regained', worker=worker_id)

    def _hold_failed(
        self,
        worker_id: str,
        reply: OrderReply,
        now: float,
    ) -> None:
        if worker_id not in self._lost_worker_ids:
            self._lost_worker_ids.add(worker_id)
            self._links.log(
                'worker contact lost',
                worker=worker_id,
                why=str(reply.refusal),
                detail=reply.detail,
            )
        if reply.refusal is Refusal.FENCED:
            self._state.end(LATER_EPOCH)
            return
        self._state.scheduler.workers.hold_refused(worker_id, reply, now)
        if reply.refusal is Refusal.OTHER_LIFE:
            self._state.changed.set()
