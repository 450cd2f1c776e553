"""Cache of advice on which workers may run a step, fetched before placement.

Whether a worker may run a step never changes, but its tickets expire.
"""

from math import ceil

from msgspec import Struct

from apricotlead.coordination.cell.askers import AskerSelector
from apricotlead.coordination.cell.settings import AdviceTimes
from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.cell_workers import AdviceAnswer

_MS_PER_S = 1000.0
# The limit of the advice service.
_MAX_WORKERS_PER_CALL = 100
# A call names at least so many workers that their cost reaches this share of
# the fixed cost of a call.
_MIN_WORKERS_COST_SHARE = 0.4
_MIN_MS_PER_WORKER = 0.001


class AdviceCall(Struct, frozen=True):
    """A call to make through the instance at ``asker`` (its peer address).

    The answer is expected after ``due_s`` seconds, which includes the calls
    of the same instance that the service handles first. After ``timeout_s``
    it counts as lost.
    """

    step: str
    worker_ids: tuple[str, ...]
    asker: str
    due_s: float
    timeout_s: float


class StepAdvice:
    """Cached advice on one step; times are local seconds."""

    __slots__ = (
        'all_had_tickets',
        'asked_ids',
        'asked_s',
        'expires_s',
        'ineligible_ids',
        'open_calls',
        'tickets_by_worker',
    )

    def __init__(self) -> None:
        """Create an entry without any answer."""
        self.tickets_by_worker: dict[str, str] = {}
        self.ineligible_ids: set[str] = set()
        self.expires_s: dict[str, float] = {}
        # The number of calls in flight, the workers that they ask about, and
        # whether all of these have had tickets before.
        self.open_calls = 0
        self.asked_ids: frozenset[str] = frozenset()
        self.all_had_tickets = False
        self.asked_s = float('-inf')

    @property
    def is_asking(self) -> bool:
        """Tell whether a call is in flight."""
        return self.open_calls > 0

    def ticket(self, worker_id: str, usable_at_s: float) -> str | None:
        """Return the ticket of a worker, ``None`` if none is valid then."""
        if self.expires_s.get(worker_id, 0) < usable_at_s:
            return None
        return self.tickets_by_worker[worker_id]

    def eligible_workers(self) -> list[str]:
        """Return the workers that may run the step.

        This includes workers whose tickets have expired.
        """
        return list(self.tickets_by_worker)

    def mark_ineligible(self, worker_id: str) -> None:
        """Record that a worker, as it is running now, may not run the step."""
        self.ineligible_ids.add(worker_id)
        self.tickets_by_worker.pop(worker_id, None)
        self.expires_s.pop(worker_id, None)

    def has_answer_for(self, worker_id: str) -> bool:
        """Tell whether it is known if a worker may run the step."""
        return (
            worker_id in self.tickets_by_worker
            or worker_id in self.ineligible_ids
        )


