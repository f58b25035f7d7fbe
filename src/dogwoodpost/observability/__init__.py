"""Logs, counters and latency distributions."""

from __future__ import annotations

from dogwoodpost.observability.logs import configure_logs
from dogwoodpost.observability.metrics import Metrics

__all__ = ('Metrics', 'configure_logs')
