"""A simulated cell: store, reservation desks, workers and a faulty network.

It simulates everything around the job lifecycle, the dispatcher and the task
leases, and logs what the tests check. Time is simulated.
"""

from collections import Counter, defaultdict
from heapq import heappop, heappush
from types import SimpleNamespace

from apricotlead.coordination.component import (
    Component,
    handles,
    route_to_session,
)
from apricotlead.coordination.dispatcher import Dispatcher, DispatchSettings
from apricotlead.coordination.job_lifecycle import (
    JobLifecycle,
    JobLifecycleSettings,
)
from apricotlead.coordination.scheduler import Scheduler
from apricotlead.coordination.store_settlement import StoreSettlement
from apricotlead.coordination.task_leases import LeaseSettings, TaskLeases
from apricotlead.protocol.config import CellConfig, Preset
from apricotlead.protocol.jobs import JobAccepted, JobEnded
from apricotlead.protocol.peers import (
    CapacityGranted,
    CapacityRefused,
    Grant,
    ReleaseGrants,
    ReserveCapacity,
)
from apricotlead.protocol.signals import (
    Answer,
    AppendRecords,
    CallWorker,
    JournalClosed,
    JournalOpened,
    PeerReceived,
    RecordsCommitted,
    RecordsRejected,
    SendToPeer,
    Tick,
    WorkerReplied,
)
from apricotlead.protocol.workers import (
    Accepted,
    AttemptReport,
    CallFailed,
    LeasesReply,
    RenewLeases,
    StartTask,
    WorkerRefused,
)
from apricotlead.state.job_table import JobTable
from apricotlead.state.session_view import PeerSession, SessionView

TICK_S = 0.1
SESSION_TTL_S = 4
OUTAGE_S = 5
SLOTS = 4


class Limits(Component):
    """Counts units by team and journal; a count must never be negative."""

    name = 'allotments'

    def __init__(self):
        self.in_use = Counter()

    def try_take(self, team, journal_id, amount, now):
        self.in_use[team, journal_id] += amount
        return True

    def release_units(self, team, journal_id, amount, now):
        self.in_use[team, journal_id] -= amount
        assert self.in_use[team, journal_id] >= 0

    def restore(self, team, journal_id, in_use):
        self.in_use[team, journal_id] = in_use

    @handles(JournalClosed)
    def close(self, signal, now):
        for key in tuple(self.in_use):
            if key[1] == signal.journal_id:
                self.in_use.pop(key)
        return ()


class JournalAppender(Component):
    """Passes records to the store of the cell."""

    name = 'journals'

    def __init__(self, home):
        self.home = home

    @handles(AppendRecords)
    def append(self, signal, now):
        self.home.cell.append(self.home, signal)
        return ()


class Desk(Component):
    """Grants slots of the workers that its session owns.

    It does not detect duplicate requests, so an attempt can have two grants.
    """

    name = 'desk'

    def __init__(self, home):
        self.home = home

    @handles(ReserveCapacity)
    def reserve(self, signal, now):
        view = self.home.view
        grants, refused = [], []
        for demand in signal.demands:
            grant = self.grant(demand) if view.is_valid(now) else None
            if grant is None:
                refused.append(demand.attempt_id)
            else:
                grants.append(grant)
        answers = (
            CapacityGranted(signal.request_id, view.session_id, tuple(grants)),
            CapacityRefused(signal.request_id, view.session_id, tuple(refused)),
        )
        for answer in answers:
            yield from route_to_session(view, signal.home_session, answer)

    @handles(ReleaseGrants)
    def release(self, signal, now):
        for worker in self.home.cell.workers:
            for attempt_id in signal.attempt_ids:
                worker.grants.pop(attempt_id, None)
        return ()

    def grant(self, demand):
        for worker in self.home.cell.workers:
            if worker.owner is self.home and worker.has_free_slot():
                not_after_s = worker.clock() + 2
                worker.grants[demand.attempt_id] = not_after_s
                return Grant(
                    demand.attempt_id,
                    worker.worker_id,
                    worker.address,
                    worker.epoch,
                    worker.boot_id,
                    not_after_s,
                )
        return None


