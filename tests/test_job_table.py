"""Tests that replay is idempotent and independent of log compaction."""

from testtools import TestCase

from apricotlead.protocol.jobs import (
    AttemptFinished,
    CancelRequested,
    JobEnded,
)
from apricotlead.protocol.peers import TeamLoad
from apricotlead.state.job_table import JobTable
from tests.job_samples import JOURNAL, SPEC, accepted, assigned

FINISHED = AttemptFinished(assigned(1, 0, 1).attempt_id, 'failed')
RECORDS = (
    accepted(1, 2),
    assigned(1, 0, 1),
    assigned(1, 1, 2),
    FINISHED,
    AttemptFinished(assigned(1, 1, 2).attempt_id, 'lapsed', ran=False),
    assigned(1, 0, 3),
    accepted(2),
    CancelRequested('j.2'),
    JobEnded('j.2', 'cancelled'),
    # A gang whose first round failed after one task was done.
    accepted(3, 2, kind='gang'),
    assigned(3, 0, 1),
    assigned(3, 1, 2),
    AttemptFinished(assigned(3, 0, 1).attempt_id, 'succeeded'),
    AttemptFinished(assigned(3, 1, 2).attempt_id, 'failed'),
    assigned(3, 0, 3),
    assigned(3, 1, 4),
    AttemptFinished(assigned(3, 1, 4).attempt_id, 'succeeded'),
)


def table_of(records):
    """Return a table after replay of these records."""
    table = JobTable()
    table.open_journal(JOURNAL, 1)
    for record in records:
        table.replay(record)
    return table


def visible_state(table):
    """Return the state that is visible to callers and peers."""
    statuses = [table.status(f'j.{number}') for number in (1, 2, 3)]
    return statuses, table.loads_by_team()


class TestJobTable(TestCase):
    """Guards against job state that changes on adoption or compaction."""

    def test_replay_is_idempotent_and_compaction_keeps_the_view(self):
        """Duplicate records and log compaction must not change the state."""
        table = table_of(RECORDS)
        duplicated = [record for record in RECORDS for _ in range(2)]
        compacted = table.compacted_records(JOURNAL)
        repeated = table_of(duplicated)
        self.assertEqual(visible_state(table), visible_state(repeated))
        self.assertEqual(compacted, repeated.compacted_records(JOURNAL))
        self.assertEqual(
            visible_state(table), visible_state(table_of(compacted))
        )
        self.assertEqual(
            visible_state(table), visible_state(table_of((*RECORDS, *RECORDS)))
        )

    def test_loads(self):
        """Two attempts run, and one task waits."""
        one = SPEC.demand
        loads = table_of(RECORDS).loads_by_team()
        self.assertEqual({'team': TeamLoad(one + one, one)}, loads)

    def test_waiting_tasks_of_a_queue(self):
        """Counts the waiting tasks, by which admission refuses a full queue."""
        table = table_of(RECORDS)
        self.assertEqual(1, table.waiting_tasks('queue'))
        self.assertEqual(0, table.waiting_tasks('another'))
        table.close_journal(JOURNAL)
        self.assertEqual(0, table.waiting_tasks('queue'))

    def test_stops_do_not_use_up_attempts(self):
        """A task that is preempted often must not run out of attempts."""
        records = [accepted()]
        for attempt in range(1, 7):
            records.append(assigned(attempt=attempt))
            attempt_id = assigned(attempt=attempt).attempt_id
            records.append(AttemptFinished(attempt_id, 'stopped'))
        job = table_of(records).jobs_by_id['j.1']
        self.assertEqual(None, job.tasks[0].outcome)
        self.assertEqual(6, job.traits_of(0).stops)
        self.assertEqual((), job.tasks[0].failed_workers())

    def test_closed_journal_removes_its_jobs(self):
        """Jobs of a closed journal must not be visible or counted."""
        table = table_of(RECORDS)
        table.close_journal(JOURNAL)
        self.assertEqual(([None, None, None], {}), visible_state(table))
        self.assertEqual({}, table.attempts_by_id)

    def test_final_states(self):
        """The final state reflects how the attempt ended and idempotency."""
        lost = AttemptFinished(FINISHED.attempt_id, 'lapsed', ran=None)
        missed = AttemptFinished(FINISHED.attempt_id, 'lapsed', ran=False)
        cases = (
            ({'idempotent': False}, lost, 'may_have_run'),
            ({'idempotent': False}, FINISHED, 'may_have_run'),
            ({'idempotent': False}, missed, None),
            ({'idempotent': True}, lost, None),
        )
        for fields, finished, expected in cases:
            job = accepted(1, 1, **fields)
            table = table_of((job, assigned(1, 0, 1), finished))
            self.assertEqual(expected, table.jobs_by_id['j.1'].final_state())


