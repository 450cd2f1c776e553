"""Fault injection, common to all stand-ins."""

from typing import Any, Protocol

from msgspec import Struct
from msgspec.json import Decoder

from apricotlead_standins.http_messages import (
    BAD_REQUEST,
    DATACENTRE_HEADER,
    NOT_FOUND,
    BadRequest,
    NoResponse,
    Parked,
    Request,
    Response,
    Result,
    decode_body,
    error_response,
    json_response,
)

_FAULTS_PATH = '/admin/faults'
_ADMIN_PREFIX = '/admin/'
# Longer than any caller waits, so that a cut looks like packet loss.
_CUT_HOLD_S = 30.0


class Faults(Struct):
    """Fault switches; a POST to ``/admin/faults`` replaces all of them.

    ``outage``: requests have no effect and get an error or no response.
    ``delay_s``: the delay before a request is handled. ``lose_answers``: the
    number of next responses to drop after their requests took effect.
    ``lose_fraction``: the fraction of all other responses to drop.
    ``cut_datacentres``: requests from these data centres get no response and
    have no effect.
    ``fails_everything``: all work that is started fails. ``pause_s``: handles
    nothing for this long from now on; requests wait and are handled then.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_fraction: float = 0.0
    cut_datacentres: tuple[str, ...] = ()
    fails_everything: bool = False
    pause_s: float = 0.0


_FAULTS_DECODER = Decoder(Faults)


class RandomSource(Protocol):
    """The part of ``random.Random`` that fault injection uses."""

    def random(self) -> float:
        """Return a float in [0, 1)."""


class StandIn(Protocol):
    """Interface of a simulated service behind the fault injector."""

    outage_response: Response | NoResponse

    def handle(self, request: Request, faults: Faults, now: float) -> Result:
        """Handle a request."""

    def handle_admin(self, request: Request, now: float) -> Response:
        """Handle an admin request of a test or of another stand-in."""


class FaultInjector:
    """Applies the fault switches to the requests of a stand-in.

    Requests below ``/admin/`` are exempt from all faults.
    """

    __slots__ = ('_paused_until_s', '_rng', '_standin', 'faults')

    def __init__(self, standin: StandIn, rng: RandomSource) -> None:
        """Create the injector with all faults off."""
        self.faults = Faults()
        self._standin = standin
        self._rng = rng
        self._paused_until_s = float('-inf')

    def handle(self, request: Request, now: float) -> Result:
        """Handle a request; ``now`` is in monotonic seconds."""
        is_admin = request.path.startswith(_ADMIN_PREFIX)
        handle = self._handle_admin if is_admin else self._handle
        try:
            return handle(request, now)
        except BadRequest as error:
            return error_response(BAD_REQUEST, 'bad_input', str(error))

    def is_silent(self, now: float) -> bool:
        """Return whether the stand-in is paused or down."""
        return self.faults.outage or now < self._paused_until_s

    def set_faults(self, faults: Faults, now: float) -> None:
        """Replace all fault switches; a pause starts at ``now``."""
        self.faults = faults
        if faults.pause_s > 0:
            self._paused_until_s = now + faults.pause_s

    def _handle_admin(self, request: Request, now: float) -> Response:
        if request.path != _FAULTS_PATH:
            return self._standin.handle_admin(request, now)
        if request.method == 'POST':
            self.set_faults(decode_body(request, _FAULTS_DECODER), now)
        return json_response(self.faults)

    def _handle(self, request: Request, now: float) -> Result:
        if self.faults.delay_s > 0:
            return self._park(request, now + self.faults.delay_s)
        return self._pass_request(request, now)

    def _park(self, request: Request, due_s: float) -> Parked:
        def resume(now: float) -> Result:
            if now < due_s:
                return Parked(due_s, resume)
            return self._pass_request(request, now)

        return Parked(due_s, resume)

    def _pass_request(self, request: Request, now: float) -> Result:
        if now < self._paused_until_s:
            return self._park(request, self._paused_until_s)
        if self._is_cut(request):
            return _withhold_response(now + _CUT_HOLD_S)
        if self.faults.outage:
            return self._standin.outage_response
        handled = self._standin.handle(request, self.faults, now)
        return self._pass_result(request, handled, now)

    def _pass_result(
        self, request: Request, handled: Result, now: float
    ) -> Result:
        if isinstance(handled, Parked):
            return self._wrap_parked(request, handled)
        if now < self._paused_until_s:
            return self._wrap_parked(
                request, Parked(self._paused_until_s, lambda _: handled)
            )
        if self._is_cut(request):
            return _withhold_response(now + _CUT_HOLD_S)
        if self._loses_answer():
            return NoResponse()
        return handled

    def _wrap_parked(self, request: Request, parked: Parked) -> Parked:
        def resume(now: float) -> Result:
            if now < self._paused_until_s:
                return Parked(self._paused_until_s, resume)
            return self._pass_result(request, parked.resume(now), now)

        return Parked(parked.due_s, resume)

    def _is_cut(self, request: Request) -> bool:
        caller = request.headers.get(DATACENTRE_HEADER, '')
        return caller in self.faults.cut_datacentres

    def _loses_answer(self) -> bool:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        fraction = self.faults.lose_fraction
        return fraction > 0 and self._rng.random() < fraction


def _withhold_response(due_s: float) -> Parked:
    def resume(now: float) -> Result:
        if now < due_s:
            return Parked(due_s, resume)
        return NoResponse()

    return Parked(due_s, resume)


def unknown_route(request: Request) -> Response:
    """Return the 404 response for a path that the stand-in lacks."""
    route: Any = f'{request.method} {request.path}'
    return error_response(NOT_FOUND, 'not_found', f'no route {route}')
