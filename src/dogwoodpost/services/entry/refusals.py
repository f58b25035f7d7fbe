"""Refusals that several parts share, and their count by reason."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from dogwoodpost.errors import MemoryExceededError
    from dogwoodpost.observability import Metrics

_NO_MEMORY_RETRY_AFTER_S = 1.0
_NO_STORE_RETRY_AFTER_S = 0.2


def count_refusal(metrics: Metrics, error: RequestError) -> None:
    """Count an error, unless an inner layer has already counted it."""
    if error.counted:
        return
    error.counted = True
    metrics.refusals.labels(error.code).inc()


def memory_refusal(error: MemoryExceededError) -> RequestError:
    """Return the refusal of a request for which there is no memory now."""
    return RequestError(
        'entry_overloaded',
        f'this process has no memory for the request: {error}',
        status=503,
        not_run=True,
        retry_after_s=_NO_MEMORY_RETRY_AFTER_S,
    )


def store_unavailable(reason: str) -> RequestError:
    """Return the refusal of a call that needs the store, which fails now."""
    return RequestError(
        'store_unavailable',
        reason,
        status=503,
        not_run=True,
        retry_after_s=_NO_STORE_RETRY_AFTER_S,
    )