def gang_round(number, *states, **changes):
    """Return the records of a gang's round; ``states`` is how members end."""
    assignments = [assigned(1, task, number) for task, _ in enumerate(states)]
    ends = [
        AttemptFinished(assignment.attempt_id, state, **changes)
        for assignment, state in zip(assignments, states, strict=True)
    ]
    return (*assignments, *ends)


class TestGangRounds(TestCase):
    """A failed round of a gang uses up one attempt of the whole gang."""

    def final_state(self, *rounds, max_attempts=3, **fields):
        """Return the final state of a gang of three after these rounds."""
        table = JobTable(max_attempts)
        table.open_journal(JOURNAL, 1)
        table.replay(accepted(1, 3, kind='gang', **fields))
        for number, states in enumerate(rounds, 1):
            for record in gang_round(number, *states):
                table.replay(record)
        return table.jobs_by_id['j.1'].final_state()

    def test_members_that_fail_together(self):
        """Members that fail in the same round must not add up."""
        together = ('failed', 'failed', 'failed')
        self.assertIsNone(self.final_state(together, together))
        self.assertEqual(
            'refused', self.final_state(together, together, together)
        )

    def test_other_members_fail_each_time(self):
        """A gang of 3 with 3 attempts was refused after 7 rounds."""
        rounds = (
            ('failed', 'stopped', 'stopped'),
            ('stopped', 'failed', 'stopped'),
            ('succeeded', 'stopped', 'failed'),
        )
        self.assertIsNone(self.final_state(*rounds[:2]))
        self.assertEqual('refused', self.final_state(*rounds))

    def test_rounds_that_were_stopped_or_lost(self):
        """A wide gang loses workers more often; only its own failures count."""
        rounds = (
            ('lapsed', 'stopped', 'stopped'),
            ('stopped', 'lapsed', 'stopped'),
            ('stopped', 'stopped', 'stopped'),
            ('stopped', 'stopped', 'lapsed'),
        )
        self.assertIsNone(self.final_state(*rounds))

    def test_gang_that_may_have_run(self):
        """A gang that is not idempotent must not be reported as refused."""
        table = JobTable(1)
        table.open_journal(JOURNAL, 1)
        table.replay(accepted(1, 3, kind='gang', idempotent=False))
        missed = gang_round(1, 'failed', 'failed', 'failed', ran=False)
        failed = AttemptFinished(missed[3].attempt_id, 'failed')
        for record in (*missed[:3], failed, *missed[4:]):
            table.replay(record)
        job = table.jobs_by_id['j.1']
        self.assertEqual('may_have_run', job.final_state())

    def test_attempts_that_never_ran(self):
        """A start that was refused is no failure of the gang."""
        table = JobTable(1)
        table.open_journal(JOURNAL, 1)
        table.replay(accepted(1, 3, kind='gang'))
        for record in gang_round(1, 'failed', 'failed', 'failed', ran=False):
            table.replay(record)
        self.assertIsNone(table.jobs_by_id['j.1'].final_state())

    def test_rounds_after_the_last_attempt(self):
        """A journal of the former version may contain more failed rounds."""
        table = JobTable(2)
        table.open_journal(JOURNAL, 1)
        table.replay(accepted(1, 3, kind='gang'))
        job = table.jobs_by_id['j.1']
        for failed, expected in enumerate((None, 'refused', 'refused')):
            states = ['succeeded', 'succeeded', 'succeeded']
            states[failed] = 'failed'
            records = gang_round(failed + 1, *states)
            for assignment in records[:3]:
                table.replay(assignment)
            self.assertEqual((None, 3), (job.final_state(), job.open_count))
            for ended in records[3:]:
                table.replay(ended)
            self.assertEqual(expected, job.final_state())

    def test_success_in_a_failed_round(self):
        """A member that succeeded twice was refused when it failed once.

        Its rounds were repeated because the worker of another was lost.
        """
        lost = ('succeeded', 'lapsed', 'stopped')
        failed = ('failed', 'stopped', 'stopped')
        self.assertIsNone(self.final_state(lost, lost, failed))

    def test_worker_of_a_successful_member(self):
        """The next round avoided workers on which members had succeeded."""
        table = JobTable()
        table.open_journal(JOURNAL, 1)
        table.replay(accepted(1, 3, kind='gang'))
        for record in gang_round(1, 'succeeded', 'failed', 'stopped'):
            table.replay(record)
        tasks = table.jobs_by_id['j.1'].tasks
        self.assertEqual(
            [(), ('w',), ()], [task.failed_workers() for task in tasks]
        )

    def test_replay_counts_a_round_once(self):
        """Repeated records and compaction must not change the count."""
        records = [accepted(1, 3, kind='gang')]
        records.extend(gang_round(1, 'failed', 'failed', 'stopped'))
        records.extend(gang_round(2, 'stopped', 'failed', 'stopped'))
        table = table_of((*records, *records))
        compacted = table_of(table.compacted_records(JOURNAL))
        for one in (table, compacted):
            self.assertEqual(2, one.jobs_by_id['j.1'].failed_rounds)
