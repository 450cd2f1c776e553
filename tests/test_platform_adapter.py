"""Encoding and decoding of the platform's messages, without a network."""

import io
import json
from base64 import b64decode, b64encode
from typing import Any

import msgspec
from testtools import TestCase

from apricotlead.coordination.cell.job_rows import job_key
from apricotlead.platform.callers import CallerApplication, decode_submission
from apricotlead.platform.configuration import ConfigError, decode_config
from apricotlead.platform.store import PlatformStore
from apricotlead.platform.workers import PlatformWorkers, decode_worker
from apricotlead.protocol.cell_jobs import JobReport, JobState, StoredJob
from apricotlead.protocol.cell_peers import Backlog, SchedulerStatus
from apricotlead.protocol.cell_workers import (
    EndKind,
    HoldOrder,
    HoldReport,
    Refusal,
    StartOrder,
)
from apricotlead.protocol.errors import BadInput, Overloaded
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun
from apricotlead.protocol.resources import Resources
from apricotlead.protocol.table import (
    Check,
    CheckFailed,
    Committed,
    Put,
    Row,
    StoreFailed,
    Transaction,
)
from apricotlead.state.answer_time import AdaptiveTimeout
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.cell_request_handler import CellRequestHandler
from apricotlead.transport.http_pool import Answered, NeverSent, NoAnswer
from apricotlead.transport.store_health import StoreHealth
from apricotlead.transport.store_relay import StoreRelay

CONFIG = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'lookups',
            'Host': 'a.example',
            'PathPrefix': '/lookups/',
            'Service': 'transcripts',
            'Priority': 1,
            'MaxAttempts': 3,
            'Stretch': 2.2,
            'TargetDurationMs': 1000,
            'Advice': {'DecisionMs': 8.5, 'EachMs': 1, 'ValidMs': 2000},
            'Public': False,
        },
    ],
    'Services': [{'Name': 'transcripts', 'EnforcesCapacity': False}],
    'Tenants': [
        {
            'Name': 'clerks',
            'ApiKeys': ['key'],
            'Weight': 16,
            'MaxCount': {'Cpu': 100, 'MemMb': 200, 'Gpu': 0},
        },
    ],
}
WORKER = {
    'Service': 'transcripts',
    'Address': '10.0.0.9:80',
    'Zone': 'north',
    'State': 'draining',
    'Capacity': {'Cpu': 16000, 'MemMb': 32768, 'Gpu': 0},
    'Labels': ['a', 'r1-3'],
    'DrainRemainingMs': 900,
    'born': 12,
}
JOB = '5c0e7a21d94b36f8'


class ScriptedPool:
    """Gives scripted answers to calls and records the calls."""

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)
        self.calls: list[Any] = []

    def call(self, request: Any) -> Any:
        self.calls.append(request)
        return self.answers.pop(0)


def answered(status: int, body: object) -> Answered:
    """Return an answer with a JSON body."""
    return Answered(status, json.dumps(body).encode(), {})


class TestConfiguration(TestCase):
    """The operators' row is decoded into the protocol types."""

    def test_queue_and_organisation(self) -> None:
        config = decode_config(Row('op//config', 1, CONFIG))
        view = CellConfigView(config, 0)
        queue = view.match_queue('a.example', '/lookups/x')
        self.assertEqual(
            (1, 3, 2.2),
            (
                queue.priority,
                queue.max_attempts,
                queue.stretch,
            ),
        )
        self.assertEqual(8.5, queue.advice.decision_ms)
        organisation = view.organisations_by_key['key']
        self.assertEqual(Resources(100, 200, 0), organisation.limit)

    def test_malformed_row_raises_config_error(self) -> None:
        self.assertRaises(ConfigError, decode_config, Row('op//config', 1, 3))


class TestRegistrations(TestCase):
    """Malformed registrations are ignored."""

    def test_worker(self) -> None:
        worker = decode_worker(Row('servers//w1', 1, WORKER))
        self.assertEqual('w1', worker.worker_id)
        self.assertTrue(worker.draining)
        self.assertEqual('r1-3', worker.rack)

    def test_unknown_state_and_wrong_types_are_ignored(self) -> None:
        for changes in ({'State': 'asleep'}, {'Capacity': 3}, {'Labels': 'x'}):
            row = Row('servers//w1', 1, {**WORKER, **changes})
            self.assertIsNone(decode_worker(row))
        self.assertIsNone(decode_worker(Row('servers//w1', 1, None)))


