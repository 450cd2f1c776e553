"""Daemon processes of a cell, with models of the platform."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from itertools import permutations
from pathlib import Path
from tempfile import TemporaryDirectory

import urllib3
import yaml
from demo.stenora import wait_until
from testtools import TestCase
from testtools.content import text_content

from tests.platform.standin import StoreDoor, StoreModel, WorkerModel

CONFIG = {
    'Version': 3,
    'Routes': [
        {
            'Name': 'lookups',
            'Host': 'a.example',
            'PathPrefix': '/lookups/',
            'Service': 'transcripts',
            'Priority': 0,
            'MaxAttempts': 3,
            'Stretch': 9.0,
            'TargetDurationMs': 60000,
        },
    ],
    'Services': [{'Name': 'transcripts', 'EnforcesCapacity': False}],
    'Tenants': [
        {
            'Name': 'clerks',
            'ApiKeys': ['key'],
            'Weight': 100,
            'MaxCount': {'Cpu': 0, 'MemMb': 0, 'Gpu': 0},
        },
    ],
}
RUN_S = '0.4'
ATTACHED_LOG_LINES = 40
JOB_ID_LENGTH = 16


class Instance:
    """One process of the daemon."""

    def __init__(self, name, folder, store_address):
        """Start the process with its own settings file."""
        self.name = name
        self._ports = [_free_port() for _ in range(3)]
        settings = {
            'instance_id': name,
            'data_centre': 'north',
            'callers_address': f'127.0.0.1:{self._ports[0]}',
            'ready_address': f'127.0.0.1:{self._ports[1]}',
            'peer_address': f'127.0.0.1:{self._ports[2]}',
            'store_address': store_address,
        }
        path = Path(folder, f'{name}.yaml')
        path.write_text(yaml.safe_dump(settings))
        self.log_path = Path(folder, f'{name}.log')
        with self.log_path.open('wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'apricotlead.cell_entry'],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'APRICOTLEAD_CONFIG': str(path),
                    'EVENTLET_NO_GREENDNS': 'yes',
                },
            )

    def is_ready(self):
        """Return whether the readiness probe succeeds."""
        try:
            return self.call('GET', '/api/ready', port=1).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def call(self, method, path, body=None, port=0):
        """Send a caller's request."""
        return urllib3.PoolManager(retries=False, timeout=4).request(
            method,
            f'http://127.0.0.1:{self._ports[port]}{path}',
            body=None if body is None else json.dumps(body).encode(),
            headers={'Host': 'a.example', 'Api-Key': 'key'},
        )

    def end(self, signal_number):
        """Send a signal that ends the process; return its exit code."""
        self.process.send_signal(signal_number)
        return self.process.wait(10)


class CellProcesses(TestCase):
    """A store, two workers and three instances."""

    def setUp(self):
        """Start the models and the instances; wait for a scheduler."""
        super().setUp()
        self.addOnException(self.attach_logs)
        folder = TemporaryDirectory(prefix='cell-')
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store = StoreModel()
        self.addCleanup(self.store.close)
        self.workers = [WorkerModel(f'w{i}', self.store) for i in range(2)]
        for worker in self.workers:
            self.addCleanup(worker.close)
        self.store.put('op', 'config', CONFIG)
        self.instances = []
        self.started = []
        for _ in range(3):
            self.start_instance()
        wait_until(lambda: all(each.is_ready() for each in self.instances))
        wait_until(self.scheduler)

    def start_instance(self, store_address=''):
        """Start another instance."""
        name = f'i{len(self.started)}'
        address = store_address or self.store.address
        instance = Instance(name, self.folder, address)
        self.addCleanup(_kill, instance.process)
        self.started.append(instance)
        self.instances.append(instance)

    def attach_logs(self, _exception):
        """Attach the last log lines of all instances to a failure."""
        for instance in self.started:
            lines = instance.log_path.read_text().splitlines()
            last = '\n'.join(lines[-ATTACHED_LOG_LINES:])
            self.addDetail(instance.name, text_content(last))

    def scheduler(self):
        """Return the elected scheduler, ``None`` if there is none."""
        owner = self.store.value('owner', 'cell', 'scheduler')
        named = [
            instance
            for instance in self.instances
            if owner is not None and instance.name == owner['instance_id']
        ]
        return named[0] if named else None

    def submit(self, count, first=0):
        """Submit jobs to all instances in turn; return their paths."""
        body = {'Spec': RUN_S, 'Steps': [{'Count': 2, 'Cpu': 1000}]}
        paths = [path_of(first + number) for number in range(count)]
        for number, path in enumerate(paths):
            instance = self.instances[number % len(self.instances)]
            answer = instance.call('POST', path, body)
            self.assertEqual(200, answer.status, answer.data)
        return paths

    def state(self, path):
        """Return a job's state, as reported by an instance."""
        answer = self.instances[-1].call('GET', path)
        return json.loads(answer.data).get('State')

    def runs(self):
        """Return all runs of all workers."""
        return [run for worker in self.workers for run in worker.runs]

    def check_completed_once(self, paths):
        """Check that all jobs complete, and that no runs of a task overlap.

        No task may run again after an acknowledged end.
        """
        wait_until(
            lambda: all(self.state(path) == 'completed' for path in paths),
        )
        done = {run.task for run in self.runs() if run.end_kind == 'done'}
        self.assertEqual(set(), tasks_of(paths) - done)
        for one, other in permutations(self.runs(), 2):
            if one.task != other.task or other.started_s < one.started_s:
                continue
            self.assertLessEqual(one.ended_s, other.started_s, one.task)
            # Ends that are unacknowledged when the lease expires do not count.
            self.assertFalse(one.is_acknowledged, f'{one.task} ran again')


