"""Scheduler candidacy: following the elected scheduler and replacing it."""

import random
from functools import partial

from msgspec import Struct

from apricotlead.coordination.cell.election import (
    OWNER_KEY,
    Loss,
    OwnerRow,
    read_owner,
    should_take_over,
    takeover,
    takeover_delay_s,
)
from apricotlead.coordination.cell.peer_ring import PEERS_PER_FOLLOWER
from apricotlead.coordination.cell.scheduler import CellScheduler
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.protocol.cell_peers import (
    FollowerCall,
    RelayedCall,
    SchedulerStatus,
)
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    Row,
    StoreFailed,
    StoreReply,
)
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.state.known_peers import KnownPeers
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_links import RELEASED, CellLinks
from apricotlead.transport.cell_peers import PeerClient
from apricotlead.transport.cell_scheduling import SchedulingTerm
from apricotlead.transport.hedging import MIN_HEDGE_DELAY_S, hedged
from apricotlead.transport.peer_choice import has_served, is_peer_failure
from apricotlead.transport.serving import pause, run_in_background

_RETRY_S = 0.15
_MAX_STATUS_AGE_S = 1.75
# Longer than followers take to replace an instance whose term has ended, so
# that another instance takes over after a failed term.
_FAILED_TERM_PAUSE_S = 2.0
# After a longer delay the owner row is read again before it is claimed.
_REREAD_AFTER_S = 0.03
# A claim that takes this many times as long as the preceding read is taken
# for lost and sent again.
_HEDGE_DELAY_FACTOR = 4
# One lost answer would delay a takeover by the time limit of a call.
_READ_HEDGE_DELAY_S = 0.25
# All followers read the row when the scheduler is lost.
_MAX_OWNER_READS = 2


class OwnIdentity(Struct, frozen=True):
    """How other instances identify this one; ``cores`` counts its CPU cores."""

    instance_id: str
    peer_address: str
    cores: float


class _OwnerRead(Struct, frozen=True):
    """The owner row as returned by a read sent at ``sent_s``."""

    row: Row
    store_ms: float
    sent_s: float
    took_s: float


