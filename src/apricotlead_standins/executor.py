"""A simulated executor, which serves requests of one service."""

from collections import deque
from typing import Any

from msgspec import Struct

from apricotlead_standins.faults import Faults, unknown_route
from apricotlead_standins.http_messages import (
    BOOT_HEADER,
    CLOCK_HEADER,
    DEADLINE_HEADER,
    INTERNAL,
    LEAVING_HEADER,
    LENGTH_HEADER,
    NOT_AFTER_HEADER,
    OUTCOME_HEADER,
    OUTSTANDING_HEADER,
    REQUEST_HEADER,
    TIMED_OUT,
    UNAVAILABLE,
    BadRequest,
    NoResponse,
    Parked,
    Request,
    Response,
    Result,
    error_response,
    json_response,
    retry_headers,
)

_NOT_RUN = {OUTCOME_HEADER: 'not-run'}
_MAY_HAVE_RUN = {OUTCOME_HEADER: 'may-have-run'}
_MS_PER_S = 1000
_MAX_COUNTED_IDS = 100_000
# Added to due times so that float rounding never resumes a run too early.
_ROUNDING_S = 1e-6


class ExecutorSettings(Struct, frozen=True):
    """Slots, queue size and service time (in seconds) of an executor.

    ``boot_id`` identifies one boot; clock values are not comparable between
    boots.
    """

    executor_id: str
    service: str = ''
    slots: int = 8
    queue_size: int = 4
    service_time_s: float = 0.01
    boot_id: str = 'boot-1'


class _Run(Struct, eq=False):
    request: Request
    deadline_s: float
    end_s: float | None = None


