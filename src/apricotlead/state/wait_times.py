"""For what the steps of a job have waited, and for how long."""

from collections.abc import Mapping
from enum import StrEnum


class WaitReason(StrEnum):
    """What keeps the tasks of a ready step from starting.

    ``ROUND_ENDED``: the round of placement ended before the step's turn. ``ORGANISATION_LIMIT``:
    its organisation may have no more running. ``ADVICE_PENDING``: an answer is under
    way. ``NO_FREE_ASKER``: no instance is free to ask. ``EARLIER_STEPS``: steps before it may
    take all room that tickets could be used for. ``NO_CAPACITY``: the workers that may
    run it are full. ``GANG_STOPPING``: other members of its gang still stop.
    """

    ROUND_ENDED = 'order'
    ORGANISATION_LIMIT = 'limit'
    ADVICE_PENDING = 'advice'
    NO_FREE_ASKER = 'asker'
    EARLIER_STEPS = 'turn'
    NO_CAPACITY = 'room'
    GANG_STOPPING = 'members'


class WaitTimes:
    """Seconds of waiting by reason; one reason holds at a time."""

    __slots__ = ('_reason', '_since_s', '_waited_s_by_reason')

    def __init__(self) -> None:
        """Start without waiting."""
        self._reason: WaitReason | None = None
        self._since_s = 0.0
        self._waited_s_by_reason: dict[WaitReason, float] = {}

    @property
    def reason(self) -> WaitReason | None:
        """Return what is waited for, ``None`` where nothing is."""
        return self._reason

    def note(self, reason: WaitReason | None, now: float) -> None:
        """Begin to wait for ``reason``; ``None`` ends the waiting."""
        if self._reason is not None:
            known_s = self._waited_s_by_reason.get(self._reason, 0)
            waited_s = known_s + now - self._since_s
            self._waited_s_by_reason[self._reason] = waited_s
        self._reason = reason
        self._since_s = now

    def seconds(self) -> Mapping[WaitReason, float]:
        """Return the waiting up to the last note."""
        return self._waited_s_by_reason
