"""A worker's room comes free exactly when nothing can use it any more."""

from testtools import TestCase

from apricotlead.protocol.resources import Resources
from apricotlead.protocol.workers import AttemptReport, HeartbeatReply
from apricotlead.state.capacity_ledger import CapacityLedger

CAPACITY = Resources(4000, 8000)
DEMAND = Resources(1000, 2000)
REST = Resources(3000, 6000)
NOT_AFTER_S = 5.0

# What a reply says (clock, boot, state of the attempt) and what is left.
CASES = (
    ('start can still arrive', 5.0, 'one', None, REST),
    ('start comes too late', 5.1, 'one', None, CAPACITY),
    ('runs within the window', 4.0, 'one', 'running', REST),
    ('runs past the window', 9.0, 'one', 'running', REST),
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
    """Guards against room that is counted twice, never, or too early."""

    def setUp(self):
        """Begin with one grant."""
        super().setUp()
        self.begin()

    def begin(self):
        """Own one worker and grant one attempt on it."""
        self.ledger = CapacityLedger()
        self.ledger.claim('w', 1)
        self.ledger.apply_reply('w', reply(3, 'one'), 'a:1', 10)
        self.ledger.grant('w', 'j.0.1-1', DEMAND, NOT_AFTER_S)

    def test_reply_reconciles_the_grant(self):
        """Each fault case leaves the room that is certain to be free."""
        for label, clock_s, boot_id, state, left in CASES:
            self.begin()
            answer = reply(clock_s, boot_id, state)
            grew = self.ledger.apply_reply('w', answer, 'a:1', 11)
            self.assertEqual(left, self.ledger.free_of('w'), label)
            self.assertEqual(left, self.ledger.total_free(), label)
            self.assertEqual(left == CAPACITY, grew, label)

    def test_doubled_release_frees_once(self):
        """A release that the network doubled must not add room."""
        self.assertTrue(self.ledger.release('j.0.1-1'))
        self.assertFalse(self.ledger.release('j.0.1-1'))
        self.assertEqual(CAPACITY, self.ledger.free_of('w'))

    def test_memory_in_use_beyond_demand_is_not_granted(self):
        """Memory that an attempt took beyond its demand is gone."""
        for used_mb, free_mb in ((1, 6000), (7000, 1000), (9000, -1000)):
            answer = reply(9, 'one', 'running', used_mb)
            self.ledger.apply_reply('w', answer, 'a:1', 11)
            self.assertEqual(free_mb, self.ledger.free_of('w').memory_mb)
        self.assertEqual(Resources(), self.ledger.largest_free())

    def test_new_epoch_waits_for_its_own_reply(self):
        """Grants of the former epoch and its reply must not count."""
        self.ledger.claim('w', 2)
        self.assertEqual(Resources(), self.ledger.free_of('w'))
        self.assertEqual(Resources(), self.ledger.total_capacity)
        self.assertFalse(self.ledger.release('j.0.1-1'))
