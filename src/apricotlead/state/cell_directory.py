"""The instances of the cell, as the platform lists them."""

from functools import reduce

from apricotlead.protocol.instances import Instance
from apricotlead.protocol.resources import Resources


class CellDirectory:
    """Instances by id and role; changed by the directory keeper only.

    ``version`` grows with each change, so that readers can tell whether what
    they derived is still current.
    """

    __slots__ = (
        '_capacities',
        '_executors_by_service',
        '_total_capacity',
        'entries_by_id',
        'executors_by_id',
        'version',
        'workers_by_id',
    )

    def __init__(self) -> None:
        """Begin with no instance."""
        self.version = 0
        self.replace(())

    def replace(self, instances: tuple[Instance, ...]) -> None:
        """Put ``instances`` in place of what was known."""
        self.version += 1
        self.entries_by_id = _of_role(instances, 'entry')
        self.executors_by_id = _of_role(instances, 'executor')
        self.workers_by_id = _of_role(instances, 'worker')
        self._executors_by_service: dict[str, list[Instance]] = {}
        for executor in self.executors_by_id.values():
            self._executors_by_service.setdefault(
                executor.service,
                [],
            ).append(executor)
        self._total_capacity = sum(
            (worker.capacity for worker in self.workers_by_id.values()),
            Resources(),
        )
        self._capacities = _largest_of(
            {worker.capacity for worker in self.workers_by_id.values()},
        )

    def executors_of(self, service: str) -> tuple[Instance, ...]:
        """Return the executors of a service, leaving ones included."""
        return tuple(self._executors_by_service.get(service, ()))

    def services(self) -> tuple[str, ...]:
        """Return the names of the services that have an executor."""
        return tuple(self._executors_by_service)

    def largest_worker(self) -> Resources:
        """Return the most that any worker has, resource by resource.

        A demand that does not fit in it fits in no worker. The reverse does
        not hold where different workers are largest; see ``can_hold``.
        """
        return reduce(_larger, self._capacities, Resources())

    def total_capacity(self) -> Resources:
        """Return the sum over all workers."""
        return self._total_capacity

    def can_hold(self, demand: Resources) -> bool:
        """Tell whether some single worker is as large as ``demand``."""
        return any(demand.fits_in(capacity) for capacity in self._capacities)


def _of_role(
    instances: tuple[Instance, ...],
    role: str,
) -> dict[str, Instance]:
    return {
        instance.instance_id: instance
        for instance in instances
        if instance.role == role
    }


def _larger(one: Resources, two: Resources) -> Resources:
    return Resources(
        max(one.cpu_millis, two.cpu_millis),
        max(one.memory_mb, two.memory_mb),
        max(one.accelerators, two.accelerators),
    )


def _largest_of(capacities: set[Resources]) -> tuple[Resources, ...]:
    # Equal workers are the rule, so this set has few members.
    return tuple(
        capacity
        for capacity in capacities
        if not any(
            capacity != larger and capacity.fits_in(larger)
            for larger in capacities
        )
    )