class TestCellProcesses(CellProcesses):
    """Accepted jobs complete exactly once in spite of process faults."""

    def test_no_faults(self):
        """Any instance accepts jobs, reports states and detects repeats."""
        paths = self.submit(9)
        self.submit(9)
        self.check_completed_once(paths)
        unknown = self.instances[0].call('GET', path_of(99))
        self.assertEqual(410, unknown.status)

    def test_scheduler_is_killed(self):
        """A successor takes over the running and the waiting tasks."""
        paths = self.submit(12)
        time.sleep(0.2)
        killed = self.scheduler()
        killed.end(signal.SIGKILL)
        self.instances.remove(killed)
        self.check_completed_once(paths + self.submit(4, first=100))

    def test_scheduler_is_paused_beyond_its_term(self):
        """Guards against harm by a former scheduler that resumes."""
        paths = self.submit(12)
        paused = self.scheduler()
        paused.process.send_signal(signal.SIGSTOP)
        self.instances.remove(paused)
        wait_until(lambda: self.scheduler() not in {None, paused})
        paths.extend(self.submit(6, first=100))
        paused.process.send_signal(signal.SIGCONT)
        self.check_completed_once(paths)

    def test_planned_stop_of_the_scheduler(self):
        """The process exits with 0, and the other instances take over."""
        paths = self.submit(6)
        stopped = self.scheduler()
        self.assertEqual(0, stopped.end(signal.SIGTERM))
        self.instances.remove(stopped)
        self.check_completed_once(paths + self.submit(6, first=100))

    def test_store_outage(self):
        """Submissions are refused, and accepted jobs complete afterwards."""
        paths = self.submit(6)
        self.store.is_down = True
        time.sleep(2)
        refused = self.instances[0].call(
            'POST',
            path_of(200),
            {'Spec': RUN_S, 'Steps': [{'Count': 1, 'Cpu': 1000}]},
        )
        self.assertEqual(503, refused.status)
        self.store.is_down = False
        self.check_completed_once(paths)
        never = self.instances[0].call('GET', path_of(200))
        self.assertEqual(410, never.status)


class TestTurnedAwayInstance(CellProcesses):
    """The store refuses a single instance, and serves the others."""

    # Guards against 503 to the callers of an instance whose configuration is
    # not confirmed for 4.5 s, though its peers reach the store.
    def test_callers_are_served_through_peers(self):
        door = StoreDoor(self.store)
        self.addCleanup(door.close)
        self.start_instance(door.address)
        turned_away = self.instances[-1]
        wait_until(turned_away.is_ready)
        path = self.submit(1)[0]
        wait_until(lambda: self.state(path) == 'completed')
        door.is_shut = True
        for _ in range(14):
            time.sleep(0.5)
            answer = turned_away.call('GET', path)
            self.assertEqual(200, answer.status, answer.data)


def path_of(number):
    """Return the path of a job."""
    job_id = hex(number).removeprefix('0x').rjust(JOB_ID_LENGTH, '0')
    return f'/lookups/{job_id}'


def tasks_of(paths):
    """Return the ids of the tasks of jobs with two tasks each."""
    return {
        '{}.0.0.{}'.format(path[-JOB_ID_LENGTH:], index)
        for path in paths
        for index in (0, 1)
    }


def _free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def _kill(process):
    if process.poll() is None:
        process.kill()
    process.wait()
