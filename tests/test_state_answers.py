"""States and cancels that callers ask for while calls to the store fail."""

import random
from typing import Any

import eventlet
from testtools import TestCase

from apricotlead.coordination.cell.job_rows import cancel_key
from apricotlead.coordination.cell.peer_ring import PeerRing
from apricotlead.protocol.cell_jobs import (
    JobReport,
    JobState,
    JobSubmission,
    StepSpec,
)
from apricotlead.protocol.cell_peers import RelayedCall
from apricotlead.protocol.errors import NoSuchJob, StoreUnreachable
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun
from apricotlead.protocol.table import Check, Put, Row, StoreFailed, Transaction
from apricotlead.state.known_peers import KnownPeers
from apricotlead.transport.boot_clock import boot_now
from tests.virtual_clock import virtual_clock
from tests.virtual_store import (
    BUSY,
    CUT_OFF,
    HANGS,
    JOB,
    JOB_KEY,
    PROGRESS_KEY,
    QUEUED,
    REFUSES,
    RUNNING,
    RatedStore,
    VirtualInstance,
    VirtualPeers,
    VirtualStore,
    after,
    always,
    first,
    on_calls,
)

SHORT_WAIT_S = 0.85
WAIT_S = 3.0
# For instances that keep trying because the store answers other calls.
NEVER_LOST_S = 60.0
CANCEL_KEY = cancel_key(JOB)
CANCEL = Transaction(
    '', CANCEL_KEY, (Check(CANCEL_KEY, 0),), (Put(CANCEL_KEY, 1),)
)
SUBMISSION = JobSubmission('x', (StepSpec(1),))
STARTED = {JOB_KEY: QUEUED, PROGRESS_KEY: RUNNING}


class VirtualTimeCase(TestCase):
    """A test in virtual time."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = self.enterContext(virtual_clock())
        # Pauses and the order of peers are random.
        random.seed(1)

    def assert_state(
        self, state: JobState, answer: tuple[Any, float], wait_s: float
    ) -> None:
        outcome, took_s = answer
        self.assertEqual(Done(JobReport(state)), outcome)
        self.assertLess(took_s, wait_s)

    def assert_unavailable(
        self, answer: tuple[Any, float], wait_s: float
    ) -> None:
        outcome, took_s = answer
        self.assertIsInstance(outcome, NotRun)
        self.assertIsInstance(outcome.error, StoreUnreachable)
        self.assertIsNotNone(outcome.retry_after_s)
        self.assertLess(took_s, wait_s)


class TestReadsWithinTheWait(VirtualTimeCase):
    """A read ends within its caller's wait, however its calls fail."""

    # Guards against a try that takes longer than its caller waits.
    def test_silent_store(self) -> None:
        for wait_s in (SHORT_WAIT_S, WAIT_S):
            instance = VirtualInstance(VirtualStore(STARTED, always(HANGS)))
            self.assert_unavailable(instance.status(wait_s), wait_s)

    # Guards against a try that begins just before the end and hangs.
    def test_store_falls_silent_just_before_the_end(self) -> None:
        store = VirtualStore(STARTED)
        instance = VirtualInstance(store, lost_after_s=NEVER_LOST_S)
        silent_s = boot_now() + WAIT_S - 0.4
        store.fault = lambda _: HANGS if boot_now() > silent_s else REFUSES
        self.assert_unavailable(instance.status(WAIT_S), WAIT_S)

    # Guards against a relayed try and a direct one that take a wait each.
    def test_silent_peer_before_a_silent_store(self) -> None:
        for wait_s in (SHORT_WAIT_S, WAIT_S):
            peers = VirtualPeers(p1=VirtualStore(STARTED))
            peers.silent.add('p1')
            instance = VirtualInstance(
                VirtualStore(STARTED, always(HANGS)), peers, NEVER_LOST_S
            )
            instance.health.record_failure(boot_now())
            self.assert_unavailable(instance.status(wait_s), wait_s)

    # Guards against a second read that gets a whole wait of its own.
    def test_second_read_is_not_answered(self) -> None:
        for wait_s in (SHORT_WAIT_S, WAIT_S):
            store = VirtualStore({JOB_KEY: QUEUED}, after(1, HANGS))
            store.answer_s = 0.6
            instance = VirtualInstance(store)
            self.assert_unavailable(instance.status(wait_s), wait_s)


