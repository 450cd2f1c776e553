"""Settings of the cell's scheduler; times in seconds."""

from msgspec import Struct, field
from msgspec.structs import replace

from apricotlead.state.worker_lease import LeaseTimes


class HoldTimes(Struct, frozen=True):
    """How workers are watched and ordered about, in seconds.

    ``wait_s`` is how long a worker holds a call until a run ends; it has to
    be well under ``LeaseTimes.silent_s``. An answer is lost when it comes
    ``least_slack_s`` later, or more where answers lately were late, up to
    ``answer_slack_s``. While workers leave some calls
    unanswered, which shows when an answer follows, ``lossy_wait_s`` is used
    for ``lossy_s``: the end in a lost answer is then seen sooner.
    ``pace_s`` is left after an end before the next call, where no run is
    urgent; it saves a fifth of all calls on a calm day.
    ``unacked_pause_s`` spaces calls while ends cannot be acknowledged, since
    such calls return at once. A call without an answer is followed by one that
    waits for nothing, at once, and then after ``retry_pause_s`` times the number
    of those missed, up to ``most_pauses``. A start is repeated, which is harmless, after
    each of ``start_timeouts_s``, the last one again and again.
    """

    wait_s: float = 1.8
    lossy_wait_s: float = 0.35
    lossy_s: float = 8.0
    pace_s: float = 0.4
    unacked_pause_s: float = 0.8
    retry_pause_s: float = 0.3
    most_pauses: int = 3
    least_slack_s: float = 0.15
    answer_slack_s: float = 0.4
    stop_retry_s: float = 0.4
    unhealthy_pause_s: float = 1.5
    start_timeouts_s: tuple[float, ...] = (0.2, 0.4, 0.8)

    def scaled(self, factor: float) -> 'HoldTimes':
        """Return calls for leases that are longer by ``factor``."""
        return replace(
            self,
            wait_s=self.wait_s * factor,
            lossy_wait_s=self.lossy_wait_s * factor,
            pace_s=self.pace_s * factor,
            unacked_pause_s=self.unacked_pause_s * factor,
            retry_pause_s=self.retry_pause_s * factor,
            least_slack_s=self.least_slack_s * factor,
            answer_slack_s=self.answer_slack_s * factor,
        )


class ElectionTimes(Struct, frozen=True):
    """How a scheduler is elected, in seconds.

    ``watch_s`` is how long the scheduler holds a call of one of the
    ``deputies`` best candidates, and ``far_watch_s`` that of another follower.
    ``renew_s`` spaces renewals without other writes. After ``store_lost_s``
    without an answer of the store, or ``turned_away_s`` of refusals and broken
    connections, which are no sign of a slow store, the scheduler asks its
    followers to take over; one that can read the store does.
    One that does not answer is replaced once its last write is more than
    ``silent_owner_s`` old: two renewals, which a healthy store takes at once;
    later where the scheduler has told that it is held up for longer. That
    doubles with each term in a row that silence ended in less than
    ``short_term_s``, up to ``most_silent_owner_s``.
    A deputy waits ``deputy_delay_s`` for each better one, any other instance
    ``small_delay_s`` times the part of the largest instance's processor that
    it lacks, and up to ``stagger_s`` times three by chance and age; after
    ``old_instance_s`` it counts as old.
    ``unknown_cores`` is assumed of the largest instance until it is known. A
    scheduler hands over to an instance ``yield_ratio`` times as large, not
    before ``settled_s`` of its term.
    """

    watch_s: float = 0.25
    far_watch_s: float = 0.9
    deputies: int = 6
    deputy_delay_s: float = 0.06
    watch_slack_s: float = 0.25
    renew_s: float = 0.25
    silent_owner_s: float = 0.5
    short_term_s: float = 10.0
    most_silent_owner_s: float = 6.4
    store_lost_s: float = 1.0
    turned_away_s: float = 0.4
    stagger_s: float = 0.05
    small_delay_s: float = 0.5
    old_instance_s: float = 30.0
    unknown_cores: float = 4.0
    yield_ratio: float = 1.5
    settled_s: float = 2.0


class AdviceTimes(Struct, frozen=True):
    """How advice is asked ahead, in seconds.

    A ticket is used only while it has ``ticket_margin_s`` left. No call is
    queued behind more than ``backlog_s`` of calls of the same instance, and
    one that costs more than ``cheap_s`` behind no more than
    ``costly_backlog_s``, on the instances that are not kept for cheap calls.
    One that costs more than ``costly_s`` leaves a further quarter alone.
    An instance counts as idle ``answer_way_s`` after its calls should end, and
    is left alone for ``shun_s`` after one that brought no answer. An answer is
    lost when it is later than its backlog by ``least_slack_s``, or by more
    where answers lately were late, up to ``most_slack_s``.
    """

    ticket_margin_s: float = 0.12
    backlog_s: float = 0.9
    cheap_s: float = 0.05
    costly_s: float = 0.3
    costly_backlog_s: float = 0.3
    answer_way_s: float = 0.04
    shun_s: float = 1.0
    least_slack_s: float = 0.15
    most_slack_s: float = 1.4
    retry_s: float = 0.25


class CellSettings(Struct, frozen=True):
    """All settings of the cell's scheduler.

    The state of a finished job is told for ``keep_final_s`` seconds. A worker
    takes up to ``stop_s`` seconds to stop a run.
    """

    leases: LeaseTimes = field(default_factory=LeaseTimes)
    holds: HoldTimes = field(default_factory=HoldTimes)
    election: ElectionTimes = field(default_factory=ElectionTimes)
    advice: AdviceTimes = field(default_factory=AdviceTimes)
    keep_final_s: float = 120.0
    stop_s: float = 0.9

    def bounded(self, longest_hold_s: float) -> 'CellSettings':
        """Return settings whose leases no worker cuts.

        ``longest_hold_s`` is where workers cut a lease. Calls to workers are
        shortened with the leases that they extend.
        """
        leases = self.leases.bounded(self.leases.max_lease_s(longest_hold_s))
        factor = leases.silent_s / self.leases.silent_s
        return replace(self, leases=leases, holds=self.holds.scaled(factor))
