"""Has attempts stopped for work that may not wait for room."""

from collections.abc import Collection, Iterable, Iterator
from itertools import islice
from typing import Any

from msgspec import Struct

from apricotlead.coordination.component import route_to_session
from apricotlead.coordination.parked_requests import OpenRequest
from apricotlead.coordination.preemption_claims import Claim, PreemptionClaims
from apricotlead.coordination.preemption_plan import Plan, cheapest_plan
from apricotlead.coordination.preemption_shares import (
    PreemptionShares,
    ShareMargins,
)
from apricotlead.coordination.token_bucket import TokenBucket
from apricotlead.protocol.config import Preset
from apricotlead.protocol.peers import RelieveWorker
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import Count, SendToPeer, Signal
from apricotlead.state.capacity_ledger import (
    CapacityLedger,
    OwnedWorker,
    reserved_resources,
)
from apricotlead.state.job_table import journal_of_attempt
from apricotlead.state.preemptible import Preemptible
from apricotlead.state.session_view import SessionView

# Workers compared for one task; bounds the time of a delivery.
_MAX_WORKERS = 64
# A stop that was asked for shows in the heartbeats within this time
# (seconds), or the request was lost.
_STOP_MEMORY_S = 5.0


class PreemptionSettings(Struct, frozen=True):
    """Rates are in attempts per second, times in seconds.

    ``cell_rate`` and ``cell_burst`` bound the stops in the cell; each session
    uses an equal part. Half of the burst is kept for urgent work.
    ``worker_gap_s`` is the least time between two preemptions on one worker,
    with at most ``max_victims`` stops each. A task that was stopped
    ``max_stops`` times is stopped no more. Room is kept for a request for
    ``hold_s``, which must be less than ``request_timeout_s`` of the homes:
    a home that gave up would ask another owner, who would preempt as well.
    ``enabled`` set to false ends all preemption by this instance.
    """

    enabled: bool = True
    cell_rate: float = 20.0
    cell_burst: int = 40
    worker_gap_s: float = 0.5
    max_victims: int = 4
    max_stops: int = 3
    hold_s: float = 0.9
    shares: ShareMargins = ShareMargins()


