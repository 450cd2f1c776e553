"""Growing pauses between repeated calls."""

import random

_FIRST_S = 0.05
_MAX_S = 0.4
_GROWTH = 2
# Calls that were refused together are not repeated together.
_JITTER = 0.5


class Backoff:
    """Pauses that double up to 0.4 s, each up to half shorter or longer."""

    __slots__ = ('_pause_s',)

    def __init__(self) -> None:
        """Start with the shortest pause."""
        self._pause_s = _FIRST_S

    def next_s(self) -> float:
        """Return the next pause."""
        pause_s = self._pause_s * random.uniform(1 - _JITTER, 1 + _JITTER)
        self._pause_s = min(_MAX_S, self._pause_s * _GROWTH)
        return pause_s
