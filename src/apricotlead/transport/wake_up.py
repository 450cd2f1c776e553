"""Wake-up primitives for green threads."""

import eventlet
from eventlet.event import Event


class WakeUp:
    """Wakes a single waiting green thread; repeated calls are merged."""

    __slots__ = ('_event', '_is_set')

    def __init__(self) -> None:
        """Start unset."""
        self._event = Event()
        self._is_set = False

    def set(self) -> None:
        """Wake the waiter, or make the next wait return at once."""
        self._is_set = True
        if not self._event.ready():
            self._event.send()

    def wait(self, timeout_s: float) -> bool:
        """Wait until set or timed out; return whether it was set."""
        if not self._is_set:
            with eventlet.Timeout(timeout_s, False):
                self._event.wait()
        was_set = self._is_set
        self._is_set = False
        self._event = Event()
        return was_set


class Broadcast:
    """Wakes all green threads that are currently waiting."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Start without waiters."""
        self._event = Event()

    def send(self) -> None:
        """Wake all waiters."""
        event = self._event
        self._event = Event()
        event.send()

    def wait(self, timeout_s: float) -> None:
        """Wait for the next :meth:`send` or for the timeout."""
        event = self._event
        with eventlet.Timeout(timeout_s, False):
            event.wait()
