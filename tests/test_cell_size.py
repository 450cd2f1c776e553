"""Tests that a cell of the intended size stays within the store's limits."""

from base64 import b64encode

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.lease_rows import (
    LEASES_PREFIX,
    MAX_ROWS_PER_WRITE,
)
from apricotlead.protocol.table import Transaction
from tests.cell_rig import CellRig, ModelWorker

# The platform's settings: the largest value of a row, in bytes of base64, and
# the most entries and bytes of a transaction.
ROW_BYTES = 65536
MOST_ENTRIES = 100
TRANSACTION_BYTES = 1_000_000
# Format of the worker ids seen on the bench.
WORKER_ID = 'i-{:010x}'


def stored_bytes(value: object) -> int:
    """Return the size of a value in the store, in bytes."""
    return len(b64encode(msgspec.json.encode(value)))


class TestJournalOfManyWorkers(TestCase):
    """The lease rows of a term fit in the store at any cell size."""

    def setUp(self) -> None:
        super().setUp()
        self.transactions: list[Transaction] = []

    def run_cell(self, worker_count: int) -> CellRig:
        """Return a cell whose workers are all in contact and granted."""
        rig = CellRig(
            *(
                ModelWorker(WORKER_ID.format(number))
                for number in range(worker_count)
            ),
        )
        write = rig.write

        def record(transaction: Transaction) -> None:
            self.transactions.append(transaction)
            write(transaction)

        rig.write = record
        rig.take_over()
        while rig.scheduler.has_changes(rig.now):
            rig.journal()
        rig.hold_all()
        return rig

    def check_size(self, worker_count: int) -> None:
        rig = self.run_cell(worker_count)
        for transaction in self.transactions:
            sizes = [stored_bytes(put.value) for put in transaction.puts]
            entries = len(transaction.checks) + len(transaction.deletes)
            self.assertLess(max(sizes), ROW_BYTES)
            self.assertLess(sum(sizes), TRANSACTION_BYTES)
            self.assertLessEqual(entries + len(sizes), MOST_ENTRIES)
        workers = rig.scheduler.tracker.workers_by_id.values()
        self.assertTrue(all(worker.may_grant_lease for worker in workers))
        journaled_worker_ids = [
            worker_id
            for row in rig.rows(LEASES_PREFIX)
            for worker_id in row.value
        ]
        self.assertEqual(
            sorted(rig.workers_by_id), sorted(journaled_worker_ids)
        )

    def test_fits_with_270_workers(self) -> None:
        """The number of workers of the large site."""
        self.check_size(270)

    def test_fits_with_1500_workers(self) -> None:
        """The number of workers of a sweep of 300.

        Nothing can be journaled if the store rejects the row.
        """
        self.check_size(1500)

    def test_fits_with_12000_workers(self) -> None:
        self.check_size(12000)

    def test_writes_of_a_large_cell_are_bounded(self) -> None:
        """The journal is written many times per second."""
        self.check_size(12000)
        counts = [
            sum(put.key.startswith(LEASES_PREFIX) for put in transaction.puts)
            for transaction in self.transactions
        ]
        self.assertLessEqual(max(counts), MAX_ROWS_PER_WRITE)