class TestCancelsWithinTheWait(VirtualTimeCase):
    """A cancel's read and write end within its caller's wait."""

    # Guards against a write whose direct and relayed calls take a wait each.
    def test_write_is_not_answered(self) -> None:
        for wait_s in (SHORT_WAIT_S, WAIT_S):
            peers = VirtualPeers(p1=VirtualStore(STARTED))
            peers.silent.add('p1')
            store = VirtualStore(STARTED, after(1, HANGS))
            instance = VirtualInstance(store, peers, NEVER_LOST_S)
            instance.health.write_timeout.answered(0.5)
            self.assert_unavailable(instance.cancel(wait_s), wait_s)

    # Guards against two calls that each take more than the time that is left.
    def test_write_without_time(self) -> None:
        peers = VirtualPeers(p1=VirtualStore(STARTED))
        peers.silent.add('p1')
        instance = VirtualInstance(
            VirtualStore(STARTED, always(HANGS)), peers, NEVER_LOST_S
        )
        instance.health.record_failure(boot_now())
        began_s = boot_now()
        answer = instance.relay.write(CANCEL, began_s)
        self.assertIsInstance(answer, StoreFailed)
        self.assertLess(boot_now() - began_s, 0.15)

    # Guards against a silent peer that leaves no time for a direct write.
    def test_direct_write_follows_a_silent_peer(self) -> None:
        peers = VirtualPeers(p1=VirtualStore(STARTED))
        peers.silent.add('p1')
        instance = VirtualInstance(
            VirtualStore(STARTED, on_calls({2}, HANGS)),
            peers,
        )
        outcome, took_s = instance.cancel(SHORT_WAIT_S)
        self.assertEqual(Done(), outcome)
        self.assertLess(took_s, SHORT_WAIT_S)


