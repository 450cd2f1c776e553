"""Long-poll calls of the instances that follow a term's scheduler."""

import eventlet
from msgspec import Struct

from apricotlead.coordination.cell.election import rank_deputies
from apricotlead.coordination.cell.peer_ring import (
    PEERS_PER_FOLLOWER,
    PeerRing,
)
from apricotlead.coordination.cell.settings import ElectionTimes
from apricotlead.protocol.cell_peers import (
    Backlog,
    FollowerCall,
    SchedulerStatus,
)
from apricotlead.state.cell_followers import FollowerTable
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_journal_writer import JournalWriter
from apricotlead.transport.cell_links import RELEASED, TermState
from apricotlead.transport.wake_up import Broadcast

_STORE_POLL_S = 0.05
# Maximum age of the counts that followers receive.
_MAX_SUMMARY_AGE_S = 0.25


class _Summary(Struct, frozen=True):
    """The parts of the status that take a pass over the whole cell."""

    computed_s: float = float('-inf')
    pending_by_queue: dict[str, int] = {}
    backlog: Backlog = Backlog()
    ranks_by_address: dict[str, int] = {}
    is_loaded: bool = False


class FollowerCalls:
    """Holds followers' calls until the term's status changes or they time out.

    Pattern: a hundred followers. Their calls wait for a single event, and
    share one summary of the cell.
    """

    __slots__ = (
        '_followers',
        '_is_released',
        '_journal',
        '_ring',
        '_state',
        '_status_changed',
        '_summary',
        '_times',
    )

    def __init__(
        self,
        state: TermState,
        journal: JournalWriter,
        times: ElectionTimes,
    ) -> None:
        """Start without followers."""
        self._state = state
        self._journal = journal
        self._times = times
        self._followers = FollowerTable()
        self._ring = PeerRing()
        self._status_changed = Broadcast()
        self._summary = _Summary()
        # Whether the term was released and has made its last write.
        self._is_released = False

    def addresses(self) -> list[str]:
        """Return the addresses of the followers in contact."""
        self._followers.drop_silent(boot_now())
        return self._followers.addresses()

    def peers(self, address: str, count: int | None = None) -> tuple[str, ...]:
        """Return the followers that serve an instance, the preferred first.

        These are all but itself, or the first ``count`` of them.
        """
        addresses = self.addresses()
        if addresses != self._ring.members:
            self._ring = PeerRing(addresses)
        return self._ring.after(address, count)

    def largest_cores(self) -> float:
        """Return the core count of the largest follower, 0 without any."""
        return self._followers.largest_cores()

    def status(
        self,
        peer_address: str = '',
        *,
        asks_peers: bool = False,
    ) -> SchedulerStatus:
        """Return the status for a follower or for the instance itself."""
        summary = self._recent_summary()
        peers = (
            self.peers(peer_address, PEERS_PER_FOLLOWER) if asks_peers else ()
        )
        return SchedulerStatus(
            self._state.epoch,
            not self._state.ended_why,
            self._journal.is_cut_off(),
            self._is_released,
            summary.pending_by_queue,
            summary.backlog,
            summary.ranks_by_address.get(peer_address),
            summary.is_loaded,
            peers,
        )

    def watch(self, call: FollowerCall) -> SchedulerStatus:
        """Answer a follower on an urgent change or when its call times out."""
        self._followers.record_call(call, boot_now())
        ends_s = boot_now() + min(call.hold_s, self._times.far_watch_s)
        while not self._has_urgent_change():
            left_s = ends_s - boot_now()
            if left_s <= 0:
                break
            self._status_changed.wait(left_s)
        self._followers.record_call(call, boot_now())
        return self.status(call.peer_address, asks_peers=call.asks_peers)

    def wake(self) -> None:
        """Make the held calls check for an urgent change."""
        self._status_changed.send()

    def release(self) -> None:
        """Inform followers that the term has made its last write."""
        self._is_released = True
        self.wake()

    def watch_store(self) -> None:
        """Inform followers when the store accepts no writes."""
        while True:
            eventlet.sleep(_STORE_POLL_S)
            if self._journal.is_cut_off():
                self.wake()

    def _has_urgent_change(self) -> bool:
        """Return whether there is something followers must know at once."""
        ended_why = self._state.ended_why
        # On release, a claim by a successor fails until the last write is made.
        has_ended = bool(ended_why) and ended_why != RELEASED
        return has_ended or self._is_released or self._journal.is_cut_off()

    def _recent_summary(self) -> _Summary:
        """Return the expensive part of the status, recomputed if too old."""
        now = boot_now()
        is_old = now - self._summary.computed_s > _MAX_SUMMARY_AGE_S
        if is_old or not self._summary.is_loaded:
            self._followers.drop_silent(now)
            jobs = self._state.scheduler.jobs
            self._summary = _Summary(
                now,
                jobs.pending_by_queue(),
                jobs.backlog(now),
                rank_deputies(self._times, self._followers.candidates()),
                self._state.is_loaded,
            )
        return self._summary
