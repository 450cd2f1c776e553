"""Parser of the commands that simulated tasks run."""

import re
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from apricotlead_standins.worker_messages import TaskSpec

_SEPARATOR = re.compile('[;&]+')


class Payload(Struct, frozen=True):
    """Duration in seconds, result, output and resource use of a task.

    ``use_factor`` is the actual resource use divided by the demand.
    """

    run_s: float
    fails: bool = False
    output: str = ''
    use_factor: float = 1.0


def parse_payload(task: TaskSpec) -> Payload:
    """Parse the command: ``fail``, ``sleep N``, ``echo TEXT``, ``use F``.

    Statements are separated by ``;`` or ``&&``; unknown ones are ignored. An
    invalid number makes the task fail, as it would a shell command.
    """
    payload = Payload(task.run_s)
    for statement in _SEPARATOR.split(task.command):
        word, _, argument = statement.strip().partition(' ')
        fields = _FIELDS_BY_WORD.get(word)
        if fields is not None:
            payload = replace(payload, **fields(argument.strip()))
    return payload


def _number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float('inf') else None


def _fail(_: str) -> dict[str, Any]:
    return {'fails': True}


def _echo(text: str) -> dict[str, Any]:
    return {'output': text}


def _sleep(text: str) -> dict[str, Any]:
    seconds = _number(text)
    return {'fails': True} if seconds is None else {'run_s': seconds}


def _use(text: str) -> dict[str, Any]:
    factor = _number(text)
    return {'fails': True} if factor is None else {'use_factor': factor}


_FIELDS_BY_WORD = {
    'fail': _fail,
    'echo': _echo,
    'sleep': _sleep,
    'use': _use,
}
