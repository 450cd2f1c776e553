"""Load pattern: workers that are removed at short notice."""

import msgspec
from testtools import TestCase

from apricotlead.protocol.cell_jobs import StepSpec
from tests.cell_rig import SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
TASK = f'{JOB}.0.0.0'


class TestDrainingWorkers(TestCase):
    """No work is lost with a worker that announces that it drains."""

    def stopped_tasks(self, left_ms: float, **changes: object) -> list[str]:
        """Return the tasks stopped when a worker with one run drains."""
        rig = CellRig(ModelWorker('w1'))
        spec = StepSpec(1, SMALL, estimated_ms=4000, **changes)
        rig.submit(JOB, stored_job(spec))
        rig.round()
        rig.hold_all()
        entry = msgspec.structs.replace(
            rig.workers_by_id['w1'].entry,
            draining=True,
            drain_left_ms=left_ms,
        )
        rig.scheduler.workers.update_worker(entry, rig.now)
        rig.scheduler.tick(rig.now)
        stops = rig.scheduler.starts.stops_due(rig.now)
        return [order.task for _, order in stops]

    def test_run_that_ends_in_time_stays(self) -> None:
        self.assertEqual([], self.stopped_tasks(9000))

    def test_run_that_cannot_end_in_time_is_stopped_at_once(self) -> None:
        self.assertEqual([TASK], self.stopped_tasks(3000))

    def test_run_with_checkpoints_continues_until_a_stop_just_fits(
        self,
    ) -> None:
        self.assertEqual([], self.stopped_tasks(3000, checkpoints=True))
        self.assertEqual([TASK], self.stopped_tasks(1200, checkpoints=True))

    def test_draining_worker_gets_no_new_work(self) -> None:
        rig = CellRig(ModelWorker('w1', draining=True))
        rig.submit(JOB, stored_job())
        rig.pass_time(1)
        self.assertEqual([], rig.workers_by_id['w1'].started)
