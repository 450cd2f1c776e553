"""The monotonic clock of the process."""

from time import monotonic


def monotonic_now() -> float:
    """Return monotonic seconds, not comparable between processes."""
    return monotonic()
