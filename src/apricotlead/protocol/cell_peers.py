"""Messages between the entry instances of a cell."""

from typing import Any

from msgspec import Struct

from apricotlead.protocol.table import Transaction


class Backlog(Struct, frozen=True, omit_defaults=True):
    """The time that the waiting work takes on the workers in use, in seconds.

    ``surplus_s`` is the work of jobs beyond their organisation's weight, which
    runs last; ``over_weight`` are the organisations whose next job would be
    beyond it. ``load`` is the fraction of the workers that newly accepted jobs
    within the weights use. ``longest_by_queue`` is a pessimistic ratio of
    actual to estimated duration for the jobs of each queue. ``held_s_by_queue``
    is how long the steps take that are held back because the work of their
    queue crashes workers.
    """

    wait_s_by_priority: dict[int, float] = {}
    surplus_s: float = 0
    over_weight: tuple[str, ...] = ()
    load: float = 0
    longest_by_queue: dict[str, float] = {}
    held_s_by_queue: dict[str, float] = {}


class SchedulerStatus(Struct, frozen=True, omit_defaults=True):
    """The scheduler's status, as sent to its followers.

    ``store_lost`` asks the followers to take over because the scheduler cannot
    reach the store; ``is_released`` does so after its last write because it is
    stopping. ``pending_by_queue`` counts jobs that have not started; it and
    ``backlog`` are meaningless until the scheduler has read all jobs
    (``is_loaded``). ``rank`` is the calling follower's rank among the
    scheduler's deputies, ``None`` if it is not a deputy.
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
    """A follower's long poll for the scheduler's status, up to ``hold_s``.

    ``cores`` is the instance's number of processor cores, ``age_s`` the time
    since it started.
    """

    peer_address: str
    cores: float
    age_s: float = 0
    hold_s: float = 0


class JobNotice(Struct, frozen=True):
    """A row of the jobs table that was just stored, with its version."""

    key: str
    version: int
    value: Any


class RelayedCall(Struct, frozen=True, omit_defaults=True):
    """A call to the store that is relayed by another instance.

    Either a transaction or the key of a row to read.
    """

    transaction: Transaction | None = None
    key: str = ''
    timeout_s: float = 0


class AdviceQuestion(Struct, frozen=True):
    """Asks an instance to call for advice on a step."""

    step: str
    worker_ids: tuple[str, ...]
    timeout_s: float
