"""Keeps work away from workers that fail what they start."""

from typing import Any

from apricotlead.coordination.outlier_ejection import OutlierEjection
from apricotlead.state.capacity_ledger import CapacityLedger

_QUARANTINED = 'quarantined'


def job_of(attempt_id: str) -> str:
    """Return the job of an attempt ``{job_id}.{task}.{epoch}-{n}``."""
    return attempt_id.rsplit('.', 2)[0]


class Quarantine:
    """Blocks workers in the ledger that fail attempts of distinct jobs.

    The desk and the monitor report endings and share one quarantine. A
    worker whose quarantine has run gets one task at a time as a probe.
    """

    __slots__ = ('_ejection', '_ledger')

    def __init__(
        self,
        ejection: OutlierEjection,
        ledger: CapacityLedger,
    ) -> None:
        """Begin with no worker quarantined."""
        self._ejection = ejection
        self._ledger = ledger

    def record_end(
        self,
        worker_id: str,
        attempt_id: str,
        failed: bool,
        now: float,
    ) -> tuple[str, ...]:
        """Note an ending; return the workers that take grants again."""
        before = self._ejection.out_ids()
        self._ejection.record(worker_id, job_of(attempt_id), failed, now)
        return self._sync((worker_id, *before))

    def record_grant(self, worker_id: str, now: float) -> None:
        """Note a grant; on a worker under probe it is the only one."""
        self._ejection.used(worker_id, now)
        self._sync((worker_id,))

    def advance(self, now: float) -> tuple[str, ...]:
        """Begin due probes; return the workers that take grants again."""
        self._ejection.advance(now)
        return self._sync(self._ejection.out_ids())

    def restore(self, worker_id: str) -> None:
        """Block a quarantined worker again that was claimed anew."""
        self._sync((worker_id,))

    def forget(self, worker_id: str) -> None:
        """Drop a worker that is no longer owned."""
        self._ejection.forget(worker_id)

    def suspect_ids(self) -> tuple[str, ...]:
        """Return the workers that must not hold a part of a gang."""
        return self._ejection.out_ids()

    def dump(self, now: float) -> dict[str, Any]:
        """Return the quarantined workers in JSON builtins."""
        return self._ejection.dump(now)

    def _sync(self, worker_ids: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(
            worker_id for worker_id in worker_ids if self._reopens(worker_id)
        )

    def _reopens(self, worker_id: str) -> bool:
        if self._ejection.may_use(worker_id):
            return self._ledger.unblock(worker_id, _QUARANTINED)
        self._ledger.block(worker_id, _QUARANTINED)
        return False
