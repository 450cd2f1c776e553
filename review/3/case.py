"""An entry of another writer among the executors' entries."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))
from standins import Executor, config, main  # noqa: E402

JOBS = 20
ENTRY_AT = 10
FINISH_S = 14
# A service that the pages and the config don't name, some fields of the
# executors' entries missing, and an address that nothing can have.
FOREIGN = {
    'Service': 'print-spool', 'Address': '127.0.0.1:70000',
    'Zone': 'abdali', 'State': 'ready',
    'Capacity': {'Cpu': 4000, 'MemMb': 8192},
}


async def play(cell, trouble):
    chance = random.Random(5)
    capacity = {'Cpu': 64000, 'MemMb': 262144, 'Gpu': 0}
    executors = [
        Executor(cell.record, cell.store, f'i-{number:010x}', capacity)
        for number in (0x6a876a1f27, 0xc5f3720820, 0xeb5e43d719)
    ]
    await cell.start(executors, config())
    paths = []
    for number in range(JOBS):
        if trouble and number == ENTRY_AT:
            cell.store.put('servers', 'spool-7', FOREIGN)
            cell.record.write('foreign entry', entry=json.dumps(FOREIGN))
            await asyncio.sleep(1)
        path = f'/lohu930/{chance.getrandbits(64):016x}'
        body = {
            'Spec': json.dumps({'cpu': 4000, 'work_s': 1.0}),
            'Steps': [{
                'Count': 2, 'Cpu': 4000, 'MemMb': 8000, 'EstimatedMs': 1000,
            }],
        }
        status, _ = await cell.request('POST', path, body)
        if status == 200:
            paths.append(path)
        await asyncio.sleep(0.5)
    await asyncio.sleep(FINISH_S)
    return await never_run(cell, executors, paths)


async def never_run(cell, executors, paths):
    """Return the accepted jobs with nothing running in an empty service.

    LOST: a job has nothing running for 3 s, though there is room for it
    twice over and under half of the service's capacity is in use.
    """
    began = {
        run.task.partition('.')[0] for each in executors for run in each.runs
    }
    broken = []
    for path in paths:
        _, answer = await cell.request('GET', path)
        is_done = answer.get('State') == 'completed'
        if not is_done and path.rpartition('/')[2] not in began:
            broken.append((path, answer.get('State'), 'nothing ever ran'))
        elif not is_done:
            broken.append((path, answer.get('State'), 'nothing runs'))
    # Nothing has begun or ended anywhere for 3 s, and the service is empty.
    in_use = sum(each.used_cpu() for each in executors)
    quiet_s = time.monotonic() - max(
        max(run.started_s, run.ended_s or 0)
        for each in executors
        for run in each.runs
    )
    cell.record.write('at the end', cpu_in_use=in_use, quiet_s=quiet_s)
    return broken if in_use == 0 and quiet_s > 3 else []


main(FOLDER, play)
