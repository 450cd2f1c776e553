"""A store, and instances beside it, with scripted faults in virtual time."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import eventlet
from msgspec import structs

from apricotlead.coordination.cell.job_rows import job_key
from apricotlead.coordination.cell.progress_rows import PROGRESS_PREFIX
from apricotlead.protocol.cell_config import QueueConfig
from apricotlead.protocol.cell_peers import RelayedCall
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    Row,
    Rows,
    StoreFailed,
    Transaction,
)
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.cell_request_handler import CellRequestHandler
from apricotlead.transport.store_health import StoreHealth
from apricotlead.transport.store_relay import StoreRelay
from tests.cell_rig import cell_config

JOB = '5c0e7a21d94b36f8'
JOB_KEY = job_key(JOB)
PROGRESS_KEY = f'{PROGRESS_PREFIX}{JOB}'
RUNNING = [[], 'running']
QUEUED = {
    'queue': 'lookups',
    'service': 'transcripts',
    'organisation': 'clerks',
    'accepted_ms': 5.0,
}
ANSWER_S = 0.02
HOP_S = 0.01
# A call without an answer ends with its time limit.
HANGS = 'hangs'
# The platform refuses a call with status 503 at once.
REFUSES = 'refuses'
# The platform refuses a call with status 429 at once.
BUSY = 'status 429'
CUT_OFF = 'out of reach as well'

Fault = Callable[[int], str]


def never(number: int) -> str:
    """Let each call succeed."""
    return ''


def always(fault: str) -> Fault:
    """Let each call fail."""
    return lambda number: fault


def first(count: int, fault: str) -> Fault:
    """Let the first calls fail."""
    return lambda number: fault if number <= count else ''


def after(count: int, fault: str) -> Fault:
    """Let all calls but the first ones fail."""
    return lambda number: fault if number > count else ''


def on_calls(numbers: set[int], fault: str) -> Fault:
    """Let the calls with these numbers fail."""
    return lambda number: fault if number in numbers else ''


class VirtualStore:
    """Answers each call after ``answer_s``, unless ``fault(number)`` says."""

    def __init__(
        self,
        values_by_key: dict[str, Any],
        fault: Fault = never,
        answer_s: float = ANSWER_S,
    ) -> None:
        """Hold rows at version 1; calls are numbered starting at 1."""
        self.rows_by_key = {
            key: Row(key, 1, value) for key, value in values_by_key.items()
        }
        self.fault = fault
        self.answer_s = answer_s
        self.sent_s: list[float] = []

    def read_row(self, key: str, timeout_s: float = 1.0) -> Any:
        """Read a row."""
        failure = self._fail(timeout_s)
        if failure is not None:
            return failure
        row = self.rows_by_key.get(key)
        return Rows((row,) if row else (), 1, 1)

    def transact(self, transaction: Transaction, timeout_s: float = 1.0) -> Any:
        """Apply a transaction."""
        failure = self._fail(timeout_s)
        if failure is not None:
            return failure
        current = tuple(
            self.rows_by_key.get(check.key, Row(check.key))
            for check in transaction.checks
        )
        wanted = [check.version for check in transaction.checks]
        if [row.version for row in current] != wanted:
            return CheckFailed(current)
        for put in transaction.puts:
            self.rows_by_key[put.key] = Row(put.key, 2, put.value)
        return Committed({written.key: 2 for written in transaction.puts})

    def _fail(self, timeout_s: float) -> StoreFailed | None:
        """Let the time of a call pass; return its failure, if it fails."""
        self.sent_s.append(boot_now())
        fault = self.fault(len(self.sent_s))
        if fault == HANGS or self.answer_s > timeout_s:
            eventlet.sleep(timeout_s)
            return StoreFailed(None, reason='no answer')
        eventlet.sleep(self.answer_s)
        if fault:
            return StoreFailed(False, reason=fault, is_busy=fault == BUSY)
        return None


class RatedStore(VirtualStore):
    """Answers a limited number of calls each second, and refuses others."""

    def __init__(self, values_by_key: dict[str, Any], max_per_s: int) -> None:
        """Start without calls."""
        super().__init__(values_by_key, self._fault_of)
        self._max_per_s = max_per_s
        self._counts_by_second: Counter[int] = Counter()

    def _fault_of(self, number: int) -> str:
        second = int(boot_now())
        if self._counts_by_second[second] >= self._max_per_s:
            return BUSY
        self._counts_by_second[second] += 1
        return ''


class VirtualPeers:
    """Instances by address, each with its own way to the store."""

    def __init__(self, **stores_by_address: VirtualStore) -> None:
        """Let each instance answer from a store."""
        self.stores_by_address = stores_by_address
        self.asked: list[str] = []
        self.calls: list[RelayedCall] = []
        # Addresses that take calls and never answer.
        self.silent: set[str] = set()

    def addresses(self) -> list[str]:
        """Return the instances in contact, the preferred one first."""
        return list(self.stores_by_address)

    def relay(self, address: str, call: RelayedCall, timeout_s: float) -> Any:
        """Make a call through an instance."""
        self.asked.append(address)
        # As the client of the peers does.
        self.calls.append(structs.replace(call, timeout_s=timeout_s))
        if address in self.silent:
            eventlet.sleep(timeout_s)
            return None
        store = self.stores_by_address[address]
        eventlet.sleep(HOP_S)
        left_s = timeout_s - HOP_S
        if call.transaction is None:
            answer = store.read_row(call.key, left_s)
        else:
            answer = store.transact(call.transaction, left_s)
        # The hop back takes longer than the caller waits for a late failure.
        is_late = isinstance(answer, StoreFailed) and answer.applied is None
        return None if is_late else answer


class IdleScheduler:
    """A scheduler without a status, which ignores rows."""

    def status(self) -> None:
        """Return no status."""

    def announce(self, row: Row) -> None:
        """Ignore a row."""


class VirtualInstance:
    """An instance that answers callers in virtual time."""

    def __init__(
        self,
        store: VirtualStore,
        peers: VirtualPeers | None = None,
        lost_after_s: float = 1.3,
    ) -> None:
        """Reach the store directly and through ``peers``."""
        self.health = StoreHealth(lost_after_s)
        self.metrics = CellMetrics()
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.relay = StoreRelay(
            store, self.health, peers or VirtualPeers(), self.metrics
        )
        self.request_handler = CellRequestHandler(
            self.relay,
            self.health,
            IdleScheduler(),
            4.5,
            lambda kind, **fields: self.lines.append((kind, fields)),
            self.metrics,
        )

    @property
    def queue(self) -> QueueConfig:
        """Return a queue."""
        return cell_config().queues[0]

    def status(self, wait_s: float, job_id: str = JOB) -> tuple[Any, float]:
        """Ask for a state; return the outcome and the duration."""
        began_s = boot_now()
        outcome = self.request_handler.status(self.queue, job_id, wait_s)
        return outcome, boot_now() - began_s

    def cancel(self, wait_s: float) -> tuple[Any, float]:
        """Cancel a job; return the outcome and the duration."""
        began_s = boot_now()
        outcome = self.request_handler.cancel(self.queue, JOB, wait_s)
        return outcome, boot_now() - began_s
