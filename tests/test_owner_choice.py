"""Tests of the selection of the session to request capacity from."""

from random import Random

from testtools import TestCase

from apricotlead.coordination.owner_choice import OwnerSelector
from apricotlead.protocol.peers import Gossip, SessionLoad
from apricotlead.protocol.resources import Resources
from tests.job_samples import session_view

DEMAND = Resources(1000, 1000)


def load(session_id, cores, serial=1):
    """Return a load with this many free cores of ten."""
    free = Resources(1000 * cores, 1000 * cores)
    capacity = Resources(10_000, 10_000)
    return SessionLoad(session_id, serial, '', free, capacity, free)


class TestOwnerSelector(TestCase):
    """Checks that full sessions are avoided and that bursts are spread."""

    def test_own_desk_is_first_then_the_freest_fitting_peer(self):
        """A burst uses a peer only up to the capacity that gossip reports."""
        selector = OwnerSelector(session_view('a', 'b', 'full'), Random(1))
        loads = (load('a', 3), load('b', 2), load('full', 0))
        selector.update_loads(Gossip('a', loads))
        selector.update_loads(Gossip('b', (load('full', 9, serial=0),)))
        self.assertEqual('own', selector.choose(DEMAND, (), 0))
        selector.record_own_refusal(DEMAND, 0)
        chosen = [selector.choose(DEMAND, (), 0.05) for _ in range(5)]
        self.assertCountEqual(['a', 'a', 'a', 'b', 'b'], chosen)
        self.assertEqual('own', selector.choose(DEMAND, (), 0.2))
        self.assertIsNone(selector.choose(DEMAND, ('own', 'a', 'b', 'full'), 1))