class TestLostAnswers(VirtualTimeCase):
    """A lost answer is replaced by that of another try."""

    # Guards against a lost answer that takes the whole wait of a caller.
    def test_one_lost_answer(self) -> None:
        for wait_s in (SHORT_WAIT_S, WAIT_S):
            instance = VirtualInstance(VirtualStore(STARTED, first(1, HANGS)))
            self.assert_state(JobState.RUNNING, instance.status(wait_s), wait_s)

    # Guards against several lost answers that take the wait one by one.
    def test_several_lost_answers(self) -> None:
        for count, wait_s in ((2, SHORT_WAIT_S), (4, WAIT_S)):
            instance = VirtualInstance(
                VirtualStore(STARTED, first(count, HANGS))
            )
            self.assert_state(JobState.RUNNING, instance.status(wait_s), wait_s)

    # Guards against a loss in either read of a state.
    def test_lost_answer_to_each_of_two_reads(self) -> None:
        for wait_s in (SHORT_WAIT_S, WAIT_S):
            store = VirtualStore(
                {JOB_KEY: QUEUED},
                on_calls({1, 3}, HANGS),
            )
            answer = VirtualInstance(store).status(wait_s)
            self.assert_state(JobState.QUEUED, answer, wait_s)

    # Guards against a loss in the read and in the write of a cancel.
    def test_lost_answers_to_a_cancel(self) -> None:
        for wait_s in (SHORT_WAIT_S, WAIT_S):
            store = VirtualStore(STARTED, on_calls({1, 3}, HANGS))
            outcome, took_s = VirtualInstance(store).cancel(wait_s)
            self.assertEqual(Done(), outcome)
            self.assertLess(took_s, wait_s)

    # Guards against a direct path that hangs while a peer would answer.
    def test_peer_answers_while_the_direct_path_hangs(self) -> None:
        for wait_s in (SHORT_WAIT_S, WAIT_S):
            instance = VirtualInstance(
                VirtualStore(STARTED, always(HANGS)),
                VirtualPeers(p1=VirtualStore(STARTED)),
            )
            self.assert_state(JobState.RUNNING, instance.status(wait_s), wait_s)

    # Guards against a peer that hangs before a direct path that answers.
    def test_direct_path_answers_while_the_peer_hangs(self) -> None:
        peers = VirtualPeers(p1=VirtualStore(STARTED))
        peers.silent.add('p1')
        instance = VirtualInstance(VirtualStore(STARTED), peers)
        instance.health.record_failure(boot_now())
        answer = instance.status(SHORT_WAIT_S)
        self.assert_state(JobState.RUNNING, answer, SHORT_WAIT_S)

    # Guards against a second, priced read in normal operation.
    def test_healthy_store_is_read_once(self) -> None:
        store = VirtualStore(STARTED)
        instance = VirtualInstance(store)
        for _ in range(20):
            instance.status(WAIT_S)
        self.assertEqual(20, len(store.sent_s))

    # Guards against doubled load on a store that has become slow.
    def test_slow_store_is_hardly_read_twice(self) -> None:
        store = VirtualStore(STARTED, answer_s=0.4)
        instance = VirtualInstance(store)
        for _ in range(20):
            self.assert_state(JobState.RUNNING, instance.status(WAIT_S), 1)
        self.assertLess(len(store.sent_s), 23)

    # Guards against a slow store that leaves a short wait a single try.
    def test_lost_answer_of_a_slow_store(self) -> None:
        # The first read takes two calls, since the store was fast before.
        store = VirtualStore(STARTED, on_calls({3}, HANGS), answer_s=0.3)
        instance = VirtualInstance(store)
        instance.status(WAIT_S)
        answer = instance.status(SHORT_WAIT_S)
        self.assert_state(JobState.RUNNING, answer, SHORT_WAIT_S)

    # Guards against an outage in which one request makes many calls.
    def test_tries_of_one_read_are_bounded(self) -> None:
        store = VirtualStore(STARTED, always(HANGS))
        VirtualInstance(store, lost_after_s=NEVER_LOST_S).status(WAIT_S)
        self.assertLess(len(store.sent_s), 9)

    # Guards against an outage in which each request multiplies its calls.
    def test_extra_reads_are_bounded(self) -> None:
        store = VirtualStore(STARTED, always(HANGS))
        instance = VirtualInstance(store)
        for _ in range(300):
            eventlet.spawn_n(instance.status, WAIT_S)
        eventlet.sleep(0.9)
        self.assertLess(len(store.sent_s), 300 + 40)


