"""A peer counts as lapsed only after its lease has certainly expired."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.session_observer import SessionObserver
from apricotlead.protocol.rows import SessionRow
from apricotlead.protocol.table import Row

SESSION_ROW = msgspec.to_builtins(
    SessionRow('entry', '127.0.0.1:1', 'a', ttl_s=4)
)
FAILED_READ = None
# Name, reads as (sent, replied, row version) or FAILED_READ, and whether the
# session has lapsed.
CASES = (
    ('bound', ((0, 0, 1), (2, 2, 1), (4.09, 4.09, 1)), True),
    ('drift', ((0, 0, 1), (2, 2, 1), (4.07, 4.07, 1)), False),
    ('renewed', ((0, 0, 1), (2, 2, 2), (4.1, 4.1, 2)), False),
    ('failed', ((0, 0, 1), (2, 2, 1), FAILED_READ, (4.1, 4.1, 1)), False),
    ('gap', ((0, 0, 1), (9, 9, 1)), False),
    ('first reply late', ((0, 1, 1), (2, 2, 1), (4.9, 4.9, 1)), False),
    ('last reply late', ((0, 0, 1), (2, 2, 1), (4.0, 4.9, 1)), False),
)


class TestSessionObserver(TestCase):
    """Guards against adopting from a session with a valid lease."""

    def test_lapse_for_each_series_of_reads(self):
        """A failed read, a gap or a late reply must not shorten the lease."""
        for name, reads, expected in CASES:
            observer = SessionObserver(max_drift=0.02, max_gap_s=3)
            for read in reads:
                if read is FAILED_READ:
                    observer.record_failure()
                    continue
                sent_s, now, version = read
                rows = (Row('session/x', version, SESSION_ROW, 'op'),)
                observer.observe(rows, sent_s, now)
            is_lapsed = observer.sessions_by_id['x'].lapsed
            self.assertEqual((name, expected), (name, is_lapsed))
