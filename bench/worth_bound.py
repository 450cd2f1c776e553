"""What a cell with perfect knowledge could have earned with a run's jobs.

An estimate, no proof: jobs are liquid. All room is one pool, a job uses any
part of its cores at any time from its arrival on, and its real work and all
later arrivals are known. The jobs with the most worth for a core-second
reserve first, as early as the room allows.
"""

from collections.abc import Iterable
from itertools import repeat
from typing import Any

from msgspec import Struct

from bench.job_stories import CUTOFF_FACTOR, LATE_SHARE

_SLOT_S = 0.05
_MILLIS_PER_CORE = 1000
_EPSILON = 0.001
# Work left below this many core-seconds counts as done.
_DONE_CORE_S = 0.001


class BoundJob(Struct):
    """A job's arrival and work; times in seconds from the first arrival."""

    worth: float
    arrival_s: float
    objective_s: float
    work_s: float
    cores: float

    @property
    def core_s(self) -> float:
        """Return its work in core-seconds."""
        return self.work_s * self.cores


class Pool:
    """The cores that are free in each slot of time."""

    def __init__(self, free_cores: list[float]) -> None:
        """Begin with the free cores of each slot."""
        self._free_cores = free_cores

    def reserve(self, job: BoundJob, within_s: float) -> bool:
        """Reserve a job's work so that it ends in time, or nothing."""
        first = int(job.arrival_s / _SLOT_S)
        last = int((job.arrival_s + within_s) / _SLOT_S) + 1
        left = job.core_s
        taken_by_slot: dict[int, float] = {}
        for slot in range(first, min(last, len(self._free_cores))):
            usable = min(self._free_cores[slot], job.cores)
            taken_by_slot[slot] = min(usable, left / _SLOT_S)
            left -= taken_by_slot[slot] * _SLOT_S
            if left < _DONE_CORE_S:
                break
        else:
            return False
        for slot, taken in taken_by_slot.items():
            self._free_cores[slot] -= taken
        return True


def earned_share(jobs: Iterable[BoundJob], pool: Pool) -> float:
    """Return the share of the jobs' worth that the pool can earn."""
    by_density = sorted(
        jobs,
        key=lambda job: job.worth / max(_EPSILON, job.core_s),
        reverse=True,
    )
    owed = sum(job.worth for job in by_density)
    late = [job for job in by_density if not pool.reserve(job, job.objective_s)]
    missed = sum(job.worth for job in late)
    made_late = sum(
        job.worth
        for job in late
        if pool.reserve(job, CUTOFF_FACTOR * job.objective_s)
    )
    return (owed - missed + LATE_SHARE * made_late) / max(_EPSILON, owed)


def pool_from_states(
    states: list[dict[str, Any]],
    began_s: float,
    *,
    is_constant: bool,
) -> Pool:
    """Return the room that the lines ``cell state`` of a run tell.

    With ``is_constant`` the most that was ever usable is there all the time.
    """
    most = max(_cores(state) for state in states)
    free_cores: list[float] = []
    cores = most
    for state in states:
        slot = int((state['timestamp'] - began_s) / _SLOT_S)
        free_cores.extend(repeat(cores, slot - len(free_cores)))
        if not is_constant:
            cores = _cores(state)
    return Pool(free_cores)


def _cores(state: dict[str, Any]) -> float:
    return state['cpu_millis'] / _MILLIS_PER_CORE
