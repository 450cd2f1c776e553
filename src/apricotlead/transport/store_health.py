"""Availability and response times of the store for this instance."""

from apricotlead.state.answer_time import AdaptiveTimeout
from apricotlead.transport.boot_clock import boot_now

_MS_PER_S = 1000.0
# A healthy store answers a write in 20 ms, and one that is 60 times slower than
# usual in 300 ms.
_MIN_WRITE_TIMEOUT_S = 0.25
_MAX_WRITE_TIMEOUT_S = 1.0
# A healthy store answers a read in 20 ms, also to another zone in 0.1 s.
_MIN_READ_DELAY_S = 0.25
_MAX_READ_DELAY_S = 1.0
_LOST_AFTER_S = 1.3
# The rates count the calls of a second, so a store that is busy for all
# instances answers some calls of each within that time.
_REFUSED_AFTER_S = 1.2


class StoreHealth:
    """Tracks the outcome of store calls; times are local seconds.

    ``read_delay`` is how long a read waits for an answer before an extra try.
    """

    __slots__ = (
        '_answered_s',
        '_busy_since_s',
        '_failed_since_s',
        '_lost_after_s',
        '_store_base',
        'read_delay',
        'write_timeout',
    )

    def __init__(self, lost_after_s: float = _LOST_AFTER_S) -> None:
        """Start as healthy; the store is lost after failing that long."""
        self._lost_after_s = lost_after_s
        self._failed_since_s: float | None = None
        self._busy_since_s: float | None = None
        self._answered_s = float('-inf')
        self._store_base = (0.0, 0.0)
        self.read_delay = AdaptiveTimeout(_MIN_READ_DELAY_S, _MAX_READ_DELAY_S)
        self.write_timeout = AdaptiveTimeout(
            _MIN_WRITE_TIMEOUT_S, _MAX_WRITE_TIMEOUT_S
        )

    def record_answer(self, store_ms: float = 0) -> None:
        """Record an answer, and the store's clock if it was included."""
        now = boot_now()
        self._failed_since_s = None
        self._busy_since_s = None
        self._answered_s = now
        if store_ms:
            self._store_base = (now, store_ms)

    def record_failure(self, sent_s: float) -> None:
        """Record that a call sent at ``sent_s`` got no answer.

        A call that was sent later may have been answered before this one ended.
        """
        if self._failed_since_s is None and sent_s >= self._answered_s:
            self._failed_since_s = sent_s

    def record_busy(self, sent_s: float) -> None:
        """Record that a call sent at ``sent_s`` was refused as one too many.

        This is no failure: it says nothing about the path to the store.
        """
        if self._busy_since_s is None:
            self._busy_since_s = max(sent_s, self._answered_s)

    def should_relay(self) -> bool:
        """Return whether peers may reach the store better.

        The store may also refuse a single instance as if it were busy.
        """
        since_s = self._busy_since_s
        return self.is_failing() or (
            since_s is not None and boot_now() - since_s > _REFUSED_AFTER_S
        )

    def is_failing(self) -> bool:
        """Return whether the last call got no answer."""
        return self._failed_since_s is not None

    def lost_in_s(self) -> float:
        """Return in how many seconds the store is lost without an answer."""
        if self._failed_since_s is None:
            return self._lost_after_s
        return max(0, self._failed_since_s + self._lost_after_s - boot_now())

    def is_lost(self) -> bool:
        """Return whether the store has not answered for too long."""
        return self.is_failing() and not self.lost_in_s()

    def store_ms(self) -> float:
        """Return the estimated clock of the store, in milliseconds."""
        base_s, base_ms = self._store_base
        return base_ms + (boot_now() - base_s) * _MS_PER_S
