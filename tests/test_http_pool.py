"""Outcomes of HTTP calls, and answers that belong to another request."""

import socket
from itertools import count

import eventlet
from testtools import TestCase

from apricotlead.transport.http_pool import (
    Answered,
    HttpCall,
    HttpPool,
    NeverSent,
    NoAnswer,
)
from tests.restartable_server import RestartableServer

_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n%s'
_TRUNCATED_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha'
_TIMEOUT_S = 5.0


class ScriptedServer:
    """Answers as the path says, with the connection number as the body."""

    def __init__(self):
        """Listen on a free port."""
        self.release = eventlet.Event()
        self.connections = 0
        self.open_connections = 0
        self.waiting = 0
        self.socket = eventlet.listen(('127.0.0.1', 0))
        self.address = '127.0.0.1:{1}'.format(*self.socket.getsockname())
        self.thread = eventlet.spawn(self.accept)

    def accept(self):
        """Serve each connection in a green thread."""
        for number in count(1):
            client, _ = self.socket.accept()
            self.connections = number
            eventlet.spawn(self.serve, client, self.connections)

    def serve(self, client, number):
        """Answer the requests of one connection."""
        self.open_connections += 1
        try:
            self.answer_all(client, number)
        finally:
            self.open_connections -= 1

    def answer_all(self, client, number):
        """Answer requests until the client closes the connection."""
        for line in iter(client.makefile('rb').readline, b''):
            if line.startswith(b'GET /'):
                path = line.split()[1][1:].decode()
                if not getattr(self, path)(client, b'%04d' % number):
                    client.close()
                    return

    def fast(self, client, body):
        """Answer at once."""
        client.sendall(_RESPONSE % body)
        return True

    def late(self, client, body):
        """Answer once released."""
        self.waiting += 1
        self.release.wait()
        return self.fast(client, b'late')

    def duplicated(self, client, body):
        """Answer, then send an unsolicited answer."""
        self.fast(client, body)
        eventlet.sleep(0.02)
        return self.fast(client, b'more')

    def closing(self, client, body):
        """Close without an answer."""
        return False

    def truncated(self, client, body):
        """Close in the middle of the answer."""
        client.sendall(_TRUNCATED_RESPONSE)
        return False

    def slow_header(self, client, body):
        """Send single bytes of a header without ever ending it."""
        for _ in range(1000):
            client.sendall(b'H')
            eventlet.sleep(0.02)
        return False


def unresponsive_host(test):
    """Return an address whose accept queue is full."""
    listener = socket.socket()
    test.addCleanup(listener.close)
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    for _ in range(4):
        waiting = socket.socket()
        test.addCleanup(waiting.close)
        waiting.setblocking(False)
        waiting.connect_ex(listener.getsockname())
    return '127.0.0.1:{1}'.format(*listener.getsockname())


