"""Ejects backend servers that fail work which succeeds on others."""

from collections.abc import Callable
from typing import Any, Literal

from msgspec import Struct, field

Standing = Literal['trusted', 'ejected', 'probing']

# Results kept per backend server; beyond it the oldest group is dropped.
_MAX_GROUPS_PER_MEMBER = 16
# Groups tracked at a time; beyond it the oldest is dropped.
_MAX_GROUPS = 4096
_MAX_MEMBERS_PER_GROUP = 16
_BACKOFF = 2


class EjectionSettings(Struct, frozen=True):
    """When members are ejected, and for how long.

    ``failing_groups``: distinct groups (jobs, or callers of a service) whose
    work a member must fail. ``suspect_members``: a group that fails on this
    many members, and on more than it succeeds on, is at fault itself. At most
    ``max_fraction`` of the members are ejected or probing at once, but one
    always may be if there are two or more. Times are in seconds.
    """

    failing_groups: int = 3
    suspect_members: int = 3
    max_fraction: float = 0.2
    window_s: float = 60.0
    first_ejection_s: float = 10.0
    longest_ejection_s: float = 300.0
    probe_wait_s: float = 30.0


class _Result(Struct):
    failed: bool
    at_s: float


class _Member(Struct):
    """Recent results of one backend server since its first failure."""

    results_by_group: dict[str, _Result] = field(default_factory=dict)
    standing: Standing = 'trusted'
    until_s: float = 0.0
    ejections: int = 0
    probe_end_s: float | None = None


class _Group(Struct):
    """Members on which a group's work failed, and where it succeeded."""

    failed_on: set[str] = field(default_factory=set)
    succeeded_on: set[str] = field(default_factory=set)


