"""Selects the attempts to stop on one worker so that a demand fits."""

from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from apricotlead.protocol.resources import Resources
from apricotlead.state.capacity_ledger import OwnedWorker
from apricotlead.state.preemptible import Preemptible

_ZERO = Resources()
_Cost = tuple[float, int, float]


class Plan(Struct, frozen=True):
    """The attempts to stop on one worker; plans are compared by ``cost``."""

    worker: OwnedWorker
    victims: tuple[Preemptible, ...]
    cost: _Cost


def cheapest_plan(
    worker: OwnedWorker,
    candidates: Iterable[Preemptible],
    missing: Resources,
    shares_by_team: Mapping[str, float],
    max_count: int,
) -> Plan | None:
    """Return at most ``max_count`` attempts whose resources cover ``missing``.

    Attempts of the team furthest above its share come first, then those
    stopped least often, then the youngest. A single sufficient attempt is
    preferred to several of its team. Costs O(n log n) for n candidates.
    """
    if missing.fits_in(_ZERO):
        # The demand fits already, so stops would not help the request.
        return None
    ordered = sorted(
        candidates,
        key=lambda victim: (
            -shares_by_team[victim.team],
            victim.stops,
            -victim.since_s,
        ),
    )
    victims = _find_single_victim(worker, ordered, missing) or _collect_victims(
        worker,
        ordered,
        missing,
    )
    if not 0 < len(victims) <= max_count:
        return None
    min_share = min(shares_by_team[victim.team] for victim in victims)
    oldest_s = min(victim.since_s for victim in victims)
    return Plan(
        worker,
        tuple(victims),
        (-min_share, len(victims), -oldest_s),
    )


def _find_single_victim(
    worker: OwnedWorker,
    ordered: Sequence[Preemptible],
    missing: Resources,
) -> list[Preemptible]:
    """Return the first attempt of the first team that suffices alone."""
    for victim in ordered:
        if victim.team != ordered[0].team:
            break
        if missing.fits_in(worker.charges_by_id[victim.attempt_id]):
            return [victim]
    return []


def _collect_victims(
    worker: OwnedWorker,
    ordered: Sequence[Preemptible],
    missing: Resources,
) -> list[Preemptible]:
    """Return the first attempts that suffice, without unneeded ones."""
    chosen: list[Preemptible] = []
    freed = _ZERO
    for victim in ordered:
        if missing.fits_in(freed):
            break
        chosen.append(victim)
        freed += worker.charges_by_id[victim.attempt_id]
    if not missing.fits_in(freed):
        return []
    for candidate in tuple(chosen):
        remaining = freed - worker.charges_by_id[candidate.attempt_id]
        if missing.fits_in(remaining):
            chosen.remove(candidate)
            freed = remaining
    return chosen
