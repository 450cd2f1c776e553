"""A table follower during store outages and repeated reads."""

from testtools import TestCase

from apricotlead.protocol.table import Changes, Row, Rows, StoreFailed
from apricotlead.transport.table_follower import TableFollower
from tests.virtual_clock import virtual_clock


class ScriptedTable:
    """Answers reads from a script, and records their wait times."""

    def __init__(self, *answers: Changes | StoreFailed) -> None:
        self.answers = list(answers)
        self.version = 0
        self.asked_after: list[int] = []
        self.waits_s: list[float] = []

    def scan_rows(self, prefix: str) -> Rows:
        self.version += 1
        return Rows((), self.version, 1)

    def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> Changes | StoreFailed:
        self.waits_s.append(wait_s)
        self.asked_after.append(after)
        return self.answers.pop(0)


class CountingListener:
    """Counts confirmations."""

    confirmed = 0

    def on_snapshot(self, rows: object, read_s: float) -> None:
        """Ignore the rows."""

    def on_confirmed(self, read_s: float, store_ms: float) -> None:
        self.confirmed += 1


class TestOutage(TestCase):
    """The state is confirmed at once when the store is available again."""

    def test_first_read_after_a_loss_does_not_wait(self) -> None:
        """A read that waits a second for changes delays the confirmation.

        Keys are refused meanwhile.
        """
        good = Changes((), 1, 1)
        table = ScriptedTable(good, StoreFailed(applied=False), good, good)
        listener = CountingListener()
        follower = TableFollower(
            table,
            ('op//',),
            listener,
            lambda kind, **fields: None,
        )
        for _ in range(5):
            follower.step()
        usual_s = table.waits_s[0]
        self.assertGreater(usual_s, 0)
        self.assertEqual([usual_s, usual_s, 0, usual_s], table.waits_s)
        self.assertEqual(4, listener.confirmed)


class TestRepeatedReads(TestCase):
    """Rows written between two reads of a table must not be missed.

    A slow read is repeated. If the rows of the first answer are used but
    changes are followed from the second, jobs submitted in between are not
    scheduled until the next term.
    """

    def setUp(self) -> None:
        super().setUp()
        self.table = ScriptedTable(Changes((), 9, 1))
        self.follower = TableFollower(
            self.table,
            ('jobs/0/',),
            CountingListener(),
            lambda kind, **fields: None,
        )

    def test_changes_follow_the_answer_in_use(self) -> None:
        first = self.follower.read_all()
        self.follower.read_all()
        self.follower.follow_from(first)
        self.follower.step()
        self.assertEqual([first.version], self.table.asked_after)

    def test_read_that_is_not_used(self) -> None:
        """The repeated read may be answered after the rows were applied."""
        first = self.follower.read_all()
        self.follower.follow_from(first)
        self.follower.read_all()
        self.follower.step()
        self.assertEqual([first.version], self.table.asked_after)


class LossyTable:
    """Loses the answer to every third scan; each scan sees a later version."""

    def __init__(self) -> None:
        self.scans: list[str] = []
        self.asked_after: list[int] = []

    def scan_rows(self, prefix: str) -> Rows | StoreFailed:
        self.scans.append(prefix)
        number = len(self.scans)
        if number % 3 == 0:
            return StoreFailed(applied=None)
        return Rows((Row(f'{prefix}a', number),), number, 1)

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        self.asked_after.append(after)
        return Changes(version=after)


class SnapshotListener(CountingListener):
    """Keeps the last snapshot."""

    def on_snapshot(self, rows: tuple[Row, ...], read_s: float) -> None:
        self.keys = {row.key for row in rows}
        self.read_s = read_s


class TestLossyReads(TestCase):
    """A table of many prefixes is read while answers are lost."""

    prefixes = tuple(f'jobs/{number}/' for number in range(16))

    def setUp(self) -> None:
        super().setUp()
        self.clock = self.enterContext(virtual_clock())
        self.table = LossyTable()
        self.listener = SnapshotListener()
        self.follower = TableFollower(
            self.table,
            self.prefixes,
            self.listener,
            lambda kind, **fields: None,
        )

    def steps_until_read(self) -> int:
        count = 1
        while self.follower.step() is not None and count < 20:
            self.clock.now += 1
            count += 1
        return count

    # Guards against a table that is not read as long as any answer is lost.
    def test_only_missing_prefixes_are_read_again(self) -> None:
        began_s = self.clock.now
        self.assertLess(self.steps_until_read(), 5)
        self.assertEqual(
            {f'{prefix}a' for prefix in self.prefixes}, self.listener.keys
        )
        self.assertEqual(began_s, self.listener.read_s)
        self.assertLess(len(self.table.scans), 26)
        # Changes made after the first page was read must be delivered.
        self.follower.step()
        self.assertEqual([1], self.table.asked_after)

    # Guards against pages that are older than the history of changes.
    def test_old_pages_are_read_again(self) -> None:
        self.follower.step()
        self.clock.now += 60
        began_s = self.clock.now
        self.steps_until_read()
        self.assertEqual(began_s, self.listener.read_s)

    # Guards against pages of an earlier read in a later one.
    def test_history_is_lost_later(self) -> None:
        self.steps_until_read()
        lost = Changes(history_lost=True)
        self.table.changes = lambda *call: lost
        self.follower.step()
        scanned_count = len(self.table.scans)
        self.steps_until_read()
        scanned = set(self.table.scans[scanned_count:])
        self.assertEqual(set(self.prefixes), scanned)