class TestHttpPool(TestCase):
    """Guards against reporting a wrong outcome of a call."""

    def setUp(self):
        """Start a server."""
        super().setUp()
        self.server = ScriptedServer()
        self.addCleanup(self.server.thread.kill)
        self.pool = HttpPool('marka')
        self.addCleanup(self.pool.close)

    def get(self, path, timeout_s=_TIMEOUT_S):
        """Call the server."""
        return self.pool.call(
            HttpCall('GET', self.server.address, path, timeout_s=timeout_s),
        )

    def test_outcomes(self):
        """Guards against reporting an unknown outcome as not sent."""
        cases = (
            ('/fast', _TIMEOUT_S, Answered),
            ('/late', 0.1, NoAnswer),
            ('/closing', _TIMEOUT_S, NoAnswer),
            ('/truncated', _TIMEOUT_S, NoAnswer),
            ('/slow_header', 0.2, NoAnswer),
        )
        for path, timeout_s, kind in cases:
            with eventlet.Timeout(2 * _TIMEOUT_S):
                answer = self.get(path, timeout_s)
            self.assertEqual((path, kind), (path, type(answer)))

    def test_request_that_is_never_sent(self):
        """Guards against waiting for work that no server received."""
        addresses = (
            '127.0.0.1:1',
            'not an address:1',
            'w7',
            unresponsive_host(self),
        )
        for address in addresses:
            answer = self.pool.call(HttpCall('GET', address, '/', timeout_s=1))
            self.assertEqual((address, NeverSent), (address, type(answer)))

    def test_header_that_cannot_be_sent(self):
        """Guards against an exception that leaves a caller unanswered."""
        headers = {'X-Apricotlead-Request': 'a\r\nb'}
        call = HttpCall('GET', self.server.address, '/fast', b'', headers)
        self.assertIsInstance(self.pool.call(call), NoAnswer)

    def test_reason_names_the_age_of_the_connection(self):
        """Kept connections may have gone silent; the log did not show it."""
        for kind in ('a new connection', 'a connection kept for 0.0 s'):
            reply = self.get('/late', 0.05)
            self.assertEqual(f'no answer within 0.05 s on {kind}', reply.reason)
            self.get('/fast')

    def test_connection_is_reused_after_a_complete_answer(self):
        """Guards against a new connection for each call."""
        bodies = {self.get('/fast').body for _ in range(5)}
        self.assertEqual({b'0001'}, bodies)

    def test_late_answer_is_not_taken_by_the_next_call(self):
        """Guards against answers shifted by one request after a timeout."""
        self.assertIsInstance(self.get('/late', 0.1), NoAnswer)
        self.server.release.send()
        eventlet.sleep(0.05)
        self.assertEqual(b'0002', self.get('/fast').body)

    def test_unsolicited_answer_is_not_taken_by_the_next_call(self):
        """Guards against an unread answer on an idle connection."""
        self.assertEqual(b'0001', self.get('/duplicated').body)
        eventlet.sleep(0.05)
        self.assertNotEqual(b'more', self.get('/fast').body)

    def test_calls_run_concurrently(self):
        """Guards against one call that blocks all others."""
        slow = [eventlet.spawn(self.get, '/late') for _ in range(20)]
        for _ in range(100):
            if self.server.waiting == len(slow):
                break
            eventlet.sleep(0.02)
        self.assertIsInstance(self.get('/fast'), Answered)
        self.server.release.send()
        self.assertEqual({b'late'}, {each.wait().body for each in slow})

    def test_outer_timeout_is_raised(self):
        """Guards against a pool that swallows the caller's own timeout."""
        outer = eventlet.Timeout(0.1)
        self.addCleanup(outer.cancel)
        raised = self.assertRaises(eventlet.Timeout, self.get, '/late')
        self.assertIs(outer, raised)


