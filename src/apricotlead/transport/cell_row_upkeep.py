"""Background cleanup of the rows of final jobs during a term."""

import eventlet

from apricotlead.coordination.cell.job_intake import JobIntake
from apricotlead.protocol.table import CheckFailed, Committed
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_links import CellLinks

# Final rows are compacted in batches, with one write per partition.
_CLEANUP_INTERVAL_S = 6.0


class RowUpkeep:
    """Compacts and deletes the rows of final jobs and of refusals."""

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
            self._delete_refusals()

    def _compact_final_rows(self) -> None:
        rows = self._jobs.rows
        for transaction, finals in rows.due(boot_now()):
            answer = self._store.transact(transaction)
            if isinstance(answer, Committed):
                version = max(answer.versions.values(), default=0)
                rows.written(finals, version, boot_now())
            elif isinstance(answer, CheckFailed):
                rows.conflicted(finals, answer.rows)

    def _delete_refusals(self) -> None:
        """Delete the rows of refusals that no late write can conflict with."""
        refusals = self._jobs.refusals
        for transaction, job_ids in refusals.due(boot_now()):
            answer = self._store.transact(transaction)
            if isinstance(answer, Committed):
                refusals.written(job_ids)
            elif isinstance(answer, CheckFailed):
                refusals.conflicted(job_ids, answer.rows)
