"""Stand-ins of the users' platform, and the start of entry instances.

All stand-ins run in the script's own process, on loopback and the real clock,
and do what PROTOCOL.md says. The entry instances are separate processes,
started with the command and the settings template of ``deploy/``.
"""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ENDS_PER_ANSWER = 500
MAX_HOLD_MS = 10000
STOP_S = 0.2
MAX_CHANNELS = 64
SERVICE = 'tally'
REASONS = {
    200: 'OK', 409: 'Conflict', 410: 'Gone', 412: 'Precondition Failed',
    421: 'Misdirected Request', 404: 'Not Found', 503: 'Service Unavailable',
}


class Record:
    """Writes record.txt; each line has the seconds since the start."""

    def __init__(self, folder):
        self._file = Path(folder, 'record.txt').open('w')
        self._began_s = time.monotonic()

    def now(self):
        return time.monotonic() - self._began_s

    def write(self, kind, **fields):
        texts = ' '.join(f'{key}={each}' for key, each in fields.items())
        self._file.write(f'{self.now():9.3f} {kind} {texts}\n')
        self._file.flush()


class HttpServer:
    """A small HTTP/1.1 server with kept connections."""

    def __init__(self):
        self.address = ''
        # Counts the lives of the machine: channels of an earlier one are dead.
        self._life = 0
        self._server = None
        self._writers = set()
        self._has_power = asyncio.Event()
        self._has_power.set()
        self._full = []
        # Further channels are reset.
        self.max_channels = MAX_CHANNELS
        self.refused_channels = 0

    async def listen(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, backlog=1000
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return port

    @property
    def channel_count(self):
        return len(self._writers)

    async def close(self):
        """Stop listening and reset all connections, as a crash does."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def lose_power(self):
        """Answer nothing more; channels and attempts to connect hang."""
        port = self._server.sockets[0].getsockname()[1]
        self._life += 1
        self._has_power.clear()
        self._server.close()
        # A full queue of new channels drops the opening packets.
        silent = socket.socket()
        silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        silent.bind(('127.0.0.1', port))
        silent.listen(0)
        self._full = [silent]
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(('127.0.0.1', port))
            self._full.append(filler)

    def regain_power(self):
        for each in self._full:
            each.close()
        self._full = []
        self._has_power.set()

    async def answer(self, method, path, query, headers, body):
        raise NotImplementedError

    async def _serve(self, reader, writer):
        if len(self._writers) >= self.max_channels:
            writer.transport.abort()
            self.refused_channels += 1
            return
        self._writers.add(writer)
        life = self._life
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if life != self._life:
                    # The machine that is back knows no such channel.
                    await self._has_power.wait()
                    writer.transport.abort()
                    break
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    name, _, text = line.partition(':')
                    headers[name.lower()] = text.strip()
                length = int(headers.get('content-length') or 0)
                body = await reader.readexactly(length) if length else b''
                parts = urlsplit(target)
                pairs = parse_qs(parts.query, keep_blank_values=True)
                query = {key: each[0] for key, each in pairs.items()}
                answer = await self.answer(
                    method, parts.path, query, headers, body
                )
                if life != self._life:
                    # The answer of a lost life never arrives.
                    continue
                if answer is None:
                    break
                status, content = answer
                encoded = json.dumps(content).encode()
                reason = REASONS.get(status, 'Answer')
                writer.write(
                    f'HTTP/1.1 {status} {reason}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(encoded)}\r\n\r\n'.encode()
                    + encoded
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's metadata store: rows, transactions and feeds."""

    def __init__(self, record):
        super().__init__()
        self.max_channels = 10000
        self.rows = {}
        self.version = 0
        self.is_down = False
        self._record = record
        self._changed = asyncio.Event()

    def put(self, table, key, value, part=''):
        """Write a row as the operator or an executor does."""
        self.version += 1
        encoded = b64encode(json.dumps(value).encode()).decode()
        self.rows[table, part, key] = (encoded, self.version)
        self._notify()

    def drop(self, table, key, part=''):
        if (table, part, key) in self.rows:
            self.version += 1
            self.rows[table, part, key] = (None, self.version)
            self._notify()

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return json.loads(b64decode(row[0])) if row and row[0] else None

    async def answer(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if self.is_down:
            return 503, {}
        if path == '/api/rows-tx':
            return self._transact(json.loads(body))
        if path == '/api/rows-get':
            return 200, self._get(query)
        if path == '/api/rows-feed':
            return await self._feed(query)
        return 404, {}

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _transact(self, body):
        names = [_name(each) for each in body['Expect']]
        for name, expected in zip(names, body['Expect'], strict=True):
            if self._body(name)['Ver'] != expected['Ver']:
                rows = [self._body(each) for each in names]
                return 412, self._stamp(rows=rows)
        self.version += 1
        for each in body['Writes']:
            self.rows[_name(each)] = (each['Value'], self.version)
        for each in body['Deletes']:
            if _name(each) in self.rows:
                self.rows[_name(each)] = (None, self.version)
        self._notify()
        return 200, self._stamp()

    def _get(self, query):
        first, last = query.get('From', ''), query.get('To')
        limit = min(500, int(query.get('Limit') or 500))
        names = sorted(
            name
            for name, (encoded, _) in self.rows.items()
            if name[:2] == (query['Table'], query['part'])
            and name[2] >= first
            and (last is None or name[2] < last)
            and encoded is not None
        )
        rows = [self._body(name) for name in names[:limit]]
        return self._stamp(rows=rows, HasMore=len(names) > limit)

    async def _feed(self, query):
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + min(30000, int(query['WaitMs'])) / 1000
        while True:
            if self.is_down:
                return 503, {}
            rows = [
                {**self._body(name), 'Ver': version, 'Deleted': code is None}
                for name, (code, version) in self.rows.items()
                if name[0] == query['Table'] and version > int(query['After'])
            ]
            left_s = ends_s - loop.time()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row['Ver'])
                return 200, self._stamp(rows=rows)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(left_s, 0.2))
            except TimeoutError:
                pass

    def _body(self, name):
        encoded, version = self.rows.get(name, (None, 0))
        table, part, key = name
        return {
            'Table': table, 'part': part, 'Key': key,
            'Value': encoded or '', 'Ver': version if encoded else 0,
        }

    def _stamp(self, **answer):
        return {
            **answer, 'Ver': self.version, 'NowMs': time.monotonic() * 1000,
        }


