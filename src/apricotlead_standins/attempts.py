"""State and resource use of one attempt on a simulated worker."""

from msgspec import Struct

from apricotlead_standins.task_payload import Payload, parse_payload
from apricotlead_standins.worker_messages import (
    AttemptReport,
    Resources,
    StartTask,
)

RUNNING = 'running'
LAPSED = 'lapsed'
STOPPED = 'stopped'
SUCCEEDED = 'succeeded'
FAILED = 'failed'


class _CpuCap(Struct, frozen=True):
    since_s: float
    cpu_millis: int


class Attempt:
    """A running or ended attempt; times are on the worker's clock.

    The end state depends on the time alone: the earliest of completion, stop
    and lease expiry decides it. A paused worker therefore reports the same
    end state as one that was not paused.
    """

    __slots__ = (
        '_caps',
        '_end_s',
        '_payload',
        '_started_s',
        '_stop_s',
        'lease_end_s',
        'start',
        'state',
    )

    def __init__(self, start: StartTask, clock_s: float, fails: bool) -> None:
        """Start the attempt; with ``fails`` it fails immediately."""
        self.start = start
        self.state = RUNNING
        self.lease_end_s = clock_s + start.lease_s
        self._payload = parse_payload(start.task)
        if fails:
            self._payload = Payload(0, fails=True)
        self._started_s = clock_s
        self._end_s = clock_s + self._payload.run_s
        self._stop_s = float('inf')
        self._caps = [_CpuCap(clock_s, self._uncapped_use().cpu_millis)]

    @property
    def expected_end_s(self) -> float:
        """Return the earliest of completion, stop and lease expiry."""
        return min(self._end_s, self._stop_s, self.lease_end_s)

    @property
    def is_running(self) -> bool:
        """Return whether the attempt is still running."""
        return self.state == RUNNING

    def advance(self, clock_s: float) -> bool:
        """End the attempt if it is due; return whether it ended now."""
        if not self.is_running or clock_s < self.expected_end_s:
            return False
        self.state = self._end_state()
        return True

    def renew(self, lease_end_s: float) -> None:
        """Extend the lease; a delayed message never shortens it."""
        self.lease_end_s = max(self.lease_end_s, lease_end_s)

    def stop(self, stop_s: float) -> None:
        """Stop at ``stop_s``, or at an earlier time requested before."""
        self._stop_s = min(self._stop_s, stop_s)

    def throttle(self, cpu_millis: int, clock_s: float) -> None:
        """Cap the CPU use; the rest of the run takes longer in proportion."""
        current = self._caps[-1].cpu_millis
        capped = max(1, min(cpu_millis, self._uncapped_use().cpu_millis))
        if current:
            remaining_s = max(0, self._end_s - clock_s)
            self._end_s = clock_s + remaining_s * current / capped
            self._caps.append(_CpuCap(clock_s, capped))

    def report(self, as_of_s: float) -> AttemptReport:
        """Return the state, and the resource use as of ``as_of_s``.

        An ended attempt holds no resources, so its demand is reported as zero.
        """
        if not self.is_running:
            return AttemptReport(
                self.start.attempt_id,
                self.state,
                self.start.journal_id,
                message=self._message(),
                output=self._output(),
            )
        return AttemptReport(
            self.start.attempt_id,
            self.state,
            self.start.journal_id,
            self.start.task.demand,
            self.use_at(as_of_s),
            traits=self.start.traits,
        )

    def listing_entry(self, as_of_s: float) -> AttemptReport:
        """Return the heartbeat entry: use only where it exceeds demand."""
        used = Resources()
        demand = Resources()
        if self.is_running:
            demand = self.start.task.demand
            used = self.use_at(as_of_s)
        return AttemptReport(
            self.start.attempt_id,
            self.state,
            self.start.journal_id,
            demand,
            Resources() if used.fits_in(demand) else used,
            traits=self.start.traits,
        )

    def use_at(self, as_of_s: float) -> Resources:
        """Return the resource use at a time of the worker's clock."""
        use = self._uncapped_use()
        caps = [cap for cap in self._caps if cap.since_s <= as_of_s]
        if not caps:
            return Resources()
        return Resources(caps[-1].cpu_millis, use.memory_mb, use.accelerators)

    def _end_state(self) -> str:
        first_s = self.expected_end_s
        if first_s == self._end_s:
            return FAILED if self._payload.fails else SUCCEEDED
        return STOPPED if first_s == self._stop_s else LAPSED

    def _message(self) -> str:
        if self.state == FAILED:
            return 'the command failed'
        if self.state == LAPSED:
            return 'the lease lapsed; a checkpoint was written'
        return ''

    def _output(self) -> str:
        return self._payload.output if self.state == SUCCEEDED else ''

    def _uncapped_use(self) -> Resources:
        demand = self.start.task.demand
        factor = self._payload.use_factor
        return Resources(
            int(demand.cpu_millis * factor),
            int(demand.memory_mb * factor),
            demand.accelerators,
        )
