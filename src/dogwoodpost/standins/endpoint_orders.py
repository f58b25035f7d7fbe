"""Stand-in of the platform's interface that orders endpoints."""

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
    """The platform refuses an order."""


class EndpointOrdersState:
    """Endpoints of the platform, with faults that a test may change.

    ``is_down`` takes and lists nothing. ``refused_count`` and
    ``lost_response_count`` are the numbers of coming orders that are refused
    or that take effect without an answer. A zone in ``lost_zones`` has no
    endpoints and starts none. A repeated order id takes effect again, so
    that tests see a repeat that a careless platform would carry out.
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
        """Carry out an order.

        :raises OrderRefusedError: the order is refused.
        """
        if self.refused_count > 0:
            self.refused_count -= 1
            raise OrderRefusedError('refused by a fault')
        if order.action is OrderAction.START:
            self._start(order)
        else:
            self._stop(order)
        self.received.append(order)

    def loses_response(self) -> bool:
        """Return whether the answer of the current order is lost."""
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
    """Reaches an order book without a network."""

    def __init__(self, book: EndpointOrdersState) -> None:
        self._book = book

    async def connect(self) -> None:
        """Wait as a connection set-up would; tests override this."""
        await asyncio.sleep(0)

    async def submit(
        self,
        order: EndpointOrder,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Submit an order."""
        await self.connect()
        if self._book.is_down:
            raise PlatformError('down')
        if before_send is not None:
            before_send()
        try:
            self._book.apply(order)
        except OrderRefusedError as error:
            raise PlatformError(str(error)) from error
        await asyncio.sleep(0)
        if self._book.loses_response():
            raise PlatformOutcomeUnknownError('the answer was lost')

    async def list_endpoints(
        self, service: ids.ServiceName
    ) -> list[OrderedEndpoint]:
        """Return the endpoints that were ordered and not yet stopped."""
        await asyncio.sleep(0)
        if self._book.is_down:
            raise PlatformError('down')
        return self._book.endpoints(service)


def create_app(book: EndpointOrdersState) -> web.Application:
    """Return an application that serves an order book over HTTP."""

    async def take_order(request: web.Request) -> web.Response:
        if book.is_down:
            return drop_connection(request)
        try:
            order = msgspec.json.decode(
                await request.read(), type=EndpointOrder
            )
            book.apply(order)
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        except OrderRefusedError as error:
            raise web.HTTPConflict(text=str(error)) from error
        if book.loses_response():
            return drop_connection(request)
        return web.Response(status=202)

    async def list_endpoints(request: web.Request) -> web.Response:
        if book.is_down:
            return drop_connection(request)
        service = ids.ServiceName(request.query['service'])
        return web.Response(
            body=msgspec.json.encode(book.endpoints(service)),
            content_type='application/json',
        )

    app = web.Application()
    app.router.add_post('/v1/orders', take_order)
    app.router.add_get('/v1/endpoints', list_endpoints)
    return app
