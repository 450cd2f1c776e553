"""Reserves worker capacity for queued tasks and places them."""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from heapq import heapify, heappop, heappush
from typing import Any, ClassVar

from msgspec import Struct

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.dispatch_outbox import DispatchOutbox
from apricotlead.coordination.dispatch_queue import (
    RANKS,
    DispatchQueue,
    Lane,
    Pending,
)
from apricotlead.coordination.fair_share import PolicySource, ShareSource
from apricotlead.coordination.owner_choice import OwnerSelector
from apricotlead.coordination.unit_pool import UnitPool
from apricotlead.protocol.jobs import AttemptState
from apricotlead.protocol.peers import (
    CapacityGranted,
    CapacityRefused,
    Gossip,
    Grant,
    TaskDemand,
)
from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.signals import (
    AttemptAdopted,
    AttemptEnded,
    JournalClosed,
    JournalOpened,
    PeersChanged,
    ReleasesWaiting,
    Signal,
    TaskQueued,
    TasksWithdrawn,
    Tick,
)
from apricotlead.state.job_table import JobTable, journal_of_attempt
from apricotlead.state.session_view import SessionView

_MAX_DOUBLINGS = 8
# Gossip reports this session's placements after about this long (seconds);
# until then they are added to the usage of their team.
_GOSSIP_DELAY_S = 0.25
# Without gossip the cell's capacity is unknown and fractions are 0; this
# still orders lanes of equal share by the number of their placements.
_MIN_USAGE = 1e-9


class DispatchSettings(Struct, frozen=True):
    """Times in seconds, amounts in tasks.

    ``gang_wait_s`` limits a gang's round from its first request, and
    ``gang_hold_s`` from its first grant: a grant that is held for longer
    would expire before all starts have reached their workers. Workers on which
    a task failed are avoided for ``avoid_rounds`` unsuccessful rounds. In a
    full cell a worker that fails every task is the one with free capacity, so
    the first refusal must not lead back to it.

    A gang that lacks units of its team's limit retries after
    ``first_limit_retry_s``, doubled with each miss. It holds nothing between
    retries, so it needs no back-off from other gangs. Batch tasks retry with
    each tick; a much larger ``longest_limit_retry_s`` would let them overtake
    a gang.
    """

    park_s: float = 0.3
    request_timeout_s: float = 1.0
    gang_wait_s: float = 2.0
    gang_hold_s: float = 1.2
    gang_retry_s: float = 0.1
    first_backoff_s: float = 0.05
    longest_backoff_s: float = 1.0
    longest_urgent_backoff_s: float = 0.3
    first_gang_backoff_s: float = 0.3
    longest_gang_backoff_s: float = 5.0
    first_limit_retry_s: float = 0.03
    longest_limit_retry_s: float = 0.06
    avoid_rounds: int = 3
    max_reserving: int = 1000
    max_gangs: int = 4
    max_owners_asked: int = 2
    message_demands: int = 64


class _HeldGrant(Struct, frozen=True):
    """A granted attempt, which holds a unit of its team's limit.

    ``owner`` is the session that granted it; empty for an adopted attempt,
    whose grant was already converted into a running attempt.
    """

    owner: str
    team: str
    journal_id: str


class _Round:
    """One attempt to reserve capacity for all tasks of a queue entry.

    ``grants_by_index`` and ``tried_by_index`` are keyed by the position in
    ``pending.tasks``.
    """

    __slots__ = (
        'ends_s',
        'grants_by_index',
        'pending',
        'retry_s',
        'tried_by_index',
        'unrequested',
        'waiting_ids',
    )

    def __init__(self, pending: Pending, ends_s: float) -> None:
        self.pending = pending
        self.ends_s = ends_s
        self.grants_by_index: dict[int, Grant] = {}
        self.tried_by_index: list[set[str]] = [set() for _ in pending.tasks]
        self.waiting_ids: set[str] = set()
        self.unrequested: list[int] = []
        self.retry_s = 0.0

    def is_complete(self) -> bool:
        return len(self.grants_by_index) == len(self.pending.tasks)

    def grants(self) -> tuple[Grant, ...]:
        return tuple(
            self.grants_by_index[index]
            for index in range(len(self.pending.tasks))
        )


class _GrantRequest(Struct, frozen=True, eq=False):
    """A request for capacity that its owner has not answered."""

    round: _Round
    index: int
    owner: str


