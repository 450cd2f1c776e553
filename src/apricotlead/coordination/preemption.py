"""Preempts running attempts for work that may not wait for capacity."""

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

# Workers compared for one task; limits the time of a delivery.
_MAX_WORKERS_COMPARED = 64
# A requested stop appears in the heartbeats within this time (seconds), or
# the request was lost.
_STOP_RETENTION_S = 5.0


class PreemptionSettings(Struct, frozen=True):
    """Rates are in attempts per second, times in seconds.

    ``cell_rate`` and ``cell_burst`` limit the stops in the cell; each session
    uses an equal part. Half of the burst is reserved for urgent work.
    ``worker_gap_s`` is the minimum time between two preemptions on one
    worker, with at most ``max_victims`` stops each. A task that was stopped
    ``max_stops`` times is not stopped again. Capacity is reserved for a
    request for ``hold_s``, which must be less than ``request_timeout_s`` of
    the home sessions: after its timeout a home session would ask another
    owner, which would preempt as well. ``enabled`` set to false ends all
    preemption by this instance.
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
    """Selects victims for a parked request and sends stops to their homes.

    The ledger stays unchanged: the capacity of a stopped attempt is granted
    only once a heartbeat reply no longer lists it as running.
    """

    __slots__ = (
        '_bucket',
        '_claims',
        '_homes_by_journal',
        '_ledger',
        '_preempted_s_by_worker',
        '_scan_offset',
        '_settings',
        '_shares',
        '_stopped_s_by_id',
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
        """Start without any stops."""
        self._settings = settings
        self._view = view
        self._ledger = ledger
        self._claims = claims
        self._shares = shares
        self._bucket = TokenBucket(settings.cell_rate, settings.cell_burst)
        self._scan_offset = 0
        self._homes_by_journal: dict[str, str] = {}
        self._stopped_s_by_id: dict[str, float] = {}
        self._preempted_s_by_worker: dict[str, float] = {}

    def record_home(self, request: OpenRequest) -> None:
        """Record the home session of the journals of a request."""
        for attempt_id in request.open_by_attempt_id:
            journal_id = journal_of_attempt(attempt_id)
            self._homes_by_journal[journal_id] = request.message.home_session

    def forget_homes(self, live_ids: Collection[str]) -> None:
        """Remove home sessions that have ended."""
        self._homes_by_journal = {
            journal_id: home
            for journal_id, home in self._homes_by_journal.items()
            if home in live_ids
        }

    def record_unplaced(self, request: OpenRequest, now: float) -> None:
        """Record that a request found no free capacity."""
        if not request.may_use_reserve:
            self._shares.record_unmet_demand(request.message.team, now)

    def preempt(
        self,
        request: OpenRequest,
        preset: Preset,
        avoid: Collection[str],
        now: float,
    ) -> list[Signal]:
        """Return requests to stop attempts for the demands still open.

        The deadline of the request moves to the end of its claims. Nothing is
        stopped for gangs, which would need capacity on many workers at once.
        """
        if request.message.gang or not self._settings.enabled:
            return []
        signals: list[Signal] = []
        for attempt_id, demand in request.open_by_attempt_id.items():
            claim = self._claims.reassign(attempt_id)
            if claim is None and self._may_preempt(request, now):
                plan = self._plan(request, demand, preset, avoid, now)
                if plan is not None:
                    claim = self._claim(attempt_id, plan, now)
                    signals.extend(
                        self._request_stops(request, demand, plan, now)
                    )
            if claim is not None:
                request.deadline_s = max(request.deadline_s, claim.ends_s)
        return signals

    def advance(self, now: float) -> tuple[str, ...]:
        """End expired claims; return their workers."""
        oldest_s = now - _STOP_RETENTION_S
        for times in (self._stopped_s_by_id, self._preempted_s_by_worker):
            # Insertion order is chronological.
            while times and next(iter(times.values())) < oldest_s:
                times.pop(next(iter(times)))
        return tuple(self._claims.end_overdue(now))

    def dump(self, now: float) -> dict[str, Any]:
        """Return the claimed workers and the remaining stop tokens."""
        return {
            'enabled': self._settings.enabled,
            'claimed_workers': sorted(self._claims.worker_ids),
            'recent_stops': len(self._stopped_s_by_id),
            'tokens': round(
                self._bucket.level(self._session_fraction(), now), 2
            ),
        }

    def _may_preempt(self, request: OpenRequest, now: float) -> bool:
        tokens = self._bucket.level(self._session_fraction(), now)
        if request.message.priority == 'urgent':
            return tokens >= 1
        reserved = self._settings.cell_burst * self._session_fraction() / 2
        team = request.message.team
        return (
            tokens >= max(reserved, 1)
            and self._shares.has_waited(team, now)
            and self._shares.is_below(team, now)
        )

    def _session_fraction(self) -> float:
        """Return the fraction of the cell's limits that this session uses."""
        return 1 / (1 + len(self._view.peers_by_id))

    def _plan(
        self,
        request: OpenRequest,
        demand: Resources,
        preset: Preset,
        avoid: Collection[str],
        now: float,
    ) -> Plan | None:
        shares_by_team = _ShareCache(self._shares, now)
        tokens = int(self._bucket.level(self._session_fraction(), now))
        max_count = min(self._settings.max_victims, tokens)
        plans = []
        for worker in self._usable_workers(demand, avoid, now):
            victims = self._candidates(worker, request, now)
            reserved = reserved_resources(
                worker.capacity, preset.reserved_fraction
            )
            missing = demand - (worker.free - reserved)
            plan = cheapest_plan(
                worker, victims, missing, shares_by_team, max_count
            )
            if plan is not None:
                plans.append(plan)
        return min(plans, default=None, key=lambda plan: plan.cost)

    def _candidates(
        self,
        worker: OwnedWorker,
        request: OpenRequest,
        now: float,
    ) -> list[Preemptible]:
        """Return the preemptible attempts that may be stopped.

        Normal work preempts only teams above their fair share.
        """
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
        """Yield usable workers, at most ``_MAX_WORKERS_COMPARED``.

        Each call starts at another worker, so that all are considered in turn.
        """
        worker_ids = tuple(self._ledger.workers_by_id)
        self._scan_offset = (self._scan_offset + 1) % max(1, len(worker_ids))
        offset = self._scan_offset
        rotated = (*worker_ids[offset:], *worker_ids[:offset])
        usable = (
            worker
            for worker in map(self._ledger.workers_by_id.__getitem__, rotated)
            if worker.worker_id not in avoid
            and self._is_past_gap(worker.worker_id, now)
            and _has_victims_for(worker, demand)
        )
        return islice(usable, _MAX_WORKERS_COMPARED)

    def _is_past_gap(self, worker_id: str, now: float) -> bool:
        if worker_id in self._claims.worker_ids:
            return False
        preempted_s = self._preempted_s_by_worker.get(worker_id, float('-inf'))
        return now >= preempted_s + self._settings.worker_gap_s

    def _may_stop(self, victim: Preemptible) -> bool:
        is_below_limit = victim.stops < self._settings.max_stops
        return is_below_limit and victim.attempt_id not in self._stopped_s_by_id

    def _claim(self, attempt_id: str, plan: Plan, now: float) -> Claim:
        worker_id = plan.worker.worker_id
        claim = Claim(worker_id, attempt_id, now + self._settings.hold_s)
        self._claims.add(claim)
        self._preempted_s_by_worker.pop(worker_id, None)
        self._preempted_s_by_worker[worker_id] = now
        return claim

    def _request_stops(
        self,
        request: OpenRequest,
        demand: Resources,
        plan: Plan,
        now: float,
    ) -> Iterator[Signal]:
        self._bucket.take(len(plan.victims))
        self._shares.add_gain(request.message.team, demand, now)
        for victim in plan.victims:
            self._stopped_s_by_id[victim.attempt_id] = now
            charge = plan.worker.charges_by_id[victim.attempt_id]
            self._shares.add_loss(victim.team, charge, now)
            message = RelieveWorker(
                plan.worker.worker_id,
                victim.journal_id,
                victim.attempt_id,
                'preemption',
            )
            yield from self._route_to_home(message)
        reason = 'urgent' if request.may_use_reserve else 'share'
        yield Count(f'preempted_for_{reason}', len(plan.victims))

    def _route_to_home(self, message: RelieveWorker) -> Iterable[Signal]:
        """Send to the home session if it is known, otherwise to all."""
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


class _ShareCache(dict[str, float]):
    """Caches each team's share after the requested stops for one plan."""

    def __init__(self, shares: PreemptionShares, now: float) -> None:
        super().__init__()
        self._source = shares
        self._now = now

    def __missing__(self, team: str) -> float:
        self[team] = self._source.share_after_stops(team, self._now)
        return self[team]
