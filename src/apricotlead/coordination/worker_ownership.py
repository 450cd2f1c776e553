"""Distributes the ownership of worker capacity over the live sessions."""

from collections.abc import Iterable, Sequence
from typing import Any, Self

from msgspec import Struct

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.lapsed_sessions import LapsedSessions
from apricotlead.coordination.rendezvous import preferred
from apricotlead.coordination.store_calls import StoreCalls
from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.rows import (
    NO_OWNER,
    WORKER_PREFIX,
    WorkerRow,
    id_of,
    put_struct,
    read_worker,
    worker_key,
)
from apricotlead.protocol.signals import (
    Count,
    PeerLapsed,
    PeersChanged,
    SessionLost,
    Shutdown,
    Signal,
    StoreReplied,
    Tick,
    Token,
    WorkerClaimed,
    WorkerDropped,
)
from apricotlead.protocol.table import (
    Check,
    CheckFailed,
    Committed,
    Row,
    Rows,
    StoreFailed,
    StoreReply,
)
from apricotlead.state.cell_directory import CellDirectory
from apricotlead.state.session_view import SessionView

_NEVER = float('-inf')


class OwnershipSettings(Struct, frozen=True):
    """Limits of the store traffic for ownership; times in seconds.

    All sessions together make at most ``writes_per_s`` transactions per
    second, each for at most ``workers_per_write`` workers. A dropped worker is
    released only after ``release_delay_s``, so that starts under outstanding
    grants arrive before the next owner's higher epoch. Each tick computes
    about ``hashes_per_tick`` hashes to assign workers to sessions, which takes
    about 3 ms.
    """

    writes_per_s: float = 100.0
    min_write_interval_s: float = 0.1
    workers_per_write: int = 50
    read_interval_s: float = 1.0
    workers_per_read: int = 200
    read_timeout_s: float = 2.0
    release_delay_s: float = 0.5
    hashes_per_tick: int = 2000


class _Owned(Struct, frozen=True):
    epoch: int
    version: int


class _Dropped(Struct, frozen=True):
    epoch: int
    version: int
    due_s: float


class _Reading(Struct, frozen=True):
    session_id: str


class _Claiming(Struct, frozen=True):
    session_id: str
    epochs_by_id: dict[str, int]


class _Releasing(Struct, frozen=True):
    session_id: str
    worker_ids: tuple[str, ...]


