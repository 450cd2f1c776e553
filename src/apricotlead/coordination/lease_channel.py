"""The attempts of one journal on one worker, and the calls about them."""

from collections.abc import Iterable
from typing import Literal

from msgspec import Struct

from apricotlead.coordination.worker_clock import WorkerClock
from apricotlead.state.job_table import Attempt

CallPurpose = Literal['start', 'poll', 'stop']
# A long poll, and a short one for attempts that the long one lacks.
MAX_POLLS = 2


class Lease:
    """What is known of one attempt at its worker.

    ``started`` is ``None`` while the answer to the start is outstanding and
    ``False`` while it is unknown whether the worker has the attempt. From
    ``lost_after_s`` (own clock) on, the attempt is certain not to run unless
    a renewal in flight carries it. ``is_adopted`` lasts until the worker has
    seen the epoch of this session.
    """

    __slots__ = (
        'attempt',
        'begun_s',
        'is_adopted',
        'lost_after_s',
        'started',
        'stop_wanted',
    )

    def __init__(
        self,
        attempt: Attempt,
        begun_s: float,
        lost_after_s: float,
    ) -> None:
        """Begin with a start whose answer is outstanding."""
        self.attempt = attempt
        self.begun_s = begun_s
        self.lost_after_s = lost_after_s
        self.is_adopted = False
        self.started: bool | None = None
        self.stop_wanted = False

    def is_of_earlier_boot(self, boot_id: str, asked_s: float) -> bool:
        """Tell whether the worker has restarted since the assignment.

        ``boot_id`` answers a call sent at ``asked_s``. The late answer to a
        call that is older than the lease can come from the boot before.
        """
        if asked_s < self.begun_s:
            return False
        return self.attempt.assigned.boot_id != boot_id


class Call(Struct, frozen=True, eq=False):
    """A request in flight, given up at ``due_s``."""

    purpose: CallPurpose
    channel: 'Channel'
    attempt_ids: tuple[str, ...]
    sent_s: float
    due_s: float
    acknowledged_ids: tuple[str, ...] = ()
    wait_s: float = 0.0


class Channel:
    """All that concerns one worker and one journal.

    ``answered_s`` is the time of the worker's last answer, ``failed_s`` that
    of the last failure since then, ``delay_s`` the pause before the next call
    after a failed one (0 after an answer).
    """

    __slots__ = (
        'absent_since_s',
        'acknowledged',
        'address',
        'answered_s',
        'clock',
        'delay_s',
        'failed_s',
        'is_closed',
        'journal_id',
        'leases_by_id',
        'next_poll_s',
        'next_stop_s',
        'polls_by_number',
        'wake_s',
        'worker_id',
    )

    def __init__(self, attempt: Attempt, max_drift: float, now: float) -> None:
        """Begin without attempts; the worker counts as having answered."""
        self.clock = WorkerClock(max_drift)
        self.journal_id = attempt.journal_id
        self.worker_id = attempt.assigned.worker_id
        self.address = attempt.assigned.address
        self.leases_by_id: dict[str, Lease] = {}
        self.acknowledged: dict[str, None] = {}
        self.polls_by_number: dict[int, Call] = {}
        self.answered_s = now
        self.absent_since_s: float | None = None
        self.failed_s = float('-inf')
        self.delay_s = 0.0
        self.next_poll_s = now
        self.next_stop_s = now
        self.wake_s = float('inf')
        self.is_closed = False

    def is_empty(self) -> bool:
        """Tell whether nothing is left to do or to wait for."""
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

    def uncovered_ids(self) -> tuple[str, ...]:
        """Return the pollable attempts that no poll in flight carries."""
        covered: set[str] = set()
        for poll in self.polls_by_number.values():
            covered.update(poll.attempt_ids)
        return tuple(
            attempt_id
            for attempt_id in self.pollable_ids()
            if attempt_id not in covered
        )

    def is_adopted(self, attempt_ids: Iterable[str]) -> bool:
        """Tell whether the worker has not answered for one of these yet."""
        return any(lease.is_adopted for lease in self.leases_of(attempt_ids))

    def stop_ids(self) -> tuple[str, ...]:
        """Return the attempts that shall stop."""
        return tuple(
            attempt_id
            for attempt_id, lease in self.leases_by_id.items()
            if lease.stop_wanted
        )

    def leases_of(self, attempt_ids: Iterable[str]) -> tuple[Lease, ...]:
        """Return the leases among these that have not ended."""
        found = (self.leases_by_id.get(one) for one in attempt_ids)
        return tuple(lease for lease in found if lease is not None)

    def least_clock_s(self, attempt_ids: Iterable[str], now: float) -> float:
        """Return the least that the worker's clock shows for all of these.

        The attempts can be of several boots. The least of their clocks is
        safe for each, and the answer sorts out those of an earlier boot.
        """
        boot_ids = {
            lease.attempt.assigned.boot_id
            for lease in self.leases_of(attempt_ids)
        }
        return min(self.clock.min_clock_s(boot_id, now) for boot_id in boot_ids)

    def note_clock(self, boot_id: str, clock_s: float, now: float) -> None:
        """Learn the worker's clock; forget boots that nothing refers to."""
        self.clock.observe(boot_id, clock_s, now)
        boot_ids = {
            lease.attempt.assigned.boot_id
            for lease in self.leases_by_id.values()
        }
        self.clock.keep_only(boot_ids | {boot_id})

    def note_answer(self, now: float) -> None:
        """Ask again without a pause."""
        self.answered_s = now
        self.absent_since_s = None
        self.failed_s = float('-inf')
        self.delay_s = 0
        self.next_poll_s = now

    def note_failure(
        self, now: float, first_s: float, longest_s: float
    ) -> None:
        """Pause before the next poll, twice as long as the last time."""
        self.failed_s = now
        self.delay_s = min(max(first_s, self.delay_s * 2), longest_s)
        self.next_poll_s = now + self.delay_s
