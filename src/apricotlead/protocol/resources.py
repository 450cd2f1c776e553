"""Amounts of processors, memory and accelerators."""

from msgspec import Struct

from apricotlead.protocol.value_types import MAX_MAGNITUDE


class Resources(Struct, frozen=True, omit_defaults=True):
    """Amounts of the three resources of a worker.

    Units: ``cpu_millis`` in thousandths of a core, ``memory_mb`` in MiB,
    ``accelerators`` in whole devices. Integers, so that sums are exact.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        """Return the sum, resource by resource."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        """Return the difference; a resource may become negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, free: 'Resources') -> bool:
        """Return whether no resource exceeds that of ``free``."""
        return (
            self.cpu_millis <= free.cpu_millis
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def is_in_range(self) -> bool:
        """Return whether all amounts are whole numbers that a float holds."""
        amounts = (self.cpu_millis, self.memory_mb, self.accelerators)
        return min(amounts) >= 0 and max(amounts) <= MAX_MAGNITUDE

    def is_valid_demand(self) -> bool:
        """Return whether no resource is negative and at least one positive."""
        amounts = (self.cpu_millis, self.memory_mb, self.accelerators)
        return min(amounts) >= 0 and max(amounts) > 0

    def dominant_fraction(self, total: 'Resources') -> float:
        """Return the largest fraction of ``total`` over all resources.

        Source: dominant resource fairness. Resources that ``total`` lacks are
        ignored.
        """
        pairs = (
            (self.cpu_millis, total.cpu_millis),
            (self.memory_mb, total.memory_mb),
            (self.accelerators, total.accelerators),
        )
        return max(
            (used / size for used, size in pairs if size > 0),
            default=0.0,
        )
