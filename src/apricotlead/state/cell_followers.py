"""Followers of the scheduler, as known from their calls."""

from msgspec import Struct

from apricotlead.protocol.cell_peers import FollowerCall

# A follower whose last call is older than this is out of contact, in seconds.
_CONTACT_TIMEOUT_S = 2.5


class _Contact(Struct, frozen=True):
    """What a follower reported about itself at ``seen_s``."""

    seen_s: float
    cores: float
    age_s: float


class FollowerTable:
    """The followers in contact; times are in seconds of the local clock."""

    __slots__ = ('_contacts_by_address',)

    def __init__(self) -> None:
        """Start without followers."""
        self._contacts_by_address: dict[str, _Contact] = {}

    def record_call(self, call: FollowerCall, now: float) -> None:
        """Record a follower's call, or that the answer to it is being sent."""
        if call.peer_address:
            self._contacts_by_address[call.peer_address] = _Contact(
                now,
                call.cores,
                call.age_s,
            )

    def drop_silent(self, now: float) -> None:
        """Remove the followers that are out of contact."""
        self._contacts_by_address = {
            address: contact
            for address, contact in self._contacts_by_address.items()
            if now - contact.seen_s < _CONTACT_TIMEOUT_S
        }

    def addresses(self) -> list[str]:
        """Return the addresses of all followers."""
        return list(self._contacts_by_address)

    def largest_cores(self) -> float:
        """Return the largest core count of any follower, 0 without followers."""
        contacts = self._contacts_by_address.values()
        return max((contact.cores for contact in contacts), default=0.0)

    def candidates(self) -> list[tuple[str, float, float]]:
        """Return the address, core count and age of each follower."""
        return [
            (address, contact.cores, contact.age_s)
            for address, contact in self._contacts_by_address.items()
        ]
