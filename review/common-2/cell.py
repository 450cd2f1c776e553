"""A small deployment for the cases of review/6 and later.

Stand-ins of the platform's store, of executors and of clients, written from
the users' pages (PROTOCOL.md, DEPLOY.md), and entry instances started with the
command of deploy/system.toml. Everything listens on loopback addresses. Where
the pages are silent the stand-ins behave like a sound server.
"""

import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]

ROW_BYTES = 65536  # platform.RowBytes; of the value before base64
MAX_ENTRIES = 100
MAX_TX_BYTES = 1_000_000
MAX_ROWS = 500
STORE_ANSWER_S = 0.004  # "4 ms an answer"
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_S = 0.2


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._lock = threading.Lock()
        self.began_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.began_s

    def write(self, kind, **fields):
        at = round(self.now(), 3)
        line = json.dumps({'at': at, 'kind': kind, **fields})
        with self._lock:
            if not self._file.closed:
                self._file.write(line + '\n')
                self._file.flush()

    def close(self):
        with self._lock:
            self._file.close()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.server.channels.add(self.connection)

    def finish(self):
        self.server.channels.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def do_GET(self):
        parts = urlsplit(self.path)
        query = parse_qs(parts.query, keep_blank_values=True)
        self._answer(parts.path, {key: each[0] for key, each in query.items()})

    def do_POST(self):
        length = int(self.headers.get('Content-Length') or 0)
        self._answer(self.path, json.loads(self.rfile.read(length) or b'{}'))

    def log_message(self, *_arguments):
        pass

    def _answer(self, path, body):
        try:
            answer = self.server.model.answer(path, body, self.headers)
            if answer is None:
                # No answer on this channel any more, and nothing further.
                self.server.model.withhold()
                self.close_connection = True
                return
            status, content = answer
            encoded = json.dumps(content).encode()
            head = (
                f'HTTP/1.1 {status} Answer\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(encoded)}\r\n\r\n'
            )
            self.wfile.write(head.encode() + encoded)
        except OSError:
            self.close_connection = True


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, *arguments):
        self.channels = set()
        super().__init__(*arguments)

    def handle_error(self, request, client_address):
        pass


class _Model:
    def __init__(self):
        self._server = _Server(('127.0.0.1', 0), _Handler)
        self._server.model = self
        self.address = '127.0.0.1:{}'.format(self._server.server_address[1])
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def withhold(self):
        time.sleep(30)


