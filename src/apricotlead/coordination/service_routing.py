"""Chooses the executor for each request of a latency-bound service."""

from collections.abc import Collection
from functools import singledispatchmethod

from msgspec import Struct

from apricotlead.protocol.errors import NotFound, Overloaded
from apricotlead.protocol.executors import (
    ExecutorAnswered,
    ExecutorClock,
    ExecutorRefused,
    ExecutorResult,
    ExecutorResultUnknown,
)
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.randomness import RandomSource
from apricotlead.state.cell_directory import CellDirectory
from apricotlead.state.session_view import SessionView

_SAMPLE_SIZE = 2
_MS_PER_S = 1000


class RoutingSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """How executors are chosen and ejected.

    ``connections`` is what one executor accepts from all entry instances
    together. An executor is ejected for ``ejection_s`` after
    ``failures_to_eject`` consecutive failures, doubled with each ejection up
    to ``longest_ejection_s``. At most the fraction ``most_ejected`` of a
    service's executors is skipped at a time. A load reported by the executor
    is valid for ``load_age_s``, and a reading of its clock for
    ``clock_age_s``: the older the reading, the more time of a request is
    lost to the allowance for ``max_drift``. An executor that has said that it
    is leaving is left out for ``leaving_s`` if the list shows neither that nor
    its next life.
    """

    connections: int = 64
    queue_per_executor: int = 2
    failures_to_eject: int = 3
    ejection_s: float = 1.0
    longest_ejection_s: float = 30.0
    most_ejected: float = 0.5
    load_age_s: float = 0.25
    clock_age_s: float = 2.0
    leaving_s: float = 120.0
    max_drift: float = 0.02


class _ExecutorState(Struct):
    """What is known of an executor.

    It said that it is leaving while the list had the entry ``left_as``, at
    most ``leaving_s`` before ``leaving_until_s``.
    """

    outstanding: int = 0
    reported_outstanding: int = 0
    reported_s: float = float('-inf')
    failures: int = 0
    ejections: int = 0
    avoided_until_s: float = float('-inf')
    leaving_until_s: float = float('-inf')
    left_as: Instance | None = None
    clock: ExecutorClock | None = None
    clock_read_s: float = float('-inf')
    has_no_clock: bool = False


