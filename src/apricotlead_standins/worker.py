"""A simulated worker: runs attempts under leases and fencing epochs."""

from collections.abc import Callable
from typing import Any

from msgspec import Struct
from msgspec.json import Decoder

from apricotlead_standins.attempts import RUNNING, Attempt
from apricotlead_standins.faults import Faults, unknown_route
from apricotlead_standins.http_messages import (
    CONFLICT,
    NoResponse,
    Parked,
    Request,
    Response,
    Result,
    decode_body,
    json_response,
)
from apricotlead_standins.run_log import RunLog
from apricotlead_standins.worker_messages import (
    Accepted,
    AttemptReport,
    Heartbeat,
    HeartbeatReply,
    LeasesReply,
    RenewLeases,
    Resources,
    StartTask,
    StopTasks,
    ThrottleTask,
    WorkerRefused,
)

# How long acknowledged attempts, and attempts stopped before they started, are
# remembered. Longer than any start request can be in transit.
_TOMBSTONE_TTL_S = 30.0
_UNKNOWN = 'unknown'
# Added to due times, which lose precision in the conversion between clocks.
_ROUNDING_S = 1e-6


class WorkerSettings(Struct, frozen=True):
    """Capacity of a worker, and the deviation of its clock from real time.

    ``clock_rate`` is seconds of the worker's clock per real second;
    ``usage_lag_s`` is the age of the reported resource use; a checkpoint takes
    ``checkpoint_s``.
    """

    worker_id: str
    capacity: Resources
    clock_rate: float = 1.0
    clock_start_s: float = 0.0
    usage_lag_s: float = 1.0
    checkpoint_s: float = 0.2


