"""The one clock of the process."""

from time import monotonic


def monotonic_now() -> float:
    """Return monotonic seconds; unrelated to the clocks of other processes."""
    return monotonic()
