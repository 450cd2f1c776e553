"""The scheduler's knowledge of a worker's clock and lease.

A worker kills all its runs when its lease expires on its own clock. A run
whose worker cannot be reached may be started elsewhere once the lease has
certainly expired.
"""

from msgspec import Struct
from msgspec.structs import replace

_MS_PER_S = 1000.0
# A worker counts as silent after at most this fraction of its lease.
_MAX_SILENT_FRACTION = 0.5


class LeaseTimes(Struct, frozen=True):
    """Settings of leases, in seconds.

    ``lease_s`` is the lease that a hold call grants: as long as workers allow,
    so that work survives network partitions and outages, at the cost that it
    restarts only that much later when its worker is lost. ``longest_s`` limits
    every grant, counted from the last confirmed renewal of the scheduler's own
    epoch. ``slowest_clock`` is the largest ratio of a worker's second to a
    local second. ``margin_s`` covers timers and rounding. A worker is used
    while its last answer is less than ``silent_s`` old. ``longest_hold_s`` is
    the longest lease that a worker accepts, on its own clock: it truncates any
    deadline to that, also one on the clock of a former incarnation.
    ``delivery_s`` is how long a call may take to reach its worker, and
    ``late_call_s`` how long after its sending a worker may still carry out a
    call that it has not answered.
    """

    lease_s: float = 8.0
    longest_s: float = 9.2
    slowest_clock: float = 1.03
    margin_s: float = 0.1
    silent_s: float = 3.2
    longest_hold_s: float = 10.0
    delivery_s: float = 0.8
    late_call_s: float = 12.0

    @property
    def start_within_s(self) -> float:
        """Return how long after its planning a start may be sent."""
        return self.lease_s / 2

    @property
    def longest_run_s(self) -> float:
        """Return how long a run may last without a further call."""
        return self.longest_hold_s * self.slowest_clock + self.margin_s

    @property
    def misdirected_s(self) -> float:
        """Return how long a run may last that reached another incarnation.

        Counted from when its start was sent.
        """
        return self.delivery_s + self.longest_run_s

    def late_start_until_s(self, sent_s: float) -> float:
        """Return until when a worker may carry out a start without an answer.

        It may do so in any of its lives.
        """
        return sent_s + self.late_call_s

    def late_run_until_s(self, sent_s: float) -> float:
        """Return when a run has ended whose start got no answer."""
        return self.late_start_until_s(sent_s) + self.longest_run_s

    def max_lease_s(self, longest_hold_s: float) -> float:
        """Return the longest lease that a worker accepts unshortened.

        Workers truncate leases to ``longest_hold_s`` on their own clock, which
        may have run slow since it was last read.
        """
        return longest_hold_s / self.slowest_clock**2 - self.margin_s

    def bounded(self, limit_s: float) -> 'LeaseTimes':
        """Return the settings scaled down to leases of at most ``limit_s``.

        A worker must count as silent well before its lease expires.
        """
        if self.lease_s <= limit_s:
            return self
        factor = limit_s / self.lease_s
        return replace(
            self,
            lease_s=limit_s,
            longest_s=self.longest_s * factor,
            silent_s=min(self.silent_s, limit_s * _MAX_SILENT_FRACTION),
        )


