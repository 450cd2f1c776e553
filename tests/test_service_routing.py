"""Requests go to near, healthy executors that have capacity."""

from apricotlead.protocol.errors import NotFound, Overloaded
from apricotlead.protocol.executors import ExecutorAnswered, ExecutorRefused
from tests.test_lookups import (
    SERVICE,
    SILENT,
    UNREACHABLE,
    LookupCase,
    executor,
)

NEAR = ('near-1', 'near-2')


class TestServiceRouter(LookupCase):
    """Guards against requests to leaving, failing or full executors."""

    executors = (
        *(executor(name) for name in NEAR),
        executor('far-1', 'almaty-b'),
        executor('far-2', 'almaty-b'),
        executor('leaving', leaving=True),
    )

    def chosen(self, count=40, now=0):
        """Return the distinct executors of several choices."""
        return {
            self.router.choose(SERVICE, now).instance_id for _ in range(count)
        }

    def end(self, executor_id, result, times=1):
        """Complete requests to an executor with a result."""
        for _ in range(times):
            self.router.record_start(executor_id)
            self.router.record_result(executor_id, result, 0)

    def test_near_data_centre_first(self):
        """Executors in the other data centre add several ms each way."""
        self.assertEqual(set(NEAR), self.chosen())

    def test_far_executors_if_the_near_ones_are_full(self):
        """Requests are not refused while another data centre has capacity."""
        for _ in range(10):
            for name in NEAR:
                self.router.record_start(name)
        self.assertEqual({'far-1', 'far-2'}, self.chosen())

    def test_all_full_is_a_refusal(self):
        """Requests are refused, not queued without bound."""
        for _ in range(10):
            for name in (*NEAR, 'far-1', 'far-2'):
                self.router.record_start(name)
        self.assertRaises(Overloaded, self.router.choose, SERVICE, 0)

    def test_unknown_service(self):
        """A wrong name is not reported as a transient overload."""
        self.assertRaises(NotFound, self.router.choose, 'absent', 0)

    def test_leaving_by_its_own_response_before_the_list_shows_it(self):
        """The list lags; a leaving executor gets no new requests (I8)."""
        for result in (
            ExecutorAnswered(200, b'', leaving=True),
            ExecutorRefused(leaving=True),
        ):
            name = NEAR[isinstance(result, ExecutorRefused)]
            self.end(name, result)
            self.assertNotIn(name, self.chosen(now=60))

    def test_failing_executors_are_ejected_and_tried_again(self):
        """An executor that fails every request causes few failures."""
        for result in (SILENT, UNREACHABLE, ExecutorAnswered(500, b'')):
            self.end('near-1', ExecutorAnswered(200, b''))
            self.end('near-1', result, times=3)
            self.assertEqual({'near-2'}, self.chosen(now=0.5))
            self.assertEqual(set(NEAR), self.chosen(now=1.5))

    def test_ejection_stops_when_most_fail(self):
        """A network fault must not concentrate all load on one executor."""
        for name in (*NEAR, 'far-1'):
            self.end(name, SILENT, times=3)
        self.assertEqual(set(NEAR), self.chosen())

    def test_own_share_of_connections(self):
        """All instances together stay below an executor's connection limit."""
        self.view.peers_by_id = {str(number): None for number in range(31)}
        for name in NEAR:
            self.router.record_start(name)
            self.router.record_start(name)
        self.assertEqual({'far-1', 'far-2'}, self.chosen())
