"""How long a service takes to answer, so that a lost answer shows early."""

# An answer that takes this many times the longest recent one is lost.
_LOST_AFTER = 4.0
# How much of the longest recent time is kept with each shorter answer.
_KEPT = 0.7
_GROWTH = 1.6


class AdaptiveTimeout:
    """A time-out that follows what the answers took, in seconds.

    It grows with each missing answer, since the service may have become slow,
    and shrinks again with the answers.
    """

    __slots__ = ('_least_s', '_longest_s', '_most_s')

    def __init__(self, least_s: float, most_s: float) -> None:
        """Begin at the least time-out; it never exceeds ``most_s``."""
        self._least_s = least_s
        self._most_s = most_s
        self._longest_s = 0.0

    @property
    def timeout_s(self) -> float:
        """Return how long to wait for the next answer."""
        wanted_s = self._longest_s * _LOST_AFTER
        return min(self._most_s, max(self._least_s, wanted_s))

    def answered(self, took_s: float) -> None:
        """Note an answer."""
        self._longest_s = max(took_s, self._longest_s * _KEPT)

    def missed(self) -> None:
        """Note that no answer came within the time-out."""
        self._longest_s = self.timeout_s * _GROWTH / _LOST_AFTER
