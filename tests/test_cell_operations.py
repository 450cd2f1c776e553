"""What operators use: settings, metrics, logs, and the history of a job."""

import os
import signal
from pathlib import Path
from tempfile import TemporaryDirectory

from hypothesis import given
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase

from apricotlead.cell_settings import CellEntrySettings, CellSettingsError
from apricotlead.cli import Commands
from apricotlead.coordination.cell.settings import CellSettings
from apricotlead.state.worker_lease import LeaseTimes, WorkerLease
from apricotlead.transport.cell_log import CellLog
from apricotlead.transport.cell_metrics import CellMetrics
from apricotlead.transport.serving import on_hangup, pause

SETTINGS = """
instance_id: i1
data_centre: north
callers_address: 127.0.0.1:80
ready_address: 127.0.0.1:81
peer_address: 127.0.0.1:82
store_address: 127.0.0.1:83
a_setting_of_tomorrow: 1
"""
JOB = '00000000000000aa'


class TestSettings(TestCase):
    """Startup fails on an invalid file and names the invalid settings."""

    def read(self, text: str) -> CellEntrySettings:
        with TemporaryDirectory() as folder:
            path = Path(folder, 'settings.yaml')
            path.write_text(text)
            return CellEntrySettings.from_file(str(path))

    def test_unknown_settings_are_ignored(self) -> None:
        self.assertEqual('i1', self.read(SETTINGS).instance_id)

    def test_all_invalid_settings_are_named(self) -> None:
        text = SETTINGS.replace('127.0.0.1:80', 'here').replace(
            '127.0.0.1:83',
            'there',
        )
        error = self.assertRaises(CellSettingsError, self.read, text)
        self.assertIn('callers_address', str(error))
        self.assertIn('store_address', str(error))

    def test_missing_and_malformed(self) -> None:
        wrong_type = f'{SETTINGS}grace_s: soon\n'
        for text in ('', 'instance_id: [', wrong_type):
            self.assertRaises(CellSettingsError, self.read, text)

    def test_platform_that_allows_no_usable_lease_is_refused(self) -> None:
        text = f'{SETTINGS}longest_lease_ms: 1000\n'
        error = self.assertRaises(CellSettingsError, self.read, text)
        self.assertIn('longest_lease_ms', str(error))

    # Guards against tables that fill the link of a small instance for seconds,
    # and against one table after another on a large one.
    def test_tables_are_read_as_the_link_allows(self) -> None:
        counts = [
            self.read(f'{SETTINGS}link_mbps: {rate}\n').bounded_cell.open_scans
            for rate in (0.1, 2, 5, 10, 100, 1000)
        ]
        self.assertEqual([1, 1, 2, 4, 32, 32], counts)

    # Guards against an instance that does not start on a platform that names no
    # link for it.
    def test_link_that_is_not_known(self) -> None:
        for text in ('', 'link_mbps:\n', 'link_mbps: 0\n'):
            cell = self.read(f'{SETTINGS}{text}').bounded_cell
            self.assertEqual(32, cell.open_scans)

    # Guards against lists of workers that come too late, as all are under way.
    def test_lists_are_read_as_the_link_allows(self) -> None:
        counts = [
            self.read(f'{SETTINGS}link_mbps: {rate}\n').bounded_cell.open_lists
            for rate in (0.1, 2, 5, 100)
        ]
        self.assertEqual([1, 6, 15, 305], counts)

    # Guards against journal writes that fill the link of a small instance.
    def test_writes_are_as_large_as_the_link_allows(self) -> None:
        counts = [
            self.read(
                f'{SETTINGS}link_mbps: {rate}\n'
            ).bounded_cell.tasks_per_write
            for rate in (0.001, 2, 5, 100)
        ]
        self.assertEqual([1, 672, 1680, 8000], counts)

    def test_longer_leases_are_shortened(self) -> None:
        """An instance did not start where workers limit leases to 6 s."""
        settings = self.read(f'{SETTINGS}longest_lease_ms: 6000\n')
        self.assertLess(settings.bounded_cell.leases.lease_s, 6)


