"""Objects by key."""


class ObjectStore:
    """Whole objects; the last write wins."""

    __slots__ = ('_contents_by_key',)

    def __init__(self) -> None:
        """Begin empty."""
        self._contents_by_key: dict[str, bytes] = {}

    def put(self, key: str, body: bytes) -> None:
        """Create or replace an object."""
        self._contents_by_key[key] = body

    def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` when absent."""
        return self._contents_by_key.get(key)

    def delete(self, key: str) -> None:
        """Delete an object; an absent one is no error."""
        self._contents_by_key.pop(key, None)
