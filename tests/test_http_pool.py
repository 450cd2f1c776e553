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
