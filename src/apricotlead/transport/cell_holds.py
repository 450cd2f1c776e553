"""Holds: long-poll calls that extend workers' leases and report ended runs."""

from contextlib import AbstractContextManager, nullcontext
from typing import Any

import eventlet
from eventlet.greenthread import GreenThread
from eventlet.semaphore import Semaphore

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
# An urgent run that is placed during a delay ends it within this time.
_DELAY_POLL_S = 0.1


class WorkerHolds:
    """Keeps one hold open at each worker, each in a green thread."""

    __slots__ = (
        '_crowded_checked_s',
        '_green_threads',
        '_links',
        '_lists',
        '_lost_worker_ids',
        '_response_delay',
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
        open_lists: int = 4096,
    ) -> None:
        """Start without workers.

        Workers without contact are asked for their lists ``open_lists`` at a
        time.
        """
        self._lists = Semaphore(open_lists)
        self._links = links
        self._state = state
        self._times = times
        self._green_threads: list[GreenThread] = []
        self._watched_worker_ids: set[str] = set()
        self._lost_worker_ids: set[str] = set()
        # Bounds how long responses take beyond the wait that the order allows.
        self._response_delay = AdaptiveTimeout(
            times.least_slack_s, times.answer_slack_s
        )
        self._crowded_checked_s = float('-inf')
        self._was_crowded = False

    def stop(self) -> None:
        """Stop all calls."""
        for green_thread in self._green_threads:
            green_thread.kill()

    def watch(self, worker_id: str) -> None:
        """Start holding a worker, unless it is held already."""
        if worker_id in self._watched_worker_ids:
            return
        self._watched_worker_ids.add(worker_id)
        self._green_threads.append(
            eventlet.spawn(self._state.run_part, self._hold_worker, worker_id),
        )

    def _hold_worker(self, worker_id: str) -> None:
        """Call one worker again and again until it is removed."""
        consecutive_failures = 0
        while not self._state.ended_why:
            with self._turn(worker_id):
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
                consecutive_failures = 0
                self._log_contact_regained(worker_id)
                self._state.scheduler.workers.hold_answered(
                    worker_id,
                    answer,
                    sent_s,
                    now,
                    order,
                )
                self._state.changed.set()
                self._wait_before_next(worker_id, order, answer)
            elif answer.refusal is Refusal.CONNECTION_GONE:
                self._state.scheduler.workers.hold_refused(
                    worker_id, answer, now, order
                )
            else:
                self._handle_hold_failure(worker_id, order, answer, sent_s)
                eventlet.sleep(
                    self._retry_pause_s(answer, consecutive_failures)
                )
                consecutive_failures += 1
        self._watched_worker_ids.discard(worker_id)

    def _turn(self, worker_id: str) -> AbstractContextManager[Any]:
        """Return the limit of calls that holds for the next call to a worker."""
        has_contact = self._state.scheduler.workers.has_contact(worker_id)
        return nullcontext() if has_contact else self._lists

    def _hold(self, entry: WorkerEntry, order: HoldOrder) -> Any:
        """Make one call; its timeout tells a lost response from a long wait."""
        wait_s = order.wait_ms / _MS_PER_S
        sent_s = boot_now()
        timeout_s = wait_s + self._response_delay.timeout_s
        answer = self._links.workers.hold(entry, order, timeout_s)
        excess_s = boot_now() - sent_s - wait_s
        if isinstance(answer, HoldReport) and excess_s >= 0:
            self._response_delay.answered(excess_s)
        return answer

    def _retry_pause_s(
        self, reply: OrderReply, consecutive_failures: int
    ) -> float:
        """Return how long to wait after a failed call."""
        if reply.refusal is Refusal.UNANSWERED:
            pauses = min(consecutive_failures, self._times.most_pauses)
            return pauses * self._times.retry_pause_s
        return self._times.retry_pause_s

    def _wait_before_next(
        self,
        worker_id: str,
        order: HoldOrder,
        report: HoldReport,
    ) -> None:
        """Wait until the next hold of a worker is useful."""
        pause_s = self._times.retry_pause_s
        self._wait_for_journal(worker_id)
        is_granted = order.deadline_ms is not None
        if report.ended and is_granted:
            self._delay_next(worker_id)
        if not self._state.scheduler.workers.has_contact(worker_id):
            eventlet.sleep(pause_s)
        elif not is_granted and self._state.scheduler.workers.waits_for_grant(
            worker_id
        ):
            # Leases can be granted after the next write of the journal.
            self._state.journaled.wait(pause_s)

    def _wait_for_journal(self, worker_id: str) -> None:
        """Wait until a worker's ended runs may be acknowledged, or time out.

        A hold that does not acknowledge an ended run returns at once.
        """
        ends_s = boot_now() + self._times.unacked_pause_s
        worker = self._state.scheduler.tracker.workers_by_id.get(worker_id)
        while worker is not None and not self._state.ended_why:
            left_s = ends_s - boot_now()
            if worker.reported_through <= worker.acked_through or left_s <= 0:
                break
            self._state.journaled.wait(left_s)

    def _delay_next(self, worker_id: str) -> None:
        """Delay the next hold of a worker, unless a run on it is urgent."""
        ends_s = boot_now() + self._times.pace_s
        tracker = self._state.scheduler.tracker
        placed_count = None
        while boot_now() < ends_s and not self._state.ended_why:
            worker = tracker.workers_by_id.get(worker_id)
            if worker is None:
                break
            is_changed = placed_count != worker.placed_count
            placed_count = worker.placed_count
            if is_changed and not self._may_delay(worker):
                break
            eventlet.sleep(_DELAY_POLL_S)

    def _may_delay(self, worker: WorkerState) -> bool:
        """Return whether a delay is acceptable; crowding is checked at intervals."""
        now = boot_now()
        if now - self._crowded_checked_s > _DELAY_POLL_S:
            self._crowded_checked_s = now
            self._was_crowded = is_crowded(self._state.scheduler.tracker, now)
        errors = self._state.scheduler.tracker.estimate_errors
        return not self._was_crowded and may_delay_hold(worker, now, errors)

    def _log_contact_regained(self, worker_id: str) -> None:
        if worker_id in self._lost_worker_ids:
            self._lost_worker_ids.discard(worker_id)
            self._links.log('worker contact regained', worker=worker_id)

    def _handle_hold_failure(
        self,
        worker_id: str,
        order: HoldOrder,
        reply: OrderReply,
        sent_s: float,
    ) -> None:
        if worker_id not in self._lost_worker_ids:
            self._lost_worker_ids.add(worker_id)
            self._links.log(
                'worker contact lost',
                worker=worker_id,
                why=str(reply.refusal),
                detail=reply.detail,
            )
        workers = self._state.scheduler.workers
        is_fenced = reply.refusal is Refusal.FENCED
        if is_fenced and workers.is_current_fence(worker_id, order.epoch):
            self._state.end(LATER_EPOCH)
            return
        workers.hold_refused(worker_id, reply, boot_now(), order, sent_s)
        if reply.refusal is Refusal.OTHER_LIFE:
            self._state.changed.set()
