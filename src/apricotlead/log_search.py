"""Searches the logs of all instances for the history of one job."""

from collections.abc import Iterable
from typing import Any

import msgspec

# Events that affect jobs without naming them.
_CONTEXT_KINDS = frozenset(
    (
        'journal blocked',
        'journal resumed',
        'term begun',
        'term ended',
        'worker contact lost',
    ),
)
_decoder = msgspec.json.Decoder(dict[str, Any])


def explain_job(job_id: str, lines: Iterable[str]) -> list[str]:
    """Return the lines about a job, and context events meanwhile, by time.

    Text before the first brace of a line, such as the prefix of a log
    collector, is ignored, and so are lines that are not JSON.
    """
    records = [
        record
        for record in map(_parse, lines)
        if record is not None and _is_about(job_id, record)
    ]
    records.sort(key=lambda record: record['timestamp'])
    times = [
        record['timestamp']
        for record in records
        if record['message_type'] not in _CONTEXT_KINDS
    ]
    if not times:
        return []
    return [
        _render(record, times[0])
        for record in records
        if times[0] <= record['timestamp'] <= times[-1]
    ]


def _parse(line: str) -> dict[str, Any] | None:
    try:
        record = _decoder.decode(line[line.find('{') :].strip())
    except msgspec.MsgspecError:
        return None
    is_complete = 'message_type' in record and 'timestamp' in record
    return record if is_complete else None


def _is_about(job_id: str, record: dict[str, Any]) -> bool:
    if record['message_type'] in _CONTEXT_KINDS:
        return True
    names = (record.get('job', ''), record.get('task', ''))
    step = record.get('step', '')
    return any(str(name).startswith(job_id) for name in (*names, step))


def _render(record: dict[str, Any], first_s: float) -> str:
    fields_by_name = {
        name: value
        for name, value in record.items()
        if name not in {'message_type', 'timestamp', 'instance', 'job'}
    }
    fields = ' '.join(
        f'{name}={value}' for name, value in fields_by_name.items()
    )
    after_s = round(record['timestamp'] - first_s, 3)
    instance = record.get('instance', '')
    kind = record['message_type']
    return f'{after_s} {instance} {kind}: {fields}'
