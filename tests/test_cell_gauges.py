"""Tests that the scheduler's summary of the cell is exported as gauges."""

from typing import Any

from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase

from apricotlead.coordination.cell.scheduler import CELL_STATE
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.transport.cell_links import CellLinks
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.cell_scheduling import SchedulingTerm
from tests.cell_rig import CellRig, ModelWorker, stored_job
from tests.fakes import UncalledWorkers
from tests.test_cell_term import PREFIX, EmptyStore

JOB = '00000000000000aa'


def scrape(metrics: CellMetrics) -> dict[str, float]:
    """Return the samples by name, with the reason if there is one."""
    body = b''.join(metrics({}, lambda *answer: None)).decode()
    return {
        ' '.join((sample.name, *sample.labels.values())): sample.value
        for family in text_string_to_metric_families(body)
        for sample in family.samples
        if family.type != 'histogram' and not sample.name.endswith('_created')
    }


class TestGauges(TestCase):
    """Gauges show the latest values only."""

    def test_reasons_that_no_longer_apply(self) -> None:
        """Guards against steps that seem to wait for a former reason."""
        metrics = CellMetrics()
        metrics.set_gauge_by_reason('cell_waiting_steps', {'room': 3})
        metrics.set_gauge_by_reason('cell_waiting_steps', {'limit': 1})
        self.assertEqual(
            {'apricotlead_cell_waiting_steps limit': 1}, scrape(metrics)
        )

    def test_gauges_of_a_later_term(self) -> None:
        """Guards against a second term whose gauges cannot be registered."""
        metrics = CellMetrics()
        metrics.set_gauge('cell_stalled_steps', 4)
        metrics.drop_gauges()
        self.assertEqual({}, scrape(metrics))
        metrics.set_gauge('cell_stalled_steps', 2)
        self.assertEqual({'apricotlead_cell_stalled_steps': 2}, scrape(metrics))


class TestGaugesOfATerm(TestCase):
    """A term exports what could run and does not, until it ends."""

    def setUp(self) -> None:
        super().setUp()
        self.metrics = CellMetrics()
        self.scrapes: list[dict[str, float]] = []
        self.rig = CellRig(ModelWorker('w1'))
        self.rig.submit(JOB, stored_job())
        # The planner is not called, so the step waits although it fits.
        for _ in range(12):
            self.rig.now += 0.5
            self.rig.hold_all()
            self.rig.journal()
            self.rig.scheduler.tick(self.rig.now)

    def log(self, kind: str, **fields: Any) -> None:
        """Record the metrics as they are before the next summary."""
        if kind == CELL_STATE:
            self.scrapes.append(scrape(self.metrics))

    def run_term(self) -> None:
        """Run a term until its broken feed ends it."""
        links = CellLinks(
            EmptyStore(),
            UncalledWorkers(),
            PREFIX,
            lambda row: None,
            lambda address, question: None,
            self.log,
            self.metrics,
        )
        SchedulingTerm(
            links, CellSettings(), self.rig.scheduler, 'peer', 1, 0.01
        ).run()

    def test_stalled_step(self) -> None:
        """Guards against a stalled step that no metric shows."""
        self.run_term()
        exported = self.scrapes[-1]
        self.assertEqual(1, exported['apricotlead_cell_runnable_steps'])
        self.assertEqual(1, exported['apricotlead_cell_stalled_steps'])
        self.assertGreaterEqual(
            exported['apricotlead_cell_oldest_runnable_seconds'], 3
        )
        self.assertEqual(1, exported['apricotlead_cell_waiting_steps new'])
        self.assertEqual(1, exported['apricotlead_cell_stall_began_total'])

    def test_end_of_the_term(self) -> None:
        """Guards against alerts by values that nothing updates any more."""
        self.run_term()
        gauges = [
            name for name in scrape(self.metrics) if not name.endswith('_total')
        ]
        self.assertEqual([], gauges)
