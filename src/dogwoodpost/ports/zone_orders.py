"""Port: sets how many endpoints a service has in each availability zone."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids

if TYPE_CHECKING:
    from collections.abc import Callable


class ZoneOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Orders a number of endpoints; repeating the order changes nothing."""

    service: ids.ServiceName
    availability_zone: ids.AvailabilityZone
    endpoint_count: int


class ZoneOrders(abc.ABC):
    """Submits the desired endpoint count; the platform cannot be queried."""

    @abc.abstractmethod
    async def submit(
        self,
        order: ZoneOrder,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Submit an order.

        ``before_send`` is called directly before the order is sent; if it
        raises, nothing is sent and the exception propagates.

        :raises PlatformError: the order was refused or not accepted.
        :raises PlatformOutcomeUnknownError: the response was lost.
        """
