"""Defines the injected faults, each as a process that starts and ends it."""

from collections.abc import Callable
from random import Random

from apricotlead.protocol.resources import Resources
from tests.faulty.cell import FaultyCell
from tests.faulty.term import HEALTHY_WRITE_S
from tests.faulty.timeline import Process
from tests.faulty.workers import FaultyWorker

_Fault = Callable[[FaultyCell], Process]
_faults_by_name: dict[str, _Fault] = {}
# Faults that only tests which name them inject, so that the seeds of the others
# keep their schedules.
_named_only = frozenset(('capacity shrinks', 'workers crash'))
_MAX_FAULTS = 6
_DRAIN_S = 3.0
_SLOW_WRITES_S = (0.3, 1.0, 2.5)


def draw_faults(seed: int) -> tuple[str, ...]:
    """Return the names of a seed's faults; a name may occur twice."""
    draw = Random(f'faults {seed}')
    count = draw.randint(1, _MAX_FAULTS)
    names = sorted(_faults_by_name.keys() - _named_only)
    return tuple(draw.choices(names, k=count))


def inject(cell: FaultyCell, name: str) -> Process:
    """Inject a fault at a random time before 80 % of the traffic's duration."""
    yield cell.random.uniform(1, cell.shape.duration_s * 0.8)
    yield from _faults_by_name[name](cell)


def _fault(name: str) -> Callable[[_Fault], _Fault]:
    """Return a decorator that registers a fault under ``name``."""

    def register(fault: _Fault) -> _Fault:
        _faults_by_name[name] = fault
        return fault

    return register


def _sample_workers(cell: FaultyCell, share: float) -> list[FaultyWorker]:
    live = cell.live_workers
    return cell.random.sample(live, max(1, round(len(live) * share)))


def _draw_duration_s(cell: FaultyCell, min_s: float, max_s: float) -> float:
    """Draw how long a fault lasts; it ends with the traffic at the latest."""
    max_s = min(max_s, cell.traffic_end_s - cell.now)
    return max(0.01, cell.random.uniform(min(min_s, max_s), max_s))


@_fault('workers cut off')
def _cut_workers(cell: FaultyCell) -> Process:
    workers = _sample_workers(cell, 0.4)
    for worker in workers:
        worker.is_disconnected = True
    yield _draw_duration_s(cell, 0.5, 9)
    for cut in workers:
        cut.is_disconnected = False


@_fault('workers restart')
def _restart_workers(cell: FaultyCell) -> Process:
    workers = _sample_workers(cell, 0.2)
    for worker in workers:
        worker.terminate()
    yield _draw_duration_s(cell, 0.2, 5)
    for ended_worker in workers:
        keeps_id = cell.random.random() < 0.5
        cell.add_worker(ended_worker.entry.worker_id if keeps_id else '')


@_fault('workers crash')
def _crash_workers(cell: FaultyCell) -> Process:
    for worker in _sample_workers(cell, 0.15):
        cell.timeline.spawn(cell.crash_worker(worker))
    yield 0


@_fault('capacity shrinks')
def _shrink_capacity(cell: FaultyCell) -> Process:
    workers = _sample_workers(cell, 0.4)
    for worker in workers:
        whole = worker.entry.capacity
        worker.change_capacity(
            Resources(whole.cpu_millis // 3, whole.memory_mb // 3)
        )
    yield _draw_duration_s(cell, 3, 8)
    for shrunk in workers:
        if not shrunk.has_ended:
            shrunk.change_capacity(cell.shape.capacity)


@_fault('workers leave')
def _drain_workers(cell: FaultyCell) -> Process:
    workers = _sample_workers(cell, 0.15)
    for worker in workers:
        worker.drain(_DRAIN_S)
        cell.register(worker)
    yield _DRAIN_S
    for leaving in workers:
        leaving.terminate()


@_fault('workers fail all')
def _fail_all(cell: FaultyCell) -> Process:
    workers = _sample_workers(cell, 0.2)
    for worker in workers:
        worker.fails_all_tasks = True
    yield _draw_duration_s(cell, 1, 6)
    for failing in workers:
        failing.fails_all_tasks = False


@_fault('answers lost')
def _lose_answers(cell: FaultyCell) -> Process:
    cell.links.lost_share = 0.25
    yield _draw_duration_s(cell, 1, 8)
    cell.links.lost_share = 0


@_fault('orders late')
def _delay_orders(cell: FaultyCell) -> Process:
    cell.links.late_share = 0.15
    yield _draw_duration_s(cell, 1, 8)
    cell.links.late_share = 0


@_fault('store slow')
def _slow_store(cell: FaultyCell) -> Process:
    cell.environment.write_s = cell.random.choice(_SLOW_WRITES_S)
    yield _draw_duration_s(cell, 1, 8)
    cell.environment.write_s = HEALTHY_WRITE_S


@_fault('askers lost')
def _lose_askers(cell: FaultyCell) -> Process:
    askers = cell.environment.askers
    count = cell.random.randint(1, len(askers) - 1)
    cell.advice.lost_askers = frozenset(cell.random.sample(askers, count))
    yield _draw_duration_s(cell, 1, 8)
    cell.advice.lost_askers = frozenset()


@_fault('hand-over')
def _hand_over(cell: FaultyCell) -> Process:
    if cell.term is not None:
        cell.end_term()
        yield _draw_duration_s(cell, 0.05, 0.8)
        cell.begin_term()


@_fault('hand-overs in series')
def _hand_over_again(cell: FaultyCell) -> Process:
    for _ in range(3):
        yield from _hand_over(cell)
        yield _draw_duration_s(cell, 0.05, 1.5)


@_fault('no scheduler')
def _stay_without_scheduler(cell: FaultyCell) -> Process:
    if cell.term is not None:
        cell.end_term()
        yield _draw_duration_s(cell, 2, 10)
        cell.begin_term()
