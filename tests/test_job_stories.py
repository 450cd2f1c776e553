"""Tests of the ``job ended`` log event, and of tables made from logs."""

import msgspec
from bench.job_stories import CellHistory
from bench.what_binds import WorthTable
from testtools import TestCase

from apricotlead.coordination.cell.job_rows import job_key
from apricotlead.protocol.cell_jobs import StepSpec
from apricotlead.protocol.cell_workers import EndKind
from apricotlead.protocol.resources import Resources
from apricotlead.state.wait_times import WaitReason, WaitTimes
from tests.cell_rig import CAPACITY, SMALL, CellRig, ModelWorker, stored_job

JOB = '00000000000000aa'
OTHER = '00000000000000bb'
TASK = f'{JOB}.0.0.0'


class TestWaitTimes(TestCase):
    """Checks that waiting time is counted for one reason at a time."""

    def test_time_is_counted_for_the_current_reason(self) -> None:
        waits = WaitTimes()
        waits.note(WaitReason.ADVICE_PENDING, 1)
        waits.note(WaitReason.NO_CAPACITY, 1.5)
        waits.note(None, 3)
        waits.note(WaitReason.ADVICE_PENDING, 7)
        waits.note(None, 7.25)
        self.assertEqual(
            {WaitReason.ADVICE_PENDING: 0.75, WaitReason.NO_CAPACITY: 1.5},
            waits.seconds(),
        )


class TestJobEndedEvent(TestCase):
    """Checks the waits and lost runs in the event at a job's end."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = ModelWorker('w1')
        self.rig = CellRig(self.worker)

    def ended_fields(self) -> dict[str, object]:
        """Return the fields of the job's ``job ended`` event."""
        notes = self.rig.scheduler.tracker.notes
        return next(fields for kind, fields in notes if kind == 'job ended')

    def wait_s(self, reason: WaitReason) -> float:
        return self.ended_fields()['waits'].get(str(reason), 0)

    def end_after(self, duration_s: float) -> None:
        self.rig.pass_time(duration_s)
        self.worker.end(TASK)
        self.rig.hold_all()

    def test_wait_for_a_full_worker(self) -> None:
        other = '00000000000000bb'
        self.rig.submit(other, stored_job(StepSpec(1, CAPACITY)))
        self.rig.round()
        self.rig.submit(JOB, stored_job(StepSpec(1, SMALL, estimated_ms=1000)))
        self.rig.round()
        self.rig.pass_time(1.5)
        self.worker.end(f'{other}.0.0.0')
        self.rig.hold_all()
        self.rig.round()
        self.rig.scheduler.tracker.notes.clear()
        self.end_after(2)
        self.assertAlmostEqual(1.5, self.wait_s(WaitReason.NO_CAPACITY))
        self.assertAlmostEqual(2, self.ended_fields()['work_s'])
        self.assertAlmostEqual(3.5, self.ended_fields()['known_s'])

    def test_wait_for_the_limit_of_the_organisation(self) -> None:
        self.rig = CellRig(self.worker, limit=Resources(1000, 0, 0))
        self.rig.submit(OTHER, stored_job())
        self.rig.round()
        self.rig.submit(JOB, stored_job())
        self.rig.pass_time(2)
        self.rig.scheduler.jobs.apply_job_row(self.cancel_row(), self.rig.now)
        self.assertAlmostEqual(1.5, self.wait_s(WaitReason.ORGANISATION_LIMIT))

    def cancel_row(self) -> object:
        row = self.rig.rows_by_key[job_key(JOB)]
        return msgspec.structs.replace(row, key=f'{row.key}~cancel')

    def test_runs_that_were_lost(self) -> None:
        self.rig.submit(JOB, stored_job(StepSpec(1, SMALL, estimated_ms=1000)))
        self.rig.round()
        self.rig.pass_time(2)
        self.worker.end(TASK, EndKind.FAILED)
        self.rig.hold_all()
        self.rig.round()
        self.end_after(1)
        self.assertEqual({'failed': 2}, self.ended_fields()['lost'])
        self.assertEqual(2, self.ended_fields()['runs'])


class TestStories(TestCase):
    """Checks that the tables of a run are computed from its log alone."""

    def record(self, kind: str, at_s: float, **fields: object) -> str:
        record = {'message_type': kind, 'timestamp': at_s, 'instance': 'i1'}
        text = msgspec.json.encode(record | fields).decode()
        return f'12.5 front-1 {text}'

    def ended(self, at_s: float, **changes: object) -> str:
        fields = {
            'job': JOB,
            'state': 'completed',
            'queue': 'lookups',
            'age_s': at_s - 1,
            'known_s': at_s - 1,
            'objective_s': 2.0,
            'stretch': 2.0,
            'estimate_s': 1.0,
            'work_s': 1.0,
            'core_s': 1.0,
            'waits': {'advice': 0.5, 'room': 1.5},
            'lost': {},
        }
        return self.record('job ended', at_s, **(fields | changes))

    def history(self, *lines: str) -> CellHistory:
        submitted = self.record(
            'job submitted',
            1.0,
            job=JOB,
            queue='lookups',
            outcome='stored',
            took_s=0.0,
        )
        return CellHistory.from_lines([submitted, 'no JSON', '{}', *lines])

    def test_job_in_time(self) -> None:
        job = self.history(self.ended(2.9)).jobs_by_id[JOB]
        self.assertEqual('in time', job.outcome)

    def test_late_job_and_its_reason(self) -> None:
        job = self.history(self.ended(4.0)).jobs_by_id[JOB]
        self.assertEqual(('late', 'wait room'), (job.outcome, job.reason()))

    def test_objective_follows_the_measured_runs(self) -> None:
        job = self.history(self.ended(4.0, work_s=1.6)).jobs_by_id[JOB]
        self.assertEqual('in time', job.outcome)

    def test_job_without_an_end(self) -> None:
        table = WorthTable(self.history())
        self.assertEqual(['unfinished'], [job.outcome for job in table.jobs])

    def test_reasons_are_reported_by_queue(self) -> None:
        lines = list(WorthTable(self.history(self.ended(4.0))).reasons())
        self.assertIn('lookups', lines[0])
        self.assertIn('late: wait room', lines[1])
