"""The interface of random sources; ``random.Random`` implements it."""

from collections.abc import MutableSequence, Sequence
from typing import Any, Protocol


class RandomSource(Protocol):
    """The subset of ``random.Random`` that scheduling decisions use."""

    def random(self) -> float:
        """Return a float in [0, 1)."""

    def uniform(self, low: float, high: float) -> float:
        """Return a float in [low, high]."""

    def sample(self, population: Sequence[Any], k: int) -> list[Any]:
        """Return ``k`` distinct members."""

    def choice(self, population: Sequence[Any]) -> Any:
        """Return one member."""

    def shuffle(self, members: MutableSequence[Any]) -> None:
        """Shuffle in place."""

    def getrandbits(self, bits: int) -> int:
        """Return an integer of ``bits`` random bits."""
