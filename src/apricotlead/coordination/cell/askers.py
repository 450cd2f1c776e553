"""The instances by way of which advice is asked.

The service handles the calls of one instance in turn, so calls are spread by
the time that each one's backlog takes.

Pattern: queues whose calls differ a hundredfold in cost, many steps waiting.
A third of the instances is kept for cheap calls, so that lookups never wait
behind a call for a large gang, and a quarter for those that are not costly.

Pattern: instances that are cut off, stopped or replaced. An answer that is
later than what its call met on its way counts as lost; the instance is left
alone, longer each time, and is then tried with one call.
"""

from apricotlead.coordination.cell.settings import AdviceTimes
from apricotlead.state.answer_time import AdaptiveTimeout

# One instance in so many is kept for cheap calls.
_KEPT_FOR_CHEAP = 3
# One in so many is kept for those that are not costly.
_KEPT_FOR_MIDDLING = 4
# Bounds how long an instance is left alone: 2 to this power.
_MOST_DOUBLINGS = 3


class Askers:
    """What is known of the instances that ask for advice."""

    __slots__ = (
        '_backlog_ends_s',
        '_delays',
        '_misses_by_asker',
        '_shunned_until_s',
        '_times',
    )

    def __init__(self, times: AdviceTimes) -> None:
        """Begin without backlogs; times are local seconds."""
        self._times = times
        self._backlog_ends_s: dict[str, float] = {}
        # Instances through which a call brought no answer, and how often in
        # a row.
        self._shunned_until_s: dict[str, float] = {}
        self._misses_by_asker: dict[str, int] = {}
        # How much later than by their backlog answers come.
        self._delays = AdaptiveTimeout(times.least_slack_s, times.most_slack_s)

    def choose(self, askers: list[str], cost_s: float, now: float) -> str:
        """Return the asker to use; costly calls leave some askers alone.

        Of those without a backlog it is the one that asked last, whose
        connections are open; else the one whose backlog ends first.
        """
        ends_s = self._backlog_ends_s
        idle = self._idle(askers, cost_s, now)
        if idle:
            return max(idle, key=lambda address: ends_s.get(address, 0))
        usable = self._usable(askers, cost_s, now)
        usable = usable or self._allowed(sorted(askers), cost_s)
        return min(usable, key=lambda address: ends_s.get(address, 0))

    def idle_count(self, askers: list[str], cost_s: float, now: float) -> int:
        """Return how many askers would begin such a call at once."""
        return len(self._idle(askers, cost_s, now))

    def backlog_s(self, asker: str, now: float) -> float:
        """Return how long the calls of an asker take that are under way."""
        return max(0, self._backlog_ends_s.get(asker, 0) - now)

    def slack_s(self) -> float:
        """Return how much later than its backlog an answer may come."""
        return self._delays.timeout_s

    def add(self, asker: str, cost_s: float, now: float) -> float:
        """Add a call; return the seconds in which its answer is due."""
        due_s = self.backlog_s(asker, now) + cost_s
        self._backlog_ends_s[asker] = now + due_s
        if self._misses_by_asker.get(asker):
            # One call tells whether it is back.
            self._shun(asker, now + due_s)
        return due_s

    def answered(self, asker: str, late_s: float) -> None:
        """Note an answer that came ``late_s`` after what its call met."""
        self._misses_by_asker.pop(asker, None)
        self._shunned_until_s.pop(asker, None)
        self._delays.answered(late_s)

    def missed(self, asker: str, now: float) -> None:
        """Note that no answer came in time."""
        known = self._misses_by_asker.get(asker, 0)
        self._misses_by_asker[asker] = min(known + 1, _MOST_DOUBLINGS)
        self._delays.missed()
        self._shun(asker, now)

    def _shun(self, asker: str, now: float) -> None:
        doublings = self._misses_by_asker[asker] - 1
        until_s = now + self._times.shun_s * 2**doublings
        self._shunned_until_s[asker] = until_s

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
        """Return the askers to use for a call, none where all are lost.

        Those kept for cheaper calls serve while all others are lost.
        """
        ordered = sorted(askers)
        allowed = self._trusted(self._allowed(ordered, cost_s), now)
        return allowed or self._trusted(ordered, now)

    def _trusted(self, askers: list[str], now: float) -> list[str]:
        """Leave out the askers through which calls were lost lately."""
        until_s = self._shunned_until_s
        return [each for each in askers if until_s.get(each, 0) <= now]

    def _allowed(self, ordered: list[str], cost_s: float) -> list[str]:
        kept = 0
        if cost_s > self._times.cheap_s:
            kept += len(ordered) // _KEPT_FOR_CHEAP
        if cost_s > self._times.costly_s:
            kept += len(ordered) // _KEPT_FOR_MIDDLING
        return ordered[kept:]
