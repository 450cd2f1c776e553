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

    def usable_until_s(self, team: str) -> float:
        """Return when units of the team must no longer be in use.

        Only a renewal of the session lease moves this time. Units of running
        tasks go to the adopter of their journal and are not subject to it.
        """

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
