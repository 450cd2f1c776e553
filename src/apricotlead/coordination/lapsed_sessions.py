"""What is known of the sessions that own rows but are not live peers."""

from apricotlead.protocol.rows import read_session, session_key
from apricotlead.protocol.table import Check, Row

# A session that still held its rows is asked about again after this time.
_HOLDS_S = 30.0


class LapsedSessions:
    """Which owners' rows may be taken, and on which check.

    A session marked adopted stays so until its row is deleted, so a late
    report that it was leaving or live never replaces that. Of an unknown
    owner it is assumed that its row is gone; the check finds out.
    """

    __slots__ = ('_holds_until_s_by_id', '_versions_by_id')

    def __init__(self) -> None:
        """Begin with no session."""
        self._holds_until_s_by_id: dict[str, float] = {}
        self._versions_by_id: dict[str, int] = {}

    def record(self, session_id: str, row_version: int, now: float) -> None:
        """Note an adopted session by its row version, 0 for a holder."""
        if row_version:
            self._versions_by_id[session_id] = row_version
            self._holds_until_s_by_id.pop(session_id, None)
        elif session_id not in self._versions_by_id:
            self._holds_until_s_by_id[session_id] = now + _HOLDS_S

    def apply_row(self, session_id: str, row: Row, now: float) -> None:
        """Take over a session row from the answer of a failed check."""
        if not row.version:
            self.forget(session_id)
        elif read_session(row).state == 'adopted':
            self.record(session_id, row.version, now)
        else:
            self.record(session_id, 0, now)

    def may_claim_from(self, session_id: str, now: float) -> bool:
        """Tell whether a claim on the session's rows can succeed."""
        return now >= self._holds_until_s_by_id.get(session_id, now)

    def claim_check(self, session_id: str) -> Check:
        """Return the check that makes a claim on its rows safe."""
        version = self._versions_by_id.get(session_id, 0)
        return Check(session_key(session_id), version)

    def forget(self, session_id: str) -> None:
        """Treat the session as unknown."""
        self._versions_by_id.pop(session_id, None)
        self._holds_until_s_by_id.pop(session_id, None)
