"""A start is carried out late by a new life behind a cut."""

import os
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import cell as kit

KEY = '6x73d3zji9n73hh2b9wu'
PREFIX = '/lohu930/'
JOB = '5c0e7a21d94b36f8'
LATE_S = 8.0
CUT_S = 9.0


def play(trouble, cells):
    cell = kit.Cell(
        FOLDER,
        kit.config(
            [kit.route('r-cpihhac', PREFIX, 1, 2.2, 1000)],
            [kit.tenant('kaje80', KEY, 100)],
        ),
    )
    cells.append(cell)
    # One of six is cut off; the sheet's site has a share of 0.17.
    cell.add_executors(6, 'huvo11a', 16000, 32768)
    cell.start()
    time.sleep(4)
    taken = []
    lock = threading.Lock()

    def late_rule(executor):
        def late_s(path, body):
            with lock:
                is_job = path == '/api/run-start' and JOB in body['Task']
                if not trouble or not is_job or taken:
                    return None
                taken.append(executor)
            cell.record.write(
                'start gets no answer', executor=executor.executor_id, late_s=LATE_S
            )
            return LATE_S

        return late_s

    for executor in cell.executors:
        executor.late_s = late_rule(executor)
        executor.cut_from_store = os.environ.get('STORE_REACHED') != '1'
    def others(first):
        # Other orders, so that one late start is less than a share of 0.055.
        for number in range(first, first + 12):
            small = {'Count': 1, 'Cpu': 100, 'MemMb': 64, 'EstimatedMs': 300}
            cell.call(
                cell.entries[number % 3],
                'POST',
                f'{PREFIX}a21d94b36f85{number:04x}',
                KEY,
                {'Spec': '300', 'Steps': [small]},
            )
            time.sleep(0.1)

    others(0)
    step = {'Count': 1, 'Cpu': 4500, 'MemMb': 4600, 'EstimatedMs': 16000}
    status, _ = cell.call(
        cell.entries[0],
        'POST',
        PREFIX + JOB,
        KEY,
        {'Spec': '16000', 'Steps': [step]},
    )
    if status != 200:
        raise kit.CannotRun(f'the job was answered {status}')
    began_s = time.monotonic()
    others(12)
    cell.wait(lambda: cell.runs(JOB), 5)
    time.sleep(max(0.0, began_s + 4.0 - time.monotonic()))
    if trouble:
        executor = taken[0]
        cell.record.write('cut', executor=executor.executor_id)
        executor.is_cut = True
        time.sleep(0.2)
        executor.crash_behind_cut()
        time.sleep(CUT_S - 0.2)
        executor.is_cut = False
        cell.record.write('cut heals', executor=executor.executor_id)
    time.sleep(20)
    cell.call(cell.entries[0], 'GET', PREFIX + JOB, KEY)
    runs = sorted(cell.runs(JOB), key=lambda run: run.began_s)
    broken = []
    for index, one in enumerate(runs):
        for other in runs[index + 1 :]:
            both_s = (one.ended_s or time.monotonic()) - other.began_s
            if both_s > 0:
                broken.append(
                    f'TWICE: run {one.number} on {one.executor.executor_id} and run '
                    f'{other.number} on {other.executor.executor_id} of {one.task} '
                    f'ran at the same time for {both_s:.2f} s'
                )
    return broken


if __name__ == '__main__':
    kit.main(FOLDER, play)
