"""More than 500 ends wait on one executor during an outage of the store."""

import asyncio
import json
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))
from standins import Executor, broken_twice, config, main  # noqa: E402

JOBS = 12
TASKS = 60
TASK_CPU = 80
SUBMIT_EVERY_S = 0.5
# When the first tasks end, after the first submission.
FIRST_END_S = 12.0
OUTAGE_S = 4.2


async def play(cell, trouble):
    chance = random.Random(7)
    capacity = {'Cpu': 64000, 'MemMb': 262144, 'Gpu': 0}
    executors = [
        Executor(cell.record, cell.store, f'i-{number:010x}', capacity)
        for number in (0x6a876a1f27, 0xc5f3720820, 0xeb5e43d719)
    ]
    await cell.start(executors, config())
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    paths = []
    for number in range(JOBS):
        path = f'/lohu930/{chance.getrandbits(64):016x}'
        work_s = began_s + FIRST_END_S + number * 0.1 - loop.time()
        body = {
            'Spec': json.dumps({'cpu': TASK_CPU, 'work_s': round(work_s, 3)}),
            'Steps': [{
                'Count': TASKS, 'Cpu': TASK_CPU, 'MemMb': 100,
                'EstimatedMs': int(work_s * 1000),
            }],
        }
        status, _ = await cell.request('POST', path, body)
        if status == 200:
            paths.append(path)
        await asyncio.sleep(SUBMIT_EVERY_S)
    # All tasks run by now, and none has ended.
    await asyncio.sleep(began_s + FIRST_END_S - 0.3 - loop.time())
    if trouble:
        cell.record.write('store down')
        cell.store.is_down = True
        await asyncio.sleep(OUTAGE_S)
        cell.store.is_down = False
        cell.record.write('store up')
    for _ in range(40):
        await asyncio.sleep(1)
        states = [
            (await cell.request('GET', path))[1].get('State')
            for path in paths
        ]
        if all(state == 'completed' for state in states):
            break
    cell.record.write('states', states=states)
    return broken_twice(executors)


main(FOLDER, play)
