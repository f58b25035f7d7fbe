"""Sends the consumption of client accounts to the other entries."""

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
# Half of an entry's budget for control traffic at the target size. With more
# entries and client accounts, messages are sent less often to stay within it.
_MAX_BYTES_PER_S = 1_500.0


class ConsumptionExchange(mode.Service):
    """Exchanges client accounts' consumption between the entries.

    Fair queuing then shares capacity by the consumption at all entries. A
    lost message only makes the shares slightly less fair, so messages are
    not resent.
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
        """Start to send periodically."""
        self.add_future(self._send_forever())

    def receive(self, message: messages.AccountConsumption) -> None:
        """Add the consumption at another entry to the fair queues."""
        self._admission.apply_remote_consumption(message.items)

    async def send(self) -> float:
        """Send the consumption since the last call.

        :returns: seconds to wait before the next call.
        """
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
