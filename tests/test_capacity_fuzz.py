"""Fuzz test: under any faults no worker runs more than its capacity."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from apricotlead.protocol.peers import (
    CapacityGranted,
    CapacityRefused,
    ReleaseGrants,
    RelieveWorker,
)
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.signals import (
    CallWorker,
    SessionLost,
    Tick,
    WorkerClaimed,
    WorkerReplied,
)
from apricotlead.protocol.workers import AttemptTraits
from tests.capacity_rig import CapacityRig, messages_of
from tests.model_worker import ANSWER_LOST, ModelWorker

_LEASE_S = 4.0
_LAPSE_S = _LEASE_S * 1.02
_CAPACITY = Resources(4000, 4096, 2)
_CLOCK_RATES = (1.02,)
_CPU = st.sampled_from((500, 1500, 3000, 4000))
_TRAITS = AttemptTraits('team', preemptible=True)
_INDEX = st.integers(0, 1000)
_OWNER_INDEX = st.integers(0, 1)


class _Owner:
    """One of the two sessions that can own the workers."""

    def __init__(self, name, machine):
        self.rig = CapacityRig()
        self.rig.view.session_id = name
        self.rig.view.lease_end_s = float('-inf')
        self.machine = machine
        self.paused = False
        self.renewed_s = float('-inf')

    def deliver(self, signal):
        self.rig.now = self.machine.now
        effects = self.rig.deliver(signal)
        self.take(effects)

    def take(self, effects):
        for effect in effects:
            if isinstance(effect, CallWorker):
                self.machine.calls.append((self, effect))
        for message in messages_of(effects):
            self.machine.receive(self, message)


class CapacityMachine(RuleBasedStateMachine):
    """Two owners, one worker, one home; messages can be lost or delayed."""

    def __init__(self):
        """Start with the first owner owning the worker."""
        super().__init__()
        self.now = 100.0
        self.epoch = 0
        self.requests = 0
        self.calls = []
        self.replies = []
        self.starts = []
        self.stops = []
        self.unsent = {}
        self.demands_by_id = {}
        self.workers = {
            f'w{index}': ModelWorker(f'w{index}', _CAPACITY, rate)
            for index, rate in enumerate(_CLOCK_RATES)
        }
        self.owners = [_Owner('a', self), _Owner('b', self)]
        for owner in self.owners:
            for worker_id in self.workers:
                owner.rig.list_worker(worker_id, _CAPACITY)
        self.owner = None
        self.install(self.owners[0])
        self.answer_all()

    def install(self, owner):
        """Make ``owner`` the owner of all workers, with a new epoch."""
        self.owner = owner
        self.epoch += 1
        self.renew(self.owners.index(owner))
        for worker_id in self.workers:
            owner.deliver(WorkerClaimed(worker_id, self.epoch))

    def receive(self, owner, message):
        """Handle a message to the home."""
        if isinstance(message, CapacityGranted):
            for grant in message.grants:
                is_repeated = grant.attempt_id in self.unsent
                assert (
                    not is_repeated or self.unsent[grant.attempt_id][1] == grant
                )
                self.unsent[grant.attempt_id] = (owner, grant)
        elif isinstance(message, RelieveWorker):
            self.stops.append(message)
        else:
            assert isinstance(message, CapacityRefused)

    @rule(seconds=st.sampled_from((0.02, 0.1, 0.3, 1.0, 2.1, 5.0, 60.0)))
    def advance(self, seconds):
        """Let only time pass; owners that are not paused tick."""
        self.now += seconds
        for owner in self.owners:
            if not owner.paused:
                owner.deliver(Tick())

    @rule(
        right_owner=st.sampled_from((True, True, True, False)),
        cpu=_CPU,
        tasks=st.integers(1, 4),
        gang=st.booleans(),
        park_s=st.sampled_from((0, 0.3)),
        urgent=st.booleans(),
    )
    def ask(self, right_owner, cpu, tasks, gang, park_s, urgent):
        """Request capacity from the owner or from the other session."""
        owner_index = self.owners.index(self.owner)
        owner = self.owners[owner_index if right_owner else 1 - owner_index]
        if owner.paused:
            return
        self.requests += 1
        request_id = f'r{self.requests}'
        demand = Resources(cpu, cpu // 2)
        for task in range(tasks):
            self.demands_by_id[f'{request_id}.{task}.1-1'] = demand
        owner.rig.now = self.now
        for message in owner.rig.ask(
            request_id,
            cpu,
            cpu // 2,
            tasks=tasks,
            gang=gang,
            park_s=park_s,
            priority='urgent' if urgent else 'normal',
        ):
            self.receive(owner, message)

    @rule(seconds=st.sampled_from((0.02, 0.3, 1.0, 2.1)))
    def healthy_time(self, seconds):
        """Let time pass without faults between owner and worker."""
        self.now += seconds
        self.owner.paused = False
        self.renew(self.owners.index(self.owner))
        self.owner.deliver(Tick())
        self.answer_all()

    @rule(cpu=_CPU, tasks=st.integers(1, 4), after_s=st.sampled_from((0, 1)))
    def run_at_once(self, cpu, tasks, after_s):
        """Get grants and start the tasks without faults."""
        if after_s:
            self.healthy_time(after_s)
        else:
            self.renew(self.owners.index(self.owner))
        self.ask(True, cpu, tasks, False, 0, False)
        for attempt_id in sorted(self.unsent):
            self.starts.append(self.unsent.pop(attempt_id))
            self.start_arrives(-1, False)

    @precondition(lambda machine: machine.calls)
    @rule(
        index=_INDEX,
        delivery=st.sampled_from(('ok', 'ok', 'call_lost', 'reply_lost')),
    )
    def call_arrives(self, index, delivery):
        """Let a worker reply, or lose the call or its reply."""
        owner, call = self.calls.pop(index % len(self.calls))
        reply = ANSWER_LOST
        if delivery != 'call_lost':
            worker = self.workers[call.worker_id]
            answer = worker.heartbeat(call.request, self.now)
            reply = answer if delivery == 'ok' else ANSWER_LOST
        replied = WorkerReplied(call.token, call.worker_id, reply)
        self.replies.append((owner, replied))

    @precondition(lambda machine: machine.replies)
    @rule(index=_INDEX, duplicated=st.booleans())
    def reply_arrives(self, index, duplicated):
        """Deliver any reply in flight, in any order."""
        position = index % len(self.replies)
        owner, replied = self.replies[position]
        if owner.paused:
            return
        if not duplicated:
            self.replies.pop(position)
        owner.deliver(replied)

    @precondition(lambda machine: machine.unsent)
    @rule(index=_INDEX, abandons=st.sampled_from((False, False, True)))
    def home_uses_grant(self, index, abandons):
        """Send a start for a grant, or release the grant unused."""
        attempt_id = sorted(self.unsent)[index % len(self.unsent)]
        owner, grant = self.unsent.pop(attempt_id)
        if abandons:
            self.release(owner, attempt_id)
        else:
            self.starts.append((owner, grant))

    @precondition(lambda machine: machine.starts)
    @rule(index=_INDEX, duplicated=st.booleans())
    def start_arrives(self, index, duplicated):
        """Deliver a start, possibly late; a duplicate may stay in flight."""
        position = index % len(self.starts)
        owner, grant = self.starts[position]
        if not duplicated:
            self.starts.pop(position)
        worker = self.workers[grant.worker_id]
        demand = self.demands_by_id[grant.attempt_id]
        worker.traits_by_id[grant.attempt_id] = _TRAITS
        if not worker.start(grant, demand, self.now):
            self.release(owner, grant.attempt_id)

    @rule(cpu=_CPU, starts=st.booleans())
    def preempt(self, cpu, starts):
        """Fill the worker, request urgent work, maybe start it at once."""
        self.healthy_time(1.0)
        self.run_at_once(1000, 4, 0)
        self.healthy_time(1.0)
        self.ask(True, cpu, 1, False, 0.3, True)
        if starts:
            # The home repeats its request before any attempt can have ended.
            again = f'r{self.requests}'
            self.demands_by_id[f'{again}.0.1-2'] = Resources(cpu, cpu // 2)
            for message in self.owner.rig.ask(
                again,
                cpu,
                cpu // 2,
                at='2',
                priority='urgent',
            ):
                self.receive(self.owner, message)
            for attempt_id in sorted(self.unsent):
                self.starts.append(self.unsent.pop(attempt_id))
                self.start_arrives(-1, False)

    @precondition(lambda machine: machine.stops)
    @rule(index=_INDEX, reports=st.booleans())
    def home_stops(self, index, reports):
        """Stop an attempt as requested; report it at once or never."""
        stop = self.stops.pop(index % len(self.stops))
        worker = self.workers[stop.worker_id]
        if stop.attempt_id in worker.running:
            worker.end(stop.attempt_id)
        if reports:
            self.release(self.owner, stop.attempt_id)

    @rule(index=_INDEX)
    def attempt_ends(self, index):
        """Let an attempt end; its home releases the grant."""
        running = [
            (worker, attempt_id)
            for worker in self.workers.values()
            for attempt_id in worker.running
        ]
        if running:
            worker, attempt_id = running[index % len(running)]
            worker.end(attempt_id)
            self.release(self.owner, attempt_id)

    @rule(index=_INDEX)
    def former_home_releases(self, index):
        """Release a listed attempt that continues under a new home."""
        ledger = self.owner.rig.ledger
        listed = [
            attempt_id
            for worker in ledger.workers_by_id.values()
            for attempt_id in worker.charges_by_id
        ]
        if listed:
            self.release(self.owner, listed[index % len(listed)])

    @rule()
    def home_acknowledges(self):
        """Acknowledge ended attempts, which the workers then remove."""
        for worker in self.workers.values():
            worker.ended.clear()

    @rule(index=_OWNER_INDEX, paused=st.sampled_from((False, False, True)))
    def pause(self, index, paused):
        """Pause an owner or resume it."""
        self.owners[index].paused = paused

    @rule(index=_OWNER_INDEX)
    def renew(self, index):
        """Renew the owner's lease, or report the session lost."""
        owner = self.owners[index]
        if owner.paused:
            return
        if owner is self.owner:
            owner.renewed_s = self.now
            owner.rig.view.lease_end_s = self.now + _LEASE_S
        else:
            owner.rig.view.lease_end_s = float('-inf')
            owner.deliver(SessionLost(owner.rig.view.session_id))

    @rule()
    def peer_adopts(self):
        """Let the other session take over after the lease has lapsed."""
        other = self.owners[1 - self.owners.index(self.owner)]
        lapsed = self.now >= self.owner.renewed_s + _LAPSE_S
        if lapsed and not other.paused:
            self.install(other)

    @rule(index=_INDEX)
    def worker_reboots(self, index):
        """Reboot a worker, which loses its attempts and state."""
        worker_id = sorted(self.workers)[index % len(self.workers)]
        self.workers[worker_id].boot(self.now)

    def release(self, owner, attempt_id):
        """Release a grant unless its owner is paused."""
        if not owner.paused:
            owner.rig.now = self.now
            for message in owner.rig.send(ReleaseGrants((attempt_id,))):
                self.receive(owner, message)

    @invariant()
    def nothing_is_overcommitted(self):
        """No worker runs more than its capacity (invariant I1)."""
        for worker in self.workers.values():
            in_use = worker.in_use()
            assert in_use.fits_in(worker.capacity), worker.running

    @invariant()
    def totals_add_up(self):
        """The incremental totals equal a recomputed sum."""
        for owner in self.owners:
            ledger = owner.rig.ledger
            free = sum(
                (ledger.free_of(worker_id) for worker_id in self.workers),
                Resources(),
            )
            assert ledger.total_free() == free

    def teardown(self):
        """After all faults end, all capacity must become free again."""
        self.starts.clear()
        self.calls.clear()
        self.replies.clear()
        for worker in self.workers.values():
            for attempt_id in tuple(worker.running):
                worker.end(attempt_id)
        self.owner.paused = False
        for _ in range(8):
            self.now += 1
            self.renew(self.owners.index(self.owner))
            self.owner.deliver(Tick())
            self.answer_all()
        for worker_id in self.workers:
            free = self.owner.rig.ledger.free_of(worker_id)
            assert free == _CAPACITY, free

    def answer_all(self):
        """Reply to all calls in order, without faults."""
        while self.calls:
            owner, call = self.calls.pop(0)
            worker = self.workers[call.worker_id]
            reply = worker.heartbeat(call.request, self.now)
            owner.deliver(WorkerReplied(call.token, call.worker_id, reply))


TestCapacityFuzz = CapacityMachine.TestCase
# Combinations of faults occur only in long runs, so this test uses more
# examples and steps than the profile.
TestCapacityFuzz.settings = settings(
    max_examples=3 * settings.default.max_examples,
    stateful_step_count=80,
)
