"""Grants the capacity of owned workers to the sessions that request it."""

from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from typing import Any, ClassVar

from msgspec import Struct

from apricotlead.coordination.capacity_holds import CapacityHolds, HoldSettings
from apricotlead.coordination.component import (
    Component,
    handles,
    route_to_session,
)
from apricotlead.coordination.fair_share import (
    PolicySource,
    RecentGrants,
    team_share,
    team_weight,
)
from apricotlead.coordination.granting import GrantBounds, Granter
from apricotlead.coordination.parked_requests import (
    OpenRequest,
    ParkedRequests,
    RequestKey,
)
from apricotlead.coordination.preemption import (
    PreemptionSettings,
    Preemptor,
)
from apricotlead.coordination.preemption_claims import PreemptionClaims
from apricotlead.coordination.preemption_shares import (
    ActiveShares,
    PreemptionShares,
)
from apricotlead.coordination.quarantine import Quarantine
from apricotlead.protocol.peers import (
    CapacityGranted,
    CapacityRefused,
    Grant,
    ReleaseGrants,
    ReserveCapacity,
)
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    CapacityFreed,
    PeerLapsed,
    PeersChanged,
    SessionLost,
    Signal,
    Tick,
)
from apricotlead.state.capacity_ledger import CapacityLedger
from apricotlead.state.session_view import SessionView

# Parked requests checked when capacity is freed on a worker; bounds the time
# of one delivery when thousands are parked.
_MAX_REQUESTS_PER_WORKER = 128
# Team shares are recomputed after a grant and after this time. It is shorter
# than the lag of the gossip that they are derived from.
_SHARE_CACHE_S = 0.05


class ReservationSettings(Struct, frozen=True):
    """Times in seconds.

    ``longest_park_s`` is the maximum time for which a request is parked;
    answers are kept for ``answer_memory_s``; ``gossip_lag_s`` is the maximum
    age of the usage reported by peers.
    """

    longest_park_s: float = 1.0
    answer_memory_s: float = 5.0
    gossip_lag_s: float = 0.5
    bounds: GrantBounds = GrantBounds()
    holds: HoldSettings = HoldSettings()
    preemption: PreemptionSettings = PreemptionSettings()


