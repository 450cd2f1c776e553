"""For what the steps of a job have waited, and for how long."""

from collections.abc import Mapping
from enum import StrEnum


class WaitReason(StrEnum):
    """What keeps the tasks of a ready step from starting.

    ``ORDER``: the round of placement ended before the step's turn. ``LIMIT``:
    its organisation may have no more running. ``ADVICE``: an answer is under
    way. ``ASKER``: no instance is free to ask. ``TURN``: steps before it may
    take all room that tickets could be used for. ``ROOM``: the workers that may
    run it are full. ``MEMBERS``: other members of its gang still stop.
    """

    ORDER = 'order'
    LIMIT = 'limit'
    ADVICE = 'advice'
    ASKER = 'asker'
    TURN = 'turn'
    ROOM = 'room'
    MEMBERS = 'members'


class WaitTimes:
    """Seconds of waiting by reason; one reason holds at a time."""

    __slots__ = ('_reason', '_since_s', '_waited_s_by_reason')

    def __init__(self) -> None:
        """Begin without waiting."""
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
