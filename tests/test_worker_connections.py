"""Connections of successive schedulers to a worker that limits them."""

import json
from collections import Counter

import eventlet
from testtools import TestCase

from apricotlead.platform.workers import PlatformWorkers
from apricotlead.protocol.cell_workers import (
    HoldOrder,
    HoldReport,
    OrderReply,
    Refusal,
    StopOrder,
    WorkerEntry,
)
from apricotlead.protocol.resources import Resources
from tests.restartable_server import RestartableServer

# A worker resets further connections, whichever instance opens them.
WORKER_LIMIT = 64
# As many schedulers lose power one after another, without a recovery between.
FORMER_SCHEDULERS = 12
ORDERS = 48
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{"ClockMs":1}'


class LimitedWorker:
    """A worker that answers each call after a moment."""

    def __init__(self) -> None:
        self.open_count = 0
        self.most_open = 0
        self.reset_count = 0
        self.is_silent = False
        listener = eventlet.listen(('127.0.0.1', 0))
        host, port = listener.getsockname()
        self.entry = WorkerEntry(
            'w1', 'transcripts', f'{host}:{port}', 'north', Resources()
        )
        self.thread = eventlet.spawn(self._accept, listener)

    def _accept(self, listener: object) -> None:
        while True:
            client, _ = listener.accept()
            eventlet.spawn(self._serve, client)

    def _serve(self, client: object) -> None:
        if self.open_count >= WORKER_LIMIT:
            self.reset_count += 1
            client.close()
            return
        self.open_count += 1
        self.most_open = max(self.most_open, self.open_count)
        while client.recv(65536):
            eventlet.sleep(0.01)
            if not self.is_silent:
                client.sendall(ANSWER)
        client.close()
        self.open_count -= 1


class TestSuccessiveSchedulers(TestCase):
    """Each former scheduler kept up to 16 idle connections to each worker.

    After a few moves of the role a worker reset all connections of the next
    scheduler, so accepted jobs never began in an empty cell (LOST).
    """

    def setUp(self) -> None:
        super().setUp()
        self.worker = LimitedWorker()
        self.addCleanup(self.worker.thread.kill)

    def schedule(self) -> PlatformWorkers:
        """Send a hold and many orders at once, as a scheduler does."""
        workers = PlatformWorkers.from_config('127.0.0.1:1')
        hold = eventlet.spawn(
            workers.hold, self.worker.entry, HoldOrder(1, 0, 0), 1
        )
        orders = [
            eventlet.spawn(
                workers.stop, self.worker.entry, StopOrder(f't{each}', 1, 1)
            )
            for each in range(ORDERS)
        ]
        replies = [each.wait() for each in orders]
        hold.wait()
        self.refusals = {each.refusal for each in replies}
        return workers

    def test_schedulers_that_lose_power(self) -> None:
        """Their connections stay open at the worker."""
        terms = [self.schedule() for _ in range(FORMER_SCHEDULERS)]
        self.assertEqual(0, self.worker.reset_count)
        self.assertEqual({None}, self.refusals)
        for workers in terms:
            workers.close_connections()

    def test_schedulers_whose_term_ends(self) -> None:
        terms = [self.schedule() for _ in range(3)]
        for workers in terms:
            workers.close_connections()
        eventlet.sleep(0.05)
        self.assertEqual(0, self.worker.open_count)

    def test_stops_that_wait_for_a_silent_worker(self) -> None:
        """Guards against piling up stops, which are repeated each 0.4 s.

        Many calls in flight would block the planning of all other work.
        """
        self.worker.is_silent = True
        workers = PlatformWorkers.from_config('127.0.0.1:1')
        stops = [
            eventlet.spawn(
                workers.stop, self.worker.entry, StopOrder(f't{each}', 1, 1)
            )
            for each in range(ORDERS)
        ]
        refusals = Counter(each.wait().refusal for each in stops)
        # The others do not wait until the first ones have timed out.
        self.assertEqual(3, refusals[Refusal.UNANSWERED])
        self.assertEqual(ORDERS - 3, refusals[Refusal.NOT_SENT])

    def test_silent_worker(self) -> None:
        """Unanswered orders were repeated over further connections."""
        self.worker.is_silent = True
        self.schedule().close_connections()
        self.assertGreater(
            WORKER_LIMIT / FORMER_SCHEDULERS, self.worker.most_open
        )


