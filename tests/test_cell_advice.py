"""Load pattern: advice calls of very different cost, made by few instances."""

from testtools import TestCase

from apricotlead.coordination.cell.advice_cache import AdviceCache, AdviceCall
from apricotlead.coordination.cell.askers import AskerSelector
from apricotlead.coordination.cell.settings import AdviceTimes
from apricotlead.protocol.cell_config import AdvicePolicy
from apricotlead.protocol.cell_workers import AdviceAnswer
from tests.cell_rig import CellRig, ModelWorker, stored_job

CHEAP = AdvicePolicy(10, 0.1, 2000)
COSTLY = AdvicePolicy(800, 7, 2000)
ASKERS = ['peer1', 'peer2', 'peer3']


class TestAdvice(TestCase):
    """Lookups do not wait behind calls for large gangs."""

    def setUp(self) -> None:
        super().setUp()
        self.cache = AdviceCache(AdviceTimes())

    def ask(
        self,
        step: str,
        policy: AdvicePolicy,
        now: float = 0,
    ) -> AdviceCall | None:
        names = ['w1', 'w2']
        calls = self.cache.plan_calls(step, names, policy, ASKERS, now)
        return calls[0] if calls else None

    def test_costly_calls_leave_an_asker_free(self) -> None:
        costly = [self.ask(f'gang{number}', COSTLY) for number in range(4)]
        busy = {call.asker for call in costly if call is not None}
        self.assertEqual({'peer2', 'peer3'}, busy)
        self.assertEqual('peer1', self.ask('lookup', CHEAP).asker)

    def test_costly_calls_do_not_queue_up(self) -> None:
        for number in range(2):
            self.assertIsNotNone(self.ask(f'gang{number}', COSTLY))
        self.assertIsNone(self.ask('gang3', COSTLY))

    def test_idle_asker_that_asked_last_comes_first(self) -> None:
        """Its connections are open; the others would have to reconnect."""
        first = self.ask('lookup1', CHEAP)
        self.assertNotEqual(first.asker, self.ask('lookup2', CHEAP).asker)
        self.ask('lookup3', CHEAP)
        last = self.ask('lookup4', CHEAP, 1)
        self.assertEqual(last.asker, self.ask('lookup5', CHEAP, 2).asker)

    def test_asker_without_an_answer_is_backed_off(self) -> None:
        """Calls went to it again at once, and failed just as quickly."""
        call = self.ask('lookup1', CHEAP)
        self.cache.answered(call, None, 0, 0.01)
        askers = {
            self.ask(f'lookup{number}', CHEAP, number / 9).asker
            for number in range(2, 9)
        }
        self.assertNotIn(call.asker, askers)

    def test_ineligible_worker_is_not_asked_about_again(self) -> None:
        call = self.ask('step', CHEAP)
        self.cache.answered(call, AdviceAnswer({'w1': 'ticket'}, 2000), 0, 0.1)
        self.assertEqual('ticket', self.cache.ticket('step', 'w1', 1))
        self.assertIsNone(self.cache.ticket('step', 'w1', 2.05))
        again = self.ask('step', CHEAP, 3)
        self.assertEqual(('w1',), again.worker_ids)

    def test_call_without_an_answer_is_repeated_after_a_pause(self) -> None:
        call = self.ask('step', CHEAP)
        self.cache.answered(call, None, 0, 0.1)
        self.assertIsNone(self.ask('step', CHEAP, 0.2))
        self.assertIsNotNone(self.ask('step', CHEAP, 0.5))


class TestUnreachableAskers(TestCase):
    """Pattern: an instance is cut off or stopped during an advice call.

    Lookups waited 1.3 s for an answer that takes 0.02 s (inc-5af3).
    """

    def setUp(self) -> None:
        super().setUp()
        self.cache = AdviceCache(AdviceTimes())
        self.now = 0.0

    def ask(self, policy: AdvicePolicy = CHEAP) -> AdviceCall:
        self.now += 0.01
        step = f'step{self.now}'
        names = ['w1']
        calls = self.cache.plan_calls(step, names, policy, ASKERS, self.now)
        return calls[0]

    def lose_answer(self, call: AdviceCall) -> None:
        """Let a call time out without an answer."""
        asked_s = self.now
        self.now += call.timeout_s
        self.cache.answered(call, None, asked_s, self.now)

    def test_lost_answer_of_a_cheap_call_is_noticed_soon(self) -> None:
        self.assertLess(self.ask().timeout_s, 0.2)

    def test_timeout_covers_the_calls_before(self) -> None:
        first = self.ask(COSTLY)
        self.assertGreater(first.timeout_s, 0.8)
        behind = [self.ask() for _ in range(3)]
        later = max(behind, key=lambda call: call.due_s)
        self.assertGreater(later.timeout_s, later.due_s + 0.1)

    def test_late_answers_raise_the_timeout(self) -> None:
        call = self.ask()
        answer = AdviceAnswer({'w1': 'ticket'}, 2000)
        self.cache.answered(call, answer, self.now, self.now + 0.2)
        self.assertGreater(self.ask().timeout_s, 0.5)
        for _ in range(9):
            call = self.ask()
            self.cache.answered(call, answer, self.now, self.now + 0.01)
        self.assertLess(self.ask().timeout_s, 0.2)

    def test_backoff_grows_with_each_lost_answer(self) -> None:
        askers = AskerSelector(AdviceTimes())
        missed_s = 0.0
        pauses: list[float] = []
        for _ in range(4):
            askers.missed('peer1', missed_s)
            tried_s = missed_s
            # Keep the other asker busy, so that the first is chosen when its
            # backoff ends.
            while askers.choose(ASKERS[:2], 0.01, tried_s) == 'peer2':
                askers.add('peer2', 0.4, tried_s)
                tried_s += 0.1
            pauses.append(tried_s - missed_s)
            missed_s = tried_s
        for pause_s, expected_s in zip(pauses, (1, 2, 4, 4), strict=True):
            self.assertAlmostEqual(expected_s, pause_s, delta=0.2)

    def test_asker_is_probed_with_one_call_after_its_backoff(self) -> None:
        lost = self.ask()
        self.lose_answer(lost)
        self.now += 1.1
        askers = [self.ask().asker for _ in range(6)]
        self.assertLessEqual(askers.count(lost.asker), 1)


