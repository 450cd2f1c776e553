"""Lookups are retried only if that is safe, and count against limits."""

from random import Random

from testtools import TestCase
from testtools.matchers import IsInstance

from apricotlead.coordination.lookups import (
    Lookup,
    LookupManager,
    LookupRequest,
    LookupSettings,
    ReadClock,
    SendTo,
)
from apricotlead.coordination.retry_budget import RetryBudgetSettings
from apricotlead.coordination.service_routing import (
    RoutingSettings,
    ServiceRouter,
)
from apricotlead.protocol.errors import LimitReached
from apricotlead.protocol.executors import (
    ExecutorAnswered,
    ExecutorClock,
    ExecutorRefused,
    ExecutorResultUnknown,
)
from apricotlead.protocol.instances import Instance
from apricotlead.protocol.outcomes import Done, MayHaveRun, NotRun
from apricotlead.protocol.signals import JournalOpened, Tick
from apricotlead.state.cell_directory import CellDirectory
from apricotlead.state.session_view import SessionView

SERVICE = 'stenograf'
ANSWER = ExecutorAnswered(200, b'phrase')
SILENT = ExecutorResultUnknown('no answer')
BROKEN = ExecutorResultUnknown('the connection ended', is_broken=True)
REFUSED = ExecutorRefused()
UNREACHABLE = ExecutorRefused(reachable=False)


def executor(name, datacentre='almaty-a', leaving=False):
    """Return an executor of the service."""
    return Instance(
        name,
        'executor',
        '127.0.0.1:1',
        datacentre,
        leaving=leaving,
        service=SERVICE,
        slots=8,
    )


class OpenAdmission:
    """Admits every lookup, with its key as the team."""

    def check_lookup(self, queue, key, now):
        """Return the key as the team."""
        return key


class CountedUnits:
    """A limit kept in memory, without a store."""

    def __init__(self, limit):
        """Start with ``limit`` units free."""
        self.free = limit
        self.returned_journals = []

    def try_take(self, team, journal_id, amount, now):
        """Take units if there are enough."""
        if self.free < amount:
            return False
        self.free -= amount
        return True

    def usable_until_s(self, team):
        """Return that units may be in use without end."""
        return float('inf')

    def release_units(self, team, journal_id, amount, now):
        """Return units."""
        self.free += amount
        self.returned_journals.append(journal_id)


class LookupCase(TestCase):
    """A lookup manager with a set of executors."""

    executors = (executor('near-1'), executor('near-2'), executor('near-3'))
    retries = RetryBudgetSettings()

    def setUp(self):
        """Build a manager with a limit of one unit."""
        super().setUp()
        self.view = SessionView('s', 'almaty-a')
        self.directory = CellDirectory()
        self.directory.replace(self.executors)
        self.router = ServiceRouter(
            RoutingSettings(),
            self.directory,
            self.view,
            Random(1),
        )
        self.units = CountedUnits(1)
        self.manager = LookupManager(
            LookupSettings(retries=self.retries),
            self.router,
            OpenAdmission(),
            self.units,
        )

    def open(self, **fields) -> Lookup:
        """Open a lookup at time 0."""
        return self.manager.open(LookupRequest(SERVICE, **fields), 0)


class TestLookup(LookupCase):
    """Guards against running non-idempotent work twice (I7, I6)."""

    def test_cases(self):
        """Each result leads to exactly the allowed next step."""
        table = (
            (True, ANSWER, Done),
            (True, REFUSED, SendTo),
            (True, SILENT, SendTo),
            (False, ANSWER, Done),
            (False, REFUSED, SendTo),
            (False, UNREACHABLE, SendTo),
            (False, SILENT, MayHaveRun),
        )
        for idempotent, result, expected in table:
            lookup = self.open(idempotent=idempotent)
            lookup.next_step(0)
            step = lookup.handle_result(result, 0.1) or lookup.next_step(0.1)
            self.expectThat(step, IsInstance(expected))
            self.units.free = 1

    def test_refusal_after_an_unanswered_try_is_not_reported_as_not_run(self):
        """An earlier try may have run even if the last one was refused."""
        lookup = self.open()
        for result in (SILENT, REFUSED, REFUSED):
            lookup.next_step(0)
            self.assertIsNone(lookup.handle_result(result, 0.1))
        self.assertThat(lookup.next_step(0.1), IsInstance(MayHaveRun))

    def test_lookup_that_breaks_two_connections_is_given_up(self):
        """Guards against a request that crashes executor after executor.

        An idempotent one was sent to a third executor, which crashed too.
        """
        lookup = self.open()
        lookup.next_step(0)
        self.assertIsNone(lookup.handle_result(BROKEN, 0.1))
        lookup.next_step(0.1)
        outcome = lookup.handle_result(BROKEN, 0.2)
        self.assertThat(outcome, IsInstance(MayHaveRun))
        self.assertIn('connection', str(outcome.error))

    def test_refusals_only_are_not_run(self):
        """The caller may retry, and is told after which delay."""
        lookup = self.open(idempotent=False)
        for _ in range(3):
            lookup.next_step(0)
            lookup.handle_result(REFUSED, 0.1)
        outcome = lookup.next_step(0.1)
        self.assertThat(outcome, IsInstance(NotRun))
        self.assertTrue(outcome.retry_after_s)

    def test_deadline_ends_the_tries(self):
        """After the deadline the caller no longer waits for a retry."""
        lookup = self.open()
        self.assertThat(lookup.next_step(1.0), IsInstance(NotRun))


