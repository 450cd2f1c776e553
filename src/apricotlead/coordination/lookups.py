"""Requests to a latency-bound service, from admission to the response."""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Any, Protocol

from msgspec import Struct

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.retry_budget import (
    RetryBudget,
    RetryBudgetSettings,
)
from apricotlead.coordination.service_routing import ServiceRouter
from apricotlead.coordination.unit_pool import UnitPool
from apricotlead.protocol.errors import (
    ApricotleadError,
    LimitReached,
    OutcomeUnknown,
    Overloaded,
    TryLater,
)
from apricotlead.protocol.executors import (
    ExecutorAnswered,
    ExecutorClock,
    ExecutorRefused,
    ExecutorResult,
    ExecutorResultUnknown,
)
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun, Outcome
from apricotlead.protocol.signals import JournalOpened, Signal, Tick

_OWN_JOURNAL_EPOCH = 1
_RETRY_AFTER_S = 0.1
_LIMIT_RETRY_AFTER_S = 0.5
_CRASHES = (
    'The connections to two executors ended while they worked on the request;'
    ' it may crash them.'
)
# A request that has broken this many connections may crash its executors.
_MAX_BROKEN_TRIES = 2


class LookupSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Deadlines in seconds, tries per request, and the retry budget.

    ``longest_deadline_s`` must be below the session TTL: a lookup with a limit
    also ends with the session lease, because an adopter may use the units of
    an expired session. While the lease is renewed, the defaults leave it longer.
    """

    deadline_s: float = 1.0
    longest_deadline_s: float = 2.0
    most_tries: int = 3
    try_fraction: float = 0.5
    retries: RetryBudgetSettings = RetryBudgetSettings()


class LookupAdmission(Protocol):
    """The part of ``Admission`` that lookups use."""

    def check_lookup(self, queue: str, key: str, now: float) -> str:
        """Return the team, empty for an open queue, or raise."""


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the request to this executor and wait at most ``timeout_s``.

    ``deadline_s`` is the time left, after which the executor must not work
    on it. ``not_after`` is the same limit on the executor's own clock, which
    also bounds a request that was delayed on its way.
    """

    executor: Instance
    timeout_s: float
    deadline_s: float
    not_after: ExecutorClock | None = None


@dataclass(frozen=True, slots=True)
class ReadClock:
    """Read this executor's clock, and wait at most ``timeout_s``."""

    executor: Instance
    timeout_s: float


class LookupRequest(Struct, frozen=True):
    """The caller's request, without the body.

    ``wait_s`` is how long the caller waits; ``None`` means the default.
    """

    service: str
    queue: str = ''
    key: str = ''
    idempotent: bool = True
    wait_s: float | None = None


class Lookup:
    """One request; decides after each result whether to retry it.

    :meth:`next_step` returns where to send it, or its final outcome. A
    request is sent again only if the last try is proven not to have run or
    the request is idempotent, and only within the retry budget. It is not sent
    again once the connections to two executors have ended under it. A request
    that counts against a limit is sent with an end time on the executor's
    clock if the executor has one, so that it cannot run after its unit was
    returned.
    """

    __slots__ = (
        '_broken_tries',
        '_chosen',
        '_ends_s',
        '_manager',
        '_may_have_run',
        '_request',
        '_tried_ids',
        'journal_id',
        'team',
    )

    def __init__(
        self,
        manager: 'LookupManager',
        request: LookupRequest,
        team: str,
        journal_id: str,
        ends_s: float,
    ) -> None:
        """Start before the first try.

        The lookup uses one unit of ``team``, counted under ``journal_id``.
        """
        self._manager = manager
        self._request = request
        self._ends_s = ends_s
        self._tried_ids: list[str] = []
        self._may_have_run = False
        self._broken_tries = 0
        self._chosen: Instance | None = None
        self.team = team
        self.journal_id = journal_id

    @property
    def ends_s(self) -> float:
        """Return the time after which no executor works on it."""
        return self._ends_s

    def next_step(self, now: float) -> SendTo | ReadClock | Outcome:
        """Return the next executor, or the final outcome."""
        left_s = self._ends_s - now
        if left_s <= 0:
            return self._final_failure(Overloaded('The deadline has passed.'))
        if self._chosen is None:
            refusal = self._choose_next(now)
            if refusal is not None:
                return refusal
        timeout_s = self._manager.try_timeout_s(
            left_s,
            can_retry=self._request.idempotent,
        )
        return self._send_or_read_clock(timeout_s, left_s, now)

    def handle_clock_reply(self, result: ExecutorResult, now: float) -> None:
        """Record the reply to :class:`ReadClock`; call the next step then."""
        router = self._manager.router
        executor_id = self._chosen.instance_id
        router.record_clock(executor_id, result, now)
        if isinstance(result, ExecutorAnswered):
            return
        # Nothing was sent, so the next executor may be tried.
        self._chosen = None
        router.record_start(executor_id)
        router.record_result(executor_id, result, now)

    def handle_result(
        self, result: ExecutorResult, now: float
    ) -> Outcome | None:
        """Record the last try's result; return the outcome if it is final."""
        self._manager.router.record_result(self._tried_ids[-1], result, now)
        match result:
            case ExecutorAnswered():
                return Done(result)
            case ExecutorRefused():
                return None
            case ExecutorResultUnknown():
                self._may_have_run = True
                self._broken_tries += result.is_broken
                if self._broken_tries >= _MAX_BROKEN_TRIES:
                    return MayHaveRun(OutcomeUnknown(_CRASHES))
                if self._request.idempotent:
                    return None
                return MayHaveRun(OutcomeUnknown(result.reason))

    @property
    def may_still_run(self) -> bool:
        """Tell whether an executor may still work on it after the response."""
        return self._may_have_run

    def _choose_next(self, now: float) -> Outcome | None:
        retrying = bool(self._tried_ids)
        if retrying and not self._manager.may_retry(len(self._tried_ids)):
            return self._final_failure(Overloaded('Executors refuse or fail.'))
        router = self._manager.router
        service = self._request.service
        try:
            self._chosen = router.choose(service, now, self._tried_ids)
        except ApricotleadError as error:
            return self._final_failure(error)
        self._tried_ids.append(self._chosen.instance_id)
        return None

    def _send_or_read_clock(
        self,
        timeout_s: float,
        left_s: float,
        now: float,
    ) -> SendTo | ReadClock:
        executor = self._chosen
        router = self._manager.router
        if self.team and router.needs_clock(executor.instance_id, now):
            return ReadClock(executor, timeout_s)
        self._chosen = None
        not_after = router.not_after(
            executor.instance_id,
            self._ends_s,
            now,
        )
        router.record_start(executor.instance_id)
        return SendTo(executor, timeout_s, left_s, not_after)

    def _final_failure(self, error: ApricotleadError) -> Outcome:
        if self._may_have_run:
            return MayHaveRun(OutcomeUnknown('No executor answered in time.'))
        retry_after_s = _RETRY_AFTER_S if isinstance(error, TryLater) else None
        return NotRun(error, retry_after_s)