class TestStartOfTerm(TestCase):
    """Pattern: a handover, after which workers report their runs in turn."""

    def test_workers_without_a_report_are_asked_about(self) -> None:
        """Calls named only the five of 24 workers that had reported so far.

        A second call had to name the other workers.
        """
        workers = [ModelWorker(f'w{number}') for number in range(8)]
        rig = CellRig(*workers)
        rig.begin_term()
        for number in range(3):
            rig.hold(f'w{number}')
        rig.journal()
        policy = AdvicePolicy(10, 1, 2000)
        rig.submit('00000000000000aa', stored_job(advice=policy))
        calls = rig.scheduler.plan(rig.now, ASKERS)
        self.assertEqual(8, len(calls[0].worker_ids))
        self.assertEqual({'w0', 'w1', 'w2'}, set(calls[0].worker_ids[:3]))

    def test_draining_worker_is_not_asked_about(self) -> None:
        rig = CellRig(ModelWorker('w0'), ModelWorker('w1', draining=True))
        policy = AdvicePolicy(10, 1, 2000)
        rig.submit('00000000000000aa', stored_job(advice=policy))
        calls = rig.scheduler.plan(rig.now, ASKERS)
        self.assertEqual(('w0',), calls[0].worker_ids)


class TestWideSteps(TestCase):
    """Pattern: gangs in a large cell with many instances.

    An answer about 70 workers took 0.9 s, so its tickets had expired by the
    time the answer about the next 70 workers arrived.
    """

    def setUp(self) -> None:
        super().setUp()
        self.cache = AdviceCache(AdviceTimes())
        self.askers = [f'peer{number}' for number in range(24)]
        self.workers = [f'w{number}' for number in range(70)]

    def calls(self, policy: AdvicePolicy, now: float = 0) -> list[AdviceCall]:
        return self.cache.plan_calls(
            'step',
            self.workers,
            policy,
            self.askers,
            now,
        )

    def test_instances_share_the_workers(self) -> None:
        calls = self.calls(AdvicePolicy(430, 6.2, 1500))
        self.assertGreater(len(calls), 1)
        self.assertEqual(len(calls), len({call.asker for call in calls}))
        asked = [name for call in calls for name in call.worker_ids]
        self.assertEqual(self.workers, asked)
        self.assertLess(max(call.due_s for call in calls), 0.7)

    def test_cheap_calls_are_not_divided(self) -> None:
        self.assertEqual(1, len(self.calls(AdvicePolicy(9, 0.1, 1500))))

    def test_busy_instances_are_not_asked(self) -> None:
        self.askers = self.askers[:1]
        self.assertEqual(1, len(self.calls(AdvicePolicy(430, 6.2, 1500))))

    def test_no_call_follows_before_all_are_answered(self) -> None:
        policy = AdvicePolicy(430, 6.2, 1500)
        calls = self.calls(policy)
        answer = AdviceAnswer({}, 1500)
        for call in calls:
            self.assertEqual([], self.calls(policy, 0.5))
            self.cache.answered(call, answer, 0, 0.5)
        self.assertTrue(self.cache.may_ask('step', 0.5))

    def test_only_the_lost_call_is_repeated(self) -> None:
        policy = AdvicePolicy(430, 6.2, 1500)
        lost, *others = self.calls(policy)
        for call in others:
            self.cache.answered(call, AdviceAnswer({}, 1500), 0, 0.6)
        self.cache.answered(lost, None, 0, 0.9)
        asked: set[str] = set()
        for again in self.calls(policy, 1):
            asked.update(again.worker_ids)
        self.assertEqual(set(lost.worker_ids), asked)


class TestLargeCells(TestCase):
    """A call for a step of a few tasks does not name every worker."""

    def test_likely_workers_are_asked_about(self) -> None:
        workers = [ModelWorker(f'w{number}') for number in range(100)]
        rig = CellRig(*workers)
        policy = AdvicePolicy(10, 1, 2000)
        rig.submit('00000000000000aa', stored_job(advice=policy))
        calls = rig.scheduler.plan(rig.now, ASKERS)
        self.assertEqual(32, len(calls[0].worker_ids))


class TestLostAskers(TestCase):
    """Guards against costly calls that all go to the same lost instances.

    Other instances were idle meanwhile.
    """

    def test_costly_calls_use_reachable_askers(self) -> None:
        cache = AdviceCache(AdviceTimes())
        askers = [f'peer{number}' for number in range(6)]
        reached = {'peer0', 'peer1'}
        now = 0.0
        answered = False
        for number in range(20):
            now += 0.3
            calls = cache.plan_calls(
                f'step{number}',
                ['w1'],
                COSTLY,
                askers,
                now,
            )
            for call in calls:
                if call.asker in reached:
                    answered = True
                cache.answered(call, None, now, now + call.timeout_s)
        self.assertTrue(answered)
