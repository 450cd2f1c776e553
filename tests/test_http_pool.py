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