class ServiceRouter:
    """Routes requests, to executors of the own data centre first.

    Of two random executors with capacity the less loaded one is chosen. The
    caller reports each request by :meth:`record_start` and
    :meth:`record_result`.

    A leaving executor gets no new requests once the platform's list, or one
    of its own responses, reports that it is leaving. An executor can start
    again under its id, and its next life is not leaving.
    """

    __slots__ = ('_directory', '_rng', '_settings', '_states_by_id', '_view')

    def __init__(
        self,
        settings: RoutingSettings,
        directory: CellDirectory,
        view: SessionView,
        rng: RandomSource,
    ) -> None:
        """Start with every executor idle and healthy."""
        self._settings = settings
        self._directory = directory
        self._view = view
        self._rng = rng
        self._states_by_id: dict[str, _ExecutorState] = {}

    @classmethod
    def from_config(
        cls,
        settings: RoutingSettings,
        directory: CellDirectory,
        view: SessionView,
        rng: RandomSource,
    ) -> 'ServiceRouter':
        """Build from settings."""
        return cls(settings, directory, view, rng)

    def choose(
        self,
        service: str,
        now: float,
        excluded: Collection[str] = (),
    ) -> Instance:
        """Return the executor to send the next request of ``service`` to.

        Raises :class:`NotFound` if the service has no executor at all, and
        :class:`Overloaded` if none has capacity.
        """
        known = self._directory.executors_of(service)
        if not known:
            raise NotFound(f'The service {service!r} has no executors.')
        healthy = self._healthy(known, now)
        usable = [
            executor
            for executor in healthy
            if executor.instance_id not in excluded
            and self._has_capacity(executor, now)
        ]
        if not usable:
            raise Overloaded(f'All executors of {service!r} are full.')
        return self._choose_less_loaded(self._nearest(usable), now)

    def record_start(self, executor_id: str) -> None:
        """Count a request that is about to be sent."""
        self._state(executor_id).outstanding += 1

    def record_result(
        self,
        executor_id: str,
        result: ExecutorResult,
        now: float,
    ) -> None:
        """Record the end of a request and what its result shows."""
        state = self._state(executor_id)
        state.outstanding -= 1
        self._update_state(result, state, now)
        if state.leaving_until_s > now and state.left_as is None:
            state.left_as = self._directory.executors_by_id.get(executor_id)
        self._update_clock(state, result, now)

    def record_clock(
        self,
        executor_id: str,
        result: ExecutorResult,
        now: float,
    ) -> None:
        """Record the reply to a request that only read the clock."""
        state = self._state(executor_id)
        self._update_clock(state, result, now)
        if isinstance(result, ExecutorAnswered):
            state.has_no_clock = result.clock is None

    def needs_clock(self, executor_id: str, now: float) -> bool:
        """Tell whether the executor's clock must be read first."""
        state = self._state(executor_id)
        age_s = now - state.clock_read_s
        return age_s > self._settings.clock_age_s and not state.has_no_clock

    def not_after(
        self,
        executor_id: str,
        ends_s: float,
        now: float,
    ) -> ExecutorClock | None:
        """Convert ``ends_s`` to the executor's clock, reduced by the drift.

        ``None`` without a recent reading, or if the executor has no clock.
        """
        state = self._state(executor_id)
        is_old = now - state.clock_read_s > self._settings.clock_age_s
        if state.clock is None or is_old:
            return None
        left_s = (ends_s - state.clock_read_s) * (1 - self._settings.max_drift)
        left_ms = int(left_s * _MS_PER_S)
        return ExecutorClock(
            state.clock.boot_id,
            state.clock.clock_ms + left_ms,
        )

    def dump(self, now: float) -> dict[str, dict[str, float]]:
        """Return outstanding requests and ejections by executor id."""
        return {
            executor_id: {
                'outstanding': state.outstanding,
                'ejections': state.ejections,
                'avoided_for_s': max(0, state.avoided_until_s - now),
            }
            for executor_id, state in self._states_by_id.items()
        }

    def forget_absent(self) -> None:
        """Drop what refers to executors, or lives, that the list has not."""
        present = self._directory.executors_by_id
        for executor_id, state in tuple(self._states_by_id.items()):
            listed = present.get(executor_id)
            if listed is not None:
                _forget_former_life(state, listed)
            elif not state.outstanding:
                self._states_by_id.pop(executor_id)

    def _update_clock(
        self,
        state: _ExecutorState,
        result: ExecutorResult,
        now: float,
    ) -> None:
        if isinstance(result, ExecutorResultUnknown) or result.clock is None:
            return
        state.clock = result.clock
        state.clock_read_s = now
        # A life without a clock can be followed by one that has one.
        state.has_no_clock = False

    @singledispatchmethod
    def _update_state(
        self,
        result: ExecutorAnswered,
        state: _ExecutorState,
        now: float,
    ) -> None:
        self._record_leaving(result, state, now)
        if result.outstanding is not None:
            state.reported_outstanding = result.outstanding
            state.reported_s = now
        if result.status >= 500:
            self._count_failure(state, now)
            return
        state.failures = 0
        state.ejections = 0

    @_update_state.register
    def _(
        self,
        result: ExecutorRefused,
        state: _ExecutorState,
        now: float,
    ) -> None:
        self._record_leaving(result, state, now)
        if result.reachable:
            retry_s = now + result.retry_after_s
            state.avoided_until_s = max(state.avoided_until_s, retry_s)
            return
        self._count_failure(state, now)

    @_update_state.register
    def _(
        self,
        result: ExecutorResultUnknown,
        state: _ExecutorState,
        now: float,
    ) -> None:
        self._count_failure(state, now)

    def _record_leaving(
        self,
        result: ExecutorAnswered | ExecutorRefused,
        state: _ExecutorState,
        now: float,
    ) -> None:
        if result.leaving:
            state.leaving_until_s = now + self._settings.leaving_s

    def _count_failure(self, state: _ExecutorState, now: float) -> None:
        state.failures += 1
        if state.failures < self._settings.failures_to_eject:
            return
        duration_s = min(
            self._settings.ejection_s * 2**state.ejections,
            self._settings.longest_ejection_s,
        )
        state.ejections += 1
        # The next failure after the ejection ejects again at once.
        state.failures = self._settings.failures_to_eject - 1
        state.avoided_until_s = now + duration_s

    def _healthy(
        self,
        executors: Collection[Instance],
        now: float,
    ) -> list[Instance]:
        staying = [
            executor
            for executor in executors
            if not self._is_leaving(executor, now)
        ]
        healthy = [
            executor
            for executor in staying
            if self._state(executor.instance_id).avoided_until_s <= now
        ]
        min_healthy = len(staying) * (1 - self._settings.most_ejected)
        # If most fail at once, the network or the load is the likely cause;
        # spreading requests over all avoids overloading the remaining few.
        return healthy if len(healthy) >= min_healthy else staying

    def _is_leaving(self, executor: Instance, now: float) -> bool:
        state = self._state(executor.instance_id)
        return executor.leaving or now < state.leaving_until_s

    def _has_capacity(self, executor: Instance, now: float) -> bool:
        state = self._state(executor.instance_id)
        sessions = len(self._view.live_ids())
        own_connections = max(1, self._settings.connections // sessions)
        max_load = executor.slots + self._settings.queue_per_executor
        return (
            state.outstanding < own_connections
            and self._load(executor, now) < max_load
        )

    def _load(self, executor: Instance, now: float) -> int:
        state = self._state(executor.instance_id)
        if now - state.reported_s > self._settings.load_age_s:
            return state.outstanding
        return max(state.outstanding, state.reported_outstanding)

    def _nearest(self, executors: list[Instance]) -> list[Instance]:
        same_data_centre = [
            executor
            for executor in executors
            if executor.datacentre == self._view.datacentre
        ]
        return same_data_centre or executors

    def _choose_less_loaded(
        self, executors: list[Instance], now: float
    ) -> Instance:
        count = min(_SAMPLE_SIZE, len(executors))
        return min(
            self._rng.sample(executors, count),
            key=lambda executor: self._load(executor, now) / executor.slots,
        )

    def _state(self, executor_id: str) -> _ExecutorState:
        return self._states_by_id.setdefault(executor_id, _ExecutorState())


def _forget_former_life(state: _ExecutorState, listed: Instance) -> None:
    """Forget that an executor was leaving if the list shows its next life."""
    former = state.left_as
    if former is None:
        return
    has_moved = listed.address != former.address
    if has_moved or (former.leaving and not listed.leaving):
        state.left_as = None
        state.leaving_until_s = float('-inf')
    else:
        state.left_as = listed
