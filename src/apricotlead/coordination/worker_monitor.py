"""Sends heartbeats to the owned workers and applies their replies."""

from collections.abc import Iterable, Iterator
from heapq import heappop, heappush
from itertools import count
from typing import Any, ClassVar, Protocol

from msgspec import Struct, field, structs

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.overuse import OveruseSettings, OveruseWatch
from apricotlead.coordination.quarantine import Quarantine
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.jobs import AttemptState
from apricotlead.protocol.peers import ReleaseGrants
from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.signals import (
    CallWorker,
    CapacityFreed,
    ConfigApplied,
    Count,
    LogEvent,
    SessionLost,
    Signal,
    Tick,
    Token,
    WorkerClaimed,
    WorkerDropped,
    WorkerReplied,
)
from apricotlead.protocol.workers import (
    AttemptReport,
    Heartbeat,
    HeartbeatReply,
    WorkerRefused,
    WorkerReply,
)
from apricotlead.state.capacity_ledger import CapacityLedger
from apricotlead.state.session_view import SessionView

_HEARTBEAT = 'heartbeat'
_THROTTLE = 'throttle'
_UNREACHABLE = 'unreachable'
_LEAVING = 'leaving'
# After a pause of the process all heartbeats are due at once. Each tick sends
# at most this fraction of them, which spreads them over the period again.
_MAX_FRACTION_PER_TICK = 0.1
_MIN_HEARTBEATS_PER_TICK = 8


class MonitorSettings(Struct, frozen=True):
    """Times in seconds.

    ``heartbeat_s`` is the heartbeat period per worker; ``reply_timeout_s``
    bounds the wait for a reply; ``early_s`` is the minimum interval between
    two heartbeats when the end of an attempt triggers one ahead of schedule;
    ``quarantine_step_s`` is the interval at which quarantines are advanced.
    """

    heartbeat_s: float = 1.0
    reply_timeout_s: float = 0.9
    early_s: float = 0.1
    quarantine_step_s: float = 1.0
    overuse: OveruseSettings = OveruseSettings()


class WorkerListing(Protocol):
    """The part of the cell directory that the monitor uses."""

    workers_by_id: dict[str, Instance]


class _Watch(Struct):
    """Heartbeat state of one owned worker.

    ``pending`` is the number of the heartbeat in flight, 0 if there is none.
    ``address`` is where the latest one was sent, and thus where the boot in
    its reply is; the list can name the next boot's address by then.
    ``attempts`` is the listing with this ``version`` of the worker's boot
    ``boot_id``; ``version`` is 0 if no listing is known. A watch belongs to
    one epoch, so a new owner or a new epoch starts with a full listing.
    """

    epoch: int
    due_s: float
    pending: int = 0
    sent_s: float = float('-inf')
    address: str = ''
    boot_id: str = ''
    version: int = 0
    attempts: tuple[AttemptReport, ...] = ()
    ended_ids: frozenset[str] = frozenset()
    overuse: OveruseWatch = field(default_factory=OveruseWatch)

    def with_listing(self, reply: HeartbeatReply) -> HeartbeatReply | None:
        """Return the reply with its full listing, ``None`` if that is unknown.

        Pass only replies to the latest heartbeat: it named the known listing,
        so a reply without a listing refers to that one.
        """
        if reply.attempts is not None:
            self.boot_id = reply.boot_id
            self.version = reply.version
            self.attempts = reply.attempts
            return reply
        if (reply.boot_id, reply.version) != (self.boot_id, self.version):
            self.version = 0
            return None
        return structs.replace(reply, attempts=self.attempts)


