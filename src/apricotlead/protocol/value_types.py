"""Types of the numbers in messages from outside.

JSON has no largest number, and Python's integers have none either, but their
quotients are floats: an integer beyond the range of a float raises an error
wherever a fraction of it is computed.
"""

from typing import Annotated

from msgspec import Meta

# Integers up to here are exact as a float, too.
MAX_MAGNITUDE = 2**53 - 1

Amount = Annotated[int, Meta(ge=0, le=MAX_MAGNITUDE)]
Number = Annotated[float, Meta(ge=-MAX_MAGNITUDE, le=MAX_MAGNITUDE)]
