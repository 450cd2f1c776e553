"""Which entries of the platform's registry name a worker to use."""

from collections.abc import Container

from apricotlead.coordination.cell.job_intake import JobIntake
from apricotlead.coordination.cell.run_tracker import RunTracker
from apricotlead.coordination.cell.worker_watch import WorkerWatch
from apricotlead.protocol.cell_workers import WorkerEntry


class Registrations:
    """Applies registrations, and defers those of unknown services.

    Other programs also write entries. One of a service that neither the
    configuration nor a job names is no worker of this cell, so it is not
    called. It is kept, since a later configuration may name the service.
    """

    __slots__ = ('_deferred_by_id', '_jobs', '_tracker', '_workers')

    def __init__(
        self,
        tracker: RunTracker,
        jobs: JobIntake,
        workers: WorkerWatch,
    ) -> None:
        """Start without registrations."""
        self._tracker = tracker
        self._jobs = jobs
        self._workers = workers
        self._deferred_by_id: dict[str, WorkerEntry] = {}

    def apply(
        self,
        worker_id: str,
        entry: WorkerEntry | None,
        now: float,
    ) -> bool:
        """Apply an entry, ``None`` if it was removed or is unusable.

        Tells whether it is of a new worker, which has to be held.
        """
        self._deferred_by_id.pop(worker_id, None)
        if entry is None:
            self._workers.mark_unlisted(worker_id)
            return False
        if self._is_of_cell(entry):
            return self._workers.update_worker(entry, now)
        self._tracker.note(
            'registration deferred', worker=worker_id, service=entry.service
        )
        self._deferred_by_id[worker_id] = entry
        self._workers.mark_unlisted(worker_id)
        return False

    def keep_only(self, listed_ids: Container[str]) -> None:
        """Apply that no other workers than these are registered."""
        for worker_id in (*self._tracker.workers_by_id, *self._deferred_by_id):
            if worker_id not in listed_ids:
                self.apply(worker_id, None, 0)

    def apply_deferred(self, now: float) -> list[str]:
        """Apply entries whose service is known by now; return new workers."""
        due = [
            entry
            for entry in self._deferred_by_id.values()
            if self._is_of_cell(entry)
        ]
        return [
            entry.worker_id
            for entry in due
            if self.apply(entry.worker_id, entry, now)
        ]

    def _is_of_cell(self, entry: WorkerEntry) -> bool:
        known = self._tracker.workers_by_id.get(entry.worker_id)
        if known is not None and known.entry.service == entry.service:
            return True
        return self._jobs.has_service(entry.service)
