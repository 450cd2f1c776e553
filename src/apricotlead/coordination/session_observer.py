"""Judges from reads of the session rows which sessions have lapsed."""

from collections.abc import Iterable

from msgspec import Struct

from apricotlead.protocol.rows import SessionRow, id_of, read_session
from apricotlead.protocol.table import Row


class ObservedSession(Struct):
    """A session row as last read.

    ``unchanged_since_s`` is when the reply of the first read arrived that
    showed this version, of all successful reads since without a gap.
    ``lapsed`` tells that the row showed no renewal for longer than the lease.
    """

    session_id: str
    row: SessionRow
    version: int
    unchanged_since_s: float
    lapsed: bool = False


class SessionObserver:
    """Session rows as read, and since when each has not changed.

    The lease of a session ends at the send time of its last renewal plus its
    ttl, on its own clock. The renewal took effect before the first read that
    showed it was answered, so ``ttl * (1 + max_drift)`` after that answer, on
    any clock within the drift bound, the lease is over unless the row changed.
    The end of the observation is the send time of the latest read, because
    its answer may have waited in this process.
    """

    __slots__ = ('_last_read_s', '_max_drift', '_max_gap_s', 'sessions_by_id')

    def __init__(self, max_drift: float, max_gap_s: float) -> None:
        """Begin with nothing observed."""
        self._max_drift = max_drift
        self._max_gap_s = max_gap_s
        self._last_read_s: float | None = None
        self.sessions_by_id: dict[str, ObservedSession] = {}

    def record_failure(self) -> None:
        """Restart all observations: a read failed or stayed out."""
        self._last_read_s = None

    def observe(
        self,
        rows: Iterable[Row],
        sent_s: float,
        now: float,
    ) -> None:
        """Take over all session rows of a successful scan."""
        restart = (
            self._last_read_s is None
            or now - self._last_read_s > self._max_gap_s
        )
        self._last_read_s = now
        before_by_id = {} if restart else self.sessions_by_id
        self.sessions_by_id = {}
        for row in rows:
            session_id = id_of(row)
            self.sessions_by_id[session_id] = self._observe_one(
                before_by_id.get(session_id),
                row,
                sent_s,
                now,
            )

    def _observe_one(
        self,
        before: ObservedSession | None,
        row: Row,
        sent_s: float,
        now: float,
    ) -> ObservedSession:
        if before is None or before.version != row.version:
            return ObservedSession(
                id_of(row),
                read_session(row),
                row.version,
                now,
            )
        bound_s = before.row.ttl_s * (1 + self._max_drift)
        before.lapsed = sent_s - before.unchanged_since_s > bound_s
        return before
