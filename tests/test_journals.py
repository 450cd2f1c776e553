"""Tests for journals: appends, adoption, handover and compaction."""

from random import Random

import msgspec
from testtools import TestCase

from apricotlead.coordination.journal_writer import WriterSettings
from apricotlead.coordination.journals import JournalKeeper, JournalSettings
from apricotlead.protocol.jobs import JobAccepted, JobEnded, Submission
from apricotlead.protocol.rows import (
    JournalRow,
    SessionRow,
    journal_key,
    session_key,
)
from apricotlead.protocol.signals import (
    AppendRecords,
    JournalClosed,
    JournalOpened,
    PeerLapsed,
    PutObject,
    RecordsCommitted,
    RecordsRejected,
    SessionLost,
    SessionOpened,
    Shutdown,
    Tick,
    Token,
    Transact,
)
from apricotlead.protocol.table import Row
from apricotlead.state.session_view import SessionView
from tests.fakes import FakeInstance, FakeStore

OWN = 'own'
PEER = 'peer'
FOREVER_S = 1e6


def make_record(number, journal_id=OWN):
    """Return the record of an accepted job."""
    return JobAccepted(f'{journal_id}.{number}', 'team', Submission('q', ()))


def make_append(number, request_key='', journal_id=OWN):
    """Return the append of one accepted job."""
    record = make_record(number, journal_id)
    return AppendRecords(
        Token('recorder', number=number),
        journal_id,
        (record,),
        request_key,
        record.job_id,
    )


class JournalCase(TestCase):
    """A journal keeper with a valid session and an open journal."""

    settings = JournalSettings()

    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.view = SessionView(OWN, 'a')
        self.view.lease_end_s = FOREVER_S
        self.keeper = JournalKeeper.from_config(
            self.settings,
            self.view,
            Random(1),
        )
        self.instance = FakeInstance(self.store, self.view, self.keeper)
        self.recorder = self.instance.recorder
        self.instance.deliver(SessionOpened(OWN), 0)
        self.instance.run(0, 1)
        self.assertEqual(
            [JournalOpened(OWN, 1)],
            self.recorder.take(JournalOpened),
        )

    def store_row(self, key, struct, version):
        """Store a row as another session would."""
        self.store.rows_by_key[key] = Row(
            key,
            version,
            msgspec.to_builtins(struct),
            'of-a-peer',
        )

    def store_session(self, session_id, state, version=700):
        """Store a session row."""
        row = SessionRow('entry', '127.0.0.1:1', 'a', 4, state=state)
        self.store_row(session_key(session_id), row, version)

    def store_journal(self, owner, **fields):
        """Store the journal of a peer with one segment."""
        row = JournalRow(owner, epoch=4, **fields)
        self.store_row(journal_key(PEER), row, 800)
        self.store.rows_by_key[f'segment/{PEER}/0000000000'] = Row(
            f'segment/{PEER}/0000000000',
            801,
            [msgspec.to_builtins(make_record(1, PEER))],
            'of-a-peer',
        )

    def taken_numbers(self, signal_type):
        """Return the numbers of the appends that had this result."""
        taken = self.recorder.take(signal_type)
        return [signal.token.number for signal in taken]


class TestOpening(JournalCase):
    """Guards against a new journal that is opened twice."""

    def test_sweep_ignores_a_journal_that_is_being_opened(self):
        """Its row can be stored before the reply arrives."""
        self.view.session_id = 'next'
        self.instance.deliver(SessionLost(OWN), 1)
        self.instance.deliver(SessionOpened('next'), 1)
        self.store.loses_answers = True
        self.instance.deliver(Tick(), 1)
        self.store.loses_answers = False
        self.instance.held_types = (Transact,)
        self.instance.run(1, 40)
        claimed = [
            effect.transaction.witness
            for effect in self.instance.held_effects
            if effect.transaction.puts[0].value['epoch'] > 1
        ]
        self.assertNotIn(journal_key('next'), claimed)
        self.instance.release(40)
        self.instance.run(40, 41)
        opened = self.recorder.take(JournalOpened)
        self.assertIn(JournalOpened('next', 1), opened)


