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
RESTARTS = (
    'zone restarts',
    'zone restarts and is cut off',
    'zone restarts behind a cut',
    'zone restarts twice',
    'zone restarts at a hand-over',
    'zone restarts and the scheduler is lost',
)
# Faults that strike near the end of the traffic.
CLOSING = (
    'all instances lose power',
    'all instances lose power twice',
    'workers are lost before a hand-over',
    'workers and all instances lose power',
)
RESTART_AND_LOSS = 'workers restart and are lost'
_named_only = frozenset(
    ('capacity shrinks', 'workers crash', *RESTARTS, *CLOSING, RESTART_AND_LOSS)
)
_MAX_FAULTS = 6
_DRAIN_S = 3.0
_SLOW_WRITES_S = (0.3, 1.0, 2.5)
_ZONE_SHARE = 0.4
# How long a restart takes, and its registration after it.
_DOWN_S = (0.0, 0.6)
_UNSEEN_S = (0.0, 2.5)
# How long restarted workers stay in reach at most, until they are cut off.
_MOST_IN_REACH_S = (0.2, 0.6, 2.0)
# A cut is shorter than a lease, or longer than the longest one.
_CUTS_S = ((1.0, 9.0), (10.0, 13.0))
# How long before the end of the traffic a closing fault begins, at most.
_MOST_CLOSING_S = 8.0
# How long all instances are down, and how long the last of them takes to
# return after the first.
_POWER_OFF_S = (0.8, 4.0)
_RETURN_S = (0.0, 2.0)
# Calls wait on their way during a restart or a cut, with this probability.
_HELD_SHARES = (0.0, 0.3, 0.7)
# For this long after a cut begins.
_HELD_S = 1.0


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


def draw_closing(seed: int) -> str:
    """Return the name of a seed's closing fault."""
    return Random(f'closing {seed}').choice(CLOSING)


def inject_closing(cell: FaultyCell, name: str) -> Process:
    """Inject a fault at a random time near the end of the traffic."""
    before_s = cell.random.uniform(0, _MOST_CLOSING_S)
    yield max(0, cell.traffic_end_s - before_s - cell.now)
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


@_fault('zone restarts')
def _restart_zone(cell: FaultyCell) -> Process:
    yield from _restart_in_place(cell, _sample_zone(cell))


@_fault('zone restarts and is cut off')
def _restart_and_cut(cell: FaultyCell) -> Process:
    zone = _sample_zone(cell)
    yield from _restart_in_place(cell, zone)
    yield _draw_time_to_cut_s(cell)
    yield from _cut_zone(cell, zone)


@_fault('zone restarts behind a cut')
def _restart_behind_a_cut(cell: FaultyCell) -> Process:
    """Restart workers during a cut, which returns soon after its end."""
    zone = _sample_zone(cell)
    cell.links.held_share = cell.random.choice(_HELD_SHARES)
    _set_disconnected(cell, zone, value=True)
    yield _draw_duration_s(cell, 0.05, 3)
    yield from _restart_in_place(cell, zone, is_cut=True)
    yield _draw_duration_s(cell, 0.05, 1)
    _set_disconnected(cell, zone, value=False)
    yield 0.02 + _draw_time_to_cut_s(cell)
    yield from _cut_zone(cell, zone)


@_fault('zone restarts twice')
def _restart_zone_twice(cell: FaultyCell) -> Process:
    zone = _sample_zone(cell)
    yield from _restart_in_place(cell, zone)
    yield cell.random.uniform(0.02, 3)
    yield from _restart_in_place(cell, zone)
    yield cell.random.uniform(0, 1)
    yield from _cut_zone(cell, zone)


@_fault('zone restarts at a hand-over')
def _restart_at_a_hand_over(cell: FaultyCell) -> Process:
    zone = _sample_zone(cell)
    first, second = _restart_in_place(cell, zone), _hand_over(cell)
    if cell.random.random() < 0.5:
        first, second = second, first
    cell.timeline.spawn(first)
    yield cell.random.uniform(0, 1.5)
    yield from second
    yield _draw_time_to_cut_s(cell)
    yield from _cut_zone(cell, zone)


@_fault('zone restarts and the scheduler is lost')
def _restart_and_lose_scheduler(cell: FaultyCell) -> Process:
    """Lose the scheduler soon after the restarted workers are cut off."""
    zone = _sample_zone(cell)
    yield from _restart_in_place(cell, zone)
    yield _draw_time_to_cut_s(cell)
    cell.timeline.spawn(_cut_zone(cell, zone))
    yield cell.random.uniform(0, 3)
    yield from _hand_over(cell)


