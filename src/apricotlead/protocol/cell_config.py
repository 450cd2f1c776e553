"""The configuration of the cell as operators write it."""

from msgspec import Struct

from apricotlead.protocol.resources import Resources


class AdvicePolicy(Struct, frozen=True):
    """Cost of asking which workers may run a step, and for how long it holds.

    A call takes ``decision_ms`` plus ``each_ms`` for each worker named.
    """

    decision_ms: float
    each_ms: float
    valid_ms: float


class QueueConfig(Struct, frozen=True):
    """A queue: where jobs are submitted, and its policy.

    ``priority`` 0 comes first. The objective of a job is ``stretch`` times
    its longest chain of work plus ``aim_ms``.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    aim_ms: float = 0
    is_open: bool = False
    advice: AdvicePolicy | None = None


class OrganisationConfig(Struct, frozen=True):
    """An organisation: its keys, its weight, and its limit (0: none)."""

    name: str
    keys: tuple[str, ...]
    weight: float = 1.0
    limit: Resources = Resources()


class ServiceConfig(Struct, frozen=True):
    """A service; ``guards_capacity`` tells that its workers check for room."""

    name: str
    guards_capacity: bool = False
    spare: bool = False


class CellConfig(Struct, frozen=True):
    """One version of the configuration, in full."""

    version: int
    queues: tuple[QueueConfig, ...]
    organisations: tuple[OrganisationConfig, ...]
    services: tuple[ServiceConfig, ...] = ()
    max_body_bytes: int = 262144
