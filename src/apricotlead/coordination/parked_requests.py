"""Capacity requests that wait for free capacity, in fair order."""

from collections.abc import Callable, Collection, Iterable, Iterator
from heapq import heapify, heappop, heappush

from msgspec import Struct, field

from apricotlead.coordination.fair_share import service_rank
from apricotlead.coordination.quarantine import job_of
from apricotlead.protocol.peers import Grant, ReserveCapacity
from apricotlead.protocol.resources import Resources

RequestKey = tuple[str, str]


class OpenRequest(Struct):
    """A request with its unanswered demands and the answers so far."""

    message: ReserveCapacity
    open_by_attempt_id: dict[str, Resources]
    received_s: float
    deadline_s: float
    grants: list[Grant] = field(default_factory=list)
    refused_ids: tuple[str, ...] = ()

    @property
    def key(self) -> RequestKey:
        """Return the home session and the id that it gave the request."""
        return (self.message.home_session, self.message.request_id)

    @property
    def job_id(self) -> str:
        """Return the job that the requested attempts belong to."""
        return job_of(self.message.demands[0].attempt_id)

    @property
    def all_or_nothing(self) -> bool:
        """Tell whether all demands must be granted at once or none."""
        return self.message.gang and not self.message.partial

    @property
    def may_use_reserve(self) -> bool:
        """Tell whether it may use the reserve for gang and urgent work."""
        return self.message.gang or self.message.priority == 'urgent'


class ParkedRequests:
    """Parked requests by rank and team, with their deadlines.

    Parking and removal cost O(log n). Iteration in fair order costs
    O(log teams) per request.
    """

    __slots__ = (
        '_deadlines',
        '_keys_by_attempt_id',
        '_queues_by_class',
        '_requests_by_key',
    )

    def __init__(self) -> None:
        """Start empty."""
        self._requests_by_key: dict[RequestKey, OpenRequest] = {}
        self._keys_by_attempt_id: dict[str, RequestKey] = {}
        self._deadlines: list[tuple[float, RequestKey]] = []
        self._queues_by_class: dict[
            tuple[int, str],
            dict[RequestKey, OpenRequest],
        ] = {}

    def __len__(self) -> int:
        """Return the number of parked requests."""
        return len(self._requests_by_key)

    def __contains__(self, key: RequestKey) -> bool:
        """Tell whether the request is parked."""
        return key in self._requests_by_key

    def park(self, request: OpenRequest) -> None:
        """Add a request at the end of its team's queue."""
        self._requests_by_key[request.key] = request
        for attempt_id in request.open_by_attempt_id:
            self._keys_by_attempt_id[attempt_id] = request.key
        queue = self._queues_by_class.setdefault(_class_of(request), {})
        queue[request.key] = request
        heappush(self._deadlines, (request.deadline_s, request.key))

    def request_of(self, attempt_id: str) -> OpenRequest | None:
        """Return the parked request that includes this attempt."""
        key = self._keys_by_attempt_id.get(attempt_id)
        return self._requests_by_key.get(key) if key else None

    def remove(self, request: OpenRequest) -> None:
        """Remove a request if it is parked."""
        if self._requests_by_key.pop(request.key, None) is None:
            return
        for attempt_id in request.open_by_attempt_id:
            self._keys_by_attempt_id.pop(attempt_id, None)
        queue_class = _class_of(request)
        queue = self._queues_by_class[queue_class]
        queue.pop(request.key)
        if not queue:
            self._queues_by_class.pop(queue_class)

    def remove_granted(
        self,
        request: OpenRequest,
        attempt_ids: Iterable[str],
    ) -> None:
        """Remove granted attempts, and the request if nothing is left open."""
        for attempt_id in attempt_ids:
            if attempt_id not in request.open_by_attempt_id:
                self._keys_by_attempt_id.pop(attempt_id, None)
        if not request.open_by_attempt_id:
            self.remove(request)

    def withdraw(self, attempt_id: str) -> None:
        """Remove one requested attempt.

        Its request is removed too if nothing is left open, or if it is
        all-or-nothing.
        """
        key = self._keys_by_attempt_id.pop(attempt_id, None)
        request = self._requests_by_key.get(key) if key else None
        if request is None:
            return
        request.open_by_attempt_id.pop(attempt_id, None)
        if not request.open_by_attempt_id or request.all_or_nothing:
            self.remove(request)

    def expired(self, now: float) -> Iterator[OpenRequest]:
        """Remove and yield the requests whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, key = heappop(self._deadlines)
            request = self._requests_by_key.get(key)
            if request is not None and request.deadline_s <= now:
                self.remove(request)
                yield request

    def remove_homes_except(self, live_ids: Collection[str]) -> None:
        """Remove the requests of homes that are not live."""
        for request in tuple(self._requests_by_key.values()):
            if request.message.home_session not in live_ids:
                self.remove(request)

    def in_fair_order(
        self,
        share_of: Callable[[str], float],
    ) -> Iterator[OpenRequest]:
        """Yield requests by rank, then by the team's current share.

        Nothing may be parked or removed during the iteration.
        """
        heap = [
            (rank, share_of(team), team, iter(queue.values()))
            for (rank, team), queue in self._queues_by_class.items()
        ]
        heapify(heap)
        while heap:
            rank, _, team, requests = heappop(heap)
            request = next(requests, None)
            if request is not None:
                yield request
                heappush(heap, (rank, share_of(team), team, requests))


def _class_of(request: OpenRequest) -> tuple[int, str]:
    message = request.message
    return service_rank(message.priority, message.gang), message.team