class TestStore(TestCase):
    """A write of unknown outcome is reported neither as done nor as failed."""

    transaction = Transaction(
        '',
        't/p/k',
        (Check('t/p/k', 4),),
        (Put('t/p/k', {'a': 1}),),
        ('t/p/old',),
    )

    def transact(self, answer: Any) -> Any:
        self.pool = ScriptedPool(answer)
        store = PlatformStore(self.pool, '10.0.0.1:80')
        return store.transact(self.transaction)

    # Guards against a read that goes on after its caller's wait.
    def test_read_keeps_to_its_time_limit(self) -> None:
        pool = ScriptedPool(answered(200, {'rows': []}))
        PlatformStore(pool, 'a:1').read_row('jobs/1/a', 0.3)
        self.assertEqual(0.3, pool.calls[0].timeout_s)

    # Guards against a refusal for the rate that counts as an outage.
    def test_only_status_429_is_busy(self) -> None:
        for status, is_busy in ((429, True), (503, False), (500, False)):
            pool = ScriptedPool(*[answered(status, {}) for _ in range(2)])
            store = PlatformStore(pool, 'a:1')
            for failure in (
                store.read_row('jobs/1/a'),
                store.transact(self.transaction),
            ):
                self.assertIs(is_busy, failure.is_busy)

    def test_commit_returns_the_version_of_each_row(self) -> None:
        reply = self.transact(answered(200, {'Ver': 9, 'NowMs': 5}))
        self.assertEqual(Committed({'t/p/k': 9}, 5), reply)
        body = json.loads(self.pool.calls[0].body)
        self.assertEqual(
            [{'Table': 't', 'part': 'p', 'Key': 'k', 'Ver': 4}],
            body['Expect'],
        )
        value = b64decode(body['Writes'][0]['Value'])
        self.assertEqual({'a': 1}, json.loads(value))

    def test_failed_check_returns_the_rows(self) -> None:
        value = b64encode(b'{"a":2}').decode()
        row = {'Table': 't', 'part': 'p', 'Key': 'k', 'Ver': 8, 'Value': value}
        reply = self.transact(answered(412, {'rows': [row]}))
        self.assertEqual(CheckFailed((Row('t/p/k', 8, {'a': 2}),)), reply)

    def test_outcome_of_failures(self) -> None:
        cases = (
            (NeverSent('refused'), False),
            (answered(503, {}), False),
            (answered(429, {}), False),
            (NoAnswer('reset'), None),
            (answered(500, {}), None),
            (Answered(200, b'half', {}), None),
        )
        for answer, applied in cases:
            reply = self.transact(answer)
            self.assertIsInstance(reply, StoreFailed)
            self.assertEqual(applied, reply.applied)

    def test_lost_history(self) -> None:
        store = PlatformStore(ScriptedPool(answered(410, {})), 'a:1')
        self.assertTrue(store.changes('t', 1, 1).history_lost)

    def test_changes_that_are_cut_short(self) -> None:
        """Guards against skipping the changes after the last one listed."""
        row = {'Table': 't', 'part': '', 'Value': 'Nw==', 'Deleted': True}
        rows = [{**row, 'Key': f'k{each}', 'Ver': each} for each in range(501)]
        cases = (
            ({'rows': rows[3:5], 'Ver': 900}, 900),
            ({'rows': rows[3:5], 'Ver': 900, 'HasMore': True}, 4),
            ({'rows': rows[1:], 'Ver': 900}, 500),
            ({'rows': [], 'Ver': 900, 'HasMore': True}, 1),
        )
        for body, version in cases:
            store = PlatformStore(ScriptedPool(answered(200, body)), 'a:1')
            self.assertEqual(version, store.changes('t', 1, 1).version)


