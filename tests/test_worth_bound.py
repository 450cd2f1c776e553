"""The estimate of the worth that perfect knowledge could earn."""

from itertools import repeat

from bench.worth_bound import BoundJob, Pool, earned_share, pool_from_states
from testtools import TestCase

_SLOTS_PER_S = 20


def _job(worth: float = 1, work_s: float = 1, cores: float = 4) -> BoundJob:
    return BoundJob(
        worth=worth,
        arrival_s=0,
        objective_s=2 * work_s,
        work_s=work_s,
        cores=cores,
    )


def _pool(cores: float, duration_s: int) -> Pool:
    return Pool(list(repeat(cores, duration_s * _SLOTS_PER_S)))


class TestWorthBound(TestCase):
    """Jobs that reserve their work in a pool of cores."""

    def test_enough_capacity_earns_all(self) -> None:
        pool = _pool(8, duration_s=2)

        self.assertEqual(1, earned_share([_job(), _job()], pool))

    def test_job_uses_at_most_its_cores(self) -> None:
        pool = _pool(100, duration_s=1)

        self.assertEqual(0, earned_share([_job(work_s=1.2)], pool))

    def test_jobs_of_highest_worth_density_reserve_first(self) -> None:
        pool = _pool(4, duration_s=6)
        jobs = [_job(worth=1), _job(worth=3), _job(worth=2)]

        share = earned_share(jobs, pool)

        self.assertAlmostEqual((3 + 2 + 0.2) / 6, share)

    def test_observed_capacity_follows_cell_state_lines(self) -> None:
        states = [
            {'timestamp': 10.0, 'cpu_millis': 4000},
            {'timestamp': 11.0, 'cpu_millis': 0},
            {'timestamp': 13.0, 'cpu_millis': 4000},
        ]
        jobs = [_job(work_s=1.5)]

        constant = pool_from_states(states, 10, is_constant=True)
        observed = pool_from_states(states, 10, is_constant=False)

        self.assertEqual(1, earned_share(jobs, constant))
        self.assertLess(earned_share(jobs, observed), 1)
