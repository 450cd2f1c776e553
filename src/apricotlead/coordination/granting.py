"""Grants worker capacity to requested attempts."""

from collections.abc import Collection

from msgspec import Struct, structs

from apricotlead.coordination.capacity_holds import CapacityHolds
from apricotlead.coordination.fair_share import PolicySource
from apricotlead.coordination.parked_requests import OpenRequest
from apricotlead.coordination.placement import (
    Policy,
    UnknownPlacement,
    best_fit,
    policy_named,
    policy_names,
)
from apricotlead.coordination.preemption_claims import PreemptionClaims
from apricotlead.coordination.quarantine import Quarantine
from apricotlead.protocol.config import Preset
from apricotlead.protocol.peers import Grant
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import LogEvent
from apricotlead.state.capacity_ledger import CapacityLedger, OwnedWorker
from apricotlead.state.session_view import SessionView

# Workers whose last reply is too old that are skipped for one demand.
_MAX_STALE_WORKERS = 4


class GrantBounds(Struct, frozen=True):
    """Limits of the validity of a grant; times in seconds.

    A grant is valid for at most ``ttl_s`` after it is made. ``max_drift``
    bounds the relative drift between two clocks. A grant that would leave less
    than ``least_window_s`` for the start to reach the worker is not made.
    """

    ttl_s: float = 2.0
    max_drift: float = 0.02
    least_window_s: float = 0.2


