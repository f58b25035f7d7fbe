"""Forwards endpoint events to several listeners."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core import messages
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.core.routing.endpoint import EndpointListener


class EndpointListeners:
    """An ``EndpointListener`` that calls several listeners in order."""

    def __init__(self, *listeners: EndpointListener) -> None:
        self._listeners = listeners

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        """Add or replace an endpoint."""
        for listener in self._listeners:
            listener.upsert(endpoint, now_s)

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Remove an endpoint."""
        for listener in self._listeners:
            listener.remove(endpoint_id, now_s)

    def report_load(self, load: messages.EndpointLoad, now_s: float) -> None:
        """Forward a load report."""
        for listener in self._listeners:
            listener.report_load(load, now_s)

    def record_cache_events(
        self, events: messages.CacheEvents, now_s: float
    ) -> None:
        """Forward cache events."""
        for listener in self._listeners:
            listener.record_cache_events(events, now_s)
