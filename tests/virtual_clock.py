"""A virtual clock for code that waits through eventlet.

The hub's clock jumps to the next timer, so a test of waits takes no time and
gives the same result on a busy machine. It has no sockets.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from eventlet import hubs
from eventlet.hubs.hub import BaseHub

_START_S = 1000.0


class VirtualHub(BaseHub):
    """Runs green threads in virtual time."""

    def __init__(self) -> None:
        """Start the clock at a time that is not 0."""
        self.now = _START_S
        super().__init__(lambda: self.now)

    def wait(self, seconds: float | None = None) -> None:
        """Advance the clock instead of waiting for it."""
        if self.sleep_until() is None:
            raise RuntimeError('No green thread waits for the virtual clock.')
        self.now += seconds or 0


@contextmanager
def virtual_clock() -> Iterator[VirtualHub]:
    """Run the green threads and the clock of a block in virtual time."""
    real_hub = hubs.get_hub()
    hub = VirtualHub()
    patch = mock.patch(
        'apricotlead.transport.boot_clock.clock_gettime',
        lambda clock: hub.now,
    )
    hubs._threadlocal.hub = hub
    try:
        with patch:
            yield hub
    finally:
        hubs._threadlocal.hub = real_hub
