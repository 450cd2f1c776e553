"""The settings file of an entry instance of a cell."""

from pathlib import Path
from typing import Self

import msgspec
from msgspec import Struct, field
from msgspec.structs import replace

from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.protocol.addresses import InvalidAddress, split_address
from apricotlead.protocol.errors import ApricotleadError

_MS_PER_S = 1000.0
# A call to another data centre and its retry must fit into a lease.
_MIN_LEASE_MS = 1500.0
_BYTES_PER_MBIT = 125000
# What a connection has under way at most: the usual window of a receiver.
_WINDOW_BYTES = 65536
# Of a worker with some runs, and some ends that nobody has acknowledged.
_LIST_BYTES = 4096
# Of a task in the journal, encoded as base64.
_TASK_BYTES = 93
# A read, a call of a follower or a renewal behind it still comes in time.
_MAX_LINK_QUEUE_S = 0.25
# A worker's answer counts as lost when it is 0.15 s late.
_MAX_LIST_QUEUE_S = 0.1


class CellSettingsError(ApricotleadError):
    """The settings file of an entry instance cannot be used."""

    kind = 'settings'
    remedy = 'See docs/OPERATIONS.md for all settings and their defaults.'


class CellEntrySettings(Struct, frozen=True, kw_only=True):
    """All settings of an entry instance; addresses are ``IP:port``.

    The instance may use ``cpu_share`` of a core that is ``cores`` times as
    fast as an ordinary one. A revoked key must stop working within
    ``revoke_ms``. ``grace_s`` is the time between SIGTERM and SIGKILL.
    Workers shorten leases to ``longest_lease_ms``; longer leases in ``cell``,
    and the timing of the calls that extend them, are shortened to fit.
    Workers take up to ``stop_ms`` to stop a run. ``link_mbps`` is the rate of the
    instance's link in Mbit/s, ``None`` or 0 if the platform names none. The
    platform's store takes values of up to ``row_bytes``; ``None`` or 0 stands for
    the default of ``cell``.
    """

    instance_id: str
    data_centre: str
    callers_address: str
    ready_address: str
    peer_address: str
    store_address: str
    metrics_address: str = ''
    advice_address: str = ''
    cpu_share: float = 1.0
    cores: float = 1.0
    grace_s: float = 6.0
    revoke_ms: float = 5000.0
    longest_lease_ms: float = 10000.0
    stop_ms: float = 900.0
    link_mbps: float | None = None
    row_bytes: int | None = None
    max_connections: int = 2000
    cell: CellSettings = field(default_factory=CellSettings)

    @property
    def processor(self) -> float:
        """Return the computing power of this instance, in ordinary cores."""
        return self.cpu_share * self.cores

    @property
    def view_bound_s(self) -> float:
        """Return the maximum age of a configuration since it was confirmed.

        A tenth of ``revoke_ms`` is left for answers in transit.
        """
        return self.revoke_ms / _MS_PER_S * 0.9

    @property
    def bounded_cell(self) -> CellSettings:
        """Return the settings of the cell, within what workers and link allow."""
        longest_s = self.longest_lease_ms / _MS_PER_S
        bounded = self.cell.bounded(longest_s)
        return replace(
            bounded,
            stop_s=self.stop_ms / _MS_PER_S,
            open_scans=self._within_link(_WINDOW_BYTES, self.cell.open_scans),
            open_lists=self._within_link(
                _LIST_BYTES, self.cell.open_lists, _MAX_LIST_QUEUE_S
            ),
            tasks_per_write=self._within_link(
                _TASK_BYTES, self.cell.tasks_per_write
            ),
            row_bytes=self.row_bytes or self.cell.row_bytes,
        )

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read and check a YAML file; raise :class:`CellSettingsError`.

        Unknown settings are ignored, as newer platforms may add some.
        """
        try:
            content = Path(path).read_bytes()
        except OSError as error:
            raise CellSettingsError(
                f'{path} cannot be read: {error}.'
            ) from error
        try:
            settings = msgspec.yaml.decode(content, type=cls)
        except msgspec.MsgspecError as error:
            raise CellSettingsError(f'{path} is invalid: {error}.') from error
        settings.check()
        return settings

    def _within_link(
        self, item_bytes: int, most: int, queue_s: float = _MAX_LINK_QUEUE_S
    ) -> int:
        """Return how many items may be under way at a time: 1 to ``most``.

        They must pass the link before anything else does.
        """
        if not self.link_mbps:
            return most
        soon_bytes = self.link_mbps * _BYTES_PER_MBIT * queue_s
        return max(1, min(most, int(soon_bytes / item_bytes)))

    def check(self) -> None:
        """Raise :class:`CellSettingsError` that names all invalid settings."""
        problems = [
            f'{name} must be IP:port, not {getattr(self, name)!r}'
            for name in (
                'callers_address',
                'ready_address',
                'peer_address',
                'store_address',
            )
            if not _is_address(getattr(self, name))
        ]
        if self.longest_lease_ms < _MIN_LEASE_MS:
            problems.append(
                f'longest_lease_ms must be at least {_MIN_LEASE_MS:.0f}, '
                f'not {self.longest_lease_ms}: shorter leases expire before '
                'the answer to a retried call arrives',
            )
        if problems:
            problem_list = '; '.join(problems)
            raise CellSettingsError(f'{problem_list}.')


def _is_address(address: str) -> bool:
    try:
        split_address(address)
    except InvalidAddress:
        return False
    return True