class AdviceCache:
    """Caches the advice on all waiting steps and plans the calls for more."""

    __slots__ = ('_askers', '_times', 'steps_by_name')

    def __init__(self, times: AdviceTimes) -> None:
        """Create an empty cache."""
        self._times = times
        self._askers = AskerSelector(times)
        self.steps_by_name: dict[str, StepAdvice] = {}

    def advice(self, step: str) -> StepAdvice:
        """Return the entry of a step, which is created if it is missing."""
        known = self.steps_by_name.get(step)
        if known is None:
            known = StepAdvice()
            self.steps_by_name[step] = known
        return known

    def forget_worker(self, worker_id: str) -> None:
        """Discard what is known of a worker that has restarted.

        Tickets are valid for one incarnation, and the next one may be of
        another kind.
        """
        for advice in self.steps_by_name.values():
            # An answer that is on its way is about the former incarnation.
            advice.asked_ids -= {worker_id}
            advice.tickets_by_worker.pop(worker_id, None)
            advice.expires_s.pop(worker_id, None)
            advice.ineligible_ids.discard(worker_id)

    def forget(self, step: str) -> None:
        """Remove a step that needs no more workers."""
        self.steps_by_name.pop(step, None)

    def ticket(self, step: str, worker_id: str, now: float) -> str | None:
        """Return a ticket that stays valid long enough to be used."""
        margin_s = self._times.ticket_margin_s
        return self.advice(step).ticket(worker_id, now + margin_s)

    def ticketed_workers(self, step: str, now: float) -> list[str]:
        """Return the workers with tickets that stay valid long enough."""
        usable_at_s = now + self._times.ticket_margin_s
        return [
            worker_id
            for worker_id, ends_s in self.advice(step).expires_s.items()
            if ends_s >= usable_at_s
        ]

    def drop_ticket(self, step: str, worker_id: str) -> None:
        """Discard a ticket that a worker refused."""
        self.advice(step).expires_s.pop(worker_id, None)

    def may_ask(self, step: str, now: float) -> bool:
        """Tell whether no call for a step is in flight or failed recently."""
        advice = self.advice(step)
        is_recent = now - advice.asked_s < self._times.retry_s
        return not (advice.is_asking or is_recent)

    def has_asker(
        self,
        policy: AdvicePolicy,
        askers: list[str],
        now: float,
    ) -> bool:
        """Tell whether a call about one worker could be made now."""
        if not askers:
            return False
        cost_s = self._cost_s(1, policy)
        asker = self._askers.choose(askers, cost_s, now)
        backlog_s = self._askers.backlog_s(asker, now)
        return backlog_s <= self._longest_backlog_s(cost_s)

    def plan_calls(
        self,
        step: str,
        worker_ids: list[str],
        policy: AdvicePolicy,
        askers: list[str],
        now: float,
    ) -> list[AdviceCall]:
        """Return the calls to make now; may be empty.

        ``worker_ids`` are the workers that could hold a task of the step.

        Pattern: wide steps in a large cell, for which an answer about all
        workers takes longer than its tickets are valid. The workers are split
        over several idle instances.
        """
        if not askers or not self.may_ask(step, now):
            return []
        answered_s = now + self._cost_s(len(worker_ids), policy)
        to_ask = self._workers_to_ask(step, worker_ids, answered_s)
        parts = self._divide(to_ask, policy, askers, now)
        calls = [
            call
            for part in parts
            if (call := self._call(step, part, policy, askers, now)) is not None
        ]
        if calls:
            advice = self.advice(step)
            advice.open_calls = len(calls)
            advice.asked_ids = frozenset(to_ask)
            advice.all_had_tickets = advice.tickets_by_worker.keys() >= set(
                to_ask
            )
            advice.asked_s = now
        return calls

    def usable_after_answer(self, step: str, now: float) -> list[str]:
        """Return the workers that a step may use once its calls are answered.

        These are the workers with a ticket that is valid now, and those in
        the calls in flight that have had a ticket before.
        """
        advice = self.advice(step)
        asked = advice.asked_ids & advice.tickets_by_worker.keys()
        return [*asked, *self.ticketed_workers(step, now)]

    def _workers_to_ask(
        self,
        step: str,
        worker_ids: list[str],
        answered_s: float,
    ) -> list[str]:
        """Return the workers to ask about, so that all have tickets then.

        Pattern: gangs on many workers. A ticket that would expire before the
        other tickets arrive is renewed with them. Otherwise the gang would
        never hold valid tickets for all its workers at once.
        """
        advice = self.advice(step)
        usable_at_s = answered_s + self._times.ticket_margin_s
        return [
            worker_id
            for worker_id in worker_ids
            if worker_id not in advice.ineligible_ids
            and advice.ticket(worker_id, usable_at_s) is None
        ]

    def _divide(
        self,
        worker_ids: list[str],
        policy: AdvicePolicy,
        askers: list[str],
        now: float,
    ) -> list[list[str]]:
        """Split workers over several calls where one would cost much more."""
        whole = len(worker_ids)
        if not whole:
            return []
        break_even = int(
            policy.decision_ms / max(_MIN_MS_PER_WORKER, policy.each_ms)
        )
        most_parts = (
            whole // max(1, int(break_even * _MIN_WORKERS_COST_SHARE)) or 1
        )
        saved_s = self._cost_s(whole, policy) - self._cost_s(1, policy)
        if saved_s < self._times.cheap_s:
            most_parts = 1
        idle_count = self._askers.idle_count(
            askers,
            self._cost_s(whole // most_parts, policy),
            now,
        )
        parts = max(1, min(most_parts, idle_count))
        size = min(_MAX_WORKERS_PER_CALL, ceil(whole / parts))
        starts = range(0, min(whole, size * parts), size)
        return [worker_ids[start : start + size] for start in starts]

    def _call(
        self,
        step: str,
        worker_ids: list[str],
        policy: AdvicePolicy,
        askers: list[str],
        now: float,
    ) -> AdviceCall | None:
        cost_s = self._cost_s(len(worker_ids), policy)
        asker = self._askers.choose(askers, cost_s, now)
        longest_s = self._longest_backlog_s(cost_s)
        if self._askers.backlog_s(asker, now) > longest_s:
            return None
        due_s = self._askers.add(asker, cost_s, now)
        timeout_s = due_s + self._askers.slack_s()
        return AdviceCall(step, tuple(worker_ids), asker, due_s, timeout_s)

    def _cost_s(self, count: int, policy: AdvicePolicy) -> float:
        return (policy.decision_ms + policy.each_ms * count) / _MS_PER_S

    def _longest_backlog_s(self, cost_s: float) -> float:
        if cost_s > self._times.cheap_s:
            return self._times.costly_backlog_s
        return self._times.backlog_s

    def answered(
        self,
        call: AdviceCall,
        answer: AdviceAnswer | None,
        asked_s: float,
        now: float,
    ) -> None:
        """Record the answer to a call sent at ``asked_s``.

        ``answer`` is ``None`` if the call brought none.
        """
        self._note_asker(call, answer is not None, asked_s, now)
        advice = self.steps_by_name.get(call.step)
        if advice is None:
            return
        advice.open_calls = max(0, advice.open_calls - 1)
        if answer is None:
            return
        advice.asked_s = float('-inf')
        expires_s = now + answer.valid_ms / _MS_PER_S
        for worker_id in filter(advice.asked_ids.__contains__, call.worker_ids):
            ticket = answer.tickets_by_worker.get(worker_id)
            if ticket is None:
                advice.mark_ineligible(worker_id)
                continue
            advice.ineligible_ids.discard(worker_id)
            advice.tickets_by_worker[worker_id] = ticket
            advice.expires_s[worker_id] = expires_s

    def _note_asker(
        self,
        call: AdviceCall,
        is_answered: bool,
        asked_s: float,
        now: float,
    ) -> None:
        if is_answered:
            late_s = now - asked_s - call.due_s
            self._askers.answered(call.asker, late_s)
        else:
            self._askers.missed(call.asker, now)