class TestConnectionLimit(TestCase):
    """Connections to a worker are limited, and closed after a term.

    A worker accepts 64 connections from all instances together. Those that
    former schedulers kept open left none for their successor, so accepted
    jobs never began (LOST).
    """

    def setUp(self):
        """Start a server."""
        super().setUp()
        self.server = ScriptedServer()
        self.addCleanup(self.server.thread.kill)
        self.pool = HttpPool(max_per_host=2)
        self.addCleanup(self.pool.close)

    def spawn(self, path, timeout_s=_TIMEOUT_S):
        """Call the server in a green thread."""
        call = HttpCall('GET', self.server.address, path, timeout_s=timeout_s)
        return eventlet.spawn(self.pool.call, call)

    def spawn_several(self, path, count):
        """Call the server concurrently."""
        threads = [self.spawn(path) for _ in range(count)]
        for _ in range(100):
            if self.server.open_connections == min(count, 2):
                break
            eventlet.sleep(0.02)
        # Time for calls beyond the limit to connect, if they wrongly did.
        eventlet.sleep(0.05)
        return threads

    def test_calls_beyond_the_limit_wait_for_a_connection(self):
        """Guards against a connection for each of many unanswered orders."""
        calls = self.spawn_several('/late', 10)
        self.assertEqual(2, self.server.open_connections)
        self.server.release.send()
        answers = {type(each.wait()) for each in calls}
        self.assertEqual({Answered}, answers)
        self.assertEqual(2, self.server.connections)

    def test_call_that_gets_no_connection_is_not_sent(self):
        """Guards against orders that wait forever for a silent worker."""
        self.spawn_several('/late', 2)
        call = self.spawn('/fast')
        self.assertIsInstance(call.wait(), NeverSent)

    def test_wait_for_a_connection_does_not_use_up_the_timeout(self):
        """Guards against reporting a call as lost that was just queued."""
        held = self.spawn_several('/late', 2)
        queued = self.spawn('/fast', timeout_s=0.2)
        eventlet.sleep(0.4)
        self.server.release.send()
        self.assertIsInstance(queued.wait(), Answered)
        self.assertEqual({b'late'}, {each.wait().body for each in held})

    def test_connection_of_a_failed_call_is_replaced(self):
        """Guards against a limit that timeouts and errors use up."""
        for path, timeout_s in (('/late', 0.1), ('/closing', 1)) * 3:
            failed = self.spawn(path, timeout_s)
            self.assertIsInstance(failed.wait(), NoAnswer)
        call = self.spawn('/fast')
        self.assertIsInstance(call.wait(), Answered)

    def test_idle_connections_are_closed(self):
        """Guards against former schedulers that keep connections."""
        for call in self.spawn_several('/fast', 2):
            call.wait()
        self.pool.close()
        eventlet.sleep(0.05)
        self.assertEqual(0, self.server.open_connections)

    def test_connections_in_use_are_closed_after_the_call(self):
        """Guards against keeping the connections of the last orders."""
        calls = self.spawn_several('/late', 2)
        queued = self.spawn('/fast')
        eventlet.sleep(0)
        self.pool.close()
        self.server.release.send()
        self.assertEqual({b'late'}, {each.wait().body for each in calls})
        self.assertIsInstance(queued.wait(), NeverSent)
        eventlet.sleep(0.05)
        self.assertEqual(0, self.server.open_connections)
        later = self.spawn('/fast')
        self.assertIsInstance(later.wait(), Answered)


