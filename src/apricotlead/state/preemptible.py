"""Selection of the running attempts that may be preempted."""

from collections.abc import Iterable, Mapping

from msgspec import Struct

from apricotlead.protocol.workers import AttemptReport


class Preemptible(Struct, frozen=True):
    """A running attempt that may be preempted.

    ``since_s`` is when this owner first saw it, on the local clock; its age
    starts again after a change of ownership.
    """

    attempt_id: str
    journal_id: str
    team: str
    stops: int
    since_s: float


def list_preemptible(
    known_by_id: Mapping[str, Preemptible],
    reports: Iterable[AttemptReport],
    now: float,
) -> dict[str, Preemptible]:
    """Return the attempts in a heartbeat reply that may be preempted.

    Attempts without reported traits are left out.
    """
    listed: dict[str, Preemptible] = {}
    for report in reports:
        traits = report.traits
        if report.state != 'running' or not traits or not traits.preemptible:
            continue
        known = known_by_id.get(report.attempt_id)
        listed[report.attempt_id] = Preemptible(
            report.attempt_id,
            report.journal_id,
            traits.team,
            traits.stops,
            known.since_s if known else now,
        )
    return listed