class TestAppends(JournalCase):
    """Guards against records that are lost, duplicated or refused wrongly."""

    def test_one_batch_is_in_flight_at_a_time(self):
        """Records that arrive meanwhile go into the next batch."""
        self.instance.held_types = (Transact,)
        for number in (1, 2, 3):
            self.instance.deliver(make_append(number), 1)
            self.instance.run(1 + number / 10, 1.1 + number / 10)
        self.assertEqual(1, len(self.instance.held_effects))
        self.assertEqual([], self.taken_numbers(RecordsCommitted))
        self.instance.release(1.5)
        self.instance.run(1.5, 2.5)
        self.assertEqual([1, 2, 3], self.taken_numbers(RecordsCommitted))
        self.assertEqual(2, len(self.store.keys('segment/')))

    def test_store_outage_refuses_records_in_time(self):
        """The calls failed definitely, so the records are never written."""
        self.store.is_down = True
        self.instance.deliver(make_append(1), 1)
        self.instance.run(1, 2.1)
        self.assertEqual([1], self.taken_numbers(RecordsRejected))
        self.store.is_down = False
        self.instance.run(2.1, 5)
        self.assertEqual([], self.store.keys('segment/'))

    def test_batch_of_unknown_outcome_is_not_refused(self):
        """Only the records that wait behind it are refused."""
        self.store.loses_answers = True
        self.instance.deliver(make_append(1), 1)
        self.instance.run(1, 1.2)
        self.instance.deliver(make_append(2), 1.2)
        self.instance.run(1.2, 9)
        self.assertEqual([2], self.taken_numbers(RecordsRejected))
        self.store.loses_answers = False
        self.instance.run(9, 12)
        self.assertEqual([1], self.taken_numbers(RecordsCommitted))
        self.assertEqual(1, len(self.store.keys('segment/')))

    def test_nothing_is_sent_without_a_valid_lease(self):
        """The lease expires by the local clock."""
        self.view.lease_end_s = 1
        self.instance.held_types = (Transact,)
        self.instance.deliver(make_append(1), 1)
        self.instance.run(1, 3)
        self.assertEqual([], self.instance.held_effects)
        self.assertEqual([1], self.taken_numbers(RecordsRejected))

    def test_request_key_accepts_one_job(self):
        """Repeats are rejected with the first job, also in one batch."""
        self.instance.held_types = (Transact,)
        self.instance.deliver(make_append(0), 1)
        for number in (1, 2, 3):
            key = 'team/r' if number < 3 else ''
            self.instance.deliver(make_append(number, key), 1)
        self.instance.release(1)
        self.instance.run(1, 2)
        self.instance.deliver(make_append(4, 'team/r'), 2)
        self.instance.run(2, 3)
        rejected = self.recorder.take(RecordsRejected)
        self.assertEqual(
            [(2, 'own.1'), (4, 'own.1')],
            [(one.token.number, one.existing_job_id) for one in rejected],
        )
        self.assertEqual([0, 1, 3], self.taken_numbers(RecordsCommitted))

    def test_first_records_are_written_at_once_within_the_rate_limit(self):
        """The write rate of the cell must stay bounded under load."""
        self.instance.deliver(make_append(0), 1)
        self.assertEqual([0], self.taken_numbers(RecordsCommitted))
        writes_before = self.store.write_count
        for number in range(1, 301):
            now = 1 + number / 300
            self.instance.deliver(make_append(number), now)
            self.instance.deliver(Tick(), now)
        interval_s = self.settings.min_batch_interval_s
        max_writes = 1 / interval_s + self.settings.saved_batches
        self.assertLessEqual(
            self.store.write_count - writes_before, max_writes + 1
        )

    def test_previous_owner_closes_the_journal(self):
        """The row check fails even if the segment does not exist yet."""
        row = JournalRow(PEER, epoch=2)
        self.store_row(journal_key(OWN), row, 900)
        self.instance.deliver(make_append(1), 1)
        self.instance.run(1, 2)
        self.assertEqual(
            [JournalClosed(OWN)],
            self.recorder.take(JournalClosed),
        )
        self.assertEqual([1], self.taken_numbers(RecordsRejected))
        self.assertEqual([], self.store.keys('segment/'))

    def test_batch_in_flight_outlives_the_session(self):
        """Its records are reported with the actual result."""
        self.instance.held_types = (Transact,)
        self.instance.deliver(make_append(1), 1)
        self.instance.run(1, 1.2)
        self.instance.deliver(make_append(2), 1.2)
        self.instance.deliver(SessionLost(OWN), 1.3)
        self.assertEqual([2], self.taken_numbers(RecordsRejected))
        self.instance.release(1.4)
        self.assertEqual([1], self.taken_numbers(RecordsCommitted))
        self.assertTrue(self.keeper.is_drained())

    def test_unknown_journal_is_refused_at_once(self):
        """Records for a journal owned elsewhere do not wait."""
        self.instance.deliver(make_append(1, journal_id=PEER), 1)
        self.assertEqual([1], self.taken_numbers(RecordsRejected))


