"""Cost of placement and of the ledger for one owner, in simulated time.

Run by ``python -m bench.placement``. Prints one line per cluster size:
microseconds per reservation (desk, policy and ledger, one task each, with its
release), per choice of a worker by a policy, per choice where no worker fits,
per choice by a linear scan, per heartbeat reply, and per piece of freed
capacity offered to 2,000 parked requests that need more; then bytes per owned
worker and per outstanding grant.
"""

from random import Random
from sys import stdout
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop

from apricotlead.coordination.outlier_ejection import (
    EjectionSettings,
    OutlierEjection,
)
from apricotlead.coordination.placement import policy_named
from apricotlead.coordination.quarantine import Quarantine
from apricotlead.coordination.reservations import (
    ReservationDesk,
    ReservationSettings,
)
from apricotlead.protocol.config import CellConfig, Preset
from apricotlead.protocol.jobs import Priority
from apricotlead.protocol.peers import (
    ReleaseGrants,
    ReserveCapacity,
    TaskDemand,
)
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import CapacityFreed
from apricotlead.protocol.workers import AttemptReport, HeartbeatReply
from apricotlead.state.capacity_ledger import CapacityLedger
from apricotlead.state.session_view import SessionView

_SIZES = (24, 1200, 12000)
_PLACEMENTS = 5000
_REPLIES = 5000
_SEED = 11
_SCANS = 50
_PARKED_COUNT = 2000
_TEAMS = 61
_OFFER_COUNT = 200
_US_PER_S = 1e6
_TASKS_PER_WORKER = 4
_PRIORITY: Priority = 'normal'
_TOO_LARGE = Resources(63_000, 1000)


class _EmptyPolicySource:
    """Stands in for the policy source and an empty usage table."""

    config = CellConfig()

    def __init__(self, preset: Preset) -> None:
        self._preset = preset

    def preset(self) -> Preset:
        return self._preset

    def share_of(self, team: str, weight: float, now: float) -> float:
        return 0


