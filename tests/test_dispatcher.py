"""Tests of the dispatcher: order of requests, and release of grants."""

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
    AttemptAdopted,
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
    """Checks the order of work, and that no grant or unit leaks."""

    def setUp(self):
        """Open a journal."""
        super().setUp()
        self.table = JobTable()
        self.table.open_journal(JOURNAL, 1)
        self.shares = {}
        self.preset = ORDINARY
        self.limits = Limits()
        self.enqueue_signals = []
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
        self.enqueue_signals.extend(self.dispatcher.enqueue(signal, 0))

    def collect_signals(self, now):
        """Return the signals of queueing since the last call and of a tick."""
        signals = [
            *self.enqueue_signals,
            *self.dispatcher.act_on_time(Tick(), now),
        ]
        self.enqueue_signals.clear()
        return signals

    def tick(self, now=0):
        """Return the requested attempts in order, and the released ones."""
        signals = self.collect_signals(now)
        requests = of_type(signals, ReserveCapacity)
        wanted = [one.attempt_id for each in requests for one in each.demands]
        releases = of_type(signals, ReleaseGrants)
        return wanted, [one for each in releases for one in each.attempt_ids]

    def grant(self, *attempt_ids, now=0):
        """Deliver grants; return the placements."""
        grants = tuple(grant(one) for one in attempt_ids)
        signal = CapacityGranted('request', 'own', grants)
        return of_type(self.dispatcher.handle_grants(signal, now), TasksPlaced)

    def test_order_of_requests(self):
        """Work is ordered by class, then kind, then share, then age."""
        self.shares = {'a-rich': 0.9, 'z-poor': 0.1}
        # Without a lease nothing is requested until everything is queued.
        self.view.lease_end_s = 0
        self.queue(1, team='a-rich')
        self.queue(2, team='z-poor')
        self.queue(3, kind='gang')
        self.queue(4, priority='urgent')
        self.view.lease_end_s = 1e6
        order = [one.split('.')[1] for one in self.tick()[0]]
        self.assertEqual(['4', '3', '2', '1'], order)

    def test_single_job_and_releases_are_not_delayed_to_a_tick(self):
        """Waiting for a tick would add to the time between two tasks."""
        self.queue(1)
        wanted = of_type(self.enqueue_signals, ReserveCapacity)[0].demands
        attempt_id = wanted[0].attempt_id
        self.grant(attempt_id)
        ending = AttemptEnded(JOURNAL, attempt_id, 'succeeded')
        waiting = self.dispatcher.release(ending, 0)[0]
        release = self.dispatcher.send_releases(waiting, 0)[0]
        self.assertEqual((attempt_id,), release.attempt_ids)

    def test_maintenance_preset_blocks_batch_work_only(self):
        """Maintenance must not start batch tasks."""
        self.preset = MAINTENANCE
        self.queue(1)
        self.queue(2, kind='gang')
        self.assertEqual(['j.2.0.1-1'], self.tick()[0])

    def test_unexpected_grants_are_released_unless_in_use(self):
        """A duplicate answer must neither hold nor free capacity."""
        self.queue(1)
        wanted = self.tick()[0]
        self.assertEqual(1, len(self.grant(*wanted)))
        self.assertEqual([], self.grant(*wanted, 'j.9.0.1-9', 'other.1.0.1-1'))
        self.assertEqual(['j.9.0.1-9'], self.tick(1)[1])
        self.dispatcher.release(AttemptEnded(JOURNAL, *wanted, 'lapsed'), 2)
        self.assertEqual(0, self.limits.in_use['team', JOURNAL])
        self.assertEqual(wanted, self.tick(2)[1])

    def test_lost_request_is_repeated_with_new_attempt_ids(self):
        """A task whose request is never answered must not wait forever."""
        self.queue(1)
        lost = self.tick()[0]
        self.assertEqual(([], lost), self.tick(1.5))
        repeated = self.tick(3)[0]
        self.assertNotEqual(lost, repeated)
        self.assertEqual([], self.grant(*lost))
        self.assertEqual(1, len(self.grant(*repeated)))

    def test_gang_releases_its_grants_when_one_is_missing(self):
        """Gangs that each hold a part of their grants must not deadlock."""
        self.queue(1, 2, kind='gang')
        wanted = self.tick()[0]
        self.assertEqual([], self.grant(wanted[0]))
        self.assertCountEqual(wanted, self.tick(2.5)[1])
        self.assertEqual(0, self.limits.in_use['team', JOURNAL])

    def test_gang_is_placed_as_a_whole(self):
        """A refused part is requested again while the other part is held."""
        self.queue(1, 2, kind='gang')
        first, second = self.tick()[0]
        self.grant(first)
        refusal = CapacityRefused('request', 'own', (second,))
        self.dispatcher.handle_refusals(refusal, 0)
        placed = self.grant(*self.tick(0.2)[0], now=0.3)
        self.assertEqual((0, 1), placed[0].tasks)

    def test_gang_retries_its_limit_before_its_demand_expires(self):
        """After waits of seconds its demand for the limit would expire."""
        tries_s = []
        self.limits.try_take = lambda *args: tries_s.append(args[-1])
        self.queue(1, 2, kind='gang')
        for step in range(500):
            self.tick(step * 0.02)
        gaps_s = [later - earlier for earlier, later in pairwise(tries_s)]
        self.assertLess(max(gaps_s), AllotmentSettings().demand_ttl_s / 2)

    def test_withdrawn_and_closed_work(self):
        """Cancelled work releases everything; a lost journal sends nothing."""
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

    def collect_requests(self, now=0):
        """Return the requests for capacity of a tick."""
        return of_type(self.collect_signals(now), ReserveCapacity)

    def test_releases_report_final_states(self):
        """The owner quarantines workers by the states in releases."""
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

    def test_request_for_part_of_a_gang_is_marked_partial(self):
        """An owner must not mistake a part for the whole gang."""
        self.queue(1, 2, kind='gang')
        whole = self.collect_requests()[0]
        self.grant(whole.demands[0].attempt_id)
        refused_ids = (whole.demands[1].attempt_id,)
        refusal = CapacityRefused('request', 'own', refused_ids)
        self.dispatcher.handle_refusals(refusal, 0)
        part = self.collect_requests(0.2)[0]
        self.assertEqual((False, True), (whole.partial, part.partial))

    def test_failed_workers_are_avoided_for_a_limited_number_of_rounds(self):
        """A task must neither return to the worker at once nor wait forever."""
        record = accepted(1)
        failure = AttemptFinished(assigned().attempt_id, 'failed')
        for one in (record, assigned(), failure):
            self.table.replay(one)
        queued = TaskQueued(JOURNAL, record.job_id, (0,))
        self.enqueue_signals.extend(self.dispatcher.enqueue(queued, 0))
        avoided = []
        for now in range(0, 12, 3):
            request = self.collect_requests(now)[0]
            avoided.append(request.avoid_workers)
            refused_ids = (request.demands[0].attempt_id,)
            refusal = CapacityRefused('request', 'own', refused_ids)
            self.dispatcher.handle_refusals(refusal, now)
        self.assertEqual([('w',), ('w',), ('w',), ()], avoided)

    def test_gang_retries_its_limit_without_backoff(self):
        """One store write grows an allotment, so a back-off wastes seconds.

        With a back-off, gangs waited for seconds under light load.
        """
        take = self.limits.try_take
        self.limits.try_take = lambda *_: False
        self.queue(1, 2, kind='gang')
        for now in (0, 0.1, 0.2):
            self.assertEqual([], self.tick(now)[0])
        self.limits.try_take = take
        self.assertEqual(2, len(self.tick(0.5)[0]))

    def test_adopted_journal_queues_tasks_before_its_attempts(self):
        """Restored units replaced those just taken, and were freed twice.

        The count of the limit then fell below what was running, and a job
        was lost.
        """
        self.table.replay(accepted(1))
        self.table.replay(assigned(1))
        self.queue(2, tasks=2, kind='gang')
        adopted = AttemptAdopted(JOURNAL, 'j.1.0.1-1')
        self.dispatcher.adopt(adopted, 0)
        self.assertEqual(3, self.limits.in_use['team', JOURNAL])
        wanted = self.tick()[0]
        self.grant(*wanted)
        for attempt_id in (*wanted, 'j.1.0.1-1'):
            ending = AttemptEnded(JOURNAL, attempt_id, 'succeeded')
            self.dispatcher.release(ending, 1)
        self.assertEqual(0, self.limits.in_use['team', JOURNAL])

    def test_started_attempt_is_not_released_with_its_journal(self):
        """The attempt keeps running under the session that adopts it."""
        self.queue(1)
        wanted = self.tick()[0]
        self.grant(*wanted)
        self.table.close_journal(JOURNAL)
        self.dispatcher.close_journal(JournalClosed(JOURNAL), 1)
        self.grant(*wanted)
        ending = AttemptEnded(JOURNAL, *wanted, 'lapsed', None)
        self.dispatcher.release(ending, 1)
        self.assertEqual(([], []), self.tick(1))
