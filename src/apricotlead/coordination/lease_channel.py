"""State of one journal's attempts in one life of a worker, and its calls."""

from collections.abc import Iterable
from typing import Literal

from msgspec import Struct

from apricotlead.coordination.worker_clock import WorkerClock
from apricotlead.state.job_table import Attempt

CallPurpose = Literal['start', 'poll', 'stop']
# A long poll, and a short one for attempts that started after it was sent.
MAX_POLLS = 2


class Lease:
    """The state of one attempt on its worker, as known to this session.

    ``started`` is ``None`` while the answer to the start is outstanding and
    ``False`` while it is unknown whether the worker has the attempt. From
    ``lost_after_s`` on (this process's clock), the attempt is certain not to
    run unless a renewal in flight carries it. ``is_adopted`` is true until the
    worker has seen this session's epoch.
    """

    __slots__ = (
        'attempt',
        'created_s',
        'is_adopted',
        'is_stop_requested',
        'lost_after_s',
        'started',
    )

    def __init__(
        self,
        attempt: Attempt,
        created_s: float,
        lost_after_s: float,
    ) -> None:
        """Create a lease whose start has not been answered."""
        self.attempt = attempt
        self.created_s = created_s
        self.lost_after_s = lost_after_s
        self.is_adopted = False
        self.started: bool | None = None
        self.is_stop_requested = False

    def is_of_earlier_boot(self, boot_id: str, asked_s: float) -> bool:
        """Return whether the worker has restarted since the assignment.

        ``boot_id`` is from the answer to a call sent at ``asked_s``. A late
        answer to a call older than the lease can come from an earlier boot.
        """
        if asked_s < self.created_s:
            return False
        return self.attempt.assigned.boot_id != boot_id


class Call(Struct, frozen=True, eq=False):
    """A request in flight, which times out at ``due_s``."""

    purpose: CallPurpose
    channel: 'Channel'
    attempt_ids: tuple[str, ...]
    sent_s: float
    due_s: float
    acknowledged_ids: tuple[str, ...] = ()
    wait_s: float = 0.0


class Channel:
    """The leases, polls and timers of one journal on one boot of a worker.

    ``opened_s`` is a time at which this boot had begun, ``answered_s`` the
    time of the last answer, ``failed_s`` that of the last failure since then,
    ``delay_s`` the back-off before the next poll after a failed one (0 after
    an answer).
    """

    __slots__ = (
        'absent_since_s',
        'acknowledged',
        'address',
        'answered_s',
        'boot_id',
        'clock',
        'delay_s',
        'failed_s',
        'is_closed',
        'journal_id',
        'leases_by_id',
        'next_poll_s',
        'next_stop_s',
        'opened_s',
        'polls_by_number',
        'wake_s',
        'worker_id',
    )

    def __init__(self, attempt: Attempt, max_drift: float, now: float) -> None:
        """Create an empty channel, as if the worker had answered at ``now``."""
        self.clock = WorkerClock(max_drift)
        self.journal_id = attempt.journal_id
        self.worker_id = attempt.assigned.worker_id
        self.boot_id = attempt.assigned.boot_id
        self.address = attempt.assigned.address
        self.leases_by_id: dict[str, Lease] = {}
        self.acknowledged: dict[str, None] = {}
        self.polls_by_number: dict[int, Call] = {}
        self.opened_s = now
        self.answered_s = now
        self.absent_since_s: float | None = None
        self.failed_s = float('-inf')
        self.delay_s = 0.0
        self.next_poll_s = now
        self.next_stop_s = now
        self.wake_s = float('inf')
        self.is_closed = False

    def is_empty(self) -> bool:
        """Return whether it has no leases, acknowledgements or polls."""
        return not (
            self.leases_by_id or self.acknowledged or self.polls_by_number
        )

    def pollable_ids(self) -> tuple[str, ...]:
        """Return the attempts whose start has an outcome."""
        return tuple(
            attempt_id
            for attempt_id, lease in self.leases_by_id.items()
            if lease.started is not None
        )

    def unpolled_ids(self) -> tuple[str, ...]:
        """Return the pollable attempts that no poll in flight carries."""
        polled_ids: set[str] = set()
        for poll in self.polls_by_number.values():
            polled_ids.update(poll.attempt_ids)
        return tuple(
            attempt_id
            for attempt_id in self.pollable_ids()
            if attempt_id not in polled_ids
        )

    def is_adopted(self, attempt_ids: Iterable[str]) -> bool:
        """Return whether any of these leases is adopted."""
        return any(lease.is_adopted for lease in self.leases_of(attempt_ids))

    def stop_ids(self) -> tuple[str, ...]:
        """Return the attempts whose stop was requested."""
        return tuple(
            attempt_id
            for attempt_id, lease in self.leases_by_id.items()
            if lease.is_stop_requested
        )

    def leases_of(self, attempt_ids: Iterable[str]) -> tuple[Lease, ...]:
        """Return the leases of these attempts that have not ended."""
        found = (self.leases_by_id.get(one) for one in attempt_ids)
        return tuple(lease for lease in found if lease is not None)

    def min_clock_s(self, now: float) -> float:
        """Return a lower bound of the clock of this boot."""
        return self.clock.lower_bound_s(self.boot_id, now)

    def record_clock(self, boot_id: str, clock_s: float, now: float) -> None:
        """Record the clock in an answer, unless another boot has answered."""
        if boot_id == self.boot_id:
            self.clock.observe(boot_id, clock_s, now)

    def record_answer(self, now: float) -> None:
        """Reset the back-off, so that the next poll is due at once."""
        self.answered_s = now
        self.absent_since_s = None
        self.failed_s = float('-inf')
        self.delay_s = 0
        self.next_poll_s = now

    def record_failure(
        self, now: float, first_s: float, longest_s: float
    ) -> None:
        """Delay the next poll, with the back-off doubled."""
        self.failed_s = now
        self.delay_s = min(max(first_s, self.delay_s * 2), longest_s)
        self.next_poll_s = now + self.delay_s
