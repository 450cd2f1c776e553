"""Defines the size of a simulated cell and the jobs submitted to it."""

from math import log
from random import Random

from msgspec import Struct

from apricotlead.protocol.cell_config import (
    AdvicePolicy,
    CellConfig,
    OrganisationConfig,
    QueueConfig,
)
from apricotlead.protocol.resources import Resources

MS_PER_S = 1000.0
SERVICE = 'transcripts'
MAX_ATTEMPTS = 4
# Above the traffic of every shape.
_WEIGHT_JOBS_PER_S = 50.0


class Spread(Struct, frozen=True):
    """A log-normal distribution, cut off at ``most``.

    ``sigma`` is the standard deviation of the logarithm.
    """

    mean: float
    sigma: float
    most: float

    def draw(self, random: Random) -> float:
        """Draw a value of at least 1."""
        mu = log(self.mean) - self.sigma**2 / 2
        return max(1, min(self.most, random.lognormvariate(mu, self.sigma)))


class JobKind(Struct, frozen=True):
    """Describes the jobs of one queue; values are drawn evenly from ranges.

    ``permitted_share`` is the share of workers that may run a step, where ``advice`` has
    to be asked. ``gang_share`` and ``apart_share`` are the probabilities that
    a step is a gang, and that each of its tasks needs a worker of its own.
    """

    name: str
    per_s: float
    tasks: tuple[int, int] | Spread
    cpu_millis: tuple[int, int] | Spread
    memory_mb: tuple[int, int] | Spread
    work_s: tuple[float, float]
    priority: int = 0
    gang: bool = False
    steps: int = 1
    max_tasks_per_worker: int = 0
    gang_share: float = 0.0
    apart_share: float = 0.0
    # Whether the steps run all at once instead of one after another.
    in_parallel: bool = False
    is_long_running: bool = False
    # The probability that the first task of a job crashes each worker.
    deadly_share: float = 0.0
    # How long such a task runs before the crash.
    deadly_after_s: float = 0.01
    # So many runs of each gang end ``failed`` in all members at once.
    failing_runs: int = 0
    label: str = ''
    same_rack: bool = False
    stretch: float = 2.2
    aim_s: float = 1.0
    permitted_share: float = 1.0
    advice: AdvicePolicy | None = None

    def queue(self) -> QueueConfig:
        """Return the configuration of the queue."""
        return QueueConfig(
            self.name,
            'host',
            f'/{self.name}/',
            SERVICE,
            self.priority,
            max_attempts=MAX_ATTEMPTS,
            stretch=self.stretch,
            aim_ms=self.aim_s * MS_PER_S,
            advice=self.advice,
        )


class CellShape(Struct, frozen=True):
    """Describes a cell and its traffic, which lasts for ``duration_s``."""

    kinds: tuple[JobKind, ...]
    workers: int = 12
    racks: int = 3
    capacity: Resources = Resources(16000, 32768)
    # The range of the workers' clock rates.
    clock_rates: tuple[float, float] = (0.98, 1.02)
    askers: int = 5
    organisations: int = 3
    limit: Resources = Resources()
    # Replaces ``limit`` for all organisations halfway through the traffic.
    later_limit: Resources | None = None
    duration_s: float = 20.0
    # The probability that a job is cancelled soon.
    cancelled_share: float = 0.04

    def config(self, limit: Resources | None = None) -> CellConfig:
        """Return the cell's configuration, with ``limit`` instead if given."""
        limit = limit or self.limit
        names = (f'org{number}' for number in range(self.organisations))
        return CellConfig(
            1,
            tuple(kind.queue() for kind in self.kinds),
            tuple(
                OrganisationConfig(name, (name,), _WEIGHT_JOBS_PER_S, limit)
                for name in names
            ),
        )
