"""Log of a worker's runs, for tests of overcommit and double runs."""

from collections import deque
from typing import Any

import msgspec

from apricotlead_standins.worker_messages import Resources

_MAX_RUNS = 10_000


class Run(msgspec.Struct):
    """One run, in monotonic seconds; ``end_s`` is ``None`` until it ends."""

    attempt_id: str
    demand: Resources
    begin_s: float
    end_s: float | None = None
    state: str = 'running'


class RunLog:
    """The runs of a worker and the peak of their concurrent demand.

    Only the latest 10,000 runs are kept.
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
        """Create an empty log."""
        self._capacity = capacity
        self.leaving_since_s: float | None = None
        self._runs: deque[Run] = deque(maxlen=_MAX_RUNS)
        self._runs_by_id: dict[str, Run] = {}
        self.last_start_after_leaving_s: float | None = None
        self.peak = Resources()
        self.started = 0

    @property
    def overcommitted(self) -> bool:
        """Return whether the peak demand exceeded the capacity."""
        return not self.peak.fits_in(self._capacity)

    def begin(self, attempt_id: str, demand: Resources, now: float) -> None:
        """Record the start of a run."""
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
        """Record the end of a run."""
        run = self._runs_by_id.pop(attempt_id)
        run.end_s = ended_s
        run.state = state

    def end_all(self, now: float) -> None:
        """End all runs because the worker restarted."""
        for attempt_id in tuple(self._runs_by_id):
            self.end(attempt_id, 'restarted', now)

    def leave(self, now: float) -> None:
        """Record that the worker began to leave."""
        self.leaving_since_s = now

    def dump(self) -> dict[str, Any]:
        """Return the log as JSON-compatible builtins."""
        return {
            'peak': msgspec.to_builtins(self.peak),
            'overcommitted': self.overcommitted,
            'started': self.started,
            'running': len(self._runs_by_id),
            'last_start_after_leaving_s': self.last_start_after_leaving_s,
            'runs': msgspec.to_builtins(list(self._runs)),
        }
