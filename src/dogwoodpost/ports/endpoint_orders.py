"""Port: the platform's interface that starts and stops endpoints."""

from __future__ import annotations

import abc
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


class OrderAction(Enum):
    """What an order asks for."""

    START = 'start'
    STOP = 'stop'


class EndpointOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order for one endpoint; its id makes a repeat recognisable."""

    order_id: ids.OperationId
    service: ids.ServiceName
    availability_zone: ids.AvailabilityZone
    action: OrderAction
    endpoint_id: ids.EndpointId | None = None


class OrderedEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint as the platform lists it."""

    endpoint_id: ids.EndpointId
    service: ids.ServiceName
    availability_zone: ids.AvailabilityZone
    order_id: ids.OperationId
    running: bool


class EndpointOrders(abc.ABC):
    """Orders endpoints by availability zone; knows no fencing number."""

    @abc.abstractmethod
    async def submit(
        self,
        order: EndpointOrder,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Submit an order.

        ``before_send`` is called directly before the bytes of the order go
        out, once the connection stands; if it raises, no byte of the order is
        sent and its exception passes through.

        :raises PlatformError: the order was refused or not taken.
        :raises PlatformOutcomeUnknownError: the answer was lost; find out by
            :meth:`list_endpoints`.
        """

    @abc.abstractmethod
    async def list_endpoints(
        self, service: ids.ServiceName
    ) -> Sequence[OrderedEndpoint]:
        """Return the endpoints that were ordered and not yet stopped.

        :raises PlatformError: the platform did not answer.
        """
