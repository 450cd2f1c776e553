"""What the entry instances of a cell say to one another."""

from msgspec import Struct


class SchedulerStatus(Struct, frozen=True, omit_defaults=True):
    """What the scheduler tells its followers.

    ``store_lost`` asks the followers to take over, since the scheduler cannot
    reach the store. ``pending_by_queue`` counts jobs that have not begun.
    """

    epoch: int = 0
    is_active: bool = False
    store_lost: bool = False
    pending_by_queue: dict[str, int] = {}


class AdviceQuestion(Struct, frozen=True):
    """Ask an instance to ask for advice on a step."""

    step: str
    worker_ids: tuple[str, ...]
    timeout_s: float
