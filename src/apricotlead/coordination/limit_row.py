"""The row ``limit/{team}`` and the rules that divide it among journals.

All functions are pure. Units are running tasks and lookups.
"""

from collections.abc import Collection, Mapping

from msgspec import Struct
from msgspec.structs import replace


class Share(Struct, frozen=True):
    """A journal's allotment, its owner's epoch, and its last write.

    ``standing`` tells that the allotment does not exceed what each session
    keeps without demand; such a journal claims no fair share.
    """

    units: int
    epoch: int
    op_id: str = ''
    standing: bool = False


class Want(Struct, frozen=True):
    """A journal's request for units that were not free.

    A lower ``seq`` is served first. 0 units keep the place of a gang that
    has its units but has not taken them yet. ``op_id`` changes with each
    refresh, so that the want of a dead owner can be detected as stale.
    """

    units: int
    seq: int
    op_id: str = ''


class LimitRow(Struct, frozen=True):
    """A team's limit, its configuration version, and its allotments."""

    limit: int = 0
    config_version: int = 0
    next_seq: int = 1
    allotments: dict[str, Share] = {}
    wants: dict[str, Want] = {}

    def allotted(self) -> int:
        """Return the sum of all allotments."""
        return sum(share.units for share in self.allotments.values())

    def free(self) -> int:
        """Return the units not allotted; negative if the limit is exceeded."""
        return self.limit - self.allotted()

    def units_of(self, journal_id: str) -> int:
        """Return the allotment of a journal, 0 without one."""
        share = self.allotments.get(journal_id)
        return 0 if share is None else share.units


def limit_key(team: str) -> str:
    """Return the key of a team's row."""
    return f'limit/{team}'


def without_journals(row: LimitRow, journal_ids: Collection[str]) -> LimitRow:
    """Return the row without these journals' allotments and wants."""
    if not journal_ids:
        return row
    allotments = {
        journal_id: share
        for journal_id, share in row.allotments.items()
        if journal_id not in journal_ids
    }
    wants = {
        journal_id: want
        for journal_id, want in row.wants.items()
        if journal_id not in journal_ids
    }
    return replace(row, allotments=allotments, wants=wants)


def other_wants(
    row: LimitRow,
    journal_id: str,
    stale: Collection[str],
) -> dict[str, Want]:
    """Return the wants of other journals, except those in ``stale``."""
    return {
        other: want
        for other, want in row.wants.items()
        if other != journal_id and other not in stale
    }


def earlier_wants(
    row: LimitRow,
    journal_id: str,
    stale: Collection[str],
) -> dict[str, Want]:
    """Return the wants of other journals that are served before this one.

    A journal without a want comes after all wants. Wants of the journals in
    ``stale`` do not count.
    """
    own = row.wants.get(journal_id)
    return {
        other: want
        for other, want in other_wants(row, journal_id, stale).items()
        if own is None or want.seq < own.seq
    }


def total_wanted(wants: Mapping[str, Want]) -> int:
    """Return the sum of the wants."""
    return sum(want.units for want in wants.values())


def fair_units(row: LimitRow, journal_id: str, stale: Collection[str]) -> int:
    """Return an equal share of the limit among all that hold or want units.

    Standing allotments don't count: with them, each session would claim a
    share.
    """
    claimants = {journal_id}
    claimants.update(
        holder for holder, share in row.allotments.items() if not share.standing
    )
    claimants.update(other for other in row.wants if other not in stale)
    return row.limit // len(claimants)


def usable_units(
    row: LimitRow,
    journal_id: str,
    stale: Collection[str],
) -> int:
    """Return how many units a journal may have in use.

    While earlier wants are unmet, released units above the fair share are
    kept free for them. If one of them exceeds its fair share (a gang needs
    all its units at once), all released units are.
    """
    units = row.units_of(journal_id)
    earlier = earlier_wants(row, journal_id, stale)
    owed = total_wanted(earlier) - max(0, row.free())
    if owed <= 0:
        return units
    fair = fair_units(row, journal_id, stale)
    if any(
        want.units and row.units_of(other) + want.units > fair
        for other, want in earlier.items()
    ):
        fair = 0
    return min(units, max(fair, units - owed))


def units_to_return(
    row: LimitRow,
    journal_id: str,
    in_use: int,
    stale: Collection[str],
) -> int:
    """Return how many idle units earlier wants need now."""
    idle = max(0, row.units_of(journal_id) - in_use)
    wanted = total_wanted(earlier_wants(row, journal_id, stale))
    return min(idle, max(0, wanted - row.free()))


def units_to_take(
    row: LimitRow,
    journal_id: str,
    requested: int,
    stale: Collection[str],
) -> int:
    """Return how many of the requested units are free for this journal."""
    wanted = total_wanted(earlier_wants(row, journal_id, stale))
    return max(0, min(requested, row.free() - wanted))
