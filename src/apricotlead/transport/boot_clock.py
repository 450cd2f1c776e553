"""A monotonic clock that includes time spent suspended."""

from time import CLOCK_BOOTTIME, clock_gettime


def boot_now() -> float:
    """Return seconds since boot, including suspension.

    Leases expire by the clocks of other machines, which keep running while
    this one is suspended.
    """
    return clock_gettime(CLOCK_BOOTTIME)
