"""Reference model of a worker, used as a test oracle.

It implements the behaviour that the design page specifies, and no more.
"""

from apricotlead.protocol.resources import Resources
from apricotlead.protocol.workers import (
    AttemptReport,
    CallFailed,
    HeartbeatReply,
    WorkerRefused,
)


class ModelWorker:
    """Runs attempts whether they fit or not.

    ``clock_rate`` is seconds of the worker's clock per real second.
    """

    def __init__(self, worker_id, capacity, clock_rate):
        """Create an idle worker in its first boot."""
        self.worker_id = worker_id
        self.capacity = capacity
        self.clock_rate = clock_rate
        self.boot_count = 0
        self.boot(0)

    def boot(self, now):
        """Reboot: lose all attempts and the epoch, and reset the clock."""
        self.boot_count += 1
        self.booted_s = now
        self.epoch = 0
        self.running = {}
        self.ended = {}
        self.started_ids = set()
        self.listing = ()
        self.version = 1
        self.traits_by_id = {}

    @property
    def boot_id(self):
        """Return the id of the current boot."""
        return f'boot-{self.boot_count}'

    def clock_s(self, now):
        """Return the time on the worker's own clock."""
        return (now - self.booted_s) * self.clock_rate

    def start(self, grant, demand, now):
        """Start the attempt if its epoch, boot and expiry are valid."""
        fenced = grant.worker_epoch < self.epoch
        expired = self.clock_s(now) > grant.not_after_s
        if fenced or expired or grant.boot_id != self.boot_id:
            return False
        if grant.attempt_id not in self.started_ids:
            self.started_ids.add(grant.attempt_id)
            self.running[grant.attempt_id] = demand
        return True

    def end(self, attempt_id):
        """End a running attempt successfully."""
        self.ended[attempt_id] = self.running.pop(attempt_id)

    def heartbeat(self, request, now):
        """Return the current state, or refuse another id or older epoch."""
        if request.worker_id != self.worker_id:
            return WorkerRefused('other_worker', self.epoch)
        if request.epoch < self.epoch:
            return WorkerRefused('stale_epoch', self.epoch)
        self.epoch = request.epoch
        listed = {'running': self.running, 'succeeded': self.ended}
        listing = tuple(
            AttemptReport(
                attempt_id,
                state,
                demand=demand,
                traits=self.traits_by_id.get(attempt_id),
            )
            for state, demands in listed.items()
            for attempt_id, demand in demands.items()
        )
        if listing != self.listing:
            self.listing = listing
            self.version += 1
        known = (request.known_boot_id, request.known_version)
        return HeartbeatReply(
            self.clock_s(now),
            self.boot_id,
            self.capacity,
            None if known == (self.boot_id, self.version) else listing,
            self.version,
        )

    def in_use(self):
        """Return the total demand of the running attempts."""
        return sum(self.running.values(), Resources())


ANSWER_LOST = CallFailed(sent=True)
