"""Replies reach their component, and one error does not stop others."""

from testtools import TestCase

from apricotlead.coordination.component import Component, handles
from apricotlead.coordination.scheduler import Scheduler
from apricotlead.coordination.store_settlement import StoreSettlement
from apricotlead.protocol.signals import Answer, LogEvent, ReadRows, Tick, Token


class Failing(Component):
    """Fails on each tick."""

    name = 'failing'

    @handles(Tick)
    def on_tick(self, signal, now):
        """Yield one effect, then fail."""
        yield Answer(1, None)
        raise ValueError('broken')


class Working(Component):
    """Reads a row on each tick."""

    name = 'working'

    @handles(Tick)
    def on_tick(self, signal, now):
        """Ask for a row."""
        return (ReadRows(Token(self.name), ('a',)),)


def scheduler(*, isolate_errors):
    """Return a scheduler with a failing and a working component."""
    return Scheduler(
        (Failing(), Working()),
        StoreSettlement(),
        isolate_errors=isolate_errors,
    )


class TestScheduler(TestCase):
    """Guards against one job that stops every instance that adopts it."""

    def test_error_is_logged_and_other_handlers_run(self):
        """Effects before the error are kept, and the traceback is logged."""
        effects = scheduler(isolate_errors=True).deliver(Tick(), 0)
        kinds = [type(effect) for effect in effects]
        self.assertIn(Answer, kinds)
        self.assertIn(ReadRows, kinds)
        log_event = effects[kinds.index(LogEvent)]
        self.assertIn('broken', log_event.fields['traceback'])

    def test_error_is_raised_for_fuzzers(self):
        """A fuzzer must see each error."""
        self.assertRaises(
            ValueError,
            scheduler(isolate_errors=False).deliver,
            Tick(),
            0,
        )
