"""The attempts to stop on one worker so that a demand fits."""

from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from apricotlead.protocol.resources import Resources
from apricotlead.state.capacity_ledger import OwnedWorker
from apricotlead.state.preemptible import Preemptible

_NOTHING = Resources()
_Cost = tuple[float, int, float]


class Plan(Struct, frozen=True):
    """What to stop on one worker; plans are compared by ``cost``."""

    worker: OwnedWorker
    victims: tuple[Preemptible, ...]
    cost: _Cost


def cheapest_plan(
    worker: OwnedWorker,
    candidates: Iterable[Preemptible],
    wanted: Resources,
    shares_by_team: Mapping[str, float],
    most: int,
) -> Plan | None:
    """Return at most ``most`` attempts whose room covers ``wanted``.

    They are of the team furthest above its share, then the youngest. One
    attempt that suffices is preferred to several of its team. Costs
    O(n log n) for n candidates.
    """
    if wanted.fits_in(_NOTHING):
        # There is room already; something else keeps the request waiting.
        return None
    ordered = sorted(
        candidates,
        key=lambda victim: (
            -shares_by_team[victim.team],
            victim.stops,
            -victim.since_s,
        ),
    )
    victims = _sufficient_one(worker, ordered, wanted) or _first_ones(
        worker,
        ordered,
        wanted,
    )
    if not 0 < len(victims) <= most:
        return None
    least_share = min(shares_by_team[victim.team] for victim in victims)
    oldest_s = min(victim.since_s for victim in victims)
    return Plan(
        worker,
        tuple(victims),
        (-least_share, len(victims), -oldest_s),
    )


def _sufficient_one(
    worker: OwnedWorker,
    ordered: Sequence[Preemptible],
    wanted: Resources,
) -> list[Preemptible]:
    """Return the first attempt of the first team that is enough alone."""
    for victim in ordered:
        if victim.team != ordered[0].team:
            break
        if wanted.fits_in(worker.charges_by_id[victim.attempt_id]):
            return [victim]
    return []


def _first_ones(
    worker: OwnedWorker,
    ordered: Sequence[Preemptible],
    wanted: Resources,
) -> list[Preemptible]:
    """Return the first attempts that suffice, less those not needed."""
    chosen: list[Preemptible] = []
    room = _NOTHING
    for victim in ordered:
        if wanted.fits_in(room):
            break
        chosen.append(victim)
        room += worker.charges_by_id[victim.attempt_id]
    if not wanted.fits_in(room):
        return []
    for spare in tuple(chosen):
        rest = room - worker.charges_by_id[spare.attempt_id]
        if wanted.fits_in(rest):
            chosen.remove(spare)
            room = rest
    return chosen
