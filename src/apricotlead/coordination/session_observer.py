"""Detects lapsed sessions from successive scans of the session rows."""

from collections.abc import Iterable

from msgspec import Struct

from apricotlead.protocol.rows import SessionRow, id_of, read_session
from apricotlead.protocol.table import Row


class ObservedSession(Struct):
    """A session row as last read.

    ``unchanged_since_s`` is the arrival time of the first reply that showed
    this version in the current series of reads without a failure or gap.
    ``lapsed`` means that no renewal was seen for longer than the lease.
    """

    session_id: str
    row: SessionRow
    version: int
    unchanged_since_s: float
    lapsed: bool = False


class SessionObserver:
    """Session rows as read, and since when each has been unchanged.

    The lease of a session ends at the send time of its last renewal plus its
    ttl, by its own clock. The renewal took effect before the reply to the
    first read that showed it. So ``ttl * (1 + max_drift)`` after that reply,
    by any clock within the drift bound, the lease is over unless the row
    changed. The observation lasts up to the send time of the latest read, not
    its reply, because the reply may have been queued in this process.
    """

    __slots__ = ('_last_read_s', '_max_drift', '_max_gap_s', 'sessions_by_id')

    def __init__(self, max_drift: float, max_gap_s: float) -> None:
        """Start with nothing observed."""
        self._max_drift = max_drift
        self._max_gap_s = max_gap_s
        self._last_read_s: float | None = None
        self.sessions_by_id: dict[str, ObservedSession] = {}

    def record_failure(self) -> None:
        """Restart all observations because a read failed or timed out."""
        self._last_read_s = None

    def observe(
        self,
        rows: Iterable[Row],
        sent_s: float,
        now: float,
    ) -> None:
        """Apply all session rows of a successful scan."""
        has_gap = (
            self._last_read_s is None
            or now - self._last_read_s > self._max_gap_s
        )
        self._last_read_s = now
        previous_by_id = {} if has_gap else self.sessions_by_id
        self.sessions_by_id = {}
        for row in rows:
            session_id = id_of(row)
            self.sessions_by_id[session_id] = self._observe_row(
                previous_by_id.get(session_id),
                row,
                sent_s,
                now,
            )

    def _observe_row(
        self,
        previous: ObservedSession | None,
        row: Row,
        sent_s: float,
        now: float,
    ) -> ObservedSession:
        if previous is None or previous.version != row.version:
            return ObservedSession(
                id_of(row),
                read_session(row),
                row.version,
                now,
            )
        max_lease_s = previous.row.ttl_s * (1 + self._max_drift)
        previous.lapsed = sent_s - previous.unchanged_since_s > max_lease_s
        return previous
