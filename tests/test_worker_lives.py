"""Guards against messages, answers and state that pass to another life.

A life, or boot, of a worker is one process. The next one can have the same
id, the same address, or both.
"""

from random import Random

from msgspec import structs
from testtools import TestCase

from apricotlead.coordination.allotments import Allotments
from apricotlead.coordination.limit_account import AllotmentSettings
from apricotlead.coordination.lookups import LookupRequest
from apricotlead.coordination.task_leases import LeaseSettings, TaskLeases
from apricotlead.protocol.errors import Overloaded
from apricotlead.protocol.executors import (
    ExecutorAnswered,
    ExecutorClock,
    ExecutorRefused,
)
from apricotlead.protocol.jobs import AttemptFinished
from apricotlead.protocol.peers import CapacityGranted
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    AttemptAdopted,
    AttemptEnded,
    AttemptForgotten,
    AttemptStarting,
    CallWorker,
    Tick,
    WorkerClaimed,
    WorkerReplied,
)
from apricotlead.protocol.workers import (
    Accepted,
    CallFailed,
    LeasesReply,
    RenewLeases,
)
from apricotlead.state.config_view import ConfigView
from apricotlead.state.job_table import JobTable
from tests.capacity_rig import CapacityRig, messages_of
from tests.job_samples import (
    JOURNAL,
    accepted,
    assigned,
    of_type,
    replied,
    session_view,
)
from tests.model_worker import ModelWorker
from tests.test_lookups import SERVICE, LookupCase, executor

CAPACITY = Resources(4000, 4000)
FORMER_ADDRESS = '10.0.0.1:1'
ADDRESS = '10.0.0.2:1'
FORMER = structs.replace(
    assigned(),
    boot_id='former',
    address=FORMER_ADDRESS,
    not_after_s=9000.0,
)
CURRENT = structs.replace(
    assigned(task=1, attempt=2),
    boot_id='current',
    address=ADDRESS,
)
ENDED = AttemptFinished(FORMER.attempt_id, 'lapsed', ran=None)


def renewals_of(signals):
    """Return the address and the attempts of each renewal."""
    return [
        (call.address, call.request.attempt_ids)
        for call in of_type(signals, CallWorker)
        if isinstance(call.request, RenewLeases) and call.request.attempt_ids
    ]


