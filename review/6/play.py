"""One wide job is accepted among small ones."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import cell as kit

FINISH_S = 14.0
STALL_S = 3.0
KEY = '6x73d3zji9n73hh2b9wu'
TASKS = 1400


def body(count, cpu, work_ms):
    step = {'Count': count, 'Cpu': cpu, 'MemMb': 64, 'EstimatedMs': work_ms}
    return {'Spec': str(work_ms), 'Steps': [step]}


def play(trouble, cells):
    cell = kit.Cell(
        FOLDER,
        kit.config(
            [
                kit.route('r-ruddede', '/pufi791/', 2, 4.0, 3000, attempts=4),
                kit.route('r-v3nax7u', '/pule252/', 0, 1.5, 3000, attempts=2),
            ],
            [kit.tenant('kaje80', KEY, 100)],
        ),
    )
    cells.append(cell)
    # 24 executors of 64 cores and 256 GB, as on the sheet of nafoura-sched.
    cell.add_executors(24, 'huvo11a', 64000, 262144)
    cell.start()
    time.sleep(4)
    accepted = []

    def submit(number, prefix, content):
        job_id = f'5c0e7a21d94b{number:04x}'
        entry = cell.entries[number % len(cell.entries)]
        for _ in range(4):
            status, _ = cell.call(entry, 'POST', prefix + job_id, KEY, content)
            if status == 200:
                accepted.append(job_id)
            if status in (200, 400, 404):
                return
            time.sleep(1)

    def small(numbers):
        for number in numbers:
            submit(number, '/pule252/', body(2, 100, 500))
            time.sleep(0.15)

    small(range(10))
    # The same number of tasks, as one job or as 28 jobs.
    if trouble:
        submit(0x100, '/pufi791/', body(TASKS, 40, 2000))
    else:
        threads = [
            threading.Thread(
                target=submit,
                args=(0x100 + part, '/pufi791/', body(TASKS // 28, 40, 2000)),
            )
            for part in range(28)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    small(range(10, 40))
    end_s = time.monotonic()
    terms = set()
    idle_since_s = None
    longest_idle_s = 0.0
    broken = []
    while time.monotonic() < end_s + FINISH_S + 5:
        owner = cell.store.value('owner', 'cell', 'scheduler')
        terms.add(owner['epoch'])
        has_waiting = any(not cell.runs(job_id) for job_id in accepted)
        is_idle = not any(each.running for each in cell.executors)
        if has_waiting and is_idle:
            idle_since_s = idle_since_s or time.monotonic()
            longest_idle_s = max(longest_idle_s, time.monotonic() - idle_since_s)
        else:
            idle_since_s = None
        time.sleep(0.1)
    states = {}
    for job_id in accepted:
        number = int(job_id[-4:], 16)
        prefix = '/pufi791/' if number >= 0x100 else '/pule252/'
        entry = cell.entries[number % len(cell.entries)]
        _, content = cell.call(entry, 'GET', prefix + job_id, KEY)
        state = content.get('State') if isinstance(content, dict) else None
        states[state] = states.get(state, 0) + 1
    never = [job_id for job_id in accepted if not cell.runs(job_id)]
    cell.record.write(
        'summary',
        accepted=len(accepted),
        never_begun=len(never),
        states={str(key): count for key, count in states.items()},
        terms=len(terms),
        refused_writes=cell.store.refused,
        longest_idle_s=round(longest_idle_s, 1),
    )
    print(
        f'{len(accepted)} jobs accepted, {len(never)} never begun, {states}; '
        f'{len(terms)} terms; {cell.store.refused} writes refused by the store; '
        f'all executors idle beside waiting jobs for {longest_idle_s:.1f} s'
    )
    if longest_idle_s > STALL_S and never:
        broken.append(
            f'LOST: {len(never)} of {len(accepted)} accepted jobs have nothing '
            f'running for {longest_idle_s:.1f} s while all executors are idle, '
            f'and have not begun {FINISH_S + 5:.0f} s after the end of the traffic'
        )
    return broken


if __name__ == '__main__':
    kit.main(FOLDER, play)
