"""The configuration is read soon after a start, and after a loss."""

from typing import Any

from testtools import TestCase

from apricotlead.cell_entry import config_follower
from apricotlead.protocol.table import Changes, Row, Rows, StoreFailed
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.serving import pause

ROW = Row('op//config', 3, {})
LOST = StoreFailed(applied=None)
# The store's client waits this long for an answer that was lost.
_LOST_S = 1.0
# A hedge follows after 0.15 s; the rest is left to a busy processor.
_IN_TIME_S = 0.6


class LosingTable:
    """Loses the answers to some of its calls, numbered from 0."""

    def __init__(self, *lost: int) -> None:
        self.lost = lost
        self.waits_s: list[float] = []
        self.calls = 0

    def scan_rows(self, prefix: str) -> Rows | StoreFailed:
        return self.answer(Rows((ROW,), 3, 100))

    def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | StoreFailed:
        self.waits_s.append(wait_s)
        return self.answer(Changes((), 3, 100))

    def answer(self, answer: Any) -> Any:
        number = self.calls
        self.calls += 1
        if number not in self.lost:
            return answer
        pause(_LOST_S)
        return LOST


class CountingListener:
    """Counts the rows and the confirmations."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.confirmed = 0

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        self.rows.extend(rows)

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        self.confirmed += 1


class TestConfigFeed(TestCase):
    """One lost answer does not keep an instance from serving for a second."""

    def setUp(self) -> None:
        super().setUp()
        self.listener = CountingListener()

    def follow(self, table: LosingTable) -> Any:
        return config_follower(table, self.listener, _ignore)

    # Guards against an instance that refuses its callers for over a second
    # after a start, since it has no keys before the first answer.
    def test_first_answer_is_lost(self) -> None:
        began_s = boot_now()
        self.follow(LosingTable(0)).step()
        self.assertLess(boot_now() - began_s, _IN_TIME_S)
        self.assertEqual([ROW], self.listener.rows)

    # Guards against keys that are refused since the configuration was not
    # confirmed for 4.5 s: a lost long poll already takes 1.8 s of these.
    def test_confirmation_after_a_loss_is_lost(self) -> None:
        table = LosingTable(1, 2)
        follower = self.follow(table)
        follower.step()
        follower.step()
        began_s = boot_now()
        follower.step()
        self.assertLess(boot_now() - began_s, _IN_TIME_S)
        self.assertEqual(2, self.listener.confirmed)

    # Guards against needless reads: a call that waits for changes is late
    # whenever there are none.
    def test_long_poll_is_sent_once(self) -> None:
        table = LosingTable(1)
        follower = self.follow(table)
        follower.step()
        follower.step()
        self.assertEqual(1, len(table.waits_s))


def _ignore(kind: str, **fields: object) -> None:
    """Drop a log line."""
