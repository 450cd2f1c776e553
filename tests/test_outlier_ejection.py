"""Failing members are ejected, healthy ones are not, for any jobs."""

from testtools import TestCase

from apricotlead.coordination.outlier_ejection import (
    EjectionSettings,
    OutlierEjection,
)


def ejection_of(count, **options):
    """Build a set of ``count`` members."""
    return OutlierEjection(EjectionSettings(**options), lambda: count)


def fail(ejection, member_id, *jobs):
    """Record a failure of each job on a member."""
    for job in jobs:
        ejection.record(member_id, job, True, 1)


class TestOutlierEjection(TestCase):
    """Guards against black holes, and ejection of healthy members."""

    def test_fails_several_jobs(self):
        """Only failures of distinct jobs count, weighed against successes."""
        ejection = ejection_of(10)
        fail(ejection, 'w1', 'a', 'a', 'a', 'a', 'b')
        self.assertEqual('trusted', ejection.standing('w1'))
        fail(ejection, 'w1', 'c')
        self.assertEqual('ejected', ejection.standing('w1'))
        fail(ejection, 'w2', 'd', 'e')
        for job in 'xyz':
            ejection.record('w2', job, False, 1)
        fail(ejection, 'w2', 'f')
        self.assertEqual('trusted', ejection.standing('w2'))

    def test_bad_jobs_do_not_eject_members(self):
        """Jobs that fail everywhere do not count against their members."""
        ejection = ejection_of(10, max_fraction=1.0)
        fail(ejection, 'w1', 'a', 'b', 'c')
        self.assertEqual(('w1',), ejection.untrusted_ids())
        for member_id in ('w2', 'w3', 'w4'):
            fail(ejection, member_id, 'a', 'b', 'c')
        self.assertEqual((), ejection.untrusted_ids())

    def test_job_that_succeeds_elsewhere_still_counts(self):
        """Many failing members must not be mistaken for bad jobs."""
        ejection = ejection_of(24, max_fraction=0.5)
        for number in range(8):
            for job in 'abc':
                fail(ejection, f'bad{number}', job)
                ejection.record(f'good{number}', job, False, 1)
                ejection.record(f'fine{number}', job, False, 1)
        self.assertEqual(8, len(ejection.untrusted_ids()))

    def test_never_more_than_the_fraction(self):
        """A bad deployment must not eject the whole set."""
        for count, most in ((1, 0), (2, 1), (10, 2), (24, 4)):
            ejection = ejection_of(count, suspect_members=1000)
            for number in range(count):
                fail(ejection, f'w{number}', 'a', 'b', 'c')
            self.assertEqual(most, len(ejection.untrusted_ids()), count)

    def test_probes_one_by_one(self):
        """A member is trusted again only after a successful single probe."""
        ejection = ejection_of(10)
        fail(ejection, 'w1', 'a', 'b', 'c')
        ejection.advance(10.9)
        self.assertFalse(ejection.may_use('w1'))
        ejection.advance(11)
        self.assertTrue(ejection.may_use('w1'))
        ejection.record_use('w1', 11)
        self.assertFalse(ejection.may_use('w1'))
        ejection.record('w1', 'd', True, 12)
        ejection.advance(31)
        self.assertFalse(ejection.may_use('w1'))
        ejection.advance(32)
        ejection.record_use('w1', 32)
        ejection.advance(62)
        self.assertTrue(ejection.may_use('w1'), 'the probe was lost')
        ejection.record('w1', 'e', False, 63)
        self.assertEqual('trusted', ejection.standing('w1'))
