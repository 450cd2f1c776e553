"""Fuzz test of sessions, journals and worker ownership with an oracle.

Three instances share one store. Each has its own clock, within the drift
bound of the others. Calls are delayed, and a call that exceeds the timeout of
the transport is answered as failed while it is still in flight.
"""

from heapq import heappop, heappush
from random import Random

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, rule

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.directory_keeper import (
    DirectoryKeeper,
    DirectorySettings,
)
from apricotlead.coordination.journal_writer import WriterSettings
from apricotlead.coordination.journals import JournalKeeper, JournalSettings
from apricotlead.coordination.scheduler import Scheduler
from apricotlead.coordination.sessions import SessionKeeper, SessionSettings
from apricotlead.coordination.store_settlement import StoreSettlement
from apricotlead.coordination.worker_ownership import (
    OwnershipSettings,
    WorkerOwnership,
)
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.jobs import JobAccepted, JobEnded, Submission
from apricotlead.protocol.rows import request_row_key
from apricotlead.protocol.signals import (
    AppendRecords,
    InstancesListed,
    JournalClosed,
    JournalOpened,
    RecordsCommitted,
    RecordsRejected,
    ScanRows,
    Shutdown,
    StoreReplied,
    Tick,
    Token,
    Transact,
    WorkerClaimed,
    WorkerDropped,
)
from apricotlead.protocol.table import StoreFailed
from apricotlead.state.cell_directory import CellDirectory
from apricotlead.state.session_view import SessionView
from tests.fakes import FakeStore

# Any two of these differ by less than the drift bound of 0.02.
RATES = (0.991, 1.0, 1.009)
STEP_S = 0.1
TIMEOUT_S = 1.0
WORKERS = tuple(
    Instance(f'w{number}', 'worker', '127.0.0.1:1', datacentre)
    for number, datacentre in enumerate(('a', 'a', 'a', 'b', 'b', 'c'))
)
RECOVERY_S = 60
MIN_UPTIME_S = 3
SUBMISSION = Submission('queue', ())
NODE_INDEXES = strategies.integers(0, len(RATES) - 1)


def accepted_ids(records):
    """Return the ids of the jobs that the records accept."""
    return [one.job_id for one in records if isinstance(one, JobAccepted)]


class Oracle:
    """The jobs that were committed and rejected, over all instances."""

    def __init__(self):
        self.request_keys_by_job = {}
        self.committed = set()
        self.rejected = set()
        self.existing_ids = set()

    def check_replay(self, journal_id, records):
        """Assert that each committed job is there once and no rejected one."""
        job_ids = accepted_ids(records)
        assert len(job_ids) == len(set(job_ids)), f'duplicated: {job_ids}'
        expected_ids = {
            job_id
            for job_id in self.committed
            if job_id.startswith(f'{journal_id}.')
        }
        assert expected_ids <= set(job_ids), expected_ids - set(job_ids)
        assert not self.rejected & set(job_ids), self.rejected & set(job_ids)


class Recorder(Component):
    """Records what one instance considers its own."""

    name = 'recorder'

    def __init__(self, oracle):
        self.oracle = oracle
        self.journal_ids = set()
        self.worker_ids = set()
        self.jobs_by_token = {}
        self.known_job_ids = set()

    @handles(JournalOpened, JournalClosed)
    def on_journal(self, signal, now):
        journal_id = signal.journal_id
        self.journal_ids.discard(journal_id)
        self.known_job_ids = {
            job_id
            for job_id in self.known_job_ids
            if not job_id.startswith(f'{journal_id}.')
        }
        if isinstance(signal, JournalOpened):
            self.oracle.check_replay(journal_id, signal.records)
            self.journal_ids.add(journal_id)
            self.known_job_ids.update(accepted_ids(signal.records))
        return ()

    @handles(WorkerClaimed, WorkerDropped)
    def on_worker(self, signal, now):
        if isinstance(signal, WorkerClaimed):
            self.worker_ids.add(signal.worker_id)
        else:
            self.worker_ids.discard(signal.worker_id)
        return ()

    @handles(RecordsCommitted, RecordsRejected)
    def on_records(self, signal, now):
        job_id = self.jobs_by_token.pop(signal.token)
        if isinstance(signal, RecordsRejected):
            self.oracle.rejected.add(job_id)
            self.oracle.existing_ids.add(signal.existing_job_id)
        else:
            self.oracle.committed.add(job_id)
            if signal.journal_id in self.journal_ids:
                self.known_job_ids.add(job_id)
        return ()


