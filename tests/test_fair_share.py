"""Tests of the order in which teams and classes of work are served."""

from testtools import TestCase

from apricotlead.coordination.fair_share import (
    RecentGrants,
    order_teams,
    service_rank,
)
from apricotlead.protocol.config import CellConfig, Team
from apricotlead.protocol.resources import Resources
from tests.capacity_rig import FakeUsage


class TestFairShare(TestCase):
    """Checks that no team waits behind one with a larger share."""

    def test_order_of_teams(self):
        """A team with twice the weight may use twice as much."""
        teams = {
            name: Team(name, 'org', weight)
            for name, weight in (('light', 1.0), ('heavy', 4.0), ('none', 0))
        }
        usage = FakeUsage()
        usage.shares_by_team = {'light': 0.2, 'heavy': 0.4, 'none': 0.1}
        config = CellConfig(teams_by_name=teams)
        self.assertEqual(
            ['', 'heavy', 'light', 'none'],
            order_teams(('none', 'light', 'heavy', ''), config, usage, 0),
        )

    def test_order_of_classes(self):
        """Urgent before normal, and gang before batch within a class."""
        kinds = [
            service_rank(priority, gang)
            for priority in ('urgent', 'normal')
            for gang in (True, False)
        ]
        self.assertEqual([0, 1, 2, 3], kinds)

    def test_recent_grants_count_until_gossip_reports_them(self):
        """Grants count at once, and stop counting once gossip has them."""
        recent = RecentGrants(0.5)
        recent.add('team', Resources(500), 1)
        shares = [
            recent.share('team', Resources(1000), 2.0, now)
            for now in (1, 1.6, 2.2, 9)
        ]
        self.assertEqual([0.25, 0.25, 0, 0], shares)