class Store(_Model):
    """The platform's metadata store, of the form ``table``."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.rows = {}
        self.version = 0
        # Called with the body of each rows-tx; a number of seconds means that
        # the call gets no answer and is performed that much later.
        self.late_s = lambda body: None
        # The writes that are larger than the store takes.
        self.refused = 0
        super().__init__()

    def put(self, table, key, value, part=''):
        """Write a row as the operator or an executor does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.version += 1
            self.rows[table, part, key] = (encoded, self.version)
            self.changed.notify_all()

    def drop(self, table, key, part=''):
        """Remove a row as the platform does."""
        with self.changed:
            self.version += 1
            self.rows[table, part, key] = (None, self.version)
            self.changed.notify_all()

    def value(self, table, part, key):
        encoded = self.rows.get((table, part, key), (None, 0))[0]
        return None if encoded is None else json.loads(base64.b64decode(encoded))

    def answer(self, path, body, headers):
        if path == '/api/rows-tx':
            late_s = self.late_s(body)
            if late_s is not None:
                threading.Timer(late_s, self._transact, (body, True)).start()
                return None
            time.sleep(STORE_ANSWER_S)
            return self._transact(body)
        if path == '/api/rows-get':
            time.sleep(STORE_ANSWER_S)
            with self.changed:
                return 200, self._read(body)
        if path == '/api/rows-feed':
            time.sleep(STORE_ANSWER_S)
            return 200, self._feed(body)
        return 404, {}

    def _transact(self, body, is_late=False):
        entries = [*body['Expect'], *body['Writes'], *body['Deletes']]
        values = [base64.b64decode(row['Value']) for row in body['Writes']]
        is_large = (
            len(entries) > MAX_ENTRIES
            or sum(len(row['Value']) for row in body['Writes']) > MAX_TX_BYTES
        )
        largest = max(map(len, values), default=0)
        if is_large or largest > ROW_BYTES:
            self.refused += 1
            if self.refused <= 20:
                self.record.write(
                    'store refuses a write',
                    entries=len(entries),
                    largest_row_bytes=largest,
                )
            return 413, {}
        if len({row['part'] for row in entries}) > 1:
            return 400, {}
        if any(row['Table'] in ('op', 'servers') for row in entries[len(body['Expect']):]):
            return 403, {}
        with self.changed:
            for row in body['Expect']:
                if self._body(_name(row))['Ver'] != row['Ver']:
                    if is_late:
                        self.record.write('late write fails its condition')
                    rows = [self._body(_name(each)) for each in body['Expect']]
                    return 412, self._stamped(rows=rows)
            self.version += 1
            for row in body['Writes']:
                self.rows[_name(row)] = (row['Value'], self.version)
            for row in body['Deletes']:
                if _name(row) in self.rows:
                    self.rows[_name(row)] = (None, self.version)
            self.changed.notify_all()
            if is_late:
                keys = [row['Key'] for row in body['Writes']]
                self.record.write('late write performed', keys=keys)
            return 200, self._stamped()

    def _read(self, query):
        first, last = query.get('From', ''), query.get('To')
        limit = min(MAX_ROWS, int(query.get('Limit', MAX_ROWS)))
        found = [
            name
            for name in sorted(self.rows)
            if name[:2] == (query['Table'], query.get('part', ''))
            and name[2] >= first
            and (last is None or name[2] < last)
            and self.rows[name][0] is not None
        ]
        rows, size = [], 0
        for name in found[:limit]:
            size += len(self.rows[name][0])
            if rows and size > MAX_TX_BYTES:
                break
            rows.append(self._body(name))
        return self._stamped(rows=rows, HasMore=len(found) > len(rows))

    def _feed(self, query):
        ends_s = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        after = int(query['After'])
        with self.changed:
            while True:
                rows = [
                    {**self._body(name), 'Ver': version, 'Deleted': encoded is None}
                    for name, (encoded, version) in self.rows.items()
                    if version > after and name[0] == query['Table']
                ]
                left_s = ends_s - time.monotonic()
                if rows or left_s <= 0:
                    rows.sort(key=lambda row: row['Ver'])
                    if len(rows) > MAX_ROWS:
                        rows = rows[:MAX_ROWS]
                        answer = self._stamped(rows=rows, HasMore=True)
                        answer['Ver'] = rows[-1]['Ver']
                        return answer
                    return self._stamped(rows=rows)
                self.changed.wait(left_s)

    def _body(self, name):
        encoded, version = self.rows.get(name, (None, 0))
        if encoded is None:
            version = 0
        table, part, key = name
        return {
            'Table': table,
            'part': part,
            'Key': key,
            'Value': encoded or '',
            'Ver': version,
        }

    def _stamped(self, **answer):
        now_ms = int(time.monotonic() * 1000)
        return {**answer, 'Ver': self.version, 'NowMs': now_ms}


def _name(row):
    return row['Table'], row['part'], row['Key']


class Run:
    def __init__(self, executor, task, number, work_s):
        self.executor = executor
        self.task = task
        self.number = number
        self.began_s = time.monotonic()
        self.due_s = self.began_s + work_s
        self.stop_due_s = None
        self.ended_s = None
        self.how = ''


