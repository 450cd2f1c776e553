"""Elections: load patterns of unequal instances and rolling restarts."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.election import (
    OWNER_KEY,
    Loss,
    OwnerRow,
    is_cut_off,
    should_take_over,
    should_yield,
    takeover,
    takeover_delay_s,
)
from apricotlead.coordination.cell.settings import ElectionTimes
from apricotlead.protocol.cell_peers import SchedulerStatus
from apricotlead.protocol.table import Row

TIMES = ElectionTimes()
# Of the follower.
CORES = 2.0
OWNER = OwnerRow(3, 'i1', 'peer1', largest_cores=2.0, renewed_ms=500)


class TestCandidates(TestCase):
    """A small instance takes over a large cell only as the last resort."""

    def delay(self, cores: float, age_s: float = 0) -> float:
        return takeover_delay_s(TIMES, OWNER, cores, age_s, 0.5)

    def test_large_instances_come_first(self) -> None:
        self.assertLess(self.delay(2, 99) + 0.1, self.delay(0.5))

    def test_young_instances_come_first_among_equals(self) -> None:
        """A rolling restart stops the older instances next."""
        self.assertLess(self.delay(2, 1), self.delay(2, 99))

    def test_order_holds_where_the_store_is_slow(self) -> None:
        """A read then takes 0.3 s and varies by as much."""
        young, old = (
            takeover_delay_s(TIMES, OWNER, 2, age_s, 1 - age_s / 60, 0.3)
            for age_s in (0, 30)
        )
        self.assertLess(young + 0.1, old)

    def test_equal_instances_do_not_wait_for_larger_ones(self) -> None:
        self.assertLess(self.delay(2, 99), 0.2)

    def test_scheduler_yields_to_a_much_larger_instance(self) -> None:
        self.assertTrue(should_yield(TIMES, 0.5, 2))
        self.assertFalse(should_yield(TIMES, 1, 1.2))


class TestCutOff(TestCase):
    """Pattern: a store that refuses one instance, or is slow for all."""

    def cut_off(self, blocked_s: float, *, is_turned_away: bool) -> bool:
        return is_cut_off(TIMES, blocked_s, is_turned_away=is_turned_away)

    def test_refusals_end_the_term_early(self) -> None:
        self.assertTrue(self.cut_off(0.5, is_turned_away=True))

    def test_one_refusal_is_not_enough(self) -> None:
        self.assertFalse(self.cut_off(0.1, is_turned_away=True))

    def test_slow_store_is_given_more_time(self) -> None:
        """An answer that is 78 times slower than usual takes 0.3 s.

        Further calls queue behind it.
        """
        self.assertFalse(self.cut_off(0.9, is_turned_away=False))
        self.assertTrue(self.cut_off(1.1, is_turned_away=False))


class TestReplacement(TestCase):
    """A scheduler that stopped writing is replaced.

    One that still writes and is unreachable for a follower only is kept.
    """

    def takes_over(self, loss: Loss, age_ms: float, **changes: object) -> bool:
        written = msgspec.structs.replace(OWNER, renewed_ms=9000, **changes)
        row = Row(OWNER_KEY, 7, msgspec.to_builtins(written))
        return should_take_over(TIMES, loss, OWNER, row, 9000 + age_ms, CORES)

    def test_silent_scheduler_without_renewals_is_replaced(self) -> None:
        self.assertTrue(self.takes_over(Loss.SILENT, 1000))

    def test_silent_scheduler_that_writes_stays(self) -> None:
        """A partition must not make two instances replace each other."""
        self.assertFalse(self.takes_over(Loss.SILENT, 300))

    # Guards against large instances that follow a small one, which is too busy
    # to answer them, for the rest of the day.
    def test_silent_scheduler_that_is_too_small_is_replaced(self) -> None:
        for cores, taken_ms, is_replaced in (
            (0.5, 5000, True),
            # It may have been elected since no larger one was there.
            (0.5, 8000, False),
            (1.6, 5000, False),
            # It runs a version that does not say how large it is.
            (0, 5000, False),
        ):
            self.assertEqual(
                is_replaced,
                self.takes_over(
                    Loss.SILENT, 300, cores=cores, taken_ms=taken_ms
                ),
            )

    def test_process_that_is_gone_is_replaced_at_once(self) -> None:
        self.assertTrue(self.takes_over(Loss.BROKEN, 10))

    def test_scheduler_that_cannot_write_is_replaced(self) -> None:
        self.assertTrue(self.takes_over(Loss.CUT_OFF, 10))

    def test_recent_term_is_not_replaced(self) -> None:
        self.assertFalse(self.takes_over(Loss.IDLE, 200, taken_ms=9000))
        self.assertTrue(self.takes_over(Loss.IDLE, 200, taken_ms=5000))
        self.assertFalse(self.takes_over(Loss.SILENT, 1000, taken_ms=9500))

    def test_released_term_is_taken_over_at_once(self) -> None:
        self.assertTrue(self.takes_over(Loss.RELEASED, 10))

    def test_losses_by_status(self) -> None:
        losses_by_status = (
            (SchedulerStatus(3, is_active=True), Loss.NONE),
            (SchedulerStatus(3, store_lost=True), Loss.CUT_OFF),
            (SchedulerStatus(3, is_released=True), Loss.RELEASED),
            (None, Loss.BROKEN),
        )
        for status, loss in losses_by_status:
            self.assertEqual(loss, Loss.of(status, is_silent=False))
        self.assertEqual(Loss.SILENT, Loss.of(None, is_silent=True))

    def test_newer_epoch_is_not_replaced(self) -> None:
        self.assertFalse(self.takes_over(Loss.BROKEN, 1000, epoch=4))
        self.assertTrue(self.takes_over(Loss.SILENT, 10, is_released=True))


class TestTakeover(TestCase):
    """A claim raises the epoch and does not change the rows of leases."""

    def test_claim_writes_the_owner_row_alone(self) -> None:
        former = OwnerRow(3, 'i1', 'peer1', renewed_ms=500)
        row = Row(OWNER_KEY, 9, msgspec.to_builtins(former))
        owner, transaction = takeover(row, 'i2', 'peer2', 1000, TIMES)
        self.assertEqual(4, owner.epoch)
        # Grants may follow the takeover, so it counts as a renewal too.
        self.assertEqual(1000, owner.renewed_ms)
        self.assertEqual([OWNER_KEY], [put.key for put in transaction.puts])
        self.assertEqual((), transaction.deletes)
        self.assertEqual(9, transaction.checks[0].version)

    def test_first_takeover_expects_no_row(self) -> None:
        owner, transaction = takeover(
            Row(OWNER_KEY), 'i2', 'peer2', 1000, TIMES
        )
        self.assertEqual(1, owner.epoch)
        self.assertEqual(0, transaction.checks[0].version)
