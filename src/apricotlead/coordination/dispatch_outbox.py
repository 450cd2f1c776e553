"""Batches a dispatcher's requests, releases and placements per receiver."""

from collections import defaultdict
from collections.abc import Iterator

from msgspec import Struct

from apricotlead.coordination.component import route_to_session
from apricotlead.coordination.dispatch_queue import Pending
from apricotlead.protocol.jobs import AttemptState, Priority
from apricotlead.protocol.peers import (
    Grant,
    ReleaseGrants,
    ReserveCapacity,
    TaskDemand,
)
from apricotlead.protocol.signals import Signal, TasksPlaced
from apricotlead.state.session_view import SessionView


class _RequestKey(Struct, frozen=True):
    """Key of the demands that may share one request.

    ``gang_serial`` and ``gang_size`` are 0 for batch work; a gang has requests
    of its own. ``avoid_workers`` must not be granted to these demands.
    """

    owner: str
    team: str
    priority: Priority
    gang_serial: int
    gang_size: int
    avoid_workers: tuple[str, ...]


class _Releases:
    """The ended attempts of one owner, with their final states."""

    __slots__ = ('attempt_ids', 'ids_by_state')

    def __init__(self) -> None:
        self.attempt_ids: list[str] = []
        self.ids_by_state: dict[AttemptState, list[str]] = defaultdict(list)

    def message(self) -> ReleaseGrants:
        return ReleaseGrants(
            tuple(self.attempt_ids),
            failed_ids=tuple(self.ids_by_state['failed']),
            succeeded_ids=tuple(self.ids_by_state['succeeded']),
        )


class DispatchOutbox:
    """Collects demands by owner and class, releases by owner, and placements.

    Placements are collected by job.
    """

    __slots__ = (
        '_demands_by_key',
        '_message_demands',
        '_next_number',
        '_park_s',
        '_placed_by_job',
        '_released_by_owner',
        '_view',
    )

    def __init__(
        self,
        view: SessionView,
        park_s: float,
        message_demands: int,
    ) -> None:
        """Start empty; a request has at most ``message_demands`` demands."""
        self._view = view
        self._park_s = park_s
        self._message_demands = message_demands
        self._next_number = 0
        self._demands_by_key: dict[_RequestKey, list[TaskDemand]] = defaultdict(
            list,
        )
        self._released_by_owner: dict[str, _Releases] = defaultdict(_Releases)
        self._placed_by_job: dict[tuple[str, str], list[tuple[int, Grant]]] = (
            defaultdict(list)
        )

    def add_demand(
        self,
        owner: str,
        pending: Pending,
        demand: TaskDemand,
        avoid_workers: tuple[str, ...],
    ) -> None:
        """Add a demand to the next request to its owner."""
        key = _RequestKey(
            owner,
            pending.team,
            pending.priority,
            pending.serial if pending.is_gang else 0,
            len(pending.tasks) if pending.is_gang else 0,
            avoid_workers,
        )
        self._demands_by_key[key].append(demand)

    def release(
        self,
        owner: str,
        attempt_id: str,
        state: AttemptState = 'unknown',
    ) -> None:
        """Add an attempt that has ended or will never start."""
        if owner:
            releases = self._released_by_owner[owner]
            releases.attempt_ids.append(attempt_id)
            releases.ids_by_state[state].append(attempt_id)

    def place(self, pending: Pending, grants: tuple[Grant, ...]) -> None:
        """Add the placement of tasks whose grants are complete."""
        placed = self._placed_by_job[pending.journal_id, pending.job_id]
        placed.extend(zip(pending.tasks, grants, strict=True))

    def flush(self) -> Iterator[Signal]:
        """Yield placements and requests."""
        for (journal_id, job_id), placed in self._placed_by_job.items():
            tasks, grants = zip(*placed, strict=True)
            yield TasksPlaced(journal_id, job_id, tasks, grants)
        self._placed_by_job.clear()
        for key, demands in self._demands_by_key.items():
            yield from self._build_requests(key, demands)
        self._demands_by_key.clear()

    def flush_releases(self) -> Iterator[Signal]:
        """Yield one release message per owner."""
        for owner, releases in self._released_by_owner.items():
            yield from route_to_session(self._view, owner, releases.message())
        self._released_by_owner.clear()

    def _build_requests(
        self,
        key: _RequestKey,
        demands: list[TaskDemand],
    ) -> Iterator[Signal]:
        for start in range(0, len(demands), self._message_demands):
            part = tuple(demands[start : start + self._message_demands])
            request = ReserveCapacity(
                self._next_request_id(),
                self._view.session_id,
                key.team,
                key.priority,
                part,
                gang=key.gang_serial > 0,
                park_s=self._park_s_for(key.owner),
                partial=len(part) < key.gang_size,
                avoid_workers=key.avoid_workers,
            )
            yield from route_to_session(self._view, key.owner, request)

    def _next_request_id(self) -> str:
        self._next_number += 1
        session_id = self._view.session_id
        return f'{session_id}-{self._next_number}'

    def _park_s_for(self, owner: str) -> float:
        """Return 0 for this session's own desk if peers can be asked next."""
        has_next = owner == self._view.session_id and self._view.peers_by_id
        return 0.0 if has_next else self._park_s