class Preemptor:
    """Chooses attempts to stop for a parked request and asks their homes.

    It changes nothing in the ledger: the room of a stopped attempt is given
    out only once a heartbeat reply no longer lists it as running.
    """

    __slots__ = (
        '_bucket',
        '_claims',
        '_first_worker',
        '_homes_by_journal',
        '_ledger',
        '_settings',
        '_shares',
        '_stopped_s_by_id',
        '_used_s_by_worker',
        '_view',
    )

    def __init__(
        self,
        settings: PreemptionSettings,
        view: SessionView,
        ledger: CapacityLedger,
        claims: PreemptionClaims,
        shares: PreemptionShares,
    ) -> None:
        """Begin with nothing stopped."""
        self._settings = settings
        self._view = view
        self._ledger = ledger
        self._claims = claims
        self._shares = shares
        self._bucket = TokenBucket(settings.cell_rate, settings.cell_burst)
        self._first_worker = 0
        self._homes_by_journal: dict[str, str] = {}
        self._stopped_s_by_id: dict[str, float] = {}
        self._used_s_by_worker: dict[str, float] = {}

    def asked(self, request: OpenRequest) -> None:
        """Remember who runs the journals of a request."""
        for attempt_id in request.open_by_attempt_id:
            journal_id = journal_of_attempt(attempt_id)
            self._homes_by_journal[journal_id] = request.message.home_session

    def forget_homes(self, live_ids: Collection[str]) -> None:
        """Forget the homes that have gone."""
        self._homes_by_journal = {
            journal_id: home
            for journal_id, home in self._homes_by_journal.items()
            if home in live_ids
        }

    def in_vain(self, request: OpenRequest, now: float) -> None:
        """Note that a request has found no room."""
        if not request.may_use_reserve:
            self._shares.asked_in_vain(request.message.team, now)

    def preempt(
        self,
        request: OpenRequest,
        preset: Preset,
        avoid: Collection[str],
        now: float,
    ) -> list[Signal]:
        """Return the requests to stop attempts for what is still open.

        The deadline of the request moves to the end of its claims. Gangs get
        nothing: their room would have to come free on many workers at once.
        """
        if request.message.gang or not self._settings.enabled:
            return []
        signals: list[Signal] = []
        for attempt_id, demand in request.open_by_attempt_id.items():
            claim = self._claims.asked_again(attempt_id)
            if claim is None and self._may_preempt(request, now):
                plan = self._plan(request, demand, preset, avoid, now)
                if plan is not None:
                    claim = self._claim(attempt_id, plan, now)
                    signals.extend(self._carry_out(request, demand, plan, now))
            if claim is not None:
                request.deadline_s = max(request.deadline_s, claim.ends_s)
        return signals

    def advance(self, now: float) -> tuple[str, ...]:
        """End overdue claims; return their workers."""
        oldest_s = now - _STOP_MEMORY_S
        for times in (self._stopped_s_by_id, self._used_s_by_worker):
            # Insertion order is the order in time.
            while times and next(iter(times.values())) < oldest_s:
                times.pop(next(iter(times)))
        return tuple(self._claims.end_overdue(now))

    def dump(self, now: float) -> dict[str, Any]:
        """Return what is claimed and how much may still be stopped."""
        return {
            'enabled': self._settings.enabled,
            'claimed_workers': sorted(self._claims.worker_ids),
            'recent_stops': len(self._stopped_s_by_id),
            'tokens': round(self._bucket.level(self._part(), now), 2),
        }

    def _may_preempt(self, request: OpenRequest, now: float) -> bool:
        tokens = self._bucket.level(self._part(), now)
        if request.message.priority == 'urgent':
            return tokens >= 1
        kept = self._settings.cell_burst * self._part() / 2
        team = request.message.team
        return (
            tokens >= max(kept, 1)
            and self._shares.has_waited(team, now)
            and self._shares.is_below(team, now)
        )

    def _part(self) -> float:
        """Return the part of the cell's bounds that this session uses."""
        return 1 / (1 + len(self._view.peers_by_id))

    def _plan(
        self,
        request: OpenRequest,
        demand: Resources,
        preset: Preset,
        avoid: Collection[str],
        now: float,
    ) -> Plan | None:
        shares_by_team = _Shares(self._shares, now)
        tokens = int(self._bucket.level(self._part(), now))
        most = min(self._settings.max_victims, tokens)
        plans = []
        for worker in self._usable_workers(demand, avoid, now):
            victims = self._candidates(worker, request, now)
            kept = reserved_resources(worker.capacity, preset.reserved_fraction)
            wanted = demand - (worker.free - kept)
            plan = cheapest_plan(worker, victims, wanted, shares_by_team, most)
            if plan is not None:
                plans.append(plan)
        return min(plans, default=None, key=lambda plan: plan.cost)

    def _candidates(
        self,
        worker: OwnedWorker,
        request: OpenRequest,
        now: float,
    ) -> list[Preemptible]:
        """Return what may be stopped; normal work takes from those above."""
        is_urgent = request.message.priority == 'urgent'
        return [
            victim
            for victim in worker.preemptible_by_id.values()
            if self._may_stop(victim)
            and (is_urgent or self._shares.is_above(victim.team, now))
        ]

    def _usable_workers(
        self,
        demand: Resources,
        avoid: Collection[str],
        now: float,
    ) -> Iterator[OwnedWorker]:
        """Yield some workers, others with each call when there are many."""
        worker_ids = tuple(self._ledger.workers_by_id)
        self._first_worker = (self._first_worker + 1) % max(1, len(worker_ids))
        first = self._first_worker
        turned = (*worker_ids[first:], *worker_ids[:first])
        usable = (
            worker
            for worker in map(self._ledger.workers_by_id.__getitem__, turned)
            if worker.worker_id not in avoid
            and self._is_rested(worker.worker_id, now)
            and _has_victims_for(worker, demand)
        )
        return islice(usable, _MAX_WORKERS)

    def _is_rested(self, worker_id: str, now: float) -> bool:
        if worker_id in self._claims.worker_ids:
            return False
        used_s = self._used_s_by_worker.get(worker_id, float('-inf'))
        return now >= used_s + self._settings.worker_gap_s

    def _may_stop(self, victim: Preemptible) -> bool:
        has_rest = victim.stops < self._settings.max_stops
        return has_rest and victim.attempt_id not in self._stopped_s_by_id

    def _claim(self, attempt_id: str, plan: Plan, now: float) -> Claim:
        worker_id = plan.worker.worker_id
        claim = Claim(worker_id, attempt_id, now + self._settings.hold_s)
        self._claims.add(claim)
        self._used_s_by_worker.pop(worker_id, None)
        self._used_s_by_worker[worker_id] = now
        return claim

    def _carry_out(
        self,
        request: OpenRequest,
        demand: Resources,
        plan: Plan,
        now: float,
    ) -> Iterator[Signal]:
        self._bucket.take(len(plan.victims))
        self._shares.gain(request.message.team, demand, now)
        for victim in plan.victims:
            self._stopped_s_by_id[victim.attempt_id] = now
            charge = plan.worker.charges_by_id[victim.attempt_id]
            self._shares.lose(victim.team, charge, now)
            message = RelieveWorker(
                plan.worker.worker_id,
                victim.journal_id,
                victim.attempt_id,
                'preemption',
            )
            yield from self._to_home(message)
        reason = 'urgent' if request.may_use_reserve else 'share'
        yield Count(f'preempted_for_{reason}', len(plan.victims))

    def _to_home(self, message: RelieveWorker) -> Iterable[Signal]:
        """Address the home if it is known, otherwise all sessions."""
        home = self._homes_by_journal.get(message.journal_id)
        if home is not None:
            return route_to_session(self._view, home, message)
        peers = self._view.peers_by_id.values()
        sent = (
            SendToPeer(peer.session_id, peer.address, message) for peer in peers
        )
        return (message, *sent)


def _has_victims_for(worker: OwnedWorker, demand: Resources) -> bool:
    fits = worker.is_open() and demand.fits_in(worker.capacity)
    return fits and bool(worker.preemptible_by_id)


class _Shares(dict[str, float]):
    """Shares after the stops asked for, computed once for one choice."""

    def __init__(self, shares: PreemptionShares, now: float) -> None:
        super().__init__()
        self._source = shares
        self._now = now

    def __missing__(self, team: str) -> float:
        self[team] = self._source.after_stops(team, self._now)
        return self[team]
