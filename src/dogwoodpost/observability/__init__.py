"""Logs, counters and latency distributions."""

from __future__ import annotations

from dogwoodpost.observability.log_buffer import LogBuffer
from dogwoodpost.observability.logs import configure_buffered_logs
from dogwoodpost.observability.logs import configure_logs
from dogwoodpost.observability.metrics import Metrics

__all__ = (
    'LogBuffer',
    'Metrics',
    'configure_buffered_logs',
    'configure_logs',
)
