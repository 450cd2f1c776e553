"""Guards against messages, answers and state that pass to another life.

A life, or boot, of a worker is one process. The next one can have the same
id, the same address, or both.
"""

from random import Random

from msgspec import structs
from testtools import TestCase
from testtools.matchers import Equals, HasLength, IsInstance

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
from apricotlead.protocol.jobs import AttemptFinished, Submission, TaskSpec
from apricotlead.protocol.outcomes import Done, NotRun
from apricotlead.protocol.peers import CapacityGranted, ReleaseGrants
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    AdmitJob,
    AttemptAdopted,
    AttemptEnded,
    AttemptForgotten,
    AttemptStarting,
    CallWorker,
    FindJob,
    Tick,
    WorkerClaimed,
    WorkerReplied,
)
from apricotlead.protocol.workers import (
    Accepted,
    AttemptReport,
    CallFailed,
    Heartbeat,
    HeartbeatReply,
    LeasesReply,
    RenewLeases,
    StartTask,
    StopTasks,
    ThrottleTask,
    WorkerRefused,
)
from apricotlead.state.config_view import ConfigView
from apricotlead.state.job_table import JobTable
from apricotlead.transport.executor_client import ExecutorClient
from apricotlead.transport.worker_client import WorkerClient
from apricotlead_standins.executor import Executor, ExecutorSettings
from apricotlead_standins.worker import Worker, WorkerSettings
from apricotlead_standins.worker_messages import Resources as Capacity
from tests.capacity_rig import CapacityRig, messages_of
from tests.job_cell import Cell
from tests.job_samples import (
    JOURNAL,
    accepted,
    assigned,
    of_type,
    replied,
    session_view,
)
from tests.model_worker import ModelWorker
from tests.standin_harness import InMemory, InMemoryPool
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
LEASE_S = LeaseSettings().lease_s


def make_worker(now):
    """Boot a worker of four cores."""
    return Worker(WorkerSettings('w', Capacity(4000, 4096)), 'boot', now)


def late_start(attempt_id, boot_id, run_s=60.0, not_after_s=2.0):
    """Return a start that is granted for one life of the worker."""
    return StartTask(
        attempt_id,
        1,
        boot_id,
        not_after_s,
        'j',
        1,
        LEASE_S,
        TaskSpec(CAPACITY, run_s, ''),
    )


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

    def test_end_is_acknowledged_once_it_is_durable(self):
        """Guards against an end that is removed before its home has kept it.

        A hand-over in between left the adopter without the end.
        """
        poll = self.start(CURRENT, 0)[0]
        report = AttemptReport(CURRENT.attempt_id, 'succeeded')
        reply = LeasesReply(1, CURRENT.boot_id, (report,))
        following = self.leases.handle_reply(replied(poll, reply), 1)
        self.assertThat(of_type(following, AttemptEnded), HasLength(1))
        signal = AttemptForgotten(JOURNAL, CURRENT.attempt_id)
        self.leases.acknowledge(signal, 2)
        self.assertEqual([], self.leases.act_on_time(Tick(), 2))
        record = AttemptFinished(CURRENT.attempt_id, 'succeeded', ran=True)
        self.table.replay(record)
        self.leases.acknowledge(signal, 3)
        call = self.leases.act_on_time(Tick(), 3)[0]
        self.assertEqual(
            (ADDRESS, (), (CURRENT.attempt_id,)),
            (
                call.address,
                call.request.attempt_ids,
                call.request.acknowledged_ids,
            ),
        )

    def test_next_life_proves_no_start_that_never_happened(self):
        """Guards against a second run of a task that is not idempotent.

        The attempt may have run and ended in the former life; that the next
        one does not know it says nothing about that.
        """
        signal = AttemptAdopted(JOURNAL, FORMER.attempt_id)
        self.leases.adopt(signal, 0)
        poll = of_type(self.leases.act_on_time(Tick(), 0), CallWorker)[0]
        unknown = AttemptReport(FORMER.attempt_id, 'unknown')
        reply = LeasesReply(FORMER.not_after_s + 1, 'next', (unknown,))
        ended = self.leases.handle_reply(replied(poll, reply), 0.1)
        self.assertEqual([None], [one.ran for one in ended])

    def test_late_answer_of_the_former_life_ends_no_attempt(self):
        """Guards against a second run because of an answer under way.

        The call left before this session knew the current life.
        """
        poll = self.start(FORMER, 0)[0]
        self.start(CURRENT, 1)
        answer = replied(poll, LeasesReply(9001, FORMER.boot_id))
        following = self.leases.handle_reply(answer, 1.5)
        self.assertEqual([], of_type(following, AttemptEnded))

    def test_each_life_is_renewed_by_its_own_clock(self):
        """Guards against a lease that outlasts the time it is reckoned with.

        The former life's clock is far ahead of the current one's.
        """
        calls = self.start(FORMER, 0) + self.start(CURRENT, 0)
        until_by_address = {
            call.address: call.request.lease_until_s
            for call in of_type(calls, CallWorker)
        }
        self.assertLessEqual(until_by_address[ADDRESS], LEASE_S)
        self.assertGreater(until_by_address[FORMER_ADDRESS], 8000)

    def test_start_names_the_life_that_was_granted(self):
        """Guards against a start that the next life accepts."""
        signal = AttemptStarting(JOURNAL, FORMER.attempt_id)
        start = self.leases.start(signal, 0)[0]
        self.assertEqual(
            (FORMER.boot_id, FORMER_ADDRESS),
            (start.request.boot_id, start.address),
        )
        refusal = WorkerRefused('other_boot', boot_id=CURRENT.boot_id)
        ended = self.leases.handle_reply(replied(start, refusal), 1)
        self.assertEqual([False], [one.ran for one in ended])

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
    request = LookupRequest(SERVICE, key='courts')

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

    def test_lookup_meant_for_a_former_life(self):
        """Guards against a lookup that runs twice, or after its unit ended.

        The next life refuses it, and the refusal tells the clock to use.
        """
        client = self.boot('former')
        first = self.manager.open(self.request, 0)
        first.handle_clock_reply(client.read_clock(first.next_step(0)), 0)
        self.manager.close(first, 0)
        client = self.boot('next')
        lookup = self.manager.open(self.request, 0)
        step = lookup.next_step(0)
        self.assertEqual('former', step.not_after.boot_id)
        refusal = client.send(step, b'x')
        self.assertIsNone(lookup.handle_result(refusal, 0))
        self.assertThat(lookup.next_step(0), IsInstance(NotRun))
        self.manager.close(lookup, 0)
        self.assertEqual({}, self.standin.run_counts_by_request)
        self.assertEqual(1, self.units.free)
        self.assertEqual('next', self.router.not_after('e', 1, 0).boot_id)

    def boot(self, boot_id):
        """Begin a life of the executor; return a client."""
        pool = InMemoryPool()
        self.standin = Executor(ExecutorSettings('e', boot_id=boot_id))
        pool.add(self.executors[0].address, self.standin)
        return ExecutorClient(pool)


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


