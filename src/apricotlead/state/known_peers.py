"""The instances through which this one can reach the store."""

from collections.abc import Iterable

# How long instances are remembered after they were named or one of them served
# a call, in seconds: longer than the longest silence before a scheduler is replaced
# (6.4 s) and than the keys of a configuration are accepted without the store.
_MEMORY_S = 10.0
# The age at which the peers are asked for again, in seconds. The scheduler
# itself notices that an instance is out of contact after 2.5 s.
_REFRESH_S = 2.0
# How long a peer that did not serve a call is asked last, in seconds. One that
# is without the store tries it again more often.
_FAILURE_S = 0.5


class KnownPeers:
    """The scheduler and its other followers, as this instance knows them.

    They are remembered when the scheduler is lost, since an instance that
    cannot reach the store itself cannot find out who the next one is. Times
    are in seconds of the local clock.
    """

    __slots__ = (
        '_failed_s_by_address',
        '_is_followed',
        '_named_s',
        '_others',
        '_others_s',
        '_own_address',
        '_scheduler',
        '_scheduler_s',
    )

    def __init__(self, own_address: str) -> None:
        """Start without peers; ``own_address`` is never one."""
        self._own_address = own_address
        self._scheduler = ''
        self._scheduler_s = float('-inf')
        self._is_followed = False
        self._others: tuple[str, ...] = ()
        # When they were named last, and when one of them last served a call.
        self._named_s = float('-inf')
        self._others_s = float('-inf')
        self._failed_s_by_address: dict[str, float] = {}

    def follow(self, scheduler: str, now: float) -> None:
        """Record that the scheduler at an address has answered."""
        self.remember(scheduler, now)
        self._is_followed = True

    def remember(self, scheduler: str, now: float) -> None:
        """Record who the scheduler is or was, though it has not answered."""
        self._scheduler = scheduler
        self._scheduler_s = now
        self._is_followed = False

    def lose_scheduler(self) -> None:
        """Record that the scheduler does not answer, or is none any more."""
        self._is_followed = False

    def learn(self, addresses: Iterable[str], now: float) -> None:
        """Record other instances in contact with a scheduler, if any."""
        others = tuple(
            address for address in addresses if address != self._own_address
        )
        if others:
            self._others = others
            self._named_s = now
            self._others_s = now

    def should_ask(self, now: float) -> bool:
        """Return whether to ask the scheduler for other instances."""
        return now - self._named_s >= _REFRESH_S

    def record_call(self, address: str, now: float, *, is_served: bool) -> None:
        """Record whether a peer has served a call."""
        if is_served:
            self._failed_s_by_address.pop(address, None)
            if address in self._others:
                self._others_s = now
            if address == self._scheduler:
                self._scheduler_s = now
            return
        self._failed_s_by_address = {
            peer: failed_s
            for peer, failed_s in self._failed_s_by_address.items()
            if now - failed_s < _FAILURE_S
        }
        self._failed_s_by_address[address] = now

    def addresses(self, now: float) -> list[str]:
        """Return the peers, the preferred one first.

        Another follower comes before the scheduler, which has the most to do
        and would otherwise be asked by all instances at once. The scheduler
        comes second, since it is replaced unless it reaches the store; once
        lost, it comes last. While there is no scheduler, peers that have just
        failed are left out: perhaps nobody reaches the store, and callers are
        then refused at once.
        """
        others = self._others if now - self._others_s < _MEMORY_S else ()
        scheduler = (
            (self._scheduler,) if now - self._scheduler_s < _MEMORY_S else ()
        )
        if self._is_followed:
            return self.prefer((*others[:1], *scheduler, *others[1:]), now)
        return [
            address
            for address in self.prefer((*others, *scheduler), now)
            if not self._has_failed(address, now)
        ]

    def prefer(self, addresses: Iterable[str], now: float) -> list[str]:
        """Return addresses once each, those that have just failed last."""
        distinct = dict.fromkeys(addresses)
        distinct.pop('', None)
        distinct.pop(self._own_address, None)
        return sorted(
            distinct,
            key=lambda address: self._has_failed(address, now),
        )

    def _has_failed(self, address: str, now: float) -> bool:
        failed_s = self._failed_s_by_address.get(address, float('-inf'))
        return now - failed_s < _FAILURE_S
