"""Starts a small cell of processes on loopback, for the demo and the tests."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3
import yaml

from apricotlead.state.config_view import hash_key

OPERATOR_KEY = 'operator-key'
_LOOPBACK = '127.0.0.1:0'
# A graceful stop may wait for the store for up to ``drain_s`` of the settings.
_STOP_WAIT_S = 40
_REPORTED_LINES = 30
_HTTP = urllib3.PoolManager(
    maxsize=64,
    retries=False,
    timeout=urllib3.Timeout(total=15),
)


@dataclass(slots=True)
class Node:
    """A started process and the addresses that it printed when ready."""

    name: str
    process: subprocess.Popen[str]
    ready: dict[str, str]

    @property
    def address(self) -> str:
        """Return ``IP:port`` of the HTTP server of the process."""
        return self.ready['address']

    def pause(self) -> None:
        """Freeze the process."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a frozen process."""
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def terminate(self) -> int:
        """Request a graceful stop; return the exit code."""
        self.process.terminate()
        return self.process.wait(_STOP_WAIT_S)


@dataclass(slots=True)
class Answer:
    """An HTTP response; ``body`` is decoded if it is JSON, else bytes."""

    status: int
    headers: dict[str, str]
    body: Any


def call(
    address: str,
    path: str,
    body: Any = None,
    method: str | None = None,
    **headers: str,
) -> Answer:
    """Send one request; underscores in header names become hyphens."""
    sent_headers = {
        name.replace('_', '-'): text for name, text in headers.items()
    }
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    response = _HTTP.request(
        method or ('GET' if body is None else 'POST'),
        f'http://{address}{path}',
        body=data,
        headers=sent_headers,
    )
    try:
        decoded = json.loads(response.data)
    except ValueError:
        decoded = response.data
    return Answer(response.status, dict(response.headers), decoded)


@dataclass(slots=True)
class Cell:
    """A platform, executors, workers and entry instances on loopback."""

    nodes_by_name: dict[str, Node] = field(default_factory=dict)
    _directory: Any = field(
        default_factory=lambda: tempfile.TemporaryDirectory(prefix='cell-'),
    )

    def __enter__(self) -> 'Cell':
        """Return the cell; leaving the context kills all its processes."""
        return self

    def __exit__(self, *exception: object) -> None:
        """Kill all processes."""
        self.close()

    def close(self) -> None:
        """Kill all processes of this cell and delete its files."""
        for node in self.nodes_by_name.values():
            if node.process.poll() is None:
                node.kill()
            node.process.stdout.close()
        self._directory.cleanup()

    def node(self, name: str) -> Node:
        """Return a node by name."""
        return self.nodes_by_name[name]

    def start_platform(self, **options: Any) -> Node:
        """Start the stand-in of the platform."""
        return self._standin('platform', 'platform', **options)

    def start_executor(
        self,
        name: str,
        datacentre: str,
        service: str,
        **options: Any,
    ) -> Node:
        """Start the stand-in of an executor."""
        return self._standin(
            name,
            'executor',
            platform=self.node('platform').address,
            instance_id=name,
            datacentre=datacentre,
            service=service,
            **options,
        )

    def start_worker(self, name: str, datacentre: str, **options: Any) -> Node:
        """Start the stand-in of a worker."""
        return self._standin(
            name,
            'worker',
            platform=self.node('platform').address,
            instance_id=name,
            datacentre=datacentre,
            **options,
        )

    def start_entry(
        self,
        name: str,
        datacentre: str,
        **sections: Any,
    ) -> Node:
        """Start an entry instance; ``sections`` are added to its settings."""
        settings = {
            'instance_id': name,
            'datacentre': datacentre,
            'http_address': _LOOPBACK,
            'peer_address': _LOOPBACK,
            'platform_address': self.node('platform').address,
            'operator_key_digest': hash_key(OPERATOR_KEY),
            'log_file': str(self._path(f'{name}.log')),
            **sections,
        }
        path = self._path(f'{name}.yaml')
        path.write_text(yaml.safe_dump(settings))
        return self._start(
            name,
            ['-m', 'apricotlead', 'entry', '--settings', str(path)],
        )

    def log_of(self, name: str) -> str:
        """Return the log of an entry instance."""
        return self._path(f'{name}.log').read_text()

    def report_of(self, name: str) -> str:
        """Return the exit code of a process and its last error and log lines.

        The exit code is ``None`` while the process runs.
        """
        exit_code = self.node(name).process.poll()
        parts = [f'exit code: {exit_code}']
        for ending in ('err', 'log'):
            path = self._path(f'{name}.{ending}')
            if path.exists():
                lines = path.read_text().splitlines()
                parts.extend(lines[-_REPORTED_LINES:])
        return '\n'.join(parts)

    def change_config(self, entry: Node, **change: Any) -> Answer:
        """Make one configuration change, based on the current version."""
        version = call(
            entry.address,
            '/v1/config',
            X_Apricotlead_Operator_Key=OPERATOR_KEY,
        ).body['version']
        return call(
            entry.address,
            '/v1/config',
            {'base_version': version, 'change': change},
            X_Apricotlead_Operator_Key=OPERATOR_KEY,
        )

    def _path(self, name: str) -> Path:
        return Path(self._directory.name) / name

    def _standin(self, name: str, kind: str, **options: Any) -> Node:
        arguments = ['-m', 'apricotlead_standins', kind, '--port', '0']
        for option, setting in options.items():
            arguments.extend((f'--{option}', str(setting)))
        return self._start(name, arguments)

    def _start(self, name: str, arguments: list[str]) -> Node:
        with self._path(f'{name}.err').open('a') as errors:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=subprocess.PIPE,
                stderr=errors,
                text=True,
                env={**os.environ, 'EVENTLET_NO_GREENDNS': 'yes'},
            )
        line = process.stdout.readline()
        if not line:
            raise RuntimeError(self._path(f'{name}.err').read_text())
        node = Node(name, process, json.loads(line))
        self.nodes_by_name[name] = node
        return node
