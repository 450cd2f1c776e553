"""Bounds of the store at the size that the cell is to reach."""

from base64 import b64encode

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.lease_rows import (
    LEASES_PREFIX,
    MOST_ROWS_A_WRITE,
)
from apricotlead.protocol.table import Transaction
from tests.cell_rig import CellRig, ModelWorker

# The platform's settings: the largest value of a row, in bytes of base64, and
# the most entries and bytes of a transaction.
ROW_BYTES = 65536
MOST_ENTRIES = 100
TRANSACTION_BYTES = 1_000_000
# The id of a worker, as seen on the bench.
WORKER_ID = 'i-{:010x}'


def stored_bytes(value: object) -> int:
    """Return the bytes that a value takes in the store."""
    return len(b64encode(msgspec.json.encode(value)))


class TestJournalOfManyWorkers(TestCase):
    """What a term tells of leases fits in the store at any size."""

    def setUp(self) -> None:
        super().setUp()
        self.transactions: list[Transaction] = []

    def run_cell(self, worker_count: int) -> CellRig:
        """Return a cell whose workers are in contact and granted."""
        rig = CellRig(
            *(
                ModelWorker(WORKER_ID.format(number))
                for number in range(worker_count)
            ),
        )
        write = rig.write

        def keep(transaction: Transaction) -> None:
            self.transactions.append(transaction)
            write(transaction)

        rig.write = keep
        rig.take_over()
        while rig.scheduler.has_changes(rig.now):
            rig.journal()
        rig.hold_all()
        return rig

    def check(self, worker_count: int) -> None:
        rig = self.run_cell(worker_count)
        for transaction in self.transactions:
            sizes = [stored_bytes(put.value) for put in transaction.puts]
            entries = len(transaction.checks) + len(transaction.deletes)
            self.assertLess(max(sizes), ROW_BYTES)
            self.assertLess(sum(sizes), TRANSACTION_BYTES)
            self.assertLessEqual(entries + len(sizes), MOST_ENTRIES)
        workers = rig.scheduler.book.workers_by_id.values()
        self.assertTrue(all(worker.may_grant_lease for worker in workers))
        told = [
            worker_id
            for row in rig.rows(LEASES_PREFIX)
            for worker_id in row.value
        ]
        self.assertEqual(sorted(rig.workers_by_id), sorted(told))

    def test_fits_with_the_workers_of_the_large_site(self) -> None:
        self.check(270)

    def test_fits_with_the_workers_of_a_sweep_of_300(self) -> None:
        """Nothing can be journaled in a row that the store refuses."""
        self.check(1500)

    def test_fits_with_12000_workers(self) -> None:
        self.check(12000)

    def test_write_of_a_large_cell_holds_a_part_of_the_leases(self) -> None:
        """The journal is written many times a second."""
        self.check(12000)
        counts = [
            sum(put.key.startswith(LEASES_PREFIX) for put in transaction.puts)
            for transaction in self.transactions
        ]
        self.assertLessEqual(max(counts), MOST_ROWS_A_WRITE)
