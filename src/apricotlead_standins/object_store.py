"""In-memory object store."""


class ObjectStore:
    """Objects by key; the last write wins."""

    __slots__ = ('_contents_by_key',)

    def __init__(self) -> None:
        """Create an empty store."""
        self._contents_by_key: dict[str, bytes] = {}

    def put(self, key: str, body: bytes) -> None:
        """Create or replace an object."""
        self._contents_by_key[key] = body

    def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        return self._contents_by_key.get(key)

    def delete(self, key: str) -> None:
        """Delete an object; a missing object is not an error."""
        self._contents_by_key.pop(key, None)
