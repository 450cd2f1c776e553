"""Calls tell what is known, and never take another request's answer."""

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

_WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n%s'
_HALF = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha'
_BOUND_S = 5.0


class ScriptedServer:
    """Answers by the request's path; names the connection in each answer."""

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
        client.sendall(_WHOLE % body)
        return True

    def late(self, client, body):
        """Answer when released."""
        self.waiting += 1
        self.release.wait()
        return self.fast(client, b'late')

    def doubled(self, client, body):
        """Answer, and send an answer that nobody asked for."""
        self.fast(client, body)
        eventlet.sleep(0.02)
        return self.fast(client, b'more')

    def closing(self, client, body):
        """Close without an answer."""
        return False

    def half(self, client, body):
        """Close in the middle of the answer."""
        client.sendall(_HALF)
        return False

    def trickle(self, client, body):
        """Send a byte of a header now and then, for ever."""
        for _ in range(1000):
            client.sendall(b'H')
            eventlet.sleep(0.02)
        return False


def full_host(test):
    """Return an address whose queue of connections is full."""
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
    """Guards against a wrong statement about a call's outcome."""

    def setUp(self):
        """Start a server."""
        super().setUp()
        self.server = ScriptedServer()
        self.addCleanup(self.server.thread.kill)
        self.pool = HttpPool('marka')
        self.addCleanup(self.pool.close)

    def get(self, path, timeout_s=_BOUND_S):
        """Call the server."""
        return self.pool.call(
            HttpCall('GET', self.server.address, path, timeout_s=timeout_s),
        )

    def test_outcomes(self):
        """Guards against taking an unknown outcome for "not sent"."""
        cases = (
            ('/fast', _BOUND_S, Answered),
            ('/late', 0.1, NoAnswer),
            ('/closing', _BOUND_S, NoAnswer),
            ('/half', _BOUND_S, NoAnswer),
            ('/trickle', 0.2, NoAnswer),
        )
        for path, timeout_s, kind in cases:
            with eventlet.Timeout(2 * _BOUND_S):
                answer = self.get(path, timeout_s)
            self.assertEqual((path, kind), (path, type(answer)))

    def test_what_never_left(self):
        """Guards against waiting for work that no server has."""
        addresses = ('127.0.0.1:1', 'not an address:1', 'w7', full_host(self))
        for address in addresses:
            answer = self.pool.call(HttpCall('GET', address, '/', timeout_s=1))
            self.assertEqual((address, NeverSent), (address, type(answer)))

    def test_header_that_cannot_be_sent(self):
        """Guards against an exception that leaves a caller without answer."""
        headers = {'X-Apricotlead-Request': 'a\r\nb'}
        call = HttpCall('GET', self.server.address, '/fast', b'', headers)
        self.assertIsInstance(self.pool.call(call), NoAnswer)

    def test_connection_is_reused_after_a_whole_answer(self):
        """Guards against a connection for each call."""
        bodies = {self.get('/fast').body for _ in range(5)}
        self.assertEqual({b'0001'}, bodies)

    def test_late_answer_is_not_taken_by_the_next_call(self):
        """Guards against answers that are off by one after a timeout."""
        self.assertIsInstance(self.get('/late', 0.1), NoAnswer)
        self.server.release.send()
        eventlet.sleep(0.05)
        self.assertEqual(b'0002', self.get('/fast').body)

    def test_unasked_answer_is_not_taken_by_the_next_call(self):
        """Guards against an answer that waits on an idle connection."""
        self.assertEqual(b'0001', self.get('/doubled').body)
        eventlet.sleep(0.05)
        self.assertNotEqual(b'more', self.get('/fast').body)

    def test_calls_cooperate(self):
        """Guards against one call that blocks all others."""
        slow = [eventlet.spawn(self.get, '/late') for _ in range(20)]
        for _ in range(100):
            if self.server.waiting == len(slow):
                break
            eventlet.sleep(0.02)
        self.assertIsInstance(self.get('/fast'), Answered)
        self.server.release.send()
        self.assertEqual({b'late'}, {each.wait().body for each in slow})

    def test_outer_timeout_is_left_to_its_owner(self):
        """Guards against a caller's own timeout that the pool swallows."""
        outer = eventlet.Timeout(0.1)
        self.addCleanup(outer.cancel)
        raised = self.assertRaises(eventlet.Timeout, self.get, '/late')
        self.assertIs(outer, raised)
