"""Client protocol that follows the use of its connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dogwoodpost.adapters.http.bounded_protocol import BoundedResponseHandler
from dogwoodpost.core.connections import ConnectionUse

if TYPE_CHECKING:
    from aiohttp.client_reqrep import ConnectionKey


class TrackedResponseHandler(BoundedResponseHandler):
    """Records when bytes arrive.

    ``key`` names the address that the connection is open to.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.key: ConnectionKey | None = None
        self.use = ConnectionUse(loop.time())

    def is_receiving(self) -> bool:
        """Return whether bytes from the peer would be received.

        Reading is paused while the caller does not take the response.
        """
        transport = self.transport
        return (
            isinstance(transport, asyncio.ReadTransport)
            and self.is_connected()
            and transport.is_reading()
        )

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if data:
            self.use.note_received(self._loop.time())
        super().data_received(data)