def _name(entry):
    return entry['Table'], entry['part'], entry['Key']


class Run:
    """One run of a task on one life of an executor."""

    def __init__(self, task, number, cpu, started_s, work_s):
        self.task = task
        self.number = number
        self.cpu = cpu
        self.started_s = started_s
        self.work_s = work_s
        self.ended_s = None
        self.how = ''
        self.end_number = 0
        self.noted = False
        self.timer = None


class Executor(HttpServer):
    """One machine's executor; :meth:`restart` begins another life."""

    def __init__(self, record, store, name, capacity, labels=('a', 'r1-1')):
        super().__init__()
        self.name = name
        self.capacity = dict(capacity)
        self.labels = list(labels)
        self.runs = []
        self.is_up = False
        self.most_used = 0
        self.over = []
        self._record = record
        self._store = store
        self._port = 0

    async def start(self, register_after_s=0.0):
        """Begin a life: it knows nothing of before."""
        self.born_ms = int(time.time() * 1000)
        self._clock_zero_s = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self._running = {}
        self._refused = {}
        self._ended = []
        self._acked = 0
        self._lease_timer = None
        self._end_event = asyncio.Event()
        self.is_up = True
        if not self._has_power.is_set():
            self.regain_power()
        self._port = await self.listen(self._port)
        if register_after_s:
            await asyncio.sleep(register_after_s)
        self.register()

    def register(self):
        self._store.put('servers', self.name, {
            'Service': SERVICE, 'Address': self.address, 'Zone': 'abdali',
            'Version': 'v1', 'Slots': 8, 'State': 'ready',
            'ColdRemainingMs': 0, 'Capacity': self.capacity,
            'Labels': self.labels, 'ClockMs': self._clock_ms(),
            'Sequence': 1, 'born': self.born_ms,
        })
        self._record.write(
            'registered', worker=self.name, born=self.born_ms,
            cpu=self.capacity['Cpu'],
        )

    async def crash(self, loses_power=False):
        """End this life at once; what runs here is gone."""
        self._record.write(
            'crash', worker=self.name, power_loss=int(loses_power)
        )
        self.is_up = False
        for run in tuple(self._running.values()):
            run.ended_s = time.monotonic()
            run.how = 'crashed'
            if run.timer:
                run.timer.cancel()
        self._running = {}
        if self._lease_timer:
            self._lease_timer.cancel()
        if loses_power:
            self.lose_power()
        else:
            await self.close()

    async def answer(self, method, path, query, headers, body):
        if headers.get('x-expect-instance', self.name) != self.name:
            return 421, {}
        call = json.loads(body)
        if call.get('FencingToken', 0) < self._token:
            return 409, self._stamp(Reason='fence')
        self._token = max(self._token, call.get('FencingToken', 0))
        if path == '/api/run-start':
            return self._start_run(call)
        if path == '/api/run-stop':
            return self._stop_run(call)
        if path == '/api/hold':
            return await self._hold(call)
        return 404, {}

    def used_cpu(self):
        return sum(run.cpu for run in self._running.values())

    def _clock_ms(self):
        return int((time.monotonic() - self._clock_zero_s) * 1000)

    def _stamp(self, **answer):
        return {**answer, 'ClockMs': self._clock_ms(), 'born': self.born_ms}

    def _extend(self, deadline_ms):
        if deadline_ms is None:
            return
        longest_ms = self._clock_ms() + MAX_HOLD_MS
        deadline_ms = min(deadline_ms, longest_ms)
        if deadline_ms > self._deadline_ms:
            self._deadline_ms = deadline_ms
            if self._lease_timer:
                self._lease_timer.cancel()
            self._lease_timer = asyncio.get_running_loop().call_later(
                (deadline_ms - self._clock_ms()) / 1000, self._lapse
            )

    def _lapse(self):
        self._lease_timer = None
        for run in tuple(self._running.values()):
            self._end(run, 'lapsed')
        for run in self._ended[self._acked:]:
            # An end that is not taken note of before the lease lapses.
            run.void = True

    def _start_run(self, call):
        task, number = call['Task'], call['Run']
        if (task, number) in self._running:
            return 200, self._stamp()
        if call['DeadlineMs'] < self._clock_ms():
            return 409, self._stamp(Reason='late')
        self._extend(call['DeadlineMs'])
        if number <= self._refused.get(task, 0):
            return 409, self._stamp(Reason='old')
        spec = json.loads(call['Spec'])
        run = Run(
            task, number, spec['cpu'], time.monotonic(), spec['work_s']
        )
        run.executor = self
        run.void = False
        self._running[task, number] = run
        self.runs.append(run)
        used = self.used_cpu()
        self._record.write(
            'start', worker=self.name, born=self.born_ms, task=task,
            run=number, used_cpu=used, cpu=self.capacity['Cpu'],
        )
        if used > self.capacity['Cpu']:
            self.over.append((self._record.now(), task, number, used))
        run.timer = asyncio.get_running_loop().call_later(
            spec['work_s'], self._end, run, 'done'
        )
        return 200, self._stamp()

    def _stop_run(self, call):
        task, number = call['Task'], call['Run']
        self._refused[task] = max(self._refused.get(task, 0), number)
        run = self._running.get((task, number))
        if run is not None and not run.how:
            run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(
                STOP_S / 2, self._end, run, 'stopped'
            )
        return 200, self._stamp()

    def _end(self, run, how):
        if self._running.pop((run.task, run.number), None) is None:
            return
        run.timer.cancel()
        run.how = how
        run.ended_s = time.monotonic()
        self._refused[run.task] = max(
            self._refused.get(run.task, 0), run.number
        )
        self._ended.append(run)
        run.end_number = len(self._ended)
        self._record.write(
            'end', worker=self.name, born=self.born_ms, n=run.end_number,
            task=run.task, run=run.number, how=how,
        )
        self._end_event.set()
        self._end_event = asyncio.Event()

    async def _hold(self, call):
        born_ms = self.born_ms
        self._extend(call.get('DeadlineMs'))
        acked = call['AckedThrough']
        for run in self._ended[:acked]:
            if not run.noted:
                run.noted = True
                self._record.write(
                    'noted', worker=self.name, born=born_ms,
                    n=run.end_number, task=run.task, run=run.number,
                    how=run.how, acked_through=acked,
                )
        self._acked = max(self._acked, min(acked, len(self._ended)))
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + call.get('WaitMs', 0) / 1000
        while len(self._ended) <= self._acked and loop.time() < ends_s:
            try:
                await asyncio.wait_for(
                    self._end_event.wait(), ends_s - loop.time()
                )
            except TimeoutError:
                break
        if not self.is_up or self.born_ms != born_ms:
            return None
        now = time.monotonic()
        running = [
            [
                run.task, run.number, '',
                min(99, int((now - run.started_s) / run.work_s * 100)),
                run.cpu,
            ]
            for run in self._running.values()
        ]
        ended = [
            [run.end_number, run.task, run.number, run.how, '']
            for run in self._ended[self._acked:][:ENDS_PER_ANSWER]
        ]
        return 200, self._stamp(Running=running, Ended=ended)