class WorkerMonitor(Component):
    """Fences, polls and reconciles each owned worker once a second.

    One heartbeat per worker is in flight, and only the reply to the latest
    one is applied, so duplicated, late or reordered replies have no effect.
    The cost is one request per second and worker, and O(log n) to schedule
    it.
    """

    name: ClassVar[str] = 'worker_monitor'
    __slots__ = (
        '_call_numbers',
        '_directory',
        '_down_ids',
        '_due',
        '_ledger',
        '_next_step_s',
        '_quarantine',
        '_rng',
        '_settings',
        '_view',
        '_watches_by_id',
    )

    def __init__(
        self,
        settings: MonitorSettings,
        view: SessionView,
        directory: WorkerListing,
        ledger: CapacityLedger,
        quarantine: Quarantine,
        rng: RandomSource,
    ) -> None:
        """Start without workers."""
        self._settings = settings
        self._view = view
        self._directory = directory
        self._down_ids: frozenset[str] = frozenset()
        self._ledger = ledger
        self._quarantine = quarantine
        self._rng = rng
        self._call_numbers = count(1)
        self._next_step_s = float('-inf')
        self._watches_by_id: dict[str, _Watch] = {}
        self._due: list[tuple[float, str]] = []

    @handles(ConfigApplied)
    def set_down_workers(
        self,
        signal: ConfigApplied,
        now: float,
    ) -> Iterable[Signal]:
        """Store the ids of the workers that an operator declared down."""
        self._down_ids = frozenset(signal.config.down_versions_by_worker)
        return ()

    @handles(WorkerClaimed)
    def claimed(self, signal: WorkerClaimed, now: float) -> Iterable[Signal]:
        """Fence the worker at once; later heartbeats get a random phase."""
        watch = self._watches_by_id.get(signal.worker_id)
        if watch is not None and watch.epoch >= signal.epoch:
            return ()
        self._ledger.claim(signal.worker_id, signal.epoch)
        self._quarantine.restore(signal.worker_id)
        watch = _Watch(signal.epoch, now)
        self._watches_by_id[signal.worker_id] = watch
        effects = self._send_heartbeat(signal.worker_id, watch, now)
        phase_s = self._rng.uniform(0, self._settings.heartbeat_s)
        self._schedule(signal.worker_id, watch, now + phase_s)
        return effects

    @handles(WorkerDropped)
    def dropped(self, signal: WorkerDropped, now: float) -> Iterable[Signal]:
        """Remove the worker and all grants on it."""
        self._remove_worker(signal.worker_id)
        return ()

    @handles(SessionLost)
    def session_lost(self, signal: SessionLost, now: float) -> Iterable[Signal]:
        """Remove all workers; peers own them now."""
        for worker_id in tuple(self._watches_by_id):
            self._remove_worker(worker_id)
        return ()

    @handles(Tick)
    def tick(self, signal: Tick, now: float) -> Iterable[Signal]:
        """Send the heartbeats that are due."""
        produced: list[Signal] = []
        if now >= self._next_step_s:
            self._next_step_s = now + self._settings.quarantine_step_s
            produced.extend(_freed(self._quarantine.advance(now)))
        for worker_id in tuple(self._take_due(now)):
            watch = self._watches_by_id[worker_id]
            produced.extend(self._send_due_heartbeat(worker_id, watch, now))
        return produced

    @handles(WorkerReplied)
    def replied(self, signal: WorkerReplied, now: float) -> Iterable[Signal]:
        """Handle the reply to the latest heartbeat and ignore all others."""
        watch = self._watches_by_id.get(signal.worker_id)
        if watch is None:
            return ()
        if signal.token.purpose == _THROTTLE:
            watch.overuse.record_reply(signal.token.number, signal.reply)
            return ()
        if watch.pending != signal.token.number:
            return ()
        watch.pending = 0
        return self._handle_reply(signal.worker_id, watch, signal.reply, now)

    @handles(ReleaseGrants)
    def released(self, signal: ReleaseGrants, now: float) -> Iterable[Signal]:
        """Send an early heartbeat to a worker whose listed attempt has ended.

        Its capacity is freed only when a reply no longer lists the attempt.
        """
        for attempt_id in signal.attempt_ids:
            worker = self._ledger.worker_of(attempt_id)
            if worker and attempt_id in worker.charges_by_id:
                self._schedule_early(worker.worker_id, now)
        return ()

    def dump(self, now: float) -> dict[str, Any]:
        """Return the workers that get no grants, with the reasons."""
        blocked = {
            worker.worker_id: sorted(worker.blocks)
            for worker in self._ledger.workers_by_id.values()
            if worker.blocks
        }
        return {
            'workers': len(self._watches_by_id),
            'blocked': blocked,
            'quarantine': self._quarantine.dump(now),
        }

    def _take_due(self, now: float) -> Iterator[str]:
        batch_size = int(len(self._watches_by_id) * _MAX_FRACTION_PER_TICK)
        remaining = max(batch_size, _MIN_HEARTBEATS_PER_TICK)
        while remaining and self._due and self._due[0][0] <= now:
            due_s, worker_id = heappop(self._due)
            watch = self._watches_by_id.get(worker_id)
            if watch is not None and watch.due_s == due_s:
                remaining -= 1
                yield worker_id

    def _send_due_heartbeat(
        self,
        worker_id: str,
        watch: _Watch,
        now: float,
    ) -> Iterable[Signal]:
        """Send the heartbeat that is due and schedule the next one."""
        period_s = self._settings.heartbeat_s
        # A reply that is overdue by a whole period counts as lost.
        overdue_s = watch.sent_s + self._settings.reply_timeout_s + period_s
        if watch.pending and now < overdue_s:
            self._schedule(worker_id, watch, now + self._settings.early_s)
            return ()
        if watch.pending:
            self._ledger.block(worker_id, _UNREACHABLE)
        late_s = (now - watch.due_s) % period_s
        self._schedule(worker_id, watch, now - late_s + period_s)
        return self._send_heartbeat(worker_id, watch, now)

    def _send_heartbeat(
        self,
        worker_id: str,
        watch: _Watch,
        now: float,
    ) -> Iterable[Signal]:
        instance = self._directory.workers_by_id.get(worker_id)
        if instance is None or worker_id in self._down_ids:
            self._ledger.block(worker_id, _LEAVING)
            return ()
        unblocked: Iterable[Signal] = ()
        if instance.leaving:
            self._ledger.block(worker_id, _LEAVING)
        elif self._ledger.unblock(worker_id, _LEAVING):
            unblocked = (CapacityFreed(worker_id),)
        watch.pending = next(self._call_numbers)
        watch.sent_s = now
        watch.address = instance.address
        heartbeat = Heartbeat(
            self._view.session_id,
            watch.epoch,
            watch.version,
            watch.boot_id if watch.version else '',
            worker_id,
        )
        call = CallWorker(
            Token(self.name, _HEARTBEAT, watch.pending),
            worker_id,
            instance.address,
            heartbeat,
            self._settings.reply_timeout_s,
        )
        return (*unblocked, call)

    def _handle_reply(
        self,
        worker_id: str,
        watch: _Watch,
        reply: WorkerReply,
        now: float,
    ) -> Iterable[Signal]:
        full_reply = None
        if isinstance(reply, HeartbeatReply):
            full_reply = watch.with_listing(reply)
        if full_reply is not None:
            return self._reconcile(worker_id, watch, full_reply, now)
        if _is_fenced_off(reply, watch.epoch):
            return self._give_up_ownership(worker_id, watch, reply)
        self._ledger.block(worker_id, _UNREACHABLE)
        return (Count('worker_unreachable'),)

    def _reconcile(
        self,
        worker_id: str,
        watch: _Watch,
        reply: HeartbeatReply,
        now: float,
    ) -> Iterable[Signal]:
        has_new_capacity = self._ledger.apply_reply(
            worker_id, reply, watch.address, now
        )
        unblocked = self._ledger.unblock(worker_id, _UNREACHABLE)
        freed = [worker_id] if has_new_capacity or unblocked else []
        freed.extend(self._record_endings(worker_id, watch, reply, now))
        worker = self._ledger.workers_by_id[worker_id]
        relief = watch.overuse.handle_overuse(
            self._settings.overuse,
            worker,
            reply,
            self._view,
            Token(self.name, _THROTTLE),
            now,
        )
        return (*_freed(freed), *relief)

    def _record_endings(
        self,
        worker_id: str,
        watch: _Watch,
        reply: HeartbeatReply,
        now: float,
    ) -> Iterator[str]:
        """Record endings that the previous reply did not list.

        Yields the workers that get grants again.
        """
        ended = [
            report
            for report in reply.attempts
            if _counts_for_quarantine(report)
        ]
        previous_ids = watch.ended_ids
        watch.ended_ids = frozenset(report.attempt_id for report in ended)
        for report in ended:
            if report.attempt_id not in previous_ids:
                yield from self._quarantine.record_end(
                    worker_id,
                    report.attempt_id,
                    report.state == 'failed',
                    now,
                )

    def _give_up_ownership(
        self,
        worker_id: str,
        watch: _Watch,
        refusal: WorkerRefused,
    ) -> Iterable[Signal]:
        self._remove_worker(worker_id)
        log_event = LogEvent(
            'worker is owned by another session',
            {
                'worker_id': worker_id,
                'own_epoch': watch.epoch,
                'epoch': refusal.epoch,
            },
        )
        return (WorkerDropped(worker_id), log_event)

    def _schedule_early(self, worker_id: str, now: float) -> None:
        watch = self._watches_by_id[worker_id]
        due_s = max(now, watch.sent_s + self._settings.early_s)
        if due_s < watch.due_s:
            self._schedule(worker_id, watch, due_s)

    def _schedule(self, worker_id: str, watch: _Watch, due_s: float) -> None:
        watch.due_s = due_s
        heappush(self._due, (due_s, worker_id))

    def _remove_worker(self, worker_id: str) -> None:
        self._watches_by_id.pop(worker_id, None)
        self._ledger.drop(worker_id)
        self._quarantine.forget(worker_id)


def _freed(worker_ids: Iterable[str]) -> tuple[Signal, ...]:
    return tuple(CapacityFreed(worker_id) for worker_id in worker_ids)


def _is_fenced_off(reply: WorkerReply, epoch: int) -> bool:
    """Tell whether the worker has seen a higher epoch.

    The epoch of another worker says nothing about the ownership of this one.
    """
    if not isinstance(reply, WorkerRefused) or reply.reason == 'other_worker':
        return False
    return reply.epoch > epoch


def _counts_for_quarantine(report: AttemptReport) -> bool:
    """Tell whether the outcome counts for or against the worker."""
    outcomes: tuple[AttemptState, ...] = ('failed', 'succeeded')
    return report.state in outcomes
