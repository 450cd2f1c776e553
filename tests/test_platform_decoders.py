"""Fuzzes the adapter's decoders: bad input raises only the typed errors."""

import io
import json
from base64 import b64encode
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from apricotlead.platform.callers import CallerApplication, decode_submission
from apricotlead.platform.configuration import ConfigError, decode_config
from apricotlead.platform.store import PlatformStore
from apricotlead.platform.workers import PlatformWorkers, decode_worker
from apricotlead.protocol.cell_workers import HoldOrder, StartOrder, WorkerEntry
from apricotlead.protocol.errors import BadInput
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Put, Row, Transaction
from apricotlead.transport.http_pool import Answered, HttpCall

NAMES = st.sampled_from(
    (
        'Spec Steps Count Cpu MemMb After Repeats ClockMs Running Ended born '
        'Reason Good ValidMs rows Ver Value Table part Key NowMs HasMore '
        'Service Address Zone State Capacity Labels Version Routes Tenants'
    ).split(),
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=5)
    ),
    max_leaves=15,
)
DEEPLY_NESTED = b'[' * 100000
BODIES = (
    st.binary(max_size=60)
    | JSON.map(lambda value: json.dumps(value).encode())
    | st.sampled_from(
        (
            DEEPLY_NESTED,
            b'{"x":%s' % DEEPLY_NESTED,
            b'{"Running":%s' % DEEPLY_NESTED,
        )
    )
)
WORKER = WorkerEntry('w1', 'transcripts', '127.0.0.1:1', 'north', Resources())
JOB = '5c0e7a21d94b36f8'


class OneAnswer:
    """Gives the same answer to each call."""

    def __init__(self, status: int, body: bytes) -> None:
        self.answer = Answered(status, body, {})

    def call(self, request: HttpCall) -> Answered:
        return self.answer


class TestAnswers(TestCase):
    """Answers of workers, of the store and of the advice service."""

    @given(BODIES, st.sampled_from((200, 400, 409, 412, 421, 503)))
    def test_workers(self, body: bytes, status: int) -> None:
        pool = OneAnswer(status, body)
        workers = PlatformWorkers(pool, '127.0.0.1:1', pool, pool)
        workers.hold(WORKER, HoldOrder(1, 0, 0), 1)
        workers.start(WORKER, StartOrder(f'{JOB}.0.0.0', 1, '', 1, 1))
        workers.advise('step', ('w1',), 1)

    @given(BODIES, st.sampled_from((200, 410, 412, 429)))
    def test_store(self, body: bytes, status: int) -> None:
        store = PlatformStore(OneAnswer(status, body), '127.0.0.1:1')
        store.read_row('jobs/0/a')
        store.changes('jobs', 0, 1)
        store.transact(Transaction('', 'a/b/c', (), (Put('a/b/c', 1),)))

    @given(BODIES)
    def test_value_of_a_row(self, content: bytes) -> None:
        """A malformed value does not affect the other rows."""
        row = {'Table': 'servers', 'part': '', 'Key': 'w1', 'Ver': 3}
        row['Value'] = b64encode(content).decode()
        good = {**row, 'Key': 'w2', 'Value': b64encode(b'7').decode()}
        body = json.dumps({'rows': [row, good], 'Ver': 3}).encode()
        store = PlatformStore(OneAnswer(200, body), '127.0.0.1:1')
        rows = store.changes('servers', 0, 1).rows
        self.assertEqual(7, rows[1].value)
        decode_worker(Row(rows[0].key, 3, rows[0].value))
        try:
            decode_config(rows[0])
        except ConfigError as error:
            self.assertIn('servers', str(error))


class IdleRequestHandler:
    """A request handler that refuses every request."""

    max_body_bytes = 1000
    is_stopping = False

    def track_request(self) -> Any:
        return io.StringIO()

    def authorise(self, host: str, path: str, key: str) -> Any:
        raise BadInput('No queue is known here.')


class TestCalls(TestCase):
    """Requests of callers."""

    @given(BODIES)
    def test_submission(self, body: bytes) -> None:
        try:
            decode_submission(body)
        except BadInput as error:
            self.assertIn('not a job', str(error))

    @given(st.text(max_size=12), st.text(max_size=12))
    def test_headers(self, wait: str, length: str) -> None:
        statuses: list[str] = []
        application = CallerApplication(IdleRequestHandler())
        environ = {
            'REQUEST_METHOD': 'POST',
            'PATH_INFO': f'/q/{JOB}',
            'HTTP_X_DEADLINE_MS': wait,
            'CONTENT_LENGTH': length,
            'wsgi.input': io.BytesIO(b'{}'),
        }
        application(environ, lambda status, headers: statuses.append(status))
        self.assertEqual('4', statuses[0][0])
