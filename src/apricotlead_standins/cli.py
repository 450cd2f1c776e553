"""Command line of the stand-ins."""

import sys
import time
import uuid
from typing import Any

import eventlet
import fire
import msgspec

from apricotlead_standins.executor import Executor, ExecutorSettings
from apricotlead_standins.platform import Platform, PlatformSettings
from apricotlead_standins.registration import Registrar
from apricotlead_standins.server import StandInServer
from apricotlead_standins.worker import Worker, WorkerSettings
from apricotlead_standins.worker_messages import Resources

_EXECUTOR_CONNECTIONS = 64


class _Options(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Options that executors and workers share."""

    instance_id: str = ''
    platform: str = ''
    datacentre: str = ''
    port: int = 0


class _ExecutorOptions(_Options, frozen=True, kw_only=True):
    service: str
    slots: int = 8
    queue_size: int = 4
    service_time_s: float = 0.01


class _WorkerOptions(_Options, frozen=True, kw_only=True):
    rack: str = ''
    cpu_millis: int = 16_000
    memory_mb: int = 32_768
    accelerators: int = 0
    clock_rate: float = 1
    usage_lag_s: float = 1


class Commands:
    """Stand-ins for the services that apricotlead talks to.

    Each prints one JSON line with its address once it accepts connections.
    """

    def platform(
        self,
        port: int = 0,
        writes_per_s: float = 400,
        reads_per_s: float = 2000,
        list_lag_s: float = 1,
        seed: int | None = None,
    ) -> None:
        """Run the table service, the object store and the instance list."""
        settings = PlatformSettings(writes_per_s, reads_per_s, list_lag_s)
        server = StandInServer(Platform(settings), port=port, seed=seed)
        _announce('platform', server)
        server.wait()

    def executor(self, **options: Any) -> None:
        """Run an executor.

        Options: --service NAME, --instance_id, --platform IP:PORT,
        --datacentre, --port, --slots, --queue_size, --service_time_s.
        """
        chosen = msgspec.convert(options, _ExecutorOptions)
        instance_id = chosen.instance_id or _generate_id('executor')
        settings = ExecutorSettings(
            instance_id,
            chosen.service,
            chosen.slots,
            chosen.queue_size,
            chosen.service_time_s,
            _generate_id('boot'),
        )
        instance = {
            'instance_id': instance_id,
            'role': 'executor',
            'service': chosen.service,
            'slots': chosen.slots,
        }
        _run(Executor(settings), chosen, instance, _EXECUTOR_CONNECTIONS)

    def worker(self, **options: Any) -> None:
        """Run a worker.

        Options: --instance_id, --platform IP:PORT, --datacentre, --rack,
        --port, --cpu_millis, --memory_mb, --accelerators, --clock_rate,
        --usage_lag_s.
        """
        chosen = msgspec.convert(options, _WorkerOptions)
        instance_id = chosen.instance_id or _generate_id('worker')
        capacity = Resources(
            chosen.cpu_millis,
            chosen.memory_mb,
            chosen.accelerators,
        )
        settings = WorkerSettings(
            instance_id,
            capacity,
            chosen.clock_rate,
            usage_lag_s=chosen.usage_lag_s,
        )
        instance = {
            'instance_id': instance_id,
            'role': 'worker',
            'rack': chosen.rack,
            'capacity': msgspec.to_builtins(capacity),
        }
        worker = Worker(settings, _generate_id('boot'), time.monotonic())
        _run(worker, chosen, instance)


def main() -> None:
    """Run the command given on the command line."""
    fire.Fire(Commands, name='apricotlead-standins')


def _run(
    standin: Executor | Worker,
    options: _Options,
    instance: dict[str, Any],
    max_connections: int = 1024,
) -> None:
    server = StandInServer(
        standin,
        port=options.port,
        max_connections=max_connections,
    )
    instance['address'] = server.address
    instance['datacentre'] = options.datacentre
    if options.platform:
        registrar = Registrar(
            options.platform,
            instance,
            standin.is_leaving,
            server.injector.is_silent,
        )
        eventlet.spawn(registrar.run)
    _announce(instance['instance_id'], server)
    server.wait()


def _announce(name: str, server: StandInServer) -> None:
    line = msgspec.json.encode(
        {'name': name, 'address': server.address}
    ).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _generate_id(prefix: str) -> str:
    unique = uuid.uuid4().hex[:12]
    return f'{prefix}-{unique}'
