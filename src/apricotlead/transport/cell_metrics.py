"""Counters and latency histograms in the Prometheus text format."""

from collections.abc import Callable, Iterable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.exposition import generate_latest

_PREFIX = 'apricotlead'
_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class CellMetrics:
    """The metrics of one process, served as a WSGI application."""

    __slots__ = ('_counters_by_name', '_histograms_by_name', '_registry')

    def __init__(self) -> None:
        """Start without metrics; each is created on first use."""
        self._registry = CollectorRegistry()
        self._counters_by_name: dict[str, Counter] = {}
        self._histograms_by_name: dict[str, Histogram] = {}

    def count(self, name: str) -> None:
        """Increment a counter."""
        counter = self._counters_by_name.get(name)
        if counter is None:
            counter = Counter(
                f'{_PREFIX}_{name}',
                name,
                registry=self._registry,
            )
            self._counters_by_name[name] = counter
        counter.inc()

    def time(self, name: str, duration_s: float) -> None:
        """Record a duration in a histogram."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = Histogram(
                f'{_PREFIX}_{name}_seconds',
                name,
                buckets=_BUCKETS_S,
                registry=self._registry,
            )
            self._histograms_by_name[name] = histogram
        histogram.observe(duration_s)

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve all metrics (WSGI)."""
        body = generate_latest(self._registry)
        headers = [
            ('Content-Type', 'text/plain; version=0.0.4'),
            ('Content-Length', str(len(body))),
        ]
        start_response('200 OK', headers)
        return (body,)
