"""Holds the state of a random schedule and its failure trace."""

import random
from collections.abc import Callable

import msgspec

from apricotlead.coordination.cell.journal import JournalBatch
from apricotlead.coordination.cell.starts import PlannedStart
from apricotlead.protocol.cell_config import OrganisationConfig
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import Row
from tests.accounting.machine import Machine
from tests.cell_rig import CellRig

LIMIT = Resources(9000, 0, 0)
_ORGANISATIONS = ('clerks', 'judges')
# The number of last events in a failure message.
_MAX_TRACE_EVENTS = 400


class AccountingState(CellRig):
    """Holds the machines, pending writes and calls, and a trace of events."""

    def __init__(self, seed: int) -> None:
        """Create a cell without machines and jobs."""
        self.rng = random.Random(seed)
        self.machines: list[Machine] = []
        self.term = 0
        self.pending_write: tuple[JournalBatch, list[PlannedStart]] | None = (
            None
        )
        self.unsent_starts: list[PlannedStart] = []
        # Delayed replies and late orders: the time in seconds, and the call.
        self.delayed_calls: list[tuple[float, Callable[[], None]]] = []
        self.held_worker_ids: set[str] = set()
        self.job_count = 0
        self.accepted_runs: set[tuple[str, int]] = set()
        self.submitted_rows: list[Row] = []
        self.machine_count = 0
        self.trace: list[str] = []
        self.run_count = 0
        super().__init__()

    def take_over(self) -> None:
        """Configure the organisations and start the first term."""
        self.config = msgspec.structs.replace(
            self.config,
            organisations=tuple(
                OrganisationConfig(name, ('key',), 100.0, LIMIT)
                for name in _ORGANISATIONS
            ),
        )
        self.begin_term()

    def begin_term(self) -> None:
        """Start a term; the pending write, starts and holds are dropped."""
        self.term += 1
        self.pending_write = None
        self.unsent_starts = []
        self.held_worker_ids = set()
        super().begin_term()

    def trace_event(self, text: str) -> None:
        """Add an event to the trace of a failure."""
        self.trace.append(f'{self.now:.2f} {text}')

    def fail(self, found: list[str]) -> None:
        """Raise ``AssertionError`` with the last events and the errors."""
        raise AssertionError(
            '\n'.join((*self.trace[-_MAX_TRACE_EVENTS:], *found))
        )

    def live_runs(self) -> list[tuple[str, str, int]]:
        """Return the runs that run, or whose end is not acknowledged yet.

        Each is a worker id, a task name and a run number.
        """
        found: list[tuple[str, str, int]] = []
        for machine in self.machines:
            name = machine.entry.worker_id
            found.extend((name, task, run) for task, run in machine.runs)
            found.extend((name, end.task, end.run) for end in machine.ended)
        return found

    def _call_later(
        self,
        run: Callable[[], object],
        *,
        outlives_term: bool = False,
    ) -> None:
        """Make a call after a delay; drop it if its term has ended by then.

        A call that ``outlives_term`` is made in any case.
        """
        term = self.term
        at_s = self.now + self.rng.uniform(0.05, 1.5)

        def call() -> None:
            if outlives_term or term == self.term:
                run()

        self.delayed_calls.append((at_s, call))

    def _any_machine(self) -> Machine | None:
        return self.rng.choice(self.machines) if self.machines else None

    def _live_machine(self, worker_id: str) -> Machine | None:
        return next(
            (
                each
                for each in self.machines
                if each.entry.worker_id == worker_id
            ),
            None,
        )

    def _reachable_machine(self, worker_id: str) -> Machine | None:
        machine = self._live_machine(worker_id)
        return machine if machine and machine.is_reachable else None
