"""Directory of the cell's instances, as listed by the platform."""

from functools import reduce

from apricotlead.protocol.instances import Instance
from apricotlead.protocol.resources import Resources


class CellDirectory:
    """Instances by id and role; only the directory keeper changes it.

    ``version`` grows with each change, so that readers can tell whether data
    that they derived from it is still current.
    """

    __slots__ = (
        '_executors_by_service',
        '_maximal_capacities',
        '_total_capacity',
        'entries_by_id',
        'executors_by_id',
        'version',
        'workers_by_id',
    )

    def __init__(self) -> None:
        """Start without instances."""
        self.version = 0
        self.replace(())

    def replace(self, instances: tuple[Instance, ...]) -> None:
        """Replace all known instances with ``instances``."""
        self.version += 1
        self.entries_by_id = _select_by_role(instances, 'entry')
        self.executors_by_id = _select_by_role(instances, 'executor')
        self.workers_by_id = _select_by_role(instances, 'worker')
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
        self._maximal_capacities = _find_maximal(
            {worker.capacity for worker in self.workers_by_id.values()},
        )

    def executors_of(self, service: str) -> tuple[Instance, ...]:
        """Return the executors of a service, including draining ones."""
        return tuple(self._executors_by_service.get(service, ()))

    def services(self) -> tuple[str, ...]:
        """Return the names of the services that have an executor."""
        return tuple(self._executors_by_service)

    def largest_worker(self) -> Resources:
        """Return the element-wise maximum of the capacities of all workers.

        A demand that exceeds it fits on no worker. A demand within it need not
        fit either, because the maxima can come from different workers; see
        ``can_hold``.
        """
        return reduce(_elementwise_max, self._maximal_capacities, Resources())

    def total_capacity(self) -> Resources:
        """Return the total capacity of all workers."""
        return self._total_capacity

    def can_hold(self, demand: Resources) -> bool:
        """Return whether ``demand`` fits on a single worker."""
        return any(
            demand.fits_in(capacity) for capacity in self._maximal_capacities
        )


def _select_by_role(
    instances: tuple[Instance, ...],
    role: str,
) -> dict[str, Instance]:
    return {
        instance.instance_id: instance
        for instance in instances
        if instance.role == role
    }


def _elementwise_max(one: Resources, two: Resources) -> Resources:
    return Resources(
        max(one.cpu_millis, two.cpu_millis),
        max(one.memory_mb, two.memory_mb),
        max(one.accelerators, two.accelerators),
    )


def _find_maximal(capacities: set[Resources]) -> tuple[Resources, ...]:
    # Most workers have equal capacities, so the set is small.
    return tuple(
        capacity
        for capacity in capacities
        if not any(
            capacity != larger and capacity.fits_in(larger)
            for larger in capacities
        )
    )
