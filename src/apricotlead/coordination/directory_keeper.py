"""Keeps the cell directory up to date with the platform's instance list."""

from collections.abc import Iterable
from typing import Any, Self

from msgspec import Struct

from apricotlead.coordination.component import Component, handles
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.signals import InstancesListed, Signal
from apricotlead.state.cell_directory import CellDirectory


class DirectorySettings(Struct, frozen=True):
    """``missing_grace_s`` is how long an unlisted instance is kept.

    The list lags, and a restarted platform can return it incomplete, so one
    list without an instance does not prove that the instance has stopped.
    """

    missing_grace_s: float = 3.0


class DirectoryKeeper(Component):
    """Replaces the directory when the list changes."""

    name = 'directory'
    __slots__ = ('_directory', '_listed_s_by_id', '_settings')

    def __init__(
        self,
        settings: DirectorySettings,
        directory: CellDirectory,
    ) -> None:
        """Start with an empty directory."""
        self._settings = settings
        self._directory = directory
        self._listed_s_by_id: dict[str, float] = {}

    @classmethod
    def from_config(
        cls,
        settings: DirectorySettings,
        directory: CellDirectory,
    ) -> Self:
        """Return the keeper of ``directory``."""
        return cls(settings, directory)

    @handles(InstancesListed)
    def on_listed(
        self,
        signal: InstancesListed,
        now: float,
    ) -> Iterable[Signal]:
        """Apply the list; keep missing instances for the grace period."""
        previous_by_id = self._instances_by_id()
        current_by_id = {
            instance.instance_id: instance for instance in signal.instances
        }
        self._listed_s_by_id.update(dict.fromkeys(current_by_id, now))
        current_by_id.update(
            (missing_id, missing)
            for missing_id, missing in previous_by_id.items()
            if missing_id not in current_by_id
            and self._is_in_grace(missing_id, now)
        )
        if current_by_id != previous_by_id:
            self._directory.replace(tuple(current_by_id.values()))
        for removed_id in self._listed_s_by_id.keys() - current_by_id.keys():
            self._listed_s_by_id.pop(removed_id)
        return ()

    def dump(self, now: float) -> dict[str, Any]:
        """Return the number of instances by role."""
        return {
            'version': self._directory.version,
            'entries': len(self._directory.entries_by_id),
            'executors': len(self._directory.executors_by_id),
            'workers': len(self._directory.workers_by_id),
        }

    def _instances_by_id(self) -> dict[str, Instance]:
        return (
            self._directory.entries_by_id
            | self._directory.executors_by_id
            | self._directory.workers_by_id
        )

    def _is_in_grace(self, instance_id: str, now: float) -> bool:
        missing_s = now - self._listed_s_by_id[instance_id]
        return missing_s < self._settings.missing_grace_s
