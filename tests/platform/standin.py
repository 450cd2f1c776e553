"""Models of the platform's store and workers for process tests.

They implement the platform's HTTP interface and record all runs, for the
tests to check. Their servers run in threads of the test's process.
"""

import json
import threading
import time
from base64 import b64decode, b64encode
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

WORKER_CPU_MILLIS = 4000
_UNRESPONSIVE_S = 2
_ROW_BYTES = 65536
_WRITES = frozenset(('/api/rows-tx', '/api/run-start', '/api/run-stop'))


class Run:
    """A run on a worker; times are in seconds."""

    __slots__ = (
        'end_kind',
        'ended_s',
        'is_acknowledged',
        'number',
        'started_s',
        'task',
    )

    def __init__(self, task, number, started_s, ends_s):
        """Start a run that is done at ``ends_s``."""
        self.task = task
        self.number = number
        self.started_s = started_s
        self.ended_s = ends_s
        self.end_kind = ''
        # Whether its end was acknowledged before the lease lapsed.
        self.is_acknowledged = False


class _Handler(BaseHTTPRequestHandler):
    """Passes calls to the model of its server."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        """Answer a read."""
        parts = urlsplit(self.path)
        query_values = parse_qs(parts.query, keep_blank_values=True)
        query = {key: each[0] for key, each in query_values.items()}
        self._answer(parts.path, query)

    def do_POST(self):
        """Answer a call with a body."""
        length = int(self.headers.get('Content-Length') or 0)
        self._answer(self.path, json.loads(self.rfile.read(length) or b'{}'))

    def log_message(self, *_arguments):
        """Write nothing."""

    def _answer(self, path, body):
        if self.server.model.is_unresponsive:
            # The call has no effect and gets no answer.
            time.sleep(_UNRESPONSIVE_S)
            self.close_connection = True
            return
        late_s = self.server.model.take_delay_s(path, body)
        if late_s:
            # The call has its effect late, and gets no answer.
            late = threading.Timer(
                late_s, self.server.model.answer, (path, body)
            )
            late.daemon = True
            late.start()
            self.close_connection = True
            return
        status, answer = self.server.model.answer(path, body)
        if self.server.model.loses_answers and path in _WRITES:
            self.close_connection = True
            return
        content = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(content)))
        self.end_headers()
        # The caller may have timed out or been killed.
        with suppress(ConnectionError):
            self.wfile.write(content)


class _Model:
    """A model with its own HTTP server."""

    def __init__(self):
        """Serve on a free port."""
        self.is_unresponsive = False
        self.loses_answers = False
        self.changed = threading.Condition()
        self._server = ThreadingHTTPServer(('127.0.0.1', 0), _Handler)
        self._server.daemon_threads = True
        self._server.model = self
        self.address = '{}:{}'.format(*self._server.server_address)
        threading.Thread(
            target=self._server.serve_forever,
            daemon=True,
        ).start()

    def take_delay_s(self, path, body):
        """Return by how much a call is late, 0 for one that is not."""
        return 0

    def close(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


class StoreModel(_Model):
    """A table service: versioned rows, transactions and a change feed."""

    def __init__(self):
        """Start without rows."""
        self.rows = {}
        self.version = 0
        self.is_down = False
        self.delay_s = 0
        # Seconds by which the next writes of jobs are late.
        self.job_delays_s = []
        super().__init__()

    def take_delay_s(self, path, body):
        """Return by how much a write of a job is late."""
        is_job = path == '/api/rows-tx' and any(
            written['Table'] == 'jobs' for written in body['Writes']
        )
        return self.job_delays_s.pop() if is_job and self.job_delays_s else 0

    def put(self, table, key, value, part=''):
        """Write a row as an operator or a worker does."""
        encoded = b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.version += 1
            self.rows[table, part, key] = (encoded, self.version)
            self.changed.notify_all()

    def value(self, table, part, key):
        """Return the value of a row, ``None`` if it does not exist."""
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(b64decode(row[0]))

    def answer(self, path, body):
        """Answer one call."""
        time.sleep(self.delay_s)
        if self.is_down:
            return 503, {}
        with self.changed:
            if path == '/api/rows-tx':
                return self._transact(body)
            if path == '/api/rows-feed':
                return 200, self._feed(body)
            return 200, self._read(body)

    def _transact(self, body):
        values = [b64decode(written['Value']) for written in body['Writes']]
        if any(len(value) > _ROW_BYTES for value in values):
            return 413, {}
        for expected in body['Expect']:
            if self._row_body(_row_name(expected))['Ver'] != expected['Ver']:
                names = [_row_name(each) for each in body['Expect']]
                rows = [self._row_body(name) for name in names]
                return 412, self._with_clock(rows=rows)
        self.version += 1
        for written in body['Writes']:
            self.rows[_row_name(written)] = (written['Value'], self.version)
        for deleted in body['Deletes']:
            if _row_name(deleted) in self.rows:
                self.rows[_row_name(deleted)] = (None, self.version)
        self.changed.notify_all()
        return 200, self._with_clock()

    def _read(self, query):
        first, last = query.get('From', ''), query.get('To')
        rows = [
            self._row_body(name)
            for name in sorted(self.rows)
            if name[:2] == (query['Table'], query['part'])
            and name[2] >= first
            and (last is None or name[2] < last)
            and self.rows[name][0] is not None
        ]
        return self._with_clock(rows=rows[: int(query['Limit'])])

    def _feed(self, query):
        ends_s = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            rows = [
                {**self._row_body(name), 'Deleted': encoded is None}
                for name, (encoded, version) in self.rows.items()
                if name[0] == query['Table'] and version > int(query['After'])
            ]
            remaining_s = ends_s - time.monotonic()
            if rows or remaining_s <= 0:
                rows.sort(key=lambda row: row['Ver'])
                return self._with_clock(rows=rows)
            self.changed.wait(remaining_s)

    def _row_body(self, name):
        encoded, version = self.rows.get(name, (None, 0))
        table, part, key = name
        return {
            'Table': table,
            'part': part,
            'Key': key,
            'Value': encoded or '',
            'Ver': 0 if encoded is None else version,
        }

    def _with_clock(self, **answer):
        now_ms = time.monotonic() * 1000
        return {**answer, 'Ver': self.version, 'NowMs': now_ms}


class StoreDoor(_Model):
    """The address of a store for some of the instances.

    While it is shut, the store turns them away, and serves the others.
    """

    def __init__(self, store):
        """Pass calls to ``store``."""
        self._store = store
        self.is_shut = False
        super().__init__()

    def answer(self, path, body):
        """Pass one call on, or refuse it."""
        return (503, {}) if self.is_shut else self._store.answer(path, body)


class WorkerModel(_Model):
    """A worker whose tasks run for the seconds that are their payload."""

    def __init__(self, worker_id, store):
        """Start and register in the store."""
        self.worker_id = worker_id
        self.fencing_token = 0
        self.running = {}
        # The highest run number of each task that was stopped or has ended.
        self.refused_runs = {}
        self.ended = []
        self.lease_s = 0.0
        # The number of ends before the last lease expiry. Those that were
        # unacknowledged then do not count, even if acknowledged later.
        self.voided_end_count = 0
        self.runs = []
        super().__init__()
        entry = {
            'Service': 'transcripts',
            'Address': self.address,
            'Zone': 'north',
            'State': 'ready',
            'Capacity': {'Cpu': WORKER_CPU_MILLIS, 'MemMb': 8000, 'Gpu': 0},
            'born': int(time.time() * 1000),
        }
        store.put('servers', worker_id, entry)

    def answer(self, path, body):
        """Answer one order."""
        with self.changed:
            self._advance_runs()
            if body['FencingToken'] < self.fencing_token:
                return 409, self._with_clock(Reason='fence')
            self.fencing_token = body['FencingToken']
            deadline_s = body.get('DeadlineMs', 0) / 1000
            self.lease_s = max(self.lease_s, deadline_s)
            if path == '/api/run-start':
                return self._start(body)
            if path == '/api/run-stop':
                return self._stop(body)
            return 200, self._hold(body)

    def _start(self, body):
        task = body['Task']
        if body['Run'] <= self.refused_runs.get(task, 0):
            return 409, self._with_clock(Reason='old')
        if task not in self.running:
            now = time.monotonic()
            run = Run(task, body['Run'], now, now + float(body['Spec']))
            self.running[task] = run
            self.runs.append(run)
        return 200, self._with_clock()

    def _stop(self, body):
        task = body['Task']
        previous = self.refused_runs.get(task, 0)
        self.refused_runs[task] = max(previous, body['Run'])
        run = self.running.get(task)
        if run is not None and run.number == body['Run']:
            self._end(run, 'stopped', time.monotonic())
        return 200, self._with_clock()

    def _hold(self, body):
        acked_through = body['AckedThrough']
        for run in self.ended[self.voided_end_count : acked_through]:
            run.is_acknowledged = True
        ends_s = time.monotonic() + body.get('WaitMs', 0) / 1000
        while time.monotonic() < ends_s and len(self.ended) <= acked_through:
            self.changed.wait(0.02)
            self._advance_runs()
        running = [
            [each.task, each.number, '', 50] for each in self.running.values()
        ]
        ended = [
            [number, end.task, end.number, end.end_kind, '']
            for number, end in enumerate(self.ended, start=1)
            if number > acked_through
        ]
        return self._with_clock(Running=running, Ended=ended)

    def _advance_runs(self):
        now = time.monotonic()
        for run in tuple(self.running.values()):
            if min(now, run.ended_s) > self.lease_s:
                self._end(run, 'lapsed', self.lease_s)
            elif now >= run.ended_s:
                self._end(run, 'done', run.ended_s)
        if now > self.lease_s:
            self.voided_end_count = len(self.ended)

    def _end(self, run, end_kind, end_s):
        self.running.pop(run.task)
        previous = self.refused_runs.get(run.task, 0)
        self.refused_runs[run.task] = max(previous, run.number)
        run.end_kind = end_kind
        run.ended_s = end_s
        self.ended.append(run)

    def _with_clock(self, **answer):
        return {**answer, 'ClockMs': time.monotonic() * 1000}


def _row_name(entry):
    return entry['Table'], entry['part'], entry['Key']
