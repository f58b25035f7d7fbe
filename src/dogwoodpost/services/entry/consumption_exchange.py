"""Tells the other entries what client accounts have used at this one."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import mode
import msgspec

from dogwoodpost.core import messages
from dogwoodpost.errors import TransportError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from dogwoodpost.core.admission import Admission
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.ports.peer_transport import PeerTransport

_MIN_PERIOD_S = 1.0
# Half of what an entry may spend on control traffic at the target size; the
# exchange becomes rarer with more entries and accounts.
_MAX_BYTES_PER_S = 1_500.0


class ConsumptionExchange(mode.Service):
    """Keeps the fair shares of client accounts the same at all entries.

    A lost message makes the shares a little less fair and nothing else, so
    it is not repeated.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        transport: PeerTransport,
        admission: Admission,
        *,
        addresses: Callable[[], Collection[str]],
    ) -> None:
        super().__init__()
        self._sender = identity.sender_fields()
        self._transport = transport
        self._admission = admission
        self._addresses = addresses

    async def on_start(self) -> None:
        """Start to send."""
        self.add_future(self._send_forever())

    def receive(self, message: messages.AccountConsumption) -> None:
        """Take what accounts have used at another entry."""
        self._admission.apply_remote_consumption(message.items)

    async def send(self) -> float:
        """Send what accounts have used; return when to do so again."""
        items = self._admission.pop_consumption()
        addresses = list(self._addresses())
        if not items or not addresses:
            return _MIN_PERIOD_S
        message = messages.AccountConsumption(**self._sender, items=items)
        size_bytes = len(msgspec.msgpack.encode(message)) * len(addresses)
        for address in addresses:
            with contextlib.suppress(TransportError):
                await self._transport.send(address, message)
        return max(_MIN_PERIOD_S, size_bytes / _MAX_BYTES_PER_S)

    async def _send_forever(self) -> None:
        while True:
            pause_s = await self.send()
            await asyncio.sleep(pause_s)
