"""The three possible outcomes of a request."""

from dataclasses import dataclass
from typing import Any

from apricotlead.protocol.errors import ApricotleadError


@dataclass(frozen=True, slots=True)
class Done:
    """The request was carried out; ``answer`` is a struct or builtins."""

    answer: Any = None


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not carried out and never will be.

    ``retry_after_s`` is the delay before a retry, in seconds; ``None`` if a
    retry cannot succeed.
    """

    error: ApricotleadError
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """It is unknown whether the request was carried out."""

    error: ApricotleadError


Outcome = Done | NotRun | MayHaveRun
