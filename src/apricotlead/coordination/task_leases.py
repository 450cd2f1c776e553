"""Starts attempts, renews their leases and receives their endings."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from heapq import heappop, heappush
from typing import Any, ClassVar, Protocol

from msgspec import Struct

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.lease_channel import (
    MAX_POLLS,
    Call,
    CallPurpose,
    Channel,
    Lease,
)
from apricotlead.protocol.jobs import ENDED_ATTEMPT_STATES, AttemptState
from apricotlead.protocol.signals import (
    AttemptAdopted,
    AttemptEnded,
    AttemptForgotten,
    AttemptStarting,
    CallWorker,
    ConfigApplied,
    JournalClosed,
    JournalOpened,
    Signal,
    StopAttempts,
    Tick,
    Token,
    WorkerReplied,
)
from apricotlead.protocol.workers import (
    Accepted,
    AttemptReport,
    CallFailed,
    LeasesReply,
    RenewLeases,
    StartTask,
    StopTasks,
    WorkerReply,
    WorkerRequest,
)
from apricotlead.state.job_table import Attempt, JobTable
from apricotlead.state.session_view import SessionView

# The transport reports a call as failed at its timeout. A call without any
# report is treated as failed this much later (seconds).
_REPORT_GRACE_S = 1.0


class LeaseSettings(Struct, frozen=True):
    """Times in seconds; ``max_drift`` bounds the drift of any two clocks.

    A worker that does not answer is sent renewals for ``persist_s`` after its
    last answer, and only probes after that: requests that arrive while their
    answers are lost would otherwise extend leases forever, and no attempt
    could ever be declared lost.

    A previous owner of a journal that is partitioned from the store and from
    the adopter renews leases for at most ``outage_s`` after its session
    lease. The adopter waits as long before it declares an attempt lost on a
    worker that it never reached; otherwise the task could run twice. A long
    ``outage_s`` keeps tasks running through a long store outage, but the
    outcome of a task whose home session and worker fail together stays
    unknown for as long. A short one stops tasks whose home session and worker
    are both healthy.

    With ``list_is_authoritative``, and only then, the adopter waits no more
    than one lease if the platform does not list the worker. The list must
    then contain every running worker: one that lags, or is wrong in a
    partition, would let a task run twice.

    Endings are acknowledged to an unreachable worker for ``acknowledge_s``.
    """

    lease_s: float = 6.0
    grant_ttl_s: float = 2.0
    max_drift: float = 0.02
    long_poll_s: float = 2.0
    short_poll_s: float = 0.2
    call_timeout_s: float = 2.0
    first_retry_s: float = 0.1
    longest_retry_s: float = 1.0
    stop_retry_s: float = 1.0
    persist_s: float = 3.0
    outage_s: float = 3600.0
    list_is_authoritative: bool = False
    acknowledge_s: float = 600.0


class WorkerList(Protocol):
    """The part of the cell directory that task leases use."""

    workers_by_id: Mapping[str, Any]


class TaskLeases(Component):
    """Renews all attempts of a journal on a worker with one long poll.

    Each life (boot) of a worker has a channel of its own, because the next
    one can have another address: a call that goes to the former address
    would renew nothing, or be answered by another worker.

    An attempt ends when its worker reports it, when its start provably never
    happened, or when it is lost: the worker restarted, or does not answer
    and its lease must have expired there. Each renewal carries the end of the
    lease on the worker's clock, so the arrival time of a renewal does not
    matter. Timers are kept in a heap, so a tick costs O(log n) per channel
    that is due.
    """

    name: ClassVar[str] = 'leases'
    __slots__ = (
        '_calls_by_number',
        '_channels_by_worker',
        '_directory',
        '_down_ids',
        '_number',
        '_settings',
        '_table',
        '_timers',
        '_view',
    )

    def __init__(
        self,
        settings: LeaseSettings,
        table: JobTable,
        view: SessionView,
        directory: WorkerList | None = None,
    ) -> None:
        """Start without attempts."""
        self._settings = settings
        self._table = table
        self._view = view
        self._directory = directory
        self._down_ids: frozenset[str] = frozenset()
        self._number = 0
        # By journal and worker, then by boot.
        self._channels_by_worker: dict[tuple[str, str], dict[str, Channel]] = (
            defaultdict(dict)
        )
        self._calls_by_number: dict[int, Call] = {}
        self._timers: list[tuple[float, int, Channel | int]] = []

    @classmethod
    def from_config(
        cls,
        settings: LeaseSettings,
        table: JobTable,
        view: SessionView,
        directory: WorkerList | None = None,
    ) -> 'TaskLeases':
        """Return task leases for these settings."""
        return cls(settings, table, view, directory)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the channels with their attempts."""
        return {
            'calls_in_flight': len(self._calls_by_number),
            'channels': [
                {
                    'journal': channel.journal_id,
                    'worker': channel.worker_id,
                    'attempts': len(channel.leases_by_id),
                    'silent_s': now - channel.answered_s,
                }
                for channel in self._channels()
            ],
        }

    @handles(AttemptStarting)
    def start(self, signal: AttemptStarting, now: float) -> Iterable[Signal]:
        """Send the start, unless this session's lease has expired."""
        attempt = self._find_unfinished(signal.attempt_id)
        if attempt is None:
            return ()
        if not self._view.is_valid(now):
            return (_ending(attempt, 'lapsed', ran=False),)
        channel = self._channel_of(attempt, now)
        if signal.attempt_id in channel.leases_by_id:
            return ()
        channel.address = attempt.assigned.address
        self._record_grant_clock(channel, attempt, now)
        # The worker refuses the start after ``not_after_s``; a start accepted
        # at that time gets a full lease.
        lost_after_s = channel.clock.reached_by_s(
            attempt.assigned.boot_id,
            attempt.assigned.not_after_s + self._settings.lease_s,
        )
        lease = Lease(attempt, now, lost_after_s)
        channel.leases_by_id[signal.attempt_id] = lease
        call = self._new_call('start', channel, (signal.attempt_id,), now)
        return (self._send(call, self._start_request(attempt)),)

    @handles(AttemptAdopted)
    def adopt(self, signal: AttemptAdopted, now: float) -> Iterable[Signal]:
        """Renew the lease of an attempt that a previous owner started."""
        attempt = self._find_unfinished(signal.attempt_id)
        if attempt is None:
            return ()
        if attempt.assigned.worker_id in self._down_ids:
            return (_ending(attempt, 'lapsed', ran=None),)
        channel = self._channel_of(attempt, now)
        self._record_grant_clock(channel, attempt, now)
        lost_after_s = now + self._max_elapsed_s(
            self._settings.outage_s + self._settings.lease_s,
        )
        lease = Lease(attempt, now, lost_after_s)
        lease.is_adopted = True
        lease.started = False
        channel.leases_by_id[signal.attempt_id] = lease
        # The next tick sends one poll with all adopted attempts.
        self._schedule(channel, now)
        return ()

    @handles(ConfigApplied)
    def end_on_down_workers(
        self,
        signal: ConfigApplied,
        now: float,
    ) -> Iterable[Signal]:
        """End the attempts on workers that an operator declared down."""
        down_ids = frozenset(signal.config.down_versions_by_worker)
        newly_down_ids = down_ids - self._down_ids
        self._down_ids = down_ids
        return [
            self._end(channel, lease, 'lapsed', ran=None)
            for channel in tuple(self._channels())
            if channel.worker_id in newly_down_ids
            for lease in tuple(channel.leases_by_id.values())
        ]

    @handles(StopAttempts)
    def stop(self, signal: StopAttempts, now: float) -> Iterable[Signal]:
        """Send stops to the workers until the attempts have ended."""
        channels: dict[int, Channel] = {}
        for attempt_id in signal.attempt_ids:
            channel = self._find_channel(attempt_id)
            # For a repeated request, the next scheduled stop is enough.
            if (
                channel
                and not channel.leases_by_id[attempt_id].is_stop_requested
            ):
                channel.leases_by_id[attempt_id].is_stop_requested = True
                channel.next_stop_s = now
                channels[id(channel)] = channel
        return self._advance_channels(channels.values(), now)

    @handles(AttemptForgotten)
    def acknowledge(
        self,
        signal: AttemptForgotten,
        now: float,
    ) -> Iterable[Signal]:
        """Acknowledge a durable ending, so that the worker can discard it."""
        attempt = self._table.attempts_by_id.get(signal.attempt_id)
        if attempt is None or attempt.finished is None:
            return ()
        # A worker keeps no state of an attempt that never ran.
        if attempt.finished.ran is not False:
            channel = self._channel_of(attempt, now)
            channel.acknowledged[signal.attempt_id] = None
            self._schedule(channel, now)
        return ()

    @handles(JournalClosed, JournalOpened)
    def close_journal(
        self,
        signal: JournalClosed | JournalOpened,
        now: float,
    ) -> Iterable[Signal]:
        """Drop the journal's attempts without sending anything."""
        for channel in tuple(self._channels()):
            if channel.journal_id == signal.journal_id:
                self._close(channel)
        self._calls_by_number = {
            number: call
            for number, call in self._calls_by_number.items()
            if not call.channel.is_closed
        }
        return ()

    @handles(WorkerReplied)
    def handle_reply(
        self, signal: WorkerReplied, now: float
    ) -> Iterable[Signal]:
        """Handle an answer or a failed call; late ones are dropped."""
        call = self._calls_by_number.get(signal.token.number)
        if call is None:
            return ()
        return self._finish_call(signal.token.number, call, signal.reply, now)

    @handles(Tick)
    def act_on_time(self, signal: Tick, now: float) -> Iterable[Signal]:
        """Send what is due and expire calls without any report."""
        following: list[Signal] = []
        while self._timers and self._timers[0][0] <= now:
            due_s, _, target = heappop(self._timers)
            if isinstance(target, int):
                following.extend(self._expire_call(target, now))
            elif target.wake_s == due_s:
                following.extend(self._advance_channels((target,), now))
        return following

    def _find_unfinished(self, attempt_id: str) -> Attempt | None:
        attempt = self._table.attempts_by_id.get(attempt_id)
        if attempt is None or attempt.finished is not None:
            return None
        return attempt

    def _max_elapsed_s(self, duration_s: float) -> float:
        """Return how long another clock's duration can last on this clock."""
        return duration_s / (1 - self._settings.max_drift)

    def _record_grant_clock(
        self,
        channel: Channel,
        attempt: Attempt,
        now: float,
    ) -> None:
        """Record the bound that the grant sets on the worker's clock.

        When the grant was made, which was not later than now, the worker's
        clock was at most ``grant_ttl_s`` before ``not_after_s``.
        """
        assigned = attempt.assigned
        clock_s = assigned.not_after_s - self._settings.grant_ttl_s
        channel.clock.observe(assigned.boot_id, clock_s, now)

    def _channels(self) -> Iterator[Channel]:
        for channels_by_boot in self._channels_by_worker.values():
            yield from channels_by_boot.values()

    def _channels_on_worker(
        self,
        journal_id: str,
        worker_id: str,
    ) -> Mapping[str, Channel]:
        """Return the channels to the lives of a worker, by boot."""
        return self._channels_by_worker.get((journal_id, worker_id), {})

    def _channel_of(self, attempt: Attempt, now: float) -> Channel:
        assigned = attempt.assigned
        key = (attempt.journal_id, assigned.worker_id)
        channels_by_boot = self._channels_by_worker[key]
        channel = channels_by_boot.get(assigned.boot_id)
        if channel is None:
            channel = Channel(attempt, self._settings.max_drift, now)
            channels_by_boot[assigned.boot_id] = channel
        return channel

    def _find_channel(self, attempt_id: str) -> Channel | None:
        attempt = self._table.attempts_by_id.get(attempt_id)
        if attempt is None:
            return None
        assigned = attempt.assigned
        channel = self._channels_on_worker(
            attempt.journal_id,
            assigned.worker_id,
        ).get(assigned.boot_id)
        if channel is None or attempt_id not in channel.leases_by_id:
            return None
        return channel

    def _schedule(self, channel: Channel, due_s: float) -> None:
        if due_s < channel.wake_s:
            channel.wake_s = due_s
            self._number += 1
            heappush(self._timers, (due_s, self._number, channel))

    def _new_call(
        self,
        purpose: CallPurpose,
        channel: Channel,
        attempt_ids: tuple[str, ...],
        now: float,
        wait_s: float = 0,
    ) -> Call:
        due_s = now + wait_s + self._settings.call_timeout_s
        acknowledged = tuple(channel.acknowledged) if purpose == 'poll' else ()
        return Call(
            purpose,
            channel,
            attempt_ids,
            now,
            due_s,
            acknowledged,
            wait_s,
        )

    def _send(self, call: Call, request: WorkerRequest) -> CallWorker:
        self._number += 1
        number = self._number
        self._calls_by_number[number] = call
        if call.purpose == 'poll':
            call.channel.polls_by_number[number] = call
        heappush(self._timers, (call.due_s + _REPORT_GRACE_S, number, number))
        return CallWorker(
            Token(self.name, call.purpose, number),
            call.channel.worker_id,
            call.channel.address,
            request,
            call.due_s - call.sent_s,
        )

    def _start_request(self, attempt: Attempt) -> StartTask:
        assigned = attempt.assigned
        job = self._table.jobs_by_id[assigned.job_id]
        return StartTask(
            assigned.attempt_id,
            assigned.worker_epoch,
            assigned.boot_id,
            assigned.not_after_s,
            attempt.journal_id,
            self._table.epoch_of(attempt.journal_id),
            self._settings.lease_s,
            job.tasks[assigned.task].spec,
            job.traits_of(assigned.task),
        )

    def _expire_call(self, number: int, now: float) -> Iterable[Signal]:
        call = self._calls_by_number.get(number)
        if call is None:
            return ()
        return self._finish_call(number, call, CallFailed(sent=True), now)

    def _finish_call(
        self,
        number: int,
        call: Call,
        reply: WorkerReply,
        now: float,
    ) -> list[Signal]:
        self._calls_by_number.pop(number)
        call.channel.polls_by_number.pop(number, None)
        following = list(_REPLY_HANDLERS[call.purpose](self, call, reply, now))
        following.extend(self._advance_channels((call.channel,), now))
        return following

    def _handle_start_reply(
        self,
        call: Call,
        reply: WorkerReply,
        now: float,
    ) -> Iterator[Signal]:
        channel = call.channel
        for lease in channel.leases_of(call.attempt_ids):
            if isinstance(reply, Accepted):
                lease.started = True
                channel.record_clock(reply.boot_id, reply.clock_s, now)
                # The lease began before the answer was sent.
                lapsed_s = now + self._max_elapsed_s(self._settings.lease_s)
                lease.lost_after_s = min(lease.lost_after_s, lapsed_s)
                channel.record_answer(now)
            elif isinstance(reply, CallFailed) and reply.sent:
                lease.started = False
            else:
                yield self._end(channel, lease, 'lapsed', ran=False)

    def _handle_poll_reply(
        self,
        call: Call,
        reply: WorkerReply,
        now: float,
    ) -> Iterator[Signal]:
        if isinstance(reply, LeasesReply):
            yield from self._apply_reports(call, reply, now)
        elif isinstance(reply, CallFailed):
            yield from self._handle_poll_failure(call, reply, now)
        else:
            # Another session has adopted the journal. The store will report
            # that; until then no attempt may be ended here.
            self._record_possible_renewal(call, now)
            call.channel.record_answer(now)
            call.channel.next_poll_s = now + self._settings.longest_retry_s

    def _handle_stop_reply(
        self,
        call: Call,
        reply: WorkerReply,
        now: float,
    ) -> Iterable[Signal]:
        """Do nothing; a poll reports the end of a stopped attempt."""
        return ()

    def _apply_reports(
        self,
        call: Call,
        reply: LeasesReply,
        now: float,
    ) -> Iterator[Signal]:
        channel = call.channel
        channel.record_clock(reply.boot_id, reply.clock_s, now)
        self._record_fence(call, now)
        self._record_possible_renewal(call, now)
        channel.record_answer(now)
        if not any(one.state in ENDED_ATTEMPT_STATES for one in reply.attempts):
            # Avoids a busy loop with a worker that answers too early.
            channel.next_poll_s = call.sent_s + self._settings.short_poll_s
        for acknowledged_id in call.acknowledged_ids:
            channel.acknowledged.pop(acknowledged_id, None)
        yield from self._end_earlier_lives(call, reply.boot_id, now)
        reported_ids = {report.attempt_id for report in reply.attempts}
        unreported_ids = (
            one for one in call.attempt_ids if one not in reported_ids
        )
        for running in channel.leases_of(unreported_ids):
            running.started = True
        for report in reply.attempts:
            for known in channel.leases_of((report.attempt_id,)):
                yield from self._apply_report(channel, known, report, reply)

    def _end_earlier_lives(
        self,
        call: Call,
        boot_id: str,
        now: float,
    ) -> Iterator[AttemptEnded]:
        """End the attempts of lives that an answer shows to be over.

        Another boot than the one called shows only that this one is over: at
        a former address, any other worker can answer.
        """
        if boot_id != call.channel.boot_id:
            yield from self._end_earlier_life(call.channel, call, boot_id)
            return
        channels_by_boot = self._channels_on_worker(
            call.channel.journal_id,
            call.channel.worker_id,
        )
        for channel in tuple(channels_by_boot.values()):
            if channel.boot_id != boot_id and channel.opened_s <= call.sent_s:
                # Nothing is left there that could be discarded.
                channel.acknowledged.clear()
                yield from self._end_earlier_life(channel, call, boot_id)
                self._schedule(channel, now)

    def _end_earlier_life(
        self,
        channel: Channel,
        call: Call,
        boot_id: str,
    ) -> Iterator[AttemptEnded]:
        for lease in channel.leases_of(channel.pollable_ids()):
            if lease.is_of_earlier_boot(boot_id, call.sent_s):
                yield self._end(channel, lease, 'lapsed', ran=None)

    def _apply_report(
        self,
        channel: Channel,
        lease: Lease,
        report: AttemptReport,
        reply: LeasesReply,
    ) -> Iterator[Signal]:
        if report.state in ENDED_ATTEMPT_STATES:
            yield self._end_as_reported(channel, lease, report)
        elif report.state == 'running':
            lease.started = True
        elif lease.started:
            # The worker had the attempt and no longer has it.
            yield self._end(channel, lease, 'lapsed', ran=None)
        elif reply.clock_s > lease.attempt.assigned.not_after_s:
            yield self._end(channel, lease, 'lapsed', ran=False)

    def _record_possible_renewal(self, call: Call, now: float) -> None:
        """Record that the worker may have renewed the leases of a call."""
        lapsed_s = call.sent_s + self._max_elapsed_s(self._settings.lease_s)
        for lease in call.channel.leases_of(call.attempt_ids):
            lease.lost_after_s = max(lease.lost_after_s, lapsed_s)

    def _record_fence(self, call: Call, now: float) -> None:
        """Record that the worker now refuses the previous owner.

        The previous owner can have renewed the leases until ``now``.
        """
        lapsed_s = now + self._max_elapsed_s(self._settings.lease_s)
        for lease in call.channel.leases_of(call.attempt_ids):
            if lease.is_adopted:
                lease.is_adopted = False
                lease.lost_after_s = lapsed_s

    def _handle_poll_failure(
        self,
        call: Call,
        reply: CallFailed,
        now: float,
    ) -> Iterable[Signal]:
        channel = call.channel
        channel.record_failure(
            now,
            self._settings.first_retry_s,
            self._settings.longest_retry_s,
        )
        if reply.sent:
            self._record_possible_renewal(call, now)
        self._update_absence(channel, now)
        if now >= channel.answered_s + self._settings.acknowledge_s:
            channel.acknowledged.clear()
        return ()

    def _update_absence(self, channel: Channel, now: float) -> None:
        if not self._settings.list_is_authoritative:
            return
        workers = self._directory.workers_by_id if self._directory else {}
        if not workers or channel.worker_id in workers:
            channel.absent_since_s = None
        elif channel.absent_since_s is None:
            channel.absent_since_s = now

    def _end_lost(self, channel: Channel, now: float) -> Iterator[Signal]:
        """End attempts that can no longer run on an unreachable worker.

        The last failed call must be recent: after a pause of this process,
        the answers that arrived meanwhile are handled first.
        """
        silent_s = now - channel.failed_s
        if silent_s > self._settings.call_timeout_s + _REPORT_GRACE_S:
            return
        for lease in channel.leases_of(channel.unpolled_ids()):
            lost_after_s = self._lost_after_s(channel, lease)
            if now >= lost_after_s:
                yield self._end(channel, lease, 'lapsed', ran=None)
            else:
                self._schedule(channel, lost_after_s)

    def _lost_after_s(self, channel: Channel, lease: Lease) -> float:
        if not lease.is_adopted or channel.absent_since_s is None:
            return lease.lost_after_s
        lapsed_s = channel.absent_since_s + self._max_elapsed_s(
            self._settings.lease_s,
        )
        return min(lease.lost_after_s, lapsed_s)

    def _end_as_reported(
        self,
        channel: Channel,
        lease: Lease,
        report: AttemptReport,
    ) -> AttemptEnded:
        channel.leases_by_id.pop(report.attempt_id)
        return AttemptEnded(
            channel.journal_id,
            report.attempt_id,
            report.state,
            ran=True,
            message=report.message,
            output=report.output,
        )

    def _end(
        self,
        channel: Channel,
        lease: Lease,
        state: AttemptState,
        *,
        ran: bool | None,
    ) -> AttemptEnded:
        channel.leases_by_id.pop(lease.attempt.assigned.attempt_id)
        return _ending(lease.attempt, state, ran=ran)

    def _advance_channels(
        self,
        channels: Iterable[Channel],
        now: float,
    ) -> list[Signal]:
        following: list[Signal] = []
        for channel in channels:
            if not channel.is_closed:
                channel.wake_s = float('inf')
                following.extend(self._end_lost(channel, now))
                following.extend(self._send_stops(channel, now))
                following.extend(self._send_poll(channel, now))
                self._close_if_empty(channel)
        return following

    def _close_if_empty(self, channel: Channel) -> None:
        if channel.is_empty():
            self._close(channel)

    def _close(self, channel: Channel) -> None:
        channel.is_closed = True
        key = (channel.journal_id, channel.worker_id)
        channels_by_boot = self._channels_by_worker.get(key, {})
        channels_by_boot.pop(channel.boot_id, None)
        if not channels_by_boot:
            self._channels_by_worker.pop(key, None)

    def _send_stops(self, channel: Channel, now: float) -> Iterator[Signal]:
        stop_ids = channel.stop_ids()
        if not stop_ids:
            return
        if now >= channel.next_stop_s:
            channel.next_stop_s = now + self._settings.stop_retry_s
            call = self._new_call('stop', channel, stop_ids, now)
            epoch = self._table.epoch_of(channel.journal_id)
            yield self._send(
                call,
                StopTasks(channel.journal_id, epoch, stop_ids),
            )
        self._schedule(channel, channel.next_stop_s)

    def _send_poll(self, channel: Channel, now: float) -> Iterator[Signal]:
        ids_to_poll = channel.unpolled_ids()
        in_flight = len(channel.polls_by_number)
        # While a short poll is open, no new one is sent; the next long poll
        # then carries the attempts of both. Otherwise attempts that started
        # later would be short-polled forever.
        if any(
            poll.wait_s < self._settings.long_poll_s
            for poll in channel.polls_by_number.values()
        ):
            return
        is_idle = not ids_to_poll and (in_flight or not channel.acknowledged)
        if is_idle or in_flight >= MAX_POLLS:
            return
        due_s = self._next_poll_s(channel, now)
        if now < due_s:
            self._schedule(channel, due_s)
            return
        wait_s = self._wait_s(ids_to_poll, in_flight)
        if now >= channel.answered_s + self._settings.persist_s:
            if in_flight:
                return
            ids_to_poll, wait_s = (), 0
        if channel.is_adopted(ids_to_poll):
            # The clock must be known before a renewal can extend leases; a
            # poll without a wait returns it at once.
            wait_s = 0
        call = self._new_call('poll', channel, ids_to_poll, now, wait_s)
        yield self._send(call, self._poll_request(call, wait_s, now))

    def _wait_s(self, attempt_ids: tuple[str, ...], in_flight: int) -> float:
        if not attempt_ids:
            return 0
        if in_flight:
            return self._settings.short_poll_s
        return self._settings.long_poll_s

    def _next_poll_s(self, channel: Channel, now: float) -> float:
        """Return when to poll; after ``outage_s`` leases are not renewed."""
        if now >= self._view.lease_end_s + self._settings.outage_s:
            return now + self._settings.longest_retry_s
        return channel.next_poll_s

    def _poll_request(
        self,
        call: Call,
        wait_s: float,
        now: float,
    ) -> RenewLeases:
        channel = call.channel
        journal_id = channel.journal_id
        lease_until_s = None
        if call.attempt_ids:
            lease_until_s = self._settings.lease_s + channel.min_clock_s(now)
        return RenewLeases(
            journal_id,
            self._table.epoch_of(journal_id),
            call.attempt_ids,
            call.acknowledged_ids,
            self._settings.lease_s,
            wait_s,
            lease_until_s,
        )


_REPLY_HANDLERS: dict[CallPurpose, Callable[..., Iterable[Signal]]] = {
    'start': TaskLeases._handle_start_reply,
    'poll': TaskLeases._handle_poll_reply,
    'stop': TaskLeases._handle_stop_reply,
}


def _ending(
    attempt: Attempt,
    state: AttemptState,
    *,
    ran: bool | None,
) -> AttemptEnded:
    attempt_id = attempt.assigned.attempt_id
    return AttemptEnded(attempt.journal_id, attempt_id, state, ran=ran)
