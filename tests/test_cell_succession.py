"""Load pattern: many instances that are small for their cell."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.election import (
    OWNER_KEY,
    Loss,
    OwnerRow,
    rank_deputies,
    read_owner,
    should_take_over,
    takeover,
    takeover_delay_s,
)
from apricotlead.coordination.cell.settings import ElectionTimes
from apricotlead.protocol.cell_peers import FollowerCall
from apricotlead.protocol.table import Row
from apricotlead.state.cell_followers import FollowerTable

TIMES = ElectionTimes()


def stored(owner: OwnerRow, version: int) -> Row:
    return Row(OWNER_KEY, version, msgspec.to_builtins(owner))


class SlowTerms:
    """Simulates terms whose scheduler writes nothing while it loads.

    Each scheduler is alive but slow: its first renewal comes ``load_s`` after
    its claim, later ones every ``busy_s``.
    """

    def __init__(
        self,
        times: ElectionTimes,
        load_s: float,
        busy_s: float,
    ) -> None:
        self.times = times
        self.load_s = load_s
        self.busy_s = busy_s
        self.now = 0.0
        self.epochs_by_s: dict[float, int] = {}
        self.row = Row(OWNER_KEY)
        self.claim(Loss.NONE)

    @property
    def owner(self) -> OwnerRow:
        return read_owner(self.row)

    def claim(self, loss: Loss) -> None:
        owner, _ = takeover(
            self.row, 'i', 'peer', self.now * 1000, self.times, loss
        )
        self.row = stored(owner, self.row.version + 1)
        self.epochs_by_s[self.now] = owner.epoch
        self.renews_s = self.now + self.load_s

    def run(self, duration_s: float) -> None:
        ends_s = self.now + duration_s
        while self.now < ends_s:
            self.now = round(self.now + 0.05, 2)
            if self.now >= self.renews_s:
                renewed = msgspec.structs.replace(
                    self.owner, renewed_ms=self.now * 1000
                )
                self.row = stored(renewed, self.row.version + 1)
                self.renews_s = self.now + self.busy_s
            if should_take_over(
                self.times,
                Loss.SILENT,
                self.owner,
                self.row,
                self.now * 1000,
            ):
                self.claim(Loss.SILENT)


class TestSlowScheduler(TestCase):
    """A scheduler that is slow but alive eventually keeps its term."""

    def test_replacements_end(self) -> None:
        """Each successor was silent while it loaded, and was replaced too."""
        terms = SlowTerms(TIMES, load_s=2.5, busy_s=1.2)
        terms.run(60)
        self.assertLessEqual(terms.owner.epoch, 4)

    def test_replacements_never_end_with_a_constant_timeout(self) -> None:
        constant = ElectionTimes(most_silent_owner_s=TIMES.silent_owner_s)
        terms = SlowTerms(constant, load_s=2.5, busy_s=1.2)
        terms.run(60)
        self.assertGreater(terms.owner.epoch, 30)

    def test_delayed_scheduler_asks_for_a_longer_timeout(self) -> None:
        """It reports its delays before it falls silent."""
        owner = OwnerRow(3, 'i', 'peer', renewed_ms=1000)
        row = stored(owner, 1)
        self.assertTrue(should_take_over(TIMES, Loss.SILENT, owner, row, 1900))
        owner = msgspec.structs.replace(owner, patience_ms=1200)
        row = stored(owner, 1)
        self.assertFalse(should_take_over(TIMES, Loss.SILENT, owner, row, 1900))
        self.assertTrue(should_take_over(TIMES, Loss.SILENT, owner, row, 2300))

    def test_successor_does_not_inherit_the_longer_timeout(self) -> None:
        row = stored(OwnerRow(3, 'i', 'peer', patience_ms=1200), 1)
        owner, _ = takeover(row, 'i2', 'peer2', 9000, TIMES, Loss.BROKEN)
        self.assertEqual(0, owner.patience_ms)

    def test_silence_timeout_is_bounded(self) -> None:
        """A cell gets a new scheduler even if one after another freezes."""
        terms = SlowTerms(TIMES, load_s=600, busy_s=600)
        terms.run(120)
        gaps = list(terms.epochs_by_s)
        longest_s = max(
            late - early for early, late in zip(gaps, gaps[1:], strict=False)
        )
        self.assertLess(longest_s, TIMES.most_silent_owner_s + 0.2)

    def test_many_silent_terms_in_a_row(self) -> None:
        """After hours of such terms, the power of two overflowed a float."""
        terms = SlowTerms(TIMES, load_s=600, busy_s=600)
        for _ in range(1200):
            terms.claim(Loss.SILENT)
        terms.run(10)
        self.assertGreater(terms.owner.epoch, 1201)

    def test_silence_timeout_is_reset_after_a_long_term(self) -> None:
        terms = SlowTerms(TIMES, load_s=2.5, busy_s=0.2)
        terms.run(60)
        self.assertGreater(terms.owner.short_terms, 0)
        terms.claim(Loss.BROKEN)
        self.assertEqual(0, terms.owner.short_terms)

    def test_killed_scheduler_is_replaced_at_once(self) -> None:
        """The timeout is for silence only; a broken connection is certain."""
        owner = OwnerRow(3, 'i', 'peer', renewed_ms=1000, short_terms=9)
        row = stored(owner, 1)
        self.assertTrue(should_take_over(TIMES, Loss.BROKEN, owner, row, 1001))
        self.assertFalse(should_take_over(TIMES, Loss.SILENT, owner, row, 3000))


class TestDeputies(TestCase):
    """Deputies take over in order, instead of a hundred racing instances."""

    def ranks(self, *candidates: tuple[str, float, float]) -> list[str]:
        ranks = rank_deputies(TIMES, candidates)
        return sorted(ranks, key=ranks.__getitem__)

    def test_large_then_young(self) -> None:
        order = self.ranks(('old', 2, 300), ('small', 1, 1), ('young', 2, 5))
        self.assertEqual(['young', 'old', 'small'], order)

    def test_few_of_many(self) -> None:
        many = [(f'peer{number}', 1.0, 99.0) for number in range(100)]
        self.assertEqual(TIMES.deputies, len(rank_deputies(TIMES, many)))

    def delay(self, rank: int | None, read_s: float = 0) -> float:
        owner = OwnerRow(3, 'i', 'peer', largest_cores=2)
        return takeover_delay_s(TIMES, owner, 0.5, 1, 0, read_s, rank)

    def test_each_waits_for_the_better_ones(self) -> None:
        self.assertEqual(0, self.delay(0))
        self.assertLess(self.delay(1) + 0.05, self.delay(2))
        self.assertLess(self.delay(2), self.delay(None))

    def test_order_holds_in_a_slow_store(self) -> None:
        self.assertLess(self.delay(1, 0.3) + 0.29, self.delay(2, 0.3))


class TestFollowers(TestCase):
    """The scheduler's table of the instances that follow it."""

    def test_silent_follower_is_dropped(self) -> None:
        followers = FollowerTable()
        followers.record_call(FollowerCall('peer1', 2.0), 10)
        followers.record_call(FollowerCall('peer2', 1.0), 13)
        followers.drop_silent(14)
        self.assertEqual(['peer2'], followers.addresses())
        self.assertEqual(1.0, followers.largest_cores())

    def test_follower_without_address_is_no_candidate(self) -> None:
        followers = FollowerTable()
        followers.record_call(FollowerCall('', 2.0), 10)
        self.assertEqual([], followers.candidates())