class TestFurtherPeers(VirtualTimeCase):
    """Peers after the first one are tried while the direct path fails."""

    # Guards against a first peer that keeps others from being asked.
    def test_second_peer_answers(self) -> None:
        for fault in (HANGS, CUT_OFF):
            for wait_s in (SHORT_WAIT_S, WAIT_S):
                peers = VirtualPeers(
                    p1=VirtualStore(STARTED, always(fault)),
                    p2=VirtualStore(STARTED),
                )
                instance = VirtualInstance(
                    VirtualStore(STARTED, always(REFUSES)), peers
                )
                self.assert_state(
                    JobState.RUNNING, instance.status(wait_s), wait_s
                )

    # Guards against a cancel that fails because its first peer does.
    def test_second_peer_writes(self) -> None:
        for fault in (HANGS, CUT_OFF):
            for wait_s in (SHORT_WAIT_S, WAIT_S):
                peers = VirtualPeers(
                    p1=VirtualStore(STARTED, always(fault)),
                    p2=VirtualStore(STARTED),
                )
                instance = VirtualInstance(
                    VirtualStore(STARTED, always(REFUSES)), peers
                )
                outcome, took_s = instance.cancel(wait_s)
                self.assertEqual(Done(), outcome)
                self.assertLess(took_s, wait_s)

    # Guards against a silent peer that is asked again before the others.
    def test_each_peer_is_asked_before_any_again(self) -> None:
        for seed in range(10):
            random.seed(seed)
            peers = VirtualPeers(
                **{f'p{number}': VirtualStore(STARTED) for number in range(3)}
            )
            peers.silent.update(peers.addresses())
            instance = VirtualInstance(
                VirtualStore(STARTED, always(REFUSES)), peers, NEVER_LOST_S
            )
            instance.status(WAIT_S)
            self.assertEqual(3, len(set(peers.asked[:3])))

    # Guards against all instances that ask the same one.
    def test_calls_are_spread_over_several_peers(self) -> None:
        members = [f'p{number}' for number in range(8)]
        ring = PeerRing(members)
        firsts = []
        for member in members:
            known = KnownPeers(member)
            known.learn(ring.after(member, 3), boot_now())
            known.follow('scheduler', boot_now())
            peers = VirtualPeers(
                **{
                    address: VirtualStore(STARTED)
                    for address in known.addresses(boot_now())
                }
            )
            instance = VirtualInstance(
                VirtualStore(STARTED, always(REFUSES)), peers
            )
            for _ in range(5):
                instance.status(WAIT_S)
            self.assertEqual(peers.asked[:1], list(set(peers.asked)))
            firsts.extend(peers.asked[:1])
        self.assertEqual(members, sorted(firsts))

    # Guards against a silent peer that each request waits for again.
    def test_peer_that_failed_is_asked_last(self) -> None:
        peers = VirtualPeers(p1=VirtualStore(STARTED), p2=VirtualStore(STARTED))
        peers.silent.add('p1')
        instance = VirtualInstance(
            VirtualStore(STARTED, always(REFUSES)), peers
        )
        instance.status(WAIT_S)
        for _ in range(20):
            instance.status(WAIT_S)
        self.assertLess(peers.asked.count('p1'), 6)


class TestRowsOfAJob(VirtualTimeCase):
    """A state is told from whichever rows a job has."""

    # Guards against a started job whose job row is deleted or late.
    def test_progress_row_alone(self) -> None:
        instance = VirtualInstance(VirtualStore({PROGRESS_KEY: RUNNING}))
        self.assert_state(JobState.RUNNING, instance.status(WAIT_S), WAIT_S)

    # Guards against an accepted job that has not started and is not found.
    def test_job_row_alone(self) -> None:
        instance = VirtualInstance(VirtualStore({JOB_KEY: QUEUED}))
        self.assert_state(JobState.QUEUED, instance.status(WAIT_S), WAIT_S)

    # Guards against an accepted retry that is hidden by its refusal.
    def test_refusal_that_was_replaced(self) -> None:
        store = VirtualStore({JOB_KEY: {**QUEUED, 'is_refused': True}})
        instance = VirtualInstance(store)
        outcome, _ = instance.status(WAIT_S)
        self.assertIsInstance(outcome.error, NoSuchJob)
        accepted = instance.request_handler.submit(
            instance.queue, 'clerks', JOB, SUBMISSION, WAIT_S
        )
        self.assertEqual(Done(), accepted)
        self.assert_state(JobState.QUEUED, instance.status(WAIT_S), WAIT_S)