class TestLeasesOfTwoLives(TestCase):
    """Guards against leases whose calls go to another life of the worker."""

    def setUp(self):
        """Assign one attempt to each of two lives of worker ``w``."""
        super().setUp()
        self.table = JobTable()
        self.table.open_journal(JOURNAL, 1)
        for record in (accepted(tasks=2), FORMER, CURRENT):
            self.table.replay(record)
        self.leases = TaskLeases(
            LeaseSettings(outage_s=100),
            self.table,
            session_view(),
        )

    def start(self, assignment, now):
        """Start an attempt, which its life accepts; return the calls."""
        signal = AttemptStarting(JOURNAL, assignment.attempt_id)
        start = self.leases.start(signal, now)[0]
        reply = Accepted(now, assignment.boot_id)
        return self.leases.handle_reply(replied(start, reply), now)

    def acknowledge_former(self, now):
        """Make the end of the former life's attempt durable."""
        self.table.replay(ENDED)
        signal = AttemptForgotten(JOURNAL, FORMER.attempt_id)
        self.leases.acknowledge(signal, now)

    def test_acknowledgement_leaves_the_address_of_the_renewals(self):
        """Guards against renewals that go to the former life's address.

        The current life got none, and its lease ran out under a running task.
        """
        poll = self.start(CURRENT, 0)[0]
        self.acknowledge_former(0.5)
        running = LeasesReply(1, CURRENT.boot_id)
        following = self.leases.handle_reply(replied(poll, running), 1)
        following += self.leases.act_on_time(Tick(), 2)
        self.assertEqual(
            [(ADDRESS, (CURRENT.attempt_id,))],
            renewals_of(following),
        )

    def test_process_at_the_former_address_ends_no_attempt(self):
        """Guards against a second run while the first one goes on.

        Another worker that has the former life's address answered with a boot
        of its own, which counted as a restart.
        """
        poll = self.start(CURRENT, 0)[0]
        self.acknowledge_former(0.5)
        running = LeasesReply(1, CURRENT.boot_id)
        following = self.leases.handle_reply(replied(poll, running), 1)
        following += self.leases.act_on_time(Tick(), 2)
        stranger = LeasesReply(70, 'stranger')
        for call in of_type(following, CallWorker):
            if call.address == FORMER_ADDRESS:
                reply = replied(call, stranger)
                following += self.leases.handle_reply(reply, 2)
        self.assertEqual([], of_type(following, AttemptEnded))

    def test_adopter_renews_each_life_at_its_own_address(self):
        """Guards against a task in doubt for ``outage_s`` after a hand-over.

        The records repeat acknowledgements of attempts of former lives.
        """
        signal = AttemptAdopted(JOURNAL, CURRENT.attempt_id)
        self.leases.adopt(signal, 0)
        self.acknowledge_former(0)
        following = self.leases.act_on_time(Tick(), 0)
        self.assertEqual(
            [(ADDRESS, (CURRENT.attempt_id,))],
            renewals_of(following),
        )

    def test_answer_of_the_current_life_ends_the_former_one(self):
        """Guards against waiting for a life whose address is dead."""
        for assignment in (FORMER, CURRENT):
            signal = AttemptAdopted(JOURNAL, assignment.attempt_id)
            self.leases.adopt(signal, 0)
        calls = of_type(self.leases.act_on_time(Tick(), 0), CallWorker)
        ended = []
        for call in calls:
            is_current = call.address == ADDRESS
            answer = LeasesReply(1, CURRENT.boot_id)
            reply = answer if is_current else CallFailed(sent=False)
            ended += of_type(
                self.leases.handle_reply(replied(call, reply), 0.1),
                AttemptEnded,
            )
        self.assertEqual(
            [(FORMER.attempt_id, 'lapsed', None)],
            [(one.attempt_id, one.state, one.ran) for one in ended],
        )

    def test_acknowledgements_end_with_the_life_that_they_are_for(self):
        """Guards against calls to a dead address for ``acknowledge_s``."""
        self.acknowledge_former(0)
        lost = of_type(self.leases.act_on_time(Tick(), 0), CallWorker)[0]
        self.leases.handle_reply(replied(lost, CallFailed(sent=False)), 0)
        poll = self.start(CURRENT, 0.05)[0]
        running = LeasesReply(1, CURRENT.boot_id)
        self.leases.handle_reply(replied(poll, running), 0.1)
        following = self.leases.act_on_time(Tick(), 5)
        addresses = [call.address for call in of_type(following, CallWorker)]
        self.assertEqual([ADDRESS], addresses)


class TestWorkerAtAFormerAddress(TestCase):
    """Guards against one process whose capacity is granted under two ids."""

    def setUp(self):
        """List a gone worker and, at the same address, its successor."""
        super().setUp()
        self.rig = CapacityRig()
        self.process = ModelWorker('later', CAPACITY, 1)
        self.process.boot(self.rig.now)
        for worker_id in ('gone', 'later'):
            self.rig.list_worker(worker_id, CAPACITY)

    def answer_all(self, effects):
        """Let the one process answer; return the messages to the home."""
        produced = list(effects)
        for call in of_type(effects, CallWorker):
            reply = self.process.heartbeat(call.request, self.rig.now)
            answer = WorkerReplied(call.token, call.worker_id, reply)
            produced += self.rig.deliver(answer)
        return messages_of(produced)

    def claim(self, worker_id, epoch):
        """Claim a worker and let the process answer."""
        self.answer_all(self.rig.deliver(WorkerClaimed(worker_id, epoch)))

    def test_its_capacity_is_granted_once(self):
        """Guards against twice the capacity in use on one process."""
        for worker_id in ('gone', 'later'):
            self.claim(worker_id, 1)
        for request in ('r', 's'):
            for message in self.rig.ask(request, cpu=4000):
                if isinstance(message, CapacityGranted):
                    grant = message.grants[0]
                    self.process.start(grant, CAPACITY, self.rig.now)
        self.assertEqual(CAPACITY, self.process.in_use())

    def test_its_owner_is_not_fenced_off(self):
        """Guards against capacity that is lost until the list is right.

        The gone worker's ownership had the higher epoch.
        """
        self.claim('later', 1)
        self.claim('gone', 5)
        self.answer_all(self.rig.tick(1))
        self.assertEqual(CAPACITY, self.rig.ledger.free_of('later'))

    def test_ownership_of_the_gone_worker_is_kept(self):
        """Guards against an epoch of another worker that ends it."""
        self.claim('later', 5)
        self.claim('gone', 1)
        self.assertIn('gone', self.rig.ledger.workers_by_id)

    def test_grant_has_the_address_that_was_called(self):
        """Guards against a grant for one life at the address of the next.

        Its start was refused there, or was sent to a process that was gone.
        """
        effects = self.rig.deliver(WorkerClaimed('later', 1))
        listed = self.rig.directory.workers_by_id
        called_address = listed['later'].address
        listed['later'] = structs.replace(listed['later'], address=ADDRESS)
        self.answer_all(effects)
        grant = self.rig.ask('r', cpu=4000)[0].grants[0]
        self.assertEqual(
            (self.process.boot_id, called_address),
            (grant.boot_id, grant.address),
        )


