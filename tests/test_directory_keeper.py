"""Tests for the cell directory and the platform's list of instances."""

from testtools import TestCase

from apricotlead.coordination.directory_keeper import (
    DirectoryKeeper,
    DirectorySettings,
)
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import InstancesListed
from apricotlead.state.cell_directory import CellDirectory

LARGE_CPU = Instance(
    'large-cpu', 'worker', '127.0.0.1:1', 'a', capacity=Resources(9000, 10)
)
LARGE_MEMORY = Instance(
    'large-memory', 'worker', '127.0.0.1:2', 'a', capacity=Resources(1000, 90)
)
EXECUTOR = Instance('exec', 'executor', '127.0.0.1:3', 'a', service='tally')


class TestDirectoryKeeper(TestCase):
    """Guards against dropping running instances after an incomplete list."""

    def setUp(self):
        super().setUp()
        self.directory = CellDirectory()
        self.keeper = DirectoryKeeper.from_config(
            DirectorySettings(missing_grace_s=10),
            self.directory,
        )
        self.apply_list(0, LARGE_CPU, LARGE_MEMORY, EXECUTOR)

    def apply_list(self, now, *instances):
        self.keeper.on_listed(InstancesListed(instances), now)

    def test_missing_instance_is_kept_for_the_grace_period(self):
        """An empty list does not empty the directory at once."""
        self.apply_list(9, LARGE_CPU)
        self.assertIn('large-memory', self.directory.workers_by_id)
        self.apply_list(10, LARGE_CPU)
        self.assertEqual(['large-cpu'], list(self.directory.workers_by_id))
        self.assertEqual((), self.directory.executors_of('tally'))

    def test_reordered_list_changes_nothing(self):
        """An equal list in another order must not cause recomputations."""
        version = self.directory.version
        self.apply_list(1, EXECUTOR, LARGE_MEMORY, LARGE_CPU)
        self.assertEqual(version, self.directory.version)

    def test_demand_within_the_maxima_can_fit_no_worker(self):
        """The maxima of CPU and memory can belong to different workers."""
        demand = Resources(5000, 50)
        self.assertTrue(demand.fits_in(self.directory.largest_worker()))
        self.assertFalse(self.directory.can_hold(demand))
        self.assertTrue(self.directory.can_hold(Resources(9000, 10)))