class TestServingPeers(VirtualTimeCase):
    """An instance that makes a call for a peer keeps to the peer's time."""

    def serve(self, call: RelayedCall) -> float:
        instance = VirtualInstance(VirtualStore(STARTED, always(HANGS)))
        instance.health.write_timeout.answered(9)
        began_s = boot_now()
        self.assertIsInstance(instance.relay.serve(call), StoreFailed)
        return boot_now() - began_s

    # Guards against a call that goes on when the calling instance has given up.
    def test_call_ends_within_the_time_of_the_calling_instance(self) -> None:
        for transaction in (None, CANCEL):
            call = RelayedCall(transaction, JOB_KEY, 0.4)
            self.assertLess(self.serve(call), 0.4)

    # Guards against an instance of another version that sends no time.
    def test_unknown_time(self) -> None:
        for transaction in (None, CANCEL):
            took_s = self.serve(RelayedCall(transaction, JOB_KEY))
            self.assertGreater(took_s, 0.4)
            self.assertLess(took_s, 0.7)

    # Guards against an instance that retries reads while the store is silent.
    def test_failed_read_counts_as_a_failure_of_the_store(self) -> None:
        instance = VirtualInstance(VirtualStore(STARTED, always(HANGS)))
        instance.relay.serve(RelayedCall(key=JOB_KEY))
        self.assertTrue(instance.health.is_failing())

    # Guards against a call that leaves its peer without the time.
    def test_call_carries_the_time_that_is_left(self) -> None:
        peers = VirtualPeers(p1=VirtualStore(STARTED))
        instance = VirtualInstance(
            VirtualStore(STARTED, always(REFUSES)), peers
        )
        instance.status(0.5)
        instance.cancel(0.5)
        for call in peers.calls:
            self.assertGreater(call.timeout_s, 0)
            self.assertLess(call.timeout_s, 0.36)


class TestUnreadableRows(VirtualTimeCase):
    """Other programs write to the store too, and versions differ."""

    # A value that is no JSON is None.
    unreadable = (None, 7, 'x', {}, [], [[], 'asleep'], {'state': 3})

    def status(self, values_by_key: dict[str, Any]) -> tuple[Any, float]:
        self.instance = VirtualInstance(VirtualStore(values_by_key))
        return self.instance.status(WAIT_S)

    # Guards against an error instead of an answer, at each instance.
    def test_unreadable_job(self) -> None:
        for value in self.unreadable:
            answer = self.status({JOB_KEY: value})
            self.assert_unavailable(answer, WAIT_S)
            kind, fields = self.instance.lines[-1]
            self.assertEqual('state unanswered', kind)
            self.assertIn(JOB_KEY, fields['why'])

    # Guards against a job whose state is hidden by its progress.
    def test_unreadable_progress(self) -> None:
        for value in self.unreadable:
            answer = self.status({PROGRESS_KEY: value, JOB_KEY: QUEUED})
            self.assert_state(JobState.RUNNING, answer, WAIT_S)
            kind, fields = self.instance.lines[-1]
            self.assertEqual('row unreadable', kind)
            self.assertEqual(PROGRESS_KEY, fields['key'])

    # Guards against a final job that is shown as running for good.
    def test_unreadable_progress_of_a_final_job(self) -> None:
        final = {**QUEUED, 'state': 'completed'}
        answer = self.status({PROGRESS_KEY: 7, JOB_KEY: final})
        self.assert_state(JobState.COMPLETED, answer, WAIT_S)

    # Guards against an accepted job that is reported as unknown.
    def test_unreadable_progress_alone(self) -> None:
        self.assert_unavailable(self.status({PROGRESS_KEY: 7}), WAIT_S)

    # Guards against an error instead of an answer to a cancel.
    def test_cancel_of_an_unreadable_job(self) -> None:
        for value in self.unreadable:
            instance = VirtualInstance(VirtualStore({JOB_KEY: value}))
            self.assert_unavailable(instance.cancel(WAIT_S), WAIT_S)

    # Guards against an acceptance of a job that no row describes.
    def test_submission_with_the_id_of_an_unreadable_row(self) -> None:
        for value in self.unreadable:
            instance = VirtualInstance(VirtualStore({JOB_KEY: value}))
            outcome = instance.request_handler.submit(
                instance.queue, 'clerks', JOB, SUBMISSION, WAIT_S
            )
            self.assertIsInstance(outcome, MayHaveRun)

    # Guards against a progress row that is deleted and holds nothing.
    def test_deleted_progress(self) -> None:
        store = VirtualStore({JOB_KEY: QUEUED})
        store.rows_by_key[PROGRESS_KEY] = Row(PROGRESS_KEY)
        answer = VirtualInstance(store).status(WAIT_S)
        self.assert_state(JobState.QUEUED, answer, WAIT_S)


