"""HTTP/1.1 requests as bytes, and responses from bytes, without I/O.

The parser is ``httptools``: urllib3 takes 0.58 ms of an ordinary core for a
call, most of it for headers, which is more than a scheduler on a small
instance can spend on each order.
"""

from httptools import HttpResponseParser

_LINE_BREAKS = frozenset('\r\n\0')


class InvalidHeader(ValueError):
    """A header that would end early or begin another one."""


def encode_request(
    method: str,
    host: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> bytes:
    """Return a whole request; raise :class:`InvalidHeader`."""
    target = path or '/'
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    if body or method not in {'GET', 'DELETE'}:
        lines.append(f'Content-Length: {len(body)}')
    for line in lines:
        if not _LINE_BREAKS.isdisjoint(line) or not line.isascii():
            raise InvalidHeader(f'The line {line!r} cannot be sent.')
    head = '\r\n'.join((*lines, '', ''))
    return head.encode('ascii') + body


class ResponseReader:
    """Collects one response.

    ``headers_by_name`` has lower-case names. A connection is reusable after
    a whole response that allows it, with nothing behind it.
    """

    __slots__ = (
        '_has_head',
        '_parser',
        '_parts',
        'headers_by_name',
        'is_complete',
        'is_reusable',
        'status',
    )

    def __init__(self) -> None:
        """Begin before the first byte."""
        self._parser = HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._has_head = False
        self.headers_by_name: dict[str, str] = {}
        self.status = 0
        self.is_complete = False
        self.is_reusable = False

    @property
    def body(self) -> bytes:
        """Return the body so far."""
        return b''.join(self._parts)

    def feed(self, received: bytes) -> None:
        """Take bytes; no bytes stand for the end of the connection.

        Raises ``HttpParserError``, or ``EOFError`` for a response that is cut
        off.
        """
        if received:
            self._parser.feed_data(received)
        elif self._has_head and self._ends_with_connection():
            self.is_complete = True
        else:
            raise EOFError('the connection ended before the response')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header from the parser."""
        if not self.is_complete:
            key = name.decode('latin-1').lower()
            self.headers_by_name[key] = text.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Take the status from the parser."""
        if not self.is_complete:
            self.status = self._parser.get_status_code()
            self._has_head = True

    def on_body(self, part: bytes) -> None:
        """Take a part of the body from the parser."""
        if not self.is_complete:
            self._parts.append(part)

    def on_message_begin(self) -> None:
        """Note a response behind the one that was asked for."""
        if self.is_complete:
            self.is_reusable = False

    def on_message_complete(self) -> None:
        """Take the end of the response from the parser."""
        if not self.is_complete:
            self.is_complete = True
            self.is_reusable = self._parser.should_keep_alive()

    def _ends_with_connection(self) -> bool:
        names = self.headers_by_name
        return 'content-length' not in names and (
            'transfer-encoding' not in names
        )
