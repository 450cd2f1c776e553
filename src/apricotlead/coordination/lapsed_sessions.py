"""State of the sessions that own rows but are not live peers."""

from apricotlead.protocol.rows import read_session, session_key
from apricotlead.protocol.table import Check, Row

# A claim on rows of a session that was not adopted is retried after this time.
_LIVE_OWNER_RETRY_S = 30.0


class LapsedSessions:
    """Tells whose rows may be claimed, and with which check.

    A session marked adopted stays so until its row is deleted, so a late
    report that it was leaving or live never replaces that state. The row of an
    unknown owner is assumed to be deleted; the check fails if it is not.
    """

    __slots__ = ('_retry_s_by_id', '_versions_by_id')

    def __init__(self) -> None:
        """Start with no session."""
        self._retry_s_by_id: dict[str, float] = {}
        self._versions_by_id: dict[str, int] = {}

    def record(self, session_id: str, row_version: int, now: float) -> None:
        """Record an adopted session, or with ``row_version`` 0 another one.

        A session that is not adopted still holds its rows.
        """
        if row_version:
            self._versions_by_id[session_id] = row_version
            self._retry_s_by_id.pop(session_id, None)
        elif session_id not in self._versions_by_id:
            self._retry_s_by_id[session_id] = now + _LIVE_OWNER_RETRY_S

    def apply_row(self, session_id: str, row: Row, now: float) -> None:
        """Apply a session row from the reply to a failed check."""
        if not row.version:
            self.forget(session_id)
        elif read_session(row).state == 'adopted':
            self.record(session_id, row.version, now)
        else:
            self.record(session_id, 0, now)

    def may_claim_from(self, session_id: str, now: float) -> bool:
        """Tell whether a claim on the session's rows can succeed."""
        return now >= self._retry_s_by_id.get(session_id, now)

    def claim_check(self, session_id: str) -> Check:
        """Return the check that makes a claim on the session's rows safe."""
        version = self._versions_by_id.get(session_id, 0)
        return Check(session_key(session_id), version)

    def forget(self, session_id: str) -> None:
        """Treat the session as unknown."""
        self._versions_by_id.pop(session_id, None)
        self._retry_s_by_id.pop(session_id, None)
