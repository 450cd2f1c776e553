"""What a worker was given, for tests of overcommit and double runs."""

from collections import deque
from typing import Any

import msgspec

from apricotlead_standins.worker_messages import Resources

_MAX_RUNS = 10_000


class Run(msgspec.Struct):
    """One run; times in monotonic seconds, ``None`` while it runs."""

    attempt_id: str
    demand: Resources
    begin_s: float
    end_s: float | None = None
    state: str = 'running'


class RunLog:
    """The runs of a worker and the peak of what ran at once.

    The oldest ended runs are dropped beyond 10,000.
    """

    __slots__ = (
        '_capacity',
        '_runs',
        '_runs_by_id',
        'leaving_since_s',
        'last_start_after_leaving_s',
        'peak',
        'started',
    )

    def __init__(self, capacity: Resources) -> None:
        """Begin with nothing run."""
        self._capacity = capacity
        self.leaving_since_s: float | None = None
        self._runs: deque[Run] = deque(maxlen=_MAX_RUNS)
        self._runs_by_id: dict[str, Run] = {}
        self.last_start_after_leaving_s: float | None = None
        self.peak = Resources()
        self.started = 0

    @property
    def overcommitted(self) -> bool:
        """Tell whether more ran at once than the worker has."""
        return not self.peak.fits_in(self._capacity)

    def begin(self, attempt_id: str, demand: Resources, now: float) -> None:
        """Note a start."""
        run = Run(attempt_id, demand, now)
        self._runs.append(run)
        self._runs_by_id[attempt_id] = run
        self.started += 1
        if self.leaving_since_s is not None:
            self.last_start_after_leaving_s = now - self.leaving_since_s
        demands = (running.demand for running in self._runs_by_id.values())
        total = sum(demands, start=Resources())
        self.peak = self.peak.maximum(total)

    def end(self, attempt_id: str, state: str, ended_s: float) -> None:
        """Note the end of a run."""
        run = self._runs_by_id.pop(attempt_id)
        run.end_s = ended_s
        run.state = state

    def end_all(self, now: float) -> None:
        """Note that the worker restarted."""
        for attempt_id in tuple(self._runs_by_id):
            self.end(attempt_id, 'restarted', now)

    def leave(self, now: float) -> None:
        """Note that the worker began to leave."""
        self.leaving_since_s = now

    def dump(self) -> dict[str, Any]:
        """Return all of it in JSON builtins."""
        return {
            'peak': msgspec.to_builtins(self.peak),
            'overcommitted': self.overcommitted,
            'started': self.started,
            'running': len(self._runs_by_id),
            'last_start_after_leaving_s': self.last_start_after_leaving_s,
            'runs': msgspec.to_builtins(list(self._runs)),
        }
