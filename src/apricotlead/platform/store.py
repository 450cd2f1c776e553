"""Client of the platform's table service.

A key is ``table/part/name``. The platform sends the three as separate fields,
and values as base64-encoded JSON.
"""

from base64 import b64decode, b64encode
from collections.abc import Iterable
from typing import Any
from urllib.parse import urlencode

import msgspec
from msgspec import Struct

from apricotlead.protocol.decoding import DECODE_ERRORS, VALUE_DECODE_ERRORS
from apricotlead.protocol.table import (
    Changes,
    CheckFailed,
    Committed,
    Row,
    Rows,
    StoreFailed,
    Transaction,
)
from apricotlead.transport.http_pool import (
    REFUSED_STATUSES,
    Answered,
    HttpCall,
    HttpCaller,
    HttpResult,
    NeverSent,
)

_MS_PER_S = 1000
_CALL_TIMEOUT_S = 1.0
_LONG_POLL_MARGIN_S = 0.8
# A healthy store answers in 20 ms, also to another zone in 0.1 s.
_OVERDUE_S = 0.2
_PAGE_ROWS = 500
_RETRY_S = 0.1
# A malformed call, a table that is not the system's, and a call that is too
# large: the same call gets the same answer again.
_PERMANENT_STATUSES = frozenset((400, 403, 413))


class _RowName(Struct):
    table: str = msgspec.field(name='Table')
    # The only field that the platform names in lower case.
    part: str
    key: str = msgspec.field(name='Key')


class _ExpectedVersion(_RowName):
    version: int = msgspec.field(name='Ver')


class _WrittenRow(_RowName):
    value: str = msgspec.field(name='Value')


class _FoundRow(_RowName):
    value: str = msgspec.field(name='Value', default='')
    version: int = msgspec.field(name='Ver', default=0)
    is_deleted: bool = msgspec.field(name='Deleted', default=False)


class _TransactionBody(Struct):
    expected: list[_ExpectedVersion] = msgspec.field(name='Expect')
    written: list[_WrittenRow] = msgspec.field(name='Writes')
    deleted: list[_RowName] = msgspec.field(name='Deletes')


class _Answer(Struct):
    rows: list[_FoundRow] = []
    has_more: bool = msgspec.field(name='HasMore', default=False)
    version: int = msgspec.field(name='Ver', default=0)
    store_ms: float = msgspec.field(name='NowMs', default=0)


_answer_decoder = msgspec.json.Decoder(_Answer)
_encoder = msgspec.json.Encoder()