class TestAdoption(JournalCase):
    """Guards against adopting a journal too early, twice or not at all."""

    def adopt_after(self, *lapsed):
        """Report lapsed sessions and let time pass."""
        for one in lapsed:
            self.instance.deliver(one, 1)
        self.instance.run(1, 20)
        return self.recorder.take(JournalOpened)

    def test_journal_of_a_lapsed_owner_is_adopted(self):
        """The epoch increases and the records are replayed."""
        self.store_session(PEER, 'adopted')
        self.store_journal(PEER)
        opened = JournalOpened(PEER, 5, (make_record(1, PEER),))
        self.assertEqual([opened], self.adopt_after(PeerLapsed(PEER, 700)))
        self.instance.deliver(make_append(9, journal_id=PEER), 20)
        self.instance.run(20, 21)
        self.assertEqual([9], self.taken_numbers(RecordsCommitted))
        self.assertEqual(2, len(self.store.keys(f'segment/{PEER}/')))

    def test_owner_that_is_not_marked_adopted_keeps_its_journal(self):
        """The store rejects the claim even after a wrong report."""
        for state in ('live', 'leaving'):
            self.store_session(PEER, state)
            self.store_journal(PEER)
            self.assertEqual([], self.adopt_after(PeerLapsed(PEER, 699)))

    def test_released_journal_is_adopted_while_its_owner_leaves(self):
        """A journal without an owner can be claimed at once."""
        self.store_session(PEER, 'leaving')
        self.store_journal('', former_owner=PEER)
        self.assertEqual(1, len(self.adopt_after(PeerLapsed(PEER, 0))))

    def test_owner_whose_session_row_was_deleted(self):
        """The claim checks that the row of the unknown owner is absent."""
        self.store_journal(PEER)
        self.instance.run(1, 40)
        self.assertEqual(1, len(self.recorder.take(JournalOpened)))

    def test_claim_of_a_lost_session_opens_nothing(self):
        """The claim was made for a session that no longer exists."""
        self.store_session(PEER, 'adopted')
        self.store_journal(PEER)
        self.instance.deliver(PeerLapsed(PEER, 700), 1)
        self.instance.held_types = (Transact,)
        self.instance.run(1, 2)
        self.assertEqual(1, len(self.instance.held_effects))
        self.view.session_id = 'next'
        self.instance.deliver(SessionLost(OWN), 2)
        self.instance.release(2)
        self.assertEqual([], self.recorder.take(JournalOpened))

    def test_replay_that_ends_after_the_lease_waits(self):
        """The journal opens only when the lease is valid again."""
        self.store_session(PEER, 'adopted')
        self.store_journal(PEER)
        self.instance.deliver(PeerLapsed(PEER, 700), 1)
        self.instance.held_types = (Transact,)
        self.instance.run(1, 2)
        self.view.lease_end_s = 3
        self.instance.release(4)
        self.instance.run(4, 5)
        self.assertEqual([], self.recorder.take(JournalOpened))
        self.view.lease_end_s = FOREVER_S
        self.instance.run(5, 9)
        self.assertEqual(1, len(self.recorder.take(JournalOpened)))

    def test_gap_in_the_segments_is_read_again(self):
        """An incomplete read must not be taken for the whole journal."""
        self.store_session(PEER, 'adopted')
        self.store_journal(PEER)
        key = f'segment/{PEER}/0000000000'
        row = self.store.rows_by_key.pop(key)
        later = msgspec.structs.replace(row, key=f'segment/{PEER}/0000000001')
        self.store.rows_by_key[later.key] = later
        self.assertEqual([], self.adopt_after(PeerLapsed(PEER, 700)))
        self.store.rows_by_key[key] = row
        self.instance.run(20, 21)
        self.assertEqual(1, len(self.recorder.take(JournalOpened)))