class TestBoundedLeases(TestCase):
    """Leases and calls are scaled to any lease that a platform allows."""

    @given(st.floats(min_value=1.5, max_value=120))
    def test_calls_fit_the_leases(self, longest_hold_s: float) -> None:
        settings = CellSettings().bounded(longest_hold_s)
        leases, holds = settings.leases, settings.holds
        call_s = holds.wait_s + holds.answer_slack_s
        self.assertLess(call_s + holds.pace_s, leases.silent_s)
        self.assertLess(leases.silent_s, leases.lease_s)
        # After a lost call there is time for another.
        self.assertLess(call_s + holds.retry_pause_s, leases.lease_s / 2)
        self.assertLess(leases.lease_s, leases.longest_s)

    @given(
        st.floats(min_value=1.5, max_value=120),
        st.floats(min_value=1, max_value=LeaseTimes().slowest_clock),
        st.floats(min_value=0, max_value=1),
    )
    def test_worker_with_slow_clock_takes_leases_whole(
        self,
        longest_hold_s: float,
        slowness: float,
        age: float,
    ) -> None:
        """A worker that shortens a lease ends it before the scheduler expects.

        ``slowness`` is the length of the worker's second in the scheduler's
        seconds, ``age`` the fraction of a lease since the clock was read.
        """
        leases = CellSettings().bounded(longest_hold_s).leases
        lease = WorkerLease(leases, 0)
        lease.record_answer(0, 0, 0)
        now = leases.lease_s * age
        deadline_ms = lease.deadline(now, now)
        worker_clock_ms = now / slowness * 1000
        self.assertLessEqual(
            deadline_ms - worker_clock_ms,
            longest_hold_s * 1000,
        )


class TestMetrics(TestCase):
    """Metrics are readable by the Prometheus client's parser."""

    def test_counter_and_histogram(self) -> None:
        metrics = CellMetrics()
        metrics.count('cell_run_placed')
        metrics.time('cell_request', 0.03)
        body = b''.join(metrics({}, lambda *answer: None)).decode()
        families = {
            family.name: family
            for family in text_string_to_metric_families(body)
        }
        self.assertIn('apricotlead_cell_run_placed', families)
        samples = families['apricotlead_cell_request_seconds'].samples
        counts = {
            sample.labels['le']: sample.value
            for sample in samples
            if sample.name.endswith('_bucket')
        }
        self.assertEqual(0, counts['0.02'])
        self.assertEqual(1, counts['0.05'])


class TestLogs(TestCase):
    """Log volume is bounded, and a slow reader never blocks the process."""

    def setUp(self) -> None:
        super().setUp()
        reader, writer = os.pipe()
        self.reader = reader
        os.set_blocking(writer, False)
        self.log = CellLog({'instance': 'i1'}, writer)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.addCleanup(self.log.close)

    def test_lines_of_one_kind_are_bounded(self) -> None:
        for number in range(1000):
            self.log.log('run placed', task=number)
        self.log.log('term begun', epoch=1)
        self.log.flush()
        lines = os.read(self.reader, 1 << 20).splitlines()
        self.assertEqual(301, len(lines))
        self.assertIn(b'term begun', lines[-1])

    def test_full_pipe_does_not_block(self) -> None:
        for kind in range(100):
            for _ in range(200):
                self.log.log(f'kind {kind}', filler='x' * 100)
        self.log.flush()
        written = os.read(self.reader, 1 << 20)
        # Readers that merge the logs of instances lost truncated lines.
        self.assertEqual(b'\n', written[-1:])


class TestExplain(TestCase):
    """A job's history is assembled in order from the logs of all instances."""

    def test_lines_of_a_job_in_order(self) -> None:
        lines = (
            '5 b {"message_type":"run placed","timestamp":3,"task":"%s.0.0.0"}',
            '{"message_type":"job submitted","timestamp":1,"job":"%s"}',
            '{"message_type":"term begun","timestamp":2,"epoch":4}',
            '{"message_type":"term begun","timestamp":9,"epoch":5}',
            '{"message_type":"run placed","timestamp":2,"task":"other.0.0.0"}',
            'not JSON',
        )
        with TemporaryDirectory() as folder:
            path = Path(folder, 'log')
            text = '\n'.join(lines).replace('%s', JOB)
            path.write_text(text)
            output = Commands().explain(JOB, str(path)).splitlines()
        kinds = [line.split()[1:3] for line in output]
        self.assertEqual(3, len(output))
        self.assertIn('submitted:', kinds[0])
        self.assertIn('begun:', kinds[1])
        self.assertIn('placed:', kinds[2])

    def test_unknown_job(self) -> None:
        self.assertIn('No line', Commands().explain(JOB))


class TestReload(TestCase):
    """SIGHUP terminates a Python process unless it is handled."""

    def test_hangup_calls_and_does_not_end_the_process(self) -> None:
        former = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, former)
        calls: list[str] = []
        on_hangup(lambda: calls.append('called'))
        os.kill(os.getpid(), signal.SIGHUP)
        for _ in range(100):
            pause(0)
        self.assertEqual(['called'], calls)
