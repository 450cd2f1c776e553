"""Sessions, journals and worker ownership under faults, by an oracle.

Three instances share one store. Each has its own clock, within the drift
bound of the others. Calls are delayed, and a call that takes longer than the
transport waits is answered as failed while it is still on its way.
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
SETTLE_S = 60
MIN_LIFE_S = 3
SUBMISSION = Submission('queue', ())
NODES = strategies.integers(0, len(RATES) - 1)


def accepted_ids(records):
    """Return the ids of the jobs that the records accept."""
    return [one.job_id for one in records if isinstance(one, JobAccepted)]


class Oracle:
    """What was committed and refused, over all instances."""

    def __init__(self):
        self.request_keys_by_job = {}
        self.committed = set()
        self.rejected = set()
        self.existing_ids = set()

    def check_replay(self, journal_id, records):
        """Each committed record is there once, and no refused one is."""
        job_ids = accepted_ids(records)
        assert len(job_ids) == len(set(job_ids)), f'doubled: {job_ids}'
        of_journal = {
            job_id
            for job_id in self.committed
            if job_id.startswith(f'{journal_id}.')
        }
        assert of_journal <= set(job_ids), of_journal - set(job_ids)
        assert not self.rejected & set(job_ids), self.rejected & set(job_ids)


class Recorder(Component):
    """What one instance believes that it owns."""

    name = 'recorder'

    def __init__(self, oracle):
        self.oracle = oracle
        self.journal_ids = set()
        self.worker_ids = set()
        self.jobs_by_token = {}
        self.known_jobs = set()

    @handles(JournalOpened, JournalClosed)
    def on_journal(self, signal, now):
        journal_id = signal.journal_id
        self.journal_ids.discard(journal_id)
        self.known_jobs = {
            job_id
            for job_id in self.known_jobs
            if not job_id.startswith(f'{journal_id}.')
        }
        if isinstance(signal, JournalOpened):
            self.oracle.check_replay(journal_id, signal.records)
            self.journal_ids.add(journal_id)
            self.known_jobs.update(accepted_ids(signal.records))
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
                self.known_jobs.add(job_id)
        return ()


class Node:
    """One instance with its own clock; ``paused_until_s`` is true time."""

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
        self.parts = (
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
                *self.parts,
                DirectoryKeeper.from_config(DirectorySettings(), directory),
                self.recorder,
            ),
            StoreSettlement(),
        )

    def now(self, true_s):
        return self.offset_s + self.rate * true_s

    def is_drained(self):
        """Tell whether a planned stop is complete."""
        _, journals, ownership = self.parts
        return journals.is_drained() and ownership.is_drained()


class MembershipMachine(RuleBasedStateMachine):
    """Faults in any order; the oracle is asked after each small step."""

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
        index=NODES,
        request=strategies.sampled_from(('', '', 'r1', 'r2')),
        count=strategies.integers(1, 8),
    )
    def submit(self, index, request, count):
        """Append jobs, some ended at once, to a journal that is owned."""
        self.append_jobs(self.nodes[index], request, count)

    @rule(index=NODES, seconds=strategies.sampled_from((0.5, 3, 4.5, 20)))
    def pause(self, index, seconds):
        """Stop a process for a while; its clock runs on."""
        self.nodes[index].paused_until_s = self.now_s + seconds

    @rule(index=NODES, seconds=strategies.sampled_from((7, 12)))
    def oversleep(self, index, seconds):
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
        self.put_event(seconds, setattr, self.store, fault, False)

    @rule(seconds=strategies.sampled_from((0.02, 0.3, 3)))
    def slow_store(self, seconds):
        """Set the longest delay of a call on its way."""
        self.longest_delay_s = seconds

    @rule(index=NODES)
    def crash(self, index):
        """Replace a process; calls on their way still arrive."""
        if self.is_settled(self.nodes[index]):
            self.nodes[index] = self.start(index)

    @rule(count=strategies.integers(1, 6))
    def work(self, count):
        """Append to all journals while time passes."""
        for node in self.nodes:
            self.append_jobs(node, '', count)
        self.run(1)

    @rule(index=NODES)
    def shut_down(self, index):
        """Begin a planned stop."""
        node = self.nodes[index]
        if self.is_running(node) and self.is_settled(node):
            node.is_leaving = True
            self.deliver(node, Shutdown())

    @rule()
    def replace_drained(self):
        """Replace the processes whose planned stop is complete."""
        for index, node in enumerate(self.nodes):
            if node.is_leaving and node.is_drained():
                self.nodes[index] = self.start(index)

    def teardown(self):
        """End all faults: everything is owned once, nothing is lost."""
        self.store.is_down = False
        self.store.loses_answers = False
        self.longest_delay_s = 0.02
        for index, node in enumerate(self.nodes):
            node.paused_until_s = 0.0
            if node.is_leaving:
                self.nodes[index] = self.start(index)
        self.run(SETTLE_S)
        self.check_settled()
        # Adopt and replay all journals once more.
        for replaced in range(len(self.nodes) - 1):
            self.nodes[replaced] = self.start(replaced)
        self.run(SETTLE_S)
        self.check_settled()

    def start(self, index):
        """Start a process and list the workers to it."""
        self.start_count += 1
        node = Node(self.start_count, index, self.oracle)
        node.started_s = self.now_s
        self.deliver(node, InstancesListed(WORKERS))
        return node

    def is_settled(self, node):
        """Tell whether the process had time to get something to lose."""
        return self.now_s - node.started_s > MIN_LIFE_S and not node.is_leaving

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
            self.carry_out_due()
            for node in self.nodes:
                if self.is_running(node):
                    self.deliver(node, Tick())
            self.check_exclusive()

    def deliver(self, node, signal):
        now = node.now(self.now_s)
        for effect in node.scheduler.deliver(signal, now):
            self.send(node, effect)

    def send(self, node, effect):
        """Put a call on its way, and its time-out if it comes too late."""
        delay_s = self.rng.uniform(0, self.longest_delay_s)
        is_late = delay_s > TIMEOUT_S
        self.put_event(delay_s, self.arrive, node, effect, is_late)
        if is_late and isinstance(effect, (Transact, ScanRows)):
            lost = StoreReplied(effect.token, StoreFailed(applied=None))
            self.put_event(TIMEOUT_S, self.reply, node, lost)

    def arrive(self, node, effect, is_late):
        """Carry a call out; a late answer to a write or scan is not read."""
        reply = self.store.carry_out(effect)
        if reply is None:
            return
        if is_late and isinstance(effect, (Transact, ScanRows)):
            return
        delay_s = self.rng.uniform(0, min(self.longest_delay_s, TIMEOUT_S))
        self.put_event(delay_s, self.reply, node, reply)

    def reply(self, node, reply):
        """Hand an answer to the process once it runs; it may be gone."""
        if node not in self.nodes:
            return
        if self.is_running(node):
            self.deliver(node, reply)
        else:
            wait_s = node.paused_until_s - self.now_s
            self.put_event(wait_s, self.reply, node, reply)

    def put_event(self, delay_s, action, *arguments):
        self.event_count += 1
        event = (self.now_s + delay_s, self.event_count, action, arguments)
        heappush(self.events, event)

    def carry_out_due(self):
        while self.events and self.events[0][0] <= self.now_s:
            _, _, action, arguments = heappop(self.events)
            action(*arguments)

    def check_exclusive(self):
        """No journal and no worker is validly owned by two processes."""
        owned = []
        for node in self.nodes:
            if node.view.is_valid(node.now(self.now_s)):
                owned.extend(node.recorder.journal_ids)
                owned.extend(node.recorder.worker_ids)
        assert len(owned) == len(set(owned)), sorted(owned)

    def check_settled(self):
        """Check the state after all faults have ended."""
        owned_ids = set()
        worker_ids = set()
        known_jobs = set()
        for node in self.nodes:
            assert node.view.is_valid(node.now(self.now_s))
            assert not node.recorder.jobs_by_token
            owned_ids |= node.recorder.journal_ids
            worker_ids |= node.recorder.worker_ids
            known_jobs |= node.recorder.known_jobs
        assert self.oracle.committed <= known_jobs
        assert worker_ids == {worker.instance_id for worker in WORKERS}
        in_store = {
            key.partition('/')[2] for key in self.store.keys('journal/')
        }
        assert owned_ids == in_store, in_store ^ owned_ids
        self.check_requests()

    def check_requests(self):
        """At most one job was accepted for each request key."""
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
