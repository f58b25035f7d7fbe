"""Stand-in for the platform's API that starts and stops endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from dogwoodpost.core import ids
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformOutcomeUnknownError
from dogwoodpost.ports.endpoint_orders import EndpointOrder
from dogwoodpost.ports.endpoint_orders import EndpointOrders
from dogwoodpost.ports.endpoint_orders import OrderAction
from dogwoodpost.ports.endpoint_orders import OrderedEndpoint
from dogwoodpost.standins.lost_response import drop_connection

if TYPE_CHECKING:
    from collections.abc import Callable


class OrderRefusedError(Exception):
    """The platform refused an order."""


class EndpointOrdersState:
    """Endpoints that the platform runs, with faults that a test can set.

    While ``is_down`` is set, no order is accepted and no endpoint listed.
    ``refused_count`` is the number of next orders that are refused,
    ``lost_response_count`` the number of next orders that take effect
    without a response. An availability zone in ``lost_zones`` has no
    endpoints, and orders to start one there are refused. Order ids are not
    deduplicated: a repeated order takes effect again, so that tests detect
    repeats that a platform without deduplication would carry out.

    :param clock_s: returns the current time in seconds.
    :param start_up_s: seconds from an order until its endpoint runs.
    """

    def __init__(
        self, clock_s: Callable[[], float], *, start_up_s: float = 0.0
    ) -> None:
        self._clock_s = clock_s
        self.start_up_s = start_up_s
        self.is_down = False
        self.refused_count = 0
        self.lost_response_count = 0
        self.lost_zones: set[ids.AvailabilityZone] = set()
        self.received: list[EndpointOrder] = []
        self._endpoints: dict[ids.EndpointId, OrderedEndpoint] = {}
        self._running_at_s: dict[ids.EndpointId, float] = {}

    def apply(self, order: EndpointOrder) -> None:
        """Start or stop an endpoint.

        :raises OrderRefusedError: a fault is set, the zone is lost, or the
            endpoint to stop does not exist.
        """
        if self.refused_count > 0:
            self.refused_count -= 1
            raise OrderRefusedError('refused by a fault')
        if order.action is OrderAction.START:
            self._start(order)
        else:
            self._stop(order)
        self.received.append(order)

    def consume_lost_response(self) -> bool:
        """Use up one lost-response fault; return whether it applies."""
        if self.lost_response_count > 0:
            self.lost_response_count -= 1
            return True
        return False

    def endpoints(self, service: ids.ServiceName) -> list[OrderedEndpoint]:
        """Return the endpoints of a service that were not stopped."""
        now_s = self._clock_s()
        return [
            msgspec.structs.replace(
                endpoint,
                running=now_s >= self._running_at_s[endpoint.endpoint_id],
            )
            for endpoint in self._endpoints.values()
            if endpoint.service == service
        ]

    def lose_zone(self, zone: ids.AvailabilityZone) -> None:
        """Remove a zone's endpoints and refuse new ones there."""
        self.lost_zones.add(zone)
        for endpoint in list(self._endpoints.values()):
            if endpoint.availability_zone == zone:
                del self._endpoints[endpoint.endpoint_id]

    def _start(self, order: EndpointOrder) -> None:
        if order.availability_zone in self.lost_zones:
            raise OrderRefusedError('the zone is lost')
        number = len(self._running_at_s) + 1
        endpoint_id = ids.EndpointId(f'{order.service}-{number}')
        self._running_at_s[endpoint_id] = self._clock_s() + self.start_up_s
        self._endpoints[endpoint_id] = OrderedEndpoint(
            endpoint_id=endpoint_id,
            service=order.service,
            availability_zone=order.availability_zone,
            order_id=order.order_id,
            running=False,
        )

    def _stop(self, order: EndpointOrder) -> None:
        if order.endpoint_id not in self._endpoints:
            raise OrderRefusedError('no such endpoint')
        del self._endpoints[order.endpoint_id]


class DirectEndpointOrders(EndpointOrders):
    """Calls the endpoint orders directly, without a network."""

    def __init__(self, state: EndpointOrdersState) -> None:
        self._state = state

    async def connect(self) -> None:
        """Yield once, as opening a connection would; tests override this."""
        await asyncio.sleep(0)

    async def submit(
        self,
        order: EndpointOrder,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Submit an order."""
        await self.connect()
        if self._state.is_down:
            raise PlatformError('the endpoint order service is down')
        if before_send is not None:
            before_send()
        try:
            self._state.apply(order)
        except OrderRefusedError as error:
            raise PlatformError(str(error)) from error
        await asyncio.sleep(0)
        if self._state.consume_lost_response():
            raise PlatformOutcomeUnknownError(
                'the response to the order was lost'
            )

    async def list_endpoints(
        self, service: ids.ServiceName
    ) -> list[OrderedEndpoint]:
        """Return the endpoints that were ordered and not yet stopped."""
        await asyncio.sleep(0)
        if self._state.is_down:
            raise PlatformError('the endpoint order service is down')
        return self._state.endpoints(service)


def create_app(state: EndpointOrdersState) -> web.Application:
    """Return an application that serves the orders over HTTP."""

    async def submit_order(request: web.Request) -> web.Response:
        if state.is_down:
            return drop_connection(request)
        try:
            order = msgspec.json.decode(
                await request.read(), type=EndpointOrder
            )
            state.apply(order)
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        except OrderRefusedError as error:
            raise web.HTTPConflict(text=str(error)) from error
        if state.consume_lost_response():
            return drop_connection(request)
        return web.Response(status=202)

    async def list_endpoints(request: web.Request) -> web.Response:
        if state.is_down:
            return drop_connection(request)
        service = ids.ServiceName(request.query['service'])
        return web.Response(
            body=msgspec.json.encode(state.endpoints(service)),
            content_type='application/json',
        )

    app = web.Application()
    app.router.add_post('/v1/orders', submit_order)
    app.router.add_get('/v1/endpoints', list_endpoints)
    return app