class TestExecutorClock(LookupCase):
    """Guards against lookups that run after their unit was returned (I4)."""

    executors = (executor('near-1'),)

    def read_clock(self, clock, now):
        """Open a lookup of a team and answer its clock request."""
        self.units.free = 1
        lookup = self.manager.open(LookupRequest(SERVICE, key='courts'), now)
        self.assertThat(lookup.next_step(now), IsInstance(ReadClock))
        lookup.handle_clock_reply(ExecutorAnswered(200, b'', clock=clock), now)
        return lookup

    def test_end_is_given_on_the_executors_clock(self):
        """It is never later than the local end, whatever the drift."""
        lookup = self.read_clock(ExecutorClock('boot', 5000), 0)
        step = lookup.next_step(0)
        self.assertEqual(ExecutorClock('boot', 5980), step.not_after)

    def test_old_reading_is_not_used(self):
        """The drift since an old reading could give a time in the past."""
        self.read_clock(ExecutorClock('boot', 5000), 0).next_step(0)
        self.read_clock(ExecutorClock('boot', 65_000), 60)
        self.units.free = 1
        lookup = self.manager.open(LookupRequest(SERVICE), 120)
        self.assertIsNone(lookup.next_step(120).not_after)

    def test_executor_without_a_clock(self):
        """It is asked once, and then gets only the time left."""
        lookup = self.read_clock(None, 0)
        self.assertIsNone(lookup.next_step(0).not_after)
        self.units.free = 1
        later = self.manager.open(LookupRequest(SERVICE, key='courts'), 60)
        self.assertThat(later.next_step(60), IsInstance(SendTo))

    def test_unreachable_executor(self):
        """No request was sent to it, so the outcome is "not run"."""
        lookup = self.manager.open(LookupRequest(SERVICE, key='courts'), 0)
        lookup.next_step(0)
        lookup.handle_clock_reply(UNREACHABLE, 0.1)
        self.assertThat(lookup.next_step(0.1), IsInstance(NotRun))


class TestRetryBudget(LookupCase):
    """Guards against retries that multiply the load on failing executors."""

    retries = RetryBudgetSettings(ratio=0, most=1)

    def test_budget_is_shared_by_all_lookups(self):
        """The second lookup finds the budget empty."""
        steps = []
        for _ in range(2):
            self.units.free = 1
            lookup = self.open()
            lookup.next_step(0)
            lookup.handle_result(REFUSED, 0)
            steps.append(lookup.next_step(0))
        self.assertThat(steps[0], IsInstance(SendTo))
        self.assertThat(steps[1], IsInstance(NotRun))


class TestLookupManager(LookupCase):
    """Guards against lookups beyond a team's limit (I4)."""

    def test_limit(self):
        """The second lookup is refused until the first has ended."""
        lookup = self.open()
        self.assertRaises(LimitReached, self.open)
        self.manager.close(lookup, 0)
        self.open()

    def test_unit_is_returned_to_the_journal_it_was_taken_from(self):
        """Lookups of an old session must not reduce the new one's count."""
        self.manager.on_journal_opened(JournalOpened('old', 1), 0)
        lookup = self.open()
        self.manager.on_journal_opened(JournalOpened('new', 1), 0)
        self.manager.close(lookup, 0)
        self.assertEqual(['old'], self.units.returned_journals)

    def test_unknown_outcome_holds_its_unit_until_the_deadline(self):
        """The executor may still work on it."""
        lookup = self.open(wait_s=1.0)
        lookup.next_step(0)
        lookup.handle_result(SILENT, 0.5)
        self.manager.close(lookup, 0.5)
        self.manager.on_tick(Tick(), 0.9)
        self.assertEqual(0, self.units.free)
        self.manager.on_tick(Tick(), 1.1)
        self.assertEqual(1, self.units.free)
