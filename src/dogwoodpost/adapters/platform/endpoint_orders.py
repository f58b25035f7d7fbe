"""Client of the platform's interface that orders endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.adapters.platform.guarded_http_client import GuardedHttpClient
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import PlatformError
from dogwoodpost.ports.endpoint_orders import EndpointOrder
from dogwoodpost.ports.endpoint_orders import EndpointOrders
from dogwoodpost.ports.endpoint_orders import OrderedEndpoint

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.core import ids


class HttpEndpointOrders(EndpointOrders):
    """Orders endpoints over HTTP with JSON."""

    def __init__(
        self,
        base_url: str,
        *,
        timeout_s: float = 2.0,
        token: str | None = None,
    ) -> None:
        self._http = GuardedHttpClient(
            base_url, timeout_s=timeout_s, token=token
        )

    async def submit(
        self,
        order: EndpointOrder,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Submit an order."""
        await self._http.post('/v1/orders', order, before_send)

    async def list_endpoints(
        self, service: ids.ServiceName
    ) -> Sequence[OrderedEndpoint]:
        """Return the endpoints that were ordered and not yet stopped."""
        body = await self._http.get('/v1/endpoints', service=service)
        try:
            return decode_json(body, list[OrderedEndpoint])
        except MalformedDataError as error:
            raise PlatformError(f'malformed endpoint list: {error}') from error

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()
