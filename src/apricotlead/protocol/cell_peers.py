"""What the entry instances of a cell say to one another."""

from typing import Any

from msgspec import Struct

from apricotlead.protocol.table import Transaction


class Backlog(Struct, frozen=True, omit_defaults=True):
    """How long the waiting work takes with the workers in use, in seconds.

    ``surplus_s`` is the work of jobs beyond their organisation's weight, which
    goes last; ``over_weight`` are the organisations whose next job would be
    such a one. ``load`` is the part of the workers that newly accepted jobs
    within the weights take. ``longest_by_queue`` tells how many times its
    estimate a job of a queue may well take.
    """

    wait_s_by_priority: dict[int, float] = {}
    surplus_s: float = 0
    over_weight: tuple[str, ...] = ()
    load: float = 0
    longest_by_queue: dict[str, float] = {}


class SchedulerStatus(Struct, frozen=True, omit_defaults=True):
    """What the scheduler tells its followers.

    ``store_lost`` asks the followers to take over, since the scheduler cannot
    reach the store; ``is_released`` does so after its last write, since it
    stops. ``pending_by_queue`` counts jobs that have not begun; it and
    ``backlog`` tell nothing until the scheduler has read all jobs
    (``is_loaded``). ``rank`` is the place of the follower that asked among the
    scheduler's deputies, ``None`` for one that is no deputy.
    """

    epoch: int = 0
    is_active: bool = False
    store_lost: bool = False
    is_released: bool = False
    pending_by_queue: dict[str, int] = {}
    backlog: Backlog = Backlog()
    rank: int | None = None
    is_loaded: bool = False


class FollowerCall(Struct, frozen=True, omit_defaults=True):
    """A follower waits for the scheduler's next word, up to ``hold_s``.

    ``cores`` is the processor of the instance, ``age_s`` the time since it
    started.
    """

    peer_address: str
    cores: float
    age_s: float = 0
    hold_s: float = 0


class JobNotice(Struct, frozen=True):
    """A row of the table of jobs that was just stored, with its version."""

    key: str
    version: int
    value: Any


class RelayedCall(Struct, frozen=True, omit_defaults=True):
    """A call to the store by way of another instance.

    Either a transaction, or the key of a row to read.
    """

    transaction: Transaction | None = None
    key: str = ''


class AdviceQuestion(Struct, frozen=True):
    """Ask an instance to ask for advice on a step."""

    step: str
    worker_ids: tuple[str, ...]
    timeout_s: float
