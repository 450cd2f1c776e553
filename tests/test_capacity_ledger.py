"""Tests that capacity is freed exactly when no attempt can use it any more."""

from testtools import TestCase

from apricotlead.protocol.resources import Resources
from apricotlead.protocol.workers import AttemptReport, HeartbeatReply
from apricotlead.state.capacity_ledger import CapacityLedger

CAPACITY = Resources(4000, 8000)
DEMAND = Resources(1000, 2000)
REMAINDER = Resources(3000, 6000)
NOT_AFTER_S = 5.0

# A reply's clock, boot id and attempt state, and the free resources after it.
CASES = (
    ('start can still arrive', 5.0, 'one', None, REMAINDER),
    ('start comes too late', 5.1, 'one', None, CAPACITY),
    ('runs within the window', 4.0, 'one', 'running', REMAINDER),
    ('runs past the window', 9.0, 'one', 'running', REMAINDER),
    ('ended within the window', 4.0, 'one', 'failed', CAPACITY),
    ('worker restarted', 0.1, 'two', None, CAPACITY),
)


def reply(clock_s, boot_id, state=None, used_mb=0):
    """Build a heartbeat reply with at most one attempt."""
    attempts = ()
    used = Resources(memory_mb=used_mb)
    if state:
        report = AttemptReport('j.0.1-1', state, demand=DEMAND, used=used)
        attempts = (report,)
    return HeartbeatReply(clock_s, boot_id, CAPACITY, attempts)


class TestCapacityLedger(TestCase):
    """Guards against capacity that is freed twice, never, or too early."""

    def setUp(self):
        """Start with one grant."""
        super().setUp()
        self.grant_one_attempt()

    def grant_one_attempt(self):
        """Own one worker and grant one attempt on it."""
        self.ledger = CapacityLedger()
        self.ledger.claim('w', 1)
        self.ledger.apply_reply('w', reply(3, 'one'), 'a:1', 10)
        self.ledger.grant('w', 'j.0.1-1', DEMAND, NOT_AFTER_S)

    def test_reply_reconciles_the_grant(self):
        """Each reply leaves free only what no attempt can still use."""
        for label, clock_s, boot_id, state, expected_free in CASES:
            self.grant_one_attempt()
            answer = reply(clock_s, boot_id, state)
            grew = self.ledger.apply_reply('w', answer, 'a:1', 11)
            self.assertEqual(expected_free, self.ledger.free_of('w'), label)
            self.assertEqual(expected_free, self.ledger.total_free(), label)
            self.assertEqual(expected_free == CAPACITY, grew, label)

    def test_duplicate_release_frees_once(self):
        """A release that the network duplicates must not free capacity twice."""
        self.assertTrue(self.ledger.release('j.0.1-1'))
        self.assertFalse(self.ledger.release('j.0.1-1'))
        self.assertEqual(CAPACITY, self.ledger.free_of('w'))

    def test_memory_in_use_beyond_demand_is_not_granted(self):
        """Memory that an attempt uses beyond its demand is not free."""
        for used_mb, free_mb in ((1, 6000), (7000, 1000), (9000, -1000)):
            answer = reply(9, 'one', 'running', used_mb)
            self.ledger.apply_reply('w', answer, 'a:1', 11)
            self.assertEqual(free_mb, self.ledger.free_of('w').memory_mb)
        self.assertEqual(Resources(), self.ledger.largest_free())

    def test_new_epoch_waits_for_its_own_reply(self):
        """Grants and replies of the former epoch must not count."""
        self.ledger.claim('w', 2)
        self.assertEqual(Resources(), self.ledger.free_of('w'))
        self.assertEqual(Resources(), self.ledger.total_capacity)
        self.assertFalse(self.ledger.release('j.0.1-1'))
