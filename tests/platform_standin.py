"""A small platform for process tests of the adapter: store and workers.

It speaks the platform's wire, as the adapter does, and keeps what the workers
did for the tests to judge. Servers run in threads of the test's process.
"""

import json
import threading
import time
from base64 import b64decode, b64encode
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

WORKER_CPU_MILLIS = 4000


class _Handler(BaseHTTPRequestHandler):
    """Passes calls to the model that the server belongs to."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        """Answer a read."""
        parts = urlsplit(self.path)
        found = parse_qs(parts.query, keep_blank_values=True)
        query = {key: each[0] for key, each in found.items()}
        self._answer(parts.path, query)

    def do_POST(self):
        """Answer a call with a body."""
        length = int(self.headers.get('Content-Length') or 0)
        self._answer(self.path, json.loads(self.rfile.read(length) or b'{}'))

    def log_message(self, *_parts):
        """Write nothing."""

    def _answer(self, path, body):
        status, answer = self.server.model.answer(path, body)
        content = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(content)))
        self.end_headers()
        self.wfile.write(content)


class _Model:
    """A model behind an HTTP server of its own."""

    def __init__(self):
        """Serve on a free port."""
        self.changed = threading.Condition()
        self._server = ThreadingHTTPServer(('127.0.0.1', 0), _Handler)
        self._server.daemon_threads = True
        self._server.model = self
        self.address = '{}:{}'.format(*self._server.server_address)
        threading.Thread(
            target=self._server.serve_forever,
            daemon=True,
        ).start()

    def close(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


class StoreModel(_Model):
    """Rows with versions, transactions, and a feed of changes."""

    def __init__(self):
        """Begin empty."""
        self.rows = {}
        self.version = 0
        self.is_down = False
        super().__init__()

    def put(self, table, key, value, part=''):
        """Write a row as an operator or a worker does."""
        packed = b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.version += 1
            self.rows[table, part, key] = (packed, self.version)
            self.changed.notify_all()

    def value(self, table, part, key):
        """Return the value of a row, ``None`` where there is none."""
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(b64decode(row[0]))

    def answer(self, path, body):
        """Answer one call."""
        if self.is_down:
            return 503, {}
        with self.changed:
            if path == '/api/rows-tx':
                return self._transact(body)
            if path == '/api/rows-feed':
                return 200, self._feed(body)
            return 200, self._read(body)

    def _transact(self, body):
        for expected in body['Expect']:
            if self._found(_name(expected))['Ver'] != expected['Ver']:
                names = [_name(each) for each in body['Expect']]
                rows = [self._found(name) for name in names]
                return 412, self._stamped(rows=rows)
        self.version += 1
        for written in body['Writes']:
            self.rows[_name(written)] = (written['Value'], self.version)
        for deleted in body['Deletes']:
            if _name(deleted) in self.rows:
                self.rows[_name(deleted)] = (None, self.version)
        self.changed.notify_all()
        return 200, self._stamped()

    def _read(self, query):
        first, last = query.get('From', ''), query.get('To')
        rows = [
            self._found(name)
            for name in sorted(self.rows)
            if name[:2] == (query['Table'], query['part'])
            and name[2] >= first
            and (last is None or name[2] < last)
            and self.rows[name][0] is not None
        ]
        return self._stamped(rows=rows[: int(query['Limit'])])

    def _feed(self, query):
        ends_s = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            rows = [
                {**self._found(name), 'Deleted': packed is None}
                for name, (packed, version) in self.rows.items()
                if name[0] == query['Table'] and version > int(query['After'])
            ]
            left_s = ends_s - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row['Ver'])
                return self._stamped(rows=rows)
            self.changed.wait(left_s)

    def _found(self, name):
        packed, version = self.rows.get(name, (None, 0))
        table, part, key = name
        return {
            'Table': table,
            'part': part,
            'Key': key,
            'Value': packed or '',
            'Ver': 0 if packed is None else version,
        }

    def _stamped(self, **answer):
        now_ms = time.monotonic() * 1000
        return {**answer, 'Ver': self.version, 'NowMs': now_ms}


class WorkerModel(_Model):
    """Runs tasks for as long as their payload says, in seconds."""

    def __init__(self, worker_id, store):
        """Register at once."""
        self.worker_id = worker_id
        self.fence = 0
        self.running = {}
        self.ended = []
        self.lease_ms = 0.0
        # Task, run, begin and end of each run, in seconds.
        self.log = []
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
            self._pass_time()
            if body['FencingToken'] < self.fence:
                return 409, self._stamped(Reason='fence')
            self.fence = body['FencingToken']
            self.lease_ms = max(self.lease_ms, body.get('DeadlineMs', 0))
            if path == '/api/run-start':
                return self._start(body)
            if path == '/api/run-stop':
                self._end(body['Task'], body['Run'], 'stopped')
                return 200, self._stamped()
            return 200, self._hold(body)

    def _start(self, body):
        task, run = body['Task'], body['Run']
        if task not in self.running:
            now = time.monotonic()
            self.running[task] = (run, now, now + float(body['Spec']))
        return 200, self._stamped()

    def _hold(self, body):
        acked = body['AckedThrough']
        ends_s = time.monotonic() + body.get('WaitMs', 0) / 1000
        while time.monotonic() < ends_s and not self._unacked(acked):
            self.changed.wait(0.02)
            self._pass_time()
        running = [
            [task, run, '', 50] for task, (run, _, _) in self.running.items()
        ]
        return self._stamped(Running=running, Ended=self._unacked(acked))

    def _unacked(self, acked):
        return [end for end in self.ended if end[0] > acked]

    def _pass_time(self):
        now = time.monotonic()
        lease_s = self.lease_ms / 1000
        for task, (run, _, ends_s) in tuple(self.running.items()):
            if min(now, ends_s) > lease_s:
                self._end(task, run, 'lapsed', lease_s)
            elif now >= ends_s:
                self._end(task, run, 'done', ends_s)

    def _end(self, task, run, how, at_s=None):
        known = self.running.get(task)
        if known is None or known[0] != run:
            return
        self.running.pop(task)
        self.log.append((task, run, known[1], at_s or time.monotonic(), how))
        self.ended.append([len(self.ended) + 1, task, run, how, ''])

    def _stamped(self, **answer):
        return {**answer, 'ClockMs': time.monotonic() * 1000}


def _name(entry):
    return entry['Table'], entry['part'], entry['Key']
