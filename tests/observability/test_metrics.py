"""Metrics in the Prometheus text format."""

from __future__ import annotations

from dogwoodpost.observability import Metrics


def test_counters_and_percentiles_are_rendered() -> None:
    """Guards against counters and latencies missing from the output."""
    metrics = Metrics()
    metrics.refusals.labels('queue_full').inc()
    for duration_ms in range(1, 101):
        metrics.observe('request', duration_ms / 1000)
    text = metrics.render().decode()
    assert 'dogwoodpost_refusals_total{reason="queue_full"} 1.0' in text
    assert 'dogwoodpost_operations_count{operation="request"} 100.0' in text
    assert 0.098 <= metrics.percentile_s('request', 99.0) <= 0.1