class Executor(_Model):
    """One life of an executor; a task's ``Spec`` is its work in ms."""

    def __init__(self, executor_id, service, store, record, cpu, mem_mb, labels):
        self.executor_id = executor_id
        self.service = service
        self.store = store
        self.record = record
        self.capacity = {'Cpu': cpu, 'MemMb': mem_mb, 'Gpu': 0}
        self.labels = labels
        self.changed = threading.Condition()
        self.born_ms = int(time.time() * 1000)
        self.born_s = time.monotonic()
        self.fence = 0
        self.lease_until_s = float('-inf')
        self.running = {}
        self.refused = {}
        self.ended = []
        self.acked_through = 0
        self.runs = []
        self.is_up = True
        # Cut off from all instances and from the store; it runs on.
        self.is_cut = False
        self.cut_from_store = True
        # Seconds after which an order is carried out that gets no answer.
        self.late_s = lambda path, body: None
        self._sequence = 0
        super().__init__()
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def crash(self):
        """End at once: all runs are gone, and nothing listens any more."""
        self.record.write('crash', executor=self.executor_id)
        with self.changed:
            self.is_up = False
            for run in self.running.values():
                run.how = 'crashed'
                run.ended_s = time.monotonic()
            self.running.clear()
        server = self._server
        threading.Thread(target=server.shutdown, daemon=True).start()
        server.socket.close()
        for channel in tuple(server.channels):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def crash_behind_cut(self):
        """End and start again at once, cut off, under the same id."""
        self.record.write('crash and restart behind the cut', executor=self.executor_id)
        with self.changed:
            for run in self.running.values():
                run.how = 'crashed'
                run.ended_s = time.monotonic()
            self._begin_life()

    def restart(self):
        """Start again at the same address, under the same id."""
        port = int(self.address.partition(':')[2])
        for _ in range(100):
            try:
                self._server = _Server(('127.0.0.1', port), _Handler)
                break
            except OSError:
                time.sleep(0.05)
        self._server.model = self
        self._begin_life()
        self.is_up = True
        self.record.write('restart', executor=self.executor_id)
        for target in (self._server.serve_forever, self._beat, self._tick):
            threading.Thread(target=target, daemon=True).start()

    def _begin_life(self):
        self.born_ms = int(time.time() * 1000)
        self.born_s = time.monotonic()
        self.fence = 0
        self.lease_until_s = float('-inf')
        self.running = {}
        self.refused = {}
        self.ended = []
        self.acked_through = 0
        self._sequence = 0

    def clock_ms(self):
        return int((time.monotonic() - self.born_s) * 1000)

    def answer(self, path, body, headers):
        if not self.is_up or self.is_cut:
            return None
        late_s = self.late_s(path, body)
        if late_s is not None:
            # No answer, and carried out seconds later, by whatever life.
            timer = threading.Timer(late_s, self._carry_out_late, (path, body))
            timer.daemon = True
            timer.start()
            return None
        answered = self._carry_out(path, body, headers)
        return None if self.is_cut else answered

    def _carry_out_late(self, path, body):
        answered = self._carry_out(path, body, {})
        self.record.write(
            'order carried out late',
            executor=self.executor_id,
            path=path,
            body=body,
            answer=answered,
        )

    def _carry_out(self, path, body, headers):
        expected = headers.get('X-Expect-Instance')
        if expected not in (None, self.executor_id):
            return 421, {'born': self.born_ms}
        if path == '/health':
            return 200, {}
        with self.changed:
            self._advance()
            if body['FencingToken'] < self.fence:
                return 409, self._stamped(Reason='fence')
            self.fence = body['FencingToken']
            if path == '/api/run-start':
                return self._start(body)
            if path == '/api/run-stop':
                return self._stop(body)
            if path == '/api/hold':
                return self._hold(body)
        return 404, {}

    def _extend(self, deadline_ms):
        until_s = self.born_s + deadline_ms / 1000
        until_s = min(until_s, time.monotonic() + MAX_HOLD_MS / 1000)
        self.lease_until_s = max(self.lease_until_s, until_s)

    def _start(self, body):
        task, number = body['Task'], body['Run']
        known = self.running.get(task)
        if known is not None and known.number == number:
            self._extend(body['DeadlineMs'])
            return 200, self._stamped()
        if number <= self.refused.get(task, 0):
            self._extend(body['DeadlineMs'])
            return 409, self._stamped(Reason='old')
        if body['DeadlineMs'] <= self.clock_ms():
            return 409, self._stamped(Reason='late')
        self._extend(body['DeadlineMs'])
        run = Run(self, task, number, float(body['Spec']) / 1000)
        self.running[task] = run
        self.runs.append(run)
        self.record.write(
            'run begins', executor=self.executor_id, task=task, run=number
        )
        self.changed.notify_all()
        return 200, self._stamped()

    def _stop(self, body):
        task, number = body['Task'], body['Run']
        self.refused[task] = max(self.refused.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number == number and run.stop_due_s is None:
            run.stop_due_s = time.monotonic() + STOP_S
        return 200, self._stamped()

    def _hold(self, body):
        if body.get('DeadlineMs'):
            self._extend(body['DeadlineMs'])
        self.acked_through = max(self.acked_through, body['AckedThrough'])
        ends_s = time.monotonic() + body.get('WaitMs', 0) / 1000
        while time.monotonic() < ends_s and not self._listed():
            self.changed.wait(min(0.2, max(0.001, ends_s - time.monotonic())))
            self._advance()
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                '',
                min(99, int(100 * (now - run.began_s) / max(0.001, run.due_s - run.began_s))),
                0,
            ]
            for run in self.running.values()
        ]
        return 200, self._stamped(Running=running, Ended=self._listed()[:500])

    def _listed(self):
        return [
            [number, run.task, run.number, run.how, '']
            for number, run in enumerate(self.ended, start=1)
            if number > self.acked_through
        ]

    def _advance(self):
        now = time.monotonic()
        for run in tuple(self.running.values()):
            if now > self.lease_until_s:
                self._end(run, 'lapsed')
            elif run.stop_due_s is not None and now >= run.stop_due_s:
                self._end(run, 'stopped')
            elif run.stop_due_s is None and now >= run.due_s:
                self._end(run, 'done')

    def _end(self, run, how):
        self.running.pop(run.task)
        self.refused[run.task] = max(self.refused.get(run.task, 0), run.number)
        run.how = how
        run.ended_s = time.monotonic()
        self.ended.append(run)
        self.record.write(
            'run ends',
            executor=self.executor_id,
            task=run.task,
            run=run.number,
            how=how,
        )
        self.changed.notify_all()

    def _tick(self):
        while self.is_up:
            time.sleep(0.02)
            with self.changed:
                self._advance()

    def _beat(self):
        while self.is_up:
            self._sequence += 1
            entry = {
                'Service': self.service,
                'Address': self.address,
                'Zone': 'zone-a',
                'Version': 'v1',
                'Slots': 8,
                'State': 'ready',
                'ColdRemainingMs': 0,
                'Capacity': self.capacity,
                'Labels': self.labels,
                'ClockMs': self.clock_ms(),
                'Sequence': self._sequence,
                'born': self.born_ms,
            }
            if not (self.is_cut and self.cut_from_store):
                self.store.put('servers', self.executor_id, entry)
            time.sleep(HEARTBEAT_S)

    def _stamped(self, **answer):
        return {**answer, 'ClockMs': self.clock_ms(), 'born': self.born_ms}


