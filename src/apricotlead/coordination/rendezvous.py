"""Rendezvous hashing: all sessions agree on who takes what.

A member that joins or leaves moves only the keys that it gains or loses.
"""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

_DIGEST_BYTES = 8


def score(key: str, member: str) -> bytes:
    """Return the weight of ``member`` for ``key``; the largest wins."""
    pair = f'{member}/{key}'.encode()
    return blake2b(pair, digest_size=_DIGEST_BYTES).digest()


def preferred(key: str, members: Sequence[str]) -> str:
    """Return the member that takes ``key``; ``members`` is not empty."""
    return max(members, key=lambda member: score(key, member))


def rank_of(key: str, member: str, members: Iterable[str]) -> int:
    """Return how many of ``members`` come before ``member`` for ``key``."""
    own = score(key, member)
    return sum(score(key, one) > own for one in members if one != member)