class TestHandover(JournalCase):
    """Guards against a planned stop that loses or delays accepted jobs."""

    def test_waiting_records_are_written_before_the_handover(self):
        """The journal is closed here before its row is released."""
        self.instance.held_types = (Transact,)
        self.instance.deliver(make_append(0), 1)
        self.instance.deliver(make_append(1), 1)
        self.instance.deliver(Shutdown(), 1)
        self.instance.deliver(make_append(2), 1)
        self.assertFalse(self.keeper.is_drained())
        self.instance.release(1)
        self.instance.run(1, 2)
        self.assertEqual([2], self.taken_numbers(RecordsRejected))
        self.assertEqual([0, 1], self.taken_numbers(RecordsCommitted))
        self.assertEqual(
            {'owner': '', 'epoch': 1, 'former_owner': OWN},
            self.store.value(journal_key(OWN)),
        )
        self.assertTrue(self.keeper.is_drained())

    def test_refused_handover_is_repeated(self):
        """After a short outage the journal is still handed over."""
        self.store.is_down = True
        self.instance.deliver(Shutdown(), 1)
        self.instance.run(1, 2)
        self.assertEqual(
            [JournalClosed(OWN)],
            self.recorder.take(JournalClosed),
        )
        self.assertFalse(self.keeper.is_drained())
        self.store.is_down = False
        self.instance.run(2, 3)
        self.assertEqual('', self.store.value(journal_key(OWN))['owner'])


class TestRetirement(JournalCase):
    """Guards against rows that accumulate or are deleted too early."""

    settings = JournalSettings(
        writer=WriterSettings(retire_after_s=60, deletes_per_retirement=2),
    )

    def test_adopted_journal_is_deleted_after_all_jobs_ended(self):
        """The own journal and one with an open job are kept."""
        self.store_session(PEER, 'adopted')
        self.store_journal(PEER)
        self.instance.deliver(PeerLapsed(PEER, 700), 1)
        self.instance.run(1, 200)
        self.assertIn(journal_key(PEER), self.store.rows_by_key)
        for number in range(3):
            ended = AppendRecords(
                Token('recorder', number=number),
                PEER,
                (JobEnded(f'{PEER}.1', 'done'),),
            )
            self.instance.deliver(ended, 200 + number)
            self.instance.run(200 + number, 201 + number)
        self.instance.run(203, 255)
        self.assertEqual([], self.recorder.take(JournalClosed))
        self.store.is_down = True
        self.instance.run(255, 400)
        self.assertEqual(
            [JournalClosed(PEER)],
            self.recorder.take(JournalClosed),
        )
        self.store.is_down = False
        self.instance.run(400, 402)
        self.assertEqual(
            [journal_key(OWN)],
            self.store.keys('journal/') + self.store.keys('segment/'),
        )


class TestCompaction(JournalCase):
    """Guards against unbounded growth of journals and lost records."""

    settings = JournalSettings(
        writer=WriterSettings(compact_after_records=4, ended_jobs_kept=1),
    )

    def test_snapshot_replaces_segments(self):
        """Old segments and snapshots are deleted; open jobs are kept."""
        for number in range(1, 12):
            self.instance.deliver(make_append(number), number)
            ended = AppendRecords(
                Token('recorder', number=100 + number),
                OWN,
                (JobEnded(f'{OWN}.{number}', 'done'),),
            )
            if number > 1:
                self.instance.deliver(ended, number)
            self.instance.run(number, number + 1)
        row = self.store.value(journal_key(OWN))
        self.assertGreater(row['first_segment'], 4)
        self.assertLess(len(self.store.keys('segment/')), 6)
        self.assertEqual([row['snapshot']], list(self.store.objects_by_key))
        snapshot = self.store.objects_by_key[row['snapshot']]
        self.assertIn(b'"own.1"', snapshot)
        self.assertNotIn(b'"own.2"', snapshot)

    def test_failed_object_write_keeps_the_segments(self):
        """The row never refers to a snapshot that may not exist."""
        self.instance.held_types = (PutObject,)
        for number in range(1, 7):
            self.instance.deliver(make_append(number), 1)
        self.instance.run(1, 2)
        self.assertEqual(1, len(self.instance.held_effects))
        self.store.is_down = True
        self.instance.release(2)
        self.store.is_down = False
        self.instance.run(2, 3)
        self.assertNotIn('snapshot', self.store.value(journal_key(OWN)))
