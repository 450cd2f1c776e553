"""Concurrent sending of starts, stops and requests for advice."""

from collections.abc import Callable
from itertools import chain, repeat
from typing import Any

import eventlet
from eventlet import GreenPool

from apricotlead.coordination.cell.advice_cache import AdviceCall
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_peers import AdviceQuestion
from apricotlead.protocol.cell_workers import Refusal, WorkerEntry
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_links import LATER_EPOCH, CellLinks, TermState

# Pause between retries to a worker that refuses connections.
_START_RETRY_S = 0.05
_MAX_OPEN_CALLS = 2000


class OrderSender:
    """Sends the orders of a term, and applies the answers."""

    __slots__ = ('_links', '_own_address', '_pool', '_settings', '_state')

    def __init__(
        self,
        links: CellLinks,
        state: TermState,
        settings: CellSettings,
        own_address: str,
    ) -> None:
        """Ask for advice directly as ``own_address``, or through a peer."""
        self._links = links
        self._state = state
        self._settings = settings
        self._own_address = own_address
        self._pool = GreenPool(size=_MAX_OPEN_CALLS)

    def send_starts(self, starts: list[PlannedStart]) -> None:
        """Send starts that are in the journal."""
        for start in starts:
            self._spawn(self._start, start)

    def ask(self, calls: list[AdviceCall]) -> None:
        """Ask for advice."""
        for call in calls:
            self._spawn(self._ask, call)

    def send_stops(self, now: float) -> None:
        """Send the stops that are due."""
        for entry, order in self._state.scheduler.starts.stops_due(now):
            self._spawn(self._stop, entry, order)

    def _spawn(self, run: Callable[..., None], *arguments: Any) -> None:
        self._pool.spawn_n(self._state.run_part, run, *arguments)

    def _stop(self, entry: WorkerEntry, order: Any) -> None:
        reply = self._links.workers.stop(entry, order)
        workers = self._state.scheduler.workers
        # A former life may have acknowledged it.
        is_current = workers.is_current_fence(entry.worker_id, order.epoch)
        if reply.refusal is None and is_current:
            self._state.scheduler.tracker.stop_acked(
                entry.worker_id,
                order.task,
                order.run,
                boot_now(),
            )

    def _start(self, start: PlannedStart) -> None:
        """Send a start until its outcome is known or its deadline passes."""
        timeouts_s = self._settings.holds.start_timeouts_s
        for timeout_s in chain(timeouts_s, repeat(timeouts_s[-1])):
            order = self._state.scheduler.starts.start_order(start, boot_now())
            if order is None or self._state.ended_why:
                break
            sent_s = boot_now()
            reply = self._links.workers.start(
                start.worker.entry,
                order,
                timeout_s,
            )
            if reply.refusal is Refusal.FENCED:
                self._fenced(start.worker.worker_id, order.epoch)
            must_retry = self._state.scheduler.starts.start_answered(
                start,
                reply,
                sent_s,
                boot_now(),
            )
            if not must_retry:
                break
            eventlet.sleep(_START_RETRY_S)
        self._state.changed.set()

    def _fenced(self, worker_id: str, fence: int) -> None:
        """End the term if a refused fence shows that a later one has begun."""
        if self._state.scheduler.workers.is_current_fence(worker_id, fence):
            self._state.end(LATER_EPOCH)

    def _ask(self, call: AdviceCall) -> None:
        question = AdviceQuestion(
            call.step,
            call.worker_ids,
            call.timeout_s,
        )
        asked_s = boot_now()
        if call.asker == self._own_address:
            answer = self._links.workers.advise(
                question.step,
                question.worker_ids,
                question.timeout_s,
            )
        else:
            answer = self._links.ask_peer(call.asker, question)
        self._links.log(
            'advice' if answer else 'advice missing',
            step=call.step,
            asker=call.asker,
            workers=len(call.worker_ids),
            good=len(answer.tickets_by_worker) if answer else 0,
            took_s=round(boot_now() - asked_s, 3),
            due_s=round(call.due_s, 3),
        )
        self._state.scheduler.advice.answered(
            call,
            answer,
            asked_s,
            boot_now(),
        )
        self._state.changed.set()