class WorkerLease:
    """The lease of one incarnation of a worker, as granted by this scheduler.

    ``inherited_until_s`` is the local time until which a former scheduler's
    grant may be valid. ``latest_expiry_s`` is the local time after which the
    lease has certainly expired. ``misdirected_until_s`` is the same for runs
    whose start may have reached a later incarnation under the same id.
    """

    __slots__ = (
        '_clock_ms',
        '_clock_s',
        '_max_clock_lead_ms',
        '_times',
        'has_contact',
        'last_contact_s',
        'latest_expiry_s',
        'misdirected_until_s',
    )

    def __init__(
        self,
        times: LeaseTimes,
        now: float,
        inherited_until_s: float = 0.0,
    ) -> None:
        """Start before the first contact; ``has_contact`` is set by callers."""
        self._times = times
        self._clock_ms: float | None = None
        self._clock_s = now
        self._max_clock_lead_ms = float('inf')
        self.has_contact = False
        self.last_contact_s = now
        self.latest_expiry_s = inherited_until_s
        self.misdirected_until_s = inherited_until_s

    @property
    def times(self) -> LeaseTimes:
        """Return the settings of leases."""
        return self._times

    @property
    def has_ever_answered(self) -> bool:
        """Return whether any call of this term was answered."""
        return self._clock_ms is not None

    def is_usable(self, now: float) -> bool:
        """Return whether the worker answered recently under this epoch."""
        return (
            self.has_contact
            and now - self.last_contact_s < self._times.silent_s
        )

    def deadline(self, now: float, renewed_s: float) -> float | None:
        """Return a deadline on the worker's clock, and treat it as granted.

        ``renewed_s`` is when the last confirmed renewal of the scheduler's
        epoch was sent. ``None`` if the worker's clock is unknown, or if the
        renewal is too old to grant anything.
        """
        if self._clock_ms is None:
            return None
        times = self._times
        lease_end_s = min(now + times.lease_s, renewed_s + times.longest_s)
        if lease_end_s <= now:
            return None
        # The worker's clock reads at least ``_clock_ms`` at ``_clock_s``.
        duration_s = lease_end_s - self._clock_s
        expiry_s = (
            self._clock_s + duration_s * times.slowest_clock + times.margin_s
        )
        self.latest_expiry_s = max(self.latest_expiry_s, expiry_s)
        return float(int(self._clock_ms + duration_s * _MS_PER_S))

    def note_grant_sent(self, now: float) -> None:
        """Record that a call with a deadline is sent now.

        An incarnation that it is not meant for counts the deadline from its
        own start, so the lease there is the longest that a worker accepts.
        """
        self.misdirected_until_s = max(
            self.misdirected_until_s, now + self._times.misdirected_s
        )

    def inherit(self, former: 'WorkerLease', now: float) -> None:
        """Account for what calls to former incarnations may have granted.

        Those that they had not answered may be carried out by this one, but no
        later than ``late_call_s`` from now.
        """
        times = self._times
        last_s = now + times.late_call_s + times.longest_run_s
        until_s = min(
            last_s, max(former.latest_expiry_s, former.misdirected_until_s)
        )
        late_s = until_s + times.late_call_s - times.delivery_s
        self.latest_expiry_s = max(self.latest_expiry_s, until_s)
        self.misdirected_until_s = max(
            self.misdirected_until_s, min(last_s, late_s)
        )

    def note_start_taken(
        self, deadline_ms: float, clock_ms: float, now: float
    ) -> float:
        """Return when a run ends at the latest that an answer shows as taken.

        The deadline is compared with the clock in the answer, so the result
        holds for whichever incarnation has answered.
        """
        times = self._times
        left_s = (deadline_ms - clock_ms) / _MS_PER_S
        granted_s = min(times.longest_hold_s, left_s) * times.slowest_clock
        until_s = now + granted_s + times.margin_s
        self.misdirected_until_s = max(self.misdirected_until_s, until_s)
        return until_s

    def shows_restart(self, clock_ms: float, sent_s: float) -> bool:
        """Return whether an answer proves that the worker has restarted.

        That is so if its clock shows less than it did before the call was
        sent, as the clock of an incarnation never goes back.
        """
        if self._clock_ms is None or sent_s < self._clock_s:
            return False
        return 0 < clock_ms < self._clock_ms

    def record_answer(self, clock_ms: float, sent_s: float, now: float) -> None:
        """Record the worker's clock in the answer to a call sent at ``sent_s``.

        The answer may arrive after that of a later call.
        """
        self.last_contact_s = max(self.last_contact_s, now)
        if self._clock_ms is None or clock_ms > self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_s = now
        # The worker's clock read at most ``clock_ms`` when the call left.
        clock_lead_ms = clock_ms - sent_s * _MS_PER_S
        self._max_clock_lead_ms = min(self._max_clock_lead_ms, clock_lead_ms)

    def reported_s(self, clock_ms: float, now: float) -> float:
        """Return the local time of a report stamped ``clock_ms`` by the worker.

        Too early by at most the one-way latency of a call, and never later
        than ``now``. A process that was paused handles a report long after it
        was made.
        """
        if self._max_clock_lead_ms == float('inf'):
            return now
        return min(now, (clock_ms - self._max_clock_lead_ms) / _MS_PER_S)