class Worker:
    """The five routes of a worker; callers pass in the current time.

    It starts every valid attempt whether it fits or not; ``log`` records the
    peak demand. Each request first ends the attempts that are due. Their end
    times are fixed in advance, so the results do not depend on how often
    requests arrive.
    """

    __slots__ = (
        '_attempts_by_id',
        '_booted_s',
        '_journal_epochs_by_id',
        '_listing',
        '_listing_version',
        '_routes',
        '_settings',
        '_tombstones_by_id',
        '_worker_epoch',
        'boot_id',
        'log',
        'outage_response',
    )

    def __init__(
        self,
        settings: WorkerSettings,
        boot_id: str,
        now: float,
    ) -> None:
        """Boot the worker; ``now`` is in monotonic seconds."""
        self.outage_response = NoResponse()
        self._settings = settings
        self._routes: dict[str, tuple[Any, Callable[..., Result]]] = {
            '/v1/heartbeat': (_decoder(Heartbeat), self._heartbeat),
            '/v1/start': (_decoder(StartTask), self._start),
            '/v1/leases': (_decoder(RenewLeases), self._renew),
            '/v1/stop': (_decoder(StopTasks), self._stop),
            '/v1/throttle': (_decoder(ThrottleTask), self._throttle),
        }
        self.log = RunLog(settings.capacity)
        self.restart(boot_id, now)

    def restart(self, boot_id: str, now: float) -> None:
        """Reboot: lose all attempts and epochs, and reset the clock."""
        self.log.end_all(now)
        self.boot_id = boot_id
        self._booted_s = now
        self._worker_epoch = 0
        self._journal_epochs_by_id: dict[str, int] = {}
        self._attempts_by_id: dict[str, Attempt] = {}
        self._tombstones_by_id: dict[str, _Tombstone] = {}
        self._listing: tuple[AttemptReport, ...] = ()
        self._listing_version = 1

    def handle(self, request: Request, faults: Faults, now: float) -> Result:
        """Handle a request; ``now`` is in monotonic seconds."""
        route = self._routes.get(request.path)
        if route is None or request.method != 'POST':
            return unknown_route(request)
        decoder, handler = route
        message = decode_body(request, decoder)
        self.advance(now)
        return handler(message, faults, now)

    def handle_admin(self, request: Request, now: float) -> Response:
        """Return the run log, restart, or start leaving."""
        self.advance(now)
        if request.path == '/admin/state':
            return json_response(self.log.dump())
        if request.path == '/admin/restart':
            self.restart(f'{self.boot_id}+', now)
            return json_response({'boot_id': self.boot_id})
        if request.path == '/admin/leave':
            self.log.leave(now)
            return json_response({})
        return unknown_route(request)

    def is_leaving(self) -> bool:
        """Return whether the worker is leaving."""
        return self.log.leaving_since_s is not None

    def clock_s(self, now: float) -> float:
        """Return the time on the worker's own clock."""
        elapsed_s = (now - self._booted_s) * self._settings.clock_rate
        return self._settings.clock_start_s + elapsed_s

    def advance(self, now: float) -> None:
        """End the attempts that are due."""
        clock_s = self.clock_s(now)
        for attempt_id, attempt in self._attempts_by_id.items():
            if attempt.advance(clock_s):
                ended_s = self._monotonic_at(attempt.expected_end_s)
                self.log.end(attempt_id, attempt.state, ended_s)

    def _heartbeat(
        self,
        message: Heartbeat,
        faults: Faults,
        now: float,
    ) -> Result:
        if message.worker_id not in {'', self._settings.worker_id}:
            return self._refuse('other_worker', now)
        if message.epoch < self._worker_epoch:
            return self._refuse('stale_epoch', now, self._worker_epoch)
        self._worker_epoch = message.epoch
        self._refresh_listing(now)
        has_listing = (
            message.known_boot_id == self.boot_id
            and message.known_version == self._listing_version
        )
        return json_response(
            HeartbeatReply(
                self.clock_s(now),
                self.boot_id,
                self._settings.capacity,
                None if has_listing else self._listing,
                self._listing_version,
                self._total_use(now),
            ),
        )

    def _refresh_listing(self, now: float) -> None:
        """Increase the version if the listing has changed."""
        listing = tuple(
            attempt.listing_entry(self._as_of_s(now))
            for attempt in self._attempts_by_id.values()
        )
        if listing != self._listing:
            self._listing = listing
            self._listing_version += 1

    def _total_use(self, now: float) -> Resources:
        uses = (
            attempt.use_at(self._as_of_s(now))
            for attempt in self._attempts_by_id.values()
            if attempt.is_running
        )
        return sum(uses, Resources())

    def _start(self, message: StartTask, faults: Faults, now: float) -> Result:
        # Before the epoch checks: a repeated start that already took effect
        # must not be refused, since a refusal means that it never ran.
        known = self._answer_known_start(message, now)
        if known is not None:
            return known
        refusal = self._refuse_start(message, now)
        if refusal is not None:
            return refusal
        self._worker_epoch = message.worker_epoch
        self._journal_epochs_by_id[message.journal_id] = message.journal_epoch
        clock_s = self.clock_s(now)
        attempt = Attempt(message, clock_s, faults.fails_everything)
        self._attempts_by_id[message.attempt_id] = attempt
        self.log.begin(message.attempt_id, message.task.demand, now)
        self.advance(now)
        return self._accept(now)

    def _answer_known_start(
        self,
        message: StartTask,
        now: float,
    ) -> Response | None:
        if message.attempt_id in self._attempts_by_id:
            return self._accept(now)
        tombstone = self._tombstones_by_id.get(message.attempt_id)
        if tombstone is None:
            return None
        if tombstone.ran:
            return self._accept(now)
        return self._refuse('expired', now)

    def _refuse_start(self, message: StartTask, now: float) -> Response | None:
        if message.boot_id != self.boot_id:
            return self._refuse('other_boot', now)
        if message.worker_epoch < self._worker_epoch:
            return self._refuse('stale_epoch', now, self._worker_epoch)
        epoch = self._journal_epochs_by_id.get(message.journal_id, 0)
        if message.journal_epoch < epoch:
            return self._refuse('stale_epoch', now, epoch)
        if self.clock_s(now) > message.not_after_s:
            return self._refuse('expired', now)
        return None

    def _renew(
        self,
        message: RenewLeases,
        faults: Faults,
        now: float,
    ) -> Result:
        refusal = self._fence_journal(message, now)
        if refusal is not None:
            return refusal
        self._forget_acknowledged(message, now)
        lease_end_s = self.clock_s(now) + message.lease_s
        if message.lease_until_s is not None:
            lease_end_s = min(lease_end_s, message.lease_until_s)
        for attempt in self._attempts_of(message):
            if attempt.is_running:
                attempt.renew(lease_end_s)
        return self._long_poll(message, now + message.wait_s, now)

    def _long_poll(
        self,
        message: RenewLeases,
        until_s: float,
        now: float,
    ) -> Result:
        """Respond once an attempt has ended, or at ``until_s``."""
        refusal = self._fence_journal(message, now)
        if refusal is not None:
            return refusal
        attempts = self._attempts_of(message)
        if now >= until_s or not all(each.is_running for each in attempts):
            return self._leases_reply(message, now)
        due_s = min([until_s, *map(self._end_due_s, attempts)])
        boot_id = self.boot_id

        def resume(later: float) -> Result:
            if self.boot_id != boot_id:
                return NoResponse()
            self.advance(later)
            return self._long_poll(message, until_s, later)

        return Parked(due_s, resume)

    def _leases_reply(self, message: RenewLeases, now: float) -> Response:
        reports = (
            self._report(message.journal_id, attempt_id, now)
            for attempt_id in message.attempt_ids
        )
        return json_response(
            LeasesReply(
                self.clock_s(now),
                self.boot_id,
                tuple(each for each in reports if each.state != RUNNING),
            ),
        )

    def _stop(self, message: StopTasks, faults: Faults, now: float) -> Result:
        refusal = self._fence_journal(message, now)
        if refusal is not None:
            return refusal
        clock_s = self.clock_s(now)
        stop_s = clock_s
        if message.checkpoint:
            stop_s += self._settings.checkpoint_s
        for attempt_id in message.attempt_ids:
            if attempt_id not in self._attempts_by_id:
                # A start request in transit must not run it later.
                self._add_tombstone(attempt_id, ran=False, clock_s=clock_s)
        for attempt in self._attempts_of(message):
            attempt.stop(stop_s)
        self.advance(now)
        return self._accept(now)

    def _throttle(
        self,
        message: ThrottleTask,
        faults: Faults,
        now: float,
    ) -> Result:
        if message.worker_epoch < self._worker_epoch:
            return self._refuse('stale_epoch', now, self._worker_epoch)
        attempt = self._attempts_by_id.get(message.attempt_id)
        if attempt is None or not attempt.is_running:
            return self._refuse('unknown_attempt', now)
        attempt.throttle(message.cpu_millis, self.clock_s(now))
        return self._accept(now)

    def _fence_journal(
        self,
        message: RenewLeases | StopTasks,
        now: float,
    ) -> Response | None:
        latest_epoch = self._journal_epochs_by_id.get(message.journal_id, 0)
        if message.journal_epoch < latest_epoch:
            return self._refuse('stale_epoch', now, latest_epoch)
        self._journal_epochs_by_id[message.journal_id] = message.journal_epoch
        return None

    def _forget_acknowledged(self, message: RenewLeases, now: float) -> None:
        for attempt_id in message.acknowledged_ids:
            attempt = self._find(message.journal_id, attempt_id)
            if attempt is not None and not attempt.is_running:
                self._attempts_by_id.pop(attempt_id)
                self._add_tombstone(
                    attempt_id, ran=True, clock_s=self.clock_s(now)
                )

    def _add_tombstone(
        self, attempt_id: str, *, ran: bool, clock_s: float
    ) -> None:
        """Remember an attempt so that a delayed start does not run it."""
        tombstones = self._tombstones_by_id
        tombstones.setdefault(
            attempt_id,
            _Tombstone(ran, clock_s + _TOMBSTONE_TTL_S),
        )
        while tombstones:
            oldest = next(iter(tombstones))
            if tombstones[oldest].expiry_s > clock_s:
                return
            tombstones.pop(oldest)

    def _find(self, journal_id: str, attempt_id: str) -> Attempt | None:
        """Return the attempt of a journal whose epoch the caller checked."""
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is None or attempt.start.journal_id != journal_id:
            return None
        return attempt

    def _attempts_of(self, message: RenewLeases | StopTasks) -> list[Attempt]:
        known = (
            self._find(message.journal_id, attempt_id)
            for attempt_id in message.attempt_ids
        )
        return [attempt for attempt in known if attempt is not None]

    def _report(
        self,
        journal_id: str,
        attempt_id: str,
        now: float,
    ) -> AttemptReport:
        attempt = self._find(journal_id, attempt_id)
        if attempt is None:
            return AttemptReport(attempt_id, _UNKNOWN)
        return attempt.report(self._as_of_s(now))

    def _as_of_s(self, now: float) -> float:
        return self.clock_s(now) - self._settings.usage_lag_s

    def _accept(self, now: float) -> Response:
        return json_response(Accepted(self.clock_s(now), self.boot_id))

    def _refuse(self, reason: str, now: float, epoch: int = 0) -> Response:
        refusal = WorkerRefused(
            reason,
            epoch or self._worker_epoch,
            self.clock_s(now),
            self.boot_id,
        )
        return json_response(refusal, CONFLICT)

    def _end_due_s(self, attempt: Attempt) -> float:
        return self._monotonic_at(attempt.expected_end_s) + _ROUNDING_S

    def _monotonic_at(self, clock_s: float) -> float:
        elapsed_s = clock_s - self._settings.clock_start_s
        return self._booted_s + elapsed_s / self._settings.clock_rate


class _Tombstone(Struct, frozen=True):
    ran: bool
    expiry_s: float


def _decoder(message_type: type[Struct]) -> Decoder[Any]:
    return Decoder(message_type)
