"""Selects the askers: the instances through which advice calls are made.

The advice service handles the calls of one instance in turn, so calls are
spread by the duration of each instance's backlog.

Pattern: queues whose calls differ a hundredfold in cost, many steps waiting.
A third of the instances is reserved for cheap calls, so that lookups never
wait behind a call for a large gang, and a further quarter for calls that are
not costly.

Pattern: instances that are cut off, stopped or replaced. An answer that is
later than its backlog and the usual delays explain counts as lost. The
instance then gets no calls for a backoff period, which doubles with each
lost answer, and afterwards a single call as a probe.
"""

from apricotlead.coordination.cell.settings import AdviceTimes
from apricotlead.state.answer_time import AdaptiveTimeout

# One instance in this many is reserved for cheap calls.
_CHEAP_RESERVE_DIVISOR = 3
# One instance in this many is reserved for calls that are not costly.
_MODERATE_RESERVE_DIVISOR = 4
# Bounds the backoff at ``shun_s`` times 2 to the power of this less one.
_MAX_COUNTED_MISSES = 3


class AskerSelector:
    """Selects askers by their backlogs and their lost answers."""

    __slots__ = (
        '_backlog_ends_s',
        '_backoff_until_s',
        '_delays',
        '_misses_by_asker',
        '_times',
    )

    def __init__(self, times: AdviceTimes) -> None:
        """Create a selector without backlogs; times are local seconds."""
        self._times = times
        self._backlog_ends_s: dict[str, float] = {}
        # Instances whose last call brought no answer, and how many calls in a
        # row did not.
        self._backoff_until_s: dict[str, float] = {}
        self._misses_by_asker: dict[str, int] = {}
        # How much later answers arrive than their backlog explains.
        self._delays = AdaptiveTimeout(times.least_slack_s, times.most_slack_s)

    def choose(self, askers: list[str], cost_s: float, now: float) -> str:
        """Return the asker for a call; some are reserved for cheap calls.

        Of the idle askers it is the one that asked last, whose connections
        are still open, and otherwise the one whose backlog ends first.
        """
        ends_s = self._backlog_ends_s
        idle = self._idle(askers, cost_s, now)
        if idle:
            return max(idle, key=lambda address: ends_s.get(address, 0))
        usable = self._usable(askers, cost_s, now)
        usable = usable or self._allowed(sorted(askers), cost_s)
        return min(usable, key=lambda address: ends_s.get(address, 0))

    def idle_count(self, askers: list[str], cost_s: float, now: float) -> int:
        """Return how many askers could start such a call at once."""
        return len(self._idle(askers, cost_s, now))

    def backlog_s(self, asker: str, now: float) -> float:
        """Return how long the calls in flight of an asker still take."""
        return max(0, self._backlog_ends_s.get(asker, 0) - now)

    def slack_s(self) -> float:
        """Return how much later than its backlog an answer may arrive."""
        return self._delays.timeout_s

    def add(self, asker: str, cost_s: float, now: float) -> float:
        """Add a call; return the seconds until its answer is expected."""
        due_s = self.backlog_s(asker, now) + cost_s
        self._backlog_ends_s[asker] = now + due_s
        if self._misses_by_asker.get(asker):
            # A single call probes whether the asker has recovered.
            self._back_off(asker, now + due_s)
        return due_s

    def answered(self, asker: str, late_s: float) -> None:
        """Record an answer that came ``late_s`` after it was expected."""
        self._misses_by_asker.pop(asker, None)
        self._backoff_until_s.pop(asker, None)
        self._delays.answered(late_s)

    def missed(self, asker: str, now: float) -> None:
        """Record that no answer came in time."""
        known = self._misses_by_asker.get(asker, 0)
        self._misses_by_asker[asker] = min(known + 1, _MAX_COUNTED_MISSES)
        self._delays.missed()
        self._back_off(asker, now)

    def _back_off(self, asker: str, now: float) -> None:
        doublings = self._misses_by_asker[asker] - 1
        until_s = now + self._times.shun_s * 2**doublings
        self._backoff_until_s[asker] = until_s

    def _idle(
        self,
        askers: list[str],
        cost_s: float,
        now: float,
    ) -> list[str]:
        idle_s = now - self._times.answer_way_s
        ends_s = self._backlog_ends_s
        return [
            address
            for address in self._usable(askers, cost_s, now)
            if ends_s.get(address, float('-inf')) <= idle_s
        ]

    def _usable(
        self,
        askers: list[str],
        cost_s: float,
        now: float,
    ) -> list[str]:
        """Return the askers for a call, none if all are backed off.

        Those reserved for cheaper calls are used if all others are backed off.
        """
        ordered = sorted(askers)
        allowed = self._without_backoff(self._allowed(ordered, cost_s), now)
        return allowed or self._without_backoff(ordered, now)

    def _without_backoff(self, askers: list[str], now: float) -> list[str]:
        """Leave out the askers that are backed off after lost calls."""
        until_s = self._backoff_until_s
        return [each for each in askers if until_s.get(each, 0) <= now]

    def _allowed(self, ordered: list[str], cost_s: float) -> list[str]:
        reserved = 0
        if cost_s > self._times.cheap_s:
            reserved += len(ordered) // _CHEAP_RESERVE_DIVISOR
        if cost_s > self._times.costly_s:
            reserved += len(ordered) // _MODERATE_RESERVE_DIVISOR
        return ordered[reserved:]
