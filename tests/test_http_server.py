"""Mapping of requests and outcomes to HTTP."""

from io import BytesIO

import msgspec
from testtools import TestCase
from testtools.matchers import Equals

from apricotlead.protocol.errors import (
    Draining,
    KeyRefused,
    LimitReached,
    OutcomeUnknown,
    StoreUnreachable,
    VersionConflict,
)
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun
from apricotlead.state.config_view import hash_key
from apricotlead.transport.http_server import (
    HttpApplication,
    render_outcome,
)


class Backend:
    """Answers every request with the same outcome."""

    operator_key_digest = hash_key('operator')

    def __init__(self):
        """Start with no signals and no log lines."""
        self.asked = []
        self.logged = []
        self.metrics = self
        self.outcome = Done({'job_id': 'j.1'})

    def ask(self, make_signal):
        """Record the signal."""
        self.asked.append(make_signal(1))
        return self.outcome

    def incr(self, name):
        """Accept a metric."""

    def log(self, **fields):
        """Record a log line."""
        self.logged.append(fields)

    def config(self):
        """Raise as a programming error would."""
        raise RuntimeError('fault')


class TestHttpApplication(TestCase):
    """Guards against truncated requests and silent failures."""

    def setUp(self):
        """Serve a backend."""
        super().setUp()
        self.backend = Backend()
        self.application = HttpApplication(self.backend)

    def send(self, method='POST', path='/v1/jobs', body=b'', **environ):
        """Return status code, headers and decoded body."""
        seen = []
        chunks = self.application(
            {
                'REQUEST_METHOD': method,
                'PATH_INFO': path,
                'CONTENT_LENGTH': str(len(body)),
                'wsgi.input': BytesIO(body),
                **environ,
            },
            lambda status, headers: seen.extend((status, dict(headers))),
        )
        status, headers = seen
        return int(status[:3]), headers, msgspec.json.decode(b''.join(chunks))

    def test_bad_requests(self):
        """Each is refused before any signal is delivered."""
        job = b'{"queue": "q", "tasks": []}'
        table = (
            ({'body': b'{'}, 400),
            ({'body': b'{"queue": 7}'}, 400),
            ({'body': job, 'CONTENT_LENGTH': 'x'}, 400),
            ({'body': job, 'CONTENT_LENGTH': '999'}, 400),
            ({'body': job, 'CONTENT_LENGTH': '-1'}, 400),
            ({'body': job, 'HTTP_TRANSFER_ENCODING': 'chunked'}, 400),
            ({'path': '/v1/nothing'}, 404),
            ({'method': 'GET', 'path': '/v1/config'}, 403),
        )
        for request, expected in table:
            status, headers, body = self.send(**request)
            self.expectThat((status, request), Equals((expected, request)))
            self.assertEqual('not-run', headers['X-Apricotlead-Outcome'])
            self.assertNotEqual('', body['remedy'])
        self.assertEqual([], self.backend.asked)

    def test_internal_error_is_logged_and_never_reported_as_not_run(self):
        """An error after the work began must not invite a retry."""
        status, headers, _ = self.send(
            'GET',
            '/v1/config',
            HTTP_X_APRICOTLEAD_OPERATOR_KEY='operator',
        )
        self.assertEqual(502, status)
        self.assertEqual('may-have-run', headers['X-Apricotlead-Outcome'])
        self.assertIn('fault', self.backend.logged[0]['traceback'])

    def test_draining(self):
        """New work is refused and its connection closed."""
        self.application.draining = True
        status, headers, body = self.send(body=b'{}')
        self.assertEqual((503, 'draining'), (status, body['kind']))
        self.assertEqual('close', headers['Connection'])


class TestRenderOutcome(TestCase):
    """Guards against refusals without a retry delay."""

    def test_statuses(self):
        """Each outcome has its status and its headers."""
        table = (
            (Done(1), 200, None, None),
            (NotRun(KeyRefused('x')), 403, 'not-run', None),
            (NotRun(VersionConflict(7)), 409, 'not-run', None),
            (NotRun(LimitReached('x'), 0.2), 429, 'not-run', '1'),
            (NotRun(StoreUnreachable('x'), 1.5), 503, 'not-run', '2'),
            (NotRun(Draining('x'), 0), 503, 'not-run', '0'),
            (MayHaveRun(OutcomeUnknown('x')), 502, 'may-have-run', None),
        )
        for outcome, status, header, retry_after in table:
            response = render_outcome(outcome)
            headers = dict(response.headers)
            self.assertEqual(status, response.status)
            self.assertEqual(header, headers.get('X-Apricotlead-Outcome'))
            self.assertEqual(retry_after, headers.get('Retry-After'))
