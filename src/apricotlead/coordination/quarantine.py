"""Withholds grants from workers on which attempts keep failing."""

from typing import Any

from apricotlead.coordination.outlier_ejection import OutlierEjection
from apricotlead.state.capacity_ledger import CapacityLedger

_QUARANTINED = 'quarantined'


def job_of(attempt_id: str) -> str:
    """Return the job of an attempt ``{job_id}.{task}.{epoch}-{n}``."""
    return attempt_id.rsplit('.', 2)[0]


class Quarantine:
    """Blocks workers in the ledger that fail attempts of distinct jobs.

    The reservation desk and the worker monitor report ended attempts to one
    shared quarantine. A worker whose quarantine has expired gets one task at a
    time as a probe.
    """

    __slots__ = ('_ejection', '_ledger')

    def __init__(
        self,
        ejection: OutlierEjection,
        ledger: CapacityLedger,
    ) -> None:
        """Start with no worker quarantined."""
        self._ejection = ejection
        self._ledger = ledger

    def record_end(
        self,
        worker_id: str,
        attempt_id: str,
        failed: bool,
        now: float,
    ) -> tuple[str, ...]:
        """Record an ended attempt; return the workers that get grants again."""
        ejected_before = self._ejection.untrusted_ids()
        self._ejection.record(worker_id, job_of(attempt_id), failed, now)
        return self._update_blocks((worker_id, *ejected_before))

    def record_grant(self, worker_id: str, now: float) -> None:
        """Record a grant; a worker being probed gets no further one."""
        self._ejection.record_use(worker_id, now)
        self._update_blocks((worker_id,))

    def advance(self, now: float) -> tuple[str, ...]:
        """Start due probes; return the workers that get grants again."""
        self._ejection.advance(now)
        return self._update_blocks(self._ejection.untrusted_ids())

    def restore(self, worker_id: str) -> None:
        """Block a newly claimed worker again if it is quarantined."""
        self._update_blocks((worker_id,))

    def forget(self, worker_id: str) -> None:
        """Remove a worker that is no longer owned."""
        self._ejection.forget(worker_id)

    def ejected_ids(self) -> tuple[str, ...]:
        """Return the workers on which no task of a gang may run."""
        return self._ejection.untrusted_ids()

    def dump(self, now: float) -> dict[str, Any]:
        """Return the quarantined workers as built-in types for JSON."""
        return self._ejection.dump(now)

    def _update_blocks(self, worker_ids: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(
            worker_id
            for worker_id in worker_ids
            if self._update_block(worker_id)
        )

    def _update_block(self, worker_id: str) -> bool:
        if self._ejection.may_use(worker_id):
            return self._ledger.unblock(worker_id, _QUARANTINED)
        self._ledger.block(worker_id, _QUARANTINED)
        return False