class TestShortLimits(VirtualTimeCase):
    """A call that was given little time says nothing about the store."""

    # Guards against an instance that relays because its callers hurry.
    def test_slow_answer_to_a_caller_with_a_short_wait(self) -> None:
        store = VirtualStore(STARTED, answer_s=0.2)
        instance = VirtualInstance(store)
        self.assert_unavailable(instance.status(0.3), 0.3)
        self.assertFalse(instance.health.is_failing())

    # Guards against a peer that refuses calls because the calling instance has little time.
    def test_slow_answer_to_a_peer_with_a_short_limit(self) -> None:
        instance = VirtualInstance(VirtualStore(STARTED, answer_s=0.2))
        instance.relay.serve(RelayedCall(key=JOB_KEY, timeout_s=0.15))
        self.assertFalse(instance.health.is_failing())

    # Guards against a slow write that makes an instance relay its calls.
    def test_slow_answer_to_a_write_with_a_short_limit(self) -> None:
        instance = VirtualInstance(VirtualStore(STARTED, answer_s=0.2))
        instance.health.write_timeout.answered(0.2)
        self.assertIsNone(instance.relay.transact(CANCEL, 0.15).applied)
        self.assertFalse(instance.health.is_failing())

    # Guards against a refusal that is overlooked because of a short limit.
    def test_refusal_to_a_caller_with_a_short_wait(self) -> None:
        instance = VirtualInstance(VirtualStore(STARTED, always(REFUSES)))
        instance.status(0.3)
        self.assertTrue(instance.health.is_failing())


