"""Placement policies: each chooses the worker for one task."""

from collections.abc import Callable, Container, Iterator
from itertools import islice

from apricotlead.protocol.config import Preset
from apricotlead.protocol.errors import BadInput
from apricotlead.protocol.resources import Resources
from apricotlead.state.capacity_ledger import CapacityLedger, OwnedWorker

Policy = Callable[
    [CapacityLedger, Resources, Preset, Container[str]],
    str | None,
]

# Candidates compared for one task, each from a different memory class.
_MAX_CANDIDATES = 6

_policies_by_name: dict[str, Policy] = {}


class UnknownPlacement(BadInput):
    """A preset names a placement policy that is not registered."""

    kind = 'unknown_placement'
    remedy = 'Name one of the registered placement policies.'


def placement_policy(name: str) -> Callable[[Policy], Policy]:
    """Register the decorated function as the policy ``name``."""

    def decorate(policy: Policy) -> Policy:
        _policies_by_name[name] = policy
        return policy

    return decorate


def policy_names() -> tuple[str, ...]:
    """Return the names that a preset may use."""
    return tuple(sorted(_policies_by_name))


def policy_named(name: str) -> Policy:
    """Return the policy; raise ``UnknownPlacement`` if there is none."""
    policy = _policies_by_name.get(name)
    if policy is None:
        known = ', '.join(policy_names())
        raise UnknownPlacement(f'No policy {name!r}; there are {known}.')
    return policy


@placement_policy('best_fit')
def best_fit(
    ledger: CapacityLedger,
    demand: Resources,
    preset: Preset,
    avoid: Container[str] = (),
) -> str | None:
    """Choose the worker on which the task strands the least capacity.

    Workers with the fewest sufficient free accelerators come first, so a task
    without accelerators goes to an accelerated worker only if it fits on no
    other.
    """
    return _choose_worker(ledger, demand, preset, avoid, _stranding_cost)


@placement_policy('spread')
def spread(
    ledger: CapacityLedger,
    demand: Resources,
    preset: Preset,
    avoid: Container[str] = (),
) -> str | None:
    """Choose the worker with the largest fraction left free by the task."""
    return _choose_worker(ledger, demand, preset, avoid, _usage_cost)


def _choose_worker(
    ledger: CapacityLedger,
    demand: Resources,
    preset: Preset,
    avoid: Container[str],
    cost: Callable[[OwnedWorker, Resources], float],
) -> str | None:
    tightest_first = cost is _stranding_cost
    index = ledger.index(preset.reserved_fraction)
    for bucket in index.buckets(demand.accelerators):
        fitting = bucket.candidates(demand, avoid, tightest_first)
        chosen = _lowest_cost(ledger, demand, fitting, cost)
        if chosen is not None:
            return chosen
    return None


def _lowest_cost(
    ledger: CapacityLedger,
    demand: Resources,
    fitting: Iterator[str],
    cost: Callable[[OwnedWorker, Resources], float],
) -> str | None:
    chosen, lowest_cost = None, float('inf')
    for worker_id in islice(fitting, _MAX_CANDIDATES):
        worker = ledger.workers_by_id[worker_id]
        worker_cost = cost(worker, demand)
        if worker_cost < lowest_cost:
            chosen, lowest_cost = worker_id, worker_cost
    return chosen


def _remaining_fractions(
    worker: OwnedWorker, demand: Resources
) -> tuple[float, float]:
    """Return the fractions of CPU and memory left free by ``demand``."""
    remaining_cpu = worker.free.cpu_millis - demand.cpu_millis
    remaining_memory = worker.free.memory_mb - demand.memory_mb
    capacity = worker.capacity
    return (
        remaining_cpu / max(capacity.cpu_millis, 1),
        remaining_memory / max(capacity.memory_mb, 1),
    )


def _stranding_cost(worker: OwnedWorker, demand: Resources) -> float:
    """Return how much and how unevenly capacity is left; less is better.

    Remaining capacity of one resource is of no use without the other.
    """
    cpu, memory = _remaining_fractions(worker, demand)
    return abs(cpu - memory) + (cpu + memory) / 2


def _usage_cost(worker: OwnedWorker, demand: Resources) -> float:
    return -min(_remaining_fractions(worker, demand))