_next_port = 15000 + os.getpid() * 41 % 15000


def free_port():
    """Return a free port below those of outgoing channels, each only once."""
    global _next_port
    while True:
        _next_port = _next_port + 1 if _next_port < 31000 else 15000
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', _next_port))
            except OSError:
                continue
            return _next_port


class StorePath:
    """One machine's path to the store; it can be turned away."""

    def __init__(self, store):
        self._store = store
        self._is_cut = False
        self._writers = set()
        self.address = ''

    async def listen(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def turn_away(self):
        """Reset this machine's channels, and each new one."""
        self._is_cut = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def admit(self):
        self._is_cut = False

    async def _serve(self, reader, writer):
        if self._is_cut:
            writer.transport.abort()
            return
        host, port = self._store.address.split(':')
        far_reader, far_writer = await asyncio.open_connection(host, port)
        ends = {writer, far_writer}
        self._writers |= ends
        await asyncio.gather(
            _pump(reader, far_writer), _pump(far_reader, writer)
        )
        self._writers -= ends


async def _pump(reader, writer):
    try:
        while content := await reader.read(65536):
            writer.write(content)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


def render_settings(fields):
    """Fill in the settings template of the deploy file."""
    template = Path(ROOT, 'deploy', 'settings.yaml.template').read_text()

    def fill(match):
        name, _, form = match[1].partition('|')
        found = fields.get(name, '')
        return json.dumps(found) if form == 'json' else str(found)

    return re.sub(r'\{\{([^}]+)\}\}', fill, template)


class Instance:
    """One process of the program that deploy/system.toml runs."""

    def __init__(self, name, zone, folder, store_address, advice=''):
        self.name = name
        self.folder = folder
        ports = [free_port() for _ in range(4)]
        self.front = ports[0]
        self.ready = ports[1]
        self.log_path = Path(folder, f'{name}.log')
        fields = {
            'Node': name, 'Zone': zone, 'Ip': '127.0.0.1',
            'BindAddresses.Front': f'127.0.0.1:{ports[0]}',
            'BindAddresses.Ready': f'127.0.0.1:{ports[1]}',
            'InternalPortRange.0': ports[2],
            'platform.Address': store_address, 'Advice': advice,
            'Limits.CpuShare': 0.537, 'Limits.Cores': 2,
            'Bounds.GraceS': 6, 'Bounds.RevokeMs': 5000,
            'Bounds.MaxHoldMs': MAX_HOLD_MS, 'Bounds.StopMs': 200,
            'Bounds.status_s': 120,
        }
        # All instances share one address here, so each has its own port
        # for metrics.
        settings = render_settings(fields).replace(
            '127.0.0.1:9464', f'127.0.0.1:{ports[3]}'
        )
        self.settings = Path(folder, f'{name}.yaml')
        self.settings.write_text(settings)
        self.process = None

    async def start(self):
        deploy = tomllib.loads(
            Path(ROOT, 'deploy', 'system.toml').read_text()
        )
        role = deploy['roles']['entry']
        words = role['run'].split()
        words[0] = sys.executable
        environ = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(Path(ROOT, 'target', 'deps')),
            'APRICOTLEAD_CONFIG': str(self.settings),
            **role['env'],
        }
        log = self.log_path.open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environ, stdout=log, stderr=log,
        )
        log.close()

    async def is_ready(self):
        try:
            status, _ = await call(self.ready, 'GET', '/api/ready', {})
        except OSError:
            return False
        return status == 200

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