class OutlierEjection:
    """Ejects failing members of a set, and probes them before reuse.

    A member is *trusted*, *ejected* (gets no work), or *probing* (gets one
    piece of work at a time until one succeeds). Results are kept only from
    the first failure on, so that a healthy set needs no memory.
    """

    __slots__ = (
        '_groups_by_id',
        '_member_count',
        '_members_by_id',
        '_settings',
    )

    def __init__(
        self,
        settings: EjectionSettings,
        member_count: Callable[[], int],
    ) -> None:
        """Start with all trusted; ``member_count`` returns the set's size."""
        self._settings = settings
        self._member_count = member_count
        self._members_by_id: dict[str, _Member] = {}
        self._groups_by_id: dict[str, _Group] = {}

    def record(
        self,
        member_id: str,
        group: str,
        failed: bool,
        now: float,
    ) -> None:
        """Record how a piece of the group's work ended on a member."""
        if failed:
            self._record_failure(member_id, group, now)
        else:
            self._record_success(member_id, group, now)

    def standing(self, member_id: str) -> Standing:
        """Return whether the member is trusted, ejected or probing."""
        member = self._members_by_id.get(member_id)
        return 'trusted' if member is None else member.standing

    def may_use(self, member_id: str) -> bool:
        """Tell whether the member may get a piece of work now."""
        member = self._members_by_id.get(member_id)
        if member is None or member.standing == 'trusted':
            return True
        return member.standing == 'probing' and member.probe_end_s is None

    def record_use(self, member_id: str, now: float) -> None:
        """Record that work was sent; for a probing member it is the probe."""
        member = self._members_by_id.get(member_id)
        if member is not None and member.standing == 'probing':
            member.probe_end_s = now + self._settings.probe_wait_s

    def advance(self, now: float) -> None:
        """Start probes that are due, and drop old results.

        Takes O(members with results); call it about once a second.
        """
        for member_id, member in tuple(self._members_by_id.items()):
            self._advance_member(member_id, member, now)

    def forget(self, member_id: str) -> None:
        """Drop a member that left the set."""
        self._members_by_id.pop(member_id, None)

    def untrusted_ids(self) -> tuple[str, ...]:
        """Return the members that are ejected or probing."""
        return tuple(
            member_id
            for member_id, member in self._members_by_id.items()
            if member.standing != 'trusted'
        )

    def dump(self, now: float) -> dict[str, Any]:
        """Return the members that are not trusted, in JSON builtins."""
        return {
            member_id: {
                'standing': self._members_by_id[member_id].standing,
                'ejections': self._members_by_id[member_id].ejections,
            }
            for member_id in self.untrusted_ids()
        }

    def _record_failure(self, member_id: str, group: str, now: float) -> None:
        member = self._members_by_id.setdefault(member_id, _Member())
        observed = self._observed_group(group)
        if len(observed.failed_on) < _MAX_MEMBERS_PER_GROUP:
            observed.failed_on.add(member_id)
        _store_result(member, group, _Result(True, now))
        if member.standing == 'probing' and not self._is_at_fault(group):
            self._eject(member, now)
        if self._is_at_fault(group):
            self._reinstate_members(observed)
        else:
            self._eject_if_failing(member, now)

    def _record_success(self, member_id: str, group: str, now: float) -> None:
        observed = self._groups_by_id.get(group)
        if observed and len(observed.succeeded_on) < _MAX_MEMBERS_PER_GROUP:
            observed.succeeded_on.add(member_id)
        member = self._members_by_id.get(member_id)
        if member is None:
            return
        if member.standing == 'probing':
            self._members_by_id.pop(member_id)
            return
        _store_result(member, group, _Result(False, now))

    def _observed_group(self, group: str) -> _Group:
        observed = self._groups_by_id.get(group)
        if observed is None:
            if len(self._groups_by_id) >= _MAX_GROUPS:
                self._groups_by_id.pop(next(iter(self._groups_by_id)))
            observed = self._groups_by_id.setdefault(group, _Group())
        return observed

    def _is_at_fault(self, group: str) -> bool:
        observed = self._groups_by_id.get(group)
        if observed is None:
            return False
        failures = len(observed.failed_on)
        return failures >= self._settings.suspect_members and failures > len(
            observed.succeeded_on
        )

    def _eject_if_failing(self, member: _Member, now: float) -> None:
        if member.standing != 'trusted' or not self._is_failing(member):
            return
        if len(self.untrusted_ids()) < self._max_untrusted():
            self._eject(member, now)

    def _is_failing(self, member: _Member) -> bool:
        failure_flags = [
            result.failed
            for group, result in member.results_by_group.items()
            if not result.failed or not self._is_at_fault(group)
        ]
        failures = sum(failure_flags)
        enough = failures >= self._settings.failing_groups
        return enough and failures * 2 > len(failure_flags)

    def _max_untrusted(self) -> int:
        count = self._member_count()
        if count < 2:
            return 0
        return max(int(count * self._settings.max_fraction), 1)

    def _eject(self, member: _Member, now: float) -> None:
        period_s = self._settings.first_ejection_s * _BACKOFF**member.ejections
        member.standing = 'ejected'
        member.until_s = now + min(period_s, self._settings.longest_ejection_s)
        member.ejections += 1
        member.probe_end_s = None

    def _reinstate_members(self, observed: _Group) -> None:
        """Trust members again that were ejected for a faulty group."""
        for member_id in observed.failed_on:
            member = self._members_by_id.get(member_id)
            if member is None or member.standing == 'trusted':
                continue
            if not self._is_failing(member):
                self._members_by_id.pop(member_id)

    def _advance_member(
        self,
        member_id: str,
        member: _Member,
        now: float,
    ) -> None:
        if member.standing == 'ejected' and member.until_s <= now:
            member.standing = 'probing'
        if member.probe_end_s is not None and member.probe_end_s <= now:
            member.probe_end_s = None
        if member.standing == 'trusted':
            self._drop_old_results(member_id, member, now)

    def _drop_old_results(
        self, member_id: str, member: _Member, now: float
    ) -> None:
        oldest_s = now - self._settings.window_s
        member.results_by_group = {
            group: result
            for group, result in member.results_by_group.items()
            if result.at_s > oldest_s
        }
        if any(each.failed for each in member.results_by_group.values()):
            return
        self._members_by_id.pop(member_id)


def _store_result(member: _Member, group: str, result: _Result) -> None:
    """Keep the latest result of a group; evicts the oldest group."""
    member.results_by_group.pop(group, None)
    member.results_by_group[group] = result
    if len(member.results_by_group) > _MAX_GROUPS_PER_MEMBER:
        oldest = next(iter(member.results_by_group))
        member.results_by_group.pop(oldest)
