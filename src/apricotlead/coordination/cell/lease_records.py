"""What one term tells the next of the workers' leases, and learns so itself."""

from collections.abc import Iterable

from apricotlead.coordination.cell.election import OwnerRow
from apricotlead.coordination.cell.lease_rows import LeaseRows, OverByWorker
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.coordination.cell.store_clock import StoreClock
from apricotlead.protocol.table import Put, Row
from apricotlead.state.cell_workers import WorkerState
from apricotlead.state.worker_lease import WorkerLease


class LeaseRecords:
    """Translates leases between the store's rows and this term's clock."""

    __slots__ = (
        '_clock',
        '_former_by_worker',
        '_granted_until_s',
        '_made_by_worker',
        '_rows',
        '_settings',
        '_told_by_worker',
    )

    def __init__(
        self,
        settings: CellSettings,
        clock: StoreClock,
        former: OwnerRow | None,
        now: float,
    ) -> None:
        """Begin after the term that wrote ``former``."""
        self._settings = settings
        self._clock = clock
        self._granted_until_s = self._latest_grant_s(former, now)
        self._former_by_worker: OverByWorker = {}
        # The records of the write that is under way.
        self._made_by_worker: OverByWorker = {}
        # What the rows that were made last tell.
        self._told_by_worker: OverByWorker = {}
        self._rows = LeaseRows()

    def load(self, rows: Iterable[Row]) -> list[str]:
        """Take over what former terms recorded, once, before any worker.

        The rows have to be read after the claim of the owner row. Returns the
        keys of those that cannot be read.
        """
        known, unreadable = self._rows.load(rows)
        self._former_by_worker = known
        self._told_by_worker.update(known)
        return unreadable

    def forget(self, worker_id: str) -> None:
        """Drop what was recorded of a life that is over."""
        self._former_by_worker.pop(worker_id, None)
        self._told_by_worker.pop(worker_id, None)

    def may_grant(self, worker_id: str) -> bool:
        """Tell whether the rows of former terms allow grants to a worker."""
        return self._former_by_worker.get(worker_id) == 0

    def wants_grant(self, worker: WorkerState, now: float) -> bool:
        """Tell whether a write of its row would allow grants to a worker."""
        return not worker.may_grant_lease and self._is_in_contact(worker, now)

    def make_rows(
        self,
        workers_by_id: dict[str, WorkerState],
        now: float,
    ) -> tuple[Put, ...]:
        """Return the rows that the next write of the journal takes along.

        Workers that a row calls out of contact are granted nothing from here
        on: a grant would outlast what the row says.
        """
        for worker_id in self._rows.sync(workers_by_id):
            self._told_by_worker.pop(worker_id, None)
        due_ids = [
            worker.worker_id
            for worker in workers_by_id.values()
            if self._is_due(worker, now)
        ]
        puts: list[Put] = []
        self._made_by_worker = {}
        for number in self._rows.due(due_ids):
            workers = map(workers_by_id.get, self._rows.workers_of(number))
            records = {
                worker.worker_id: self._over_ms(worker, now)
                for worker in workers
            }
            puts.append(self._rows.make(number, records, now))
            self._made_by_worker.update(records)
        self._told_by_worker.update(self._made_by_worker)
        for worker_id, over_ms in self._made_by_worker.items():
            if over_ms:
                workers_by_id[worker_id].may_grant_lease = False
        return tuple(puts)

    def written(self, workers_by_id: dict[str, WorkerState]) -> None:
        """Allow grants to the workers that the durable write calls known."""
        for worker_id, over_ms in self._made_by_worker.items():
            worker = workers_by_id.get(worker_id)
            if worker is not None:
                worker.may_grant_lease = not over_ms
        self._made_by_worker = {}

    def new_lease(self, worker_id: str, now: float) -> WorkerLease:
        """Return the lease of a worker that is not in contact yet."""
        times = self._settings.leases
        until_s = self._granted_until_s
        over_ms = self._former_by_worker.get(worker_id)
        if over_ms:
            over_s = self._clock.to_local_s(over_ms, now)
            until_s = over_s + times.margin_s
        return WorkerLease(times, now, until_s)

    def _over_ms(self, worker: WorkerState, now: float) -> float:
        """Return what a successor is to know of a worker's lease."""
        if self._is_in_contact(worker, now):
            return 0
        over_s = max(worker.lease.latest_expiry_s, now)
        return self._clock.to_store_ms(over_s, now)

    def _is_due(self, worker: WorkerState, now: float) -> bool:
        """Tell whether a successor has to know more than it was told."""
        told_ms = self._told_by_worker.get(worker.worker_id)
        is_called_lost = told_ms is None or told_ms > 0
        return is_called_lost == self._is_in_contact(worker, now)

    def _is_in_contact(self, worker: WorkerState, now: float) -> bool:
        age_s = now - worker.lease.last_contact_s
        bound_s = _contact_bound_s(self._settings)
        return worker.lease.has_contact and age_s <= bound_s

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
