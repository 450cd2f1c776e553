"""A scheduler with a fake store and workers, run without sockets."""

from heapq import heappop, heappush
from random import Random
from time import process_time

from apricotlead import Resources, Settings, Tick, assemble
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.signals import (
    Answer,
    CallWorker,
    InstancesListed,
    WorkerReplied,
)
from apricotlead.transport.http_pool import Answered, NoAnswer
from apricotlead.transport.worker_client import WorkerClient
from apricotlead_standins.faults import FaultInjector
from apricotlead_standins.http_messages import NoResponse, Parked, Request
from apricotlead_standins.worker import Worker, WorkerSettings
from apricotlead_standins.worker_messages import Resources as StandInResources
from tests.fakes import FakeStore

SETTINGS = {
    'instance_id': 'entry-1',
    'datacentre': 'marka',
    'http_address': '127.0.0.1:0',
    'peer_address': '127.0.0.1:0',
    'platform_address': '127.0.0.1:9000',
    'operator_key_digest': '0' * 64,
}
TICK_S = 0.02
MAX_TICKS = 1500
# Assumed size of request or status line and headers, per direction.
HTTP_HEADER_BYTES = 180


class _RecordingPool:
    """Replaces ``HttpPool``: records the call, returns a fixed answer."""

    def __init__(self, answer=None):
        """Create a pool that returns ``answer`` for each call."""
        self.answer = answer or NoAnswer('recorded only')
        self.request = None

    def call(self, request):
        """Record the request and return the fixed answer."""
        self.request = request
        return self.answer


class EmbeddedCell:
    """A scheduler whose effects are executed immediately.

    ``cpu_s`` is the CPU time of the scheduler alone. ``bytes_by_type`` counts
    the bytes of worker calls in both directions, headers included.
    """

    def __init__(self, seed, workers=1, capacity=(4000, 8192, 0)):
        """Create the cell with an empty table and idle workers."""
        self.now = 100.0
        self.store = FakeStore()
        self.answers_by_ticket = {}
        self.effects = []
        self.records_effects = True
        self.counts_by_type = {}
        self.bytes_by_type = {}
        self.cpu_s = 0.0
        self._parked = []
        self._parked_count = 0
        self._injectors_by_address = {}
        self.instances = tuple(
            self._add_worker(f'worker-{number}', capacity)
            for number in range(workers)
        )
        settings = Settings.from_builtins(SETTINGS)
        self.parts = assemble(settings, Random(seed), '127.0.0.1:1')

    def start(self):
        """Run until the session is open and the workers are claimed."""
        for _ in range(100):
            self.deliver(InstancesListed(self.instances))
            self.pass_time(0.02)

    def deliver(self, signal):
        """Deliver a signal and, in turn, the replies to all its effects."""
        queue = [signal]
        while queue:
            start_s = process_time()
            effects = self.parts.scheduler.deliver(queue.pop(0), self.now)
            self.cpu_s += process_time() - start_s
            for effect in effects:
                self._record_effect(effect)
                queue.extend(self._carry_out(effect))

    def pass_time(self, seconds):
        """Deliver ticks, and the workers' pending answers when due."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            while self._parked and self._parked[0][0] <= self.now:
                _, _, effect, parked = heappop(self._parked)
                self._deliver_all(
                    self._complete_call(effect, parked.resume(self.now))
                )
            self.deliver(Tick())

    def run_until(self, condition):
        """Tick until the condition holds, at most ``MAX_TICKS`` times."""
        for _ in range(MAX_TICKS):
            if condition():
                return
            self.pass_time(TICK_S)
        raise AssertionError('the condition was not met in time')

    def ask(self, ticket, make_signal):
        """Deliver a client's request and return its outcome."""
        self.deliver(make_signal(ticket))
        self.run_until(lambda: ticket in self.answers_by_ticket)
        return self.answers_by_ticket[ticket]

    def _add_worker(self, worker_id, capacity):
        settings = WorkerSettings(worker_id, StandInResources(*capacity))
        worker = Worker(settings, f'boot-{worker_id}', self.now)
        address = f'{worker_id}:1'
        self._injectors_by_address[address] = FaultInjector(worker, Random(1))
        return Instance(
            worker_id,
            'worker',
            address,
            SETTINGS['datacentre'],
            capacity=Resources(*capacity),
        )

    def _deliver_all(self, signals):
        for signal in signals:
            self.deliver(signal)

    def _record_effect(self, effect):
        kind = type(effect).__name__
        if isinstance(effect, CallWorker):
            kind = type(effect.request).__name__
        self.counts_by_type[kind] = self.counts_by_type.get(kind, 0) + 1
        if self.records_effects:
            self.effects.append(effect)

    def _carry_out(self, effect):
        if isinstance(effect, Answer):
            self.answers_by_ticket[effect.ticket] = effect.outcome
        if isinstance(effect, CallWorker):
            return self._call_worker(effect)
        reply = self.store.carry_out(effect)
        return [] if reply is None else [reply]

    def _call_worker(self, effect):
        pool = _RecordingPool()
        WorkerClient(pool).call(effect.address, effect.request)
        request = pool.request
        self._count_bytes(effect, request.body)
        answer = self._injectors_by_address[effect.address].handle(
            Request(request.method, request.path, request.body, {}),
            self.now,
        )
        return self._complete_call(effect, answer)

    def _complete_call(self, effect, answer):
        if isinstance(answer, Parked):
            # Resumed at each tick, since the real server resumes parked
            # requests whenever an attempt ends.
            self._parked_count += 1
            due_s = min(answer.due_s, self.now + TICK_S)
            heappush(self._parked, (due_s, self._parked_count, effect, answer))
            return []
        pool = _RecordingPool(_answered(answer))
        reply = WorkerClient(pool).call(effect.address, effect.request)
        self._count_bytes(effect, getattr(answer, 'body', b''))
        return [WorkerReplied(effect.token, effect.worker_id, reply)]

    def _count_bytes(self, effect, body):
        kind = type(effect.request).__name__
        size = len(body) + HTTP_HEADER_BYTES
        self.bytes_by_type[kind] = self.bytes_by_type.get(kind, 0) + size


def _answered(answer):
    if isinstance(answer, NoResponse):
        return NoAnswer('closed')
    headers = {name.lower(): text for name, text in answer.headers.items()}
    return Answered(answer.status, answer.body, headers)
