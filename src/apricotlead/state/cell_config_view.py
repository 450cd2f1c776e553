"""The cell's configuration, indexed for request routing and scheduling."""

from apricotlead.protocol.cell_config import (
    CellConfig,
    OrganisationConfig,
    QueueConfig,
    ServiceConfig,
)


class CellConfigView:
    """One version of the configuration, with lookups by name, key and host.

    ``read_s`` is the time at which the read that confirmed this version was
    sent, so the version was in force at that time or later.
    """

    __slots__ = (
        '_queues_by_host',
        'config',
        'organisations_by_key',
        'organisations_by_name',
        'queues_by_name',
        'read_s',
        'services_by_name',
    )

    def __init__(self, config: CellConfig, read_s: float) -> None:
        """Build the lookups for ``config``."""
        self.config = config
        self.read_s = read_s
        self.queues_by_name: dict[str, QueueConfig] = {
            queue.name: queue for queue in config.queues
        }
        self.services_by_name: dict[str, ServiceConfig] = {
            service.name: service for service in config.services
        }
        self.organisations_by_name: dict[str, OrganisationConfig] = {
            organisation.name: organisation
            for organisation in config.organisations
        }
        self.organisations_by_key: dict[str, OrganisationConfig] = {
            key: organisation
            for organisation in config.organisations
            for key in organisation.keys
        }
        self._queues_by_host: dict[str, list[QueueConfig]] = {}
        longest_first = sorted(
            config.queues,
            key=lambda queue: -len(queue.path_prefix),
        )
        for queue in longest_first:
            host_queues = self._queues_by_host.setdefault(queue.host, [])
            host_queues.append(queue)

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.config.version

    def names_service(self, service: str) -> bool:
        """Tell whether the configuration has a service, or a queue of it."""
        return service in self.services_by_name or any(
            queue.service == service for queue in self.config.queues
        )

    def match_queue(self, host: str, path: str) -> QueueConfig | None:
        """Return the queue of ``host`` with the longest prefix of ``path``."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
