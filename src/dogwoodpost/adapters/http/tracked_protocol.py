"""Client protocol that follows the use of its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.adapters.http.bounded_protocol import BoundedResponseHandler
from dogwoodpost.core.connections import ConnectionUse

if TYPE_CHECKING:
    import asyncio

    from aiohttp.client_reqrep import ConnectionKey


class TrackedResponseHandler(BoundedResponseHandler):
    """Records when bytes arrive.

    ``key`` names the address that the connection is open to.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.key: ConnectionKey | None = None
        self.use = ConnectionUse(loop.time())

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if data:
            self.use.note_received(self._loop.time())
        super().data_received(data)