class ReservationDesk(Component):
    """Grants, parks and refuses requests for capacity of owned workers.

    A request comes from a home, the session that owns the job. A grant is
    recorded in the ledger before it is sent, so a lost answer wastes capacity
    until ``not_after_s`` but never grants it twice. A repeated request gets
    the same answer as the first.
    """

    name: ClassVar[str] = 'reservation_desk'
    __slots__ = (
        '_claims',
        '_requests_by_key',
        '_granter',
        '_holds',
        '_ledger',
        '_parked',
        '_policies',
        '_preemptor',
        '_quarantine',
        '_recent_grants',
        '_settings',
        '_shares_by_team',
        '_shares_expiry_s',
        '_usage',
        '_view',
    )

    def __init__(
        self,
        settings: ReservationSettings,
        view: SessionView,
        ledger: CapacityLedger,
        quarantine: Quarantine,
        policies: PolicySource,
        usage: ActiveShares,
    ) -> None:
        """Start with nothing granted or parked."""
        self._settings = settings
        self._view = view
        self._ledger = ledger
        self._quarantine = quarantine
        self._policies = policies
        self._usage = usage
        self._parked = ParkedRequests()
        self._holds = CapacityHolds(settings.holds, ledger)
        self._claims = PreemptionClaims()
        self._preemptor = Preemptor(
            settings.preemption,
            view,
            ledger,
            self._claims,
            PreemptionShares(
                settings.preemption.shares,
                ledger,
                policies,
                usage,
            ),
        )
        self._granter = Granter(
            settings.bounds,
            view,
            ledger,
            quarantine,
            self._holds,
            policies,
            self._claims,
        )
        self._recent_grants = RecentGrants(settings.gossip_lag_s)
        self._requests_by_key: dict[RequestKey, OpenRequest] = {}
        self._shares_by_team: dict[str, float] = {}
        self._shares_expiry_s = float('-inf')

    @handles(ReserveCapacity)
    def reserve(self, message: ReserveCapacity, now: float) -> Iterable[Signal]:
        """Grant what fits, then park the remaining demands or refuse them."""
        key = (message.home_session, message.request_id)
        if not message.demands or not self._is_live(message.home_session):
            return ()
        previous = self._requests_by_key.get(key)
        if previous is not None:
            return self._repeat_answer(previous)
        request = self._open(message, now)
        self._requests_by_key[key] = request
        if len(request.open_by_attempt_id) < len(message.demands):
            return self._refuse(request)
        if request.may_use_reserve:
            self._holds.record_request(
                request.job_id,
                request.open_by_attempt_id.values(),
                message.priority == 'urgent',
                now,
            )
        self._preemptor.record_home(request)
        return (
            *self._serve(request, now),
            *self._park_or_refuse(request, now),
            *self._granter.take_log_events(),
        )

    @handles(ReleaseGrants)
    def release(self, message: ReleaseGrants, now: float) -> Iterable[Signal]:
        """Release grants and withdraw parked demands; serve other requests."""
        freed = list(self._record_outcomes(message, now))
        for attempt_id in message.attempt_ids:
            self._parked.withdraw(attempt_id)
            worker = self._ledger.worker_of(attempt_id)
            if self._ledger.release(attempt_id):
                freed.append(worker.worker_id)
        return self._serve_parked_on(dict.fromkeys(freed), now)

    @handles(CapacityFreed)
    def freed(self, signal: CapacityFreed, now: float) -> Iterable[Signal]:
        """Serve parked requests on a worker with freed capacity."""
        return self._serve_parked_on((signal.worker_id,), now)

    @handles(Tick)
    def tick(self, signal: Tick, now: float) -> Iterable[Signal]:
        """Refuse requests past their deadline; serve what was freed."""
        self._expire_answers(now)
        produced: list[Signal] = []
        for request in self._parked.expired(now):
            produced.extend(self._refuse(request))
        workers = self._preemptor.advance(now)
        if self._holds.advance(now):
            workers = tuple(self._ledger.workers_by_id)
        produced.extend(self._serve_parked_on(workers, now))
        return produced

    @handles(PeersChanged, PeerLapsed)
    def peers_changed(self, signal: Signal, now: float) -> Iterable[Signal]:
        """Remove the requests of homes that are no longer live.

        Their grants stay until ``not_after_s``, because a home that is only
        paused can still have starts in flight.
        """
        live_ids = frozenset(self._view.live_ids())
        self._parked.remove_homes_except(live_ids)
        self._preemptor.forget_homes(live_ids)
        return ()

    @handles(SessionLost)
    def session_lost(self, signal: SessionLost, now: float) -> Iterable[Signal]:
        """Remove all requests; homes ask the next owner."""
        self._parked = ParkedRequests()
        self._requests_by_key.clear()
        self._holds.clear()
        self._claims.clear()
        return ()

    def dump(self, now: float) -> dict[str, Any]:
        """Return the numbers of requests, held workers and preemption state."""
        return {
            'parked': len(self._parked),
            'answers': len(self._requests_by_key),
            'held_workers': sorted(self._holds.worker_ids),
            'preemption': self._preemptor.dump(now),
        }

    def _is_live(self, session_id: str) -> bool:
        own = session_id == self._view.session_id
        return own or session_id in self._view.peers_by_id

    def _open(self, message: ReserveCapacity, now: float) -> OpenRequest:
        """Return the request with the demands that may be granted.

        A malformed demand, or an attempt that already has capacity, would
        corrupt the ledger; a request with such a demand is refused entirely.
        """
        park_s = min(message.park_s, self._settings.longest_park_s)
        open_by_attempt_id = {
            task_demand.attempt_id: task_demand.demand
            for task_demand in message.demands
            if task_demand.demand.is_valid_demand()
            and self._ledger.worker_of(task_demand.attempt_id) is None
        }
        return OpenRequest(message, open_by_attempt_id, now, now + park_s)

    def _serve(self, request: OpenRequest, now: float) -> Iterable[Signal]:
        demands_by_id = dict(request.open_by_attempt_id)
        grants = self._granter.place(request, now)
        if not grants:
            return ()
        team = request.message.team
        for grant in grants:
            self._claims.end(grant.attempt_id)
            self._recent_grants.add(team, demands_by_id[grant.attempt_id], now)
        self._shares_by_team.pop(team, None)
        request.grants.extend(grants)
        if request.may_use_reserve and not request.open_by_attempt_id:
            is_complete = not request.message.partial
            self._holds.record_served(request.job_id, is_complete)
        return self._send_grants(request, grants)

    def _park_or_refuse(
        self,
        request: OpenRequest,
        now: float,
    ) -> Iterable[Signal]:
        if not request.open_by_attempt_id:
            return ()
        self._preemptor.record_unplaced(request, now)
        if request.deadline_s <= now or not self._view.is_valid(now):
            return self._refuse(request)
        stops = self._preemptor.preempt(
            request,
            self._granter.preset_for(request),
            self._granter.avoided_workers(request),
            now,
        )
        self._parked.park(request)
        return stops

    def _refuse(self, request: OpenRequest) -> Iterable[Signal]:
        """Refuse all demands that were not granted."""
        granted_ids = {grant.attempt_id for grant in request.grants}
        request.refused_ids = tuple(
            task_demand.attempt_id
            for task_demand in request.message.demands
            if task_demand.attempt_id not in granted_ids
        )
        return self._send_refusal(request)

    def _repeat_answer(self, request: OpenRequest) -> Iterable[Signal]:
        """Repeat the answer without the grants that have ended."""
        held = [
            grant for grant in request.grants if self._is_outstanding(grant)
        ]
        produced: list[Signal] = []
        if held:
            produced.extend(self._send_grants(request, held))
        if request.refused_ids:
            produced.extend(self._send_refusal(request))
        return produced

    def _send_grants(
        self,
        request: OpenRequest,
        grants: Sequence[Grant],
    ) -> Iterable[Signal]:
        granted = CapacityGranted(
            request.message.request_id,
            self._view.session_id,
            tuple(grants),
        )
        return self._to_home(request, granted)

    def _send_refusal(self, request: OpenRequest) -> Iterable[Signal]:
        refusal = CapacityRefused(
            request.message.request_id,
            self._view.session_id,
            request.refused_ids,
        )
        return self._to_home(request, refusal)

    def _is_outstanding(self, grant: Grant) -> bool:
        worker = self._ledger.worker_of(grant.attempt_id)
        return (
            worker is not None
            and worker.epoch == grant.worker_epoch
            and grant.attempt_id in worker.grants_by_id
        )

    def _to_home(
        self,
        request: OpenRequest,
        message: CapacityGranted | CapacityRefused,
    ) -> Iterable[Signal]:
        home = request.message.home_session
        return route_to_session(self._view, home, message)

    def _record_outcomes(
        self,
        message: ReleaseGrants,
        now: float,
    ) -> Iterator[str]:
        """Record outcomes in the quarantine.

        Yields the workers that get grants again.
        """
        failed = dict.fromkeys(message.failed_ids, True)
        outcomes = failed | dict.fromkeys(message.succeeded_ids, False)
        for attempt_id, has_failed in outcomes.items():
            worker = self._ledger.worker_of(attempt_id)
            if worker is not None:
                yield from self._quarantine.record_end(
                    worker.worker_id,
                    attempt_id,
                    has_failed,
                    now,
                )

    def _serve_parked_on(
        self,
        worker_ids: Iterable[str],
        now: float,
    ) -> Iterable[Signal]:
        if not self._parked or not self._view.is_valid(now):
            return ()
        produced: list[Signal] = []
        for worker_id in worker_ids:
            produced.extend(self._serve_claimant(worker_id, now))
            produced.extend(self._serve_parked(worker_id, now))
        return produced

    def _serve_claimant(self, worker_id: str, now: float) -> Iterable[Signal]:
        """Serve the request that has claimed the worker by preemption."""
        claim = self._claims.on(worker_id)
        request = self._parked.request_of(claim.attempt_id) if claim else None
        if request is None:
            return ()
        open_ids = tuple(request.open_by_attempt_id)
        produced = tuple(self._serve(request, now))
        self._parked.remove_granted(request, open_ids)
        return produced

    def _serve_parked(self, worker_id: str, now: float) -> Iterable[Signal]:
        """Serve parked requests in fair order while the worker has capacity."""
        produced: list[Signal] = []
        candidates = self._parked.in_fair_order(
            lambda team: self._share_of(team, now)
        )
        served = []
        for request in islice(candidates, _MAX_REQUESTS_PER_WORKER):
            free = self._ledger.free_of(worker_id)
            if free == Resources():
                break
            open_ids = tuple(request.open_by_attempt_id)
            if _fits_any_demand(free, request):
                produced.extend(self._serve(request, now))
                served.append((request, open_ids))
        for request, asked_ids in served:
            self._parked.remove_granted(request, asked_ids)
        return produced

    def _share_of(self, team: str, now: float) -> float:
        """Return the team's share, cached for at most ``_SHARE_CACHE_S``."""
        if now >= self._shares_expiry_s:
            self._shares_expiry_s = now + _SHARE_CACHE_S
            self._shares_by_team.clear()
        share = self._shares_by_team.get(team)
        if share is None:
            share = self._compute_share(team, now)
            self._shares_by_team[team] = share
        return share

    def _compute_share(self, team: str, now: float) -> float:
        config = self._policies.config
        reported = team_share(team, config, self._usage, now)
        return reported + self._recent_grants.share(
            team,
            self._ledger.total_capacity,
            team_weight(config, team),
            now,
        )

    def _expire_answers(self, now: float) -> None:
        oldest_s = now - self._settings.answer_memory_s
        requests = self._requests_by_key
        while requests:
            key = next(iter(requests))
            if requests[key].received_s > oldest_s:
                return
            requests.pop(key)


def _fits_any_demand(free: Resources, request: OpenRequest) -> bool:
    demands = request.open_by_attempt_id.values()
    return any(demand.fits_in(free) for demand in demands)