def _sample_zone(cell: FaultyCell) -> list[str]:
    """Return the ids of the workers that a fault is to strike."""
    zone = _sample_workers(cell, _ZONE_SHARE)
    return [worker.entry.worker_id for worker in zone]


def _draw_time_to_cut_s(cell: FaultyCell) -> float:
    """Draw how long restarted workers stay in reach, often a moment."""
    return cell.random.uniform(0, cell.random.choice(_MOST_IN_REACH_S))


def _restart_in_place(
    cell: FaultyCell,
    zone: list[str],
    *,
    is_cut: bool = False,
) -> Process:
    """Restart workers under their ids and addresses, at one moment."""
    cell.links.held_share = cell.random.choice(_HELD_SHARES)
    down_s = cell.random.uniform(*_DOWN_S)
    for worker in cell.live_workers:
        if worker.entry.worker_id in zone:
            worker.closes_connections = not is_cut and (
                cell.random.random() < 0.5
            )
            unseen_s = cell.random.uniform(*_UNSEEN_S)
            cell.timeline.spawn(cell.restart_worker(worker, down_s, unseen_s))
    yield down_s + 0.01
    if is_cut:
        _set_disconnected(cell, zone, value=True)
    cell.links.held_share = 0


def _cut_zone(cell: FaultyCell, zone: list[str]) -> Process:
    """Cut workers off, in half of the cases for longer than any lease.

    Calls may wait on their way as the cut begins. In half of the cases the
    workers cannot register either.
    """
    cell.links.held_share = cell.random.choice(_HELD_SHARES)
    _set_disconnected(cell, zone, value=True)
    duration_s = cell.random.uniform(*cell.random.choice(_CUTS_S))
    if cell.random.random() < 0.5:
        for worker_id in zone:
            worker = cell.workers_by_id[worker_id]
            worker.registers_from_s = cell.now + _HELD_S + duration_s
    yield _HELD_S
    cell.links.held_share = 0
    yield duration_s
    _set_disconnected(cell, zone, value=False)


def _set_disconnected(
    cell: FaultyCell,
    zone: list[str],
    *,
    value: bool,
) -> None:
    for worker_id in zone:
        cell.workers_by_id[worker_id].is_disconnected = value


@_fault('all instances lose power')
def _power_off(cell: FaultyCell) -> Process:
    """Stop all instances at one moment, while starts are on their way.

    A new term begins from the rows of the store, and asks for advice through
    those instances that have returned.
    """
    if cell.term is None:
        return
    cell.links.late_share = cell.random.choice(_HELD_SHARES)
    yield cell.random.uniform(0.02, 0.3)
    if cell.term is None:
        return
    cell.end_term()
    cell.links.late_share = 0
    yield cell.random.uniform(*_POWER_OFF_S)
    askers = cell.environment.askers
    returned_s = cell.now + cell.random.uniform(*_RETURN_S)
    cell.advice.lost_askers = frozenset(
        cell.random.sample(askers, len(askers) // 2)
    )
    cell.begin_term()
    yield returned_s - cell.now
    cell.advice.lost_askers = frozenset()


@_fault('all instances lose power twice')
def _power_off_twice(cell: FaultyCell) -> Process:
    yield from _power_off(cell)
    yield cell.random.uniform(0, 2)
    yield from _power_off(cell)


@_fault('workers are lost before a hand-over')
def _lose_workers_and_hand_over(cell: FaultyCell) -> Process:
    """Lose workers for good; a hand-over comes before they are missed."""
    _lose_workers(cell)
    yield cell.random.uniform(0, 1.5)
    yield from _hand_over(cell)


@_fault('workers and all instances lose power')
def _lose_workers_and_power_off(cell: FaultyCell) -> Process:
    cell.timeline.spawn(_power_off(cell))
    yield cell.random.uniform(0, 3)
    _lose_workers(cell)


def _lose_workers(cell: FaultyCell) -> None:
    for worker in _sample_workers(cell, cell.random.choice((0.06, 0.2))):
        worker.closes_connections = cell.random.random() < 0.5
        worker.terminate()


@_fault(RESTART_AND_LOSS)
def _restart_and_lose(cell: FaultyCell) -> Process:
    """Lose workers for good soon after they have restarted in place."""
    workers = _sample_workers(cell, cell.random.choice((0.06, 0.2)))
    down_s = cell.random.uniform(0.2, 3)
    for worker in workers:
        cell.timeline.spawn(cell.restart_worker(worker, down_s))
    yield down_s + cell.random.uniform(0.1, 2)
    for former in workers:
        cell.workers_by_id[former.entry.worker_id].terminate()