class CellCandidate:
    """Watches the elected scheduler, or runs the term if elected itself."""

    __slots__ = (
        '_is_stopping',
        '_known_peers',
        '_links',
        '_own',
        '_peers',
        '_rank',
        '_scheduler_address',
        '_settings',
        '_started_s',
        '_status',
        '_status_read_s',
        '_term',
        '_view',
    )

    def __init__(
        self,
        links: CellLinks,
        peers: PeerClient,
        own: OwnIdentity,
        settings: CellSettings,
    ) -> None:
        """Start without a configuration; no term is claimed until it is set."""
        self._own = own
        self._links = links
        self._peers = peers
        self._settings = settings
        self._started_s = boot_now()
        self._term: SchedulingTerm | None = None
        # The address at which the scheduler last answered, empty if lost.
        self._scheduler_address = ''
        self._known_peers = KnownPeers(own.peer_address)
        self._status = SchedulerStatus()
        self._status_read_s = float('-inf')
        self._view: CellConfigView | None = None
        # This instance's rank among the followed scheduler's deputies.
        self._rank: int | None = None
        self._is_stopping = False

    def set_view(self, view: CellConfigView) -> None:
        """Apply a new configuration."""
        self._view = view
        if self._term is not None:
            self._term.set_view(view)

    def stop(self) -> None:
        """Release the term if it runs here, and claim no other."""
        self._is_stopping = True
        if self._term is not None:
            self._term.end(RELEASED)

    def status(self) -> SchedulerStatus | None:
        """Return the latest status of a scheduler that had loaded all jobs.

        ``None`` if that status is too old. A term that has just begun has
        not loaded the jobs yet.
        """
        if self._term is not None and not self._term.ended_why:
            status = self._term.followers.status()
            if status.is_loaded:
                return status
        if boot_now() - self._status_read_s > _MAX_STATUS_AGE_S:
            return None
        return self._status

    def answer_follower(self, call: FollowerCall) -> SchedulerStatus:
        """Answer a follower; without a term the status is inactive."""
        term = self._term
        if term is None:
            return SchedulerStatus()
        return term.followers.watch(call)

    def addresses(self) -> list[str]:
        """Return the instances to ask for a store call, the preferred first.

        A scheduler asks its followers, a follower others and the scheduler.
        Both are remembered between two terms.
        """
        now = boot_now()
        if self._term is not None:
            followers = self._term.followers.peers(self._own.peer_address)
            if followers:
                return self._known_peers.prefer(followers, now)
        return self._known_peers.addresses(now)

    def relay(
        self,
        address: str,
        call: RelayedCall,
        timeout_s: float,
    ) -> StoreReply | None:
        """Make a store call through another instance."""
        answer = self._peers.relay(address, call, timeout_s)
        is_served = has_served(answer)
        if is_served or is_peer_failure(answer, timeout_s):
            self._known_peers.record_call(
                address, boot_now(), is_served=is_served
            )
        return answer

    def announce(self, row: Row) -> None:
        """Send a stored job row to the scheduler ahead of the change feed.

        The feed may lag by a quarter of a second in a slow store, and by a
        second or more when the store drops its change history.
        """
        if self._term is not None:
            self._term.apply_announced(row)
        elif self._scheduler_address:
            run_in_background(partial(self._send_notice, row))

    def apply_announced(self, row: Row) -> bool:
        """Apply a row that another instance stored, if the term runs here."""
        return self._term is not None and self._term.apply_announced(row)

    def run(self) -> None:
        """Follow the scheduler, and take over when it is lost."""
        while not self._is_stopping:
            try:
                self._run_once()
            except Exception as error:
                # An error in one term must not terminate the instance.
                self._links.log('term failed', why=repr(error))
                pause(_RETRY_S)

    def _send_notice(self, row: Row) -> None:
        if not self._peers.announce(self._scheduler_address, row):
            self._links.metrics.count('cell_notice_lost')

    def _run_once(self) -> None:
        read = self._read_owner()
        if read is None:
            pause(_RETRY_S)
            return
        owner = read_owner(read.row)
        if owner is not None:
            # The configuration may have to be read through this instance.
            self._known_peers.remember(owner.peer_address, boot_now())
        if self._view is None:
            pause(_RETRY_S)
            return
        is_own = owner is not None and (
            owner.peer_address == self._own.peer_address
        )
        if owner is None or owner.is_released or is_own:
            self._claim(read)
            return
        self._rank = None
        loss = self._follow(owner)
        if loss is Loss.NONE:
            return
        replaceable = self._confirm_takeover(loss, owner)
        if replaceable is not None:
            self._claim(replaceable, loss)

    def _confirm_takeover(
        self,
        loss: Loss,
        owner: OwnerRow,
    ) -> '_OwnerRead | None':
        """Return the row to replace, ``None`` if the scheduler still writes.

        The row is read again, since the previous read is many writes old.
        """
        first = self._read_owner()
        read = first
        while first is not None and read is not None:
            if should_take_over(
                self._settings.election,
                loss,
                owner,
                read.row,
                read.store_ms,
                self._own.cores,
            ):
                return read
            is_written = read.row.version != first.row.version
            if loss is not Loss.SILENT or is_written or self._is_stopping:
                break
            pause(_RETRY_S)
            read = self._read_owner()
        return None

    def _read_owner(self) -> '_OwnerRead | None':
        """Return the owner row, ``None`` if the read failed."""
        sent_s = boot_now()
        read = hedged(
            partial(self._links.store.read_row, OWNER_KEY),
            _READ_HEDGE_DELAY_S,
            lambda reply: isinstance(reply, StoreFailed),
            _MAX_OWNER_READS,
        )
        if isinstance(read, StoreFailed):
            return None
        row = read.rows[0] if read.rows else Row(OWNER_KEY)
        return _OwnerRead(row, read.store_ms, sent_s, boot_now() - sent_s)

    def _follow(self, owner: OwnerRow) -> Loss:
        """Watch the scheduler until it is lost or the owner must be reread."""
        was_active = False
        status, loss = self._watch(owner)
        while loss is Loss.NONE and status.epoch == owner.epoch:
            if not status.is_active or self._is_stopping:
                break
            was_active = True
            self._rank = status.rank
            if status.is_loaded:
                self._status = status
                self._status_read_s = boot_now()
            self._scheduler_address = owner.peer_address
            self._known_peers.follow(owner.peer_address, boot_now())
            self._known_peers.learn(status.peers, boot_now())
            status, loss = self._watch(owner)
        self._scheduler_address = ''
        self._known_peers.lose_scheduler()
        if loss is Loss.NONE:
            # The owner is starting its term, or has ended it.
            pause(_RETRY_S / 3)
            loss = Loss.IDLE
        if was_active and loss in {Loss.BROKEN, Loss.IDLE}:
            # Perhaps only the connection or the term was lost: read the owner
            # row again before a takeover.
            return Loss.NONE
        return loss

    def _watch(self, owner: OwnerRow) -> tuple[SchedulerStatus, Loss]:
        """Wait for the scheduler's next status, and classify a missing one."""
        times = self._settings.election
        asked_s = boot_now()
        is_far = self._rank is None and self._scheduler_address
        hold_s = times.far_watch_s if is_far else times.watch_s
        call = FollowerCall(
            self._own.peer_address,
            self._own.cores,
            asked_s - self._started_s,
            hold_s,
            self._known_peers.should_ask(asked_s),
        )
        status = self._peers.watch(
            owner.peer_address,
            call,
            hold_s + times.watch_slack_s,
        )
        is_silent = boot_now() - asked_s > hold_s
        loss = Loss.of(status, is_silent=is_silent)
        if status is not None and loss is Loss.NONE:
            return status, loss
        self._links.log(
            'scheduler lost',
            epoch=owner.epoch,
            scheduler=owner.instance_id,
            loss=loss.value,
        )
        return status or SchedulerStatus(), loss

    def _delay_claim(self, read: '_OwnerRead') -> '_OwnerRead | None':
        """Delay for better candidates; ``None`` if one of them took over."""
        delay_s = takeover_delay_s(
            self._settings.election,
            read_owner(read.row),
            self._own.cores,
            boot_now() - self._started_s,
            random.random(),
            read.took_s,
            self._rank,
        )
        pause(delay_s)
        if self._is_stopping or self._view is None:
            return None
        if delay_s < _REREAD_AFTER_S:
            return read
        # A read is cheaper than a failed claim.
        reread = self._read_owner()
        is_same = reread is not None and reread.row.version == read.row.version
        return reread if is_same else None

    def _claim(
        self,
        first: '_OwnerRead',
        loss: Loss = Loss.NONE,
    ) -> None:
        """Claim the term after a delay that favours better candidates."""
        read = self._delay_claim(first)
        if read is None:
            return
        began_s = boot_now()
        former = read_owner(read.row)
        store_ms = read.store_ms
        owner, transaction = takeover(
            read.row,
            self._own.instance_id,
            self._own.peer_address,
            store_ms,
            self._settings.election,
            loss,
            self._own.cores,
        )
        answer = self._resolve_claim(
            owner,
            hedged(
                partial(self._links.store.transact, transaction),
                max(MIN_HEDGE_DELAY_S, read.took_s * _HEDGE_DELAY_FACTOR),
                lambda reply: isinstance(reply, StoreFailed),
            ),
        )
        if answer is None:
            return
        scheduler = CellScheduler(
            self._settings,
            self._view,
            owner,
            former,
            boot_now(),
            max(store_ms, answer.store_ms),
        )
        scheduler.owner_version = answer.versions[OWNER_KEY]
        scheduler.workers.renewed_s = read.sent_s
        self._links.log(
            'term begun',
            epoch=owner.epoch,
            former='' if former is None else former.instance_id,
            former_age_ms=round(
                store_ms - (former.renewed_ms if former else store_ms),
            ),
        )
        self._hold_term(scheduler, boot_now() - began_s)

    def _resolve_claim(
        self,
        owner: OwnerRow,
        answer: Committed | CheckFailed | StoreFailed,
    ) -> Committed | None:
        """Return the claim as committed, even if only its answer was lost.

        Otherwise each lost answer would cost another claim and epoch.
        """
        if isinstance(answer, Committed):
            return answer
        read = self._read_owner()
        if read is not None and read_owner(read.row) == owner:
            return Committed({OWNER_KEY: read.row.version}, read.store_ms)
        return None

    def _hold_term(self, scheduler: CellScheduler, took_s: float) -> None:
        term = SchedulingTerm(
            self._links,
            self._settings,
            scheduler,
            self._own.peer_address,
            self._own.cores,
            took_s,
        )
        self._term = term
        try:
            term.run()
        finally:
            self._term = None
            self._remember_followers(term)
        if term.has_failed:
            # Leave the next term to another instance, if there is one.
            pause(_FAILED_TERM_PAUSE_S)

    def _remember_followers(self, term: SchedulingTerm) -> None:
        followers = term.followers.peers(
            self._own.peer_address, PEERS_PER_FOLLOWER
        )
        self._known_peers.learn(followers, boot_now())
