"""Client of the platform's table service, object store and instance list."""

from typing import Any
from urllib.parse import quote

from msgspec import Raw, Struct
from msgspec.json import Decoder, encode

from apricotlead.protocol.addresses import is_callable_address
from apricotlead.protocol.decoding import DECODE_ERRORS
from apricotlead.protocol.instances import Instance, InstanceList
from apricotlead.protocol.table import (
    CheckFailed,
    Committed,
    ObjectReply,
    Rows,
    StoreFailed,
    Transaction,
)
from apricotlead.protocol.value_types import MAX_MAGNITUDE
from apricotlead.transport.http_pool import (
    REFUSED_STATUSES,
    Answered,
    HttpCall,
    HttpCaller,
    HttpResult,
    NeverSent,
    retry_after_s,
)

_OK = 200
_NOT_FOUND = 404
_DEFAULT_RETRY_AFTER_S = 0.2
_EXCERPT_BYTES = 200
# Retrying a malformed request cannot succeed.
_MALFORMED_RETRY_AFTER_S = 2.0

_TRANSACT_DECODER = Decoder(Committed | CheckFailed)
_ROWS_DECODER = Decoder(Rows)
_INSTANCE_DECODER = Decoder(Instance)


class _EncodedInstances(Struct, frozen=True):
    instances: tuple[Raw, ...]


_LIST_DECODER = Decoder(_EncodedInstances)


class _ReadQuery(Struct, frozen=True):
    keys: tuple[str, ...]


class _ScanQuery(Struct, frozen=True):
    prefix: str


class PlatformClient:
    """Calls the platform at one address; each method waits for the answer.

    A failed call returns :class:`StoreFailed`: ``applied`` is ``False`` if the
    platform refused it or it was never sent, ``None`` if its answer was lost.
    """

    __slots__ = ('_address', '_pool', '_timeout_s')

    def __init__(
        self,
        pool: HttpCaller,
        address: str,
        timeout_s: float = 2.0,
    ) -> None:
        """Call the platform at ``address`` (``IP:port``)."""
        self._pool = pool
        self._address = address
        self._timeout_s = timeout_s

    def transact(
        self,
        transaction: Transaction,
    ) -> Committed | CheckFailed | StoreFailed:
        """Send a transaction once; the caller resolves a lost answer."""
        answer = self._post('/v1/table/transact', transaction)
        return _decode(answer, _TRANSACT_DECODER)

    def read_rows(self, keys: tuple[str, ...]) -> Rows | StoreFailed:
        """Read one row for each key, in the order of ``keys``."""
        answer = self._post('/v1/table/read', _ReadQuery(keys))
        return _decode(answer, _ROWS_DECODER)

    def scan_rows(self, prefix: str) -> Rows | StoreFailed:
        """Read the rows whose key begins with ``prefix``, in key order."""
        answer = self._post('/v1/table/scan', _ScanQuery(prefix))
        return _decode(answer, _ROWS_DECODER)

    def put_object(self, key: str, content: bytes) -> ObjectReply:
        """Create or replace an object (idempotent)."""
        answer = self._send('PUT', _object_path(key), content)
        return ObjectReply(_is_status(answer, _OK))

    def get_object(self, key: str) -> ObjectReply:
        """Read an object."""
        answer = self._send('GET', _object_path(key))
        if isinstance(answer, Answered) and answer.status == _OK:
            return ObjectReply(succeeded=True, content=answer.body)
        return ObjectReply(_is_status(answer, _NOT_FOUND))

    def delete_object(self, key: str) -> ObjectReply:
        """Delete an object (idempotent)."""
        answer = self._send('DELETE', _object_path(key))
        return ObjectReply(_is_status(answer, _OK))

    def list_instances(self) -> InstanceList | StoreFailed:
        """Read the list of live and leaving instances, which may lag."""
        decoded = _decode(self._send('GET', '/v1/instances'), _LIST_DECODER)
        if isinstance(decoded, StoreFailed):
            return decoded
        entries = map(_decode_instance, decoded.instances)
        usable = tuple(entry for entry in entries if entry is not None)
        return InstanceList(usable, len(decoded.instances) - len(usable))

    def _post(self, path: str, message: Struct) -> HttpResult:
        return self._send('POST', path, encode(message))

    def _send(self, method: str, path: str, body: bytes = b'') -> HttpResult:
        return self._pool.call(
            HttpCall(
                method,
                self._address,
                path,
                body,
                timeout_s=self._timeout_s,
            ),
        )


def _decode(answer: HttpResult, decoder: Any) -> Any:
    if not _is_status(answer, _OK):
        return _failure(answer)
    try:
        return decoder.decode(answer.body)
    except DECODE_ERRORS as error:
        return StoreFailed(applied=None, reason=f'malformed: {error}')


def _decode_instance(encoded: Raw) -> Instance | None:
    """Return an entry of the list, ``None`` if it cannot be used.

    One malformed entry must not make the others unusable.
    """
    try:
        instance = _INSTANCE_DECODER.decode(encoded)
    except DECODE_ERRORS:
        return None
    has_amounts = (
        instance.capacity.is_in_range() and 0 <= instance.slots <= MAX_MAGNITUDE
    )
    is_usable = has_amounts and is_callable_address(instance.address)
    return instance if is_usable else None


def _failure(answer: HttpResult) -> StoreFailed:
    if isinstance(answer, NeverSent):
        return StoreFailed(applied=False, reason=answer.reason)
    if not isinstance(answer, Answered):
        return StoreFailed(applied=None, reason=answer.reason)
    excerpt = answer.body[:_EXCERPT_BYTES].decode(errors='replace')
    reason = f'status {answer.status}: {excerpt}'
    if answer.status in REFUSED_STATUSES:
        delay_s = retry_after_s(answer, _DEFAULT_RETRY_AFTER_S)
        return StoreFailed(False, delay_s, reason)
    if 400 <= answer.status < 500:
        return StoreFailed(False, _MALFORMED_RETRY_AFTER_S, reason)
    return StoreFailed(applied=None, reason=reason)


def _is_status(answer: HttpResult, status: int) -> bool:
    return isinstance(answer, Answered) and answer.status == status


def _object_path(key: str) -> str:
    return f'/v1/objects/{quote(key)}'
