"""Rendezvous hashing: all sessions agree on the assignment of keys.

A member that joins or leaves moves only the keys that it gains or loses.
"""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

_DIGEST_BYTES = 8


def score(key: str, member: str) -> bytes:
    """Return the score of ``member`` for ``key``; the highest one wins."""
    pair = f'{member}/{key}'.encode()
    return blake2b(pair, digest_size=_DIGEST_BYTES).digest()


def preferred(key: str, members: Sequence[str]) -> str:
    """Return the member that gets ``key``; ``members`` must not be empty."""
    return max(members, key=lambda member: score(key, member))


def rank_of(key: str, member: str, members: Iterable[str]) -> int:
    """Return how many of ``members`` rank before ``member`` for ``key``."""
    own = score(key, member)
    return sum(score(key, one) > own for one in members if one != member)