class TestBusyStore(VirtualTimeCase):
    """The store refuses calls beyond its rates with status 429."""

    # Guards against refusals for the rate that send all instances to a peer.
    def test_refused_read_is_repeated_directly(self) -> None:
        peers = VirtualPeers(p1=VirtualStore(STARTED))
        store = VirtualStore(STARTED, first(2, BUSY))
        instance = VirtualInstance(store, peers)
        answer = instance.status(SHORT_WAIT_S)
        self.assert_state(JobState.RUNNING, answer, SHORT_WAIT_S)
        self.assertEqual([], peers.asked)
        self.assertFalse(instance.health.is_failing())

    # Guards against a refused write that is sent through a peer at once.
    def test_refused_write_is_repeated_directly(self) -> None:
        peers = VirtualPeers(p1=VirtualStore(STARTED))
        store = VirtualStore(STARTED, on_calls({2, 3}, BUSY))
        instance = VirtualInstance(store, peers)
        outcome, took_s = instance.cancel(SHORT_WAIT_S)
        self.assertEqual(Done(), outcome)
        self.assertLess(took_s, SHORT_WAIT_S)
        self.assertEqual([], peers.asked)
        self.assertFalse(instance.health.is_failing())

    # Guards against a store that counts as lost because it is busy.
    def test_busy_store_is_not_lost(self) -> None:
        instance = VirtualInstance(VirtualStore(STARTED, always(BUSY)))
        self.assert_unavailable(instance.status(WAIT_S), WAIT_S)
        self.assertFalse(instance.health.is_lost())
        outcome, took_s = instance.cancel(WAIT_S)
        self.assertIsInstance(outcome, NotRun)
        self.assertLess(took_s, WAIT_S)
        self.assertFalse(instance.health.is_lost())

    # Guards against an instance that the platform refuses with status 429.
    def test_peer_answers_while_this_instance_is_refused(self) -> None:
        for seed in range(20):
            random.seed(seed)
            for wait_s in (SHORT_WAIT_S, WAIT_S):
                instance = VirtualInstance(
                    VirtualStore(STARTED, always(BUSY)),
                    VirtualPeers(p1=VirtualStore(STARTED)),
                )
                answer = instance.status(wait_s)
                self.assert_state(JobState.RUNNING, answer, wait_s)

    # Guards against a second read that waits as long for a peer as the first.
    def test_peer_answers_both_reads(self) -> None:
        for seed in range(20):
            random.seed(seed)
            rows = {JOB_KEY: QUEUED}
            instance = VirtualInstance(
                VirtualStore(rows, always(BUSY)),
                VirtualPeers(p1=VirtualStore(rows)),
            )
            answer = instance.status(SHORT_WAIT_S)
            self.assert_state(JobState.QUEUED, answer, SHORT_WAIT_S)

    # Guards against direct calls between those to the peers.
    def test_further_peer_answers_while_this_instance_is_refused(self) -> None:
        for seed in range(20):
            random.seed(seed)
            peers = VirtualPeers(
                p1=VirtualStore(STARTED, always(BUSY)),
                p2=VirtualStore(STARTED, always(BUSY)),
                p3=VirtualStore(STARTED),
            )
            store = VirtualStore(STARTED, always(BUSY))
            answer = VirtualInstance(store, peers).status(SHORT_WAIT_S)
            self.assert_state(JobState.RUNNING, answer, SHORT_WAIT_S)

    # Guards against an instance whose writes alone are refused like that.
    def test_peer_writes_while_this_instance_is_refused(self) -> None:
        for seed in range(20):
            random.seed(seed)
            for wait_s in (SHORT_WAIT_S, WAIT_S):
                instance = VirtualInstance(
                    VirtualStore(STARTED, after(1, BUSY)),
                    VirtualPeers(p1=VirtualStore(STARTED)),
                )
                outcome, took_s = instance.cancel(wait_s)
                self.assertEqual(Done(), outcome)
                self.assertLess(took_s, wait_s)

    # Guards against calls that are refused for each request of such an instance.
    def test_refused_instance_asks_its_peers_first(self) -> None:
        store = VirtualStore(STARTED, always(BUSY))
        peers = VirtualPeers(p1=VirtualStore(STARTED))
        instance = VirtualInstance(store, peers)
        for _ in range(8):
            instance.status(WAIT_S)
        self.assertFalse(instance.health.is_failing())
        refused_count = len(store.sent_s)
        for _ in range(20):
            instance.status(WAIT_S)
        self.assertEqual(refused_count, len(store.sent_s))
        answer = instance.relay.serve(RelayedCall(key=JOB_KEY))
        self.assertEqual(CUT_OFF, answer.reason)

    # Guards against states without an answer when all are asked for at once.
    def test_many_states_at_once(self) -> None:
        store = RatedStore(STARTED, 400)
        peers = VirtualPeers(p1=store, p2=store)
        instances = [VirtualInstance(store, peers) for _ in range(4)]
        pool = eventlet.GreenPool(2000)
        answers = list(
            pool.imap(
                lambda number: instances[number % 4].status(WAIT_S),
                range(1000),
            )
        )
        for answer in answers:
            self.assert_state(JobState.RUNNING, answer, WAIT_S)
        self.assertLess(len(peers.asked), 400)
        self.assertLess(len(store.sent_s), 6000)

    # Guards against refused calls that are all repeated at the same moment.
    def test_retries_are_spread(self) -> None:
        store = VirtualStore(STARTED, always(BUSY))
        for _ in range(50):
            eventlet.spawn_n(VirtualInstance(store).status, WAIT_S)
        eventlet.sleep(1)
        moments = {round(sent_s, 3) for sent_s in store.sent_s}
        self.assertGreater(len(moments), 100)


