"""What decoders raise for a message that cannot be read."""

import msgspec

# Values that are nested too deeply are refused by the recursion limit.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
# Values of rows are in base64, which may be malformed as well.
VALUE_DECODE_ERRORS = (ValueError, *DECODE_ERRORS)
