"""A read of one row that tries several paths until one of them answers."""

from collections.abc import Callable

import eventlet
from eventlet.queue import Empty, LightQueue

from apricotlead.protocol.table import Rows, StoreFailed
from apricotlead.transport.backoff import Backoff
from apricotlead.transport.boot_clock import boot_now
from apricotlead.transport.hedging import MIN_HEDGE_DELAY_S
from apricotlead.transport.read_paths import ReadPaths

# A healthy store answers in 20 ms.
_MIN_TRY_S = 0.05
_MAX_PENDING = 3
# The delay before an extra try is at most this share of the time that is left,
# so that a caller with a short wait gets one as well.
_MAX_DELAY_SHARE = 1 / 3
_DELAY_GROWTH = 1.5
# Likewise for the pause before a retry: a longer one could reach to the end.
_MAX_PAUSE_SHARE = 0.5
# In an outage, extra tries of all requests would multiply the calls to the
# store, which are limited for all instances together.
_MAX_EXTRA_TRIES = 32


class ExtraTries:
    """Limits how many extra tries an instance has open at a time."""

    __slots__ = ('_free',)

    def __init__(self, max_open: int = _MAX_EXTRA_TRIES) -> None:
        """Start without open tries."""
        self._free = max_open

    def begin(self) -> bool:
        """Return whether another try may begin, and count it."""
        if not self._free:
            return False
        self._free -= 1
        return True

    def end(self) -> None:
        """Record the end of a try."""
        self._free += 1


class HedgedRead:
    """Makes tries until one succeeds; a slow one is joined by another.

    ``call(path)`` makes a try. It has a time limit of its own, and continues
    in the background when the read is over.
    """

    __slots__ = (
        '_answers',
        '_backoff',
        '_call',
        '_delay_s',
        '_ends_s',
        '_extra_tries',
        '_failure',
        '_next_s',
        '_next_try',
        '_paths',
        '_pending_count',
        '_tried',
    )

    def __init__(
        self,
        call: Callable[[str], Rows | StoreFailed],
        paths: ReadPaths,
        ends_s: float,
        delay_s: float,
        extra_tries: ExtraTries,
    ) -> None:
        """Try ``paths`` until ``ends_s``.

        An extra try begins when the previous one has not been answered for
        ``delay_s``, each further one after a longer delay.
        """
        self._call = call
        self._paths = paths
        self._tried: set[str] = set()
        self._backoff = Backoff()
        # The path of the next try is chosen only when it is needed.
        self._next_try: tuple[str, float] | None = None
        self._next_s = boot_now()
        self._ends_s = ends_s
        self._delay_s = delay_s
        self._extra_tries = extra_tries
        self._answers: LightQueue = LightQueue()
        self._pending_count = 0
        self._failure: StoreFailed | None = None

    def run(self, should_stop: Callable[[], bool]) -> Rows | StoreFailed:
        """Return the first success, or the last failure.

        Before a path is used again, ``should_stop()`` tells whether to give up.
        """
        while not self._is_over(should_stop):
            self._begin_if_due()
            answer = self._next_answer()
            if isinstance(answer, Rows):
                return answer
            if answer is not None:
                self._plan_retry(answer)
        return self._failure or StoreFailed(None, reason='no answer in time')

    def _begin_if_due(self) -> None:
        """Begin the next try if it is due and may be answered in time."""
        now = boot_now()
        if now < self._next_s:
            return
        self._next_s = now + self._next_delay_s(now)
        is_extra = self._pending_count > 0
        if self._pending_count >= _MAX_PENDING or not self._has_time(now):
            return
        if is_extra and not self._extra_tries.begin():
            return
        self._pending_count += 1
        path, _ = self._upcoming_try()
        self._next_try = None
        eventlet.spawn_n(self._run_try, path, is_extra)

    def _upcoming_try(self) -> tuple[str, float]:
        """Return the path of the next try, and the pause before it."""
        if self._next_try is None:
            path = self._paths.next_path(self._failure)
            pause_s = self._backoff.next_s() if path in self._tried else 0
            self._next_try = (path, pause_s)
            self._tried.add(path)
        return self._next_try

    def _next_answer(self) -> Rows | StoreFailed | None:
        """Wait for an answer until the next try is due, or the end."""
        wait_s = min(self._next_s, self._ends_s) - boot_now()
        try:
            answer = self._answers.get(timeout=max(0, wait_s))
        except Empty:
            return None
        self._pending_count -= 1
        if isinstance(answer, Exception):
            raise answer
        return answer

    def _plan_retry(self, failure: StoreFailed) -> None:
        """Use the next path at once, or a path that failed after a pause."""
        self._failure = failure
        _, pause_s = self._upcoming_try()
        now = boot_now()
        retry_s = now + min(pause_s, (self._ends_s - now) * _MAX_PAUSE_SHARE)
        if self._pending_count:
            retry_s = min(retry_s, self._next_s)
        self._next_s = retry_s

    def _next_delay_s(self, now: float) -> float:
        left_s = self._ends_s - now
        delay_s = min(
            self._delay_s, max(MIN_HEDGE_DELAY_S, left_s * _MAX_DELAY_SHARE)
        )
        self._delay_s *= _DELAY_GROWTH
        return delay_s

    def _is_over(self, should_stop: Callable[[], bool]) -> bool:
        """Return whether no answer can be expected any more."""
        if boot_now() >= self._ends_s:
            return True
        if self._pending_count:
            return False
        if not self._has_time(self._next_s):
            return True
        is_repeated = self._failure is not None and self._upcoming_try()[1] > 0
        return is_repeated and should_stop()

    def _has_time(self, begins_s: float) -> bool:
        return begins_s + _MIN_TRY_S <= self._ends_s

    def _run_try(self, path: str, is_extra: bool) -> None:
        try:
            self._answers.put(self._call(path))
        except Exception as error:
            self._answers.put(error)
        finally:
            if is_extra:
                self._extra_tries.end()
