"""A client cancels a job whose submission got no answer."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import cell as kit

CANCEL_S = 3.0
STOP_S = 0.9
LATE_S = 5.0
JOB = '5c0e7a21d94b36f8'
PATH = f'/lohu930/{JOB}'
BODY = {
    'Spec': '1000',
    'Steps': [{'Count': 2, 'Cpu': 1000, 'MemMb': 256, 'EstimatedMs': 1000}],
}


def play(trouble, cells):
    cell = kit.Cell(
        FOLDER,
        kit.config(
            [kit.route('r-cpihhac', '/lohu930/', 1, 2.2, 3000)],
            [kit.tenant('kaje80', '6x73d3zji9n73hh2b9wu', 16)],
        ),
    )
    cells.append(cell)
    cell.add_executors(4, 'huvo11a', 16000, 32768)
    cell.start()
    time.sleep(4)
    key = '6x73d3zji9n73hh2b9wu'
    # The instance that takes the job is not the one that schedules.
    taker, *others = [each for each in cell.entries if each is not cell.scheduler()]
    other = others[0]
    seen = threading.Event()

    def late_s(body):
        is_job = any(row['Key'] == JOB for row in body['Writes'])
        if trouble and is_job and not seen.is_set():
            seen.set()
            cell.record.write('store withholds the write of the job', late_s=LATE_S)
            return LATE_S
        return None

    cell.store.late_s = late_s

    def kill():
        if seen.wait(5):
            time.sleep(0.02)
            cell.record.write('kill', entry=taker.name)
            taker.end()
            # The platform starts a killed process again.
            time.sleep(1)
            taker.start()

    killer = threading.Thread(target=kill, daemon=True)
    if trouble:
        killer.start()
    status, _ = cell.call(taker, 'POST', PATH, key, BODY)
    if trouble:
        if status != 0:
            raise kit.CannotRun(f'the submission was answered {status}')
    # The client has no answer and gives up: it cancels instead of a repeat.
    status, _ = cell.call(other, 'DELETE', PATH, key)
    acked_s = time.monotonic()
    if status not in (200, 410):
        raise kit.CannotRun(f'the cancel was answered {status}')
    time.sleep(LATE_S + 6)
    cell.call(other, 'GET', PATH, key)
    broken = []
    for run in cell.runs(JOB):
        after_s = run.began_s - acked_s
        if after_s > CANCEL_S:
            broken.append(
                f'UNASKED: {run.task} run {run.number} was started '
                f'{after_s:.2f} s after its cancel was answered {status}'
            )
        elif (run.ended_s or time.monotonic()) - acked_s > CANCEL_S + STOP_S:
            broken.append(f'UNASKED: {run.task} runs on after its cancel')
    return broken


if __name__ == '__main__':
    kit.main(FOLDER, play)
