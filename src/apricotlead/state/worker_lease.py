"""What is known of a worker's clock and its lease.

A worker kills everything when its lease ends, on its own clock. A run whose
worker cannot be reached may be started elsewhere once the lease has certainly
ended.
"""

from msgspec import Struct
from msgspec.structs import replace

_MS_PER_S = 1000.0
# The part of a lease after which a worker is called silent, at most.
_SILENT_SHARE = 0.5


class LeaseTimes(Struct, frozen=True):
    """Settings of leases, in seconds.

    ``lease_s`` is what a hold grants: as long as workers allow, so that work
    outlasts cuts and outages, at the price that it waits as long to begin again
    when its worker is lost. ``longest_s`` bounds any grant from the last
    confirmed renewal of the scheduler's own epoch. ``slowest_clock`` is
    how much longer a worker's second may be than a second here. ``margin_s``
    covers timers and rounding. A worker is used while its last answer is
    less than ``silent_s`` old.
    """

    lease_s: float = 8.0
    longest_s: float = 9.2
    slowest_clock: float = 1.03
    margin_s: float = 0.1
    silent_s: float = 3.2

    def max_lease_s(self, longest_hold_s: float) -> float:
        """Return the longest lease that a worker takes over whole.

        Workers cut leases after ``longest_hold_s`` on their own clock, which
        may have run slow since it was last read.
        """
        return longest_hold_s / self.slowest_clock**2 - self.margin_s

    def bounded(self, most_s: float) -> 'LeaseTimes':
        """Return leases of at most ``most_s`` in the same proportions.

        A worker has to be called silent well within its lease.
        """
        if self.lease_s <= most_s:
            return self
        factor = most_s / self.lease_s
        return replace(
            self,
            lease_s=most_s,
            longest_s=self.longest_s * factor,
            silent_s=min(self.silent_s, most_s * _SILENT_SHARE),
        )


class WorkerLease:
    """The lease of one life of a worker, as granted by this scheduler.

    ``inherited_until_s`` is the local time until which a former scheduler's
    grant may hold.
    """

    __slots__ = (
        '_clock_ms',
        '_clock_s',
        '_most_lead_ms',
        '_times',
        'last_contact_s',
        'has_contact',
        'latest_expiry_s',
    )

    def __init__(
        self,
        times: LeaseTimes,
        now: float,
        inherited_until_s: float = 0.0,
    ) -> None:
        """Begin before the first contact; ``has_contact`` tells of a first one."""
        self._times = times
        self._clock_ms: float | None = None
        self._clock_s = now
        self._most_lead_ms = float('inf')
        self.has_contact = False
        self.last_contact_s = now
        self.latest_expiry_s = inherited_until_s

    def is_usable(self, now: float) -> bool:
        """Return whether the worker answered lately under this epoch."""
        return (
            self.has_contact
            and now - self.last_contact_s < self._times.silent_s
        )

    def deadline(self, now: float, renewed_s: float) -> float | None:
        """Return a deadline on the worker's clock, and count it as sent.

        ``renewed_s`` is when the last confirmed renewal of the scheduler's
        epoch was sent. ``None`` without a known clock, or when the renewal is
        too old to grant anything.
        """
        if self._clock_ms is None:
            return None
        times = self._times
        until_s = min(now + times.lease_s, renewed_s + times.longest_s)
        if until_s <= now:
            return None
        # The worker's clock reads at least ``_clock_ms`` at ``_clock_s``.
        span_s = until_s - self._clock_s
        over_s = self._clock_s + span_s * times.slowest_clock + times.margin_s
        self.latest_expiry_s = max(self.latest_expiry_s, over_s)
        return float(int(self._clock_ms + span_s * _MS_PER_S))

    def record_answer(self, clock_ms: float, sent_s: float, now: float) -> None:
        """Note the worker's clock in the answer to a call sent at ``sent_s``.

        Such an answer may arrive after that of a later call.
        """
        self.last_contact_s = max(self.last_contact_s, now)
        if self._clock_ms is None or clock_ms > self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_s = now
        # The worker's clock read at most ``clock_ms`` when the call left.
        lead_ms = clock_ms - sent_s * _MS_PER_S
        self._most_lead_ms = min(self._most_lead_ms, lead_ms)

    def reported_s(self, clock_ms: float, now: float) -> float:
        """Return the local time at which the worker's clock read this.

        At most a call's way too early, and never later than ``now``. A
        process that was paused handles a report long after it was made.
        """
        if self._most_lead_ms == float('inf'):
            return now
        return min(now, (clock_ms - self._most_lead_ms) / _MS_PER_S)
