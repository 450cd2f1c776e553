"""Choice of the instances through which calls to the store are relayed."""

import random

from apricotlead.transport.boot_clock import boot_now

# All instances know the same preferred one, so each chooses among several.
_SPREAD = 4
# Longer than a caller waits for one answer through a silent instance.
_AVOID_S = 2.0


class PeerChoice:
    """Orders other instances; those that failed recently come last."""

    __slots__ = ('_failed_s_by_address',)

    def __init__(self) -> None:
        """Start without failures."""
        self._failed_s_by_address: dict[str, float] = {}

    def note(self, address: str, *, is_failure: bool) -> None:
        """Record the outcome of a call through an instance."""
        if is_failure:
            self._failed_s_by_address[address] = boot_now()
        else:
            self._failed_s_by_address.pop(address, None)

    def order(self, addresses: list[str]) -> list[str]:
        """Return instances in the order in which to ask them.

        ``addresses`` has the preferred ones first, which are shuffled.
        """
        since_s = boot_now() - _AVOID_S
        self._failed_s_by_address = {
            address: failed_s
            for address, failed_s in self._failed_s_by_address.items()
            if failed_s > since_s
        }
        sound = [
            address
            for address in addresses
            if address not in self._failed_s_by_address
        ]
        preferred = sound[:_SPREAD]
        random.shuffle(preferred)
        failed = [
            address
            for address in self._failed_s_by_address
            if address in addresses
        ]
        return [*preferred, *sound[_SPREAD:], *failed]
