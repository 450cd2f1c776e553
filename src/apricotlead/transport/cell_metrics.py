"""Counters, gauges and latency histograms in the Prometheus text format."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

_PREFIX = 'apricotlead'
_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class CellMetrics:
    """The metrics of one process, served as a WSGI application."""

    __slots__ = (
        '_counters_by_name',
        '_gauges_by_name',
        '_histograms_by_name',
        '_registry',
    )

    def __init__(self) -> None:
        """Start without metrics; each is created on first use."""
        self._registry = CollectorRegistry()
        self._counters_by_name: dict[str, Counter] = {}
        self._gauges_by_name: dict[str, Gauge] = {}
        self._histograms_by_name: dict[str, Histogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        counter = self._counters_by_name.get(name)
        if counter is None:
            counter = Counter(
                f'{_PREFIX}_{name}',
                name,
                registry=self._registry,
            )
            self._counters_by_name[name] = counter
        counter.inc(amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauge(name, ()).set(value)

    def set_gauge_by_reason(
        self, name: str, values_by_reason: Mapping[str, float]
    ) -> None:
        """Set a gauge with a label ``reason``; other reasons disappear."""
        gauge = self._gauge(name, ('reason',))
        gauge.clear()
        for reason, value in values_by_reason.items():
            gauge.labels(reason).set(value)

    def drop_gauges(self) -> None:
        """Remove all gauges, whose values nothing updates any more."""
        for gauge in self._gauges_by_name.values():
            self._registry.unregister(gauge)
        self._gauges_by_name.clear()

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

    def _gauge(self, name: str, labels: tuple[str, ...]) -> Gauge:
        gauge = self._gauges_by_name.get(name)
        if gauge is None:
            gauge = Gauge(
                f'{_PREFIX}_{name}',
                name,
                labels,
                registry=self._registry,
            )
            self._gauges_by_name[name] = gauge
        return gauge

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