class PlatformStore:
    """Calls the table service; each method waits for the answer.

    A failed call returns :class:`StoreFailed`. Its ``applied`` is ``False``
    only if the call certainly had no effect.
    """

    __slots__ = ('_address', '_pool')

    def __init__(self, pool: HttpCaller, address: str) -> None:
        """Call the service at ``address`` (``IP:port``)."""
        self._pool = pool
        self._address = address

    def transact(
        self,
        transaction: Transaction,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> Committed | CheckFailed | StoreFailed:
        """Send a transaction once; the caller handles a lost answer."""
        body = _TransactionBody(
            [
                _ExpectedVersion(*_split_key(check.key), check.version)
                for check in transaction.checks
            ],
            [
                _WrittenRow(*_split_key(put.key), _encode_value(put.value))
                for put in transaction.puts
            ],
            [_RowName(*_split_key(key)) for key in transaction.deletes],
        )
        answer = self._pool.call(
            HttpCall(
                'POST',
                self._address,
                '/api/rows-tx',
                _encoder.encode(body),
                timeout_s=timeout_s,
                overdue_s=_OVERDUE_S,
            ),
        )
        decoded = _decode_answer(answer, (200, 412))
        if isinstance(decoded, StoreFailed):
            return decoded
        if _http_status(answer) == 200:
            versions = {put.key: decoded.version for put in transaction.puts}
            return Committed(versions, decoded.store_ms)
        return CheckFailed(tuple(_decode_rows(decoded.rows)))

    def read_row(
        self,
        key: str,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> Rows | StoreFailed:
        """Read one row; the result is empty if it does not exist."""
        end = _next_key(_split_key(key)[2])
        return self._read_range(key, end, 1, timeout_s)

    def scan_rows(self, prefix: str) -> Rows | StoreFailed:
        """Read all rows with the prefix ``table/part/``, in key order.

        ``version`` is that of the first page; the feed has all later changes.
        """
        first = self._read_range(prefix, None, _PAGE_ROWS)
        if isinstance(first, StoreFailed):
            return first
        rows = list(first.rows)
        page = first
        while len(page.rows) == _PAGE_ROWS or page.has_more:
            page = self._read_range(
                _next_key(rows[-1].key),
                None,
                _PAGE_ROWS,
            )
            if isinstance(page, StoreFailed):
                return page
            rows.extend(page.rows)
        return Rows(tuple(rows), first.version, first.store_ms)

    def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> Changes | StoreFailed:
        """Wait up to ``wait_s`` for rows that changed after a version."""
        query = {
            'Table': table,
            'After': after,
            'WaitMs': int(wait_s * _MS_PER_S),
        }
        answer = self._get(
            '/api/rows-feed',
            query,
            wait_s + _LONG_POLL_MARGIN_S,
            wait_s,
            limits_silence=True,
        )
        if _http_status(answer) == 410:
            return Changes(history_lost=True)
        decoded = _decode_answer(answer, (200,))
        if isinstance(decoded, StoreFailed):
            return decoded
        rows = tuple(_decode_rows(decoded.rows))
        version = decoded.version
        if decoded.has_more or len(rows) >= _PAGE_ROWS:
            # The other changes follow the last one of this answer.
            version = decoded.rows[-1].version if rows else after
        return Changes(rows, version, decoded.store_ms)

    def received_s(self) -> float:
        """Return when rows of a table or of a feed came last."""
        return self._pool.received_s(self._address)

    def _read_range(
        self,
        key: str,
        end: str | None,
        limit: int,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> Any:
        table, part, start = _split_key(key)
        query = {'Table': table, 'part': part, 'Limit': limit}
        if start:
            query['From'] = start
        if end is not None:
            query['To'] = end
        answer = self._get(
            '/api/rows-get', query, timeout_s, limits_silence=limit > 1
        )
        decoded = _decode_answer(answer, (200,))
        if isinstance(decoded, StoreFailed):
            return decoded
        return Rows(
            tuple(_decode_rows(decoded.rows)),
            decoded.version,
            decoded.store_ms,
            decoded.has_more,
        )

    def _get(
        self,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
        wait_s: float = 0,
        *,
        limits_silence: bool = False,
    ) -> HttpResult:
        """Read; the store may wait for changes for up to ``wait_s``."""
        return self._pool.call(
            HttpCall(
                'GET',
                self._address,
                f'{path}?{urlencode(query)}',
                timeout_s=timeout_s,
                overdue_s=wait_s + _OVERDUE_S,
                limits_silence=limits_silence,
            ),
        )


def _split_key(key: str) -> tuple[str, str, str]:
    table, part, name = key.split('/', 2)
    return table, part, name


def _next_key(key: str) -> str:
    """Return the smallest key that is greater, in byte order."""
    return f'{key}\x00'


def _encode_value(builtins: Any) -> str:
    return b64encode(_encoder.encode(builtins)).decode()


def _decode_rows(found: Iterable[_FoundRow]) -> Iterable[Row]:
    for row in found:
        key = f'{row.table}/{row.part}/{row.key}'
        if row.is_deleted:
            yield Row(key)
        else:
            yield Row(key, row.version, _decode_value(row.value))


def _decode_value(text: str) -> Any:
    """Decode a row's value; return ``None`` if it is not base64 of JSON.

    Other programs also write to the store, so a malformed value must not make
    the other rows of an answer unusable.
    """
    try:
        return msgspec.json.decode(b64decode(text))
    except VALUE_DECODE_ERRORS:
        return None


def _http_status(answer: HttpResult) -> int:
    return answer.status if isinstance(answer, Answered) else 0


def _decode_answer(
    answer: HttpResult, expected_statuses: tuple[int, ...]
) -> Any:
    if isinstance(answer, NeverSent):
        return StoreFailed(False, _RETRY_S, answer.reason)
    if not isinstance(answer, Answered):
        return StoreFailed(None, _RETRY_S, answer.reason)
    if answer.status in expected_statuses:
        try:
            return _answer_decoder.decode(answer.body)
        except DECODE_ERRORS as error:
            return StoreFailed(None, _RETRY_S, f'malformed: {error}')
    applied = False if answer.status in REFUSED_STATUSES else None
    if 400 <= answer.status < 500:
        applied = False
    # Sent for calls beyond the rates that all instances share, and for more
    # than a part's transactions of a second.
    is_busy = answer.status == 429
    return StoreFailed(
        applied,
        _RETRY_S,
        f'status {answer.status}',
        is_busy,
        answer.status in _PERMANENT_STATUSES,
    )
