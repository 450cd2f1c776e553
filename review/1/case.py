"""The store turns the scheduler's machine away for a short time, in turn."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))
from standins import Executor, config, main  # noqa: E402

# All instances are over 30 s old by then, and none is preferred for its age.
CALM_S = 28
TURNS = 4
BETWEEN_S = 1.8
AWAY_S = 2.0
# The traffic goes on that long after the last turn.
AFTER_S = 12
FINISH_S = 14
EXECUTOR_CPU = 16000
TASK_CPU = 200
WORK_S = 0.8


async def play(cell, trouble):
    chance = random.Random(3)
    capacity = {'Cpu': EXECUTOR_CPU, 'MemMb': 65536, 'Gpu': 0}
    executors = [
        Executor(cell.record, cell.store, f'i-{number:010x}', capacity)
        for number in (0x6a876a1f27, 0xc5f3720820, 0xeb5e43d719)
    ]
    await cell.start(executors, config(), instance_count=6)
    paths = []
    load = asyncio.create_task(submit_jobs(cell, chance, paths))
    await asyncio.sleep(CALM_S)
    for _ in range(TURNS):
        await asyncio.sleep(BETWEEN_S)
        name = cell.scheduler().name
        if trouble:
            cell.record.write('store turns away', node=name)
            cell.paths_by_name[name].turn_away()
        await asyncio.sleep(AWAY_S)
        cell.paths_by_name[name].admit()
        note_channels(cell, executors)
    await load
    await asyncio.sleep(FINISH_S)
    note_channels(cell, executors)
    return await not_running(cell, executors, paths)


async def submit_jobs(cell, chance, paths):
    """Hand in work for about a third of the executors' capacity."""
    loop = asyncio.get_running_loop()
    ends_s = (
        loop.time() + CALM_S + TURNS * (BETWEEN_S + AWAY_S) + AFTER_S
    )
    calls = []
    while loop.time() < ends_s:
        path = f'/lohu930/{chance.getrandbits(64):016x}'
        calls.append(asyncio.create_task(submit(cell, path, paths)))
        await asyncio.sleep(0.5)
    await asyncio.gather(*calls)


async def submit(cell, path, paths):
    body = {
        'Spec': json.dumps({'cpu': TASK_CPU, 'work_s': WORK_S}),
        'Steps': [{
            'Count': 48, 'Cpu': TASK_CPU, 'MemMb': 50, 'MaxPerServer': 16,
            'EstimatedMs': WORK_S * 1000,
        }],
    }
    status, _ = await cell.request('POST', path, body)
    if status == 200:
        paths.append(path)


def note_channels(cell, executors):
    cell.record.write(
        'channels', open=[each.channel_count for each in executors],
        reset=[each.refused_channels for each in executors],
        epoch=cell.owner()['epoch'],
    )


async def not_running(cell, executors, paths):
    """Return the accepted jobs that have had nothing running for 3 s.

    It counts if under half of the capacity is in use; a task of these jobs
    then has room many times over. The tenant has no limit.
    """
    broken = []
    now = time.monotonic()
    in_use = sum(each.used_cpu() for each in executors)
    latest_s = {}
    for run in (run for each in executors for run in each.runs):
        job_id = run.task.partition('.')[0]
        ended_s = now if run.ended_s is None else run.ended_s
        latest_s[job_id] = max(latest_s.get(job_id, 0), ended_s)
    for path in paths:
        _, answer = await cell.request('GET', path)
        idle_s = now - latest_s.get(path.rpartition('/')[2], 0)
        if answer.get('State') in {'queued', 'running'} and idle_s > 3:
            broken.append((path, answer['State']))
    cell.record.write(
        'at the end', cpu_in_use=in_use, accepted=len(paths),
        not_running=len(broken),
    )
    return broken if 2 * in_use < len(executors) * EXECUTOR_CPU else []


main(FOLDER, play)
