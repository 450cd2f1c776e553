"""Repeating a call that may have been lost without giving up the first."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import eventlet
from eventlet.queue import Empty, LightQueue

# A healthy store takes 20 ms. A second write costs one call too many in a
# store that has become slow.
MIN_HEDGE_DELAY_S = 0.15
# Where three answers of ten are lost, one call in a hundred loses all.
_MAX_CALLS = 4
_SPREAD = 2


def hedged(
    call: Callable[[], Any],
    after_s: float,
    is_failure: Callable[[Any], bool],
    max_calls: int = _MAX_CALLS,
) -> Any:
    """Return the first good answer of at most ``max_calls`` like calls.

    The second leaves ``after_s`` seconds after the first if that has not been
    answered, each further one after twice as long. A slow service then
    answers the first, one that loses answers a later one. A failure is
    returned when no call is under way that could do better. The call must
    bound its own time, and must not take effect twice. What it raises is
    raised here.
    """
    answers: LightQueue = LightQueue()
    open_count = 0
    wait_s: float | None = after_s
    answer = None
    for number in range(1, max_calls + 1):
        eventlet.spawn_n(_run, call, answers)
        open_count += 1
        if number == max_calls:
            wait_s = None
        with suppress(Empty):
            answer = _checked(answers.get(timeout=wait_s))
            break
        wait_s = after_s * _SPREAD**number
    while open_count > 1 and is_failure(answer):
        open_count -= 1
        answer = _checked(answers.get())
    return answer


def _run(call: Callable[[], Any], answers: LightQueue) -> None:
    try:
        answers.put(call())
    except Exception as error:
        answers.put(error)


def _checked(answer: Any) -> Any:
    if isinstance(answer, Exception):
        raise answer
    return answer