class TestBoundCalls(TestCase):
    """A call that names a connection reaches only the process at its end.

    A worker may restart at its address under the same id. A hold meant for
    the former process then wiped out ends of the new one unseen (TWICE).
    """

    def setUp(self):
        """Start a server."""
        super().setUp()
        self.server = RestartableServer()
        self.addCleanup(self.server.stop)
        self.use_pool()

    def use_pool(self, **limits):
        """Replace the pool."""
        self.pool = HttpPool(**limits)
        self.addCleanup(self.pool.close)

    def call(self, connection=None, path='/', address=''):
        """Call the server; a call that waits too long raises an error."""
        request = HttpCall(
            'GET',
            address or self.server.address,
            path,
            timeout_s=_TIMEOUT_S,
            queue_s=_TIMEOUT_S,
            connection=connection,
        )
        with eventlet.Timeout(2 * _TIMEOUT_S):
            return self.pool.call(request)

    def spawn(self, connection=None, path='/'):
        """Call the server in a green thread, and let it send or wait."""
        thread = eventlet.spawn(self.call, connection, path)
        eventlet.sleep(0.02)
        return thread

    def open_two(self):
        """Return the numbers of two idle connections."""
        calls = [self.spawn(path='/held') for _ in range(2)]
        self.server.release()
        return [each.wait().connection for each in calls]

    def assert_gone(self, answer):
        """Check that a call was not sent since its connection has ended."""
        self.assertIsInstance(answer, NeverSent)
        self.assertTrue(answer.is_connection_gone)

    def test_each_call_uses_its_connection(self):
        """Guards against a bound call on the connection that was used last."""
        first, second = self.open_two()
        bound = (first, second, first, second)
        answers = [self.call(each) for each in bound]
        self.assertEqual(bound, tuple(each.connection for each in answers))
        used = [each.connection for each in self.server.requests[2:]]
        self.assertEqual(used[:2], used[2:])
        self.assertNotEqual(used[0], used[1])
        self.assertEqual(2, self.server.connections)

    def test_server_that_restarts(self):
        """Guards against a bound call on a new connection to a new process."""
        bound = self.call().connection
        self.server.restart()
        self.assert_gone(self.call(bound))
        self.assertEqual(1, self.server.connections)
        unbound = self.call()
        self.assertNotEqual(bound, unbound.connection)
        # Now there is an idle connection to the new process.
        self.assert_gone(self.call(bound))
        self.assertEqual([1, 2], [each.life for each in self.server.requests])

    def test_idle_connection_that_the_server_closes(self):
        """Guards against sending on a connection whose end can be seen.

        The outcome would be unknown (NoAnswer) instead of not sent.
        """
        closed, kept = self.open_two()
        self.call(closed, '/')
        self.server.end_connection(self.server.requests[-1].connection)
        self.assert_gone(self.call(closed))
        self.assert_gone(self.call(closed))
        self.assertEqual(kept, self.call(kept).connection)
        self.assertEqual(kept, self.call().connection)
        self.assertEqual(2, self.server.connections)

    def test_unbound_calls(self):
        """Guards against unbound calls that leave the idle connection."""
        numbers = {self.call().connection for _ in range(3)}
        self.assertEqual(1, len(numbers))
        self.assertEqual(1, self.server.connections)

    def test_connection_that_the_server_will_close(self):
        """Guards against the number of a connection that was not kept."""
        answer = self.call(path='/last')
        self.assertIsInstance(answer, Answered)
        self.assertIsNone(answer.connection)
        # Numbers start at 1.
        self.assert_gone(self.call(1))

    def test_connection_beyond_the_idle_limit(self):
        """Guards against the number of a connection that was evicted."""
        self.use_pool(idle_per_host=1)
        numbers = self.open_two()
        self.assertIn(None, numbers)
        kept = next(each for each in numbers if each is not None)
        self.assertEqual(kept, self.call(kept).connection)

    def test_closed_pool(self):
        """Guards against a bound call after close(), and a reused number."""
        bound = self.call().connection
        self.pool.close()
        self.assert_gone(self.call(bound))
        self.assertNotEqual(bound, self.call().connection)
        self.assert_gone(self.call(bound))
        self.assertEqual(2, self.server.connections)

    def test_pool_that_is_closed_during_calls(self):
        """Guards against a bound call that waits for a closed connection."""
        self.use_pool(max_per_host=1)
        bound = self.call().connection
        held = self.spawn(path='/held')
        waiting = self.spawn(bound)
        self.pool.close()
        self.server.release()
        self.assertIsNone(held.wait().connection)
        self.assert_gone(waiting.wait())
        self.assertEqual(2, len(self.server.requests))

    def test_host_that_is_evicted(self):
        """Guards against a bound call that opens a new connection."""
        self.use_pool(max_hosts=1)
        other = RestartableServer()
        self.addCleanup(other.stop)
        bound = self.call().connection
        kept = self.call(address=other.address).connection
        self.assert_gone(self.call(bound))
        # A call that is not sent evicts no other host.
        self.assertEqual(kept, self.call(kept, '/', other.address).connection)

    def test_connection_in_use_at_the_limit(self):
        """Guards against a bound call lost while another one is under way."""
        self.use_pool(max_per_host=1)
        bound = self.call().connection
        held = self.spawn(path='/held')
        waiting = self.spawn(bound)
        self.assertEqual(2, len(self.server.requests))
        self.server.release()
        self.assertEqual(bound, held.wait().connection)
        self.assertEqual(bound, waiting.wait().connection)
        self.assertEqual(1, self.server.connections)

    def test_gone_connection_at_the_limit(self):
        """Guards against waiting for a connection that has ended."""
        self.use_pool(max_per_host=1)
        bound = self.call().connection
        self.server.restart()
        held = self.spawn(path='/held')
        # Returns before the other call ends.
        self.assert_gone(self.call(bound))
        self.server.release()
        self.assertIsInstance(held.wait(), Answered)

    def test_connection_in_use(self):
        """Guards against a second connection, and against calling it gone."""
        bound = self.call().connection
        held = self.spawn(path='/held')
        answer = self.call(bound)
        self.assertIsInstance(answer, NeverSent)
        self.assertFalse(answer.is_connection_gone)
        self.assertEqual(1, self.server.connections)
        self.server.release()
        self.assertEqual(bound, held.wait().connection)
        self.assertEqual(2, len(self.server.requests))
