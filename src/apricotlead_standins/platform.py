"""Simulated platform: table service, object store and instance list."""

from collections.abc import Callable
from typing import Any

from msgspec import Struct
from msgspec.json import Decoder

from apricotlead_standins.faults import Faults, unknown_route
from apricotlead_standins.http_messages import (
    INTERNAL,
    NOT_FOUND,
    TOO_LARGE,
    TOO_MANY,
    UNAVAILABLE,
    Request,
    Response,
    decode_body,
    error_response,
    json_response,
    retry_headers,
)
from apricotlead_standins.instance_list import InstanceList, Registration
from apricotlead_standins.object_store import ObjectStore
from apricotlead_standins.rate_cap import RateCap
from apricotlead_standins.table_messages import (
    ReadQuery,
    Rows,
    ScanQuery,
    Transaction,
)
from apricotlead_standins.table_service import MAX_ROWS, TableService

MAX_TRANSACTION_BYTES = 1 << 20
_OBJECTS_PREFIX = '/v1/objects/'
_OUTAGE_RETRY_S = 1.0
# A large response costs one more read per this many rows.
_ROWS_PER_READ = 100

_TRANSACTION_DECODER = Decoder(Transaction)
_READ_DECODER = Decoder(ReadQuery)
_SCAN_DECODER = Decoder(ScanQuery)
_REGISTRATION_DECODER = Decoder(Registration)


class PlatformSettings(Struct, frozen=True):
    """Caps in operations per second, and the list's lag in seconds."""

    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    list_lag_s: float = 1.0


class Platform:
    """Routes requests to the three services and enforces the rate caps.

    A transaction, and a put or delete of an object, counts as one write. A
    read, a scan, a get or a list counts as one read per started 100 rows.
    """

    __slots__ = (
        '_instance_list',
        '_object_store',
        '_read_cap',
        '_routes',
        '_write_cap',
        'counts_by_status',
        'outage_response',
        'table',
    )

    def __init__(self, settings: PlatformSettings) -> None:
        """Create a platform without rows, objects or instances."""
        self.table = TableService()
        self.outage_response = error_response(
            UNAVAILABLE,
            'outage',
            'the platform is down',
            retry_headers(_OUTAGE_RETRY_S),
        )
        self.counts_by_status: dict[int, int] = {}
        self._object_store = ObjectStore()
        self._instance_list = InstanceList(settings.list_lag_s)
        self._write_cap = RateCap(settings.writes_per_s)
        self._read_cap = RateCap(settings.reads_per_s)
        self._routes: dict[
            tuple[str, str], Callable[[Request, float], Response]
        ] = {
            ('POST', '/v1/table/transact'): self._transact,
            ('POST', '/v1/table/read'): self._read,
            ('POST', '/v1/table/scan'): self._scan,
            ('GET', '/v1/instances'): self._list_instances,
        }

    def handle(
        self,
        request: Request,
        faults: Faults,
        now: float,
    ) -> Response:
        """Handle a request; ``now`` is in monotonic seconds."""
        if faults.fails_everything:
            return error_response(INTERNAL, 'internal', 'made to fail')
        response = self._route(request, now)
        counts = self.counts_by_status
        counts[response.status] = counts.get(response.status, 0) + 1
        return response

    def handle_admin(self, request: Request, now: float) -> Response:
        """Accept registrations, or return the response counts by status."""
        if request.path == '/admin/instances':
            registration = decode_body(request, _REGISTRATION_DECODER)
            self._instance_list.register(registration, now)
            return json_response({})
        if request.path == '/admin/state':
            return json_response({'counts_by_status': self.counts_by_status})
        return unknown_route(request)

    def _route(self, request: Request, now: float) -> Response:
        if request.path.startswith(_OBJECTS_PREFIX):
            return self._handle_object(request, now)
        route = self._routes.get((request.method, request.path))
        if route is None:
            return unknown_route(request)
        return route(request, now)

    def _transact(self, request: Request, now: float) -> Response:
        transaction = decode_body(request, _TRANSACTION_DECODER)
        row_count = len(transaction.puts) + len(transaction.deletes)
        if row_count > MAX_ROWS or len(request.body) > MAX_TRANSACTION_BYTES:
            return error_response(
                TOO_LARGE,
                'too_large',
                f'a transaction has at most {MAX_ROWS} rows and 1 MiB',
            )
        return self._write(
            now,
            lambda: json_response(self.table.transact(transaction)),
        )

    def _read(self, request: Request, now: float) -> Response:
        query = decode_body(request, _READ_DECODER)
        return self._read_rows(now, lambda: self.table.read(query.keys))

    def _scan(self, request: Request, now: float) -> Response:
        query = decode_body(request, _SCAN_DECODER)
        return self._read_rows(now, lambda: self.table.scan(query.prefix))

    def _list_instances(self, request: Request, now: float) -> Response:
        refusal = _check_cap(self._read_cap, now)
        if refusal is not None:
            return refusal
        self._read_cap.charge(1)
        return json_response({'instances': self._instance_list.instances(now)})

    def _read_rows(self, now: float, read: Callable[[], Rows]) -> Response:
        refusal = _check_cap(self._read_cap, now)
        if refusal is not None:
            return refusal
        rows = read()
        self._read_cap.charge(1 + len(rows.rows) // _ROWS_PER_READ)
        return json_response(rows)

    def _write(self, now: float, write: Callable[[], Response]) -> Response:
        refusal = _check_cap(self._write_cap, now)
        if refusal is not None:
            return refusal
        self._write_cap.charge(1)
        return write()

    def _handle_object(self, request: Request, now: float) -> Response:
        key = request.path.removeprefix(_OBJECTS_PREFIX)
        if request.method == 'GET':
            return self._get_object(key, now)
        if request.method == 'PUT':
            return self._write(
                now,
                lambda: _empty_response(
                    self._object_store.put(key, request.body)
                ),
            )
        if request.method == 'DELETE':
            return self._write(
                now, lambda: _empty_response(self._object_store.delete(key))
            )
        return unknown_route(request)

    def _get_object(self, key: str, now: float) -> Response:
        refusal = _check_cap(self._read_cap, now)
        if refusal is not None:
            return refusal
        self._read_cap.charge(1)
        body = self._object_store.get(key)
        if body is None:
            return error_response(NOT_FOUND, 'not_found', f'no object {key}')
        return Response(body=body)


def _check_cap(cap: RateCap, now: float) -> Response | None:
    wait_s = cap.wait_s(now)
    if wait_s <= 0:
        return None
    return error_response(
        TOO_MANY,
        'over_cap',
        'more operations a second than the cap',
        retry_headers(wait_s),
    )


def _empty_response(_: Any) -> Response:
    return json_response({})
