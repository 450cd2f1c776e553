"""Virtual time for tests: processes that sleep, run in the order they wake."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

# Yields for how many seconds it sleeps.
Process = Iterator[float]


class Timeline:
    """Runs processes until a time; ``now`` is in seconds."""

    def __init__(self, now: float = 100.0) -> None:
        """Begin without processes."""
        self.now = now
        self._queue: list[tuple[float, int, Process]] = []
        self._numbers = count()

    def spawn(self, process: Process) -> None:
        """Run a process from now on."""
        heappush(self._queue, (self.now, next(self._numbers), process))

    def run_until(self, until_s: float) -> None:
        """Let time pass."""
        while self._queue and self._queue[0][0] <= until_s:
            wakes_s, number, process = heappop(self._queue)
            self.now = wakes_s
            pause_s = next(process, None)
            if pause_s is not None:
                wakes_s += pause_s
                heappush(self._queue, (wakes_s, number, process))
        self.now = until_s