class TestCallsMeantForAFormerLife(TestCase):
    """Guards against a call that acts on a life it was not meant for.

    The present life runs ``b`` and has ended ``c``; the former one had ``a``.
    Each late call must leave both as they are.
    """

    late_calls = (
        (late_start('a', 'boot'), 'other_boot'),
        (StopTasks('j', 1, ('a',)), ''),
        (
            RenewLeases(
                'j',
                1,
                ('a',),
                ('a',),
                LEASE_S,
                lease_until_s=9000.0,
            ),
            '',
        ),
        (ThrottleTask('a', 1, 10), 'unknown_attempt'),
    )

    def setUp(self):
        """Let a worker start again under its id and its address."""
        super().setUp()
        self.harness = InMemory(make_worker)
        self.client = WorkerClient(self.harness.pool)
        self.harness.pass_time(9000)
        self.call(late_start('a', 'boot', not_after_s=9002))
        self.harness.standin.restart('next', self.harness.now())
        for attempt_id, run_s in (('b', 60), ('c', 0)):
            start = late_start(attempt_id, 'next', run_s=run_s)
            self.assertThat(self.call(start), IsInstance(Accepted))

    def call(self, request):
        """Send a request to the worker's address; return the reply."""
        return self.client.call(self.harness.address, request)

    def states(self):
        """Return the states that a call without renewal shows."""
        poll = RenewLeases('j', 1, ('a', 'b', 'c'), lease_s=0.0)
        reported = {'b': 'running'}
        reported.update(
            (report.attempt_id, report.state)
            for report in self.call(poll).attempts
        )
        return reported

    def test_late_calls_change_nothing(self):
        """Guards against a run, a stop or a lost end in the next life."""
        expected = {'a': 'unknown', 'b': 'running', 'c': 'succeeded'}
        for late, reason in self.late_calls:
            reply = self.call(late)
            self.expectThat(getattr(reply, 'reason', ''), Equals(reason))
            self.expectThat(self.states(), Equals(expected))

    def test_late_renewals_extend_no_lease(self):
        """Guards against a lease beyond the time that its home reckons with.

        The former life's clock is 9,000 s ahead of the next one's.
        """
        self.harness.pass_time(LEASE_S - 1)
        for late, _ in self.late_calls:
            self.call(late)
        self.harness.pass_time(1.1)
        self.assertEqual('lapsed', self.states()['b'])

    def test_listing_of_a_former_life_is_not_the_present_one(self):
        """Guards against capacity that seems free in the next life."""
        former = self.call(Heartbeat('o', 1))
        self.harness.standin.restart('third', self.harness.now())
        self.call(late_start('d', 'third'))
        known = Heartbeat('o', 1, former.version, former.boot_id)
        reply = self.call(known)
        self.assertEqual(former.version, reply.version)
        self.assertEqual(['d'], [one.attempt_id for one in reply.attempts])


