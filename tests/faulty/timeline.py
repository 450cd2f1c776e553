"""Provides virtual time for tests: a queue of processes by wake-up time."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

# A generator that yields the number of seconds to sleep.
Process = Iterator[float]


class Timeline:
    """Runs processes in virtual time; ``now`` is in seconds."""

    def __init__(self, now: float = 100.0) -> None:
        """Create a timeline without processes."""
        self.now = now
        self._queue: list[tuple[float, int, Process]] = []
        self._numbers = count()

    def spawn(self, process: Process) -> None:
        """Schedule a process to start now."""
        heappush(self._queue, (self.now, next(self._numbers), process))

    def run_until(self, until_s: float) -> None:
        """Advance the time, and run every process that is due until then."""
        while self._queue and self._queue[0][0] <= until_s:
            wake_s, number, process = heappop(self._queue)
            self.now = wake_s
            pause_s = next(process, None)
            if pause_s is not None:
                wake_s += pause_s
                heappush(self._queue, (wake_s, number, process))
        self.now = until_s
