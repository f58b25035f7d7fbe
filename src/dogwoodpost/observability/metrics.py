"""Counters and latency distributions in the Prometheus text format."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import prometheus_client
from hdrh.histogram import HdrHistogram
from prometheus_client.core import SummaryMetricFamily

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from dogwoodpost.ports.clock import Clock

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            'requests', 'Requests by route and HTTP status.', 'route', 'status'
        )
        self.refusals = self._counter(
            'refusals', 'Refused requests by reason.', 'reason'
        )
        self.retries = self._counter(
            'retries', 'Retried attempts by reason.', 'reason'
        )
        self.discarded_samples = self._counter(
            'discarded_samples', 'Discarded samples by reason.', 'reason'
        )
        self.store_calls = self._counter(
            'store_calls',
            'Store calls by operation and result.',
            'operation',
            'result',
        )
        self.peer_messages = self._counter(
            'peer_messages', 'Messages between processes.', 'direction', 'type'
        )
        self.peer_bytes = self._counter(
            'peer_bytes', 'Bytes between processes.', 'direction'
        )
        self.events = self._counter('events', 'Rare events by name.', 'name')
        self._latencies: dict[str, HdrHistogram] = {}
        self.registry.register(self)

    def _counter(
        self, name: str, documentation: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f'dogwoodpost_{name}',
            documentation,
            labels,
            registry=self.registry,
        )

    def add_gauge(
        self, name: str, documentation: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read with each rendering."""
        gauge = prometheus_client.Gauge(
            f'dogwoodpost_{name}', documentation, registry=self.registry
        )
        gauge.set_function(read)

    def observe(self, operation: str, duration_s: float) -> None:
        """Record the duration of an operation in seconds."""
        histogram = self._latencies.get(operation)
        if histogram is None:
            histogram = HdrHistogram(
                _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
            )
            self._latencies[operation] = histogram
        duration_us = int(duration_s * 1e6)
        histogram.record_value(min(max(duration_us, 1), _MAX_LATENCY_US))

    @contextmanager
    def timed(self, operation: str, clock: Clock) -> Iterator[None]:
        """Record the duration of the block as one operation."""
        start_s = clock.monotonic_s()
        try:
            yield
        finally:
            self.observe(operation, clock.monotonic_s() - start_s)

    def percentile_s(self, operation: str, percentile: float) -> float:
        """Return a latency percentile in seconds, 0.0 if there is no data."""
        histogram = self._latencies.get(operation)
        if histogram is None:
            return 0.0
        value_us: int = histogram.get_value_at_percentile(percentile)
        return value_us / 1e6

    def collect(self) -> Iterable[prometheus_client.Metric]:
        """Yield latency percentiles, operation counts and total durations.

        prometheus_client calls this method for registered collectors.
        """
        percentiles = prometheus_client.core.GaugeMetricFamily(
            'dogwoodpost_latency_seconds',
            'Latency percentiles by operation.',
            labels=('operation', 'percentile'),
        )
        totals = SummaryMetricFamily(
            'dogwoodpost_operations',
            'Number and total duration of operations.',
            labels=('operation',),
        )
        for operation, histogram in self._latencies.items():
            for percentile in _PERCENTILES:
                value_s = self.percentile_s(operation, percentile)
                percentiles.add_metric((operation, str(percentile)), value_s)
            total_count = histogram.get_total_count()
            total_s = histogram.get_mean_value() * total_count / 1e6
            totals.add_metric(
                (operation,), count_value=total_count, sum_value=total_s
            )
        yield percentiles
        yield totals

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
