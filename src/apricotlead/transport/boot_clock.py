"""A steady clock that goes on while the instance is suspended."""

from time import CLOCK_BOOTTIME, clock_gettime


def boot_now() -> float:
    """Return seconds since boot, suspension included.

    Leases end on other machines' clocks, which do not stop with this one.
    """
    return clock_gettime(CLOCK_BOOTTIME)
