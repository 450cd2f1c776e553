"""Services in which nothing but the work that crashes workers waits.

Pattern: hundreds of jobs that crash their workers are left at the end of a day.
The limits on their starts keep capacity for other work that may come. Once none
comes, and none waits, they would keep the crashing jobs waiting beside workers
that nothing else uses, for as long as there are such jobs.
"""

from apricotlead.coordination.cell.capacity_claims import ServiceLoad
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.state.cell_jobs import StepState
from apricotlead.state.wait_times import WaitReason

# Jobs that follow one another sooner are one stream of traffic.
_QUIET_AFTER_S = 4.0
# Why steps wait that could not use more capacity.
_OTHER_REASONS = frozenset(
    (
        None,
        WaitReason.ORGANISATION_LIMIT,
        WaitReason.GANG_STOPPING,
        WaitReason.TRIAL,
        WaitReason.CRASHES,
    )
)


def quiet_services(
    tracker: RunTracker, load: ServiceLoad, now: float
) -> frozenset[str]:
    """Return the services whose idle workers nothing else needs.

    More than half of them is free, no job has been accepted for a while, and
    no step waits for capacity but suspects and the steps of limited queues.
    """
    latest = next(reversed(tracker.jobs_by_id.values()), None)
    if latest is not None and now - latest.known_since_s < _QUIET_AFTER_S:
        return frozenset()
    steps = tracker.ready_steps_by_name.values()
    services = {step.job.stored.service for step in steps}
    services -= {
        step.job.stored.service for step in steps if _needs_room(step, tracker)
    }
    return frozenset(filter(load.is_half_free, services))


def _needs_room(step: StepState, tracker: RunTracker) -> bool:
    """Return whether a step that is not limited waited in the latest round."""
    if step.apart_for is not None or step.waits.reason in _OTHER_REASONS:
        return False
    risk = tracker.risks_by_queue.get(step.job.stored.queue)
    return risk is None or not risk.is_high
