"""What the scheduler counts of runs, room and limits, whatever happens."""

from testtools import TestCase

from tests.cell_rig import CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
TASK = f'{JOB}.0.0.0'


class TestStops(TestCase):
    """Two runs of a task on one worker are stopped independently."""

    def test_older_run_that_is_listed_leaves_a_pending_stop(self) -> None:
        """The newer run stayed STOPPING, and its step was never placed."""
        rig = CellRig(ModelWorker('w1'))
        rig.submit(JOB, stored_job())
        rig.scheduler.plan(rig.now, [])
        task = rig.scheduler.book.task(TASK)
        rig.scheduler.book.unplace(task, rig.now)
        rig.scheduler.plan(rig.now, [])
        rig.journal()
        rig.scheduler.book.stop(task)
        rig.workers_by_id['w1'].running_by_task[TASK] = 1
        rig.hold('w1')
        stops = rig.scheduler.starts.stops_due(rig.now)
        self.assertEqual({1, 2}, {stop.run for _, stop in stops})
