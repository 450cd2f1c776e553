"""Load pattern: a service that loses answers or becomes slow."""

import eventlet
from testtools import TestCase

from apricotlead.transport.hedging import hedged


class ScriptedService:
    """Answers each call after a scripted delay."""

    def __init__(self, *answers):
        """Answer with each ``(delay_s, answer)`` in turn."""
        self.answers = list(answers)
        self.calls = 0

    def __call__(self):
        """Answer the next call."""
        self.calls += 1
        delay_s, answer = self.answers.pop(0)
        eventlet.sleep(delay_s)
        if isinstance(answer, Exception):
            raise answer
        return answer


class TestHedged(TestCase):
    """The first success is returned, and no pending call is abandoned."""

    def hedged(self, service):
        return hedged(service, 0.05, lambda answer: answer == 'failed')

    def test_fast_answer_needs_one_call(self):
        service = ScriptedService((0, 'done'))
        self.assertEqual(('done', 1), (self.hedged(service), service.calls))

    def test_fast_failure_is_returned_at_once(self):
        service = ScriptedService((0, 'failed'))
        self.assertEqual(('failed', 1), (self.hedged(service), service.calls))

    def test_slow_service_answers_the_first_call(self):
        service = ScriptedService((0.1, 'first'), (0.3, 'second'))
        self.assertEqual('first', self.hedged(service))

    def test_lost_answer_is_replaced_by_the_second(self):
        service = ScriptedService((5, 'failed'), (0, 'second'))
        self.assertEqual('second', self.hedged(service))

    def test_several_lost_answers_in_a_row(self):
        """Several answers in a row may be lost; a timeout would take long."""
        lost = (5, 'failed')
        service = ScriptedService(lost, lost, lost, (0, 'fourth'))
        self.assertEqual('fourth', self.hedged(service))

    def test_calls_are_bounded(self):
        lost = (0.6, 'failed')
        service = ScriptedService(lost, lost, lost, lost)
        self.assertEqual(('failed', 4), (self.hedged(service), service.calls))

    def test_failure_waits_for_the_other_call(self):
        service = ScriptedService((0.2, 'first'), (0, 'failed'))
        self.assertEqual('first', self.hedged(service))

    def test_fault_in_the_call_is_raised(self):
        self.assertRaises(
            ValueError, self.hedged, ScriptedService((0, ValueError()))
        )
