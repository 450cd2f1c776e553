"""Room is asked for in order, and held by nobody who does not need it."""

from itertools import pairwise
from random import Random
from types import SimpleNamespace

from testtools import TestCase

from apricotlead.coordination.allotments import AllotmentSettings
from apricotlead.coordination.dispatcher import Dispatcher, DispatchSettings
from apricotlead.protocol.config import MAINTENANCE, ORDINARY, CellConfig
from apricotlead.protocol.jobs import AttemptFinished
from apricotlead.protocol.peers import (
    CapacityGranted,
    CapacityRefused,
    ReleaseGrants,
    ReserveCapacity,
)
from apricotlead.protocol.signals import (
    AttemptEnded,
    JournalClosed,
    TaskQueued,
    TasksPlaced,
    TasksWithdrawn,
    Tick,
)
from apricotlead.state.job_table import JobTable
from tests.job_cell import Limits
from tests.job_samples import (
    JOURNAL,
    accepted,
    assigned,
    grant,
    of_type,
    session_view,
)


class TestDispatcher(TestCase):
    """Guards the order of work, and grants and units against leaks."""

    def setUp(self):
        """Open a journal."""
        super().setUp()
        self.table = JobTable()
        self.table.open_journal(JOURNAL, 1)
        self.shares = {}
        self.preset = ORDINARY
        self.limits = Limits()
        self.early = []
        self.view = session_view()
        self.dispatcher = Dispatcher(
            DispatchSettings(),
            self.table,
            self.view,
            SimpleNamespace(config=CellConfig(), preset=lambda: self.preset),
            SimpleNamespace(share_of=lambda team, *_: self.shares.get(team, 0)),
            self.limits,
            Random(1),
        )

    def queue(self, number, tasks=1, **fields):
        """Queue a job."""
        record = accepted(number, tasks, **fields)
        self.table.replay(record)
        signal = TaskQueued(JOURNAL, record.job_id, tuple(range(tasks)))
        self.early.extend(self.dispatcher.enqueue(signal, 0))

    def signals(self, now):
        """Return what came of queueing, and what a tick brings."""
        signals = [*self.early, *self.dispatcher.act_on_time(Tick(), now)]
        self.early.clear()
        return signals

    def tick(self, now=0):
        """Return the wanted attempts in order, and the released ones."""
        signals = self.signals(now)
        requests = of_type(signals, ReserveCapacity)
        wanted = [one.attempt_id for each in requests for one in each.demands]
        releases = of_type(signals, ReleaseGrants)
        return wanted, [one for each in releases for one in each.attempt_ids]

    def grant(self, *attempt_ids, now=0):
        """Deliver grants; return the placements."""
        grants = tuple(grant(one) for one in attempt_ids)
        signal = CapacityGranted('request', 'own', grants)
        return of_type(self.dispatcher.handle_grants(signal, now), TasksPlaced)

    def test_order(self):
        """Class goes before kind, kind before share, share before age."""
        self.shares = {'a-rich': 0.9, 'z-poor': 0.1}
        # Without a lease nothing is asked for before all is queued.
        self.view.lease_end_s = 0
        self.queue(1, team='a-rich')
        self.queue(2, team='z-poor')
        self.queue(3, kind='gang')
        self.queue(4, priority='urgent')
        self.view.lease_end_s = 1e6
        order = [one.split('.')[1] for one in self.tick()[0]]
        self.assertEqual(['4', '3', '2', '1'], order)

    def test_lone_work_and_releases_wait_for_no_tick(self):
        """Each wait for a tick adds to the time between two tasks."""
        self.queue(1)
        wanted = of_type(self.early, ReserveCapacity)[0].demands
        attempt_id = wanted[0].attempt_id
        self.grant(attempt_id)
        ending = AttemptEnded(JOURNAL, attempt_id, 'succeeded')
        waiting = self.dispatcher.release(ending, 0)[0]
        release = self.dispatcher.send_releases(waiting, 0)[0]
        self.assertEqual((attempt_id,), release.attempt_ids)

    def test_preset_holds_batch_work_only(self):
        """Maintenance must not start batch tasks."""
        self.preset = MAINTENANCE
        self.queue(1)
        self.queue(2, kind='gang')
        self.assertEqual(['j.2.0.1-1'], self.tick()[0])

    def test_grants_nobody_waits_for_are_released_but_not_those_in_use(self):
        """A doubled answer must neither hold room nor free room in use."""
        self.queue(1)
        wanted = self.tick()[0]
        self.assertEqual(1, len(self.grant(*wanted)))
        self.assertEqual([], self.grant(*wanted, 'j.9.0.1-9', 'other.1.0.1-1'))
        self.assertEqual(['j.9.0.1-9'], self.tick(1)[1])
        self.dispatcher.release(AttemptEnded(JOURNAL, *wanted, 'lapsed'), 2)
        self.assertEqual(0, self.limits.in_use['team', JOURNAL])
        self.assertEqual(wanted, self.tick(2)[1])

    def test_lost_request_is_repeated_with_fresh_attempts(self):
        """An answer that never comes must not hold up the task."""
        self.queue(1)
        lost = self.tick()[0]
        self.assertEqual(([], lost), self.tick(1.5))
        again = self.tick(3)[0]
        self.assertNotEqual(lost, again)
        self.assertEqual([], self.grant(*lost))
        self.assertEqual(1, len(self.grant(*again)))

    def test_gang_lets_go_when_a_grant_is_missing(self):
        """Gangs that hold a part each must not block each other."""
        self.queue(1, 2, kind='gang')
        wanted = self.tick()[0]
        self.assertEqual([], self.grant(wanted[0]))
        self.assertCountEqual(wanted, self.tick(2.5)[1])
        self.assertEqual(0, self.limits.in_use['team', JOURNAL])

    def test_gang_is_placed_as_a_whole(self):
        """A refused part is asked for again while the rest is held."""
        self.queue(1, 2, kind='gang')
        first, second = self.tick()[0]
        self.grant(first)
        refusal = CapacityRefused('request', 'own', (second,))
        self.dispatcher.handle_refusals(refusal, 0)
        placed = self.grant(*self.tick(0.2)[0], now=0.3)
        self.assertEqual((0, 1), placed[0].tasks)

    def test_gang_asks_the_limit_again_while_its_place_is_kept(self):
        """Waits of seconds between two tries lose its place at the limit."""
        tries_s = []
        self.limits.try_take = lambda *args: tries_s.append(args[-1])
        self.queue(1, 2, kind='gang')
        for step in range(500):
            self.tick(step * 0.02)
        gaps_s = [late - soon for soon, late in pairwise(tries_s)]
        self.assertLess(max(gaps_s), AllotmentSettings().demand_ttl_s / 2)

    def test_withdrawn_and_closed_work(self):
        """Cancelled work gives all back; a lost journal says nothing."""
        for number in (1, 2):
            self.queue(number, 2, kind='gang')
        wanted = self.tick()[0]
        self.grant(wanted[0], wanted[2])
        self.dispatcher.withdraw(TasksWithdrawn(JOURNAL, 'j.1', (0, 1)), 0)
        self.assertCountEqual(wanted[:2], self.tick()[1])
        self.assertEqual(2, self.limits.in_use['team', JOURNAL])
        self.dispatcher.close_journal(JournalClosed(JOURNAL), 0)
        self.assertEqual(([], []), self.tick(9))
        self.assertEqual([], self.grant(wanted[3]))

    def ask(self, now=0):
        """Return the requests of a tick."""
        return of_type(self.signals(now), ReserveCapacity)

    def test_releases_tell_how_attempts_ended(self):
        """The owner quarantines workers by these verdicts."""
        self.queue(1, 3)
        wanted = self.tick()[0]
        self.grant(*wanted)
        states = ('failed', 'succeeded', 'stopped')
        for attempt_id, state in zip(wanted, states, strict=True):
            self.dispatcher.release(AttemptEnded(JOURNAL, attempt_id, state), 1)
        signals = self.dispatcher.act_on_time(Tick(), 1)
        release = of_type(signals, ReleaseGrants)[0]
        self.assertEqual(tuple(wanted), release.attempt_ids)
        self.assertEqual((wanted[0],), release.failed_ids)
        self.assertEqual((wanted[1],), release.succeeded_ids)

    def test_part_of_a_gang_is_asked_for_as_a_part(self):
        """An owner must not take a part for the whole gang."""
        self.queue(1, 2, kind='gang')
        whole = self.ask()[0]
        self.grant(whole.demands[0].attempt_id)
        refused_ids = (whole.demands[1].attempt_id,)
        refusal = CapacityRefused('request', 'own', refused_ids)
        self.dispatcher.handle_refusals(refusal, 0)
        part = self.ask(0.2)[0]
        self.assertEqual((False, True), (whole.partial, part.partial))

    def test_workers_that_failed_are_avoided_unless_nothing_else_is_left(self):
        """A task must neither return at once nor wait forever."""
        record = accepted(1)
        failure = AttemptFinished(assigned().attempt_id, 'failed')
        for one in (record, assigned(), failure):
            self.table.replay(one)
        queued = TaskQueued(JOURNAL, record.job_id, (0,))
        self.early.extend(self.dispatcher.enqueue(queued, 0))
        avoided = []
        for now in range(0, 12, 3):
            request = self.ask(now)[0]
            avoided.append(request.avoid_workers)
            refused_ids = (request.demands[0].attempt_id,)
            refusal = CapacityRefused('request', 'own', refused_ids)
            self.dispatcher.handle_refusals(refusal, now)
        self.assertEqual([('w',), ('w',), ('w',), ()], avoided)

    def test_gang_does_not_back_off_from_its_own_limit(self):
        """An allotment grows in one write; light loads waited for seconds."""
        take = self.limits.try_take
        self.limits.try_take = lambda *_: False
        self.queue(1, 2, kind='gang')
        for now in (0, 0.1, 0.2):
            self.assertEqual([], self.tick(now)[0])
        self.limits.try_take = take
        self.assertEqual(2, len(self.tick(0.5)[0]))

    def test_started_attempt_is_not_released_with_its_journal(self):
        """The attempt runs on under the session that adopts the journal."""
        self.queue(1)
        wanted = self.tick()[0]
        self.grant(*wanted)
        self.table.close_journal(JOURNAL)
        self.dispatcher.close_journal(JournalClosed(JOURNAL), 1)
        self.grant(*wanted)
        ending = AttemptEnded(JOURNAL, *wanted, 'lapsed', None)
        self.dispatcher.release(ending, 1)
        self.assertEqual(([], []), self.tick(1))
