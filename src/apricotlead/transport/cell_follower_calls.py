"""Answers to the instances that follow the scheduler of a term."""

import eventlet
from msgspec import Struct

from apricotlead.coordination.cell.election import rank_deputies
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
# How old the counts that followers are told may be.
_SUMMARY_S = 0.25


class _Summary(Struct, frozen=True):
    """What followers are told that takes a pass over the whole cell."""

    made_s: float = float('-inf')
    pending_by_queue: dict[str, int] = {}
    backlog: Backlog = Backlog()
    ranks_by_address: dict[str, int] = {}
    is_loaded: bool = False


class FollowerCalls:
    """Holds followers' calls until there is news of the term, or for a while.

    Pattern: a hundred followers. Their calls wait for one event, and share
    one count of the cell.
    """

    __slots__ = (
        '_followers',
        '_is_released',
        '_journal',
        '_news',
        '_state',
        '_summary',
        '_times',
    )

    def __init__(
        self,
        state: TermState,
        journal: JournalWriter,
        times: ElectionTimes,
    ) -> None:
        """Begin without followers."""
        self._state = state
        self._journal = journal
        self._times = times
        self._followers = FollowerTable()
        self._news = Broadcast()
        self._summary = _Summary()
        # Whether the term has ended by itself and written for the last time.
        self._is_released = False

    def addresses(self) -> list[str]:
        """Return the followers in contact."""
        self._followers.drop_silent(boot_now())
        return self._followers.addresses()

    def largest_cores(self) -> float:
        """Return the processor of the largest follower, 0 without any."""
        return self._followers.largest_cores()

    def status(self, peer_address: str = '') -> SchedulerStatus:
        """Return what a follower, or the instance itself, is told."""
        summary = self._fresh_summary()
        return SchedulerStatus(
            self._state.epoch,
            not self._state.ended_why,
            self._journal.is_cut_off(),
            self._is_released,
            summary.pending_by_queue,
            summary.backlog,
            summary.ranks_by_address.get(peer_address),
            summary.is_loaded,
        )

    def watch(self, call: FollowerCall) -> SchedulerStatus:
        """Answer a follower when there is news, or its time is over."""
        self._followers.record_call(call, boot_now())
        ends_s = boot_now() + min(call.hold_s, self._times.far_watch_s)
        while not self._has_news():
            left_s = ends_s - boot_now()
            if left_s <= 0:
                break
            self._news.wait(left_s)
        self._followers.record_call(call, boot_now())
        return self.status(call.peer_address)

    def wake(self) -> None:
        """Have the held calls look for news."""
        self._news.send()

    def release(self) -> None:
        """Tell that the term has written for the last time."""
        self._is_released = True
        self.wake()

    def watch_store(self) -> None:
        """Tell followers when the store takes no writes."""
        while True:
            eventlet.sleep(_STORE_POLL_S)
            if self._journal.is_cut_off():
                self.wake()

    def _has_news(self) -> bool:
        """Tell whether followers must know something at once."""
        ended_why = self._state.ended_why
        # A successor's claim before the last write would fail.
        has_ended = bool(ended_why) and ended_why != RELEASED
        return has_ended or self._is_released or self._journal.is_cut_off()

    def _fresh_summary(self) -> _Summary:
        """Return the costly part of the status, counted lately."""
        now = boot_now()
        is_old = now - self._summary.made_s > _SUMMARY_S
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