async def call(port, method, path, headers, body=None, wait_s=3.0):
    """Make one call over a channel of its own; return status and answer."""
    encoded = b'' if body is None else json.dumps(body).encode()
    async with asyncio.timeout(wait_s):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            lines = [f'{method} {path} HTTP/1.1', 'Connection: close']
            given = {'Host': 'a.example', **headers}
            given['Content-Length'] = len(encoded)
            lines.extend(f'{name}: {text}' for name, text in given.items())
            head = '\r\n'.join((*lines, '', '')).encode()
            writer.write(head + encoded)
            await writer.drain()
            answer = await reader.read()
        finally:
            writer.close()
    head, _, content = answer.partition(b'\r\n\r\n')
    if not head:
        raise ConnectionError('no answer')
    status = int(head.split(b' ', 2)[1])
    try:
        return status, json.loads(content or b'{}')
    except ValueError:
        return status, {}


class Cell:
    """The store, executors and instances of a small installation."""

    def __init__(self, folder, record):
        self.record = record
        self.store = Store(record)
        self.executors = []
        self.instances = []
        self.paths_by_name = {}
        self._folder = folder
        self._turn = 0

    async def start(self, executors, config, instance_count=3):
        """Start everything, and wait until a scheduler holds a term."""
        await self.store.listen()
        self.store.put('op', 'config', config)
        self.executors = executors
        for executor in executors:
            await executor.start()
        for number in range(instance_count):
            path = StorePath(self.store)
            await path.listen()
            instance = Instance(
                f'front-abdali-{number + 1}', 'abdali', self._folder,
                path.address,
            )
            self.instances.append(instance)
            self.paths_by_name[instance.name] = path
            await instance.start()
        await wait_until(self._is_ready, 25)
        await asyncio.sleep(3)

    async def end(self):
        for instance in self.instances:
            await instance.end()

    def owner(self):
        return self.store.value('owner', 'cell', 'scheduler')

    def scheduler(self):
        owner = self.owner() or {}
        for instance in self.instances:
            if instance.name == owner.get('instance_id'):
                return instance
        return None

    async def request(self, method, path, body=None, key='key-1', tries=4):
        """Make a client's call, again at other instances if it must."""
        for _ in range(tries):
            self._turn += 1
            instance = self.instances[self._turn % len(self.instances)]
            try:
                status, answer = await call(
                    instance.front, method, path,
                    {'Api-Key': key, 'X-Deadline-Ms': 3000}, body, 3.0,
                )
            except (OSError, TimeoutError) as error:
                self.record.write(
                    'call', at=instance.name, call=f'{method}:{path}',
                    failed=type(error).__name__,
                )
                continue
            self.record.write(
                'call', at=instance.name, call=f'{method}:{path}',
                status=status, answer=json.dumps(answer).replace(' ', ''),
            )
            if status in {200, 404, 410}:
                return status, answer
            await asyncio.sleep(0.5)
        return 0, {}

    async def _is_ready(self):
        states = [await each.is_ready() for each in self.instances]
        return all(states) and self.scheduler() is not None


