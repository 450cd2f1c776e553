"""Stand-ins called without sockets, on a clock that the test sets."""

import random

from apricotlead.transport.http_pool import Answered, NeverSent, NoAnswer
from apricotlead_standins.faults import FaultGate
from apricotlead_standins.http_messages import NoResponse, Parked, Request

_MAX_RESUMES = 10_000


class InMemoryPool:
    """Takes the place of ``HttpPool``; ``now`` is in seconds.

    While a call waits, the clock moves on to the time of its answer.
    """

    def __init__(self, datacentre=''):
        """Begin without stand-ins."""
        self.datacentre = datacentre
        self.now = 1000.0
        self.gates_by_address = {}

    def add(self, address, standin):
        """Put a stand-in behind an address; return its fault switches."""
        gate = FaultGate(standin, random.Random(1))
        self.gates_by_address[address] = gate
        return gate

    def call(self, request):
        """Deliver a request, and move the clock to its answer."""
        gate = self.gates_by_address.get(request.address)
        if gate is None:
            return NeverSent('nothing listens there')
        deadline_s = self.now + request.timeout_s
        headers = {name.lower(): text for name, text in request.headers.items()}
        headers['x-apricotlead-datacentre'] = self.datacentre
        answer = gate.handle(
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
        raise AssertionError('the answer is never due')


def _result(answer):
    if isinstance(answer, NoResponse):
        return NoAnswer('closed')
    headers = {name.lower(): text for name, text in answer.headers.items()}
    return Answered(answer.status, answer.body, headers)
