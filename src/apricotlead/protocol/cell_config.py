"""The cell's configuration as written by operators."""

from msgspec import Struct

from apricotlead.protocol.resources import Resources


class AdvicePolicy(Struct, frozen=True):
    """Latency of calls for placement advice, and the validity of an answer.

    A call asks which workers may run a step. It takes ``decision_ms`` plus
    ``each_ms`` for each worker named, and its answer is valid for ``valid_ms``.
    """

    decision_ms: float
    each_ms: float
    valid_ms: float


class QueueConfig(Struct, frozen=True):
    """A queue: the host and path for submissions, and its policy.

    ``priority`` 0 is the highest. The objective of a job's duration is
    ``stretch`` times its critical path plus ``aim_ms``.
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
    """An organisation: its keys, weight and resource limit (0: no limit)."""

    name: str
    keys: tuple[str, ...]
    weight: float = 1.0
    limit: Resources = Resources()


class ServiceConfig(Struct, frozen=True):
    """A service.

    With ``guards_capacity`` its workers check their free capacity themselves.
    """

    name: str
    guards_capacity: bool = False
    spare: bool = False


class CellConfig(Struct, frozen=True):
    """One version of the whole configuration."""

    version: int
    queues: tuple[QueueConfig, ...]
    organisations: tuple[OrganisationConfig, ...]
    services: tuple[ServiceConfig, ...] = ()
    max_body_bytes: int = 262144
