"""Issues tokens for a component's store calls and tracks their purposes."""

from typing import Any

from apricotlead.protocol.randomness import RandomSource
from apricotlead.protocol.signals import ReadRows, ScanRows, Token, Transact
from apricotlead.protocol.table import Check, Put, Transaction

_ID_BITS = 64


class StoreCalls:
    """Makes calls with unique tokens, and maps replies to their purposes.

    ``purpose`` is any struct of the component. ``take`` returns it only once,
    so that a duplicate reply, or one of an abandoned call, is ignored.
    """

    __slots__ = ('_component', '_next_number', '_prefix', '_purposes_by_token')

    def __init__(self, component: str, rng: RandomSource) -> None:
        """Start without calls; ``rng`` makes operation ids unique."""
        self._component = component
        self._prefix = random_id(rng)
        self._next_number = 0
        self._purposes_by_token: dict[Token, Any] = {}

    def token(self, purpose: Any) -> Token:
        """Return a new token for a call that is not made here."""
        self._next_number += 1
        token = Token(
            self._component,
            type(purpose).__name__,
            self._next_number,
        )
        self._purposes_by_token[token] = purpose
        return token

    def transact(
        self,
        purpose: Any,
        checks: tuple[Check, ...],
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Transact:
        """Return a transaction; the key of the first check is its witness."""
        token = self.token(purpose)
        op_id = f'{self._prefix}-{self._component}-{token.number}'
        return Transact(
            token,
            Transaction(op_id, checks[0].key, checks, puts, deletes),
        )

    def scan(self, purpose: Any, prefix: str) -> ScanRows:
        """Return a scan."""
        return ScanRows(self.token(purpose), prefix)

    def read(self, purpose: Any, keys: tuple[str, ...]) -> ReadRows:
        """Return a read of some rows."""
        return ReadRows(self.token(purpose), keys)

    def take(self, token: Token) -> Any:
        """Return the purpose of an outstanding call, ``None`` without one."""
        return self._purposes_by_token.pop(token, None)

    def abandon(self, token: Token) -> None:
        """Ignore the reply to a read that has timed out."""
        self._purposes_by_token.pop(token, None)


def random_id(rng: RandomSource) -> str:
    """Return 16 random hexadecimal digits, in practice unique."""
    return format(rng.getrandbits(_ID_BITS), '016x')