class Node:
    """One instance with its own clock; ``paused_until_s`` is global time."""

    def __init__(self, seed, index, oracle):
        self.rate = RATES[index]
        self.offset_s = 1000.0 * index
        self.paused_until_s = 0.0
        self.is_leaving = False
        self.started_s = 0.0
        self.recorder = Recorder(oracle)
        self.view = SessionView('', 'ab'[index % 2])
        self.job_count = 0
        rng = Random(seed)
        directory = CellDirectory()
        self.components = (
            SessionKeeper.from_config(
                SessionSettings(),
                self.view,
                rng,
                f'entry-{seed}',
                f'127.0.0.1:{seed}',
            ),
            JournalKeeper.from_config(
                JournalSettings(writer=WriterSettings(compact_after_records=6)),
                self.view,
                rng,
            ),
            WorkerOwnership.from_config(
                OwnershipSettings(workers_per_write=2),
                self.view,
                directory,
                rng,
            ),
        )
        self.scheduler = Scheduler(
            (
                *self.components,
                DirectoryKeeper.from_config(DirectorySettings(), directory),
                self.recorder,
            ),
            StoreSettlement(),
        )

    def now(self, true_s):
        return self.offset_s + self.rate * true_s

    def is_drained(self):
        """Tell whether a planned stop is complete."""
        _, journals, ownership = self.components
        return journals.is_drained() and ownership.is_drained()


