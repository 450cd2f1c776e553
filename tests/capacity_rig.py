"""Test rig: ledger, monitor and desk with fakes and a controlled clock."""

from random import Random

from apricotlead.coordination.outlier_ejection import (
    EjectionSettings,
    OutlierEjection,
)
from apricotlead.coordination.quarantine import Quarantine
from apricotlead.coordination.reservations import (
    ReservationDesk,
    ReservationSettings,
)
from apricotlead.coordination.scheduler import Scheduler
from apricotlead.coordination.store_settlement import StoreSettlement
from apricotlead.coordination.worker_monitor import (
    MonitorSettings,
    WorkerMonitor,
)
from apricotlead.protocol.config import CellConfig, Preset
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.peers import (
    ReleaseGrants,
    ReserveCapacity,
    TaskDemand,
)
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    CallWorker,
    LogEvent,
    PeerReceived,
    Tick,
    WorkerClaimed,
    WorkerReplied,
)
from apricotlead.protocol.workers import (
    AttemptReport,
    Heartbeat,
    HeartbeatReply,
)
from apricotlead.state.capacity_ledger import CapacityLedger
from apricotlead.state.session_view import PeerSession, SessionView

HOME = 'home'


class FakePolicies:
    """A policy source with one preset and no teams."""

    def __init__(self):
        """Start with the ordinary preset."""
        self.config = CellConfig()
        self.in_force = Preset('ordinary')

    def preset(self):
        """Return the preset in force."""
        return self.in_force


class FakeUsage:
    """A usage table with fixed shares."""

    def __init__(self):
        """Start with nothing used."""
        self.shares_by_team = {}

    def share_of(self, team, weight, now):
        """Return the team's share divided by its weight."""
        return self.shares_by_team.get(team, 0) / weight

    def active_teams(self, now):
        """Return the teams with a share."""
        return tuple(self.shares_by_team)


class FakeDirectory:
    """A directory of workers."""

    def __init__(self):
        """Start empty."""
        self.workers_by_id = {}


class CapacityRig:
    """One owner session with one peer, the home of all requests."""

    def __init__(self, monitor=None, desk=None, ejection=None):
        """Build the components, with a lease that does not expire."""
        self.start_s = 100.0
        self.now = self.start_s
        self.released_ids = set()
        self.traits_by_id = {}
        self.log_events = []
        self.view = SessionView('owner', 'here')
        self.view.lease_end_s = 1e6
        self.view.peers_by_id[HOME] = PeerSession(HOME, '127.0.0.1:1', 'here')
        self.directory = FakeDirectory()
        self.ledger = CapacityLedger()
        self.policies = FakePolicies()
        self.usage = FakeUsage()
        self.ejection = OutlierEjection(
            ejection or EjectionSettings(),
            lambda: len(self.ledger.workers_by_id),
        )
        self.quarantine = Quarantine(self.ejection, self.ledger)
        self.monitor = WorkerMonitor(
            monitor or MonitorSettings(),
            self.view,
            self.directory,
            self.ledger,
            self.quarantine,
            Random(7),
        )
        self.desk = ReservationDesk(
            desk or ReservationSettings(),
            self.view,
            self.ledger,
            self.quarantine,
            self.policies,
            self.usage,
        )
        self.scheduler = Scheduler(
            (self.monitor, self.desk),
            StoreSettlement(),
        )

    def deliver(self, signal):
        """Deliver one signal at the current time."""
        effects = self.scheduler.deliver(signal, self.now)
        self.log_events.extend(
            one for one in effects if isinstance(one, LogEvent)
        )
        return effects

    def tick(self, seconds=0):
        """Let time pass and deliver one tick."""
        self.now += seconds
        return self.deliver(Tick())

    def pass_time(self, seconds):
        """Let time pass; workers report all granted attempts as running."""
        effects = self.tick(seconds)
        produced = []
        for call in effects:
            if isinstance(call, CallWorker):
                reply = self._running_reply(call.worker_id)
                produced.extend(self.answer([call], reply))
        return messages_of([*effects, *produced])

    def _running_reply(self, worker_id):
        worker = self.ledger.workers_by_id[worker_id]
        demands = {
            attempt_id: grant.demand
            for attempt_id, grant in worker.grants_by_id.items()
        } | worker.charges_by_id
        reports = tuple(
            AttemptReport(
                attempt_id,
                'running',
                demand=demand,
                traits=self.traits_by_id.get(attempt_id),
            )
            for attempt_id, demand in demands.items()
            if attempt_id not in self.released_ids
        )
        clock_s = self.now - self.start_s
        return HeartbeatReply(clock_s, 'boot', worker.capacity, reports)

    def own_worker(self, worker_id, cpu=16000, memory=32000, accelerators=0):
        """Claim a worker and reply to its first heartbeat."""
        capacity = Resources(cpu, memory, accelerators)
        self.list_worker(worker_id, capacity)
        effects = self.deliver(WorkerClaimed(worker_id, 1))
        return self.answer(effects, HeartbeatReply(0, 'boot', capacity))

    def list_worker(self, worker_id, capacity):
        """Add a worker to the directory."""
        self.directory.workers_by_id[worker_id] = Instance(
            worker_id,
            'worker',
            '127.0.0.1:2',
            'here',
            capacity=capacity,
        )

    def answer(self, effects, reply):
        """Reply to the heartbeats among the effects."""
        produced = []
        for call in effects:
            if isinstance(call, CallWorker):
                if isinstance(call.request, Heartbeat):
                    answer = WorkerReplied(call.token, call.worker_id, reply)
                    produced.extend(self.deliver(answer))
        return produced

    def ask(self, request_id, cpu=1000, memory=0, tasks=1, **options):
        """Send a capacity request; return the messages to the home.

        ``at`` is the number of a further attempt of the job.
        """
        attempt = options.pop('at', '1')
        demands = tuple(
            TaskDemand(
                f'{request_id}.{task}.1-{attempt}',
                Resources(cpu, memory, options.get('accelerators', 0)),
            )
            for task in range(tasks)
        )
        options.pop('accelerators', None)
        message = ReserveCapacity(
            request_id if attempt == '1' else f'{request_id}/{attempt}',
            options.pop('home', HOME),
            options.pop('team', 'team'),
            options.pop('priority', 'normal'),
            demands,
            **options,
        )
        return self.send(message)

    def send(self, message):
        """Deliver a message from the home; return the messages to it."""
        if isinstance(message, ReleaseGrants):
            self.released_ids.update(message.attempt_ids)
        effects = self.deliver(PeerReceived(HOME, message))
        return messages_of(effects)


def messages_of(effects):
    """Return the peer messages among effects."""
    return [sent.message for sent in effects if hasattr(sent, 'session_id')]
