"""The list of live and leaving instances, with a visibility lag."""

from collections import deque
from typing import Any

from msgspec import Struct

from apricotlead_standins.http_messages import BadRequest


class Registration(Struct, frozen=True):
    """A registration, renewal or removal of an instance.

    ``instance`` is in the wire form of the list and has at least
    ``instance_id``. It expires unless it is registered again within ``ttl_s``
    seconds; without ``ttl_s`` it stays until ``removed`` is sent.
    """

    instance: dict[str, Any]
    ttl_s: float | None = None
    removed: bool = False


class InstanceList:
    """Instances as they were registered ``lag_s`` seconds ago."""

    __slots__ = ('_lag_s', '_pending_changes', '_visible_by_id')

    def __init__(self, lag_s: float) -> None:
        """Create an empty list."""
        self._lag_s = lag_s
        self._pending_changes: deque[tuple[float, Registration]] = deque()
        self._visible_by_id: dict[str, tuple[float, dict[str, Any]]] = {}

    def register(self, registration: Registration, now: float) -> None:
        """Record a change, which becomes visible after the lag.

        Raises :class:`BadRequest` for an instance without an id.
        """
        if 'instance_id' not in registration.instance:
            raise BadRequest('the instance has no instance_id')
        self._pending_changes.append((now + self._lag_s, registration))

    def instances(self, now: float) -> list[dict[str, Any]]:
        """Return the visible instances, ordered by instance id."""
        while self._pending_changes and self._pending_changes[0][0] <= now:
            self._apply(*self._pending_changes.popleft())
        return [
            instance
            for _, (expiry_s, instance) in sorted(self._visible_by_id.items())
            if now < expiry_s
        ]

    def _apply(self, shown_s: float, registration: Registration) -> None:
        instance = registration.instance
        instance_id = instance['instance_id']
        if registration.removed:
            self._visible_by_id.pop(instance_id, None)
            return
        expiry_s = float('inf')
        if registration.ttl_s is not None:
            expiry_s = shown_s + registration.ttl_s
        self._visible_by_id[instance_id] = (expiry_s, instance)
