"""Utilisation of workers under churn, by placement policy.

``python -m bench.packing``. Tasks of mixed sizes arrive and end; whenever one
ends, waiting tasks are placed in order of arrival, and those that do not fit
keep waiting. All policies draw their tasks from the same seed, so the figures
compare them.
"""

import json
import sys
from collections import deque
from random import Random

from apricotlead import Resources
from apricotlead.coordination.placement import policy_named
from apricotlead.protocol.config import Preset
from apricotlead.protocol.workers import HeartbeatReply
from apricotlead.state.capacity_ledger import CapacityLedger

_SEED = 1
_WORKERS = 24
_CAPACITY = Resources(64_000, 262_144)
_ACCELERATED = Resources(64_000, 262_144, 4)
_ACCELERATED_INTERVAL = 6
_ROUND_COUNT = 20_000
_QUEUE_LENGTH = 60
# Only this many tasks at the head of the queue are tried in each round.
_MAX_TRIED = 20
_SIZES = (
    (50, Resources(1000, 4096)),
    (25, Resources(4000, 8192)),
    (12, Resources(2000, 32_768)),
    (8, Resources(16_000, 65_536)),
    (4, Resources(4000, 16_384, 1)),
    (1, Resources(60_000, 200_000)),
)


class _Churn:
    """Drives one policy with a seeded sequence of tasks."""

    def __init__(self, policy_name: str) -> None:
        self.rng = Random(_SEED)
        self.policy = policy_named(policy_name)
        self.preset = Preset('ordinary')
        self.ledger = CapacityLedger()
        self.waiting: deque[tuple[int, Resources, int]] = deque()
        self.running: list[tuple[str, Resources]] = []
        self.used = Resources()
        self.total = Resources()
        self.waits_by_size: dict[Resources, list[int]] = {}
        self._serial = 0
        for number in range(_WORKERS):
            self._add_worker(number)

    def run(self) -> dict[str, float]:
        """Return the mean utilisation and the mean waits in rounds."""
        use = 0.0
        for round_number in range(_ROUND_COUNT):
            while len(self.waiting) < _QUEUE_LENGTH:
                self._serial += 1
                self.waiting.append((self._serial, self._size(), round_number))
            self._place(round_number)
            use += self.used.dominant_fraction(self.total)
            self._end_one()
        largest = _SIZES[-1][1]
        accelerated = _SIZES[-2][1]
        return {
            'use': round(use / _ROUND_COUNT, 3),
            'wait_all': _mean(sum(self.waits_by_size.values(), [])),
            'wait_largest': _mean(self.waits_by_size.get(largest, [])),
            'wait_accelerated': _mean(self.waits_by_size.get(accelerated, [])),
        }

    def _add_worker(self, number: int) -> None:
        worker_id = f'worker-{number}'
        has_accelerators = number % _ACCELERATED_INTERVAL == 0
        capacity = _ACCELERATED if has_accelerators else _CAPACITY
        self.ledger.claim(worker_id, 1)
        reply = HeartbeatReply(1.0, 'boot', capacity, ())
        self.ledger.apply_reply(worker_id, reply, '127.0.0.1:1', 1.0)
        self.total += capacity

    def _size(self) -> Resources:
        weights = [weight for weight, _ in _SIZES]
        return self.rng.choices([size for _, size in _SIZES], weights)[0]

    def _place(self, round_number: int) -> None:
        for task in tuple(self.waiting)[:_MAX_TRIED]:
            serial, demand, queued_round = task
            worker_id = self.policy(self.ledger, demand, self.preset, ())
            if worker_id is None:
                continue
            self.waiting.remove(task)
            attempt_id = f'job-{serial}.0.1-1'
            self.ledger.grant(worker_id, attempt_id, demand, float('inf'))
            self.running.append((attempt_id, demand))
            self.used += demand
            self.waits_by_size.setdefault(demand, []).append(
                round_number - queued_round
            )

    def _end_one(self) -> None:
        position = self.rng.randrange(len(self.running))
        attempt_id, demand = self.running.pop(position)
        self.ledger.release(attempt_id)
        self.used -= demand


def main() -> None:
    """Print one JSON line for each policy."""
    for name in ('best_fit', 'spread'):
        report = json.dumps({'policy': name, **_Churn(name).run()})
        sys.stdout.write(f'{report}\n')


def _mean(numbers: list[int]) -> float:
    return round(sum(numbers) / len(numbers), 1) if numbers else float('nan')


if __name__ == '__main__':
    main()
