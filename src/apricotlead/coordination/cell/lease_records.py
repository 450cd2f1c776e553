"""Records of the workers' leases that are handed from term to term."""

from collections.abc import Iterable

from apricotlead.coordination.cell.election import OwnerRow
from apricotlead.coordination.cell.lease_rows import ExpiryByWorker, LeaseRows
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.store_clock import StoreClock
from apricotlead.protocol.table import Put, Row
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.worker_lease import WorkerLease


class LeaseRecords:
    """Converts leases between rows on the store's clock and local times."""

    __slots__ = (
        '_clock',
        '_former_by_worker',
        '_latest_expiry_s',
        '_recorded_by_worker',
        '_rows',
        '_settings',
        '_unconfirmed_by_worker',
    )

    def __init__(
        self,
        settings: CellSettings,
        clock: StoreClock,
        former: OwnerRow | None,
        now: float,
    ) -> None:
        """Begin a term; ``former`` is the owner row of the previous one."""
        self._settings = settings
        self._clock = clock
        self._latest_expiry_s = now
        if former is not None:
            renewed_s = clock.to_local_s(former.renewed_ms, now)
            self._latest_expiry_s = max(now, _expiry_s(settings, renewed_s))
        self._former_by_worker: ExpiryByWorker = {}
        # The records in the write in progress.
        self._unconfirmed_by_worker: ExpiryByWorker = {}
        # The latest records, written or being written.
        self._recorded_by_worker: ExpiryByWorker = {}
        self._rows = LeaseRows()

    def load(self, rows: Iterable[Row]) -> list[str]:
        """Load the records of previous terms, once, before any worker is added.

        The rows must be read after the owner row was claimed. Returns the keys
        of rows that cannot be decoded.
        """
        known, unreadable = self._rows.load(rows)
        self._former_by_worker = known
        self._recorded_by_worker.update(known)
        return unreadable

    def forget(self, worker_id: str) -> None:
        """Discard the records of a worker that has restarted."""
        self._former_by_worker.pop(worker_id, None)
        self._recorded_by_worker.pop(worker_id, None)

    def may_grant(self, worker_id: str) -> bool:
        """Tell whether the previous terms' records allow grants to a worker."""
        return self._former_by_worker.get(worker_id) == 0

    def wants_grant(self, worker: WorkerState, now: float) -> bool:
        """Tell whether writing a worker's row would allow grants to it."""
        return not worker.may_grant_lease and self._is_in_contact(worker, now)

    def make_rows(
        self,
        workers_by_id: dict[str, WorkerState],
        now: float,
    ) -> tuple[Put, ...]:
        """Return the lease rows to include in the next journal write.

        Workers recorded as out of contact get no more grants from here on,
        since a grant could outlast the recorded expiry.
        """
        for worker_id in self._rows.sync(workers_by_id):
            self._recorded_by_worker.pop(worker_id, None)
        due_ids = [
            worker.worker_id
            for worker in workers_by_id.values()
            if self._is_due(worker, now)
        ]
        puts: list[Put] = []
        self._unconfirmed_by_worker = {}
        for number in self._rows.due(due_ids):
            workers = map(workers_by_id.get, self._rows.workers_of(number))
            records = {
                worker.worker_id: self._expiry_ms(worker, now)
                for worker in workers
            }
            puts.append(self._rows.make(number, records, now))
            self._unconfirmed_by_worker.update(records)
        self._recorded_by_worker.update(self._unconfirmed_by_worker)
        for worker_id, expiry_ms in self._unconfirmed_by_worker.items():
            if expiry_ms:
                workers_by_id[worker_id].may_grant_lease = False
        return tuple(puts)

    def written(self, workers_by_id: dict[str, WorkerState]) -> None:
        """Allow grants to workers recorded as in contact by a durable write."""
        for worker_id, expiry_ms in self._unconfirmed_by_worker.items():
            worker = workers_by_id.get(worker_id)
            if worker is not None:
                worker.may_grant_lease = not expiry_ms
        self._unconfirmed_by_worker = {}

    def refused(self) -> None:
        """Discard the records of a write that will never be durable."""
        for worker_id in self._unconfirmed_by_worker:
            self._recorded_by_worker.pop(worker_id, None)
        self._unconfirmed_by_worker = {}

    def new_lease(self, worker_id: str, now: float) -> WorkerLease:
        """Return a lease for a worker that has not been contacted yet."""
        times = self._settings.leases
        until_s = self._latest_expiry_s
        expiry_ms = self._former_by_worker.get(worker_id)
        if expiry_ms:
            expiry_s = self._clock.to_local_s(expiry_ms, now)
            until_s = expiry_s + times.margin_s
        return WorkerLease(times, now, until_s)

    def _expiry_ms(self, worker: WorkerState, now: float) -> float:
        """Return the expiry to record for a worker, 0 if it is in contact."""
        if self._is_in_contact(worker, now):
            return 0
        expiry_s = max(worker.lease.latest_expiry_s, worker.leases_until_s, now)
        return self._clock.to_store_ms(expiry_s, now)

    def _is_due(self, worker: WorkerState, now: float) -> bool:
        """Tell whether a worker's latest record no longer holds."""
        recorded_ms = self._recorded_by_worker.get(worker.worker_id)
        is_recorded_lost = recorded_ms is None or recorded_ms > 0
        return is_recorded_lost == self._is_in_contact(worker, now)

    def _is_in_contact(self, worker: WorkerState, now: float) -> bool:
        age_s = now - worker.lease.last_contact_s
        max_age_s = _max_contact_age_s(self._settings)
        return worker.lease.has_contact and age_s <= max_age_s


def _expiry_s(settings: CellSettings, renewed_s: float) -> float:
    """Return the latest time at which a previous term's lease may expire.

    A worker that has restarted may hold the longest lease that it accepts,
    counted from a start that the previous scheduler sent before its next
    renewal was due. Starts that it sent later are not covered.
    """
    times = settings.leases
    longest_s = times.longest_s * times.slowest_clock + times.margin_s
    longest_run_s = settings.election.renew_s + times.longest_run_s
    return renewed_s + max(longest_s, longest_run_s)


def _max_contact_age_s(settings: CellSettings) -> float:
    """Return the maximum age of the last answer of a worker in contact."""
    holds = settings.holds
    return holds.wait_s + holds.answer_slack_s + holds.pace_s
