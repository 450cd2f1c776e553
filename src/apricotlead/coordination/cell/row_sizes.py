"""Sizes of rows and writes, as the platform's store limits them."""

from itertools import islice
from typing import Any

import msgspec

from apricotlead.protocol.table import Put

# Of the key and the names of the fields around a value in a write.
_ENTRY_BYTES = 300

_encoder = msgspec.json.Encoder()


def encoded_bytes(content: Any) -> int:
    """Return the size of a struct or of JSON builtins as a row's value."""
    return len(_encoder.encode(content))


def max_value_bytes(row_bytes: int) -> int:
    """Return how many bytes a value may have if a row takes ``row_bytes``.

    Values are sent in base64, which makes them a third larger. The store's
    limit may apply to either form.
    """
    return row_bytes * 3 // 4


def least_row_bytes(value_bytes: int) -> int:
    """Return the limit of a row that allows values of ``value_bytes``."""
    return value_bytes * 4 // 3


def sent_bytes(value_bytes: int) -> int:
    """Return the size of an entry in a write whose value has ``value_bytes``."""
    return value_bytes * 4 // 3 + _ENTRY_BYTES


def put_bytes(put: Put) -> int:
    """Return the size of an entry in a write."""
    return sent_bytes(encoded_bytes(put.value))


def divide_entries(
    entries_by_key: dict[str, Any], max_bytes: int
) -> list[dict[str, Any]]:
    """Divide entries among values of at most ``max_bytes`` each.

    A single entry that is larger is left out. The result has at least one
    value, which may be empty.
    """
    if encoded_bytes(entries_by_key) <= max_bytes:
        return [entries_by_key]
    count = len(entries_by_key)
    if count == 1:
        return [{}]
    entries = iter(entries_by_key.items())
    first_half = dict(islice(entries, count // 2))
    halves = (first_half, dict(entries))
    return [
        chunk for half in halves for chunk in divide_entries(half, max_bytes)
    ]
