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
    """An order for one endpoint; its id identifies duplicates."""

    order_id: ids.OperationId
    service: ids.ServiceName
    availability_zone: ids.AvailabilityZone
    action: OrderAction
    endpoint_id: ids.EndpointId | None = None


class OrderedEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint in the platform's list."""

    endpoint_id: ids.EndpointId
    service: ids.ServiceName
    availability_zone: ids.AvailabilityZone
    order_id: ids.OperationId
    running: bool


class EndpointOrders(abc.ABC):
    """Orders endpoints by availability zone.

    The platform does not check fencing numbers on this interface.
    """

    @abc.abstractmethod
    async def submit(
        self,
        order: EndpointOrder,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Submit an order.

        ``before_send`` is called after the connection is established, directly
        before the bytes of the order are sent. If it raises, no byte of the
        order is sent and the exception propagates.

        :raises PlatformError: the order was refused or not accepted.
        :raises PlatformOutcomeUnknownError: the response was lost; call
            :meth:`list_endpoints` to learn the outcome.
        """

    @abc.abstractmethod
    async def list_endpoints(
        self, service: ids.ServiceName
    ) -> Sequence[OrderedEndpoint]:
        """Return the endpoints that were ordered and not yet stopped.

        :raises PlatformError: the platform did not answer.
        """
