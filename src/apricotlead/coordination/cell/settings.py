"""Settings of the cell's scheduler; times in seconds."""

from msgspec import Struct, field
from msgspec.structs import replace

from apricotlead.state.worker_lease import LeaseTimes

# Of a platform that names no limit.
DEFAULT_ROW_BYTES = 65536


class HoldTimes(Struct, frozen=True):
    """How workers are polled and sent orders, in seconds.

    A hold lasts until a run ends, for at most ``wait_s``, which has to be well
    below ``LeaseTimes.silent_s``. An answer counts as lost once it is
    ``least_slack_s`` late; after late answers the limit grows, up to
    ``answer_slack_s``. If a worker answers again soon after an unanswered
    call, the network is losing messages: ``lossy_wait_s`` then replaces
    ``wait_s`` for ``lossy_s``, so that an end in a lost answer is seen sooner.
    After an end, the next hold is delayed by ``pace_s`` if no run is urgent,
    which saves a fifth of all calls under low load. ``unacked_pause_s`` spaces
    calls while ends cannot be acknowledged, since such calls return at once.
    After a hold without an answer, the next one follows at once and does not
    wait for an end; the pauses after it are ``retry_pause_s`` times the number
    of unanswered holds, up to ``most_pauses``. A start is repeated after each
    of ``start_timeouts_s``, then at intervals of the last one; starts are
    idempotent.
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
        """Return settings for leases that are ``factor`` times as long."""
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

    ``watch_s`` is how long the scheduler holds a call from one of the
    ``deputies`` best candidates, ``far_watch_s`` a call from another follower.
    Without other writes, the scheduler renews its term every ``renew_s``. It
    asks its followers to take over after ``store_lost_s`` without an answer
    from the store, or after ``turned_away_s`` of refusals and broken
    connections, which a slow store does not cause; a follower that can read
    the store then takes over. A term that is still loading ends ``store_lost_s``
    after the first of its reads that failed.
    A scheduler that does not answer is replaced once its last write is more
    than ``silent_owner_s`` old. That is two renewals, which a healthy store
    commits at once. A scheduler that has reported longer delays of its own is
    given more time. The limit doubles with each consecutive term that silence
    ended within ``short_term_s``, up to ``most_silent_owner_s``.
    A deputy waits ``deputy_delay_s`` for each better one. Any other instance
    waits ``small_delay_s`` times the fraction of the largest instance's cores
    that it lacks, plus up to three times ``stagger_s`` by chance and age; the
    age counts up to ``old_instance_s``.
    ``unknown_cores`` is assumed for the largest instance until it is known. A
    scheduler hands over to an instance with ``yield_ratio`` times its cores,
    but not before ``settled_s`` of its term have passed.
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
    """How advice is requested before placement, in seconds.

    A ticket is used only if it stays valid for another ``ticket_margin_s``. No
    call is queued behind more than ``backlog_s`` of calls of the same
    instance. A call that costs more than ``cheap_s`` is queued behind at most
    ``costly_backlog_s``, and only on instances that are not reserved for cheap
    calls. A call that costs more than ``costly_s`` may not use a further
    quarter of the instances.
    An instance counts as idle ``answer_way_s`` after its calls should have
    ended. It gets no calls for ``shun_s`` after one that brought no answer. An
    answer counts as lost once it is ``least_slack_s`` later than its backlog
    explains; after late answers the limit grows, up to ``most_slack_s``. A
    step is not asked about again within ``retry_s`` of a call that failed.
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

    The state of a finished job can be read for ``keep_final_s`` seconds. A
    worker takes up to ``stop_s`` seconds to stop a run. A term reads
    ``open_scans`` tables at a time while it loads, and then the lists of
    ``open_lists`` workers at a time. The jobs of a journal write have up to
    ``tasks_per_write`` tasks. The store takes values of up to ``row_bytes``.
    """

    leases: LeaseTimes = field(default_factory=LeaseTimes)
    holds: HoldTimes = field(default_factory=HoldTimes)
    election: ElectionTimes = field(default_factory=ElectionTimes)
    advice: AdviceTimes = field(default_factory=AdviceTimes)
    keep_final_s: float = 120.0
    stop_s: float = 0.9
    open_scans: int = 32
    open_lists: int = 4096
    tasks_per_write: int = 8000
    row_bytes: int = DEFAULT_ROW_BYTES

    def bounded(self, longest_hold_s: float) -> 'CellSettings':
        """Return settings with leases that no worker shortens.

        Workers shorten leases to ``longest_hold_s``. Calls to workers are
        scaled with the leases that they extend.
        """
        leases = self.leases.bounded(self.leases.max_lease_s(longest_hold_s))
        factor = leases.silent_s / self.leases.silent_s
        return replace(
            self,
            leases=replace(leases, longest_hold_s=longest_hold_s),
            holds=self.holds.scaled(factor),
        )
