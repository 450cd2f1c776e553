"""A table follower during store outages and repeated reads."""

from testtools import TestCase

from apricotlead.protocol.table import Changes, Rows, StoreFailed
from apricotlead.transport.table_follower import TableFollower


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
