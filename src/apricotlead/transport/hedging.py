"""Repeating a call that may have been lost without giving up the first."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import eventlet
from eventlet.queue import Empty, LightQueue


def hedged(
    call: Callable[[], Any],
    after_s: float,
    is_failure: Callable[[Any], bool],
) -> Any:
    """Return the first good answer of at most two like calls.

    The second leaves ``after_s`` seconds after the first if that has not been
    answered. A slow service then answers the first, one that loses answers
    the second. The call must bound its own time, and must not take effect
    twice. What it raises is raised here.
    """
    answers: LightQueue = LightQueue()
    eventlet.spawn_n(_run, call, answers)
    with suppress(Empty):
        return _checked(answers.get(timeout=after_s))
    eventlet.spawn_n(_run, call, answers)
    answer = _checked(answers.get())
    return _checked(answers.get()) if is_failure(answer) else answer


def _run(call: Callable[[], Any], answers: LightQueue) -> None:
    try:
        answers.put(call())
    except Exception as error:
        answers.put(error)


def _checked(answer: Any) -> Any:
    if isinstance(answer, Exception):
        raise answer
    return answer