class Home:
    """An entry instance, which runs jobs; its clock drifts."""

    def __init__(self, cell, number):
        self.cell = cell
        self.number = number
        self.rate = cell.rng.uniform(0.991, 1.009)
        self.is_dead = False
        self.is_partitioned = False
        self.paused_until = 0
        self.inbox = []
        self.lease_end = 0
        self.view = SessionView('', 'dc')
        self.table = JobTable()
        self.limits = Limits()
        policy = SimpleNamespace(
            config=CellConfig(),
            preset=lambda: Preset('ordinary'),
        )
        shares = SimpleNamespace(share_of=lambda team, weight, now: 0)
        common = (self.table, self.view)
        self.dispatcher = Dispatcher(
            DispatchSettings(),
            *common,
            policy,
            shares,
            self.limits,
            cell.rng,
        )
        self.leases = TaskLeases(LeaseSettings(outage_s=OUTAGE_S), *common)
        self.lifecycle = JobLifecycle(JobLifecycleSettings(), *common)
        self.scheduler = Scheduler(
            (
                self.lifecycle,
                self.dispatcher,
                self.leases,
                self.limits,
                JournalAppender(self),
                Desk(self),
            ),
            StoreSettlement(),
        )
        self.open_session()
        cell.after(TICK_S, self.tick)

    def clock(self):
        return self.cell.now * self.rate

    def open_session(self):
        generation = len(self.cell.journals)
        session_id = f's{self.number}-{generation}'
        self.view.session_id = session_id
        self.cell.sessions[session_id] = self
        self.renew()
        self.cell.open_journal(self, f'j.{session_id}')

    def renew(self):
        self.lease_end = self.cell.now + SESSION_TTL_S
        self.view.lease_end_s = self.clock() + SESSION_TTL_S

    def deliver(self, signal):
        if self.is_dead:
            return
        if self.paused_until > self.cell.now:
            self.inbox.append(signal)
            return
        effects = self.scheduler.deliver(signal, self.clock())
        for effect in effects:
            self.cell.execute_effect(self, effect)

    def tick(self):
        if self.is_dead:
            return
        self.cell.after(TICK_S, self.tick)
        if self.paused_until > self.cell.now:
            return
        inbox = self.inbox
        self.inbox = []
        for signal in inbox:
            self.deliver(signal)
        if not self.is_partitioned and self.cell.store_is_up:
            self.sync_with_store()
        self.deliver(Tick())

    def sync_with_store(self):
        if self.cell.sessions.get(self.view.session_id) is self:
            self.renew()
            return
        for journal_id in self.table.journal_ids():
            self.deliver(JournalClosed(journal_id))
        self.open_session()


