"""What one term tells the next of the workers' leases, and learns so itself."""

from apricotlead.coordination.cell.election import LeaseRecord, OwnerRow
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.store_clock import StoreClock
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.worker_lease import WorkerLease


class LeaseRecords:
    """Translates leases between the owner row and this term's clock."""

    __slots__ = ('_clock', '_former_by_worker', '_granted_until_s', '_settings')

    def __init__(
        self,
        settings: CellSettings,
        clock: StoreClock,
        former: OwnerRow | None,
        now: float,
    ) -> None:
        """Begin with what the term that wrote ``former`` recorded."""
        self._settings = settings
        self._clock = clock
        self._granted_until_s = self._latest_grant_s(former, now)
        self._former_by_worker: dict[str, LeaseRecord] = {}
        if former is not None:
            self._former_by_worker.update(former.leases_by_worker)

    def forget(self, worker_id: str) -> None:
        """Drop what was recorded of a life that is over."""
        self._former_by_worker.pop(worker_id, None)

    def may_grant(self, worker_id: str) -> bool:
        """Tell whether the row of the takeover allows grants to a worker."""
        record = self._former_by_worker.get(worker_id)
        return record is not None and not record.over_ms

    def record(self, worker: WorkerState, now: float) -> LeaseRecord:
        """Return what a successor is to know of a worker's lease."""
        lease = worker.lease
        held_ms = self._clock.to_store_ms(lease.surely_held_until_s, now)
        age_s = now - lease.contact_s
        if lease.is_known and age_s <= _contact_bound_s(self._settings):
            return LeaseRecord(held_ms)
        over_s = max(lease.surely_over_s, now)
        return LeaseRecord(held_ms, self._clock.to_store_ms(over_s, now))

    def new_lease(self, worker_id: str, now: float) -> WorkerLease:
        """Return the lease of a worker that is not in contact yet."""
        times = self._settings.leases
        record = self._former_by_worker.get(worker_id)
        if record is None:
            return WorkerLease(times, now, self._granted_until_s)
        until_s = self._granted_until_s
        if record.over_ms:
            over_s = self._clock.to_local_s(record.over_ms, now)
            until_s = over_s + times.margin_s
        held_s = self._clock.to_local_s(record.held_ms, now) - times.margin_s
        return WorkerLease(times, now, until_s, held_s)

    def _latest_grant_s(self, former: OwnerRow | None, now: float) -> float:
        """Return until when any lease of the former term may hold."""
        if former is None:
            return now
        times = self._settings.leases
        renewed_s = self._clock.to_local_s(former.renewed_ms, now)
        until_s = renewed_s + times.longest_s * times.slowest_clock
        return max(until_s + times.margin_s, now)


def _contact_bound_s(settings: CellSettings) -> float:
    """Return how old the last answer of a worker in contact may be."""
    holds = settings.holds
    return holds.wait_s + holds.answer_slack_s + holds.pace_s
