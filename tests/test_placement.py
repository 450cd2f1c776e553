"""Tests for the placement policies and their search for a worker."""

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

ORDINARY_PRESET = Preset('ordinary')
# The index puts 900 to 930 into the same memory class.
SIZES = (0, 900, 910, 920, 930, 8000)


def make_ledger(*workers):
    """Own workers given as (capacity, free), named w0, w1 and so on."""
    ledger = CapacityLedger()
    for number, (capacity, free) in enumerate(workers):
        ledger.claim(f'w{number}', 1)
        used = AttemptReport(f'a{number}', 'running', demand=capacity - free)
        reply = HeartbeatReply(1, 'boot', capacity, (used,))
        ledger.apply_reply(f'w{number}', reply, 'a:1', 1)
    return ledger


class TestPlacement(TestCase):
    """Guards against stranded capacity and missed workers that would fit."""

    def test_each_policy_chooses_by_its_rule(self):
        """The cases name the worker that each policy must choose."""
        without_accelerators = Resources(8000, 8000)
        with_accelerators = Resources(8000, 8000, 4)
        half_free = Resources(4000, 4000)
        little_cpu_free = Resources(1000, 8000)
        task = Resources(1000, 1000)
        accelerator_task = Resources(1000, 1000, 1)
        mixed = make_ledger(
            (with_accelerators, with_accelerators),
            (without_accelerators, without_accelerators),
        )
        one_accelerator_free = make_ledger(
            (with_accelerators, with_accelerators),
            (with_accelerators, Resources(8000, 8000, 1)),
        )
        partly_free = make_ledger(
            (without_accelerators, without_accelerators),
            (without_accelerators, half_free),
            (without_accelerators, little_cpu_free),
        )
        cases = (
            ('accelerators kept free', 'best_fit', mixed, task, 'w1'),
            ('accelerator required', 'best_fit', mixed, accelerator_task, 'w0'),
            (
                'fewest accelerators left',
                'best_fit',
                one_accelerator_free,
                accelerator_task,
                'w1',
            ),
            ('no memory stranded', 'best_fit', partly_free, task, 'w1'),
            ('least used worker', 'spread', partly_free, task, 'w0'),
            ('nothing fits', 'spread', mixed, Resources(9000), None),
        )
        for label, name, ledger, demand, expected in cases:
            chosen_id = policy_named(name)(ledger, demand, ORDINARY_PRESET, ())
            self.assertEqual(expected, chosen_id, label)

    def test_finds_a_worker_exactly_if_a_full_scan_does(self):
        """The index must not miss a fitting worker or return another one."""
        rng = Random(5)
        for _ in range(300):
            capacity = Resources(8000, 8000, 2)
            free_capacities = [_random_resources(rng) for _ in range(12)]
            ledger = make_ledger(
                *((capacity, free) for free in free_capacities)
            )
            demand = _random_resources(rng)
            avoid = {f'w{rng.randrange(12)}' for _ in range(rng.randrange(9))}
            fitting_ids = {
                f'w{number}'
                for number, free in enumerate(free_capacities)
                if demand.fits_in(free)
            } - avoid
            for name in policy_names():
                chosen_id = policy_named(name)(
                    ledger, demand, ORDINARY_PRESET, avoid
                )
                self.assertIn(chosen_id, fitting_ids or {None})

    def test_reserved_fraction_is_left_free(self):
        """Ordinary work must not use the reserve of the preset."""
        capacity = Resources(10000, 10000)
        ledger = make_ledger((capacity, capacity))
        peak = Preset('peak', reserved_fraction=0.1)
        for cpu, expected in ((9000, 'w0'), (9001, None)):
            self.assertEqual(
                expected,
                best_fit(ledger, Resources(cpu), peak, ()),
            )

    def test_unknown_policy_name(self):
        """A misspelt name raises an error that lists the known names."""
        error = self.assertRaises(UnknownPlacement, policy_named, 'bestfit')
        self.assertIn('best_fit', str(error))


def _random_resources(rng):
    return Resources(rng.choice(SIZES), rng.choice(SIZES), rng.choice((0, 1)))
