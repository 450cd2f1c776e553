"""Simulates calls from the scheduler to workers and the advice service."""

from collections import defaultdict
from collections.abc import Callable
from itertools import count
from random import Random

from msgspec import Struct

from apricotlead.coordination.cell.advice_cache import AdviceCall
from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.cell_workers import (
    AdviceAnswer,
    OrderReply,
    Refusal,
    WorkerEntry,
)
from tests.faulty.shape import MS_PER_S
from tests.faulty.timeline import Process, Timeline
from tests.faulty.workers import FaultyWorker

_MIN_DELAY_S = 2.0
_MAX_DELAY_S = 8.0
OrderHandler = Callable[[FaultyWorker], OrderReply]


class Links:
    """Delivers calls to workers; loses or delays a share of them."""

    def __init__(
        self,
        timeline: Timeline,
        random: Random,
        workers_by_id: dict[str, FaultyWorker],
    ) -> None:
        """Deliver every call at first."""
        # The probability that a request, or its response, is lost.
        self.lost_share = 0.0
        # The probability that an order is executed after its call timed out.
        self.late_share = 0.0
        # The probability that a call that finds no process, or one that is cut
        # off, waits on its way and then reaches the process that is there.
        self.held_share = 0.0
        self.held_s = (0.05, 2.0)
        # Whether orders are executed and all answers to them are lost.
        self.loses_answers = False
        self._connections = count(1)
        self._timeline = timeline
        self._random = random
        self._workers_by_id = workers_by_id

    def is_lost(self) -> bool:
        """Draw whether a message is lost."""
        return self._random.random() < self.lost_share

    def reach(self, entry: WorkerEntry) -> FaultyWorker | Refusal:
        """Return the worker process a call reaches, or why it fails.

        A process that was restarted under the same id has another address;
        one that took the address over has another id.
        """
        worker = self._workers_by_id.get(entry.worker_id)
        if worker is None or worker.is_disconnected:
            return Refusal.UNANSWERED
        if worker.has_ended:
            is_taken_over = any(
                other.entry.address == entry.address and not other.has_ended
                for other in self._workers_by_id.values()
            )
            return Refusal.OTHER_LIFE if is_taken_over else Refusal.NO_LISTENER
        if worker.entry.address != entry.address:
            return Refusal.OTHER_LIFE
        return worker

    def renew_connection(self, worker: FaultyWorker) -> None:
        """Give a worker's connection a number that none had before."""
        worker.connection = next(self._connections)

    def is_held(self, refusal: Refusal) -> bool:
        """Draw whether a call that failed so waits on its way."""
        if not self.held_share or refusal is Refusal.OTHER_LIFE:
            return False
        return self._random.random() < self.held_share

    def deliver_held(self, entry: WorkerEntry, handle: OrderHandler) -> None:
        """Let a call reach, later, the process that is at its address then."""
        delay_s = self._random.uniform(*self.held_s)
        self._timeline.spawn(self._handle_after(entry, handle, delay_s))

    def is_broken(self, entry: WorkerEntry) -> bool:
        """Return whether a call to a worker ends with its connection."""
        worker = self._workers_by_id.get(entry.worker_id)
        return bool(worker and worker.has_ended and worker.closes_connections)

    def order(self, entry: WorkerEntry, handle: OrderHandler) -> OrderReply:
        """Send an order; the request or response may be lost or delayed."""
        worker = self.reach(entry)
        if isinstance(worker, Refusal):
            if self.is_held(worker):
                self.deliver_held(entry, handle)
                worker = Refusal.UNANSWERED
            return OrderReply(worker)
        if self._random.random() < self.late_share:
            delay_s = self._random.uniform(_MIN_DELAY_S, _MAX_DELAY_S)
            self._timeline.spawn(self._handle_after(entry, handle, delay_s))
            return OrderReply(Refusal.UNANSWERED)
        if self.is_lost():
            return OrderReply(Refusal.UNANSWERED)
        reply = handle(worker)
        is_lost = self.loses_answers or self.is_lost()
        return OrderReply(Refusal.UNANSWERED) if is_lost else reply

    def _handle_after(
        self,
        entry: WorkerEntry,
        handle: OrderHandler,
        delay_s: float,
    ) -> Process:
        """Execute an order in the process that is at its address then.

        The worker's id is all that an order carries.
        """
        yield delay_s
        worker = self._workers_by_id.get(entry.worker_id)
        is_there = worker is not None and not worker.has_ended
        if is_there and worker.entry.address == entry.address:
            handle(worker)


class AnswerPlan(Struct, frozen=True):
    """Holds when an advice call is answered and how long tickets are valid."""

    answered_s: float
    valid_ms: float

    def ticket(self, worker_id: str) -> str:
        """Return a ticket that names the worker and its expiry time."""
        ends_s = self.answered_s + self.valid_ms / MS_PER_S
        return f'{worker_id} {ends_s}'


class AdviceService:
    """Answers advice calls, one at a time for each asker."""

    def __init__(self, is_permitted: Callable[[str, str], bool]) -> None:
        """Decide by ``is_permitted(step, worker_id)`` who may run a step."""
        self.lost_askers: frozenset[str] = frozenset()
        self._is_permitted = is_permitted
        self._busy_until_s_by_asker: defaultdict[str, float]
        self._busy_until_s_by_asker = defaultdict(float)

    def enqueue(
        self,
        call: AdviceCall,
        policy: AdvicePolicy,
        now: float,
    ) -> AnswerPlan | None:
        """Queue a call; return ``None`` if it is lost or will time out."""
        if call.asker in self.lost_askers:
            return None
        cost_ms = policy.decision_ms + policy.each_ms * len(call.worker_ids)
        begins_s = max(now, self._busy_until_s_by_asker[call.asker])
        answered_s = begins_s + cost_ms / MS_PER_S
        self._busy_until_s_by_asker[call.asker] = answered_s
        if answered_s - now > call.timeout_s:
            return None
        return AnswerPlan(answered_s, policy.valid_ms)

    def answer(self, call: AdviceCall, plan: AnswerPlan) -> AdviceAnswer:
        """Return tickets for the workers that may run the step."""
        tickets = {
            worker_id: plan.ticket(worker_id)
            for worker_id in call.worker_ids
            if self._is_permitted(call.step, worker_id)
        }
        return AdviceAnswer(tickets, plan.valid_ms)


def is_valid_ticket(ticket: str, worker: FaultyWorker, now: float) -> bool:
    """Return whether a worker accepts a ticket.

    Orders of queues without advice carry none.
    """
    if not ticket:
        return True
    worker_id, _, ends_s = ticket.partition(' ')
    return worker_id == worker.entry.worker_id and now <= float(ends_s)
