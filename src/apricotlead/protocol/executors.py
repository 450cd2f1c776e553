"""What an executor's answer to a service request amounts to."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExecutorClock:
    """A reading of an executor's monotonic clock, in milliseconds.

    It means nothing to another ``boot_id`` of the executor.
    """

    boot_id: str
    clock_ms: int


@dataclass(frozen=True, slots=True)
class ExecutorAnswered:
    """The whole answer to this very request.

    ``outstanding`` is the executor's own count of requests, ``None`` where
    it does not tell; ``leaving`` is set by an executor that drains.
    """

    status: int
    body: bytes
    content_type: str = 'application/octet-stream'
    outstanding: int | None = None
    leaving: bool = False
    clock: ExecutorClock | None = None


@dataclass(frozen=True, slots=True)
class ExecutorRefused:
    """It is proven that the request did not run.

    ``reachable`` is ``False`` where no connection could be made.
    """

    reachable: bool = True
    retry_after_s: float = 0.1
    leaving: bool = False
    clock: ExecutorClock | None = None


@dataclass(frozen=True, slots=True)
class ExecutorResultUnknown:
    """The request may have run: no answer, or one that is not its own."""

    reason: str


ExecutorResult = ExecutorAnswered | ExecutorRefused | ExecutorResultUnknown
