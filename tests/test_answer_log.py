"""Log lines and counters of states that are late or not answered."""

from typing import Any

import eventlet
from testtools import TestCase

from apricotlead.protocol.cell_jobs import JobReport, JobState
from apricotlead.protocol.errors import (
    NoSuchJob,
    StaleView,
    StoreUnreachable,
)
from apricotlead.protocol.outcomes import Done, NotRun, Outcome
from apricotlead.protocol.table import Rows, StoreFailed
from apricotlead.state.cell_config_view import CellConfigView
from apricotlead.transport.answer_log import (
    DIRECT,
    AnswerLog,
    Question,
    StoreTries,
)
from apricotlead.transport.boot_clock import boot_now
from tests.cell_rig import cell_config
from tests.virtual_clock import virtual_clock
from tests.virtual_store import VirtualInstance, VirtualStore

RUNNING = Done(JobReport(JobState.RUNNING))
QUESTION = Question('state', 'lookups', '5c0e7a21d94b36f8', 3)


class Counts:
    """Counts by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, int] = {}

    def count(self, name: str) -> None:
        self.by_name[name] = self.by_name.get(name, 0) + 1


class TestAnswerLog(TestCase):
    """An incident showed a state without an answer, and no log line said why."""

    def setUp(self) -> None:
        super().setUp()
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.counts = Counts()
        self.answer_log = AnswerLog(
            lambda kind, **fields: self.lines.append((kind, fields)),
            self.counts,
        )

    def watch(self, outcome: Outcome, took_s: float = 0) -> None:
        def answer(tries: StoreTries) -> Outcome:
            silent = tries.begin('read', 'progress/cell/a', DIRECT)
            eventlet.sleep(took_s / 2)
            silent.end(StoreFailed(None, reason='no answer within 1 s'))
            answered = tries.begin('read', 'jobs/3/a', '127.0.0.1:9')
            tries.begin('read', 'jobs/3/a', DIRECT)
            eventlet.sleep(took_s / 2)
            answered.end(Rows(()))
            return outcome

        with virtual_clock():
            self.answer_log.watch(QUESTION, answer)

    # Guards against a line for each normal answer.
    def test_state_and_unknown_job_are_not_logged(self) -> None:
        self.watch(RUNNING)
        self.watch(NotRun(NoSuchJob('There is no job.')))
        self.assertEqual(([], {}), (self.lines, self.counts.by_name))

    # Guards against a failed state whose reads and paths are not known.
    def test_unanswered_state_is_logged_with_its_reads(self) -> None:
        self.watch(NotRun(StoreUnreachable('The store is silent.'), 1), 2.5)
        kind, fields = self.lines[0]
        self.assertEqual('state unanswered', kind)
        self.assertEqual((2.5, 3), (fields['took_s'], fields['wait_s']))
        self.assertEqual(
            [
                {
                    'call': 'read progress',
                    'path': 'direct',
                    'outcome': 'no answer within 1 s',
                    'took_s': 1.25,
                },
                {
                    'call': 'read jobs',
                    'path': '127.0.0.1:9',
                    'outcome': 'answered',
                    'took_s': 1.25,
                },
                {
                    'call': 'read jobs',
                    'path': 'direct',
                    'outcome': 'pending',
                    'took_s': 1.25,
                },
            ],
            fields['tries'],
        )
        self.assertEqual({'cell_state_unanswered': 1}, self.counts.by_name)

    # Guards against an answer that comes after its wait and is not noticed.
    def test_late_state_is_logged(self) -> None:
        self.watch(RUNNING, 1.4)
        self.assertEqual([], self.lines)
        self.watch(RUNNING, 1.6)
        self.assertEqual('state late', self.lines[0][0])
        self.assertEqual({'cell_state_late': 1}, self.counts.by_name)

    # Guards against an error that hides which job was asked for.
    def test_error_is_logged_and_raised(self) -> None:
        def answer(tries: StoreTries) -> Outcome:
            raise ValueError('row')

        self.assertRaises(ValueError, self.answer_log.watch, QUESTION, answer)
        self.assertIn('row', self.lines[0][1]['why'])

    # Guards against an outage that fills the log.
    def test_lines_are_limited_and_the_others_counted(self) -> None:
        failed = NotRun(StoreUnreachable('The store is silent.'), 1)

        def answer(tries: StoreTries) -> Outcome:
            return failed

        with virtual_clock() as clock:
            for _ in range(100):
                self.answer_log.watch(QUESTION, answer)
            clock.now += 1
            self.answer_log.watch(QUESTION, answer)
        suppressed = [fields['suppressed'] for _, fields in self.lines]
        self.assertEqual([0, 0, 0, 0, 0, 95], suppressed)
        self.assertEqual(101, self.counts.by_name['cell_state_unanswered'])


class TestRequestsWithoutConfiguration(TestCase):
    """A refusal for want of a configuration left no line, only a count."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = self.enterContext(virtual_clock())
        self.instance = VirtualInstance(VirtualStore({}))
        self.handler = self.instance.request_handler

    def assert_refused(self, age_s: float | None) -> None:
        self.assertRaises(
            StaleView, self.handler.authorise, 'host', '/lookups/1', 'key'
        )
        fields = {'path': '/lookups/1', 'age_s': age_s}
        self.assertEqual(
            ('configuration too old', fields), self.instance.lines[-1]
        )

    def test_none_was_read_yet(self) -> None:
        self.assert_refused(None)

    def test_not_confirmed_for_too_long(self) -> None:
        self.handler.view = CellConfigView(cell_config(), boot_now())
        eventlet.sleep(5)
        self.assert_refused(5)
