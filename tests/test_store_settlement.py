"""Writes whose reply was lost get an outcome and are applied once."""

from testtools import TestCase

from apricotlead.coordination.store_settlement import StoreSettlement
from apricotlead.protocol.signals import StoreReplied, Token, Transact
from apricotlead.protocol.table import (
    Check,
    CheckFailed,
    Committed,
    Put,
    Row,
    StoreFailed,
    Transaction,
)

TOKEN = Token('test', number=1)
WRITE = Transact(
    TOKEN,
    Transaction('op-1', 'a', (Check('a', 0),), (Put('a', 1),)),
)
LOST = StoreFailed(applied=None, retry_after_s=0)


class TestStoreSettlement(TestCase):
    """Guards against a write reported as failed after it took effect."""

    def setUp(self):
        """Send one write."""
        super().setUp()
        self.settlement = StoreSettlement()
        self.assertEqual((WRITE,), self.settlement.outgoing(WRITE, 0))

    def reply(self, reply, now=0):
        """Deliver a reply of the store."""
        return tuple(
            self.settlement.incoming(StoreReplied(TOKEN, reply), now),
        )

    def test_lost_reply_is_withheld_and_write_repeated_unchanged(self):
        """The component gets no reply until the outcome is known."""
        self.assertEqual((), self.reply(LOST))
        self.assertEqual([], list(self.settlement.repeat_due(0)))
        self.assertEqual([WRITE], list(self.settlement.repeat_due(1)))
        self.assertEqual([], list(self.settlement.repeat_due(9)))

    def test_first_copy_took_effect(self):
        """A failed check with the own op_id counts as committed."""
        self.reply(LOST)
        failed = CheckFailed((Row('a', 1, 1, 'op-1'),))
        settled = self.reply(failed, now=1)
        self.assertEqual(
            (StoreReplied(TOKEN, Committed({'a': 1})),),
            settled,
        )
        self.assertEqual(0, self.settlement.unsettled_count())

    def test_other_writer_won(self):
        """A failed check with another op_id stays a failed check."""
        self.reply(LOST)
        failed = CheckFailed((Row('a', 1, 7, 'op-of-another'),))
        self.assertEqual((StoreReplied(TOKEN, failed),), self.reply(failed))

    def test_refused_repeat_leaves_the_first_copy_unsettled(self):
        """ "Not applied" concerns only the repeat."""
        self.reply(LOST)
        refused = StoreFailed(applied=False)
        self.assertEqual((), self.reply(refused, now=1))
        self.assertEqual(1, self.settlement.unsettled_count())

    def test_refusal_of_the_only_copy_is_passed_on(self):
        """A definite refusal reaches the component at once."""
        refused = StoreFailed(applied=False)
        self.assertEqual((StoreReplied(TOKEN, refused),), self.reply(refused))
