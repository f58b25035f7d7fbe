"""Logs and counts what this process comes to believe of endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.cold_starts import DoubtReason
    from dogwoodpost.core.routing import AttemptResult
    from dogwoodpost.core.routing import Health
    from dogwoodpost.observability import Metrics

_log = structlog.get_logger(__name__)


class EndpointNotices:
    """Listener for changes of health and for doubts about cold starts."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def note_health(
        self,
        endpoint_id: ids.EndpointId,
        health: Health,
        result: AttemptResult,
    ) -> None:
        """Record that an endpoint was ejected or is used again."""
        self._metrics.events.labels(f'endpoint_{health.value}').inc()
        _log.info(
            'endpoint_health',
            endpoint=endpoint_id,
            health=health.value,
            failed=result.failed,
            timed_out=result.timed_out,
        )

    def note_doubt(
        self,
        endpoint_id: ids.EndpointId,
        reason: DoubtReason,
        *,
        can_be_cold: bool,
    ) -> None:
        """Record that an endpoint may have restarted.

        :param can_be_cold: whether this limits what the endpoint gets; other
            doubts are counted but not logged.
        """
        self._metrics.events.labels(f'endpoint_doubt_{reason.value}').inc()
        if can_be_cold:
            _log.info(
                'endpoint_may_be_cold',
                endpoint=endpoint_id,
                reason=reason.value,
            )