class TestExecutorsThatStartAgain(LookupCase):
    """Guards against what a former life said, held against the next one."""

    executors = (executor('e'),)

    def leave(self, now=0):
        """Let the executor say that it is leaving."""
        for result in (
            ExecutorAnswered(200, b'', leaving=True),
            ExecutorRefused(leaving=True),
        ):
            self.router.record_start('e')
            self.router.record_result('e', result, now)

    def is_used(self, now):
        """Return whether the executor gets requests."""
        try:
            chosen = self.router.choose(SERVICE, now)
        except Overloaded:
            return False
        return chosen.instance_id == 'e'

    def show(self, now, **changed):
        """Change the entry of the list and let a tick pass."""
        self.directory.replace((structs.replace(self.executors[0], **changed),))
        self.manager.on_tick(Tick(), now)

    def test_executor_that_the_list_no_longer_shows_as_leaving(self):
        """Guards against a service without executors after their restarts."""
        self.leave()
        self.show(1, leaving=True)
        self.assertFalse(self.is_used(1))
        self.show(2)
        self.assertTrue(self.is_used(2))

    def test_executor_at_another_address(self):
        """Guards against an unused life if the list never showed the end."""
        self.manager.on_tick(Tick(), 0)
        self.leave()
        self.show(1)
        self.assertFalse(self.is_used(1))
        self.show(2, address=ADDRESS)
        self.assertTrue(self.is_used(2))

    def test_executor_that_the_list_shows_as_before(self):
        """Guards against a life that is never used if it looks the same."""
        self.leave()
        self.show(1)
        self.assertFalse(self.is_used(119))
        self.assertTrue(self.is_used(121))

    def test_clock_of_the_life_after_one_without_a_clock(self):
        """Guards against lookups that run after their unit was returned.

        One answer without a clock, of a former life or in its place, made the
        executor count as one that has none, so that no end on its clock was
        sent any more.
        """
        lookup = self.open(key='courts')
        lookup.next_step(0)
        lookup.handle_clock_reply(ExecutorAnswered(200, b''), 0)
        lookup.next_step(0)
        clock = ExecutorClock('next', 5)
        lookup.handle_result(ExecutorAnswered(200, b'', clock=clock), 0)
        self.assertTrue(self.router.needs_clock('e', 60))


class TestLookupsOfAnExpiredSession(LookupCase):
    """Guards against lookups whose units an adopter already uses."""

    executors = (executor('e'),)

    def setUp(self):
        """Count units with a session lease that ends at 1."""
        super().setUp()
        self.view.lease_end_s = 1
        allotments = Allotments(
            AllotmentSettings(),
            self.view,
            ConfigView(),
            Random(1),
        )
        self.units.usable_until_s = allotments.usable_until_s

    def test_lookup_ends_with_the_session_lease(self):
        """Guards against a team beyond its limit while a session is cut off.

        A lookup that began just before the lease ended went on for 2 s more.
        """
        lookup = self.manager.open(
            LookupRequest(SERVICE, key='courts', wait_s=2),
            0.9,
        )
        self.assertEqual(1, lookup.ends_s)

    def test_lookup_without_a_limit_goes_on(self):
        """Guards against refusals on open queues during a store outage."""
        lookup = self.manager.open(LookupRequest(SERVICE, wait_s=2), 5)
        self.assertEqual(7, lookup.ends_s)
