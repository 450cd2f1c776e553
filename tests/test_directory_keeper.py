"""The directory follows the platform's list, which lags."""

from testtools import TestCase

from apricotlead.coordination.directory_keeper import (
    DirectoryKeeper,
    DirectorySettings,
)
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import InstancesListed
from apricotlead.state.cell_directory import CellDirectory

WIDE = Instance(
    'wide', 'worker', '127.0.0.1:1', 'a', capacity=Resources(9000, 10)
)
TALL = Instance(
    'tall', 'worker', '127.0.0.1:2', 'a', capacity=Resources(1000, 90)
)
EXECUTOR = Instance('exec', 'executor', '127.0.0.1:3', 'a', service='tally')


class TestDirectoryKeeper(TestCase):
    """Guards against losing the cell to one incomplete list."""

    def setUp(self):
        super().setUp()
        self.directory = CellDirectory()
        self.keeper = DirectoryKeeper.from_config(
            DirectorySettings(missing_grace_s=10),
            self.directory,
        )
        self.list(0, WIDE, TALL, EXECUTOR)

    def list(self, now, *instances):
        self.keeper.on_listed(InstancesListed(instances), now)

    def test_missing_instance_is_kept_for_a_while(self):
        """An empty list does not empty the directory at once."""
        self.list(9, WIDE)
        self.assertIn('tall', self.directory.workers_by_id)
        self.list(10, WIDE)
        self.assertEqual(['wide'], list(self.directory.workers_by_id))
        self.assertEqual((), self.directory.executors_of('tally'))

    def test_equal_list_changes_nothing(self):
        """Readers derive nothing anew from a list that says the same."""
        version = self.directory.version
        self.list(1, EXECUTOR, TALL, WIDE)
        self.assertEqual(version, self.directory.version)

    def test_no_single_worker_is_as_large_as_the_largest_of_each(self):
        """A demand may fit in the maxima and still in no worker."""
        demand = Resources(5000, 50)
        self.assertTrue(demand.fits_in(self.directory.largest_worker()))
        self.assertFalse(self.directory.can_hold(demand))
        self.assertTrue(self.directory.can_hold(Resources(9000, 10)))
