"""Estimates what a cell with perfect knowledge could earn with a run's jobs.

This is an estimate, not a proven bound, because jobs are treated as divisible:
all capacity is one pool, a job may use any part of its cores at any time from
its arrival on, and its actual work and all later arrivals are known. The jobs
with the highest worth per core-second reserve first, as early as the capacity
allows.
"""

from collections.abc import Iterable
from itertools import repeat
from typing import Any

from msgspec import Struct

from bench.job_stories import CUTOFF_FACTOR, LATE_SHARE

_SLOT_S = 0.05
_MILLIS_PER_CORE = 1000
_EPSILON = 0.001
# Less remaining work than this counts as done.
_NEGLIGIBLE_CORE_S = 0.001


class BoundJob(Struct):
    """A job's arrival and work; times in seconds from the first arrival."""

    worth: float
    arrival_s: float
    objective_s: float
    work_s: float
    cores: float

    @property
    def core_s(self) -> float:
        """Return the work in core-seconds."""
        return self.work_s * self.cores


class Pool:
    """The number of free cores in each time slot of ``_SLOT_S``."""

    def __init__(self, free_cores: list[float]) -> None:
        """Create a pool with the free cores of each slot."""
        self._free_cores = free_cores

    def reserve(self, job: BoundJob, max_duration_s: float) -> bool:
        """Reserve cores so that the job ends within ``max_duration_s``.

        Returns whether that was possible; otherwise nothing is reserved.
        """
        first = int(job.arrival_s / _SLOT_S)
        last = int((job.arrival_s + max_duration_s) / _SLOT_S) + 1
        remaining_core_s = job.core_s
        reserved_by_slot: dict[int, float] = {}
        for slot in range(first, min(last, len(self._free_cores))):
            usable = min(self._free_cores[slot], job.cores)
            reserved_by_slot[slot] = min(usable, remaining_core_s / _SLOT_S)
            remaining_core_s -= reserved_by_slot[slot] * _SLOT_S
            if remaining_core_s < _NEGLIGIBLE_CORE_S:
                break
        else:
            return False
        for slot, reserved in reserved_by_slot.items():
            self._free_cores[slot] -= reserved
        return True


def earned_share(jobs: Iterable[BoundJob], pool: Pool) -> float:
    """Return the share of the jobs' worth that the pool can earn."""
    by_density = sorted(
        jobs,
        key=lambda job: job.worth / max(_EPSILON, job.core_s),
        reverse=True,
    )
    total_worth = sum(job.worth for job in by_density)
    late = [job for job in by_density if not pool.reserve(job, job.objective_s)]
    missed_worth = sum(job.worth for job in late)
    late_worth = sum(
        job.worth
        for job in late
        if pool.reserve(job, CUTOFF_FACTOR * job.objective_s)
    )
    return (total_worth - missed_worth + LATE_SHARE * late_worth) / max(
        _EPSILON, total_worth
    )


def pool_from_states(
    states: list[dict[str, Any]],
    started_s: float,
    *,
    is_constant: bool,
) -> Pool:
    """Return the capacity over time from the ``cell state`` lines of a run.

    With ``is_constant`` the largest capacity of the run is available all the
    time.
    """
    max_cores = max(_cores(state) for state in states)
    free_cores: list[float] = []
    cores = max_cores
    for state in states:
        slot = int((state['timestamp'] - started_s) / _SLOT_S)
        free_cores.extend(repeat(cores, slot - len(free_cores)))
        if not is_constant:
            cores = _cores(state)
    return Pool(free_cores)


def _cores(state: dict[str, Any]) -> float:
    return state['cpu_millis'] / _MILLIS_PER_CORE