class MembershipMachine(RuleBasedStateMachine):
    """Faults in any order; exclusive ownership is checked after each step."""

    def __init__(self):
        super().__init__()
        self.rng = Random(1)
        self.now_s = 0.0
        self.store = FakeStore()
        self.oracle = Oracle()
        self.longest_delay_s = 0.02
        self.events = []
        self.event_count = 0
        self.start_count = 0
        self.nodes = [self.start(index) for index in range(len(RATES))]
        self.run(3)

    @rule(seconds=strategies.floats(0.1, 6))
    def wait(self, seconds):
        """Let time pass."""
        self.run(seconds)

    @rule(
        index=NODE_INDEXES,
        request=strategies.sampled_from(('', '', 'r1', 'r2')),
        count=strategies.integers(1, 8),
    )
    def submit(self, index, request, count):
        """Append jobs, some ended at once, to an owned journal."""
        self.append_jobs(self.nodes[index], request, count)

    @rule(
        index=NODE_INDEXES, seconds=strategies.sampled_from((0.5, 3, 4.5, 20))
    )
    def pause(self, index, seconds):
        """Pause a process for a while; its clock continues."""
        self.nodes[index].paused_until_s = self.now_s + seconds

    @rule(index=NODE_INDEXES, seconds=strategies.sampled_from((7, 12)))
    def long_pause(self, index, seconds):
        """Pause a process with work in flight until peers have adopted it."""
        self.submit(index, '', 2)
        self.pause(index, seconds)
        self.run(seconds + 2)

    @rule(
        fault=strategies.sampled_from(('is_down', 'loses_answers')),
        seconds=strategies.sampled_from((0.5, 3, 9)),
    )
    def store_fault(self, fault, seconds):
        """Take the store down, or let its answers be lost, for a while."""
        setattr(self.store, fault, True)
        self.schedule(seconds, setattr, self.store, fault, False)

    @rule(seconds=strategies.sampled_from((0.02, 0.3, 3)))
    def slow_store(self, seconds):
        """Set the maximum delay of a call in flight."""
        self.longest_delay_s = seconds

    @rule(index=NODE_INDEXES)
    def crash(self, index):
        """Replace a process; calls in flight still arrive."""
        if self.is_established(self.nodes[index]):
            self.nodes[index] = self.start(index)

    @rule(count=strategies.integers(1, 6))
    def work(self, count):
        """Append to all journals while time passes."""
        for node in self.nodes:
            self.append_jobs(node, '', count)
        self.run(1)

    @rule(index=NODE_INDEXES)
    def shut_down(self, index):
        """Begin a planned stop."""
        node = self.nodes[index]
        if self.is_running(node) and self.is_established(node):
            node.is_leaving = True
            self.deliver(node, Shutdown())

    @rule()
    def replace_drained(self):
        """Replace the processes whose planned stop is complete."""
        for index, node in enumerate(self.nodes):
            if node.is_leaving and node.is_drained():
                self.nodes[index] = self.start(index)

    def teardown(self):
        """End all faults; then everything is owned once and nothing lost."""
        self.store.is_down = False
        self.store.loses_answers = False
        self.longest_delay_s = 0.02
        for index, node in enumerate(self.nodes):
            node.paused_until_s = 0.0
            if node.is_leaving:
                self.nodes[index] = self.start(index)
        self.run(RECOVERY_S)
        self.check_recovered()
        # Adopt and replay all journals once more.
        for replaced in range(len(self.nodes) - 1):
            self.nodes[replaced] = self.start(replaced)
        self.run(RECOVERY_S)
        self.check_recovered()

    def start(self, index):
        """Start a process and report the list of workers to it."""
        self.start_count += 1
        node = Node(self.start_count, index, self.oracle)
        node.started_s = self.now_s
        self.deliver(node, InstancesListed(WORKERS))
        return node

    def is_established(self, node):
        """Tell whether the process has run long enough to own something."""
        return (
            self.now_s - node.started_s > MIN_UPTIME_S and not node.is_leaving
        )

    def is_running(self, node):
        return node.paused_until_s <= self.now_s

    def append_jobs(self, node, request, count):
        """Append jobs unless the process is paused."""
        if self.is_running(node):
            for _ in range(count):
                self.append(node, request)

    def append(self, node, request):
        """Append one job to a journal of the node."""
        journal_ids = sorted(node.recorder.journal_ids)
        journal_id = self.rng.choice(journal_ids) if journal_ids else 'none'
        node.job_count += 1
        self.event_count += 1
        job_id = f'{journal_id}.{self.event_count}'
        records = [JobAccepted(job_id, 'team', SUBMISSION)]
        if not request:
            records.append(JobEnded(job_id, 'done'))
        token = Token('recorder', number=node.job_count)
        request_key = f'team/{request}' if request else ''
        self.oracle.request_keys_by_job[job_id] = request_key
        node.recorder.jobs_by_token[token] = job_id
        self.deliver(
            node,
            AppendRecords(
                token,
                journal_id,
                tuple(records),
                request_key,
                job_id,
            ),
        )

    def run(self, seconds):
        """Let time pass in small steps, and check after each."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            self.execute_due_events()
            for node in self.nodes:
                if self.is_running(node):
                    self.deliver(node, Tick())
            self.check_exclusive()

    def deliver(self, node, signal):
        now = node.now(self.now_s)
        for effect in node.scheduler.deliver(signal, now):
            self.send(node, effect)

    def send(self, node, effect):
        """Schedule a call, and its timeout if it would be late."""
        delay_s = self.rng.uniform(0, self.longest_delay_s)
        is_late = delay_s > TIMEOUT_S
        self.schedule(delay_s, self.arrive, node, effect, is_late)
        if is_late and isinstance(effect, (Transact, ScanRows)):
            lost = StoreReplied(effect.token, StoreFailed(applied=None))
            self.schedule(TIMEOUT_S, self.reply, node, lost)

    def arrive(self, node, effect, is_late):
        """Carry out a call; a late reply to a write or scan is ignored."""
        reply = self.store.carry_out(effect)
        if reply is None:
            return
        if is_late and isinstance(effect, (Transact, ScanRows)):
            return
        delay_s = self.rng.uniform(0, min(self.longest_delay_s, TIMEOUT_S))
        self.schedule(delay_s, self.reply, node, reply)

    def reply(self, node, reply):
        """Deliver a reply once the process runs, unless it was replaced."""
        if node not in self.nodes:
            return
        if self.is_running(node):
            self.deliver(node, reply)
        else:
            wait_s = node.paused_until_s - self.now_s
            self.schedule(wait_s, self.reply, node, reply)

    def schedule(self, delay_s, action, *arguments):
        self.event_count += 1
        event = (self.now_s + delay_s, self.event_count, action, arguments)
        heappush(self.events, event)

    def execute_due_events(self):
        while self.events and self.events[0][0] <= self.now_s:
            _, _, action, arguments = heappop(self.events)
            action(*arguments)

    def check_exclusive(self):
        """Assert that no two valid sessions own the same journal or worker."""
        owned = []
        for node in self.nodes:
            if node.view.is_valid(node.now(self.now_s)):
                owned.extend(node.recorder.journal_ids)
                owned.extend(node.recorder.worker_ids)
        assert len(owned) == len(set(owned)), sorted(owned)

    def check_recovered(self):
        """Check the state after recovery from all faults."""
        owned_ids = set()
        worker_ids = set()
        known_job_ids = set()
        for node in self.nodes:
            assert node.view.is_valid(node.now(self.now_s))
            assert not node.recorder.jobs_by_token
            owned_ids |= node.recorder.journal_ids
            worker_ids |= node.recorder.worker_ids
            known_job_ids |= node.recorder.known_job_ids
        assert self.oracle.committed <= known_job_ids
        assert worker_ids == {worker.instance_id for worker in WORKERS}
        stored_ids = {
            key.partition('/')[2] for key in self.store.keys('journal/')
        }
        assert owned_ids == stored_ids, stored_ids ^ owned_ids
        self.check_requests()

    def check_requests(self):
        """Assert that at most one job was accepted for each request key."""
        for request_key in ('team/r1', 'team/r2'):
            accepted = {
                job_id
                for job_id in self.oracle.committed
                if self.oracle.request_keys_by_job[job_id] == request_key
            }
            assert len(accepted) <= 1, accepted
            found = self.store.value(request_row_key(request_key))
            assert not accepted or accepted == {found}
        assert not self.oracle.existing_ids & self.oracle.rejected


TestMembershipFuzz = MembershipMachine.TestCase
