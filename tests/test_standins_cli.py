"""The stand-ins as processes: ready lines, registration, leaving."""

import subprocess
import sys
import time

from msgspec.json import decode
from testtools import TestCase

from apricotlead.transport.http_pool import HttpCall, HttpPool
from apricotlead.transport.platform_client import PlatformClient

_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05


class TestStandInProcesses(TestCase):
    """Guards against processes that the daemon cannot find."""

    def run_standin(self, *arguments):
        """Start a process; return its address once it is ready."""
        process = subprocess.Popen(
            (sys.executable, '-m', 'apricotlead_standins', *arguments),
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.terminate)
        return decode(process.stdout.readline())['address']

    def wait_for(self, condition):
        """Look at the list again and again until ``condition`` holds."""
        deadline_s = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < deadline_s:
            listed = self.client.list_instances().instances
            if condition({each.role: each for each in listed}):
                return
            time.sleep(_POLL_INTERVAL_S)
        self.fail('the list does not show what was registered')

    def test_register_and_leave(self):
        """Guards against instances missing from the list, or never leaving."""
        platform = self.run_standin('platform', '--list-lag-s', '0.1')
        pool = HttpPool()
        self.client = PlatformClient(pool, platform, _TIMEOUT_S)
        location = ('--platform', platform, '--datacentre', 'marka')
        worker = self.run_standin('worker', *location, '--accelerators', '2')
        executor = self.run_standin('executor', *location, '--service', 'tally')
        self.wait_for(lambda found: set(found) == {'worker', 'executor'})
        found = {
            each.role: each for each in self.client.list_instances().instances
        }
        self.assertEqual(worker, found['worker'].address)
        self.assertEqual(2, found['worker'].capacity.accelerators)
        self.assertEqual(
            (executor, 'tally', 8, 'marka'),
            (
                found['executor'].address,
                found['executor'].service,
                found['executor'].slots,
                found['executor'].datacentre,
            ),
        )
        pool.call(HttpCall('POST', worker, '/admin/leave', timeout_s=_TIMEOUT_S))
        self.wait_for(lambda listed: listed['worker'].leaving)
