"""The possible results of a service request to an executor."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExecutorClock:
    """A reading of an executor's monotonic clock, in milliseconds.

    It is only valid for this ``boot_id`` of the executor.
    """

    boot_id: str
    clock_ms: int


@dataclass(frozen=True, slots=True)
class ExecutorAnswered:
    """The complete answer to this request.

    ``outstanding`` is the executor's own count of requests in progress,
    ``None`` if it does not report one. ``leaving`` is set if the executor is
    draining.
    """

    status: int
    body: bytes
    content_type: str = 'application/octet-stream'
    outstanding: int | None = None
    leaving: bool = False
    clock: ExecutorClock | None = None


@dataclass(frozen=True, slots=True)
class ExecutorRefused:
    """The request is known not to have run.

    ``reachable`` is ``False`` if no connection could be established.
    """

    reachable: bool = True
    retry_after_s: float = 0.1
    leaving: bool = False
    clock: ExecutorClock | None = None


@dataclass(frozen=True, slots=True)
class ExecutorResultUnknown:
    """The request may have run: no answer, or the answer to another one.

    With ``is_broken`` the connection ended instead of an answer, as it does
    when the executor crashes.
    """

    reason: str
    is_broken: bool = False


ExecutorResult = ExecutorAnswered | ExecutorRefused | ExecutorResultUnknown
