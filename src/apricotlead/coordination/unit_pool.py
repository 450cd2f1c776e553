"""The interface to teams' limits that placement and lookups use."""

from typing import Protocol


class UnitPool(Protocol):
    """Units of the teams' limits; see :class:`Allotments`."""

    def try_take(
        self,
        team: str,
        journal_id: str,
        amount: int,
        now: float,
    ) -> bool:
        """Take all units or none; return whether they were taken."""

    def release_units(
        self,
        team: str,
        journal_id: str,
        amount: int,
        now: float,
    ) -> None:
        """Return units that were taken."""

    def restore(self, team: str, journal_id: str, in_use: int) -> None:
        """Set the number of units in use by an adopted journal."""
