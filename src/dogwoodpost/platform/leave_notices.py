"""Notices in endpoints' responses that they are about to stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from dogwoodpost.platform import header_names

if TYPE_CHECKING:
    import aiohttp

    from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.ports.clock import Clock

_log = structlog.get_logger(__name__)
_IS_LEAVING = '1'
_STATUS_MISDIRECTED = 421


class LeaveNotices:
    """Takes endpoints that say so in a response out of use.

    The notice needs no store, and comes before the entry tells it.
    """

    def __init__(self, registry: EndpointRegistry, clock: Clock) -> None:
        self._registry = registry
        self._clock = clock

    def handle_response(
        self, endpoint: Endpoint, response: aiohttp.ClientResponse
    ) -> None:
        """Read the head of a response to a call that named an endpoint."""
        values = response.headers.getall(header_names.LEAVING, [])
        if _IS_LEAVING not in values:
            return
        senders = [endpoint]
        if response.status == _STATUS_MISDIRECTED:
            # Another endpoint has the address by now, and speaks of itself.
            senders = [
                one
                for one in self._registry.at_address(endpoint.address)
                if one.endpoint_id != endpoint.endpoint_id
            ]
        now_s = self._clock.monotonic_s()
        for sender in senders:
            if self._registry.note_leaving(sender, now_s):
                _log.info(
                    'endpoint_leaving',
                    endpoint=sender.endpoint_id,
                    incarnation=sender.agent_incarnation,
                    status=response.status,
                )