class _Bench:
    """One owner with partly filled workers of mixed sizes."""

    def __init__(self, size: int, reserved_fraction: float = 0) -> None:
        self.rng = Random(_SEED)
        self.ledger = CapacityLedger()
        self.now = 1.0
        ejection = OutlierEjection(EjectionSettings(), lambda: size)
        view = SessionView('own', 'here')
        view.lease_end_s = float('inf')
        policy_source = _EmptyPolicySource(
            Preset('ordinary', reserved_fraction=reserved_fraction),
        )
        self.desk = ReservationDesk(
            ReservationSettings(),
            view,
            self.ledger,
            Quarantine(ejection, self.ledger),
            policy_source,
            policy_source,
        )
        self.replies = [self._reply(number) for number in range(size)]

    def fill(self) -> None:
        """Claim all workers and apply their first replies."""
        for number, reply in enumerate(self.replies):
            worker_id = f'worker-{number}'
            self.ledger.claim(worker_id, 1)
            self.ledger.apply_reply(worker_id, reply, '10.0.0.1:80', self.now)

    def reserve_us(self) -> float:
        """Return the time of one reservation and its release."""
        requests = [self._request(number) for number in range(_PLACEMENTS)]
        started_s = perf_counter()
        for request, release in requests:
            granted = tuple(self.desk.reserve(request, self.now))
            if granted:
                self.desk.release(release, self.now)
        return _per_step_us(started_s, _PLACEMENTS)

    def choose_us(self, policy_name: str, demand: Resources | None) -> float:
        """Return the time of one choice; ``None`` stands for mixed demands."""
        policy = policy_named(policy_name)
        preset = Preset('ordinary')
        demands = [demand or self._demand() for _ in range(_PLACEMENTS)]
        started_s = perf_counter()
        for task_demand in demands:
            policy(self.ledger, task_demand, preset, ())
        return _per_step_us(started_s, _PLACEMENTS)

    def scan_us(self) -> float:
        """Return the time of one choice by a linear scan, as a baseline."""
        demands = [self._demand() for _ in range(_SCANS)]
        started_s = perf_counter()
        for task_demand in demands:
            min(
                (
                    (worker.free.cpu_millis, worker.worker_id)
                    for worker in self.ledger.open_workers()
                    if task_demand.fits_in(worker.free)
                ),
                default=None,
            )
        return _per_step_us(started_s, _SCANS)

    def reply_us(self) -> float:
        """Return the time to reconcile one heartbeat reply."""
        count = len(self.replies)
        worker_ids = tuple(self.ledger.workers_by_id)
        started_s = perf_counter()
        for number in range(_REPLIES):
            self.ledger.apply_reply(
                worker_ids[number % count],
                self.replies[number * 7 % count],
                '10.0.0.1:80',
                self.now,
            )
        return _per_step_us(started_s, _REPLIES)

    def parked_us(self) -> float:
        """Return the time to offer capacity that is too small for any request.

        The requests of all teams stay parked, so each offer takes the longest
        search that the desk makes.
        """
        for number in range(_PARKED_COUNT):
            team = number % _TEAMS
            task_demand = TaskDemand(f'parked-{number}.0.1-1', _TOO_LARGE)
            request = ReserveCapacity(
                f'parked-{number}',
                'own',
                f'team-{team}',
                _PRIORITY,
                (task_demand,),
                park_s=1,
            )
            tuple(self.desk.reserve(request, self.now))
        freed = CapacityFreed('worker-0')
        started_s = perf_counter()
        for _ in range(_OFFER_COUNT):
            self.desk.freed(freed, self.now)
        return _per_step_us(started_s, _OFFER_COUNT)

    def grant_small_tasks(self, count: int) -> int:
        """Grant up to ``count`` small tasks; return how many fitted."""
        policy = policy_named('best_fit')
        preset = Preset('ordinary')
        demand = Resources(100, 100)
        for number in range(count):
            worker_id = policy(self.ledger, demand, preset, ())
            if worker_id is None:
                return number
            self.ledger.grant(worker_id, f'job-{number}.0.1-1', demand, 9)
        return count

    def _reply(self, number: int) -> HeartbeatReply:
        accelerators = 8 if number % 5 == 0 else 0
        attempts = tuple(
            AttemptReport(
                f'job-{number}.{task}.1-1',
                'running',
                demand=self._demand(),
            )
            for task in range(_TASKS_PER_WORKER)
        )
        capacity = Resources(64_000, 256_000, accelerators)
        return HeartbeatReply(1.0, f'boot-{number}', capacity, attempts)

    def _demand(self) -> Resources:
        return Resources(
            self.rng.choice((500, 1000, 2000, 4000, 8000)),
            self.rng.randrange(500, 32_000),
        )

    def _request(self, number: int) -> tuple[ReserveCapacity, ReleaseGrants]:
        attempt_id = f'bench-{number}.0.1-1'
        task_demand = TaskDemand(attempt_id, self._demand())
        request_id = f'request-{number}'
        return (
            ReserveCapacity(
                request_id, 'own', 'team', _PRIORITY, (task_demand,)
            ),
            ReleaseGrants((attempt_id,)),
        )


def main() -> None:
    """Print the figures of all cluster sizes."""
    for size in _SIZES:
        bench = _Bench(size)
        bench.fill()
        _print(
            f'{size} workers',
            reserve_us=bench.reserve_us(),
            best_fit_us=bench.choose_us('best_fit', None),
            spread_us=bench.choose_us('spread', None),
            refused_us=bench.choose_us('best_fit', _TOO_LARGE),
            scan_us=bench.scan_us(),
            reply_us=bench.reply_us(),
            parked_us=bench.parked_us(),
        )
        with_reserve = _Bench(size, reserved_fraction=0.1)
        with_reserve.fill()
        _print('  with a kept share', reserve_us=with_reserve.reserve_us())
        _print('  memory', **_memory(size))


def _memory(size: int) -> dict[str, float]:
    """Return bytes per worker and per grant of the ledger alone.

    Heartbeat replies and demands are built before the measurement, so what
    the ledger shares with them does not count.
    """
    bench = _Bench(size)
    start()
    bench.fill()
    workers_bytes = get_traced_memory()[0]
    granted = bench.grant_small_tasks(size * 2)
    grants_bytes = get_traced_memory()[0] - workers_bytes
    stop()
    return {
        'bytes_per_worker': workers_bytes / size,
        'bytes_per_grant': grants_bytes / max(granted, 1),
    }


def _per_step_us(started_s: float, steps: int) -> float:
    return (perf_counter() - started_s) / steps * _US_PER_S


def _print(title: str, **figures: float) -> None:
    columns = [f'{name} {figure:.1f}' for name, figure in figures.items()]
    line = ' '.join((title, *columns))
    stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
