"""Choice of the instances through which calls to the store are relayed."""

from typing import Any

from apricotlead.protocol.table import StoreFailed
from apricotlead.transport.boot_clock import boot_now

# Longer than the checks and calls that would ask a silent instance again.
_AVOID_S = 2.0
# A peer in another data centre answers within this time. A missing answer to a
# call with a shorter time limit says nothing about the peer.
_MIN_JUDGED_S = 0.25


class PeerChoice:
    """Orders other instances; those that failed recently come last."""

    __slots__ = ('_failed_s_by_address',)

    def __init__(self) -> None:
        """Start without failures."""
        self._failed_s_by_address: dict[str, float] = {}

    def note(self, address: str, answer: Any) -> None:
        """Record the answer to a call through an instance.

        After any failure the next call goes through another one.
        """
        self._failed_s_by_address.pop(address, None)
        if not has_served(answer):
            self._failed_s_by_address[address] = boot_now()

    def order(self, addresses: list[str]) -> list[str]:
        """Return instances in the order in which to ask them.

        ``addresses`` has the preferred ones first. They differ from instance to
        instance, so calls need not be spread here.
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
        failed = [
            address
            for address in self._failed_s_by_address
            if address in addresses
        ]
        return [*sound, *failed]


def has_served(answer: Any) -> bool:
    """Return whether a peer has made a call to the store."""
    return answer is not None and not isinstance(answer, StoreFailed)


def is_peer_failure(answer: Any, timeout_s: float) -> bool:
    """Return whether a call shows that a peer cannot reach the store.

    A store with more calls than it takes refuses those of all instances.
    """
    if has_served(answer):
        return False
    if isinstance(answer, StoreFailed):
        if answer.is_busy:
            return False
        if answer.applied is False:
            return True
    return timeout_s >= _MIN_JUDGED_S
