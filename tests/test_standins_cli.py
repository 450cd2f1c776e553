"""Stand-in processes: ready lines, registration and leaving."""

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
    """Guards against stand-in processes that the daemon cannot discover."""

    def run_standin(self, *arguments):
        """Start a stand-in process; return its address once it is ready."""
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
        """Poll the instance list until ``condition`` holds for it by role."""
        deadline_s = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < deadline_s:
            listed = self.client.list_instances().instances
            if condition({each.role: each for each in listed}):
                return
            time.sleep(_POLL_INTERVAL_S)
        self.fail('the instance list does not show the expected state')

    def test_register_and_leave(self):
        """Guards against unlisted instances and unreported leaving."""
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
        pool.call(
            HttpCall('POST', worker, '/admin/leave', timeout_s=_TIMEOUT_S)
        )
        self.wait_for(lambda listed: listed['worker'].leaving)