class WorkerOwnership(Component):
    """Claims the workers assigned to this session and releases the others.

    Rendezvous hashing assigns a worker to one of the live sessions of its
    data centre, or to one of all live sessions if the data centre has none.
    One write is in flight at a time. A claim on a worker of a lapsed session
    also checks that the session's row is still marked adopted (or gone), so a
    session that renews in time keeps its workers even if a peer considers it
    lapsed.
    """

    name = 'ownership'
    __slots__ = (
        '_assigned_ids',
        '_calls',
        '_directory',
        '_directory_version',
        '_dropped_by_id',
        '_has_peers',
        '_lapsed',
        '_leaving',
        '_owned_by_id',
        '_read_due_s',
        '_read_sent_s',
        '_read_tokens',
        '_rows_by_id',
        '_settings',
        '_unannounced_ids',
        '_unexamined_by_id',
        '_view',
        '_write_due_s',
        '_writing',
    )

    def __init__(
        self,
        settings: OwnershipSettings,
        view: SessionView,
        directory: CellDirectory,
        rng: RandomSource,
    ) -> None:
        """Start with no worker."""
        self._settings = settings
        self._view = view
        self._directory = directory
        self._calls = StoreCalls(self.name, rng)
        self._directory_version = -1
        self._lapsed = LapsedSessions()
        self._leaving = False
        self._has_peers = False
        self._read_due_s = _NEVER
        self._read_sent_s = _NEVER
        self._read_tokens: set[Token] = set()
        self._write_due_s = _NEVER
        self._writing = False
        # Dictionaries, unlike sets, keep insertion order, so a seed reproduces
        # a run.
        self._unexamined_by_id: dict[str, Sequence[str]] = {}
        self._assigned_ids: dict[str, None] = {}
        self._reset_state()

    @classmethod
    def from_config(
        cls,
        settings: OwnershipSettings,
        view: SessionView,
        directory: CellDirectory,
        rng: RandomSource,
    ) -> Self:
        """Return the worker ownership of the session of ``view``."""
        return cls(settings, view, directory, rng)

    @handles(Tick)
    def on_tick(self, signal: Tick, now: float) -> Iterable[Signal]:
        """Read, claim and release workers within the limits."""
        if not self._has_peers:
            # Before the first session scan this session has no known peers, so
            # every worker would be assigned to it.
            return
        if self._directory_version != self._directory.version:
            yield from self._rebalance(now)
        yield from self._examine(now)
        if not self._view.is_valid(now):
            return
        yield from self._announce()
        if now >= self._read_due_s:
            yield from self._read(now)
        if now >= self._write_due_s and not self._writing:
            yield from self._write(now)

    @handles(PeersChanged)
    def on_peers_changed(
        self, signal: PeersChanged, now: float
    ) -> Iterable[Signal]:
        """Recompute which workers are assigned to this session."""
        self._has_peers = True
        return self._rebalance(now)

    @handles(PeerLapsed)
    def on_lapsed(self, signal: PeerLapsed, now: float) -> Iterable[Signal]:
        """Record the check that makes claims on the peer's workers safe."""
        self._lapsed.record(signal.session_id, signal.row_version, now)
        self._read_due_s = now
        return ()

    @handles(SessionLost)
    def on_lost(self, signal: SessionLost, now: float) -> Iterable[Signal]:
        """Drop all workers; peers may already own them."""
        owned_ids = tuple(self._owned_by_id)
        self._reset_state()
        return [WorkerDropped(worker_id) for worker_id in owned_ids]

    @handles(Shutdown)
    def on_shutdown(self, signal: Shutdown, now: float) -> Iterable[Signal]:
        """Release all workers and claim no more."""
        self._leaving = True
        return self._rebalance(now)

    @handles(StoreReplied)
    def on_reply(
        self,
        signal: StoreReplied,
        now: float,
    ) -> Iterable[Signal]:
        """Continue the operation that the reply belongs to."""
        purpose = self._calls.take(signal.token)
        if purpose is None:
            return ()
        if isinstance(purpose, _Reading):
            self._read_tokens.discard(signal.token)
        else:
            self._writing = False
        if isinstance(signal.reply, StoreFailed):
            retry_s = now + signal.reply.retry_after_s
            self._write_due_s = max(self._write_due_s, retry_s)
        if purpose.session_id != self._view.session_id:
            return ()
        if isinstance(purpose, _Reading):
            return self._handle_rows(signal.reply)
        if isinstance(purpose, _Claiming):
            return self._handle_claim_reply(purpose, signal.reply, now)
        return self._handle_release_reply(purpose, signal.reply)

    def is_drained(self) -> bool:
        """Tell whether no worker is owned and every release is durable."""
        return not (self._owned_by_id or self._dropped_by_id or self._writing)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the owned workers with their epochs."""
        return {
            'wanted': len(self._assigned_ids),
            'dropped': sorted(self._dropped_by_id),
            'owned': {
                worker_id: owned.epoch
                for worker_id, owned in self._owned_by_id.items()
            },
        }

    def _reset_state(self) -> None:
        self._owned_by_id: dict[str, _Owned] = {}
        self._dropped_by_id: dict[str, _Dropped] = {}
        self._rows_by_id: dict[str, Row] = {}
        self._unannounced_ids: list[str] = []

    def _rebalance(self, now: float) -> Iterable[Signal]:
        self._directory_version = self._directory.version
        self._read_due_s = min(self._read_due_s, now)
        candidates_by_id = {} if self._leaving else self._find_candidates()
        # Workers left unexamined by the previous change come first, so that
        # frequent changes do not starve those at the end of the list.
        self._unexamined_by_id = {
            worker_id: candidates_by_id[worker_id]
            for worker_id in self._unexamined_by_id
            if worker_id in candidates_by_id
        }
        self._unexamined_by_id.update(candidates_by_id)
        self._assigned_ids = {
            worker_id: None
            for worker_id in self._assigned_ids
            if worker_id in candidates_by_id
        }
        self._rows_by_id = {
            worker_id: row
            for worker_id, row in self._rows_by_id.items()
            if worker_id in candidates_by_id
        }
        foreign_ids = self._owned_by_id.keys() - self._assigned_ids.keys()
        return [
            *(self._drop(worker_id, now) for worker_id in sorted(foreign_ids)),
            *self._examine(now),
        ]

    def _examine(self, now: float) -> Iterable[Signal]:
        own_id = self._view.session_id
        hashes_left = self._settings.hashes_per_tick
        while self._unexamined_by_id and hashes_left > 0:
            worker_id = next(iter(self._unexamined_by_id))
            member_ids = self._unexamined_by_id.pop(worker_id)
            hashes_left -= len(member_ids)
            if preferred(worker_id, member_ids) == own_id:
                self._assigned_ids[worker_id] = None
                continue
            self._assigned_ids.pop(worker_id, None)
            self._rows_by_id.pop(worker_id, None)
            if worker_id in self._owned_by_id:
                yield self._drop(worker_id, now)

    def _find_candidates(self) -> dict[str, Sequence[str]]:
        own_datacentre = self._view.datacentre
        ids_by_datacentre: dict[str, list[str]] = {
            own_datacentre: [self._view.session_id],
        }
        for peer in self._view.peers_by_id.values():
            ids_by_datacentre.setdefault(peer.datacentre, []).append(
                peer.session_id,
            )
        own_ids = ids_by_datacentre.pop(own_datacentre)
        everyone = self._view.live_ids()
        return {
            worker.instance_id: (
                own_ids if worker.datacentre == own_datacentre else everyone
            )
            for worker in self._directory.workers_by_id.values()
            if worker.datacentre not in ids_by_datacentre
        }

    def _drop(self, worker_id: str, now: float) -> WorkerDropped:
        owned = self._owned_by_id.pop(worker_id)
        self._dropped_by_id[worker_id] = _Dropped(
            owned.epoch,
            owned.version,
            now + self._settings.release_delay_s,
        )
        return WorkerDropped(worker_id)

    def _announce(self) -> Iterable[Signal]:
        unannounced_ids = self._unannounced_ids
        self._unannounced_ids = []
        return [
            WorkerClaimed(worker_id, self._owned_by_id[worker_id].epoch)
            for worker_id in unannounced_ids
            if worker_id in self._owned_by_id
        ]

    def _unclaimed_ids(self) -> list[str]:
        return [
            worker_id
            for worker_id in self._assigned_ids
            if worker_id not in self._owned_by_id
            and worker_id not in self._dropped_by_id
        ]

    def _read(self, now: float) -> Iterable[Signal]:
        self._read_due_s = now + self._settings.read_interval_s
        if self._read_tokens:
            if now - self._read_sent_s <= self._settings.read_timeout_s:
                return
            self._abandon_reads()
        self._read_sent_s = now
        keys = sorted(map(worker_key, self._unclaimed_ids()))
        chunk = self._settings.workers_per_read
        for start in range(0, len(keys), chunk):
            read = self._calls.read(
                _Reading(self._view.session_id),
                tuple(keys[start : start + chunk]),
            )
            self._read_tokens.add(read.token)
            yield read

    def _abandon_reads(self) -> None:
        for token in self._read_tokens:
            self._calls.abandon(token)
        self._read_tokens.clear()

    def _handle_rows(self, reply: StoreReply) -> Iterable[Signal]:
        if isinstance(reply, Rows):
            unclaimed_ids = set(self._unclaimed_ids())
            self._rows_by_id.update(
                (id_of(row), row)
                for row in reply.rows
                if id_of(row) in unclaimed_ids
            )
        return ()

    def _write(self, now: float) -> Iterable[Signal]:
        write = self._release(now) or self._claim(now)
        if write is None:
            return ()
        sessions = len(self._view.peers_by_id) + 1
        self._writing = True
        self._write_due_s = now + max(
            self._settings.min_write_interval_s,
            sessions / self._settings.writes_per_s,
        )
        return (write,)

    def _release(self, now: float) -> Signal | None:
        due_ids = [
            worker_id
            for worker_id, dropped in self._dropped_by_id.items()
            if dropped.due_s <= now
        ][: self._settings.workers_per_write]
        if not due_ids:
            return None
        dropped = [self._dropped_by_id[worker_id] for worker_id in due_ids]
        keys = [worker_key(worker_id) for worker_id in due_ids]
        return self._calls.transact(
            _Releasing(self._view.session_id, tuple(due_ids)),
            tuple(
                Check(key, one.version)
                for key, one in zip(keys, dropped, strict=True)
            ),
            tuple(
                put_struct(key, WorkerRow(NO_OWNER, one.epoch))
                for key, one in zip(keys, dropped, strict=True)
            ),
        )

    def _handle_release_reply(
        self,
        releasing: _Releasing,
        reply: StoreReply,
    ) -> Iterable[Signal]:
        if isinstance(reply, Committed):
            for worker_id in releasing.worker_ids:
                self._dropped_by_id.pop(worker_id, None)
        if isinstance(reply, CheckFailed):
            self._discard_changed(releasing, reply)
        return ()

    def _discard_changed(
        self,
        releasing: _Releasing,
        reply: CheckFailed,
    ) -> None:
        for worker_id in releasing.worker_ids:
            dropped = self._dropped_by_id.get(worker_id)
            row = reply.row(worker_key(worker_id))
            if dropped is not None and row.version != dropped.version:
                self._dropped_by_id.pop(worker_id)

    def _claim(self, now: float) -> Signal | None:
        rows = [
            row
            for row in self._rows_by_id.values()
            if self._may_claim(row, now)
        ][: self._settings.workers_per_write]
        if not rows:
            return None
        own_id = self._view.session_id
        epochs_by_id = {id_of(row): read_worker(row).epoch + 1 for row in rows}
        return self._calls.transact(
            _Claiming(own_id, epochs_by_id),
            (
                *(Check(row.key, row.version) for row in rows),
                *self._owner_checks(rows),
            ),
            tuple(
                put_struct(row.key, WorkerRow(own_id, epochs_by_id[id_of(row)]))
                for row in rows
            ),
        )

    def _may_claim(self, row: Row, now: float) -> bool:
        owner = read_worker(row).owner
        if owner in {NO_OWNER, self._view.session_id}:
            return True
        if owner in self._view.peers_by_id:
            return False
        return self._lapsed.may_claim_from(owner, now)

    def _owner_checks(self, rows: Sequence[Row]) -> Iterable[Check]:
        owners = {read_worker(row).owner for row in rows}
        for owner in sorted(owners - {NO_OWNER, self._view.session_id}):
            yield self._lapsed.claim_check(owner)

    def _handle_claim_reply(
        self,
        claiming: _Claiming,
        reply: StoreReply,
        now: float,
    ) -> Iterable[Signal]:
        if isinstance(reply, Committed):
            return self._record_claims(claiming, reply, now)
        if isinstance(reply, CheckFailed):
            self._apply_failed_checks(reply, now)
        return (Count('ownership.claim_failed'),)

    def _record_claims(
        self,
        claiming: _Claiming,
        reply: Committed,
        now: float,
    ) -> Iterable[Signal]:
        for worker_id, epoch in claiming.epochs_by_id.items():
            self._rows_by_id.pop(worker_id, None)
            self._owned_by_id[worker_id] = _Owned(
                epoch,
                reply.versions[worker_key(worker_id)],
            )
            if worker_id in self._assigned_ids:
                self._unannounced_ids.append(worker_id)
            else:
                self._drop(worker_id, now)
        if self._view.is_valid(now):
            return self._announce()
        return ()

    def _apply_failed_checks(self, reply: CheckFailed, now: float) -> None:
        for row in reply.rows:
            if row.key.startswith(WORKER_PREFIX):
                self._rows_by_id[id_of(row)] = row
            else:
                self._lapsed.apply_row(id_of(row), row, now)
