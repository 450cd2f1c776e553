"""Background cleanup of the rows of final jobs during a term."""

import eventlet

from apricotlead.coordination.cell.job_intake import JobIntake
from apricotlead.coordination.cell.job_rows import MarkCleaner
from apricotlead.protocol.table import CheckFailed, Committed
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_links import CellLinks

# Final rows are compacted in batches, with one write per partition.
_CLEANUP_INTERVAL_S = 6.0


class RowUpkeep:
    """Compacts and deletes the rows of final jobs, refusals and cancels."""

    __slots__ = ('_jobs', '_store')

    def __init__(self, links: CellLinks, jobs: JobIntake) -> None:
        """Clean up the rows of ``jobs``."""
        self._store = links.store
        self._jobs = jobs

    def run(self) -> None:
        """Clean up until the green thread is killed."""
        while True:
            eventlet.sleep(_CLEANUP_INTERVAL_S)
            self._compact_final_rows()
            self._delete_marks(self._jobs.refusals)
            for job_id in self._delete_marks(self._jobs.lone_cancels):
                self._jobs.rows.drop_cancel(job_id)

    def _compact_final_rows(self) -> None:
        rows = self._jobs.rows
        for transaction, finals in rows.due(boot_now()):
            answer = self._store.transact(transaction)
            if isinstance(answer, Committed):
                version = max(answer.versions.values(), default=0)
                rows.written(finals, version, boot_now())
            elif isinstance(answer, CheckFailed):
                rows.conflicted(finals, answer.rows)

    def _delete_marks(self, marks: MarkCleaner) -> list[str]:
        """Delete rows that no late write can conflict with any more.

        Returns the ids of their jobs.
        """
        deleted: list[str] = []
        for transaction, job_ids in marks.due(boot_now()):
            answer = self._store.transact(transaction)
            if isinstance(answer, Committed):
                marks.written(job_ids)
                deleted.extend(job_ids)
            elif isinstance(answer, CheckFailed):
                marks.conflicted(job_ids, answer.rows)
        return deleted
