"""Plans the changes of one session to a team's limit row."""

from collections.abc import Collection, Mapping

from msgspec import Struct
from msgspec.structs import replace

from apricotlead.coordination.limit_account import Account, AllotmentSettings
from apricotlead.coordination.limit_row import (
    LimitRow,
    Share,
    Want,
    fair_units,
    other_wants,
    units_to_return,
    units_to_take,
)


class PlanContext(Struct, frozen=True):
    """Inputs of a plan other than the row and the accounts.

    ``sessions`` is the number of live sessions; ``idle_s`` is the time after
    which unused units are returned, in seconds; ``stale`` are the journals
    whose wants have expired; ``op_id`` is the operation id of the write.
    """

    settings: AllotmentSettings
    sessions: int
    idle_s: float
    stale: Collection[str]
    op_id: str
    now: float


def plan_row(
    row: LimitRow,
    accounts_by_journal: Mapping[str, Account],
    epochs_by_journal: Mapping[str, int],
    context: PlanContext,
) -> LimitRow:
    """Return the row after returns, growth and wants of these journals.

    Equal to ``row`` if there is nothing to write. A journal that a later
    owner has claimed is not changed.
    """
    active_wants = {
        journal_id: want
        for journal_id, want in row.wants.items()
        if journal_id not in context.stale
    }
    row = replace(row, wants=active_wants)
    for journal_id, account in accounts_by_journal.items():
        epoch = epochs_by_journal.get(journal_id)
        share = row.allotments.get(journal_id, Share(0, 0))
        if epoch is not None and share.epoch <= epoch:
            plan = _JournalPlan(journal_id, epoch, account, context)
            row = plan.with_growth(plan.with_returns(row))
    return row


class _JournalPlan(Struct, frozen=True):
    journal_id: str
    epoch: int
    account: Account
    context: PlanContext

    def with_returns(self, row: LimitRow) -> LimitRow:
        """Return idle units that others need or that were long unused."""
        units = row.units_of(self.journal_id)
        now = self.context.now
        needed_by_others = units_to_return(
            row,
            self.journal_id,
            self.account.in_use,
            self.context.stale,
        )
        idle = self.account.idle_units(
            units,
            row.limit,
            self.context.idle_s,
            now,
        )
        idle = min(idle, max(0, units - self._standing(row)))
        return self._with_units(row, units - max(needed_by_others, idle))

    def with_growth(self, row: LimitRow) -> LimitRow:
        """Take free units for the demand, or record a want."""
        demand = self.account.demanded_units(row.limit, self.context.now)
        if not demand:
            return self._with_standing(self._without_want(row))
        units = row.units_of(self.journal_id)
        need = self.account.in_use + demand - units
        if need <= 0:
            return self._with_served_want(row, demand)
        requested = self._requested_units(row, need, demand)
        taken = units_to_take(
            row, self.journal_id, requested, self.context.stale
        )
        row = self._with_units(row, units + taken)
        if taken:
            self.account.reserve = min(2 * requested, row.limit)
        if taken >= need:
            return self._with_served_want(row, demand)
        wanted = (
            min(requested, self._entitled_units(row, demand) - units) - taken
        )
        if wanted <= 0:
            return self._without_want(row)
        return self._with_want(row, wanted)

    def _standing(self, row: LimitRow) -> int:
        return self.account.standing_units(row.limit, self.context.sessions)

    def _with_standing(self, row: LimitRow) -> LimitRow:
        """Take the standing allotment unless others wait for units."""
        units = row.units_of(self.journal_id)
        if other_wants(row, self.journal_id, self.context.stale):
            return row
        missing = max(0, self._standing(row) - units)
        return self._with_units(row, units + min(missing, max(0, row.free())))

    def _requested_units(self, row: LimitRow, need: int, demand: int) -> int:
        """Return how many units to request: the need and a reserve."""
        parts = self.context.settings.chunk_divisor * self.context.sessions
        requested = need + max(self.account.reserve, row.limit // parts)
        if other_wants(row, self.journal_id, self.context.stale):
            claimed = self._entitled_units(row, demand) - row.units_of(
                self.journal_id
            )
            requested = min(requested, max(need, claimed))
        return min(requested, row.limit)

    def _entitled_units(self, row: LimitRow, demand: int) -> int:
        """Return the allotment for which others have to return units.

        It is the fair share, or what a gang needs at once.
        """
        fair = fair_units(row, self.journal_id, self.context.stale)
        gang_claim = self.account.in_use + demand if demand > 1 else 1
        return max(fair, gang_claim)

    def _with_units(self, row: LimitRow, units: int) -> LimitRow:
        """Set the allotment; claims it from an owner of an older epoch."""
        share = row.allotments.get(self.journal_id, Share(0, self.epoch))
        standing = 0 < units <= self._standing(row)
        before = (share.units, share.epoch, share.standing)
        if before == (units, self.epoch, standing):
            return row
        allotments = dict(row.allotments)
        allotments.pop(self.journal_id, None)
        if units > 0:
            share = Share(units, self.epoch, self.context.op_id, standing)
            allotments[self.journal_id] = share
        return replace(row, allotments=allotments)

    def _with_want(self, row: LimitRow, units: int) -> LimitRow:
        """Record a want, or refresh it every ``want_refresh_s``."""
        account = self.account
        now = self.context.now
        before = row.wants.get(self.journal_id)
        refresh_s = self.context.settings.want_refresh_s
        recent = now - account.want_sent_s < refresh_s
        if before is not None and before.units == units and recent:
            return row
        account.want_sent_s = now
        seq = row.next_seq if before is None else before.seq
        want = Want(units, seq, self.context.op_id)
        return replace(
            row,
            wants=row.wants | {self.journal_id: want},
            next_seq=max(row.next_seq, seq + 1),
        )

    def _with_served_want(self, row: LimitRow, demand: int) -> LimitRow:
        """Keep a want of 0 units for a gang that has not taken its units yet.

        Without its place in the queue it would owe them to the next want at
        once.
        """
        if demand > 1 and self.journal_id in row.wants:
            return self._with_want(row, 0)
        return self._without_want(row)

    def _without_want(self, row: LimitRow) -> LimitRow:
        if self.journal_id not in row.wants:
            return row
        wants = dict(row.wants)
        wants.pop(self.journal_id)
        return replace(row, wants=wants)
