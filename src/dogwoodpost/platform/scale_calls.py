"""Scaling orders by availability zone, a singleton duty of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.ports.zone_orders import ZoneOrder
from dogwoodpost.ports.zone_orders import ZoneOrders

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.platform.duty_calls import DutyConnection

_PATH = '/scale'


class _WireScale(msgspec.Struct, frozen=True):
    """A scaling order; ``desired`` is a number of endpoints."""

    service: str
    zone: str
    desired: int


class HttpZoneOrders(ZoneOrders):
    """Sends the desired number of endpoints per availability zone."""

    def __init__(self, connection: DutyConnection) -> None:
        self._connection = connection

    async def submit(
        self,
        order: ZoneOrder,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Submit a scaling order."""
        wire = _WireScale(
            service=order.service,
            zone=order.availability_zone,
            desired=order.endpoint_count,
        )
        await self._connection.post(
            _PATH, msgspec.json.encode(wire), before_send
        )
