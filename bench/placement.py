"""Cost of placement and of the ledger, for one owner, in virtual time.

Run by ``python -m bench.placement``. Prints one line per cluster size:
microseconds per reservation (desk, policy and ledger, one task each, with its
release), per policy choice, per refused choice, per choice by a plain scan,
per heartbeat reply, and per piece of room offered to 2,000 parked requests
that need more; then bytes per owned worker and per outstanding grant.
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
_PARKED = 2000
_TEAMS = 61
_OFFERS = 200
_MICRO = 1e6
_TASKS_PER_WORKER = 4
_PRIORITY: Priority = 'normal'
_TOO_LARGE = Resources(63_000, 1000)


class _OneTeam:
    """A policy source and usage table with nothing in them."""

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
        team = _OneTeam(
            Preset('ordinary', reserved_fraction=reserved_fraction),
        )
        self.desk = ReservationDesk(
            ReservationSettings(),
            view,
            self.ledger,
            Quarantine(ejection, self.ledger),
            team,
            team,
        )
        self.replies = [self._reply(number) for number in range(size)]

    def fill(self) -> None:
        """Claim all workers and apply their first replies."""
        for number, reply in enumerate(self.replies):
            worker_id = f'worker-{number}'
            self.ledger.claim(worker_id, 1)
            self.ledger.apply_reply(worker_id, reply, '10.0.0.1:80', self.now)

    def reserve_us(self) -> float:
        """Return the time of a reservation and its release."""
        requests = [self._request(number) for number in range(_PLACEMENTS)]
        began_s = perf_counter()
        for request, release in requests:
            granted = tuple(self.desk.reserve(request, self.now))
            if granted:
                self.desk.release(release, self.now)
        return _per_step_us(began_s, _PLACEMENTS)

    def choose_us(self, policy_name: str, demand: Resources | None) -> float:
        """Return the time of one choice; mixed demands where ``None``."""
        policy = policy_named(policy_name)
        preset = Preset('ordinary')
        demands = [demand or self._demand() for _ in range(_PLACEMENTS)]
        began_s = perf_counter()
        for wanted in demands:
            policy(self.ledger, wanted, preset, ())
        return _per_step_us(began_s, _PLACEMENTS)

    def scan_us(self) -> float:
        """Return the time of a choice without an index, as the baseline."""
        demands = [self._demand() for _ in range(_SCANS)]
        began_s = perf_counter()
        for wanted in demands:
            min(
                (
                    (worker.free.cpu_millis, worker.worker_id)
                    for worker in self.ledger.open_workers()
                    if wanted.fits_in(worker.free)
                ),
                default=None,
            )
        return _per_step_us(began_s, _SCANS)

    def reply_us(self) -> float:
        """Return the time to reconcile one heartbeat reply."""
        count = len(self.replies)
        worker_ids = tuple(self.ledger.workers_by_id)
        began_s = perf_counter()
        for number in range(_REPLIES):
            self.ledger.apply_reply(
                worker_ids[number % count],
                self.replies[number * 7 % count],
                '10.0.0.1:80',
                self.now,
            )
        return _per_step_us(began_s, _REPLIES)

    def parked_us(self) -> float:
        """Return the time to offer room that is too small for all requests.

        The requests of all teams stay parked, so each offer walks as far as
        the desk ever does.
        """
        for number in range(_PARKED):
            team = number % _TEAMS
            wanted = TaskDemand(f'parked-{number}.0.1-1', _TOO_LARGE)
            request = ReserveCapacity(
                f'parked-{number}',
                'own',
                f'team-{team}',
                _PRIORITY,
                (wanted,),
                park_s=1,
            )
            tuple(self.desk.reserve(request, self.now))
        freed = CapacityFreed('worker-0')
        began_s = perf_counter()
        for _ in range(_OFFERS):
            self.desk.freed(freed, self.now)
        return _per_step_us(began_s, _OFFERS)

    def grant_some(self, count: int) -> int:
        """Hold grants of small tasks; return how many there was room for."""
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
        wanted = TaskDemand(attempt_id, self._demand())
        request_id = f'request-{number}'
        return (
            ReserveCapacity(request_id, 'own', 'team', _PRIORITY, (wanted,)),
            ReleaseGrants((attempt_id,)),
        )


def main() -> None:
    """Measure all sizes and print the figures."""
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
        kept = _Bench(size, reserved_fraction=0.1)
        kept.fill()
        _print('  with a kept share', reserve_us=kept.reserve_us())
        _print('  memory', **_memory(size))


def _memory(size: int) -> dict[str, float]:
    """Return bytes per worker and per grant of the ledger alone.

    Heartbeat replies and demands are built before, so what the ledger keeps
    of them counts as far as it is not shared.
    """
    bench = _Bench(size)
    start()
    bench.fill()
    workers_bytes = get_traced_memory()[0]
    granted = bench.grant_some(size * 2)
    grants_bytes = get_traced_memory()[0] - workers_bytes
    stop()
    return {
        'bytes_per_worker': workers_bytes / size,
        'bytes_per_grant': grants_bytes / max(granted, 1),
    }


def _per_step_us(began_s: float, steps: int) -> float:
    return (perf_counter() - began_s) / steps * _MICRO


def _print(title: str, **figures: float) -> None:
    columns = [f'{name} {figure:.1f}' for name, figure in figures.items()]
    line = ' '.join((title, *columns))
    stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
