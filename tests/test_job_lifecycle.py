"""Tests of the job lifecycle: answers to callers, peers and owners."""

from testtools import TestCase

from apricotlead.coordination.job_lifecycle import (
    JobLifecycle,
    JobLifecycleSettings,
)
from apricotlead.protocol.jobs import AttemptFinished, JobEnded
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun
from apricotlead.protocol.peers import AskJob, JobAnswer, RelieveWorker
from apricotlead.protocol.signals import (
    AdmitJob,
    Answer,
    AppendRecords,
    AttemptAdopted,
    AttemptEnded,
    FindJob,
    JournalClosed,
    JournalOpened,
    RecordsCommitted,
    RecordsRejected,
    SendToPeer,
    StopAttempts,
    TaskQueued,
    TasksPlaced,
    TasksWithdrawn,
    Tick,
)
from apricotlead.state.job_table import JobTable
from tests.job_samples import (
    JOURNAL,
    accepted,
    assigned,
    grant,
    of_type,
    session_view,
)

SUBMISSION = accepted(request_id='r').submission


class TestJobLifecycle(TestCase):
    """Checks the answers to callers and the order of records and effects."""

    def setUp(self):
        """Open a journal in a session with two peers."""
        super().setUp()
        self.lifecycle = JobLifecycle(
            JobLifecycleSettings(),
            JobTable(),
            session_view('peer-1', 'peer-2'),
        )
        self.lifecycle.open_journal(JournalOpened(JOURNAL, 1), 0)

    def admit(self):
        """Submit a job; return the append of its record."""
        return self.lifecycle.admit(AdmitJob(7, 'team', SUBMISSION), 0)[0]

    def commit(self, append):
        """Commit the records; return the signals that follow."""
        return self.lifecycle.handle_commit(
            RecordsCommitted(append.token, JOURNAL), 0
        )

    def reject(self, append, existing=''):
        """Reject the records; return the signals that follow."""
        signal = RecordsRejected(append.token, JOURNAL, existing, 0.5)
        return self.lifecycle.handle_rejection(signal, 0)

    def asked_peers(self, signals):
        """Return the peers that were asked."""
        return [one.session_id for one in of_type(signals, SendToPeer)]

    def test_acceptance_waits_for_the_commit(self):
        """A job that can still be lost must not be reported as accepted."""
        append = self.admit()
        self.assertIsInstance(append, AppendRecords)
        self.assertEqual('team/r', append.request_key)
        answer, queued = self.commit(append)
        self.assertEqual('j.1', answer.outcome.answer.job_id)
        self.assertEqual(TaskQueued(JOURNAL, 'j.1', (0,)), queued)
        self.assertEqual((), self.commit(append))

    def test_job_numbers_continue_in_a_reopened_journal(self):
        """A second job with the same id would be mistaken for the first."""
        records = (accepted(1), accepted(4))
        self.lifecycle.open_journal(JournalOpened(JOURNAL, 1, records), 0)
        self.assertEqual('j.5', self.admit().job_id)

    def test_answers_to_submissions_that_are_not_committed(self):
        """A rejected, a duplicate and an unknown submission differ."""
        refused = self.reject(self.admit())[0].outcome
        self.assertEqual(0.5, refused.retry_after_s)
        self.commit(self.admit())
        first = self.reject(self.admit(), existing='j.2')[0].outcome
        self.assertEqual('j.2', first.answer.job_id)
        self.reject(self.admit(), existing='elsewhere.1')
        late = self.lifecycle.act_on_time(Tick(), 9)[0].outcome
        self.assertIsInstance(late, Done)
        self.admit()
        closed = self.lifecycle.close_journal(JournalClosed(JOURNAL), 0)
        self.assertIsInstance(closed[0].outcome, MayHaveRun)
        without = self.admit().outcome
        self.assertIsInstance(without, NotRun)

    def test_cancellation_of_tasks_in_each_phase(self):
        """Queued tasks are withdrawn, running ones stopped; none starts."""
        records = (accepted(1, 3), assigned(1, 0))
        following = self.lifecycle.open_journal(
            JournalOpened(JOURNAL, 2, records),
            0,
        )
        adopted, queued = following
        self.assertIsInstance(adopted, AttemptAdopted)
        placed = TasksPlaced(JOURNAL, 'j.1', (1,), (grant('j.1.1.2-1'),))
        assignment = self.lifecycle.record_placement(placed, 0)[0]
        find = FindJob(8, 'j.1', 'team', cancel=True)
        withdrawn, append = self.lifecycle.find(find, 0)
        self.assertEqual(TasksWithdrawn(JOURNAL, 'j.1', (2,)), withdrawn)
        late = TasksPlaced(JOURNAL, 'j.1', (2,), (grant('j.1.2.2-2'),))
        ended = self.lifecycle.record_placement(late, 0)[0]
        self.assertEqual(('j.1.2.2-2', False), (ended.attempt_id, ended.ran))
        unstarted = self.commit(assignment)
        self.assertEqual(1, len(of_type(unstarted, AttemptEnded)))
        stops = of_type(self.commit(append), StopAttempts)
        self.assertEqual(('j.1.0.1-1', 'j.1.1.2-1'), stops[0].attempt_ids)

    def test_rejected_ending_is_written_again(self):
        """An ending must not be lost in a store outage."""
        records = (accepted(), assigned())
        self.lifecycle.open_journal(JournalOpened(JOURNAL, 2, records), 0)
        ended = AttemptEnded(JOURNAL, assigned().attempt_id, 'succeeded')
        append = self.lifecycle.record_ending(ended, 0)[0]
        self.assertEqual((), self.lifecycle.record_ending(ended, 0))
        self.assertEqual((), self.reject(append))
        retried = self.lifecycle.act_on_time(Tick(), 1)[0]
        self.assertEqual(append.records, retried.records)

    def test_job_of_another_session(self):
        """Each peer is asked once; later only the known owner is asked."""
        find = FindJob(8, 'other.1', 'team')
        self.assertEqual(2, len(self.asked_peers(self.lifecycle.find(find, 0))))
        answer = JobAnswer('own-1', owner='peer-2')
        self.assertEqual(
            (Answer(8, Done(None)),),
            self.lifecycle.forward_answer(answer, 0),
        )
        self.assertEqual((), self.lifecycle.forward_answer(answer, 0))
        self.assertEqual(
            ['peer-2'], self.asked_peers(self.lifecycle.find(find, 0))
        )
        asked_later = self.lifecycle.act_on_time(Tick(), 0.6)
        self.assertEqual(['peer-1'], self.asked_peers(asked_later))
        late = self.lifecycle.act_on_time(Tick(), 3)[0].outcome
        self.assertEqual('owner_unreachable', late.error.kind)

    def test_unanswered_cancellation_may_have_run(self):
        """The owner may have ended the job before its answer was lost."""
        self.lifecycle.find(FindJob(8, 'other.1', 'team', cancel=True), 0)
        late = self.lifecycle.act_on_time(Tick(), 3)[0].outcome
        self.assertIsInstance(late, MayHaveRun)

    def test_peer_sees_only_jobs_of_its_team(self):
        """A job of another team must look like one that does not exist."""
        self.commit(self.admit())
        for team, kind in (('team', None), ('others', 'not_found')):
            ask = AskJob('a', 'peer-1', 'j.1', team)
            sent = self.lifecycle.answer_peer(ask, 0)[0].message
            self.assertEqual(kind, sent.error and sent.error.kind)
        foreign = AskJob('a', 'peer-1', 'other.1', 'team')
        self.assertEqual((), self.lifecycle.answer_peer(foreign, 0))

    def test_ended_jobs_are_dropped(self):
        """Jobs that ended long ago must not accumulate in memory."""
        records = tuple(
            record
            for number in range(1, 2302)
            for record in (accepted(number), JobEnded(f'j.{number}', 'done'))
        )
        self.lifecycle.open_journal(JournalOpened(JOURNAL, 2, records), 0)
        kept_count = self.lifecycle.dump(0)['jobs']
        self.assertEqual(2000, kept_count)

    def relieve(self, *, gang=False, reason='memory', ended=(), **changes):
        """Request a stop of the first attempt; return the stopped ids."""
        fields = {'kind': 'gang'} if gang else {}
        fields |= changes.pop('job', {})
        records = (
            accepted(1, 2, **fields),
            assigned(1, 0),
            assigned(1, 1),
            *ended,
        )
        self.lifecycle.open_journal(JournalOpened(JOURNAL, 2, records), 0)
        request = {
            'worker_id': 'w',
            'journal_id': JOURNAL,
            'attempt_id': assigned().attempt_id,
        } | changes
        following = self.lifecycle.relieve(
            RelieveWorker(**request, reason=reason), 0
        )
        stops = of_type(following, StopAttempts)
        return [one for stop in stops for one in stop.attempt_ids]

    def test_relief_stops_the_attempt_once(self):
        """An attempt stopped for its owner must be stopped only once.

        A gang is stopped as a whole.
        """
        self.assertEqual(['j.1.0.1-1'], self.relieve())
        self.assertEqual(['j.1.0.1-1'], self.relieve(reason='preemption'))
        self.assertEqual(
            ['j.1.0.1-1', 'j.1.1.1-1'],
            self.relieve(gang=True),
            'a gang runs as a whole or not at all',
        )
        ended = AttemptFinished('j.1.0.1-1', 'stopped')
        self.lifecycle.open_journal(
            JournalOpened(JOURNAL, 3, (accepted(), assigned(), ended)),
            0,
        )
        self.assertEqual([], of_type(self.relieve_again(), StopAttempts))

    def relieve_again(self):
        """Request a stop of an attempt that has ended."""
        late = RelieveWorker('w', JOURNAL, 'j.1.0.1-1')
        return self.lifecycle.relieve(late, 0)

    def test_ignored_relief_requests(self):
        """Stops of unknown or protected attempts must have no effect."""
        for options in (
            {'journal_id': 'other'},
            {'worker_id': 'elsewhere'},
            {'attempt_id': 'j.1.0.1-9'},
            {'job': {'idempotent': False}},
            {'reason': 'preemption', 'gang': True},
            {'reason': 'preemption', 'job': {'priority': 'urgent'}},
        ):
            self.assertEqual([], self.relieve(**options), str(options))

    def test_gang_without_attempts_left(self):
        """Callers of a gang whose members fail in turn waited for more rounds.

        They get the reason, and no further round is queued.
        """
        rounds = [
            (assigned(1, 0, number), assigned(1, 1, number))
            for number in range(1, 5)
        ]
        records = [accepted(1, 2, kind='gang')]
        for number, members in enumerate(rounds):
            failed, stopped = members[number % 2], members[1 - number % 2]
            records.extend(members)
            records.append(AttemptFinished(stopped.attempt_id, 'stopped'))
            records.append(
                AttemptFinished(failed.attempt_id, 'failed', message='full')
            )
        last = records.pop()
        self.lifecycle.open_journal(
            JournalOpened(JOURNAL, 2, tuple(records)), 0
        )
        ending = AttemptEnded(
            JOURNAL, last.attempt_id, last.state, message=last.message
        )
        append = self.lifecycle.record_ending(ending, 0)[0]
        following = self.commit(append)
        self.assertEqual([], of_type(following, TaskQueued))
        ended = of_type(following, AppendRecords)[0].records[0]
        self.assertIsInstance(ended, JobEnded)
        self.assertEqual('refused', ended.state)
        self.assertIn('full', ended.error.message)
