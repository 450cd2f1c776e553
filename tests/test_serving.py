"""A server keeps running when single connections fail."""

import errno
import socket

import eventlet
from eventlet.patcher import import_patched
from testtools import TestCase

from apricotlead.transport import serving
from apricotlead.transport.serving import (
    ACCEPT_FAILED,
    AT_LIMIT,
    HttpServer,
)

green_urllib3 = import_patched('urllib3')
LISTEN = eventlet.listen
# Jobs that one instance of a grown cell may be asked about at the same time.
_BURST_CONNECTIONS = 120
_CONNECT_S = 0.5


class FailingListener:
    """A listening socket whose first accepts fail."""

    def __init__(self, listener, errors):
        """Fail with each of ``errors`` in turn, then accept."""
        self._listener = listener
        self._errors = list(errors)

    def __getattr__(self, name):
        """Delegate everything except ``accept``."""
        return getattr(self._listener, name)

    def accept(self):
        """Raise the next error, or accept."""
        if self._errors:
            number = self._errors.pop()
            raise OSError(number, errno.errorcode[number])
        return self._listener.accept()


class TestFailedAccepts(TestCase):
    """Guards against a running process that refuses all connections."""

    def serve(self, *errors):
        """Return the status of a request after the errors, and the log."""
        self.patch(
            serving.eventlet,
            'listen',
            lambda address, **options: FailingListener(
                LISTEN(address, **options), errors
            ),
        )
        logged = []
        server = HttpServer(
            '127.0.0.1:0',
            _answer,
            10,
            lambda kind, **fields: logged.append(kind),
        )
        self.addCleanup(server.stop)
        address = server.address
        eventlet.sleep(0.3)
        response = green_urllib3.PoolManager(retries=False).request(
            'GET',
            f'http://{address}/',
        )
        return response.status, logged

    def test_reset_before_it_is_accepted(self):
        """A caller may give up while the process is paused."""
        for number in (errno.ECONNABORTED, errno.ECONNRESET, errno.ENOTCONN):
            self.assertEqual((200, [ACCEPT_FAILED]), self.serve(number))

    def test_descriptors_run_out(self):
        status, logged = self.serve(errno.EMFILE, errno.EMFILE)
        self.assertEqual((200, 2), (status, len(logged)))


class TestConnectionBursts(TestCase):
    """A burst of callers must not wait for a second connection attempt.

    The first one was dropped while the loop was busy and 50 connections waited;
    the next attempt follows after 1 s, most of what a caller waits.
    """

    def test_burst_while_the_loop_is_busy(self):
        server = HttpServer('127.0.0.1:0', _answer, 10, _ignore)
        self.addCleanup(server.stop)
        host, _, port = server.address.partition(':')
        # Nothing is accepted meanwhile: the loop runs only when this thread
        # waits in eventlet.
        for number in range(_BURST_CONNECTIONS):
            connection = socket.socket()
            self.addCleanup(connection.close)
            connection.settimeout(_CONNECT_S)
            error = connection.connect_ex((host, int(port)))
            self.assertEqual(0, error, number)


class TestConnectionLimit(TestCase):
    """An instance at its limit of connections showed nothing in its log."""

    def test_limit_is_logged_once(self):
        logged = []
        server = HttpServer(
            '127.0.0.1:0',
            _answer,
            2,
            lambda kind, **fields: logged.append((kind, fields)),
        )
        self.addCleanup(server.stop)
        host, _, port = server.address.partition(':')
        for _ in range(4):
            connection = socket.create_connection((host, int(port)), _CONNECT_S)
            self.addCleanup(connection.close)
            eventlet.sleep(0.02)
        fields = {'address': server.address, 'most': 2}
        self.assertEqual([(AT_LIMIT, fields)], logged)


def _ignore(kind, **fields):
    """Drop a log line."""


def _answer(environ, start_response):
    start_response('200 OK', [('Content-Length', '0')])
    return ()