class Dispatcher(Component):
    """Takes units of the team's limit and reserves capacity for tasks.

    Urgent work goes before normal work, gangs before batch tasks, then the
    team with the lowest share, then the oldest. Work that no owner can place
    is delayed, so that other work overtakes it. Each requested attempt is
    pending, granted or unknown here; a grant for an unknown one is released,
    so lost, late and duplicate answers leak no capacity.
    """

    name: ClassVar[str] = 'dispatcher'
    __slots__ = (
        '_attempt_number',
        '_gang_rounds',
        '_held_by_attempt',
        '_is_release_wanted',
        '_limits',
        '_outbox',
        '_owner_selector',
        '_policy',
        '_queue',
        '_requests_by_attempt',
        '_restored_journals',
        '_rng',
        '_rounds_by_serial',
        '_settings',
        '_shares',
        '_table',
        '_timeouts',
        '_unreported_until_s',
        '_unreported_usage_by_team',
        '_view',
    )

    def __init__(
        self,
        settings: DispatchSettings,
        table: JobTable,
        view: SessionView,
        policy: PolicySource,
        shares: ShareSource,
        limits: UnitPool,
        rng: RandomSource,
    ) -> None:
        """Start with an empty queue."""
        self._settings = settings
        self._table = table
        self._view = view
        self._policy = policy
        self._shares = shares
        self._limits = limits
        self._rng = rng
        self._owner_selector = OwnerSelector(view, rng)
        self._outbox = DispatchOutbox(
            view,
            settings.park_s,
            settings.message_demands,
        )
        self._queue = DispatchQueue()
        self._attempt_number = 0
        self._is_release_wanted = False
        self._rounds_by_serial: dict[int, _Round] = {}
        self._gang_rounds: dict[int, _Round] = {}
        self._requests_by_attempt: dict[str, _GrantRequest] = {}
        self._held_by_attempt: dict[str, _HeldGrant] = {}
        # The timeout is constant, so requests expire in the order sent.
        self._timeouts: deque[tuple[float, str]] = deque()
        self._unreported_usage_by_team: dict[str, float] = defaultdict(float)
        self._unreported_until_s = float('-inf')
        self._restored_journals: set[str] = set()

    @classmethod
    def from_config(
        cls,
        settings: DispatchSettings,
        table: JobTable,
        view: SessionView,
        policy: PolicySource,
        shares: ShareSource,
        limits: UnitPool,
        rng: RandomSource,
    ) -> 'Dispatcher':
        """Return a dispatcher for these settings."""
        return cls(settings, table, view, policy, shares, limits, rng)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the numbers of pending tasks, rounds and held attempts."""
        return {
            'pending_tasks': len(self._queue),
            'rounds': len(self._rounds_by_serial),
            'gang_rounds': len(self._gang_rounds),
            'unanswered_attempts': len(self._requests_by_attempt),
            'held_attempts': len(self._held_by_attempt),
        }

    @handles(TaskQueued)
    def enqueue(self, signal: TaskQueued, now: float) -> Iterable[Signal]:
        """Queue the tasks; request capacity now if nothing else is queued.

        Otherwise the next tick requests it, so that a burst is sorted first.
        """
        job = self._table.jobs_by_id.get(signal.job_id)
        if job is None:
            return ()
        # Restoring sets the units in use, so it precedes taking any: a journal
        # that is adopted queues tasks before its attempts are adopted.
        self._restore_units(job.journal_id)
        self._queue.add(job, signal.tasks)
        is_only_work = len(self._queue) == len(signal.tasks)
        if not is_only_work or not self._view.is_valid(now):
            return ()
        self._begin_rounds(now)
        return tuple(self._outbox.flush())

    @handles(TasksWithdrawn)
    def withdraw(self, signal: TasksWithdrawn, now: float) -> Iterable[Signal]:
        """Remove the tasks and release the capacity reserved for them."""
        for pending in self._queue.find(signal.job_id, signal.tasks):
            round_ = self._rounds_by_serial.get(pending.serial)
            if round_ is not None:
                self._abort_round(round_, now)
            self._queue.remove(pending)
        return ()

    @handles(JournalClosed, JournalOpened)
    def close_journal(
        self,
        signal: JournalClosed | JournalOpened,
        now: float,
    ) -> Iterable[Signal]:
        """Drop the journal's work; its units end with its allotment."""
        journal_id = signal.journal_id
        self._queue.remove_journal(journal_id)
        for round_ in tuple(self._rounds_by_serial.values()):
            if round_.pending.journal_id == journal_id:
                self._remove_round(round_)
                self._drop_requests(round_)
        self._held_by_attempt = {
            attempt_id: held
            for attempt_id, held in self._held_by_attempt.items()
            if held.journal_id != journal_id
        }
        self._restored_journals.discard(journal_id)
        return ()

    @handles(AttemptAdopted)
    def adopt(self, signal: AttemptAdopted, now: float) -> Iterable[Signal]:
        """Count the units of attempts that a previous owner placed."""
        journal_id = signal.journal_id
        attempt = self._table.attempts_by_id.get(signal.attempt_id)
        if attempt is None:
            return ()
        self._restore_units(journal_id)
        team = self._table.jobs_by_id[attempt.assigned.job_id].team
        self._held_by_attempt[signal.attempt_id] = _HeldGrant(
            '', team, journal_id
        )
        return ()

    @handles(AttemptEnded)
    def release(self, signal: AttemptEnded, now: float) -> Iterable[Signal]:
        """Return the unit; release the grant at the end of the delivery."""
        self._release_grant(signal.attempt_id, now, signal.state)
        if self._is_release_wanted:
            return ()
        self._is_release_wanted = True
        return (ReleasesWaiting(),)

    @handles(ReleasesWaiting)
    def send_releases(
        self,
        signal: ReleasesWaiting,
        now: float,
    ) -> Iterable[Signal]:
        """Send the releases of this delivery in one message per owner."""
        self._is_release_wanted = False
        return tuple(self._outbox.flush_releases())

    @handles(CapacityGranted)
    def handle_grants(
        self,
        signal: CapacityGranted,
        now: float,
    ) -> Iterable[Signal]:
        """Record the grants; place work whose grants are complete."""
        for grant in signal.grants:
            request = self._requests_by_attempt.pop(grant.attempt_id, None)
            if request is None:
                self._release_unwanted(grant, signal.owner_session)
            else:
                self._record_grant(request, grant, now)
        return tuple(self._outbox.flush())

    @handles(CapacityRefused)
    def handle_refusals(
        self,
        signal: CapacityRefused,
        now: float,
    ) -> Iterable[Signal]:
        """Request capacity from the next owner, or delay the work."""
        for attempt_id in signal.attempt_ids:
            request = self._requests_by_attempt.pop(attempt_id, None)
            if request is not None:
                self._request_elsewhere(attempt_id, request, now)
        return tuple(self._outbox.flush())

    @handles(Gossip)
    def handle_gossip(self, signal: Gossip, now: float) -> Iterable[Signal]:
        """Store the free capacity of peers."""
        self._owner_selector.update_loads(signal)
        return ()

    @handles(PeersChanged)
    def forget_peers(
        self,
        signal: PeersChanged,
        now: float,
    ) -> Iterable[Signal]:
        """Remove the loads of sessions that have ended."""
        self._owner_selector.keep_only(signal.live_ids)
        return ()

    @handles(Tick)
    def act_on_time(self, signal: Tick, now: float) -> Iterable[Signal]:
        """Expire requests and rounds, then request more capacity."""
        self._expire_requests(now)
        for round_ in tuple(self._gang_rounds.values()):
            self._advance_gang_round(round_, now)
        self._queue.wake(now)
        if self._view.is_valid(now):
            self._begin_rounds(now)
        return (*self._outbox.flush(), *self._outbox.flush_releases())

    def _restore_units(self, journal_id: str) -> None:
        if journal_id not in self._restored_journals:
            self._restored_journals.add(journal_id)
            for team, in_use in self._live_counts_by_team(journal_id).items():
                self._limits.restore(team, journal_id, in_use)

    def _drop_requests(self, round_: _Round) -> list[tuple[str, str]]:
        """Drop the round's requests; return owner and attempt of each."""
        dropped = []
        for attempt_id in round_.waiting_ids:
            request = self._requests_by_attempt.pop(attempt_id, None)
            if request is not None:
                dropped.append((request.owner, attempt_id))
        return dropped

    def _live_counts_by_team(self, journal_id: str) -> Counter[str]:
        counts: Counter[str] = Counter()
        for job in self._table.jobs_of(journal_id):
            if job.live_count:
                counts[job.team] += job.live_count
        return counts

    def _begin_rounds(self, now: float) -> None:
        if now >= self._unreported_until_s:
            self._unreported_usage_by_team.clear()
            self._unreported_until_s = now + _GOSSIP_DELAY_S
        starts_batch = self._policy.preset().starts_batch
        for rank in RANKS:
            # Odd ranks are batch work.
            if starts_batch or not rank % 2:
                self._begin_rounds_of_rank(rank, now)

    def _begin_rounds_of_rank(self, rank: int, now: float) -> None:
        lanes = [
            (self._share(lane, now), lane) for lane in self._queue.lanes(rank)
        ]
        heapify(lanes)
        while lanes and self._may_request(rank):
            _, lane = heappop(lanes)
            pending = self._queue.first(rank, lane)
            if pending is not None and self._begin_round(pending, now):
                self._add_unreported_usage(pending)
                heappush(lanes, (self._share(lane, now), lane))

    def _share(self, lane: Lane, now: float) -> float:
        team = lane[0]
        share = self._shares.share_of(team, self._weight(team), now)
        return share + self._unreported_usage_by_team[team]

    def _weight(self, team: str) -> float:
        known = self._policy.config.teams_by_name.get(team)
        return known.weight if known else 1.0

    def _add_unreported_usage(self, pending: Pending) -> None:
        capacity = self._owner_selector.cell_capacity()
        fraction = pending.total_demand().dominant_fraction(capacity)
        usage = max(fraction, _MIN_USAGE) / self._weight(pending.team)
        self._unreported_usage_by_team[pending.team] += usage

    def _may_request(self, rank: int) -> bool:
        """Limit the requests in flight, except for urgent work."""
        is_urgent = rank < 2
        if is_urgent:
            return True
        return len(self._requests_by_attempt) < self._settings.max_reserving

    def _begin_round(self, pending: Pending, now: float) -> bool:
        """Begin a round; return ``False`` if the lane is blocked for now."""
        if (
            pending.is_gang
            and len(self._gang_rounds) >= self._settings.max_gangs
        ):
            return False
        amount = len(pending.tasks)
        team, journal_id = pending.lane
        if not self._limits.try_take(team, journal_id, amount, now):
            if pending.is_gang:
                # Delay it, as a smaller gang of the team may fit the limit.
                self._queue.reserve(pending)
                self._delay_until_units(pending, now)
            return False
        self._queue.reserve(pending)
        round_ = _Round(pending, now + self._settings.gang_wait_s)
        self._rounds_by_serial[pending.serial] = round_
        if pending.is_gang:
            self._gang_rounds[pending.serial] = round_
        for index in range(amount):
            self._request_or_defer(round_, index, now)
        return True

    def _request_grant(self, round_: _Round, index: int, now: float) -> bool:
        pending = round_.pending
        tried = round_.tried_by_index[index]
        demand = pending.demands[index]
        owner = self._owner_selector.choose(demand, tried, now)
        if owner is None:
            return False
        tried.add(owner)
        attempt_id = self._new_attempt_id(pending, index)
        self._requests_by_attempt[attempt_id] = _GrantRequest(
            round_, index, owner
        )
        round_.waiting_ids.add(attempt_id)
        due_s = now + self._settings.request_timeout_s
        self._timeouts.append((due_s, attempt_id))
        self._outbox.add_demand(
            owner,
            pending,
            TaskDemand(attempt_id, demand),
            self._avoided_by(pending),
        )
        return True

    def _avoided_by(self, pending: Pending) -> tuple[str, ...]:
        """Return the workers to avoid; after ``avoid_rounds``, none."""
        if pending.refusals < self._settings.avoid_rounds:
            return pending.avoid_workers
        return ()

    def _new_attempt_id(self, pending: Pending, index: int) -> str:
        self._attempt_number += 1
        epoch = self._table.epoch_of(pending.journal_id)
        task = pending.tasks[index]
        return f'{pending.job_id}.{task}.{epoch}-{self._attempt_number}'

    def _request_or_defer(self, round_: _Round, index: int, now: float) -> None:
        if self._request_grant(round_, index, now):
            return
        if round_.pending.is_gang:
            round_.unrequested.append(index)
            round_.retry_s = now + self._settings.gang_retry_s
        else:
            self._fail_round(round_, now)

    def _request_elsewhere(
        self, attempt_id: str, request: _GrantRequest, now: float
    ) -> None:
        round_ = request.round
        round_.waiting_ids.discard(attempt_id)
        if request.owner == self._view.session_id:
            demand = round_.pending.demands[request.index]
            self._owner_selector.record_own_refusal(demand, now)
        tried = round_.tried_by_index[request.index]
        if len(tried) < self._settings.max_owners_asked:
            self._request_or_defer(round_, request.index, now)
        elif round_.pending.is_gang:
            round_.unrequested.append(request.index)
            round_.retry_s = now + self._settings.gang_retry_s
        else:
            self._fail_round(round_, now)

    def _record_grant(
        self, request: _GrantRequest, grant: Grant, now: float
    ) -> None:
        round_ = request.round
        pending = round_.pending
        round_.waiting_ids.discard(grant.attempt_id)
        round_.grants_by_index[request.index] = grant
        round_.ends_s = min(round_.ends_s, now + self._settings.gang_hold_s)
        self._held_by_attempt[grant.attempt_id] = _HeldGrant(
            request.owner,
            pending.team,
            pending.journal_id,
        )
        if round_.is_complete():
            self._remove_round(round_)
            self._queue.remove(pending)
            self._outbox.place(pending, round_.grants())

    def _release_unwanted(self, grant: Grant, owner: str) -> None:
        """Release a grant without a pending request, unless it is in use.

        The attempts of a journal that this session no longer owns may be
        running under its new owner, so they are not released.
        """
        if grant.attempt_id in self._held_by_attempt:
            return
        if self._table.owns(journal_of_attempt(grant.attempt_id)):
            self._outbox.release(owner, grant.attempt_id)

    def _release_grant(
        self,
        attempt_id: str,
        now: float,
        state: AttemptState = 'unknown',
    ) -> None:
        held = self._held_by_attempt.pop(attempt_id, None)
        if held is not None:
            self._limits.release_units(held.team, held.journal_id, 1, now)
            self._outbox.release(held.owner, attempt_id, state)

    def _expire_requests(self, now: float) -> None:
        while self._timeouts and self._timeouts[0][0] <= now:
            attempt_id = self._timeouts.popleft()[1]
            request = self._requests_by_attempt.pop(attempt_id, None)
            if request is not None:
                self._outbox.release(request.owner, attempt_id)
                self._request_elsewhere(attempt_id, request, now)

    def _advance_gang_round(self, round_: _Round, now: float) -> None:
        if now >= round_.ends_s:
            self._fail_round(round_, now)
        elif round_.unrequested and now >= round_.retry_s:
            unrequested = round_.unrequested
            round_.unrequested = []
            for index in unrequested:
                round_.tried_by_index[index].clear()
                self._request_or_defer(round_, index, now)

    def _fail_round(self, round_: _Round, now: float) -> None:
        self._abort_round(round_, now)
        self._back_off(round_.pending, now)

    def _abort_round(self, round_: _Round, now: float) -> None:
        """Remove an incomplete round; release all its grants and units."""
        self._remove_round(round_)
        pending = round_.pending
        for owner, attempt_id in self._drop_requests(round_):
            self._outbox.release(owner, attempt_id)
        for grant in round_.grants_by_index.values():
            self._release_grant(grant.attempt_id, now)
        unused = len(pending.tasks) - len(round_.grants_by_index)
        self._limits.release_units(
            pending.team, pending.journal_id, unused, now
        )

    def _remove_round(self, round_: _Round) -> None:
        self._rounds_by_serial.pop(round_.pending.serial, None)
        self._gang_rounds.pop(round_.pending.serial, None)

    def _delay_until_units(self, pending: Pending, now: float) -> None:
        """Retry soon, because one store write can grow the allotment."""
        settings = self._settings
        doublings = min(pending.limit_misses, _MAX_DOUBLINGS)
        pending.limit_misses += 1
        delay_s = min(
            settings.first_limit_retry_s * 2**doublings,
            settings.longest_limit_retry_s,
        )
        self._queue.delay(pending, now + delay_s)

    def _back_off(self, pending: Pending, now: float) -> None:
        first_s, longest_s = self._backoff_bounds(pending)
        doublings = min(pending.refusals, _MAX_DOUBLINGS)
        pending.refusals += 1
        delay_s = min(first_s * 2**doublings, longest_s)
        self._queue.delay(pending, now + delay_s * self._rng.uniform(0.5, 1.5))

    def _backoff_bounds(self, pending: Pending) -> tuple[float, float]:
        settings = self._settings
        if pending.is_gang:
            return (
                settings.first_gang_backoff_s,
                settings.longest_gang_backoff_s,
            )
        if pending.priority == 'urgent':
            return settings.first_backoff_s, settings.longest_urgent_backoff_s
        return settings.first_backoff_s, settings.longest_backoff_s