def free_port():
    """Return a free port outside the range of outgoing connections."""
    while True:
        port = random.randint(20000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port


def deploy_command():
    """Return the command and the variables of the role of the deploy file."""
    role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']['entry']
    words = role['run'].split()
    if words[0] == 'python3':
        words[0] = sys.executable
    return words, dict(role.get('env', {}))


class Entry:
    """One process of an entry instance."""

    def __init__(self, name, folder, store_address):
        self.name = name
        self._store_address = store_address
        self._settings = Path(folder, f'{name}.yaml')
        self._log = Path(folder, f'{name}.log')
        self.process = None
        self.choose_ports()

    def choose_ports(self):
        self.front, self.ready, self.peer, self.metrics = (
            free_port() for _ in range(4)
        )
        # The fields of deploy/settings.yaml.template, as on a small site.
        self._settings.write_text(
            f'instance_id: "{self.name}"\n'
            'data_centre: "zone-a"\n'
            f'callers_address: "127.0.0.1:{self.front}"\n'
            f'ready_address: "127.0.0.1:{self.ready}"\n'
            f'peer_address: "127.0.0.1:{self.peer}"\n'
            f'metrics_address: "127.0.0.1:{self.metrics}"\n'
            f'store_address: "{self._store_address}"\n'
            'advice_address: ""\n'
            'cpu_share: 0.537\n'
            'cores: 2\n'
            'link_mbps: 1000.0\n'
            'grace_s: 6\n'
            'revoke_ms: 5000\n'
            f'longest_lease_ms: {MAX_HOLD_MS}\n'
            'stop_ms: 900\n'
            'cell:\n'
            '  keep_final_s: 120\n'
        )

    def start(self):
        words, variables = deploy_command()
        environ = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environ.update(variables)
        environ['APRICOTLEAD_CONFIG'] = str(self._settings)
        environ['PYTHONPATH'] = str(ROOT / 'target/deps')
        environ['PYTHONDONTWRITEBYTECODE'] = '1'
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environ, stdout=log, stderr=log
            )

    def end(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(number)
        if self.process is not None:
            self.process.wait(15)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection('127.0.0.1', self.ready, timeout=1)
            connection.request('GET', '/api/ready')
            return connection.getresponse().status == 200
        except OSError:
            return False

    def log_lines(self):
        return self._log.read_text(errors='replace').splitlines()


class Cell:
    """A store, executors and entry instances, and a client of them."""

    def __init__(self, case_folder, config, entries=3):
        self.record = Record(case_folder)
        self.case_folder = Path(case_folder)
        self.folder = tempfile.mkdtemp(prefix='case-')
        self.store = Store(self.record)
        self.store.put('op', 'config', config)
        self.executors = []
        self.entries = [
            Entry(f'front-{number}', self.folder, self.store.address)
            for number in range(entries)
        ]

    def add_executors(self, count, service, cpu, mem_mb):
        for _ in range(count):
            number = len(self.executors)
            self.executors.append(
                Executor(
                    f'i-{0x7f3a91c200 + number:010x}',
                    service,
                    self.store,
                    self.record,
                    cpu,
                    mem_mb,
                    ['a', f'r1-{number // 8}'],
                )
            )

    def start(self):
        for entry in self.entries:
            entry.start()
        time.sleep(2)
        for entry in self.entries:
            # Another program may have taken one of its ports meanwhile.
            if entry.process.poll() is not None:
                self.record.write('did not start', entry=entry.name)
                entry.choose_ports()
                entry.start()
        self.wait(lambda: all(each.is_ready() for each in self.entries), 30)
        self.wait(lambda: self.scheduler() is not None, 10)
        # All executors have been held, so that work can be placed.
        self.wait(lambda: all(each.fence for each in self.executors), 15)
        self.record.write('ready', scheduler=self.scheduler().name)

    def scheduler(self):
        owner = self.store.value('owner', 'cell', 'scheduler')
        name = None if owner is None else owner['instance_id']
        return next((each for each in self.entries if each.name == name), None)

    def wait(self, condition, most_s):
        ends_s = time.monotonic() + most_s
        while not condition():
            if time.monotonic() > ends_s:
                raise CannotRun('the cell did not come up')
            time.sleep(0.05)

    def call(self, entry, method, path, key, body=None, wait_s=3.0):
        """Send a client's request; return the status, and the body or None."""
        text = None if body is None else json.dumps(body)
        at = round(self.record.now(), 3)
        status, content = 0, None
        connection = http.client.HTTPConnection(
            '127.0.0.1', entry.front, timeout=wait_s + 0.5
        )
        try:
            connection.request(
                method,
                path,
                text,
                {
                    'Host': 'nony24.example',
                    'Api-Key': key,
                    'X-Deadline-Ms': str(int(wait_s * 1000)),
                    'Content-Type': 'application/json',
                },
            )
            answer = connection.getresponse()
            status = answer.status
            content = json.loads(answer.read() or b'null')
        except (OSError, http.client.HTTPException, ValueError) as error:
            content = repr(error)
        finally:
            connection.close()
        self.record.write(
            'call', sent=at, at_entry=entry.name, method=method, path=path,
            body=None if text is None else text[:200], status=status, answer=content,
        )
        return status, content

    def runs(self, job_id=''):
        return [
            run
            for executor in self.executors
            for run in tuple(executor.runs)
            if run.task.startswith(job_id)
        ]

    def close(self):
        for executor in self.executors:
            executor.is_up = False
        for entry in self.entries:
            try:
                entry.end()
            except (OSError, subprocess.TimeoutExpired):
                pass
        if os.environ.get('KEEP'):
            for entry in self.entries:
                shutil.copy(entry._log, os.environ['KEEP'])
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


def config(routes, tenants, service='huvo11a'):
    """Return an op/config with the fields that the pages name."""
    return {
        'Version': 7,
        'Routes': routes,
        'Services': [
            {
                'Name': service,
                'HealthPath': '/health',
                'EnforcesCapacity': False,
                'Spare': False,
            }
        ],
        'Limits': {'MaxBodyBytes': 262144},
        'Tenants': tenants,
    }


def route(name, prefix, priority, stretch, target_ms, attempts=3, service='huvo11a'):
    return {
        'Name': name,
        'Host': 'nony24.example',
        'PathPrefix': prefix,
        'Kind': 'unsafe',
        'TimeoutMs': 3000,
        'TargetDurationMs': target_ms,
        'Priority': priority,
        'Service': service,
        'MaxAttempts': attempts,
        'Stretch': stretch,
        'Public': False,
    }


def tenant(name, key, weight):
    return {
        'Name': name,
        'ApiKeys': [key],
        'Priority': 1,
        'Weight': weight,
        'MaxCount': {'Cpu': 0, 'MemMb': 0, 'Gpu': 0},
    }


def main(case_folder, play):
    """Play a case; exit with 1 if the rule broke, 0 if it held, 2 if not run."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    if not (ROOT / 'target/deps/apricotlead').is_dir():
        sys.stderr.write('build the deploy file first\n')
        sys.exit(2)
    code = 2
    cells = []
    try:
        broken = play(trouble, cells)
        code = 1 if broken else 0
        for line in broken:
            print(line)
        if not broken:
            print('the rule held')
    except CannotRun as error:
        print(f'cannot run: {error}')
    finally:
        for cell in cells:
            cell.record.write('verdict', code=code)
            cell.close()
            cell.record.close()
    sys.stdout.flush()
    os._exit(code)
