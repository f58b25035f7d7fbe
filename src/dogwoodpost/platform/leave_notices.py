"""Response headers by which endpoints announce that they will stop."""

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
_LEAVING_VALUE = '1'
_STATUS_MISDIRECTED = 421


class LeaveNotices:
    """Marks endpoints as leaving when their responses announce it.

    The header works without the store, and arrives before the endpoint's
    entry in service discovery changes.
    """

    def __init__(self, registry: EndpointRegistry, clock: Clock) -> None:
        self._registry = registry
        self._clock = clock

    def handle_response(
        self, endpoint: Endpoint, response: aiohttp.ClientResponse
    ) -> None:
        """Check the headers of a response for an announcement.

        :param endpoint: the endpoint that the call was meant for.
        """
        values = response.headers.getall(header_names.LEAVING, [])
        if _LEAVING_VALUE not in values:
            return
        senders = [endpoint]
        if response.status == _STATUS_MISDIRECTED:
            # Another endpoint now uses the address and announces its own stop.
            senders = [
                registered
                for registered in self._registry.at_address(endpoint.address)
                if registered.endpoint_id != endpoint.endpoint_id
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
