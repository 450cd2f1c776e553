"""Network addresses of the form ``IP:port``."""

from ipaddress import AddressValueError, IPv4Address

from apricotlead.protocol.errors import ApricotleadError

_MAX_PORT = 65535
# Longer texts are cut in error messages.
_SHOWN_LENGTH = 40


class InvalidAddress(ApricotleadError):
    """An address that nothing can listen on or connect to."""

    kind = 'address'
    remedy = f'Use IP:port with a port of at most {_MAX_PORT}.'


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``; raise :class:`InvalidAddress`.

    Host names are refused, since resolving one would block the event loop.
    """
    host, _, port = address.rpartition(':')
    shown = repr(address[:_SHOWN_LENGTH])
    try:
        IPv4Address(host)
    except AddressValueError as error:
        raise InvalidAddress(f'{shown} has no IP address.') from error
    is_number = port.isascii() and port.isdecimal()
    if not is_number or len(port) > len(str(_MAX_PORT)):
        raise InvalidAddress(f'{shown} has no port.')
    if int(port) > _MAX_PORT:
        raise InvalidAddress(f'{shown} has a port out of range.')
    return host, int(port)


def is_callable_address(address: str) -> bool:
    """Tell whether a connection to an address may succeed."""
    try:
        return split_address(address)[1] > 0
    except InvalidAddress:
        return False
