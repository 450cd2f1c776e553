"""A peer counts as lapsed only after its lease is surely over."""

import msgspec
from testtools import TestCase

from apricotlead.coordination.session_observer import SessionObserver
from apricotlead.protocol.rows import SessionRow
from apricotlead.protocol.table import Row

VALUE = msgspec.to_builtins(SessionRow('entry', '127.0.0.1:1', 'a', ttl_s=4))
FAILED = None
# Reads as (sent, replied, version of the row), or FAILED; then the verdict.
CASES = (
    ('bound', ((0, 0, 1), (2, 2, 1), (4.09, 4.09, 1)), True),
    ('drift', ((0, 0, 1), (2, 2, 1), (4.07, 4.07, 1)), False),
    ('renewed', ((0, 0, 1), (2, 2, 2), (4.1, 4.1, 2)), False),
    ('failed', ((0, 0, 1), (2, 2, 1), FAILED, (4.1, 4.1, 1)), False),
    ('gap', ((0, 0, 1), (9, 9, 1)), False),
    ('first reply late', ((0, 1, 1), (2, 2, 1), (4.9, 4.9, 1)), False),
    ('last reply late', ((0, 0, 1), (2, 2, 1), (4.0, 4.9, 1)), False),
)


class TestSessionObserver(TestCase):
    """Guards against adopting from a session whose lease may still run."""

    def test_table(self):
        """Each row of the table gives its verdict."""
        for name, reads, expected in CASES:
            observer = SessionObserver(max_drift=0.02, max_gap_s=3)
            for read in reads:
                if read is FAILED:
                    observer.record_failure()
                    continue
                sent_s, now, version = read
                rows = (Row('session/x', version, VALUE, 'op'),)
                observer.observe(rows, sent_s, now)
            found = observer.sessions_by_id['x'].lapsed
            self.assertEqual((name, expected), (name, found))
