"""Why the steps of a job have waited, and for how long."""

from collections.abc import Mapping
from enum import StrEnum


class WaitReason(StrEnum):
    """Why the waiting tasks of a ready step cannot start.

    ``ROUND_ENDED``: the placement round ended before it reached the step.
    ``ORGANISATION_LIMIT``: the organisation has reached its limit.
    ``ADVICE_PENDING``: a call for advice has not been answered yet.
    ``NO_FREE_ASKER``: no instance is free to call for advice.
    ``EARLIER_STEPS``: steps ahead of it may take all the capacity for which
    tickets could be used. ``NO_CAPACITY``: all workers that may run it are
    full. ``GANG_STOPPING``: other members of its gang are still stopping.
    ``TRIAL``: a task of it may have crashed a worker, and waits for a worker of
    its own, or runs there for a moment before the others follow. ``CRASHES``:
    work of its queue has crashed too many workers that are not back yet.
    """

    ROUND_ENDED = 'order'
    ORGANISATION_LIMIT = 'limit'
    ADVICE_PENDING = 'advice'
    NO_FREE_ASKER = 'asker'
    EARLIER_STEPS = 'turn'
    NO_CAPACITY = 'room'
    GANG_STOPPING = 'members'
    TRIAL = 'trial'
    CRASHES = 'crashes'


class WaitTimes:
    """Seconds of waiting by reason; only one reason applies at a time."""

    __slots__ = ('_reason', '_since_s', '_waited_s_by_reason')

    def __init__(self) -> None:
        """Start without a reason to wait."""
        self._reason: WaitReason | None = None
        self._since_s = 0.0
        self._waited_s_by_reason: dict[WaitReason, float] = {}

    @property
    def reason(self) -> WaitReason | None:
        """Return the current reason for waiting, or ``None``."""
        return self._reason

    def note(self, reason: WaitReason | None, now: float) -> None:
        """Switch to ``reason``; ``None`` ends the waiting."""
        if self._reason is not None:
            previous_s = self._waited_s_by_reason.get(self._reason, 0)
            total_s = previous_s + now - self._since_s
            self._waited_s_by_reason[self._reason] = total_s
        self._reason = reason
        self._since_s = now

    def seconds(self, now: float | None = None) -> Mapping[WaitReason, float]:
        """Return the seconds waited by reason, up to the latest ``note``.

        With ``now``, the time since then counts for the current reason.
        """
        if now is None or self._reason is None:
            return self._waited_s_by_reason
        waited_s = self._waited_s_by_reason.get(self._reason, 0)
        return {
            **self._waited_s_by_reason,
            self._reason: waited_s + now - self._since_s,
        }