class TestCapacityOfTwoLives(TestCase):
    """Guards against capacity of a former life that is returned twice."""

    def setUp(self):
        """Grant all capacity of a worker, which then starts again."""
        super().setUp()
        self.rig = CapacityRig()
        self.process = ModelWorker('w', CAPACITY, 1)
        self.rig.list_worker('w', CAPACITY)
        self.answer_all(self.rig.deliver(WorkerClaimed('w', 1)))
        self.former = self.grant('former')
        self.process.boot(self.rig.now)
        self.answer_all(self.rig.tick(1))

    def answer_all(self, effects):
        """Let the worker answer the heartbeats."""
        for call in of_type(effects, CallWorker):
            reply = self.process.heartbeat(call.request, self.rig.now)
            self.rig.deliver(WorkerReplied(call.token, 'w', reply))

    def grant(self, request):
        """Request all capacity; return the grant."""
        return self.rig.ask(request, 4000, 4000)[0].grants[0]

    def free(self):
        """Return the capacity that can be granted."""
        return self.rig.ledger.free_of('w')

    def test_grant_of_the_former_life_is_released_once(self):
        """Guards against two attempts in the room of one."""
        self.assertEqual(CAPACITY, self.free())
        for _ in range(2):
            self.rig.send(ReleaseGrants((self.former.attempt_id,)))
            self.assertEqual(CAPACITY, self.free())
        self.grant('next')
        self.rig.send(ReleaseGrants((self.former.attempt_id,)))
        self.assertEqual(Resources(), self.free())

    def test_only_the_grant_of_the_present_life_starts(self):
        """Guards against a late start beside the work granted since."""
        current = self.grant('next')
        started = [
            self.process.start(grant, CAPACITY, self.rig.now)
            for grant in (self.former, current)
        ]
        self.assertEqual([False, True], started)

    def test_reply_of_the_former_life_that_comes_late(self):
        """Guards against a listing of what the present life does not run."""
        late = self.rig.tick(1)
        self.process.boot(self.rig.now)
        self.answer_all(self.rig.tick(3))
        self.process.start(self.grant('next'), CAPACITY, self.rig.now)
        self.answer_all(self.rig.tick(1))
        former = HeartbeatReply(1, self.former.boot_id, CAPACITY, (), 9)
        for call in of_type(late, CallWorker):
            self.rig.deliver(WorkerReplied(call.token, 'w', former))
        self.assertEqual(Resources(), self.free())


class RestartingCell(Cell):
    """Restarts the worker that a start is on its way to.

    Its home can end, or lose the store, at the same moment.
    """

    failure_rate = 0
    restarts = 0
    home_fault = ''

    def call(self, home, effect):
        """Restart the worker before the start arrives."""
        if isinstance(effect.request, StartTask) and self.restarts:
            self.restarts -= 1
            for worker in self.workers:
                if worker.worker_id == effect.worker_id:
                    worker.restart()
            home.is_dead = self.home_fault == 'end'
            home.is_partitioned = self.home_fault == 'cut'
            self.home_fault = ''
        super().call(home, effect)


class TestRestartBetweenAssignmentAndStart(TestCase):
    """Guards against a task that is lost, or runs twice, in this window.

    The simulated cell fails a test as soon as a task runs twice at a time.
    """

    def run_job(self, seed, **faults):
        """Run a job of one task; return its state and its starts."""
        idempotent = faults.pop('idempotent', True)
        cell = RestartingCell(Random(seed))
        for name, fault in faults.items():
            setattr(cell, name, fault)
        cell.run(0.2)
        spec = TaskSpec(Resources(1000, 1000), 3, 'x')
        submission = Submission('queue', (spec,), idempotent=idempotent)
        cell.homes[0].deliver(AdmitJob(1, 'team', submission))
        cell.run(60)
        cell.heal()
        cell.run(10)
        job_id = cell.answers[1][0].answer.job_id
        cell.alive()[0].deliver(FindJob(2, job_id, 'team'))
        cell.run(2)
        outcome = cell.answers[2][0]
        self.assertThat(outcome, IsInstance(Done))
        return outcome.answer.state, cell.starts[f'{job_id}.0']

    def test_start_that_no_life_accepted_is_made_again(self):
        """Guards against ``may_have_run`` for a task that never ran."""
        for restarts in (0, 1, 2):
            for seed in range(8):
                result = self.run_job(
                    seed,
                    restarts=restarts,
                    idempotent=False,
                )
                self.expectThat(result, Equals(('done', 1)))

    def test_home_is_lost_in_the_window(self):
        """Guards against a task that its adopter leaves in doubt."""
        for home_fault in ('end', 'cut'):
            for seed in range(8):
                result = self.run_job(seed, restarts=1, home_fault=home_fault)
                self.expectThat(result, Equals(('done', 1)))
