"""Port: orders how many endpoints a service has in each zone."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids

if TYPE_CHECKING:
    from collections.abc import Callable


class ZoneOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for a number of endpoints; a repeat changes nothing."""

    service: ids.ServiceName
    availability_zone: ids.AvailabilityZone
    endpoint_count: int


class ZoneOrders(abc.ABC):
    """Orders by the number that is wanted; nothing can be read back."""

    @abc.abstractmethod
    async def submit(
        self,
        order: ZoneOrder,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Submit an order.

        ``before_send`` is called directly before the order is sent; if it
        raises, nothing is sent and its exception passes through.

        :raises PlatformError: the order was refused or not taken.
        :raises PlatformOutcomeUnknownError: the answer was lost.
        """
