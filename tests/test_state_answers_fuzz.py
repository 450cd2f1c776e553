"""Fuzzes states and cancels over paths that fail in different ways."""

import random
from itertools import product

from testtools import TestCase

from apricotlead.protocol.outcomes import Done
from apricotlead.transport.boot_clock import boot_now
from tests.virtual_clock import virtual_clock
from tests.virtual_store import (
    BUSY,
    HANGS,
    JOB_KEY,
    PROGRESS_KEY,
    QUEUED,
    REFUSES,
    RUNNING,
    Fault,
    VirtualInstance,
    VirtualPeers,
    VirtualStore,
    always,
    never,
)

SEEDS = range(600)
WAITS_S = (0.5, 0.85, 1.5, 3.0)
# A caller that waits that long is answered if any path is sound.
LONG_WAIT_S = 3.0
SOUND = 'sound'
LOSSY = 'lossy'
KINDS = (SOUND, LOSSY, HANGS, REFUSES, BUSY)
LOSS = 0.3
MAX_PEERS = 3


def lossy(number: int) -> str:
    """Lose three answers of ten."""
    return HANGS if random.random() < LOSS else ''


FAULTS_BY_KIND: dict[str, Fault] = {
    SOUND: never,
    LOSSY: lossy,
    **{kind: always(kind) for kind in (HANGS, REFUSES, BUSY)},
}


class RandomCase:
    """An instance and its peers, each with a random path to one store."""

    def __init__(self, seed: int) -> None:
        """Choose paths, rows and what is known about the store."""
        random.seed(seed)
        self.wait_s = random.choice(WAITS_S)
        count = 1 + random.randint(0, MAX_PEERS)
        self.kinds = [random.choice(KINDS) for _ in range(count)]
        rows = {JOB_KEY: QUEUED}
        if random.random() < 0.5:
            rows[PROGRESS_KEY] = RUNNING
        direct, *relayed = (self._store(kind, rows) for kind in self.kinds)
        for other_path in relayed:
            other_path.rows_by_key = direct.rows_by_key
        peers = VirtualPeers(
            **{f'p{number}': store for number, store in enumerate(relayed)}
        )
        self.instance = VirtualInstance(direct, peers)
        if random.random() < 0.3:
            failed_s = boot_now() - random.choice((0, 1, 2))
            self.instance.health.record_failure(failed_s)

    def _store(self, kind: str, rows: dict[str, object]) -> VirtualStore:
        answer_s = random.choice((0.01, 0.02, 0.1))
        return VirtualStore(rows, FAULTS_BY_KIND[kind], answer_s)


class TestRandomFaults(TestCase):
    """Each caller is answered within its wait."""

    # Guards against an answer that comes late, or fails beside a sound path.
    def test_random_paths(self) -> None:
        for seed, asked in product(SEEDS, ('status', 'cancel')):
            with virtual_clock():
                case = RandomCase(seed)
                ask = getattr(case.instance, asked)
                outcome, took_s = ask(case.wait_s)
            about = f'seed {seed}: {asked} in {case.wait_s} s by {case.kinds}'
            self.assertLess(took_s, case.wait_s, about)
            if SOUND in case.kinds and case.wait_s >= LONG_WAIT_S:
                self.assertIsInstance(outcome, Done, about)