class Executor:
    """Slots and a bounded queue; callers pass in the current time.

    The response body is the service's name, a colon and the request's body.
    ``run_counts_by_request`` counts how often each request id started to run,
    for the latest 100,000 ids.
    """

    __slots__ = (
        '_now',
        '_queued',
        '_running',
        '_settings',
        'leaving_since_s',
        'outage_response',
        'peak_outstanding',
        'run_counts_by_request',
    )

    def __init__(self, settings: ExecutorSettings) -> None:
        """Create an idle executor."""
        self.outage_response = NoResponse()
        self.run_counts_by_request: dict[str, int] = {}
        self.peak_outstanding = 0
        self.leaving_since_s: float | None = None
        self._settings = settings
        self._now = 0.0
        self._running: list[_Run] = []
        self._queued: deque[_Run] = deque()

    @property
    def outstanding(self) -> int:
        """Return the number of running and queued requests."""
        return len(self._running) + len(self._queued)

    def handle(self, request: Request, faults: Faults, now: float) -> Result:
        """Handle a request; ``now`` is in monotonic seconds."""
        self._advance(now)
        if (request.method, request.path) == ('GET', '/v1/clock'):
            return Response(headers=self._headers(request))
        if (request.method, request.path) != ('POST', '/v1/run'):
            return unknown_route(request)
        refusal = self._check_admission(request, now)
        if refusal is not None:
            return refusal
        deadline_s = min(_deadline_s(request, now), _not_after_s(request))
        run = _Run(request, deadline_s)
        self._queued.append(run)
        self._fill_slots(now)
        self.peak_outstanding = max(self.peak_outstanding, self.outstanding)
        if faults.fails_everything:
            return self._fail(run)
        return self._current_result(run, now)

    def handle_admin(self, request: Request, now: float) -> Response:
        """Return the run counts, or start leaving."""
        self._advance(now)
        if request.path == '/admin/state':
            return json_response(self.dump())
        if request.path == '/admin/leave':
            self.leaving_since_s = now
            return json_response({})
        return unknown_route(request)

    def is_leaving(self) -> bool:
        """Return whether the executor is leaving and refuses requests."""
        return self.leaving_since_s is not None

    def dump(self) -> dict[str, Any]:
        """Return the run counts as JSON-compatible builtins."""
        repeated = {
            request_id: count
            for request_id, count in self.run_counts_by_request.items()
            if count > 1
        }
        return {
            'outstanding': self.outstanding,
            'peak_outstanding': self.peak_outstanding,
            'run': sum(self.run_counts_by_request.values()),
            'repeated': repeated,
        }

    def _check_admission(self, request: Request, now: float) -> Response | None:
        if self.leaving_since_s is not None:
            return self._refusal(request, 'draining', 0)
        if self._is_expired(request, now):
            return self._refusal(request, 'expired', 0)
        size = self._settings.slots + self._settings.queue_size
        if self.outstanding < size:
            return None
        next_free_s = min(run.end_s or now for run in self._running)
        return self._refusal(request, 'overloaded', max(0, next_free_s - now))

    def _is_expired(self, request: Request, now: float) -> bool:
        """Return whether the request has expired by this executor's clock."""
        if NOT_AFTER_HEADER not in request.headers:
            return False
        boot_id = request.headers.get(BOOT_HEADER.lower())
        if boot_id != self._settings.boot_id:
            return True
        return now >= _not_after_s(request)

    def _refusal(
        self,
        request: Request,
        kind: str,
        retry_after_s: float,
    ) -> Response:
        headers = self._headers(request)
        headers.update(_NOT_RUN)
        headers.update(retry_headers(retry_after_s))
        return error_response(UNAVAILABLE, kind, 'not run', headers)

    def _current_result(self, run: _Run, now: float) -> Result:
        if run in self._queued or run in self._running:
            due_s = min(run.deadline_s, self._next_end_s(run)) + _ROUNDING_S
            return Parked(due_s, lambda later: self._resume(run, later))
        if run.end_s is None:
            return self._refusal(run.request, 'deadline', 0)
        if run.deadline_s < run.end_s:
            return self._timeout_response(run)
        return self._success_response(run)

    def _resume(self, run: _Run, now: float) -> Result:
        self._advance(now)
        return self._current_result(run, now)

    def _next_end_s(self, run: _Run) -> float:
        if run.end_s is not None:
            return run.end_s
        return min(_stop_s(running) for running in self._running)

    def _advance(self, now: float) -> None:
        """End due runs and start queued ones, in chronological order."""
        self._now = now
        while self._running:
            first = min(self._running, key=_stop_s)
            if now < _stop_s(first):
                break
            self._running.remove(first)
            self._fill_slots(_stop_s(first))
        self._drop_expired(now)

    def _fill_slots(self, now: float) -> None:
        self._drop_expired(now)
        while self._queued and len(self._running) < self._settings.slots:
            run = self._queued.popleft()
            run.end_s = now + self._settings.service_time_s
            self._running.append(run)
            self._count_run(run.request)

    def _drop_expired(self, now: float) -> None:
        live = [run for run in self._queued if now < run.deadline_s]
        if len(live) < len(self._queued):
            self._queued = deque(live)

    def _count_run(self, request: Request) -> None:
        counts = self.run_counts_by_request
        request_id = _request_id(request)
        counts[request_id] = counts.get(request_id, 0) + 1
        if len(counts) > _MAX_COUNTED_IDS:
            counts.pop(next(iter(counts)))

    def _success_response(self, run: _Run) -> Response:
        body = b':'.join((self._settings.service.encode(), run.request.body))
        headers = self._headers(run.request)
        headers[LENGTH_HEADER] = str(len(body))
        return Response(body=body, headers=headers)

    def _timeout_response(self, run: _Run) -> Response:
        headers = self._headers(run.request)
        headers.update(_MAY_HAVE_RUN)
        return error_response(TIMED_OUT, 'deadline', 'stopped', headers)

    def _fail(self, run: _Run) -> Response:
        if run in self._running:
            self._running.remove(run)
        else:
            self._queued.remove(run)
        headers = self._headers(run.request)
        headers.update(_MAY_HAVE_RUN)
        return error_response(INTERNAL, 'internal', 'made to fail', headers)

    def _headers(self, request: Request) -> dict[str, str]:
        headers = {
            REQUEST_HEADER: _request_id(request),
            OUTSTANDING_HEADER: str(self.outstanding),
            BOOT_HEADER: self._settings.boot_id,
            CLOCK_HEADER: str(int(self._now * _MS_PER_S)),
        }
        if self.leaving_since_s is not None:
            headers[LEAVING_HEADER] = 'yes'
        return headers


def _stop_s(run: _Run) -> float:
    end_s = run.end_s
    return run.deadline_s if end_s is None else min(end_s, run.deadline_s)


def _request_id(request: Request) -> str:
    return request.headers.get(REQUEST_HEADER.lower(), '')


def _deadline_s(request: Request, now: float) -> float:
    """Return the deadline; the header gives the time left on receipt."""
    return now + _seconds(request, DEADLINE_HEADER)


def _not_after_s(request: Request) -> float:
    """Return the latest time to run, on the executor's own clock."""
    return _seconds(request, NOT_AFTER_HEADER)


def _seconds(request: Request, header: str) -> float:
    text = request.headers.get(header)
    if text is None:
        return float('inf')
    try:
        return float(text) / _MS_PER_S
    except ValueError as error:
        raise BadRequest(f'{header}: {text}') from error