class TestBoundHolds(TestCase):
    """A hold that is bound to a connection reaches one life of a worker.

    A worker that restarted under the same id and address forgot its own ends
    up to the former life's ``AckedThrough``, so a task that had ended there
    was started again (TWICE).
    """

    def setUp(self) -> None:
        super().setUp()
        self.server = RestartableServer()
        self.addCleanup(self.server.stop)
        self.entry = WorkerEntry(
            'w1', 'transcripts', self.server.address, 'north', Resources()
        )
        self.workers = PlatformWorkers.from_config('127.0.0.1:1')
        self.addCleanup(self.workers.close_connections)

    def hold(
        self, acked_through: int = 0, connection: int | None = None
    ) -> HoldReport | OrderReply:
        order = HoldOrder(1, acked_through, 0, connection=connection)
        return self.workers.hold(self.entry, order, 5)

    def acknowledged(self) -> list[tuple[int, int]]:
        """Return the life and ``AckedThrough`` of each hold received."""
        return [
            (each.life, json.loads(each.body)['AckedThrough'])
            for each in self.server.requests
        ]

    def test_life_that_answered(self) -> None:
        """Guards against a bound hold that does not reach a living worker."""
        bound = self.hold().connection
        self.assertIsNotNone(bound)
        report = self.hold(57, bound)
        self.assertEqual((bound, 1), (report.connection, report.born_ms))
        self.assertEqual([(1, 0), (1, 57)], self.acknowledged())
        self.assertEqual(1, self.server.connections)

    def test_next_life(self) -> None:
        """Guards against an acknowledgement that reaches the next life."""
        bound = self.hold().connection
        self.server.restart()
        refused = self.hold(57, bound)
        self.assertEqual(Refusal.CONNECTION_GONE, refused.refusal)
        self.assertEqual([(1, 0)], self.acknowledged())
        report = self.hold()
        self.assertEqual(2, report.born_ms)
        self.assertNotIn(report.connection, (bound, None))
        # The hold pool now has a connection to the next life.
        self.assertEqual(Refusal.CONNECTION_GONE, self.hold(57, bound).refusal)
        self.assertEqual([(1, 0), (2, 0)], self.acknowledged())

    def test_idle_connection_that_the_worker_closes(self) -> None:
        """Guards against an unknown outcome of a hold that was never sent."""
        bound = self.hold().connection
        self.server.end_connection(1)
        refused = self.hold(57, bound)
        self.assertEqual(Refusal.CONNECTION_GONE, refused.refusal)
        self.assertEqual([(1, 0)], self.acknowledged())

    def test_worker_that_keeps_no_connection(self) -> None:
        """Guards against binding to a connection that was not kept."""
        self.server.says_close = True
        report = self.hold()
        self.assertEqual((1, None), (report.born_ms, report.connection))

    def test_closed_connections(self) -> None:
        """Guards against a bound hold on a new connection after a term."""
        bound = self.hold().connection
        self.workers.close_connections()
        refused = self.hold(57, bound)
        self.assertEqual(Refusal.CONNECTION_GONE, refused.refusal)
        self.assertNotEqual(bound, self.hold().connection)
        self.assertEqual([(1, 0), (1, 0)], self.acknowledged())

    def test_life_that_answers_an_order(self) -> None:
        """Guards against a new life that only its next hold makes known."""
        self.server.restart()
        reply = self.workers.stop(self.entry, StopOrder('t', 1, 1))
        self.assertEqual((None, 2), (reply.refusal, reply.born_ms))
