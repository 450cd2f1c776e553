"""Hedged calls: repeat a call that may be lost, and keep waiting for it."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import eventlet
from eventlet.queue import Empty, LightQueue

# A healthy store takes 20 ms. A shorter delay would send needless second
# writes to a store that has become slow.
MIN_HEDGE_DELAY_S = 0.15
# If 30 % of the answers are lost, all four are lost in about 1 % of cases.
MAX_CALLS = 4
_DELAY_GROWTH = 2


def always() -> bool:
    """Let a further call be sent whenever it is due."""
    return True


def hedged(
    call: Callable[[], Any],
    delay_s: float,
    is_failure: Callable[[Any], bool],
    max_calls: int = MAX_CALLS,
    may_repeat: Callable[[], bool] = always,
) -> Any:
    """Return the first successful answer of at most ``max_calls`` calls.

    The second call is sent ``delay_s`` seconds after the first if that has not
    been answered, each further one after twice the previous delay. A slow
    service then answers the first call, and a service that loses answers a
    later one. Each further call waits for as long as ``may_repeat()`` is false.
    A failure is returned only when no other call is pending. The call must have
    its own timeout and must be idempotent. An exception that it raises is
    raised here.
    """
    answers: LightQueue = LightQueue()
    pending_count = 0
    wait_s: float | None = delay_s
    answer = None
    for number in range(1, max_calls + 1):
        eventlet.spawn_n(_run, call, answers)
        pending_count += 1
        if number == max_calls:
            wait_s = None
        with suppress(Empty):
            answer = _raise_or_return(_wait(answers, wait_s, may_repeat))
            break
        wait_s = delay_s * _DELAY_GROWTH**number
    while pending_count > 1 and is_failure(answer):
        pending_count -= 1
        answer = _raise_or_return(answers.get())
    return answer


def _wait(
    answers: LightQueue,
    wait_s: float | None,
    may_repeat: Callable[[], bool],
) -> Any:
    """Return the next answer; raise ``Empty`` when a further call is due."""
    while True:
        try:
            return answers.get(timeout=wait_s)
        except Empty:
            if may_repeat():
                raise


def _run(call: Callable[[], Any], answers: LightQueue) -> None:
    try:
        answers.put(call())
    except Exception as error:
        answers.put(error)


def _raise_or_return(answer: Any) -> Any:
    if isinstance(answer, Exception):
        raise answer
    return answer
