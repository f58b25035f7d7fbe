"""Counts refusals by their reason."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.errors import RequestError
    from dogwoodpost.observability import Metrics


def count_refusal(metrics: Metrics, error: RequestError) -> None:
    """Count an error, unless an inner layer has already counted it."""
    if error.counted:
        return
    error.counted = True
    metrics.refusals.labels(error.code).inc()
