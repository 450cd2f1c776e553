"""The right worker is chosen, and one is found whenever there is one."""

from random import Random

from testtools import TestCase

from apricotlead.coordination.placement import (
    UnknownPlacement,
    best_fit,
    policy_named,
    policy_names,
)
from apricotlead.protocol.config import Preset
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.workers import AttemptReport, HeartbeatReply
from apricotlead.state.capacity_ledger import CapacityLedger

ORDINARY = Preset('ordinary')
# 900 to 930 are in one memory class of the index.
SIZES = (0, 900, 910, 920, 930, 8000)


def ledger_of(*workers):
    """Own workers given as (capacity, free), named w0, w1 and so on."""
    ledger = CapacityLedger()
    for number, (capacity, free) in enumerate(workers):
        ledger.claim(f'w{number}', 1)
        used = AttemptReport(f'a{number}', 'running', demand=capacity - free)
        reply = HeartbeatReply(1, 'boot', capacity, (used,))
        ledger.apply_reply(f'w{number}', reply, 'a:1', 1)
    return ledger


class TestPlacement(TestCase):
    """Guards against stranded rests and against missing a fitting worker."""

    def test_choices(self):
        """Each policy takes the worker that its rule names."""
        plain = Resources(8000, 8000)
        fast = Resources(8000, 8000, 4)
        half = Resources(4000, 4000)
        slim = Resources(1000, 8000)
        task = Resources(1000, 1000)
        device = Resources(1000, 1000, 1)
        both = ledger_of((fast, fast), (plain, plain))
        last = ledger_of((fast, fast), (fast, Resources(8000, 8000, 1)))
        rests = ledger_of((plain, plain), (plain, half), (plain, slim))
        cases = (
            ('devices kept free', 'best_fit', both, task, 'w1'),
            ('devices where needed', 'best_fit', both, device, 'w0'),
            ('fewest devices left over', 'best_fit', last, device, 'w1'),
            ('no memory stranded', 'best_fit', rests, task, 'w1'),
            ('emptiest worker', 'spread', rests, task, 'w0'),
            ('nothing fits', 'spread', both, Resources(9000), None),
        )
        for label, name, ledger, demand, expected in cases:
            chosen = policy_named(name)(ledger, demand, ORDINARY, ())
            self.assertEqual(expected, chosen, label)

    def test_finds_a_worker_if_and_only_if_a_scan_does(self):
        """The index must not miss, nor return what does not fit."""
        rng = Random(5)
        for _ in range(300):
            capacity = Resources(8000, 8000, 2)
            rests = [_random_resources(rng) for _ in range(12)]
            ledger = ledger_of(*((capacity, rest) for rest in rests))
            demand = _random_resources(rng)
            avoid = {f'w{rng.randrange(12)}' for _ in range(rng.randrange(9))}
            scanned = {
                f'w{number}'
                for number, rest in enumerate(rests)
                if demand.fits_in(rest)
            } - avoid
            for name in policy_names():
                chosen = policy_named(name)(ledger, demand, ORDINARY, avoid)
                self.assertIn(chosen, scanned or {None})

    def test_kept_share_is_left(self):
        """Ordinary work must not use what the preset keeps."""
        capacity = Resources(10000, 10000)
        ledger = ledger_of((capacity, capacity))
        peak = Preset('peak', reserved_fraction=0.1)
        for cpu, expected in ((9000, 'w0'), (9001, None)):
            self.assertEqual(
                expected,
                best_fit(ledger, Resources(cpu), peak, ()),
            )

    def test_unknown_name(self):
        """A misspelt policy is reported with the names that exist."""
        error = self.assertRaises(UnknownPlacement, policy_named, 'bestfit')
        self.assertIn('best_fit', str(error))


def _random_resources(rng):
    return Resources(rng.choice(SIZES), rng.choice(SIZES), rng.choice((0, 1)))