class Worker:
    """Runs tasks under leases; its clock starts at 0 with each boot.

    Each boot has its former address, a new one, or one that any worker had.
    """

    def __init__(self, cell, number):
        self.cell = cell
        self.worker_id = f'w{number}'
        self.address = ''
        self.owner = None
        self.epoch = 0
        self.boots = 0
        self.is_down = False
        self.restart()

    def restart(self):
        self.boots += 1
        self.address = self.cell.choose_address(self)
        self.boot_id = f'{self.worker_id}-{self.boots}'
        self.started_at = self.cell.now
        self.rate = self.cell.rng.uniform(0.991, 1.009)
        self.attempts = {}
        self.grants = {}
        self.polls = []
        self.journal_epochs = Counter()

    def clock(self):
        return (self.cell.now - self.started_at) * self.rate

    def has_free_slot(self):
        clock = self.clock()
        used = {one for one, end in self.grants.items() if end > clock}
        used.update(attempt.id for attempt in self.running())
        return not self.is_down and len(used) < SLOTS

    def running(self):
        """Expire leases; return the attempts that are still running."""
        for attempt in self.attempts.values():
            if attempt.state == 'running' and attempt.lease_end < self.clock():
                attempt.state = 'lapsed'
        return [one for one in self.attempts.values() if one.state == 'running']

    def handle_request(self, request, reply):
        """Handle a request; ``reply`` is called once, now or later."""
        self.running()
        if isinstance(request, StartTask):
            reply(self.start(request))
            return
        if request.journal_epoch < self.journal_epochs[request.journal_id]:
            reply(WorkerRefused('stale_epoch'))
            return
        self.journal_epochs[request.journal_id] = request.journal_epoch
        if isinstance(request, RenewLeases):
            self.renew(request, reply)
            return
        for attempt_id in request.attempt_ids:
            self.finish(attempt_id, self.boot_id, 'stopped')
        reply(Accepted(self.clock(), self.boot_id))

    def start(self, request):
        if request.attempt_id in self.attempts:
            return Accepted(self.clock(), self.boot_id)
        if request.boot_id != self.boot_id:
            return WorkerRefused('other_boot')
        if request.worker_epoch < self.epoch:
            return WorkerRefused('stale_epoch')
        if self.clock() > request.not_after_s:
            return WorkerRefused('expired')
        self.cell.check_start(request.attempt_id)
        self.attempts[request.attempt_id] = SimpleNamespace(
            id=request.attempt_id,
            state='running',
            lease_end=self.clock() + request.lease_s,
        )
        has_failed = self.cell.rng.random() < self.cell.failure_rate
        state = 'failed' if has_failed else 'succeeded'
        self.cell.after(
            request.task.run_s,
            self.finish,
            request.attempt_id,
            self.boot_id,
            state,
        )
        return Accepted(self.clock(), self.boot_id)

    def finish(self, attempt_id, boot_id, state):
        if boot_id != self.boot_id or self.is_down:
            return
        for attempt in self.running():
            if attempt.id == attempt_id:
                attempt.state = state
                self.cell.finishes[task_of(attempt_id), state] += 1
        polls = self.polls
        self.polls = []
        for request, reply, due in polls:
            self.answer_or_wait(request, reply, due)

    def renew(self, request, reply):
        for acknowledged in request.acknowledged_ids:
            self.attempts.pop(acknowledged, None)
        for attempt_id in request.attempt_ids:
            attempt = self.attempts.get(attempt_id)
            if attempt is not None:
                lease_end = self.clock() + request.lease_s
                if request.lease_until_s is not None:
                    lease_end = min(lease_end, request.lease_until_s)
                attempt.lease_end = max(attempt.lease_end, lease_end)
        due = self.cell.now + request.wait_s
        self.answer_or_wait(request, reply, due)
        self.cell.after(request.wait_s, self.finish, '', self.boot_id, '')

    def answer_or_wait(self, request, reply, due):
        reports = [
            AttemptReport(id_, self.attempts[id_].state)
            if id_ in self.attempts
            else AttemptReport(id_, 'unknown')
            for id_ in request.attempt_ids
        ]
        has_changed = any(report.state != 'running' for report in reports)
        if has_changed or due <= self.cell.now:
            changed = tuple(each for each in reports if each.state != 'running')
            reply(LeasesReply(self.clock(), self.boot_id, changed))
        else:
            self.polls.append((request, reply, due))


class Call:
    """A request to a worker, completed at most once.

    It can arrive after its sender has timed it out.
    """

    def __init__(self, cell, home, effect):
        self.cell = cell
        self.home = home
        self.effect = effect
        self.link = (home.number, effect.worker_id)
        self.is_open = True

    @property
    def worker(self):
        """Return the process that has the address now, if it is up."""
        for worker in self.cell.workers:
            if worker.address == self.effect.address and not worker.is_down:
                return worker
        return None

    def arrive(self):
        worker = self.worker
        if worker is not None:
            worker.handle_request(self.effect.request, self.answer)

    def answer(self, reply):
        if self.link in self.cell.answerless_links or self.cell.fault_occurs():
            return
        self.cell.after(self.cell.delay(), self.complete, reply)

    def complete(self, reply):
        if self.is_open:
            self.is_open = False
            effect = self.effect
            self.home.deliver(
                WorkerReplied(effect.token, effect.worker_id, reply),
            )


def task_of(attempt_id):
    """Return the task id, which is the job id and the task's index."""
    return attempt_id.rpartition('.')[0]