async def wait_until(condition, seconds):
    ends_s = time.monotonic() + seconds
    while time.monotonic() < ends_s:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise TimeoutError('the cell did not get ready')


def config(max_cpu=0, attempts=3):
    """Return a config with one queue, one service and one tenant."""
    return {
        'Version': 7,
        'Routes': [{
            'Name': 'r-cpihhac', 'Host': 'a.example',
            'PathPrefix': '/lohu930/', 'Kind': 'unsafe', 'TimeoutMs': 3000,
            'TargetDurationMs': 60000, 'Priority': 1, 'Service': SERVICE,
            'MaxAttempts': attempts, 'Stretch': 4.0, 'Public': False,
        }],
        'Services': [{'Name': SERVICE, 'EnforcesCapacity': False}],
        'Tenants': [{
            'Name': 'sehu820', 'ApiKeys': ['key-1'], 'Weight': 1000,
            'MaxCount': {'Cpu': max_cpu, 'MemMb': 0, 'Gpu': 0},
        }],
    }


def broken_twice(executors):
    """Return what breaks TWICE: overlaps, and starts after a noted end."""
    by_task = {}
    for executor in executors:
        for run in executor.runs:
            by_task.setdefault(run.task, []).append(run)
    broken = []
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run.started_s)
        for index, run in enumerate(runs):
            for later in runs[index + 1:]:
                if run.ended_s is None or later.started_s < run.ended_s:
                    broken.append((task, run.number, later.number, 'overlap'))
                elif run.how == 'done' and run.noted and not run.void:
                    broken.append(
                        (task, run.number, later.number, 'after a noted done')
                    )
    return broken


def main(folder, play):
    """Run ``play(cell, trouble)``, which returns what breaks the rule."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    record.write('begin', trouble=int(trouble))

    async def run():
        with tempfile.TemporaryDirectory(prefix='review-') as scratch:
            cell = Cell(scratch, record)
            try:
                async with asyncio.timeout(112):
                    return await play(cell, trouble)
            finally:
                await cell.end()
                keep = os.environ.get('REVIEW_LOGS')
                if keep:
                    for log in Path(scratch).glob('*.log'):
                        Path(keep, log.name).write_bytes(log.read_bytes())

    try:
        broken = asyncio.run(run())
    except Exception as error:
        record.write('could not run', error=repr(error))
        print('could not run:', repr(error))
        raise SystemExit(2) from error
    for each in broken[:20]:
        record.write('broken', what=each)
        print('broken:', each)
    print(f'{len(broken)} breaks')
    raise SystemExit(1 if broken else 0)