class Granter:
    """Chooses workers for the open demands of a request and grants them."""

    __slots__ = (
        '_bounds',
        '_claims',
        '_holds',
        '_ledger',
        '_logged_by_unknown_name',
        '_policies',
        '_quarantine',
        '_view',
    )

    def __init__(
        self,
        bounds: GrantBounds,
        view: SessionView,
        ledger: CapacityLedger,
        quarantine: Quarantine,
        holds: CapacityHolds,
        policies: PolicySource,
        claims: PreemptionClaims,
    ) -> None:
        """Store what the decisions about grants depend on."""
        self._claims = claims
        self._logged_by_unknown_name: dict[str, bool] = {}
        self._bounds = bounds
        self._view = view
        self._ledger = ledger
        self._quarantine = quarantine
        self._holds = holds
        self._policies = policies

    def place(self, request: OpenRequest, now: float) -> list[Grant]:
        """Grant what fits and remove it from the request's open demands.

        An all-or-nothing request gets all grants or none. Nothing is granted
        while the own session lease is invalid.
        """
        if not self._view.is_valid(now) or self._cannot_fit(request):
            return []
        grants = self._place_each(request, now)
        if request.all_or_nothing and len(grants) < len(
            request.open_by_attempt_id
        ):
            for grant in grants:
                self._ledger.release(grant.attempt_id)
            return []
        for grant in grants:
            request.open_by_attempt_id.pop(grant.attempt_id)
            self._quarantine.record_grant(grant.worker_id, now)
        return grants

    def _place_each(self, request: OpenRequest, now: float) -> list[Grant]:
        preset = self.preset_for(request)
        policy = self._find_policy(preset)
        avoid = self.avoided_workers(request)
        grants = []
        for attempt_id, demand in _largest_first(request):
            avoided = avoid | self._claims.excluded_workers(attempt_id)
            worker = self._choose_worker(policy, demand, preset, avoided, now)
            if worker is not None:
                grants.append(
                    self._create_grant(worker, attempt_id, demand, now)
                )
            elif request.all_or_nothing:
                break
        return grants

    def _choose_worker(
        self,
        policy: Policy,
        demand: Resources,
        preset: Preset,
        avoid: Collection[str],
        now: float,
    ) -> OwnedWorker | None:
        """Choose a worker that leaves the start enough time to arrive."""
        for _ in range(_MAX_STALE_WORKERS):
            worker_id = policy(self._ledger, demand, preset, avoid)
            if worker_id is None:
                return None
            worker = self._ledger.workers_by_id[worker_id]
            if self._min_window_s(worker, now) >= self._bounds.least_window_s:
                return worker
            avoid = {*avoid, worker_id}
        return None

    def _create_grant(
        self,
        worker: OwnedWorker,
        attempt_id: str,
        demand: Resources,
        now: float,
    ) -> Grant:
        not_after_s = self._not_after_s(worker, now)
        self._ledger.grant(worker.worker_id, attempt_id, demand, not_after_s)
        return Grant(
            attempt_id,
            worker.worker_id,
            worker.address,
            worker.epoch,
            worker.boot_id,
            not_after_s,
        )

    def _not_after_s(self, worker: OwnedWorker, now: float) -> float:
        """Return the end of a grant made now, on the worker's clock.

        The worker's clock may run slower than the local one, so the time from
        its reply to the end is shortened by the drift bound.
        """
        end_s = min(self._view.lease_end_s, now + self._bounds.ttl_s)
        validity_s = (end_s - worker.replied_at_s) * (
            1 - self._bounds.max_drift
        )
        return worker.clock_s + validity_s

    def _min_window_s(self, worker: OwnedWorker, now: float) -> float:
        """Return the minimum time left for a start to arrive.

        The worker's clock may also run faster than the local one.
        """
        elapsed_s = now - worker.replied_at_s
        latest_clock_s = worker.clock_s + elapsed_s * (
            1 + self._bounds.max_drift
        )
        return self._not_after_s(worker, now) - latest_clock_s

    def take_log_events(self) -> list[LogEvent]:
        """Return a log event for each unknown policy name not yet logged."""
        log_events = []
        for name, is_logged in self._logged_by_unknown_name.items():
            if not is_logged:
                self._logged_by_unknown_name[name] = True
                log_events.append(_unknown_policy(name))
        return log_events

    def _find_policy(self, preset: Preset) -> Policy:
        """Return the policy; ``best_fit`` if the preset's name is unknown.

        A misspelt name must not stop all placement.
        """
        try:
            return policy_named(preset.placement)
        except UnknownPlacement:
            self._logged_by_unknown_name.setdefault(preset.placement, False)
            return best_fit

    def _cannot_fit(self, request: OpenRequest) -> bool:
        """Tell cheaply whether an all-or-nothing request cannot fit."""
        if not request.all_or_nothing:
            return False
        total = sum(request.open_by_attempt_id.values(), Resources())
        return not total.fits_in(self._ledger.total_free())

    def preset_for(self, request: OpenRequest) -> Preset:
        """Return the preset, without its reserve for work that may use it."""
        preset = self._policies.preset()
        if request.may_use_reserve and preset.reserved_fraction:
            return structs.replace(preset, reserved_fraction=0)
        return preset

    def avoided_workers(self, request: OpenRequest) -> frozenset[str]:
        """Return the workers that the request must not use.

        These are the ones that its sender excludes, for a gang the quarantined
        ones, and the ones held for another job except for urgent work.
        """
        message = request.message
        avoid = frozenset(message.avoid_workers)
        if message.gang:
            avoid = avoid.union(self._quarantine.ejected_ids())
        if message.priority == 'urgent':
            return avoid
        if self._holds.is_holder(request.job_id):
            return avoid
        return avoid | self._holds.worker_ids


def _unknown_policy(name: str) -> LogEvent:
    return LogEvent(
        'the preset names an unknown placement policy; best_fit is used',
        {'placement': name, 'known': policy_names()},
    )


def _largest_first(request: OpenRequest) -> list[tuple[str, Resources]]:
    """Return the open demands, for all-or-nothing requests largest first.

    Large tasks of a gang are the hardest to place.
    """
    demands = list(request.open_by_attempt_id.items())
    if request.all_or_nothing:
        demands.sort(key=_demand_sort_key, reverse=True)
    return demands


def _demand_sort_key(entry: tuple[str, Resources]) -> tuple[int, int, int]:
    demand = entry[1]
    return demand.accelerators, demand.cpu_millis, demand.memory_mb
