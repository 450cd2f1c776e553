"""What placement and lookups need of a team's limit."""

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
        """Take units, all or none; tell whether they were taken."""

    def release_units(
        self,
        team: str,
        journal_id: str,
        amount: int,
        now: float,
    ) -> None:
        """Return units that were taken."""

    def restore(self, team: str, journal_id: str, in_use: int) -> None:
        """Set the units in use of an adopted journal."""
