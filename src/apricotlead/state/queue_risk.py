"""How likely the work of a queue is to crash the workers that start it."""

from collections import deque

from apricotlead.state.cell_jobs import StepState

# The latest starts that count. Few, so that a change is noticed soon.
_STARTS = 12


class QueueRisk:
    """The latest first starts of a queue's steps, and which of them crashed."""

    __slots__ = ('_starts', 'is_high')

    def __init__(self) -> None:
        """Begin without starts."""
        self._starts: deque[tuple[float, StepState]] = deque(maxlen=_STARTS)
        # Whether further starts are limited.
        self.is_high = False

    def note_start(self, step: StepState, now: float) -> None:
        """Record the first start of a step."""
        self._starts.append((now, step))

    def crashed_share(self) -> float:
        """Return the share of the latest starts that crashed a worker.

        Starts that are not known count as if they had not.
        """
        crashed = sum(step.has_crashed for _, step in self._starts)
        return crashed / _STARTS

    def starts_since(self, since_s: float) -> int:
        """Return how many of the latest starts are later."""
        return sum(start_s > since_s for start_s, _ in self._starts)