class TestLostStore(VirtualTimeCase):
    """An instance has had no answer of the store for 1.3 s."""

    def lost(
        self, store: VirtualStore, peers: VirtualPeers | None = None
    ) -> VirtualInstance:
        instance = VirtualInstance(store, peers)
        instance.health.record_failure(boot_now() - 2)
        self.assertTrue(instance.health.is_lost())
        return instance

    # Guards against a state that fails although a further peer answers.
    def test_further_peer_answers(self) -> None:
        for fault in (HANGS, REFUSES):
            for wait_s in (SHORT_WAIT_S, WAIT_S):
                for seed in range(10):
                    random.seed(seed)
                    peers = VirtualPeers(
                        p1=VirtualStore(STARTED, always(fault)),
                        p2=VirtualStore(STARTED, always(fault)),
                        p3=VirtualStore(STARTED),
                    )
                    instance = self.lost(
                        VirtualStore(STARTED, always(fault)), peers
                    )
                    self.assert_state(
                        JobState.RUNNING, instance.status(wait_s), wait_s
                    )

    # Guards against a cancel that fails although a further peer answers.
    def test_further_peer_writes(self) -> None:
        for fault in (HANGS, REFUSES):
            for seed in range(10):
                random.seed(seed)
                peers = VirtualPeers(
                    p1=VirtualStore(STARTED, always(fault)),
                    p2=VirtualStore(STARTED, always(fault)),
                    p3=VirtualStore(STARTED),
                )
                instance = self.lost(
                    VirtualStore(STARTED, always(fault)), peers
                )
                outcome, took_s = instance.cancel(WAIT_S)
                self.assertEqual(Done(), outcome)
                self.assertLess(took_s, WAIT_S)

    # Guards against a caller that is held without any path to the store.
    def test_no_path(self) -> None:
        for fault in (HANGS, REFUSES):
            instance = self.lost(VirtualStore(STARTED, always(fault)))
            self.assert_unavailable(instance.status(WAIT_S), 0.3)
            self.assert_unavailable(instance.cancel(WAIT_S), 0.3)

    # Guards against a caller that is held while all peers refuse.
    def test_peers_without_the_store(self) -> None:
        peers = VirtualPeers(
            p1=VirtualStore(STARTED, always(REFUSES)),
            p2=VirtualStore(STARTED, always(REFUSES)),
        )
        instance = self.lost(VirtualStore(STARTED, always(REFUSES)), peers)
        self.assert_unavailable(instance.status(WAIT_S), 0.3)
        self.assert_unavailable(instance.cancel(WAIT_S), 0.3)

    # Guards against an instance that stays lost when the store is back.
    def test_store_is_back(self) -> None:
        instance = self.lost(VirtualStore(STARTED))
        self.assert_state(JobState.RUNNING, instance.status(WAIT_S), 0.3)
        self.assertFalse(instance.health.is_lost())

    # Guards against extra calls to a store that is known to be silent.
    def test_silent_store_is_tried_once(self) -> None:
        store = VirtualStore(STARTED, always(HANGS))
        self.lost(store).status(WAIT_S)
        self.assertEqual(1, len(store.sent_s))

    # Guards against an outage in which each request asks all instances.
    def test_outage_with_many_peers(self) -> None:
        peers = VirtualPeers(
            **{
                f'p{number}': VirtualStore(STARTED, always(REFUSES))
                for number in range(30)
            }
        )
        instance = self.lost(VirtualStore(STARTED, always(REFUSES)), peers)
        self.assert_unavailable(instance.status(WAIT_S), WAIT_S)
        self.assertLess(len(peers.asked), 10)
        peers.asked.clear()
        instance.relay.write(CANCEL, boot_now() + WAIT_S)
        self.assertLess(len(peers.asked), 10)
