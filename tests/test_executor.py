"""Slots, queue and deadlines of the executor stand-in."""

from testtools import TestCase

from apricotlead.transport.http_pool import HttpCall
from apricotlead_standins.executor import Executor, ExecutorSettings
from apricotlead_standins.faults import FaultInjector, Faults
from apricotlead_standins.http_messages import Parked, Request
from tests.standin_harness import InMemory, OverHttp

SETTINGS = ExecutorSettings('e', 'tally', 2, 1, service_time_s=1)


def make_executor(_):
    """Return an idle executor."""
    return Executor(ExecutorSettings('e', 'tally'))


class TestExecutor(TestCase):
    """Guards against a stand-in more lenient than a real executor."""

    def setUp(self):
        """Create an idle executor with two slots and a queue of one."""
        super().setUp()
        self.executor = Executor(SETTINGS)
        self.injector = FaultInjector(self.executor, None)

    def send(self, request_id, now, deadline_ms='60000'):
        """Send a request; return the response, or a parked request."""
        headers = {
            'x-apricotlead-request': request_id,
            'x-apricotlead-deadline-ms': deadline_ms,
        }
        request = Request('POST', '/v1/run', b'body', headers)
        return self.injector.handle(request, now)

    def finish(self, answer):
        """Resume until there is a response; return it and its time."""
        due_s = 0
        for _ in range(100):
            if not isinstance(answer, Parked):
                break
            due_s = max(due_s, answer.due_s)
            answer = answer.resume(due_s)
        return answer, round(due_s, 3)

    def test_request_expired_by_the_executor_clock(self):
        """Guards against running a request that was delayed in transit (I4)."""
        table = (
            ('boot-1', '5000', 200),
            ('boot-1', '1000', 503),
            ('boot-0', '5000', 503),
        )
        for boot_id, not_after_ms, expected in table:
            headers = {
                'x-apricotlead-boot': boot_id,
                'x-apricotlead-not-after-ms': not_after_ms,
            }
            request = Request('POST', '/v1/run', b'', headers)
            answer, _ = self.finish(self.injector.handle(request, 1))
            self.assertEqual(expected, answer.status)

    def test_slots_queue_and_refusal(self):
        """Guards against more runs than slots, and against wrong refusals."""
        sent = [self.send(name, 0) for name in 'abc']
        refused = self.send('d', 0.4)
        self.assertEqual(503, refused.status)
        self.assertEqual('not-run', refused.headers['X-Apricotlead-Outcome'])
        self.assertEqual('3', refused.headers['X-Apricotlead-Outstanding'])
        self.assertEqual('0.600', refused.headers['Retry-After'])
        times = [self.finish(answer)[1] for answer in sent]
        self.assertEqual([1, 1, 2], times)
        self.assertEqual({'a', 'b', 'c'}, set(self.counts()))

    def counts(self):
        """Return the number of runs by request id."""
        return self.executor.run_counts_by_request

    def test_deadline_stops_work_and_frees_the_slot(self):
        """Guards against work that continues after its deadline."""
        stopped = self.send('a', 0, '500')
        self.send('b', 0)
        queued = self.send('c', 0)
        answer, at_s = self.finish(stopped)
        self.assertEqual((504, 0.5), (answer.status, at_s))
        outcome = answer.headers['X-Apricotlead-Outcome']
        self.assertEqual('may-have-run', outcome)
        self.assertEqual(1.5, self.finish(queued)[1])

    def test_request_expired_in_the_queue_is_not_run(self):
        """Guards against ``not-run`` for work that ran, or vice versa."""
        for name in 'ab':
            self.send(name, 0)
        answer, _ = self.finish(self.send('c', 0, '500'))
        self.assertEqual('not-run', answer.headers['X-Apricotlead-Outcome'])
        self.assertNotIn('c', self.counts())

    def test_leaving_executor_finishes_accepted_requests(self):
        """Guards against a shutdown that aborts requests in progress."""
        running = self.send('a', 0)
        self.injector.handle(Request('POST', '/admin/leave'), 0.1)
        refused = self.send('b', 0.2)
        self.assertEqual('not-run', refused.headers['X-Apricotlead-Outcome'])
        self.assertEqual('yes', refused.headers['X-Apricotlead-Leaving'])
        self.assertEqual(200, self.finish(running)[0].status)

    def test_failing_executor_frees_its_slots(self):
        """Guards against failed requests that keep their slots."""
        self.injector.set_faults(Faults(fails_everything=True), 0)
        statuses = {self.send(str(number), 0).status for number in range(9)}
        self.assertEqual({500}, statuses)

    def test_response_in_memory_and_over_http(self):
        """Guards against a response without its request id or length."""
        for harness_type in (InMemory, OverHttp):
            harness = harness_type(make_executor)
            self.addCleanup(harness.close)
            headers = {'X-Apricotlead-Request': 'r1'}
            answer = harness.pool.call(
                HttpCall('POST', harness.address, '/v1/run', b'x', headers, 5),
            )
            self.assertEqual((200, b'tally:x'), (answer.status, answer.body))
            self.assertEqual('7', answer.headers['x-apricotlead-length'])
            self.assertEqual('r1', answer.headers['x-apricotlead-request'])
