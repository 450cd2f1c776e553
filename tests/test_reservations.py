"""Room is granted once, in order, and only while it is certain."""

from testtools import TestCase

from tests.capacity_rig import CapacityRig


class TestReservationDesk(TestCase):
    """Guards against room that is given out twice, or to the wrong one."""

    def test_grants_once_for_a_doubled_request(self):
        """A request that the network doubled must not book twice."""
        rig = CapacityRig()
        rig.own_worker('w1', cpu=4000)
        first = rig.ask('r1', cpu=3000)
        self.assertEqual(first, rig.ask('r1', cpu=3000))
        self.assertEqual(1000, rig.ledger.free_of('w1').cpu_millis)