class LookupManager(Component):
    """Admits lookups, counts them against limits, and bounds retries."""

    name = 'lookups'
    __slots__ = (
        '_admission',
        '_budget',
        '_held_units',
        '_journal_id',
        '_settings',
        '_units',
        'open_count',
        'router',
    )

    def __init__(
        self,
        settings: LookupSettings,
        router: ServiceRouter,
        admission: LookupAdmission,
        units: UnitPool,
    ) -> None:
        """Start without lookups."""
        self._settings = settings
        self._admission = admission
        self._units = units
        self._budget = RetryBudget.from_config(settings.retries)
        self._held_units: list[tuple[float, str, str]] = []
        self._journal_id = ''
        self.router = router
        self.open_count = 0

    @classmethod
    def from_config(
        cls,
        settings: LookupSettings,
        router: ServiceRouter,
        admission: LookupAdmission,
        units: UnitPool,
    ) -> 'LookupManager':
        """Build from settings."""
        return cls(settings, router, admission, units)

    def open(self, request: LookupRequest, now: float) -> Lookup:
        """Admit a request.

        Raises :class:`TryLater` if the limit is reached or the view is
        stale, and the errors of ``check_lookup`` for keys and queues.
        """
        team = self._admission.check_lookup(request.queue, request.key, now)
        if not self._units.try_take(team, self._journal_id, 1, now):
            raise LimitReached(f'Team {team!r} is at its upper limit.')
        wait_s = request.wait_s or self._settings.deadline_s
        wait_s = min(wait_s, self._settings.longest_deadline_s)
        self._budget.record_request()
        self.open_count += 1
        ends_s = min(now + wait_s, self._units.usable_until_s(team))
        return Lookup(self, request, team, self._journal_id, ends_s)

    def close(self, lookup: Lookup, now: float) -> None:
        """Return the unit now, or once no executor can still work on it."""
        self.open_count -= 1
        unit = (lookup.team, lookup.journal_id)
        if lookup.may_still_run:
            heappush(self._held_units, (lookup.ends_s, *unit))
            return
        self._units.release_units(*unit, 1, now)

    def may_retry(self, tries: int) -> bool:
        """Spend a retry if the request and the budget allow one."""
        return tries < self._settings.most_tries and self._budget.try_retry()

    def try_timeout_s(self, left_s: float, *, can_retry: bool) -> float:
        """Return how long to wait for one try, in seconds.

        A request that can be retried leaves time for another try, so that
        one unresponsive executor does not use up the whole deadline.
        """
        if can_retry:
            return left_s * self._settings.try_fraction
        return left_s

    @handles(JournalOpened)
    def on_journal_opened(
        self,
        signal: JournalOpened,
        now: float,
    ) -> Iterable[Signal]:
        """Use the session's own journal to count lookups."""
        if signal.epoch == _OWN_JOURNAL_EPOCH:
            self._journal_id = signal.journal_id
        return ()

    @handles(Tick)
    def on_tick(self, signal: Tick, now: float) -> Iterable[Signal]:
        """Return the units of lookups that can no longer run."""
        while self._held_units and self._held_units[0][0] <= now:
            _, team, journal_id = heappop(self._held_units)
            self._units.release_units(team, journal_id, 1, now)
        self.router.forget_absent()
        return ()

    def dump(self, now: float) -> dict[str, Any]:
        """Return counts and the state of the executors."""
        return {
            'open': self.open_count,
            'held_units': len(self._held_units),
            'retries_left': self._budget.tokens,
            'executors': self.router.dump(now),
        }