class Cell:
    """Homes, workers and the store, driven by events in time order."""

    failure_rate = 0.1

    def __init__(self, rng, homes=3, workers=4):
        self.rng = rng
        self.now = 0.0
        self.events = []
        self.event_count = 0
        self.fault_rate = 0.0
        self.store_is_up = True
        self.sessions = {}
        self.journals = {}
        self.request_keys = {}
        self.append_ends = defaultdict(float)
        self.cut_links = set()
        self.addresses = []
        self.workers = []
        # Links that deliver requests but drop their answers.
        self.answerless_links = set()
        self.answers = defaultdict(list)
        self.submissions = {}
        self.idempotent_by_job = {}
        self.cancelled_ids = set()
        self.ended_ids = set()
        self.starts = Counter()
        self.finishes = Counter()
        self.homes = [Home(self, number) for number in range(homes)]
        for number in range(workers):
            self.workers.append(Worker(self, number))
        for number, worker in enumerate(self.workers):
            worker.owner = self.homes[number % homes]
        self.adopt_expired()

    def after(self, delay, action, *args):
        self.event_count += 1
        event = (self.now + delay, self.event_count, action, args)
        heappush(self.events, event)

    def run(self, duration):
        end = self.now + duration
        while self.events and self.events[0][0] <= end:
            event = heappop(self.events)
            self.now = event[0]
            event[2](*event[3])
        self.now = end

    def fault_occurs(self, factor=1.0):
        """Return at random whether a fault happens now."""
        return self.rng.random() < self.fault_rate * factor

    def choose_address(self, booting):
        """Return an address that no running worker has."""
        taken = {
            worker.address
            for worker in self.workers
            if worker is not booting and not worker.is_down
        }
        free = [one for one in self.addresses if one not in taken]
        draw = self.rng.random()
        if booting.address in free and draw < 0.4:
            return booting.address
        if free and draw < 0.8:
            return self.rng.choice(free)
        self.addresses.append(f'10.0.0.{len(self.addresses)}:1')
        return self.addresses[-1]

    def alive(self):
        return [
            home
            for home in self.homes
            if not home.is_dead
            and not home.is_partitioned
            and home.paused_until <= self.now
        ]

    # The store.

    def open_journal(self, home, journal_id):
        session_id = home.view.session_id
        self.journals[journal_id] = SimpleNamespace(
            owner=session_id,
            epoch=1,
            records=[],
        )
        self.update_peers()
        home.deliver(JournalOpened(journal_id, 1))

    def append(self, home, signal):
        delay = self.rng.uniform(0.01, 1.5 if self.fault_occurs() else 0.05)
        end = max(self.now + delay, self.append_ends[signal.journal_id])
        self.append_ends[signal.journal_id] = end
        owner = home.view.session_id
        self.after(end - self.now, self.write, home, owner, signal)

    def write(self, home, session_id, signal):
        journal = self.journals[signal.journal_id]
        token = signal.token
        journal_id = signal.journal_id
        if journal.owner != session_id:
            home.deliver(JournalClosed(journal_id))
            return
        existing = self.request_keys.get(signal.request_key)
        is_refused = (
            home.is_partitioned
            or not self.store_is_up
            or self.fault_occurs(0.3)
        )
        if existing or is_refused:
            home.deliver(RecordsRejected(token, journal_id, existing or ''))
            return
        if signal.request_key:
            self.request_keys[signal.request_key] = signal.job_id
        journal.records.extend(signal.records)
        for record in signal.records:
            self.track_record(record)
        committed = RecordsCommitted(token, journal_id)
        # The home can crash between the commit and its answer.
        self.after(0.005, home.deliver, committed)

    def track_record(self, record):
        if isinstance(record, JobAccepted):
            is_idempotent = record.submission.idempotent
            self.idempotent_by_job[record.job_id] = is_idempotent
        elif isinstance(record, JobEnded):
            self.ended_ids.add(record.job_id)

    def adopt_expired(self):
        self.after(0.5, self.adopt_expired)
        for session_id, home in tuple(self.sessions.items()):
            live = self.sessions.values()
            adopters = [
                one for one in self.alive() if one is not home and one in live
            ]
            is_lapsed = home.lease_end * 1.02 + 0.1 < self.now
            if is_lapsed and adopters and self.store_is_up:
                self.adopt(session_id, home, self.rng.choice(adopters))

    def adopt(self, session_id, home, adopter):
        self.sessions.pop(session_id)
        self.update_peers()
        for journal_id, journal in self.journals.items():
            if journal.owner == session_id:
                journal.owner = adopter.view.session_id
                journal.epoch += 1
                records = tuple(journal.records)
                adopter.deliver(
                    JournalOpened(journal_id, journal.epoch, records),
                )
        for worker in self.workers:
            if worker.owner is home:
                worker.owner = adopter
                worker.epoch += 1

    def update_peers(self):
        for home in self.sessions.values():
            home.view.peers_by_id = {
                session_id: PeerSession(session_id, '127.0.0.1:2', 'dc')
                for session_id in self.sessions
                if session_id != home.view.session_id
            }

    # The network.

    def execute_effect(self, home, effect):
        if isinstance(effect, Answer):
            self.answers[effect.ticket].append(effect.outcome)
        elif isinstance(effect, SendToPeer):
            copies = 0 if self.fault_occurs() else 1 + self.fault_occurs()
            for _ in range(copies):
                self.after(self.delay(), self.deliver_to_peer, home, effect)
        elif isinstance(effect, CallWorker):
            self.call(home, effect)

    def delay(self):
        return self.rng.uniform(0.001, 3 if self.fault_occurs() else 0.02)

    def deliver_to_peer(self, home, effect):
        receiver = self.sessions.get(effect.session_id)
        if receiver is not None:
            sender = home.view.session_id
            receiver.deliver(PeerReceived(sender, effect.message))

    def call(self, home, effect):
        call = Call(self, home, effect)
        if call.worker is None or call.link in self.cut_links:
            was_sent = call.worker is not None and self.rng.random() < 0.5
            self.after(0.2, call.complete, CallFailed(was_sent))
            return
        if not self.fault_occurs():
            self.after(self.delay(), call.arrive)
        if self.fault_occurs(0.3):
            # The connection breaks; the request may still arrive.
            self.after(0.05, call.complete, CallFailed(sent=True))
        # Sometimes the transport never reports the outcome of a call.
        if not self.fault_occurs(0.1):
            failed = CallFailed(sent=True)
            self.after(effect.timeout_s, call.complete, failed)

    # The log.

    def check_start(self, attempt_id):
        task = task_of(attempt_id)
        self.starts[task] += 1
        for worker in self.workers:
            if worker.is_down:
                continue
            for attempt in worker.running():
                assert task_of(attempt.id) != task, f'{task} runs twice'
        job_id = task.rpartition('.')[0]
        assert job_id not in self.ended_ids, f'{task} starts after the end'
        if not self.idempotent_by_job[job_id]:
            assert self.starts[task] == 1, f'{task} started again'

    # Faults.

    def disturb_home(self, action):
        """Apply a fault to a random home; one home always stays healthy."""
        alive = self.alive()
        if action == 'heal':
            self.heal()
        elif len(alive) > 1:
            home = self.rng.choice(alive)
            home.is_dead = action == 'crash'
            home.is_partitioned = action in {'cut', 'isolate'}
            if action in {'pause', 'long pause'}:
                pause_s = 60 if action == 'long pause' else 2
                home.paused_until = self.now + pause_s
            if action == 'isolate':
                self.isolate_home(home)

    def isolate_home(self, home):
        """Cut the links between a home's workers and all other homes.

        The first worker stays reachable by all.
        """
        self.cut_links.update(
            (other.number, worker.worker_id)
            for worker in self.workers[1:]
            if worker.owner is home
            for other in self.homes
            if other is not home
        )

    def disturb_worker(self, action):
        """Apply a fault to a worker, or to its link to one home.

        The first worker is never affected.
        """
        worker = self.rng.choice(self.workers[1:])
        link = (self.rng.choice(self.homes).number, worker.worker_id)
        if action in {'restart', 'up'}:
            worker.is_down = False
            worker.restart()
        elif action == 'down':
            worker.is_down = True
        elif action == 'cut':
            self.cut_links.add(link)
        elif action == 'drop answers':
            self.answerless_links.add(link)
        else:
            self.cut_links.discard(link)
            self.answerless_links.discard(link)

    def heal(self):
        """Restore all links and resume all homes that have not crashed."""
        self.cut_links.clear()
        self.answerless_links.clear()
        for home in self.homes:
            home.is_partitioned = False
            home.paused_until = 0
