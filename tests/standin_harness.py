"""Connects the library's clients to stand-ins, in memory or over HTTP."""

import random
import time

from apricotlead.transport.http_pool import (
    Answered,
    HttpPool,
    NeverSent,
    NoAnswer,
)
from apricotlead_standins.faults import FaultInjector, Faults
from apricotlead_standins.http_messages import NoResponse, Parked, Request
from apricotlead_standins.server import StandInServer

_MAX_RESUMES = 10_000


class InMemoryPool:
    """Replaces ``HttpPool`` and calls the stand-ins directly.

    ``now`` is a simulated time in seconds. A call that waits for its response
    advances it to the time of the response.
    """

    def __init__(self, datacentre=''):
        """Create a pool without stand-ins."""
        self.datacentre = datacentre
        self.now = 1000.0
        self.injectors_by_address = {}

    def add(self, address, standin):
        """Make a stand-in reachable at an address; return its injector."""
        injector = FaultInjector(standin, random.Random(1))
        self.injectors_by_address[address] = injector
        return injector

    def call(self, request):
        """Deliver a request, and advance the clock to its response."""
        injector = self.injectors_by_address.get(request.address)
        if injector is None:
            return NeverSent('connection refused')
        deadline_s = self.now + request.timeout_s
        headers = {name.lower(): text for name, text in request.headers.items()}
        headers['x-apricotlead-datacentre'] = self.datacentre
        answer = injector.handle(
            Request(request.method, request.path, request.body, headers),
            self.now,
        )
        for _ in range(_MAX_RESUMES):
            if not isinstance(answer, Parked):
                return _result(answer)
            if answer.due_s > deadline_s:
                self.now = deadline_s
                return NoAnswer('timeout')
            self.now = max(self.now, answer.due_s)
            answer = answer.resume(self.now)
        raise AssertionError('the response is never due')


class InMemory:
    """One stand-in, called without sockets on a simulated clock."""

    address = 'standin'

    def __init__(self, make_standin):
        """Create the stand-in at the current simulated time."""
        self.pool = InMemoryPool('marka')
        self.standin = make_standin(self.now())
        self.injector = self.pool.add(self.address, self.standin)

    def now(self):
        """Return the time in seconds."""
        return self.pool.now

    def pass_time(self, seconds):
        """Advance the clock."""
        self.pool.now += seconds

    def set_faults(self, **switches):
        """Replace the fault switches."""
        self.injector.set_faults(Faults(**switches), self.now())

    def close(self):
        """Do nothing, as no socket is open."""


class OverHttp:
    """One stand-in on a loopback port; ``pass_time`` skips time."""

    def __init__(self, make_standin):
        """Create the stand-in and serve it on a free port."""
        self.skipped_s = 0.0
        self.standin = make_standin(self.now())
        self.server = StandInServer(self.standin, clock=self.now)
        self.address = self.server.address
        self.injector = self.server.injector
        self.pool = HttpPool('marka')

    def now(self):
        """Return the time in seconds."""
        return time.monotonic() + self.skipped_s

    def pass_time(self, seconds):
        """Advance the clock."""
        self.skipped_s += seconds

    def set_faults(self, **switches):
        """Replace the fault switches."""
        self.injector.set_faults(Faults(**switches), self.now())

    def close(self):
        """Close the client pool and the server."""
        self.pool.close()
        self.server.close()


def _result(answer):
    if isinstance(answer, NoResponse):
        return NoAnswer('closed')
    headers = {name.lower(): text for name, text in answer.headers.items()}
    return Answered(answer.status, answer.body, headers)
