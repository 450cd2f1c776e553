"""The config lowers a tenant's limit below what a task of its jobs needs."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))
from standins import SERVICE, Executor, config, main  # noqa: E402

EXECUTORS = 3
EXECUTOR_CPU = 64000
TASK_CPU = 18000
LIMIT_CPU = 60000
LOWERED_CPU = 16000
JOBS = 6
FINISH_S = 20


async def play(cell, trouble):
    chance = random.Random(9)
    capacity = {'Cpu': EXECUTOR_CPU, 'MemMb': 262144, 'Gpu': 0}
    executors = [
        Executor(cell.record, cell.store, f'i-{number:010x}', capacity)
        for number in (0x6a876a1f27, 0xc5f3720820, 0xeb5e43d719)
    ]
    await cell.start(executors, config(max_cpu=LIMIT_CPU))
    paths = []
    for _ in range(JOBS):
        path = f'/lohu930/{chance.getrandbits(64):016x}'
        body = {
            'Spec': json.dumps({'cpu': TASK_CPU, 'work_s': 5.0}),
            'Steps': [{
                'Count': 1, 'Cpu': TASK_CPU, 'MemMb': 30000,
                'EstimatedMs': 5000,
            }],
        }
        status, _ = await cell.request('POST', path, body)
        if status == 200:
            paths.append(path)
    await asyncio.sleep(1)
    if trouble:
        lowered = config(max_cpu=LOWERED_CPU)
        lowered['Version'] = 19
        cell.store.put('op', 'config', lowered)
        cell.record.write('config', version=19, max_cpu=LOWERED_CPU)
    await asyncio.sleep(FINISH_S)
    return await not_running(cell, executors, paths, trouble)


async def not_running(cell, executors, paths, trouble):
    """Return the accepted jobs that LOST counts."""
    now = time.monotonic()
    runs = [run for each in executors for run in each.runs]
    in_use = sum(each.used_cpu() for each in executors)
    idle_s = now - max(run.ended_s or now for run in runs)
    rooms = sum(
        (EXECUTOR_CPU - each.used_cpu()) // TASK_CPU for each in executors
    )
    limit = LOWERED_CPU if trouble else LIMIT_CPU
    cell.record.write(
        'at the end', service=SERVICE, cpu_in_use=in_use, max_cpu=limit,
        room_for_tasks=rooms, nothing_runs_for_s=round(idle_s, 1),
    )
    # The service has room for the task twice over, under half of it is in
    # use, and the tenant has under half of its limit, all for over 3 s.
    is_free = rooms >= 2 and 2 * in_use < EXECUTORS * EXECUTOR_CPU
    if not is_free or 2 * in_use >= limit or idle_s <= 3:
        return []
    broken = []
    for path in paths:
        _, answer = await cell.request('GET', path)
        if answer.get('State') in {'queued', 'running'}:
            broken.append((path, answer['State']))
    return broken


main(FOLDER, play)