class TestWorkers(TestCase):
    """Orders are encoded; replies and reports are decoded."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = decode_worker(Row('servers//w1', 1, WORKER))

    def test_start(self) -> None:
        pool = ScriptedPool(answered(409, {'ClockMs': 3, 'Reason': 'ticket'}))
        workers = PlatformWorkers(pool, 'a:1', pool, pool)
        order = StartOrder(f'{JOB}.0.0.0', 2, 'text', 7, 4860.0, '', 't1')
        reply = workers.start(self.worker, order)
        self.assertEqual(Refusal.BAD_TICKET, reply.refusal)
        sent = json.loads(pool.calls[0].body)
        self.assertEqual(4860, sent['DeadlineMs'])
        self.assertEqual(7, sent['FencingToken'])
        self.assertNotIn('Checkpoint', sent)
        self.assertEqual('w1', pool.calls[0].headers['X-Expect-Instance'])

    def test_hold(self) -> None:
        report = {
            'ClockMs': 10,
            'Running': [['t', 2, 'saved', 41, 7]],
            'Ended': [[58, 'u', 1, 'done', '']],
            'born': 5,
        }
        pool = ScriptedPool(answered(200, report))
        workers = PlatformWorkers(pool, 'a:1', pool, pool)
        reply = workers.hold(self.worker, HoldOrder(1, 0, 0), 1)
        self.assertIsInstance(reply, HoldReport)
        self.assertEqual(41, reply.running[0].progress)
        self.assertEqual(EndKind.DONE, reply.ended[0].kind)
        self.assertEqual(5, reply.born_ms)

    def test_report_that_may_lack_ends(self) -> None:
        """Guards against taking runs that ended for vanished (TWICE)."""
        for count, has_all_ends in ((0, True), (499, True), (500, False)):
            ended = [
                [number + 1, 'u', 1, 'done', ''] for number in range(count)
            ]
            pool = ScriptedPool(answered(200, {'ClockMs': 1, 'Ended': ended}))
            workers = PlatformWorkers(pool, 'a:1', pool, pool)
            reply = workers.hold(self.worker, HoldOrder(1, 0, 0), 1)
            self.assertEqual(has_all_ends, reply.has_all_ends)

    def test_refusals(self) -> None:
        cases = (
            (answered(421, {}), Refusal.OTHER_LIFE),
            (answered(503, {}), Refusal.UNHEALTHY),
            (answered(500, {}), Refusal.UNANSWERED),
            (NoAnswer('reset'), Refusal.UNANSWERED),
            (NeverSent('no connection is free'), Refusal.NOT_SENT),
            (NeverSent('refused', is_refused=True), Refusal.NO_LISTENER),
            (
                NeverSent('ended', is_connection_gone=True),
                Refusal.CONNECTION_GONE,
            ),
            (answered(409, {'Reason': 'fence'}), Refusal.FENCED),
        )
        for answer, refusal in cases:
            pool = ScriptedPool(answer)
            workers = PlatformWorkers(pool, 'a:1', pool, pool)
            reply = workers.hold(self.worker, HoldOrder(1, 0, 0), 1)
            self.assertEqual(refusal, reply.refusal)

    def test_life_that_refuses(self) -> None:
        """Guards against a refusal whose sender is taken for the old life."""
        pool = ScriptedPool(answered(409, {'Reason': 'old', 'born': 5}))
        workers = PlatformWorkers(pool, 'a:1', pool, pool)
        reply = workers.hold(self.worker, HoldOrder(1, 0, 0), 1)
        self.assertEqual((Refusal.OLD_RUN, 5), (reply.refusal, reply.born_ms))


class ScriptedRequestHandler:
    """A request handler that returns the same outcome for each request."""

    is_stopping = False
    max_body_bytes = 1000

    def __init__(self, outcome: Any) -> None:
        self.outcome = outcome
        self.queue = decode_config(Row('k', 1, CONFIG)).queues[0]

    def track_request(self) -> Any:
        return io.StringIO()

    def authorise(self, *call: str) -> Any:
        return self.queue, 'clerks'

    def submit(self, *call: Any) -> Any:
        return self.outcome

    def status(self, *call: Any) -> Any:
        return self.outcome


class TestCallers(TestCase):
    """Each outcome has one status, and a malformed body has status 400."""

    def request(self, method: str, outcome: Any, body: bytes = b'') -> Any:
        answers: list[Any] = []
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': f'/lookups/{JOB}',
            'CONTENT_LENGTH': str(len(body)),
            'wsgi.input': io.BytesIO(body),
        }
        application = CallerApplication(ScriptedRequestHandler(outcome))
        sent = application(environ, lambda *answer: answers.append(answer))
        line, headers = answers[0]
        return int(line[:3]), dict(headers), b''.join(sent)

    def test_statuses(self) -> None:
        body = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":5}]}'
        cases = (
            (Done(), 200),
            (NotRun(Overloaded('full'), 1.2), 429),
            (NotRun(BadInput('bad')), 400),
            (MayHaveRun(Overloaded('outcome unknown')), 504),
        )
        for outcome, status in cases:
            self.assertEqual(status, self.request('POST', outcome, body)[0])

    def test_retry_after_is_in_whole_seconds(self) -> None:
        body = b'{"Spec":"x","Steps":[]}'
        outcome = NotRun(Overloaded('full'), 1.2)
        self.assertEqual(
            '2', self.request('POST', outcome, body)[1]['Retry-After']
        )

    def test_state(self) -> None:
        status, _, body = self.request('GET', Done(JobReport(JobState.RUNNING)))
        self.assertEqual((200, b'{"State": "running"}'), (status, body))

    def test_reason_of_a_failure(self) -> None:
        """A caller could not tell why a job was given up."""
        report = JobReport(JobState.FAILED, 'workers crashed')
        body = self.request('GET', Done(report))[2]
        self.assertEqual(
            b'{"State": "failed", "Error": "workers crashed"}', body
        )

    def test_malformed_body(self) -> None:
        for body in (b'{', b'[]', b'{"Spec":"x","Steps":[{"Count":"many"}]}'):
            self.assertEqual(400, self.request('POST', Done(), body)[0])

    def test_steps(self) -> None:
        body = b'{"Spec":"x","Steps":[{"Count":4,"Affinity":"r1","Gang":true}]}'
        step = decode_submission(body).steps[0]
        self.assertEqual(
            (4, 'r1', True),
            (
                step.task_count,
                step.data_rack,
                step.gang,
            ),
        )


class ScriptedStore:
    """A store with scripted answers to transactions."""

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)

    def transact(self, transaction: Transaction, timeout_s: float = 0) -> Any:
        return self.answers.pop(0)


class ScriptedScheduler:
    """Records announced rows; has a status only with a backlog."""

    def __init__(self) -> None:
        self.announced: list[Row] = []
        self.backlog: Backlog | None = None

    def status(self) -> SchedulerStatus | None:
        """Return a status with the backlog, ``None`` without a backlog."""
        if self.backlog is None:
            return None
        return SchedulerStatus(1, is_active=True, backlog=self.backlog)

    def addresses(self) -> list[str]:
        return []

    def announce(self, row: Row) -> None:
        self.announced.append(row)


class TestCellRequestHandler(TestCase):
    """A job is accepted only once the store contains it."""

    def setUp(self) -> None:
        super().setUp()
        self.scheduler = ScriptedScheduler()

    def submit(
        self,
        wait_s: float,
        *answers: Any,
        lost_after_s: float = 1,
    ) -> Any:
        health = StoreHealth(lost_after_s)
        metrics = CellMetrics()
        store = ScriptedStore(*answers)
        request_handler = CellRequestHandler(
            StoreRelay(store, health, self.scheduler, metrics),
            health,
            self.scheduler,
            4.5,
            lambda kind, **fields: None,
            metrics,
        )
        queue = decode_config(Row('k', 1, CONFIG)).queues[0]
        body = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":5}]}'
        submission = decode_submission(body)
        return request_handler.submit(queue, 'clerks', JOB, submission, wait_s)

    def test_stored_job_is_announced_to_the_scheduler(self) -> None:
        """The feed is late when the store is slow or drops its history."""
        self.submit(3, Committed({job_key(JOB): 9}))
        self.assertEqual(
            [(job_key(JOB), 9)],
            [(row.key, row.version) for row in self.scheduler.announced],
        )

    def test_unknown_outcome_is_not_announced(self) -> None:
        self.submit(0.3, *(StoreFailed(applied=None) for _ in range(9)))
        self.assertEqual([], self.scheduler.announced)

    def test_new_and_already_stored_jobs_are_accepted(self) -> None:
        stored = Committed({job_key(JOB): 9})
        self.assertIsInstance(self.submit(3, stored), Done)
        self.assertIsInstance(self.submit(3, CheckFailed(())), Done)

    def test_refused_write_is_not_run(self) -> None:
        outcome = self.submit(0.2, StoreFailed(applied=False))
        self.assertIsInstance(outcome, NotRun)

    def test_lost_answer_is_never_reported_as_not_run(self) -> None:
        """The write may have taken effect although later tries are refused."""
        outcome = self.submit(
            0.45,
            StoreFailed(applied=None),
            *(StoreFailed(applied=False) for _ in range(9)),
        )
        self.assertIsInstance(outcome, MayHaveRun)

    def test_lost_answer_is_resolved_by_the_next_try(self) -> None:
        outcome = self.submit(3, StoreFailed(applied=None), CheckFailed(()))
        self.assertIsInstance(outcome, Done)

    def test_later_try_replaces_a_refusal(self) -> None:
        """The row of a refusal is no job; an accepted try replaces it."""
        refusal = StoredJob('q', 's', 'clerks', 0, is_refused=True)
        row = Row(job_key(JOB), 5, msgspec.to_builtins(refusal))
        stored = Committed({job_key(JOB): 9})
        outcome = self.submit(3, CheckFailed((row,)), stored)
        self.assertIsInstance(outcome, Done)
        self.assertEqual([9], [row.version for row in self.scheduler.announced])

    def test_refused_job_leaves_a_row_that_blocks_late_writes(self) -> None:
        """A write of an earlier try could take effect after the refusal."""
        self.scheduler.backlog = Backlog({0: 99.0, 1: 99.0, 2: 99.0})
        outcome = self.submit(3, Committed({job_key(JOB): 9}))
        self.assertIsInstance(outcome, NotRun)
        row = self.scheduler.announced[0]
        self.assertTrue(msgspec.convert(row.value, StoredJob).is_refused)

    def test_too_late_job_of_an_accepted_try_is_accepted(self) -> None:
        self.scheduler.backlog = Backlog({0: 99.0, 1: 99.0, 2: 99.0})
        job = StoredJob('q', 's', 'clerks', 0, submission=None)
        row = Row(job_key(JOB), 5, msgspec.to_builtins(job))
        existing = CheckFailed((row,))
        self.assertIsInstance(self.submit(3, existing, existing), Done)

    def test_unknown_outcome_is_reported_once_the_store_is_lost(self) -> None:
        """A caller in a disconnected data centre must retry elsewhere."""
        lost = StoreFailed(applied=None)
        outcome = self.submit(60, lost, lost_after_s=0)
        self.assertIsInstance(outcome, MayHaveRun)


class TestAdaptiveTimeout(TestCase):
    """Pattern: a store that loses answers, or answers 60 times slower."""

    def setUp(self) -> None:
        super().setUp()
        self.adaptive_timeout = AdaptiveTimeout(0.25, 1.5)

    def test_fast_store_has_a_short_timeout(self) -> None:
        for _ in range(20):
            self.adaptive_timeout.answered(0.01)
        self.assertEqual(0.25, self.adaptive_timeout.timeout_s)

    def test_slow_store_has_a_long_timeout(self) -> None:
        for _ in range(3):
            self.adaptive_timeout.missed()
        self.assertGreater(self.adaptive_timeout.timeout_s, 1.0)
        self.adaptive_timeout.answered(0.32)
        self.assertGreater(self.adaptive_timeout.timeout_s, 1.0)

    def test_bounds(self) -> None:
        for _ in range(9):
            self.adaptive_timeout.missed()
        self.assertEqual(1.5, self.adaptive_timeout.timeout_s)
        for _ in range(9):
            self.adaptive_timeout.answered(0.01)
        self.assertLess(self.adaptive_timeout.timeout_s, 0.5)
