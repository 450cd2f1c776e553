"""The exceptions that decoders raise for a malformed message."""

import msgspec

# Deeply nested JSON exceeds the recursion limit.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
# Row values are base64-encoded JSON; malformed base64 raises ValueError.
VALUE_DECODE_ERRORS = (ValueError, *DECODE_ERRORS)
